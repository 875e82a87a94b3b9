"""A small model of membership changes, for `statecheck`: votes on one slot under epochs, successive changes,
lost disks and failing machines. All decisions are made by the shipped code (`membership_epochs`, `quorum`,
`reconfiguration`); the model stands in for its host and the network.

Two values, X and Y, compete for the slot. A ballot starts with a prepare quorum, adopts the highest vote
found there, and is accepted by one machine after the other. That a ballot refuses lower ones, and that a
fence refuses all ballots under way, is assumed here; `rigs/order_model` explores it. Epochs, synchronisation,
complete disks, joint quorums and the order of a change are explored here, one step of one machine at a time.

Faults are restricted to the permitted ones: no more members are lost at once than is tolerated, and only a
machine that is no member any more is removed with its disk.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from functools import lru_cache
from itertools import combinations
from typing import Any, NamedTuple

from mesh.replication.membership_epochs import View
from mesh.replication.quorum import Place, Tolerance
from mesh.replication.reconfiguration import MemberStatus, plan_change
from statecheck import Model, Violation
from statecheck.model import State

TOLERANCE = Tolerance(1, 0, 0)
PLACE = Place("z", "r")
X, Y = "x", "y"


class Machine(NamedTuple):
    up: bool
    epoch: int  # the newest that it knows
    disk_complete: bool
    synced_epoch: int  # the epoch that it has caught up with
    # The machines whose state it has read since it learned that epoch, or since its fence started.
    sources: frozenset[str]
    fence: int  # ballots up to this are refused by the machines that confirmed its fence; 0: no fence
    promised: int
    vote: int  # the ballot, 0: none


class Ballot(NamedTuple):
    value: str
    epoch: int
    accepted_by: frozenset[str]


class Change(NamedTuple):
    """``joins``: machines that want to be members; ``leaves``: members that shut down. A machine that is down
    counts as gone."""

    joins: str = ""
    leaves: str = ""


@dataclass(frozen=True, slots=True)
class Scenario:
    changes: tuple[Change, ...]
    machines: str = "abcd"
    founders: str = "abc"
    ballots: int = 1
    wipes: int = 0
    wiped: str = ""  # machines whose disks may be lost; empty: any
    failures: int = 0
    removals: int = 0  # machines that are no members any more and are removed with their disks
    returns: int = 0  # removed members that return with their disks


ViewNames = tuple[str, str | None]  # members now and before; the epoch is the index in the state


class MembershipModel(Model):
    def __init__(self, name: str, scenario: Scenario) -> None:
        self.name, self.scenario = name, scenario
        self._quorum_checks: dict[tuple[Any, ...], bool] = {}

    def initial(self) -> Iterable[State]:
        scenario = self.scenario
        first = View(1, dict.fromkeys(scenario.founders, PLACE))
        machines = tuple(
            Machine(True, 1 if n in scenario.founders else 0, n in scenario.founders, 0, frozenset(), 0, 0, 0)
            for n in scenario.machines
        )
        left = (scenario.wipes, scenario.failures, scenario.removals, scenario.returns)
        yield (machines, (_view_names(first),), None, 0, (), left)

    # Quorum checks, cached

    def _durable(self, view_names: ViewNames, holders: frozenset[str]) -> bool:
        check = ("durable", view_names, holders)
        if check not in self._quorum_checks:
            self._quorum_checks[check] = _view_of(1, view_names).durable(holders, TOLERANCE)
        return self._quorum_checks[check]

    def _overlaps(self, view_names: ViewNames, responders: frozenset[str]) -> bool:
        check = ("overlaps", view_names, responders)
        if check not in self._quorum_checks:
            self._quorum_checks[check] = _view_of(1, view_names).overlaps(responders, TOLERANCE)
        return self._quorum_checks[check]

    # Events

    def events(self, state: State) -> Sequence[Any]:
        machines, views, vote, changes_done, ballots, left = state
        by_name = dict(zip(self.scenario.machines, machines, strict=True))
        newest = views[-1]
        enabled: list[Any] = []
        for name, machine in by_name.items():
            if machine.up and machine.epoch < len(views):
                enabled.append(("learn epoch", name))
        for epoch in sorted({machine.epoch for machine in machines if machine.up} - {0}):
            if len(ballots) < self.scenario.ballots:
                responders = [
                    name for name in _names(views[epoch - 1]) if self._read_counts(by_name[name], epoch)
                ]
                quorums = self._minimal_quorums(views[epoch - 1], frozenset(responders))
                # Before the first promise all quorums are equivalent.
                enabled += [
                    ("start ballot", epoch, quorum) for quorum in (quorums if ballots else quorums[:1])
                ]
        for number, ballot in enumerate(ballots, 1):
            for name in sorted(_names(views[ballot.epoch - 1]) - ballot.accepted_by):
                if (
                    self._answer_counts(by_name[name], ballot.epoch)
                    and max(by_name[name].promised, by_name[name].vote) <= number
                ):
                    enabled.append(("accept", number, name))
        for name, machine in by_name.items():
            if not (machine.up and machine.epoch):
                continue
            view = views[machine.epoch - 1]
            if not machine.disk_complete:
                if not machine.fence:
                    enabled.append(("fence", name))
                for other in sorted(_names(view) - {name} - machine.sources):
                    if machine.fence and self._answer_counts(by_name[other], machine.epoch):
                        enabled.append(("confirm fence", name, other))
            elif view[1] is not None and machine.synced_epoch < machine.epoch and name in view[0]:
                for other in sorted(set(view[1]) - machine.sources):
                    if self._can_sync_from(by_name[other], machine.epoch):
                        enabled.append(("sync", name, other))
        if vote is None:
            if self._planned_view(state) is not None:
                enabled.append(("propose",))
        else:
            for name in sorted(_names(newest) - vote[1]):
                if self._answer_counts(by_name[name], len(views)) and self._may_vote(
                    by_name[name], name, vote[0]
                ):
                    enabled.append(("vote", name))
        lost = sum(not (by_name[name].up and by_name[name].disk_complete) for name in _names(newest))
        for name in sorted(_names(newest)):
            if by_name[name].up and by_name[name].disk_complete and self._loss_tolerated(lost):
                enabled += [("wipe", name)] if left[0] and name in (self.scenario.wiped or name) else []
                enabled += [("fail", name)] if left[1] else []
        for name, machine in by_name.items():
            if machine.up and name not in _names(newest) and machine.epoch and left[2]:
                enabled.append(("remove", name))
            if not machine.up and left[3] and machine.epoch and name not in _names(newest):
                enabled.append(("return", name))
        return enabled

    def _loss_tolerated(self, lost: int) -> bool:
        return lost < TOLERANCE.machines

    def _answer_counts(self, machine: Machine, epoch: int) -> bool:
        """Whether an answer of this machine counts under that epoch; otherwise epochs are exchanged first."""
        return machine.up and machine.disk_complete and machine.epoch == epoch

    def _read_counts(self, machine: Machine, epoch: int) -> bool:
        """The same for the answers that a proposer collects before it proposes, and for reads."""
        return self._answer_counts(machine, epoch)

    def _can_sync_from(self, machine: Machine, epoch: int) -> bool:
        return machine.up and machine.disk_complete and machine.epoch >= epoch

    def _may_vote(self, machine: Machine, name: str, proposed: ViewNames) -> bool:
        """Whether a machine may vote for a view; it votes for the final epoch only once it has caught up."""
        now, before = proposed
        return before is not None or name not in now or machine.synced_epoch >= machine.epoch

    def _minimal_quorums(self, view_names: ViewNames, responders: frozenset[str]) -> list[frozenset[str]]:
        """The prepare quorums that contain no smaller one."""
        minimal: list[frozenset[str]] = []
        for count in range(len(responders) + 1):
            for some in combinations(sorted(responders), count):
                names = frozenset(some)
                if not any(smaller <= names for smaller in minimal) and self._overlaps(view_names, names):
                    minimal.append(names)
        return minimal

    def _planned_view(self, state: State) -> View | None:
        machines, views, _, changes_done, _, _ = state
        view = _view_of(len(views), views[-1])
        if view.previous_members is None and changes_done >= len(self.scenario.changes):
            return None
        change = self.scenario.changes[min(changes_done, len(self.scenario.changes) - 1)]
        statuses = {}
        for name, machine in zip(self.scenario.machines, machines, strict=True):
            statuses[name] = MemberStatus(
                PLACE,
                machine.up,
                machine.disk_complete,
                machine.synced_epoch,
                name in change.joins,
                name in change.leaves,
                gone=not machine.up,
            )
        return plan_change(view, statuses, TOLERANCE).view

    def step(self, state: State, event: Any) -> State:
        machines, views, vote, changes_done, ballots, left = state
        by_name = dict(zip(self.scenario.machines, machines, strict=True))
        budget = list(left)
        kind = event[0]
        if kind == "learn epoch":
            machine = by_name[event[1]]
            fence = (
                0 if not machine.disk_complete else machine.fence
            )  # the fence starts again under the newer view
            by_name[event[1]] = machine._replace(epoch=machine.epoch + 1, sources=frozenset(), fence=fence)
            by_name[event[1]] = self._count_own_copy(by_name[event[1]], event[1], views)
        elif kind == "start ballot":
            number = len(ballots) + 1
            highest_vote = max(by_name[name].vote for name in event[2])
            value = ballots[highest_vote - 1].value if highest_vote else (X, Y, X)[number - 1]
            for name in event[2] if ballots else ():
                by_name[name] = by_name[name]._replace(promised=number)
            ballots = (*ballots, Ballot(value, event[1], frozenset()))
        elif kind == "accept":
            number, name = event[1], event[2]
            by_name[name] = by_name[name]._replace(vote=number)
            ballot = ballots[number - 1]
            changed = ballot._replace(accepted_by=ballot.accepted_by | {name})
            ballots = (*ballots[: number - 1], changed, *ballots[number:])
        elif kind == "fence":
            by_name[event[1]] = by_name[event[1]]._replace(fence=len(ballots) + 1)
        elif kind == "confirm fence":
            by_name = self._confirm_fence(by_name, event[1], event[2], views)
        elif kind == "sync":
            machine, other = by_name[event[1]], by_name[event[2]]
            machine = machine._replace(
                vote=max(machine.vote, other.vote), sources=machine.sources | {event[2]}
            )
            by_name[event[1]] = self._with_sync(machine, views)
        elif kind == "propose":
            planned = self._planned_view(state)
            assert planned is not None
            vote = (_view_names(planned), frozenset())
        elif kind == "vote":
            assert vote is not None
            vote = (vote[0], vote[1] | {event[1]})
            if self._durable(views[-1], vote[1]):
                decided = vote[0]
                views, vote, changes_done = (*views, decided), None, changes_done + (decided[1] is not None)
        elif kind in ("wipe", "remove"):
            machine = by_name[event[1]]
            budget[0 if kind == "wipe" else 2] -= 1
            up = kind == "wipe"
            by_name[event[1]] = Machine(
                up, machine.epoch if up else 0, not self._wipe_is_noticed(), 0, frozenset(), 0, 0, 0
            )
            if vote is not None:
                vote = (vote[0], vote[1] - {event[1]})
        elif kind == "fail":
            budget[1] -= 1
            by_name[event[1]] = by_name[event[1]]._replace(up=False)
        elif kind == "return":
            budget[3] -= 1
            by_name[event[1]] = by_name[event[1]]._replace(up=True, sources=frozenset())
        return (tuple(by_name.values()), views, vote, changes_done, ballots, tuple(budget))

    def _wipe_is_noticed(self) -> bool:
        """Whether a machine notices that its disk has become empty."""
        return True

    def _confirm_fence(
        self, by_name: dict[str, Machine], name: str, other: str, views: Any
    ) -> dict[str, Machine]:
        """The other machine refuses all ballots under way when the fence started, and is read after that."""
        machine, confirming = by_name[name], by_name[other]
        confirming = confirming._replace(promised=max(confirming.promised, self._fence_floor(machine)))
        machine = machine._replace(vote=max(machine.vote, confirming.vote), sources=machine.sources | {other})
        if self._fence_is_complete(views[machine.epoch - 1], machine.sources):
            # It accepts only ballots above the fence, thus above all that it may have promised.
            machine = machine._replace(
                disk_complete=True,
                sources=frozenset(),
                fence=0,
                promised=max(machine.fence, machine.promised),
            )
            machine = self._count_own_copy(machine, name, views)
        return {**by_name, name: machine, other: confirming}

    def _fence_is_complete(self, view_names: ViewNames, sources: frozenset[str]) -> bool:
        return self._durable(view_names, sources)

    def _fence_floor(self, machine: Machine) -> int:
        return machine.fence

    def _count_own_copy(self, machine: Machine, name: str, views: Any) -> Machine:
        """Its own state counts as read if its disk counted in the previous view."""
        before = views[machine.epoch - 1][1]
        if machine.disk_complete and before is not None and name in before:
            return self._with_sync(machine._replace(sources=machine.sources | {name}), views)
        return machine

    def _with_sync(self, machine: Machine, views: Any) -> Machine:
        now, before = views[machine.epoch - 1]
        if self._sync_is_complete(before, machine.sources):
            return machine._replace(synced_epoch=machine.epoch, sources=frozenset())
        return machine

    def _sync_is_complete(self, before: str, sources: frozenset[str]) -> bool:
        return self._overlaps((before, None), sources)

    # Properties

    def violations(self, before: State | None, event: Any, after: State) -> Iterable[Violation]:
        machines, views, _, _, ballots, _ = after
        by_name = dict(zip(self.scenario.machines, machines, strict=True))
        chosen = [
            (number, ballot)
            for number, ballot in enumerate(ballots, 1)
            if self._was_chosen(views[ballot.epoch - 1], ballot)
        ]
        if len({ballot.value for _, ballot in chosen}) > 1:
            yield Violation("two contents", f"{chosen} are both chosen")
        for number, ballot in chosen[:1]:
            for epoch in {machine.epoch for machine in machines} - {0}:
                without_vote = frozenset(
                    name
                    for name, machine in by_name.items()
                    if self._read_counts(machine, epoch) and machine.vote < number
                )
                if self._overlaps(views[epoch - 1], without_vote):
                    yield Violation(
                        "missed", f"epoch {epoch}: {sorted(without_vote)} are a quorum without {ballot.value}"
                    )
        now = views[-1][0]
        if len(now) < min(len(self.scenario.founders), 2 * TOLERANCE.machines + 1):
            yield Violation("too few", f"only {now} are members")

    def _was_chosen(self, view_names: ViewNames, ballot: Ballot) -> bool:
        """Whether the ballot was chosen, independently of the checked code: more than half of each member set
        accepted it, and more than may be lost."""
        now, before = view_names
        return all(
            2 * len(ballot.accepted_by & set(members)) > len(members)
            and (
                len(ballot.accepted_by & set(members)) > TOLERANCE.machines
                or set(members) <= ballot.accepted_by
            )
            for members in ((now,) if before is None else (before, now))
        )


def _view_names(view: View) -> ViewNames:
    return (
        "".join(sorted(view.members)),
        None if view.previous_members is None else "".join(sorted(view.previous_members)),
    )


def _view_of(epoch: int, view_names: ViewNames) -> View:
    now, before = view_names
    return View(epoch, dict.fromkeys(now, PLACE), None if before is None else dict.fromkeys(before, PLACE))


@lru_cache
def _names(view_names: ViewNames) -> frozenset[str]:
    return frozenset(view_names[0] + (view_names[1] or ""))


SWAP = Change("d", "c")
SCENARIOS = {
    "two wipes": Scenario((), "abc", wipes=2),
    "two values, a wipe": Scenario((), "abc", ballots=2, wipes=1),
    "one leaves": Scenario((Change(leaves="c"),), "abc", failures=1),
    "a replacement, then a removal": Scenario((SWAP,), removals=1),
}
CHAIN = Scenario((SWAP, Change("c", "b")))
LARGE_SCENARIOS = {
    "a replacement, a wipe of a staying member": Scenario((SWAP,), wipes=1, wiped="a"),
    "a replacement, a wipe of the leaving member": Scenario((SWAP,), wipes=1, wiped="c"),
    "a replacement, a wipe of the joining member": Scenario((SWAP,), wipes=1, wiped="d"),
    "a replacement, a wipe": Scenario((SWAP,), wipes=1),
    "a replacement, two values": Scenario((SWAP,), ballots=2),
    "a replacement of a failed member, then a removal": Scenario((SWAP,), failures=1, removals=1),
    "a replacement, two values, a wipe": Scenario((SWAP,), ballots=2, wipes=1),
    "a replacement, two wipes": Scenario((SWAP,), wipes=2),
    "three replacements": Scenario((SWAP, Change("e", "b"), Change("c", "a")), "abcde"),
}
