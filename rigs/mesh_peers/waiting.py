"""Helpers for waiting in asynchronous tests: an event loop whose clock can be advanced, and bounded waits."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

T = TypeVar("T")

PEER_TIMEOUT_S = 5.0  # limit for results that involve another process or a network peer
LOCAL_TIMEOUT_S = 2.0  # limit for conditions in this process; shorter than every call deadline in these tests
POLL_INTERVAL_S = 0.03  # between two checks of another process, whose changes raise no event here


class AdvanceableClockLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock can be advanced; timers that become due run at once, in their order."""

    offset_s = 0.0

    def time(self) -> float:
        return super().time() + self.offset_s

    def advance(self, seconds: float) -> None:
        self.offset_s += seconds


def run_async_test(test: Callable[[], Awaitable[None]], within_s: float = 60.0) -> None:
    """Runs a test's coroutine on an AdvanceableClockLoop.

    Raises TimeoutError after ``within_s`` of the loop's clock.
    """

    async def bounded() -> None:
        await asyncio.wait_for(test(), within_s)

    with asyncio.Runner(loop_factory=AdvanceableClockLoop) as runner:
        runner.run(bounded())


def advance_clock(seconds: float) -> None:
    """Advances the clock of the running AdvanceableClockLoop."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, AdvanceableClockLoop)
    loop.advance(seconds)


async def with_timeout(awaited: Awaitable[T]) -> T:
    """The result of ``awaited``; raises TimeoutError after PEER_TIMEOUT_S."""
    return await asyncio.wait_for(awaited, PEER_TIMEOUT_S)


async def wait_until(condition: Callable[[], bool], within_s: float = LOCAL_TIMEOUT_S) -> None:
    """Waits for a condition in this process, checked in each iteration of the loop; raises TimeoutError."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + within_s
    while not condition():
        if loop.time() > deadline:
            raise TimeoutError("the condition was not met in time")
        await asyncio.sleep(0)


async def run_ready_callbacks() -> None:
    """Yields to the loop several times, so that callbacks and timers that are due now run."""
    for _ in range(20):
        await asyncio.sleep(0)


async def poll_until(check: Callable[[], Awaitable[bool]], within_s: float) -> None:
    """Polls another process until ``check`` returns True; raises TimeoutError after ``within_s``."""
    async with asyncio.timeout(within_s):
        while not await check():
            await asyncio.sleep(POLL_INTERVAL_S)
