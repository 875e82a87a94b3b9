"""The second hop: which calls get a slot at the upstream, and which end each call gets."""

from __future__ import annotations

import asyncio
import io
from collections.abc import Awaitable, Callable

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from anisestair.http import codec as http
from mesh.admission.final_check import DRAIN_SHARE, RejectReason, call_limits
from mesh.admission.wait_queue import WaitQueue
from mesh.data_plane.call_messages import Call, End, NotExecuted, Unclear, UpstreamResponse
from mesh.data_plane.upstream_connections import UpstreamConnectionPool
from mesh.data_plane.upstream_dispatch import RESPONSE_GRACE_S, DispatchedCall, UpstreamDispatch
from mesh.event_log.log import EventLog
from mesh.membership.instance_commands import Heartbeat, read_heartbeat
from mesh.membership.instance_lifecycle import SILENT_HEARTBEATS, InstanceUpdate
from mesh.membership.instance_lifecycle import Upstream as Life
from rigs.mesh_peers import (
    Upstream,
    advance_clock,
    run_async_test,
    run_ready_callbacks,
    wait_until,
    with_timeout,
)

DRAIN_MS = 2000.0


class Bench:
    def __init__(
        self, upstream: Upstream, upstream_dispatch: UpstreamDispatch, told: list[InstanceUpdate]
    ) -> None:
        self.upstream, self.upstream_dispatch, self.told = upstream, upstream_dispatch, told

    def send_heartbeat(self, state: str = "settled") -> None:
        heartbeat = read_heartbeat(self.upstream.instance, self.upstream.heartbeat_body(state))
        assert isinstance(heartbeat, Heartbeat)
        self.upstream_dispatch.upstream.on_heartbeat(self.upstream_dispatch.now(), heartbeat)

    def take(self, attempt: str, **fields: object) -> tuple[DispatchedCall | None, asyncio.Future[End]]:
        end: asyncio.Future[End] = asyncio.get_running_loop().create_future()
        values: dict[str, object] = {
            "attempt": attempt,
            "method": b"GET",
            "target": b"/x",
            "headers": [],
            "body": b"",
            "instance": self.upstream.instance,
            "caller": "s",
            "remaining_ms": 4000.0,
            "max_wait_ms": 1000.0,
            **fields,
        }
        values.setdefault("extended_wait_ms", values["max_wait_ms"])
        return self.upstream_dispatch.accept(Call(**values), end.set_result), end  # type: ignore[arg-type]

    async def fill(self) -> list[tuple[DispatchedCall | None, asyncio.Future[End]]]:
        """Fills all slots of the upstream with calls that it holds."""
        at_once, _ = call_limits(self.upstream_dispatch.upstream)
        held = [self.take(f"held-{at}") for at in range(at_once)]
        await wait_until(lambda: len(self.upstream.received) == at_once)
        return held

    async def runs(self) -> str:
        """The next request that reaches the upstream."""
        return (await with_timeout(self.upstream.incoming.get())).get(b"attempt-id") or ""


def behind(
    test: Callable[[Bench], Awaitable[None]],
    behavior: Callable[[http.Message], str] = lambda _: "ok",
    capacity: int = 1,
    most: int = 50,
) -> None:
    async def run() -> None:
        upstream, told = Upstream(behavior=behavior, capacity=capacity), list[InstanceUpdate]()
        await upstream.start()
        event_log = EventLog("t", io.StringIO())
        life, connections = (
            Life("n1", "z", 1000.0, DRAIN_MS),
            UpstreamConnectionPool(upstream.address, most, event_log),
        )
        bench = Bench(upstream, UpstreamDispatch(life, connections, event_log, told.extend), told)
        bench.send_heartbeat()
        try:
            await test(bench)
        finally:
            upstream.release.set()
            connections.close()
            upstream.close()

    run_async_test(run)


def held(message: http.Message) -> str:
    return "hold" if (message.get(b"attempt-id") or "").startswith("held") else "ok"


# Requests written to the upstream, and the ends of their calls


def test_the_headers_that_are_ours_are_written_anew_and_all_else_is_passed_on() -> None:
    async def test(bench: Bench) -> None:
        sent = [
            (b"calling-service", b"another"),
            (b"target-instance", b"i-other"),
            (b"time-remaining", b"99999"),
            (b"attempt-id", b"b"),
            (b"x-own", b"1"),
        ]
        _, end = bench.take(
            "a1", headers=sent, method=b"POST", target=b"/x?q=1", body=b"\x00\r\n", remaining_ms=700.9
        )
        answer = await with_timeout(end)
        assert isinstance(answer, UpstreamResponse) and answer.status == 200
        (seen,) = bench.upstream.received
        assert (seen.method, seen.target, seen.body) == (b"POST", b"/x?q=1", b"\x00\r\n")
        names = [name for name, _ in seen.headers]
        assert len(names) == len(set(names))
        told = {name: value for name, value in seen.headers}
        assert (told[b"calling-service"], told[b"target-instance"]) == (b"s", b"i-1")
        assert (told[b"attempt-id"], told[b"x-own"]) == (b"a1", b"1")
        assert 0 < int(told[b"time-remaining"]) <= 700
        assert {name for name, _ in answer.headers} == {b"attempt-id", b"response-seal"}
        assert answer.body == bench.upstream.response_body(seen)
        assert bench.upstream_dispatch.load == (1, 0, 1)

    behind(test)


@pytest.mark.parametrize("behavior", ["unsealed", "unnamed"])
def test_a_success_without_its_seal_or_id_is_unclear(behavior: str) -> None:
    async def test(bench: Bench) -> None:
        assert isinstance(await with_timeout(bench.take("a1")[1]), Unclear)
        assert not bench.upstream_dispatch.running

    behind(test, lambda _: behavior)


@pytest.mark.parametrize("behavior", ["cut", "reset", "garbage"])
def test_a_call_that_broke_off_is_unclear(behavior: str) -> None:
    async def test(bench: Bench) -> None:
        assert isinstance(await with_timeout(bench.take("a1")[1]), Unclear)
        assert not bench.upstream_dispatch.running

    behind(test, lambda _: behavior)


@pytest.mark.parametrize(("behavior", "why"), [("full", RejectReason.FULL), ("421", RejectReason.OTHER)])
def test_what_the_upstream_says_that_it_did_not_run_is_a_turn_away_that_arrived(
    behavior: str, why: RejectReason
) -> None:
    async def test(bench: Bench) -> None:
        assert await with_timeout(bench.take("a1")[1]) == NotExecuted(why, reached_upstream=True)
        assert not bench.upstream.runs

    behind(test, lambda _: behavior)


def test_the_upstreams_own_failure_is_its_answer() -> None:
    async def test(bench: Bench) -> None:
        end = await with_timeout(bench.take("a1")[1])
        assert isinstance(end, UpstreamResponse)
        assert (end.status, end.body, end.executed) == (500, b"own words", True)

    behind(test, lambda _: "500")


def test_nobody_there_is_a_turn_away_that_did_not_arrive_and_an_end_once_beats_are_missing() -> None:
    async def test(bench: Bench) -> None:
        bench.upstream.close()
        assert await with_timeout(bench.take("a1")[1]) == NotExecuted(RejectReason.DOWN)
        assert not bench.told
        advance_clock(SILENT_HEARTBEATS + 0.1)
        assert await with_timeout(bench.take("a2")[1]) == NotExecuted(RejectReason.DOWN)
        assert [(one.instance, one.value) for one in bench.told] == [("i-1", None)]
        assert bench.take("a3")[1].result() == NotExecuted(RejectReason.DOWN)  # at once now

    behind(test)


def test_no_connection_left_is_a_turn_away_that_did_not_arrive() -> None:
    async def test(bench: Bench) -> None:
        bench.take("held-1")
        await bench.runs()
        assert await with_timeout(bench.take("a")[1]) == NotExecuted(RejectReason.FULL)

    behind(test, held, capacity=4, most=1)


def test_what_must_not_pass_is_turned_away_at_once() -> None:
    async def test(bench: Bench) -> None:
        running, end = bench.take("a", instance="i-0")
        assert running is None
        assert end.result() == NotExecuted(RejectReason.OTHER)
        assert bench.take("a", remaining_ms=0.0)[1].result() == NotExecuted(RejectReason.LATE)
        bench.send_heartbeat("decaying")
        assert isinstance(await with_timeout(bench.take("a")[1]), UpstreamResponse)
        advance_clock(DRAIN_SHARE * DRAIN_MS / 1000.0 + 0.01)
        assert bench.take("a")[1].result() == NotExecuted(RejectReason.LEAVING)
        assert len(bench.upstream.received) == 1

    behind(test)


def test_an_upstream_that_says_nothing_is_left_soon_after_the_deadline() -> None:
    async def test(bench: Bench) -> None:
        _, end = bench.take("held-1", remaining_ms=500.0)
        await bench.runs()
        advance_clock(0.5)
        await run_ready_callbacks()
        assert not end.done()
        advance_clock(RESPONSE_GRACE_S)
        assert isinstance(await with_timeout(end), Unclear)
        await wait_until(lambda: not bench.upstream.open_connections)
        assert not bench.upstream_dispatch.running

    behind(test, held)


# Slots


def test_so_many_are_at_the_upstream_and_no_more_wait_than_there_is_room_for() -> None:
    async def test(bench: Bench) -> None:
        at_once, waiting = call_limits(bench.upstream_dispatch.upstream)
        taken = await bench.fill()
        line = [bench.take(f"w{at}") for at in range(waiting)]
        assert len(bench.upstream_dispatch.queue) == waiting
        assert not any(end.done() for _, end in line)
        _, more = bench.take("more")
        assert line[0][1].result() == NotExecuted(
            RejectReason.FULL
        )  # it waits longest, and no call has a lower rank
        assert bench.take("least", rank=-1.0)[1].result() == NotExecuted(RejectReason.FULL)
        assert bench.take("hasty", max_wait_ms=0.0)[1].result() == NotExecuted(RejectReason.FULL)
        assert len(bench.upstream.received) == at_once
        bench.upstream.release.set()
        for _, end in [*taken, *line[1:]]:
            assert isinstance(await with_timeout(end), UpstreamResponse)
        assert isinstance(await with_timeout(more), UpstreamResponse)
        assert len(bench.upstream.received) == at_once + waiting
        assert not bench.upstream_dispatch.running and not len(bench.upstream_dispatch.queue)

    behind(test, held, capacity=2)


def test_a_free_place_goes_to_the_highest_rank_and_among_equals_to_the_last() -> None:
    async def test(bench: Bench) -> None:
        taken = await bench.fill()
        for name, rank in ("low", 1.0), ("first", 2.0), ("second", 2.0), ("high", 3.0):
            bench.take(name, rank=rank)
        for _ in taken:
            await bench.runs()
        running, _ = taken[0]
        assert running is not None
        bench.upstream_dispatch.drop(running)  # with one slot they run one after another
        assert [await bench.runs() for _ in range(4)] == ["high", "second", "first", "low"]

    behind(test, held)


def test_a_kind_that_was_passed_on_far_less_often_than_all_goes_first_and_keeps_its_room() -> None:
    async def test(bench: Bench) -> None:
        await bench.fill()
        for _ in range(20):
            bench.upstream_dispatch.shares.record_arrival(bench.upstream_dispatch.now(), 5.0)
            bench.upstream_dispatch.shares.record_dispatch(5.0)
            bench.upstream_dispatch.shares.record_arrival(bench.upstream_dispatch.now(), 0.1)
        bench.take("low", rank=0.1)
        _, waiting = call_limits(bench.upstream_dispatch.upstream)
        others = [bench.take(f"b{at}", rank=5.0) for at in range(waiting)]
        assert await with_timeout(others[0][1]) == NotExecuted(RejectReason.FULL)
        bench.upstream.release.set()
        for _ in range(call_limits(bench.upstream_dispatch.upstream)[0]):
            await bench.runs()
        assert await bench.runs() == "low"

    behind(test, held)


def test_patience_ends_with_a_word_that_it_has_not_run() -> None:
    async def test(bench: Bench) -> None:
        await bench.fill()
        _, short = bench.take("short", max_wait_ms=500.0)
        _, long = bench.take("long", max_wait_ms=3000.0)
        advance_clock(0.4)
        await run_ready_callbacks()
        assert not short.done()
        advance_clock(0.15)
        assert await with_timeout(short) == NotExecuted(RejectReason.FULL)
        assert not long.done() and len(bench.upstream_dispatch.queue) == 1
        advance_clock(2.5)
        assert await with_timeout(long) == NotExecuted(RejectReason.FULL)
        assert not bench.upstream.runs.keys() & {"short", "long"}

    behind(test, held)


def test_who_is_worth_more_than_others_there_are_waits_longer() -> None:
    async def test(bench: Bench) -> None:
        await bench.fill()
        _, low = bench.take("low", rank=0.0, max_wait_ms=300.0, extended_wait_ms=900.0)
        _, high = bench.take("high", rank=2.0, max_wait_ms=300.0, extended_wait_ms=900.0)
        advance_clock(0.35)
        assert await with_timeout(low) == NotExecuted(RejectReason.FULL)
        assert not high.done()
        advance_clock(0.6)
        assert await with_timeout(high) == NotExecuted(RejectReason.FULL)

    behind(test, held)


def test_patience_that_came_later_and_ends_first_is_kept() -> None:
    async def test(bench: Bench) -> None:
        await bench.fill()
        bench.take("long", max_wait_ms=3000.0)
        _, short = bench.take("short", max_wait_ms=500.0)
        advance_clock(1.0)
        await run_ready_callbacks()
        assert short.done()

    behind(test, held)


def test_a_call_whose_time_ends_in_the_line_is_not_passed_on() -> None:
    async def test(bench: Bench) -> None:
        await bench.fill()
        _, end = bench.take("late", remaining_ms=300.0, max_wait_ms=3000.0)
        advance_clock(0.4)
        bench.upstream.release.set()
        assert await with_timeout(end) == NotExecuted(RejectReason.LATE)
        assert "late" not in bench.upstream.runs

    behind(test, held)


def test_a_call_that_waited_tells_the_upstream_what_is_left_of_its_time() -> None:
    async def test(bench: Bench) -> None:
        await bench.fill()
        _, end = bench.take("w", remaining_ms=1000.0, max_wait_ms=900.0)
        advance_clock(0.6)
        bench.upstream.release.set()
        assert isinstance(await with_timeout(end), UpstreamResponse)
        assert 0 < int(bench.upstream.received[-1].get(b"time-remaining") or "") <= 400

    behind(test, held)


def test_a_call_that_is_dropped_while_it_waits_never_runs() -> None:
    async def test(bench: Bench) -> None:
        await bench.fill()
        running, end = bench.take("w")
        assert running is not None
        bench.upstream_dispatch.drop(running)
        assert not len(bench.upstream_dispatch.queue)
        bench.upstream.release.set()
        await wait_until(lambda: not bench.upstream_dispatch.running)
        advance_clock(2.0)
        _, after = bench.take("after")
        await with_timeout(after)
        assert not end.done() and "w" not in bench.upstream.runs

    behind(test, held)


def test_a_call_that_is_dropped_while_it_runs_frees_its_place_and_ends_at_the_upstream() -> None:
    async def test(bench: Bench) -> None:
        taken = await bench.fill()
        _, waits = bench.take("w")
        running, end = taken[0]
        assert running is not None
        bench.upstream_dispatch.drop(running)
        assert isinstance(await with_timeout(waits), UpstreamResponse)
        # All except the dropped call's, and in addition the one of "w".
        await wait_until(lambda: bench.upstream.open_connections == len(taken))
        assert not end.done()

    behind(test, held)


def test_a_call_that_is_dropped_while_its_connection_comes_up_is_not_left_running() -> None:
    async def test(bench: Bench) -> None:
        running, _ = bench.take("held-1")
        assert running is not None
        await wait_until(lambda: bench.upstream_dispatch.connections._connecting == 1)
        bench.upstream_dispatch.drop(running)
        await wait_until(lambda: bench.upstream_dispatch.connections._connecting == 0)
        await run_ready_callbacks()
        assert not bench.upstream_dispatch.connections._open

    behind(test, held)


# The queue alone


STEPS = st.tuples(
    st.sampled_from(["add", "add", "next", "drop", "over", "end"]),
    *(st.integers(0, 3), st.integers(0, 5), st.integers(0, 9)),
)


@settings(max_examples=120)
@given(st.lists(STEPS, max_size=40), st.integers(0, 4))
@example([("add", 0, 1, 1), ("drop", 0, 1, 0), ("add", 0, 1, 9), ("over", 0, 1, 5)], 4)  # added again
@example([("add", 0, 1, 5), ("over", 0, 1, 5)], 4)
def test_the_line_agrees_with_a_plain_list(steps: list[tuple[str, int, int, int]], most: int) -> None:
    line, plain = WaitQueue(), list[tuple[int, int, int, int]]()  # rank, number, call, until
    for number, (step, rank, call, instant) in enumerate(steps):
        if step == "add" and all(item[2] != call for item in plain):
            over = line.add(call, float(rank), float(instant), most)
            plain = sorted([*plain, (rank, number, call, instant)])
            assert over == (plain.pop(0)[2] if len(plain) > most else None)
        elif step == "next":
            assert line.pop_next() == (plain.pop()[2] if plain else None)
        elif step == "drop":
            assert line.remove(call) is any(item[2] == call for item in plain)
            plain = [item for item in plain if item[2] != call]
        elif step == "over":
            assert sorted(line.pop_expired(float(instant))) == sorted(
                item[2] for item in plain if item[3] <= instant
            )
            plain = [item for item in plain if item[3] > instant]
        elif step == "end":
            assert line.next_expiry() == min((item[3] for item in plain), default=None)
        assert len(line) == len(plain) <= most
    assert line.clear() == [item[2] for item in reversed(plain)]
    assert len(line) == 0 and line.next_expiry() is None
