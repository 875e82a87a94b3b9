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

MAX_OWN_CLASSES = 64  # routes with a class of their own
MAX_SHARED_CLASSES = 64  # classes that others share; beyond these, all that may do the same share one
LATE_WORTH = 0.3  # of an answer after its aim, as no configuration tells it
MAX_CACHED_ROUTES = 4096  # routes whose class is remembered; then the memory begins anew
MAX_PRIORITY = 8  # priorities beyond it are worth as much as it


def worth_of(route: Route) -> float:
    """Of one call, relative to those of the highest priority."""
    return 2.0 ** -min(route.priority, MAX_PRIORITY)


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


def shared_class(klass: api.RequestClass) -> api.RequestClass:
    """The class that is shared by those like it: their times are rounded to powers of two."""
    aim_ms, deadline_ms = (_nearest_power_of_two(span) for span in (klass.aim_ms, klass.deadline_ms))
    name = f"{_effect_name(klass)}, worth {klass.worth:g}, aim {aim_ms:g} ms, horizon {deadline_ms:g} ms"
    return replace(klass, name=name, aim_ms=aim_ms, deadline_ms=deadline_ms)


def _effect_name(klass: api.RequestClass) -> str:
    return "effectful" if klass.effect is Effect.UNSAFE else "idempotent"


def _nearest_power_of_two(span_ms: float) -> float:
    return 2.0 ** round(math.log2(max(span_ms, 1.0)))


class RouteClasses:
    """Of one service."""

    def __init__(self) -> None:
        """No routes yet."""
        self._own: dict[str, api.RequestClass] = {}  # by the route's name
        self._shared: dict[str, api.RequestClass] = {}
        self._cache: dict[str, tuple[Route, str]] = {}  # as each came last, and its class
        self.max_trials = 1  # the most that any route has had

    def all(self) -> tuple[api.RequestClass, ...]:
        """The classes that decisions are made by, those of single routes first."""
        return *self._own.values(), *self._shared.values()

    def assign(self, route: Route) -> tuple[str, bool]:
        """The name of a route's class, and whether the decision module must be told of a change."""
        known = self._cache.get(route.name)
        if known is not None and known[0] is route:
            return known[1], False
        name, changed = self._choose(class_of(route))
        if len(self._cache) >= MAX_CACHED_ROUTES:
            self._cache.clear()
        self._cache[route.name] = route, name
        if route.trials > self.max_trials:
            self.max_trials, changed = route.trials, True
        return name, changed

    def _choose(self, klass: api.RequestClass) -> tuple[str, bool]:
        before = self._own.get(klass.name)
        if before is not None or len(self._own) < MAX_OWN_CLASSES:
            self._own[klass.name] = klass
            return klass.name, klass != before
        klass = shared_class(klass)
        if klass.name not in self._shared and len(self._shared) >= MAX_SHARED_CLASSES:
            klass = replace(klass, name=_effect_name(klass))
        if klass.name in self._shared:
            return klass.name, False
        self._shared[klass.name] = klass
        return klass.name, True
