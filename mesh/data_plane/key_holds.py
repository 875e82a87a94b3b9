"""A proxy's part in keys: it asks control processes which map holds, answers its upstream's beats by it, and
tells what was let go and how much traffic there is. The decisions are `mesh.ownership`'s.
"""

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
from mesh.ownership.server_holds import BeatKeys, ServerHolds
from mesh.replication.items import Item
from mesh.replication.store import Store
from mesh.transport.frames import Head

QUERY_S = 0.8  # between two questions for the map that holds
QUERY_RETRY_S = 0.35  # an unanswered one goes to all control processes that are linked
REPORT_S = 1.5  # between two reports
POLL_S = 0.02  # between two looks for another map, while a beat waits for it
DRAIN_WAIT_S = 0.3  # a first beat that drains waits so long for a map without its keys
NEXT_KEYS_WAIT_S = 0.7  # a beat waits so long for keys that are to come; it must be answered within a second


class KeyHolds:
    """Of one proxy."""

    def __init__(
        self,
        node: str,
        service: str,
        hold_max_ms: float,
        beat_ms: float,
        maps: KeyMaps,
        reports: Store,
        version: int,
        channels: Callable[[], Channels],
        known_here: Callable[[], list[str]],
    ) -> None:
        """``service``: of the upstream beside it; ``version``: above those of its earlier lives' reports;
        ``known_here`` gives the upstreams that the membership has at this machine."""
        self._instances_here = known_here
        self._loop = asyncio.get_running_loop()
        self._node, self._service, self._beat_s = node, service, beat_ms / 1000.0
        self._maps, self._reports, self._version, self._channels = maps, reports, version, channels
        self.holds = ServerHolds(lease_terms_for(hold_max_ms), self._loop.time())
        self._queries: dict[int, float] = {}  # when each was sent, the newest last
        self._number = 0
        self._query_at = self._retry_at = 0.0
        self._report_at = 0.0
        self._last_report: dict[str, Any] | None = None
        self._counts: dict[str, Counter[int]] = {}

    @property
    def _map(self) -> KeyMap | None:
        return self._maps.by_service.get(self._service)

    # The configuration

    def apply_item(self, item: Item) -> None:
        """An item of the configuration has come."""
        if item.kind == PLANT:
            self._maps.apply_service(item.name, item.value)
        elif item.kind == OWNERSHIP:
            self._maps.apply_map(item)
            if item.name == self._service:
                self.holds.map_changed(self._map)
                self._report_at = 0.0

    # Which map holds

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
        """Upstreams that held keys beside this proxy, by the map."""
        key_map = self._map
        return [name for name, node in key_map.nodes.items() if node == self._node] if key_map else []

    def _query(self, now: float, first_only: bool) -> None:
        self._number += 1
        self._queries[self._number] = now
        while len(self._queries) > 16:
            del self._queries[next(iter(self._queries))]
        self._query_at, self._retry_at = now + QUERY_S, now + QUERY_RETRY_S
        linked = [one for one in self._channels().open if one.opened_here and one.link.up and one.told]
        linked.sort(key=lambda one: (not one.whole, one.rank, one.name))
        for channel in linked[:1] if first_only else linked:
            channel.link.send({"t": "keys", "n": self._number})

    def handle_frame(self, head: Head) -> bool:
        """Whether it was an answer. Raises KeyError, TypeError or ValueError for what cannot be read."""
        if head["t"] != "keys_at":
            return False
        number = int(head["n"])
        asked_at = self._queries.pop(number, None)
        if asked_at is not None and self._service in head["v"]:
            for older in [older for older in self._queries if older < number]:
                del self._queries[older]
            self.holds.confirm_version(asked_at, int(head["v"][self._service]), self._map)
        return True

    # Beats

    async def answer_heartbeat(self, beat: Heartbeat) -> dict[str, Any]:
        """The answer's fields. May wait a moment for a map that is on its way."""
        if not self._maps.is_sharded(beat.plant) or beat.plant != self._service:
            return {}
        if beat.state == DECAYING:
            await self._wait(DRAIN_WAIT_S, lambda: self._all_keys_leaving(beat.instance))
        else:
            await self._wait(NEXT_KEYS_WAIT_S, lambda: not self._awaits_keys(beat.instance))
        told = BeatKeys(beat.instance, beat.sample_count, beat.holds, beat.released)
        grant = self.holds.answer_beat(self._loop.time(), told, self._map)
        if beat.released or beat.holds:
            self._report_soon()
        return grant.answer_fields() if grant is not None else {}

    async def _wait(self, most_s: float, done: Callable[[], bool]) -> None:
        until = self._loop.time() + most_s
        while not done() and self._loop.time() < until:
            await asyncio.sleep(POLL_S)

    def _all_keys_leaving(self, instance: str) -> bool:
        key_map = self._map
        return key_map is None or all(row.leaving for row in key_map.rows_held_by(instance))

    def _awaits_keys(self, instance: str) -> bool:
        key_map = self._map
        return key_map is not None and key_map.is_next_holder(instance)

    def may_run(self, call: Call) -> bool:
        """Whether the upstream here may run that call, as far as keys go and as far as is known here."""
        key_map = self._map
        if key_map is None or not self._maps.is_sharded(self._service):
            return True
        told = next((value for name, value in call.headers if name == KEY_HEADER), None)
        key = read_key(told.decode("latin-1")) if told is not None else None
        return key is None or self.holds.may_hold(key_map, key)

    # The word to the control processes

    def _report_soon(self) -> None:
        words = self.holds.releases(self._loop.time(), self._map)
        if words and (self._last_report is None or len(words) != len(self._last_report.get("w", []))):
            self._report(self._loop.time())

    def _report(self, now: float) -> None:
        self._report_at = now + REPORT_S
        words = self.holds.releases(now, self._map)
        told = write_report(words, self.holds.silent_upstream(now, self._beat_s), self._maps.take_counts())
        self._last_report = told
        self._version += 1
        self._reports.write(KEY_REPORT, self._node, self._version, told)
        self._channels().poke()

    def supersede_report(self) -> None:
        """The others gave this proxy up and dropped its report by its next version: this is above."""
        self._version += 1
        self._report_at = 0.0
