"""A play over sockets with hundreds of sidecar processes, driven by several processes side by side.

All end with this one, also where it is killed: each child asks the kernel to be ended with its parent.
"""

from __future__ import annotations

import asyncio
import sys
import time
from typing import Any

import msgspec

from lab.driver import Part, read
from lab.revisions import ROOT
from lab.scenario import Source
from lab.scenario_tables import Scenario
from lab.socket_sidecars import Speaks
from lab.socket_simulation import Concluded
from rigs.fleet import kill_with_parent

EACH = 350.0  # calls a second that one driver speaks for
MOST_DRIVERS = 5
START_S = 120.0
SOON_S = 0.5  # from the word to the play's first instant: all have it by then


class Broken(Exception):
    """A driver ended before it told what it saw; its last words are on standard error."""


def drivers_for(scenario: Scenario) -> int:
    rate = scenario.rate() * scenario.load.share
    return max(min(round(rate / EACH + 0.5), MOST_DRIVERS, scenario.sidecars.count), 1)


class _Driver:
    def __init__(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdin is not None and process.stdout is not None
        self.process, self._in, self._out = process, process.stdin, process.stdout
        self.report: dict[str, Any] | None = None

    def tell(self, what: Any) -> None:
        message = msgspec.msgpack.encode(what)
        self._in.write(len(message).to_bytes(4, "big") + message)

    async def hear(self) -> dict[str, Any]:
        """Raises Broken."""
        try:
            found = await read(self._out)
        except EOFError:
            raise Broken(f"driver {self.process.pid} ended with {await self.process.wait()}") from None
        assert isinstance(found, dict)
        return found


async def _whole(
    source: Source, seed: int, drivers: int, speaks: Speaks
) -> tuple[list[dict[str, Any]], float]:
    made: list[_Driver] = []
    try:
        for number in range(drivers):
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "lab.driver"),
                cwd=ROOT,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                preexec_fn=kill_with_parent,
                limit=1 << 20,
            )
            made.append(_Driver(process))
            made[-1].tell(Part(source=source, seed=seed, shard=(number, drivers), speaks=speaks))
        async with asyncio.timeout(START_S):
            reached: dict[int, Any] = {}
            for driver in made:
                reached |= (await driver.hear())["reached"]
            for driver in made:
                driver.tell({"reached": reached})
            up = max([(await driver.hear())["up_s"] for driver in made])
        start = time.monotonic() + SOON_S
        for driver in made:
            driver.tell({"start": start})
        seconds = source.scenario_for(seed).seconds
        async with asyncio.timeout(2.0 * seconds + START_S):
            await asyncio.gather(*(_follow(driver, made) for driver in made))
            for driver in made:
                driver.tell({"over": True})
            await asyncio.gather(*(driver.process.wait() for driver in made))
        return [driver.report or {} for driver in made], up
    finally:
        for driver in made:
            if driver.process.returncode is None:
                driver.process.kill()
            await driver.process.wait()


async def _follow(driver: _Driver, all_: list[_Driver]) -> None:
    """Falls are passed on to the others until its report comes."""
    while driver.report is None:
        found = await driver.hear()
        if "fell" in found:
            for other in all_:
                if other is not driver and other.report is None:
                    other.tell(found)
        else:
            driver.report = found["report"]


def play(
    source: Source, seed: int, drivers: int | None = None, speaks: Speaks = "http"
) -> tuple[Concluded, float]:
    """What a play came to, and the seconds until all sidecars were up. Raises Broken."""
    scenario = source.scenario_for(seed)
    count = drivers or drivers_for(scenario)
    reports, up = asyncio.run(_whole(source, seed, count, speaks))
    return Concluded(scenario, seed, reports), up
