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
from rigs.mesh_peers import Client, move, soon, turns, until
from rigs.whole_sidecar import PeerSidecar, SidecarRig, peer_call, run_with_sidecar

GRACE_S = 6.0


def ending(there: SidecarRig) -> asyncio.Task[None]:
    """Starts the shutdown."""
    return asyncio.get_running_loop().create_task(there.proxy.stop())


async def passed(seconds: float) -> None:
    """Lets time pass in steps, running what is due."""
    for _ in range(max(round(seconds / 0.05), 1)):
        move(0.05)
        await turns()


def keep(there: SidecarRig) -> None:
    """Its own upstream accepts calls, like another sidecar's: only the client side shuts down."""
    there.proxy.upstream.shut_down = lambda _: []  # type: ignore[method-assign]


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
    """Guards against the fault of docs/incidents/cut-long-after-sigterm.md: of two ready responses each took
    the other for the last one."""

    async def test(there: SidecarRig) -> None:
        keep(there)
        client = await there.client()
        client.send("a1", "/read/hold")
        await soon(there.upstream.incoming.get())
        client.send("a2", "/read/ok")
        await soon(there.upstream.incoming.get())
        (connection,) = there.proxy.client_listener._connections
        await until(lambda: connection._slots[-1].reply is not None)  # type: ignore[attr-defined]
        ends = ending(there)
        await turns()
        there.upstream.release.set()
        answers = [await client.read() for _ in range(2)]
        assert [answer and answer.status for answer in answers] == [200, 200]
        assert [answer and answer.get(b"connection") for answer in answers] == [None, "close"]
        assert await client.read() is None
        client.abort()
        await passed(NOTICE_S + 0.2)
        await soon(ends)

    run_with_sidecar(tmp_path, test, grace_s=GRACE_S)


def test_a_request_that_comes_long_after_sigterm_is_refused_and_runs_nowhere(tmp_path: Path) -> None:
    async def test(there: SidecarRig) -> None:
        keep(there)
        client = await there.client()
        client.write(b"GET /read/ok HTTP/1.1\r\nhost: h.example\r\n")  # a part of it
        (connection,) = there.proxy.client_listener._connections
        await until(lambda: connection.reader.partial)
        ends = ending(there)
        await passed(shutdown_times(GRACE_S).last_request_s + 0.1)
        client.write(b"attempt-id: a1\r\n\r\n")
        answer = await client.read()
        assert answer is not None and (answer.status, answer.get(b"connection")) == (503, "close")
        assert answer.get(b"retry-after") == f"{DEFAULT_RETRY_S:.3f}"
        assert there.upstream.received == [] and not there.proxy.request_dispatcher.open_requests
        client.abort()
        await soon(ends)

    run_with_sidecar(tmp_path, test, grace_s=GRACE_S)


def test_once_there_is_no_time_nothing_is_read_behind_what_has_been_read(tmp_path: Path) -> None:
    async def test(there: SidecarRig) -> None:
        keep(there)
        client = await there.client()
        client.send("a1", "/read/hold")
        await soon(there.upstream.incoming.get())
        ends = ending(there)
        await passed(shutdown_times(GRACE_S).last_request_s + 0.1)
        client.send("a2", "/read/ok")
        await turns()
        there.upstream.release.set()
        answer = await client.read()
        assert answer is not None and (answer.status, answer.get(b"connection")) == (200, "close")
        assert await client.read() is None
        assert [one.get(b"attempt-id") for one in there.upstream.received] == ["a1"]
        client.abort()
        await soon(ends)

    run_with_sidecar(tmp_path, test, grace_s=GRACE_S)


def test_clients_are_told_how_long_a_connection_may_rest_and_none_is_closed_before(tmp_path: Path) -> None:
    async def test(there: SidecarRig) -> None:
        keep(there)
        client = await there.client()
        answer = await client.request("a1", "/read/ok")
        assert answer.get(b"keep-alive") == "timeout=2"
        ends = ending(there)
        await turns()
        await passed(1.9)
        assert there.proxy.client_listener.held() == 1
        # Sent in time, so it is served; its connection closes with it.
        answer = await client.request("a2", "/read/ok")
        assert (answer.status, answer.get(b"connection"), answer.get(b"keep-alive")) == (200, "close", None)
        client.abort()
        await passed(NOTICE_S)
        await soon(ends)

    run_with_sidecar(tmp_path, test, grace_s=GRACE_S)


def test_a_connection_that_rested_for_as_long_as_it_may_is_closed_and_holds_up_no_end(tmp_path: Path) -> None:
    async def test(there: SidecarRig) -> None:
        loop = asyncio.get_running_loop()
        early, late = await there.client(), await there.client()
        await early.request("a1", "/read/ok")
        await passed(2.0)
        await late.request("a2", "/read/ok")
        bounds = replace(there.proxy.settings.bounds, grace_s=2.5)
        there.proxy.apply_settings(replace(there.proxy.settings, bounds=bounds))  # announces a shorter time
        assert there.proxy.client_listener.idle_s == 1
        bounds = replace(there.proxy.settings.bounds, grace_s=GRACE_S)
        there.proxy.settings = replace(there.proxy.settings, bounds=bounds)
        at, ends = loop.time(), ending(there)
        await passed(NOTICE_S + 0.02)
        assert await early.read() is None and not ends.done()
        await passed(TRANSIT_S + 0.1)
        assert await late.read() is None
        await soon(ends)
        assert loop.time() - at < NOTICE_S + TRANSIT_S + 1.0

    run_with_sidecar(tmp_path, test, grace_s=GRACE_S)


def test_what_is_told_keeps_within_the_operators_limit_and_follows_it(tmp_path: Path) -> None:
    async def test(there: SidecarRig) -> None:
        client_listener = there.proxy.client_listener
        for quiescent_ms, told in (15_000, 2), (2000, int(IDLE_SHARE * 2.25)), (500, 0):
            there.apply_item("input_limits", "input_limits", {"quiescent_ms": quiescent_ms})
            assert client_listener.idle_s == told
            client = await there.client()
            answer = await client.request("a1", "/read/ok")
            assert answer.get(b"keep-alive") == (f"timeout={told}" if told else None)
            client.abort()
        bounds = replace(there.proxy.settings.bounds, grace_s=20.0)
        there.apply_item("input_limits", "input_limits", {"quiescent_ms": 15_000})
        there.proxy.apply_settings(replace(there.proxy.settings, bounds=bounds))
        assert client_listener.idle_s == 2

    run_with_sidecar(tmp_path, test, grace_s=GRACE_S)


def test_a_connection_that_was_opened_at_the_last_moment_still_brings_its_request(tmp_path: Path) -> None:
    async def test(there: SidecarRig) -> None:
        keep(there)
        ends = ending(there)
        await passed(NOTICE_S - 0.1)
        connection = socket.create_connection(there.outbound)  # waits in the backlog
        move(0.2)
        await until(lambda: there.proxy.client_listener._listener is None)
        assert there.proxy.client_listener.held() == 1
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(there.outbound)
        client = Client(*await asyncio.open_connection(sock=connection))
        await passed(FIRST_REQUEST_S / 2)
        answer = await client.request("a1", "/read/ok")
        assert (answer.status, answer.get(b"connection")) == (200, "close")
        client.abort()
        await soon(ends)

    run_with_sidecar(tmp_path, test, grace_s=GRACE_S)


def test_what_comes_behind_the_last_answer_does_not_reset_it(tmp_path: Path) -> None:
    async def test(there: SidecarRig) -> None:
        keep(there)
        client_listener, client = there.proxy.client_listener, await there.client()
        client.send("a1", "/read/hold")
        await soon(there.upstream.incoming.get())
        ends = ending(there)
        await turns()
        there.upstream.release.set()
        (connection,) = client_listener._connections
        await until(lambda: connection.refused)
        for at in range(5):
            client.send(f"b{at}", "/read/ok", body=b"x" * 20_000)
            await turns()
        answer = await client.read()
        assert answer is not None and (answer.status, answer.get(b"connection")) == (200, "close")
        assert await client.read() is None
        assert len(there.upstream.received) == 1
        client.abort()
        await passed(NOTICE_S)
        await soon(ends)

    run_with_sidecar(tmp_path, test, grace_s=GRACE_S)


def test_a_client_that_takes_its_last_answer_slowly_gets_all_of_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test(there: SidecarRig) -> None:
        keep(there)
        loop, body = asyncio.get_running_loop(), b"x" * 6_000_000
        monkeypatch.setattr("anisestair.http.frontend.time", SimpleNamespace(monotonic=loop.time))
        client = await there.client()
        client.send("a1", "/read/hold", body=body)
        await soon(there.upstream.incoming.get())
        ends = ending(there)
        await turns()
        there.upstream.release.set()
        (connection,) = there.proxy.client_listener._connections
        await until(lambda: connection.refused)  # written, but not accepted by the kernel
        assert connection.transport is not None and connection.transport.get_write_buffer_size()
        await passed(NOTICE_S + 0.5)  # longer than the wait for a client that has its response
        assert not ends.done()
        answer = await client.read()
        assert answer is not None and answer.body.endswith(body)
        client.abort()
        await soon(ends)

    run_with_sidecar(tmp_path, test, grace_s=GRACE_S)


def test_what_no_upstream_has_at_the_exit_is_refused_and_what_one_has_is_left_without_a_word(
    tmp_path: Path,
) -> None:
    async def test(there: SidecarRig) -> None:
        proxy, told = there.proxy, []
        keep(there)
        monitored = proxy.event_log.emit
        proxy.event_log.emit = lambda event, **values: (  # type: ignore[method-assign, assignment]
            told.append((event, values)),
            monitored(event, **values),
        )
        clients = [await there.client() for _ in range(10)]
        for at, client in enumerate(clients):  # nine for an upstream with eight slots
            client.send(f"a{at}", "/read/hold", time_remaining_ms=30_000)
        await until(lambda: len(proxy.upstream_dispatch.queue) == 1)
        (waiting,) = (call for _, _, call in proxy.upstream_dispatch.queue._waiting)
        proxy.upstream_dispatch.queue._expiries.clear()  # its wait does not end
        shutdown = Shutdown(proxy)
        shutdown._times = replace(shutdown._times, notice_s=0.1, exit_s=0.3)
        ends = asyncio.get_running_loop().create_task(shutdown.run())
        await passed(0.5)
        refused = clients[int(waiting.call.attempt[1:])]  # type: ignore[attr-defined]
        answer = await refused.read()
        assert answer is not None and (answer.status, answer.get(b"connection")) == (503, "close")
        await soon(ends)
        assert (events.CALLS_ABANDONED, {"requests": 9, "calls": 9}) in told
        assert proxy.client_listener.held() >= 9  # the kernel closes them at the exit, without a response

    run_with_sidecar(tmp_path, test, grace_s=GRACE_S)


# Links of other sidecars


async def last_words(other: PeerSidecar) -> list[object]:
    """The heads received until the link ends or nothing more arrives."""
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
    async def test(there: SidecarRig) -> None:
        other = await PeerSidecar.connect(there)
        other.send(1, "/read/ok")
        assert isinstance(await other.next_end(), UpstreamResponse)
        other.send(2, "/read/ok")
        assert isinstance(await other.next_end(), UpstreamResponse)
        (link,) = there.proxy.incoming_links
        ends = ending(there)
        await passed(NOTICE_S + 0.1)
        words = await last_words(other)
        assert [one.last for one in words if isinstance(one, GoAway)] == [2]
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(there.peers)
        other.send(3, "/read/ok")  # crosses GoAway
        await turns()
        assert len(there.upstream.received) == 2 and link.owed_replies == 0
        other.writer.close()
        await passed(0.3)
        await soon(ends)

    run_with_sidecar(tmp_path, test, grace_s=GRACE_S)


def test_a_call_that_waits_for_a_place_at_the_exit_is_turned_away(tmp_path: Path) -> None:
    async def test(there: SidecarRig) -> None:
        keep(there)
        proxy, other = there.proxy, await PeerSidecar.connect(there)
        for number in range(1, 11):
            other.send(number, "/read/hold")
        await until(lambda: len(proxy.upstream_dispatch.queue) == 1)
        proxy.upstream_dispatch.reject_queued()
        found = await other.next_end()
        assert found == NotExecuted(RejectReason.LEAVING)
        assert len(proxy.upstream_dispatch.running) == 9
        other.writer.close()

    run_with_sidecar(tmp_path, test, grace_s=GRACE_S)


def test_a_call_whose_body_is_not_whole_at_the_exit_is_turned_away(tmp_path: Path) -> None:
    async def test(there: SidecarRig) -> None:
        other = await PeerSidecar.connect(there)
        head = peer_call("b1", "/read/ok", b"x" * 100_000).head(1, in_pieces=True)
        other.writer.write(frame(head) + frame(BodyPiece(number=1), b"x" * 1000))
        await until(lambda: bool(there.proxy.incoming_links))
        (link,) = there.proxy.incoming_links
        await until(lambda: isinstance(link.peer, IncomingCalls) and link.peer.receiving)
        assert isinstance(link.peer, IncomingCalls)
        link.peer.leave()
        assert await other.next_end() == NotExecuted(RejectReason.LEAVING)
        other.writer.write(frame(BodyPiece(number=1), b"x" * 99_000))  # the rest arrives too late
        await turns()
        assert there.upstream.received == [] and not link.peer.receiving and link.owed_replies == 0
        assert there.proxy.request_dispatcher.bodies.held_bytes == 0
        other.writer.close()

    run_with_sidecar(tmp_path, test, grace_s=GRACE_S)


def test_the_word_that_an_end_is_near_is_read_as_what_it_is() -> None:
    assert decode_from_second_hop(b'{"t":"leaving","last":7}') == GoAway(last=7)
