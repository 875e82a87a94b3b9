"""Balancer of a sharded service: a request goes only to the upstream that holds its key.

Takes the events and returns the actions of `hareloom.interface`, like `hareloom.Balancer`, which would have a
single candidate for each key. No I/O; times are milliseconds of the caller's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from hareloom import interface as api
from hareloom.interface import NEVER_RAN, Effect, Outcome

HOLDER_POLL_MS = 30.0  # interval of looking for the holder of a key that is being moved
MAX_WAIT_SHARE = 0.16  # wait for a holder, of the aim; a quarter less the network time to the client
RETRY_AFTER_MS = 250.0  # advice to a refused client
MAX_SENDS = 6  # most sends of one request; most of them are rejected before they reach the upstream
SEND_TIMEOUT_MS = 60_000.0  # of one send; the request's deadline comes first


class _OpenRequest(Struct, eq=False):
    """A request without a result."""

    request_class: api.RequestClass | None
    started_ms: float
    deadline: float
    sends: int = 0
    in_flight: bool = False  # a send has not ended


class KeyedBalancer:
    """Routes the requests of one service to the holders of their keys."""

    def __init__(self, settings: api.Settings, holder_of: Callable[[str], str]) -> None:
        """``holder_of`` returns the upstream that holds a request's key, or "" if none does."""
        self._holder_of = holder_of
        self._classes = {request_class.name: request_class for request_class in settings.classes}
        self._open: dict[str, _OpenRequest] = {}
        self._waiting: dict[str, None] = {}
        self._timer_set = False

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Handles an event and returns the actions to carry out."""
        if isinstance(event, api.Request):
            self._open[event.request] = _OpenRequest(self._classes.get(event.klass), now, event.deadline)
            return self._send_to_holder(now, event.request)
        if isinstance(event, api.AttemptEnded):
            return self._on_attempt_end(now, event)
        if isinstance(event, api.Timer):
            return self._retry_waiting(now)
        if isinstance(event, api.ClientGone):
            self._forget(event.request)
        elif isinstance(event, api.Retune):
            self._classes = {request_class.name: request_class for request_class in event.settings.classes}
        return []

    def _forget(self, request_id: str) -> None:
        self._open.pop(request_id, None)
        self._waiting.pop(request_id, None)

    def _send_to_holder(self, now: float, request_id: str) -> list[api.Action]:
        """Sends the request to the holder of its key, or waits for one."""
        entry = self._open[request_id]
        holder = self._holder_of(request_id)
        if holder and entry.sends < MAX_SENDS:
            self._waiting.pop(request_id, None)
            entry.sends, entry.in_flight = entry.sends + 1, True
            return [api.Send(request_id, holder, SEND_TIMEOUT_MS)]
        return self._wait(now, request_id, entry)

    def _wait(self, now: float, request_id: str, entry: _OpenRequest) -> list[api.Action]:
        aim_ms = (
            entry.request_class.aim_ms
            if entry.request_class is not None
            else entry.deadline - entry.started_ms
        )
        wait_until = min(entry.started_ms + MAX_WAIT_SHARE * aim_ms, entry.deadline)
        if now + HOLDER_POLL_MS > wait_until or entry.sends >= MAX_SENDS:
            self._forget(request_id)
            return [api.Refuse(request_id, RETRY_AFTER_MS)]
        self._waiting[request_id] = None
        return self._set_timer()

    def _set_timer(self) -> list[api.Action]:
        if self._timer_set:
            return []
        self._timer_set = True
        return [api.SetTimer(HOLDER_POLL_MS, 0)]

    def _retry_waiting(self, now: float) -> list[api.Action]:
        self._timer_set = False
        actions: list[api.Action] = []
        for request_id in list(self._waiting):
            actions += self._send_to_holder(now, request_id)
        return actions + (self._set_timer() if self._waiting else [])

    def _on_attempt_end(self, now: float, event: api.AttemptEnded) -> list[api.Action]:
        entry = self._open.get(event.request)
        if entry is None:
            return []
        entry.in_flight = False
        if event.closed:
            self._forget(event.request)
            return []
        if event.outcome in NEVER_RAN:
            return self._wait(now, event.request, entry)
        repeatable = entry.request_class is not None and entry.request_class.effect is Effect.SAFE
        if repeatable and event.outcome is not Outcome.TIMEOUT and entry.sends < 2 and now < entry.deadline:
            return self._send_to_holder(now, event.request)
        self._forget(event.request)
        return [api.Fail(event.request)]
