"""A connection whose connect timeout and establishment fall into one iteration of the loop."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import pytest

from anisestair.flow.budget import Budget
from anisestair.http.upstream import ConnectionPool, HttpConnection
from anisestair.lifecycle import events as ev
from hareloom import interface as api


class Closable(asyncio.Transport):
    """Acts like a uvloop transport after its connect was cancelled: closed, without a callback."""

    def __init__(self, pair: socket.socket) -> None:
        super().__init__({"socket": pair})
        self.closed = False

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def abort(self) -> None:
        self.closed = True


def test_a_time_out_is_final_for_what_comes_up_in_the_same_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    """After a blocked loop, the timeout fires, then connection_made is called, and only then is the connect
    task cancelled. No request may be sent on the connection that this closes."""

    async def run() -> None:
        loop = asyncio.get_running_loop()
        one, other = socket.socketpair()
        with one, other:
            transport, made = Closable(one), loop.create_future()

            async def connect(factory: Any, host: str, port: int) -> None:
                made.set_result(factory())
                try:
                    await loop.create_future()
                except asyncio.CancelledError:
                    transport.abort()
                    raise

            monkeypatch.setattr(loop, "create_connection", connect)
            fed: list[ev.Event] = []
            limits = api.Limits(connect_timeout_ms=1.0)
            pool = ConnectionPool(limits, fed.append, lambda *it: None, lambda call: None, Budget(None))
            connection = HttpConnection(pool, 1)
            pool.open(connection, ("127.0.0.1", 1))
            (await made).wait(None)  # cancels the timer; the test calls its callback itself
            (task,) = pool._tasks
            pool._not_up(connection, False, task)
            connection.connection_made(transport)
            await asyncio.wait([task])
            assert fed == [ev.NotUp(1, False)]
            assert transport.closed

    asyncio.run(run())
