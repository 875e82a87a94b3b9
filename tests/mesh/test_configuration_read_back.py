"""The configuration reads back as it was sent."""

from __future__ import annotations

import json
import random
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from mesh.configuration.commands import ConfigurationWrite, ItemWrite, decode_change
from mesh.configuration.read_back import render
from mesh.configuration.routes import RouteTable, read_route
from mesh.configuration.validation import check_change

NAMES = st.text(min_size=1, max_size=6)
EPOCHS = st.integers(0, 10**18 - 1).map(lambda version: f"r{version}")
NUMBERS = st.integers(1, 2**53) | st.floats(0.001, 1e9)
UNKNOWN = st.dictionaries(
    st.sampled_from(["note", "x-más", "later"]),
    st.recursive(
        st.none()
        | st.booleans()
        | st.integers()
        | st.floats(allow_nan=False, allow_infinity=False)
        | st.text(),
        lambda inner: st.lists(inner, max_size=2) | st.dictionaries(st.text(max_size=2), inner, max_size=2),
        max_leaves=4,
    ),
    max_size=2,
)


def items(required: dict[str, Any], optional: dict[str, Any]) -> st.SearchStrategy[dict[str, Any]]:
    fixed = st.fixed_dictionaries({"epoch": EPOCHS, **required}, optional=optional)
    return st.tuples(UNKNOWN, fixed).map(lambda parts: {**parts[0], **parts[1]})


SPLITS = st.lists(st.fixed_dictionaries({"plant": NAMES, "gain": NUMBERS}), min_size=1, max_size=3)
BOUNDS: dict[str, Any] = {"horizon_ms": st.integers(1, 600_000)}
RESPONSES = st.fixed_dictionaries({"plant": NAMES, **BOUNDS}, optional={"trials": st.integers(1, 9)}) | (
    st.fixed_dictionaries({"distribution": SPLITS, **BOUNDS})
)
RULES = items(
    {
        "name": NAMES,
        "kind": st.sampled_from(["idempotent", "effectful"]),
        "predicate": st.text(max_size=8).map(lambda inner: {"prefix": f"/{inner}/"}),
        "response": RESPONSES,
    },
    {"setpoint_ms": st.integers(0, 60_000), "priority": st.integers(0, 9)},
)
PORTS = st.lists(
    st.fixed_dictionaries(
        {
            "host": st.sampled_from(["a.example", "A.example", "b:80"]),
            "control_law": st.lists(RULES, max_size=3),
        }
    ),
    max_size=4,
)
PLANTS = st.lists(
    items(
        {"name": NAMES}, {"conn_saturation": NUMBERS, "health_path": st.just("/health"), "tls": st.booleans()}
    ),
    max_size=3,
    unique_by=lambda plant: plant["name"],
)
LIMITS = st.none() | items({}, {"header_bytes": NUMBERS, "quiescent_ms": NUMBERS})


def rendered(change: ConfigurationWrite) -> bytes:
    return render(
        (write.kind, write.name, write.version, write.value) for write in change.writes if write.value
    )


def named(writes: tuple[ItemWrite, ...]) -> dict[tuple[str, str], ItemWrite]:
    return {(write.kind, write.name): write for write in writes}


@settings(max_examples=150, deadline=None)
@given(limits=LIMITS, ports=PORTS, plants=PLANTS, order=st.randoms(use_true_random=False))
def test_what_was_sent_reads_back_equal(
    limits: Any, ports: list[Any], plants: list[Any], order: random.Random
) -> None:
    seen: set[str] = set()
    for port in ports:
        port["control_law"] = [
            rule for rule in port["control_law"] if rule["name"] not in seen and not seen.add(rule["name"])
        ]
    sent = {"input_limits": limits, "input_ports": ports, "plant_groups": plants}
    first = decode_change(json.dumps({"apply": sent}).encode())
    assert isinstance(first, ConfigurationWrite)
    body = rendered(first)
    again = decode_change(b'{"apply":' + body + b"}")
    assert isinstance(again, ConfigurationWrite)
    assert named(again.writes) == named(first.writes)

    answer = json.loads(body)
    assert set(answer) == {"input_ports", "plant_groups"} | ({"input_limits"} if limits else set())
    assert answer.get("input_limits") == limits
    hosts = [port["host"] for port in answer["input_ports"]]
    assert hosts == sorted(set(hosts))
    assert answer["plant_groups"] == sorted(plants, key=lambda plant: plant["name"])
    rules = {rule["name"]: (port["host"], rule) for port in ports for rule in port["control_law"]}
    assert {
        rule["name"]: (p["host"], rule) for p in answer["input_ports"] for rule in p["control_law"]
    } == rules

    mixed = list(first.writes)
    order.shuffle(mixed)
    assert rendered(ConfigurationWrite(tuple(mixed))) == body


def test_nothing_standing_is_rendered_as_empty_lists() -> None:
    assert json.loads(render([])) == {"input_ports": [], "plant_groups": []}


def test_values_are_left_as_they_were() -> None:
    value = {"name": "r", "host": "h", "epoch": "r1"}
    assert json.loads(render([("route", "r", 2, value)]))["input_ports"] == [
        {"host": "h", "control_law": [{"name": "r", "epoch": "r2"}]}
    ]
    assert value == {"name": "r", "host": "h", "epoch": "r1"}


def test_four_thousand_routes_go_all_the_way() -> None:
    rules = [
        {
            "name": f"r{index}",
            "kind": "idempotent",
            "epoch": "r1",
            "predicate": {"prefix": f"/s{index}/"},
            "response": {"plant": f"p{index % 40}", "horizon_ms": 800},
        }
        for index in range(4000)
    ]
    ports = [{"host": f"h{at}.example", "control_law": rules[at * 400 : at * 400 + 400]} for at in range(10)]
    plants = [{"name": f"p{index}", "epoch": "r1"} for index in range(40)]
    change = decode_change(json.dumps({"apply": {"input_ports": ports, "plant_groups": plants}}).encode())
    assert isinstance(change, ConfigurationWrite) and check_change(change, lambda kind, name: None) is None
    routes = RouteTable()
    for write in change.writes:
        if write.kind == "route" and write.value:
            routes.put(read_route(write.name, write.version, write.value))
    assert len(routes) == 4000
    for index in range(4000):
        found = routes.find(f"h{index // 400}.example", f"/s{index}/x")
        assert found is not None and found.split == ((f"p{index % 40}", 1.0),)
    assert sum(len(port["control_law"]) for port in json.loads(rendered(change))["input_ports"]) == 4000
