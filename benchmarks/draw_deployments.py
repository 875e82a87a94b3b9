"""Draws other deployments from site files of the bench, so that hunts see more than the standard ones.

    python -m benchmarks.draw_deployments SITE.toml... --out DIR --seed N [--count 8] [--kinds KIND...]

Each drawn site is a TOML file in DIR with the standard days of the site that it comes from, in turn; zones,
machines, traffic, plans and faults name the same places. What its messages look like is copied beside it. The
same sites, seed and count give the same files; DIR must lie outside this repository, since its files hold
what the sites hold.

Drawn anew are: 1 to 5 zones in one or two regions; 1 to 9 core machines; what may be lost at once, a zone
among it where three zones or more have core machines and none has half of them; thinner machines (processor,
memory, descriptors down to 0.6); upstreams' number, slots and speeds; aims and deadlines; bounds (down to a
half); beats; distances. Traffic goes with what the upstreams can do. With `--kinds`, the drawn sites take
these kinds in turn, which `benchmarks/deployment_kinds.py` lists; `all` stands for every one but the plain
one. Marks and floors of a site say nothing of a drawn one: floors are halved, and only broken rules count.
One line a site is printed; the last is JSON.
"""

from __future__ import annotations

import argparse
import copy
import json
import random
import sys
import tomllib
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import tomli_w

from benchmarks.deployment_kinds import KINDS, PLAIN, DeploymentKind

ROOT = Path(__file__).resolve().parent.parent
Site = dict[str, Any]

MOST_CORES = 9
OFTEN = (1, 2, 4, 2, 2)  # weights of 1 to 5 zones; three is the least of which one may go
ZONES = ("north", "south", "east", "west", "centre")
REGIONS = ("coast", "inland")
THIN = 0.6  # of the site's machines, at the least
SHORT = 0.5  # of the site's bounds, at the least
BOUNDS = ("drain_ms", "config_ms", "touch_ms", "ack_ms", "grace_s")
SHAPES = ("sigma", "cv", "alpha", "shape", "tail", "share", "skew")  # of a distribution: no times
FLOOR = 0.5  # of the site's floors


class SiteFileError(Exception):
    """A site file without a part that is drawn from; one line."""


def scaled(value: float, by: float) -> float:
    """As a whole number where it was one."""
    return max(round(value * by), 1) if isinstance(value, int) else round(value * by, 3)


def times_scaled(value: Any, by: float) -> Any:
    """A time, or all times of a distribution, whose shape is kept."""
    if isinstance(value, dict):
        return {key: one if key in SHAPES else times_scaled(one, by) for key, one in value.items()}
    if isinstance(value, list):
        return [times_scaled(one, by) for one in value]
    return round(float(value) * by, 3) if isinstance(value, int | float) else value


def spread(count: int, places: Sequence[str], first: int = 0) -> dict[str, int]:
    """So many machines over places in turn; places without any are left out."""
    found: dict[str, int] = {}
    for number in range(count):
        place = places[(first + number) % len(places)]
        found[place] = found.get(place, 0) + 1
    return found


def tolerated(rng: random.Random, cores: Mapping[str, int], counted: bool) -> dict[str, int]:
    """What may go at once and leave more than half of the core; nothing where no machine is ``counted``."""
    if not counted:
        return {"machines": 0, "zones": 0, "regions": 0}
    whole = sum(cores.values())
    machines = rng.randint(min(1, (whole - 1) // 2), min(2, (whole - 1) // 2))
    zone = len(cores) >= 3 and 2 * max(cores.values()) < whole and rng.random() < 0.6
    return {"machines": machines, "zones": int(zone), "regions": 0}


def power(service: Mapping[str, Any], upstreams: int) -> float:
    """What a service can do, in slots of ordinary speed."""
    speeds = service["speeds"]
    return float(upstreams * service["slots"] * sum(speeds) / len(speeds))


def drawn(site: Site, name: str, wire: str, rng: random.Random, kind: DeploymentKind = PLAIN) -> Site:
    """A deployment like ``site``, of one kind; ``wire`` is a file beside it. Raises SiteFileError."""
    try:
        return _drawn(copy.deepcopy(site), name, wire, rng, kind)
    except (KeyError, IndexError, TypeError) as fault:
        raise SiteFileError(
            f"{site.get('name', 'a site')}: {fault!r} is missing or of another form"
        ) from fault


def _drawn(site: Site, name: str, wire: str, rng: random.Random, kind: DeploymentKind) -> Site:
    old_zones = [zone["name"] for zone in site["zones"]]
    zone_count = rng.choices(range(1, len(ZONES) + 1), OFTEN)[0]
    region_count = rng.choice((1, 1, 2)) if zone_count > 1 else 1
    if kind.region_count is not None:
        region_count = kind.region_count
        zone_count = max(zone_count, region_count)
    zones, regions = list(ZONES[:zone_count]), REGIONS[:region_count]
    place = {zone: zones[number % len(zones)] for number, zone in enumerate(old_zones)}
    site["name"], site["wire"] = name, wire
    site["zones"] = [
        {"name": zone, "region": regions[number * len(regions) // len(zones)]}
        for number, zone in enumerate(zones)
    ]
    old = {service["name"]: power(service, _upstreams(site, service["name"])) for service in site["services"]}
    _machines(site, zones, rng, kind.core_count)
    if kind.single_upstream:
        _leave_one_upstream(site, rng)
    _services(site, rng)
    more = min(
        power(service, _upstreams(site, service["name"])) / old[service["name"]]
        for service in site["services"]
    )
    _aims(site, rng, kind)
    cores = {m["zone"]: m["count"] for m in site["machines"] if m["class"] == "core"}
    site["tolerate"] = tolerated(rng, cores, kind.counted)
    site["bounds"] = {
        key: scaled(value, rng.uniform(SHORT, 1.0)) if key in BOUNDS else value
        for key, value in site["bounds"].items()
    } | dict(kind.bounds)
    site["discovery"]["beat_ms"] = scaled(site["discovery"]["beat_ms"], rng.uniform(0.4, 1.6))
    for distance in ("cross_zone_ms", "cross_region_ms", "client_ms"):
        site["net"][distance] = scaled(site["net"][distance], rng.uniform(0.5, 1.5))
    site["net"].update(kind.net)
    weights = {
        zone: rng.uniform(0.8, 1.2) * sum(m["count"] for m in _sides(site) if m["zone"] == zone)
        for zone in zones
    }
    phases = {zone: round(rng.uniform(0.0, 1.0), 2) for zone in zones}
    share = more * rng.uniform(0.8, 1.0)
    site["traffic"] = _traffic(site["traffic"], weights, phases, share)
    for day in site["day"]:
        day["traffic"] = _traffic(day["traffic"], weights, phases, share)
        day["seed"] = rng.getrandbits(28)
        day["goal"] = {**day["goal"], "floor": round(FLOOR * day["goal"]["floor"], 3)}
        for key in ("floor_classes", "floor_zones"):
            day[key] = [round(FLOOR * value, 3) for value in day[key]]
        for part in ("plan", "faults"):
            day[part] = [_placed(entry, place, regions) for entry in day[part]]
    site["troubles"] = [_placed(entry, place, regions) for entry in site["troubles"]]
    if site["tolerate"]["zones"]:
        _zone_goes(site, rng.choice(sorted(cores)), rng)
    return site


def _sides(site: Site) -> list[dict[str, Any]]:
    return [machine for machine in site["machines"] if machine["class"] == "side"]


def _upstreams(site: Site, service: str) -> int:
    return sum(machine["count"] for machine in _sides(site) if machine["app"] == service)


def _machines(site: Site, zones: Sequence[str], rng: random.Random, core_count: int | None) -> None:
    """Upstreams of each service go on where the last one's ended, so that every zone has a machine."""
    thin = {kind: [rng.uniform(THIN, 1.0) for _ in range(3)] for kind in ("side", "core")}

    def made(like: Mapping[str, Any], zone: str, count: int) -> dict[str, Any]:
        parts = zip(("cpu_share", "memory_mb", "fds"), thin[like["class"]], strict=True)
        return {**like, **{key: scaled(like[key], by) for key, by in parts}, "zone": zone, "count": count}

    machines, first = [], 0
    for service in site["services"]:
        like = next(m for m in _sides(site) if m["app"] == service["name"])
        count = max(round(_upstreams(site, service["name"]) * rng.uniform(0.7, 1.5)), 2)
        if service is site["services"][-1]:
            count = max(count, len(zones) - first)
        machines += [made(like, zone, n) for zone, n in spread(count, zones, first).items()]
        first += count
    like = next(m for m in site["machines"] if m["class"] == "core")
    count = core_count or rng.randint(1, MOST_CORES)
    machines += [made(like, zone, n) for zone, n in spread(count, zones, rng.randrange(len(zones))).items()]
    site["machines"] = machines


def _leave_one_upstream(site: Site, rng: random.Random) -> None:
    """One of a service's upstreams is left; the others' machines get an upstream of another service."""
    names = [service["name"] for service in site["services"]]
    service = rng.choice(names)
    other = next((name for name in names if name != service), service)
    first, *rest = [machine for machine in _sides(site) if machine["app"] == service]
    if first["count"] > 1:
        site["machines"].append({**first, "app": other, "count": first["count"] - 1})
        first["count"] = 1
    for machine in rest:
        machine["app"] = other


def _services(site: Site, rng: random.Random) -> None:
    for service in site["services"]:
        service["slots"] = max(round(service["slots"] * rng.uniform(0.6, 1.5)), 4)
        service["queue"] = 4 * service["slots"]
        most = round(service["conn_cap"] * rng.uniform(0.7, 1.3))
        service["conn_cap"] = max(most, service["slots"] + service["queue"] + 10)
        service["speeds"] = [round(rng.uniform(0.5, 1.5), 1) for _ in range(rng.randint(2, 5))]
        service["cold_s"] = round(rng.uniform(1.0, 6.0), 1)


def _aims(site: Site, rng: random.Random, kind: DeploymentKind) -> None:
    """One factor for all, since some calls are made within others; a kind's own also for what work takes."""
    factor, whole = rng.uniform(0.8, 1.4), kind.times
    if kind.longest_deadline_ms is not None:
        longest = max(one["deadline_ms"] for one in site["classes"])
        whole = kind.longest_deadline_ms / (factor * longest)
    for request in site["classes"]:
        request["aim_ms"] = scaled(request["aim_ms"], factor)
        request["deadline_ms"] = scaled(request["deadline_ms"], factor)
        if whole != 1.0:
            times = {key: value for key, value in request.items() if key.endswith("_ms")}
            request.update({key: times_scaled(value, whole) for key, value in times.items()})


def _traffic(
    entries: Sequence[Mapping[str, Any]],
    weights: Mapping[str, float],
    phases: Mapping[str, float],
    share: float,
) -> list[dict[str, Any]]:
    """The same requests in all, times ``share``, over the new zones."""
    whole = sum(weights.values())
    per_s, clients = (sum(float(entry[key]) for entry in entries) for key in ("per_s", "clients"))
    return [
        {
            **entries[number % len(entries)],
            "zone": zone,
            "per_s": round(per_s * share * weight / whole, 1),
            "clients": max(round(clients * share * weight / whole), 2),
            "shape": {**entries[number % len(entries)]["shape"], "phase": phases[zone]},
        }
        for number, (zone, weight) in enumerate(weights.items())
    ]


def _placed(entry: Mapping[str, Any], place: Mapping[str, str], regions: Sequence[str]) -> dict[str, Any]:
    """A plan's or a fault's entry, where it names a place."""
    found = dict(entry)
    for key in ("zone", "to_zone"):
        if found.get(key) in place:
            found[key] = place[found[key]]
    if "region" in found:
        found["region"] = regions[0]
    return found


def _zone_goes(site: Site, zone: str, rng: random.Random) -> None:
    """All machines of a zone lose power at once, on one day and for whoever hunts."""
    for_s = round(rng.uniform(2.0, 4.0), 1)
    both = [
        {"kind": "node_kill", "share": 1.0, "for_s": for_s, "how": "power", "zone": zone, **on}
        for on in ({"on": "core"}, {})
    ]
    site["troubles"] += both
    days = [day for day in site["day"] if day["faults"]]
    if days:
        at = round(rng.uniform(12.0, 16.0), 1)
        rng.choice(days)["faults"] += [{"at": at, **entry} for entry in both]


def describe_site(site: Site) -> str:
    """One line on what a site is."""
    sides = sum(machine["count"] for machine in _sides(site))
    cores = [m for m in site["machines"] if m["class"] == "core"]
    lost = ", ".join(f"{count} {kind}" for kind, count in site["tolerate"].items() if count) or "nothing"
    bounds = site["bounds"]
    slots = "/".join(f"{service['slots']}" for service in site["services"])
    regions, held = {zone["region"] for zone in site["zones"]}, "+".join(str(m["count"]) for m in cores)
    return (
        f"{site['name']}: zones {len(site['zones'])} in {len(regions)} regions, "
        f"{sides} sides, {sum(m['count'] for m in cores)} cores ({held}), "
        f"may lose {lost}; side {_sides(site)[0]['cpu_share']:g} cpu {_sides(site)[0]['memory_mb']} MB, "
        f"core {cores[0]['cpu_share']:g} cpu {cores[0]['memory_mb']} MB; slots {slots}, "
        f"beat {site['discovery']['beat_ms']} ms, drain {bounds['drain_ms']} ms, "
        f"settle {bounds['config_ms']} ms, contact {bounds['touch_ms']} ms, "
        f"ack {bounds['ack_ms']} ms, grace {bounds['grace_s']:g} s, "
        f"{sum(one['per_s'] for one in site['traffic']):.0f} a second"
    )


def main() -> int:
    """The exit code: 2 for a folder inside the repository, 1 for a site that cannot be read, 0."""
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("sites", type=Path, nargs="+", metavar="SITE")
    words.add_argument("--out", type=Path, required=True)
    words.add_argument("--seed", type=int, required=True)
    words.add_argument("--count", type=int, default=8)
    words.add_argument("--kinds", nargs="+", choices=["all", *KINDS], default=["plain"], metavar="KIND")
    given = words.parse_args()
    names = [name for name in KINDS if name != PLAIN.name] if "all" in given.kinds else given.kinds
    out = given.out.resolve()
    if out.is_relative_to(ROOT):
        print(f"draw_deployments: --out {out}: give a folder outside {ROOT}", file=sys.stderr)
        return 2
    out.mkdir(parents=True, exist_ok=True)
    made = []
    for number in range(given.count):
        path: Path = given.sites[number % len(given.sites)]
        try:
            site = tomllib.loads(path.read_text(encoding="utf-8"))
            wire = path.parent / site["wire"]
            copied = f"{path.stem}.{wire.name}"
            (out / copied).write_bytes(wire.read_bytes())
            kind = KINDS[names[number % len(names)]]
            name = f"drawn-{given.seed}-{number}" + ("" if kind is PLAIN else f"-{kind.name}")
            found = drawn(site, name, copied, random.Random(f"{given.seed}/{number}"), kind)
        except (OSError, KeyError, tomllib.TOMLDecodeError, SiteFileError) as fault:
            print(f"draw_deployments: {path}: {fault}; give a site file of the bench", file=sys.stderr)
            return 1
        (out / f"{name}.toml").write_text(tomli_w.dumps(found), encoding="utf-8")
        print(describe_site(found), flush=True)
        made.append(str(out / f"{name}.toml"))
    print(json.dumps(made))
    return 0


if __name__ == "__main__":
    sys.exit(main())
