"""Staged rollout without I/O: its invariants hold for all orders of updates, verdicts, commands and time."""

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
from mesh.rollout import version_check as version_check_module
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


# Canary selection


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
    if gone and count % 10:  # the loss of another sidecar changes nothing while the size stays the same
        assert (
            CanarySelection({n: z for n, z in nodes.items() if n not in gone}).canaries("route", "a", version)
            == first
        )


def test_each_version_has_a_part_of_its_own_and_nobody_is_always_in_it() -> None:
    selection = CanarySelection({f"n{at}": f"z{at % 3}" for at in range(60)})
    counts = dict.fromkeys(selection.nodes, 0)
    for version in range(2000):
        for node in selection.canaries("route", "a", version):
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
    )  # it was suspended
    contact.poll(2.5, True)
    assert contact.is_behind(2.5) and contact.is_behind(2.5 + 0.3)
    for at in range(15):
        contact.poll(2.5 + at / 10, True)
    assert not contact.is_behind(3.9)
    contact.poll(4.0, False)
    contact.poll(4.1, True)
    assert contact.is_behind(4.1)


# Activation


class ActivationMachine(RuleBasedStateMachine):
    """The activation of items at one sidecar as its host runs it; invariants are checked at every step."""

    def __init__(self) -> None:
        super().__init__()
        self.now, self.hold = 100.0, 0.6
        self.activation = StagedActivation(self.hold)
        self.version: dict[str, int] = {}
        self.force: dict[str, int] = {}
        # Versions that are not in force yet, and when they were received.
        self.known: dict[str, list[tuple[int, float]]] = {}

    def use(self, one: ItemActivation) -> None:
        name = one.key[1]
        assert one.version > self.force.get(name, 0), "went back"
        self.force[name] = one.version
        self.known[name] = [(v, at) for v, at in self.known.get(name, []) if v > one.version]

    @rule(
        name=st.sampled_from("abc"),
        step=st.integers(1, 9),
        kind=st.sampled_from(list(ChangeKind)),
        canary=st.booleans(),
        behind=st.booleans(),
    )
    def update(self, name: str, step: int, kind: ChangeKind, canary: bool, behind: bool) -> None:
        version = self.version[name] = self.version.get(name, 0) + step
        self.known.setdefault(name, []).append((version, self.now))
        one = self.activation.receive(self.now, ("route", name), version, kind, canary, behind)
        if kind not in STAGED or canary or behind:
            assert one.state is State.IN_FORCE
        if one.state is State.IN_FORCE:
            self.use(one)

    @rule(seconds=st.sampled_from([0.001, 0.1, 0.3, 0.59, 0.7, 61.0]))
    def time(self, seconds: float) -> None:
        until = self.now + seconds
        while (due := self.activation.next_due()) is not None and due <= until:
            self.now = max(due, self.now)
            for one in self.activation.activate_due(self.now):
                self.use(one)
        self.now = until

    @rule(name=st.sampled_from("abc"), late=st.booleans())
    def verdict(self, name: str, late: bool) -> None:
        version = self.version.get(name, 1) - late
        held = self.activation.held.get(("route", name))
        one = self.activation.approve(self.now, ("route", name), version)
        if one is not None:
            assert one.version == version and one.command is not RolloutCommand.HOLD
            self.use(one)
        elif held is not None and held.version == version:
            assert held.command is RolloutCommand.HOLD

    @rule(name=st.sampled_from("abc"), command=st.sampled_from(list(RolloutCommand)), at_next=st.booleans())
    def command(self, name: str, command: RolloutCommand, at_next: bool) -> None:
        if at_next:
            self.activation.apply_command_to_next(self.now, ("route", name), command)
            return
        held = ("route", name) in self.activation.held
        one = self.activation.apply_command(self.now, ("route", name), command)
        assert (one is not None) == held
        if one is not None and command is RolloutCommand.GO:
            self.use(one)

    @precondition(lambda self: self.force)
    @rule()
    def reported(self) -> None:
        self.activation.confirm(self.now)

    @invariant()
    def all_in_time(self) -> None:
        """Each version, or a newer one, is in force within the hold time."""
        for name, waiting in self.known.items():
            for version, at in waiting:
                assert self.force.get(name, 0) >= version or self.now <= at + self.hold + 1e-9

    @invariant()
    def states(self) -> None:
        assert len(self.activation.history) <= MAX_HISTORY
        for one in self.activation.history:
            held = self.activation.held.get(one.key) is one
            assert held == (one.state in (State.KNOWN, State.PREPARED))


TestActivation = ActivationMachine.TestCase
TestActivation.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


def test_what_is_held_and_ordered_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(activation_module, "MAX_HELD", 3)
    activation = StagedActivation(0.6)
    states = [
        activation.receive(0.0, ("route", f"r{at}"), 1, ChangeKind.MOVED, False, False).state
        for at in range(5)
    ]
    assert states == [State.KNOWN] * 3 + [State.IN_FORCE] * 2
    for at in range(MAX_PENDING_COMMANDS + 1):
        activation.apply_command_to_next(0.0, ("route", f"n{at}"), RolloutCommand.GO)
    activation = StagedActivation(0.6)
    activation.apply_command_to_next(0.0, ("route", "a"), RolloutCommand.GO)
    assert (
        activation.receive(PENDING_COMMAND_S + 0.1, ("route", "a"), 2, ChangeKind.MOVED, False, False).state
        is State.KNOWN
    )


# Canary verdict


def test_a_way_that_answers_500_is_seen_within_eight_calls_and_a_sound_one_never() -> None:
    chance = random.Random(49)
    for failing in (0.0, 0.01, 0.1, 0.4):  # of the old version, and of a sound new one
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
    monitor = CanaryMonitor()
    for _ in range(20):
        monitor.record(0.0, "a", 1, False, 300.0, 400.0)
    monitor.start(1.0, "a", 2, 400.0)
    assert monitor.record(1.0, "a", 1, True, 1.0, 400.0) is None
    results = [monitor.record(1.0, "a", 2, False, 300.0, 100.0) for _ in range(8)]
    watched = monitor.watched["a"]
    assert results == [None] * 7 + [watched] and (watched.new.calls, watched.new.failures) == (8, 0)
    assert (watched.old.calls, watched.old.failures) == (20, 0)
    assert monitor.record(1.0 + WATCH_S + 0.1, "a", 2, False, 1.0, 1.0) is None and "a" not in monitor.watched
    for at in range(MAX_WATCHED + 5):
        monitor.start(2.0, f"r{at}", 2, 1.0)
    assert len(monitor.watched) == MAX_WATCHED
    for at in range(MAX_ROUTES + 5):
        monitor.record(2.0, f"s{at}", 1, False, 1.0, 2.0)
    assert len(monitor._routes) == MAX_ROUTES


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
    version_check = VersionCheck(6.0)
    version_check.note(10.0, "a", 5)
    assert not version_check.outdated(16.0, "a", 4, 0.0) and version_check.outdated(16.1, "a", 4, 0.0)
    assert not version_check.outdated(18.0, "a", 4, 2.1) and version_check.outdated(18.2, "a", 4, 2.1)
    assert not version_check.outdated(99.0, "a", 5, 0.0) and not version_check.outdated(99.0, "b", 1, 0.0)
    version_check.note(20.0, "a", 6)  # the newest version was received only recently
    assert not version_check.outdated(25.0, "a", 4, 0.0)
    for at in range(version_check_module.MAX_ROUTES):
        version_check.note(30.0, f"r{at}", 1)
    assert not version_check.outdated(99.0, "a", 4, 0.0)
