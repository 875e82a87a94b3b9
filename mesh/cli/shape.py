"""Formats the commands' results as lines. No I/O."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from statistics import median
from typing import Any

from mesh.cli.judge import Finding, group_by_kind, process_state
from mesh.cli.mesh_snapshot import JsonObject, MeshSnapshot, Process, number_field, object_field, text_field
from mesh.cli.text import join_names, line, table, tolerated_losses, wrapped
from mesh.data_plane.membership import CONTROLLER, PROXY, ROLE_NAMES

MAX_ROWS = 10  # of each table in `status`, which must fit on a screen
MAX_ALIKE_FINDINGS = 10  # of one kind in the output of `doctor`; --json shows all


def service_counts(snapshot: MeshSnapshot) -> list[dict[str, Any]]:
    """The upstreams of each service, counted; services without a settled upstream are first."""
    found = []
    for service, instances in snapshot.instances_by_service().items():
        settled = sum(value.get("state") == "settled" for _, value in instances)
        found.append(
            {
                "service": service,
                "upstreams": len(instances),
                "settled": settled,
                "capacity": int(sum(number_field(value, "capacity") for _, value in instances)),
                "zones": len({text_field(value, "zone") for _, value in instances}),
            }
        )
    return sorted(found, key=lambda one: (one["settled"] > 0, one["service"]))


def configurations(snapshot: MeshSnapshot) -> list[dict[str, Any]]:
    """The configurations held in the mesh with their holders, the reference first."""
    return [
        {
            "digest": digest,
            "items": int(number_field(object_field(group[0].status, "charter"), "items")),
            "dropped": int(number_field(object_field(group[0].status, "charter"), "dropped")),
            "held_by": [process.node for process in group],
        }
        for digest, group in snapshot.processes_by_digest().items()
    ]


def process_row(snapshot: MeshSnapshot, process: Process) -> dict[str, Any]:
    upstream = object_field(process.status, "upstream")
    return {
        "node": process.name,
        "role": _role_name(snapshot.role_of(process)),
        "zone": text_field(process.status, "zone") or text_field(snapshot.nodes.get(process.name), "zone"),
        "address": f"{process.address[0]}:{process.address[1]}",
        "state": process_state(snapshot, process),
        "digest": process.digest,
        "ahead_s": round(process.clock_offset_s, 3) if process.status is not None else None,
        "upstream": text_field(upstream, "instance"),
    }


PLURALS = {CONTROLLER: "controllers", PROXY: "proxies"}


def _role_name(role: str) -> str:
    return ROLE_NAMES.get(role, role)


def status_lines(snapshot: MeshSnapshot, found: Sequence[Finding]) -> list[str]:
    """At most about 50 lines, regardless of the size of the mesh."""
    lines = []
    if found:
        lines.append("PROBLEMS FOUND (doctor shows the remedies)")
        for kind, similar in group_by_kind(list(found)).items():
            label = f"  {kind:<22}{len(similar):>5}  "
            lines.append(line(label + join_names([finding.subject for finding in similar], 100 - len(label))))
    else:
        lines.append("no problems found")
    lines.append("")
    for role in (CONTROLLER, PROXY):
        known = [p for p in snapshot.processes if snapshot.role_of(p) == role]
        answer = sum(process.status is not None for process in known)
        lines.append(f"{PLURALS[role]:<12}{answer} of {len(known)} answer")
    lines.append(
        f"{'upstreams':<12}{len(snapshot.instances)} of {len(snapshot.instances_by_service())} services"
    )
    lines += lease_lines(snapshot) + member_lines(snapshot)
    for at, held in enumerate(configurations(snapshot)[:MAX_ROWS]):
        label = "configuration" if at == 0 else "  other"
        header = f"{label} {held['items']} items, {held['dropped']} dropped, digest {held['digest']}: "
        header += f"{len(held['held_by'])} processes"
        if at:
            header += f" ({join_names(held['held_by'], max(96 - len(header), 10))})"
        lines.append(line(header))
    lines += ["", *core_lines(snapshot), "", *_service_summary(service_counts(snapshot))]
    return lines


def lease_lines(snapshot: MeshSnapshot) -> list[str]:
    """The holder of each lease, by the highest epoch that any control process reports."""
    found: dict[str, tuple[float, str]] = {}
    for process in snapshot.answering(CONTROLLER):
        holders = object_field(process.status, "duties")
        for lease in holders:
            lease_status = object_field(holders, lease)
            epoch = number_field(lease_status, "epoch")
            if epoch > found.get(lease, (0.0, ""))[0]:
                found[lease] = epoch, text_field(lease_status, "holder")
    return [
        line(f"{'leases':<12}{lease} by {holder}, epoch {epoch:.0f}")
        for lease, (epoch, holder) in sorted(found.items())[:MAX_ROWS]
    ]


def member_lines(snapshot: MeshSnapshot) -> list[str]:
    """The members' epoch and the losses that they tolerate, from the process with the newest epoch."""
    statuses = [
        p.status for p in snapshot.answering(CONTROLLER) if p.status is not None and "epoch" in p.status
    ]
    if not statuses:
        return []
    newest = max(statuses, key=lambda one: (bool(one.get("in_touch")), number_field(one, "epoch")))
    count = f"{len(object_field(newest, 'members'))}, epoch {number_field(newest, 'epoch'):.0f}"
    return [line(f"{'members':<12}{count}; {tolerated_losses(object_field(newest, 'borne'))}")]


def core_lines(snapshot: MeshSnapshot) -> list[str]:
    controllers = snapshot.answering(CONTROLLER)
    rows = []
    for process in controllers[:MAX_ROWS]:
        status = process.status or {}
        disk = "refuses" if status.get("refused") else "complete" if status.get("whole") else "incomplete"
        rows.append(
            (
                *(
                    process.node,
                    process.role,
                    text_field(status, "zone"),
                    text_field(status, "ip"),
                    text_field(status, "control"),
                ),
                *(disk, process_state(snapshot, process)),
            )
        )
    lines = table(("core", "role", "zone", "member", "control", "disk", "state"), rows)
    return lines + _more(len(controllers), MAX_ROWS, "nodes")


def _service_summary(found: Sequence[Mapping[str, Any]]) -> list[str]:
    rows = [
        (one["service"], one["upstreams"], one["settled"], one["capacity"], one["zones"])
        for one in found[:MAX_ROWS]
    ]
    lines = table(("service", "upstreams", "settled", "capacity", "zones"), rows)
    return lines + _more(len(found), MAX_ROWS, "upstreams")


def _more(count: int, shown: int, command: str) -> list[str]:
    return [f"  and {count - shown} more: {command}"] if count > shown else []


def service_lines(found: Sequence[Mapping[str, Any]]) -> list[str]:
    rows = [tuple(one.values()) for one in found]
    return table(("service", "upstreams", "settled", "capacity", "zones"), rows)


def node_lines(rows: Sequence[Mapping[str, Any]]) -> list[str]:
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


def doctor_lines(found: Sequence[Finding]) -> list[str]:
    lines = []
    for kind, similar in group_by_kind(list(found)).items():
        for finding in similar[:MAX_ALIKE_FINDINGS]:
            lines += wrapped(f"{kind}: {finding.subject}: {finding.what}")
        if len(similar) > MAX_ALIKE_FINDINGS:
            omitted = [finding.subject for finding in similar[MAX_ALIKE_FINDINGS:]]
            lines.append(line(f"  and {len(omitted)} more of this kind: {join_names(omitted, 70)}"))
        for mend in dict.fromkeys(finding.mend for finding in similar):
            lines += wrapped(f"  -> {mend}", "     ")
    return lines or ["no problems found"]


def merge_upstreams(answers: Sequence[JsonObject]) -> list[dict[str, Any]]:
    """One row for each upstream of a service, merged from the answers of several sidecars."""
    views_by_instance: dict[str, list[JsonObject]] = {}
    for answer in answers:
        upstreams = answer.get("upstreams")
        for upstream in upstreams if isinstance(upstreams, list) else []:
            views_by_instance.setdefault(text_field(upstream, "instance"), []).append(upstream)
    found = []
    for instance, views in sorted(views_by_instance.items()):
        used = [snapshot for snapshot in views if "active" in snapshot]
        ws = [number_field(snapshot, "w") for snapshot in used if snapshot.get("w") is not None]
        found.append(
            {
                "instance": instance,
                "node": text_field(views[0], "node"),
                "zone": text_field(views[0], "zone"),
                "state": text_field(views[0], "state"),
                "active_at": sum(bool(snapshot.get("active")) for snapshot in used),
                "used_by": len(used),
                "w_median": round(median(ws), 3) if ws else None,
                "held": int(sum(number_field(snapshot, "held") for snapshot in used)),
            }
        )
    return found


def upstream_lines(rows: Sequence[Mapping[str, Any]]) -> list[str]:
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


def route_lines(node: str, answer: JsonObject) -> list[str]:
    """The output of `routes try`."""
    route = object_field(answer, "route")
    lines = wrapped(
        f"at {node}: route {text_field(route, 'name')} r{number_field(route, 'version'):.0f}, "
        f"{text_field(route, 'kind')}, "
        f"prefix {text_field(route, 'prefix')}, horizon {number_field(route, 'horizon_ms'):g} ms, aim "
        f"{number_field(route, 'aim_ms'):g} ms, trials {number_field(route, 'trials'):.0f}, priority "
        f"{number_field(route, 'priority'):.0f}"
    )
    services = answer.get("services")
    for service in services if isinstance(services, list) else []:
        lines.append(
            line(f"service {text_field(service, 'service')}, share {number_field(service, 'share'):.1%}")
        )
        found = service.get("upstreams") or []
        rows = [
            (
                *(text_field(one, "instance"), text_field(one, "node"), one.get("w"), one.get("deficit")),
                *(one.get("active", False), one.get("held", 0), text_field(one, "why")),
            )
            for one in found
        ]
        if rows:
            lines += table(("instance", "node", "w ms", "deficit", "active", "held", "why"), rows, "  ")
        else:
            lines.append("  no upstream is known: calls are refused")
    return lines


def trace_lines(attempt: str, entries: Sequence[JsonObject], where: Mapping[str, str]) -> list[str]:
    """The output of `trace`; ``where``: the node of each instance."""
    lines = [line(f"attempt {attempt}")]
    for entry in entries:
        ago = number_field(entry, "ago_ms") / 1000.0
        lead = f"hop {number_field(entry, 'hop'):.0f} at {text_field(entry, 'node')}, {ago:.3f} s ago"
        if entry.get("hop") == 1:
            lines += wrapped(
                f"{lead}: route {text_field(entry, 'route')} r{number_field(entry, 'version'):.0f}, "
                f"service {text_field(entry, 'service')}"
            )
            tries = entry.get("tries")
            for at, one in enumerate(tries if isinstance(tries, list) else [], 1):
                instance = text_field(one, "instance")
                lines += wrapped(
                    f"  try {at}: {instance} on {where.get(instance, '?')}: {text_field(one, 'end')}, "
                    f"after {number_field(one, 'took_ms'):g} ms",
                    "    ",
                )
            if entry.get("further"):
                lines.append(f"  and {number_field(entry, 'further'):.0f} more tries")
            end = f"  end: {text_field(entry, 'end')}, after {number_field(entry, 'took_ms'):g} ms"
            lines += wrapped(f"{end} (aim {number_field(entry, 'aim_ms'):g} ms)", "    ")
        else:
            ran = entry.get("ran_ms")
            passed = f"forwarded, ran {ran:g} ms" if isinstance(ran, int | float) else "not forwarded"
            lines += wrapped(
                f"{lead}: for {text_field(entry, 'instance')}, called by "
                f"{text_field(entry, 'caller')}: waited "
                f"{number_field(entry, 'waited_ms'):g} ms, {passed}: {text_field(entry, 'end')}"
            )
    return lines
