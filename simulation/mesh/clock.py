"""One virtual clock for asyncio and simpy. A killed process runs no further callbacks."""

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


class ProcessState(Protocol):
    alive: bool
    frozen_until: float  # no callbacks run before this time
    coroutines: WeakSet[Any]


NEVER = float("inf")
CURRENT_INCARNATION: contextvars.ContextVar[Any] = contextvars.ContextVar("incarnation")


class SimulationStalled(Exception):
    """Neither a timer nor an event is due, and the script has not ended."""


class Clock(simpy.Environment):
    """simpy's clock, which can also skip a period without simpy events."""

    def advance(self, until: float) -> None:
        if self.peek() < until:
            raise ValueError(f"an event is due at {self.peek()}, before {until}")
        self._now = until


class _VirtualTimeSelector(selectors.BaseSelector):
    """A selector without file descriptors that waits by advancing simpy's clock to the next event."""

    def __init__(self, env: Clock) -> None:
        self._env = env

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is not None and timeout <= 0.0:
            return []
        until = NEVER if timeout is None else self._env.now + timeout
        due = self._env.peek()
        if due <= until:
            if due == NEVER:
                raise SimulationStalled("neither a timer nor a simulation event is due")
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
    """An event loop on simpy's clock, in seconds. A callback belongs to the process incarnation whose context
    it was created in.

    ``errors`` collects the exceptions of callbacks and tasks, which the simulation reports as violations.
    """

    def __init__(self, env: Clock) -> None:
        super().__init__(_VirtualTimeSelector(env))
        self.env = env
        self.errors: list[str] = []
        self.set_exception_handler(self._record_error)
        self.set_task_factory(_create_task)

    def _record_error(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        self.errors.append(f"{context.get('message')}: {context.get('exception')!r}")

    def time(self) -> float:
        return self.env._now

    def _make_self_pipe(self) -> None:
        """Nothing wakes this loop from another thread."""

    def _close_self_pipe(self) -> None:
        pass

    def _write_to_self(self) -> None:
        pass

    def _process_events(self, event_list: Any) -> None:
        pass

    def call_soon(  # type: ignore[override]  # the wider types serve as well
        self, callback: Callable[..., object], *args: Any, context: Any = None
    ) -> asyncio.Handle:
        return super().call_soon(_run_only_while_alive(callback, context), *args, context=context)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callable[..., object], *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        return super().call_at(when, _run_only_while_alive(callback, context), *args, context=context)

    def run_in_executor(  # type: ignore[override]
        self, executor: Any, func: Callable[..., Any], *args: Any
    ) -> asyncio.Future[Any]:
        """Runs disk writes and other disk jobs in virtual time, without a thread."""
        if getattr(func, "__name__", "") != "write":
            return args[0].run_job(func)  # type: ignore[no-any-return]
        future: asyncio.Future[Any] = func.__self__.begin_write(*args)  # type: ignore[attr-defined]
        return future


class _FinishedCoroutine(Coroutine[Any, Any, None]):
    """Replaces the coroutine of a task that a killed process creates."""

    def send(self, value: Any) -> Any:
        raise StopIteration

    def throw(self, *_: Any) -> Any:
        raise StopIteration

    def close(self) -> None:
        pass

    def __await__(self) -> Any:
        return iter(())


def _create_task(loop: asyncio.AbstractEventLoop, coroutine: Any, context: Any = None) -> asyncio.Task[Any]:
    incarnation: ProcessState | None = (
        CURRENT_INCARNATION.get(None) if context is None else context.get(CURRENT_INCARNATION)
    )
    if incarnation is not None and not incarnation.alive:
        coroutine.close()
        coroutine = _FinishedCoroutine()
    elif incarnation is not None:
        incarnation.coroutines.add(coroutine)
        STARTED_COROUTINES.append(coroutine)
    task = asyncio.Task(coroutine, loop=loop, context=context)
    task._log_destroy_pending = False  # type: ignore[attr-defined]  # a killed process leaves pending tasks
    return task


# Coroutines that killed processes leave suspended, closed when the world ends: garbage collection of a
# coroutine that is suspended inside a timeout block may crash the interpreter (CPython 3.11).
STARTED_COROUTINES: list[Any] = []


def close_started_coroutines() -> None:
    """Closes the coroutines of all processes of a world that has ended."""
    while STARTED_COROUTINES:
        coroutine = STARTED_COROUTINES.pop()
        if inspect.iscoroutine(coroutine):
            with contextlib.suppress(Exception):
                coroutine.close()


def close_unstarted(coroutines: Iterable[Any]) -> None:
    """Closes the coroutines of a killed process that never started, which avoids warnings."""
    for coroutine in list(coroutines):
        if inspect.iscoroutine(coroutine) and inspect.getcoroutinestate(coroutine) == inspect.CORO_CREATED:
            coroutine.close()


def _run_only_while_alive(callback: Callable[..., object], context: Any) -> Callable[..., object]:
    incarnation: ProcessState | None = (
        CURRENT_INCARNATION.get(None) if context is None else context.get(CURRENT_INCARNATION)
    )
    if incarnation is None:
        return callback

    def run(*args: Any) -> None:
        if not incarnation.alive:
            return
        loop = asyncio.get_running_loop()
        if loop.time() < incarnation.frozen_until:
            loop.call_at(incarnation.frozen_until, callback, *args, context=context)
        else:
            callback(*args)

    return run
