"""The answers of the commands as lines. No I/O."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from statistics import median
from typing import Any

from mesh.cli.judge import Finding, grouped, sound
from mesh.cli.mesh_snapshot import MeshSnapshot, Process, Told, number, part, text
from mesh.cli.text import borne, line, names, table, wrapped
from mesh.data_plane.membership import CONTROLLER, PROXY, ROLE_NAMES

MOST_ROWS = 10  # of the core, of services and of other digests in `status`, which keeps to a screen
MOST_ALIKE = 10  # findings of one kind that `doctor` prints; --json has all


def services(snapshot: MeshSnapshot) -> list[dict[str, Any]]:
    """Upstreams counted by service; those without one that takes calls are first."""
    found = []
    for service, instances in snapshot.by_service().items():
        settled = sum(value.get("state") == "settled" for _, value in instances)
        found.append(
            {
                "service": service,
                "upstreams": len(instances),
                "settled": settled,
                "capacity": int(sum(number(value, "capacity") for _, value in instances)),
                "zones": len({text(value, "zone") for _, value in instances}),
            }
        )
    return sorted(found, key=lambda one: (one["settled"] > 0, one["service"]))


def versions(snapshot: MeshSnapshot) -> list[dict[str, Any]]:
    """The configurations that are held, the one that counts first, and by whom."""
    return [
        {
            "digest": digest,
            "items": int(number(part(group[0].told, "charter"), "items")),
            "dropped": int(number(part(group[0].told, "charter"), "dropped")),
            "held_by": [process.node for process in group],
        }
        for digest, group in snapshot.digests().items()
    ]


def process_row(snapshot: MeshSnapshot, process: Process) -> dict[str, Any]:
    upstream = part(process.told, "upstream")
    return {
        "node": process.name,
        "role": _role_name(snapshot.role_of(process)),
        "zone": text(process.told, "zone") or text(snapshot.nodes.get(process.name), "zone"),
        "address": f"{process.address[0]}:{process.address[1]}",
        "state": sound(snapshot, process),
        "digest": process.digest,
        "ahead_s": round(process.ahead_s, 3) if process.told is not None else None,
        "upstream": text(upstream, "instance"),
    }


PLURALS = {CONTROLLER: "controllers", PROXY: "proxies"}


def _role_name(role: str) -> str:
    return ROLE_NAMES.get(role, role)


def status(snapshot: MeshSnapshot, found: Sequence[Finding]) -> list[str]:
    """At most some 50 lines, whatever the size of the mesh."""
    lines = []
    if found:
        lines.append("NOT AS IT SHOULD BE (doctor tells what to do)")
        for kind, alike in grouped(list(found)).items():
            lead = f"  {kind:<22}{len(alike):>5}  "
            lines.append(line(lead + names([finding.subject for finding in alike], 100 - len(lead))))
    else:
        lines.append("all is as it should be")
    lines.append("")
    for role in (CONTROLLER, PROXY):
        known = [p for p in snapshot.processes if snapshot.role_of(p) == role]
        answer = sum(process.told is not None for process in known)
        lines.append(f"{PLURALS[role]:<12}{answer} of {len(known)} answer")
    lines.append(f"{'upstreams':<12}{len(snapshot.instances)} of {len(snapshot.by_service())} services")
    lines += duties(snapshot) + members(snapshot)
    for at, held in enumerate(versions(snapshot)[:MOST_ROWS]):
        lead = "configuration" if at == 0 else "  other"
        told = f"{lead} {held['items']} items, {held['dropped']} dropped, digest {held['digest']}: "
        told += f"{len(held['held_by'])} processes"
        if at:
            told += f" ({names(held['held_by'], max(96 - len(told), 10))})"
        lines.append(line(told))
    lines += ["", *core(snapshot), "", *_services(services(snapshot))]
    return lines


def duties(snapshot: MeshSnapshot) -> list[str]:
    """Who has which duty, by the highest epoch that any control process knows."""
    found: dict[str, tuple[float, str]] = {}
    for process in snapshot.answering(CONTROLLER):
        told = part(process.told, "duties")
        for duty in told:
            standing = part(told, duty)
            epoch = number(standing, "epoch")
            if epoch > found.get(duty, (0.0, ""))[0]:
                found[duty] = epoch, text(standing, "holder")
    return [
        line(f"{'duties':<12}{duty} by {holder}, epoch {epoch:.0f}")
        for duty, (epoch, holder) in sorted(found.items())[:MOST_ROWS]
    ]


def members(snapshot: MeshSnapshot) -> list[str]:
    """Under which epoch who counts, and how many more losses are borne, by a process with the newest."""
    told = [p.told for p in snapshot.answering(CONTROLLER) if p.told is not None and "epoch" in p.told]
    if not told:
        return []
    newest = max(told, key=lambda one: (bool(one.get("in_touch")), number(one, "epoch")))
    count = f"{len(part(newest, 'members'))} count, epoch {number(newest, 'epoch'):.0f}"
    return [line(f"{'members':<12}{count}; {borne(part(newest, 'borne'))}")]


def core(snapshot: MeshSnapshot) -> list[str]:
    controllers = snapshot.answering(CONTROLLER)
    rows = []
    for process in controllers[:MOST_ROWS]:
        told = process.told or {}
        disk = "refuses" if told.get("refused") else "whole" if told.get("whole") else "not whole"
        rows.append(
            (
                *(process.node, process.role, text(told, "zone"), text(told, "ip"), text(told, "control")),
                *(disk, sound(snapshot, process)),
            )
        )
    lines = table(("core", "role", "zone", "member", "control", "disk", "state"), rows)
    return lines + _more(len(controllers), MOST_ROWS, "nodes")


def _services(found: Sequence[Mapping[str, Any]]) -> list[str]:
    rows = [
        (one["service"], one["upstreams"], one["settled"], one["capacity"], one["zones"])
        for one in found[:MOST_ROWS]
    ]
    lines = table(("service", "upstreams", "settled", "capacity", "zones"), rows)
    return lines + _more(len(found), MOST_ROWS, "upstreams")


def _more(count: int, shown: int, command: str) -> list[str]:
    return [f"  and {count - shown} more: {command}"] if count > shown else []


def all_services(found: Sequence[Mapping[str, Any]]) -> list[str]:
    rows = [tuple(one.values()) for one in found]
    return table(("service", "upstreams", "settled", "capacity", "zones"), rows)


def nodes(rows: Sequence[Mapping[str, Any]]) -> list[str]:
    head = ("node", "role", "zone", "address", "state", "config", "clock", "upstream")
    cells = []
    for row in rows:
        clock = "-" if row["ahead_s"] is None else f"{row['ahead_s']:+.1f} s"
        cells.append(
            (
                *(row["node"], row["role"], row["zone"], row["address"], row["state"]),
                *(row["digest"][:8] or "-", clock, row["upstream"] or "-"),
            )
        )
    return table(head, cells)


def doctor(found: Sequence[Finding]) -> list[str]:
    lines = []
    for kind, alike in grouped(list(found)).items():
        for finding in alike[:MOST_ALIKE]:
            lines += wrapped(f"{kind}: {finding.subject}: {finding.what}")
        if len(alike) > MOST_ALIKE:
            rest = [finding.subject for finding in alike[MOST_ALIKE:]]
            lines.append(line(f"  and {len(rest)} more alike: {names(rest, 70)}"))
        for mend in dict.fromkeys(finding.mend for finding in alike):
            lines += wrapped(f"  -> {mend}", "     ")
    return lines or ["nothing is found"]


def merged(told: Sequence[Told]) -> list[dict[str, Any]]:
    """Upstreams of one service as several sidecars see them, in one row each."""
    seen: dict[str, list[Told]] = {}
    for one in told:
        upstreams = one.get("upstreams")
        for upstream in upstreams if isinstance(upstreams, list) else []:
            seen.setdefault(text(upstream, "instance"), []).append(upstream)
    found = []
    for instance, views in sorted(seen.items()):
        used = [snapshot for snapshot in views if "active" in snapshot]
        ws = [number(snapshot, "w") for snapshot in used if snapshot.get("w") is not None]
        found.append(
            {
                "instance": instance,
                "node": text(views[0], "node"),
                "zone": text(views[0], "zone"),
                "state": text(views[0], "state"),
                "active_at": sum(bool(snapshot.get("active")) for snapshot in used),
                "used_by": len(used),
                "w_median": round(median(ws), 3) if ws else None,
                "held": int(sum(number(snapshot, "held") for snapshot in used)),
            }
        )
    return found


def upstreams(rows: Sequence[Mapping[str, Any]]) -> list[str]:
    head = ("instance", "node", "zone", "state", "active at", "w ms", "held")
    return table(
        head,
        [
            (
                *(row["instance"], row["node"], row["zone"], row["state"]),
                *(f"{row['active_at']} of {row['used_by']}", row["w_median"], row["held"]),
            )
            for row in rows
        ],
    )


def tried(node: str, told: Told) -> list[str]:
    """The answer to `routes try`."""
    route = part(told, "route")
    lines = wrapped(
        f"at {node}: route {text(route, 'name')} r{number(route, 'version'):.0f}, {text(route, 'kind')}, "
        f"prefix {text(route, 'prefix')}, horizon {number(route, 'horizon_ms'):g} ms, aim "
        f"{number(route, 'aim_ms'):g} ms, trials {number(route, 'trials'):.0f}, priority "
        f"{number(route, 'priority'):.0f}"
    )
    services = told.get("services")
    for service in services if isinstance(services, list) else []:
        lines.append(line(f"service {text(service, 'service')}, share {number(service, 'share'):.1%}"))
        found = service.get("upstreams") or []
        rows = [
            (
                *(text(one, "instance"), text(one, "node"), one.get("w"), one.get("deficit")),
                *(one.get("active", False), one.get("held", 0), text(one, "why")),
            )
            for one in found
        ]
        if rows:
            lines += table(("instance", "node", "w ms", "deficit", "active", "held", "why"), rows, "  ")
        else:
            lines.append("  no upstream of it is known: calls are refused")
    return lines


def traced(attempt: str, entries: Sequence[Told], where: Mapping[str, str]) -> list[str]:
    """The answer to `trace`; ``where``: the node of each instance."""
    lines = [line(f"attempt {attempt}")]
    for entry in entries:
        ago = number(entry, "ago_ms") / 1000.0
        lead = f"hop {number(entry, 'hop'):.0f} at {text(entry, 'node')}, {ago:.3f} s ago"
        if entry.get("hop") == 1:
            lines += wrapped(
                f"{lead}: route {text(entry, 'route')} r{number(entry, 'version'):.0f}, "
                f"service {text(entry, 'service')}"
            )
            tries = entry.get("tries")
            for at, one in enumerate(tries if isinstance(tries, list) else [], 1):
                instance = text(one, "instance")
                lines += wrapped(
                    f"  try {at}: {instance} on {where.get(instance, '?')}: {text(one, 'end')}, "
                    f"after {number(one, 'took_ms'):g} ms",
                    "    ",
                )
            if entry.get("further"):
                lines.append(f"  and {number(entry, 'further'):.0f} tries more")
            end = f"  end: {text(entry, 'end')}, after {number(entry, 'took_ms'):g} ms"
            lines += wrapped(f"{end} (aim {number(entry, 'aim_ms'):g} ms)", "    ")
        else:
            ran = entry.get("ran_ms")
            passed = f"passed on, ran {ran:g} ms" if isinstance(ran, int | float) else "not passed on"
            lines += wrapped(
                f"{lead}: for {text(entry, 'instance')}, called by {text(entry, 'caller')}: waited "
                f"{number(entry, 'waited_ms'):g} ms, {passed}: {text(entry, 'end')}"
            )
    return lines
