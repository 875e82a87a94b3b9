"""The sidecar over loopback sockets, with the real Balancer: what each side is owed."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from sockets import FakeDiscovery, Peer, Upstream, host, serve, world

from anisestair import http


def run(test: Callable[[Upstream, FakeDiscovery], Awaitable[None]], handler: object = serve) -> None:
    """A test's coroutine, given an upstream and discovery."""

    async def play() -> None:
        upstream, discovery = Upstream(handler), FakeDiscovery()  # type: ignore[arg-type]
        await upstream.start()
        try:
            await asyncio.wait_for(test(upstream, discovery), 20.0)
        finally:
            upstream.close()

    asyncio.run(play())


async def send_back(peer: Peer, message: http.Message) -> None:
    """Answers with the status that the request's body names, marked as unprocessed if it says so."""
    status, _, mark = message.body.partition(b" ")
    headers = [(b"x-unprocessed", b"1"), (b"retry-after", b"9")] if mark else [(b"retry-after", b"9")]
    await peer.answer(int(status), b"upstream's words", headers)


def test_a_request_goes_on_unchanged_and_its_answer_comes_back_unchanged() -> None:
    async def test(upstream: Upstream, discovery: FakeDiscovery) -> None:
        async with world(discovery, host("s-1", upstream.dial)) as there:
            client = await there.client()
            key = [(b"idempotency-key", b"k1"), (b"connection", b"x-private"), (b"x-private", b"1")]
            answer = await client.ask("r1", "listing", target=b"/api?q=1", body=b"\x00\r\n", headers=key)
            assert (answer.status, answer.body) == (200, b"done:\x00\r\n")
            (seen,) = upstream.requests
            assert (seen.method, seen.target, seen.body) == (b"POST", b"/api?q=1", b"\x00\r\n")
            assert (seen.get(b"x-correlation-id"), seen.get(b"idempotency-key")) == ("r1", "k1")
            assert 0 < int(seen.get(b"x-time-left-ms") or "") <= 1000
            assert seen.get(b"x-private") is None, "a header for one connection went on"

    run(test)


# An upstream's refusal promises that nothing ran to this sidecar alone: passed on, it would let the client
# repeat a request that has run. Without its mark a 503 says nothing of that either.
@pytest.mark.parametrize(
    ("said", "status"),
    [
        (b"500", 502),
        (b"503", 502),
        (b"504", 502),
        (b"429 mark", 502),
        (b"302", 502),
        (b"503 mark", 503),
        (b"504 mark", 503),
    ],
)
def test_only_what_never_ran_is_refused(said: bytes, status: int) -> None:
    async def test(upstream: Upstream, discovery: FakeDiscovery) -> None:
        async with world(discovery, host("s-1", upstream.dial), settings={"limits": {}}) as there:
            answer = await (await there.client()).ask("r1", body=said)
            assert answer.status == status
            assert b"upstream" not in answer.body and answer.get(b"retry-after") != "9"

    run(test, send_back)


@pytest.mark.parametrize(
    ("fields", "status"),
    [
        ({"klass": "unheard-of"}, 400),
        ({"left": "soon"}, 400),
        ({"left": "nan"}, 400),
        ({"left": ""}, 400),
        ({"request": ""}, 400),
        ({"target": b"/elsewhere"}, 404),
        ({"body": b"x" * 65537}, 413),
        ({"headers": [(b"x-long", b"x" * 20000)]}, 431),
        ({"headers": [(b"content-length", b"1"), (b"content-length", b"2")]}, 400),
    ],
)
def test_bad_input_gets_its_status_and_the_sidecar_serves_on(fields: dict[str, object], status: int) -> None:
    async def test(upstream: Upstream, discovery: FakeDiscovery) -> None:
        async with world(discovery, host("s-1", upstream.dial)) as there:
            answer = await (await there.client()).ask(**{"request": "r1", **fields})  # type: ignore[arg-type]
            assert (answer.status, upstream.requests) == (status, [])
            assert (await (await there.client()).ask("r2")).status == 200

    run(test)


def test_an_id_in_hand_is_not_taken_again() -> None:
    release = asyncio.Event()

    async def held(peer: Peer, message: http.Message) -> None:
        await release.wait()
        await serve(peer, message)

    async def test(upstream: Upstream, discovery: FakeDiscovery) -> None:
        async with world(discovery, host("s-1", upstream.dial)) as there:
            first, second = await there.client(), await there.client()
            first.send("r1")
            await upstream.seen.get()
            assert (await second.ask("r1")).status == 400
            release.set()
            answer = await first.read()
            assert answer is not None and answer.status == 200
            assert len(upstream.requests) == 1

    run(test, held)


def test_ready_is_answered_on_a_connection_that_goes_on() -> None:
    async def test(upstream: Upstream, discovery: FakeDiscovery) -> None:
        async with world(discovery, host("s-1", upstream.dial)) as there:
            client = await there.client()
            client.writer.write(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
            answer = await client.read()
            assert answer is not None and answer.status == 200 and answer.keep_alive
            assert (await client.ask("r1")).status == 200

    run(test)
