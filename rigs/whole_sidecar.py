"""One whole sidecar that runs, the upstream beside it, and another sidecar that sends calls there."""

from __future__ import annotations

import asyncio
import io
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from mesh.data_plane.call_messages import Call, End, EndHead, decode_from_second_hop, read_end
from mesh.data_plane.program import Proxy
from mesh.event_log.log import EventLog
from mesh.runtime.settings import Settings, parse_settings
from mesh.transport.frames import Frames, frame
from rigs.mesh_peers import Client, Upstream, free_ports, play, route, soon, turns, until, write_settings


class Beside:
    """A sidecar that runs, the upstream beside it, and the operators' item."""

    def __init__(self, folder: Path, ports: list[int], upstream: Upstream, grace_s: float) -> None:
        """``ports``: for peers, control, outbound and readiness."""
        file = folder / "side.toml"
        write_settings(
            *(file, "n1", "127.0.0.1", "auxiliary", ports, ["127.0.0.9"], upstream.address, "s"),
            grace_s=grace_s,
        )
        settings = parse_settings(file.read_text())
        assert isinstance(settings, Settings), settings
        self.proxy, self.upstream = Proxy(settings, EventLog("t", io.StringIO())), upstream
        self.peers, self.control, self.outbound, self.readiness = (("127.0.0.1", port) for port in ports)
        self._version = 0

    def take(self, kind: str, name: str, value: dict[str, Any] | None) -> None:
        """An item comes, as news would bring it; no value: it is dropped."""
        self._version += 1
        item = self.proxy.config_store.write(kind, name, self._version, value)
        self.proxy._on_items("charter", [item])  # type: ignore[list-item]

    async def client(self) -> Client:
        """A connection of a client."""
        return await Client.connect(self.outbound)

    async def open(self, count: int) -> None:
        """Waits until so many connections of clients are open."""
        await until(lambda: self.proxy.client_listener.held() == count)


def beside(folder: Path, test: Callable[[Beside], Awaitable[None]], grace_s: float = 6.0) -> None:
    """Runs ``test`` on one sidecar, which has ended when this returns."""

    async def run() -> None:
        upstream = Upstream(behavior=lambda message: message.target.rpartition(b"/")[2].decode())
        await upstream.start()
        there = Beside(folder, free_ports(["127.0.0.1"], 4), upstream, grace_s)
        proxy = there.proxy
        await proxy.start()
        there.take("plant", "s", {"name": "s", "epoch": "r1"})
        there.take("route", "read", {**route("read", "/read/", "s", horizon_ms=30_000), "host": "h.example"})
        assert await upstream.send_heartbeat(there.control) == 200
        try:
            await test(there)
        finally:
            upstream.release.set()
            proxy.upstream_connections.close()
            for connection in list(proxy.client_listener._connections):
                connection.close()
            await proxy.client_listener.stop(accept_s=0.0)
            proxy.control.stop()
            proxy.readiness.stop()
            assert proxy._server is not None
            proxy._server.close()
            upstream.close()
            await turns()

    play(run)


class Other:
    """Another sidecar, as far as it sends calls here; it reads when it is told to."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Says who it is."""
        self.reader, self.writer, self.frames = reader, writer, Frames()
        self.frames.decode = decode_from_second_hop
        writer.write(frame({"t": "hello", "node": "n2", "for": "calls"}))

    @staticmethod
    async def to(there: Beside) -> Other:
        """A link to that sidecar."""
        return Other(*await soon(asyncio.open_connection(*there.peers, limit=1024)))

    def send(self, number: int, path: str, body: bytes = b"") -> None:
        """Sends a call."""
        self.writer.write(frame(passing(f"b{number}", path, body).head(number), body))

    async def end(self) -> End:
        """The next end of a call."""
        while True:
            data = await soon(self.reader.read(1 << 20))
            found = [one for one in self.frames.feed(data) if isinstance(one[0], EndHead)]
            if found:
                return read_end(*found[0])


def passing(attempt: str, path: str, body: bytes = b"") -> Call:
    """A call for the upstream beside the sidecar."""
    headers = [(b"host", b"h.example")]
    return Call(attempt, b"POST", path.encode(), headers, body, "i-1", "other", 30_000.0, 0.5, 20.0)
