"""Which nodes are gone for good: the silence that is counted, the zone that is only cut off, the return."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mesh.membership import failure_detection
from mesh.membership.failure_detection import (
    GAP_S,
    MOST_ASKED,
    Known,
    Verdict,
    Watch,
    asks,
    enough,
    judge,
    spans,
)
from mesh.replication.items import Item, outranks

SPANS = spans(3000.0, 1500.0)
GONE, SUSPECT, ZONE = SPANS.gone_s, SPANS.suspect_s, SPANS.zone_s
NODES = {f"{zone}{n}": Known(zone) for zone in "ab" for n in range(4)}


def told(**seconds: float) -> dict[str, float]:
    return {name: seconds.get(name, 0.0) for name in NODES}


def test_the_spans_follow_the_deployments_own_figures_and_never_fall_short() -> None:
    assert (SUSPECT, GONE, ZONE) == (3.0, 21.0, 600.0)
    assert spans(1000.0, 250.0).gone_s == 20.0
    slow = spans(20_000.0, 5000.0)
    assert (slow.suspect_s, slow.gone_s, slow.zone_s) == (20.0, 120.0, 1200.0)


def test_a_node_is_gone_only_where_nobody_has_heard_it_for_the_bound() -> None:
    assert judge(NODES, [told(a0=GONE), told(a0=GONE + 9)], SPANS) == Verdict(("a0",), ())
    assert judge(NODES, [told(a0=GONE), told(a0=GONE - 0.1)], SPANS) == Verdict((), ())
    assert judge(NODES, [told(a0=GONE), {}], SPANS) == Verdict((), ())  # it says nothing: heard
    assert judge(NODES, [], SPANS) == Verdict((), ())


def test_most_of_a_zone_is_kept_until_some_are_heard_again_or_for_much_longer() -> None:
    three = {name: GONE + 5 for name in ("a0", "a1", "a2")}
    assert judge(NODES, [told(**three)] * 2, SPANS) == Verdict((), ("a",))
    assert judge(NODES, [told(**three, b0=GONE)] * 2, SPANS) == Verdict(("b0",), ("a",))
    # Two of four are not more than half; one that fell silent just now counts against the zone.
    two = {"a0": GONE, "a1": GONE}
    assert judge(NODES, [told(**two)] * 2, SPANS).gone == ("a0", "a1")
    assert judge(NODES, [told(**two, a2=SUSPECT)] * 2, SPANS) == Verdict((), ("a",))
    assert judge(NODES, [told(**two, a2=SUSPECT), told(**two, a2=0.5)], SPANS).gone == ("a0", "a1")
    long = {name: ZONE for name in ("a0", "a1", "a2")}
    assert judge(NODES, [told(**long)] * 2, SPANS) == Verdict(("a0", "a1", "a2"), ())


def test_whose_disk_counts_stays_whatever_its_silence() -> None:
    nodes = NODES | {"a0": Known("a", stays=True)}
    assert judge(nodes, [told(a0=9 * ZONE, a1=GONE)], SPANS) == Verdict(("a1",), ())
    assert asks(nodes, told(a0=9 * ZONE), SPANS) == []


silences = st.fixed_dictionaries(
    {name: st.sampled_from([0.0, 2.9, 3.0, 20.9, 21.0, 599.9, 600.0]) for name in NODES}
)


@settings(max_examples=200)
@given(st.lists(silences, min_size=1, max_size=3))
def test_whatever_is_told_no_heard_node_and_no_zone_goes(all_told: list[dict[str, float]]) -> None:
    verdict = judge(NODES, all_told, SPANS)
    for name in verdict.gone:
        assert all(one[name] >= GONE for one in all_told)
    for zone in "ab":
        gone = [name for name in verdict.gone if NODES[name].zone == zone]
        if any(all_told[0][name] < ZONE for name in gone):
            assert 2 * len(gone) <= 4


def test_silent_ones_are_asked_for_by_zone_and_no_more_than_a_frame_takes() -> None:
    assert asks(NODES, told(a0=GONE - 1, b0=GONE - 1), SPANS) == []
    assert asks(NODES, told(a0=GONE, a1=SUSPECT, a2=1.0, b0=GONE - 1), SPANS) == ["a0", "a1"]
    many = {f"n{at:05}": Known("a") for at in range(3 * MOST_ASKED)}
    found = asks(many, {name: GONE + at for at, name in enumerate(many)}, SPANS)
    assert found == sorted(many, reverse=True)[:MOST_ASKED]
    # Those that were left out count against their zone: they are not known to be heard.
    answered = {name: ZONE - 1 for name in found}
    assert judge(many, [dict.fromkeys(many, ZONE - 1), answered], SPANS) == Verdict((), ("a",))


def test_silence_is_counted_only_while_this_process_itself_listened() -> None:
    watch, names = Watch(0.0), {"a", "b"}
    now = 0.0
    while now < 30.0:
        watch.look(now, names)
        watch.heard(now, "b")
        now += 1.0
    assert watch.silent_s(29.0, "a") == 29.0 and watch.silent_s(29.0, "b") == 0.0
    late = 29.0 + GAP_S + 60.0
    assert watch.silent_s(late, "a") == 0.0  # before the next look as well
    watch.look(late, names)
    assert watch.silent_s(late, "a") == 0.0 and watch.awake_s(late + 1.0) == 1.0
    watch.look(late + 1.0, names)
    assert watch.silent_s(late + 1.0, "a") == 1.0


def test_a_node_is_watched_from_when_it_was_first_known_and_forgotten_with_its_item() -> None:
    watch = Watch(0.0)
    for now in range(100):
        watch.look(float(now), {f"n{now}"})
        watch.heard(float(now), "nobody")
        watch.told(float(now), "nobody")
        assert watch.silent_s(float(now), f"n{now}") == 0.0
        assert len(watch._heard) == 1 and not watch._others
    assert watch.silent_s(99.0, "nobody") == 0.0


def test_what_others_heard_spares_a_question_and_is_not_said_on() -> None:
    watch = Watch(0.0)
    for now in range(31):
        watch.look(float(now), {"a"})
    watch.told(28.0, "a")
    assert watch.doubt_s(30.0, "a") == 2.0 and watch.silent_s(30.0, "a") == 30.0


def test_half_of_the_members_is_not_enough() -> None:
    assert enough({"1", "2"}, {"1", "2", "3"}) and not enough({"1", "x", "y"}, {"1", "2", "3"})
    assert not enough({"1", "2"}, {"1", "2", "3", "4"}) and not enough({"1"}, set())


@pytest.mark.parametrize("clock", [-1000, -1, 0, 1, 1000])
def test_a_return_outranks_the_drop_whatever_the_clock_says(clock: int) -> None:
    item = Item("node", "n", 1_700_000, {"address": "10.0.0.1:1"})
    ((kind, name, version, value),) = failure_detection.drops([item])
    drop = Item(kind, name, version, value)
    assert outranks(drop, item) and failure_detection.dropped(drop) and not failure_detection.dropped(item)
    assert failure_detection.drops([drop]) == []
    back = Item("node", "n", failure_detection.above(drop, 1_700_000 + clock), item.value)
    assert outranks(back, drop) and back.version >= 1_700_000 + clock
    assert failure_detection.above(None, 5) == 5 and not failure_detection.dropped(None)
