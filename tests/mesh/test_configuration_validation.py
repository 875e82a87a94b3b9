"""Services of routes: known from the call or the current items; routes without effect are not checked."""

from __future__ import annotations

from typing import Any

import pytest

from mesh.configuration.commands import ConfigurationWrite, Invalid, ItemWrite
from mesh.configuration.validation import check_change

Standing = dict[tuple[str, str], tuple[int, dict[str, Any] | None]]


def route(version: int, *services: str) -> ItemWrite:
    split = [{"plant": service, "gain": index} for index, service in enumerate(services)]
    response = {"plant": services[0]} if len(services) == 1 else {"distribution": split}
    return ItemWrite("route", "r", version, {"name": "r", "response": response})


def plant(version: int, name: str = "p") -> ItemWrite:
    return ItemWrite("plant", name, version, {"name": name})


def drop(version: int) -> ItemWrite:
    return ItemWrite("plant", "p", version, None)


def check(standing: Standing, *writes: ItemWrite) -> Invalid | None:
    return check_change(ConfigurationWrite(writes), lambda kind, name: standing.get((kind, name)))


STANDS: Standing = {("plant", "p"): (5, {"name": "p"})}
DROPPED: Standing = {("plant", "p"): (5, None)}


@pytest.mark.parametrize(
    ("standing", "writes"),
    [
        ({}, [route(1, "p"), plant(1)]),
        (STANDS, [route(1, "p")]),
        (STANDS, [route(1, "p", "q"), plant(1, "q")]),
        (STANDS, [route(1, "p"), drop(5)]),  # the drop changes nothing
        (DROPPED, [route(1, "p"), plant(4)]),  # complete in itself, although it arrives late
        (DROPPED, [route(1, "p"), plant(6)]),
        (DROPPED | {("route", "r"): (3, {})}, [route(3, "p")]),  # changes nothing
        (DROPPED | {("route", "r"): (3, None)}, [route(2, "p")]),
        ({}, [ItemWrite("route", "r", 1, None), drop(2)]),
        (STANDS | {("route", "r"): (3, route(3, "p").value)}, [drop(6)]),  # routes outside the call stay
    ],
)
def test_routes_that_lead_somewhere_or_change_nothing_are_taken(
    standing: Standing, writes: list[ItemWrite]
) -> None:
    assert check(standing, *writes) is None


@pytest.mark.parametrize(
    ("standing", "writes"),
    [
        ({}, [route(1, "p")]),
        ({("route", "p"): (1, {})}, [route(1, "p")]),  # a route of that name is not a service
        ({}, [ItemWrite("route", "p", 1, route(1, "p").value), route(1, "p")][::-1]),
        (DROPPED, [route(1, "p")]),
        (STANDS, [route(1, "p"), drop(6)]),
        ({}, [drop(6), route(1, "p")]),
        ({("route", "r"): (3, {})}, [plant(1, "q"), route(4, "p")]),
    ],
)
def test_an_unknown_service_is_named_with_its_route(standing: Standing, writes: list[ItemWrite]) -> None:
    fault = check(standing, *writes)
    assert fault is not None
    assert fault.line() == "route r: response.plant names the unknown service p; set it in plant_groups"


def test_a_split_is_judged_in_every_part_those_without_share_too() -> None:
    fault = check({}, route(1, "q", "p"), plant(1))
    assert fault is not None and fault.field == "response.distribution[0].plant"
    fault = check(STANDS, route(1, "p", "q"))
    assert fault is not None and fault.field == "response.distribution[1].plant"
