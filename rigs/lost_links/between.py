"""A relay before a sidecar's port for others, that can also reset, and hold connections while new ones pass:
what stands in a buffer arrives late, also where whoever sent it has given the connection up."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Iterable

from rigs.relay import RelayedConnection, RelayEndpoint, TcpRelay

LINGER = b"\1\0\0\0\0\0\0\0"  # on, for no time: a reset


class HeldPair(RelayedConnection):
    """A connection of which each direction can be held by itself."""

    held_there = held_back = False

    def passes(self, endpoint: RelayEndpoint) -> bool:
        return super().passes(endpoint) and not (
            self.held_there if endpoint is self.target_side else self.held_back
        )

    def on_lost(self, endpoint: RelayEndpoint, exc: Exception | None) -> None:
        other = self.target_side if endpoint is self.client_side else self.client_side
        if other.queue and other.transport is not None and not self.half_open and not self.passes(other):
            other.enqueue(asyncio.get_running_loop().time(), None)  # on its way still; the end comes after it
        else:
            super().on_lost(endpoint, exc)

    def reset(self) -> None:
        for endpoint in (self.client_side, self.target_side):
            if endpoint.transport is not None:
                found = endpoint.transport.get_extra_info("socket")
                if found is not None and found.fileno() >= 0:
                    found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
        self.abort()


class Between(TcpRelay):
    connection_type = HeldPair

    def open(self) -> list[HeldPair]:
        """Those that are."""
        return [pair for pair in self.connections if isinstance(pair, HeldPair)]

    def hold(self, there: bool, back: bool) -> list[HeldPair]:
        """The connections that are open now; new ones pass."""
        held = self.open()
        for pair in held:
            pair.held_there, pair.held_back = there, back
        return held


def let_go(pairs: Iterable[HeldPair]) -> None:
    """What was held arrives."""
    for pair in pairs:
        pair.held_there = pair.held_back = False
        pair.on_faults_changed()


def reset_half(relays: Iterable[Between], chance: random.Random) -> int:
    """Half of all connections in one moment; gives how many."""
    pairs = [pair for relay in relays for pair in relay.open()]
    half = chance.sample(pairs, len(pairs) // 2)
    for pair in half:
        pair.reset()
    return len(half)
