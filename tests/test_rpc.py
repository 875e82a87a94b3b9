"""MessagePack-RPC through a real sidecar, with scripted faults of its clients and upstreams."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import msgpack
import pytest
import uvloop
from sockets import PATIENCE_S, SETTINGS, FakeDiscovery, host
from test_sidecar import until

from anisestair.configure.effective import Config, ConfigError
from anisestair.configure.operator_tables import MethodTable, RpcTable
from anisestair.discovery import unix_offset_ms
from anisestair.endpoints import parse_list
from anisestair.rpc import setup
from anisestair.rpc.frontend import RpcFrontend
from anisestair.sidecar import Sidecar
from hareloom import wire
from rigs.rpc_peer import RpcCaller, RpcServer, weighted_actions

METHODS = (
    MethodTable("order.sale", "sale"),
    MethodTable("listing.*", "listing", key=(0, "key")),
)


class World:
    def __init__(self, sidecar: Sidecar, frontend: RpcFrontend, port: int, discovery: FakeDiscovery) -> None:
        self.sidecar, self.frontend, self.port, self.discovery = sidecar, frontend, port, discovery
        self.callers: list[RpcCaller] = []

    async def caller(self) -> RpcCaller:
        caller = await RpcCaller.connect(self.port)
        self.callers.append(caller)
        return caller


def entry(name: str, server: RpcServer, health: str = "up", block: int = 0) -> dict[str, Any]:
    return host(name, "127.0.0.1:9", health, block) | {"dial_rpc": server.dial}


@asynccontextmanager
async def world(
    *servers: RpcServer, settings: dict[str, Any] | None = None, **table: Any
) -> AsyncIterator[World]:
    discovery = FakeDiscovery()
    await discovery.start()
    offset = unix_offset_ms(time.monotonic() * 1000.0)
    known = [entry(f"s-{number}", server, block=number // 2) for number, server in enumerate(servers)]
    config = Config(
        name="t",
        listen=("127.0.0.1", 0),
        discovery=("127.0.0.1", int(discovery.dial.rpartition(":")[2])),
        seed=7,
        sockets=400,
        known=parse_list({"seq": 1, "whole": True, "hosts": known}, offset),
        settings=wire.parse_settings(json.dumps(SETTINGS | (settings or {}))),
    )
    made = RpcTable(**({"listen": "127.0.0.1:0", "methods": METHODS, "turned_away": ("busy",)} | table))
    sidecar, frontend = setup.start(config, offset, 100, made, 100)
    where = await frontend.listen(made.listen)
    there = World(
        sidecar, frontend, 0 if where.startswith("unix:") else int(where.rpartition(":")[2]), discovery
    )
    try:
        yield there
    finally:
        for caller in there.callers:
            caller.close()
        await frontend.stop()
        await sidecar.close()
        frontend.close()
        discovery.close()


def play(test: Callable[[], Awaitable[None]]) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(test(), 120.0))  # type: ignore[arg-type]


async def server(way: Callable[[str], str] | str = "ok", run_counts: Counter[str] | None = None) -> RpcServer:
    made = RpcServer(
        way if callable(way) else lambda call: way, run_counts if run_counts is not None else Counter(), set()
    )
    await made.start()
    return made


async def answer(future: asyncio.Future[tuple[Any, Any]]) -> tuple[Any, Any]:
    return await asyncio.wait_for(future, PATIENCE_S)


def test_a_call_and_its_answer_pass_byte_for_byte() -> None:
    odd = [msgpack.ExtType(5, b"\xff\x00"), 2**64 - 1, b"\xfe", {"a": [None, -(2**63)]}]

    async def test() -> None:
        order = await server()
        async with world(order) as there:
            caller = await there.caller()
            assert await answer(caller.send("order.sale", {"id": "c1"}, *odd)) == (None, ["c1", odd])
            assert (order.run_counts, order.connections_opened) == (Counter({"c1": 1}), 1)

    play(test)


def test_answers_out_of_order_go_each_to_its_call_and_a_slow_one_holds_up_none() -> None:
    async def test() -> None:
        order = await server(lambda call: "late" if call == "slow" else "ok")
        async with world(order) as there:
            caller = await there.caller()
            slow = caller.send("order.sale", {"id": "slow"})
            assert await asyncio.wait_for(order.received.get(), PATIENCE_S) == "slow"
            for number in range(20):
                assert await answer(caller.send("order.sale", {"id": f"c{number}"})) == (
                    None,
                    [f"c{number}", []],
                )
            assert not slow.done()
            order.release.set()
            assert await answer(slow) == (None, ["slow", []])
            assert order.connections_opened == 1, "all on one connection"

    play(test)


@pytest.mark.parametrize(
    ("method", "params", "code"),
    [
        ("order.cancel", [{"id": "c"}], "unknown_method"),
        ("order.sale2", [{"id": "c"}], "unknown_method"),
        ("listing.add", [{"id": "c"}], "bad_call"),  # no key: repeats could not be recognized
        ("listing.add", [{"id": "c", "key": ""}], "bad_call"),
        ("listing.add", [{"id": "c", "key": "k" * 129}], "bad_call"),
        ("listing.add", [], "bad_call"),
    ],
)
def test_what_has_no_meaning_goes_nowhere(method: str, params: list[Any], code: str) -> None:
    async def test() -> None:
        order = await server()
        async with world(order) as there:
            caller = await there.caller()
            assert await answer(caller.send(method, *params)) == ({"code": code}, None)
            assert (await answer(caller.send("order.sale", {"id": "next"})))[0] is None
            assert order.received_ids == ["next"]

    play(test)


def test_a_connection_that_dies_ends_each_call_as_its_own_rule_says() -> None:
    # Of three calls in flight, the unsafe sale may have run and fails; the keyed ones are retried.
    first = {"a", "b", "c"}

    def once(call: str) -> str:
        if call in first:
            first.discard(call)
            return "never"
        return "ok"

    async def test() -> None:
        run_counts: Counter[str] = Counter()
        order, other = await server(once, run_counts), await server(once, run_counts)
        async with world(order, other) as there:
            there.sidecar.balancer.limits.limit = 1000.0
            caller = await there.caller()
            futures = {
                "a": caller.send("order.sale", {"id": "a"}),
                "b": caller.send("listing.add", {"id": "b", "key": "kb"}),
                "c": caller.send("listing.add", {"id": "c", "key": "kc"}),
            }
            await until(lambda: len(order.received_ids) + len(other.received_ids) == 3)
            for item in (order, other):
                for writer in list(item.connections):
                    writer.transport.abort()
            assert (await answer(futures["a"]))[0] == {"code": "failed"}
            for name in "bc":
                assert await answer(futures[name]) == (None, [name, []])
            assert (
                run_counts == Counter(b=1, c=1) and (order.received_ids + other.received_ids).count("a") == 1
            )

    play(test)


def test_turned_away_unseen_is_sent_elsewhere_or_refused_with_the_time_to_come_back() -> None:
    async def test() -> None:
        busy, free = await server("busy"), await server()
        async with world(busy, free) as there:
            caller = await there.caller()
            for number in range(4):
                assert (await answer(caller.send("order.sale", {"id": f"c{number}"})))[0] is None
        async with world(busy) as there:
            error, _ = await answer((await there.caller()).send("order.sale", {"id": "c"}))
            assert error["code"] == "refused" and error["retry_after_ms"] > 0
        assert not busy.run_counts

    play(test)


def test_an_upstreams_own_error_is_passed_on_and_its_sale_not_repeated() -> None:
    async def test() -> None:
        order = await server("error")
        async with world(order) as there:
            error, result = await answer((await there.caller()).send("order.sale", {"id": "c"}))
            assert (error, result) == ({"why": "sold out", "id": "c"}, None)
            assert order.received_ids == ["c"]

    play(test)


@pytest.mark.parametrize("way", ["twice", "stray"])
def test_answers_to_nothing_known_are_dropped_and_no_call_gets_them(way: str) -> None:
    async def test() -> None:
        order = await server(way)
        async with world(order) as there:
            caller = await there.caller()
            for number in range(10):
                assert await answer(caller.send("order.sale", {"id": f"c{number}"})) == (
                    None,
                    [f"c{number}", []],
                )
            assert not caller.unexpected and order.connections_opened == 1

    play(test)


def test_an_upstream_that_has_lost_count_is_left() -> None:
    async def test() -> None:
        order = await server("twice")
        async with world(order) as there:
            caller = await there.caller()
            for number in range(40):
                await answer(caller.send("order.sale", {"id": f"c{number}"}))
            assert order.connections_opened > 1

    play(test)


def test_a_late_answer_is_dropped_and_the_others_on_the_connection_live() -> None:
    async def test() -> None:
        order = await server(lambda call: "late" if call == "slow" else "ok")
        methods = (MethodTable("slow", "sale", deadline_ms=200.0), *METHODS)
        async with world(order, methods=methods) as there:
            caller = await there.caller()
            slow = caller.send("slow", {"id": "slow"})
            assert (await answer(slow))[0]["code"] in ("failed", "overdue")
            order.release.set()
            assert await answer(caller.send("order.sale", {"id": "next"})) == (None, ["next", []])
            assert not caller.unexpected

    play(test)


@pytest.mark.parametrize("stream", [[1, 5, None, 1], [0, 1, "order.sale", [{"id": "again"}]], "garbage"])
def test_a_client_that_breaks_the_protocol_is_cut_off_and_others_serve_on(stream: Any) -> None:
    async def test() -> None:
        order = await server(lambda call: "late" if call == "held" else "ok")
        async with world(order) as there:
            caller, other = await there.caller(), await there.caller()
            held = caller.send("order.sale", {"id": "held"})
            await asyncio.wait_for(order.received.get(), PATIENCE_S)
            caller.writer.write(msgpack.packb(stream))
            with pytest.raises(ConnectionError):
                await answer(held)
            assert (await answer(other.send("order.sale", {"id": "c"})))[0] is None
            order.release.set()
            await until(lambda: not there.sidecar.lives.exchanges)
            assert "again" not in order.received_ids

    play(test)


def test_a_client_that_vanishes_leaves_nothing_behind() -> None:
    async def test() -> None:
        order = await server("never")
        async with world(order) as there:
            there.sidecar.balancer.limits.limit = 1000.0
            caller = await there.caller()
            for number in range(5):
                caller.send("order.sale", {"id": f"c{number}"})
            await until(lambda: len(order.received_ids) == 5)
            caller.close()
            await until(lambda: not there.sidecar.lives.exchanges and not there.frontend._clients)
            assert not there.sidecar._records

    play(test)


def test_more_calls_than_may_be_in_hand_wait_in_the_socket() -> None:
    async def test() -> None:
        order = await server("late")
        async with world(order, calls_in_hand=4) as there:
            there.sidecar.balancer.limits.limit = 1000.0
            caller = await there.caller()
            futures = [caller.send("listing.x", {"id": f"c{n}", "key": f"k{n}"}) for n in range(300)]
            await until(lambda: len(order.received_ids) == 4)
            (client,) = there.frontend._clients
            assert len(client.open) == 4 and len(client.waiting) < 200
            order.release.set()
            assert [(await answer(item))[1][0] for item in futures] == [f"c{number}" for number in range(300)]

    play(test)


def test_half_a_message_and_answers_unread_end_a_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("anisestair.rpc.frontend.STALL_TIMEOUT_S", 0.1)

    async def test() -> None:
        async with world(await server()) as there:
            half = await there.caller()
            half.writer.write(b"\x94\x00")
            future: asyncio.Future[tuple[Any, Any]] = asyncio.get_running_loop().create_future()
            half.pending[1] = future
            with pytest.raises(ConnectionError):
                await answer(future)

    play(test)


def test_the_time_left_is_put_where_the_operator_says_and_nowhere_else() -> None:
    async def test() -> None:
        order = await server()
        methods = (MethodTable("order.sale", "sale", deadline=(1, "left")),)
        async with world(order, methods=methods) as there:
            caller = await there.caller()
            _, (_, (found,)) = await answer(caller.send("order.sale", {"id": "a"}, {"left": 0, "x": 2**63}))
            assert 0 < found["left"] <= 1200 and found["x"] == 2**63
            for params in ([{"rest": 1}], [7], []):
                assert await answer(caller.send("order.sale", {"id": "b"}, *params)) == (None, ["b", params])

    play(test)


def test_an_id_that_is_in_hand_is_not_taken_again() -> None:
    async def test() -> None:
        order = await server(lambda call: "late")
        methods = (MethodTable("order.sale", "sale", id=(0, "id")),)
        async with world(order, methods=methods) as there:
            caller, other = await there.caller(), await there.caller()
            held = caller.send("order.sale", {"id": "a"})
            await asyncio.wait_for(order.received.get(), PATIENCE_S)
            assert (await answer(other.send("order.sale", {"id": "a"})))[0] == {"code": "bad_call"}
            assert (await answer(other.send("order.sale", {"id": None})))[0] == {"code": "bad_call"}
            order.release.set()
            assert (await answer(held))[0] is None and order.received_ids == ["a"]

    play(test)


@pytest.mark.parametrize("class_", ["sale", "listing"])
def test_a_connection_cut_at_each_byte_of_an_answer(class_: str) -> None:
    whole = msgpack.packb([1, 0, None, "served"])

    async def test() -> None:
        for cut in range(len(whole) + 1):
            calls = 0

            async def connected(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter, cut: int = cut
            ) -> None:
                nonlocal calls
                unpacker = msgpack.Unpacker()
                while data := await reader.read(4096):
                    unpacker.feed(data)
                    for _, msgid, _, _ in unpacker:
                        calls += 1
                        answer_ = msgpack.packb([1, msgid, None, "served"])
                        writer.write(answer_[:cut] if calls == 1 else answer_)
                        if calls == 1 and cut < len(whole):
                            writer.close()
                            return

            order = RpcServer(lambda call: "ok", Counter(), set())
            order.server = await asyncio.start_server(connected, "127.0.0.1", 0)
            order.dial = f"127.0.0.1:{order.server.sockets[0].getsockname()[1]}"
            async with world(order) as there:
                caller = await there.caller()
                if class_ == "sale":
                    error, result = await answer(caller.send("order.sale", {"id": "c"}))
                    assert (error is None, calls) == (cut == len(whole), 1), "never sent again"
                else:
                    error, result = await answer(caller.send("listing.x", {"id": "c", "key": "k"}))
                    assert (error, result) == (None, "served")
            order.close()

    play(test)


def test_of_calls_behind_a_full_socket_each_ends_by_whether_it_had_left() -> None:
    # Calls accepted by the kernel may have run and fail. Calls still buffered here, including the one that is
    # partly written, never ran and are served over another connection.
    async def test() -> None:
        run_counts: Counter[str] = Counter()
        order = await server("ok", run_counts)
        reads = order.server
        first: list[asyncio.StreamWriter] = []

        async def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if first:
                await order._connected(reader, writer)
            else:
                first.append(writer)
                writer.transport.pause_reading()  # type: ignore[attr-defined]

        reads.close()
        order.server = await asyncio.start_server(connected, "127.0.0.1", 0)
        order.dial = f"127.0.0.1:{order.server.sockets[0].getsockname()[1]}"
        body = b"x" * 60_000
        async with world(order, calls_per_connection=4096, calls_in_hand=4096) as there:
            there.sidecar.balancer.limits.limit = 1e6
            caller = await there.caller()
            futures = []
            while not any(item.unsent for item in there.sidecar.lives.connections.values()):
                futures.append(caller.send("order.sale", {"id": f"c{len(futures)}"}, body))
                await asyncio.sleep(0)
                assert len(futures) < 2000, "no kernel buffer is this large"
            futures += [caller.send("order.sale", {"id": f"d{number}"}) for number in range(5)]
            await until(lambda: len(there.sidecar.lives.exchanges) == len(futures))
            (connection,) = there.sidecar.lives.connections.values()
            held = {call[0] for call in connection.calls[len(connection.calls) - connection.unsent :]}
            assert 5 < len(held) < len(futures)
            first[0].transport.abort()
            errors = [(await answer(item))[0] for item in futures]
            failed = [error for error in errors if error == {"code": "failed"}]
            assert len(failed) == len(futures) - len(held), "exactly the calls that were sent fail"
            assert sum(run_counts.values()) == errors.count(None) > 0 and max(run_counts.values()) == 1
            assert all(error is None or error["code"] in ("failed", "refused") for error in errors)

    play(test)


def test_a_keyed_call_repeated_while_the_first_still_runs_runs_once_in_its_cell() -> None:
    async def test() -> None:
        run_counts, keys = Counter[str](), set[str]()
        first, second = (RpcServer(lambda call: "late", run_counts, keys) for _ in range(2))
        for order in (first, second):
            await order.start()
        async with world(first, second) as there:
            there.sidecar.balancer.limits.limit = 1000.0
            caller = await there.caller()
            futures = [caller.send("listing.x", {"id": "c", "key": "k"}) for _ in range(2)]
            await until(lambda: len(first.received_ids) + len(second.received_ids) == 2)
            for order in (first, second):
                order.release.set()
            assert [await answer(item) for item in futures] == [(None, ["c", []])] * 2
            assert run_counts == Counter(c=1)

    play(test)


def test_what_both_protocols_hold_stays_within_one_bound_on_descriptors() -> None:
    async def test() -> None:
        order = await server("late")
        async with world(order, calls_per_connection=1) as there:
            there.sidecar.balancer.limits.limit, there.sidecar.lives.most = 1000.0, 5
            caller = await there.caller()
            futures = [caller.send("order.sale", {"id": f"c{number}"}) for number in range(12)]
            await until(lambda: len(order.received_ids) == 5)
            assert len(there.sidecar.lives.connections) == len(order.connections) == 5
            order.release.set()
            errors = [(await answer(item))[0] for item in futures]
            # The other calls are served once a descriptor is free, or are refused without having run.
            assert errors.count(None) >= 5 and all(
                item is None or item["code"] == "refused" for item in errors
            )
            assert sum(order.run_counts.values()) == errors.count(None)

    play(test)


def test_a_client_that_does_not_read_is_cut_off(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("anisestair.rpc.frontend.STALL_TIMEOUT_S", 0.2)

    async def test() -> None:
        order = await server()
        async with world(order) as there:
            there.sidecar.balancer.limits.limit = 1e6
            _, writer = await asyncio.open_connection("127.0.0.1", there.port, limit=1)
            for number in range(400):
                writer.write(msgpack.packb([0, number, "order.sale", [{"id": f"c{number}"}, b"x" * 60_000]]))
            await until(lambda: bool(there.frontend._clients))
            await until(lambda: not there.frontend._clients)
            assert len(order.received_ids) < 400, (
                "calls without buffer space for their responses must not be started"
            )
            await until(lambda: not there.sidecar.lives.exchanges)
            writer.transport.abort()

    play(test)


def test_a_unix_socket_is_listened_on_also_where_one_was_left_behind(tmp_path: Path) -> None:
    async def test() -> None:
        path = tmp_path / "s.sock"
        for _ in range(2):
            order = await server()
            async with world(order, listen=f"unix:{path}") as there:
                caller = RpcCaller(*await asyncio.open_unix_connection(str(path)))
                there.callers.append(caller)
                assert await answer(caller.send("order.sale", {"id": "c"})) == (None, ["c", []])

    play(test)


def test_at_the_bound_on_connections_the_longest_silent_goes_and_none_with_a_call() -> None:
    async def test() -> None:
        order = await server(lambda call: "late" if call == "held" else "ok")
        async with world(order) as there:
            there.frontend._max_clients = 3
            busy = await there.caller()
            held = busy.send("order.sale", {"id": "held"})
            await asyncio.wait_for(order.received.get(), PATIENCE_S)
            for number in range(8):
                caller = await there.caller()
                assert (await answer(caller.send("order.sale", {"id": f"c{number}"})))[0] is None
                await until(lambda: len(there.frontend._clients) <= 3)
            order.release.set()
            assert (await answer(held))[0] is None

    play(test)


def test_notifications_of_listings_go_on_and_of_sales_do_not() -> None:
    async def test() -> None:
        order = await server()
        async with world(order) as there:
            caller = await there.caller()
            caller.writer.write(msgpack.packb([2, "order.sale", [{"id": "sale"}]]))
            caller.writer.write(msgpack.packb([2, "listing.x", [{"id": "listing", "key": "k"}]]))
            assert (await answer(caller.send("order.sale", {"id": "c"})))[0] is None
            await until(lambda: len(order.received_ids) == 2)
            assert set(order.received_ids) == {"listing", "c"} and not caller.unexpected

    play(test)


def test_a_draining_server_finishes_its_calls_and_gets_nothing_new() -> None:
    async def test() -> None:
        first, second = await server("late"), await server()
        async with world(first) as there:
            caller = await there.caller()
            held = caller.send("listing.x", {"id": "held", "key": "k"})
            await asyncio.wait_for(first.received.get(), PATIENCE_S)
            there.sidecar.discovery.watch()
            there.discovery.tell(2, entry("s-0", first, "draining"), entry("s-1", second))
            await until(lambda: "s-1" in there.sidecar.lives.endpoints)
            for number in range(10):
                assert (await answer(caller.send("order.sale", {"id": f"c{number}"})))[0] is None
            first.release.set()
            assert (await answer(held))[1][0] == "held"
            assert first.received_ids == ["held"] and len(second.received_ids) == 10
            await until(lambda: not first.connections)

    play(test)


def test_an_orderly_end_lets_a_hundred_calls_have_their_outcomes() -> None:
    async def test() -> None:
        order = await server("late")
        async with world(
            order,
            settings={"classes": [SETTINGS["classes"][1] | {"promise-ms": 3000.0}]},
            methods=METHODS[1:],
        ) as there:
            there.sidecar.balancer.limits.limit = 1000.0
            caller = await there.caller()
            futures = [caller.send("listing.x", {"id": f"c{n}", "key": f"k{n}"}) for n in range(100)]
            await until(lambda: len(order.received_ids) == 100)
            end = asyncio.create_task(there.frontend.stop())
            await asyncio.sleep(0)
            order.release.set()
            assert {(await answer(item))[1][0] for item in futures} == {f"c{n}" for n in range(100)}
            await end

    play(test)


def test_a_server_that_speaks_only_http_is_not_blamed() -> None:
    async def test() -> None:
        async with world() as there:
            there.sidecar.discovery.watch()
            there.discovery.tell(2, host("s-9", "127.0.0.1:9"))
            await until(lambda: "s-9" in there.sidecar.lives.endpoints)
            error, _ = await answer((await there.caller()).send("order.sale", {"id": "c"}))
            assert error["code"] == "refused"
            assert there.sidecar.balancer.servers["s-9"].breaks == 0

    play(test)


@pytest.mark.parametrize(
    ("methods", "field"),
    [
        ((MethodTable("a", "sail"),), "a: class"),
        ((MethodTable("a", "listing"),), "a: key"),
        ((MethodTable("a", "sale", key=(0,)),), "a: key"),
        ((MethodTable("a", "sale", deadline_ms=9000.0),), "a: deadline_ms"),
        ((MethodTable("a", "sale"), MethodTable("a", "sale")), "a: pattern"),
        ((MethodTable("a*", "sale"), MethodTable("a*", "sale")), "pattern"),
    ],
)
def test_rules_that_contradict_the_settings_are_named(methods: tuple[MethodTable, ...], field: str) -> None:
    async def test() -> None:
        with pytest.raises(ConfigError, match=field):
            async with world(methods=methods):
                pass

    play(test)


FAULTS = {"ok": 60.0, "late": 3.0, "error": 4.0, "busy": 6.0, "twice": 4.0, "stray": 2.0} | dict.fromkeys(
    ("drop", "drop-run", "cut", "garbage", "never"), 1.0
)
CALLS, CALLERS = 20_000, 16


def test_twenty_thousand_calls_under_faults() -> None:
    """Each call gets exactly one correct outcome of its own, no sale runs twice, and no state is left."""
    chance = random.Random(11)

    async def test() -> None:
        run_counts: Counter[str] = Counter()
        servers = []
        keys: set[str] = set()
        for number in range(4):
            if number % 2 == 0:
                keys = set()  # two servers form a cell and deduplicate by the same keys
            order = RpcServer(weighted_actions(random.Random(number), FAULTS), run_counts, keys)
            await order.start()
            order.release.set()
            servers.append(order)
        outcomes: Counter[str] = Counter()
        classes = [
            SETTINGS["classes"][0] | {"give-up-ms": 600.0},
            SETTINGS["classes"][1] | {"give-up-ms": 900.0},
        ]
        async with world(*servers, settings={"classes": classes}) as there:
            names = iter(range(CALLS))

            async def calls(caller: RpcCaller) -> None:
                for number in names:
                    sale = chance.random() < 0.7
                    name, key = (
                        f"{'sale' if sale else 'listing'}-{number}",
                        {} if sale else {"key": f"k{number}"},
                    )
                    method = "order.sale" if sale else "listing.add"
                    error, result = await answer(caller.send(method, {"id": name} | key))
                    ran = run_counts[name]
                    if error is None:
                        outcomes["served"] += 1
                        assert result == [name, []] and ran == 1
                    elif "why" in error:
                        outcomes["error"] += 1
                        assert error["id"] == name
                    else:
                        outcomes[error["code"]] += 1
                        assert error["code"] != "refused" or ran == 0, "a refused call must not have run"

            callers = [await there.caller() for _ in range(CALLERS)]
            workers = [calls(caller) for caller in callers for _ in range(2)]
            await asyncio.gather(*workers)
            assert not any(caller.unexpected or caller.pending for caller in callers)
            await until(lambda: not there.sidecar.lives.exchanges)
            assert not there.sidecar._records and not there.sidecar.balancer.requests
            lives = there.sidecar.lives
            assert len(lives.connections) <= 40 and set(lives.endpoints) == set(there.sidecar._addresses)
        assert sum(outcomes.values()) == CALLS and outcomes["served"] > CALLS / 2, outcomes
        assert max(run_counts.values()) == 1, "a sale, or a listing in its cell, has run twice"
        for order in servers:
            order.close()

    play(test)
