"""Derives which configuration may be in force at any moment, only from what was sent, acknowledged and
rejected, and checks observations on the sockets against it. No I/O.

A version may be in force from the time it is sent. It must be in force once it was acknowledged and the
node's bound has passed; from then on no older version may be. Within one incarnation of a process no request
may be handled by a version older than one whose effect an upstream saw ``revert_slack_s`` before. Source: the
operators' rules CONFIG, LOST and Acks.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence

from msgspec import Struct

from rigs.soak.disturbances import DisturbanceRecord
from rigs.soak.plan import DropItem, Item, RouteItem

MAX_VERSIONS_SHOWN = 4  # of a route, in a finding
NO_ROUTE = ""  # in place of a service: no route matches, the response is 404


class Finding(Struct, frozen=True):
    """A violation of a rule; ``at`` is in seconds of the event loop's clock."""

    rule: str
    at: float
    description: str


class WriteRecord(Struct):
    """One content of a write, as its operator knows it; times are inf until the event happens."""

    items: tuple[Item, ...]
    valid: bool
    sent_at: float
    acknowledged_at: float = math.inf
    rejected_at: float = math.inf


class Variant(Struct):
    """One content of one version of a route, and the writes that contained it."""

    item: Item
    writes: list[WriteRecord]

    @property
    def sent_at(self) -> float:
        """When it was first sent."""
        return min(one.sent_at for one in self.writes)

    @property
    def acknowledged_at(self) -> float:
        """When it was first acknowledged."""
        return min(one.acknowledged_at for one in self.writes)

    @property
    def rejected(self) -> bool:
        """Whether it can no longer come into force."""
        return all(one.rejected_at < math.inf and one.acknowledged_at == math.inf for one in self.writes)


class Outcome(Struct, frozen=True):
    """An allowed outcome of a request: the service, or NO_ROUTE, and the route versions that lead to it."""

    service: str
    versions: Mapping[str, int]


class Request(Struct, frozen=True):
    """A request as its client sent it: to which node, in which incarnation, and when."""

    attempt: str
    path: str
    node: str
    incarnation: int
    sent_at: float


class ConfigurationLedger:
    """Every route of a soak with all its versions."""

    def __init__(self, disturbances: DisturbanceRecord, routes: Iterable[RouteItem]) -> None:
        """``routes`` exist from the start and count as acknowledged long ago."""
        self._disturbances = disturbances
        self._versions: dict[str, dict[int, list[Variant]]] = defaultdict(dict)
        self._names_by_prefix: dict[str, set[str]] = defaultdict(set)
        # By node and incarnation: the highest version of each route that was seen in force, and since when.
        self._seen_versions: dict[tuple[str, int], dict[str, tuple[int, float]]] = defaultdict(dict)
        self._initial_names: set[str] = set()
        self.writes: list[WriteRecord] = []
        self.findings: list[Finding] = []
        self.checked = 0
        for item in routes:
            self._initial_names.add(item.name)
            self.record_acknowledged(self.record_sent((item,), True, -math.inf), -math.inf)

    # Writes

    def record_sent(self, items: Sequence[Item], valid: bool, now: float) -> WriteRecord:
        """Records that a write is sent for the first time."""
        write = WriteRecord(tuple(items), valid, now)
        self.writes.append(write)
        for item in items:
            variants = self._versions[item.name].setdefault(item.version, [])
            same = next((one for one in variants if one.item == item), None)
            if same is not None:
                same.writes.append(write)
                continue
            variants.append(Variant(item, [write]))
            if isinstance(item, RouteItem):
                self._names_by_prefix[item.prefix].add(item.name)
        return write

    def record_acknowledged(self, write: WriteRecord, now: float) -> None:
        """Records a 200 response to the write."""
        write.acknowledged_at = min(write.acknowledged_at, now)
        if not write.valid:
            self._report("CONFIG", now, f"an invalid write was acknowledged: {_describe(write.items)}")
        for item in write.items:
            variants = self._versions[item.name][item.version]
            if sum(one.acknowledged_at < math.inf for one in variants) > 1:
                self._report("CONFIG", now, f"two contents of {item.name} r{item.version} were acknowledged")

    def record_rejected(self, write: WriteRecord, now: float, status: int, conflicting: bool) -> None:
        """Records a 4xx response to the write. ``conflicting``: other content of its versions was sent."""
        if write.acknowledged_at < math.inf:
            self._report(
                "CONFIG", now, f"acknowledged, then rejected with {status}: {_describe(write.items)}"
            )
            return
        write.rejected_at = min(write.rejected_at, now)
        if write.valid and not conflicting:
            self._report("Duty", now, f"a valid write was rejected with {status}: {_describe(write.items)}")

    def check_unanswered(self, write: WriteRecord, now: float) -> None:
        """Checks a write that was retried until now without a conclusive response."""
        bounds = self._disturbances.bounds
        allowed = bounds.ack_s + bounds.ack_item_s * len(write.items)
        undisturbed_since = now - allowed
        if write.sent_at > undisturbed_since or not self._disturbances.core_undisturbed(
            undisturbed_since - bounds.contact_s, now
        ):
            return
        if self._disturbances.links_undisturbed(undisturbed_since - bounds.contact_s, now):
            self._report(
                "Acks", now, f"no response for {now - write.sent_at:.1f} s: {_describe(write.items)}"
            )

    # Requests

    def check_run(self, request: Request, service: str, now: float) -> None:
        """Checks a request that an upstream of that service has begun to process."""
        self.checked += 1
        outcomes = [one for one in self._outcomes(request, now) if one.service == service]
        if not outcomes:
            self._report_outcome(request, now, f"processed by {service}")
            return
        names = set.intersection(*(set(one.versions) for one in outcomes))
        seen_versions = self._seen_versions[request.node, request.incarnation]
        for name in names:
            version = min(one.versions[name] for one in outcomes)
            if version > seen_versions.get(name, (0, 0.0))[0]:
                seen_versions[name] = (version, now)

    def check_not_found(self, request: Request, now: float) -> None:
        """Checks a request to which the node itself responded 404."""
        self.checked += 1
        if not any(one.service == NO_ROUTE for one in self._outcomes(request, now)):
            self._report_outcome(request, now, "rejected with 404")

    def _report_outcome(self, request: Request, now: float, outcome: str) -> None:
        allowed = sorted({one.service or "404" for one in self._outcomes(request, now)})
        seen_versions = self._seen_versions[request.node, request.incarnation]
        seen = {
            name: seen_versions[name] for name in self._matching_names(request.path) if name in seen_versions
        }
        self._report(
            "CONFIG",
            now,
            f"{request.node} incarnation {request.incarnation}: {request.path} sent"
            f" {now - request.sent_at:.3f} s ago was {outcome};"
            f" allowed: {allowed}; seen in this incarnation: {seen}; {self._history(request.path, now)}",
        )

    def _matching_names(self, path: str) -> list[str]:
        """Returns the names of routes whose prefix matches the path."""
        return [name for prefix in prefixes_of(path) for name in self._names_by_prefix.get(prefix, ())]

    def _history(self, path: str, now: float) -> str:
        return " | ".join(
            f"{name}: {self._describe_versions(name, now)}" for name in self._matching_names(path)
        )

    def _describe_versions(self, name: str, now: float) -> str:
        rows = []
        for version, variants in sorted(self._versions.get(name, {}).items())[-MAX_VERSIONS_SHOWN:]:
            for one in variants:
                services = (
                    [share.service for share in one.item.shares] if isinstance(one.item, RouteItem) else []
                )
                acknowledged = (
                    f"acknowledged {now - one.acknowledged_at:.2f}"
                    if one.acknowledged_at < math.inf
                    else "not acknowledged,"
                )
                state = "rejected" if one.rejected else acknowledged
                rows.append(f"r{version} {services or 'dropped'} sent {now - one.sent_at:.2f} {state} s ago")
        return ", ".join(rows)

    def _outcomes(self, request: Request, now: float) -> list[Outcome]:
        """Returns all allowed outcomes of the request, the longest prefix first."""
        found: list[Outcome] = []
        skipped: dict[str, int] = {}  # absent routes with longer prefixes, by their lowest absent version
        for prefix in prefixes_of(request.path):
            level: dict[str, int] = {}
            absent = True
            for name in self._names_by_prefix.get(prefix, ()):
                min_version = self._min_version(name, request)
                found += self._serving_outcomes(name, min_version, skipped, now)
                absences = self._absent_versions(name, min_version, now)
                absent = absent and bool(absences)
                level[name] = min(absences, default=0)
            if not absent:
                return found
            skipped.update(level)
        return [*found, Outcome(NO_ROUTE, skipped)]

    def _serving_outcomes(
        self, name: str, min_version: int, skipped: Mapping[str, int], now: float
    ) -> Iterator[Outcome]:
        for one in self._possible_variants(name, min_version, now):
            if isinstance(one.item, RouteItem):
                versions = {**skipped, name: one.item.version}
                yield from (Outcome(share.service, versions) for share in one.item.shares if share.weight)

    def _absent_versions(self, name: str, min_version: int, now: float) -> list[int]:
        """Returns the versions at which that route may be absent; 0: it has not arrived yet."""
        drops = [
            one.item.version
            for one in self._possible_variants(name, min_version, now)
            if isinstance(one.item, DropItem)
        ]
        return drops if min_version else [0, *drops]

    def _possible_variants(self, name: str, min_version: int, now: float) -> Iterator[Variant]:
        """Yields the contents of that route that may be in force, none older than ``min_version``."""
        for version, variants in self._versions[name].items():
            if version >= min_version:
                yield from possible_variants(variants, now)

    def _min_version(self, name: str, request: Request) -> int:
        """Returns the lowest version that may still be in force for the request; 0: none needs to be."""
        disturbances, versions = self._disturbances, self._versions[name]
        lowest = min(versions) if name in self._initial_names else 0
        seen_version, seen_at = self._seen_versions[request.node, request.incarnation].get(
            name, (0, math.inf)
        )
        if request.sent_at > seen_at + disturbances.bounds.revert_slack_s:
            lowest = max(lowest, seen_version)
        for version in sorted(versions, reverse=True):
            if version <= lowest:
                break
            acknowledged_at = min(one.acknowledged_at for one in versions[version])
            due = acknowledged_at + disturbances.bounds.settle_s < request.sent_at
            if (
                due
                and acknowledged_at
                + disturbances.activation_bound_s(request.node, acknowledged_at, request.sent_at)
                < request.sent_at
            ):
                return version
        return lowest

    # Reads of the configuration

    def check_read(self, routes: Mapping[str, RouteItem], node: str, asked_at: float, now: float) -> None:
        """Checks a controller's response to a read of the configuration that was sent at ``asked_at``."""
        for name in {*self._versions, *routes}:
            fault = self._read_fault(name, routes.get(name), asked_at, now)
            if fault:
                self._report("CONFIG", now, f"read at {node}: {fault}; {self._describe_versions(name, now)}")

    def _read_fault(self, name: str, item: RouteItem | None, asked_at: float, now: float) -> str:
        versions = self._versions.get(name, {})
        settle_s = self._disturbances.bounds.settle_s
        acknowledged = [
            version
            for version, variants in versions.items()
            if min(one.acknowledged_at for one in variants) + settle_s < asked_at
        ]
        min_version = max(acknowledged, default=0)
        allowed = [
            one.item
            for version, variants in versions.items()
            if version >= min_version
            for one in possible_variants(variants, now)
        ]
        if item is None:
            may_be_absent = not min_version or any(isinstance(one, DropItem) for one in allowed)
            return "" if may_be_absent else f"{name} r{min_version} is missing"
        if item in allowed:
            return ""
        if item.version < min_version:
            return f"{name} is r{item.version}, but r{min_version} was acknowledged"
        return f"{name} r{item.version} differs from every content sent"

    def _report(self, rule: str, now: float, description: str) -> None:
        self.findings.append(Finding(rule, now, description))


def prefixes_of(path: str) -> Iterator[str]:
    """Yields all prefixes of a path that begin and end with a slash, the longest first."""
    end = path.rfind("/") + 1
    while end > 0:
        yield path[:end]
        end = path.rfind("/", 0, end - 1) + 1


def possible_variants(variants: Sequence[Variant], now: float) -> Iterator[Variant]:
    """Yields the contents of one version that may be in force now: the acknowledged one, or otherwise all
    that were sent and not rejected."""
    acknowledged = [one for one in variants if one.acknowledged_at < math.inf]
    for one in acknowledged or variants:
        if one.sent_at <= now and not one.rejected:
            yield one


def _describe(items: Sequence[Item]) -> str:
    return ", ".join(f"{one.name} r{one.version}" for one in items[:3]) + (" ..." if len(items) > 3 else "")
