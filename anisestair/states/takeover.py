"""A model of the processes of one sidecar during a takeover: the real division of descriptors (`shares`),
with updates, crashes and terminations of the processes in any order.

An update reads the records of the other processes, applies the rules of `shares` and publishes the own
record. Records are written by a thread that a slow disk may delay, so others may read an outdated one for
long. Connections are counted in units of many descriptors, which keeps the number of states small.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Sequence
from typing import Any, NamedTuple

from anisestair.recovery import shares
from statecheck import Violation
from statecheck.model import Model, State

NAME, SLOW_NAME = "takeover", "takeover-slow"
TOTAL_DESCRIPTORS, BASE_DESCRIPTORS, UNIT_DESCRIPTORS, MAX_UNITS = 240, 16, 40, 3
# Coarser units for a slow disk, where the written record of each process adds to the state.
SLOW_UNIT_DESCRIPTORS, SLOW_MAX_UNITS = 80, 2
NOT_STARTED, STARTING, READY, ENDING, DEAD = range(5)
STAGES = ("not started", "starting", "ready", "ending", "dead")
ALIVE = (STARTING, READY, ENDING)

DESCRIPTOR_LIMIT_KEPT = Violation(
    "one budget", "the processes together hold no more descriptors than the limit of one process"
)
SOME_PROCESS_ACCEPTS = Violation(
    "somebody accepts", "some process accepts connections at every instant of an upgrade"
)
YIELDS_TO_YOUNGER = Violation(
    "one accepts", "a process that has read of a younger ready process accepts no connections"
)
ENDING_ACCEPTS_NOTHING = Violation("an end is an end", "a terminating process accepts no connections")
SOME_PROCESS_COMES_TO_ACCEPT = "while a process is ready, one comes to accept"


class Record(NamedTuple):
    """The record that a process publishes, as far as the model needs it."""

    stage: str
    keeps: int
    seen: int


NO_RECORD_YET = Record("starting", 0, 0)


class Process(NamedTuple):
    """The state of one process."""

    stage: int = NOT_STARTED
    held_units: int = 0
    share: int = 0  # of the descriptors, by its last update
    accepting: bool = False  # by its last update
    record: Record | None = None  # published by its last update
    written_record: Record | None = None  # in its file
    unit_descriptors: int = UNIT_DESCRIPTORS

    def used_descriptors(self) -> int:
        """Return the number of descriptors that the process uses."""
        return BASE_DESCRIPTORS + self.held_units * self.unit_descriptors


class ModelEvent(NamedTuple):
    """An event of a process. Saved traces contain its text and are replayed by it, so it must not change."""

    kind: str
    process: int

    def __str__(self) -> str:
        return f"process {self.process + 1}: {self.kind}"


class Takeover(Model):
    """A state is a tuple of processes, the oldest first: `shares` knows a process by its position plus one.
    With ``slow_disk`` a record is written at any time after it was published, else at once."""

    name = NAME

    def __init__(self, processes: int = 3, slow_disk: bool = False) -> None:
        self._processes, self._slow_disk = processes, slow_disk
        self._unit_descriptors, self._max_units = (
            (SLOW_UNIT_DESCRIPTORS, SLOW_MAX_UNITS) if slow_disk else (UNIT_DESCRIPTORS, MAX_UNITS)
        )

    def initial(self) -> Iterable[State]:
        rest = (Process(unit_descriptors=self._unit_descriptors),) * (self._processes - 1)
        return [
            self._write_record(
                self._update((Process(READY, unit_descriptors=self._unit_descriptors), *rest), 0), 0
            )
        ]

    def events(self, state: State) -> Sequence[ModelEvent]:
        enabled: list[ModelEvent] = []
        for position, process in enumerate(state):
            if process.stage == NOT_STARTED:
                if position == 0 or state[position - 1].stage != NOT_STARTED:
                    enabled.append(ModelEvent("start", position))
                continue
            if process.stage == DEAD:
                continue
            enabled += [ModelEvent("look", position), ModelEvent("kill", position)]
            if process.written_record != process.record:
                enabled.append(ModelEvent("write", position))
            if process.stage == STARTING:
                enabled.append(ModelEvent("can serve", position))
            if process.stage == READY and any(other.accepting for other in state[position + 1 :]):
                enabled.append(ModelEvent("term", position))
            if (
                process.accepting
                and process.held_units < self._max_units
                and process.used_descriptors() + self._unit_descriptors <= process.share
            ):
                enabled.append(ModelEvent("take", position))
            if process.held_units:
                enabled.append(ModelEvent("drop", position))
        return enabled

    def step(self, state: State, event: Any) -> State:
        kind, position = event
        process: Process = state[position]
        if kind == "look":
            updated = self._update(state, position)
            return updated if self._slow_disk else self._write_record(updated, position)
        if kind == "write":
            return self._write_record(state, position)
        if kind == "start":
            process = Process(
                STARTING, share=shares.NEWCOMER_DESCRIPTORS, unit_descriptors=self._unit_descriptors
            )
        elif kind == "kill":
            process = Process(DEAD, unit_descriptors=self._unit_descriptors)
        elif kind == "can serve":
            process = process._replace(stage=READY)
        elif kind == "term":
            process = process._replace(stage=ENDING, accepting=False)
        elif kind == "take":
            process = process._replace(held_units=process.held_units + 1)
        else:
            process = process._replace(held_units=process.held_units - 1)
        return (*state[:position], process, *state[position + 1 :])

    @staticmethod
    def _read_records(state: State, position: int) -> list[shares.Member]:
        """Return the records of the other live processes. The lock of a process shows that it is alive even
        before it has written its first record."""
        records = [
            (other_position + 1, other.written_record or NO_RECORD_YET)
            for other_position, other in enumerate(state)
            if other_position != position and other.stage in ALIVE
        ]
        return [shares.Member(born, record.keeps, record.seen, record.stage) for born, record in records]

    def _write_record(self, state: State, position: int) -> State:
        return (
            *state[:position],
            state[position]._replace(written_record=state[position].record),
            *state[position + 1 :],
        )

    def _update(self, state: State, position: int) -> State:
        process: Process = state[position]
        others = self._read_records(state, position)
        accepting = shares.accepts(position + 1, others, process.stage == READY)
        share = shares.share(position + 1, TOTAL_DESCRIPTORS, others, process.used_descriptors(), accepting)
        seen = max(
            (other.born for other in others if other.born > position + 1 and other.stage == shares.READY),
            default=0,
        )
        process = process._replace(
            share=share, accepting=accepting, record=Record(STAGES[process.stage], share, seen)
        )
        return (*state[:position], process, *state[position + 1 :])

    def violations(self, before: State | None, event: Any, after: State) -> Iterable[Violation]:
        alive = [process for process in after if process.stage in ALIVE]
        if sum(process.used_descriptors() for process in alive) > TOTAL_DESCRIPTORS:
            yield DESCRIPTOR_LIMIT_KEPT
        if any(process.accepting for process in alive if process.stage == ENDING):
            yield ENDING_ACCEPTS_NOTHING
        if event is None or before is None:
            return
        kind, position = event
        if kind == "look" and after[position].accepting:
            if any(
                other.born > position + 1 and other.stage == shares.READY
                for other in self._read_records(before, position)
            ):
                yield YIELDS_TO_YOUNGER
        if kind in ("look", "term") and not any(process.stage == DEAD for process in after):
            if any(process.accepting for process in before) and not any(
                process.accepting for process in alive
            ):
                yield SOME_PROCESS_ACCEPTS

    def obligations(self, state: State) -> Iterable[Hashable]:
        ready = any(process.stage == READY for process in state)
        return (
            (SOME_PROCESS_COMES_TO_ACCEPT,)
            if ready and not any(process.accepting for process in state)
            else ()
        )

    def fairness_label(self, event: Any) -> Hashable | None:
        return event if event[0] in ("look", "write") else None

    def describe(self, state: State) -> str:
        return "; ".join(
            f"{STAGES[process.stage]} {process.used_descriptors()} of {process.share}"
            f"{' accepting' if process.accepting else ''}"
            for process in state
        )


class SlowTakeover(Takeover):
    """Three processes with a slow disk."""

    name = SLOW_NAME

    def __init__(self) -> None:
        super().__init__(3, True)
