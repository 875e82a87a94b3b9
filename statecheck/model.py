"""What a machine has to offer to be explored."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Hashable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any

# A state is a tuple of parts, each hashable and compared by value. Parts that change rarely, or take few
# values, make a state small: each distinct part is stored once (collapse compression, Holzmann 1997).
State = tuple[Any, ...]
Event = Hashable  # its str() is the label in traces, and tells one enabled event from another


@dataclass(frozen=True, slots=True)
class Violation:
    """A property that does not hold, by name, and what it says in words."""

    name: str
    description: str


class Model(ABC):
    """A machine with its surroundings, closed: whatever can happen to it is among its events."""

    name: str

    @abstractmethod
    def initial(self) -> Iterable[State]: ...

    @abstractmethod
    def events(self, state: State) -> Sequence[Any]:
        """All events enabled in that state, in a fixed order. None: a state where everything may rest."""

    @abstractmethod
    def step(self, state: State, event: Any) -> State:
        """The one state that the event leads to. Raises nothing; what goes wrong shows in `violations`."""

    def violations(self, before: State | None, event: Any, after: State) -> Iterable[Violation]:
        """Safety: the properties that this step, or the state after it, breaks. ``before`` is None for an
        initial state."""
        return ()

    def canonical(self, state: State) -> State:
        """One representative of all states that are alike but for names. It must be a bisimulation: from
        alike states, alike events must lead to alike states, and break the same properties."""
        return state

    def ample(self, state: State, events: Sequence[Any]) -> Sequence[Any]:
        """A part of the enabled events that suffices (partial-order reduction). What is returned must be
        independent of all events left out, now and after any of those, must be invisible to the properties,
        and may not be returned all the way round a cycle (Clarke, Grumberg, Peled 1999, C0 to C3)."""
        return events

    def obligations(self, state: State) -> Iterable[Hashable]:
        """Liveness: the obligations that stand in that state."""
        return ()

    def fairness_label(self, event: Any) -> Hashable | None:
        """The name under which an event is weakly fair: enabled for ever, it happens in the end. None: never
        promised."""
        return None

    def describe(self, state: State) -> str:
        """A state for a reader of a trace; may be empty."""
        return ""
