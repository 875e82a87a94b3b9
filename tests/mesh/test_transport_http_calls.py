"""The HTTP server reads complete calls, answers them in order and keeps its limits."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import httptools
import pytest

from anisestair.http import codec as http
from mesh.transport import http_calls as module
from mesh.transport.http_calls import Answer, HttpServer
from mesh.transport.link import Address
from rigs.mesh_peers import Client, advance_clock, read_message, run_async_test, wait_until, with_timeout


class GatedHandler:
    """A handler that answers while its gate is open."""

    def __init__(self) -> None:
        self.started: asyncio.Queue[bytes] = asyncio.Queue()
        self.gate = asyncio.Event()
        self.gate.set()

    async def handle(self, message: http.Message) -> Answer:
        self.started.put_nowait(message.target)
        await self.gate.wait()
        return Answer(200, message.target + message.body)


def run_server(test: Callable[[HttpServer, GatedHandler, Address], Awaitable[None]]) -> None:
    async def run() -> None:
        handler = GatedHandler()
        http_server = HttpServer(handler.handle)
        address = await http_server.listen(("127.0.0.1", 0))
        try:
            await test(http_server, handler, address)
        finally:
            http_server.stop()
            for connection in list(http_server._connections):
                connection.close()

    run_async_test(run)


def request_bytes(path: bytes, *headers: bytes, body: bytes = b"") -> bytes:
    return b"\r\n".join([b"PUT %b HTTP/1.1" % path, b"host: x", *headers, b"", body])


def test_calls_one_behind_another_are_worked_on_one_at_a_time_and_in_order() -> None:
    async def test(http_server: HttpServer, handler: GatedHandler, address: Address) -> None:
        client = await Client.connect(address)
        handler.gate.clear()
        client.write(request_bytes(b"/a", b"content-length: 2", body=b"xy"))
        assert await with_timeout(handler.started.get()) == b"/a"
        client.write(request_bytes(b"/b") + request_bytes(b"/c"))
        await wait_until(
            lambda: sum(len(connection._waiting) for connection in http_server._connections) == 2
        )
        assert handler.started.empty() and http_server.busy
        handler.gate.set()
        answers = [await client.read() for _ in range(3)]
        assert [answer and answer.body for answer in answers] == [b"/axy", b"/b", b"/c"]
        await wait_until(lambda: not http_server.busy)

    run_server(test)


def test_what_an_answer_says_is_written() -> None:
    async def test(http_server: HttpServer, handler: GatedHandler, address: Address) -> None:
        answers = [Answer(307, location="http://10.0.0.4:8080/p"), Answer(503, b"{}", retry_after_s=0.25)]

        async def handle(message: http.Message) -> Answer:
            return answers.pop(0)

        http_server.handle = handle
        client = await Client.connect(address)
        client.write(request_bytes(b"/a") + request_bytes(b"/b", b"connection: close"))
        first, second = await client.read(), await client.read()
        assert first and second
        assert (first.status, first.get(b"location"), first.get(b"retry-after")) == (
            307,
            "http://10.0.0.4:8080/p",
            None,
        )
        assert (second.status, second.get(b"retry-after"), second.get(b"content-type")) == (
            503,
            "0.250",
            "application/json",
        )
        assert second.get(b"connection") == "close" and await client.read() is None

    run_server(test)


def test_a_body_that_waits_for_its_go_ahead_gets_it() -> None:
    async def test(http_server: HttpServer, handler: GatedHandler, address: Address) -> None:
        stream, writer = await asyncio.open_connection(*address)
        writer.write(request_bytes(b"/a", b"content-length: 2", b"expect: 100-continue"))
        assert await with_timeout(stream.readuntil(b"\r\n\r\n")) == b"HTTP/1.1 100 Continue\r\n\r\n"
        writer.write(b"xy")
        answer = await with_timeout(read_message(http.Reader(httptools.HttpResponseParser, 100), stream))
        assert answer and answer.body == b"/axy"
        writer.transport.abort()

    run_server(test)


def test_calls_read_ahead_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MAX_PIPELINED", 3)

    async def test(http_server: HttpServer, handler: GatedHandler, address: Address) -> None:
        handler.gate.clear()
        at_bound, over = await Client.connect(address), await Client.connect(address)
        at_bound.write(request_bytes(b"/a"))
        over.write(request_bytes(b"/b"))
        assert {await with_timeout(handler.started.get()), await with_timeout(handler.started.get())} == {
            b"/a",
            b"/b",
        }
        at_bound.write(request_bytes(b"/a") * 3)
        over.write(request_bytes(b"/b") * 4)
        assert await over.read() is None
        handler.gate.set()
        assert [answer.body for _ in range(4) if (answer := await at_bound.read())] == [b"/a"] * 4

    run_server(test)


def test_a_body_beyond_the_bound_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MAX_BODY_BYTES", 10)

    async def test(http_server: HttpServer, handler: GatedHandler, address: Address) -> None:
        client = await Client.connect(address)
        for length, status in (10, 200), (11, 413):
            client.write(request_bytes(b"/a", b"content-length: %d" % length, body=b"x" * 10))
            answer = await client.read()
            assert answer and answer.status == status
        assert await client.read() is None

    run_server(test)


def test_what_is_no_call_is_answered_400_and_closed() -> None:
    async def test(http_server: HttpServer, handler: GatedHandler, address: Address) -> None:
        client = await Client.connect(address)
        client.write(b"nonsense\r\n\r\n")
        answer = await client.read()
        assert answer and answer.status == 400 and await client.read() is None
        assert handler.started.empty()

    run_server(test)


def test_at_the_bound_the_longest_idle_connection_gives_way_and_no_busy_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(module, "MAX_CONNECTIONS", 3)

    async def test(http_server: HttpServer, handler: GatedHandler, address: Address) -> None:
        clients = [await Client.connect(address) for _ in range(3)]
        for client in reversed(clients):  # the last one opened has been idle for longest
            client.write(request_bytes(b"/x"))
            assert await client.read()
            await with_timeout(handler.started.get())
        handler.gate.clear()
        clients[0].write(request_bytes(b"/a"))
        await with_timeout(handler.started.get())
        clients.append(await Client.connect(address))
        assert await clients[2].read() is None
        await wait_until(lambda: len(http_server._connections) == 3)
        for at, path in (1, b"/b"), (3, b"/c"):
            clients[at].write(request_bytes(path))
            assert await with_timeout(handler.started.get()) == path
        late = await Client.connect(address)  # all others are busy, so it is closed
        assert await late.read() is None
        handler.gate.set()
        answers = [await clients[at].read() for at in (0, 1, 3)]
        assert [answer and answer.body for answer in answers] == [b"/a", b"/b", b"/c"]

    run_server(test)


def test_at_an_end_calls_in_hand_are_answered_and_idle_connections_close() -> None:
    async def test(http_server: HttpServer, handler: GatedHandler, address: Address) -> None:
        idle, busy = await Client.connect(address), await Client.connect(address)
        handler.gate.clear()
        busy.write(request_bytes(b"/a"))
        await with_timeout(handler.started.get())
        http_server.stop()
        assert await idle.read() is None
        with pytest.raises(OSError):
            await Client.connect(address)
        handler.gate.set()
        answer = await busy.read()
        assert answer and answer.body == b"/a" and answer.get(b"connection") == "close"
        assert await busy.read() is None

    run_server(test)


def test_a_whole_call_ahead_of_one_that_cannot_be_read_is_answered() -> None:
    async def test(http_server: HttpServer, handler: GatedHandler, address: Address) -> None:
        client = await Client.connect(address)
        client.write(request_bytes(b"/a") + b"nonsense\r\n\r\n")
        answer = await client.read()
        assert answer and answer.body == b"/a"

    run_server(test)


def test_a_handler_that_raises_does_not_leave_its_caller_hanging() -> None:
    async def test(http_server: HttpServer, handler: GatedHandler, address: Address) -> None:
        async def handle(message: http.Message) -> Answer:
            raise RuntimeError("a fault of the handler")

        http_server.handle = handle
        client = await Client.connect(address)
        client.write(request_bytes(b"/a"))
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        async with asyncio.timeout(0.3):
            answer = await client.read()
        assert answer is None or answer.status == 500

    run_server(test)


def test_what_comes_behind_the_last_answer_does_not_reset_it() -> None:
    async def test(http_server: HttpServer, _: GatedHandler, address: Address) -> None:
        client = await Client.connect(address)
        client.write(request_bytes(b"/a", b"connection: close"))
        await wait_until(lambda: any(connection._lingering for connection in http_server._connections))
        client.write(b"x" * 100_000)
        answer = await client.read()
        assert answer is not None and (answer.status, answer.body) == (200, b"/a")
        assert (
            await client.read() is None and http_server.busy == 1
        )  # until the client has closed as well, or LINGER_S
        advance_clock(module.LINGER_S)
        await wait_until(lambda: not http_server.busy)

    run_server(test)


def test_at_an_end_a_call_that_is_coming_in_is_waited_for_and_answered() -> None:
    async def test(http_server: HttpServer, _: GatedHandler, address: Address) -> None:
        client, stuck = await Client.connect(address), await Client.connect(address)
        for one in client, stuck:
            one.write(request_bytes(b"/a", b"content-length: 2", body=b"x"))
        await wait_until(
            lambda: len(http_server._connections) == 2
            and all(one._reader.partial for one in http_server._connections)
        )
        http_server.stop()
        client.write(b"y")
        answer = await client.read()
        assert answer is not None and (answer.body, answer.get(b"connection")) == (b"/axy", "close")
        client.abort()
        await wait_until(lambda: http_server.busy == 1)
        advance_clock(module.PARTIAL_CALL_S)
        assert http_server.busy == 0  # a partial call that has paused does not delay the shutdown

    run_server(test)


def test_a_call_that_is_still_in_hand_at_the_exit_has_the_word_that_is_given_for_it() -> None:
    async def test(http_server: HttpServer, handler: GatedHandler, address: Address) -> None:
        client, done = await Client.connect(address), await Client.connect(address)
        done.write(request_bytes(b"/b", b"connection: close"))
        answer = await done.read()
        assert answer is not None and answer.status == 200
        assert await with_timeout(handler.started.get()) == b"/b"
        handler.gate.clear()
        client.write(request_bytes(b"/a"))
        assert await with_timeout(handler.started.get()) == b"/a"
        http_server.stop()
        http_server.abort_calls(Answer(503, b"{}"))
        answer = await client.read()
        assert answer is not None and (answer.status, answer.get(b"connection")) == (503, "close")
        assert await client.read() is None
        assert await done.read() is None  # an answered connection gets no second answer

    run_server(test)
