"""Failure detection: counted silence, partitioned zones, and nodes that return."""

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

THRESHOLDS = silence_thresholds(3000.0, 1500.0)
GONE, SUSPECT, ZONE_GONE, WINDOW = (
    THRESHOLDS.gone_s,
    THRESHOLDS.suspect_s,
    THRESHOLDS.zone_gone_s,
    THRESHOLDS.partition_window_s,
)
NODES = {f"{zone}{n}": NodeInfo(zone) for zone in "ab" for n in range(4)}


def silences(**seconds: float) -> dict[str, float]:
    return {name: seconds.get(name, 0.0) for name in NODES}


def report(**seconds: float) -> SilenceReport:
    """The report of a process with a link to each node, whose last message came that long ago."""
    return SilenceReport(silences(**seconds), silences(**seconds))


def test_the_spans_follow_the_deployments_own_figures_and_never_fall_short() -> None:
    assert (SUSPECT, GONE, ZONE_GONE) == (3.0, 21.0, 600.0)
    assert silence_thresholds(1000.0, 250.0).gone_s == 20.0
    slow = silence_thresholds(20_000.0, 5000.0)
    assert (slow.suspect_s, slow.gone_s, slow.zone_gone_s) == (20.0, 120.0, 1200.0)


def test_a_node_is_gone_only_where_nobody_has_heard_it_for_the_bound() -> None:
    assert assess_silence(NODES, [report(a0=GONE), report(a0=GONE + 9)], THRESHOLDS) == Verdict(("a0",), ())
    assert assess_silence(NODES, [report(a0=GONE), report(a0=GONE - 0.1)], THRESHOLDS) == Verdict((), ())
    assert assess_silence(NODES, [report(a0=GONE), SilenceReport({})], THRESHOLDS) == Verdict(
        (), ()
    )  # an omitted node counts as in contact
    assert assess_silence(NODES, [], THRESHOLDS) == Verdict((), ())


def test_a_zone_that_fell_silent_at_once_is_kept_until_one_is_heard_again_or_for_much_longer() -> None:
    cut = {"a0": GONE, "a1": GONE + 0.2, "a2": GONE + WINDOW - 0.1, "a3": GONE + 0.3}
    assert assess_silence(NODES, [report(**cut)] * 2, THRESHOLDS) == Verdict((), ("a",))
    assert assess_silence(NODES, [report(**cut, b0=GONE)] * 2, THRESHOLDS) == Verdict(("b0",), ("a",))
    # Nodes that are not silent for the whole bound yet keep the others too.
    late = {name: GONE - 0.2 for name in ("a1", "a2", "a3")}
    assert assess_silence(NODES, [report(**late, a0=GONE)] * 2, THRESHOLDS) == Verdict((), ("a",))
    # One process hears one of them: the zone is not partitioned, and its silent nodes are gone.
    other = report(**cut | {"a3": 0.5})
    assert assess_silence(NODES, [report(**cut), other], THRESHOLDS) == Verdict(("a0", "a1", "a2"), ())
    long = dict.fromkeys(("a0", "a1", "a2", "a3"), ZONE_GONE)
    assert assess_silence(NODES, [report(**long)] * 2, THRESHOLDS) == Verdict(("a0", "a1", "a2", "a3"), ())


def test_machines_that_went_one_by_one_are_gone_however_many_of_the_zone_they_are() -> None:
    four = {f"a{n}": GONE + (n + 1) * WINDOW for n in range(4)}
    assert assess_silence(NODES, [report(**four | {"a3": 0.0})] * 2, THRESHOLDS) == Verdict(
        ("a0", "a1", "a2"), ()
    )
    # If the last one is silent too, only that one may be behind a partition.
    assert assess_silence(NODES, [report(**four | {"a0": GONE})] * 2, THRESHOLDS) == Verdict(
        ("a1", "a2", "a3"), ("a",)
    )
    # Dead nodes that are still in the store are not part of a partition.
    dead = {f"d{n}": NodeInfo("a") for n in range(100)}
    silent = {"a0": GONE} | dict.fromkeys(dead, 5 * GONE)
    combined = SilenceReport(silences() | silent, silences() | silent)
    assert "a0" in assess_silence(NODES | dead, [combined] * 2, THRESHOLDS).gone


def test_only_a_link_tells_that_a_zone_can_be_reached() -> None:
    """A process that has just learned of a node, or does not know it, has had no contact with it."""
    cut = dict.fromkeys(("a0", "a1", "a2", "a3"), GONE)
    learned = SilenceReport(silences(**cut | {"a3": 0.5}), {"b0": 0.0})
    assert assess_silence(NODES, [report(**cut), learned], THRESHOLDS) == Verdict((), ("a",))
    nothing = SilenceReport(dict.fromkeys(("a0", "a1", "a2"), GONE))
    assert assess_silence(NODES, [report(**cut), nothing], THRESHOLDS) == Verdict((), ("a",))


def test_a_member_that_was_the_last_of_its_zone_is_one_machine_and_a_zone_of_two_is_a_zone() -> None:
    def alone(member: bool, **others: float) -> Verdict:
        nodes = {"m": NodeInfo("z", member=member)} | {name: NodeInfo("z") for name in others}
        silent = {"m": GONE, **others}
        return assess_silence(nodes, [SilenceReport(silent, silent)] * 2, THRESHOLDS)

    assert alone(True) == Verdict(("m",), ()) and alone(False) == Verdict((), ("z",))
    assert alone(True, s=GONE + WINDOW - 0.1) == Verdict((), ("z",))
    assert alone(True, s=GONE + WINDOW) == Verdict(("m", "s"), ())
    # A node that no responder ever had contact with may have been alive until the last moment.
    nodes = {"m": NodeInfo("z", member=True), "s": NodeInfo("z")}
    silent = {"m": GONE, "s": 2 * GONE}
    assert assess_silence(nodes, [SilenceReport(silent, {"m": GONE})] * 2, THRESHOLDS) == Verdict(
        ("s",), ("z",)
    )


def test_a_link_tells_that_a_zone_can_be_reached_once_it_has_stood_until_all_may_stand() -> None:
    tracker = SilenceTracker(0.0)
    for now in range(41):
        tracker.poll(float(now), {"a"})
    tracker.note_link_contact(10.0 + RECONNECT_S - 0.1, "a", 10.0)
    assert tracker.linked_s(20.0, "a") is None and tracker.silent_s(20.0, "a") == pytest.approx(
        10.1 - RECONNECT_S
    )
    tracker.note_link_contact(13.0, "a", 10.0)
    assert tracker.linked_s(20.0, "a") == 7.0
    tracker.note_link_contact(30.0, "a", 29.0)  # back after a partition
    assert tracker.linked_s(40.0, "a") == 27.0 and tracker.silent_s(40.0, "a") == 10.0


def test_whose_disk_counts_stays_whatever_its_silence() -> None:
    nodes = NODES | {"a0": NodeInfo("a", exempt=True)}
    assert assess_silence(nodes, [report(a0=9 * ZONE_GONE, a1=GONE)], THRESHOLDS) == Verdict(("a1",), ())
    assert nodes_to_query(nodes, silences(a0=9 * ZONE_GONE), THRESHOLDS) == []


silence_maps = st.fixed_dictionaries(
    {name: st.sampled_from([0.0, 2.9, 3.0, 20.9, 21.0, 22.0, 599.9, 600.0]) for name in NODES}
)


@settings(max_examples=200)
@given(st.lists(silence_maps, min_size=1, max_size=3))
def test_whatever_is_told_no_heard_node_and_no_zone_goes(reports: list[dict[str, float]]) -> None:
    verdict = assess_silence(NODES, [SilenceReport(one, one) for one in reports], THRESHOLDS)
    least = {name: min(one[name] for one in reports) for name in NODES}
    for name in verdict.gone:
        assert least[name] >= GONE
        zone = [other for other in NODES if NODES[other].zone == NODES[name].zone]
        if least[name] < ZONE_GONE:  # later contact with its zone: it was not lost with the zone
            assert any(least[other] <= least[name] - WINDOW for other in zone)
    for name in NODES.keys() - set(verdict.gone):
        assert least[name] < GONE or NODES[name].zone in verdict.kept_zones


def test_silent_ones_are_asked_for_by_zone_and_no_more_than_a_frame_takes() -> None:
    assert nodes_to_query(NODES, silences(a0=GONE - 1, b0=GONE - 1), THRESHOLDS) == []
    assert nodes_to_query(NODES, silences(a0=GONE, a1=SUSPECT, a2=1.0, b0=GONE - 1), THRESHOLDS) == [
        "a0",
        "a1",
    ]
    many = {f"n{at:05}": NodeInfo("a") for at in range(3 * MAX_QUERIED_NODES)}
    found = nodes_to_query(many, {name: GONE + at for at, name in enumerate(many)}, THRESHOLDS)
    assert found == sorted(many, reverse=True)[:MAX_QUERIED_NODES]
    # Nodes left out of the query count as silent in their zone: no contact with them is known.
    own, answered = dict.fromkeys(many, ZONE_GONE - 1), {name: ZONE_GONE - 1 for name in found}
    assert assess_silence(
        many, [SilenceReport(own, own), SilenceReport(answered, answered)], THRESHOLDS
    ) == Verdict((), ("a",))


def test_silence_is_counted_only_while_this_process_itself_listened() -> None:
    tracker, names = SilenceTracker(0.0), {"a", "b"}
    now = 0.0
    while now < 30.0:
        tracker.poll(now, names)
        tracker.note_contact(now, "b")
        now += 1.0
    assert tracker.silent_s(29.0, "a") == 29.0 and tracker.silent_s(29.0, "b") == 0.0
    late = 29.0 + MAX_POLL_GAP_S + 60.0
    assert tracker.silent_s(late, "a") == 0.0  # also before the next poll
    tracker.poll(late, names)
    assert tracker.silent_s(late, "a") == 0.0 and tracker.listening_s(late + 1.0) == 1.0
    tracker.poll(late + 1.0, names)
    assert tracker.silent_s(late + 1.0, "a") == 1.0


def test_a_node_is_watched_from_when_it_was_first_known_and_forgotten_with_its_item() -> None:
    tracker = SilenceTracker(0.0)
    for now in range(100):
        tracker.poll(float(now), {f"n{now}"})
        tracker.note_contact(float(now), "nobody")
        tracker.note_reported_contact(float(now), "nobody")
        assert tracker.silent_s(float(now), f"n{now}") == 0.0
        assert len(tracker._contacts) == 1 and not tracker._reported_contacts
    assert tracker.silent_s(99.0, "nobody") == 0.0


def test_what_others_heard_spares_a_question_and_is_not_said_on() -> None:
    tracker = SilenceTracker(0.0)
    for now in range(31):
        tracker.poll(float(now), {"a"})
    tracker.note_reported_contact(28.0, "a")
    assert tracker.silent_anywhere_s(30.0, "a") == 2.0 and tracker.silent_s(30.0, "a") == 30.0


def test_what_came_by_another_is_no_word_that_a_zone_can_be_reached() -> None:
    tracker = SilenceTracker(0.0)
    for now in range(31):
        tracker.poll(float(now), {"a", "b", "c"})
    tracker.note_link_contact(10.0, "a", 0.0)
    tracker.note_contact(20.0, "b")
    assert tracker.linked_s(30.0, "a") == 20.0 and tracker.linked_s(30.0, "b") is None
    assert tracker.silent_s(30.0, "b") == 10.0
    tracker.note_reported_link_contact(25.0, "b")
    tracker.note_reported_link_contact(5.0, "a")
    assert tracker.linked_s(30.0, "b") is None and tracker.linked_anywhere_s(30.0, "b") == 5.0
    assert tracker.linked_anywhere_s(30.0, "a") == 20.0 and tracker.linked_anywhere_s(30.0, "c") is None
    tracker.note_reported_link_contact(25.0, "nobody")
    tracker.poll(31.0, {"c"})
    assert not tracker._link_contacts and not tracker._reported_link_contacts


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
