"""Which nodes are gone for good: the silence that is counted, the zone that is only cut off, the return."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mesh.membership import failure_detection
from mesh.membership.failure_detection import (
    MAX_POLL_GAP_S,
    MAX_QUERIED_NODES,
    RECONNECT_S,
    NodeInfo,
    SilenceReport,
    SilenceTracker,
    Verdict,
    assess_silence,
    is_majority,
    nodes_to_query,
    silence_thresholds,
)
from mesh.replication.items import Item, outranks

SPANS = silence_thresholds(3000.0, 1500.0)
GONE, SUSPECT, ZONE, APART = SPANS.gone_s, SPANS.suspect_s, SPANS.zone_gone_s, SPANS.partition_window_s
NODES = {f"{zone}{n}": NodeInfo(zone) for zone in "ab" for n in range(4)}


def told(**seconds: float) -> dict[str, float]:
    return {name: seconds.get(name, 0.0) for name in NODES}


def said(**seconds: float) -> SilenceReport:
    """Of one that has a link to each node, and heard it so long ago."""
    return SilenceReport(told(**seconds), told(**seconds))


def test_the_spans_follow_the_deployments_own_figures_and_never_fall_short() -> None:
    assert (SUSPECT, GONE, ZONE) == (3.0, 21.0, 600.0)
    assert silence_thresholds(1000.0, 250.0).gone_s == 20.0
    slow = silence_thresholds(20_000.0, 5000.0)
    assert (slow.suspect_s, slow.gone_s, slow.zone_gone_s) == (20.0, 120.0, 1200.0)


def test_a_node_is_gone_only_where_nobody_has_heard_it_for_the_bound() -> None:
    assert assess_silence(NODES, [said(a0=GONE), said(a0=GONE + 9)], SPANS) == Verdict(("a0",), ())
    assert assess_silence(NODES, [said(a0=GONE), said(a0=GONE - 0.1)], SPANS) == Verdict((), ())
    assert assess_silence(NODES, [said(a0=GONE), SilenceReport({})], SPANS) == Verdict(
        (), ()
    )  # it says nothing: heard
    assert assess_silence(NODES, [], SPANS) == Verdict((), ())


def test_a_zone_that_fell_silent_at_once_is_kept_until_one_is_heard_again_or_for_much_longer() -> None:
    cut = {"a0": GONE, "a1": GONE + 0.2, "a2": GONE + APART - 0.1, "a3": GONE + 0.3}
    assert assess_silence(NODES, [said(**cut)] * 2, SPANS) == Verdict((), ("a",))
    assert assess_silence(NODES, [said(**cut, b0=GONE)] * 2, SPANS) == Verdict(("b0",), ("a",))
    # Those that have not reached the bound yet keep the others as well.
    late = {name: GONE - 0.2 for name in ("a1", "a2", "a3")}
    assert assess_silence(NODES, [said(**late, a0=GONE)] * 2, SPANS) == Verdict((), ("a",))
    # One of them is heard by one process: the zone is not cut off, and who is silent in it is gone.
    other = said(**cut | {"a3": 0.5})
    assert assess_silence(NODES, [said(**cut), other], SPANS) == Verdict(("a0", "a1", "a2"), ())
    long = dict.fromkeys(("a0", "a1", "a2", "a3"), ZONE)
    assert assess_silence(NODES, [said(**long)] * 2, SPANS) == Verdict(("a0", "a1", "a2", "a3"), ())


def test_machines_that_went_one_by_one_are_gone_however_many_of_the_zone_they_are() -> None:
    four = {f"a{n}": GONE + (n + 1) * APART for n in range(4)}
    assert assess_silence(NODES, [said(**four | {"a3": 0.0})] * 2, SPANS) == Verdict(("a0", "a1", "a2"), ())
    # And with the last one silent as well: it alone may be behind a cut.
    assert assess_silence(NODES, [said(**four | {"a0": GONE})] * 2, SPANS) == Verdict(
        ("a1", "a2", "a3"), ("a",)
    )
    # The dead that are still in the store are no part of a cut.
    dead = {f"d{n}": NodeInfo("a") for n in range(100)}
    silent = {"a0": GONE} | dict.fromkeys(dead, 5 * GONE)
    report = SilenceReport(told() | silent, told() | silent)
    assert "a0" in assess_silence(NODES | dead, [report] * 2, SPANS).gone


def test_only_a_link_tells_that_a_zone_can_be_reached() -> None:
    """A process that has just learned of a node, or knows nothing of it, has not heard it."""
    cut = dict.fromkeys(("a0", "a1", "a2", "a3"), GONE)
    learned = SilenceReport(told(**cut | {"a3": 0.5}), {"b0": 0.0})
    assert assess_silence(NODES, [said(**cut), learned], SPANS) == Verdict((), ("a",))
    nothing = SilenceReport(dict.fromkeys(("a0", "a1", "a2"), GONE))
    assert assess_silence(NODES, [said(**cut), nothing], SPANS) == Verdict((), ("a",))


def test_a_member_that_was_the_last_of_its_zone_is_one_machine_and_a_zone_of_two_is_a_zone() -> None:
    def alone(member: bool, **others: float) -> Verdict:
        nodes = {"m": NodeInfo("z", member=member)} | {name: NodeInfo("z") for name in others}
        silent = {"m": GONE, **others}
        return assess_silence(nodes, [SilenceReport(silent, silent)] * 2, SPANS)

    assert alone(True) == Verdict(("m",), ()) and alone(False) == Verdict((), ("z",))
    assert alone(True, s=GONE + APART - 0.1) == Verdict((), ("z",))
    assert alone(True, s=GONE + APART) == Verdict(("m", "s"), ())
    # Whoever was heard by nobody that answers may have been there until the end.
    nodes = {"m": NodeInfo("z", member=True), "s": NodeInfo("z")}
    silent = {"m": GONE, "s": 2 * GONE}
    assert assess_silence(nodes, [SilenceReport(silent, {"m": GONE})] * 2, SPANS) == Verdict(("s",), ("z",))


def test_a_link_tells_that_a_zone_can_be_reached_once_it_has_stood_until_all_may_stand() -> None:
    watch = SilenceTracker(0.0)
    for now in range(41):
        watch.poll(float(now), {"a"})
    watch.note_link_contact(10.0 + RECONNECT_S - 0.1, "a", 10.0)
    assert watch.linked_s(20.0, "a") is None and watch.silent_s(20.0, "a") == pytest.approx(
        10.1 - RECONNECT_S
    )
    watch.note_link_contact(13.0, "a", 10.0)
    assert watch.linked_s(20.0, "a") == 7.0
    watch.note_link_contact(30.0, "a", 29.0)  # back after a cut
    assert watch.linked_s(40.0, "a") == 27.0 and watch.silent_s(40.0, "a") == 10.0


def test_whose_disk_counts_stays_whatever_its_silence() -> None:
    nodes = NODES | {"a0": NodeInfo("a", exempt=True)}
    assert assess_silence(nodes, [said(a0=9 * ZONE, a1=GONE)], SPANS) == Verdict(("a1",), ())
    assert nodes_to_query(nodes, told(a0=9 * ZONE), SPANS) == []


silences = st.fixed_dictionaries(
    {name: st.sampled_from([0.0, 2.9, 3.0, 20.9, 21.0, 22.0, 599.9, 600.0]) for name in NODES}
)


@settings(max_examples=200)
@given(st.lists(silences, min_size=1, max_size=3))
def test_whatever_is_told_no_heard_node_and_no_zone_goes(all_told: list[dict[str, float]]) -> None:
    verdict = assess_silence(NODES, [SilenceReport(one, one) for one in all_told], SPANS)
    least = {name: min(one[name] for one in all_told) for name in NODES}
    for name in verdict.gone:
        assert least[name] >= GONE
        zone = [other for other in NODES if NODES[other].zone == NODES[name].zone]
        if least[name] < ZONE:  # somebody of its zone was heard after it: it did not go with its zone
            assert any(least[other] <= least[name] - APART for other in zone)
    for name in NODES.keys() - set(verdict.gone):
        assert least[name] < GONE or NODES[name].zone in verdict.kept_zones


def test_silent_ones_are_asked_for_by_zone_and_no_more_than_a_frame_takes() -> None:
    assert nodes_to_query(NODES, told(a0=GONE - 1, b0=GONE - 1), SPANS) == []
    assert nodes_to_query(NODES, told(a0=GONE, a1=SUSPECT, a2=1.0, b0=GONE - 1), SPANS) == ["a0", "a1"]
    many = {f"n{at:05}": NodeInfo("a") for at in range(3 * MAX_QUERIED_NODES)}
    found = nodes_to_query(many, {name: GONE + at for at, name in enumerate(many)}, SPANS)
    assert found == sorted(many, reverse=True)[:MAX_QUERIED_NODES]
    # Those that were left out count against their zone: they are not known to be heard.
    own, answered = dict.fromkeys(many, ZONE - 1), {name: ZONE - 1 for name in found}
    assert assess_silence(
        many, [SilenceReport(own, own), SilenceReport(answered, answered)], SPANS
    ) == Verdict((), ("a",))


def test_silence_is_counted_only_while_this_process_itself_listened() -> None:
    watch, names = SilenceTracker(0.0), {"a", "b"}
    now = 0.0
    while now < 30.0:
        watch.poll(now, names)
        watch.note_contact(now, "b")
        now += 1.0
    assert watch.silent_s(29.0, "a") == 29.0 and watch.silent_s(29.0, "b") == 0.0
    late = 29.0 + MAX_POLL_GAP_S + 60.0
    assert watch.silent_s(late, "a") == 0.0  # before the next look as well
    watch.poll(late, names)
    assert watch.silent_s(late, "a") == 0.0 and watch.listening_s(late + 1.0) == 1.0
    watch.poll(late + 1.0, names)
    assert watch.silent_s(late + 1.0, "a") == 1.0


def test_a_node_is_watched_from_when_it_was_first_known_and_forgotten_with_its_item() -> None:
    watch = SilenceTracker(0.0)
    for now in range(100):
        watch.poll(float(now), {f"n{now}"})
        watch.note_contact(float(now), "nobody")
        watch.note_reported_contact(float(now), "nobody")
        assert watch.silent_s(float(now), f"n{now}") == 0.0
        assert len(watch._contacts) == 1 and not watch._reported_contacts
    assert watch.silent_s(99.0, "nobody") == 0.0


def test_what_others_heard_spares_a_question_and_is_not_said_on() -> None:
    watch = SilenceTracker(0.0)
    for now in range(31):
        watch.poll(float(now), {"a"})
    watch.note_reported_contact(28.0, "a")
    assert watch.silent_anywhere_s(30.0, "a") == 2.0 and watch.silent_s(30.0, "a") == 30.0


def test_what_came_by_another_is_no_word_that_a_zone_can_be_reached() -> None:
    watch = SilenceTracker(0.0)
    for now in range(31):
        watch.poll(float(now), {"a", "b", "c"})
    watch.note_link_contact(10.0, "a", 0.0)
    watch.note_contact(20.0, "b")
    assert watch.linked_s(30.0, "a") == 20.0 and watch.linked_s(30.0, "b") is None
    assert watch.silent_s(30.0, "b") == 10.0
    watch.note_reported_link_contact(25.0, "b")
    watch.note_reported_link_contact(5.0, "a")
    assert watch.linked_s(30.0, "b") is None and watch.linked_anywhere_s(30.0, "b") == 5.0
    assert watch.linked_anywhere_s(30.0, "a") == 20.0 and watch.linked_anywhere_s(30.0, "c") is None
    watch.note_reported_link_contact(25.0, "nobody")
    watch.poll(31.0, {"c"})
    assert not watch._link_contacts and not watch._reported_link_contacts


def test_half_of_the_members_is_not_enough() -> None:
    assert is_majority({"1", "2"}, {"1", "2", "3"}) and not is_majority({"1", "x", "y"}, {"1", "2", "3"})
    assert not is_majority({"1", "2"}, {"1", "2", "3", "4"}) and not is_majority({"1"}, set())


@pytest.mark.parametrize("clock", [-1000, -1, 0, 1, 1000])
def test_a_return_outranks_the_drop_whatever_the_clock_says(clock: int) -> None:
    item = Item("node", "n", 1_700_000, {"address": "10.0.0.1:1"})
    ((kind, name, version, value),) = failure_detection.drop_writes([item])
    drop = Item(kind, name, version, value)
    assert (
        outranks(drop, item)
        and failure_detection.was_dropped(drop)
        and not failure_detection.was_dropped(item)
    )
    assert failure_detection.drop_writes([drop]) == []
    back = Item("node", "n", failure_detection.version_above(drop, 1_700_000 + clock), item.value)
    assert outranks(back, drop) and back.version >= 1_700_000 + clock
    assert failure_detection.version_above(None, 5) == 5 and not failure_detection.was_dropped(None)
