"""A configuration tried: the real sidecar between stand-ins on loopback, calls and faults, and a table.

It is bounded in time and rate, ends by itself, and leaves nothing running, also when it is interrupted.
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

from anisestair.configure.derive import Derived, toml
from anisestair.configure.description import App
from rigs import fleet
from rigs.market import Callers, Kind, Market, Ways

ROOT = Path(__file__).resolve().parent.parent.parent

MOST_SECONDS = 120.0
# Calls a second, over all kinds: fewer show nothing in 10 s, more measure the stand-ins.
LEAST_RATE, MOST_RATE = 30.0, 200.0
MOST_SERVERS, LEAST_SERVERS = 8, 3
# Seeded faults of the servers all the while: each kind that a sidecar has to tell apart.
WAYS = Ways(reset=0.01, error=0.01, turned_away=0.02)
# When in the run, as shares of it: a server is killed, one is drained, that one ends, the first is back cold.
KILL, DRAIN, END, BACK = 0.25, 0.4, 0.75, 0.6
NOTICE_S = 0.7  # discovery notices a death after this
MOST_WARM_UP_SHARE = 0.3  # of the run


def kinds_of(app: App, scale: float = 1.0) -> list[Kind]:
    """The application's calls for the stand-ins, by one method each; of two protocols by turns."""
    return [
        Kind(
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
            by_turns=len(app.protocols) > 1,
        )
        for call in app.calls
    ]


def on_loopback(derived: Derived, market: Market) -> tuple[str, str]:
    """The texts of a derived configuration, with stand-ins for the addresses that the platform gives."""
    platform, operator = copy.deepcopy(derived.platform), copy.deepcopy(derived.operator)
    platform |= {"listen": "127.0.0.1:0", "discovery": market.discovery}
    platform["known"] = {"seq": market.seq, "whole": True, "hosts": market.hosts()}
    if operator is not None:
        operator["rpc"]["listen"] = "127.0.0.1:0"
    return json.dumps(platform), toml(operator) if operator is not None else ""


async def _ended_by_signal(app: App, derived: Derived, seconds: float, seed: int) -> Market:
    """A play that SIGINT and SIGTERM end in order. SIGINT has a handler of its own too: a shell without job
    control starts what it puts in the background with SIGINT ignored, the interpreter then installs none, and
    a try went on to its end."""
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await play(app, derived, seconds, seed, progress=True)


async def play(app: App, derived: Derived, seconds: float, seed: int, progress: bool = False) -> Market:
    """Calls and faults for so long; the market with what was seen. Raises fleet.NoStart."""
    rate = sum(call.rate for call in app.calls)
    scale = min(max(LEAST_RATE / rate, 1.0), MOST_RATE / rate) if rate > 0 else 1.0
    kinds = kinds_of(app, scale)
    servers = min(max(app.fleet.servers, LEAST_SERVERS), MOST_SERVERS)
    # Together they can do three times what comes: a starting one that gets too much is the sidecar's doing.
    capacity = 3.0 * max(rate * scale, 1.0) / servers
    async with Market(kinds, servers, seed, WAYS, app.data_centre or "a", capacity) as market:
        platform, operator = on_loopback(derived, market)
        with tempfile.TemporaryDirectory() as folder:
            arguments: tuple[str, ...] = ()
            if operator:
                file = Path(folder) / "sidecar.toml"
                file.write_text(operator, encoding="utf-8")
                arguments = ("--operator", str(file))
            async with fleet.program(ROOT, platform, *arguments) as running:
                rpc = await running.said_port() if operator else 0
                callers = Callers(market, running.port, rpc)
                helpers = [asyncio.create_task(_trouble(app, market, seconds))]
                if progress:
                    helpers.append(asyncio.create_task(_progress(market, callers, seconds)))
                try:
                    await callers.run(seconds)
                    await asyncio.gather(*helpers)
                finally:
                    for helper in helpers:
                        helper.cancel()
    return market


async def _trouble(app: App, market: Market, seconds: float) -> None:
    """One server is killed and comes back cold, another drains and ends."""
    first, second = market.servers[0], market.servers[1]
    start = time.monotonic()

    async def until(share: float) -> None:
        await asyncio.sleep(max(start + share * seconds - time.monotonic(), 0.0))

    await until(KILL)
    first.kill()
    await asyncio.sleep(min(NOTICE_S, (DRAIN - KILL) * seconds))
    market.remove(first)
    await until(DRAIN)
    market.drain(second)
    await until(BACK)
    await first.restart(
        app.fleet.cold_share, min(app.fleet.warm_up_ms / 1000.0, MOST_WARM_UP_SHARE * seconds)
    )
    market.listed.insert(0, first)
    market.tell()
    await until(END)
    market.remove(second)


async def _progress(market: Market, callers: Callers, seconds: float) -> None:
    start, live = time.monotonic(), sys.stderr.isatty()
    while (passed := time.monotonic() - start) < seconds:
        served = sum(tally.served for tally in market.tally.values())
        up = sum(server.health == "up" for server in market.listed)
        line = (
            f"{passed:4.1f} of {seconds:g} s: {callers.begun} calls begun, {served} served, {up} servers up"
        )
        print(f"\r{line}" if live else line, end=" " if live else "\n", file=sys.stderr, flush=True)
        await asyncio.sleep(0.25 if live else max(2.0, seconds / 5.0))
    if live:
        print(file=sys.stderr)


def table(app: App, market: Market) -> list[str]:
    """What it came to, in lines."""
    heads = ("calls", "served", "refused", "failed", "lost", "p50 ms", "p99 ms")
    lines = [f"{'call':<16}" + "".join(f"{head:>9}" for head in heads)]
    for name, tally in market.tally.items():
        lines.append(
            f"{name[:15]:<16}{tally.calls:>9}{tally.served:>9}{tally.refused:>9}{tally.failed:>9}{tally.lost:>9}"
            f"{tally.percentile_ms(0.5):>9.1f}{tally.percentile_ms(0.99):>9.1f}"
        )
    attempts = market.attempts()
    calls = sum(tally.calls for tally in market.tally.values())
    lines.append(f"attempts: {attempts} for {calls} calls; calls that ran twice: {market.ledger.twice()}")
    shares = [f"{server.name} {100.0 * server.arrived / max(attempts, 1):.0f}%" for server in market.servers]
    lines.append(f"shares: {', '.join(shares)} (s-0 was killed and came back cold, s-1 drained and ended)")
    broken = market.broken()
    if broken:
        lines.append("rules broken: " + ", ".join(f"{count} {name}" for name, count in broken.items()))
    else:
        lines.append("all four rules were kept")
    return lines


def run(app: App, derived: Derived, seconds: float, seed: int) -> int:
    """Exit status: 0 where the rules were kept, else 1."""
    try:
        market = asyncio.run(_ended_by_signal(app, derived, seconds, seed))
    except fleet.NoStart as fault:
        print(f"anisestair: the sidecar did not start: {fault}", file=sys.stderr)
        return 1
    except (KeyboardInterrupt, asyncio.CancelledError):
        print("anisestair: interrupted; nothing is left running", file=sys.stderr)
        return 1
    print(f"{app.name}: {seconds:g} s of calls through a real sidecar on loopback, seed {seed}")
    for line in table(app, market):
        print(line)
    return 1 if market.broken() else 0
