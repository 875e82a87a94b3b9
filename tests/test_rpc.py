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


class RpcSidecar:
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
async def run_sidecar(
    *servers: RpcServer, settings: dict[str, Any] | None = None, **table: Any
) -> AsyncIterator[RpcSidecar]:
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
    rpc_table = RpcTable(**({"listen": "127.0.0.1:0", "methods": METHODS, "turned_away": ("busy",)} | table))
    sidecar, frontend = setup.start(config, offset, 100, rpc_table, 100)
    address = await frontend.listen(rpc_table.listen)
    rig = RpcSidecar(
        sidecar, frontend, 0 if address.startswith("unix:") else int(address.rpartition(":")[2]), discovery
    )
    try:
        yield rig
    finally:
        for caller in rig.callers:
            caller.close()
        await frontend.stop()
        await sidecar.close()
        frontend.close()
        discovery.close()


def run_test(test: Callable[[], Awaitable[None]]) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(test(), 120.0))  # type: ignore[arg-type]


async def server(
    action: Callable[[str], str] | str = "ok", run_counts: Counter[str] | None = None
) -> RpcServer:
    rpc_server = RpcServer(
        action if callable(action) else lambda call: action,
        run_counts if run_counts is not None else Counter(),
        set(),
    )
    await rpc_server.start()
    return rpc_server


async def response_of(future: asyncio.Future[tuple[Any, Any]]) -> tuple[Any, Any]:
    return await asyncio.wait_for(future, PATIENCE_S)


def test_a_call_and_its_response_pass_unchanged() -> None:
    odd = [msgpack.ExtType(5, b"\xff\x00"), 2**64 - 1, b"\xfe", {"a": [None, -(2**63)]}]

    async def test() -> None:
        order = await server()
        async with run_sidecar(order) as rig:
            caller = await rig.caller()
            assert await response_of(caller.send("order.sale", {"id": "c1"}, *odd)) == (None, ["c1", odd])
            assert (order.run_counts, order.connections_opened) == (Counter({"c1": 1}), 1)

    run_test(test)


def test_responses_out_of_order_go_to_their_calls_and_a_slow_one_delays_no_other() -> None:
    async def test() -> None:
        order = await server(lambda call: "late" if call == "slow" else "ok")
        async with run_sidecar(order) as rig:
            caller = await rig.caller()
            slow = caller.send("order.sale", {"id": "slow"})
            assert await asyncio.wait_for(order.received.get(), PATIENCE_S) == "slow"
            for number in range(20):
                assert await response_of(caller.send("order.sale", {"id": f"c{number}"})) == (
                    None,
                    [f"c{number}", []],
                )
            assert not slow.done()
            order.release.set()
            assert await response_of(slow) == (None, ["slow", []])
            assert order.connections_opened == 1, "all calls use one connection"

    run_test(test)


@pytest.mark.parametrize(
    ("method", "params", "code"),
    [
        ("order.cancel", [{"id": "c"}], "unknown_method"),
        ("order.sale2", [{"id": "c"}], "unknown_method"),
        ("listing.add", [{"id": "c"}], "bad_call"),  # without a key, repeats could not be recognized
        ("listing.add", [{"id": "c", "key": ""}], "bad_call"),
        ("listing.add", [{"id": "c", "key": "k" * 129}], "bad_call"),
        ("listing.add", [], "bad_call"),
    ],
)
def test_invalid_calls_are_not_sent(method: str, params: list[Any], code: str) -> None:
    async def test() -> None:
        order = await server()
        async with run_sidecar(order) as rig:
            caller = await rig.caller()
            assert await response_of(caller.send(method, *params)) == ({"code": code}, None)
            assert (await response_of(caller.send("order.sale", {"id": "next"})))[0] is None
            assert order.received_ids == ["next"]

    run_test(test)


def test_a_lost_connection_ends_each_call_by_the_idempotency_of_its_class() -> None:
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
        async with run_sidecar(order, other) as rig:
            rig.sidecar.balancer.limits.limit = 1000.0
            caller = await rig.caller()
            futures = {
                "a": caller.send("order.sale", {"id": "a"}),
                "b": caller.send("listing.add", {"id": "b", "key": "kb"}),
                "c": caller.send("listing.add", {"id": "c", "key": "kc"}),
            }
            await until(lambda: len(order.received_ids) + len(other.received_ids) == 3)
            for item in (order, other):
                for writer in list(item.connections):
                    writer.transport.abort()
            assert (await response_of(futures["a"]))[0] == {"code": "failed"}
            for name in "bc":
                assert await response_of(futures[name]) == (None, [name, []])
            assert (
                run_counts == Counter(b=1, c=1) and (order.received_ids + other.received_ids).count("a") == 1
            )

    run_test(test)


def test_a_rejected_call_is_sent_to_another_server_or_refused_with_a_retry_time() -> None:
    async def test() -> None:
        busy, free = await server("busy"), await server()
        async with run_sidecar(busy, free) as rig:
            caller = await rig.caller()
            for number in range(4):
                assert (await response_of(caller.send("order.sale", {"id": f"c{number}"})))[0] is None
        async with run_sidecar(busy) as rig:
            error, _ = await response_of((await rig.caller()).send("order.sale", {"id": "c"}))
            assert error["code"] == "refused" and error["retry_after_ms"] > 0
        assert not busy.run_counts

    run_test(test)


def test_an_upstream_error_is_passed_on_and_the_sale_is_not_retried() -> None:
    async def test() -> None:
        order = await server("error")
        async with run_sidecar(order) as rig:
            error, result = await response_of((await rig.caller()).send("order.sale", {"id": "c"}))
            assert (error, result) == ({"why": "sold out", "id": "c"}, None)
            assert order.received_ids == ["c"]

    run_test(test)


@pytest.mark.parametrize("action", ["twice", "stray"])
def test_responses_without_a_pending_call_are_dropped(action: str) -> None:
    async def test() -> None:
        order = await server(action)
        async with run_sidecar(order) as rig:
            caller = await rig.caller()
            for number in range(10):
                assert await response_of(caller.send("order.sale", {"id": f"c{number}"})) == (
                    None,
                    [f"c{number}", []],
                )
            assert not caller.unexpected and order.connections_opened == 1

    run_test(test)


def test_a_connection_with_many_duplicate_responses_is_replaced() -> None:
    async def test() -> None:
        order = await server("twice")
        async with run_sidecar(order) as rig:
            caller = await rig.caller()
            for number in range(40):
                await response_of(caller.send("order.sale", {"id": f"c{number}"}))
            assert order.connections_opened > 1

    run_test(test)


def test_a_late_response_is_dropped_and_the_connection_stays_in_use() -> None:
    async def test() -> None:
        order = await server(lambda call: "late" if call == "slow" else "ok")
        methods = (MethodTable("slow", "sale", deadline_ms=200.0), *METHODS)
        async with run_sidecar(order, methods=methods) as rig:
            caller = await rig.caller()
            slow = caller.send("slow", {"id": "slow"})
            assert (await response_of(slow))[0]["code"] in ("failed", "overdue")
            order.release.set()
            assert await response_of(caller.send("order.sale", {"id": "next"})) == (None, ["next", []])
            assert not caller.unexpected

    run_test(test)


@pytest.mark.parametrize("stream", [[1, 5, None, 1], [0, 1, "order.sale", [{"id": "again"}]], "garbage"])
def test_a_client_that_breaks_the_protocol_is_disconnected_and_others_are_served(stream: Any) -> None:
    async def test() -> None:
        order = await server(lambda call: "late" if call == "held" else "ok")
        async with run_sidecar(order) as rig:
            caller, other = await rig.caller(), await rig.caller()
            held = caller.send("order.sale", {"id": "held"})
            await asyncio.wait_for(order.received.get(), PATIENCE_S)
            caller.writer.write(msgpack.packb(stream))
            with pytest.raises(ConnectionError):
                await response_of(held)
            assert (await response_of(other.send("order.sale", {"id": "c"})))[0] is None
            order.release.set()
            await until(lambda: not rig.sidecar.lives.exchanges)
            assert "again" not in order.received_ids

    run_test(test)


def test_a_client_that_disconnects_leaves_no_state() -> None:
    async def test() -> None:
        order = await server("never")
        async with run_sidecar(order) as rig:
            rig.sidecar.balancer.limits.limit = 1000.0
            caller = await rig.caller()
            for number in range(5):
                caller.send("order.sale", {"id": f"c{number}"})
            await until(lambda: len(order.received_ids) == 5)
            caller.close()
            await until(lambda: not rig.sidecar.lives.exchanges and not rig.frontend._clients)
            assert not rig.sidecar._records

    run_test(test)


def test_calls_beyond_the_limit_wait_in_the_socket() -> None:
    async def test() -> None:
        order = await server("late")
        async with run_sidecar(order, calls_in_hand=4) as rig:
            rig.sidecar.balancer.limits.limit = 1000.0
            caller = await rig.caller()
            futures = [caller.send("listing.x", {"id": f"c{n}", "key": f"k{n}"}) for n in range(300)]
            await until(lambda: len(order.received_ids) == 4)
            (client,) = rig.frontend._clients
            assert len(client.open) == 4 and len(client.waiting) < 200
            order.release.set()
            assert [(await response_of(item))[1][0] for item in futures] == [
                f"c{number}" for number in range(300)
            ]

    run_test(test)


def test_an_incomplete_message_ends_a_connection_after_the_stall_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("anisestair.rpc.frontend.STALL_TIMEOUT_S", 0.1)

    async def test() -> None:
        async with run_sidecar(await server()) as rig:
            half = await rig.caller()
            half.writer.write(b"\x94\x00")
            future: asyncio.Future[tuple[Any, Any]] = asyncio.get_running_loop().create_future()
            half.pending[1] = future
            with pytest.raises(ConnectionError):
                await response_of(future)

    run_test(test)


def test_the_remaining_time_is_written_only_at_the_configured_path() -> None:
    async def test() -> None:
        order = await server()
        methods = (MethodTable("order.sale", "sale", deadline=(1, "left")),)
        async with run_sidecar(order, methods=methods) as rig:
            caller = await rig.caller()
            _, (_, (found,)) = await response_of(
                caller.send("order.sale", {"id": "a"}, {"left": 0, "x": 2**63})
            )
            assert 0 < found["left"] <= 1200 and found["x"] == 2**63
            for params in ([{"rest": 1}], [7], []):
                assert await response_of(caller.send("order.sale", {"id": "b"}, *params)) == (
                    None,
                    ["b", params],
                )

    run_test(test)


def test_an_id_in_use_is_not_accepted_again() -> None:
    async def test() -> None:
        order = await server(lambda call: "late")
        methods = (MethodTable("order.sale", "sale", id=(0, "id")),)
        async with run_sidecar(order, methods=methods) as rig:
            caller, other = await rig.caller(), await rig.caller()
            held = caller.send("order.sale", {"id": "a"})
            await asyncio.wait_for(order.received.get(), PATIENCE_S)
            assert (await response_of(other.send("order.sale", {"id": "a"})))[0] == {"code": "bad_call"}
            assert (await response_of(other.send("order.sale", {"id": None})))[0] == {"code": "bad_call"}
            order.release.set()
            assert (await response_of(held))[0] is None and order.received_ids == ["a"]

    run_test(test)


@pytest.mark.parametrize("class_", ["sale", "listing"])
def test_a_connection_closed_after_each_byte_of_a_response(class_: str) -> None:
    complete_response = msgpack.packb([1, 0, None, "served"])

    async def test() -> None:
        for cut in range(len(complete_response) + 1):
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
                        response = msgpack.packb([1, msgid, None, "served"])
                        writer.write(response[:cut] if calls == 1 else response)
                        if calls == 1 and cut < len(complete_response):
                            writer.close()
                            return

            order = RpcServer(lambda call: "ok", Counter(), set())
            order.server = await asyncio.start_server(connected, "127.0.0.1", 0)
            order.dial = f"127.0.0.1:{order.server.sockets[0].getsockname()[1]}"
            async with run_sidecar(order) as rig:
                caller = await rig.caller()
                if class_ == "sale":
                    error, result = await response_of(caller.send("order.sale", {"id": "c"}))
                    assert (error is None, calls) == (cut == len(complete_response), 1), "never sent again"
                else:
                    error, result = await response_of(caller.send("listing.x", {"id": "c", "key": "k"}))
                    assert (error, result) == (None, "served")
            order.close()

    run_test(test)


def test_calls_behind_a_full_socket_fail_only_if_they_were_sent() -> None:
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
        async with run_sidecar(order, calls_per_connection=4096, calls_in_hand=4096) as rig:
            rig.sidecar.balancer.limits.limit = 1e6
            caller = await rig.caller()
            futures = []
            while not any(item.unsent for item in rig.sidecar.lives.connections.values()):
                futures.append(caller.send("order.sale", {"id": f"c{len(futures)}"}, body))
                await asyncio.sleep(0)
                assert len(futures) < 2000, "no kernel buffer is this large"
            futures += [caller.send("order.sale", {"id": f"d{number}"}) for number in range(5)]
            await until(lambda: len(rig.sidecar.lives.exchanges) == len(futures))
            (connection,) = rig.sidecar.lives.connections.values()
            held = {call[0] for call in connection.calls[len(connection.calls) - connection.unsent :]}
            assert 5 < len(held) < len(futures)
            first[0].transport.abort()
            errors = [(await response_of(item))[0] for item in futures]
            failed = [error for error in errors if error == {"code": "failed"}]
            assert len(failed) == len(futures) - len(held), "exactly the calls that were sent fail"
            assert sum(run_counts.values()) == errors.count(None) > 0 and max(run_counts.values()) == 1
            assert all(error is None or error["code"] in ("failed", "refused") for error in errors)

    run_test(test)


def test_a_keyed_call_repeated_while_the_first_still_runs_runs_once_in_its_cell() -> None:
    async def test() -> None:
        run_counts, keys = Counter[str](), set[str]()
        first, second = (RpcServer(lambda call: "late", run_counts, keys) for _ in range(2))
        for order in (first, second):
            await order.start()
        async with run_sidecar(first, second) as rig:
            rig.sidecar.balancer.limits.limit = 1000.0
            caller = await rig.caller()
            futures = [caller.send("listing.x", {"id": "c", "key": "k"}) for _ in range(2)]
            await until(lambda: len(first.received_ids) + len(second.received_ids) == 2)
            for order in (first, second):
                order.release.set()
            assert [await response_of(item) for item in futures] == [(None, ["c", []])] * 2
            assert run_counts == Counter(c=1)

    run_test(test)


def test_both_protocols_together_stay_within_the_limit_of_descriptors() -> None:
    async def test() -> None:
        order = await server("late")
        async with run_sidecar(order, calls_per_connection=1) as rig:
            rig.sidecar.balancer.limits.limit, rig.sidecar.lives.most = 1000.0, 5
            caller = await rig.caller()
            futures = [caller.send("order.sale", {"id": f"c{number}"}) for number in range(12)]
            await until(lambda: len(order.received_ids) == 5)
            assert len(rig.sidecar.lives.connections) == len(order.connections) == 5
            order.release.set()
            errors = [(await response_of(item))[0] for item in futures]
            # The other calls are served once a descriptor is free, or are refused without having run.
            assert errors.count(None) >= 5 and all(
                item is None or item["code"] == "refused" for item in errors
            )
            assert sum(order.run_counts.values()) == errors.count(None)

    run_test(test)


def test_a_client_that_does_not_read_is_disconnected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("anisestair.rpc.frontend.STALL_TIMEOUT_S", 0.2)

    async def test() -> None:
        order = await server()
        async with run_sidecar(order) as rig:
            rig.sidecar.balancer.limits.limit = 1e6
            _, writer = await asyncio.open_connection("127.0.0.1", rig.port, limit=1)
            for number in range(400):
                writer.write(msgpack.packb([0, number, "order.sale", [{"id": f"c{number}"}, b"x" * 60_000]]))
            await until(lambda: bool(rig.frontend._clients))
            await until(lambda: not rig.frontend._clients)
            assert len(order.received_ids) < 400, (
                "calls without buffer space for their responses must not be started"
            )
            await until(lambda: not rig.sidecar.lives.exchanges)
            writer.transport.abort()

    run_test(test)


def test_a_unix_socket_is_opened_even_if_a_stale_one_exists(tmp_path: Path) -> None:
    async def test() -> None:
        path = tmp_path / "s.sock"
        for _ in range(2):
            order = await server()
            async with run_sidecar(order, listen=f"unix:{path}") as rig:
                caller = RpcCaller(*await asyncio.open_unix_connection(str(path)))
                rig.callers.append(caller)
                assert await response_of(caller.send("order.sale", {"id": "c"})) == (None, ["c", []])

    run_test(test)


def test_at_the_connection_limit_the_longest_idle_connection_is_closed_and_none_with_a_call() -> None:
    async def test() -> None:
        order = await server(lambda call: "late" if call == "held" else "ok")
        async with run_sidecar(order) as rig:
            rig.frontend._max_clients = 3
            busy = await rig.caller()
            held = busy.send("order.sale", {"id": "held"})
            await asyncio.wait_for(order.received.get(), PATIENCE_S)
            for number in range(8):
                caller = await rig.caller()
                assert (await response_of(caller.send("order.sale", {"id": f"c{number}"})))[0] is None
                await until(lambda: len(rig.frontend._clients) <= 3)
            order.release.set()
            assert (await response_of(held))[0] is None

    run_test(test)


def test_notifications_are_passed_on_for_listings_but_not_for_sales() -> None:
    async def test() -> None:
        order = await server()
        async with run_sidecar(order) as rig:
            caller = await rig.caller()
            caller.writer.write(msgpack.packb([2, "order.sale", [{"id": "sale"}]]))
            caller.writer.write(msgpack.packb([2, "listing.x", [{"id": "listing", "key": "k"}]]))
            assert (await response_of(caller.send("order.sale", {"id": "c"})))[0] is None
            await until(lambda: len(order.received_ids) == 2)
            assert set(order.received_ids) == {"listing", "c"} and not caller.unexpected

    run_test(test)


def test_a_draining_server_finishes_its_calls_and_gets_no_new_ones() -> None:
    async def test() -> None:
        first, second = await server("late"), await server()
        async with run_sidecar(first) as rig:
            caller = await rig.caller()
            held = caller.send("listing.x", {"id": "held", "key": "k"})
            await asyncio.wait_for(first.received.get(), PATIENCE_S)
            rig.sidecar.discovery.watch()
            rig.discovery.tell(2, entry("s-0", first, "draining"), entry("s-1", second))
            await until(lambda: "s-1" in rig.sidecar.lives.endpoints)
            for number in range(10):
                assert (await response_of(caller.send("order.sale", {"id": f"c{number}"})))[0] is None
            first.release.set()
            assert (await response_of(held))[1][0] == "held"
            assert first.received_ids == ["held"] and len(second.received_ids) == 10
            await until(lambda: not first.connections)

    run_test(test)


def test_a_graceful_stop_lets_a_hundred_calls_complete() -> None:
    async def test() -> None:
        order = await server("late")
        async with run_sidecar(
            order,
            settings={"classes": [SETTINGS["classes"][1] | {"promise-ms": 3000.0}]},
            methods=METHODS[1:],
        ) as rig:
            rig.sidecar.balancer.limits.limit = 1000.0
            caller = await rig.caller()
            futures = [caller.send("listing.x", {"id": f"c{n}", "key": f"k{n}"}) for n in range(100)]
            await until(lambda: len(order.received_ids) == 100)
            end = asyncio.create_task(rig.frontend.stop())
            await asyncio.sleep(0)
            order.release.set()
            assert {(await response_of(item))[1][0] for item in futures} == {f"c{n}" for n in range(100)}
            await end

    run_test(test)


def test_a_server_with_only_http_is_not_counted_as_failing() -> None:
    async def test() -> None:
        async with run_sidecar() as rig:
            rig.sidecar.discovery.watch()
            rig.discovery.tell(2, host("s-9", "127.0.0.1:9"))
            await until(lambda: "s-9" in rig.sidecar.lives.endpoints)
            error, _ = await response_of((await rig.caller()).send("order.sale", {"id": "c"}))
            assert error["code"] == "refused"
            assert rig.sidecar.balancer.servers["s-9"].breaks == 0

    run_test(test)


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
def test_methods_that_contradict_the_settings_are_named(methods: tuple[MethodTable, ...], field: str) -> None:
    async def test() -> None:
        with pytest.raises(ConfigError, match=field):
            async with run_sidecar(methods=methods):
                pass

    run_test(test)


FAULTS = {"ok": 60.0, "late": 3.0, "error": 4.0, "busy": 6.0, "twice": 4.0, "stray": 2.0} | dict.fromkeys(
    ("drop", "drop-run", "cut", "garbage", "never"), 1.0
)
CALL_COUNT, CALLER_COUNT = 20_000, 16


def test_twenty_thousand_calls_under_faults() -> None:
    """Each call gets exactly one correct outcome of its own, no sale runs twice, and no state is left."""
    rng = random.Random(11)

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
        async with run_sidecar(*servers, settings={"classes": classes}) as rig:
            names = iter(range(CALL_COUNT))

            async def calls(caller: RpcCaller) -> None:
                for number in names:
                    sale = rng.random() < 0.7
                    name, key = (
                        f"{'sale' if sale else 'listing'}-{number}",
                        {} if sale else {"key": f"k{number}"},
                    )
                    method = "order.sale" if sale else "listing.add"
                    error, result = await response_of(caller.send(method, {"id": name} | key))
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

            callers = [await rig.caller() for _ in range(CALLER_COUNT)]
            workers = [calls(caller) for caller in callers for _ in range(2)]
            await asyncio.gather(*workers)
            assert not any(caller.unexpected or caller.pending for caller in callers)
            await until(lambda: not rig.sidecar.lives.exchanges)
            assert not rig.sidecar._records and not rig.sidecar.balancer.requests
            lives = rig.sidecar.lives
            assert len(lives.connections) <= 40 and set(lives.endpoints) == set(rig.sidecar._addresses)
        assert sum(outcomes.values()) == CALL_COUNT and outcomes["served"] > CALL_COUNT / 2, outcomes
        assert max(run_counts.values()) == 1, "a sale, or a listing in its cell, ran twice"
        for order in servers:
            order.close()

    run_test(test)
