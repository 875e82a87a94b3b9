"""Keeps the latest calls of this sidecar in memory for the `trace` command: decisions and results.

Calls that succeeded in time at the first attempt have a ring buffer of their own, so that many of them do not
displace the others. An entry holds names and numbers only, no request or response, because the bodies must be
freed when the call is over.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from mesh.data_plane.call_messages import Call, End, NotExecuted, UpstreamResponse
from mesh.data_plane.call_state import ClientRequest, Failed, Refused, Try

RING_SIZE = 400  # entries per ring
MAX_TRIES = 8  # attempts kept per call; later ones are only counted
MAX_NAME_CHARS, MAX_REASON_CHARS = 128, 80

# Attempt id, received and finished (loop time in ms), route, its version and aim (ms), service, attempts,
# their number, and the result: the status of the upstream's response, this sidecar's own result, or None if
# the client disconnected.
FirstHopEntry = tuple[
    str, float, float, str, int, float, str, tuple[Try, ...], int, "int | Refused | Failed | None"
]
# Attempt id, received, passed on (0: never) and finished (loop time in ms), instance, calling service, end.
SecondHopEntry = tuple[str, float, float, float, str, str, str]
E = TypeVar("E")


class Ring(Generic[E]):
    """Ring buffer of the last ``RING_SIZE`` entries."""

    __slots__ = ("_at", "_entries")

    def __init__(self) -> None:
        self._entries: list[E | None] = [None] * RING_SIZE
        self._at = 0

    def add(self, entry: E) -> None:
        index = self._at
        self._entries[index] = entry
        self._at = index + 1 if index + 1 < RING_SIZE else 0

    def __iter__(self) -> Iterator[E]:
        """Iterates from the oldest entry."""
        for entry in self._entries[self._at :] + self._entries[: self._at]:
            if entry is not None:
                yield entry


def describe_end(end: End) -> str:
    """A short description of an end."""
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
    """Calls from clients."""

    def __init__(self) -> None:
        self.ordinary, self.notable = Ring[FirstHopEntry](), Ring[FirstHopEntry]()
        self.trace: Callable[[float, ClientRequest, int | Refused | Failed | None], None] | None = None

    def record(self, now: float, request: ClientRequest, result: int | Refused | Failed | None) -> None:
        """``result``: the status passed on, this sidecar's own result, or None if the client disconnected."""
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
    """Calls for the upstream beside this sidecar."""

    def __init__(self) -> None:
        self.ordinary, self.notable = Ring[SecondHopEntry](), Ring[SecondHopEntry]()
        self.trace: Callable[[float, Call, float, float, End], None] | None = None

    def record(self, now: float, call: Call, received_ms: float, started_ms: float, end: End) -> None:
        """``received_ms``: when it arrived; ``started_ms``: when it was passed on, 0 if never."""
        ordinary = isinstance(end, UpstreamResponse) and end.status < 500
        (self.ordinary if ordinary else self.notable).add(
            (
                *(call.attempt[:MAX_NAME_CHARS], received_ms, started_ms, now),
                *(call.instance[:MAX_NAME_CHARS], call.caller[:MAX_NAME_CHARS], describe_end(end)),
            )
        )
        if self.trace is not None:
            self.trace(now, call, received_ms, started_ms, end)
