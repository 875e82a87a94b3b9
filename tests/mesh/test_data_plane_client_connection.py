"""Client connections and their requests: one complete sidecar beside a stand-in upstream."""

from __future__ import annotations

import asyncio
import io
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from anisestair.http import codec as http
from anisestair.http.frontend import unread
from mesh.configuration.limits import InputLimits
from mesh.configuration.routes import RouteTable, read_route
from mesh.data_plane.client_connection import MAX_PIPELINED, ClientListener, PipelinedConnection
from mesh.data_plane.peer_links import PeerLinks
from mesh.data_plane.request_dispatch import DEFAULT_RETRY_S, RequestDispatcher
from mesh.data_plane.service_balancers import DEADLINE_SLACK_MS
from mesh.data_plane.service_tables import ServiceBalancers
from mesh.data_plane.upstream_connections import UpstreamConnectionPool
from mesh.data_plane.upstream_dispatch import UpstreamDispatch
from mesh.event_log.log import EventLog
from mesh.membership.instance_commands import Heartbeat, read_heartbeat
from mesh.membership.instance_lifecycle import Upstream as Life
from mesh.transport.link import Address
from rigs.mesh_peers import (
    Client,
    Upstream,
    advance_clock,
    route,
    run_async_test,
    run_ready_callbacks,
    wait_until,
    with_timeout,
)

INSTANCE = {"plant": "s", "zone": "z", "capacity": 32, "state": "settled", "cold_ms": 0.0}
READ = route("read", "/read/", "s")
PAY = route("pay", "/pay/", "s", effectful=True)


class NoAddresses:
    def address(self, node: str) -> Address | None:
        return None


class Sidecar:
    """A sidecar of the service "me", beside an upstream of the service "s"."""

    def __init__(self, upstream: Upstream, rules: tuple[dict[str, Any], ...]) -> None:
        event_log = EventLog("t", io.StringIO())
        life = Life("n1", "z", 500.0, 2000.0)
        heartbeat = read_heartbeat(upstream.instance, upstream.heartbeat_body())
        assert isinstance(heartbeat, Heartbeat)
        life.on_heartbeat(0.0, heartbeat)
        self.upstream, self.routes, self.known = upstream, RouteTable(), True
        self.connections = UpstreamConnectionPool(upstream.address, 40, event_log)
        self.upstream_dispatch = UpstreamDispatch(life, self.connections, event_log, lambda _: None)
        peer_links = PeerLinks("n1", self.upstream_dispatch, event_log, lambda node, up: None)
        self.balancers = ServiceBalancers(
            peer_links, NoAddresses(), lambda _: "n1", "z", (0.2, 10_000.0, 100.0), 7, event_log
        )
        self.request_dispatcher = RequestDispatcher(
            self.balancers,
            "me",
            200.0,
            self.routes.find,
            lambda: self.known,
            lambda service: self.fill(service),
        )
        for rule in rules:
            self.routes.put(read_route(rule["name"], 1, {**rule, "host": "h.example"}))

    def fill(self, service: str) -> None:
        self.balancers.by_service[service].update_instances([(self.upstream.instance, INSTANCE)], full=True)

    def start(self) -> None:
        self.client_listener = ClientListener(self.request_dispatcher, 50)
        self.address = self.client_listener.listen(("127.0.0.1", 0))

    async def client(self) -> Client:
        return await Client.connect(self.address)

    async def came(self) -> str:
        """The id of the next request at the upstream."""
        return (await with_timeout(self.upstream.incoming.get())).get(b"attempt-id") or ""


def beside(
    test: Callable[[Sidecar], Awaitable[None]],
    behavior: Callable[[http.Message], str] = lambda _: "ok",
    rules: tuple[dict[str, Any], ...] = (READ, PAY),
) -> None:
    async def run() -> None:
        upstream = Upstream(behavior=behavior, capacity=32)
        await upstream.start()
        sidecar = Sidecar(upstream, rules)
        sidecar.start()
        try:
            await test(sidecar)
        finally:
            upstream.release.set()
            upstream.close()
            sidecar.connections.close()
            sidecar.client_listener.closing = True
            for connection in list(sidecar.client_listener._connections):
                connection.close()
            await sidecar.client_listener.stop(accept_s=0.0)

    run_async_test(run)


def by_path(message: http.Message) -> str:
    """The last part of the path says what the upstream does."""
    return message.target.rpartition(b"/")[2].decode()


# Requests passed on, and their responses


def test_requests_and_answers_are_passed_on_unchanged_with_our_own_headers_whatever_was_sent() -> None:
    async def test(sidecar: Sidecar) -> None:
        client = await sidecar.client()
        sent = [
            (b"calling-service", b"forged"),
            (b"Calling-Service", b"again"),
            (b"target-instance", b"i-other"),
            (b"x-own", b"\xe9 1"),
            (b"connection", b"x-hop, attempt-id"),
            (b"x-hop", b"1"),
            (b"te", b"trailers"),
        ]
        body = bytes(range(256)) * 300
        answer = await client.request(
            "a1", "/read/x?q=%20&r=1", time_remaining_ms=900, headers=sent, body=body
        )
        (seen,) = sidecar.upstream.received
        assert (seen.method, seen.target, seen.body) == (b"POST", b"/read/x?q=%20&r=1", body)
        told = [
            (name, value)
            for name, value in seen.headers
            if name not in (b"content-length", b"time-remaining")
        ]
        assert sorted(told) == [
            (b"attempt-id", b"a1"),
            (b"calling-service", b"me"),
            (b"host", b"h.example"),
            (b"target-instance", b"i-1"),
            (b"x-own", b"\xe9 1"),
        ]
        assert 0 < int(seen.get(b"time-remaining") or "") <= 900
        assert [name for name, _ in seen.headers].count(b"time-remaining") == 1
        assert (answer.status, answer.body) == (200, sidecar.upstream.response_body(seen))
        assert {name for name, _ in answer.headers} == {b"attempt-id", b"response-seal", b"content-length"}

    beside(test)


def test_a_body_in_chunks_arrives_as_the_same_body() -> None:
    async def test(sidecar: Sidecar) -> None:
        client = await sidecar.client()
        parts = [b"a" * 5, b"\r\n0\r\n\r\n", b"b" * 70_000]
        answer = await client.request("a1", "/pay/x", chunks=parts)
        (seen,) = sidecar.upstream.received
        assert seen.body == b"".join(parts) and answer.body == sidecar.upstream.response_body(seen)
        assert seen.get(b"transfer-encoding") is None

    beside(test)


def test_the_time_told_is_no_longer_than_the_route_holds_a_request() -> None:
    async def test(sidecar: Sidecar) -> None:
        client = await sidecar.client()
        for attempt, time_remaining_ms, most in ("a1", 60_000, 4000), ("a2", 300, 300), ("a3", 0, 4000):
            await client.request(attempt, time_remaining_ms=time_remaining_ms)
            told = int(sidecar.upstream.received[-1].get(b"time-remaining") or "")
            assert most - 250 < told <= most

    beside(test)


def test_the_upstreams_own_failure_comes_back_as_it_is() -> None:
    async def test(sidecar: Sidecar) -> None:
        answer = await (await sidecar.client()).request("a1", "/pay/500")
        assert (answer.status, answer.body) == (500, b"own words")

    beside(test, by_path)


@pytest.mark.parametrize(
    ("path", "status"),
    [
        ("/pay/reset", 502),
        ("/pay/unsealed", 502),
        ("/pay/full", 503),
        ("/read/421", 503),
        ("/read/full", 503),
    ],
)
def test_what_a_client_is_told_of_a_request_without_an_answer(path: str, status: int) -> None:
    async def test(sidecar: Sidecar) -> None:
        client = await sidecar.client()
        client.send("a1", path)
        await sidecar.came()
        await wait_until(lambda: not sidecar.upstream_dispatch.running)
        advance_clock(6.0)  # an idempotent request waits for an upstream with room
        answer = await client.read()
        assert answer and answer.status == status, answer
        assert (answer.get(b"retry-after") is not None) is (status == 503)
        assert sidecar.upstream.runs["a1"] == (status == 502)
        assert float(answer.get(b"retry-after") or DEFAULT_RETRY_S) > 0.0

    beside(test, by_path)


def test_a_request_that_is_still_out_at_its_deadline_is_answered_504_and_ended_at_the_upstream() -> None:
    async def test(sidecar: Sidecar) -> None:
        client = await sidecar.client()
        client.send("a1", "/pay/hold", time_remaining_ms=800)
        await sidecar.came()
        advance_clock(0.8 + DEADLINE_SLACK_MS / 1000.0)
        answer = await client.read()
        assert answer and answer.status == 504
        await wait_until(lambda: not sidecar.upstream.open_connections)

    beside(test, by_path)


# Requests answered by the sidecar


def test_no_route_is_404_with_a_configuration_and_503_without() -> None:
    async def test(sidecar: Sidecar) -> None:
        client = await sidecar.client()
        for path, host in ("/other/x", "h.example"), ("/read/x", "other.example"), ("/read", "h.example"):
            assert (await client.request("a1", path, host=host)).status == 404
        sidecar.known = False
        answer = await client.request("a2", "/other/x")
        assert answer.status == 503 and float(answer.get(b"retry-after") or "0") > 0.0
        assert (await client.request("a3", "/read/x")).status == 200  # a known route is served
        sidecar.routes.remove("read")
        assert (await client.request("a4", "/read/x")).status == 503

    beside(test)


@pytest.mark.parametrize(
    "twice", [(b"host", b"h.example"), (b"Attempt-ID", b"a1"), (b"time-remaining", b"4000")]
)
def test_a_header_that_decides_and_stands_twice_is_400_and_nothing_behind_it_is_run(
    twice: tuple[bytes, bytes],
) -> None:
    async def test(sidecar: Sidecar) -> None:
        client = await sidecar.client()
        client.send("a1", headers=[twice])
        client.send("a2")
        answer = await client.read()
        assert answer and answer.status == 400 and answer.get(b"connection") == "close"
        assert await client.read() is None
        assert not sidecar.upstream.received

    beside(test)


@pytest.mark.parametrize(
    "head",
    [
        b"GET /read/x HTTP/1.1\r\nhost: h.example\r\n\r\n",
        b"GET /read/x HTTP/1.1\r\nhost: h.example\r\nattempt-id: a b\r\n\r\n",
        b"GET /read/x HTTP/1.1\r\nhost: h.example\r\nattempt-id: a1\r\ntime-remaining: -5\r\n\r\n",
        b"GET /read/x HTTP/1.1\r\nhost: h.example\r\nattempt-id: a1\r\ntime-remaining: 1e3\r\n\r\n",
        b"GET /read/x# HTTP/1.1\r\nhost: h.example\r\nattempt-id: a1\r\n\r\n",
        b"POST /read/x HTTP/1.1\r\nhost: h.example\r\nattempt-id: a1\r\ncontent-length: 3\r\n"
        b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        b"POST /read/x HTTP/1.1\r\nhost: h.example\r\nattempt-id: a1\r\ncontent-length: 3\r\n"
        b"content-length: 4\r\n\r\nabc",
        b"no request at all\r\n\r\n",
    ],
)
def test_what_is_no_proper_request_is_400_and_runs_nowhere(head: bytes) -> None:
    async def test(sidecar: Sidecar) -> None:
        client = await sidecar.client()
        client.write(head)
        answer = await client.read()
        assert answer and answer.status == 400
        assert not sidecar.upstream.received

    beside(test)


def test_a_body_beyond_the_bound_is_413_and_runs_nowhere() -> None:
    async def test(sidecar: Sidecar) -> None:
        sidecar.client_listener.apply_limits(InputLimits(body_bytes=10))
        client = await sidecar.client()
        assert (await client.request("a1", body=b"x" * 10)).status == 200
        assert (await client.request("a2", body=b"x" * 11)).status == 413
        client = await sidecar.client()
        assert (await client.request("a3", chunks=[b"x" * 6, b"x" * 5])).status == 413
        assert len(sidecar.upstream.received) == 1

    beside(test)


# Pipelined requests


def test_idempotent_requests_run_at_once_and_are_answered_in_their_order() -> None:
    async def test(sidecar: Sidecar) -> None:
        client = await sidecar.client()
        client.send("a1", "/read/hold")
        for attempt in ("a2", "a3", "a4"):
            client.send(attempt, "/read/ok")
        assert {await sidecar.came() for _ in range(4)} == {"a1", "a2", "a3", "a4"}
        await wait_until(lambda: len(sidecar.upstream_dispatch.running) == 1)  # the others are answered
        (connection,) = sidecar.client_listener._connections
        assert len(connection._slots) == 4  # type: ignore[attr-defined]
        sidecar.upstream.release.set()
        answers = [await client.read() for _ in range(4)]
        assert [answer and answer.get(b"attempt-id") for answer in answers] == ["a1", "a2", "a3", "a4"]

    beside(test, by_path)


def test_an_answer_that_waits_its_turn_is_traced_with_its_wait() -> None:
    async def test(sidecar: Sidecar) -> None:
        waited: dict[str, float] = {}
        sidecar.client_listener.trace = waited.__setitem__
        client = await sidecar.client()
        client.send("a1", "/read/hold")
        client.send("a2", "/read/ok")
        await wait_until(lambda: len(sidecar.upstream_dispatch.running) == 1)
        assert not waited
        advance_clock(0.3)
        sidecar.upstream.release.set()
        assert [await client.read() for _ in range(2)]
        assert waited["a1"] < 0.1 <= 0.3 <= waited["a2"]

    beside(test, by_path)


def test_so_many_of_one_connection_are_in_hand_and_no_more() -> None:
    async def test(sidecar: Sidecar) -> None:
        client = await sidecar.client()
        for at in range(MAX_PIPELINED + 4):
            client.send(f"a{at}", "/read/hold")
        assert {await sidecar.came() for _ in range(MAX_PIPELINED)} == {
            f"a{at}" for at in range(MAX_PIPELINED)
        }
        await run_ready_callbacks()
        assert sidecar.upstream.incoming.empty() and sidecar.request_dispatcher.open_requests == MAX_PIPELINED
        sidecar.upstream.release.set()
        answers = [await client.read() for _ in range(MAX_PIPELINED + 4)]
        assert [answer and answer.get(b"attempt-id") for answer in answers] == [
            f"a{at}" for at in range(MAX_PIPELINED + 4)
        ]

    beside(test, by_path)


def test_an_effectful_request_behind_others_waits_until_it_is_the_first() -> None:
    async def test(sidecar: Sidecar) -> None:
        client = await sidecar.client()
        for attempt, path in ("a1", "/read/hold"), ("a2", "/read/ok"), ("a3", "/pay/ok"), ("a4", "/read/ok"):
            client.send(attempt, path)
        assert {await sidecar.came() for _ in range(2)} == {"a1", "a2"}
        await run_ready_callbacks()
        assert sidecar.upstream.incoming.empty()
        sidecar.upstream.release.set()
        assert {await sidecar.came() for _ in range(2)} == {"a3", "a4"}
        answers = [await client.read() for _ in range(4)]
        assert [answer and answer.get(b"attempt-id") for answer in answers] == ["a1", "a2", "a3", "a4"]

    beside(test, by_path)


def test_behind_an_answer_that_closes_nothing_is_run() -> None:
    async def test(sidecar: Sidecar) -> None:
        client = await sidecar.client()
        client.send("a1", "/read/hold", headers=[(b"connection", b"close")])
        client.send("a2", "/read/ok")
        client.send("a3", "/pay/ok")
        assert await sidecar.came() == "a1"
        await run_ready_callbacks()
        sidecar.upstream.release.set()
        answer = await client.read()
        assert answer and answer.get(b"attempt-id") == "a1" and answer.get(b"connection") == "close"
        assert await client.read() is None
        await run_ready_callbacks()
        assert set(sidecar.upstream.runs) == {"a1"} and not sidecar.request_dispatcher.open_requests

    beside(test, by_path)


def test_behind_one_whose_answer_will_close_nothing_is_begun() -> None:
    async def test(sidecar: Sidecar) -> None:
        client = await sidecar.client()
        client.send("a1", "/read/hold")
        assert await sidecar.came() == "a1"
        (connection,) = sidecar.client_listener._connections
        assert isinstance(connection, PipelinedConnection)
        connection._slots[-1].closes = True
        client.send("a2", "/read/ok")
        await wait_until(lambda: bool(connection.waiting))
        sidecar.upstream.release.set()
        answer = await client.read()
        assert answer is not None and answer.get(b"connection") == "close"
        assert await client.read() is None
        assert [message.get(b"attempt-id") for message in sidecar.upstream.received] == ["a1"]

    beside(test, by_path)


def test_what_cannot_be_read_behind_requests_is_answered_in_its_turn() -> None:
    async def test(sidecar: Sidecar) -> None:
        client = await sidecar.client()
        client.send("a1", "/read/hold")
        client.send("a2", "/read/ok")
        client.write(b"nonsense\r\n\r\n")
        assert {await sidecar.came() for _ in range(2)} == {"a1", "a2"}
        sidecar.upstream.release.set()
        answers = [await client.read() for _ in range(3)]
        assert [answer and answer.status for answer in answers] == [200, 200, 400]
        assert await client.read() is None

    beside(test, by_path)


def test_a_client_that_leaves_ends_all_that_it_has_out() -> None:
    async def test(sidecar: Sidecar) -> None:
        client, other = await sidecar.client(), await sidecar.client()
        client.send("a1", "/read/hold")
        client.send("a2", "/read/hold")
        other.send("b", "/read/hold")
        assert {await sidecar.came() for _ in range(3)} == {"a1", "a2", "b"}
        client.abort()
        await wait_until(
            lambda: sidecar.request_dispatcher.open_requests == 1 and sidecar.upstream.open_connections == 1
        )
        sidecar.upstream.release.set()
        answer = await other.read()
        assert answer and answer.status == 200

    beside(test, by_path)


def test_at_an_end_what_has_been_read_is_answered_and_then_the_connection_closes() -> None:
    async def test(sidecar: Sidecar) -> None:
        client, idle = await sidecar.client(), await sidecar.client()
        client.send("a1", "/read/hold")
        client.send("a2", "/pay/ok")
        assert await sidecar.came() == "a1"
        ends = asyncio.get_running_loop().create_task(sidecar.client_listener.stop(accept_s=0.0))
        assert await idle.read() is None
        sidecar.upstream.release.set()
        answers = [await client.read() for _ in range(2)]
        assert [answer and answer.status for answer in answers] == [200, 200]
        assert [answer and answer.get(b"connection") for answer in answers] == [None, "close"]
        assert await client.read() is None
        await with_timeout(ends)

    beside(test, by_path)


def test_at_an_end_what_stands_in_the_kernel_behind_an_answer_is_read_and_answered_too() -> None:
    """Closing a connection with unread input would reset it and lose the response."""

    async def test(sidecar: Sidecar) -> None:
        client = await sidecar.client()
        client.send("a1", "/read/hold")
        assert await sidecar.came() == "a1"
        ends = asyncio.get_running_loop().create_task(sidecar.client_listener.stop(accept_s=0.0))
        await wait_until(lambda: sidecar.client_listener._listener is None)
        (connection,) = sidecar.client_listener._connections
        assert connection.transport is not None
        connection.transport.pause_reading()  # as if it arrived in the same step as the response
        client.send("a2", "/read/ok")
        await wait_until(lambda: unread(connection.transport.get_extra_info("socket")))  # type: ignore[union-attr]
        sidecar.upstream.release.set()
        answers = [await client.read() for _ in range(2)]
        assert [answer and answer.status for answer in answers] == [200, 200]
        assert [answer and answer.get(b"connection") for answer in answers] == [None, "close"]
        await with_timeout(ends)

    beside(test, by_path)
