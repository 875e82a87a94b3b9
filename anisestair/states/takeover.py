"""Processes that are one sidecar, as a model: the real split of descriptors, and looks, deaths and ends in
any order.

Files are written by a thread that a slow disk may hold up: a record may be read long after its process has
told another. A look applies what `shares` says to what the others' files have, and tells one's own record.
Connections are counted in units, so that the numbers stay small.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Sequence
from typing import Any, NamedTuple

from anisestair.recovery import shares
from statecheck import Violation
from statecheck.model import Model, State

NAME, SLOW_NAME = "takeover", "takeover-slow"
TOTAL, BASE, UNIT, MOST = 240, 16, 40, 3
SLOW_UNIT, SLOW_MOST = 80, 2  # coarser, since each process' word is a part of the state as well
UNBORN, STARTING, READY, ENDING, DEAD = range(5)
STAGES = ("unborn", "starting", "ready", "ending", "dead")
ALIVE = (STARTING, READY, ENDING)

TOO_MANY = Violation("one budget", "the processes together hold no more descriptors than one may")
LEFT_ALONE = Violation("somebody accepts", "no change of versions leaves an instant in which nobody accepts")
BESIDE = Violation(
    "one accepts", "one that has heard of a younger one that is ready leaves new connections to it"
)
ENDS_AND_ACCEPTS = Violation("an end is an end", "a process that was told to end accepts nothing")
SOMEBODY = "while a process is ready, one comes to accept"


class Record(NamedTuple):
    """What a process tells."""

    stage: str
    keeps: int
    seen: int


UNSPOKEN = Record("starting", 0, 0)


class Process(NamedTuple):
    stage: int = UNBORN
    held: int = 0  # in units
    share: int = 0  # as of its last look, as is the next
    accepts: bool = False
    tells: Record | None = None  # as of its last look
    written: Record | None = None  # as its file has it
    unit: int = UNIT

    def used(self) -> int:
        return BASE + self.held * self.unit


class Happens(NamedTuple):
    what: str
    process: int

    def __str__(self) -> str:
        return f"process {self.process + 1}: {self.what}"


class Takeover(Model):
    """A state is a tuple of processes, the oldest first; the place is the birth. With ``slow`` a record is
    written at any time after it was told, else at once."""

    name = NAME

    def __init__(self, processes: int = 3, slow: bool = False) -> None:
        self._processes, self._slow = processes, slow
        self._unit, self._most = (SLOW_UNIT, SLOW_MOST) if slow else (UNIT, MOST)

    def initial(self) -> Iterable[State]:
        rest = (Process(unit=self._unit),) * (self._processes - 1)
        return [self._write(self._look((Process(READY, unit=self._unit), *rest), 0), 0)]

    def events(self, state: State) -> Sequence[Happens]:
        found: list[Happens] = []
        for at, one in enumerate(state):
            if one.stage == UNBORN:
                if at == 0 or state[at - 1].stage != UNBORN:
                    found.append(Happens("start", at))
                continue
            if one.stage == DEAD:
                continue
            found += [Happens("look", at), Happens("kill", at)]
            if one.written != one.tells:
                found.append(Happens("write", at))
            if one.stage == STARTING:
                found.append(Happens("can serve", at))
            if one.stage == READY and any(item.accepts for item in state[at + 1 :]):
                found.append(Happens("term", at))
            if one.accepts and one.held < self._most and one.used() + self._unit <= one.share:
                found.append(Happens("take", at))
            if one.held:
                found.append(Happens("drop", at))
        return found

    def step(self, state: State, event: Any) -> State:
        what, at = event
        one: Process = state[at]
        if what == "look":
            made = self._look(state, at)
            return made if self._slow else self._write(made, at)
        if what == "write":
            return self._write(state, at)
        if what == "start":
            one = Process(STARTING, share=shares.NEWCOMER_DESCRIPTORS, unit=self._unit)
        elif what == "kill":
            one = Process(DEAD, unit=self._unit)
        elif what == "can serve":
            one = one._replace(stage=READY)
        elif what == "term":
            one = one._replace(stage=ENDING, accepts=False)
        elif what == "take":
            one = one._replace(held=one.held + 1)
        else:
            one = one._replace(held=one.held - 1)
        return (*state[:at], one, *state[at + 1 :])

    @staticmethod
    def _heard(state: State, at: int) -> list[shares.Member]:
        """What the files of the others alive say; that one is there its lock says, before it has spoken."""
        told = [
            (place + 1, item.written or UNSPOKEN)
            for place, item in enumerate(state)
            if place != at and item.stage in ALIVE
        ]
        return [shares.Member(born, word.keeps, word.seen, word.stage) for born, word in told]

    def _write(self, state: State, at: int) -> State:
        return (*state[:at], state[at]._replace(written=state[at].tells), *state[at + 1 :])

    def _look(self, state: State, at: int) -> State:
        one: Process = state[at]
        others = self._heard(state, at)
        accepts = shares.accepts(at + 1, others, one.stage == READY)
        share = shares.share(at + 1, TOTAL, others, one.used(), accepts)
        seen = max(
            (item.born for item in others if item.born > at + 1 and item.stage == shares.READY), default=0
        )
        one = one._replace(share=share, accepts=accepts, tells=Record(STAGES[one.stage], share, seen))
        return (*state[:at], one, *state[at + 1 :])

    def violations(self, before: State | None, event: Any, after: State) -> Iterable[Violation]:
        alive = [item for item in after if item.stage in ALIVE]
        if sum(item.used() for item in alive) > TOTAL:
            yield TOO_MANY
        if any(item.accepts for item in alive if item.stage == ENDING):
            yield ENDS_AND_ACCEPTS
        if event is None or before is None:
            return
        what, at = event
        if what == "look" and after[at].accepts:
            if any(one.born > at + 1 and one.stage == shares.READY for one in self._heard(before, at)):
                yield BESIDE
        if what in ("look", "term") and not any(item.stage == DEAD for item in after):
            if any(item.accepts for item in before) and not any(item.accepts for item in alive):
                yield LEFT_ALONE

    def obligations(self, state: State) -> Iterable[Hashable]:
        ready = any(item.stage == READY for item in state)
        return (SOMEBODY,) if ready and not any(item.accepts for item in state) else ()

    def fairness_label(self, event: Any) -> Hashable | None:
        return event if event[0] in ("look", "write") else None

    def describe(self, state: State) -> str:
        return "; ".join(
            f"{STAGES[item.stage]} {item.used()} of {item.share}{' accepts' if item.accepts else ''}"
            for item in state
        )


class SlowTakeover(Takeover):
    """Three processes that meet on a disk which keeps any of them waiting."""

    name = SLOW_NAME

    def __init__(self) -> None:
        super().__init__(3, True)
