"""The decisions for a divided service: a request goes to the holder of its key, and to nobody else.

It takes the events of `hareloom.interface` and gives its actions, as `hareloom.Balancer` does: within the one
holder of a key that design's pick has one candidate. No I/O; milliseconds of the caller's steady clock.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from hareloom import interface as api
from hareloom.interface import NEVER_RAN, Effect, Outcome

LOOK_MS = 30.0  # between two looks for the holder of a key that is in motion
PATIENCE = 0.16  # of its aim a request waits for a holder; a quarter less the ways to its client
COME_BACK_MS = 250.0  # a refused client's next try
TRIES_MOST = 6  # sends of one request, most of them turned away before they arrived
TIMEOUT_MS = 60_000.0  # of a send: its deadline comes first


class _Open(Struct, eq=False):
    """A request without its answer."""

    klass: api.RequestClass | None
    began: float
    deadline: float
    sends: int = 0
    out: bool = False  # one is under way


class KeyedBalancer:
    """Of one service."""

    def __init__(self, settings: api.Settings, holder_of: Callable[[str], str]) -> None:
        """``holder_of`` gives the upstream that holds a request's key, "" where nobody does."""
        self._holder_of = holder_of
        self._classes = {one.name: one for one in settings.classes}
        self._open: dict[str, _Open] = {}
        self._waiting: dict[str, None] = {}
        self._armed = False

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """What is to be done about the event."""
        if isinstance(event, api.Request):
            self._open[event.request] = _Open(self._classes.get(event.klass), now, event.deadline)
            return self._look(now, event.request)
        if isinstance(event, api.AttemptEnded):
            return self._ended(now, event)
        if isinstance(event, api.Timer):
            return self._look_all(now)
        if isinstance(event, api.ClientGone):
            self._forget(event.request)
        elif isinstance(event, api.Retune):
            self._classes = {one.name: one for one in event.settings.classes}
        return []

    def _forget(self, request: str) -> None:
        self._open.pop(request, None)
        self._waiting.pop(request, None)

    def _look(self, now: float, request: str) -> list[api.Action]:
        """Sends it to the holder of its key, or waits for one."""
        one = self._open[request]
        holder = self._holder_of(request)
        if holder and one.sends < TRIES_MOST:
            self._waiting.pop(request, None)
            one.sends, one.out = one.sends + 1, True
            return [api.Send(request, holder, TIMEOUT_MS)]
        return self._wait(now, request, one)

    def _wait(self, now: float, request: str, one: _Open) -> list[api.Action]:
        aim_ms = one.klass.aim_ms if one.klass is not None else one.deadline - one.began
        until = min(one.began + PATIENCE * aim_ms, one.deadline)
        if now + LOOK_MS > until or one.sends >= TRIES_MOST:
            self._forget(request)
            return [api.Refuse(request, COME_BACK_MS)]
        self._waiting[request] = None
        return self._arm()

    def _arm(self) -> list[api.Action]:
        if self._armed:
            return []
        self._armed = True
        return [api.SetTimer(LOOK_MS, 0)]

    def _look_all(self, now: float) -> list[api.Action]:
        self._armed = False
        actions: list[api.Action] = []
        for request in list(self._waiting):
            actions += self._look(now, request)
        return actions + (self._arm() if self._waiting else [])

    def _ended(self, now: float, event: api.AttemptEnded) -> list[api.Action]:
        one = self._open.get(event.request)
        if one is None:
            return []
        one.out = False
        if event.closed:
            self._forget(event.request)
            return []
        if event.outcome in NEVER_RAN:
            return self._wait(now, event.request, one)
        repeatable = one.klass is not None and one.klass.effect is Effect.SAFE
        if repeatable and event.outcome is not Outcome.TIMEOUT and one.sends < 2 and now < one.deadline:
            return self._look(now, event.request)
        self._forget(event.request)
        return [api.Fail(event.request)]
