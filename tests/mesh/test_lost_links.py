"""The judge of calls whose links are lost sees each broken rule; the relay holds and resets as it says; and a
few seconds of it between real sidecars break none."""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from benchmarks.lost_links import result
from rigs.lost_links import ledger as told
from rigs.lost_links.between import Between, let_go, reset_half
from rigs.lost_links.hop import GUARDS
from rigs.lost_links.ledger import Call, Ledger, Lost, Rule, Run, Trouble
from rigs.lost_links.play import Play, Size
from rigs.mesh_peers import soon, until
from rigs.relay import Faults

KEY, OTHER = "k1", "k2"


def a_call(door: int = 1, effectful: bool = True) -> Call:
    return Call("a1", 0, door, effectful, "red", sent=1.0, left_s=1.0)


def a_run(instance: str = "red-1") -> Run:
    return Run("a1", instance, "red", "proxy-1", 1.1, 1.2, "ok", seal=f"{instance}.1", sum=7)


def served() -> Ledger:
    """Two calls that were served as they should be."""
    ledger = Ledger()
    for at, key in enumerate((KEY, OTHER)):
        call, run = a_call(door=at), a_run(f"red-{at}")
        call.status, call.at, call.named, call.seal, call.sum = 200, 1.3, key, run.seal, run.sum
        ledger.calls[key] = call
        ledger.runs[key].append(run)
    return ledger


def without_a_status(ledger: Ledger, end: str) -> None:
    call = ledger.calls[KEY]
    call.status, call.end, call.named = 0, end, ""


def again(ledger: Ledger) -> None:
    ledger.runs[KEY].append(a_run("red-9"))


def promised(status: int) -> Callable[[Ledger], None]:
    def tell(ledger: Ledger) -> None:
        ledger.calls[KEY].status, ledger.calls[KEY].named = status, ""

    return tell


def unread(ledger: Ledger) -> None:
    without_a_status(ledger, told.UNREAD)


def at_another_door(ledger: Ledger) -> None:
    ledger.calls[KEY].named = OTHER


def behind(ledger: Ledger) -> None:
    ledger.calls[OTHER].door = ledger.calls[KEY].door
    at_another_door(ledger)


def nobodys(ledger: Ledger) -> None:
    ledger.calls[KEY].named = "nobody's"


def unsealed(ledger: Ledger) -> None:
    ledger.calls[KEY].seal = ""


def cut_off(ledger: Ledger) -> None:
    ledger.calls[KEY].sum = 8


def made_up(ledger: Ledger) -> None:
    ledger.runs[KEY].clear()


def silent(ledger: Ledger) -> None:
    without_a_status(ledger, told.SILENT)


def forgotten(ledger: Ledger) -> None:
    without_a_status(ledger, "")


def garbled(ledger: Ledger) -> None:
    ledger.runs[KEY][0].asked = 9


def elsewhere(ledger: Ledger) -> None:
    ledger.runs[KEY][0].service = "blue"


@pytest.mark.parametrize(
    ("break_it", "rule"),
    [
        (again, Rule.TWICE),
        *((promised(status), Rule.PROMISE) for status in (408, 421, 429, 503)),
        (unread, Rule.PROMISE),
        (at_another_door, Rule.DOOR),
        (nobodys, Rule.DOOR),
        (behind, Rule.ORDER),
        (unsealed, Rule.SEAL),
        (cut_off, Rule.SEAL),
        (made_up, Rule.SEAL),
        (silent, Rule.END),
        (forgotten, Rule.END),
        (garbled, Rule.BODY),
        (elsewhere, Rule.SERVICE),
    ],
)
def test_the_judge_sees_each_broken_rule(break_it: Callable[[Ledger], None], rule: Rule) -> None:
    ledger = served()
    assert not list(ledger.judge())
    break_it(ledger)
    assert [(fault.rule, fault.key) for fault in ledger.judge()] == [(rule, KEY)]


@pytest.mark.parametrize("end", [told.CLOSED, told.LEFT])
def test_a_connection_that_ended_promises_nothing(end: str) -> None:
    ledger = served()
    without_a_status(ledger, end)
    assert not list(ledger.judge())


def test_what_may_be_repeated_may_run_twice_and_behind_a_close() -> None:
    ledger = served()
    ledger.calls[KEY].effectful = False
    again(ledger)
    assert not list(ledger.judge())
    unread(ledger)
    assert not list(ledger.judge())


def test_calls_in_doubt_are_told_apart_by_whether_they_ran_there_and_what_was_done() -> None:
    ledger = served()
    ledger.troubles = [Trouble("reset", 1, 1.0, 1.1)]
    ledger.lost = [
        Lost(KEY, "proxy-1", 1.15, True, "reset"),
        Lost(OTHER, "proxy-2", 1.15, True, "reset"),  # it ran at proxy-1, after the loss
    ]
    found = ledger.in_doubt()
    assert found["run_there"] == {"reset": {"success": 1}}
    assert found["not_run_there"] == {"none": {"success": 1}}
    assert found["not_run"]["reached again"] == {"calls": 1, "success_or_promise": 1}
    assert found["not_run"]["not reached"]["calls"] == 0
    assert found["added_ms"]["calls"] == 1 and found["added_ms"]["p50"] == pytest.approx(100.0)


# The relay


class Echo(asyncio.Protocol):
    """Gives back what comes, and keeps it."""

    def __init__(self, came: list[bytes], ended: asyncio.Event) -> None:
        self.came, self.ended = came, ended

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.came.append(data)
        self.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended.set()


def with_a_relay(work: Callable[[Between, list[bytes], asyncio.Event], Awaitable[None]]) -> None:
    async def whole() -> None:
        came, ended = list[bytes](), asyncio.Event()
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: Echo(came, ended), "127.0.0.1", 0)
        relay = Between("127.0.0.1", server.sockets[0].getsockname()[1], seed=1)
        try:
            await work(relay, came, ended)
        finally:
            relay.close()
            server.close()

    asyncio.run(asyncio.wait_for(whole(), 10.0))


def test_what_was_held_arrives_though_its_sender_has_gone_and_new_connections_pass() -> None:
    async def work(relay: Between, came: list[bytes], ended: asyncio.Event) -> None:
        reader, first = await asyncio.open_connection("127.0.0.1", relay.port)
        first.write(b"one")
        assert await soon(reader.readexactly(3)) == b"one"
        held = relay.hold(there=True, back=False)
        first.write(b"late")
        first.transport.abort()
        reader, second = await asyncio.open_connection("127.0.0.1", relay.port)
        second.write(b"two")
        assert await soon(reader.readexactly(3)) == b"two"
        assert came == [b"one", b"two"] and not ended.is_set()
        let_go(held)
        await soon(ended.wait())
        assert came == [b"one", b"two", b"late"]
        second.close()

    with_a_relay(work)


def test_half_of_the_connections_are_reset_in_one_moment() -> None:
    async def work(relay: Between, came: list[bytes], ended: asyncio.Event) -> None:
        streams = [await asyncio.open_connection("127.0.0.1", relay.port) for _ in range(4)]
        for reader, writer in streams:
            writer.write(b"x")
            assert await soon(reader.readexactly(1)) == b"x"
        assert reset_half([relay], random.Random(1)) == 2
        for _, writer in streams:
            writer.write(b"y")
        found = await soon(asyncio.gather(*(one.read(1) for one, _ in streams), return_exceptions=True))
        assert sum(isinstance(one, ConnectionResetError) for one in found) == 2 and found.count(b"y") == 2
        for _, writer in streams:
            writer.transport.abort()

    with_a_relay(work)


# Between real sidecars


SMALL = Size(proxies=3, connections=3, pause_s=0.05, every_s=(0.1, 0.3))


def played(folder: Path, seconds: float, script: tuple[str, ...], size: Size = SMALL) -> Play:
    async def whole() -> Play:
        play = Play(folder, size, seed=1)
        await asyncio.wait_for(play.run(seconds, script), 90.0)
        return play

    return asyncio.run(whole())


def test_seconds_of_resets_and_silence_break_no_rule(tmp_path: Path) -> None:
    play = played(tmp_path, 4.0, ("reset", "half", "held", "silent back", "freeze", "kill"))
    assert not list(play.ledger.judge()) and not play.faulted
    assert len(play.ledger.calls) > 100 and play.ledger.lost and len(play.done) >= 4
    told_of = result(play, 4.0, 1.0, Counter())
    assert told_of["lost_calls"] == len({one.key for one in play.ledger.lost})
    assert json.loads(json.dumps(told_of))["calls"] == sum(
        sum(ends.values()) for ends in told_of["told"].values()
    )


def test_a_guard_that_is_missing_is_seen(tmp_path: Path) -> None:
    size = Size(proxies=2, connections=3, pause_s=0.05, broken=5.0, without=("ids",))
    rules = {fault.rule for fault in played(tmp_path, 3.0, ("reset",), size).ledger.judge()}
    assert Rule.DOOR in rules and Rule.SEAL in rules


@pytest.mark.parametrize("guard", sorted(GUARDS))
def test_each_guard_that_can_be_left_out_is_there(guard: str) -> None:
    """Else a run without it would be an ordinary one."""
    for whose, name, _ in GUARDS[guard]():
        assert hasattr(whose, name)


def test_a_narrow_link_takes_its_time_and_gives_all_once_it_is_wide_again() -> None:
    """Seen in seed 241: half a minute after all links were wide again a large write still crept on."""

    async def run() -> None:
        came = bytearray()

        async def take(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await reader.read(65536):
                came.extend(data)
            writer.close()

        server = await asyncio.start_server(take, "127.0.0.1", 0)
        relay = Between("127.0.0.1", server.sockets[0].getsockname()[1], seed=1)
        relay.set_faults(Faults(bytes_s=1000.0))
        _, writer = await asyncio.open_connection("127.0.0.1", relay.port)
        writer.write(bytes(600_000))
        await writer.drain()
        await until(
            lambda: any(side.queue for pair in relay.open() for side in (pair.client_side, pair.target_side)),
            5.0,
        )
        assert len(came) < 600_000
        relay.set_faults(Faults())
        await until(lambda: len(came) == 600_000, 5.0)
        writer.close()
        relay.close()
        server.close()

    asyncio.run(run())
