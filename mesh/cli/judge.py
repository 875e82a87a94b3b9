"""Finds problems in a snapshot of the mesh. No I/O."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from statistics import median

from mesh.cli.mesh_snapshot import MeshSnapshot, Process, number_field, object_field, text_field
from mesh.data_plane.membership import CONTROLLER, PROXY
from mesh.membership.instance_lifecycle import SILENT_HEARTBEATS

CONFLICT_REPORT_MS = 600_000.0  # refused orders older than this are not reported
MAX_CLOCK_OFFSET_S = 2.0  # from the median; a larger offset disturbs retries and log times


@dataclass(frozen=True, slots=True)
class Finding:
    """``kind`` groups similar findings, ``subject`` is the place, ``mend`` the remedy."""

    kind: str
    subject: str
    what: str
    mend: str

    def line(self) -> str:
        return f"{self.kind}: {self.subject}: {self.what}; {self.mend}"


def findings(snapshot: MeshSnapshot) -> list[Finding]:
    """All problems, the most severe kinds first, each kind sorted by name."""
    return [
        *_members(snapshot),
        *_core(snapshot),
        *_tolerance(snapshot),
        *_disks(snapshot),
        *_silent(snapshot),
        *_behind(snapshot),
        *_instances(snapshot),
        *_proxies(snapshot),
        *_clocks(snapshot),
        *_settings(snapshot),
    ]


def member_zones(snapshot: MeshSnapshot) -> dict[str, str]:
    """The members' zones by address, as reported by the control processes that answer."""
    found: dict[str, str] = {}
    for process in snapshot.answering(CONTROLLER):
        for address, place in object_field(process.status, "members").items():
            found[address] = str(place[0]) if isinstance(place, list) and place else ""
    return dict(sorted(found.items()))


def _members(snapshot: MeshSnapshot) -> Iterator[Finding]:
    answering = {text_field(process.status, "ip") for process in snapshot.answering(CONTROLLER)}
    for address in member_zones(snapshot):
        if address not in answering:
            yield Finding(
                "member missing",
                address,
                "a voting member does not answer",
                "start the control process there; its vote may be needed for changes",
            )


def _core(snapshot: MeshSnapshot) -> Iterator[Finding]:
    controllers = snapshot.answering(CONTROLLER)
    if not controllers:
        yield Finding(
            "core out of reach",
            "-",
            "no control process answers: no change can be made; calls are still served",
            "start the control processes, or check the network to them",
        )
    for process in controllers:
        if process.status is not None and not process.status.get("in_touch"):
            yield Finding(
                "core cut",
                process.node,
                "has no contact with a quorum: it accepts no change and may miss some",
                "start the missing members or repair the network between them",
            )
        conflicts = object_field(process.status or {}, "votes").get("rivalled", [])
        recent = [one for one in conflicts if number_field(one, "ago_ms") < CONFLICT_REPORT_MS]
        if recent:
            named = f"{recent[0].get('kind')} {recent[0].get('name')} r{recent[0].get('version')}"
            yield Finding(
                "rivalled number",
                process.node,
                f"refused {len(recent)} changes in ten minutes whose versions others had used, last {named}",
                "two operators use the same versions; read the configuration and send higher versions",
            )


def _tolerance(snapshot: MeshSnapshot) -> Iterator[Finding]:
    """One control process with quorum contact is enough for a finding."""
    for process in snapshot.answering(CONTROLLER):
        tolerable, required = object_field(process.status, "borne"), object_field(process.status, "tolerates")
        reduced = [
            kind
            for kind in required
            if tolerable and 0 < number_field(required, kind) > number_field(tolerable, kind)
        ]
        if reduced and process.status is not None and process.status.get("in_touch"):
            shortfall = ", ".join(
                f"{kind} {number_field(tolerable, kind):.0f} of {number_field(required, kind):.0f}"
                for kind in reduced
            )
            yield Finding(
                "fewer losses borne",
                "-",
                f"further losses after which changes would still be possible: {shortfall}",
                "start or replace the members that are down (members show)",
            )
            return


def _disks(snapshot: MeshSnapshot) -> Iterator[Finding]:
    for process in snapshot.answering(CONTROLLER):
        assert process.status is not None
        refused = text_field(process.status, "refused")
        if refused:
            yield Finding(
                "disk refuses", process.node, refused, "free space or replace the disk; writes are retried"
            )
        if process.status.get("counted") and not process.status.get("whole"):
            yield Finding(
                "disk not whole",
                process.node,
                "its disk came back empty or damaged and has no vote yet",
                "it catches up from the others by itself; if that does not end, start the missing members",
            )


def _silent(snapshot: MeshSnapshot) -> Iterator[Finding]:
    missing = member_zones(snapshot)
    for process in snapshot.processes:
        if process.status is None and process.address[0] not in missing:
            yield Finding(
                "no answer",
                process.name,
                process.why,
                "start it or check its network; if its machine is gone for good, do nothing",
            )
        elif process.status is not None and process.name in snapshot.nodes and process.node != process.name:
            yield Finding(
                "other node there",
                process.name,
                f"{process.node} answers at its address",
                "nothing if one machine replaced the other; else give each its own address",
            )


def _behind(snapshot: MeshSnapshot) -> Iterator[Finding]:
    groups = list(snapshot.processes_by_digest().values())
    for group in groups[1:]:
        for process in sorted(group, key=lambda p: p.node):
            held = object_field(process.status, "charter")
            yield Finding(
                "behind",
                process.node,
                f"holds {number_field(held, 'items'):.0f} items, digest {process.digest}, unlike most others",
                "check again in 4 s; if it is still behind, check its links to the control processes",
            )


def _instances(snapshot: MeshSnapshot) -> Iterator[Finding]:
    for instance, value in sorted(snapshot.instances.items()):
        node = text_field(value, "node")
        if node not in snapshot.nodes:
            yield Finding(
                "instance without node",
                instance,
                f"of {text_field(value, 'plant')}; its node {node or '?'} is not known",
                "check whether that machine runs; calls to it fail and are sent elsewhere",
            )


def _proxies(snapshot: MeshSnapshot) -> Iterator[Finding]:
    for process in snapshot.answering(PROXY):
        status = process.status
        assert status is not None
        if status.get("ending"):
            continue
        if not status.get("ready"):
            yield Finding(
                "not ready",
                process.node,
                "has no configuration yet, or none that is known to be complete",
                "check the control processes; the sidecar asks them by itself",
            )
        control = object_field(status, "control")
        if status.get("ready") and control.get("without_ms") is not None:
            without_s, behind_s = (
                number_field(control, name) / 1000.0 for name in ("without_ms", "behind_ms")
            )
            yield Finding(
                "cut from core",
                process.node,
                f"no control process with quorum contact has been reachable for {without_s:.1f} s; "
                f"it uses a configuration that may be {behind_s:.1f} s old",
                "start the missing members or repair the network to them; the sidecar catches up by itself",
            )
        upstream, beat_ms = object_field(status, "upstream"), number_field(status, "beat_ms", 1500.0)
        silent = number_field(upstream, "silent_ms")
        if not upstream:
            what = "no upstream has registered with this sidecar"
        elif upstream.get("gone"):
            what = f"its upstream {text_field(upstream, 'instance')} is gone and no other has registered"
        elif silent > SILENT_HEARTBEATS * beat_ms:
            what = (
                f"its upstream {text_field(upstream, 'instance')} has sent no heartbeat for "
                f"{silent / 1000.0:.1f} s"
            )
        else:
            continue
        yield Finding("no beats", process.node, what, "check the upstream on that machine")


def _clocks(snapshot: MeshSnapshot) -> Iterator[Finding]:
    answering = snapshot.answering()
    if not answering:
        return
    median_offset_s = median(process.clock_offset_s for process in answering)
    for process in answering:
        offset_s = process.clock_offset_s - median_offset_s
        if abs(offset_s) - process.clock_error_s > MAX_CLOCK_OFFSET_S:
            yield Finding(
                "clock off",
                process.node,
                f"{abs(offset_s):.1f} s {'ahead of' if offset_s > 0 else 'behind'} the others",
                "set that machine's clock; its log times and the version of its own item depend on it",
            )


def _settings(snapshot: MeshSnapshot) -> Iterator[Finding]:
    for process in snapshot.answering():
        unknown = (process.status or {}).get("unknown")
        if isinstance(unknown, list) and unknown:
            yield Finding(
                "unknown settings",
                process.node,
                ", ".join(str(name) for name in unknown[:5]),
                "nothing if the file is meant for a newer program; else correct the names",
            )


def group_by_kind(found: list[Finding]) -> dict[str, list[Finding]]:
    """Groups findings by kind, in their order."""
    kinds: dict[str, list[Finding]] = {}
    for finding in found:
        kinds.setdefault(finding.kind, []).append(finding)
    return kinds


def process_state(snapshot: MeshSnapshot, process: Process) -> str:
    """A process's state in one or two words."""
    if process.status is None:
        return process.why or "no answer"
    if process.status.get("ending"):
        return "ends"
    if process.role == CONTROLLER:
        return "in touch" if process.status.get("in_touch") else "cut"
    return "ready" if process.status.get("ready") else "not ready"
