"""Maps the routes of a service to a bounded number of request classes for the decision module. No I/O.

A route has a class of its own while there is room. Beyond that, routes with the same effect, the same worth
and similar times share a class, so that a late route is judged by figures like its own and not by those of
whichever route came first.
"""

from __future__ import annotations

import math
from dataclasses import replace

from hareloom import interface as api
from hareloom.interface import Effect
from mesh.configuration.routes import Route

MAX_OWN_CLASSES = 64  # classes of single routes
MAX_SHARED_CLASSES = 64  # beyond these, all routes with the same effect share one class
LATE_WORTH = 0.3  # worth of a response after the aim; no configuration sets it
MAX_CACHED_ROUTES = 4096  # when full, the cache is cleared
MAX_PRIORITY = 8  # lower priorities are worth as much as this one


def worth_of(route: Route) -> float:
    """Worth of one call, relative to calls of the highest priority."""
    return 2.0 ** -min(route.priority, MAX_PRIORITY)


def class_of(route: Route) -> api.RequestClass:
    """The class of a single route."""
    aim_ms = min(route.aim_ms, route.horizon_ms) if route.aim_ms > 0 else route.horizon_ms
    return api.RequestClass(
        route.name,
        aim_ms=aim_ms,
        deadline_ms=route.horizon_ms,
        worth=worth_of(route),
        late_worth=LATE_WORTH,
        effect=Effect.UNSAFE if route.effectful else Effect.SAFE,
    )


def shared_class(request_class: api.RequestClass) -> api.RequestClass:
    """The class shared by similar routes: times are rounded to powers of two."""
    aim_ms, deadline_ms = (
        _nearest_power_of_two(duration_ms)
        for duration_ms in (request_class.aim_ms, request_class.deadline_ms)
    )
    name = (
        f"{_effect_name(request_class)}, worth {request_class.worth:g}, "
        f"aim {aim_ms:g} ms, horizon {deadline_ms:g} ms"
    )
    return replace(request_class, name=name, aim_ms=aim_ms, deadline_ms=deadline_ms)


def _effect_name(request_class: api.RequestClass) -> str:
    return "effectful" if request_class.effect is Effect.UNSAFE else "idempotent"


def _nearest_power_of_two(duration_ms: float) -> float:
    return 2.0 ** round(math.log2(max(duration_ms, 1.0)))


class RouteClasses:
    """Request classes of one service."""

    def __init__(self) -> None:
        """Starts without routes."""
        self._own: dict[str, api.RequestClass] = {}  # by route name
        self._shared: dict[str, api.RequestClass] = {}
        self._cache: dict[str, tuple[Route, str]] = {}  # latest version, name of its class
        self.max_trials = 1  # the highest of any route so far

    def all(self) -> tuple[api.RequestClass, ...]:
        """All classes, those of single routes first."""
        return *self._own.values(), *self._shared.values()

    def assign(self, route: Route) -> tuple[str, bool]:
        """The name of a route's class, and whether the decision module needs new settings."""
        cached = self._cache.get(route.name)
        if cached is not None and cached[0] is route:
            return cached[1], False
        name, changed = self._choose(class_of(route))
        if len(self._cache) >= MAX_CACHED_ROUTES:
            self._cache.clear()
        self._cache[route.name] = route, name
        if route.trials > self.max_trials:
            self.max_trials, changed = route.trials, True
        return name, changed

    def _choose(self, request_class: api.RequestClass) -> tuple[str, bool]:
        existing = self._own.get(request_class.name)
        if existing is not None or len(self._own) < MAX_OWN_CLASSES:
            self._own[request_class.name] = request_class
            return request_class.name, request_class != existing
        request_class = shared_class(request_class)
        if request_class.name not in self._shared and len(self._shared) >= MAX_SHARED_CLASSES:
            request_class = replace(request_class, name=_effect_name(request_class))
        if request_class.name in self._shared:
            return request_class.name, False
        self._shared[request_class.name] = request_class
        return request_class.name, True
