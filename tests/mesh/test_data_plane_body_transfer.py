"""Long bodies over links: in pieces if both ends support them, whole with an earlier release; and how a call
ends when the link, the other hop or the client is lost midway."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from msgspec.structs import replace
from test_data_plane_lost import NOT_RUN, SERVED, Bench, RemotePeer, call, kind_of
from test_data_plane_lost import over as over_earlier

from mesh.admission.buffer_budget import LONG_BODY_SHARE, BufferQuota
from mesh.admission.final_check import RejectReason
from mesh.data_plane.call_messages import BodyPiece, End, NotExecuted, StatusQuery, Unclear
from mesh.data_plane.call_state import OutgoingCall, State
from mesh.data_plane.incoming_calls import IncomingCalls
from mesh.data_plane.peer_calls import INCARNATION_WAIT_S
from mesh.transport.body_pieces import PIECE_BYTES, WINDOW_BYTES
from mesh.transport.frames import MAX_NETSTRING_BYTES
from mesh.transport.link import Link
from rigs.mesh_peers import advance_clock, run_ready_callbacks, wait_until, with_timeout

LONG = bytes(range(256)) * (20 * WINDOW_BYTES // 256)
ROOM = 256 * 1024 * 1024
Test = Callable[[Bench, RemotePeer], Awaitable[None]]


def enlarge_buffers(bench: Bench, far: RemotePeer) -> None:
    for hop in bench.peer_links.local, far.second:
        hop.bodies, hop.answers, hop.frames = (BufferQuota(ROOM, ROOM) for _ in range(3))


def run_with_long_bodies(test: Test) -> None:
    """Runs a test between two ends that support bodies in pieces and have much memory."""

    async def run(bench: Bench, far: RemotePeer) -> None:
        far.window = WINDOW_BYTES
        enlarge_buffers(bench, far)
        await bench.known(far)
        await test(bench, far)
        answers = bench.peer_links.local.answers
        await wait_until(lambda: answers.held_bytes == 0)

    over_earlier(run)


def long_call(attempt: str, effectful: bool = True, body: bytes = LONG) -> Any:
    return replace(call(attempt, effectful), body=body, remaining_ms=60_000.0)


async def midway(far: RemotePeer) -> IncomingCalls:
    """The second hop has received a part of a call's body and reads no more for now."""
    await wait_until(lambda: any(isinstance(head, BodyPiece) for head in far.heads))
    far.deaf = True
    incoming = far.links[-1].peer
    assert isinstance(incoming, IncomingCalls) and incoming._receiving
    return incoming


def link_of(bench: Bench) -> Link:
    link = bench.peer_links._links["there"].link
    assert link is not None
    return link


async def serve_long_call(
    bench: Bench, far: RemotePeer, body: bytes = LONG, answer: bytes = LONG
) -> tuple[OutgoingCall, End]:
    out, end = bench.send(far, long_call("a1", body=body))
    before = len(far.second.taken)
    await wait_until(lambda: len(far.second.taken) > before)
    assert far.second.taken[-1].call.body == body
    far.second.end(-1, dataclasses.replace(SERVED, body=answer))
    return out, await with_timeout(end)


def test_a_long_body_and_its_long_answer_cross_the_link_in_pieces_unchanged() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        _, end = await serve_long_call(bench, far)
        assert end == dataclasses.replace(SERVED, body=LONG)
        pieces = [head for head in far.heads if isinstance(head, BodyPiece)]
        assert len(pieces) == len(LONG) // PIECE_BYTES
        assert (link_of(bench).owed_replies, link_of(bench).expected_replies) == (0, 0)
        await wait_until(lambda: (far.links[0].owed_replies, far.links[0].expected_replies) == (0, 0))
        assert far.second.bodies.held_bytes == 0

    run_with_long_bodies(test)


def test_a_body_beyond_one_frame_ends_no_link() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        body = bytes(MAX_NETSTRING_BYTES + 1)
        _, end = await serve_long_call(bench, far, body, body)
        assert end == dataclasses.replace(SERVED, body=body) and len(far.links) == 1

    run_with_long_bodies(test)


def test_a_short_call_passes_a_long_body_that_is_on_its_way() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        bench.send(far, long_call("long", body=LONG * 4))
        _, end = bench.send(far, call("short"))
        await wait_until(lambda: len(far.second.taken) == 2)
        assert far.second.taken[1].call.attempt == "short"
        incoming = far.links[0].peer
        assert isinstance(incoming, IncomingCalls) and incoming._receiving
        far.second.end(1, SERVED)
        assert await with_timeout(end) == SERVED
        await wait_until(lambda: len(far.second.taken) == 3)

    run_with_long_bodies(test)


@pytest.mark.parametrize("effectful", [True, False])
def test_a_link_that_is_reset_midway_leaves_a_call_that_never_runs(effectful: bool) -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        out, end = bench.send(far, long_call("a1", effectful))
        await midway(far)
        assert out.state is State.SENDING
        link_of(bench).close("reset")
        assert await with_timeout(end) == NOT_RUN
        far.hear()
        await run_ready_callbacks()
        assert [running.call.attempt for running in far.second.taken] == ["warm"]
        await wait_until(lambda: far.second.bodies.held_bytes == 0)

    run_with_long_bodies(test)


def test_what_had_left_whole_is_asked_after_and_barred_though_its_last_pieces_come_late() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        body = bytes(WINDOW_BYTES)  # all of it may be sent before anything is acknowledged
        out, end = bench.send(far, long_call("a1", body=body))
        incoming = await midway(far)
        await wait_until(lambda: out.state is State.SENT and len(far.unread) > 0)
        await run_ready_callbacks()
        late, far.unread = far.unread, []
        link_of(bench).close("reset")
        far.deaf = False
        assert await with_timeout(end) == NOT_RUN
        for _, head, data in late:
            incoming.handle_frame(head, data)
        assert [running.call.attempt for running in far.second.taken] == ["warm"]
        assert far.second.bodies.held_bytes == 0 and out.state is State.ENDED

    run_with_long_bodies(test)


def test_what_is_asked_after_over_another_link_while_it_still_comes_over_a_silent_one_never_runs() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        bench.send(far, long_call("a1", body=bytes(WINDOW_BYTES)))
        incoming = await midway(far)
        await run_ready_callbacks()
        late, far.unread = far.unread, []
        (number,), session = incoming._receiving, far.sessions.by_incarnation["f1"]
        other = IncomingCalls(Link(lambda _: None, far._frame, far._lost), far.second, far.sessions, session)
        other.handle_frame(StatusQuery(number=number, attempt="a1"), b"")
        assert not incoming._receiving and far.second.bodies.held_bytes == 0 and number not in session.calls
        for _, head, data in late:
            incoming.handle_frame(head, data)
        assert [running.call.attempt for running in far.second.taken] == ["warm"]

    run_with_long_bodies(test)


def test_a_second_hop_that_ends_midway_never_ran_the_call() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        _, end = bench.send(far, long_call("a1"))
        await midway(far)
        far.close()
        assert await with_timeout(end) == NOT_RUN
        assert [running.call.attempt for running in far.second.taken] == ["warm"]

    run_with_long_bodies(test)


def test_a_client_that_goes_away_midway_stops_the_rest_and_nothing_runs() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        out, end = bench.send(far, long_call("a1"))
        await midway(far)
        bench.peer_links.drop(out)
        assert out.state is State.WITHDRAWN
        far.hear()
        await wait_until(lambda: far.links[0].owed_replies == 0 and far.second.bodies.held_bytes == 0)
        assert await serve_long_call(bench, far) != (None, None)  # the window is free again
        assert not end.done() and len(far.second.taken) == 2

    run_with_long_bodies(test)


@pytest.mark.parametrize("effectful", [True, False])
def test_an_answer_whose_link_is_reset_midway_is_told_again_whole_or_not_at_all(effectful: bool) -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        far.sessions._max_bytes = 2 * len(LONG)
        _, end = bench.send(far, long_call("a1", effectful, b"x"))
        await wait_until(lambda: len(far.second.taken) == 2)
        far.second.end(1, dataclasses.replace(SERVED, body=LONG))
        outgoing = bench.peer_links._links["there"]
        await wait_until(lambda: outgoing.transfer is not None and bool(outgoing.transfer._incoming))
        assert not end.done()
        link_of(bench).close("reset")
        told = await with_timeout(end)
        assert told == dataclasses.replace(SERVED, body=LONG) if effectful else isinstance(told, Unclear)
        await wait_until(lambda: far.second.answers.held_bytes == 0)

    run_with_long_bodies(test)


def test_a_client_that_goes_away_midway_of_its_answer_gives_its_memory_back() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        out, end = bench.send(far, long_call("a1", body=b"x"))
        await wait_until(lambda: len(far.second.taken) == 2)
        far.second.end(1, dataclasses.replace(SERVED, body=LONG * 4))
        outgoing = bench.peer_links._links["there"]
        await wait_until(lambda: outgoing.transfer is not None and bool(outgoing.transfer._incoming))
        bench.peer_links.drop(out)
        incoming = far.links[0].peer
        assert isinstance(incoming, IncomingCalls)
        await wait_until(
            lambda: not incoming._sending and far.links[0].owed_replies == far.links[0].expected_replies == 0
        )
        assert not end.done() and (link_of(bench).owed_replies, link_of(bench).expected_replies) == (0, 0)

    run_with_long_bodies(test)


def test_an_answer_that_the_first_hops_memory_does_not_bear_may_have_run_and_is_stopped() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        bench.peer_links.local.answers = BufferQuota(2 * PIECE_BYTES, PIECE_BYTES)
        for size in (2 * PIECE_BYTES, PIECE_BYTES):  # in pieces, and in one frame
            _, end = bench.send(far, long_call(f"a{size}", body=b"x"))
            before = len(far.second.taken)
            await wait_until(lambda before=before: len(far.second.taken) > before)  # type: ignore[misc]
            far.second.end(-1, dataclasses.replace(SERVED, body=bytes(size)))
            told = await with_timeout(end)
            assert isinstance(told, Unclear) == (size > PIECE_BYTES)
        incoming = far.links[0].peer
        assert isinstance(incoming, IncomingCalls)
        await wait_until(lambda: not incoming._sending and far.links[0].owed_replies == 0)

    run_with_long_bodies(test)


def test_of_five_hundred_bodies_at_once_memory_takes_some_and_the_others_never_run() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        size, fit = 3 * PIECE_BYTES, 20
        far.second.bodies = BufferQuota(int(fit * size / LONG_BODY_SHARE) + 1, size, copies=1)
        sent = [bench.send(far, long_call(f"a{at}", body=bytes(size))) for at in range(500)]
        await wait_until(lambda: len(far.second.taken) == 1 + fit)
        assert far.second.bodies.held_bytes == fit * size
        await wait_until(lambda: sum(end.done() for _, end in sent) == 500 - fit)
        assert {end.result() for _, end in sent if end.done()} == {NotExecuted(RejectReason.FULL)}
        for at in range(1, 1 + fit):
            far.second.end(at, SERVED)
        ends = await asyncio.gather(*(with_timeout(end) for _, end in sent))
        assert ends.count(SERVED) == fit and far.second.bodies.held_bytes == 0
        assert (link_of(bench).owed_replies, link_of(bench).expected_replies, far.links[0].owed_replies) == (
            0,
            0,
            0,
        )

    run_with_long_bodies(test)


def test_what_was_turned_away_when_all_of_it_was_written_takes_nothing_of_the_window() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        bodies, far.second.bodies = far.second.bodies, BufferQuota(0, 0)
        for at in range(3):
            out, end = bench.send(far, long_call(f"a{at}", body=bytes(WINDOW_BYTES)))
            assert out.state is State.SENT and await with_timeout(end) == NotExecuted(RejectReason.FULL)
        assert (link_of(bench).owed_replies, link_of(bench).expected_replies) == (0, 0)
        far.second.bodies = bodies
        assert (await serve_long_call(bench, far))[1] == dataclasses.replace(SERVED, body=LONG)

    run_with_long_bodies(test)


def test_an_earlier_release_at_the_second_hop_gets_whole_frames_and_none_that_ends_its_link() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        enlarge_buffers(bench, far)
        await bench.known(far)
        _, end = await serve_long_call(bench, far)
        assert end == dataclasses.replace(SERVED, body=LONG)
        assert "piece" not in [kind_of(head) for head in far.heads]
        _, end = bench.send(far, long_call("a2", body=bytes(MAX_NETSTRING_BYTES + 1)))  # type: ignore[assignment]
        assert end.result() == NotExecuted(RejectReason.FULL)  # type: ignore[attr-defined]
        assert len(far.links) == 1 and far.links[0].up

    over_earlier(test)


def test_an_earlier_release_at_the_first_hop_gets_no_answer_that_ends_its_link() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        enlarge_buffers(bench, far)
        await bench.known(far)
        _, end = await serve_long_call(bench, far, b"x", bytes(MAX_NETSTRING_BYTES + 1))
        assert isinstance(end, Unclear) and far.links[0].up

    over_earlier(test)


def test_a_whole_frame_that_memory_does_not_bear_is_turned_away_and_its_link_stays() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        enlarge_buffers(bench, far)
        await bench.known(far)
        far.links[0]._frames._room = BufferQuota(len(LONG), len(LONG))  # its copies leave half of that
        _, end = bench.send(far, long_call("a1"))
        assert await with_timeout(end) == NotExecuted(RejectReason.FULL)
        _, end = bench.send(far, call("a2"))
        await wait_until(lambda: len(far.second.taken) == 2)
        far.second.end(1, SERVED)
        assert await with_timeout(end) == SERVED and len(far.links) == 1

    over_earlier(test)


def test_a_long_body_waits_until_the_other_end_has_said_what_it_takes() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        far.window = WINDOW_BYTES
        far.second.bodies = BufferQuota(ROOM, ROOM)
        bench.send(far, long_call("a1", effectful=False))
        await wait_until(lambda: len(far.second.taken) == 1)
        assert far.second.taken[0].call.body == LONG and "piece" in [kind_of(head) for head in far.heads]

    over_earlier(test)


def test_a_life_that_comes_late_is_heard_all_the_same() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        far.window, far.deaf = WINDOW_BYTES, True
        enlarge_buffers(bench, far)
        _, end = bench.send(far, call("a1", effectful=False))
        await wait_until(lambda: len(far.unread) == 2)
        advance_clock(INCARNATION_WAIT_S + 0.01)
        await run_ready_callbacks()
        outgoing = bench.peer_links._links["there"]
        assert outgoing.incarnation_known and outgoing.peer_incarnation is None
        far.hear()
        await wait_until(lambda: outgoing.peer_incarnation == far.life)
        far.second.end(0, SERVED)
        assert await with_timeout(end) == SERVED
        await serve_long_call(bench, far)
        assert "piece" in [kind_of(head) for head in far.heads]

    over_earlier(test)


def test_a_piece_beyond_the_window_ends_the_link() -> None:
    async def test(bench: Bench, far: RemotePeer) -> None:
        bench.send(far, long_call("a1"))
        incoming = await midway(far)
        (number,) = incoming._receiving
        with pytest.raises(ValueError):
            incoming.handle_frame(BodyPiece(number=number), bytes(WINDOW_BYTES + 1))
        link_of(bench).close("over")
        await wait_until(lambda: far.second.bodies.held_bytes == 0)

    run_with_long_bodies(test)
