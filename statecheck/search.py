"""Breadth-first search over all reachable states, exact: no two states are ever taken for one."""

from __future__ import annotations

import time
from array import array
from collections.abc import Hashable, Iterator
from dataclasses import dataclass, field
from typing import Any

from statecheck.model import Model, State, Violation

# The tables' own overhead for one state: an entry in a dictionary and in a list, the bytes object round the
# key, two numbers for the way back. Counted with the keys and the distinct parts against the memory bound.
STATE_OVERHEAD = 150
PART_OVERHEAD = 350  # one distinct part: a small nested tuple, its dictionary entry, its place in the list
CHECK_EVERY = 1024  # states between two looks at the bounds


class StateTable:
    """The states seen, each as the numbers of its parts (collapse compression), with the way back to the
    start."""

    def __init__(self) -> None:
        self._numbers: dict[Hashable, int] = {}
        self._parts: list[Hashable] = []
        self._index: dict[bytes, int] = {}
        self._keys: list[bytes] = []
        self.parents = array("q")
        self.via = array("q")  # the event that led here, as the number of its part

    def __len__(self) -> int:
        return len(self._keys)

    def part(self, value: Hashable) -> int:
        number = self._numbers.get(value)
        if number is None:
            number = self._numbers[value] = len(self._parts)
            self._parts.append(value)
        return number

    def value(self, number: int) -> Any:
        return self._parts[number]

    def add(self, state: State, parent: int, event: Hashable) -> tuple[int, bool]:
        """The state's index, and whether it is new."""
        numbers = self._numbers
        try:
            key = array("I", [numbers[item] for item in state]).tobytes()
        except KeyError:
            key = array("I", [self.part(item) for item in state]).tobytes()
        index = self._index.get(key)
        if index is not None:
            return index, False
        index = self._index[key] = len(self._keys)
        self._keys.append(key)
        self.parents.append(parent)
        self.via.append(self.part(event) if event is not None else -1)
        return index, True

    def state(self, index: int) -> State:
        return tuple(self._parts[number] for number in array("I", self._keys[index]))

    def path(self, index: int) -> list[State]:
        """The states from an initial one to this one."""
        found = []
        while index >= 0:
            found.append(self.state(index))
            index = self.parents[index]
        return found[::-1]

    def bytes_held(self) -> int:
        keys = sum(len(key) for key in self._keys[:1]) * len(self._keys)
        return keys + STATE_OVERHEAD * len(self._keys) + PART_OVERHEAD * len(self._parts)


@dataclass
class Report:
    """What a search covered. ``complete`` is False where a bound ended it or a property was broken: then
    nothing is said of the states that were not reached."""

    model: str
    states: int = 0
    transitions: int = 0
    depth: int = 0
    seconds: float = 0.0
    bytes_per_state: float = 0.0
    complete: bool = False
    stopped: str = ""  # the bound that ended the search
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
    """Visit all states, up to a bound on memory (as estimated by the tables' sizes) and on time.

    The first property found broken ends the search, with a shortest trace among the events explored.
    ``edges`` is filled with (state, event's number, state), for `check_liveness`; ``store`` holds the states.
    """
    canonical = model.canonical if symmetry else lambda state: state
    store = StateTable() if store is None else store
    report, start = Report(model.name), time.perf_counter()

    def done(found: Violation | None, index: int, event: Any) -> Report:
        report.states, report.seconds = len(store), time.perf_counter() - start
        report.bytes_per_state = store.bytes_held() / max(len(store), 1)
        if found is not None:
            report.violation = found
            report.trace = _concrete(model, canonical, store.path(index))
            report.trace += [_same(model, canonical, report.trace, event, found)] if event is not None else []
        return report

    for state in model.initial():
        for found in model.violations(None, None, state):
            store.add(state, -1, None)
            return done(found, len(store) - 1, None)
        store.add(canonical(state), -1, None)
    index, level_ends = 0, len(store)
    while index < len(store):
        if index == level_ends:
            report.depth += 1
            level_ends = len(store)
        if index % CHECK_EVERY == 0 and index:
            if store.bytes_held() > memory_mb * 1e6:
                report.stopped = f"memory bound of {memory_mb:g} MB"
            elif time.perf_counter() - start > seconds:
                report.stopped = f"time bound of {seconds:g} s"
            if report.stopped:
                return done(None, index, None)
        state = store.state(index)
        events = model.events(state)
        for event in model.ample(state, events) if partial_order else events:
            after = model.step(state, event)
            report.transitions += 1
            for found in model.violations(state, event, after):
                return done(found, index, event)
            target, _ = store.add(canonical(after), index, event)
            if edges is not None:
                edges.append((index, store.part(event), target))
        index += 1
    report.complete = True
    return done(None, index, None)


def _concrete(model: Model, canonical: Any, path: list[State]) -> list[Any]:
    """Events that lead along a path of representatives, with the names of things kept the same all the way:
    representatives may name them anew at each step."""
    return [event for event, _ in _follow(model, canonical, path)]


def _follow(model: Model, canonical: Any, path: list[State]) -> Iterator[tuple[Any, State]]:
    state = next(item for item in model.initial() if canonical(item) == path[0])
    for wanted in path[1:]:
        for event in model.events(state):
            after = model.step(state, event)
            if canonical(after) == wanted:
                break
        else:
            raise RuntimeError(f"model {model.name}: canonical() relates states that do not act alike")
        state = after
        yield event, state


def _same(model: Model, canonical: Any, events: list[Any], event: Any, found: Violation) -> Any:
    """The last event, by the names of the trace: one that breaks the same property there."""
    state = final_state(model, events)
    for candidate in model.events(state):
        if found in model.violations(state, candidate, model.step(state, candidate)):
            return candidate
    raise RuntimeError(f"model {model.name}: canonical() relates states that do not act alike: {event}")


def final_state(model: Model, events: list[Any]) -> State:
    """The state that a trace's events lead to, from the initial state in which they are all enabled."""
    for state in model.initial():
        try:
            for event in events:
                if event not in model.events(state):
                    raise LookupError(event)
                state = model.step(state, event)
        except LookupError:
            continue
        return state
    raise ValueError(f"model {model.name}: these events do not follow one another")
