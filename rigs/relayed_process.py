"""One shipped program behind a relay: it tells its own address, listens at another port, and opens its links
from its own address, so that a relay knows who dials."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from mesh.control_plane import program as control_program
from mesh.data_plane import peer_calls
from mesh.data_plane import program as data_program
from mesh.dissemination import peers
from mesh.transport import link


def replace(whose: Any, name: str, value: Any) -> None:
    """Raises AttributeError where it is not there: without it the run would be an ordinary one."""
    getattr(whose, name)
    setattr(whose, name, value)


def listen_at(port: int) -> None:
    """The relay has the address that is told; this process listens beside it."""
    listen = link.listen

    async def listen_beside(address: tuple[str, int], *rest: Any) -> Any:
        return await listen((address[0], port), *rest)

    replace(data_program, "listen", listen_beside)
    replace(control_program, "listen", listen_beside)


def dial_from(ip: str) -> None:
    """Links to other processes come from that address, which loopback alone would not tell."""

    async def connect(address: tuple[str, int], make: Callable[[], link.Link]) -> link.Link | None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(link.CONNECT_TIMEOUT_S):
                _, made = await loop.create_connection(make, *address, local_addr=(ip, 0))
        except (OSError, TimeoutError):
            return None
        return made

    replace(peers, "connect", connect)
    replace(peer_calls, "connect", connect)
