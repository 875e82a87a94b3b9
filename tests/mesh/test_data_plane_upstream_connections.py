"""Connections to the upstream: which call a response belongs to, when a connection is reused, and which calls
may have run."""

from __future__ import annotations

import asyncio
import io
from collections.abc import Awaitable, Callable, Sequence

import pytest

from anisestair.http import codec as http
from mesh.data_plane import upstream_connections as module
from mesh.data_plane.upstream_connections import (
    CONNECT_S,
    DEFAULT_IDLE_S,
    IDLE_MARGIN_S,
    ExchangeFailed,
    ExchangeOutcome,
    NotSent,
    ResponseReceived,
    UpstreamConnection,
    UpstreamConnectionPool,
)
from mesh.event_log.log import EventLog
from rigs.mesh_peers import (
    Upstream,
    advance_clock,
    run_async_test,
    run_ready_callbacks,
    wait_until,
    with_timeout,
)


class Asked:
    """One call through the pool, and its outcome."""

    def __init__(self) -> None:
        self.outcome: asyncio.Future[ExchangeOutcome] = asyncio.get_running_loop().create_future()
        self.connection: UpstreamConnection | None = None


class Bench:
    def __init__(self, upstream: Upstream, pool: UpstreamConnectionPool) -> None:
        self.upstream, self.connections = upstream, pool

    async def begin(self, attempt: str) -> Asked:
        asked = Asked()
        payload = http.write_request(b"GET", b"/x", [(b"attempt-id", attempt.encode())])
        # a second outcome raises InvalidStateError
        asked.connection = await self.connections.send(attempt.encode(), payload, asked.outcome.set_result)
        return asked

    async def ask(self, attempt: str) -> ExchangeOutcome:
        return await with_timeout((await self.begin(attempt)).outcome)

    async def good(self, attempt: str) -> None:
        outcome = await self.ask(attempt)
        assert isinstance(outcome, ResponseReceived), outcome
        assert outcome.message.get(b"attempt-id") == attempt


def run_with_connections(
    test: Callable[[Bench], Awaitable[None]], ways: Sequence[str] = (), most: int = 4, keep_alive: str = ""
) -> None:
    """``ways``: what the upstream does with one request after another; then "ok"."""
    left = list(ways)

    async def run() -> None:
        upstream = Upstream(behavior=lambda _: left.pop(0) if left else "ok", keep_alive=keep_alive)
        await upstream.start()
        pool = UpstreamConnectionPool(upstream.address, most, EventLog("t", io.StringIO()))
        try:
            await test(Bench(upstream, pool))
        finally:
            pool.close()
            upstream.close()

    run_async_test(run)


def test_a_connection_is_used_again() -> None:
    async def test(bench: Bench) -> None:
        for attempt in ("a1", "a2", "a3"):
            await bench.good(attempt)
        assert bench.upstream.connections_opened == 1

    run_with_connections(test)


def test_an_answer_with_another_id_is_passed_over_and_the_right_one_returned() -> None:
    async def test(bench: Bench) -> None:
        await bench.good("a1")
        await bench.good("a2")
        assert bench.upstream.connections_opened == 1

    run_with_connections(test, ["stray"])


def test_a_connection_with_answers_to_others_alone_is_given_up() -> None:
    async def test(bench: Bench) -> None:
        assert isinstance(await bench.ask("a1"), ExchangeFailed)
        await wait_until(lambda: not bench.upstream.open_connections)

    run_with_connections(test, ["strays"])


def test_the_second_of_two_answers_is_nobodys_and_the_connection_ends() -> None:
    async def test(bench: Bench) -> None:
        await bench.good("a1")
        await wait_until(lambda: not bench.upstream.open_connections)
        await bench.good("a2")
        assert bench.upstream.connections_opened == 2

    run_with_connections(test, ["twice"])


def test_an_answer_too_many_that_comes_while_the_connection_is_idle_ends_it() -> None:
    async def test(bench: Bench) -> None:
        await bench.good("a1")
        bench.upstream.send_unsolicited(bench.upstream.response(bench.upstream.received[0]))
        await wait_until(lambda: not bench.upstream.open_connections)
        assert not bench.connections._idle and not bench.connections._open
        await bench.good("a2")

    run_with_connections(test)


def test_a_connection_on_which_something_stands_unread_is_not_used_again() -> None:
    async def test(bench: Bench) -> None:
        asked = await bench.begin("a1")
        await with_timeout(asked.outcome)
        connection = asked.connection
        assert connection is not None and connection._transport is not None
        connection._transport.pause_reading()  # this process reads late
        assert connection.usable(0.0)
        bench.upstream.send_unsolicited(b"x")
        await wait_until(lambda: bool(connection._poll.poll(0)))
        await bench.good("a2")
        assert bench.upstream.connections_opened == 2
        await wait_until(lambda: bench.upstream.open_connections == 1)

    run_with_connections(test)


@pytest.mark.parametrize(
    ("told", "kept_s"),
    [
        ("", DEFAULT_IDLE_S),
        ("timeout=2", 2.0 - IDLE_MARGIN_S),
        ("max=5, Timeout=8", 8.0 - IDLE_MARGIN_S),
        ("timeout=0", 0.0),
    ],
)
def test_a_connection_is_given_back_before_the_upstream_would_close_it(told: str, kept_s: float) -> None:
    async def test(bench: Bench) -> None:
        await bench.good("a1")
        if kept_s:
            advance_clock(kept_s - 0.3)
            bench.connections.close_expired()
            await bench.good("a2")  # from here on for the same time again
            assert bench.upstream.connections_opened == 1
        advance_clock(kept_s)
        await bench.good("a3")
        assert bench.upstream.connections_opened == 2
        advance_clock(kept_s)
        bench.connections.close_expired()
        await wait_until(lambda: not bench.upstream.open_connections)
        assert not bench.connections._open

    run_with_connections(test, keep_alive=told)


def test_nobody_there_is_not_sent() -> None:
    async def test(bench: Bench) -> None:
        bench.upstream.close()
        assert await bench.ask("a1") == NotSent(refused=True)

    run_with_connections(test)


def test_a_connection_that_does_not_come_up_is_not_sent_in_time() -> None:
    async def test(bench: Bench) -> None:
        async def never(*_: object) -> None:
            await asyncio.get_running_loop().create_future()

        bench.connections._loop.create_connection = never  # type: ignore[method-assign,assignment]
        task = asyncio.get_running_loop().create_task(bench.ask("a1"))
        await wait_until(lambda: bench.connections._connecting == 1)
        advance_clock(1.0)
        assert await with_timeout(task) == NotSent(refused=False)
        assert bench.connections._connecting == 0

    run_with_connections(test)


@pytest.mark.parametrize("behavior", ["cut", "reset", "garbage"])
def test_what_breaks_before_its_answer_is_whole_may_have_run(behavior: str) -> None:
    async def test(bench: Bench) -> None:
        assert isinstance(await bench.ask("a1"), ExchangeFailed)
        assert bench.upstream.runs["a1"] == 1
        await bench.good("a2")
        assert bench.upstream.connections_opened == 2

    run_with_connections(test, [behavior])


def test_connections_are_bounded_and_a_call_beyond_them_is_not_sent() -> None:
    async def test(bench: Bench) -> None:
        held = [await bench.begin(f"a{at}") for at in range(2)]
        coming = asyncio.get_running_loop().create_task(bench.begin("a2"))
        await wait_until(lambda: bench.connections._connecting == 1)
        assert await bench.ask("b") == NotSent(refused=False)  # one that is being opened counts
        held.append(await coming)
        assert await bench.ask("b") == NotSent(refused=False)
        await wait_until(lambda: len(bench.upstream.received) == 3)
        assert bench.upstream.connections_opened == 3 and bench.upstream.runs["b"] == 0
        bench.upstream.release.set()
        for asked in held:
            assert isinstance(await with_timeout(asked.outcome), ResponseReceived)
        await bench.good("b")
        assert bench.upstream.connections_opened == 3

    run_with_connections(test, ["hold"] * 3, most=3)


def test_a_second_use_of_an_id_has_a_connection_of_its_own() -> None:
    """A late second response to the first use has the same id and would be taken for the response to the
    second use."""

    async def test(bench: Bench) -> None:
        await bench.good("a1")
        first = bench.connections._idle[-1]
        await bench.good("b")
        await bench.good("a1")
        assert bench.upstream.connections_opened == 2 and bench.connections._idle[-1] is not first

    run_with_connections(test)


def test_a_second_use_of_an_id_makes_itself_room_among_idle_connections() -> None:
    async def test(bench: Bench) -> None:
        await bench.good("a1")
        await bench.good("a1")
        assert bench.upstream.connections_opened == 2 and len(bench.connections._open) == 1

    run_with_connections(test, most=1)


def test_the_ids_that_are_kept_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MAX_RECENT_IDS", 3)

    async def test(bench: Bench) -> None:
        for at in range(5):
            await bench.good(f"a{at}")
        assert bench.connections._recent == {b"a2", b"a3", b"a4"}
        assert len(bench.connections._recent_order) == 3 and bench.upstream.connections_opened == 1

    run_with_connections(test)


def test_a_call_that_is_dropped_ends_its_connection_and_has_no_outcome() -> None:
    async def test(bench: Bench) -> None:
        asked = await bench.begin("a1")
        await with_timeout(bench.upstream.incoming.get())
        assert asked.connection is not None
        asked.connection.drop()
        await wait_until(lambda: not bench.connections._open)
        assert not asked.outcome.done()
        bench.upstream.release.set()
        await bench.good("a2")
        assert not asked.outcome.done()

    run_with_connections(test, ["hold"])


def test_opening_a_connection_holds_a_call_up_for_a_part_of_a_short_drain(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A call that may still be passed on must not reach its upstream after drain_ms."""

    async def test(bench: Bench) -> None:
        async def hangs(*_: object) -> None:
            await asyncio.Event().wait()

        loop = asyncio.get_running_loop()
        for drain_ms, most_s in (400.0, 0.12), (2000.0, CONNECT_S):
            pool = UpstreamConnectionPool(bench.upstream.address, 1, EventLog("t", io.StringIO()), drain_ms)
            with monkeypatch.context() as patch:
                patch.setattr(loop, "create_connection", hangs)
                outcome: asyncio.Future[ExchangeOutcome] = loop.create_future()
                task = loop.create_task(pool.send(b"a1", b"", outcome.set_result))
                await run_ready_callbacks()
                advance_clock(0.9 * most_s)
                await run_ready_callbacks()
                assert not outcome.done()
                advance_clock(0.2 * most_s)
                await run_ready_callbacks()
                assert outcome.done() and outcome.result() == NotSent(False)
                await task

    run_with_connections(test)
