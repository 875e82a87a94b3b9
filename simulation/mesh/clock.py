"""One clock for asyncio and simpy, and lives: a process that is killed runs no callback any more."""

from __future__ import annotations

import asyncio
import contextlib
import contextvars
import inspect
import selectors
from collections.abc import Callable, Coroutine, Iterable, Mapping
from typing import Any, Protocol
from weakref import WeakSet

import simpy


class Alive(Protocol):
    alive: bool
    frozen_until: float  # it runs nothing before that instant
    coros: WeakSet[Any]


NEVER = float("inf")
LIFE: contextvars.ContextVar[Any] = contextvars.ContextVar("life")


class Stuck(Exception):
    """Nothing is due, and the script has not ended."""


class Clock(simpy.Environment):
    """simpy's clock, which can also be set forward over a time in which nothing of simpy's is due."""

    def advance(self, until: float) -> None:
        if self.peek() < until:
            raise ValueError(f"an event is due at {self.peek()}, before {until}")
        self._now = until


class _Waits(selectors.BaseSelector):
    """No descriptors: to wait is to let simpy's clock run to what is due next."""

    def __init__(self, env: Clock) -> None:
        self._env = env

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is not None and timeout <= 0.0:
            return []
        until = NEVER if timeout is None else self._env.now + timeout
        due = self._env.peek()
        if due <= until:
            if due == NEVER:
                raise Stuck("neither a timer nor an event of the world is due")
            self._env.step()
        elif until > self._env.now:
            self._env.advance(until)
        return []

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        raise NotImplementedError

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        raise NotImplementedError

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        return {}


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on simpy's clock (seconds). A callback is of the life in whose context it was made.

    ``faults`` has what callbacks and tasks raised, which no property may pass over.
    """

    def __init__(self, env: Clock) -> None:
        super().__init__(_Waits(env))
        self.env = env
        self.faults: list[str] = []
        self.set_exception_handler(self._note)
        self.set_task_factory(_task)

    def _note(self, _: asyncio.AbstractEventLoop, told: dict[str, Any]) -> None:
        self.faults.append(f"{told.get('message')}: {told.get('exception')!r}")

    def time(self) -> float:
        return self.env._now

    def _make_self_pipe(self) -> None:
        """Nothing wakes this loop from outside."""

    def _close_self_pipe(self) -> None:
        pass

    def _write_to_self(self) -> None:
        pass

    def _process_events(self, event_list: Any) -> None:
        pass

    def call_soon(  # type: ignore[override]  # the wider types serve as well
        self, callback: Callable[..., object], *args: Any, context: Any = None
    ) -> asyncio.Handle:
        return super().call_soon(_guarded(callback, context), *args, context=context)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callable[..., object], *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        return super().call_at(when, _guarded(callback, context), *args, context=context)

    def run_in_executor(  # type: ignore[override]
        self, executor: Any, func: Callable[..., Any], *args: Any
    ) -> asyncio.Future[Any]:
        """Writes to a disk in virtual time, without a thread; other work with a disk takes as long."""
        if getattr(func, "__name__", "") != "write":
            return args[0].works(func)  # type: ignore[no-any-return]
        future: asyncio.Future[Any] = func.__self__.begin(*args)  # type: ignore[attr-defined]
        return future


class _Nothing(Coroutine[Any, Any, None]):
    """Of a task that a process begins after it was killed."""

    def send(self, value: Any) -> Any:
        raise StopIteration

    def throw(self, *_: Any) -> Any:
        raise StopIteration

    def close(self) -> None:
        pass

    def __await__(self) -> Any:
        return iter(())


def _task(loop: asyncio.AbstractEventLoop, coro: Any, context: Any = None) -> asyncio.Task[Any]:
    life: Alive | None = LIFE.get(None) if context is None else context.get(LIFE)
    if life is not None and not life.alive:
        coro.close()
        coro = _Nothing()
    elif life is not None:
        life.coros.add(coro)
        BEGUN.append(coro)
    task = asyncio.Task(coro, loop=loop, context=context)
    task._log_destroy_pending = False  # type: ignore[attr-defined]  # a killed process leaves tasks
    return task


# What killed processes leave suspended, closed when the world ends: a coroutine that the collector of cycles
# finds suspended in a time-out's block may take the interpreter down (CPython 3.11).
BEGUN: list[Any] = []


def close_all() -> None:
    """Of every process of a world that has ended; none of them runs any more."""
    while BEGUN:
        coro = BEGUN.pop()
        if inspect.iscoroutine(coro):
            with contextlib.suppress(Exception):
                coro.close()


def forget(coros: Iterable[Any]) -> None:
    """Closes those of a killed process that never began, without a warning."""
    for coro in list(coros):
        if inspect.iscoroutine(coro) and inspect.getcoroutinestate(coro) == inspect.CORO_CREATED:
            coro.close()


def _guarded(callback: Callable[..., object], context: Any) -> Callable[..., object]:
    life: Alive | None = LIFE.get(None) if context is None else context.get(LIFE)
    if life is None:
        return callback

    def run(*args: Any) -> None:
        if not life.alive:
            return
        loop = asyncio.get_running_loop()
        if loop.time() < life.frozen_until:
            loop.call_at(life.frozen_until, callback, *args, context=context)
        else:
            callback(*args)

    return run
