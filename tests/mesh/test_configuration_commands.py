"""A configuration call of an operator: its writes, and each error that makes the whole call invalid."""

from __future__ import annotations

import copy
import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mesh.configuration.commands import (
    MAX_DEPTH,
    MAX_ITEMS,
    ConfigurationWrite,
    Invalid,
    ItemWrite,
    decode_change,
)

CALL: dict[str, Any] = {
    "apply": {
        "input_limits": {"header_bytes": 16384, "quiescent_ms": 15000, "epoch": "r7"},
        "input_ports": [
            {
                "host": "a.example",
                "control_law": [
                    {
                        "name": "r-split",
                        "kind": "idempotent",
                        "setpoint_ms": 200,
                        "priority": 2,
                        "epoch": "r7",
                        "predicate": {"prefix": "/lo/"},
                        "response": {
                            "distribution": [{"plant": "p1", "gain": 90}, {"plant": "p2", "gain": 10}],
                            "horizon_ms": 800,
                            "trials": 2,
                        },
                    },
                    {
                        "name": "r-one",
                        "kind": "effectful",
                        "epoch": "r12",
                        "predicate": {"prefix": "/"},
                        "response": {"plant": "p1", "horizon_ms": 600000},
                    },
                ],
            }
        ],
        "plant_groups": [
            {"name": "p1", "health_path": "/health", "conn_saturation": 110, "tls": False, "epoch": "r7"},
            {"name": "p2", "epoch": "r7"},
        ],
    },
    "remove": {"routes": [{"name": "r-old", "epoch": "r9"}], "plants": [{"name": "p-old", "epoch": "r3"}]},
}
SPLIT = "apply.input_ports.0.control_law.0"
ONE = "apply.input_ports.0.control_law.1"
MISSING = object()


def decoded(call: Any) -> ConfigurationWrite | Invalid:
    return decode_change(json.dumps(call).encode())


def changed(path: str, value: Any) -> dict[str, Any]:
    """CALL with one value, given by a dotted path of keys and indices, replaced or removed."""
    call = copy.deepcopy(CALL)
    *above, last = [int(key) if key.isdigit() else key for key in path.split(".")]
    place: Any = call
    for key in above:
        place = place[key]
    if value is MISSING:
        del place[last]
    else:
        place[last] = value
    return call


def test_a_call_becomes_writes_with_values_as_sent() -> None:
    rules = CALL["apply"]["input_ports"][0]["control_law"]
    plants = CALL["apply"]["plant_groups"]
    assert decoded(CALL) == ConfigurationWrite(
        (
            ItemWrite("input_limits", "input_limits", 7, CALL["apply"]["input_limits"]),
            ItemWrite("route", "r-split", 7, {**rules[0], "host": "a.example"}),
            ItemWrite("route", "r-one", 12, {**rules[1], "host": "a.example"}),
            ItemWrite("plant", "p1", 7, plants[0]),
            ItemWrite("plant", "p2", 7, plants[1]),
            ItemWrite("route", "r-old", 9, None),
            ItemWrite("plant", "p-old", 3, None),
        )
    )


@pytest.mark.parametrize("call", [{}, {"apply": None, "remove": {}}, {"apply": {"input_ports": []}}])
def test_any_part_may_be_missing(call: Any) -> None:
    assert decoded(call) == ConfigurationWrite(())


@pytest.mark.parametrize("part", ["plants", "plant_groups"])
def test_services_are_dropped_under_either_name(part: str) -> None:
    drops = {part: [{"name": "p", "epoch": "r2"}], "input_limits": [{"epoch": "r8"}]}
    assert decoded({"remove": drops}) == ConfigurationWrite(
        (ItemWrite("plant", "p", 2, None), ItemWrite("input_limits", "input_limits", 8, None))
    )


FAULTS = [
    (f"{SPLIT}.response.horizon_ms", 0, "route r-split", "response.horizon_ms"),
    (f"{SPLIT}.response.horizon_ms", 600001, "route r-split", "response.horizon_ms"),
    (f"{SPLIT}.response.horizon_ms", MISSING, "route r-split", "response.horizon_ms"),
    (f"{SPLIT}.response.horizon_ms", "800", "route r-split", "response.horizon_ms"),
    (f"{SPLIT}.response.horizon_ms", True, "route r-split", "response.horizon_ms"),
    (f"{SPLIT}.setpoint_ms", 60800, "route r-split", "setpoint_ms"),
    (f"{SPLIT}.setpoint_ms", -1, "route r-split", "setpoint_ms"),
    (f"{SPLIT}.response.trials", 0, "route r-split", "response.trials"),
    (f"{SPLIT}.response.trials", 1.5, "route r-split", "response.trials"),
    (f"{SPLIT}.priority", "2", "route r-split", "priority"),
    (f"{SPLIT}.kind", "sometimes", "route r-split", "kind"),
    (f"{SPLIT}.kind", ["idempotent"], "route r-split", "kind"),
    (f"{SPLIT}.predicate", MISSING, "route r-split", "predicate"),
    (f"{SPLIT}.predicate.prefix", "lo/", "route r-split", "predicate.prefix"),
    (f"{SPLIT}.predicate.prefix", "/lo", "route r-split", "predicate.prefix"),
    (f"{SPLIT}.predicate.prefix", "", "route r-split", "predicate.prefix"),
    (f"{SPLIT}.predicate.prefix", "/" + "x" * 4095 + "/", "route r-split", "predicate.prefix"),
    (f"{SPLIT}.response", MISSING, "route r-split", "response"),
    (f"{SPLIT}.response.plant", "p1", "route r-split", "response.distribution"),
    (f"{SPLIT}.response.distribution", [], "route r-split", "response.distribution"),
    (f"{SPLIT}.response.distribution", MISSING, "route r-split", "response.plant"),
    (
        f"{SPLIT}.response.distribution",
        [{"plant": "p", "gain": 0}] * 2,
        "route r-split",
        "response.distribution",
    ),
    (
        f"{SPLIT}.response.distribution",
        [{"plant": "p", "gain": 1}] * 1001,
        "route r-split",
        "response.distribution",
    ),
    (f"{SPLIT}.response.distribution.1.gain", -1, "route r-split", "response.distribution[1].gain"),
    (f"{SPLIT}.response.distribution.1.plant", "", "route r-split", "response.distribution[1].plant"),
    (f"{SPLIT}.response.distribution.1", "p2", "route r-split", "response.distribution[1]"),
    (f"{SPLIT}.epoch", MISSING, "route r-split", "epoch"),
    (f"{SPLIT}.epoch", 7, "route r-split", "epoch"),
    (f"{SPLIT}.epoch", "r7\n", "route r-split", "epoch"),
    (f"{SPLIT}.epoch", "r" + "1" * 19, "route r-split", "epoch"),
    (f"{SPLIT}.host", "b.example", "route r-split", "host"),
    (f"{ONE}.name", MISSING, "input_ports[0].control_law[1]", "name"),
    (f"{ONE}.name", "", "input_ports[0].control_law[1]", "name"),
    (f"{ONE}.name", "n" * 257, "input_ports[0].control_law[1]", "name"),
    (ONE, "r-one", "input_ports[0].control_law[1]", "entry"),
    ("apply.input_ports.0.host", "", "input_ports[0]", "host"),
    ("apply.input_ports.0.host", " :80", "input_ports[0]", "host"),
    ("apply.input_ports.0.host", 5, "input_ports[0]", "host"),
    ("apply.input_ports.0.host", "h" * 256, "input_ports[0]", "host"),
    ("apply.input_ports.0.control_law", {}, "input_ports[0].control_law", "entry"),
    ("apply.input_ports", "x", "input_ports", "entry"),
    ("apply", [], "call", "apply"),
    ("remove", 1, "call", "remove"),
    ("apply.plant_groups.0.conn_saturation", 0, "plant p1", "conn_saturation"),
    ("apply.plant_groups.0.health_path", "/x HTTP/1.1\r\n", "plant p1", "health_path"),
    ("apply.plant_groups.1.epoch", "7", "plant p2", "epoch"),
    ("apply.plant_groups.1.name", None, "plant_groups[1]", "name"),
    ("apply.input_limits", [], "input_limits", "entry"),
    ("apply.input_limits.epoch", MISSING, "input_limits", "epoch"),
    *(
        (f"apply.input_limits.{field}", bad, "input_limits", field)
        for field in ("header_bytes", "body_bytes", "header_lag_ms", "quiescent_ms")
        for bad in (0, "1", 10**300)
    ),
    ("remove.routes.0", "r-old", "remove.routes[0]", "entry"),
    ("remove.routes.0.epoch", MISSING, "route r-old", "epoch"),
    ("remove.plants.0.name", MISSING, "remove.plants[0]", "name"),
    ("remove.input_limits", [7], "remove.input_limits[0]", "entry"),
]


@pytest.mark.parametrize(("path", "value", "item", "field"), FAULTS)
def test_each_fault_is_one_line_with_item_and_field(path: str, value: Any, item: str, field: str) -> None:
    fault = decoded(changed(path, value))
    assert isinstance(fault, Invalid), "nothing of the call may be taken, though all else in it is valid"
    assert (fault.item, fault.field) == (item, field)
    assert fault.line().startswith(f"{item}: {field} ") and "; " in fault.line()
    assert fault.line().isprintable() and len(fault.line()) < 400


def test_the_line_says_what_to_mend() -> None:
    fault = decoded(changed(f"{ONE}.response.horizon_ms", 0))
    assert isinstance(fault, Invalid)
    assert fault.line() == "route r-one: response.horizon_ms is 0; give 1 to 600000"


def test_names_that_would_break_a_line_are_shown_in_short_and_escaped() -> None:
    call = {"remove": {"routes": [{"name": "line\nbreak" * 20, "epoch": "x"}]}}
    fault = decoded(call)
    assert isinstance(fault, Invalid) and fault.line().isprintable() and len(fault.line()) < 200


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (f"{SPLIT}.setpoint_ms", 60799.9),
        (f"{SPLIT}.setpoint_ms", MISSING),
        (f"{SPLIT}.response.horizon_ms", 0.5),
        (f"{SPLIT}.response.trials", 1),
        (f"{SPLIT}.response.distribution.0.gain", 0),
        (f"{SPLIT}.predicate.prefix", "/" + "x" * 4094 + "/"),
        (f"{SPLIT}.epoch", "r" + "9" * 18),
        ("apply.input_ports.0.host", "h" * 255),
        (f"{ONE}.name", "n" * 256),
    ],
)
def test_what_lies_just_within_the_bounds_is_taken(path: str, value: Any) -> None:
    assert isinstance(decoded(changed(path, value)), ConfigurationWrite)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"null",
        b"[]",
        b"7",
        b"{",
        b'{"apply":NaN}',
        b'{"apply":1e999}',
        b"\xff",
        b"[" * 200_000,
        b'{"a":"\\ud800"}',
    ],
)
def test_what_is_no_whole_object_is_invalid(body: bytes) -> None:
    fault = decode_change(body)
    assert isinstance(fault, Invalid) and (fault.item, fault.field) == ("call", "body")
    assert fault.line().isprintable()


def test_a_call_cut_short_anywhere_is_invalid() -> None:
    body = json.dumps(CALL).encode()
    assert all(isinstance(decode_change(body[:end]), Invalid) for end in range(len(body)))


def test_nesting_has_a_bound() -> None:
    def nested(levels: int) -> dict[str, Any]:
        value: Any = {}
        for _ in range(levels - 4):  # the call, apply, the list and the item are four levels
            value = [value]
        return {"apply": {"plant_groups": [{"name": "p", "epoch": "r1", "x": value}]}}

    assert isinstance(decoded(nested(MAX_DEPTH - 1)), ConfigurationWrite)
    fault = decoded(nested(MAX_DEPTH))
    assert isinstance(fault, Invalid) and "deep" in fault.line()


def drop_and_set(dropped: str, set_at: str) -> ConfigurationWrite | Invalid:
    plant = {"name": "p", "epoch": set_at}
    return decoded(
        {"apply": {"plant_groups": [plant]}, "remove": {"plants": [{"name": "p", "epoch": dropped}]}}
    )


def test_of_one_name_twice_the_higher_version_holds_by_number() -> None:
    assert drop_and_set("r9", "r10") == ConfigurationWrite(
        (ItemWrite("plant", "p", 10, {"name": "p", "epoch": "r10"}),)
    )
    assert drop_and_set("r10", "r9") == ConfigurationWrite((ItemWrite("plant", "p", 10, None),))


def test_one_version_with_two_contents_is_invalid_and_the_same_again_is_not() -> None:
    fault = drop_and_set("r9", "r9")
    assert isinstance(fault, Invalid) and (fault.item, fault.field) == ("plant p", "epoch")
    plant = {"name": "p", "epoch": "r1"}
    assert isinstance(decoded({"apply": {"plant_groups": [plant, {**plant, "tls": True}]}}), Invalid)
    assert decoded({"apply": {"plant_groups": [plant, plant]}}) == ConfigurationWrite(
        (ItemWrite("plant", "p", 1, plant),)
    )


def test_a_call_holds_as_many_items_as_the_bound_and_no_more() -> None:
    names = [{"name": f"r{index}", "epoch": "r1"} for index in range(MAX_ITEMS)]
    whole = decoded({"remove": {"routes": names}})
    assert isinstance(whole, ConfigurationWrite) and len(whole.writes) == MAX_ITEMS == 20_000
    fault = decoded({"remove": {"routes": names, "plants": names[:1]}})
    assert isinstance(fault, Invalid) and "20000 items" in fault.line()


JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([10**30, 10**400, -1])
    | st.floats()
    | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner, max_size=3),
    max_leaves=6,
)
PLACES = [path for path, *_ in FAULTS] + [
    f"{SPLIT}.response.distribution.0.gain",
    "remove.routes",
    "remove.plants",
]


@settings(max_examples=150, deadline=None)
@given(body=st.binary(max_size=60) | JSON.map(lambda value: json.dumps(value).encode()))
def test_no_bytes_raise(body: bytes) -> None:
    assert isinstance(decode_change(body), (ConfigurationWrite, Invalid))


@settings(max_examples=300, deadline=None)
@given(path=st.sampled_from(PLACES), value=JSON)
def test_no_value_in_any_place_raises(path: str, value: Any) -> None:
    answer = decoded(changed(path, value))
    assert isinstance(answer, ConfigurationWrite) or answer.line().isprintable()
