"""Stages without I/O: for all orders of news, words, orders and time, what must hold of them holds."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from msgspec.structs import replace

from mesh.configuration.routes import Route
from mesh.replication.items import Item
from mesh.rollout import staged_activation as activation_module
from mesh.rollout import version_check as newer_module
from mesh.rollout.bounds import CALLER_TIMEOUT_S, derive_rollout_times
from mesh.rollout.canary_selection import CanarySelection
from mesh.rollout.canary_verdict import (
    CHECKPOINTS,
    MAX_ROUTES,
    MAX_WATCHED,
    WATCH_S,
    CanaryMonitor,
    Tally,
    is_sound,
    is_worse,
)
from mesh.rollout.change_kinds import STAGED, ChangeKind, kind_of
from mesh.rollout.contact import MAX_POLL_GAP_S, UpdateContact
from mesh.rollout.report import MAX_NAMED_ITEMS, CanaryCounts, RolloutReport, pack, read
from mesh.rollout.staged_activation import (
    MAX_HISTORY,
    MAX_PENDING_COMMANDS,
    PENDING_COMMAND_S,
    ItemActivation,
    RolloutCommand,
    StagedActivation,
    State,
)
from mesh.rollout.version_check import VersionCheck

READ = Route("a", 1, "h", "/a/", False, 1000.0, 400.0, 3, 1, (("p", 1.0),))


# Bounds, kinds


@given(settle=st.floats(100.0, 60_000.0), ack=st.floats(100.0, 60_000.0), share=st.floats(-1.0, 2.0))
def test_stages_leave_the_news_the_greater_part_and_no_caller_is_kept_until_it_leaves(
    settle: float, ack: float, share: float
) -> None:
    for times in (derive_rollout_times(settle, ack), derive_rollout_times(settle, ack, share)):
        assert times.hold_s + times.propagation_s == pytest.approx(settle / 1000.0)
        assert 0.0 <= times.hold_s <= times.propagation_s
        assert times.ack_wait_s <= 0.15 * min(ack / 1000.0, CALLER_TIMEOUT_S) + 1e-9
        assert times.adoption_s >= settle / 1000.0
    off = derive_rollout_times(settle, ack, 0.0)
    assert off.hold_s == off.ack_wait_s == 0.0


def test_what_can_hurt_goes_in_stages_and_nothing_else() -> None:
    kinds = {
        ChangeKind.ADDED: (None, READ),
        ChangeKind.DROPPED: (READ, None),
        ChangeKind.PLACED: (READ, replace(READ, prefix="/b/", split=(("q", 1.0),))),
        ChangeKind.ONCE: (READ, replace(READ, effectful=True, split=(("q", 1.0),))),
        ChangeKind.MOVED: (READ, replace(READ, split=(("p", 0.9), ("q", 0.1)))),
        ChangeKind.BOUNDED: (READ, replace(READ, horizon_ms=900.0)),
        ChangeKind.RANKED: (READ, replace(READ, aim_ms=100.0, priority=3, version=2)),
    }
    for kind, (old, new) in kinds.items():
        assert kind_of(old, new) is kind
    assert kind_of(replace(READ, effectful=True), READ) is ChangeKind.BOUNDED
    assert kind_of(READ, replace(READ, trials=1)) is ChangeKind.BOUNDED
    assert {ChangeKind.MOVED, ChangeKind.BOUNDED} == STAGED


# Draws


@settings(max_examples=40, deadline=None)
@given(count=st.integers(1, 300), zones=st.integers(1, 5), version=st.integers(1, 10**6))
def test_a_tenth_is_first_spread_over_zones_and_the_same_wherever_it_is_drawn(
    count: int, zones: int, version: int
) -> None:
    nodes = {f"n{at}": f"z{at % zones}" for at in range(count)}
    first = CanarySelection(nodes).canaries("route", "a", version)
    assert first == CanarySelection(dict(reversed(nodes.items()))).canaries("route", "a", version)
    assert len(first) == max(count // 10, 1) and first <= nodes.keys()
    by_zone = [sum(nodes[node] == f"z{at}" for node in first) for at in range(min(zones, count))]
    assert max(by_zone) - min(by_zone) <= 1
    gone = sorted(nodes.keys() - first)[:1]
    if gone and count % 10:  # one of the others that goes changes nothing, where the part stays as large
        assert (
            CanarySelection({n: z for n, z in nodes.items() if n not in gone}).canaries("route", "a", version)
            == first
        )


def test_each_version_has_a_part_of_its_own_and_nobody_is_always_in_it() -> None:
    draw = CanarySelection({f"n{at}": f"z{at % 3}" for at in range(60)})
    counts = dict.fromkeys(draw.nodes, 0)
    for version in range(2000):
        for node in draw.canaries("route", "a", version):
            counts[node] += 1
    assert min(counts.values()) > 0 and max(counts.values()) < 2000 / 2
    assert CanarySelection({}).canaries("route", "a", 1) == frozenset()


# UpdateContact


def test_who_was_out_of_contact_within_the_news_time_is_behind() -> None:
    contact = UpdateContact(1.4)
    assert contact.is_behind(0.0)
    for at in range(20):
        contact.poll(at / 10, True)
        assert contact.is_behind(at / 10) == (at < 14)
    assert not contact.is_behind(1.9 + MAX_POLL_GAP_S - 0.01) and contact.is_behind(
        1.9 + MAX_POLL_GAP_S + 0.01
    )  # it stood still
    contact.poll(2.5, True)
    assert contact.is_behind(2.5) and contact.is_behind(2.5 + 0.3)
    for at in range(15):
        contact.poll(2.5 + at / 10, True)
    assert not contact.is_behind(3.9)
    contact.poll(4.0, False)
    contact.poll(4.1, True)
    assert contact.is_behind(4.1)


# The chamber


class Chambers(RuleBasedStateMachine):
    """One sidecar's chamber as its host has it, against what must hold at every step."""

    def __init__(self) -> None:
        super().__init__()
        self.now, self.hold = 100.0, 0.6
        self.chamber = StagedActivation(self.hold)
        self.version: dict[str, int] = {}
        self.force: dict[str, int] = {}
        self.known: dict[str, list[tuple[int, float]]] = {}  # versions not in force yet, and when they came

    def use(self, one: ItemActivation) -> None:
        name = one.key[1]
        assert one.version > self.force.get(name, 0), "went back"
        self.force[name] = one.version
        self.known[name] = [(v, at) for v, at in self.known.get(name, []) if v > one.version]

    @rule(
        name=st.sampled_from("abc"),
        step=st.integers(1, 9),
        kind=st.sampled_from(list(ChangeKind)),
        first=st.booleans(),
        behind=st.booleans(),
    )
    def news(self, name: str, step: int, kind: ChangeKind, first: bool, behind: bool) -> None:
        version = self.version[name] = self.version.get(name, 0) + step
        self.known.setdefault(name, []).append((version, self.now))
        one = self.chamber.receive(self.now, ("route", name), version, kind, first, behind)
        if kind not in STAGED or first or behind:
            assert one.state is State.IN_FORCE
        if one.state is State.IN_FORCE:
            self.use(one)

    @rule(seconds=st.sampled_from([0.001, 0.1, 0.3, 0.59, 0.7, 61.0]))
    def time(self, seconds: float) -> None:
        until = self.now + seconds
        while (due := self.chamber.next_due()) is not None and due <= until:
            self.now = max(due, self.now)
            for one in self.chamber.activate_due(self.now):
                self.use(one)
        self.now = until

    @rule(name=st.sampled_from("abc"), late=st.booleans())
    def word(self, name: str, late: bool) -> None:
        version = self.version.get(name, 1) - late
        held = self.chamber.held.get(("route", name))
        one = self.chamber.approve(self.now, ("route", name), version)
        if one is not None:
            assert one.version == version and one.command is not RolloutCommand.HOLD
            self.use(one)
        elif held is not None and held.version == version:
            assert held.command is RolloutCommand.HOLD

    @rule(name=st.sampled_from("abc"), order=st.sampled_from(list(RolloutCommand)), at_next=st.booleans())
    def order(self, name: str, order: RolloutCommand, at_next: bool) -> None:
        if at_next:
            self.chamber.apply_command_to_next(self.now, ("route", name), order)
            return
        held = ("route", name) in self.chamber.held
        one = self.chamber.apply_command(self.now, ("route", name), order)
        assert (one is not None) == held
        if one is not None and order is RolloutCommand.GO:
            self.use(one)

    @precondition(lambda self: self.force)
    @rule()
    def told(self) -> None:
        self.chamber.confirm(self.now)

    @invariant()
    def all_in_time(self) -> None:
        """Whatever came, something at least as new as each version is in force within the hold."""
        for name, waiting in self.known.items():
            for version, at in waiting:
                assert self.force.get(name, 0) >= version or self.now <= at + self.hold + 1e-9

    @invariant()
    def states(self) -> None:
        assert len(self.chamber.history) <= MAX_HISTORY
        for one in self.chamber.history:
            held = self.chamber.held.get(one.key) is one
            assert held == (one.state in (State.KNOWN, State.PREPARED))


TestChambers = Chambers.TestCase
TestChambers.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


def test_what_is_held_and_ordered_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(activation_module, "MAX_HELD", 3)
    chamber = StagedActivation(0.6)
    states = [
        chamber.receive(0.0, ("route", f"r{at}"), 1, ChangeKind.MOVED, False, False).state for at in range(5)
    ]
    assert states == [State.KNOWN] * 3 + [State.IN_FORCE] * 2
    for at in range(MAX_PENDING_COMMANDS + 1):
        chamber.apply_command_to_next(0.0, ("route", f"n{at}"), RolloutCommand.GO)
    chamber = StagedActivation(0.6)
    chamber.apply_command_to_next(0.0, ("route", "a"), RolloutCommand.GO)
    assert (
        chamber.receive(PENDING_COMMAND_S + 0.1, ("route", "a"), 2, ChangeKind.MOVED, False, False).state
        is State.KNOWN
    )


# The word


def test_a_way_that_answers_500_is_seen_within_eight_calls_and_a_sound_one_never() -> None:
    chance = random.Random(49)
    for failing in (0.0, 0.01, 0.1, 0.4):  # of the old way, and of a sound new one
        for _ in range(1000):
            old = Tally(200, sum(chance.random() < failing for _ in range(200)))
            new = Tally()
            for _ in range(CHECKPOINTS[-1]):
                new.calls += 1
                new.failures += chance.random() < failing
                assert new.calls not in CHECKPOINTS or not is_worse(new, old), (failing, new, old)
    for failing in (0.0, 0.01, 0.1):
        assert is_worse(Tally(8, 8), Tally(200, int(200 * failing)))
    assert not is_worse(Tally(7, 7), Tally(200, 0)) and not is_worse(Tally(8, 8), Tally(7, 0))


def test_a_word_is_good_only_where_enough_is_known_of_both_ways() -> None:
    assert is_sound(Tally(16, 0), Tally(8, 0)) and is_sound(Tally(16, 1), Tally(8, 1))
    assert not is_sound(Tally(15, 0), Tally(100, 0)) and not is_sound(Tally(16, 0), Tally(7, 0))
    assert not is_sound(Tally(16, 2), Tally(100, 0))


def test_calls_count_for_the_version_that_they_began_with_and_lateness_by_the_longer_aim() -> None:
    watch = CanaryMonitor()
    for _ in range(20):
        watch.record(0.0, "a", 1, False, 300.0, 400.0)
    watch.start(1.0, "a", 2, 400.0)
    assert watch.record(1.0, "a", 1, True, 1.0, 400.0) is None
    looks = [watch.record(1.0, "a", 2, False, 300.0, 100.0) for _ in range(8)]
    watched = watch.watched["a"]
    assert looks == [None] * 7 + [watched] and (watched.new.calls, watched.new.failures) == (8, 0)
    assert (watched.old.calls, watched.old.failures) == (20, 0)
    assert watch.record(1.0 + WATCH_S + 0.1, "a", 2, False, 1.0, 1.0) is None and "a" not in watch.watched
    for at in range(MAX_WATCHED + 5):
        watch.start(2.0, f"r{at}", 2, 1.0)
    assert len(watch.watched) == MAX_WATCHED
    for at in range(MAX_ROUTES + 5):
        watch.record(2.0, f"s{at}", 1, False, 1.0, 2.0)
    assert len(watch._routes) == MAX_ROUTES


# Reports, versions


def test_a_report_confirms_what_its_vector_holds_but_for_what_it_names() -> None:
    count = CanaryCounts(("route", "a"), 7, (16, 1), (30, 2))
    report = RolloutReport({"c1": 5, "c2": 9}, {("route", "b"): 3}, 0, (count,))
    assert read(pack(report)) == report
    assert read({**pack(report), "of a newer program": {"x": 1}}) == report
    assert report.confirms(Item("route", "a", 7, {}, "c1", 5)) and not report.confirms(
        Item("route", "a", 8, {}, "c1", 6)
    )
    assert not report.confirms(Item("route", "b", 3, {}, "c2", 2)) and not report.confirms(
        Item("x", "y", 1, {}, "c3", 1)
    )
    for broken in ({}, {"v": []}, {"v": {"c1": "x"}}, {"v": {}, "held": [["a"]]}, {"v": {}, "counts": [[1]]}):
        with pytest.raises((KeyError, TypeError, ValueError)):
            read(broken)
    many = pack(RolloutReport({}, {("route", f"r{at}"): 1 for at in range(MAX_NAMED_ITEMS + 4)}, 0, ()))
    assert len(read(many).held) == MAX_NAMED_ITEMS


def test_no_call_is_outdated_that_its_client_sent_before_the_bound() -> None:
    newer = VersionCheck(6.0)
    newer.note(10.0, "a", 5)
    assert not newer.outdated(16.0, "a", 4, 0.0) and newer.outdated(16.1, "a", 4, 0.0)
    assert not newer.outdated(18.0, "a", 4, 2.1) and newer.outdated(18.2, "a", 4, 2.1)
    assert not newer.outdated(99.0, "a", 5, 0.0) and not newer.outdated(99.0, "b", 1, 0.0)
    newer.note(20.0, "a", 6)  # what is newest has not been known for long
    assert not newer.outdated(25.0, "a", 4, 0.0)
    for at in range(newer_module.MAX_ROUTES):
        newer.note(30.0, f"r{at}", 1)
    assert not newer.outdated(99.0, "a", 4, 0.0)
