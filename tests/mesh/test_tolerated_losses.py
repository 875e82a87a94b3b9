"""After the permanent budget of a drawn day, a majority of the core and most of each service remain."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

import pytest

from benchmarks.day_drawer import Drawer, drawers
from benchmarks.tolerated_losses import MAX_LOST_UPSTREAM_SHARE, LossBudget

KINDS = """Made-up words. for_s: how long (4). gap_s: a pause (2). share: a part, 0 to 1.

scale_in: share (.5) drain and leave; how: spot (gone x s (2) after the notice; others come 4 s later)
srv_crash: share (.4) of the servers are down; how: dark (silent), gone (for good)
roll_term: share (1) get SIGTERM, x (1) at a time, and start again; how: remove (they leave)
release: share (.5) are replaced, x (1) at a time; the new one starts first, the old one drains
"""
UPSTREAMS_BY_PLACE = {("shop", "a"): 6, ("shop", "b"): 4, ("desk", "b"): 2}


def site(core: int = 5) -> dict[str, Any]:
    sides = [
        {"class": "side", "zone": zone, "app": app, "count": count}
        for (app, zone), count in UPSTREAMS_BY_PLACE.items()
    ]
    return {
        "length_s": 20.0,
        "zones": [{"name": "a"}, {"name": "b"}],
        "services": [{"name": "shop"}, {"name": "desk"}],
        "machines": [*sides, {"class": "core", "zone": "a", "count": core}],
        "classes": [{"name": "read"}],
        "day": [{"plan": [], "faults": [], "goal": {"floor": 0.5}, "floor_classes": [], "floor_zones": []}],
    }


def drawer(core: int = 5) -> Drawer:
    return drawers([site(core)], [KINDS])[0]


def permanent_losses(entries: list[dict[str, Any]], day_drawer: Drawer) -> tuple[int, dict[str, float]]:
    """Returns the machines that count and the share of each service that are lost permanently on a day."""
    counted, shares = 0, Counter[str]()
    for entry in entries:
        kind = day_drawer.kinds[entry["kind"]]
        if not kind.is_permanent(entry):
            continue
        if entry.get("on") == "core":
            counted += entry["count"] if "count" in entry else round(5 * entry.get("share", 1.0))
            continue
        for service in ("shop", "desk"):
            affected = [n for (name, zone), n in UPSTREAMS_BY_PLACE.items() if name == service
                    and zone == entry.get("zone", zone)]  # fmt: skip
            total = sum(n for (name, _), n in UPSTREAMS_BY_PLACE.items() if name == service)
            if entry.get("service", service) == service:
                shares[service] += entry.get("share", kind.figures["share"]) * sum(affected) / total
    return counted, dict(shares)


def days(day_drawer: Drawer, bounded: bool, monkeypatch: pytest.MonkeyPatch) -> list[list[dict[str, Any]]]:
    if not bounded:
        monkeypatch.setattr(Drawer, "limit_losses", lambda _, drawn: drawn)
    found = [day_drawer.draw_entries(list(day_drawer.kinds)[n % 4], random.Random(n)) for n in range(300)]
    return [day["plan"] + day["faults"] for day in found]


@pytest.mark.parametrize("bounded", [True, False])
def test_no_drawn_day_takes_a_majority_or_most_of_a_service(
    bounded: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Without the limit, some drawn days do, and the check finds them."""
    day_drawer = drawer()
    lost = [permanent_losses(day, day_drawer) for day in days(day_drawer, bounded, monkeypatch)]
    too_many_counted = [counted for counted, _ in lost if 2 * counted >= 5]
    too_many_upstreams = [
        shares for _, shares in lost if max(shares.values(), default=0) > MAX_LOST_UPSTREAM_SHARE + 0.01
    ]
    assert bool(too_many_counted) is not bounded
    assert bool(too_many_upstreams) is not bounded
    if bounded:
        assert any(counted == 2 for counted, _ in lost)  # the limit is used up
        assert any(max(shares.values(), default=0) > MAX_LOST_UPSTREAM_SHARE - 0.01 for _, shares in lost)


def test_an_entry_is_reduced_then_loses_its_permanent_variant_or_is_dropped() -> None:
    roll = {"at": 1.0, "kind": "roll_term", "how": "busy remove", "share": 0.84}
    leave = {"at": 2.0, "kind": "scale_in", "share": 0.3}
    spot = {"at": 3.0, "kind": "scale_in", "share": 0.3, "how": "spot"}
    kept = drawer().limit_losses({"plan": [roll, {**roll, "at": 1.5}, leave, spot], "faults": []})
    assert kept["plan"] == [
        {**roll, "share": MAX_LOST_UPSTREAM_SHARE},
        {**roll, "at": 1.5, "how": "busy"},
        spot,
    ]


@pytest.mark.parametrize(("core", "left"), [(1, 0), (2, 0), (3, 1), (9, 4)])
def test_a_majority_of_the_core_stays(core: int, left: int) -> None:
    roll = {"at": 1.0, "kind": "roll_term", "on": "core", "how": "remove", "share": 1.0}
    (entry,) = drawer(core).limit_losses({"plan": [roll], "faults": []})["plan"]
    assert (entry.get("count", 0), "how" in entry) == (left, left > 0)


def test_an_entry_for_a_zone_counts_by_the_service_that_it_affects_most() -> None:
    budget = LossBudget.for_site(site())
    entry = {"kind": "scale_in", "zone": "a", "share": 0.5}  # 3 of 10 in the shop, none of the desk
    assert budget.limit(entry, {}, "servers") == entry
    assert budget.upstream_share == pytest.approx(MAX_LOST_UPSTREAM_SHARE - 0.3)
    reduced = budget.limit({"kind": "scale_in", "zone": "b", "count": 2}, {}, "servers")
    assert reduced == {"kind": "scale_in", "zone": "b", "share": 0.1}  # zone b has the whole desk
    assert budget.limit(entry, {}, "servers") is None
