"""Recording of a run that spans several processes, and its replay to one checker and one evenness measure.

Each process records the calls that it would make to the checker and to the evenness measure, with the instant
on the machine's monotonic clock. The recordings are merged in that order and replayed to the real ones.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from heapq import merge
from operator import itemgetter
from typing import Any

from hareloom import interface as api
from hareloom.interface import ListKind, Outcome, ServerState

RecordedEvent = tuple[float, str, list[Any]]  # milliseconds from the start, method, arguments


class EventRecorder:
    """Takes the place of the checker and of the evenness measure, and records the calls to them.

    The methods have the names and parameters of `Checker` and `Evenness`.
    """

    def __init__(self, now: Callable[[], float], max_events: int) -> None:
        """Keeps at most ``max_events`` events. Further ones count as ``dropped``, which fails the run."""
        self._now, self._max_events = now, max_events
        self.events: list[RecordedEvent] = []
        self.dropped = 0

    def _record(self, method: str, *arguments: Any) -> None:
        if len(self.events) >= self._max_events:
            self.dropped += 1
        else:
            self.events.append((self._now(), method, list(arguments)))

    def restart(self) -> None:
        """Moves everything recorded so far, during the set-up, to the first instant of the run."""
        self.events = [(0.0, method, arguments) for _, method, arguments in self.events]

    # Methods of Checker

    def breach(self, rule: str, message: str) -> None:
        self._record("breach", rule, message)

    def started(self, sidecar: int) -> None:
        self._record("started", sidecar)

    def listed(self, sidecar: int, now: float, event: api.ServerList) -> None:
        entries = [[entry.server, entry.state.value] for entry in event.entries]
        self._record("listed", sidecar, event.kind.value, entries)

    def asked(self, sidecar: int, name: str, class_name: str, deadline: float) -> None:
        self._record("asked", sidecar, name, class_name, deadline)

    def sent(
        self, sidecar: int, name: str, attempt: int | str, location: tuple[str, str, int], now: float
    ) -> None:
        self._record("sent", sidecar, name, attempt, list(location))

    def ended(self, sidecar: int, name: str, attempt: int | str, outcome: Outcome) -> None:
        self._record("ended", sidecar, name, attempt, outcome.value)

    def final(self, sidecar: int, name: str, outcome: str, now: float) -> None:
        self._record("final", sidecar, name, outcome)

    def left(self, sidecar: int, name: str, now: float) -> None:
        self._record("left", sidecar, name)

    def overdue(self, sidecar: int, name: str) -> None:
        self._record("overdue", sidecar, name)

    def ran(self, name: str, class_name: str) -> None:
        self._record("ran", name, class_name)

    # Methods of Evenness

    def joins(self, server: int, capacity: float) -> None:
        self._record("joins", server, capacity)

    def came(self, now: float, server: int) -> None:
        self._record("came", server)

    def moved(self, now: float, server: int, workers: int, running: int, waiting: int) -> None:
        self._record("moved", server, workers, running, waiting)

    def mark(self, now: float, server: int, reason: str, unhealthy: bool) -> None:
        self._record("mark", server, reason, unhealthy)

    def cause(self, now: float, kind: str, servers: Iterable[int] = ()) -> None:
        self._record("cause", kind, list(servers))


def merge_recordings(recordings: Sequence[Iterable[RecordedEvent]]) -> Iterable[RecordedEvent]:
    """Merges recordings in the order of their instants. Each recording is in that order already."""
    return merge(*recordings, key=itemgetter(0))


def replay(events: Iterable[RecordedEvent], checker: Any, evenness: Any) -> None:
    """Replays recorded events. Each process creates every server, so only its first "joins" counts."""
    joined: set[int] = set()
    for now, method, arguments in events:
        checker.now = max(now, 0.0)
        if method in ("came", "moved", "mark", "cause"):
            getattr(evenness, method)(now, *arguments)
        elif method == "joins":
            if arguments[0] not in joined:
                joined.add(arguments[0])
                evenness.joins(*arguments)
        elif method == "listed":
            entries = tuple(api.ServerEntry(name, ServerState(state)) for name, state in arguments[2])
            checker.listed(arguments[0], now, api.ServerList(ListKind(arguments[1]), 0, entries))
        elif method == "sent":
            checker.sent(*arguments[:3], tuple(arguments[3]), now)
        elif method == "ended":
            checker.ended(*arguments[:3], Outcome(arguments[3]))
        elif method in ("final", "left"):
            getattr(checker, method)(*arguments, now)
        else:
            getattr(checker, method)(*arguments)
