"""Delays the acknowledgement of a write that propagates slowly until the proxies in contact have confirmed
it, or until its time bound.

Most writes propagate faster than they are confirmed and are acknowledged at once. A write waits if it is
large, or if live proxies have not confirmed an earlier write for some time, since it then queues behind that
write on the same links. It waits for the live proxies on links of this process that have run for contact_ms,
for those that other control processes report as behind, and for a short time for all that have ever confirmed
anything. A proxy that cannot be reached delays nothing for long.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Collection, Mapping, Sequence

from msgspec import Struct

from mesh.data_plane.membership import PROXY
from mesh.dissemination.peers import Channels
from mesh.event_log import events
from mesh.event_log.log import EventLog
from mesh.replication.items import Item
from mesh.rollout.report import RolloutReport, required_vector

LARGE_WRITE_ITEMS = 64  # a write of at least so many items waits
OVERDUE_S = 0.5  # a write that is unconfirmed for longer delays the next ones
BOUND_SHARE = 0.5  # of the time that operators allow for an acknowledgement
EXTRA_S_PER_ITEM = 0.003  # further time that operators allow for each route
LINK_ALIVE_S = 0.6  # a link that received nothing for longer does not show that its proxy runs
UNLINKED_WAIT_S = 1.0  # longest wait for a proxy without a link to this process
PEER_REPORT_VALID_S = 1.2  # validity of the names of proxies behind that another control process sent
MAX_BEHIND_NAMES = 16  # in one report
POLL_S = 0.02  # between two checks for confirmations
MAX_WRITES_KEPT = 64  # latest writes whose confirmation is tracked

RequiredVector = Mapping[str, int]  # by source, the lowest number of a vector that includes all of a write


class DecidedWrite(Struct, frozen=True):
    """A decided write: the vector that confirms it, and when it became known here, in loop time."""

    required_vector: RequiredVector
    known_at: float


class Confirmations:
    """Tracks which proxies have confirmed the writes known to one control process."""

    def __init__(
        self,
        ack_ms: float,
        contact_ms: float,
        reports: Mapping[str, RolloutReport],
        channels: Channels,
        event_log: EventLog,
    ) -> None:
        """``reports``: the latest by node, updated by their owner; ``ack_ms`` and ``contact_ms``: see
        settings."""
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()
        self.update_bounds(ack_ms, contact_ms)
        self._reports, self._channels, self._event_log = reports, channels, event_log
        self._writes: deque[DecidedWrite] = deque(maxlen=MAX_WRITES_KEPT)
        # By control process: when it reported, and the names of the proxies that are behind.
        self._peer_reports: dict[str, tuple[float, frozenset[str]]] = {}
        # By proxy: its incarnation, and when that became known.
        self._incarnations: dict[str, tuple[str, float]] = {}

    def update_bounds(self, ack_ms: float, contact_ms: float) -> None:
        """Applies changed bounds to later checks."""
        self._ack_s, self._contact_s = ack_ms / 1000.0, contact_ms / 1000.0

    def bound_s(self, count: int) -> float:
        """A write of so many items is acknowledged within this time of its decision, confirmed or not."""
        return BOUND_SHARE * (self._ack_s + EXTRA_S_PER_ITEM * count)

    def items_changed(self, items: Sequence[Item]) -> None:
        """Tracks a write: items of the configuration that have changed together."""
        self._writes.append(DecidedWrite(required_vector(items), self._loop.time()))

    def tick(self, now: float) -> None:
        """Notes new incarnations of linked proxies; called several times a second."""
        for channel in self._channels.open:
            if channel.peer_hello.get("role") != PROXY:
                continue
            incarnation = self._incarnations.get(channel.node)
            if incarnation is None or incarnation[0] != channel.peer_source:
                self._incarnations[channel.node] = (channel.peer_source, now)

    def _in_touch(self, now: float) -> set[str]:
        """Proxies in contact: those live here, and those that peers report as behind."""
        reported = [
            names
            for reported_at, names in self._peer_reports.values()
            if now - reported_at <= PEER_REPORT_VALID_S
        ]
        return self._live_proxies(now).union(*reported)

    def _live_proxies(self, now: float) -> set[str]:
        return {
            channel.node
            for channel in self._channels.open
            if channel.peer_hello.get("role") == PROXY
            and channel.link.up
            and now - channel.link.last_received_at <= LINK_ALIVE_S
            and now - self._incarnations.get(channel.node, ("", now))[1] >= self._contact_s
        }

    def _lacking(self, nodes: Collection[str], required: RequiredVector) -> set[str]:
        return {
            node
            for node in nodes
            if (report := self._reports.get(node)) is None
            or any(report.vector.get(source, 0) < number for source, number in required.items())
        }

    def _waited_for(self, now: float, decided_at: float) -> set[str]:
        """The proxies whose confirmation a write decided at that time waits for."""
        if now - decided_at >= UNLINKED_WAIT_S:
            return self._in_touch(now)
        linked = {channel.node for channel in self._channels.open}
        return self._in_touch(now) | (self._reports.keys() - linked)

    def find_behind(self) -> list[str]:
        """Live proxies on links of this process that have not confirmed an overdue write."""
        now = self._loop.time()
        live = self._live_proxies(now)
        overdue = [write for write in self._writes if OVERDUE_S < now - write.known_at < 2.0 * self._ack_s]
        return sorted(set().union(*(self._lacking(live, write.required_vector) for write in overdue)))[
            :MAX_BEHIND_NAMES
        ]

    def peer_reported_behind(self, address: str, names: object) -> None:
        """Records which proxies a control process reports as behind. Raises TypeError if it is no list."""
        if not isinstance(names, list | tuple):
            raise TypeError("proxies that are behind must be a list of names")
        self._peer_reports[address] = (
            self._loop.time(),
            frozenset(str(name) for name in names[:MAX_BEHIND_NAMES]),
        )

    def has_overdue(self, now: float) -> bool:
        """Whether a proxy in contact has not confirmed an overdue write."""
        return any(
            now - write.known_at > OVERDUE_S and self._lacking(self._in_touch(now), write.required_vector)
            for write in self._writes
            if now - write.known_at < 2.0 * self._ack_s
        )

    def _decided_at(self, items: Sequence[Item]) -> float:
        """When the last of these items became known here. A write may name items that were in force long
        before, and its parts may arrive one after the other, so each item is looked up separately."""
        return max((self._known_at(item) for item in items), default=self._started_at)

    def _known_at(self, item: Item) -> float:
        """When that item became known here; the time of the oldest kept write if it is older."""
        for write in self._writes:
            if write.required_vector.get(item.source, 0) >= item.number:
                return write.known_at
        return self._writes[0].known_at if len(self._writes) == MAX_WRITES_KEPT else self._started_at

    async def wait_confirmed(self, items: Sequence[Item], within_s: float) -> bool:
        """Waits until the write of these items may be acknowledged; False if that takes longer."""
        started_at = now = self._loop.time()
        if len(items) < LARGE_WRITE_ITEMS and not self.has_overdue(now):
            return True
        required, decided_at = required_vector(items), self._decided_at(items)
        while lacking := self._lacking(self._waited_for(now, decided_at), required):
            if now - decided_at >= self.bound_s(len(items)):
                waited_ms = round((now - decided_at) * 1000.0)
                self._event_log.emit(
                    events.CHANGE_ACKNOWLEDGED_EARLY,
                    items=len(items),
                    sidecars=len(lacking),
                    waited_ms=waited_ms,
                )
                return True
            if now - started_at >= within_s:
                return False
            await asyncio.sleep(POLL_S)
            now = self._loop.time()
        return True
