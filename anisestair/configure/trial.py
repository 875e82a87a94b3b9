"""Tries a configuration: runs a real sidecar with simulated callers, servers and faults on loopback.

A trial is limited in time and rate, ends by itself, and leaves no process running, even if it is interrupted.
"""

from __future__ import annotations

import asyncio
import copy
import json
import signal
import sys
import tempfile
import time
from pathlib import Path

from anisestair.configure.derive import DerivedConfig, to_toml
from anisestair.configure.description import App
from rigs import fleet
from rigs.market import Callers, CallKind, Market, ServerBehavior

ROOT = Path(__file__).resolve().parent.parent.parent

MAX_SECONDS = 120.0
# Calls a second over all kinds: fewer show nothing in 10 s, more would measure the simulated servers.
MIN_RATE, MAX_RATE = 30.0, 200.0
MAX_SERVERS, MIN_SERVERS = 8, 3
# Seeded faults of the servers throughout the trial: each kind that a sidecar has to distinguish.
SERVER_FAULTS = ServerBehavior(reset=0.01, error=0.01, turned_away=0.02)
# As shares of the duration: one server is killed and later restarted cold, another is drained and removed.
KILL_AT, DRAIN_AT, REMOVE_AT, RESTART_AT = 0.25, 0.4, 0.75, 0.6
DEATH_NOTICE_S = 0.7  # time until discovery notices that a server died
MAX_WARM_UP_SHARE = 0.3  # of the duration


def simulated_kinds(app: App, scale: float = 1.0) -> list[CallKind]:
    """The application's calls, with one method each. With both protocols, calls alternate between them."""
    return [
        CallKind(
            name=call.name,
            repeat=call.repeat,
            rate=call.rate * scale,
            given_up_ms=call.given_up_ms,
            burst=min(call.burst, max(1, round(call.rate * scale))),
            size=min(call.request_bytes, 65_536),
            remembers_ms=call.remembers_ms,
            remembered_by=call.remembered_by,
            method=call.methods[0].replace("*", "one") if app.speaks_rpc else "",
            key=call.key,
            alternates_protocols=len(app.protocols) > 1,
        )
        for call in app.calls
    ]


def loopback_texts(derived: DerivedConfig, market: Market) -> tuple[str, str]:
    """The files of a configuration, with the addresses of the simulated market."""
    platform, operator = copy.deepcopy(derived.platform), copy.deepcopy(derived.operator)
    platform |= {"listen": "127.0.0.1:0", "discovery": market.discovery}
    platform["known"] = {"seq": market.seq, "whole": True, "hosts": market.hosts()}
    if operator is not None:
        operator["rpc"]["listen"] = "127.0.0.1:0"
    return json.dumps(platform), to_toml(operator) if operator is not None else ""


async def _run_until_signal(app: App, derived: DerivedConfig, seconds: float, seed: int) -> Market:
    """Runs a trial that SIGINT and SIGTERM cancel. SIGINT needs an explicit handler: a shell without job
    control starts background processes with SIGINT ignored, so the interpreter installs no handler, and the
    trial would run to its end."""
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await run_market(app, derived, seconds, seed, progress=True)


async def run_market(
    app: App, derived: DerivedConfig, seconds: float, seed: int, progress: bool = False
) -> Market:
    """Runs calls and faults for ``seconds`` and returns the market with its results. Raises
    fleet.StartError."""
    rate = sum(call.rate for call in app.calls)
    scale = min(max(MIN_RATE / rate, 1.0), MAX_RATE / rate) if rate > 0 else 1.0
    kinds = simulated_kinds(app, scale)
    servers = min(max(app.fleet.servers, MIN_SERVERS), MAX_SERVERS)
    # Together the servers can serve three times the rate, so only the sidecar can overload a starting one.
    capacity = 3.0 * max(rate * scale, 1.0) / servers
    async with Market(kinds, servers, seed, SERVER_FAULTS, app.data_centre or "a", capacity) as market:
        platform, operator = loopback_texts(derived, market)
        with tempfile.TemporaryDirectory() as folder:
            arguments: tuple[str, ...] = ()
            if operator:
                file = Path(folder) / "sidecar.toml"
                file.write_text(operator, encoding="utf-8")
                arguments = ("--operator", str(file))
            async with fleet.run_program(ROOT, platform, *arguments) as running:
                rpc = await running.next_listener_port() if operator else 0
                callers = Callers(market, running.port, rpc)
                tasks = [asyncio.create_task(_inject_faults(app, market, seconds))]
                if progress:
                    tasks.append(asyncio.create_task(_print_progress(market, callers, seconds)))
                try:
                    await callers.run(seconds)
                    await asyncio.gather(*tasks)
                finally:
                    for background_task in tasks:
                        background_task.cancel()
    return market


async def _inject_faults(app: App, market: Market, seconds: float) -> None:
    """Kills a server and restarts it cold; drains another and removes it."""
    first, second = market.servers[0], market.servers[1]
    start = time.monotonic()

    async def until(share: float) -> None:
        await asyncio.sleep(max(start + share * seconds - time.monotonic(), 0.0))

    await until(KILL_AT)
    first.kill()
    await asyncio.sleep(min(DEATH_NOTICE_S, (DRAIN_AT - KILL_AT) * seconds))
    market.remove(first)
    await until(DRAIN_AT)
    market.drain(second)
    await until(RESTART_AT)
    await first.restart(app.fleet.cold_share, min(app.fleet.warm_up_ms / 1000.0, MAX_WARM_UP_SHARE * seconds))
    market.listed.insert(0, first)
    market.publish()
    await until(REMOVE_AT)
    market.remove(second)


async def _print_progress(market: Market, callers: Callers, seconds: float) -> None:
    start, is_terminal = time.monotonic(), sys.stderr.isatty()
    while (elapsed := time.monotonic() - start) < seconds:
        served = sum(tally.served for tally in market.tallies.values())
        up = sum(server.health == "up" for server in market.listed)
        line = (
            f"{elapsed:4.1f} of {seconds:g} s: {callers.calls_started} calls started,"
            f" {served} served, {up} servers up"
        )
        print(
            f"\r{line}" if is_terminal else line,
            end=" " if is_terminal else "\n",
            file=sys.stderr,
            flush=True,
        )
        await asyncio.sleep(0.25 if is_terminal else max(2.0, seconds / 5.0))
    if is_terminal:
        print(file=sys.stderr)


def result_lines(app: App, market: Market) -> list[str]:
    """The results as lines of text."""
    columns = ("calls", "served", "refused", "failed", "lost", "p50 ms", "p99 ms")
    lines = [f"{'call':<16}" + "".join(f"{head:>9}" for head in columns)]
    for name, tally in market.tallies.items():
        lines.append(
            f"{name[:15]:<16}{tally.calls:>9}{tally.served:>9}{tally.refused:>9}{tally.failed:>9}{tally.lost:>9}"
            f"{tally.percentile_ms(0.5):>9.1f}{tally.percentile_ms(0.99):>9.1f}"
        )
    attempts = market.attempts()
    calls = sum(tally.calls for tally in market.tallies.values())
    lines.append(
        f"attempts: {attempts} for {calls} calls; calls that ran twice: {market.ledger.count_duplicates()}"
    )
    shares = [
        f"{server.name} {100.0 * server.calls_received / max(attempts, 1):.0f}%" for server in market.servers
    ]
    lines.append(
        f"shares: {', '.join(shares)} (s-0 was killed and restarted cold, s-1 was drained and removed)"
    )
    violations = market.violations()
    if violations:
        lines.append("rules broken: " + ", ".join(f"{count} {name}" for name, count in violations.items()))
    else:
        lines.append("all four rules were kept")
    return lines


def run(app: App, derived: DerivedConfig, seconds: float, seed: int) -> int:
    """Runs a trial and prints its results. Returns the exit code: 0 if all rules were kept, otherwise 1."""
    try:
        market = asyncio.run(_run_until_signal(app, derived, seconds, seed))
    except fleet.StartError as fault:
        print(f"anisestair: the sidecar did not start: {fault}", file=sys.stderr)
        return 1
    except (KeyboardInterrupt, asyncio.CancelledError):
        print("anisestair: interrupted; no process is left running", file=sys.stderr)
        return 1
    print(f"{app.name}: {seconds:g} s of calls through a real sidecar on loopback, seed {seed}")
    for line in result_lines(app, market):
        print(line)
    return 1 if market.violations() else 0
