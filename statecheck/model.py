"""The interface of a model that the checker explores."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Hashable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any

# A state is a tuple of parts, each hashable and compared by value. Each distinct part is stored only once
# (collapse compression, Holzmann 1997), so parts that change rarely or take few values need little memory.
State = tuple[Any, ...]
Event = Hashable  # its str() is its label in traces, unique among the events enabled in one state


@dataclass(frozen=True, slots=True)
class Violation:
    """A violated property: its name, and a sentence that states it."""

    name: str
    description: str


class Model(ABC):
    """A state machine with its environment: everything that can happen to it is one of its events."""

    name: str

    @abstractmethod
    def initial(self) -> Iterable[State]:
        """Return the initial states."""

    @abstractmethod
    def events(self, state: State) -> Sequence[Any]:
        """Return all events enabled in the state, in a fixed order; none in a terminal state."""

    @abstractmethod
    def step(self, state: State, event: Any) -> State:
        """Return the one successor state. Raises nothing: failures are reported by `violations`."""

    def violations(self, before: State | None, event: Any, after: State) -> Iterable[Violation]:
        """Return the safety properties that this step, or the state after it, violates. ``before`` and
        ``event`` are None for an initial state."""
        return ()

    def canonical(self, state: State) -> State:
        """Return the representative of all states that are equal up to renaming (symmetry reduction). The
        relation must be a bisimulation: from equivalent states, equivalent events must lead to equivalent
        states and violate the same properties."""
        return state

    def ample(self, state: State, events: Sequence[Any]) -> Sequence[Any]:
        """Return a subset of the enabled events that is enough to explore (partial-order reduction). It must
        be independent of all omitted events, now and after any sequence of them, and must be invisible to the
        properties; at least one state of every cycle must be expanded fully (conditions C0 to C3 of Clarke,
        Grumberg, Peled 1999)."""
        return events

    def obligations(self, state: State) -> Iterable[Hashable]:
        """Return the obligations that are not yet fulfilled in the state (liveness)."""
        return ()

    def fairness_label(self, event: Any) -> Hashable | None:
        """Return a label under which the event is weakly fair: if events of that label stay enabled, one of
        them eventually happens. None: the event may never happen."""
        return None

    def describe(self, state: State) -> str:
        """Return a readable form of the state for traces; may be empty."""
        return ""
