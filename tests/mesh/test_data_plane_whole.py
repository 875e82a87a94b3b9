"""Limits for clients on one complete sidecar, by the operators' item and the settings: sizes of requests,
idle times, and waits during a shutdown."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path
from types import SimpleNamespace

import pytest
from msgspec.structs import replace

from anisestair.http.frontend import EXIT_S, IDLE_S
from mesh.admission.buffer_budget import LONG_BODY_SHARE, SHORT_BODY_BYTES, BufferQuota
from mesh.admission.final_check import DRAIN_SHARE, RejectReason
from mesh.configuration.limits import EXTRA_HEAD_BYTES, MAX_HEAD_BYTES, InputLimits, read_limits
from mesh.data_plane.call_messages import End, NotExecuted, UpstreamResponse
from mesh.data_plane.shutdown import NOTICE_S
from mesh.replication.membership_epochs import MEMBERS, VIEW
from mesh.runtime.grace import EXIT_S as BEFORE_KILL_S
from rigs.mesh_peers import Client, advance_clock, call, route, run_ready_callbacks, wait_until, with_timeout
from rigs.whole_sidecar import PeerSidecar, SidecarRig, peer_call, run_with_sidecar

LIMITS = {"header_bytes": 65536, "body_bytes": 12 << 20, "header_lag_ms": 3000, "quiescent_ms": 15000}


def test_figures_that_are_missing_have_their_defaults_and_none_is_taken_beyond_its_bound() -> None:
    assert read_limits(None) == read_limits({"header_bytes": None}) == InputLimits()
    assert read_limits(LIMITS) == InputLimits(65536 + EXTRA_HEAD_BYTES, 12 << 20, 3.25, 15.0)
    assert read_limits({"header_bytes": 1e12}).head_bytes == MAX_HEAD_BYTES + EXTRA_HEAD_BYTES


def test_a_head_may_be_as_long_as_the_operators_say_now(tmp_path: Path) -> None:
    async def test(rig: SidecarRig) -> None:
        async def status(client: Client, size: int) -> int:
            return (await client.request("a1", "/read/ok", headers=[(b"x-own", b"x" * size)])).status

        client, other = await rig.client(), await rig.client()
        assert await status(other, 60_000) == 431
        rig.apply_item("input_limits", "input_limits", LIMITS)
        assert await status(client, 60_000) == 200  # on a connection that was open before
        rig.apply_item("input_limits", "input_limits", {**LIMITS, "header_bytes": 20_000})
        assert await status(client, 20_000) == 200
        assert await status(client, 60_000) == 431
        rig.apply_item("input_limits", "input_limits", None)
        assert await status(await rig.client(), 60_000) == 431

    run_with_sidecar(tmp_path, test)


def test_a_body_may_be_as_long_as_the_operators_say_now(tmp_path: Path) -> None:
    async def test(rig: SidecarRig) -> None:
        body = b"x" * (9 << 20)
        client = await rig.client()
        rig.apply_item("input_limits", "input_limits", LIMITS)
        response = await client.request("a1", "/read/ok", body=body)
        assert response.status == 200 and response.body.endswith(body)
        rig.apply_item("input_limits", "input_limits", {**LIMITS, "body_bytes": 8 << 20})
        assert (await client.request("a2", "/read/ok", body=body)).status == 413
        assert rig.proxy.request_dispatcher.bodies.held_bytes == 0

    run_with_sidecar(tmp_path, test)


HEAD = b"POST /read/%b HTTP/1.1\r\nhost: h.example\r\nattempt-id: %b\r\n%b\r\n"


def test_a_body_that_memory_does_not_bear_is_503_before_it_is_read(tmp_path: Path) -> None:
    async def test(rig: SidecarRig) -> None:
        bodies = rig.proxy.request_dispatcher.bodies = BufferQuota(2 * 1000, 900)
        held = await rig.client()
        held.send("a1", "/read/hold", body=b"x" * 600)
        assert (
            await with_timeout(rig.upstream.incoming.get())
        ).body == b"x" * 600 and bodies.held_bytes == 600
        for size, status in (400, 200), (401, 503), (901, 503):
            client = await rig.client()
            client.write(HEAD % (b"ok", b"a2", b"expect: 100-continue\r\ncontent-length: %d\r\n" % size))
            head = await with_timeout(client._stream.readuntil(b"\r\n\r\n"))
            if status == 200:
                assert head.startswith(b"HTTP/1.1 100") and bodies.held_bytes == 1000
                client.write(b"x" * size)
                response = await client.read()
                assert response is not None and response.status == 200
            else:
                assert head.startswith(b"HTTP/1.1 503") and b"retry-after" in head
            assert bodies.held_bytes == 600
        client = await rig.client()  # a body without a length, for which memory runs out midway
        assert (await client.request("a3", "/read/ok", chunks=[b"x" * 300, b"x" * 101])).status == 503
        rig.upstream.release.set()
        response = await held.read()
        assert response is not None and response.status == 200 and bodies.held_bytes == 0
        assert len(rig.upstream.received) == 2

    run_with_sidecar(tmp_path, test)


def test_what_was_held_for_a_body_is_given_back_however_it_ends(tmp_path: Path) -> None:
    async def test(rig: SidecarRig) -> None:
        rig.apply_item("input_limits", "input_limits", {**LIMITS, "body_bytes": 1000})
        bodies, size = rig.proxy.request_dispatcher.bodies, b"content-length: 700\r\n"
        cases = (
            (HEAD % (b"ok", b"a1", size) + b"x" * 200, "leaves"),
            (HEAD % (b"hold", b"a1", size) + b"x" * 700 + HEAD % (b"ok", b"a2", size), "leaves"),
            (HEAD % (b"hold", b"a1", size) + b"x" * 700 + b"no request\r\n\r\n", "leaves"),
            (HEAD % (b"ok", b"a 1", size) + b"x" * 700, "400"),
            (HEAD % (b"ok", b"a1", b"transfer-encoding: chunked\r\n") + b"384\r\n" + b"x" * 900, "leaves"),
            (HEAD % (b"ok", b"a1", b"transfer-encoding: chunked\r\n") + b"3e9\r\n" + b"x" * 1001, "413"),
            (HEAD % (b"ok", b"a1", size + b"host: h\r\n") + b"x" * 700, "400"),
        )
        for sent, end in cases:
            client = await rig.client()
            client.write(sent)
            if end == "leaves":
                await wait_until(lambda: bodies.held_bytes > 0)
                client.abort()
            else:
                response = await client.read()
                assert response is not None and response.status == int(end), sent
            await wait_until(lambda: bodies.held_bytes == 0)

    run_with_sidecar(tmp_path, test)


def test_a_long_head_beyond_the_memory_quota_gets_503_and_others_count_until_their_end(
    tmp_path: Path,
) -> None:
    async def test(rig: SidecarRig) -> None:
        rig.apply_item("input_limits", "input_limits", LIMITS)
        heads = rig.proxy.request_dispatcher.buffers.heads
        heads.max_bytes = heads.max_message_bytes = 40_000
        held = await rig.client()
        held.send("a1", "/read/hold", headers=[(b"x-own", b"x" * 25_000)])
        await with_timeout(rig.upstream.incoming.get())
        assert 20_000 < heads.held_bytes < 30_000
        other = await rig.client()
        assert (await other.request("a2", "/read/ok", headers=[(b"x-own", b"x" * 20_000)])).status == 503
        assert (
            await (await rig.client()).request("a3", "/read/ok", headers=[(b"x-own", b"x")])
        ).status == 200
        rig.upstream.release.set()
        response = await held.read()
        assert response is not None and response.status == 200
        await wait_until(lambda: heads.held_bytes == 0)

    run_with_sidecar(tmp_path, test)


@pytest.mark.parametrize("size", [30_000, 60_000])
def test_a_response_beyond_the_memory_quota_may_have_run_and_holds_no_memory(
    tmp_path: Path, size: int
) -> None:
    async def test(rig: SidecarRig) -> None:
        answers = rig.proxy.request_dispatcher.buffers.answers
        answers.max_bytes = answers.max_message_bytes = 50_000
        client = await rig.client()
        response = await client.request("a1", "/read/ok", body=b"x" * size)
        assert response.status == (502 if size > answers.max_bytes else 200)
        assert rig.upstream.runs["a1"] >= 1
        await wait_until(lambda: answers.held_bytes == 0)
        assert (await client.request("a2", "/read/ok")).status == 200

    run_with_sidecar(tmp_path, test)


def test_a_response_counts_until_its_client_has_read_it(tmp_path: Path) -> None:
    async def test(rig: SidecarRig) -> None:
        rig.apply_item("input_limits", "input_limits", LIMITS)
        answers = rig.proxy.request_dispatcher.buffers.answers
        client = await Client.connect(rig.outbound)
        client.send("a1", "/read/ok", body=b"x" * (9 << 20))
        await wait_until(lambda: len(rig.upstream.received) == 1 and answers.held_bytes > 1 << 20)
        usage = rig.proxy.request_dispatcher.buffers.usage()["answers"]
        assert usage["held_bytes"] == answers.memory <= usage["most_bytes"]
        response = await client.read()
        assert response is not None and response.status == 200
        await wait_until(lambda: answers.held_bytes == 0)
        client.send("a2", "/read/ok", body=b"x" * (9 << 20))
        await wait_until(lambda: len(rig.upstream.received) == 2 and answers.held_bytes > 1 << 20)
        client.abort()
        await wait_until(lambda: answers.held_bytes == 0)

    run_with_sidecar(tmp_path, test)


def test_long_bodies_leave_room_for_short_ones() -> None:
    bodies = BufferQuota(2 * 16 * SHORT_BODY_BYTES, 8 * SHORT_BODY_BYTES)
    assert not bodies.acquire(8 * SHORT_BODY_BYTES + 1) and not bodies.acquire(1, before=8 * SHORT_BODY_BYTES)
    assert bodies.acquire(8 * SHORT_BODY_BYTES) and bodies.acquire(4 * SHORT_BODY_BYTES)
    assert bodies.held_bytes == LONG_BODY_SHARE * bodies.max_bytes and not bodies.acquire(
        SHORT_BODY_BYTES + 1
    )
    assert not bodies.acquire(1, before=SHORT_BODY_BYTES)
    assert all(bodies.acquire(SHORT_BODY_BYTES) for _ in range(4)) and not bodies.acquire(1)
    bodies.release(bodies.held_bytes)
    assert bodies.held_bytes == 0


def test_no_connection_is_closed_idle_before_the_operators_time_and_each_is_after_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test(rig: SidecarRig) -> None:
        client_listener = rig.proxy.client_listener
        loop = asyncio.get_running_loop()
        monkeypatch.setattr("anisestair.http.frontend.time", SimpleNamespace(monotonic=loop.time))
        rig.apply_item("input_limits", "input_limits", LIMITS)
        client_listener._most, client_listener._crowded_count = 10, 5.0
        clients = [await rig.client() for _ in range(8)]
        for at, client in enumerate(clients[:7]):  # beyond all shares; one has sent no request yet
            assert (await client.request(f"a{at}", "/read/ok")).status == 200
        await rig.wait_for_clients(8)
        for _ in range(6):
            advance_clock(0.13 * 15.0)
            client_listener._sweep()
            await run_ready_callbacks()
        late = await rig.client()
        # Connections are scarce: only the one that never sent a request was closed.
        await rig.wait_for_clients(8)
        for at, client in enumerate(clients[:7]):
            assert (await client.request(f"b{at}", "/read/ok")).status == 200
        assert (await late.request("c", "/read/ok")).status == 200
        advance_clock(1.01 * 15.0)
        client_listener._sweep()
        await rig.wait_for_clients(0)

    run_with_sidecar(tmp_path, test)


def test_a_connection_that_has_not_asked_may_wait_as_long_while_there_is_room(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test(rig: SidecarRig) -> None:
        client_listener = rig.proxy.client_listener
        loop = asyncio.get_running_loop()
        monkeypatch.setattr("anisestair.http.frontend.time", SimpleNamespace(monotonic=loop.time))
        rig.apply_item("input_limits", "input_limits", LIMITS)
        early = await rig.client()
        await rig.wait_for_clients(1)
        advance_clock(0.8 * 15.0)
        client_listener._sweep()
        assert (await early.request("a1", "/read/ok")).status == 200
        rig.apply_item("input_limits", "input_limits", None)  # without the operators' limits it may not
        silent = await rig.client()
        await rig.wait_for_clients(2)
        advance_clock(IDLE_S + 0.1)
        client_listener._sweep()
        assert await silent.read() is None
        assert (await early.request("a2", "/read/ok")).status == 200

    run_with_sidecar(tmp_path, test)


def test_at_an_end_clients_are_waited_for_as_long_as_the_platform_does(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test(rig: SidecarRig) -> None:
        proxy, loop = rig.proxy, asyncio.get_running_loop()
        client = await rig.client()
        client.send("a1", "/read/hold", time_remaining_ms=30_000)
        await with_timeout(rig.upstream.incoming.get())
        stop_calls: list[tuple[float, float | None]] = []
        stop = proxy.client_listener.stop

        async def record_stop(accept_s: float, exit_s: float | None = None) -> None:
            stop_calls.append((accept_s, exit_s))
            await stop(accept_s, exit_s)
            stop_calls.append((-1.0, None))  # the wait has ended

        monkeypatch.setattr(proxy.client_listener, "stop", record_stop)
        stop_task = loop.create_task(proxy.stop())
        await run_ready_callbacks()
        assert stop_calls == [(NOTICE_S, 20.0 - BEFORE_KILL_S)]
        advance_clock(NOTICE_S)
        for _ in range(4):
            advance_clock(EXIT_S / 2.0)
            await run_ready_callbacks()
        assert len(stop_calls) == 1 and not stop_task.done() and proxy.client_listener.held() == 1
        rig.upstream.release.set()
        response = await client.read()
        assert response is not None and (response.status, response.get(b"connection")) == (200, "close")
        await with_timeout(stop_task)
        monkeypatch.undo()

    run_with_sidecar(tmp_path, test, grace_s=20.0)


@pytest.mark.parametrize("reads", [True, False])
def test_a_client_that_reads_slowly_gets_all_of_its_answer_and_one_that_does_not_read_is_left(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, reads: bool
) -> None:
    async def test(rig: SidecarRig) -> None:
        client_listener, loop, body = (
            rig.proxy.client_listener,
            asyncio.get_running_loop(),
            b"x" * (1 << 20),
        )
        monkeypatch.setattr("anisestair.http.frontend.time", SimpleNamespace(monotonic=loop.time))
        small = socket.socket()
        small.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        small.connect(rig.outbound)
        stream, writer = await asyncio.open_connection(sock=small, limit=1024)
        await rig.wait_for_clients(1)
        (connection,) = client_listener._connections
        await wait_until(lambda: connection.transport is not None)
        transport, found = connection.transport, b""
        assert transport is not None
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16384)
        writer.write(HEAD % (b"ok", b"a1", b"content-length: %d\r\n" % len(body)) + body)
        await wait_until(lambda: connection.choked)
        for _ in range(4):  # each longer than the wait without a byte
            client_listener._sweep()
            before = transport.get_write_buffer_size()
            while reads and transport.get_write_buffer_size() == before:
                found += (data := await with_timeout(stream.read(65536)))
                assert data
            advance_clock(0.9 * client_listener.request_s)
            await run_ready_callbacks()
        assert client_listener.held() == reads
        while reads and not found.endswith(body):
            found += (data := await with_timeout(stream.read(1 << 20)))
            assert data
        writer.transport.abort()

    run_with_sidecar(tmp_path, test)


# Shutdown, and changes while requests are open


def test_at_an_end_calls_of_other_sidecars_are_waited_for_until_their_answers_have_left(
    tmp_path: Path,
) -> None:
    async def test(rig: SidecarRig) -> None:
        proxy, loop, body = rig.proxy, asyncio.get_running_loop(), b"x" * 8_000_000
        other = await PeerSidecar.connect(rig)
        other.send(1, "/read/hold", body)
        await with_timeout(rig.upstream.incoming.get())
        stop_task = loop.create_task(proxy.stop())
        await run_ready_callbacks()
        advance_clock(NOTICE_S)
        await wait_until(lambda: proxy.client_listener._listener is None)  # its client side has shut down
        assert not stop_task.done()
        rig.upstream.release.set()
        await wait_until(lambda: not proxy.upstream_dispatch.running)
        for _ in range(3):
            advance_clock(0.05)
            await run_ready_callbacks()
        assert not stop_task.done(), "the peer has not read it yet"
        found = await other.next_end()
        assert isinstance(found, UpstreamResponse) and found.body.endswith(body)
        await with_timeout(stop_task)
        other.writer.close()

    run_with_sidecar(tmp_path, test, grace_s=20.0)


def test_other_settings_and_another_configuration_touch_no_request_in_hand(tmp_path: Path) -> None:
    async def test(rig: SidecarRig) -> None:
        client = await rig.client()
        client.send("a1", "/read/hold")
        await with_timeout(rig.upstream.incoming.get())
        settings = rig.proxy.settings
        rig.proxy.apply_settings(
            replace(settings, seeds=(("127.0.0.8", 1),), bounds=replace(settings.bounds))
        )
        rig.apply_item("input_limits", "input_limits", {**LIMITS, "header_bytes": 10, "body_bytes": 1})
        rig.apply_item("route", "read", {**route("read", "/read/", "t"), "host": "h.example"})
        rig.apply_item("plant", "s", None)
        rig.apply_item("route", "read", None)
        await run_ready_callbacks()
        rig.upstream.release.set()
        response = await client.read()
        assert response is not None and (response.status, response.get(b"attempt-id")) == (200, "a1")

    run_with_sidecar(tmp_path, test)


def test_it_is_ready_once_it_has_heard_all_and_no_more_once_it_is_told_to_end(tmp_path: Path) -> None:
    async def test(rig: SidecarRig) -> None:
        async def ready() -> bool:
            return (await call(rig.readiness, b"GET", b"/"))[0] == 200

        assert not await ready()  # it has a route, but no complete control process has sent everything
        rig.proxy.channels.last_complete_at = asyncio.get_running_loop().time()
        assert await ready()
        stop_task = asyncio.get_running_loop().create_task(rig.proxy.stop())
        await run_ready_callbacks()
        assert not await ready()
        advance_clock(NOTICE_S)
        await with_timeout(stop_task)

    run_with_sidecar(tmp_path, test)


def test_a_proxy_that_knows_only_the_members_has_no_configuration(tmp_path: Path) -> None:
    """At a first start the members' items arrive before the operators' first configuration. If any item
    counted as configuration, the proxy would be ready too early and refuse the first routes with 404 while
    they are added (seen in seed 39 of the soak)."""

    async def test(rig: SidecarRig) -> None:
        proxy = rig.proxy
        proxy.config_store.reset("n1.again")
        proxy.routes.remove("read")
        rig.apply_item(VIEW, MEMBERS, {"members": {}})
        proxy.channels.last_complete_at = asyncio.get_running_loop().time()
        client = await rig.client()
        assert (await call(rig.readiness, b"GET", b"/"))[0] == 503
        assert (await client.request("a1", "/read/ok")).status == 503
        rig.apply_item("plant", "s", {"name": "s", "epoch": "r1"})
        assert (await call(rig.readiness, b"GET", b"/"))[0] == 200
        assert (await client.request("a2", "/none/ok")).status == 404

    run_with_sidecar(tmp_path, test)


# Commands of the upstream


def test_a_drain_and_a_leave_are_acknowledged_at_once_and_calls_pass_for_a_part_of_its_time(
    tmp_path: Path,
) -> None:
    async def test(rig: SidecarRig) -> None:
        proxy, upstream, path = rig.proxy, rig.upstream, b"/instances/i-1"
        await rig.start_control_process()

        async def send_command(method: bytes, body: bytes = b"") -> int:
            status, said = await call(rig.control, method, path, body, timeout_s=1.0)
            assert len(said) <= 4096
            return status

        async def end_of(attempt: str) -> End:
            ended: asyncio.Future[End] = asyncio.get_running_loop().create_future()
            proxy.upstream_dispatch.accept(peer_call(attempt, "/read/ok"), ended.set_result)
            return await with_timeout(ended)

        assert await send_command(b"PUT", b"no beat") == 400  # nothing of it is applied
        assert await send_command(b"PUT", upstream.heartbeat_body("decaying")) == 200
        assert isinstance(await end_of("b1"), UpstreamResponse)
        advance_clock(0.9 * DRAIN_SHARE * 2.0)
        # Repeated; the time counts from the first one.
        assert await send_command(b"PUT", upstream.heartbeat_body("decaying")) == 200
        assert isinstance(await end_of("b2"), UpstreamResponse)
        advance_clock(0.2 * DRAIN_SHARE * 2.0)
        assert await end_of("b3") == NotExecuted(RejectReason.LEAVING)
        assert await send_command(b"DELETE") == 200 and await send_command(b"DELETE") == 200
        assert await end_of("b4") == NotExecuted(RejectReason.DOWN)
        # A late heartbeat: that incarnation has ended.
        assert await send_command(b"PUT", upstream.heartbeat_body()) == 200
        assert await end_of("b5") == NotExecuted(RejectReason.DOWN)

    run_with_sidecar(tmp_path, test)


def test_a_drain_that_others_know_of_holds_after_a_restart_of_the_sidecar(tmp_path: Path) -> None:
    async def test(rig: SidecarRig) -> None:
        proxy = rig.proxy
        value = {"plant": "s", "node": "n1", "zone": "z", "epoch": "", "capacity": 8, "state": "decaying"}
        item = proxy.membership_store.write("instance", "i-9", 5000, {**value, "cold_ms": 0.0})
        proxy.upstream.heartbeat = None  # as before the first heartbeat
        proxy._on_items("roll", [item])  # type: ignore[list-item]
        proxy.registry.reconcile()
        ended: list[End] = []
        proxy.upstream_dispatch.accept(replace(peer_call("b1", "/read/ok"), instance="i-9"), ended.append)
        assert ended == [NotExecuted(RejectReason.LEAVING)]

    run_with_sidecar(tmp_path, test)
