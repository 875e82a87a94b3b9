"""What several processes of one play saw, on one clock, and the same checks and measures on all of it.

Each process of a rig notes what it would tell a checker of the rules or the measure of evenness, with the
instant on the machine's monotonic clock; merged in that order, the notes are told to the real ones.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from heapq import merge
from operator import itemgetter
from typing import Any

from hareloom import interface as api
from hareloom.interface import ListKind, Outcome, ServerState

RecordedEvent = tuple[float, str, list[Any]]  # milliseconds from the play's start, what, and its arguments


class EventRecorder:
    """Stands in for the checker and for the measure of evenness, and keeps what it is told."""

    def __init__(self, now: Callable[[], float], max_events: int) -> None:
        """``most`` notes are kept; what is beyond is counted, and spoils the play."""
        self._now, self._max_events = now, max_events
        self.events: list[RecordedEvent] = []
        self.dropped = 0

    def _record(self, what: str, *arguments: Any) -> None:
        if len(self.events) >= self._max_events:
            self.dropped += 1
        else:
            self.events.append((self._now(), what, list(arguments)))

    def restart(self) -> None:
        """What was noted so far was setting up: it counts as at the play's first instant."""
        self.events = [(0.0, what, given) for _, what, given in self.events]

    # The checker's

    def breach(self, rule: str, words: str) -> None:
        self._record("breach", rule, words)

    def started(self, sidecar: int) -> None:
        self._record("started", sidecar)

    def listed(self, sidecar: int, now: float, event: api.ServerList) -> None:
        entries = [[entry.server, entry.state.value] for entry in event.entries]
        self._record("listed", sidecar, event.kind.value, entries)

    def asked(self, sidecar: int, name: str, class_name: str, deadline: float) -> None:
        self._record("asked", sidecar, name, class_name, deadline)

    def sent(
        self, sidecar: int, name: str, attempt: int | str, place: tuple[str, str, int], now: float
    ) -> None:
        self._record("sent", sidecar, name, attempt, list(place))

    def ended(self, sidecar: int, name: str, attempt: int | str, outcome: Outcome) -> None:
        self._record("ended", sidecar, name, attempt, outcome.value)

    def final(self, sidecar: int, name: str, what: str, now: float) -> None:
        self._record("final", sidecar, name, what)

    def left(self, sidecar: int, name: str, now: float) -> None:
        self._record("left", sidecar, name)

    def overdue(self, sidecar: int, name: str) -> None:
        self._record("overdue", sidecar, name)

    def ran(self, name: str, class_name: str) -> None:
        self._record("ran", name, class_name)

    # The measure of evenness'

    def joins(self, server: int, capacity: float) -> None:
        self._record("joins", server, capacity)

    def came(self, now: float, server: int) -> None:
        self._record("came", server)

    def moved(self, now: float, server: int, workers: int, running: int, waiting: int) -> None:
        self._record("moved", server, workers, running, waiting)

    def mark(self, now: float, server: int, reason: str, unhealthy: bool) -> None:
        self._record("mark", server, reason, unhealthy)

    def cause(self, now: float, what: str, servers: Iterable[int] = ()) -> None:
        self._record("cause", what, list(servers))


def merge_recordings(ledgers: Sequence[Iterable[RecordedEvent]]) -> Iterable[RecordedEvent]:
    """All notes in the order of their instants; each ledger is in that order already."""
    return merge(*ledgers, key=itemgetter(0))


def replay(notes: Iterable[RecordedEvent], checker: Any, evenness: Any) -> None:
    """Tells them what was noted. Each process lays out every server: only the first word of one counts."""
    laid: set[int] = set()
    for now, what, given in notes:
        checker.now = max(now, 0.0)
        if what in ("came", "moved", "mark", "cause"):
            getattr(evenness, what)(now, *given)
        elif what == "joins":
            if given[0] not in laid:
                laid.add(given[0])
                evenness.joins(*given)
        elif what == "listed":
            entries = tuple(api.ServerEntry(name, ServerState(state)) for name, state in given[2])
            checker.listed(given[0], now, api.ServerList(ListKind(given[1]), 0, entries))
        elif what == "sent":
            checker.sent(*given[:3], tuple(given[3]), now)
        elif what == "ended":
            checker.ended(*given[:3], Outcome(given[3]))
        elif what in ("final", "left"):
            getattr(checker, what)(*given, now)
        else:
            getattr(checker, what)(*given)
