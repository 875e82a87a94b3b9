"""Discovery: its list in typed form, and the watch that keeps it up to date."""

from __future__ import annotations

import asyncio
import json
import logging
import math
import time
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field as dataclass_field
from typing import Any

from anisestair import http
from hareloom import interface as api

log = logging.getLogger(__name__)

Address = tuple[str, int]

# How long discovery may wait for something new before it answers. Until then a watch that has gone silent (a
# machine that vanished, something between that let the connection go) looks like one with nothing to tell,
# and all upstreams may have been replaced; what it has to tell counts as told after 6 s. The next call of a
# watch is no new one to discovery, so that short waits cost little; with very many sidecars they would.
WATCH_MS = 2_500
# How much longer an answer may take before the call counts as failed: a watch's first call may wait in turn.
OVERDUE_MS, NEXT_OVERDUE_MS = 3_000, 1_500
MAX_LIST = 4 * 1024 * 1024  # bytes; a list of some ten thousand upstreams

STATES = {
    "up": api.ServerState.READY,
    "draining": api.ServerState.DRAINING,
    "removed": api.ServerState.GONE,
}


@dataclass(frozen=True, slots=True)
class EndpointList:
    seq: int
    whole: bool
    entries: tuple[api.ServerEntry, ...]
    addresses: dict[str, Address]  # where to connect; may differ from one sidecar, and list, to the next
    rpc: dict[str, Address] = dataclass_field(
        default_factory=dict
    )  # and where to for MessagePack-RPC, if it speaks that

    def event(self, kind: api.ListKind | None = None) -> api.ServerList:
        kind = kind or (api.ListKind.FULL if self.whole else api.ListKind.DELTA)
        return api.ServerList(kind, self.seq, self.entries)


def address(text: Any, lowest_port: int = 1) -> Address:
    host, colon, port = str(text).rpartition(":")
    if not (colon and host and port.isascii() and port.isdigit() and lowest_port <= int(port) < 65536):
        raise ValueError(f"not an address with a port: {text!r}")
    return host.strip("[]"), int(port)


def unix_offset_ms(now_ms: float) -> float:
    """What turns Unix time into the module's clock. Taken once: an upstream's start, told again, must come
    out as the same instant, or it would count as another start."""
    return now_ms - time.time() * 1000.0


def parse_list(data: Any, offset_ms: float) -> EndpointList:
    """Discovery's JSON; ValueError names the field that cannot be used."""
    entries, addresses, rpc = [], {}, {}
    field = "seq"
    try:
        seq = int(data["seq"])
        field = "whole"
        whole = data["whole"]
        if not isinstance(whole, bool):
            raise ValueError("neither true nor false")
        field = "hosts"
        for number, host in enumerate(data["hosts"]):
            field = f"hosts[{number}].host"
            name = host["host"]
            if not isinstance(name, str) or not name or name in addresses:
                raise ValueError("not a name of its own")
            field = f"hosts[{number}].dial"
            addresses[name] = address(host["dial"])
            field = f"hosts[{number}].dial_rpc"
            if "dial_rpc" in host:
                rpc[name] = address(host["dial_rpc"])
            field = f"hosts[{number}].health"
            state = STATES[host["health"]]
            field = f"hosts[{number}].block"
            cell = int(host.get("block", 0))
            field = f"hosts[{number}].share"
            size = float(host.get("share", 1.0))
            field = f"hosts[{number}].born_ms"
            born = float(host.get("born_ms", 0))
            if not math.isfinite(size) or not math.isfinite(born):
                raise ValueError("not a finite number")
            entries.append(
                api.ServerEntry(
                    server=name,
                    state=state,
                    zone=str(host.get("site", "")),
                    cell=cell,
                    kind=str(host.get("class", "")),
                    size=size,
                    started_at=born + offset_ms if born else None,
                )
            )
    except (KeyError, TypeError, ValueError, OverflowError, AttributeError) as fault:
        raise ValueError(f"{field}: {type(fault).__name__}: {fault}") from None
    return EndpointList(seq, whole, tuple(entries), addresses, rpc)


class Discovery:
    """One call after the other, each answered to ``tell``: by a list, or by None when it failed.

    A failed call ends the watch; the next begins when ``watch`` is called again.
    """

    def __init__(
        self, where: Address, seq: int, offset_ms: float, tell: Callable[[EndpointList | None], None]
    ) -> None:
        self._where, self._offset_ms, self._tell = where, offset_ms, tell
        self._seq: int | None = seq  # what the next watch goes on from; None: the whole list comes first
        self._task: asyncio.Task[None] | None = None

    def watch(self) -> None:
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._watch())

    def move(self, where: Address) -> None:
        """Another service from now on. It counts its versions by itself, and its list may differ from what
        the old one told: it has to send the whole. Nothing of the old watch is told after this."""
        if self._task is not None:
            self._task.cancel()
        self._where, self._seq, self._task = where, None, None
        self.watch()

    async def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])

    async def _watch(self) -> None:
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(OVERDUE_MS / 1000.0):
                reader, writer = await asyncio.open_connection(*self._where)
            overdue = OVERDUE_MS
            while True:
                # The next call goes out at once: one that comes later is a new watch to discovery.
                async with asyncio.timeout((WATCH_MS + overdue) / 1000.0):
                    message = await self._call(reader, writer)
                if message.status != 200:
                    raise ValueError(f"answered {message.status}")
                found = parse_list(json.loads(message.body), self._offset_ms)
                self._seq = found.seq
                self._tell(found)
                overdue = NEXT_OVERDUE_MS
                if not message.keep_alive:
                    writer.close()
                    async with asyncio.timeout(OVERDUE_MS / 1000.0):
                        reader, writer = await asyncio.open_connection(*self._where)
        except (OSError, ValueError, RecursionError, http.BadMessage) as fault:  # recursion: JSON nested deep
            log.warning("discovery: call failed: %s", str(fault) or type(fault).__name__)
            # Not from within the task: the module may ask again in answer, and the task must have ended.
            asyncio.get_running_loop().call_soon(self._tell, None)
        finally:
            if writer is not None:
                writer.transport.abort()

    async def _call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> http.Message:
        target = "/v1/endpoints"
        if self._seq is not None:
            target += f"?after={self._seq}&wait_ms={WATCH_MS}"
        host = f"{self._where[0]}:{self._where[1]}"
        writer.write(http.write_request(b"GET", target.encode(), [(b"host", host.encode())]))
        answer = http.response_reader(MAX_LIST)
        while True:
            data = await reader.read(65536)
            if data:
                answer.feed(data)
            else:
                answer.end()
            for message in answer.take():
                return message
            if not data:
                raise ConnectionResetError("the connection ended before the answer")
