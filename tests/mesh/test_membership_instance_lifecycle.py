"""Incarnations of the upstream beside a sidecar: published versions always rise, also after a restart of the
sidecar, and an ended incarnation does not return."""

import math
from collections.abc import Sequence
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mesh.membership.instance_commands import DECAYING, SETTLED, Heartbeat
from mesh.membership.instance_lifecycle import (
    FINAL_VERSION,
    SIGNED_OFF_VERSION,
    SILENT_HEARTBEATS,
    TAKEOVER_MS,
    VERSIONS_PER_HEARTBEAT,
    InstanceUpdate,
    PublishedInstance,
    Upstream,
    sign_off,
)
from mesh.replication.items import Item
from mesh.replication.store import Store

BEAT_MS, DRAIN_MS = 1500.0, 2000.0


def heartbeat(
    count: int, instance: str = "i-1", state: str = SETTLED, cold: float = 0.0, slots: int = 4
) -> Heartbeat:
    return Heartbeat(instance, "p", ("10.0.0.1", 8147), "z", "v1", slots, state, cold, count)


def make(published: Store | None = None) -> Upstream:
    """``published``: the membership that it looks up."""
    upstream = Upstream("n", "z", BEAT_MS, DRAIN_MS)
    if published is not None:
        upstream.find_published = lambda instance: find_published(published, instance)
    return upstream


def find_published(store: Store, instance: str) -> PublishedInstance | None:
    item = store.items.get(("instance", instance))
    if item is None:
        return None
    return PublishedInstance(item.version, item.value["state"] if item.value is not None else "")


def write(store: Store, updates: list[InstanceUpdate]) -> None:
    for one in updates:
        store.write("instance", one.instance, one.version, one.value)


def state_in(store: Store, instance: str) -> str | None:
    """The state that others see; None: removed."""
    value = store.items["instance", instance].value
    return None if value is None else value["state"]


OPS = st.lists(
    st.one_of(
        st.tuples(st.just("beat"), st.sampled_from([SETTLED, SETTLED, DECAYING]), st.integers(3, 5)),
        st.tuples(st.just("late"), st.integers(0, 4)),
        st.tuples(st.just("new incarnation")),
        st.tuples(st.just("leave")),
        st.tuples(st.just("refused"), st.sampled_from([0.0, 5 * BEAT_MS])),
        st.tuples(st.just("end")),
        st.tuples(st.just("restart")),
        st.tuples(st.just("overwritten"), st.integers(1, 3)),
    ),
    max_size=40,
)


@given(OPS)
@settings(max_examples=250)
def test_versions_of_an_instance_always_rise_also_over_restarts_of_the_sidecar(ops: list[Any]) -> None:
    upstream, count, incarnation, now, signed_off = make(), 0, 1, 0.0, False
    newest: dict[str, int] = {}
    others = Store("others", 1000)  # the store of the mesh, which accepts only items that outrank

    def apply(updates: list[InstanceUpdate]) -> None:
        for one in updates:
            assert one.version > newest.get(one.instance, 0), (one, newest)
            newest[one.instance] = one.version
            assert isinstance(others.write("instance", one.instance, one.version, one.value), Item)

    for op in ops:
        now += 100.0
        instance = f"i-{incarnation}"
        match op:
            case ("beat", state, slots) if not signed_off:
                count += 1
                apply(upstream.on_heartbeat(now, heartbeat(count, instance, state, slots=slots)))
                assert upstream.heartbeat is not None and not upstream.gone
                held = others.items["instance", instance].value
                assert held is not None and held["capacity"] == slots
            case ("late", back) if upstream.instance == instance:
                assert upstream.on_heartbeat(now, heartbeat(max(count - back, 0), instance)) == []
            case ("new incarnation",):
                incarnation, count, signed_off = incarnation + 1, 0, False
            case ("leave",) if count and not signed_off:
                signed_off = True
                apply(upstream.leave(instance))
                apply(upstream.leave(instance))
            case ("refused", silent):
                now += silent
                before = upstream.gone
                apply(upstream.on_connection_refused(now))
                assert before or not upstream.gone or silent
            case ("end",):
                apply(upstream.shut_down(now))
            case ("restart",):
                upstream = make()
            case ("overwritten", more) if (
                newest.get(instance, FINAL_VERSION) < FINAL_VERSION - VERSIONS_PER_HEARTBEAT
            ):
                if upstream.instance == instance and not upstream.gone:
                    above = newest[instance] + more
                    newest[instance] = above
                    others.write("instance", instance, above, {"capacity": 0})
                    apply(upstream.republish(above))
                    held = others.items["instance", instance].value
                    assert held is not None and held["capacity"] != 0
            case _:
                pass


def test_the_rising_of_versions_is_seen_to_break_without_the_steps(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("mesh.membership.instance_lifecycle.VERSIONS_PER_HEARTBEAT", 1)
    upstream = make()
    updates = (
        upstream.on_heartbeat(0.0, heartbeat(1))
        + upstream.shut_down(1.0)
        + make().on_heartbeat(2.0, heartbeat(2))
    )
    versions = [one.version for one in updates]
    assert versions != sorted(set(versions))


def test_a_late_beat_changes_nothing_and_no_way_leads_back_from_a_drain() -> None:
    upstream = make()
    upstream.on_heartbeat(0.0, heartbeat(5, state=DECAYING))
    assert upstream.on_heartbeat(10.0, heartbeat(4)) == []
    upstream.on_heartbeat(20.0, heartbeat(6))
    assert upstream.heartbeat is not None and upstream.heartbeat.state == DECAYING
    assert upstream.drain_started_at == 0.0


def test_a_late_heartbeat_of_the_current_incarnation_changes_nothing() -> None:
    """A repeated heartbeat, read long after a replacement, publishes the end of the replaced incarnation."""
    upstream = make()
    upstream.on_heartbeat(0.0, heartbeat(1))
    upstream.on_heartbeat(100.0, heartbeat(1, "i-2"))
    assert upstream.on_heartbeat(100.0 + 5 * BEAT_MS, heartbeat(1, "i-2")) == []


def test_a_new_life_ends_the_one_before_and_for_good_once_it_has_beaten_on() -> None:
    upstream = make()
    (last,) = upstream.on_heartbeat(0.0, heartbeat(5, state=DECAYING))
    gone, here = upstream.on_heartbeat(10.0, heartbeat(1, "i-2"))
    assert gone.instance == "i-1" and gone.value is None and last.version < gone.version < FINAL_VERSION
    assert here.instance == "i-2" and here.version == VERSIONS_PER_HEARTBEAT and here.value is not None
    assert upstream.drain_started_at is None
    assert upstream.on_heartbeat(10.0 + TAKEOVER_MS - 1.0, heartbeat(2, "i-2")) == []
    assert upstream.on_heartbeat(10.0 + TAKEOVER_MS, heartbeat(3, "i-2")) == [
        InstanceUpdate("i-1", FINAL_VERSION, None)
    ]
    assert upstream.on_heartbeat(9000.0, heartbeat(6)) == [] and upstream.instance == "i-2"


def test_the_living_one_is_back_with_its_second_beat_where_a_late_one_has_taken_its_place() -> None:
    """A late heartbeat of a short incarnation looks like the first one of a successor."""
    upstream = make()
    upstream.on_heartbeat(0.0, heartbeat(50, "i-living"))
    gone, dead = upstream.on_heartbeat(1.0, heartbeat(2, "i-dead"))
    assert (gone.instance, dead.instance) == ("i-living", "i-dead")
    assert upstream.on_heartbeat(1500.0, heartbeat(51, "i-living")) == [] and upstream.contender == "i-living"
    over, back = upstream.on_heartbeat(3000.0, heartbeat(52, "i-living"))
    assert over.instance == "i-dead" and over.value is None
    assert back.value is not None and back.version > gone.version and upstream.contender == ""
    assert upstream.on_heartbeat(4500.0, heartbeat(53, "i-living")) == [
        InstanceUpdate("i-dead", FINAL_VERSION, None)
    ]


def test_late_beats_that_are_read_at_one_moment_or_between_those_of_the_living_prove_nothing() -> None:
    upstream = make()
    upstream.on_heartbeat(0.0, heartbeat(3, "i-living"))
    for now, count in (1.0, 7), (2.0, 8), (1400.0, 9):
        if now > 1000.0:
            upstream.on_heartbeat(now - 1.0, heartbeat(4, "i-living"))
        assert upstream.on_heartbeat(now, heartbeat(count, "i-dead")) == []
    assert upstream.instance == "i-living"


def test_another_life_takes_the_place_of_a_silent_one_at_once() -> None:
    upstream = make()
    upstream.on_heartbeat(0.0, heartbeat(3))
    gone, here = upstream.on_heartbeat(BEAT_MS, heartbeat(9, "i-2"))
    assert (gone.instance, here.instance) == ("i-1", "i-2")


def test_a_life_that_this_machine_has_said_is_over_has_to_beat_on_before_it_counts() -> None:
    published = Store("others", 1000)
    write(published, [InstanceUpdate("i-1", FINAL_VERSION, None)])
    upstream = make(published)
    assert upstream.on_heartbeat(0.0, heartbeat(7)) == [] and upstream.contender == "i-1"
    assert upstream.on_heartbeat(TAKEOVER_MS - 1.0, heartbeat(8)) == []
    (here,) = upstream.on_heartbeat(TAKEOVER_MS, heartbeat(9))
    assert here.value is not None and upstream.instance == "i-1"


def test_a_crash_without_a_word_is_believed_after_silence_and_taken_back_with_the_next_beat() -> None:
    upstream = make()
    (first_update,) = upstream.on_heartbeat(0.0, heartbeat(1))
    assert upstream.on_connection_refused(SILENT_HEARTBEATS * BEAT_MS - 1.0) == []
    (gone,) = upstream.on_connection_refused(SILENT_HEARTBEATS * BEAT_MS)
    assert gone.value is None and first_update.version < gone.version < FINAL_VERSION
    assert upstream.on_connection_refused(9 * BEAT_MS) == []
    (back,) = upstream.on_heartbeat(9 * BEAT_MS, heartbeat(2))
    assert back.value is not None and back.version > gone.version


def test_beats_that_say_nothing_new_publish_nothing() -> None:
    upstream = make()
    assert len(upstream.on_heartbeat(0.0, heartbeat(1, cold=900.0))) == 1
    assert upstream.on_heartbeat(1.0, heartbeat(2, cold=600.0)) == []
    assert upstream.republish(5 * VERSIONS_PER_HEARTBEAT)[0].version == 5 * VERSIONS_PER_HEARTBEAT + 1


def test_what_another_says_of_no_instance_of_ours_is_not_answered() -> None:
    upstream = make()
    assert upstream.republish(7) == [] and upstream.shut_down(0.0) == [] and upstream.on_published() == []


def test_a_late_beat_of_a_life_that_ended_here_does_not_end_the_one_that_is_here() -> None:
    upstream = make()
    upstream.on_heartbeat(0.0, heartbeat(7))
    upstream.on_heartbeat(10.0, heartbeat(1, "i-2"))
    assert upstream.on_heartbeat(11.0, heartbeat(8)) == []
    assert upstream.instance == "i-2"


def test_a_late_beat_of_a_life_that_was_never_heard_does_not_end_the_one_that_beats_on() -> None:
    """A sidecar that resumes or starts reads heartbeats out of order."""
    upstream = make()
    upstream.on_heartbeat(0.0, heartbeat(1, "i-2"))
    upstream.on_heartbeat(1.0, heartbeat(9, "i-1"))  # of the previous incarnation
    upstream.on_heartbeat(1500.0, heartbeat(2, "i-2"))
    upstream.on_heartbeat(3000.0, heartbeat(3, "i-2"))
    assert upstream.instance == "i-2" and not upstream.gone


@pytest.mark.parametrize("heard", ["", "i-2"])
def test_a_sign_off_is_published_though_the_sidecar_has_heard_no_heartbeat_of_it(heard: str) -> None:
    """A restarted sidecar passed over it and acknowledged it; the others went on sending (review/1)."""
    upstream = make()
    if heard:
        upstream.on_heartbeat(0.0, heartbeat(1, heard))
    assert upstream.leave("i-1") == [sign_off("i-1")] and upstream.leave("i-1") == []
    assert upstream.on_heartbeat(9000.0, heartbeat(8)) == [] and upstream.contender == ""
    assert upstream.instance == heard and not upstream.gone


def test_a_sign_off_outranks_whatever_was_published_and_is_never_taken_back() -> None:
    """Two late heartbeats brought back an instance that had signed off before the sidecar restarted."""
    published = Store("others", 1000)
    write(published, [InstanceUpdate("i-1", FINAL_VERSION + 9 * VERSIONS_PER_HEARTBEAT, {"state": SETTLED})])
    write(published, make(published).leave("i-1"))
    assert state_in(published, "i-1") is None
    again = make(published)
    for now in 0.0, 2 * TAKEOVER_MS, 4 * TAKEOVER_MS:
        write(published, again.on_heartbeat(now, heartbeat(7 + int(now))))
        write(published, again.on_published())
    assert published.items["instance", "i-1"].version == SIGNED_OFF_VERSION and again.instance == ""


def test_a_sign_off_that_others_know_ends_one_that_a_late_heartbeat_made_current() -> None:
    """The late heartbeat was read before the membership arrived."""
    published = Store("others", 1000)
    upstream = make(published)
    write(published, upstream.on_heartbeat(0.0, heartbeat(7)))
    write(published, [sign_off("i-1")])
    assert upstream.on_published() == [] and upstream.gone
    assert upstream.on_heartbeat(1.0, heartbeat(8)) == []


def test_a_beat_that_comes_behind_the_signing_off_changes_nothing() -> None:
    upstream = make()
    upstream.on_heartbeat(0.0, heartbeat(7))
    upstream.leave("i-1")
    assert upstream.on_heartbeat(11.0, heartbeat(8)) == []
    assert upstream.gone


# Late heartbeats that a restarted sidecar reads


def drained_before_a_restart(at_count: int, above: int = 0) -> Store:
    """The membership after an earlier incarnation of the sidecar has acknowledged a drain."""
    published = Store("others", 1000)
    earlier = make(published)
    write(published, earlier.on_heartbeat(0.0, heartbeat(at_count - 1)))
    if above:  # given up by mistake, and published again above that
        write(published, [InstanceUpdate("i-1", above, None)])
        write(published, earlier.on_published())
    write(published, earlier.on_heartbeat(1.0, heartbeat(at_count, state=DECAYING)))
    assert state_in(published, "i-1") == DECAYING
    return published


@pytest.mark.parametrize("above", [0, FINAL_VERSION])
def test_a_late_heartbeat_after_a_restart_does_not_end_a_drain(above: int) -> None:
    """A late settled one, read first, was published above the drain that others knew of."""
    published = drained_before_a_restart(50, above)
    again = make(published)
    assert again.on_heartbeat(0.0, heartbeat(49)) == [] and again.heartbeat is None
    write(published, again.on_heartbeat(1.0, heartbeat(51, state=DECAYING)))
    write(published, again.on_published())
    assert state_in(published, "i-1") == DECAYING and again.drain_started_at == -math.inf


@pytest.mark.parametrize("above", [0, FINAL_VERSION])
def test_a_late_heartbeat_that_is_read_before_the_membership_does_not_end_a_drain(above: int) -> None:
    """It became the current one, and was published again above the drain once that arrived."""
    known, published = drained_before_a_restart(50, above), Store("here", 1000)
    again = make(published)
    write(published, again.on_heartbeat(0.0, heartbeat(49)))
    published.merge(known.items.values(), known.vector)
    assert again.on_published() == [] and again.drain_started_at == -math.inf
    write(published, again.on_heartbeat(1.0, heartbeat(51, state=DECAYING)))
    write(published, again.on_published())
    assert state_in(published, "i-1") == DECAYING and again.on_published() == []


def test_a_sidecar_that_drained_for_its_own_shutdown_serves_again_after_its_restart() -> None:
    """Its upstream goes on: the next heartbeats are later than what was published."""
    published = Store("others", 1000)
    earlier = make(published)
    write(published, earlier.on_heartbeat(0.0, heartbeat(9)))
    write(published, earlier.shut_down(1.0))
    assert state_in(published, "i-1") == DECAYING
    again = make(published)
    write(published, again.on_heartbeat(0.0, heartbeat(10)))
    assert state_in(published, "i-1") == SETTLED and again.drain_started_at is None


# Late heartbeats of a former instance


@pytest.mark.parametrize(
    "late", [((200, 6), (1250, 7), (2350, 5)), ((200, 5), (1250, 6), (2350, 7), (2600, 8))]
)
def test_late_heartbeats_of_the_dead_neither_replace_nor_end_the_living(
    late: Sequence[tuple[int, int]],
) -> None:
    """Its service had no upstream for good, though it went on with its heartbeats (review/3)."""
    published = Store("others", 1000)
    upstream = make(published)
    arrivals = [(BEAT_MS * n, heartbeat(n + 1, "i-living")) for n in range(4)]
    arrivals += [(float(at), heartbeat(count, "i-dead")) for at, count in late]
    write(published, upstream.on_heartbeat(-9000.0, heartbeat(4, "i-dead")))
    for now, one in sorted(arrivals, key=lambda pair: pair[0]):
        write(published, upstream.on_heartbeat(now, one))
        assert upstream.instance == "i-living"
    assert (state_in(published, "i-living"), state_in(published, "i-dead")) == (SETTLED, None)


def test_an_end_that_was_only_inferred_is_taken_back() -> None:
    """The heartbeats of the living one came late, those of the dead one behind them on time."""
    published = Store("others", 1000)
    upstream = make(published)
    write(published, upstream.on_heartbeat(0.0, heartbeat(1, "i-living")))
    for now, count in (BEAT_MS + 1.0, 6), (BEAT_MS + 2.0 + TAKEOVER_MS, 7):
        write(published, upstream.on_heartbeat(now, heartbeat(count, "i-dead")))
    assert published.items["instance", "i-living"].version == FINAL_VERSION
    for count, now in enumerate((2 * BEAT_MS, 3 * BEAT_MS, 4 * BEAT_MS), 2):
        write(published, upstream.on_heartbeat(now, heartbeat(count, "i-living")))
    assert upstream.instance == "i-living"
    assert (state_in(published, "i-living"), state_in(published, "i-dead")) == (SETTLED, None)


@given(st.lists(st.tuples(st.integers(0, 9000), st.integers(5, 12)), max_size=8), st.integers(0, 400))
@settings(max_examples=250)
def test_whatever_late_heartbeats_come_the_living_one_is_back(
    late: list[tuple[int, int]], delay: int
) -> None:
    """``delay``: of every other heartbeat of the living one, in milliseconds."""
    published = Store("others", 1000)
    upstream = make(published)
    write(published, upstream.on_heartbeat(-9000.0, heartbeat(4, "i-dead")))
    arrivals = [(BEAT_MS * n + delay * (n % 2), heartbeat(n + 1, "i-living")) for n in range(12)]
    arrivals += [(float(at), heartbeat(count, "i-dead")) for at, count in late]
    for now, one in sorted(arrivals, key=lambda pair: pair[0]):
        write(published, upstream.on_heartbeat(now, one))
        write(published, upstream.on_published())
    assert upstream.instance == "i-living" and state_in(published, "i-living") == SETTLED
