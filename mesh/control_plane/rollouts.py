"""Follows each rollout by the sidecars' reports: which sidecars use it, which lack it, and the verdict on its
canaries.

Every control process does this by itself with the reports that it has. There is no holder to be lost, and two
that differ do no harm: a good verdict only makes the others activate earlier what they would activate anyway.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable, Sequence

from msgspec import Struct, field

from mesh.configuration.commands import ROUTE, ItemWrite
from mesh.configuration.routes import read_route
from mesh.data_plane.membership import PROXY, Membership
from mesh.dissemination.peers import Channels
from mesh.event_log import events
from mesh.event_log.log import EventLog
from mesh.replication.items import Item, Key
from mesh.replication.store import Store
from mesh.rollout.bounds import derive_rollout_times
from mesh.rollout.canary_verdict import Tally, is_sound, is_worse
from mesh.rollout.change_kinds import STAGED, kind_of
from mesh.rollout.report import CanaryCounts, RolloutReport, read, required_vector

MAX_ROLLOUTS = 64  # each with the items that changed together
COUNT_PERIOD_S = 60.0  # for which the counts of the canaries are pooled
LOG_DELAY_S = 1.0  # beyond the settling time, until missing confirmations are logged
MAX_NAMES = 8  # sidecars named in one log line or answer

CurrentItem = Callable[[str, str], "tuple[int, dict[str, object] | None] | None"]


class Rollout(Struct, eq=False):
    """One rollout. ``required_vector``: by source, the lowest number of a vector that includes all of it."""

    known_at: float
    versions: dict[Key, int]
    required_vector: dict[str, int]
    missing: set[str]  # sidecars that have not confirmed all of it
    done: float | None = None
    logged: bool = False
    worse: set[Key] = field(default_factory=set)
    sound: set[Key] = field(default_factory=set)


class _Wait(Struct, eq=False):
    items: list[Item]
    done: asyncio.Future[None]


class Rollouts:
    """The rollouts known to one control process, and the latest report of each sidecar."""

    def __init__(
        self,
        settle_ms: float,
        ack_ms: float,
        config_store: Store,
        membership: Membership,
        channels: Channels,
        event_log: EventLog,
        has_contact: Callable[[], bool],
    ) -> None:
        """``has_contact``: with most members; without it no good verdict is sent."""
        self._has_contact = has_contact
        self._loop = asyncio.get_running_loop()
        self._settle_s = settle_ms / 1000.0
        self.wait_s = derive_rollout_times(settle_ms, ack_ms).ack_wait_s
        self._config_store, self._membership, self._channels, self._event_log = (
            config_store,
            membership,
            channels,
            event_log,
        )
        self.reports: dict[str, RolloutReport] = {}  # by node
        self.reported_at: dict[str, float] = {}  # when the latest report of each node arrived
        self.rollouts: deque[Rollout] = deque(maxlen=MAX_ROLLOUTS)
        self._counts: dict[Key, dict[str, CanaryCounts]] = {}  # by item and node, of current rollouts
        self._waits: set[_Wait] = set()

    def update_bounds(self, settle_ms: float, ack_ms: float) -> None:
        """Applies changed bounds to later checks."""
        self._settle_s, self.wait_s = settle_ms / 1000.0, derive_rollout_times(settle_ms, ack_ms).ack_wait_s

    # Updates

    def items_changed(self, items: Iterable[Item]) -> None:
        """Starts a rollout of the routes among configuration items that have changed."""
        routes = [item for item in items if item.kind == ROUTE]
        if routes:
            for item in routes:
                self._counts.pop(item.key, None)
            versions = {item.key: item.version for item in routes}
            nodes = set(self._membership.canary_selection().nodes)
            self.rollouts.append(Rollout(self._loop.time(), versions, required_vector(routes), nodes))

    def items_restamped(self, items: Iterable[Item]) -> None:
        """Items have a new stamp with the same content."""
        keys = {item.key for item in items}
        for rollout in self.rollouts:
            if rollout.done is None and keys & rollout.versions.keys():
                rollout.required_vector = required_vector(
                    self._config_store.items[key] for key in rollout.versions
                )

    def reports_changed(self, items: Iterable[Item]) -> None:
        """Reads reports of sidecars; an item without a value drops the report of a sidecar that is gone."""
        now = self._loop.time()
        for item in items:
            try:
                report = read(item.value) if item.value is not None else None
            except (KeyError, TypeError, ValueError):
                report = None  # perhaps of a later release; it confirms nothing
            if report is None:
                self.reports.pop(item.name, None)
                self.reported_at.pop(item.name, None)
                continue
            self.reports[item.name], self.reported_at[item.name] = report, now
            for rollout in self.rollouts:
                if rollout.done is None and item.name in rollout.missing and _is_confirmed(report, rollout):
                    rollout.missing.discard(item.name)
                    if not rollout.missing:
                        rollout.done = now
            for count in report.counts:
                self._count(item.name, count)
        for wait in list(self._waits):
            if not wait.done.done() and self._canaries_confirmed(wait.items):
                wait.done.set_result(None)

    def _count(self, node: str, count: CanaryCounts) -> None:
        """Pools the counts of the canaries, and sends or logs a verdict."""
        rollout = next(
            (r for r in reversed(self.rollouts) if r.versions.get(count.key) == count.version), None
        )
        if rollout is None or self._loop.time() - rollout.known_at > COUNT_PERIOD_S:
            return
        counts = self._counts.setdefault(count.key, {})
        counts[node] = count
        same = [other for other in counts.values() if other.version == count.version]
        new = Tally(
            sum(other.new[0] for other in same),
            sum(other.new[1] for other in same),
        )
        old = Tally(
            sum(other.old[0] for other in same),
            sum(other.old[1] for other in same),
        )
        if is_worse(new, old):
            if count.key not in rollout.worse:
                rollout.worse.add(count.key)
                self._event_log.emit(
                    events.ROUTE_DEGRADED,
                    route=count.key[1],
                    version=count.version,
                    failed=f"{new.failures}/{new.calls}",
                    before=f"{old.failures}/{old.calls}",
                )
        elif not self._has_contact():
            return  # others may know a newer version; the next count is checked again
        elif is_sound(new, old) and count.key not in rollout.sound and count.key not in rollout.worse:
            rollout.sound.add(count.key)
            for channel in list(self._channels.open):
                if channel.peer_hello.get("role") == PROXY:
                    channel.link.send({"t": "go", "items": [[*count.key, count.version]]})

    def tick(self, now: float) -> None:
        """Logs each rollout that has not settled in time, once; called several times a second."""
        for rollout in self.rollouts:
            if (
                rollout.done is None
                and not rollout.logged
                and now - rollout.known_at > self._settle_s + LOG_DELAY_S
            ):
                rollout.logged = True
                if rollout.missing:
                    names = ",".join(sorted(rollout.missing)[:MAX_NAMES])
                    self._event_log.emit(
                        events.CHANGE_NOT_CONFIRMED,
                        items=len(rollout.versions),
                        sidecars=len(rollout.missing),
                        names=names,
                    )

    # Before an acknowledgement

    def staged_writes(self, writes: Sequence[ItemWrite], current: CurrentItem) -> list[Key]:
        """The writes among these that come into force and can make working calls fail."""
        found = []
        for write in writes:
            item = current(write.kind, write.name) if write.kind == ROUTE else None
            if item is None or item[1] is None or write.value is None or write.version <= item[0]:
                continue
            old = read_route(write.name, item[0], dict(item[1]))
            if kind_of(old, read_route(write.name, write.version, write.value)) in STAGED:
                found.append((write.kind, write.name))
        return found

    async def wait_for_canaries(self, keys: Sequence[Key], within_s: float) -> None:
        """Waits until the canaries of each of these items use it, for ``within_s`` at most."""
        wait_s = min(self.wait_s, within_s)
        items = [self._config_store.items[key] for key in keys if key in self._config_store.items]
        if wait_s <= 0.0 or not items or self._canaries_confirmed(items):
            return
        wait = _Wait(items, self._loop.create_future())
        self._waits.add(wait)
        try:
            async with asyncio.timeout(wait_s):
                await wait.done
        except TimeoutError:
            pass
        finally:
            self._waits.discard(wait)

    def _canaries_confirmed(self, items: Sequence[Item]) -> bool:
        draw = self._membership.canary_selection()
        for item in items:
            for node in draw.canaries(item.kind, item.name, item.version):
                report = self.reports.get(node)
                if report is None or not report.confirms(item):
                    return False
        return True

    # For operators

    def unconfirmed(self, key: Key) -> list[str]:
        """The sidecars that have not confirmed the version of that item here."""
        item = self._config_store.items[key]
        return sorted(
            node
            for node in self._membership.canary_selection().nodes
            if (report := self.reports.get(node)) is None or not report.confirms(item)
        )

    def canary_tallies(self, key: Key) -> tuple[Tally, Tally]:
        """Calls and failures of the canaries: with the current version, and with the old one."""
        item = self._config_store.items.get(key)
        same = [
            c for c in self._counts.get(key, {}).values() if item is not None and c.version == item.version
        ]
        return (
            Tally(sum(c.new[0] for c in same), sum(c.new[1] for c in same)),
            Tally(sum(c.old[0] for c in same), sum(c.old[1] for c in same)),
        )


def _is_confirmed(report: RolloutReport, rollout: Rollout) -> bool:
    return all(report.vector.get(s, 0) >= n for s, n in rollout.required_vector.items()) and not any(
        key in rollout.versions for key in report.held
    )
