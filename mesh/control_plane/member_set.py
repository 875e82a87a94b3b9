"""The members whose disks count, and the links to them. There is no leader and no log."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from mesh.control_plane.write_batches import DiskWriter
from mesh.data_plane.membership import CONTROLLER
from mesh.dissemination.peers import Channel, Channels
from mesh.dissemination.pull_exchange import pack
from mesh.replication.membership_epochs import EMPTY_VIEW, MEMBERS, VIEW, View, read_view
from mesh.replication.quorum import Place, Tolerance
from mesh.replication.store import Store


class MemberSet:
    """The view in force and its members. ``has_contact``: whether a quorum of them has answered recently."""

    def __init__(
        self,
        own_address: str,
        config_store: Store,
        disk_writer: DiskWriter,
        channels: Channels,
        tolerance: Tolerance,
    ) -> None:
        """``own_address``: the address by which this machine is known as a member."""
        self.own_address, self.tolerance = own_address, tolerance
        self._config_store, self._disk_writer, self._channels = config_store, disk_writer, channels
        self._view = EMPTY_VIEW
        self.has_contact: Callable[[], bool] = lambda: False

    def view(self) -> View:
        """The view in force here; its epoch is 0 if none is known yet."""
        item = self._config_store.items.get((VIEW, MEMBERS))
        if item is not None and item.version != self._view.epoch:
            self._view = read_view(item.version, item.value)
        return self._view

    def view_item(self) -> list[list[object]]:
        """The packed view, to be sent to a peer with an older one; empty if none is known."""
        item = self._config_store.items.get((VIEW, MEMBERS))
        return [pack(item)] if item is not None else []

    def members(self) -> Mapping[str, Place]:
        """The members whose disks count, those of the previous view included while the view is joint."""
        view = self.view()
        return {**(view.previous_members or {}), **view.members}

    def peers(self) -> dict[str, Channel]:
        """One open link to each other control process, by address."""
        links: dict[str, Channel] = {}
        for channel in self._channels.open:
            address = address_of(channel)
            if (
                channel.peer_hello.get("role") == CONTROLLER
                and channel.link.up
                and address != self.own_address
            ):
                if address not in links or (channel.opened_here, channel.node) > (
                    links[address].opened_here,
                    links[address].node,
                ):
                    links[address] = channel
        return links

    def announce_complete(self) -> None:
        """Notifies the others that this disk counts now."""
        for channel in self.peers().values():
            channel.link.send({"t": "complete"})


def address_of(channel: Channel) -> str:
    """The address of the peer as a member; "" before its hello."""
    return str(channel.peer_hello.get("ip", ""))
