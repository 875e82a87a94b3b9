"""The classes in which a service's routes are told to the decision module, bounded in number. No I/O.

A route has a class of its own while there is room. Beyond that, routes that may do the same, are worth the
same and have times of like size share one, so that a route which came late is decided on by figures like its
own and not by those of whichever route came first.
"""

from __future__ import annotations

import math
from dataclasses import replace

from hareloom import interface as api
from hareloom.interface import Effect
from mesh.configuration.routes import Route

OWN_MOST = 64  # routes with a class of their own
SHARED_MOST = 64  # classes that others share; beyond these, all that may do the same share one
LATE_WORTH = 0.3  # of an answer after its aim, as no configuration tells it
KNOWN_MOST = 4096  # routes whose class is remembered; then the memory begins anew
PRIORITY_MOST = 8  # priorities beyond it are worth as much as it


def worth_of(route: Route) -> float:
    """Of one call, relative to those of the highest priority."""
    return 2.0 ** -min(route.priority, PRIORITY_MOST)


def class_of(route: Route) -> api.RequestClass:
    """The class of a route by itself."""
    aim_ms = min(route.aim_ms, route.horizon_ms) if route.aim_ms > 0 else route.horizon_ms
    return api.RequestClass(
        route.name,
        aim_ms=aim_ms,
        deadline_ms=route.horizon_ms,
        worth=worth_of(route),
        late_worth=LATE_WORTH,
        effect=Effect.UNSAFE if route.effectful else Effect.SAFE,
    )


def shared(klass: api.RequestClass) -> api.RequestClass:
    """The class that is shared by those like it: their times are rounded to powers of two."""
    aim_ms, deadline_ms = (_rounded(span) for span in (klass.aim_ms, klass.deadline_ms))
    name = f"{_kind(klass)}, worth {klass.worth:g}, aim {aim_ms:g} ms, horizon {deadline_ms:g} ms"
    return replace(klass, name=name, aim_ms=aim_ms, deadline_ms=deadline_ms)


def _kind(klass: api.RequestClass) -> str:
    return "effectful" if klass.effect is Effect.UNSAFE else "idempotent"


def _rounded(span_ms: float) -> float:
    return 2.0 ** round(math.log2(max(span_ms, 1.0)))


class RouteClasses:
    """Of one service."""

    def __init__(self) -> None:
        """No routes yet."""
        self._own: dict[str, api.RequestClass] = {}  # by the route's name
        self._shared: dict[str, api.RequestClass] = {}
        self._known: dict[str, tuple[Route, str]] = {}  # as each came last, and its class
        self.trials = 1  # the most that any route has had

    def all(self) -> tuple[api.RequestClass, ...]:
        """The classes that decisions are made by, those of single routes first."""
        return *self._own.values(), *self._shared.values()

    def take(self, route: Route) -> tuple[str, bool]:
        """The name of a route's class, and whether the decision module must be told of a change."""
        known = self._known.get(route.name)
        if known is not None and known[0] is route:
            return known[1], False
        name, changed = self._place(class_of(route))
        if len(self._known) >= KNOWN_MOST:
            self._known.clear()
        self._known[route.name] = route, name
        if route.trials > self.trials:
            self.trials, changed = route.trials, True
        return name, changed

    def _place(self, klass: api.RequestClass) -> tuple[str, bool]:
        before = self._own.get(klass.name)
        if before is not None or len(self._own) < OWN_MOST:
            self._own[klass.name] = klass
            return klass.name, klass != before
        klass = shared(klass)
        if klass.name not in self._shared and len(self._shared) >= SHARED_MOST:
            klass = replace(klass, name=_kind(klass))
        if klass.name in self._shared:
            return klass.name, False
        self._shared[klass.name] = klass
        return klass.name, True
