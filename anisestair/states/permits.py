"""The rules of the balancer that bind the model: which sends are allowed, and whether a request is refused.

The functions of the balancer itself are called. The model leaves all other decisions open, so that its
results hold for any policy that follows these rules.
"""

from __future__ import annotations

from typing import NamedTuple

from hareloom import interface as api
from hareloom import requests
from hareloom.records import Attempt, OpenRequest, Server
from hareloom.work import class_record


class AttemptView(NamedTuple):
    """An attempt as the balancer knows it."""

    in_flight: bool
    may_have_run: bool
    server: int  # -1 once it no longer matters
    tick: float  # at which the server was chosen


class BalancerRules:
    """The rules of the balancer for one model. Results are cached: few different questions occur."""

    def __init__(self, settings: api.Settings, cells: tuple[int, ...], tick_ms: float) -> None:
        self._settings, self._tick_ms = settings, tick_ms
        self._classes = {item.name: class_record(item, settings, 1.0) for item in settings.classes}
        entries = [api.ServerEntry(f"s{number}", cell=cell) for number, cell in enumerate(cells)]
        self._servers = [Server(entry, 0.0) for entry in entries]
        self._allowed_sends: dict[tuple[str, tuple[AttemptView, ...], int, int], bool] = {}
        self._refusals: dict[tuple[str, tuple[AttemptView, ...]], bool] = {}

    def _open_request(self, klass: str, views: tuple[AttemptView, ...]) -> OpenRequest:
        request = api.Request("r", klass, 1e12)
        pending = OpenRequest(request, self._classes[klass], 1e12, self._settings.limits.max_attempts)
        for view in views:
            attempt = Attempt(
                self._servers[view.server], view.tick * self._tick_ms, 1e9, 1.0, 1.0, pending.record
            )
            attempt.ended, attempt.may_have_run = not view.in_flight, view.may_have_run
            pending.attempts.append(attempt)
        return pending

    def may_send(self, klass: str, views: tuple[AttemptView, ...], server: int, tick: int) -> bool:
        """Return whether the balancer may send the request to that server."""
        key = (klass, views, server, tick)
        if key not in self._allowed_sends:
            pending, now = self._open_request(klass, views), tick * self._tick_ms
            self._allowed_sends[key] = requests.may_send(self._settings, now, pending, self._servers[server])
        return self._allowed_sends[key]

    def is_refused(self, klass: str, views: tuple[AttemptView, ...]) -> bool:
        """Return whether a request is refused rather than failed if the balancer gives it up now."""
        key = (klass, views)
        if key not in self._refusals:
            final = requests.final(self._settings, 0.0, self._open_request(klass, views))
            self._refusals[key] = isinstance(final, api.Refuse)
        return self._refusals[key]
