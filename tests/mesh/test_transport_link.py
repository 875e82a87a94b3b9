"""Heartbeats, silence and loss of a link."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from mesh.data_plane.program import TICK_S
from mesh.transport import link as module
from mesh.transport.frames import Head, frame
from mesh.transport.link import HEARTBEAT, HEARTBEAT_INTERVAL_S, SILENCE_TIMEOUT_S, Link, connect, listen
from rigs.mesh_peers import advance_clock, run_async_test, wait_until, with_timeout


class End:
    """One end of a link, with the events that it reported."""

    def __init__(self) -> None:
        self.frames: asyncio.Queue[tuple[Head, bytes]] = asyncio.Queue()
        self.lost: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self.ups = 0

    def make(self) -> Link:
        self.link = Link(self._up, lambda _, head, body: self.frames.put_nowait((head, body)), self._lost)
        return self.link

    def _up(self, link: Link) -> None:
        self.ups += 1

    def _lost(self, link: Link, reason: str) -> None:
        self.lost.set_result(reason)  # a second call would raise


class RawPeer:
    """A peer without a Link: it reads only when the test does."""

    def __init__(self) -> None:
        self.connected: asyncio.Future[asyncio.StreamWriter] = asyncio.get_running_loop().create_future()

    async def take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.connected.set_result(writer)


def run_against_raw_peer(test: Callable[[End, RawPeer, asyncio.StreamWriter], Awaitable[None]]) -> None:
    """Runs the test with a link that is up and a raw peer."""

    async def run() -> None:
        peer, end = RawPeer(), End()
        server = await asyncio.start_server(peer.take, "127.0.0.1", 0, limit=1024)
        try:
            link = await with_timeout(connect(server.sockets[0].getsockname()[:2], end.make))
            assert link is end.link and link.up
            writer = await with_timeout(peer.connected)
            await test(end, peer, writer)
            writer.transport.abort()
            end.link.close("over")
        finally:
            server.close()

    run_async_test(run)


def test_two_links_tell_each_other_whole_frames_and_the_loss_once() -> None:
    async def run() -> None:
        here, there = End(), End()
        server = await listen(("127.0.0.1", 0), there.make)
        assert await with_timeout(connect(server.sockets[0].getsockname()[:2], here.make)) is not None
        here.link.send({"t": "a"}, b"x" * 300_000)
        here.link.tick(here.link.last_sent_at + 1.0)  # owes no reply: no heartbeat
        here.link.send({"t": "b"})
        assert await with_timeout(there.frames.get()) == ({"t": "a", "body": 300_000}, b"x" * 300_000)
        assert await with_timeout(there.frames.get()) == ({"t": "b"}, b"")
        here.link.close("done with it")
        assert await with_timeout(here.lost) == "done with it"
        await with_timeout(there.lost)
        assert not here.link.up and not here.link.send({"t": "c"})
        assert (here.ups, there.ups) == (1, 1)
        server.close()

    run_async_test(run)


def tick_until(link: Link, deadline: float) -> None:
    """Calls ``tick`` at the programs' interval up to this time."""
    now = link.last_received_at
    while (now := now + TICK_S) < deadline:
        link.tick(now)
    link.tick(deadline)


def test_silence_ends_a_link_that_expects_and_no_idle_one() -> None:
    async def test(end: End, peer: RawPeer, writer: asyncio.StreamWriter) -> None:
        link = end.link
        tick_until(link, link.last_received_at + 100.0)  # expects no reply
        assert link.up
        link.expected_replies = 1
        tick_until(link, link.last_received_at + SILENCE_TIMEOUT_S - 1e-3)
        assert link.up
        received_at = link.last_received_at
        advance_clock(0.5 * SILENCE_TIMEOUT_S)
        writer.write(HEARTBEAT)  # any byte counts; a heartbeat is not passed to the owner
        await wait_until(lambda: link.last_received_at > received_at)
        tick_until(link, received_at + SILENCE_TIMEOUT_S + 1e-6)
        assert link.up and end.frames.empty()
        tick_until(link, link.last_received_at + 1.01 * SILENCE_TIMEOUT_S)
        assert not link.up
        assert await with_timeout(end.lost) == "silent"

    run_against_raw_peer(test)


def test_a_steady_link_is_ended_by_silence_too() -> None:
    async def test(end: End, peer: RawPeer, writer: asyncio.StreamWriter) -> None:
        end.link.mutual_heartbeat = True
        tick_until(end.link, end.link.last_received_at + 1.01 * SILENCE_TIMEOUT_S)
        assert await with_timeout(end.lost) == "silent"

    run_against_raw_peer(test)


def test_an_end_that_stood_still_itself_takes_that_for_no_silence_once() -> None:
    async def test(end: End, peer: RawPeer, writer: asyncio.StreamWriter) -> None:
        link = end.link
        link.expected_replies = 1
        resumed_at = link.last_received_at + 5.0
        link.tick(resumed_at)  # bytes received meanwhile are still unread
        assert link.up
        tick_until(link, resumed_at + SILENCE_TIMEOUT_S - 1e-3)
        assert link.up
        tick_until(link, resumed_at + 1.01 * SILENCE_TIMEOUT_S)
        assert not link.up

        assert await with_timeout(end.lost) == "silent"

    run_against_raw_peer(test)


def test_an_end_that_stands_still_again_and_again_has_no_second_excuse() -> None:
    async def test(end: End, peer: RawPeer, writer: asyncio.StreamWriter) -> None:
        link = end.link
        link.expected_replies = 1
        started = link.last_received_at
        for at in range(1, 4):
            link.tick(started + 0.45 * at)
        assert not link.up
        assert await with_timeout(end.lost) == "silent"

    run_against_raw_peer(test)


def test_who_owes_beats_and_who_does_not_is_still() -> None:
    async def test(end: End, peer: RawPeer, writer: asyncio.StreamWriter) -> None:
        link = end.link
        link.tick(link.last_sent_at + 100.0)
        link.owed_replies = 1
        at = link.last_sent_at
        link.tick(at + 0.9 * HEARTBEAT_INTERVAL_S)
        link.tick(at + 1.1 * HEARTBEAT_INTERVAL_S)
        link.tick(at + 1.5 * HEARTBEAT_INTERVAL_S)  # less than a heartbeat interval later
        link.tick(at + 2.2 * HEARTBEAT_INTERVAL_S)
        link.owed_replies, link.mutual_heartbeat = 0, True
        link.tick(at + 3.3 * HEARTBEAT_INTERVAL_S)
        link.send({"t": "last"})
        last = frame({"t": "last"})
        assert await with_timeout(peer.reader.readuntil(last)) == 3 * HEARTBEAT + last

    run_against_raw_peer(test)


def test_a_peer_that_does_not_read_is_ended_at_the_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MAX_UNSENT_BYTES", 200_000)

    async def test(end: End, peer: RawPeer, writer: asyncio.StreamWriter) -> None:
        link, part, most = end.link, b"x" * 50_000, 0
        for _ in range(1000):  # the kernel accepts some megabytes first
            if not link.send({"t": "x"}, part):
                break
            most = max(most, link.unsent)
        assert not link.up
        assert 200_000 < most < 200_000 + 2 * len(part)
        assert await with_timeout(end.lost) == "the other end does not read"

    run_against_raw_peer(test)


def test_bytes_that_are_no_frame_end_the_link_and_nothing_of_it_is_told() -> None:
    async def test(end: End, peer: RawPeer, writer: asyncio.StreamWriter) -> None:
        writer.write(frame({"t": "good"}))
        assert (await with_timeout(end.frames.get()))[0] == {"t": "good"}
        writer.write(b"what?")
        writer.write(b" is this")
        assert (await with_timeout(end.lost)).startswith("bad frame: ")
        assert end.frames.empty()

    run_against_raw_peer(test)


def test_frames_behind_one_that_made_its_owner_close_are_not_told() -> None:
    async def test(end: End, peer: RawPeer, writer: asyncio.StreamWriter) -> None:
        seen: list[Head] = []

        def take(link: Link, head: Head, body: bytes) -> None:
            seen.append(head)
            link.close("enough")

        end.link._on_frame = take
        writer.write(frame({"n": 1}) + frame({"n": 2}))
        assert await with_timeout(end.lost) == "enough"
        assert seen == [{"n": 1}]

    run_against_raw_peer(test)


def test_nobody_there_is_no_link() -> None:
    async def run() -> None:
        server = await listen(("127.0.0.1", 0), End().make)
        address = server.sockets[0].getsockname()[:2]
        server.close()
        await server.wait_closed()
        assert await with_timeout(connect(address, End().make)) is None

    run_async_test(run)


def test_frames_behind_long_ones_do_not_end_the_link_and_a_peer_that_reads_is_not_silent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(module, "MAX_UNSENT_BYTES", 200_000)

    async def test(end: End, peer: RawPeer, writer: asyncio.StreamWriter) -> None:
        link, long = end.link, b"x" * 8_000_000
        link.expected_replies = 1
        assert link.send({"t": "x"}, long) and link.send({"t": "x"}, long)
        assert link.unsent > 200_000 and link.send({"t": "y"})
        for _ in range(4):  # the transfer takes long, and the peer sends nothing meanwhile
            link.tick(end.link._loop.time())
            before = link.unsent
            for _ in range(40):
                await peer.reader.read(65536)
            await wait_until(lambda before=before: link.unsent < before)  # type: ignore[misc]
            advance_clock(0.8 * SILENCE_TIMEOUT_S)
        assert link.up
        advance_clock(1.1 * SILENCE_TIMEOUT_S)
        link.tick(end.link._loop.time())  # the peer has read in between
        link.tick(end.link._loop.time() + 1.1 * SILENCE_TIMEOUT_S)
        assert await with_timeout(end.lost) == "silent"

    run_against_raw_peer(test)
