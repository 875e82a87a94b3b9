"""The decisions for a divided service: a request goes to the holder of its key, and to nobody else.

It takes the events of `hareloom.interface` and gives its actions, as `hareloom.Balancer` does: within the one
holder of a key that design's pick has one candidate. No I/O; milliseconds of the caller's steady clock.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from hareloom import interface as api
from hareloom.interface import NEVER_RAN, Effect, Outcome

HOLDER_POLL_MS = 30.0  # between two looks for the holder of a key that is in motion
MAX_WAIT_SHARE = 0.16  # of its aim a request waits for a holder; a quarter less the ways to its client
RETRY_AFTER_MS = 250.0  # a refused client's next try
MAX_SENDS = 6  # sends of one request, most of them turned away before they arrived
SEND_TIMEOUT_MS = 60_000.0  # of a send: its deadline comes first


class _OpenRequest(Struct, eq=False):
    """A request without its answer."""

    request_class: api.RequestClass | None
    started_ms: float
    deadline: float
    sends: int = 0
    in_flight: bool = False  # one is under way


class KeyedBalancer:
    """Of one service."""

    def __init__(self, settings: api.Settings, holder_of: Callable[[str], str]) -> None:
        """``holder_of`` gives the upstream that holds a request's key, "" where nobody does."""
        self._holder_of = holder_of
        self._classes = {one.name: one for one in settings.classes}
        self._open: dict[str, _OpenRequest] = {}
        self._waiting: dict[str, None] = {}
        self._timer_set = False

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """What is to be done about the event."""
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
            self._classes = {one.name: one for one in event.settings.classes}
        return []

    def _forget(self, request: str) -> None:
        self._open.pop(request, None)
        self._waiting.pop(request, None)

    def _send_to_holder(self, now: float, request: str) -> list[api.Action]:
        """Sends it to the holder of its key, or waits for one."""
        one = self._open[request]
        holder = self._holder_of(request)
        if holder and one.sends < MAX_SENDS:
            self._waiting.pop(request, None)
            one.sends, one.in_flight = one.sends + 1, True
            return [api.Send(request, holder, SEND_TIMEOUT_MS)]
        return self._wait(now, request, one)

    def _wait(self, now: float, request: str, one: _OpenRequest) -> list[api.Action]:
        aim_ms = one.request_class.aim_ms if one.request_class is not None else one.deadline - one.started_ms
        until = min(one.started_ms + MAX_WAIT_SHARE * aim_ms, one.deadline)
        if now + HOLDER_POLL_MS > until or one.sends >= MAX_SENDS:
            self._forget(request)
            return [api.Refuse(request, RETRY_AFTER_MS)]
        self._waiting[request] = None
        return self._set_timer()

    def _set_timer(self) -> list[api.Action]:
        if self._timer_set:
            return []
        self._timer_set = True
        return [api.SetTimer(HOLDER_POLL_MS, 0)]

    def _retry_waiting(self, now: float) -> list[api.Action]:
        self._timer_set = False
        actions: list[api.Action] = []
        for request in list(self._waiting):
            actions += self._send_to_holder(now, request)
        return actions + (self._set_timer() if self._waiting else [])

    def _on_attempt_end(self, now: float, event: api.AttemptEnded) -> list[api.Action]:
        one = self._open.get(event.request)
        if one is None:
            return []
        one.in_flight = False
        if event.closed:
            self._forget(event.request)
            return []
        if event.outcome in NEVER_RAN:
            return self._wait(now, event.request, one)
        repeatable = one.request_class is not None and one.request_class.effect is Effect.SAFE
        if repeatable and event.outcome is not Outcome.TIMEOUT and one.sends < 2 and now < one.deadline:
            return self._send_to_holder(now, event.request)
        self._forget(event.request)
        return [api.Fail(event.request)]
