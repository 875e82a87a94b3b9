"""Checks of a change against the current configuration and the state of the mesh."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from mesh.cli.bearing import MIN_ANSWERS, MeshFacts, apply_change, differences, review_change
from mesh.cli.config import to_call
from mesh.configuration.commands import ConfigurationWrite, decode_change
from mesh.replication.items import Item, Key
from rigs.mesh_peers import patch_body, route

FACTS = MeshFacts({"red": 2, "blue": 1}, retry_ratios=(0.2,))


def call(body: Mapping[str, Any]) -> ConfigurationWrite:
    decoded = decode_change(json.dumps(body).encode())
    assert isinstance(decoded, ConfigurationWrite), decoded
    return decoded


def configuration(body: Mapping[str, Any]) -> dict[Key, Item]:
    return apply_change(call(body), {})


CURRENT = configuration(patch_body(route("read", "/read/", "red", 5), services=("red", "blue", "empty")))


def finding_fields(body: Mapping[str, Any], facts: MeshFacts = FACTS) -> list[tuple[str, str]]:
    found = review_change(call(body), CURRENT, facts)
    assert all("\n" not in one.line() and one.mend for one in found)
    return [(one.item, one.field) for one in found]


def test_a_change_that_the_mesh_can_bear_has_no_fault() -> None:
    assert finding_fields(patch_body(route("read", "/read/", "red", 6), route("new", "/new/", "blue"))) == []


def test_a_service_that_is_unknown_or_has_no_upstream_is_told_once() -> None:
    assert finding_fields(patch_body(route("new", "/new/", "none"))) == [("route new", "response.plant")]
    assert finding_fields(patch_body(route("new", "/new/", "empty"))) == [("route new", "response.plant")]
    split = route("new", "/new/", "red")
    split["response"].pop("plant")
    split["response"]["distribution"] = [
        {"plant": "red", "gain": 9},
        {"plant": "empty", "gain": 1},
        {"plant": "empty", "gain": 0},
    ]
    assert finding_fields(patch_body(split)) == [("route new", "response.distribution")]


def test_a_prefix_that_another_route_outranks_is_told_for_the_one_that_is_never_reached() -> None:
    assert finding_fields(patch_body(route("over", "/read/", "red", 6))) == [
        ("route read", "predicate.prefix")
    ]
    assert finding_fields(patch_body(route("under", "/read/", "red", 4))) == [
        ("route under", "predicate.prefix")
    ]
    assert finding_fields(patch_body(route("over", "/read/", "red", 6), host="other.example")) == []
    dropping = {
        **patch_body(route("over", "/read/", "red", 6)),
        "remove": {"routes": [{"name": "read", "epoch": "r6"}]},
    }
    assert finding_fields(dropping) == []


def test_versions_that_change_nothing_are_told_and_a_repeat_is_not() -> None:
    assert finding_fields(patch_body(route("read", "/read/", "blue", 4))) == [("route read", "epoch")]
    assert finding_fields(patch_body(route("read", "/read/", "blue", 5))) == [("route read", "epoch")]
    assert finding_fields(patch_body(route("read", "/read/", "red", 5))) == []


def test_an_aim_that_no_answer_of_late_has_met_is_told() -> None:
    def of(count: int, least: float, service_least: float = 0.0) -> MeshFacts:
        by_route = {"read": {"count": count, "least_ms": least}}
        by_service = {"red": {"count": 50, "least_ms": service_least}}
        answers = {"by_route": by_route, "by_service": by_service}
        return MeshFacts(FACTS.settled_by_service, (answers, {}), FACTS.retry_ratios)

    body = patch_body(route("read", "/read/", "red", 6, setpoint_ms=100))
    assert finding_fields(body, of(MIN_ANSWERS, 101.0)) == [("route read", "setpoint_ms")]
    assert finding_fields(body, of(MIN_ANSWERS, 99.0, service_least=200.0)) == []
    # Too few answers of the route, and those of its service are fast enough.
    assert finding_fields(body, of(MIN_ANSWERS - 1, 101.0)) == []
    assert finding_fields(body, of(0, 0.0, service_least=200.0)) == [("route read", "setpoint_ms")]


def test_further_tries_without_a_budget_are_told() -> None:
    without_budget = MeshFacts(FACTS.settled_by_service, (), (0.2, 0.0))
    assert finding_fields(patch_body(route("read", "/read/", "red", 6, trials=2)), without_budget) == [
        ("route read", "response.trials")
    ]
    assert finding_fields(patch_body(route("read", "/read/", "red", 6, trials=1)), without_budget) == []


def test_differences_say_what_sending_would_do() -> None:
    body = patch_body(
        route("read", "/read/", "blue", 7, trials=5), route("new", "/new/", "red"), services=("red",)
    )
    body["remove"] = {"plants": [{"name": "blue", "epoch": "r2"}, {"name": "never", "epoch": "r2"}]}
    found = {one.item: one for one in differences(call(body), CURRENT)}
    assert {name: one.sign for name, one in found.items()} == {
        **{"route read": "~", "route new": "+", "plant red": "=", "plant blue": "-", "plant never": "="}
    }
    assert found["route read"].fields == ("response.plant: red -> blue", "response.trials: 2 -> 5")
    older = differences(call(patch_body(route("read", "/read/", "red", 4))), CURRENT)
    assert [one.sign for one in older] == ["<"]


names = st.sampled_from(["read", "new", "a"])
routes = st.builds(
    lambda name, service, version, trials: route(name, f"/{name}/", service, version, trials=trials),
    *(names, st.sampled_from(["red", "blue"]), st.integers(0, 9), st.integers(1, 3)),
)


@settings(max_examples=60, deadline=None)
@given(st.lists(routes, max_size=3, unique_by=lambda rule: rule["name"]))
def test_what_a_diff_calls_unchanged_is_unchanged_and_the_rest_is_what_changes(
    rules: list[dict[str, Any]],
) -> None:
    body = call(patch_body(*rules))
    before, then = CURRENT, apply_change(body, CURRENT)
    changed = {f"{key[0]} {key[1]}" for key in then if before.get(key) != then[key]}
    found = differences(body, before)
    assert {one.item for one in found if one.sign in "+~-"} == changed


def test_what_config_get_prints_is_read_as_a_call_and_a_call_stays_as_it_is() -> None:
    printed = {"input_ports": [], "plant_groups": []}
    assert json.loads(to_call(json.dumps(printed).encode())) == {"apply": printed}
    for body in (b'{ "apply": {} }', b"{}", b"no json", b"[1]"):
        assert to_call(body) == body
