"""Calls over links: how each ends when its link is lost, down or replaced; and the second hop's end of a
link."""

from __future__ import annotations

import asyncio
import io
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from msgspec.structs import replace

from mesh.admission.buffer_budget import BufferQuota
from mesh.admission.final_check import RejectReason
from mesh.data_plane.call_messages import Call, End, NotExecuted, Unclear, UpstreamResponse, end_head
from mesh.data_plane.call_state import Event, OutgoingCall
from mesh.data_plane.incoming_calls import IncomingCalls
from mesh.data_plane.peer_calls import CONNECT_WAIT_S, IDLE_S, RECONNECT_S
from mesh.data_plane.peer_links import PeerLinks
from mesh.data_plane.program import TICK_S, Proxy
from mesh.data_plane.upstream_dispatch import DispatchedCall, UpstreamDispatch
from mesh.event_log.log import EventLog
from mesh.membership.instance_commands import Heartbeat, read_heartbeat
from mesh.runtime.settings import Settings, parse_settings
from mesh.transport.frames import Head
from mesh.transport.link import SILENCE_TIMEOUT_S, Address, Link, listen
from rigs.mesh_peers import (
    Upstream,
    advance_clock,
    free_ports,
    run_async_test,
    run_ready_callbacks,
    wait_until,
    with_timeout,
    write_settings,
)

SERVED = UpstreamResponse(200, [(b"response-seal", b"s")], b"body\x00", True)


def call(attempt: str, body: bytes = b"") -> Call:
    return Call(attempt, b"POST", b"/x?q=\xe9", [(b"x-own", b"\xff")], body, "i-1", "s", 700.0, 0.5, 20.0)


class StubDispatch(UpstreamDispatch):
    """A second hop that responds when the test says so."""

    def __init__(self) -> None:
        self.taken: asyncio.Queue[DispatchedCall] = asyncio.Queue()
        self.dropped: list[str] = []
        self.full = False
        self.bodies = BufferQuota(4096, 1024)
        self.answers = self.frames = BufferQuota(1 << 20, 1 << 20)

    def accept(self, call: Call, ended: Callable[[End], None]) -> DispatchedCall | None:
        if self.full:
            ended(NotExecuted(RejectReason.FULL))
            return None
        running = DispatchedCall(call, ended, 0.0)
        self.taken.put_nowait(running)
        return running

    def drop(self, running: DispatchedCall, event: Event = Event.GIVEN_UP) -> None:
        self.dropped.append(running.call.attempt)


class RemotePeer:
    """The process beside another upstream; with ``second`` it has real `IncomingCalls`."""

    def __init__(self, second: StubDispatch | None = None) -> None:
        self.second = second
        self.frames: asyncio.Queue[tuple[Link, Head, bytes]] = asyncio.Queue()
        self.links: list[Link] = []
        self.lost = 0

    async def start(self, port: int = 0) -> None:
        self._server = await listen(
            ("127.0.0.1", port), lambda: Link(self.links.append, self._frame, self._lost)
        )
        self.address: Address = self._server.sockets[0].getsockname()[:2]

    def _frame(self, link: Link, head: Head, body: bytes) -> None:
        if isinstance(link.peer, IncomingCalls):
            link.peer.handle_frame(head, body)
        elif self.second is not None and head["t"] == "hello":
            link.peer = IncomingCalls(link, self.second)
        else:
            self.frames.put_nowait((link, head, body))

    def _lost(self, link: Link, why: str) -> None:
        self.lost += 1

    async def next(self) -> tuple[Link, Head, bytes]:
        """The next frame after a greeting."""
        found = await with_timeout(self.frames.get())
        return found if found[1]["t"] != "hello" else await self.next()

    def close(self) -> None:
        self._server.close()
        for link in self.links:
            link.close("over")


class Bench:
    def __init__(self) -> None:
        self.local = StubDispatch()
        self.reached: list[tuple[str, bool]] = []  # arguments of on_reachable
        self.peer_links = PeerLinks(
            "here", self.local, EventLog("t", io.StringIO()), lambda node, up: self.reached.append((node, up))
        )

    def tick(self) -> None:
        self.peer_links.tick(self.peer_links.loop.time())

    async def comes_back(self) -> None:
        """A link that is down reconnects by itself."""
        advance_clock(RECONNECT_S + 0.01)
        self.tick()
        await wait_until(lambda: self.peer_links.reaches("there"))

    def send(
        self, attempt: str, address: Address | None, node: str = "there", body: bytes = b""
    ) -> tuple[OutgoingCall, asyncio.Future[End]]:
        end: asyncio.Future[End] = asyncio.get_running_loop().create_future()  # a second end raises
        return self.peer_links.send(call(attempt, body), node, address, end.set_result), end


def run_with_remote_peer(test: Callable[[Bench, RemotePeer], Awaitable[None]], real: bool = False) -> None:
    """``real``: the remote end has `IncomingCalls`."""

    async def run() -> None:
        far, bench = RemotePeer(StubDispatch() if real else None), Bench()
        await far.start()
        try:
            await test(bench, far)
        finally:
            far.close()

    run_async_test(run)


def test_a_call_and_its_end_cross_the_link_unchanged() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        assert far.second is not None
        bench.peer_links.open_early("there", far.address)  # waiting for the link is charged to the call
        await wait_until(lambda: bench.peer_links._links["there"].verified)
        _, end = bench.send("a1", far.address, body=b"\x00,:")
        running = await with_timeout(far.second.taken.get())
        assert running.call == call("a1", b"\x00,:")
        assert far.links[0].owed_replies == 1
        running.on_end(SERVED)
        assert await with_timeout(end) == SERVED
        for told in (
            NotExecuted(RejectReason.LEAVING),
            NotExecuted(RejectReason.OTHER, reached_upstream=True),
            Unclear("why"),
        ):
            _, end = bench.send("a2", far.address)
            (await with_timeout(far.second.taken.get())).on_end(told)
            assert await with_timeout(end) == told
        assert len(far.links) == 1 and far.links[0].owed_replies == 0
        link = bench.peer_links._links["there"].link
        assert link is not None and link.expected_replies == 0

    run_with_remote_peer(test, real=True)


def test_a_link_that_is_lost_leaves_all_calls_that_are_out_unclear() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        ends = [bench.send(f"a{at}", far.address)[1] for at in range(3)]
        frames = [await far.next() for _ in ends]
        link, head, _ = frames[1]
        link.send(*end_head(head["n"], SERVED))
        assert await with_timeout(ends[1]) == SERVED
        link.close("cut")
        for end in ends[0], ends[2]:
            assert isinstance(await with_timeout(end), Unclear)
        assert not bench.peer_links.reaches("there") and bench.reached == [("there", False)]
        assert bench.send("b", far.address)[1].result() == NotExecuted(RejectReason.DOWN)
        bench.tick()  # not at once
        await run_ready_callbacks()
        assert len(far.links) == 1
        await bench.comes_back()
        assert bench.reached == [("there", False), ("there", True)]
        _, end = bench.send("c", far.address)
        link, head, _ = await far.next()
        link.send(*end_head(head["n"], SERVED))
        assert await with_timeout(end) == SERVED and len(far.links) == 2

    run_with_remote_peer(test)


def test_silence_while_calls_are_out_is_a_loss() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        _, first = bench.send("a1", far.address)
        link, head, _ = await far.next()
        link.send(*end_head(head["n"], SERVED))
        await with_timeout(first)
        advance_clock(5.0)  # no call is open, so silence does not count
        _, end = bench.send("a2", far.address)
        bench.tick()
        await far.next()
        assert not end.done()
        for _ in range(int((SILENCE_TIMEOUT_S + 0.1) / TICK_S) + 1):  # at the interval of the program
            advance_clock(TICK_S)
            bench.tick()
        assert await with_timeout(end) == Unclear("silent")

    run_with_remote_peer(test)


def test_a_second_hop_that_owes_is_not_silent() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        assert far.second is not None
        _, end = bench.send("a1", far.address)
        running = await with_timeout(far.second.taken.get())
        for _ in range(4):
            advance_clock(0.8 * SILENCE_TIMEOUT_S)
            link = bench.peer_links._links["there"].link
            assert link is not None
            heard = link.last_received_at
            far.links[0].tick(bench.peer_links.loop.time())
            await wait_until(lambda link=link, heard=heard: link.last_received_at > heard)  # type: ignore[misc]
            bench.tick()
        running.on_end(SERVED)
        assert await with_timeout(end) == SERVED

    run_with_remote_peer(test, real=True)


def test_a_link_that_does_not_come_up_turns_away_what_waits_and_at_once_what_comes_next() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        far.close()
        await run_ready_callbacks()
        ends = [bench.send(f"a{at}", far.address)[1] for at in range(2)]
        for end in ends:
            assert await with_timeout(end) == NotExecuted(RejectReason.DOWN)
        assert bench.send("b", far.address)[1].result() == NotExecuted(
            RejectReason.DOWN
        )  # without an attempt
        assert bench.send("c", None)[1].result() == NotExecuted(RejectReason.DOWN)
        assert bench.reached == [("there", False)]  # once
        await far.start(far.address[1])
        await bench.comes_back()
        _, end = bench.send("d", far.address)
        link, head, _ = await far.next()
        link.send(*end_head(head["n"], SERVED))
        assert await with_timeout(end) == SERVED

    run_with_remote_peer(test)


def test_calls_wait_for_a_link_that_hangs_for_a_moment_only() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        async def hang(*_: object) -> None:
            await asyncio.get_running_loop().create_future()

        loop = bench.peer_links.loop
        connects, loop.create_connection = loop.create_connection, hang  # type: ignore[method-assign,assignment]
        _, end = bench.send("a1", far.address)
        await run_ready_callbacks()
        assert not end.done()
        advance_clock(CONNECT_WAIT_S + 0.01)
        await run_ready_callbacks()
        assert end.result() == NotExecuted(RejectReason.DOWN)
        assert bench.reached == [("there", False)]
        loop.create_connection = connects  # type: ignore[method-assign]
        advance_clock(1.0)  # the connect times out
        await wait_until(lambda: bench.peer_links._links["there"].connecting is None)
        await bench.comes_back()
        assert not far.frames.qsize() or (await with_timeout(far.frames.get()))[1]["t"] == "hello"

    run_with_remote_peer(test)


def test_calls_that_wait_for_a_link_go_over_it_when_it_is_up() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        sent = [bench.send(f"a{at}", far.address) for at in range(3)]
        bench.peer_links.drop(sent[1][0])
        found = [(await far.next())[1]["a"] for _ in range(2)]
        assert found == ["a0", "a2"] and len(far.links) == 1
        assert not sent[1][1].done()

    run_with_remote_peer(test)


def test_what_a_call_waited_for_its_link_is_taken_off_what_the_second_hop_is_told_is_left() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        loop, goes_on = bench.peer_links.loop, asyncio.Event()
        connects = loop.create_connection

        async def late(*arguments: Any) -> Any:
            await goes_on.wait()
            return await connects(*arguments)

        loop.create_connection = late  # type: ignore[method-assign,assignment]
        _, end = bench.send("a1", far.address)
        await run_ready_callbacks()
        advance_clock(0.5 * CONNECT_WAIT_S)
        goes_on.set()
        assert far.second is not None
        told, began = (await with_timeout(far.second.taken.get())).call, call("a1")
        least = 500.0 * CONNECT_WAIT_S - 1.0  # ages are sent as whole milliseconds
        most = 1000.0 * CONNECT_WAIT_S
        waited = (
            began.remaining_ms - told.remaining_ms,
            began.max_wait_ms - told.max_wait_ms,
            began.extended_wait_ms - told.extended_wait_ms,
            told.age_ms,
        )
        assert all(least <= waited_ms <= most for waited_ms in waited), waited
        assert not end.done()

    run_with_remote_peer(test, real=True)


def test_a_drop_crosses_the_link() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        assert far.second is not None
        out, end = bench.send("a1", far.address)
        running = await with_timeout(far.second.taken.get())
        bench.peer_links.drop(out)
        await wait_until(lambda: far.second is not None and far.second.dropped == ["a1"])
        link = bench.peer_links._links["there"].link
        assert link is not None and (link.expected_replies, far.links[0].owed_replies) == (0, 0)
        bench.peer_links.drop(out)  # without effect
        _, other = bench.send("a2", far.address)
        (await with_timeout(far.second.taken.get())).on_end(SERVED)
        assert await with_timeout(other) == SERVED
        assert not end.done() and far.second.dropped == ["a1"]
        assert running.call.attempt == "a1"

    run_with_remote_peer(test, real=True)


def test_an_answer_that_crosses_a_drop_is_nobodys() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        out, end = bench.send("a1", far.address)
        link, head, _ = await far.next()
        bench.peer_links.drop(out)
        link.send(*end_head(head["n"], SERVED))
        _, other = bench.send("a2", far.address)
        while (found := await far.next())[1]["t"] != "call":
            pass
        link.send(*end_head(found[1]["n"], Unclear("x")))
        assert await with_timeout(other) == Unclear("x")
        assert not end.done()

    run_with_remote_peer(test)


def test_calls_in_hand_over_one_link_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(IncomingCalls, "MAX_OPEN_CALLS", 3)

    async def test(bench: Bench, far: RemotePeer) -> None:
        assert far.second is not None
        ends = [bench.send(f"a{at}", far.address)[1] for at in range(4)]
        assert await with_timeout(ends[3]) == NotExecuted(RejectReason.FULL)
        runnings = [await with_timeout(far.second.taken.get()) for _ in range(3)]
        assert far.second.taken.empty() and far.links[0].owed_replies == 3
        runnings[0].on_end(SERVED)
        assert await with_timeout(ends[0]) == SERVED
        bench.send("b", far.address)
        assert (await with_timeout(far.second.taken.get())).call.attempt == "b"
        far.second.full = True
        assert await with_timeout(bench.send("c", far.address)[1]) == NotExecuted(RejectReason.FULL)
        assert far.links[0].owed_replies == 3

    run_with_remote_peer(test, real=True)


def test_bodies_in_hand_are_bounded_together_and_counted_to_their_ends() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        assert far.second is not None
        bodies = far.second.bodies  # 2,048 bytes, at most 1,024 for one body
        first = [bench.send(f"a{at}", far.address, body=b"x" * 900) for at in range(3)]
        assert await with_timeout(first[2][1]) == NotExecuted(RejectReason.FULL) and bodies.held_bytes == 1800
        assert await with_timeout(bench.send("b", far.address, body=b"x" * 1025)[1]) == NotExecuted(
            RejectReason.FULL
        )
        (await with_timeout(far.second.taken.get())).on_end(SERVED)
        assert await with_timeout(first[0][1]) == SERVED
        bench.peer_links.drop(first[1][0])
        await wait_until(lambda: bodies.held_bytes == 0)
        bench.send("c", far.address, body=b"x" * 900)
        await wait_until(lambda: bodies.held_bytes == 900)
        far.second.full = True
        assert await with_timeout(bench.send("d", far.address, body=b"x" * 900)[1]) == NotExecuted(
            RejectReason.FULL
        )
        assert bodies.held_bytes == 900
        link = bench.peer_links._links["there"].link
        assert link is not None and isinstance(far.links[0].peer, IncomingCalls)
        far.links[0].peer.link_lost()
        assert bodies.held_bytes == 0

    run_with_remote_peer(test, real=True)


def test_a_node_that_has_moved_gets_a_new_link_and_the_old_ones_calls_are_unclear() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        moved = RemotePeer()
        await moved.start()
        _, old = bench.send("a1", far.address)
        await far.next()
        _, new = bench.send("a2", moved.address)
        assert isinstance(await with_timeout(old), Unclear)
        link, head, _ = await moved.next()
        assert head["a"] == "a2"
        link.send(*end_head(head["n"], SERVED))
        assert await with_timeout(new) == SERVED
        await wait_until(lambda: far.lost == 1)
        bench.peer_links.forget("there")
        await wait_until(lambda: moved.lost == 1)
        moved.close()

    run_with_remote_peer(test)


def test_a_link_that_carries_nothing_is_closed_and_one_that_does_is_not() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        _, end = bench.send("a1", far.address)
        link, head, _ = await far.next()
        heard = bench.peer_links.loop.time() + IDLE_S + 1.0
        outgoing = bench.peer_links._links["there"].link
        assert outgoing is not None
        advance_clock(IDLE_S + 1.0)
        outgoing.last_received_at = heard  # a keep-alive has arrived meanwhile
        bench.tick()
        assert outgoing.up
        link.send(*end_head(head["n"], SERVED))
        assert await with_timeout(end) == SERVED
        bench.tick()
        await wait_until(lambda: far.lost == 1 and not outgoing.up)
        await run_ready_callbacks()
        assert bench.peer_links.reaches("there") and not bench.reached

    run_with_remote_peer(test)


def test_calls_for_this_machine_take_no_link() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        out, end = bench.send("a1", None, node="here")
        assert (await with_timeout(bench.local.taken.get())).call == call("a1")
        bench.peer_links.drop(out)
        assert bench.local.dropped == ["a1"] and not end.done()
        bench.local.full = True
        assert bench.send("a2", None, node="here")[1].result() == NotExecuted(RejectReason.FULL)

    run_with_remote_peer(test)


def test_an_end_that_cannot_be_read_leaves_its_call_unclear() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        _, end = bench.send("a1", far.address)
        link, head, _ = await far.next()
        link.send({"t": "end", "n": head["n"], "w": "no such word", "v": False})
        await wait_until(lambda: far.lost == 1)
        assert isinstance(await asyncio.wait_for(end, 0.2), Unclear)

    run_with_remote_peer(test)


def test_a_link_that_comes_up_for_an_address_that_is_old_by_then_does_not_stay() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        moved = RemotePeer()
        await moved.start()
        _, old = bench.send("a1", far.address)
        bench.send("a2", moved.address)
        await moved.next()
        try:
            assert isinstance(await asyncio.wait_for(old, 0.2), NotExecuted | Unclear)
        except TimeoutError:
            raise AssertionError("what waited for the old address waits on") from None
        finally:
            moved.close()

    run_with_remote_peer(test)


def test_calls_whose_first_hop_is_lost_are_dropped(tmp_path: Path) -> None:
    """The first hop has given them up and may have sent them elsewhere, so queued calls must not run any
    more."""

    async def test(bench: Bench, far: RemotePeer) -> None:
        upstream = Upstream(behavior=lambda _: "hold", capacity=1)
        await upstream.start()
        ports = free_ports(["127.0.0.1"], 4)
        file = tmp_path / "side.toml"
        write_settings(
            file, "n1", "127.0.0.1", "auxiliary", ports, ["127.0.0.1"], upstream.address, upstream.service
        )
        told = parse_settings(file.read_text())
        assert isinstance(told, Settings), told
        proxy = Proxy(told, EventLog("t", io.StringIO()))  # not started: no port is opened
        heartbeat = read_heartbeat(upstream.instance, upstream.heartbeat_body())
        assert isinstance(heartbeat, Heartbeat)
        proxy.upstream.on_heartbeat(proxy.balancers.now(), heartbeat)
        link = Link(lambda _: None, proxy._on_frame, proxy._on_link_lost)
        proxy._on_frame(link, {"t": "hello", "node": "n2", "for": "calls"}, b"")
        for number in range(3):
            head = replace(call(f"a{number}"), target=b"/x", max_wait_ms=500.0).head(number)
            proxy._on_frame(link, head, b"")
        await wait_until(lambda: len(upstream.received) == 2)
        proxy._on_link_lost(link, "cut")
        try:
            assert not proxy.upstream_dispatch.running and not len(proxy.upstream_dispatch.queue)
        finally:
            upstream.close()
            proxy.upstream_connections.close()
            await run_ready_callbacks()

    run_with_remote_peer(test)
