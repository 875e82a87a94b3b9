"""Several real processes of the program with network faults between them, in plays of a few seconds.

The tests check recorded facts and measure no times. For hundreds of processes see benchmarks/many.py."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest
from sockets import PATIENCE_S

from lab import many, scenario, socket_simulation
from lab.checker import Checker
from lab.scenario import InvalidInput, Source
from rigs.relay import Faults, TcpRelay, UdpRelay

ROOT = Path(__file__).resolve().parent.parent
EXIT_LIMIT_S = 5.0  # until all processes of a killed command have ended
LONG_DEADLINE_CLASS: dict[str, Any] = {
    "name": "call", "work_ms": 20.0, "aim_ms": 4000.0, "deadline_ms": 6000.0, "effect": "keyed",
    "group": "all", "window_ms": 6000.0,
}  # fmt: skip


def small_source(troubles: list[dict[str, Any]], **tables: Any) -> Source:
    tree: dict[str, Any] = {
        "name": "many", "seconds": 9.0, "settle_ms": 0.0, "classes": [LONG_DEADLINE_CLASS],
        "troubles": troubles,
        "servers": {"count": 6, "warm_up_ms": 500.0}, "sidecars": {"count": 10},
        "network": {"zones": ["a", "b"]}, "load": {"share": 0.06}, "clients": {"impatient": 0.0},
        "discovery": {"silent_notice_ms": [800.0, 1500.0]},
    }  # fmt: skip
    return Source(path="many", tree=tree | tables, draws={})


FAULTS = [
    {"kind": "pause", "at_ms": 500.0, "for_ms": 1200.0, "share": 0.3},
    {"kind": "die", "at_ms": 1000.0, "for_ms": 700.0, "share": 0.2},
    {"kind": "half_open", "at_ms": 1200.0, "for_ms": 500.0, "share": 0.5},
    {"kind": "lossy", "at_ms": 1800.0, "for_ms": 700.0, "share": 0.5, "size": 0.2},
    {"kind": "one_way", "at_ms": 2600.0, "for_ms": 700.0, "share": 0.5},
    {"kind": "cut", "at_ms": 3400.0, "for_ms": 700.0, "share": 0.5},
    {"kind": "resets", "at_ms": 4200.0, "for_ms": 400.0, "share": 0.5, "size": 0.2},
    {"kind": "far", "at_ms": 4200.0, "for_ms": 600.0, "share": 0.5, "size": 30.0},
    {"kind": "disagree", "at_ms": 500.0, "for_ms": 5000.0, "share": 0.4, "size": 1500.0},
    {"kind": "dead", "at_ms": 700.0, "for_ms": 900.0, "share": 0.3},
    {"kind": "away", "at_ms": 1500.0, "for_ms": 1500.0},
]


@pytest.fixture(scope="module")
def played() -> socket_simulation.SocketPlayResult:
    found, _ = many.play(small_source(FAULTS), 2, drivers=2)
    return found


def test_ten_sidecars_keep_the_rules_under_network_faults(played: socket_simulation.SocketPlayResult) -> None:
    assert not played.row.fault and not played.checker.violations, played.checker.first_violations
    assert played.row.ran_twice == 0 and played.row.falls == 0


def test_every_served_call_is_recorded(played: socket_simulation.SocketPlayResult) -> None:
    bins = played.measures.bins
    served = sum(item.served for item in bins)
    assert served > 200 and played.latency.get_total_count() == served
    assert sum(sum(cells) for cells in played.evenness.counts.values()) >= served


def test_no_server_stays_idle_and_service_recovers(played: socket_simulation.SocketPlayResult) -> None:
    assert all(sum(cells) > 0 for cells in played.evenness.counts.values())
    # From 6.5 s on all faults are over, and calls that started since then had enough time to end.
    late = played.measures.bins[26:30]
    assert sum(bin_.served for bin_ in late) > 0.8 * sum(bin_.first for bin_ in late)


def test_both_drivers_and_every_sidecar_took_part(played: socket_simulation.SocketPlayResult) -> None:
    assert len(played.memory_kb) == 12  # ten sidecars, two of which were restarted
    assert all(private <= proportional <= resident for resident, proportional, private in played.memory_kb)


def test_a_fast_failing_server_attracts_no_load_and_a_busy_sidecar_is_served() -> None:
    """An immediate status 500 has a low latency: the failing server must still get less than an even
    share, and all six sidecars, one of them with twenty times its usual traffic, are served by the other
    servers."""
    troubles = [
        {"kind": "errors", "at_ms": 1000.0, "for_ms": 5000.0, "share": 0.2, "size": 1.0},
        {"kind": "hot", "at_ms": 1500.0, "for_ms": 4000.0, "share": 0.15, "size": 20.0},
    ]
    made = small_source(
        troubles, seconds=7.0, servers={"count": 5}, sidecars={"count": 6}, load={"share": 0.03}
    )
    found, _ = many.play(made, 3, drivers=1)
    assert not found.row.fault and not found.checker.violations, found.checker.first_violations
    (failing,) = {server for server, marks in found.evenness._marks.items() if marks[0][1] == "errors"}
    counts = {server: sum(cells[40:110]) for server, cells in found.evenness.counts.items()}
    others = [count for server, count in counts.items() if server != failing]
    assert counts[failing] < 0.5 * sum(others) / len(others)
    bins = found.measures.bins[8:22]
    assert sum(item.served for item in bins) > 0.9 * sum(item.first for item in bins) > 30


def test_the_checker_reports_an_unsafe_call_that_is_sent_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    """A recorded send of an unsafe call is duplicated; the checker must count it."""
    reports: list[dict[str, Any]] = []
    original = socket_simulation.SocketPlayResult.__init__

    def keep(self: Any, scenario: Any, seed: int, driver_reports: Any) -> None:
        reports.extend(driver_reports)
        original(self, scenario, seed, driver_reports)

    monkeypatch.setattr(socket_simulation.SocketPlayResult, "__init__", keep)
    unsafe_class = msgspec.json.decode(msgspec.json.encode(LONG_DEADLINE_CLASS | {"effect": "unsafe"}))
    small = small_source([], seconds=2.0, classes=[unsafe_class], sidecars={"count": 2})
    many.play(small, 1, drivers=1)
    monkeypatch.undo()
    (report,) = reports
    assert not socket_simulation.SocketPlayResult(small.scenario_for(1), 1, [report]).checker.violations
    sent = next(item for item in report["notes"] if item[1] == "sent")
    again = [sent[0] + 1.0, "sent", [*sent[2][:2], "again", *sent[2][3:]]]
    report["notes"] = sorted([*report["notes"], again], key=lambda item: item[0])
    assert (
        socket_simulation.SocketPlayResult(small.scenario_for(1), 1, [report]).checker.violations["twice"]
        == 1
    )


def test_a_killed_command_leaves_no_process_running(tmp_path: Path) -> None:
    """SIGKILL of the command while all processes run: drivers, fork servers and sidecars must all end."""
    file = tmp_path / "many.toml"
    file.write_text('name = "many"\nseconds = 60.0\n[sidecars]\ncount = 8\n[load]\nshare = 0.05\n')
    command = [sys.executable, "-m", "lab", "sockets", str(file), "--drivers", "2"]
    process = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    deadline = time.monotonic() + many.START_TIMEOUT_S
    while len(pids := process_tree(process.pid)) < 1 + 2 + 2 + 8:
        assert process.poll() is None and time.monotonic() < deadline, pids
        time.sleep(0.05)
    process.kill()
    process.wait()
    deadline = time.monotonic() + EXIT_LIMIT_S
    while remaining := [pid for pid in pids if is_alive(pid)]:
        assert time.monotonic() < deadline, remaining
        time.sleep(0.02)


def process_tree(pid: int) -> list[int]:
    """A process and all its descendants (proc(5), children)."""
    try:
        children = Path(f"/proc/{pid}/task/{pid}/children").read_text(encoding="ascii").split()
    except OSError:
        return []
    return [pid, *(descendant for child in children for descendant in process_tree(int(child)))]


def is_alive(pid: int) -> bool:
    try:
        return Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


def test_changes_of_versions_are_rejected_over_sockets() -> None:
    with pytest.raises(InvalidInput, match="changes of versions"):
        asyncio.run(_create_simulation(small_source([{"kind": "upgrade"}])))


async def _create_simulation(upgrade: Source) -> None:
    socket_simulation.SocketSimulation(upgrade.scenario_for(1), 1)


# Relays


def run(test: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(PATIENCE_S):
            await test()

    asyncio.run(bounded())


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(1000):
        writer.write(data)
    writer.close()


def test_a_partitioned_link_keeps_its_bytes_and_delivers_them_when_it_is_healed() -> None:
    async def play() -> None:
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        relay = TcpRelay(*server.sockets[0].getsockname()[:2], seed=1)
        reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)
        writer.write(b"one")
        assert await reader.readexactly(3) == b"one"
        for faults in (
            Faults(to_target=False),
            Faults(to_client=False),
            Faults(to_target=False, to_client=False),
        ):
            relay.set_faults(faults)
            writer.write(b"two")
            waiting = asyncio.ensure_future(reader.readexactly(3))
            await asyncio.sleep(0.05)
            assert not waiting.done()
            relay.set_faults(Faults())
            assert await waiting == b"two"
        relay.make_half_open()
        writer.write(b"lost")
        fresh_reader, fresh = await asyncio.open_connection("127.0.0.1", relay.port)
        fresh.write(b"new")
        assert await fresh_reader.readexactly(3) == b"new"
        assert reader._buffer == b""  # type: ignore[attr-defined]
        relay.set_faults(Faults(reset=1.0))
        fresh.write(b"gone")
        assert await fresh_reader.read() == b"" or True
        relay.close()
        server.close()

    run(play)


def test_no_connection_opens_through_a_partitioned_link() -> None:
    async def play() -> None:
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        relay = TcpRelay(*server.sockets[0].getsockname()[:2], seed=1)
        relay.set_faults(Faults(to_target=False))
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await asyncio.open_connection("127.0.0.1", relay.port)
        relay.set_faults(Faults())
        reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)
        writer.write(b"up")
        assert await reader.readexactly(2) == b"up"
        relay.close()
        server.close()

    run(play)


def test_a_relay_buffers_no_more_than_its_limit() -> None:
    async def play() -> None:
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        relay = TcpRelay(*server.sockets[0].getsockname()[:2], seed=1)
        reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)
        writer.write(b"x")
        await reader.readexactly(1)
        relay.set_faults(Faults(to_target=False))
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(1.0):
                while True:
                    writer.write(b"y" * 65_536)
                    await writer.drain()
        (connection,) = relay.connections
        assert connection.target_side.queued_bytes < 2 * (1 << 20)
        relay.close()
        server.close()

    run(play)


def test_datagrams_are_lost_delayed_and_duplicated_by_seed() -> None:
    async def play() -> None:
        with (
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as target,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender,
        ):
            target.bind(("127.0.0.1", 0))
            target.setblocking(False)
            relay = await UdpRelay.start(target.getsockname(), seed=3)
            relay.faults = Faults(loss=0.3, duplicate=0.3, delay_ms=1.0, jitter_ms=5.0)
            for number in range(300):
                sender.sendto(b"%d" % number, ("127.0.0.1", relay.port))
            loop, received = asyncio.get_running_loop(), Counter[bytes]()
            while received.total() + relay.dropped < 300 or relay._in_flight:
                try:
                    received[await asyncio.wait_for(loop.sock_recv(target, 100), 0.2)] += 1
                except TimeoutError:
                    continue
            assert (
                0.15 * 300 < 300 - len(received) < 0.45 * 300
                and 20 < sum(n > 1 for n in received.values()) < 120
            )
            relay.faults = Faults(to_target=False)
            sender.sendto(b"never", ("127.0.0.1", relay.port))
            before = relay.dropped
            while relay.dropped == before:
                await asyncio.sleep(0.01)
            relay.transport.close()

    run(play)


def test_a_killed_driver_is_reported() -> None:
    """A driver that ends before its report is named in the error, and the others are ended."""

    async def play() -> None:
        original = many.read_message
        count = 0

        async def kill_a_driver(reader: Any) -> Any:
            nonlocal count
            count += 1
            if count == 3:
                for pid in process_tree(os.getpid())[1:]:
                    if b"lab.driver" in Path(f"/proc/{pid}/cmdline").read_bytes():
                        os.kill(pid, signal.SIGKILL)
                        break
            return await original(reader)

        many.read_message = kill_a_driver  # type: ignore[assignment]
        try:
            with pytest.raises(many.DriverDiedError, match="ended with -9"):
                await many._play_with_drivers(
                    small_source([], seconds=2.0, sidecars={"count": 2}), 1, 2, "http"
                )
        finally:
            many.read_message = original
        assert not [
            pid
            for pid in process_tree(os.getpid())[1:]
            if b"lab.driver" in Path(f"/proc/{pid}/cmdline").read_bytes()
        ]

    asyncio.run(play())


def test_the_checker_and_the_event_recorder_have_the_same_parameters() -> None:
    from lab.ledger import EventRecorder

    for name in ("started", "listed", "asked", "sent", "ended", "final", "left", "overdue", "ran", "breach"):
        assert (
            EventRecorder.__dict__[name].__code__.co_varnames[
                : EventRecorder.__dict__[name].__code__.co_argcount
            ]
            == (Checker.__dict__[name].__code__.co_varnames[: Checker.__dict__[name].__code__.co_argcount])
        ), name


def test_the_scenario_for_many_processes_loads() -> None:
    assert scenario.load(ROOT / "lab/scenarios/even.toml").scenario_for(1).sidecars.count == 200
