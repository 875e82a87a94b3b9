"""A proxy's part in key ownership: asks control processes for the current map version, answers the heartbeats
of its upstream by it, and reports released keys and traffic. The decisions are in `mesh.ownership`."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any

from mesh.configuration.commands import PLANT
from mesh.data_plane.call_messages import Call
from mesh.data_plane.key_maps import KEY_HEADER, KeyMaps
from mesh.dissemination.peers import Channels
from mesh.membership.instance_commands import DECAYING, Heartbeat
from mesh.ownership.key_map import OWNERSHIP, KeyMap, read_key
from mesh.ownership.key_report import KEY_REPORT, write_report
from mesh.ownership.lease_terms import lease_terms_for
from mesh.ownership.server_holds import HeartbeatKeys, ServerHolds
from mesh.replication.items import Item
from mesh.replication.store import Store
from mesh.transport.frames import Head

QUERY_S = 0.8  # interval of queries for the current map version
QUERY_RETRY_S = 0.35  # after which an unanswered query is sent to all linked control processes
REPORT_S = 1.5  # interval of reports
POLL_S = 0.02  # polling interval while a heartbeat waits for another map
DRAIN_WAIT_S = 0.3  # longest wait of a first draining heartbeat for a map without its keys
NEXT_KEYS_WAIT_S = 0.7  # longest wait of a heartbeat for keys; it must be answered within a second


class KeyHolds:
    """Key ownership of one proxy."""

    def __init__(
        self,
        node: str,
        service: str,
        hold_max_ms: float,
        heartbeat_ms: float,
        maps: KeyMaps,
        reports: Store,
        version: int,
        channels: Callable[[], Channels],
        instances_here: Callable[[], list[str]],
    ) -> None:
        """``service``: of the upstream beside it. ``version``: above the report versions of earlier
        incarnations. ``instances_here`` returns the upstreams at this machine, from the membership."""
        self._instances_here = instances_here
        self._loop = asyncio.get_running_loop()
        self._node, self._service, self._heartbeat_s = node, service, heartbeat_ms / 1000.0
        self._maps, self._reports, self._version, self._channels = maps, reports, version, channels
        self.holds = ServerHolds(lease_terms_for(hold_max_ms), self._loop.time())
        self._queries: dict[int, float] = {}  # time sent, by number, the latest last
        self._number = 0
        self._query_at = self._retry_at = 0.0
        self._report_at = 0.0
        self._last_report: dict[str, Any] | None = None
        self._counts: dict[str, Counter[int]] = {}

    @property
    def _map(self) -> KeyMap | None:
        return self._maps.by_service.get(self._service)

    # Configuration

    def apply_item(self, item: Item) -> None:
        """Applies a configuration item."""
        if item.kind == PLANT:
            self._maps.apply_service(item.name, item.value)
        elif item.kind == OWNERSHIP:
            self._maps.apply_map(item)
            if item.name == self._service:
                self.holds.map_changed(self._map)
                self._report_at = 0.0

    # Current map version

    def tick(self, now: float) -> None:
        """Called several times a second."""
        if self._maps.is_sharded(self._service):
            for instance in (*self._instances_here(), *self._holders_here()):
                self.holds.note_earlier_instance(instance)
            if now >= self._query_at:
                self._query(now, first_only=True)
            elif self._queries and now >= self._retry_at:
                self._query(now, first_only=False)
        if now >= self._report_at and (self._maps.is_sharded(self._service) or self._maps.by_service):
            self._report(now)

    def _holders_here(self) -> list[str]:
        """Upstreams that hold keys beside this proxy, by the map."""
        key_map = self._map
        return [name for name, node in key_map.nodes.items() if node == self._node] if key_map else []

    def _query(self, now: float, first_only: bool) -> None:
        self._number += 1
        self._queries[self._number] = now
        while len(self._queries) > 16:
            del self._queries[next(iter(self._queries))]
        self._query_at, self._retry_at = now + QUERY_S, now + QUERY_RETRY_S
        linked = [
            channel
            for channel in self._channels().open
            if channel.opened_here and channel.link.up and channel.answered
        ]
        linked.sort(key=lambda channel: (not channel.peer_complete, channel.rank, channel.name))
        for channel in linked[:1] if first_only else linked:
            channel.link.send({"t": "keys", "n": self._number})

    def handle_frame(self, head: Head) -> bool:
        """Handles a frame; returns False if it is not for this class. Raises KeyError, TypeError or
        ValueError if it is malformed."""
        if head["t"] != "keys_at":
            return False
        number = int(head["n"])
        asked_at = self._queries.pop(number, None)
        if asked_at is not None and self._service in head["v"]:
            for older in [older for older in self._queries if older < number]:
                del self._queries[older]
            self.holds.confirm_version(asked_at, int(head["v"][self._service]), self._map)
        return True

    # Heartbeats

    async def answer_heartbeat(self, heartbeat: Heartbeat) -> dict[str, Any]:
        """The fields of the response to a heartbeat. May wait shortly for a map that is on its way."""
        if not self._maps.is_sharded(heartbeat.plant) or heartbeat.plant != self._service:
            return {}
        if heartbeat.state == DECAYING:
            await self._wait(DRAIN_WAIT_S, lambda: self._all_keys_leaving(heartbeat.instance))
        else:
            await self._wait(NEXT_KEYS_WAIT_S, lambda: not self._awaits_keys(heartbeat.instance))
        reported = HeartbeatKeys(
            heartbeat.instance, heartbeat.sample_count, heartbeat.holds, heartbeat.released
        )
        grant = self.holds.answer_heartbeat(self._loop.time(), reported, self._map)
        if heartbeat.released or heartbeat.holds:
            self._report_soon()
        return grant.answer_fields() if grant is not None else {}

    async def _wait(self, max_wait_s: float, done: Callable[[], bool]) -> None:
        deadline = self._loop.time() + max_wait_s
        while not done() and self._loop.time() < deadline:
            await asyncio.sleep(POLL_S)

    def _all_keys_leaving(self, instance: str) -> bool:
        key_map = self._map
        return key_map is None or all(row.leaving for row in key_map.rows_held_by(instance))

    def _awaits_keys(self, instance: str) -> bool:
        key_map = self._map
        return key_map is not None and key_map.is_next_holder(instance)

    def may_run(self, call: Call) -> bool:
        """Whether the upstream here may run that call by its key, as far as is known here."""
        key_map = self._map
        if key_map is None or not self._maps.is_sharded(self._service):
            return True
        header = next((value for name, value in call.headers if name == KEY_HEADER), None)
        key = read_key(header.decode("latin-1")) if header is not None else None
        return key is None or self.holds.may_hold(key_map, key)

    # Reports to the control processes

    def _report_soon(self) -> None:
        releases = self.holds.releases(self._loop.time(), self._map)
        if releases and (self._last_report is None or len(releases) != len(self._last_report.get("w", []))):
            self._report(self._loop.time())

    def _report(self, now: float) -> None:
        self._report_at = now + REPORT_S
        releases = self.holds.releases(now, self._map)
        report = write_report(
            releases, self.holds.silent_upstream(now, self._heartbeat_s), self._maps.take_counts()
        )
        self._last_report = report
        self._version += 1
        self._reports.write(KEY_REPORT, self._node, self._version, report)
        self._channels().schedule_answers()

    def supersede_report(self) -> None:
        """Reports again above the version with which the others dropped this proxy's report."""
        self._version += 1
        self._report_at = 0.0
