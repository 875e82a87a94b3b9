"""Long bodies: the memory budget, the codec at any split of the bytes, and failing streams over sockets."""

from __future__ import annotations

import asyncio
import re
import socket
import struct
from collections.abc import Awaitable, Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st
from sockets import PATIENCE_S, FakeDiscovery, Upstream, World, host, world

from anisestair.admin.figures import report
from anisestair.flow import budget as flow
from anisestair.flow.budget import Body, Budget
from anisestair.http import codec as http

LONG = 3_000_000
FULL_S = 0.2  # time for the buffers of an unread connection to fill up


class RecordingSink:
    def __init__(self) -> None:
        self.data, self.ended, self.cut, self.choked = b"", False, False, False

    def part(self, data: bytes) -> None:
        self.data += data

    def body_ended(self) -> None:
        self.ended = True

    def body_cut(self) -> None:
        self.cut = True


@given(st.lists(st.binary(min_size=1, max_size=50), max_size=20), st.integers(0, 400), st.data())
def test_a_body_comes_whole_or_visibly_cut_and_gives_its_memory_back(
    parts: list[bytes], keep: int, data: st.DataObject
) -> None:
    budget = Budget(None)
    body, sent, sink = Body(budget, None, keep), b"", None
    for part in parts:
        what = data.draw(st.sampled_from(["feed", "attach", "detach"]))
        if what == "attach" and body.replayable:
            sink = RecordingSink()
            body.attach(sink)
        elif what == "detach" and sink is not None:
            body.detach(sink)
            sink = None
        if sink is not None or not body.full or not body.total:  # a source pauses while the body is full
            body.feed(part)
            sent += part
        if sink is not None:
            assert sink.data == sent
        assert budget.held == body.size <= max(keep, 0) + 50 and budget.streams == 1
    if data.draw(st.booleans()):
        body.end()
        assert sink is None or (sink.ended, sink.cut) == (True, False)
    else:
        body.cut()
        assert sink is None or (sink.ended, sink.cut) == (False, True)
    body.drop()
    assert (budget.held, budget.streams) == (0, 0)


@given(st.none() | st.floats(1.0, 4096.0), st.integers(0, 5000))
def test_every_stream_that_is_admitted_has_its_least_share(memory: float | None, streams: int) -> None:
    budget = Budget(memory)
    budget.streams = streams
    assert flow.MIN_WINDOW_BYTES <= budget.high_water_mark() <= flow.MAX_WINDOW_BYTES
    assert 0 <= budget.replay_limit() <= flow.MAX_REPLAY_BYTES
    if budget.admits():
        assert (flow.MIN_WINDOW_BYTES + flow.READ_BYTES) * (streams + 1) <= budget.total


# The codec

REQUEST = b"POST /api HTTP/1.1\r\nHost: a\r\nX-A:  b \t\r\n"
BODY = bytes(range(256)) * 300
CHUNKED = b"".join(http.chunk(BODY[at : at + 7777]) for at in range(0, len(BODY), 7777)) + b"0\r\n\r\n"
FORMS = {
    "none": REQUEST + b"Content-Length: 0\r\n\r\n",
    "short": REQUEST + b"Content-Length: 4\r\n\r\nbody",
    "long": REQUEST + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY,
    "chunked": REQUEST + b"Transfer-Encoding: chunked\r\n\r\n" + CHUNKED,
    "byte by byte": REQUEST
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + b"1;x=y\r\na\r\n" * 5000
    + b"0\r\nT: u\r\n\r\n",
}


def read(parts: list[bytes], budget: Budget | None) -> list[tuple[bytes, bytes]]:
    """Parse the parts; return the X-A header and the body of each message."""
    reader, found, sinks = http.request_reader(budget), [], []
    for part in parts:
        reader.feed(part)
        for message in reader.take():
            sink = RecordingSink()
            if message.stream is not None:
                message.stream.attach(sink)
            sink.data += message.body
            sinks.append(sink)
            found.append(message)
    return [(dict(message.headers)[b"x-a"], sink.data) for message, sink in zip(found, sinks, strict=True)]


@pytest.mark.parametrize("form", FORMS)
@given(data=st.data())
def test_any_cut_of_the_bytes_gives_the_same_messages(form: str, data: st.DataObject) -> None:
    whole = FORMS[form] + FORMS["short"]
    cuts = sorted(data.draw(st.lists(st.integers(0, len(whole)), max_size=30)))
    parts = [whole[a:b] for a, b in zip([0, *cuts], [*cuts, len(whole)], strict=True)]
    wanted = {"none": b"", "short": b"body", "byte by byte": b"a" * 5000}.get(form, BODY)
    budget = Budget(None)
    assert read(parts, budget) == [(b"b", wanted), (b"b", b"body")]
    assert budget.streams == 0


# The frontend rejects each; from an upstream, each fails the attempt (RFC 9112 by section; RFC 9110, 8.6).
HEAD = b"POST /api HTTP/1.1\r\nHost: a\r\n"
MALFORMED = {
    "6.1: both framings": HEAD + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "6.3: two lengths": HEAD + b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nbodyx",
    "6.3: a list of lengths": HEAD + b"Content-Length: 4, 5\r\n\r\nbodyx",
    "6.3: no number": HEAD + b"Content-Length: +4\r\n\r\nbody",
    "6.3: another coding": HEAD + b"Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n",
    "5.1: space before the colon": HEAD + b"Content-Length : 4\r\n\r\nbody",
    "5.2: a folded line": HEAD + b"X: a\r\n b\r\nContent-Length: 4\r\n\r\nbody",
    "5: no name": HEAD + b": x\r\nContent-Length: 4\r\n\r\nbody",
    "2.2: bare CR": HEAD + b"X: a\rContent-Length: 4\r\n\r\nbody",
    "7.1: no size": HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nbody\r\n",
    "7.1: more than its size": HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbodyx\r\n0\r\n\r\n",
    "7.1: a size over all bounds": HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"f" * 20 + b"\r\n",
    "7.1.1: extensions without end": HEAD + b"Transfer-Encoding: chunked\r\n\r\n1;" + b"x" * 40_000,
    "7.1.2: trailers without end": HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n" + b"X: y\r\n" * 9000,
}  # fmt: skip


@pytest.mark.parametrize("name", MALFORMED)
def test_what_two_readers_might_read_in_two_ways_is_refused(name: str) -> None:
    with pytest.raises(http.BadMessage):
        read([MALFORMED[name]], Budget(None))


# Over sockets

Raw = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
Test = Callable[[World], Awaitable[None]]


class RawUpstream(Upstream):
    """An upstream that passes each raw connection to a script."""

    def __init__(self, script: Raw) -> None:
        super().__init__()
        self.script = script

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await self.script(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.ended.set()
            writer.transport.abort()


def run(script: Raw, test: Callable[[World, Upstream], Awaitable[None]]) -> None:
    async def scenario() -> None:
        upstream = RawUpstream(script)
        await upstream.start()
        async with world(FakeDiscovery(), host("s-1", upstream.dial)) as there:
            async with asyncio.timeout(6 * PATIENCE_S):
                await test(there, upstream)
            budget = there.sidecar.budget
            for client in there.clients:
                client.writer.transport.abort()
            while budget.streams or there.sidecar.lives.passing:
                await asyncio.sleep(0.01)
            assert budget.held == 0
        upstream.close()

    asyncio.run(scenario())


def ask(klass: str = "sale", body: bytes = b"body", framing: bytes = b"", version: bytes = b"1.1") -> bytes:
    key = b"idempotency-key: k\r\n" if klass == "listing" else b""
    framing = framing or b"content-length: %d\r\n" % len(body)
    return (
        b"POST /api HTTP/%s\r\nhost: a\r\nx-correlation-id: r-1\r\nx-service-class: %s\r\n"
        b"%sx-time-left-ms: 1000\r\n%s\r\n" % (version, klass.encode(), key, framing)
    ) + body


async def head_of(reader: asyncio.StreamReader) -> bytes:
    return (await reader.readuntil(b"\r\n\r\n")).lower()


async def body_of(reader: asyncio.StreamReader, head: bytes) -> bytes:
    if b"transfer-encoding: chunked" in head:
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
        return body
    found = re.search(rb"content-length: (\d+)", head)
    return await reader.readexactly(int(found[1])) if found else await reader.read()


ANSWERS = {
    "length": b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % LONG + b"z" * LONG,
    "chunks": b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
    + http.chunk(b"z" * (LONG // 4)) * 4
    + http.LAST_CHUNK,
    "to the end": b"HTTP/1.1 200 OK\r\n\r\n" + b"z" * LONG,
    "1.0": b"HTTP/1.0 200 OK\r\n\r\n" + b"z" * LONG,
    "after 1xx": b"HTTP/1.1 102 Processing\r\n\r\n"
    b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % LONG + b"z" * LONG,
}  # fmt: skip


@pytest.mark.parametrize("version", [b"1.1", b"1.0"])
@pytest.mark.parametrize("form", ANSWERS)
def test_a_long_answer_of_any_form_comes_whole(form: str, version: bytes) -> None:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await body_of(reader, await head_of(reader))
            writer.write(ANSWERS[form])
            await writer.drain()
            if form in ("to the end", "1.0"):
                return writer.close()

    async def test(there: World, upstream: Upstream) -> None:
        for _ in range(2):
            client = await there.client()
            client.writer.write(ask(version=version))
            head = await head_of(client.stream)
            assert head.startswith(b"http/1.1 200")
            assert await body_of(client.stream, head) == b"z" * LONG
        assert report(there.sidecar)["passed"]["sale"] == 2
        assert report(there.sidecar)["in_progress"] == 0

    run(script, test)


@pytest.mark.parametrize("framing", ["length", "chunks", "expect"])
def test_a_long_body_reaches_the_upstream_whole(framing: str) -> None:
    body = bytes(range(256)) * (LONG // 256)

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            got = await body_of(reader, await head_of(reader))
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n" + (b"ok" if got == body else b"no"))

    async def test(there: World, upstream: Upstream) -> None:
        for klass in ("sale", "listing"):
            client = await there.client()
            if framing == "chunks":
                client.writer.write(ask(klass, b"", b"transfer-encoding: chunked\r\n"))
                client.writer.write(http.chunk(body[:100]) + http.chunk(body[100:]) + http.LAST_CHUNK)
            elif framing == "expect":
                client.writer.write(
                    ask(klass, b"", b"content-length: %d\r\nexpect: 100-continue\r\n" % len(body))
                )
                assert await head_of(client.stream) == b"http/1.1 100 continue\r\n\r\n"
                client.writer.write(body)
            else:
                client.writer.write(ask(klass, body))
            answer = await client.read()
            assert answer is not None and (answer.status, answer.body) == (200, b"ok")

    run(script, test)


@pytest.mark.parametrize("form", ["length", "chunks", "to the end"])
@pytest.mark.parametrize("version", [b"1.1", b"1.0"])
def test_an_answer_that_breaks_off_is_seen_to_be_cut(form: str, version: bytes) -> None:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await body_of(reader, await head_of(reader))
        writer.write(ANSWERS[form][: LONG // 2])
        await writer.drain()
        await asyncio.sleep(FULL_S)
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        writer.transport.abort()

    async def test(there: World, upstream: Upstream) -> None:
        client = await there.client()
        client.writer.write(ask(version=version))
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await body_of(client.stream, await head_of(client.stream))
        while report(there.sidecar)["in_progress"]:
            await asyncio.sleep(0.01)
        assert (
            report(there.sidecar)["bad_gateway"]["sale"] == 1 and report(there.sidecar)["passed"]["sale"] == 0
        )

    run(script, test)


def test_a_client_that_does_not_read_makes_its_upstream_wait_and_one_that_leaves_frees_it() -> None:
    sent = 0

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal sent
        await body_of(reader, await head_of(reader))
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 1000000000\r\n\r\n")
        while True:
            writer.write(b"z" * 65536)
            await writer.drain()
            sent += 65536

    async def test(there: World, upstream: Upstream) -> None:
        client = await there.client()
        client.writer.write(ask())
        await head_of(client.stream)
        before = -1
        while before != sent:
            before = sent
            await asyncio.sleep(FULL_S)
        assert sent < 100_000_000  # only the kernel's buffers and a bounded amount in the process
        assert (
            there.sidecar.lives.owed == 0 and there.sidecar.balancer.limits.inflight == 0
        )  # it counts no longer against the concurrency limit
        client.writer.transport.abort()
        await upstream.ended.wait()

    run(script, test)


@pytest.mark.parametrize("long", [False, True], ids=["kept whole", "longer than what is kept"])
def test_a_body_whose_attempt_breaks_is_sent_again_only_while_all_of_it_is_here(long: bool) -> None:
    """The end of the body was never sent, so the request was not executed and even a sale may be retried."""
    tries = 0

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal tries
        tries += 1
        head = await head_of(reader)
        if tries == 1:
            await reader.readexactly(1000)
            return
        body = await body_of(reader, head)
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\n%08d" % len(body))

    async def test(there: World, upstream: Upstream) -> None:
        client = await there.client()
        size = flow.MAX_REPLAY_BYTES * 4 if long else 300_000
        client.writer.write(ask(body=b"", framing=b"content-length: %d\r\n" % size) + b"b" * (size - 1))
        if not long:
            client.writer.write(b"b")
        else:
            await upstream.ended.wait()
        answer = await client.read()
        assert answer is not None
        assert (answer.status, tries) == ((503, 1) if long else (200, 2)) or not long and answer.status == 502

    run(script, test)


def test_an_answer_that_comes_before_the_body_is_read_is_passed_on() -> None:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await head_of(reader)
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nearly")
        await asyncio.sleep(PATIENCE_S)

    async def test(there: World, upstream: Upstream) -> None:
        client = await there.client()
        client.writer.write(ask(body=b"", framing=b"content-length: 9000000\r\n") + b"b" * 4_000_000)
        answer = await client.read()
        assert answer is not None and (answer.status, answer.body) == (200, b"early")
        assert not answer.keep_alive  # the rest of the body would be parsed as the next request

    run(script, test)


def test_a_client_that_leaves_within_its_body_frees_the_upstream() -> None:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await body_of(reader, await head_of(reader))

    async def test(there: World, upstream: Upstream) -> None:
        client = await there.client()
        client.writer.write(ask(body=b"", framing=b"content-length: 9000000\r\n") + b"b" * 4_000_000)
        while not there.sidecar.lives.owed:
            await asyncio.sleep(0.01)
        client.writer.transport.abort()
        await upstream.ended.wait()
        assert there.sidecar.lives.tries == 0  # never sent whole

    run(script, test)
