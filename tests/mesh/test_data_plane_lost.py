"""A link is lost with effectful calls open: they are queried, barred, answered late, or given up in time."""

from __future__ import annotations

import asyncio
import dataclasses
import io
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import pytest
from msgspec.structs import replace

from mesh.admission.buffer_budget import BufferQuota
from mesh.admission.call_sessions import CallSessions
from mesh.admission.final_check import RejectReason
from mesh.data_plane import peer_calls as module
from mesh.data_plane.call_messages import (
    Call,
    End,
    GoAway,
    GreetingReply,
    NotExecuted,
    Unclear,
    UpstreamResponse,
    end_head,
)
from mesh.data_plane.call_state import MIN_QUERY_SHARE, Event, OutgoingCall, State
from mesh.data_plane.incoming_calls import IncomingCalls
from mesh.data_plane.paced_turns import BATCH_SIZE, PAUSE_S
from mesh.data_plane.peer_calls import INCARNATION_WAIT_S, MAX_SILENT_LINKS
from mesh.data_plane.peer_links import PeerLinks
from mesh.data_plane.program import TICK_S
from mesh.data_plane.upstream_dispatch import DispatchedCall, UpstreamDispatch
from mesh.event_log.log import EventLog
from mesh.transport.frames import Head
from mesh.transport.link import SILENCE_TIMEOUT_S, Address, Link, listen
from rigs.mesh_peers import advance_clock, run_async_test, run_ready_callbacks, wait_until, with_timeout

SERVED = UpstreamResponse(200, [(b"response-seal", b"s")], b"body", True)
NOT_RUN = NotExecuted(RejectReason.LOST)
AIM_MS = 400.0


def call(attempt: str, effectful: bool = True, aim_ms: float = AIM_MS) -> Call:
    read = Call(attempt, b"POST", b"/x", [], b"", "i-1", "s", 900.0, 0.5, 20.0)
    return replace(read, effectful=effectful, aim_ms=aim_ms)


def kind_of(head: Any) -> str:
    """The tag of a frame, decoded or not."""
    return str(head["t"] if isinstance(head, dict) else type(head).__struct_config__.tag)


class StubDispatch(UpstreamDispatch):
    """A second hop that dispatches and responds when the test says so."""

    def __init__(self) -> None:
        self.taken: list[DispatchedCall] = []
        self.dropped: list[str] = []
        self.lines = False  # calls are queued
        self.bodies = BufferQuota(4096, 1024)
        self.answers = self.frames = BufferQuota(1 << 20, 1 << 20)

    def accept(self, call: Call, ended: Callable[[End], None]) -> DispatchedCall | None:
        running = DispatchedCall(call, ended, 0.0)
        running.apply(Event.NO_PLACE if self.lines else Event.PLACE)
        self.taken.append(running)
        return running

    def drop(self, running: DispatchedCall, event: Event = Event.GIVEN_UP) -> None:
        assert running.apply(event)
        self.dropped.append(running.call.attempt)

    def end(self, at: int, end: End) -> None:
        running = self.taken[at]
        assert running.apply(Event.ANSWER)
        running.on_end(end)


class RemotePeer:
    """The process beside another upstream. While it is ``deaf`` frames stay unread; ``old``: a release
    without status queries. It accepts no bodies in pieces unless ``window`` is set, like an earlier
    release."""

    def __init__(self) -> None:
        self.window = 0
        self.second = StubDispatch()
        self.sessions: CallSessions[End] = CallSessions(1000)
        self.life, self.old, self.deaf = "s1", False, False
        self.links: list[Link] = []
        self.unread: list[tuple[Link, Head, bytes]] = []
        self.heads: list[Any] = []

    async def start(self) -> None:
        self._server = await listen(
            ("127.0.0.1", 0), lambda: Link(self.links.append, self._frame, self._lost)
        )
        self.address: Address = self._server.sockets[0].getsockname()[:2]

    def _frame(self, link: Link, head: Head, body: bytes) -> None:
        if self.deaf:
            self.unread.append((link, head, body))
            return
        self.heads.append(head)
        if not (isinstance(head, dict) and head["t"] == "hello"):
            assert isinstance(link.peer, IncomingCalls)
            link.peer.handle_frame(head, body)
        elif self.old:
            link.peer = IncomingCalls(link, self.second)
        else:
            session = self.sessions.open(str(head["life"]))
            theirs = head["window"] if self.window else 0
            link.peer = IncomingCalls(link, self.second, self.sessions, session, theirs)
            link.send(GreetingReply(incarnation=self.life, window=self.window))

    def _lost(self, link: Link, why: str) -> None:
        if isinstance(link.peer, IncomingCalls):
            link.peer.link_lost()

    def hear(self) -> None:
        """Reads the frames that have stayed unread."""
        self.deaf = False
        unread, self.unread = self.unread, []
        for one in unread:
            self._frame(*one)

    def close(self) -> None:
        self._server.close()
        for link in self.links:
            link.close("over")


class Bench:
    def __init__(self) -> None:
        self.log = io.StringIO()
        self.peer_links = PeerLinks(
            "here", StubDispatch(), EventLog("t", self.log), lambda node, up: None, "f1"
        )

    def send(self, far: RemotePeer, call: Call) -> tuple[OutgoingCall, asyncio.Future[End]]:
        end: asyncio.Future[End] = asyncio.get_running_loop().create_future()  # a second end raises
        return self.peer_links.send(call, "there", far.address, end.set_result), end

    async def known(self, far: RemotePeer) -> None:
        """Opens a link and waits for the remote incarnation."""
        _, end = self.send(far, call("warm", effectful=False))
        await wait_until(lambda: len(far.second.taken) == 1)
        far.second.end(0, SERVED)
        assert await with_timeout(end) == SERVED
        advance_clock(1.0)

    async def runs(self, seconds: float, far: RemotePeer | None = None) -> None:
        """Ticks the links at the interval of the programs, also those of ``far`` if it is given."""
        for _ in range(int(seconds / TICK_S) + 1):
            advance_clock(TICK_S)
            for link in far.links if far is not None else []:
                link.tick(self.peer_links.loop.time())
            await run_ready_callbacks()
            self.peer_links.tick(self.peer_links.loop.time())
            await run_ready_callbacks()


def over(test: Callable[[Bench, RemotePeer], Awaitable[None]]) -> None:
    async def run() -> None:
        far, bench = RemotePeer(), Bench()
        await far.start()
        try:
            await test(bench, far)
            left = sum(len(running.call.body) for running in far.second.taken if not running.done)
            assert far.second.bodies.held_bytes == left
        finally:
            far.close()

    run_async_test(run)


def test_what_had_not_come_is_barred_and_its_late_copy_does_not_run() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        await bench.known(far)
        far.deaf = True
        _, end = bench.send(far, call("a1"))
        await wait_until(lambda: len(far.unread) == 1)
        bench.peer_links._links["there"].link.close("reset")  # type: ignore[union-attr]
        await wait_until(lambda: len(far.links) == 2 and len(far.unread) == 2)
        late = far.unread.pop(0)
        far.hear()
        assert await with_timeout(end) == NOT_RUN
        far._frame(*late)
        assert [running.call.attempt for running in far.second.taken] == ["warm"]

    over(test)


def test_what_waits_is_withdrawn_whichever_comes_first() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        await bench.known(far)
        far.second.lines = True
        _, end = bench.send(far, call("a1"))
        await wait_until(lambda: len(far.second.taken) == 2)
        far.links[0].close("reset")
        assert await with_timeout(end) == NOT_RUN
        assert far.second.dropped == ["a1"] and far.second.taken[1].state is State.WITHDRAWN

    over(test)


@pytest.mark.parametrize("when", ["before it is asked for", "after"])
def test_what_was_passed_on_is_answered_over_the_next_link(when: str) -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        await bench.known(far)
        _, end = bench.send(far, call("a1"))
        await wait_until(lambda: len(far.second.taken) == 2)
        if when == "after":
            far.links[0].close("reset")
            await wait_until(lambda: "ask" in [kind_of(head) for head in far.heads])
            await bench.runs(0.8, far)  # it is known to run: no timeout any more
            assert not end.done()
        else:
            far.deaf = True
            far.links[0].close("reset")
            await wait_until(lambda: len(far.unread) == 1)
        far.second.end(1, SERVED)
        far.hear()
        assert await with_timeout(end) == SERVED
        assert not far.second.dropped and far.links[-1].owed_replies == 0
        link = bench.peer_links._links["there"].link
        assert link is not None and link.expected_replies == 0

    over(test)


def test_an_end_that_was_lost_with_its_link_is_told_again() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        await bench.known(far)
        out, end = bench.send(far, call("a1"))
        await wait_until(lambda: len(far.second.taken) == 2)
        bench.peer_links._links["there"].link.close("reset")  # type: ignore[union-attr]
        far.second.end(1, SERVED)  # to a link that nobody reads
        assert await with_timeout(end) == SERVED and out.state is State.ENDED

    over(test)


def test_another_life_does_not_know() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        await bench.known(far)
        _, end = bench.send(far, call("a1"))
        await wait_until(lambda: len(far.second.taken) == 2)
        far.life = "s2"
        far.links[0].close("killed")
        assert isinstance(await with_timeout(end), Unclear)
        assert "ask" not in [kind_of(head) for head in far.heads]

    over(test)


def test_what_may_be_repeated_is_not_asked_for() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        await bench.known(far)
        _, end = bench.send(far, call("a1", effectful=False))
        await wait_until(lambda: len(far.second.taken) == 2)
        far.links[0].close("reset")
        assert isinstance(await with_timeout(end), Unclear)
        assert far.second.dropped == ["a1"]

    over(test)


@pytest.mark.parametrize(("waited_ms", "least", "most"), [(0.0, 0.4, 0.45), (390.0, 0.1, 0.15)])
def test_no_answer_in_what_the_aim_leaves_is_unclear(waited_ms: float, least: float, most: float) -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        await bench.known(far)
        _, end = bench.send(far, call("a1"))
        await wait_until(lambda: len(far.second.taken) == 2)
        advance_clock(waited_ms / 1000.0)
        far.deaf = True
        far.links[0].close("reset")
        await wait_until(lambda: len(far.links) == 2)
        began = bench.peer_links.loop.time()
        while not end.done():
            advance_clock(0.01)
            await run_ready_callbacks()
        assert isinstance(end.result(), Unclear)
        assert least - 0.05 <= bench.peer_links.loop.time() - began <= most
        assert not bench.peer_links._links["there"].to_query
        far.hear()
        await run_ready_callbacks()

    over(test)


def test_a_program_that_tells_no_life_is_not_asked() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        far.old = True
        await bench.known(far)
        _, end = bench.send(far, call("a1"))
        await wait_until(lambda: len(far.second.taken) == 2)
        far.links[0].close("reset")
        assert isinstance(await with_timeout(end), Unclear) and far.second.dropped == ["a1"]
        await bench.runs(0.2)
        await wait_until(lambda: bench.peer_links.reaches("there"))

    over(test)


def test_one_that_says_nothing_is_not_reached_and_after_some_links_taken_for_an_older_program() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        await bench.known(far)
        far.old = True
        far.links[0].close("replaced")
        await wait_until(lambda: not bench.peer_links.reaches("there"))
        await bench.runs(SILENCE_TIMEOUT_S)
        assert not bench.peer_links.reaches("there")
        for _ in range(200):
            if bench.peer_links.reaches("there"):
                break
            await bench.runs(TICK_S)
        assert bench.peer_links.reaches("there") and len(far.links) == MAX_SILENT_LINKS + 2

    over(test)


def test_what_is_effectful_waits_for_the_life_that_could_be_asked() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        far.deaf = True
        ends = [bench.send(far, call(name, effectful=name == "write"))[1] for name in ("write", "read")]
        await wait_until(lambda: len(far.unread) == 2)  # the greeting and the idempotent call
        await run_ready_callbacks()
        assert [head.get("a") for _, head, _ in far.unread] == [None, "read"]
        far.hear()
        await wait_until(lambda: len(far.second.taken) == 2)
        for at in (0, 1):
            far.second.end(at, SERVED)
        assert [await with_timeout(end) for end in ends] == [SERVED, SERVED]

    over(test)


def test_an_older_program_is_waited_for_a_moment_only() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        far.old = True
        _, end = bench.send(far, call("write"))
        await wait_until(lambda: bench.peer_links._links["there"].verified)
        await run_ready_callbacks()
        assert not far.second.taken
        advance_clock(INCARNATION_WAIT_S)
        await wait_until(lambda: len(far.second.taken) == 1)
        far.second.end(0, SERVED)
        assert await with_timeout(end) == SERVED

    over(test)


def test_who_waits_for_a_life_longer_than_for_a_link_leaves_the_node_reached() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        far.old = True
        _, end = bench.send(far, call("write"))
        await wait_until(lambda: bench.peer_links._links["there"].verified)
        bench.peer_links._links[
            "there"
        ]._reject_waiting()  # the wait for a link is over, that for the incarnation is not
        assert not end.done() and bench.peer_links.reaches("there")
        advance_clock(INCARNATION_WAIT_S)
        await wait_until(lambda: len(far.second.taken) == 1)

    over(test)


def test_who_waits_for_a_life_on_a_link_that_is_lost_has_not_left() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        far.deaf = True
        _, end = bench.send(far, call("write"))
        await wait_until(lambda: bench.peer_links._links["there"].verified)
        far.links[0].close("reset")
        assert await with_timeout(end) == NotExecuted(RejectReason.DOWN)

    over(test)


def test_where_nobody_listens_any_more_nothing_is_waited_for() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        await bench.known(far)
        _, end = bench.send(far, call("a1", aim_ms=800.0))
        await wait_until(lambda: len(far.second.taken) == 2)
        began = bench.peer_links.loop.time()
        far.close()
        assert await with_timeout(end) == Unclear("connection refused")
        assert bench.peer_links.loop.time() - began < 0.2

    over(test)


def test_a_link_that_is_lost_again_is_asked_over_the_next() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        await bench.known(far)
        _, end = bench.send(far, call("a1", aim_ms=5000.0))
        await wait_until(lambda: len(far.second.taken) == 2)
        for _ in range(3):
            links = len(far.links)
            far.links[-1].close("reset")
            await bench.runs(0.15, far)
            await wait_until(lambda links=links: len(far.links) > links)  # type: ignore[misc]
        far.second.end(1, SERVED)
        assert await with_timeout(end) == SERVED

    over(test)


def test_a_call_that_is_given_up_while_it_is_asked_for_has_no_end() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        await bench.known(far)
        out, end = bench.send(far, call("a1"))
        await wait_until(lambda: len(far.second.taken) == 2)
        far.links[0].close("reset")
        await wait_until(lambda: out.state is State.UNCLEAR)
        bench.peer_links.drop(out)
        await bench.runs(1.0)
        assert not end.done() and not bench.peer_links._links["there"].to_query
        assert out.state is State.WITHDRAWN

    over(test)


def test_second_tries_after_a_loss_of_all_links_come_in_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        await bench.known(far)
        ends = [bench.send(far, call(f"a{at}", effectful=False))[1] for at in range(3 * BATCH_SIZE)]
        await wait_until(lambda: len(far.second.taken) == 1 + len(ends))
        far.links[0].close("reset")
        await wait_until(lambda: any(end.done() for end in ends))
        seen = [sum(end.done() for end in ends)]
        while seen[-1] < len(ends):
            advance_clock(PAUSE_S)
            await run_ready_callbacks()
            seen.append(sum(end.done() for end in ends))
        steps = [after - before for before, after in zip([0, *seen], seen, strict=False)]
        assert max(steps) <= BATCH_SIZE, seen
        assert not bench.peer_links.turns

    over(test)


def test_a_second_copy_of_a_call_is_not_taken() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        await bench.known(far)
        _, end = bench.send(far, call("a1"))
        await wait_until(lambda: len(far.second.taken) == 2)
        incoming = far.links[0].peer
        assert isinstance(incoming, IncomingCalls)
        incoming.handle_frame(call("a1").head(2), b"")
        assert len(far.second.taken) == 2
        far.second.end(1, SERVED)
        assert await with_timeout(end) == SERVED

    over(test)


def test_two_calls_with_one_id_have_each_its_own_answer() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        await bench.known(far)
        ends = [bench.send(far, call("same"))[1] for _ in range(2)]
        await wait_until(lambda: len(far.second.taken) == 3)
        far.links[0].close("reset")
        await wait_until(lambda: [kind_of(head) for head in far.heads].count("ask") == 2)
        for at in (2, 1):
            far.second.end(at, dataclasses.replace(SERVED, body=b"%d" % at))
        assert [(await with_timeout(end)) for end in ends] == [
            dataclasses.replace(SERVED, body=b"%d" % at) for at in (1, 2)
        ]

    over(test)


def test_an_unreadable_end_leaves_its_call_to_be_asked_for() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        await bench.known(far)
        _, end = bench.send(far, call("a1"))
        await wait_until(lambda: len(far.second.taken) == 2)
        far.links[0].send({**msgspec.to_builtins(end_head(2, NOT_RUN)[0]), "w": "no such word"})
        await wait_until(lambda: "ask" in [kind_of(head) for head in far.heads])
        far.second.end(1, SERVED)
        assert await with_timeout(end) == SERVED
        assert module.IDLE not in bench.log.getvalue()

    over(test)


@pytest.mark.parametrize("others", [0, 40, 120])
def test_a_question_does_not_wait_behind_second_tries(others: int) -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        await bench.known(far)
        far.deaf = True
        for at in range(others):
            bench.send(far, call(f"r{at}", effectful=False))
        _, end = bench.send(far, call("pay", aim_ms=400.0))
        await wait_until(lambda: len(far.unread) == others + 1)
        advance_clock(SILENCE_TIMEOUT_S)  # the aim is over: a quarter of it is left for queries
        far.unread.clear()  # the calls are never read
        far.deaf = False
        bench.peer_links._links["there"].link.close("silent")
        for _ in range(200):
            await run_ready_callbacks()
            if any(kind_of(head) == "ask" for head in far.heads) or end.done():
                break
            bench.peer_links.tick(bench.peer_links.loop.time())
            advance_clock(0.002)
        for _ in range(50):
            await run_ready_callbacks()
        assert isinstance(await with_timeout(end), NotExecuted), (others, end)

    assert MIN_QUERY_SHARE * 400.0 == 100.0
    over(test)


# Shutdown of the second hop


@pytest.mark.parametrize("effectful", [True, False])
def test_what_an_ending_second_hop_had_not_read_has_not_run_and_may_go_elsewhere(effectful: bool) -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        await bench.known(far)
        _, taken = bench.send(far, call("a1", effectful))
        await wait_until(lambda: len(far.second.taken) == 2)
        far.deaf = True
        _, unread = bench.send(far, call("a2", effectful))
        await wait_until(lambda: len(far.unread) == 1)
        (link,) = far.links
        link.peer.leave()
        assert await with_timeout(unread) == NotExecuted(RejectReason.LEAVING)
        assert not bench.peer_links.reaches("there")
        far.hear()  # the late copy
        assert [running.call.attempt for running in far.second.taken] == ["warm", "a1"]
        await wait_until(lambda: not link.up)  # the first hop has read GoAway, and closes the link
        if effectful:  # queried over the next link, as its end may still come
            await bench.runs(0.1, far)
            far.second.end(1, SERVED)
            assert await with_timeout(taken) == SERVED
        else:
            assert isinstance(await with_timeout(taken), Unclear)

    over(test)


def test_what_is_sent_again_at_once_is_not_written_to_the_one_that_ends() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        await bench.known(far)
        far.deaf = True
        again: asyncio.Future[End] = asyncio.get_running_loop().create_future()

        def ended(_: End) -> None:
            bench.peer_links.send(call("a1"), "there", far.address, again.set_result)

        bench.peer_links.send(call("a1"), "there", far.address, ended)
        await wait_until(lambda: len(far.unread) == 1)
        far.links[0].peer.leave()
        assert await with_timeout(again) == NotExecuted(RejectReason.DOWN)
        await run_ready_callbacks()
        assert len(far.unread) == 1

    over(test)


def test_a_call_of_an_earlier_link_is_not_taken_for_one_that_never_came() -> None:
    """The call's number says nothing about the link over which it is queried."""

    async def test(bench: Bench, far: RemotePeer) -> None:
        await bench.known(far)
        out, end = bench.send(far, call("a1"))
        await wait_until(lambda: len(far.second.taken) == 2)
        far.deaf = True
        far.links[0].close("reset")
        await wait_until(lambda: len(far.unread) == 1)  # the greeting
        far.links[-1].send(GreetingReply(incarnation="s1"))
        await wait_until(lambda: out.number in bench.peer_links._links["there"].open_calls)  # it is queried
        far.links[-1].send(GoAway(last=0))
        await wait_until(lambda: not far.links[-1].up)
        assert not end.done()
        far.unread.clear()
        far.deaf = False
        await bench.runs(0.2, far)
        far.second.end(1, SERVED)
        assert await with_timeout(end) == SERVED

    over(test)
