"""Kinds of state and of frames at the plan's size: what a role holds, what a proxy says and hears."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import msgspec

from benchmarks.scale_fit import LAG_S, LONG, count, fit, sound
from mesh.configuration.commands import ROUTE
from mesh.data_plane.membership import PROXY
from mesh.dissemination.pull_exchange import pack
from mesh.replication.items import Item
from mesh.rollout.report import REPORT, RolloutReport
from mesh.rollout.report import pack as pack_report

Size = dict[str, Any]
EVENTS = (("change", "changes"), ("restart", "restarted"))  # parts, and the field that counts their events


def _bytes(told: object) -> int:
    return len(msgspec.json.encode(told))


def state(proxies: int, machines: int, asked: int, routes: int) -> list[tuple[str, str, int, int, int]]:
    """Kind, where it is held, bytes of one as told, how many a proxy holds, and how many a controller."""
    source = "sidecar-12345.0a1b2c3d"
    node = Item(
        "node",
        "sidecar-12345",
        1_700_000_000_000,
        {"address": "10.128.0.9:7000", "role": PROXY, "zone": "zone-11", "region": "region-4"},
        source,
        1,
    )
    instance = Item(
        "instance",
        "i-7f3a91c2",
        4000,
        {
            "plant": "huvo11a",
            "node": "sidecar-12345",
            "zone": "zone-11",
            "epoch": "v1",
            "capacity": 17,
            "state": "settled",
            "cold_ms": 0,
        },
        source,
        2,
    )
    route = Item(
        ROUTE,
        "r-x73d3zj",
        9,
        {
            "host": "ficu95.example",
            "kind": "idempotent",
            "setpoint_ms": 200,
            "priority": 2,
            "epoch": "r9",
            "predicate": {"prefix": "/lohu930/"},
            "response": {"plant": "huvo11a", "horizon_ms": 800, "trials": 2},
        },
        "core-1.0a1b2c3d",
        9,
    )
    vector = {f"core-{at}.0a1b2c3d": 400 for at in range(machines)}
    report = Item(
        REPORT, "sidecar-12345", 1_700_000_000_000, pack_report(RolloutReport(vector, {}, 0, ())), source, 1
    )
    entry = _bytes({source: 2}) - 1
    links = asked * proxies // machines + machines
    return [
        ("node", "roll", _bytes(pack(node)), proxies + machines, proxies + machines),
        ("instance", "roll", _bytes(pack(instance)), proxies, proxies),
        ("route", "charter", _bytes(pack(route)), routes, routes),
        ("report", "reports", _bytes(pack(report)), 1, proxies),
        ("entry of the roll's vector", "roll", entry, proxies + machines, proxies + machines),
        (
            "entries told to and asked by peers",
            "links",
            entry,
            2 * asked * (proxies + machines),
            2 * links * (proxies + machines),
        ),
    ]


def state_table(proxies: int, machines: int, asked: int, routes: int) -> str:
    lines = [
        "| kind | held in | bytes of one, as told | a proxy holds | a controller holds |",
        "| --- | --- | --- | --- | --- |",
    ]
    for kind, where, size, side, core in state(proxies, machines, asked, routes):
        lines.append(f"| {kind} | {where} | {size} | {side:,} | {core:,} |")
    return "\n".join(lines)


def _of(size: Size, part: str, kind: str, field: str) -> float:
    return float(size["parts"][part]["kinds"].get(kind, {}).get(field, 0.0))


def frames_table(sizes: Sequence[Size], rates: dict[str, float]) -> str:
    """By direction and kind: a second of rest, and what one event brings, means over the sizes that kept up;
    with ``rates`` (events a second, by part) the bytes of a second."""
    for part in ("quiet", *dict(EVENTS)):
        sizes = sound(sizes, part)
    x = [count(size) for size in sizes]
    kinds = sorted(
        {kind for size in sizes for part in ("quiet", *dict(EVENTS)) for kind in size["parts"][part]["kinds"]}
    )
    lines = [
        "| frame | at rest, a second | a change: messages, bytes | a restart: messages, bytes | B/s |",
        "| --- | --- | --- | --- | --- |",
    ]
    total = 0.0
    for kind in kinds:
        seconds = [float(size["parts"]["quiet"]["seconds"]) for size in sizes]

        def rest(field: str, kind: str = kind, seconds: Sequence[float] = seconds) -> list[float]:
            return [_of(size, "quiet", kind, field) / s for size, s in zip(sizes, seconds, strict=True)]

        cells, a_second = [], max(fit("flat", x, rest("bytes")).at(0.0), 0.0)
        cells.append(f"{max(fit('flat', x, rest('messages')).at(0.0), 0.0):.2f}")
        for part, by in EVENTS:
            found = []
            for field in ("messages", "bytes"):
                each = [
                    max(
                        _of(size, part, kind, field) - at * float(size["parts"][part]["seconds"]),
                        0.0,
                    )
                    / float(size["parts"][part][by])
                    for size, at in zip(sizes, rest(field), strict=True)
                ]
                found.append(max(fit("flat", x, each).at(0.0), 0.0))
            cells.append(f"{found[0]:.2f}, {found[1]:,.0f}")
            a_second += rates[part] * found[1]
        total += a_second
        lines.append(f"| {kind} | {' | '.join(cells)} | {a_second:.0f} |")
    lines.append(f"| all | | | | {total:.0f} |")
    return "\n".join(lines)


def troubles_table(sizes: Sequence[Size]) -> str:
    """Seconds until each trouble was over, by size; in brackets where the run was behind its clock."""
    rows = (
        ("a change in force everywhere, after its acknowledgement", "change", "force_s"),
        ("the same, the worst of eight", "change", "force_worst_s"),
        ("500 routes known everywhere, after their acknowledgement", "routes", "known_s"),
        ("a tenth joins: all know all, from the first", "join", "known_s"),
        ("restarts of a fiftieth, one after the other", "restart", "known_s"),
        ("a rack gone: dropped everywhere", "rack", "known_s"),
        ("a region back: it has the change of meanwhile", "region", "known_s"),
        ("an empty disk: whole again", "disk", "whole_s"),
        ("all back within a minute: all know all, from the first", "back", "known_s"),
    )
    heads = [f"{count(size):,.0f}" for size in sizes]
    lines = [f"| seconds, at N = | {' | '.join(heads)} |", f"| --- |{' --- |' * len(sizes)}"]
    for text, part, field in rows:
        cells = []
        for size in sizes:
            played = size["parts"].get(part, {})
            seconds = played.get(field)
            if seconds is None:
                ended = not played and size["outcome"] != "whole"
                cells.append("did not come to rest" if ended else "not played" if not played else "not seen")
            elif part not in LONG and played["hollow_lag_s"] > LAG_S:
                cells.append(f"({seconds:.2f})")
            else:
                cells.append(f"{seconds:.2f}")
        lines.append(f"| {text} | {' | '.join(cells)} |")
    parts = [list(size["parts"].values()) for size in sizes]
    lost = [sum(sum(part.get("links_lost", {}).values()) for part in those) for those in parts]
    lines.append(f"| links lost in all parts (number) | {' | '.join(f'{one:,}' for one in lost)} |")
    lag = [max(part.get("hollow_lag_s", 0.0) for part in those) for those in parts]
    lines.append(
        f"| a hollow process behind its clock, at the most | {' | '.join(f'{o:.2f}' for o in lag)} |"
    )
    return "\n".join(lines)
