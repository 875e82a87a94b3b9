"""What the module's own rules permit, asked of the module itself: which sends, and refused or failed.

The model leaves every other decision open, so that what it shows holds for any policy within these rules.
"""

from __future__ import annotations

from typing import NamedTuple

from hareloom import interface as api
from hareloom import requests
from hareloom.records import Attempt, OpenRequest, Server
from hareloom.work import class_record


class View(NamedTuple):
    """An attempt as the module knows it."""

    out: bool
    may_have_run: bool
    server: int  # -1 where it does not matter any more
    tick: float  # when it was chosen


class Permits:
    """Memoized: the same few questions come up in all states."""

    def __init__(self, settings: api.Settings, cells: tuple[int, ...], tick_ms: float) -> None:
        self._settings, self._tick_ms = settings, tick_ms
        self._classes = {item.name: class_record(item, settings, 1.0) for item in settings.classes}
        entries = [api.ServerEntry(f"s{number}", cell=cell) for number, cell in enumerate(cells)]
        self._servers = [Server(entry, 0.0) for entry in entries]
        self._sends: dict[tuple[str, tuple[View, ...], int, int], bool] = {}
        self._finals: dict[tuple[str, tuple[View, ...]], bool] = {}

    def _held(self, klass: str, views: tuple[View, ...]) -> OpenRequest:
        request = api.Request("r", klass, 1e12)
        held = OpenRequest(request, self._classes[klass], 1e12, self._settings.limits.max_attempts)
        for view in views:
            attempt = Attempt(
                self._servers[view.server], view.tick * self._tick_ms, 1e9, 1.0, 1.0, held.record
            )
            attempt.ended, attempt.may_have_run = not view.out, view.may_have_run
            held.attempts.append(attempt)
        return held

    def send(self, klass: str, views: tuple[View, ...], server: int, tick: int) -> bool:
        key = (klass, views, server, tick)
        if key not in self._sends:
            held, now = self._held(klass, views), tick * self._tick_ms
            self._sends[key] = requests.may_send(self._settings, now, held, self._servers[server])
        return self._sends[key]

    def refuses(self, klass: str, views: tuple[View, ...]) -> bool:
        """Whether a request given up now is refused; else it fails."""
        key = (klass, views)
        if key not in self._finals:
            final = requests.final(self._settings, 0.0, self._held(klass, views))
            self._finals[key] = isinstance(final, api.Refuse)
        return self._finals[key]
