"""The last calls of this sidecar, kept in memory for `trace`: what was decided of each, and how it ended.

Calls that were served in time at the first try have a ring of their own, so that a flood of them does not
push out the others. An entry holds names and numbers, never a request or an answer: their bodies must go when
the call is over.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from mesh.data_plane.call_messages import Call, End, NotExecuted, UpstreamResponse
from mesh.data_plane.call_state import ClientRequest, Failed, Refused, Try

RING_SIZE = 400  # calls of each ring
MAX_TRIES = 8  # of one call, the first; the others are only counted
MAX_NAME_CHARS, MAX_REASON_CHARS = 128, 80  # characters

# attempt id, taken and over (ms of the loop's clock), route, its version and aim (ms), service, tries, how
# many, and the end: the status of the upstream's answer, the sidecar's word, or None: the client left
FirstHopEntry = tuple[
    str, float, float, str, int, float, str, tuple[Try, ...], int, "int | Refused | Failed | None"
]
# attempt id, came, passed on (0: never) and over (ms of the loop's clock), upstream, calling service, the end
SecondHopEntry = tuple[str, float, float, float, str, str, str]
E = TypeVar("E")


class Ring(Generic[E]):
    """The last ``KEPT`` of what was added."""

    __slots__ = ("_at", "_entries")

    def __init__(self) -> None:
        self._entries: list[E | None] = [None] * RING_SIZE
        self._at = 0

    def add(self, entry: E) -> None:
        index = self._at
        self._entries[index] = entry
        self._at = index + 1 if index + 1 < RING_SIZE else 0

    def __iter__(self) -> Iterator[E]:
        """The oldest first."""
        for entry in self._entries[self._at :] + self._entries[: self._at]:
            if entry is not None:
                yield entry


def describe_end(end: End) -> str:
    """An end in few characters."""
    if isinstance(end, UpstreamResponse):
        return str(end.status)
    if isinstance(end, NotExecuted):
        return (
            f"turned away by the upstream: {end.reason.value}"
            if end.reached_upstream
            else f"turned away: {end.reason.value}"
        )
    return f"unclear: {end.reason[:MAX_REASON_CHARS]}"


class FirstHopTraces:
    """Calls that clients brought here."""

    def __init__(self) -> None:
        self.ordinary, self.notable = Ring[FirstHopEntry](), Ring[FirstHopEntry]()
        self.trace: Callable[[float, ClientRequest, int | Refused | Failed | None], None] | None = None

    def ended(self, now: float, request: ClientRequest, result: int | Refused | Failed | None) -> None:
        """``told``: the status passed on, or what this sidecar said itself; None: the client left."""
        tries, route = request.tries, request.route
        count = len(tries)
        ordinary = (
            count == 1
            and isinstance(result, int)
            and result < 500
            and now - request.received_ms <= route.aim_ms
        )
        (self.ordinary if ordinary else self.notable).add(
            (
                *(
                    request.attempt,
                    request.received_ms,
                    now,
                    route.name,
                    route.version,
                    route.aim_ms,
                    request.service,
                ),
                *(tuple(tries[:MAX_TRIES]), count, result),
            )
        )
        if self.trace is not None:
            self.trace(now, request, result)


class SecondHopTraces:
    """Calls that came for the upstream beside this sidecar."""

    def __init__(self) -> None:
        self.ordinary, self.notable = Ring[SecondHopEntry](), Ring[SecondHopEntry]()
        self.trace: Callable[[float, Call, float, float, End], None] | None = None

    def ended(self, now: float, call: Call, received_ms: float, started_ms: float, end: End) -> None:
        """``came`` and ``began``: when it came here, and was passed on (0: never)."""
        ordinary = isinstance(end, UpstreamResponse) and end.status < 500
        (self.ordinary if ordinary else self.notable).add(
            (
                *(call.attempt[:MAX_NAME_CHARS], received_ms, started_ms, now),
                *(call.instance[:MAX_NAME_CHARS], call.caller[:MAX_NAME_CHARS], describe_end(end)),
            )
        )
        if self.trace is not None:
            self.trace(now, call, received_ms, started_ms, end)
