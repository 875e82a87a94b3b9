"""The lifecycle state machines, driven directly, and over sockets with event orders that once failed."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest
from helpers import Driver, keyed
from sockets import SETTINGS, FakeDiscovery, Peer, Upstream, host, serve, stuck, world
from test_sidecar import Gate, run, until

from anisestair.flow.budget import Budget
from anisestair.http import codec as http
from anisestair.http.upstream import ConnectionPool, HttpConnection
from anisestair.lifecycle import Lives
from anisestair.lifecycle import events as ev
from anisestair.lifecycle.connection import Connection, Stage, is_unsent
from anisestair.lifecycle.exchange import Final
from hareloom import interface as api
from hareloom.interface import Outcome


def new_lives(*servers: str, most: int = 10, max_attempts: int = 4) -> Lives:
    machine = Lives(most, max_attempts)
    machine.handle(ev.Listed(tuple(ev.Listing(server, True, 0) for server in servers), True))
    return machine


def serve_request(machine: Lives, request: str, server: str) -> int:
    """Serve one request and return the number of the connection that carried it."""
    machine.handle(ev.Take(request))
    (effect,) = machine.handle(ev.Choose(request, server))
    if isinstance(effect, ev.Open):
        machine.handle(ev.Up(effect.connection))
    assert isinstance(effect, ev.Open | ev.Write)
    machine.handle(ev.Answered(effect.connection, (request, 0), Outcome.OK, True))
    return effect.connection


def test_a_request_is_served_and_leaves_nothing_but_its_connection() -> None:
    machine = new_lives("a")
    assert machine.handle(ev.Take("r")) == []
    assert machine.handle(ev.Choose("r", "a")) == [ev.Open(1, "a")]
    assert machine.handle(ev.Up(1)) == [ev.Write(1, ("r", 0), False)]
    assert machine.handle(ev.Answered(1, ("r", 0), Outcome.OK, True)) == [
        ev.Rest(1),  # before the balancer is informed, which may at once send the next request on it
        ev.Reply("r", Final.SERVED, 0),
        ev.Ended("r", 0, Outcome.OK, True),
        ev.Forget("r"),
    ]
    assert (machine.exchanges, machine.idle) == ({}, {1: None})


def test_an_id_in_hand_is_not_taken_again_and_an_unknown_one_not_sent() -> None:
    machine = new_lives("a")
    machine.handle(ev.Take("r"))
    with pytest.raises(ValueError, match="r: already in hand"):
        machine.handle(ev.Take("r"))
    with pytest.raises(KeyError):
        machine.handle(ev.Choose("q", "a"))


def test_at_the_bound_the_longest_idle_gives_way_and_no_upstream_is_to_blame() -> None:
    machine = new_lives("a", "b", "c", most=2)
    serve_request(machine, "r1", "b")  # its connection has been idle for longer, though a is listed first
    serve_request(machine, "r2", "a")
    machine.handle(ev.Take("r3"))
    assert machine.handle(ev.Choose("r3", "c")) == [ev.Close(1), ev.Open(3, "c")]
    machine.handle(ev.Lost(1))
    machine.handle(ev.Take("r4"))
    assert machine.handle(ev.Choose("r4", "a")) == [ev.Write(2, ("r4", 0), True)]
    machine.handle(ev.Take("r5"))
    # CONNECT_FAILED would mark a healthy upstream as failed.
    assert machine.handle(ev.Choose("r5", "b")) == [ev.Ended("r5", 0, Outcome.MOOT, False)]


def test_the_last_used_connection_is_used_first_and_one_found_ended_is_passed_over() -> None:
    machine = new_lives("a")
    for request in ("r1", "r2"):
        machine.handle(ev.Take(request))
        machine.handle(ev.Choose(request, "a"))
    for number, request in ((1, "r1"), (2, "r2")):
        machine.handle(ev.Up(number))
        machine.handle(ev.Answered(number, (request, 0), Outcome.OK, True))
    machine.handle(ev.Take("r3"))
    assert machine.handle(ev.Choose("r3", "a")) == [ev.Write(2, ("r3", 0), True)]
    assert machine.handle(ev.Unusable(2, ("r3", 0))) == [ev.Close(2), ev.Write(1, ("r3", 0), True)]
    assert machine.handle(ev.Unusable(1, ("r3", 0))) == [ev.Close(1), ev.Open(3, "a")]


def test_more_attempts_than_allowed_and_those_out_of_time_are_never_sent() -> None:
    machine = new_lives("a", max_attempts=1)
    machine.handle(ev.Take("r"))
    assert machine.handle(ev.Choose("r", "a", False)) == [ev.Ended("r", 0, Outcome.MOOT, False)]
    assert machine.handle(ev.Choose("r", "a")) == [ev.Ended("r", 1, Outcome.MOOT, False)]
    assert not machine.connections


def test_late_events_change_nothing() -> None:
    machine = new_lives("a")
    number = serve_request(machine, "r", "a")
    machine.handle(ev.Lost(number))
    for late in (
        *(
            ev.Up(number),
            ev.NotUp(number, True),
            ev.Unusable(number, ("r", 0)),
            ev.Held(number, 1),
            ev.Spoilt(number),
        ),
        *(ev.Answered(number, ("r", 0), Outcome.OK, True), ev.Expire(number), ev.Lost(number)),
        *(ev.GiveUp("r", 0, Outcome.TIMEOUT), ev.Settle("r", Final.FAILED), ev.Settle("q", Final.GONE)),
    ):
        assert machine.handle(late) == [], late
    assert (machine.exchanges, machine.connections, machine.idle, machine.idle_at) == ({}, {}, {}, {})


def test_which_of_several_calls_has_left_is_known_of_each() -> None:
    calls = (("r1", 0), ("r2", 0), ("r3", 0))
    connection = Connection(Stage.CARRYING, "a", 1, calls, unsent=2)
    assert [is_unsent(connection, call) for call in calls] == [False, True, True]


def test_an_answer_before_its_request_had_left_ends_the_connection() -> None:
    machine = new_lives("a")
    machine.handle(ev.Take("r"))
    machine.handle(ev.Choose("r", "a"))
    machine.handle(ev.Up(1))
    machine.handle(ev.Held(1, 1))
    assert ev.Close(1) in machine.handle(ev.Answered(1, ("r", 0), Outcome.ERROR, True))


def test_nothing_is_written_for_a_request_that_has_its_outcome() -> None:
    # If the balancer may not cancel, the attempt of a disconnected client still waits for its connection.
    machine = new_lives("a")
    machine.handle(ev.Take("r"))
    machine.handle(ev.Choose("r", "a"))
    assert machine.handle(ev.Settle("r", Final.GONE)) == [ev.Left("r")]
    effects = machine.handle(ev.Up(1))
    assert effects == [ev.Ended("r", 0, Outcome.MOOT, True), ev.Forget("r"), ev.Rest(1)]


def test_the_end_answers_what_is_owed() -> None:
    machine = new_lives("a")
    machine.handle(ev.Take("r"))
    machine.handle(ev.Choose("r", "a"))
    assert machine.handle(ev.End()) == [ev.Reply("r", Final.OVERDUE, None), ev.Left("r")]


# Over sockets


def test_what_waits_for_a_connection_to_an_address_that_the_list_has_moved_goes_nowhere() -> None:
    # The address may already belong to another upstream, which may be draining or in another cell.
    async def test(upstream: Upstream, discovery: FakeDiscovery) -> None:
        with stuck() as there_at:
            limits = SETTINGS["limits"] | {"connect-timeout-ms": 9000.0}
            async with world(discovery, host("s-1", there_at), settings={"limits": limits}) as there:
                client = await there.client()
                client.send("r1", left=9000)
                await until(lambda: bool(there.sidecar.lives.connections))
                moved = host("s-1", upstream.dial, born_ms=time.time() * 1000.0)
                discovery.tell(2, moved, host("s-2", upstream.dial))
                answer = await client.read()
                assert answer is not None and (answer.status, len(upstream.requests)) == (200, 1)

    run(test)


def test_a_connection_made_to_an_earlier_life_is_not_kept_after_its_answer() -> None:
    gate = Gate()

    async def hold_one(peer: Peer, message: http.Message) -> None:
        if message.body == b"hold":
            await gate(peer, message)
        else:
            await serve(peer, message)

    async def test(upstream: Upstream, discovery: FakeDiscovery) -> None:
        rules = SETTINGS["rules"] | {"cold-ms": 0.0}
        async with world(discovery, host("s-1", upstream.dial), settings={"rules": rules}) as there:
            client = await there.client()
            client.send("r1", body=b"hold")
            await upstream.seen.get()
            discovery.tell(2, host("s-1", upstream.dial, born_ms=time.time() * 1000.0))
            await until(lambda: there.sidecar.lives.incarnations == 2)
            gate.open.set()
            answer = await client.read()
            assert answer is not None and answer.status == 200
            assert (await client.ask("r2")).status == 200
            assert len(upstream.peers) == 2, "a request written to an ended process is reset"

    run(test, hold_one)


def test_at_the_end_of_the_program_what_is_still_owed_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("anisestair.http.frontend.EXIT_S", 0.2)
    gate = Gate()

    async def test(upstream: Upstream, discovery: FakeDiscovery) -> None:
        async with world(discovery, host("s-1", upstream.dial)) as there:
            client = await there.client()
            client.send("r1", klass="listing", left=4000)
            await upstream.seen.get()
            await there.frontend.stop(accept_s=0.0)
            await there.sidecar.close()
            answer = await client.read()
            assert answer is not None and answer.status == 504
            gate.open.set()

    run(test, gate)


def test_a_connection_that_comes_up_after_it_was_given_up_is_closed() -> None:
    class Transport(asyncio.Transport):
        aborted = False

        def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
            pass

        def get_extra_info(self, name: str, default: object = None) -> object:
            return ours

        def abort(self) -> None:
            self.aborted = True

    async def never(*arguments: object) -> None:
        await asyncio.Event().wait()

    async def test() -> None:
        events: list[ev.Event] = []
        limits = api.Limits(connect_timeout_ms=9000.0)
        pool = ConnectionPool(
            limits, events.append, lambda call, answer: None, lambda call: None, Budget(None)
        )
        pool.loop.create_connection = never  # type: ignore[assignment, method-assign]
        pool.open(HttpConnection(pool, 1), ("127.0.0.1", 1))
        connection, late = pool[1], Transport()
        (task,) = pool._tasks
        await asyncio.sleep(0)
        task.cancel()  # as the connect timeout does
        await until(lambda: events == [ev.NotUp(1, False)])
        connection.connection_made(late)
        assert late.aborted and len(events) == 1
        # Once the connection is established, the connect timeout no longer applies.
        pool.open(HttpConnection(pool, 2), ("127.0.0.1", 1))
        connection, soon = pool[2], Transport()
        connection.connection_made(soon)
        assert events[-1] == ev.Up(2) and connection.deadline is None and not soon.aborted
        pool.close()

    ours, theirs = socket.socketpair()
    with ours, theirs:
        asyncio.run(test())


def test_a_keyed_request_is_not_sent_again_when_connecting_may_outlast_its_window() -> None:
    def attempts_after_reset(ended_at: float) -> int:
        driver = Driver(
            keyed(api.Group.ALL, window=600.0), limits=api.Limits(max_attempts=3, connect_timeout_ms=250.0)
        )
        driver.listed("a", "b")
        request = driver.ask("book")
        driver.now = ended_at
        driver.end(request, Outcome.RESET, ended_at)
        return len(driver.sent[request])

    assert attempts_after_reset(300.0) == 2
    assert attempts_after_reset(400.0) == 1, (
        "connected after 250 ms, the request would be written 50 ms after its window"
    )
