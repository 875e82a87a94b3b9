"""Runs one complete sidecar in the test process, with its local upstream and a peer sidecar that calls it."""

from __future__ import annotations

import asyncio
import io
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from mesh.data_plane.call_messages import Call, End, EndHead, decode_from_second_hop, read_end
from mesh.data_plane.membership import CONTROLLER
from mesh.data_plane.program import Proxy
from mesh.dissemination.peers import Channels
from mesh.event_log.log import EventLog
from mesh.replication.store import Store
from mesh.runtime.settings import Settings, parse_settings
from mesh.transport.frames import Frames, frame
from rigs.mesh_peers import (
    Client,
    Upstream,
    free_ports,
    route,
    run_async_test,
    run_ready_callbacks,
    wait_until,
    with_timeout,
    write_settings,
)

MAX_STAND_IN_ITEMS = 100  # in a store of the stand-in for a control process


class SidecarRig:
    """A running sidecar and its local upstream."""

    def __init__(self, folder: Path, ports: list[int], upstream: Upstream, grace_s: float) -> None:
        """``ports`` are those for peers, control, outbound and readiness."""
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

    def apply_item(self, kind: str, name: str, value: dict[str, Any] | None) -> None:
        """Applies a configuration item as dissemination would; without a value, the item is deleted."""
        self._version += 1
        item = self.proxy.config_store.write(kind, name, self._version, value)
        self.proxy._on_items("charter", [item])  # type: ignore[list-item]

    async def start_control_process(self) -> Channels:
        """Starts a stand-in for a control process with contact, and waits until it is linked."""
        channels = Channels(
            "c1",
            {"t": "hello", "node": "c1", "source": "c1.1", "ip": "127.0.0.9", "role": CONTROLLER},
            {name: Store("c1.1", MAX_STAND_IN_ITEMS) for name in ("charter", "roll")},
            1,
            EventLog("c1", io.StringIO()),
            lambda *_: None,
            is_complete=lambda: True,
        )
        channels.set_candidates({"n1": self.peers})
        await wait_until(lambda: any(channel.peer_complete for channel in self.proxy.channels.open))
        return channels

    async def client(self) -> Client:
        """Opens a client connection."""
        return await Client.connect(self.outbound)

    async def wait_for_clients(self, count: int) -> None:
        """Waits until exactly ``count`` client connections are open."""
        await wait_until(lambda: self.proxy.client_listener.held() == count)


def run_with_sidecar(
    folder: Path, test: Callable[[SidecarRig], Awaitable[None]], grace_s: float = 6.0
) -> None:
    """Runs ``test`` with one sidecar, which has stopped when this returns."""

    async def run() -> None:
        upstream = Upstream(behavior=lambda message: message.target.rpartition(b"/")[2].decode())
        await upstream.start()
        rig = SidecarRig(folder, free_ports(["127.0.0.1"], 4), upstream, grace_s)
        proxy = rig.proxy
        await proxy.start()
        rig.apply_item("plant", "s", {"name": "s", "epoch": "r1"})
        rig.apply_item(
            "route", "read", {**route("read", "/read/", "s", horizon_ms=30_000), "host": "h.example"}
        )
        assert await upstream.send_heartbeat(rig.control) == 200
        try:
            await test(rig)
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
            await run_ready_callbacks()

    run_async_test(run)


class PeerSidecar:
    """The sending side of a peer sidecar; it reads only in ``next_end``."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Sends its hello frame."""
        self.reader, self.writer, self.frames = reader, writer, Frames()
        self.frames.decode = decode_from_second_hop
        writer.write(frame({"t": "hello", "node": "n2", "for": "calls"}))

    @staticmethod
    async def connect(rig: SidecarRig) -> PeerSidecar:
        """Connects to the sidecar of ``rig``."""
        return PeerSidecar(*await with_timeout(asyncio.open_connection(*rig.peers, limit=1024)))

    def send(self, number: int, path: str, body: bytes = b"") -> None:
        """Sends a call frame."""
        self.writer.write(frame(peer_call(f"b{number}", path, body).head(number), body))

    async def next_end(self) -> End:
        """Returns the next end of a call."""
        while True:
            data = await with_timeout(self.reader.read(1 << 20))
            ends = [item for item in self.frames.feed(data) if isinstance(item[0], EndHead)]
            if ends:
                return read_end(*ends[0])


def peer_call(attempt: str, path: str, body: bytes = b"") -> Call:
    """Returns a call from a peer sidecar for the local upstream."""
    headers = [(b"host", b"h.example")]
    return Call(attempt, b"POST", path.encode(), headers, body, "i-1", "other", 30_000.0, 0.5, 20.0)
