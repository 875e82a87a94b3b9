"""Who counts, and how this process reaches them. There is no leader and no log."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from mesh.control_plane.write_batches import DiskWriter
from mesh.data_plane.membership import CONTROLLER
from mesh.dissemination.peers import Channel, Channels
from mesh.dissemination.pull_exchange import pack
from mesh.replication.membership_epochs import MEMBERS, NOBODY, VIEW, View, read_view
from mesh.replication.quorum import Place, Tolerance
from mesh.replication.store import Store


class MemberSet:
    """``contact``: whether what is held here, or is being told, can miss nothing that was acknowledged."""

    def __init__(
        self,
        own_address: str,
        charter: Store,
        disk_writer: DiskWriter,
        channels: Channels,
        tolerance: Tolerance,
    ) -> None:
        """``own_address``: the address by which this machine is known as a member."""
        self.own_address, self.tolerance = own_address, tolerance
        self._charter, self._disk_writer, self._channels = charter, disk_writer, channels
        self._view = NOBODY
        self.has_contact: Callable[[], bool] = lambda: False

    def view(self) -> View:
        """The view in force here; its epoch is 0 where none is known yet."""
        item = self._charter.items.get((VIEW, MEMBERS))
        if item is not None and item.version != self._view.epoch:
            self._view = read_view(item.version, item.value)
        return self._view

    def view_item(self) -> list[list[object]]:
        """The view as it is told to one that has an older one; empty where none is known."""
        item = self._charter.items.get((VIEW, MEMBERS))
        return [pack(item)] if item is not None else []

    def members(self) -> Mapping[str, Place]:
        """Whose disks count, those of a view that is on its way out with them."""
        view = self.view()
        return {**(view.before or {}), **view.now}

    def peers(self) -> dict[str, Channel]:
        """One link to each other control process that is reached, by address."""
        found: dict[str, Channel] = {}
        for channel in self._channels.open:
            address = address_of(channel)
            if channel.extra.get("role") == CONTROLLER and channel.link.up and address != self.own_address:
                if address not in found or (channel.opened_here, channel.node) > (
                    found[address].opened_here,
                    found[address].node,
                ):
                    found[address] = channel
        return found

    def announce_complete(self) -> None:
        """Tell the others that this disk counts now."""
        for channel in self.peers().values():
            channel.link.send({"t": "complete"})


def address_of(channel: Channel) -> str:
    """By which the peer is known as a member; "" before it has said so."""
    return str(channel.extra.get("ip", ""))
