"""Waiting in tests: a loop whose clock can be moved on, and bounded waits for what has to come."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

T = TypeVar("T")

PATIENCE_S = 5.0  # how long is waited for what has to come
STEP_S = 2.0  # and for what this process has in hand; no deadline of a call here is as short
POLL_S = 0.03  # between two looks at another process, which raises no event here


class MovedLoop(asyncio.SelectorEventLoop):
    """Its clock can be moved on; what is due by then happens at once, in its order."""

    moved = 0.0

    def time(self) -> float:
        return super().time() + self.moved

    def move(self, seconds: float) -> None:
        self.moved += seconds


def play(test: Callable[[], Awaitable[None]], within_s: float = 60.0) -> None:
    """Runs a test's coroutine on a MovedLoop; raises TimeoutError after ``within_s`` of its clock."""

    async def bounded() -> None:
        await asyncio.wait_for(test(), within_s)

    with asyncio.Runner(loop_factory=MovedLoop) as runner:
        runner.run(bounded())


def move(seconds: float) -> None:
    """Moves on the clock of the loop that runs."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, MovedLoop)
    loop.move(seconds)


async def soon(awaited: Awaitable[T]) -> T:
    """Raises TimeoutError where it takes longer than PATIENCE_S."""
    return await asyncio.wait_for(awaited, PATIENCE_S)


async def until(true: Callable[[], bool], within_s: float = STEP_S) -> None:
    """Until something in this process holds, looked at after each round of the loop."""
    loop = asyncio.get_running_loop()
    ends = loop.time() + within_s
    while not true():
        if loop.time() > ends:
            raise TimeoutError("it did not come to hold")
        await asyncio.sleep(0)


async def turns() -> None:
    """Some rounds of the loop: what is due now happens."""
    for _ in range(20):
        await asyncio.sleep(0)


async def polled(look: Callable[[], Awaitable[bool]], within_s: float) -> None:
    """Until another process is as ``look`` wants it; raises TimeoutError."""
    async with asyncio.timeout(within_s):
        while not await look():
            await asyncio.sleep(POLL_S)
