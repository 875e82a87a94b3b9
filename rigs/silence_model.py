"""Silent members in the small, for `statecheck`: a zone whose machines die one by one or are cut off at once,
judged by the shipped code (`membership.failure_detection`).

Two members elsewhere listen; the first judges, at each step of half a second. In the zone stand a member,
its successor and a sidecar, and dead nodes that the membership store still names. A cut is of both
listeners, or of the judge alone; its nodes fall silent within the partition window of each other, and
are heard again within RECONNECT_S of its end, in any order.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import chain, combinations
from typing import Any, NamedTuple

from mesh.membership import failure_detection
from mesh.membership.failure_detection import RECONNECT_S, NodeInfo, SilenceReport, SilenceThresholds
from statecheck import Model, Violation
from statecheck.model import State

TICK_S = 0.5
SPANS = SilenceThresholds(3.0, 3.0, 600.0)  # the shorter bound, by the usual figures
ZONE = "z"
DEAD_S = 60.0  # for so long the dead nodes of the store have been silent
MOST_TICKS = 12  # of silence told apart; beyond the bound and the return nothing differs any more
RETURN_TICKS = int(RECONNECT_S / TICK_S)
STOOD_TICKS = RETURN_TICKS + 1


class Machine(NamedTuple):
    """At the judge and at the other listener, in ticks: for how long it is ``silent``, its link ``stands``,
    and since it was heard over a link that had stood for RECONNECT_S (``linked``). ``dead``: ticks since it
    died, 0: it lives; ``late``: it is heard for one tick of the cut; ``back``: its links stand, where the cut
    is over."""

    silent: tuple[int, int]
    stands: tuple[int, int]
    linked: tuple[int, int]
    dead: int
    late: bool
    back: bool


class Cut(NamedTuple):
    """``both``: of both listeners, else of the judge alone; ``healed``: ticks since its end, -1: it lasts."""

    both: bool
    healed: int


@dataclass(frozen=True, slots=True)
class Size:
    """What stands in the zone, and how often it is struck."""

    machines: tuple[str, ...] = ("member", "successor", "sidecar")
    members: tuple[str, ...] = ("member", "successor")
    dead: int = 3  # nodes of the store
    deaths: int = 2
    cuts: int = 1


class Silence(Model):
    """The zone, its two listeners and the judge."""

    def __init__(self, name: str, size: Size) -> None:
        """``name`` is the model's, for its reports."""
        self.name, self.size = name, size
        self.nodes = {name: NodeInfo(ZONE, member=name in size.members) for name in size.machines}
        self.nodes |= {f"dead-{n}": NodeInfo(ZONE, exempt=True) for n in range(size.dead)}
        self.nodes["judge"] = NodeInfo("a", member=True)

    def initial(self) -> Iterable[State]:
        """All live and are heard."""
        machine = Machine((0, 0), (STOOD_TICKS, STOOD_TICKS), (0, 0), 0, False, True)
        yield (tuple(machine for _ in self.size.machines), None, (), self.size.deaths, self.size.cuts)

    def events(self, state: State) -> Sequence[Any]:
        """Time passes, a machine dies, a cut begins or ends."""
        machines, cut, _, deaths, cuts = state
        found: list[Any] = [("tick", back) for back in self._returns(machines, cut)]
        if deaths:
            found += [("die", at) for at, one in enumerate(machines) if not one.dead]
        if cuts and cut is None:
            found += [
                ("cut", both, late) for both in (True, False) for late in _subsets(range(len(machines)))
            ]
        if cut is not None and cut.healed < 0:
            found.append(("heal",))
        return found

    def _returns(self, machines: tuple[Machine, ...], cut: Cut | None) -> Iterable[tuple[int, ...]]:
        """Which links may come up in the next tick: any, and all by the end of the return."""
        lacking = [at for at, one in enumerate(machines) if not one.back]
        if cut is None or cut.healed < 0 or not lacking:
            return [()]
        if cut.healed + 1 >= RETURN_TICKS:
            return [tuple(lacking)]
        return _subsets(lacking)

    def step(self, state: State, event: Any) -> State:
        """After each tick the judge has looked anew."""
        machines, cut, gone, deaths, cuts = state
        what = event[0]
        if what == "die":
            dies = machines[event[1]]._replace(dead=1)
            machines = (*machines[: event[1]], dies, *machines[event[1] + 1 :])
            return (machines, cut, gone, deaths - 1, cuts)
        if what == "cut":
            machines = tuple(one._replace(late=at in event[2], back=False) for at, one in enumerate(machines))
            return (machines, Cut(event[1], -1), gone, deaths, cuts - 1)
        if what == "heal":
            return (machines, cut._replace(healed=0), gone, deaths, cuts)
        machines = tuple(self._passes(one, at in event[1], cut) for at, one in enumerate(machines))
        if cut is not None and cut.healed >= 0:
            over = all(one.back for one in machines) and cut.healed >= 2 * RETURN_TICKS
            cut = None if over else cut._replace(healed=min(cut.healed + 1, 2 * RETURN_TICKS))
        gone = self._judged(machines)
        return (machines, cut, gone, deaths, cuts)

    def _passes(self, one: Machine, comes_back: bool, cut: Cut | None) -> Machine:
        one = one._replace(back=one.back or comes_back)
        passed = [self._at(listener, one, cut) for listener in (0, 1)]
        silent, stands, linked = zip(*passed, strict=True)
        dead = min(one.dead + 1, MOST_TICKS) if one.dead else 0
        return one._replace(silent=silent, stands=stands, linked=linked, dead=dead, late=False)

    def _at(self, listener: int, one: Machine, cut: Cut | None) -> tuple[int, int, int]:
        """The machine's ``silent``, ``stands`` and ``linked`` at one listener, a tick later."""
        parted = cut is not None and not one.back and (cut.both or listener == 0) and not one.late
        linked = min(one.linked[listener] + 1, MOST_TICKS)
        if one.dead or parted:
            return min(one.silent[listener] + 1, MOST_TICKS), 0, linked
        stands = min(one.stands[listener] + 1, STOOD_TICKS)
        return 0, stands, 0 if self._stood(stands) else linked

    def _stood(self, ticks: int) -> bool:
        """Whether a link that stands for so long tells that its zone can be reached."""
        return ticks * TICK_S >= RECONNECT_S

    def _judged(self, machines: tuple[Machine, ...]) -> tuple[str, ...]:
        """What the judge takes out after this tick."""
        reports = []
        named = list(zip(self.size.machines, machines, strict=True))
        dead = {name: DEAD_S for name in self.nodes if name.startswith("dead")} | {"judge": 0.0}
        for listener in (0, 1):
            silent = {name: one.silent[listener] * TICK_S for name, one in named} | dead
            linked = {name: one.linked[listener] * TICK_S for name, one in named} | dead
            reports.append(SilenceReport(silent, linked))
        return failure_detection.assess_silence(self.nodes, reports, SPANS).gone

    # What must hold

    def violations(self, _: State | None, event: Any, after: State) -> Iterable[Violation]:
        """No live machine is thrown out with its zone, no dead member is kept."""
        machines, cut, gone, _, _ = after
        if event is None or event[0] != "tick":
            return
        named = dict(zip(self.size.machines, machines, strict=True))
        for name in gone:
            # One that was left alone in its zone counts as one machine, and may go.
            others = any(not one.dead for other, one in named.items() if other != name)
            if name in named and not named[name].dead and others:
                yield Violation("thrown out", f"{name} lives, and its zone was cut off")
        if cut is not None or not any(one.silent == (0, 0) for one in machines):
            return
        for name in self.size.members:
            # Dead for the bound, and for the time that a zone has to come back, and somebody is heard.
            if named[name].dead * TICK_S > SPANS.gone_s + RECONNECT_S and name not in gone:
                yield Violation(
                    "kept", f"{name} is dead for good, others of its zone are heard, and it stays"
                )


def _subsets(of: Iterable[int]) -> Iterable[tuple[int, ...]]:
    names = list(of)
    return list(chain.from_iterable(combinations(names, count) for count in range(len(names) + 1)))


SIZES = {
    "dead in the store": Size(cuts=0),
    "a cut": Size(deaths=0),
    "a cut, one dies": Size(("member", "sidecar"), ("member",), deaths=1),
}
