"""Lets a shipped program run behind a relay: it announces its own address, listens at another port, and
connects from its own address, by which a relay identifies it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from mesh.control_plane import program as control_program
from mesh.data_plane import peer_calls
from mesh.data_plane import program as data_program
from mesh.dissemination import peers
from mesh.transport import link


def patch_attribute(target: Any, name: str, value: Any) -> None:
    """Replaces an attribute. Raises AttributeError if it doesn't exist: the run would go on unpatched."""
    getattr(target, name)
    setattr(target, name, value)


def listen_behind_relay(port: int) -> None:
    """Makes both programs listen at this port; the relay has the announced one."""
    listen = link.listen

    async def listen_at_port(address: tuple[str, int], *rest: Any) -> Any:
        return await listen((address[0], port), *rest)

    patch_attribute(data_program, "listen", listen_at_port)
    patch_attribute(control_program, "listen", listen_at_port)


def connect_from(ip: str) -> None:
    """Makes links to other processes come from that address; on loopback they otherwise all share one."""

    async def connect(address: tuple[str, int], make: Callable[[], link.Link]) -> link.Link | None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(link.CONNECT_TIMEOUT_S):
                _, made = await loop.create_connection(make, *address, local_addr=(ip, 0))
        except (OSError, TimeoutError):
            return None
        return made

    patch_attribute(peers, "connect", connect)
    patch_attribute(peer_calls, "connect", connect)
