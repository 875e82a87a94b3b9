"""A play over sockets with hundreds of sidecar processes, driven by several processes in parallel.

All of them end with this process, even if it is killed: each child asks the kernel to kill it when its parent
dies.
"""

from __future__ import annotations

import asyncio
import sys
import time
from typing import Any

import msgspec

from lab.driver import DriverJob, read_message
from lab.revisions import ROOT
from lab.scenario import Source
from lab.scenario_tables import Scenario
from lab.socket_sidecars import CallProtocol
from lab.socket_simulation import SocketPlayResult
from rigs.fleet import kill_with_parent

CALLS_PER_S_PER_DRIVER = 350.0  # that one driver can emulate
MAX_DRIVERS = 5
START_TIMEOUT_S = 120.0
START_LEAD_S = (
    0.5  # between the start command and the start of the play, so that all drivers have received it
)


class DriverDiedError(Exception):
    """A driver ended before it sent its report; its error output is on standard error."""


def drivers_for(scenario: Scenario) -> int:
    """The number of driver processes for the load of a scenario."""
    rate = scenario.capacity_per_s() * scenario.load.share
    return max(min(round(rate / CALLS_PER_S_PER_DRIVER + 0.5), MAX_DRIVERS, scenario.sidecars.count), 1)


class _Driver:
    """A driver process and the connection to it."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdin is not None and process.stdout is not None
        self.process, self._stdin, self._stdout = process, process.stdin, process.stdout
        self.report: dict[str, Any] | None = None

    def send(self, content: Any) -> None:
        message = msgspec.msgpack.encode(content)
        self._stdin.write(len(message).to_bytes(4, "big") + message)

    async def receive(self) -> dict[str, Any]:
        """The driver's next message. Raises DriverDiedError."""
        try:
            message = await read_message(self._stdout)
        except EOFError:
            raise DriverDiedError(
                f"driver {self.process.pid} ended with {await self.process.wait()}"
            ) from None
        assert isinstance(message, dict)
        return message


async def _play_with_drivers(
    source: Source, seed: int, driver_count: int, protocol: CallProtocol
) -> tuple[list[dict[str, Any]], float]:
    """Runs a play with this many drivers; their reports, and the seconds until all sidecars were up."""
    started: list[_Driver] = []
    try:
        for number in range(driver_count):
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "lab.driver"),
                cwd=ROOT,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                preexec_fn=kill_with_parent,
                limit=1 << 20,
            )
            started.append(_Driver(process))
            started[-1].send(
                DriverJob(source=source, seed=seed, shard=(number, driver_count), protocol=protocol)
            )
        async with asyncio.timeout(START_TIMEOUT_S):
            reached: dict[int, Any] = {}
            for driver in started:
                reached |= (await driver.receive())["reached"]
            for driver in started:
                driver.send({"reached": reached})
            startup_s = max([(await driver.receive())["up_s"] for driver in started])
        start = time.monotonic() + START_LEAD_S
        for driver in started:
            driver.send({"start": start})
        seconds = source.scenario_for(seed).seconds
        async with asyncio.timeout(2.0 * seconds + START_TIMEOUT_S):
            await asyncio.gather(*(_collect_report(driver, started) for driver in started))
            for driver in started:
                driver.send({"over": True})
            await asyncio.gather(*(driver.process.wait() for driver in started))
        return [driver.report or {} for driver in started], startup_s
    finally:
        for driver in started:
            if driver.process.returncode is None:
                driver.process.kill()
            await driver.process.wait()


async def _collect_report(driver: _Driver, drivers: list[_Driver]) -> None:
    """Receives from a driver until its report arrives, and forwards the server failures that it announces."""
    while driver.report is None:
        message = await driver.receive()
        if "fell" in message:
            for other in drivers:
                if other is not driver and other.report is None:
                    other.send(message)
        else:
            driver.report = message["report"]


def play(
    source: Source, seed: int, drivers: int | None = None, protocol: CallProtocol = "http"
) -> tuple[SocketPlayResult, float]:
    """Runs a play; its result, and the seconds until all sidecars were up. Raises DriverDiedError."""
    scenario = source.scenario_for(seed)
    count = drivers or drivers_for(scenario)
    reports, startup_s = asyncio.run(_play_with_drivers(source, seed, count, protocol))
    return SocketPlayResult(scenario, seed, reports), startup_s
