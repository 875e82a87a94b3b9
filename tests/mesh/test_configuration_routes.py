"""The route table compared with a linear search, and the shares of services."""

from __future__ import annotations

import sys
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mesh.configuration.routes import Route, RoutesFullError, RouteTable, fold_host, pick_service, read_route


def route(name: str, prefix: str, version: int = 1, host: str = "a.example") -> Route:
    return Route(name, version, host, prefix, False, 800.0, 200.0, 2, 0, (("p", 1.0),))


def linear_search(routes: dict[str, Route], host: str, path: str) -> Route | None:
    fits = [one for one in routes.values() if one.host == host and path.startswith(one.prefix)]
    return max(fits, key=lambda one: (len(one.prefix), one.version, one.name), default=None)


SEGMENTS = st.lists(st.sampled_from(["", "a", "b", "ab"]), max_size=4)
PREFIXES = SEGMENTS.map(lambda segments: "".join(f"/{segment}" for segment in segments) + "/")
PATHS = st.one_of(PREFIXES, SEGMENTS.map("/".join), SEGMENTS.map(lambda segments: "/" + "/".join(segments)))
HOSTS = st.sampled_from(["x.example", "y.example"])
NAMES = st.sampled_from([f"r{index}" for index in range(8)])
STEPS = st.lists(
    st.one_of(NAMES, st.builds(route, NAMES, PREFIXES, st.integers(1, 3), HOSTS)), min_size=1, max_size=30
)


@settings(max_examples=200, deadline=None)
@given(steps=STEPS, asked=st.lists(st.tuples(HOSTS, PATHS), min_size=1, max_size=8))
def test_the_tree_finds_what_a_search_of_all_routes_finds(
    steps: list[str | Route], asked: list[tuple[str, str]]
) -> None:
    routes, plain = RouteTable(), dict[str, Route]()
    for step in steps:
        if isinstance(step, Route):
            routes.put(step)
            plain[step.name] = step
        else:
            routes.remove(step)
            plain.pop(step, None)
        assert len(routes) == len(plain) and routes.names() == plain.keys()
        for host, path in [*asked, *((one.host, one.prefix) for one in plain.values())]:
            assert routes.find(host, path) == linear_search(plain, host, path)
    for name in list(plain):
        routes.remove(name)
    assert not routes._hosts, "a tree without routes keeps no nodes"


def test_a_prefix_wants_its_last_slash_and_the_root_takes_every_path() -> None:
    routes = RouteTable()
    routes.put(route("a", "/a/"))
    assert routes.find("a.example", "/a") is None
    assert routes.find("a.example", "/ab/") is None
    assert routes.find("a.example", "*") is None
    routes.put(route("root", "/"))
    found = {path: routes.find("a.example", path) for path in ("/a", "/a/", "/a/b", "/")}
    assert {path: one and one.name for path, one in found.items()} == {
        "/a": "root",
        "/a/": "a",
        "/a/b": "a",
        "/": "root",
    }


@pytest.mark.parametrize(
    ("host", "folded"),
    [
        ("A.Example:8080", "a.example"),
        (" a.example ", "a.example"),
        ("[::1]:80", "[::1]"),
        ("[::1]", "[::1]"),
    ],
)
def test_hosts_are_found_whatever_their_case_and_port(host: str, folded: str) -> None:
    assert fold_host(host) == folded
    routes = RouteTable()
    routes.put(route("r", "/", host=folded))
    assert routes.find(host, "/x") is not None


def test_of_equal_prefixes_the_newer_then_the_greater_name_holds_and_the_other_comes_back() -> None:
    routes = RouteTable()
    for one in (route("b", "/a/", 9), route("c", "/a/", 10), route("a", "/a/", 10)):
        routes.put(one)
    order = []
    while found := routes.find("a.example", "/a/"):
        order.append(found.name)
        routes.remove(found.name)
    assert order == ["c", "a", "b"]


def test_a_lookup_costs_by_depth_and_not_by_the_number_of_routes() -> None:
    def calls(count: int) -> int:
        routes, made = RouteTable(), 0
        for index in range(count):
            routes.put(route(f"r{index}", f"/s{index}/t/"))

        def trace(*_: Any) -> Any:
            nonlocal made
            made += 1
            return trace

        sys.settrace(trace)
        try:
            found = routes.find("a.example", "/s1/t/" + "x/" * 1000)
        finally:
            sys.settrace(None)
        assert found is not None and found.name == "r1"
        return made

    assert calls(4000) == calls(2) < 60


def test_the_table_has_a_bound_and_takes_new_versions_when_full() -> None:
    routes = RouteTable(max_routes=2)
    routes.put(route("a", "/a/"))
    routes.put(route("b", "/b/"))
    with pytest.raises(RoutesFullError, match="drop some"):
        routes.put(route("c", "/c/"))
    routes.put(route("a", "/moved/", 2))
    assert routes.names() == {"a", "b"} and routes.find("a.example", "/a/") is None


def test_reading_applies_defaults_and_folds_the_host() -> None:
    value: dict[str, Any] = {
        "kind": "effectful",
        "host": "A.example:80",
        "predicate": {"prefix": "/a/"},
        "response": {"plant": "p", "horizon_ms": 700},
    }
    assert read_route("r", 3, value) == Route(
        "r", 3, "a.example", "/a/", True, 700.0, 700.0, 1, 0, (("p", 1.0),)
    )
    split = [{"plant": "p", "gain": 90}, {"plant": "none", "gain": 0}, {"plant": "q", "gain": 30}]
    value |= {"kind": "idempotent", "setpoint_ms": 0, "priority": 2}
    value["response"] = {"distribution": split, "horizon_ms": 800, "trials": 4}
    assert read_route("r", 4, value) == Route(
        "r", 4, "a.example", "/a/", False, 800.0, 0.0, 4, 2, (("p", 0.75), ("q", 0.25))
    )


@settings(max_examples=100, deadline=None)
@given(gains=st.lists(st.integers(0, 5) | st.floats(0, 2.0**53), min_size=1, max_size=6).filter(any))
def test_services_are_picked_by_their_shares(gains: list[float]) -> None:
    split = [{"plant": str(index), "gain": gain} for index, gain in enumerate(gains)]
    response = {"distribution": split, "horizon_ms": 1}
    made = read_route(
        "r", 1, {"kind": "idempotent", "host": "h", "predicate": {"prefix": "/"}, "response": response}
    )
    steps = 500
    picked = [pick_service(made, step / steps) for step in range(steps)] + [pick_service(made, 1 - 2**-53)]
    for index, gain in enumerate(gains):
        assert abs(picked.count(str(index)) - steps * gain / sum(gains)) <= 2
        assert gain or str(index) not in picked


def test_a_share_ends_before_its_bound_and_the_last_service_has_what_rounding_leaves() -> None:
    made = Route("r", 1, "h", "/", False, 1.0, 1.0, 1, 0, (("p", 0.5), ("q", 0.25)))
    assert [pick_service(made, u) for u in (0.0, 0.49, 0.5, 0.74, 0.75, 0.99)] == [
        "p",
        "p",
        "q",
        "q",
        "q",
        "q",
    ]
