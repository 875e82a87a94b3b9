"""Request classes of routes: bounded for any number of routes, and with the figures of each route."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from hareloom.interface import Effect
from mesh.configuration.routes import Route
from mesh.data_plane.route_classes import MAX_OWN_CLASSES, MAX_SHARED_CLASSES, RouteClasses, worth_of

ROUTE = Route("r", 1, "h", "/r/", False, 1000.0, 400.0, 2, 1, (("s", 1.0),))
SHAPES = st.tuples(
    st.booleans(), st.sampled_from((10.0, 400.0, 30_000.0, 590_000.0)), st.integers(0, 12), st.integers(1, 6)
)


@settings(deadline=None, max_examples=40)
@given(st.lists(SHAPES, min_size=MAX_OWN_CLASSES + 1, max_size=MAX_OWN_CLASSES + 300))
def test_each_route_is_decided_on_by_figures_like_its_own(shapes: list[tuple[bool, float, int, int]]) -> None:
    classes = RouteClasses()
    for at, (effectful, horizon_ms, priority, trials) in enumerate(shapes):
        route = replace(
            ROUTE,
            name=f"r{at}",
            effectful=effectful,
            horizon_ms=horizon_ms,
            aim_ms=horizon_ms / 3.0,
            priority=priority,
            trials=trials,
        )
        name, _ = classes.assign(route)
        klass = {one.name: one for one in classes.all()}[name]
        assert (klass.effect is Effect.UNSAFE) == effectful
        if name not in ("effectful", "idempotent"):  # beyond all limits
            assert klass.worth == worth_of(route)
            assert 0.7 < klass.aim_ms / route.aim_ms < 1.5
            assert 0.7 < klass.deadline_ms / horizon_ms < 1.5
        assert classes.max_trials >= trials
        assert classes.assign(route) == (name, False)
    assert len(classes.all()) <= MAX_OWN_CLASSES + MAX_SHARED_CLASSES + 2


def test_a_late_route_has_its_own_aim_and_trials_and_not_those_of_the_first_beyond_the_bound() -> None:
    classes = RouteClasses()
    for at in range(MAX_OWN_CLASSES):
        classes.assign(replace(ROUTE, name=f"r{at}"))
    quick, _ = classes.assign(replace(ROUTE, name="quick", aim_ms=10.0, horizon_ms=30.0))
    slow, told = classes.assign(replace(ROUTE, name="slow", aim_ms=4000.0, horizon_ms=9000.0, trials=5))
    by_name = {one.name: one for one in classes.all()}
    assert told and classes.max_trials == 5
    assert by_name[quick].aim_ms < 20.0 and by_name[slow].aim_ms > 3000.0


def test_a_route_that_changes_has_its_class_renewed() -> None:
    classes = RouteClasses()
    assert classes.assign(ROUTE) == ("r", True)
    assert classes.assign(replace(ROUTE, version=2)) == ("r", False)
    assert classes.assign(replace(ROUTE, version=3, aim_ms=50.0)) == ("r", True)
    (klass,) = classes.all()
    assert klass.aim_ms == 50.0
