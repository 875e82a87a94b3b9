"""Draws random deployments from site files of the bench, so that hunts cover more than the standard ones.

    python -m benchmarks.draw_deployments SITE.toml... --out DIR --seed N [--count 8] [--kinds KIND...]

Each drawn site is a TOML file in DIR. The given sites serve in turn as its base, whose standard days it
keeps. All references to places (zones, machines, traffic, plans, faults) are consistent. The wire format file
is copied to DIR. The same sites, seed and count give the same files. DIR must be outside this repository,
because its files contain parts of the site files.

Drawn are: 1 to 5 zones in one or two regions; 1 to 9 core machines; the tolerated losses, including a zone if
at least three zones have core machines and none has half of them; smaller machines (CPU, memory, descriptors
down to 0.6); number, slots and speeds of the upstreams; aims and deadlines; bounds (down to a half);
heartbeat intervals; distances. The traffic is scaled with the capacity of the upstreams. With `--kinds`, the
drawn sites use these kinds of `benchmarks/deployment_kinds.py` in turn; `all` stands for all except the plain
one. The marks and floors of a site do not apply to a drawn one: floors are halved, and only broken rules
count. Prints a line for each site; the last line is JSON.
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

MAX_CORE_COUNT = 9
ZONE_COUNT_WEIGHTS = (1, 2, 4, 2, 2)  # of 1 to 5 zones; three are the fewest that can tolerate losing one
ZONES = ("north", "south", "east", "west", "centre")
REGIONS = ("coast", "inland")
MIN_MACHINE_FACTOR = 0.6  # applied to the resources of the site's machines
MIN_BOUND_FACTOR = 0.5  # applied to the site's bounds
BOUNDS = ("drain_ms", "config_ms", "touch_ms", "ack_ms", "grace_s")
SHAPE_FIELDS = ("sigma", "cv", "alpha", "shape", "tail", "share", "skew")  # of a distribution, not times
FLOOR_FACTOR = 0.5  # applied to the site's floors


class SiteFileError(Exception):
    """A site file lacks a required part; the message is one line."""


def scale(value: float, factor: float) -> float:
    """Scales a number; an integer stays an integer of at least 1."""
    return max(round(value * factor), 1) if isinstance(value, int) else round(value * factor, 3)


def scale_times(value: Any, factor: float) -> Any:
    """Scales a time, or all times of a distribution without its shape."""
    if isinstance(value, dict):
        return {
            key: item if key in SHAPE_FIELDS else scale_times(item, factor) for key, item in value.items()
        }
    if isinstance(value, list):
        return [scale_times(item, factor) for item in value]
    return round(float(value) * factor, 3) if isinstance(value, int | float) else value


def distribute(count: int, places: Sequence[str], first: int = 0) -> dict[str, int]:
    """Distributes machines over places in turn; places without any are omitted."""
    counts: dict[str, int] = {}
    for number in range(count):
        place = places[(first + number) % len(places)]
        counts[place] = counts.get(place, 0) + 1
    return counts


def draw_tolerance(
    rng: random.Random, core_counts: Mapping[str, int], tolerates_losses: bool
) -> dict[str, int]:
    """Draws the losses to be tolerated at once, which leave more than half of the core; all 0 unless
    ``tolerates_losses``."""
    if not tolerates_losses:
        return {"machines": 0, "zones": 0, "regions": 0}
    core_count = sum(core_counts.values())
    machines = rng.randint(min(1, (core_count - 1) // 2), min(2, (core_count - 1) // 2))
    tolerates_zone_loss = (
        len(core_counts) >= 3 and 2 * max(core_counts.values()) < core_count and rng.random() < 0.6
    )
    return {"machines": machines, "zones": int(tolerates_zone_loss), "regions": 0}


def capacity(service: Mapping[str, Any], upstreams: int) -> float:
    """Returns the capacity of a service, in slots of speed 1."""
    speeds = service["speeds"]
    return float(upstreams * service["slots"] * sum(speeds) / len(speeds))


def draw_site(site: Site, name: str, wire: str, rng: random.Random, kind: DeploymentKind = PLAIN) -> Site:
    """Draws a deployment of one kind based on ``site``; ``wire`` is its wire format file. Raises
    SiteFileError."""
    try:
        return _draw_site(copy.deepcopy(site), name, wire, rng, kind)
    except (KeyError, IndexError, TypeError) as fault:
        raise SiteFileError(f"{site.get('name', 'a site')}: {fault!r} is missing or malformed") from fault


def _draw_site(site: Site, name: str, wire: str, rng: random.Random, kind: DeploymentKind) -> Site:
    old_zones = [zone["name"] for zone in site["zones"]]
    zone_count = rng.choices(range(1, len(ZONES) + 1), ZONE_COUNT_WEIGHTS)[0]
    region_count = rng.choice((1, 1, 2)) if zone_count > 1 else 1
    if kind.region_count is not None:
        region_count = kind.region_count
        zone_count = max(zone_count, region_count)
    zones, regions = list(ZONES[:zone_count]), REGIONS[:region_count]
    new_zone_by_old = {zone: zones[number % len(zones)] for number, zone in enumerate(old_zones)}
    site["name"], site["wire"] = name, wire
    site["zones"] = [
        {"name": zone, "region": regions[number * len(regions) // len(zones)]}
        for number, zone in enumerate(zones)
    ]
    old_capacities = {
        service["name"]: capacity(service, _upstream_count(site, service["name"]))
        for service in site["services"]
    }
    _draw_machines(site, zones, rng, kind.core_count)
    if kind.single_upstream:
        _leave_one_upstream(site, rng)
    _draw_services(site, rng)
    capacity_factor = min(
        capacity(service, _upstream_count(site, service["name"])) / old_capacities[service["name"]]
        for service in site["services"]
    )
    _draw_aims(site, rng, kind)
    core_counts = {m["zone"]: m["count"] for m in site["machines"] if m["class"] == "core"}
    site["tolerate"] = draw_tolerance(rng, core_counts, kind.tolerates_losses)
    site["bounds"] = {
        key: scale(value, rng.uniform(MIN_BOUND_FACTOR, 1.0)) if key in BOUNDS else value
        for key, value in site["bounds"].items()
    } | dict(kind.bounds)
    site["discovery"]["beat_ms"] = scale(site["discovery"]["beat_ms"], rng.uniform(0.4, 1.6))
    for distance in ("cross_zone_ms", "cross_region_ms", "client_ms"):
        site["net"][distance] = scale(site["net"][distance], rng.uniform(0.5, 1.5))
    site["net"].update(kind.network)
    weights = {
        zone: rng.uniform(0.8, 1.2) * sum(m["count"] for m in _sidecar_machines(site) if m["zone"] == zone)
        for zone in zones
    }
    phases = {zone: round(rng.uniform(0.0, 1.0), 2) for zone in zones}
    share = capacity_factor * rng.uniform(0.8, 1.0)
    site["traffic"] = _distribute_traffic(site["traffic"], weights, phases, share)
    for day in site["day"]:
        day["traffic"] = _distribute_traffic(day["traffic"], weights, phases, share)
        day["seed"] = rng.getrandbits(28)
        day["goal"] = {**day["goal"], "floor": round(FLOOR_FACTOR * day["goal"]["floor"], 3)}
        for key in ("floor_classes", "floor_zones"):
            day[key] = [round(FLOOR_FACTOR * value, 3) for value in day[key]]
        for part in ("plan", "faults"):
            day[part] = [_with_new_places(entry, new_zone_by_old, regions) for entry in day[part]]
    site["troubles"] = [_with_new_places(entry, new_zone_by_old, regions) for entry in site["troubles"]]
    if site["tolerate"]["zones"]:
        _add_zone_outage(site, rng.choice(sorted(core_counts)), rng)
    return site


def _sidecar_machines(site: Site) -> list[dict[str, Any]]:
    return [machine for machine in site["machines"] if machine["class"] == "side"]


def _upstream_count(site: Site, service: str) -> int:
    return sum(machine["count"] for machine in _sidecar_machines(site) if machine["app"] == service)


def _draw_machines(site: Site, zones: Sequence[str], rng: random.Random, core_count: int | None) -> None:
    """Distributes the upstreams of each service from where those of the previous one end, so that every zone
    has a machine."""
    factors = {kind: [rng.uniform(MIN_MACHINE_FACTOR, 1.0) for _ in range(3)] for kind in ("side", "core")}

    def resized(template: Mapping[str, Any], zone: str, count: int) -> dict[str, Any]:
        parts = zip(("cpu_share", "memory_mb", "fds"), factors[template["class"]], strict=True)
        return {
            **template,
            **{key: scale(template[key], factor) for key, factor in parts},
            "zone": zone,
            "count": count,
        }

    machines, first_zone = [], 0
    for service in site["services"]:
        template = next(m for m in _sidecar_machines(site) if m["app"] == service["name"])
        count = max(round(_upstream_count(site, service["name"]) * rng.uniform(0.7, 1.5)), 2)
        if service is site["services"][-1]:
            count = max(count, len(zones) - first_zone)
        machines += [resized(template, zone, n) for zone, n in distribute(count, zones, first_zone).items()]
        first_zone += count
    template = next(m for m in site["machines"] if m["class"] == "core")
    count = core_count or rng.randint(1, MAX_CORE_COUNT)
    machines += [
        resized(template, zone, n) for zone, n in distribute(count, zones, rng.randrange(len(zones))).items()
    ]
    site["machines"] = machines


def _leave_one_upstream(site: Site, rng: random.Random) -> None:
    """Leaves one upstream of a random service; its other machines get an upstream of another service."""
    names = [service["name"] for service in site["services"]]
    service = rng.choice(names)
    other = next((name for name in names if name != service), service)
    first, *rest = [machine for machine in _sidecar_machines(site) if machine["app"] == service]
    if first["count"] > 1:
        site["machines"].append({**first, "app": other, "count": first["count"] - 1})
        first["count"] = 1
    for machine in rest:
        machine["app"] = other


def _draw_services(site: Site, rng: random.Random) -> None:
    for service in site["services"]:
        service["slots"] = max(round(service["slots"] * rng.uniform(0.6, 1.5)), 4)
        service["queue"] = 4 * service["slots"]
        connection_limit = round(service["conn_cap"] * rng.uniform(0.7, 1.3))
        service["conn_cap"] = max(connection_limit, service["slots"] + service["queue"] + 10)
        service["speeds"] = [round(rng.uniform(0.5, 1.5), 1) for _ in range(rng.randint(2, 5))]
        service["cold_s"] = round(rng.uniform(1.0, 6.0), 1)


def _draw_aims(site: Site, rng: random.Random, kind: DeploymentKind) -> None:
    """Scales all aims and deadlines by one factor, because calls are nested; the kind's factor applies to the
    work as well."""
    factor, time_factor = rng.uniform(0.8, 1.4), kind.time_factor
    if kind.longest_deadline_ms is not None:
        longest_ms = max(request["deadline_ms"] for request in site["classes"])
        time_factor = kind.longest_deadline_ms / (factor * longest_ms)
    for request in site["classes"]:
        request["aim_ms"] = scale(request["aim_ms"], factor)
        request["deadline_ms"] = scale(request["deadline_ms"], factor)
        if time_factor != 1.0:
            times = {key: value for key, value in request.items() if key.endswith("_ms")}
            request.update({key: scale_times(value, time_factor) for key, value in times.items()})


def _distribute_traffic(
    entries: Sequence[Mapping[str, Any]],
    weights: Mapping[str, float],
    phases: Mapping[str, float],
    share: float,
) -> list[dict[str, Any]]:
    """Distributes the total traffic, times ``share``, over the new zones."""
    total_weight = sum(weights.values())
    per_s, clients = (sum(float(entry[key]) for entry in entries) for key in ("per_s", "clients"))
    return [
        {
            **entries[number % len(entries)],
            "zone": zone,
            "per_s": round(per_s * share * weight / total_weight, 1),
            "clients": max(round(clients * share * weight / total_weight), 2),
            "shape": {**entries[number % len(entries)]["shape"], "phase": phases[zone]},
        }
        for number, (zone, weight) in enumerate(weights.items())
    ]


def _with_new_places(
    entry: Mapping[str, Any], new_zone_by_old: Mapping[str, str], regions: Sequence[str]
) -> dict[str, Any]:
    """Returns an entry of a plan or of the faults with the new names of places."""
    result = dict(entry)
    for key in ("zone", "to_zone"):
        if result.get(key) in new_zone_by_old:
            result[key] = new_zone_by_old[result[key]]
    if "region" in result:
        result["region"] = regions[0]
    return result


def _add_zone_outage(site: Site, zone: str, rng: random.Random) -> None:
    """Adds a power failure of all machines of a zone to one day and to the faults for hunts."""
    outage_s = round(rng.uniform(2.0, 4.0), 1)
    entries = [
        {"kind": "node_kill", "share": 1.0, "for_s": outage_s, "how": "power", "zone": zone, **on}
        for on in ({"on": "core"}, {})
    ]
    site["troubles"] += entries
    days = [day for day in site["day"] if day["faults"]]
    if days:
        start_s = round(rng.uniform(12.0, 16.0), 1)
        rng.choice(days)["faults"] += [{"at": start_s, **entry} for entry in entries]


def describe_site(site: Site) -> str:
    """Describes a site in one line."""
    sidecar_count = sum(machine["count"] for machine in _sidecar_machines(site))
    cores = [machine for machine in site["machines"] if machine["class"] == "core"]
    tolerated = ", ".join(f"{count} {kind}" for kind, count in site["tolerate"].items() if count) or "nothing"
    bounds = site["bounds"]
    slots = "/".join(f"{service['slots']}" for service in site["services"])
    regions, cores_by_zone = (
        {zone["region"] for zone in site["zones"]},
        "+".join(str(machine["count"]) for machine in cores),
    )
    return (
        f"{site['name']}: zones {len(site['zones'])} in {len(regions)} regions, "
        f"{sidecar_count} sides, {sum(machine['count'] for machine in cores)} cores ({cores_by_zone}), "
        f"may lose {tolerated}; side {_sidecar_machines(site)[0]['cpu_share']:g} cpu "
        f"{_sidecar_machines(site)[0]['memory_mb']} MB, "
        f"core {cores[0]['cpu_share']:g} cpu {cores[0]['memory_mb']} MB; slots {slots}, "
        f"beat {site['discovery']['beat_ms']} ms, drain {bounds['drain_ms']} ms, "
        f"settle {bounds['config_ms']} ms, contact {bounds['touch_ms']} ms, "
        f"ack {bounds['ack_ms']} ms, grace {bounds['grace_s']:g} s, "
        f"{sum(traffic['per_s'] for traffic in site['traffic']):.0f} a second"
    )


def main() -> int:
    """Runs the command; returns the exit code: 2 for a folder inside the repository, 1 for a site that cannot
    be read, otherwise 0."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("sites", type=Path, nargs="+", metavar="SITE")
    parser.add_argument("--out", type=Path, required=True)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--count", type=int, default=8)
    parser.add_argument("--kinds", nargs="+", choices=["all", *KINDS], default=["plain"], metavar="KIND")
    args = parser.parse_args()
    names = [name for name in KINDS if name != PLAIN.name] if "all" in args.kinds else args.kinds
    out = args.out.resolve()
    if out.is_relative_to(ROOT):
        print(f"draw_deployments: --out {out}: give a folder outside {ROOT}", file=sys.stderr)
        return 2
    out.mkdir(parents=True, exist_ok=True)
    written = []
    for number in range(args.count):
        path: Path = args.sites[number % len(args.sites)]
        try:
            site = tomllib.loads(path.read_text(encoding="utf-8"))
            wire = path.parent / site["wire"]
            wire_copy_name = f"{path.stem}.{wire.name}"
            (out / wire_copy_name).write_bytes(wire.read_bytes())
            kind = KINDS[names[number % len(names)]]
            name = f"drawn-{args.seed}-{number}" + ("" if kind is PLAIN else f"-{kind.name}")
            drawn = draw_site(site, name, wire_copy_name, random.Random(f"{args.seed}/{number}"), kind)
        except (OSError, KeyError, tomllib.TOMLDecodeError, SiteFileError) as fault:
            print(f"draw_deployments: {path}: {fault}; give a site file of the bench", file=sys.stderr)
            return 1
        (out / f"{name}.toml").write_text(tomli_w.dumps(drawn), encoding="utf-8")
        print(describe_site(drawn), flush=True)
        written.append(str(out / f"{name}.toml"))
    print(json.dumps(written))
    return 0


if __name__ == "__main__":
    sys.exit(main())
