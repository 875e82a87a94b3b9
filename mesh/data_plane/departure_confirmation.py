"""Waits until enough control processes hold an item of the membership that this sidecar wrote.

A sidecar keeps nothing over a restart, so an upstream's departure is acknowledged only once it outlives this
process: it has to be held by more control processes than may be lost at once, in as many zones and regions.
Each of them reports what it holds in its pull requests.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection

from msgspec import Struct

from mesh.data_plane.membership import CONTROLLER, Membership
from mesh.dissemination.peers import Channel, Channels
from mesh.event_log import events
from mesh.event_log.log import EventLog
from mesh.replication.items import Item
from mesh.replication.quorum import Place, Tolerance

MEMBERSHIP_STORE = "roll"  # its name on links


class PendingItem(Struct, eq=False):
    """An item that is not confirmed yet, and the future that its confirmation completes."""

    item: Item
    confirmed: asyncio.Future[bool]


def outlives_losses(holders: Collection[Place], linked: int, known: int, tolerance: Tolerance) -> bool:
    """Whether an item outlives the tolerated losses, together with that of this sidecar.

    ``holders``: the places of the control processes that hold it. ``linked``: how many could confirm it; more
    zones and regions than theirs cannot be asked for. ``known``: how many the mesh has.
    """
    if len(holders) < min(tolerance.machines + 1, max(known, 1)):
        return False
    if len(holders) >= linked:
        return True
    zones = {place.zone for place in holders}
    regions = {place.region for place in holders}
    return len(zones) > tolerance.zones and len(regions) > tolerance.regions


class DepartureConfirmation:
    """Confirmations of items of the membership store by control processes."""

    def __init__(
        self,
        channels: Callable[[], Channels],
        membership: Membership,
        known_controllers: Callable[[], int],
        tolerance: Callable[[], Tolerance],
        event_log: EventLog,
    ) -> None:
        """``known_controllers`` returns how many control processes there are, as far as known here."""
        self._loop = asyncio.get_running_loop()
        self._channels, self._membership = channels, membership
        self._known_controllers, self._tolerance, self._event_log = known_controllers, tolerance, event_log
        self._pending: list[PendingItem] = []

    async def wait(self, item: Item, within_s: float) -> bool:
        """Waits until the item is confirmed, for ``within_s`` seconds at most; returns whether it is."""
        began = self._loop.time()
        confirmed = self._is_confirmed(item) or await self._wait_for_peers(item, within_s)
        waited_ms = round((self._loop.time() - began) * 1000.0)
        holders = ", ".join(sorted(self._holders(item)))
        if confirmed:
            self._event_log.emit(
                events.DEPARTURE_CONFIRMED, instance=item.name, holders=holders, waited_ms=waited_ms
            )
        else:
            self._event_log.emit(
                events.DEPARTURE_NOT_CONFIRMED,
                instance=item.name,
                holders=holders,
                linked=len(self._linked()),
                waited_ms=waited_ms,
            )
        return confirmed

    async def _wait_for_peers(self, item: Item, within_s: float) -> bool:
        if within_s <= 0.0:
            return False
        pending = PendingItem(item, self._loop.create_future())
        self._pending.append(pending)
        timer = self._loop.call_later(within_s, _complete, pending.confirmed, False)
        try:
            return await pending.confirmed
        finally:
            timer.cancel()
            self._pending.remove(pending)

    def check_pending(self) -> None:
        """Completes the confirmed items; called when a peer has reported what it holds."""
        for pending in self._pending:
            if self._is_confirmed(pending.item):
                _complete(pending.confirmed, True)

    def _is_confirmed(self, item: Item) -> bool:
        holders, linked = self._holders(item).values(), len(self._linked())
        return outlives_losses(holders, linked, self._known_controllers(), self._tolerance())

    def _linked(self) -> dict[str, Channel]:
        """Linked control processes with contact to a quorum: what others hold may never reach the mesh."""
        return {
            channel.node: channel
            for channel in self._channels().open
            if channel.peer_hello.get("role") == CONTROLLER and channel.peer_complete and channel.link.up
        }

    def _holders(self, item: Item) -> dict[str, Place]:
        return {
            node: self._place(node)
            for node, channel in self._linked().items()
            if channel.exchange.peer_number(MEMBERSHIP_STORE, item.source) >= item.number
        }

    def _place(self, node: str) -> Place:
        info = self._membership.nodes.get(node, {})
        return Place(str(info.get("zone", "")), str(info.get("region", "")))


def _complete(future: asyncio.Future[bool], confirmed: bool) -> None:
    if not future.done():
        future.set_result(confirmed)
