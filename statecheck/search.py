"""Breadth-first search over all reachable states. States are compared exactly, not by hash."""

from __future__ import annotations

import time
from array import array
from collections.abc import Hashable, Iterator
from dataclasses import dataclass, field
from typing import Any

from statecheck.model import Model, State, Violation

# Estimated memory of one state besides its key: entries in a dictionary and a list, the header of the bytes
# object, and two numbers that lead back to its predecessor. Counts against the memory limit.
STATE_OVERHEAD_BYTES = 150
PART_OVERHEAD_BYTES = 350  # of a distinct part: a small nested tuple, entries in a dictionary and a list
LIMIT_CHECK_INTERVAL = 1024  # states explored between two checks of the limits


class StateTable:
    """The visited states, each stored as the numbers of its parts (collapse compression), with its
    predecessor."""

    def __init__(self) -> None:
        self._part_numbers: dict[Hashable, int] = {}
        self._parts: list[Hashable] = []
        self._state_indices: dict[bytes, int] = {}
        self._keys: list[bytes] = []
        self.parents = array("q")
        self.reached_by = array("q")  # number of the event that led to each state; -1: an initial state

    def __len__(self) -> int:
        return len(self._keys)

    def intern_part(self, value: Hashable) -> int:
        """Return the number of a part, adding it if it is new."""
        number = self._part_numbers.get(value)
        if number is None:
            number = self._part_numbers[value] = len(self._parts)
            self._parts.append(value)
        return number

    def part_value(self, number: int) -> Any:
        """Return the part with that number."""
        return self._parts[number]

    def add(self, state: State, parent: int, event: Hashable) -> tuple[int, bool]:
        """Add a state. Return its index, and whether it is new."""
        part_numbers = self._part_numbers
        try:
            key = array("I", [part_numbers[item] for item in state]).tobytes()
        except KeyError:
            key = array("I", [self.intern_part(item) for item in state]).tobytes()
        index = self._state_indices.get(key)
        if index is not None:
            return index, False
        index = self._state_indices[key] = len(self._keys)
        self._keys.append(key)
        self.parents.append(parent)
        self.reached_by.append(self.intern_part(event) if event is not None else -1)
        return index, True

    def state(self, index: int) -> State:
        """Return the state with that index."""
        return tuple(self._parts[number] for number in array("I", self._keys[index]))

    def path(self, index: int) -> list[State]:
        """Return the states on the way from an initial state to this one."""
        states = []
        while index >= 0:
            states.append(self.state(index))
            index = self.parents[index]
        return states[::-1]

    def estimated_bytes(self) -> int:
        """Estimate the memory that the table uses."""
        key_bytes = sum(len(key) for key in self._keys[:1]) * len(self._keys)
        return key_bytes + STATE_OVERHEAD_BYTES * len(self._keys) + PART_OVERHEAD_BYTES * len(self._parts)


@dataclass
class Report:
    """The result of a search. ``complete`` is False if a limit or a violated property stopped it: states that
    were not reached by then are unchecked."""

    model: str
    states: int = 0
    transitions: int = 0
    depth: int = 0
    seconds: float = 0.0
    bytes_per_state: float = 0.0
    complete: bool = False
    stopped: str = ""  # the limit that stopped the search
    violation: Violation | None = None
    trace: list[Any] = field(default_factory=list)  # the events of a shortest way to the violation


def explore(
    model: Model,
    *,
    symmetry: bool = True,
    partial_order: bool = True,
    memory_mb: float = 4096.0,
    seconds: float = 3600.0,
    edges: list[tuple[int, int, int]] | None = None,
    store: StateTable | None = None,
) -> Report:
    """Visit all reachable states, within limits on time and on the estimated memory of the tables.

    Stops at the first violation; its trace is the shortest one of the events explored. ``edges``, if given,
    receives (state index, event number, state index) of each transition; ``store`` receives the states.
    """
    canonical = model.canonical if symmetry else lambda state: state
    store = StateTable() if store is None else store
    report, start = Report(model.name), time.perf_counter()

    def finish(violation: Violation | None, index: int, event: Any) -> Report:
        report.states, report.seconds = len(store), time.perf_counter() - start
        report.bytes_per_state = store.estimated_bytes() / max(len(store), 1)
        if violation is not None:
            report.violation = violation
            report.trace = _concrete_events(model, canonical, store.path(index))
            report.trace += (
                [_matching_event(model, canonical, report.trace, event, violation)]
                if event is not None
                else []
            )
        return report

    for state in model.initial():
        for violation in model.violations(None, None, state):
            store.add(state, -1, None)
            return finish(violation, len(store) - 1, None)
        store.add(canonical(state), -1, None)
    index, level_end = 0, len(store)
    while index < len(store):
        if index == level_end:
            report.depth += 1
            level_end = len(store)
        if index % LIMIT_CHECK_INTERVAL == 0 and index:
            if store.estimated_bytes() > memory_mb * 1e6:
                report.stopped = f"memory limit of {memory_mb:g} MB"
            elif time.perf_counter() - start > seconds:
                report.stopped = f"time limit of {seconds:g} s"
            if report.stopped:
                return finish(None, index, None)
        state = store.state(index)
        events = model.events(state)
        for event in model.ample(state, events) if partial_order else events:
            after = model.step(state, event)
            report.transitions += 1
            for violation in model.violations(state, event, after):
                return finish(violation, index, event)
            target, _ = store.add(canonical(after), index, event)
            if edges is not None:
                edges.append((index, store.intern_part(event), target))
        index += 1
    report.complete = True
    return finish(None, index, None)


def _concrete_events(model: Model, canonical: Any, path: list[State]) -> list[Any]:
    """Return events that lead along a path of canonical states. They use the same names throughout, whereas
    each canonical state may have been renamed in its own way."""
    return [event for event, _ in _follow_path(model, canonical, path)]


def _follow_path(model: Model, canonical: Any, path: list[State]) -> Iterator[tuple[Any, State]]:
    state = next(item for item in model.initial() if canonical(item) == path[0])
    for target in path[1:]:
        for event in model.events(state):
            after = model.step(state, event)
            if canonical(after) == target:
                break
        else:
            raise RuntimeError(f"model {model.name}: canonical() relates states that behave differently")
        state = after
        yield event, state


def _matching_event(model: Model, canonical: Any, events: list[Any], event: Any, violation: Violation) -> Any:
    """Return the last event in the names of the trace: one that violates the same property."""
    state = final_state(model, events)
    for candidate in model.events(state):
        if violation in model.violations(state, candidate, model.step(state, candidate)):
            return candidate
    raise RuntimeError(f"model {model.name}: canonical() relates states that behave differently: {event}")


def final_state(model: Model, events: list[Any]) -> State:
    """Return the state that the events lead to, from the first initial state from which all are enabled."""
    for state in model.initial():
        try:
            for event in events:
                if event not in model.events(state):
                    raise LookupError(event)
                state = model.step(state, event)
        except LookupError:
            continue
        return state
    raise ValueError(f"model {model.name}: the events cannot happen in this order")
