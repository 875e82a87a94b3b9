"""A relay in front of a sidecar's peer port that can also reset connections and hold their data while new
connections pass: held data arrives late, even after its sender has closed the connection."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Iterable

from rigs.relay import RelayedConnection, RelayEndpoint, TcpRelay

RESET_ON_CLOSE = b"\1\0\0\0\0\0\0\0"  # SO_LINGER: on, for 0 s


class HoldableConnection(RelayedConnection):
    """A connection whose directions can be held separately."""

    held_to_target = held_to_client = False

    def passes(self, endpoint: RelayEndpoint) -> bool:
        return super().passes(endpoint) and not (
            self.held_to_target if endpoint is self.target_side else self.held_to_client
        )

    def on_lost(self, endpoint: RelayEndpoint, exc: Exception | None) -> None:
        other = self.target_side if endpoint is self.client_side else self.client_side
        if other.queue and other.transport is not None and not self.half_open and not self.passes(other):
            other.enqueue(asyncio.get_running_loop().time(), None)  # the end follows the held data
        else:
            super().on_lost(endpoint, exc)

    def reset(self) -> None:
        for endpoint in (self.client_side, self.target_side):
            if endpoint.transport is not None:
                sock = endpoint.transport.get_extra_info("socket")
                if sock is not None and sock.fileno() >= 0:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.abort()


class HoldingRelay(TcpRelay):
    connection_type = HoldableConnection

    def open(self) -> list[HoldableConnection]:
        """The open connections."""
        return [connection for connection in self.connections if isinstance(connection, HoldableConnection)]

    def hold(self, to_target: bool, to_client: bool) -> list[HoldableConnection]:
        """Holds the connections that are open now and returns them; new ones pass."""
        held = self.open()
        for connection in held:
            connection.held_to_target, connection.held_to_client = to_target, to_client
        return held


def release_held(connections: Iterable[HoldableConnection]) -> None:
    """Delivers what was held."""
    for connection in connections:
        connection.held_to_target = connection.held_to_client = False
        connection.on_faults_changed()


def reset_half(relays: Iterable[HoldingRelay], rng: random.Random) -> int:
    """Resets half of all connections at once; returns how many."""
    connections = [connection for relay in relays for connection in relay.open()]
    half = rng.sample(connections, len(connections) // 2)
    for connection in half:
        connection.reset()
    return len(half)
