"""The addresses of control processes that a sidecar may pull from: the seeds of its settings, those of the
membership, and before there is one those that other sidecars report."""

from __future__ import annotations

from typing import Any

from mesh.data_plane.membership import Membership
from mesh.data_plane.peer_calls import MAX_CONTROLLER_ADDRESSES
from mesh.membership.instance_commands import read_address
from mesh.runtime.settings import Settings
from mesh.transport.link import Address

MAX_REPORTED_CONTROLLERS = 64  # learned from other sidecars


class ControllerAddresses:
    """Known control processes, by host."""

    def __init__(self, membership: Membership) -> None:
        """No other sidecar has reported any yet."""
        self._membership = membership
        self._reported: dict[str, Address] = {}

    def report(self, addresses: Any) -> bool:
        """Takes addresses that another sidecar has sent, which helps after a start if no seed is reachable.
        Returns whether they were taken: the membership replaces them."""
        if self._membership.controllers() or not isinstance(addresses, list):
            return False
        for address in map(read_address, addresses[:MAX_CONTROLLER_ADDRESSES]):
            if address is not None and len(self._reported) < MAX_REPORTED_CONTROLLERS:
                self._reported.setdefault(address[0], address)
        return True

    def candidates(self, settings: Settings) -> dict[str, Address]:
        """The control processes to pull from."""
        port = settings.port_range[0]
        known = {host: (host, port) for host, _ in settings.seeds}
        known.update(self._membership.controllers() or self._reported)
        return known

    def count(self, settings: Settings) -> int:
        """How many control processes the mesh has, as far as known here."""
        return len(self._membership.controllers() or settings.seeds)
