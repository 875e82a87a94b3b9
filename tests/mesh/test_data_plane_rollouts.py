"""No request is lost during planned changes on live traffic: each complete request gets its response."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path
from types import SimpleNamespace

import pytest
from msgspec.structs import replace

from mesh.data_plane.shutdown import NOTICE_S
from rigs.mesh_peers import Client, advance_clock, route, run_ready_callbacks, wait_until, with_timeout
from rigs.whole_sidecar import SidecarRig, run_with_sidecar

CHANGES = 150
MAX_PIPELINED = 4  # requests that a client sends before it reads a response
LIMITS = {"header_bytes": 65536, "body_bytes": 1 << 20, "header_lag_ms": 3000, "quiescent_ms": 15000}


class Traffic:
    """Clients that send until they are stopped or no connection is accepted; some pipeline. When a response
    closes their connection they open the next one."""

    def __init__(self, rig: SidecarRig, paths: tuple[str, ...]) -> None:
        self.rig, self.paths = rig, paths
        self.stopped = False
        self.sent = self.responses = 0
        self.lost: list[str] = []  # ran, but the connection closed without a response
        self.failed: list[tuple[str, int]] = []

    async def client(self, name: str, ahead: int) -> None:
        connection: Client | None = None
        number = 0
        while not self.stopped:
            try:
                connection = connection or await self.rig.client()
            except OSError:
                return
            burst = [f"{name}-{number + at}" for at in range(ahead)]
            number += ahead
            for at, attempt in enumerate(burst):
                connection.send(attempt, self.paths[at % len(self.paths)])
            self.sent += ahead
            if not await self._read_responses(connection, burst):
                connection = None

    async def _read_responses(self, connection: Client, burst: list[str]) -> bool:
        """Reads the responses of a burst; returns whether the connection stays open."""
        for at, attempt in enumerate(burst):
            try:
                response = await connection.read()
            except ConnectionError:
                response = None
            if response is None:
                ran = {message.get(b"attempt-id") for message in self.rig.upstream.received}
                self.lost += [sent for sent in burst[at:] if sent in ran]
                return False
            self.responses += 1
            if response.status != 200:
                self.failed.append((attempt, response.status))
            if response.get(b"connection") == "close":
                ran = {message.get(b"attempt-id") for message in self.rig.upstream.received}
                self.lost += [sent for sent in burst[at + 1 :] if sent in ran]
                return False
        return True


def change(rig: SidecarRig, number: int) -> None:
    """Changes each kind of configuration item once and applies the settings again."""
    rule = route(
        "read", "/read/", "s", horizon_ms=30_000 - number, setpoint_ms=500 + number, trials=1 + number % 3
    )
    rig.apply_item("route", "read", {**rule, "host": "h.example"})
    added = f"more-{number % 20}"
    more = {**route(added, f"/{added}/", "s"), "host": "h.example"}
    rig.apply_item("route", added, more if number % 40 < 20 else None)
    limits = {
        **LIMITS,
        "header_lag_ms": 300 + 100 * (number % 28),
        "quiescent_ms": 2000 + 500 * (number % 27),
    }
    rig.apply_item("input_limits", "input_limits", limits)
    rig.apply_item("plant", "s", {"name": "s", "epoch": f"r{number}", "conn_saturation": 20 + number % 90})
    seeds = (("127.0.0.8" if number % 2 else "127.0.0.9", 1),)
    rig.proxy.apply_settings(replace(rig.proxy.settings, seeds=seeds))


def test_changes_and_settings_in_quick_turn_cut_off_and_fail_no_request(tmp_path: Path) -> None:
    async def test(rig: SidecarRig) -> None:
        traffic = Traffic(rig, ("/read/ok",))
        clients = [
            asyncio.get_running_loop().create_task(traffic.client(f"c{at}", 1 + at % MAX_PIPELINED))
            for at in range(8)
        ]
        for number in range(CHANGES):
            before = traffic.responses
            change(rig, number)
            await wait_until(lambda before=before: traffic.responses > before)  # type: ignore[misc]
        traffic.stopped = True
        await with_timeout(asyncio.gather(*clients))
        assert (traffic.lost, traffic.failed) == ([], [])
        assert traffic.responses == traffic.sent > CHANGES

    run_with_sidecar(tmp_path, test)


def test_the_traffic_detects_connections_closed_in_use(tmp_path: Path) -> None:
    async def test(rig: SidecarRig) -> None:
        traffic = Traffic(rig, ("/read/hold",))
        clients = [asyncio.get_running_loop().create_task(traffic.client(f"c{at}", 1)) for at in range(4)]
        await wait_until(lambda: len(rig.upstream.received) == len(clients))
        for connection in list(rig.proxy.client_listener._connections)[:2]:
            connection.close()
        await wait_until(lambda: len(traffic.lost) == 2)
        traffic.stopped = True
        rig.upstream.release.set()
        await with_timeout(asyncio.gather(*clients))
        assert len(traffic.lost) == 2

    run_with_sidecar(tmp_path, test)


def test_an_end_on_live_traffic_loses_no_request_that_ran(tmp_path: Path) -> None:
    async def test(rig: SidecarRig) -> None:
        traffic, loop = Traffic(rig, ("/read/ok",)), asyncio.get_running_loop()
        clients = [loop.create_task(traffic.client(f"c{at}", 1 + at % MAX_PIPELINED)) for at in range(12)]
        await wait_until(lambda: traffic.responses > 50)
        stop_task = loop.create_task(rig.proxy.stop())
        await run_ready_callbacks()
        change(rig, 1)
        before = traffic.responses
        await wait_until(lambda: traffic.responses > before + 50)
        advance_clock(NOTICE_S)
        await with_timeout(asyncio.gather(*clients))  # no connection is accepted any more
        advance_clock(2.0)
        await with_timeout(stop_task)
        assert traffic.lost == []
        assert {status for _, status in traffic.failed} <= {503}  # its own upstream accepts nothing new

    run_with_sidecar(tmp_path, test)


def test_a_change_of_the_time_to_send_cuts_off_no_client_that_reads_slowly(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test(rig: SidecarRig) -> None:
        client_listener, loop, body = (
            rig.proxy.client_listener,
            asyncio.get_running_loop(),
            b"x" * (1 << 20),
        )
        monkeypatch.setattr("anisestair.http.frontend.time", SimpleNamespace(monotonic=loop.time))
        rig.apply_item("input_limits", "input_limits", LIMITS)
        small_buffer_socket = socket.socket()
        small_buffer_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        small_buffer_socket.connect(rig.outbound)
        stream, writer = await asyncio.open_connection(sock=small_buffer_socket, limit=1024)
        await rig.wait_for_clients(1)
        (connection,) = client_listener._connections
        await wait_until(lambda: connection.transport is not None)
        assert connection.transport is not None
        source = connection.transport.get_extra_info("socket")
        source.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16384)
        client = Client(stream, writer)
        client.send("a1", "/read/ok", body=body, time_remaining_ms=30_000)
        await wait_until(lambda: connection.choked)
        rig.apply_item("input_limits", "input_limits", {**LIMITS, "header_lag_ms": 100})
        client_listener._sweep()
        for _ in range(4):
            advance_clock(0.5)
            client_listener._sweep()
            await run_ready_callbacks()
        assert client_listener.held() == 1
        response = await client.read()
        assert response is not None and response.body.endswith(body)
        writer.transport.abort()
        monkeypatch.undo()

    run_with_sidecar(tmp_path, test)


def test_changed_bounds_in_the_settings_apply_immediately(tmp_path: Path) -> None:
    async def test(rig: SidecarRig) -> None:
        proxy, client = rig.proxy, await rig.client()
        assert (await client.request("a1", "/read/ok")).status == 200
        bounds = replace(proxy.settings.bounds, retry_ratio=0.0, retry_slack=2.0, drain_ms=700.0)
        proxy.apply_settings(replace(proxy.settings, bounds=bounds))
        budget = proxy.balancers.by_service["s"].budget
        assert [budget.try_spend(proxy.balancers.now(), 1) for _ in range(2)] == [True, False]
        assert proxy.upstream.drain_ms == 700.0

    run_with_sidecar(tmp_path, test)
