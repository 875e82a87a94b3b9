"""Stages in the small, for `statecheck`: two control processes, sidecars and two routes; news, reports and
words that come in any order, late, twice or never; sidecars that crash, stand still and are cut off. What
decides is the shipped code (`StagedActivation`, `UpdateContact`, `RolloutReport`, `VersionCheck`); the model
is its host and its surroundings.

Time goes by ticks. What the rules promise of the surroundings is a guard of the tick: timers fire in time, an
acknowledgement comes within ACK, and news reach a sidecar in touch within NEWS of it.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

from mesh.replication.items import Item
from mesh.rollout.change_kinds import STAGED, ChangeKind
from mesh.rollout.contact import UpdateContact
from mesh.rollout.report import RolloutReport
from mesh.rollout.staged_activation import ItemActivation, StagedActivation
from mesh.rollout.version_check import VersionCheck
from statecheck import Model, Violation
from statecheck.model import State

HOLD, NEWS, ACK, CONTACT, GAP = 1, 2, 1, 3, 1.5  # ticks
SETTLE = HOLD + NEWS
LONG_AGO, NEVER = -99, 99


class Change(NamedTuple):
    item: int
    version: int
    kind: ChangeKind
    core: int  # where the operator sends it
    until: int = 0  # at the latest


class Core(NamedTuple):
    known: tuple[int, ...]  # versions, by item
    reports: tuple[tuple[Any, ...], ...]  # by sidecar: life, vector, held; or empty
    words: frozenset[
        tuple[int, int]
    ]  # items and versions of which it says that the first part's word is good


class Side(NamedTuple):
    status: str  # runs, stands, cut
    life: int
    force: tuple[int, ...]
    known: tuple[int, ...]
    since: tuple[int, ...]  # when each was known
    waits: tuple[int, ...]  # since when something newer than what is in force is known; NEVER: nothing is
    held: tuple[tuple[int, int, int, int], ...]  # item, version, latest, known
    contact: tuple[float | None, float]
    said: tuple[Any, ...]
    touched: int
    broken: str  # what its last step did that no step may


@dataclass(frozen=True, slots=True)
class Size:
    changes: tuple[Change, ...]
    sides: int = 2
    holders: int = 1  # control processes that hear reports and give words
    crashes: int = 0
    stands: int = 0
    cuts: int = 0
    core_crashes: int = 0
    until: int = 6


class Stages(Model):
    def __init__(self, name: str, size: Size) -> None:
        self.name, self.size = name, size
        self.items = 2

    def initial(self) -> Iterable[State]:
        size = self.size
        none = (0,) * self.items
        core = Core(none, ((),) * size.sides, frozenset())
        side = _started(0, self.items, (float(LONG_AGO), 0.0), (), LONG_AGO)
        written = ((None, None),) * len(size.changes)  # when it was taken, and acknowledged
        left = (size.crashes, size.stands, size.cuts, size.core_crashes)
        yield (0, (core, core), (side,) * size.sides, written, left)

    # What can happen

    def events(self, state: State) -> Sequence[Any]:
        now, cores, sides, written, left = state
        found: list[Any] = []
        for at, change in enumerate(self.size.changes):
            taken, acked = written[at]
            if taken is None and now <= change.until:
                found.append(("write", at))
            elif (
                taken is not None
                and acked is None
                and all(c.known[change.item] >= change.version for c in cores)
            ):
                found.append(("ack", at))
        for here, core in enumerate(cores):
            if any(mine > other for mine, other in zip(core.known, cores[1 - here].known, strict=True)):
                found.append(("share", here))
            for item in range(self.items):
                if here < self.size.holders and self._may_say(core, item, now):
                    found.append(("word", here, item))
            if left[3] and (core.words or any(core.reports)):
                found.append(("core crash", here))
        for at, side in enumerate(sides):
            if side.status != "stands":
                if any(one[2] <= now for one in side.held):
                    found.append(("due", at))
                if side.known != (0,) * self.items and self._report(side) != side.said:
                    found.append(("say", at))
                if left[1]:
                    found.append(("stand", at))
            else:
                found.append(("go on", at))
            if side.status == "runs":
                for here, core in enumerate(cores):
                    if any(c > k for c, k in zip(core.known, side.known, strict=True)):
                        found.append(("news", here, at))
                    for item, version in sorted(core.words):
                        if any(one[0] == item for one in side.held):
                            found.append(("go", at, item, version))
                if left[2]:
                    found.append(("cut", at))
            if side.status == "cut":
                found.append(("heal", at))
            if side.status != "cut" and side.said:  # said before a crash or a stand-still: on its way
                found += [
                    ("deliver", at, here)
                    for here, c in enumerate(cores[: self.size.holders])
                    if c.reports[at] != side.said
                ]
            if left[0]:
                found.append(("crash", at))
        if now < self.size.until and self._may_tick(state):
            found.append(("tick",))
        return found

    def _may_tick(self, state: State) -> bool:
        now, _, sides, written, _ = state
        for at, change in enumerate(self.size.changes):
            taken, acked = written[at]
            if taken is not None and acked is None and now >= taken + ACK:
                return False
            for side in sides:
                late = acked is not None and now >= acked + NEWS and now - side.touched >= 1
                if side.status == "runs" and late and side.known[change.item] < change.version:
                    return False
        return not any(one[2] <= now for side in sides if side.status != "stands" for one in side.held)

    # Steps

    def step(self, state: State, event: Any) -> State:
        now, cores, sides, written, left = state
        cores, sides, written, left = list(cores), list(sides), list(written), list(left)
        what = event[0]
        if what == "write":
            change = self.size.changes[event[1]]
            written[event[1]] = (now, None)
            core = cores[change.core]
            cores[change.core] = core._replace(known=_put(core.known, change.item, change.version))
        elif what == "ack":
            written[event[1]] = (written[event[1]][0], now)
        elif what == "share":
            here, other = cores[event[1]], cores[1 - event[1]]
            known = tuple(map(max, here.known, other.known))
            cores[1 - event[1]] = other._replace(known=known)
        elif what == "word":
            core = cores[event[1]]
            cores[event[1]] = core._replace(words=core.words | {(event[2], core.known[event[2]])})
        elif what == "core crash":
            cores[event[1]] = Core(cores[event[1]].known, ((),) * len(sides), frozenset())
            left[3] -= 1
        elif what == "deliver":
            core = cores[event[2]]
            cores[event[2]] = core._replace(reports=_put(core.reports, event[1], sides[event[1]].said))
        elif what == "tick":
            sides = [self._tick(now + 1, side) for side in sides]
            return (now + 1, tuple(cores), tuple(sides), tuple(written), tuple(left))
        else:
            sides[event[2] if what == "news" else event[1]] = self._side(now, cores, sides, event, left)
        return (now, tuple(cores), tuple(sides), tuple(written), tuple(left))

    def _side(self, now: int, cores: list[Core], sides: list[Side], event: Any, left: list[int]) -> Side:
        what, at = event[0], event[2] if event[0] == "news" else event[1]
        side: Side = sides[at]._replace(broken="")
        if what == "news":
            for item, version in enumerate(cores[event[1]].known):
                if version > side.known[item]:
                    side = self._know(now, at, side, item, version)
            return side
        if what == "due":
            chamber = _chamber(side)
            for one in chamber.activate_due(float(now)):
                side = self._use(side, one)
            return side._replace(held=_held(chamber))
        if what == "go":
            chamber = _chamber(side)
            gone = chamber.approve(float(now), _key(event[2]), event[3])
            if gone is not None:
                side = self._use(side, gone)
                if gone.version != event[3]:
                    side = side._replace(broken=f"word: for r{event[3]}, and r{gone.version} was taken")
            return side._replace(held=_held(chamber))
        if what == "say":
            return side._replace(said=self._report(side))
        if what == "crash":
            left[0] -= 1
            return _started(side.life + 1, self.items, (None, float(LONG_AGO)), side.said, now)
        left[1] -= what == "stand"
        left[2] -= what == "cut"
        status = {"stand": "stands", "cut": "cut"}.get(what, "runs")
        if what == "cut":
            side = side._replace(contact=(None, side.contact[1]))
        return side._replace(status=status, touched=now)

    def _know(self, now: int, at: int, side: Side, item: int, version: int) -> Side:
        """As `StagedRoutes.receive_route` does it."""
        kind = next(c.kind for c in self.size.changes if (c.item, c.version) == (item, version))
        chamber, first = _chamber(side), at == self._first(item, version)
        behind = _contact(side).is_behind(float(now))
        before = chamber.held.get(_key(item))
        one = chamber.receive(float(now), _key(item), version, kind, first, behind)
        side = side._replace(
            known=_put(side.known, item, version),
            since=_put(side.since, item, now),
            waits=_put(side.waits, item, min(side.waits[item], now)),
            held=_held(chamber),
        )
        at_once = one.deadline <= now
        if at_once:
            side = self._use(side, one)
        since, looked = side.contact
        was_behind = since is None or now - since < NEWS or now - looked > GAP
        staged = kind in STAGED and not first and not was_behind and before is None
        if at_once and staged:
            return side._replace(broken="stage skipped: one of the rest took at once what goes in stages")
        if not at_once and kind not in STAGED:
            return side._replace(broken="held: what cannot hurt was held back")
        if not at_once and was_behind:
            return side._replace(broken="held: one that was behind held back")
        return side

    def _use(self, side: Side, one: ItemActivation) -> Side:
        item = int(one.key[1])
        broken = "" if one.version > side.force[item] else f"back: from {side.force[item]} to {one.version}"
        waits = NEVER if one.version >= side.known[item] else side.waits[item]
        return side._replace(
            force=_put(side.force, item, one.version),
            waits=_put(side.waits, item, waits),
            broken=side.broken or broken,
        )

    def _tick(self, now: int, side: Side) -> Side:
        side = side._replace(broken="")
        if side.status == "stands":
            return side._replace(touched=now)
        contact = _contact(side)
        contact.poll(float(now), side.status == "runs")
        touched = now if side.status == "cut" else side.touched
        return side._replace(contact=(contact._since, contact._polled_at), touched=touched)

    def _first(self, item: int, version: int) -> int:
        return (item + version) % self.size.sides

    def _report(self, side: Side) -> tuple[Any, ...]:
        return (side.life, side.known, tuple((item, version) for item, version, _, _ in side.held))

    def _may_say(self, core: Core, item: int, now: int) -> bool:
        version = core.known[item]
        if not version or (item, version) in core.words:
            return False
        return self._confirmed(core.reports[self._first(item, version)], item, version)

    def _confirmed(self, told: tuple[Any, ...], item: int, version: int) -> bool:
        if not told:
            return False
        _, known, held = told
        report = RolloutReport(
            {f"i{at}": number for at, number in enumerate(known)}, {_key(at): v for at, v in held}, 0, ()
        )
        return report.confirms(Item("route", str(item), version, {}, f"i{item}", version))

    # What must hold

    def violations(self, before: State | None, event: Any, after: State) -> Iterable[Violation]:
        now, cores, sides, written, _ = after
        for at, side in enumerate(sides):
            if side.broken:
                yield Violation(side.broken.partition(":")[0], f"sidecar {at}: {side.broken}")
            for change, (_, acked) in zip(self.size.changes, written, strict=True):
                late = acked is not None and now > acked + SETTLE and side.touched < acked - CONTACT
                if late and side.force[change.item] < change.version:
                    yield Violation(
                        "settles", f"sidecar {at} lacks {change} in force, acknowledged at {acked}"
                    )
            for item, waits in enumerate(side.waits):
                if side.touched < waits and now > waits + HOLD:
                    yield Violation("hold", f"sidecar {at} has known better of {item} since {waits}")
            for item in range(self.items):
                for core in cores:
                    told, version = core.reports[at], core.known[item]
                    if told and told[0] == side.life and version and self._confirmed(told, item, version):
                        if side.force[item] < version:
                            yield Violation("confirms", f"sidecar {at} confirms {item} r{version} in vain")
                for other in sides:
                    newer = VersionCheck(float(SETTLE + ACK))
                    if other.known[item]:
                        newer.note(float(other.since[item]), str(item), other.known[item])
                    if side.touched < other.since[item] - CONTACT:
                        if newer.outdated(float(now), str(item), side.force[item], 0.0):
                            yield Violation("turned away", f"calls of sidecar {at} by {item}, in touch")


def _started(
    life: int, items: int, contact: tuple[float | None, float], said: tuple[Any, ...], now: int
) -> Side:
    none = (0,) * items
    return Side("runs", life, none, none, (LONG_AGO,) * items, (NEVER,) * items, (), contact, said, now, "")


def _put(values: tuple[Any, ...], at: int, value: Any) -> tuple[Any, ...]:
    return (*values[:at], value, *values[at + 1 :])


def _key(item: int) -> tuple[str, str]:
    return ("route", str(item))


def _chamber(side: Side) -> StagedActivation:
    chamber = StagedActivation(float(HOLD))
    for item, version, latest, known in side.held:
        one = ItemActivation(_key(item), version, ChangeKind.MOVED, False, float(known), float(latest), "")
        chamber.held[one.key] = one
    return chamber


def _held(chamber: StagedActivation) -> tuple[tuple[int, int, int, int], ...]:
    return tuple(
        (int(one.key[1]), one.version, int(one.deadline), int(one.known_at)) for one in chamber.held.values()
    )


def _contact(side: Side) -> UpdateContact:
    contact = UpdateContact(float(NEWS), GAP)
    contact._since, contact._polled_at = side.contact
    return contact


SIZES = {
    "two operators": Size((Change(0, 2, ChangeKind.MOVED, 0), Change(0, 4, ChangeKind.MOVED, 1, 1))),
    "a change and its drop": Size(
        (Change(0, 2, ChangeKind.MOVED, 0), Change(0, 4, ChangeKind.DROPPED, 0, 1))
    ),
    "two items": Size((Change(0, 2, ChangeKind.MOVED, 0), Change(1, 2, ChangeKind.BOUNDED, 1))),
    "a crash": Size((Change(0, 2, ChangeKind.MOVED, 0),), crashes=1, core_crashes=1, holders=2, until=5),
    "a stand-still": Size((Change(0, 2, ChangeKind.MOVED, 0),), stands=1),
    "a cut": Size((Change(0, 2, ChangeKind.MOVED, 0),), cuts=1),
}
LARGE = {
    "three sidecars, two operators, a crash": Size(
        (Change(0, 2, ChangeKind.MOVED, 0), Change(0, 4, ChangeKind.MOVED, 1, 1)), sides=3, crashes=1, until=6
    ),
    "three sidecars, two items, a stand-still": Size(
        (Change(0, 2, ChangeKind.MOVED, 0), Change(1, 2, ChangeKind.BOUNDED, 1)), sides=3, stands=1, until=6
    ),
}
