"""The ledger detects each violated rule, the relay holds and resets connections, and a few seconds of faults
between real sidecars violate no rule."""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from benchmarks.lost_links import summary
from rigs.lost_links.between import HoldingRelay, release_held, reset_half
from rigs.lost_links.hop import GUARDS
from rigs.lost_links.ledger import (
    CLIENT_LEFT,
    CONNECTION_CLOSED,
    NO_RESPONSE,
    UNREAD,
    Call,
    Execution,
    InjectedFault,
    Ledger,
    LostCall,
    Rule,
)
from rigs.lost_links.play import LostLinksRun, RunSettings
from rigs.mesh_peers import wait_until, with_timeout
from rigs.relay import Faults

KEY, OTHER = "k1", "k2"


def a_call(connection: int = 1, effectful: bool = True) -> Call:
    return Call("a1", 0, connection, effectful, "red", sent_at=1.0, time_left_s=1.0)


def an_execution(instance: str = "red-1") -> Execution:
    return Execution("a1", instance, "red", "proxy-1", 1.1, 1.2, "ok", seal=f"{instance}.1", response_crc=7)


def ledger_of_served_calls() -> Ledger:
    """Two calls that were served correctly."""
    ledger = Ledger()
    for at, key in enumerate((KEY, OTHER)):
        call, execution = a_call(connection=at), an_execution(f"red-{at}")
        call.status, call.ended_at, call.response_key = 200, 1.3, key
        call.seal, call.response_crc = execution.seal, execution.response_crc
        ledger.calls[key] = call
        ledger.executions[key].append(execution)
    return ledger


def set_outcome(ledger: Ledger, end: str) -> None:
    call = ledger.calls[KEY]
    call.status, call.end, call.response_key = 0, end, ""


def execute_again(ledger: Ledger) -> None:
    ledger.executions[KEY].append(an_execution("red-9"))


def answer_promise(status: int) -> Callable[[Ledger], None]:
    def set_status(ledger: Ledger) -> None:
        ledger.calls[KEY].status, ledger.calls[KEY].response_key = status, ""

    return set_status


def leave_unread(ledger: Ledger) -> None:
    set_outcome(ledger, UNREAD)


def answer_on_another_connection(ledger: Ledger) -> None:
    ledger.calls[KEY].response_key = OTHER


def answer_out_of_order(ledger: Ledger) -> None:
    ledger.calls[OTHER].connection = ledger.calls[KEY].connection
    answer_on_another_connection(ledger)


def answer_for_unknown_call(ledger: Ledger) -> None:
    ledger.calls[KEY].response_key = "nobody's"


def remove_the_seal(ledger: Ledger) -> None:
    ledger.calls[KEY].seal = ""


def truncate_the_answer(ledger: Ledger) -> None:
    ledger.calls[KEY].response_crc = 8


def remove_the_execution(ledger: Ledger) -> None:
    ledger.executions[KEY].clear()


def do_not_answer(ledger: Ledger) -> None:
    set_outcome(ledger, NO_RESPONSE)


def remove_the_outcome(ledger: Ledger) -> None:
    set_outcome(ledger, "")


def garble_the_request(ledger: Ledger) -> None:
    ledger.executions[KEY][0].request_crc = 9


def execute_at_another_service(ledger: Ledger) -> None:
    ledger.executions[KEY][0].service = "blue"


@pytest.mark.parametrize(
    ("break_rule", "rule"),
    [
        (execute_again, Rule.TWICE),
        *((answer_promise(status), Rule.PROMISE) for status in (408, 421, 429, 503)),
        (leave_unread, Rule.PROMISE),
        (answer_on_another_connection, Rule.CONNECTION),
        (answer_for_unknown_call, Rule.CONNECTION),
        (answer_out_of_order, Rule.ORDER),
        (remove_the_seal, Rule.SEAL),
        (truncate_the_answer, Rule.SEAL),
        (remove_the_execution, Rule.SEAL),
        (do_not_answer, Rule.END),
        (remove_the_outcome, Rule.END),
        (garble_the_request, Rule.BODY),
        (execute_at_another_service, Rule.SERVICE),
    ],
)
def test_the_judge_sees_each_broken_rule(break_rule: Callable[[Ledger], None], rule: Rule) -> None:
    ledger = ledger_of_served_calls()
    assert not list(ledger.violations())
    break_rule(ledger)
    assert [(violation.rule, violation.key) for violation in ledger.violations()] == [(rule, KEY)]


@pytest.mark.parametrize("end", [CONNECTION_CLOSED, CLIENT_LEFT])
def test_a_connection_that_ended_promises_nothing(end: str) -> None:
    ledger = ledger_of_served_calls()
    set_outcome(ledger, end)
    assert not list(ledger.violations())


def test_an_idempotent_call_may_run_twice_and_after_a_close() -> None:
    ledger = ledger_of_served_calls()
    ledger.calls[KEY].effectful = False
    execute_again(ledger)
    assert not list(ledger.violations())
    leave_unread(ledger)
    assert not list(ledger.violations())


def test_calls_in_doubt_are_grouped_by_execution_at_the_peer_and_by_fault() -> None:
    ledger = ledger_of_served_calls()
    ledger.faults = [InjectedFault("reset", 1, 1.0, 1.1)]
    ledger.lost_calls = [
        LostCall(KEY, "proxy-1", 1.15, True, "reset"),
        LostCall(OTHER, "proxy-2", 1.15, True, "reset"),  # it was executed at proxy-1, after the loss
    ]
    found = ledger.in_doubt()
    assert found["run_there"] == {"reset": {"success": 1}}
    assert found["not_run_there"] == {"none": {"success": 1}}
    assert found["not_run"]["reached again"] == {"calls": 1, "success_or_promise": 1}
    assert found["not_run"]["not reached"]["calls"] == 0
    assert found["added_ms"]["calls"] == 1 and found["added_ms"]["p50"] == pytest.approx(100.0)


# The relay


class Echo(asyncio.Protocol):
    """Records and returns what it receives."""

    def __init__(self, received: list[bytes], ended: asyncio.Event) -> None:
        self.received, self.ended = received, ended

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.received.append(data)
        self.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended.set()


def with_relay(work: Callable[[HoldingRelay, list[bytes], asyncio.Event], Awaitable[None]]) -> None:
    async def run() -> None:
        received, ended = list[bytes](), asyncio.Event()
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: Echo(received, ended), "127.0.0.1", 0)
        relay = HoldingRelay("127.0.0.1", server.sockets[0].getsockname()[1], seed=1)
        try:
            await work(relay, received, ended)
        finally:
            relay.close()
            server.close()

    asyncio.run(asyncio.wait_for(run(), 10.0))


def test_held_data_arrives_after_its_sender_has_gone_and_new_connections_pass() -> None:
    async def work(relay: HoldingRelay, received: list[bytes], ended: asyncio.Event) -> None:
        reader, first = await asyncio.open_connection("127.0.0.1", relay.port)
        first.write(b"one")
        assert await with_timeout(reader.readexactly(3)) == b"one"
        held = relay.hold(to_target=True, to_client=False)
        first.write(b"late")
        first.transport.abort()
        reader, second = await asyncio.open_connection("127.0.0.1", relay.port)
        second.write(b"two")
        assert await with_timeout(reader.readexactly(3)) == b"two"
        assert received == [b"one", b"two"] and not ended.is_set()
        release_held(held)
        await with_timeout(ended.wait())
        assert received == [b"one", b"two", b"late"]
        second.close()

    with_relay(work)


def test_half_of_the_connections_are_reset_at_once() -> None:
    async def work(relay: HoldingRelay, received: list[bytes], ended: asyncio.Event) -> None:
        streams = [await asyncio.open_connection("127.0.0.1", relay.port) for _ in range(4)]
        for reader, writer in streams:
            writer.write(b"x")
            assert await with_timeout(reader.readexactly(1)) == b"x"
        assert reset_half([relay], random.Random(1)) == 2
        for _, writer in streams:
            writer.write(b"y")
        found = await with_timeout(
            asyncio.gather(*(one.read(1) for one, _ in streams), return_exceptions=True)
        )
        assert sum(isinstance(one, ConnectionResetError) for one in found) == 2 and found.count(b"y") == 2
        for _, writer in streams:
            writer.transport.abort()

    with_relay(work)


# Between real sidecars


SMALL = RunSettings(proxies=3, connections=3, pause_s=0.05, fault_interval_s=(0.1, 0.3))


def run_for(
    folder: Path, seconds: float, script: tuple[str, ...], settings: RunSettings = SMALL
) -> LostLinksRun:
    async def run() -> LostLinksRun:
        test_run = LostLinksRun(folder, settings, seed=1)
        await asyncio.wait_for(test_run.run(seconds, script), 90.0)
        return test_run

    return asyncio.run(run())


def test_seconds_of_resets_and_silence_break_no_rule(tmp_path: Path) -> None:
    test_run = run_for(tmp_path, 4.0, ("reset", "half", "held", "silent back", "freeze", "kill"))
    assert not list(test_run.ledger.violations()) and not test_run.failed_fault
    assert (
        len(test_run.ledger.calls) > 100 and test_run.ledger.lost_calls and len(test_run.applied_faults) >= 4
    )
    figures = summary(test_run, 4.0, 1.0, Counter())
    assert figures["lost_calls"] == len({one.key for one in test_run.ledger.lost_calls})
    assert json.loads(json.dumps(figures))["calls"] == sum(
        sum(ends.values()) for ends in figures["told"].values()
    )


def test_a_disabled_guard_is_detected(tmp_path: Path) -> None:
    settings = RunSettings(proxies=2, connections=3, pause_s=0.05, misbehavior=5.0, disabled_guards=("ids",))
    rules = {violation.rule for violation in run_for(tmp_path, 3.0, ("reset",), settings).ledger.violations()}
    assert Rule.CONNECTION in rules and Rule.SEAL in rules


@pytest.mark.parametrize("guard", sorted(GUARDS))
def test_each_guard_that_can_be_disabled_exists(guard: str) -> None:
    """Otherwise a run with the guard disabled would be a normal run."""
    for owner, name, _ in GUARDS[guard]():
        assert hasattr(owner, name)


def test_data_queued_by_a_slow_link_is_delivered_when_the_link_is_fast_again() -> None:
    """Guards against a large write that kept the low rate for half a minute after the limit was lifted, as in
    seed 241."""

    async def run() -> None:
        received = bytearray()

        async def take(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await reader.read(65536):
                received.extend(data)
            writer.close()

        server = await asyncio.start_server(take, "127.0.0.1", 0)
        relay = HoldingRelay("127.0.0.1", server.sockets[0].getsockname()[1], seed=1)
        relay.set_faults(Faults(bytes_s=1000.0))
        _, writer = await asyncio.open_connection("127.0.0.1", relay.port)
        writer.write(bytes(600_000))
        await writer.drain()
        await wait_until(
            lambda: any(
                side.queue
                for connection in relay.open()
                for side in (connection.client_side, connection.target_side)
            ),
            5.0,
        )
        assert len(received) < 600_000
        relay.set_faults(Faults())
        await wait_until(lambda: len(received) == 600_000, 5.0)
        writer.close()
        relay.close()
        server.close()

    asyncio.run(run())
