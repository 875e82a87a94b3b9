"""The membership from items: nodes and instances are found by node and by service, without a search of
all."""

from __future__ import annotations

import random
from typing import Any

from mesh.data_plane.membership import INSTANCE, NODE, PROXY, Membership
from mesh.replication.items import Item


def at(name: str, version: int, node: str, service: str = "red") -> Item:
    return Item(INSTANCE, name, version, {"plant": service, "node": node, "zone": "z", "state": "settled"})


def gone(name: str, version: int) -> Item:
    return Item(INSTANCE, name, version, None)


def test_instances_are_found_at_the_node_that_they_are_at_now() -> None:
    known = Membership()
    known.apply([at("i1", 1, "n1"), at("i2", 1, "n1"), at("i3", 1, "n2")])
    assert (known.instances_at("n1"), known.instances_at("n2"), known.instances_at("n3")) == (
        ["i1", "i2"],
        ["i3"],
        [],
    )
    known.apply([at("i1", 2, "n2"), gone("i2", 2)])
    assert (known.instances_at("n1"), known.instances_at("n2")) == ([], ["i3", "i1"])
    known.apply([gone("i9", 1)])  # of an instance that was never known here
    assert known.instances_at("n2") == ["i3", "i1"]


def test_one_that_changes_its_service_is_gone_from_the_one_before() -> None:
    known = Membership()
    known.apply([at("i1", 1, "n1", "red")])
    told = known.apply([at("i1", 2, "n1", "blue")])
    assert told["red"] == [("i1", None)]
    assert [name for name, _ in told["blue"]] == ["i1"]
    assert known.instances_of("red") == [] and known.instances_at("n1") == ["i1"]


def test_what_is_found_by_node_is_what_a_search_of_all_finds() -> None:
    luck, known = random.Random(59), Membership()
    for version in range(1, 2000):
        name = f"i{luck.randrange(40)}"
        node = f"n{luck.randrange(8)}"
        known.apply([gone(name, version) if luck.random() < 0.3 else at(name, version, node)])
        if version % 50 == 0:
            for number in range(8):
                one = f"n{number}"
                searched = [i for i, value in known.instances.items() if value["node"] == one]
                assert known.instances_at(one) == searched


def test_addresses_are_those_of_nodes_that_stand() -> None:
    known = Membership()
    value: dict[str, Any] = {"address": "10.0.0.1:7000", "role": PROXY, "zone": "z", "region": "r"}
    known.apply([Item(NODE, "n1", 1, value)])
    assert known.address("n1") == ("10.0.0.1", 7000) and known.proxy_count() == 1
    known.apply([Item(NODE, "n1", 2, None)])
    assert known.address("n1") is None and known.proxy_count() == 0
