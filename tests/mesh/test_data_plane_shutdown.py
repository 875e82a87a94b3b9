"""From SIGTERM to the exit: how requests, calls and connections end at each step."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path
from types import SimpleNamespace

import pytest
from msgspec.structs import replace

from mesh.admission.final_check import RejectReason
from mesh.data_plane.call_messages import (
    BodyPiece,
    GoAway,
    NotExecuted,
    UpstreamResponse,
    decode_from_second_hop,
)
from mesh.data_plane.client_connection import FIRST_REQUEST_S, IDLE_SHARE, TRANSIT_S
from mesh.data_plane.incoming_calls import IncomingCalls
from mesh.data_plane.request_dispatch import DEFAULT_RETRY_S
from mesh.data_plane.shutdown import NOTICE_S, Shutdown, max_idle_s, shutdown_times
from mesh.event_log import events
from mesh.runtime.grace import EXIT_S, EXIT_SHARE, exit_after_s
from mesh.transport.frames import frame
from rigs.mesh_peers import Client, advance_clock, run_ready_callbacks, wait_until, with_timeout
from rigs.whole_sidecar import PeerSidecar, SidecarRig, peer_call, run_with_sidecar

GRACE_S = 6.0


def start_shutdown(rig: SidecarRig) -> asyncio.Task[None]:
    """Starts the shutdown."""
    return asyncio.get_running_loop().create_task(rig.proxy.stop())


async def advance(seconds: float) -> None:
    """Advances time in steps and runs what is due."""
    for _ in range(max(round(seconds / 0.05), 1)):
        advance_clock(0.05)
        await run_ready_callbacks()


def keep_upstream_accepting(rig: SidecarRig) -> None:
    """Keeps the local upstream accepting calls, as a peer's does: only the client side shuts down."""
    rig.proxy.upstream.shut_down = lambda _: []  # type: ignore[method-assign]


# Times


@pytest.mark.parametrize("grace_s", [0.5, 2.5, 6.0, 20.0, 600.0])
def test_what_is_cut_at_the_exit_is_within_the_last_sixth_of_any_grace(grace_s: float) -> None:
    times = shutdown_times(grace_s)
    assert grace_s * 5 / 6 < times.exit_s < grace_s
    assert times.notice_s <= times.last_request_s <= grace_s / 2.0
    assert times.exit_s == exit_after_s(grace_s) == grace_s - min(EXIT_S, EXIT_SHARE * grace_s)
    assert max_idle_s(grace_s) >= 1.0


# Client connections


def test_two_answers_that_are_ready_one_behind_the_other_end_their_connection(tmp_path: Path) -> None:
    """Guards against the fault of docs/incidents/cut-long-after-sigterm.md: each of two ready responses took
    the other for the last one."""

    async def test(rig: SidecarRig) -> None:
        keep_upstream_accepting(rig)
        client = await rig.client()
        client.send("a1", "/read/hold")
        await with_timeout(rig.upstream.incoming.get())
        client.send("a2", "/read/ok")
        await with_timeout(rig.upstream.incoming.get())
        (connection,) = rig.proxy.client_listener._connections
        await wait_until(lambda: connection._slots[-1].reply is not None)  # type: ignore[attr-defined]
        stop_task = start_shutdown(rig)
        await run_ready_callbacks()
        rig.upstream.release.set()
        answers = [await client.read() for _ in range(2)]
        assert [response and response.status for response in answers] == [200, 200]
        assert [response and response.get(b"connection") for response in answers] == [None, "close"]
        assert await client.read() is None
        client.abort()
        await advance(NOTICE_S + 0.2)
        await with_timeout(stop_task)

    run_with_sidecar(tmp_path, test, grace_s=GRACE_S)


def test_a_request_that_comes_long_after_sigterm_is_refused_and_runs_nowhere(tmp_path: Path) -> None:
    async def test(rig: SidecarRig) -> None:
        keep_upstream_accepting(rig)
        client = await rig.client()
        client.write(b"GET /read/ok HTTP/1.1\r\nhost: h.example\r\n")  # an incomplete request
        (connection,) = rig.proxy.client_listener._connections
        await wait_until(lambda: connection.reader.partial)
        stop_task = start_shutdown(rig)
        await advance(shutdown_times(GRACE_S).last_request_s + 0.1)
        client.write(b"attempt-id: a1\r\n\r\n")
        response = await client.read()
        assert response is not None and (response.status, response.get(b"connection")) == (503, "close")
        assert response.get(b"retry-after") == f"{DEFAULT_RETRY_S:.3f}"
        assert rig.upstream.received == [] and not rig.proxy.request_dispatcher.open_requests
        client.abort()
        await with_timeout(stop_task)

    run_with_sidecar(tmp_path, test, grace_s=GRACE_S)


def test_once_there_is_no_time_nothing_is_read_behind_what_has_been_read(tmp_path: Path) -> None:
    async def test(rig: SidecarRig) -> None:
        keep_upstream_accepting(rig)
        client = await rig.client()
        client.send("a1", "/read/hold")
        await with_timeout(rig.upstream.incoming.get())
        stop_task = start_shutdown(rig)
        await advance(shutdown_times(GRACE_S).last_request_s + 0.1)
        client.send("a2", "/read/ok")
        await run_ready_callbacks()
        rig.upstream.release.set()
        response = await client.read()
        assert response is not None and (response.status, response.get(b"connection")) == (200, "close")
        assert await client.read() is None
        assert [message.get(b"attempt-id") for message in rig.upstream.received] == ["a1"]
        client.abort()
        await with_timeout(stop_task)

    run_with_sidecar(tmp_path, test, grace_s=GRACE_S)


def test_clients_are_told_how_long_a_connection_may_rest_and_none_is_closed_before(tmp_path: Path) -> None:
    async def test(rig: SidecarRig) -> None:
        keep_upstream_accepting(rig)
        client = await rig.client()
        response = await client.request("a1", "/read/ok")
        assert response.get(b"keep-alive") == "timeout=2"
        stop_task = start_shutdown(rig)
        await run_ready_callbacks()
        await advance(1.9)
        assert rig.proxy.client_listener.held() == 1
        # Sent in time, so it is served; its connection closes with it.
        response = await client.request("a2", "/read/ok")
        assert (
            response.status,
            response.get(b"connection"),
            response.get(b"keep-alive"),
        ) == (200, "close", None)
        client.abort()
        await advance(NOTICE_S)
        await with_timeout(stop_task)

    run_with_sidecar(tmp_path, test, grace_s=GRACE_S)


def test_a_connection_that_rested_for_as_long_as_it_may_is_closed_and_holds_up_no_end(tmp_path: Path) -> None:
    async def test(rig: SidecarRig) -> None:
        loop = asyncio.get_running_loop()
        early, late = await rig.client(), await rig.client()
        await early.request("a1", "/read/ok")
        await advance(2.0)
        await late.request("a2", "/read/ok")
        bounds = replace(rig.proxy.settings.bounds, grace_s=2.5)
        rig.proxy.apply_settings(replace(rig.proxy.settings, bounds=bounds))  # announces a shorter time
        assert rig.proxy.client_listener.idle_s == 1
        bounds = replace(rig.proxy.settings.bounds, grace_s=GRACE_S)
        rig.proxy.settings = replace(rig.proxy.settings, bounds=bounds)
        at, stop_task = loop.time(), start_shutdown(rig)
        await advance(NOTICE_S + 0.02)
        assert await early.read() is None and not stop_task.done()
        await advance(TRANSIT_S + 0.1)
        assert await late.read() is None
        await with_timeout(stop_task)
        assert loop.time() - at < NOTICE_S + TRANSIT_S + 1.0

    run_with_sidecar(tmp_path, test, grace_s=GRACE_S)


def test_what_is_told_keeps_within_the_operators_limit_and_follows_it(tmp_path: Path) -> None:
    async def test(rig: SidecarRig) -> None:
        client_listener = rig.proxy.client_listener
        for quiescent_ms, idle_s in (15_000, 2), (2000, int(IDLE_SHARE * 2.25)), (500, 0):
            rig.apply_item("input_limits", "input_limits", {"quiescent_ms": quiescent_ms})
            assert client_listener.idle_s == idle_s
            client = await rig.client()
            response = await client.request("a1", "/read/ok")
            assert response.get(b"keep-alive") == (f"timeout={idle_s}" if idle_s else None)
            client.abort()
        bounds = replace(rig.proxy.settings.bounds, grace_s=20.0)
        rig.apply_item("input_limits", "input_limits", {"quiescent_ms": 15_000})
        rig.proxy.apply_settings(replace(rig.proxy.settings, bounds=bounds))
        assert client_listener.idle_s == 2

    run_with_sidecar(tmp_path, test, grace_s=GRACE_S)


def test_a_connection_that_was_opened_at_the_last_moment_still_brings_its_request(tmp_path: Path) -> None:
    async def test(rig: SidecarRig) -> None:
        keep_upstream_accepting(rig)
        stop_task = start_shutdown(rig)
        await advance(NOTICE_S - 0.1)
        connection = socket.create_connection(rig.outbound)  # waits in the backlog
        advance_clock(0.2)
        await wait_until(lambda: rig.proxy.client_listener._listener is None)
        assert rig.proxy.client_listener.held() == 1
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(rig.outbound)
        client = Client(*await asyncio.open_connection(sock=connection))
        await advance(FIRST_REQUEST_S / 2)
        response = await client.request("a1", "/read/ok")
        assert (response.status, response.get(b"connection")) == (200, "close")
        client.abort()
        await with_timeout(stop_task)

    run_with_sidecar(tmp_path, test, grace_s=GRACE_S)


def test_what_comes_behind_the_last_answer_does_not_reset_it(tmp_path: Path) -> None:
    async def test(rig: SidecarRig) -> None:
        keep_upstream_accepting(rig)
        client_listener, client = rig.proxy.client_listener, await rig.client()
        client.send("a1", "/read/hold")
        await with_timeout(rig.upstream.incoming.get())
        stop_task = start_shutdown(rig)
        await run_ready_callbacks()
        rig.upstream.release.set()
        (connection,) = client_listener._connections
        await wait_until(lambda: connection.refused)
        for at in range(5):
            client.send(f"b{at}", "/read/ok", body=b"x" * 20_000)
            await run_ready_callbacks()
        response = await client.read()
        assert response is not None and (response.status, response.get(b"connection")) == (200, "close")
        assert await client.read() is None
        assert len(rig.upstream.received) == 1
        client.abort()
        await advance(NOTICE_S)
        await with_timeout(stop_task)

    run_with_sidecar(tmp_path, test, grace_s=GRACE_S)


def test_a_client_that_takes_its_last_answer_slowly_gets_all_of_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test(rig: SidecarRig) -> None:
        keep_upstream_accepting(rig)
        loop, body = asyncio.get_running_loop(), b"x" * 6_000_000
        monkeypatch.setattr("anisestair.http.frontend.time", SimpleNamespace(monotonic=loop.time))
        client = await rig.client()
        client.send("a1", "/read/hold", body=body)
        await with_timeout(rig.upstream.incoming.get())
        stop_task = start_shutdown(rig)
        await run_ready_callbacks()
        rig.upstream.release.set()
        (connection,) = rig.proxy.client_listener._connections
        await wait_until(lambda: connection.refused)  # written, but not accepted by the kernel
        assert connection.transport is not None and connection.transport.get_write_buffer_size()
        await advance(NOTICE_S + 0.5)  # longer than the wait for a client that has its response
        assert not stop_task.done()
        response = await client.read()
        assert response is not None and response.body.endswith(body)
        client.abort()
        await with_timeout(stop_task)

    run_with_sidecar(tmp_path, test, grace_s=GRACE_S)


def test_what_no_upstream_has_at_the_exit_is_refused_and_what_one_has_is_left_without_a_word(
    tmp_path: Path,
) -> None:
    async def test(rig: SidecarRig) -> None:
        proxy, emitted = rig.proxy, []
        keep_upstream_accepting(rig)
        emit = proxy.event_log.emit
        proxy.event_log.emit = lambda event, **values: (  # type: ignore[method-assign, assignment]
            emitted.append((event, values)),
            emit(event, **values),
        )
        clients = [await rig.client() for _ in range(10)]
        for at, client in enumerate(clients):  # nine for an upstream with eight slots
            client.send(f"a{at}", "/read/hold", time_remaining_ms=30_000)
        await wait_until(lambda: len(proxy.upstream_dispatch.queue) == 1)
        (waiting,) = (call for _, _, call in proxy.upstream_dispatch.queue._waiting)
        proxy.upstream_dispatch.queue._expiries.clear()  # its wait does not end
        shutdown = Shutdown(proxy)
        shutdown._times = replace(shutdown._times, notice_s=0.1, exit_s=0.3)
        stop_task = asyncio.get_running_loop().create_task(shutdown.run())
        await advance(0.5)
        refused = clients[int(waiting.call.attempt[1:])]  # type: ignore[attr-defined]
        response = await refused.read()
        assert response is not None and (response.status, response.get(b"connection")) == (503, "close")
        await with_timeout(stop_task)
        assert (events.CALLS_ABANDONED, {"requests": 9, "calls": 9}) in emitted
        assert proxy.client_listener.held() >= 9  # the kernel closes them at the exit, without a response

    run_with_sidecar(tmp_path, test, grace_s=GRACE_S)


# Links of other sidecars


async def read_remaining_heads(other: PeerSidecar) -> list[object]:
    """Returns the heads received until the link ends or nothing more arrives."""
    found: list[object] = []
    while True:
        try:
            data = await asyncio.wait_for(other.reader.read(1 << 20), 0.3)
        except TimeoutError:
            return found
        if not data:
            return found
        found += [head for head, _ in other.frames.feed(data) if head]
        if any(isinstance(head, GoAway) for head in found):
            return found


def test_other_sidecars_learn_at_the_end_which_calls_were_taken(tmp_path: Path) -> None:
    async def test(rig: SidecarRig) -> None:
        other = await PeerSidecar.connect(rig)
        other.send(1, "/read/ok")
        assert isinstance(await other.next_end(), UpstreamResponse)
        other.send(2, "/read/ok")
        assert isinstance(await other.next_end(), UpstreamResponse)
        (link,) = rig.proxy.incoming_links
        stop_task = start_shutdown(rig)
        await advance(NOTICE_S + 0.1)
        heads = await read_remaining_heads(other)
        assert [head.last for head in heads if isinstance(head, GoAway)] == [2]
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(rig.peers)
        other.send(3, "/read/ok")  # crosses GoAway
        await run_ready_callbacks()
        assert len(rig.upstream.received) == 2 and link.owed_replies == 0
        other.writer.close()
        await advance(0.3)
        await with_timeout(stop_task)

    run_with_sidecar(tmp_path, test, grace_s=GRACE_S)


def test_a_call_that_waits_for_a_place_at_the_exit_is_turned_away(tmp_path: Path) -> None:
    async def test(rig: SidecarRig) -> None:
        keep_upstream_accepting(rig)
        proxy, other = rig.proxy, await PeerSidecar.connect(rig)
        for number in range(1, 11):
            other.send(number, "/read/hold")
        await wait_until(lambda: len(proxy.upstream_dispatch.queue) == 1)
        proxy.upstream_dispatch.reject_queued()
        found = await other.next_end()
        assert found == NotExecuted(RejectReason.LEAVING)
        assert len(proxy.upstream_dispatch.running) == 9
        other.writer.close()

    run_with_sidecar(tmp_path, test, grace_s=GRACE_S)


def test_a_call_whose_body_is_not_whole_at_the_exit_is_turned_away(tmp_path: Path) -> None:
    async def test(rig: SidecarRig) -> None:
        other = await PeerSidecar.connect(rig)
        head = peer_call("b1", "/read/ok", b"x" * 100_000).head(1, in_pieces=True)
        other.writer.write(frame(head) + frame(BodyPiece(number=1), b"x" * 1000))
        await wait_until(lambda: bool(rig.proxy.incoming_links))
        (link,) = rig.proxy.incoming_links
        await wait_until(lambda: isinstance(link.peer, IncomingCalls) and link.peer.receiving)
        assert isinstance(link.peer, IncomingCalls)
        link.peer.leave()
        assert await other.next_end() == NotExecuted(RejectReason.LEAVING)
        other.writer.write(frame(BodyPiece(number=1), b"x" * 99_000))  # the rest arrives too late
        await run_ready_callbacks()
        assert rig.upstream.received == [] and not link.peer.receiving and link.owed_replies == 0
        assert rig.proxy.request_dispatcher.bodies.held_bytes == 0
        other.writer.close()

    run_with_sidecar(tmp_path, test, grace_s=GRACE_S)


def test_a_leaving_frame_is_decoded_as_goaway() -> None:
    assert decode_from_second_hop(b'{"t":"leaving","last":7}') == GoAway(last=7)
