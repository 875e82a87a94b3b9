"""Decodes and runs the commands of the upstream beside this sidecar, and keeps the items about it correct."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from msgspec import Struct

from anisestair.http import codec as http
from mesh.data_plane.membership import INSTANCE, Membership
from mesh.event_log import events
from mesh.event_log.log import EventLog
from mesh.membership.instance_commands import (
    DECAYING,
    Heartbeat,
    InvalidCommand,
    Leave,
    check_instance_id,
    read_heartbeat,
)
from mesh.membership.instance_lifecycle import (
    FINAL_VERSION,
    SILENT_HEARTBEATS,
    InstanceUpdate,
    PublishedInstance,
    Upstream,
    sign_off,
)
from mesh.replication.items import Item
from mesh.replication.store import Store
from mesh.transport.http_calls import Answer

PATH = b"/instances/"
GONE = "gone"  # in the log, of an instance that has signed off
ACKNOWLEDGE_WITHIN_S = 0.75  # an upstream waits a second for its answer


class UnknownRequest(Struct, frozen=True):
    """A request for none of the commands."""

    status: int


Command = Heartbeat | Leave | InvalidCommand | UnknownRequest


def decode(message: http.Message) -> Command:
    """Decodes a request to the control address."""
    path = message.target.partition(b"?")[0]
    if not path.startswith(PATH):
        return UnknownRequest(404)
    try:
        instance = path[len(PATH) :].decode("ascii")
    except UnicodeDecodeError:
        return InvalidCommand("path", "an id is of ASCII characters")
    if message.method == b"PUT":
        return read_heartbeat(instance, message.body)
    if message.method == b"DELETE":
        return check_instance_id(instance) or Leave(instance)
    return UnknownRequest(405)


class Registry:
    """Runs the upstream's commands and publishes the state of this machine's instances.

    A departure, a first draining heartbeat or a sign-off, is acknowledged once enough control processes hold
    it: this process may be killed right after, and starts without state.
    """

    def __init__(
        self,
        upstream: Upstream,
        membership_store: Store,
        membership: Membership,
        event_log: EventLog,
        now: Callable[[], float],
        on_items: Callable[[list[Item]], None],
        confirm_item: Callable[[Item, float], Awaitable[bool]],
        key_fields: Callable[[Heartbeat], Awaitable[dict[str, Any]]] | None = None,
    ) -> None:
        """``now`` returns milliseconds. ``on_items`` is called with the items written here. ``confirm_item``
        waits until enough control processes hold the item, for the given seconds at most, and returns whether
        they do. ``key_fields`` returns the fields of a heartbeat's response that say which keys the upstream
        may hold."""
        self._upstream, self._membership_store, self._membership = upstream, membership_store, membership
        self._event_log, self._now, self._changed = event_log, now, on_items
        self._began = now()
        self._confirm_item = confirm_item
        self._acknowledged_drain = ""  # the instance whose drain was acknowledged by this process
        self._key_fields = key_fields if key_fields is not None else _no_keys
        upstream.find_published = self._find_published

    async def handle(self, message: http.Message) -> Answer:
        """The response to a request of the upstream, within ACKNOWLEDGE_WITHIN_S. It waits for other
        processes only where a departure has to be confirmed, or a key map is on its way."""
        command = decode(message)
        if isinstance(command, UnknownRequest):
            return Answer(command.status)
        if isinstance(command, InvalidCommand):
            return Answer(400, msgspec.json.encode({"error": command.line()}))
        if isinstance(command, Leave):
            return await self._handle_leave(command.instance)
        return await self._handle_heartbeat(command)

    async def _handle_leave(self, instance: str) -> Answer:
        began, heard = self._now(), self._upstream.instance == instance
        updates = self._upstream.leave(instance)
        if updates:
            known = self._membership.instances.get(instance)
            service = str(known["plant"]) if known is not None else ""
            self._event_log.emit(events.INSTANCE_GONE, service=service, instance=instance, why="signed off")
        updates = updates or [sign_off(instance)]  # the store may have been full when it was written first
        self.publish(updates)
        self._log_departure(instance, GONE, updates, heard)
        if not await self._is_departure_confirmed(instance, began):
            return Answer(503)
        return Answer(200, b"{}")

    async def _handle_heartbeat(self, heartbeat: Heartbeat) -> Answer:
        began, previous = self._now(), self._upstream.heartbeat
        updates = self._upstream.on_heartbeat(began, heartbeat)
        self.publish(updates)
        if self._upstream.contender == heartbeat.instance:  # not accepted, so not acknowledged
            return Answer(503)
        self._log_change(previous, heartbeat)
        fields = await self._key_fields(heartbeat)
        if heartbeat.state == DECAYING and self._acknowledged_drain != heartbeat.instance:
            self.reconcile()
            heard = previous is not None and previous.instance == heartbeat.instance
            self._log_departure(heartbeat.instance, DECAYING, updates, heard)
            if not await self._is_departure_confirmed(heartbeat.instance, began):
                return Answer(503)
            self._acknowledged_drain = heartbeat.instance
        return Answer(200, msgspec.json.encode(fields))

    async def _is_departure_confirmed(self, instance: str, began: float) -> bool:
        """Waits until enough control processes hold that the instance drains or has ended. ``began``: when
        the call arrived, in milliseconds."""
        item = self._membership_store.items.get((INSTANCE, instance))
        if item is None or item.value is not None and item.value["state"] != DECAYING:
            return False  # the store was full, or a later incarnation has replaced it
        return await self._confirm_item(item, ACKNOWLEDGE_WITHIN_S - (self._now() - began) / 1000.0)

    def _find_published(self, instance: str) -> PublishedInstance | None:
        item = self._membership_store.items.get((INSTANCE, instance))
        if item is None:
            return None
        return PublishedInstance(item.version, str(item.value["state"]) if item.value is not None else "")

    def _log_departure(self, instance: str, state: str, updates: list[InstanceUpdate], heard: bool) -> None:
        """Logs what was published for a departure. ``heard``: it had sent a heartbeat to this process."""
        versions = [update.version for update in updates if update.instance == instance]
        self._event_log.emit(
            events.DEPARTURE_PUBLISHED,
            instance=instance,
            state=state,
            version=versions[-1] if versions else None,
            heard=heard,
        )

    def _log_change(self, previous: Heartbeat | None, heartbeat: Heartbeat) -> None:
        """Logs what a heartbeat has changed. ``previous``: the latest heartbeat before it."""
        if self._upstream.instance != heartbeat.instance:
            return
        if previous is None or previous.instance != heartbeat.instance:
            self._event_log.emit(
                events.INSTANCE_NEW,
                service=heartbeat.plant,
                instance=heartbeat.instance,
                address=f"{heartbeat.address[0]}:{heartbeat.address[1]}",
            )
        elif previous.state != heartbeat.state:
            self._event_log.emit(
                events.INSTANCE_DECAYING if heartbeat.state == DECAYING else events.INSTANCE_SETTLED,
                service=heartbeat.plant,
                instance=heartbeat.instance,
            )

    def publish(self, updates: list[InstanceUpdate]) -> None:
        """Writes updates as items of the membership store."""
        items = []
        for update in updates:
            item = self._membership_store.write(INSTANCE, update.instance, update.version, update.value)
            if isinstance(item, Item):
                items.append(item)
        if items:
            self._changed(items)

    def reconcile(self) -> None:
        """Corrects items about this machine that no longer hold: those of earlier incarnations, and of an
        upstream that ended while this sidecar was down."""
        current = self._upstream.instance
        silent = self._now() - self._began > SILENT_HEARTBEATS * self._upstream.heartbeat_ms
        updates = self._upstream.on_published()
        for instance in self._membership.instances_at(self._upstream.node):
            if instance != current and (current or silent):
                # above later versions published while it counted as the current instance
                version = max(FINAL_VERSION, self._membership_store.items[INSTANCE, instance].version + 1)
                updates.append(InstanceUpdate(instance, version, None))
        self.publish(updates)

    def republish(self) -> None:
        """Publishes the current state again, above the version in the membership store."""
        self.reconcile()  # an earlier incarnation may have published a drain
        item = self._membership_store.items.get((INSTANCE, self._upstream.instance))
        self.publish(self._upstream.republish(item.version if item is not None else 0))


async def _no_keys(_: Heartbeat) -> dict[str, Any]:
    return {}
