"""What the sidecars' reports say of each change: who goes by it, who lacks it, and the first part's word.

Every control process does this by itself with what it has heard. There is no holder to be lost, and two that
differ do no harm: a good word only makes the others take sooner what they would take anyway.
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

MAX_ROLLOUTS = 64  # changes, each the items that came at once
COUNT_PERIOD_S = 60.0  # a change that nobody confirms is looked after for so long
LOG_DELAY_S = 1.0  # beyond the settling time; then who lacks it is told
MAX_NAMES = 8  # sidecars that are named at once

CurrentItem = Callable[[str, str], "tuple[int, dict[str, object] | None] | None"]


class Rollout(Struct, eq=False):
    """One change. ``needs``: by source, the number to which a vector that holds all of it has risen."""

    known: float
    versions: dict[Key, int]
    needs: dict[str, int]
    missing: set[str]  # sidecars that have not confirmed all of it
    done: float | None = None
    told: bool = False
    worse: set[Key] = field(default_factory=set)
    sound: set[Key] = field(default_factory=set)


class _Wait(Struct, eq=False):
    items: list[Item]
    done: asyncio.Future[None]


class Rollouts:
    def __init__(
        self,
        settle_ms: float,
        ack_ms: float,
        charter: Store,
        membership: Membership,
        channels: Channels,
        event_log: EventLog,
        contact: Callable[[], bool],
    ) -> None:
        """``contact``: with most members; who has none gives no word."""
        self._has_contact = contact
        self._loop = asyncio.get_running_loop()
        self._settle_s = settle_ms / 1000.0
        self.wait_s = derive_rollout_times(settle_ms, ack_ms).ack_wait_s
        self._charter, self._membership, self._channels, self._event_log = (
            charter,
            membership,
            channels,
            event_log,
        )
        self.reports: dict[str, RolloutReport] = {}  # by node
        self.reported_at: dict[str, float] = {}  # and when it last came
        self.rollouts: deque[Rollout] = deque(maxlen=MAX_ROLLOUTS)
        self._counts: dict[Key, dict[str, CanaryCounts]] = {}  # by item and node; of items that change now
        self._waits: set[_Wait] = set()

    def update_bounds(self, settle_ms: float, ack_ms: float) -> None:
        """Other bounds, for what comes from now on."""
        self._settle_s, self.wait_s = settle_ms / 1000.0, derive_rollout_times(settle_ms, ack_ms).ack_wait_s

    # News

    def items_changed(self, items: Iterable[Item]) -> None:
        """Items of the configuration have come."""
        told = [item for item in items if item.kind == ROUTE]
        if told:
            for item in told:
                self._counts.pop(item.key, None)
            versions = {item.key: item.version for item in told}
            nodes = set(self._membership.draw().nodes)
            self.rollouts.append(Rollout(self._loop.time(), versions, required_vector(told), nodes))

    def items_restamped(self, items: Iterable[Item]) -> None:
        """Items bear another stamp, their content being the same."""
        keys = {item.key for item in items}
        for one in self.rollouts:
            if one.done is None and keys & one.versions.keys():
                one.needs = required_vector(self._charter.items[key] for key in one.versions)

    def reports_changed(self, items: Iterable[Item]) -> None:
        """Reports have come, or (without a value) those of sidecars that are gone."""
        now = self._loop.time()
        for item in items:
            try:
                report = read(item.value) if item.value is not None else None
            except (KeyError, TypeError, ValueError):
                report = None  # of a newer program, it may be; nothing is confirmed by it
            if report is None:
                self.reports.pop(item.name, None)
                self.reported_at.pop(item.name, None)
                continue
            self.reports[item.name], self.reported_at[item.name] = report, now
            for one in self.rollouts:
                if one.done is None and item.name in one.missing and _is_confirmed(report, one):
                    one.missing.discard(item.name)
                    if not one.missing:
                        one.done = now
            for count in report.counts:
                self._count(item.name, count)
        for wait in list(self._waits):
            if not wait.done.done() and self._first_part_confirmed(wait.items):
                wait.done.set_result(None)

    def _count(self, node: str, count: CanaryCounts) -> None:
        """Pools what the first part saw."""
        rollout = next(
            (r for r in reversed(self.rollouts) if r.versions.get(count.key) == count.version), None
        )
        if rollout is None or self._loop.time() - rollout.known > COUNT_PERIOD_S:
            return
        counts = self._counts.setdefault(count.key, {})
        counts[node] = count
        same = [one for one in counts.values() if one.version == count.version]
        new = Tally(sum(one.new[0] for one in same), sum(one.new[1] for one in same))
        old = Tally(sum(one.old[0] for one in same), sum(one.old[1] for one in same))
        if is_worse(new, old):
            if count.key not in rollout.worse:
                rollout.worse.add(count.key)
                self._event_log.tell(
                    events.ROUTE_WORSE,
                    route=count.key[1],
                    version=count.version,
                    failed=f"{new.failures}/{new.calls}",
                    before=f"{old.failures}/{old.calls}",
                )
        elif not self._has_contact():
            return  # a newer version may be known elsewhere; the next count is looked at again
        elif is_sound(new, old) and count.key not in rollout.sound and count.key not in rollout.worse:
            rollout.sound.add(count.key)
            for channel in list(self._channels.open):
                if channel.extra.get("role") == PROXY:
                    channel.link.send({"t": "go", "items": [[*count.key, count.version]]})

    def tick(self, now: float) -> None:
        """Called several times a second: what has not settled is told, once."""
        for one in self.rollouts:
            if one.done is None and not one.told and now - one.known > self._settle_s + LOG_DELAY_S:
                one.told = True
                if one.missing:
                    names = ",".join(sorted(one.missing)[:MAX_NAMES])
                    self._event_log.tell(
                        events.NOT_CONFIRMED, items=len(one.versions), sidecars=len(one.missing), names=names
                    )

    # Before an acknowledgement

    def staged_writes(self, writes: Sequence[ItemWrite], standing: CurrentItem) -> list[Key]:
        """Of these writes, those that come into force and can make sound calls fail."""
        found = []
        for write in writes:
            stands = standing(write.kind, write.name) if write.kind == ROUTE else None
            if stands is None or stands[1] is None or write.value is None or write.version <= stands[0]:
                continue
            old = read_route(write.name, stands[0], dict(stands[1]))
            if kind_of(old, read_route(write.name, write.version, write.value)) in STAGED:
                found.append((write.kind, write.name))
        return found

    async def wait_for_first_part(self, keys: Sequence[Key], within_s: float) -> None:
        """Until the first part of each of these items goes by it, or that time is over. Nobody is waited for
        any longer, whatever became of it."""
        wait_s = min(self.wait_s, within_s)
        items = [self._charter.items[key] for key in keys if key in self._charter.items]
        if wait_s <= 0.0 or not items or self._first_part_confirmed(items):
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

    def _first_part_confirmed(self, items: Sequence[Item]) -> bool:
        draw = self._membership.draw()
        for item in items:
            for node in draw.canaries(item.kind, item.name, item.version):
                report = self.reports.get(node)
                if report is None or not report.confirms(item):
                    return False
        return True

    # For operators

    def unconfirmed(self, key: Key) -> list[str]:
        """The sidecars that have not confirmed that item as it is here."""
        item = self._charter.items[key]
        return sorted(
            node
            for node in self._membership.draw().nodes
            if (report := self.reports.get(node)) is None or not report.confirms(item)
        )

    def canary_tallies(self, key: Key) -> tuple[Tally, Tally]:
        """What the first part saw of its version: the new way's calls, and the old one's."""
        item = self._charter.items.get(key)
        same = [
            c for c in self._counts.get(key, {}).values() if item is not None and c.version == item.version
        ]
        return (
            Tally(sum(c.new[0] for c in same), sum(c.new[1] for c in same)),
            Tally(sum(c.old[0] for c in same), sum(c.old[1] for c in same)),
        )


def _is_confirmed(report: RolloutReport, rollout: Rollout) -> bool:
    return all(report.vector.get(s, 0) >= n for s, n in rollout.needs.items()) and not any(
        key in rollout.versions for key in report.held
    )
