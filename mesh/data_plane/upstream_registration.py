"""What the upstream beside this sidecar tells it, decoded into commands and run here; and what follows for
the items that speak of it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from msgspec import Struct

from anisestair.http import codec as http
from mesh.data_plane.membership import INSTANCE, Membership
from mesh.event_log import events
from mesh.event_log.log import EventLog
from mesh.membership.instance_commands import DECAYING, Heartbeat, InvalidCommand, Leave, read_heartbeat
from mesh.membership.instance_lifecycle import FINAL_VERSION, SILENT_HEARTBEATS, InstanceUpdate, Upstream
from mesh.replication.items import Item
from mesh.replication.store import Store
from mesh.transport.http_calls import Answer

PATH = b"/instances/"


class UnknownRequest(Struct, frozen=True):
    """No call of ours."""

    status: int


Command = Heartbeat | Leave | InvalidCommand | UnknownRequest


def decode(message: http.Message) -> Command:
    """The command of a call to the control address."""
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
        return Leave(instance)
    return UnknownRequest(405)


class Registry:
    """Runs the upstream's commands, and keeps what the others are told of this machine's instances true."""

    def __init__(
        self,
        upstream: Upstream,
        roll: Store,
        membership: Membership,
        event_log: EventLog,
        now: Callable[[], float],
        changed: Callable[[list[Item]], None],
        keys: Callable[[Heartbeat], Awaitable[dict[str, Any]]] | None = None,
    ) -> None:
        """``now`` gives milliseconds; ``changed`` is told of items written here; ``keys`` gives the fields of
        a beat's answer that say which keys its upstream is to hold."""
        self._upstream, self._roll, self._membership = upstream, roll, membership
        self._event_log, self._now, self._changed = event_log, now, changed
        self._began = now()
        self._key_fields = keys if keys is not None else _no_keys

    async def handle(self, message: http.Message) -> Answer:
        """The answer to a call of the upstream: whatever the others know of it, and at once but where keys of
        a divided service are on their way."""
        command = decode(message)
        if isinstance(command, UnknownRequest):
            return Answer(command.status)
        if isinstance(command, InvalidCommand):
            return Answer(400, msgspec.json.encode({"error": command.line()}))
        if isinstance(command, Leave):
            self._event_log.tell(
                events.INSTANCE_GONE,
                service=self._upstream.heartbeat.plant if self._upstream.heartbeat is not None else "",
                instance=command.instance,
                why="signed off",
            )
            self.publish(self._upstream.leave(command.instance))
            return Answer(200, b"{}")
        known = self._upstream.heartbeat
        self.publish(self._upstream.on_heartbeat(self._now(), command, self._has_ended(command.instance)))
        if self._upstream.contender == command.instance:  # what is not taken is not acknowledged
            return Answer(503)
        self._log_change(known, command)
        return Answer(200, msgspec.json.encode(await self._key_fields(command)))

    def _has_ended(self, instance: str) -> bool:
        """Whether this machine has said so, in an earlier life of this process too."""
        item = self._roll.items.get((INSTANCE, instance))
        return item is not None and item.value is None and item.version >= FINAL_VERSION

    def _log_change(self, known: Heartbeat | None, beat: Heartbeat) -> None:
        """What a beat has changed, for the log. ``known``: the newest before it."""
        if self._upstream.instance != beat.instance:
            return
        if known is None or known.instance != beat.instance:
            self._event_log.tell(
                events.INSTANCE_NEW,
                service=beat.plant,
                instance=beat.instance,
                address=f"{beat.address[0]}:{beat.address[1]}",
            )
        elif known.state != beat.state:
            self._event_log.tell(
                events.INSTANCE_DECAYING if beat.state == DECAYING else events.INSTANCE_SETTLED,
                service=beat.plant,
                instance=beat.instance,
            )

    def publish(self, told: list[InstanceUpdate]) -> None:
        """Makes what the others are to be told items of the roll."""
        items = []
        for one in told:
            item = self._roll.write(INSTANCE, one.instance, one.version, one.value)
            if isinstance(item, Item):
                items.append(item)
        if items:
            self._changed(items)

    def reconcile(self) -> None:
        """What the membership says of this machine and is not so: of earlier lives, and of an upstream that
        ended while this sidecar was down."""
        mine = self._upstream.instance
        if not mine:
            here = self._membership.instances_at(self._upstream.node)
            states = {name: self._membership.instances[name].get("state") for name in here}
            self._upstream.published_decaying = frozenset(name for name in here if states[name] == DECAYING)
        silent = self._now() - self._began > SILENT_HEARTBEATS * self._upstream.heartbeat_ms
        told = []
        item = self._roll.items.get((INSTANCE, mine))  # dropped, it may be, and then not in the membership
        if item is not None and item.version > self._upstream.version:
            told += self._upstream.republish(item.version)
        for instance in self._membership.instances_at(self._upstream.node):
            if instance != mine and (mine or silent):
                # above what was said of it once more while it was taken for the one that is here
                version = max(FINAL_VERSION, self._roll.items[INSTANCE, instance].version + 1)
                told.append(InstanceUpdate(instance, version, None))
        self.publish(told)

    def republish(self) -> None:
        """Says what holds once more, above what the roll has."""
        item = self._roll.items.get((INSTANCE, self._upstream.instance))
        self.publish(self._upstream.republish(item.version if item is not None else 0))


async def _no_keys(_: Heartbeat) -> dict[str, Any]:
    return {}
