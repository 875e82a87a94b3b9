"""The admin interface: requests, statistics, readiness, and misbehaving clients."""

from __future__ import annotations

import asyncio
import json
import socket
import time
from collections.abc import Iterator
from http import HTTPStatus

import pytest
from hypothesis import given
from hypothesis import strategies as st
from sockets import FakeDiscovery, Peer, Upstream, host, world

from anisestair.admin import readiness, server, setup
from anisestair.admin.figures import report
from anisestair.admin.readiness import Readiness, Stage, UpstreamStatus
from anisestair.admin.server import AdminServer
from anisestair.http import codec as http
from anisestair.lifecycle import Lives
from anisestair.lifecycle import events as ev
from anisestair.lifecycle.exchange import Final
from hareloom.interface import Outcome

GET = b"GET %s HTTP/1.1\r\nhost: a\r\n\r\n"


@pytest.fixture
def admin() -> Iterator[AdminServer]:
    def page() -> tuple[HTTPStatus, bytes]:
        return HTTPStatus.OK, b'{"x":1}'

    def broken() -> tuple[HTTPStatus, bytes]:
        raise RuntimeError

    there = AdminServer(("127.0.0.1", 0), {b"/admin/stats": page, b"/broken": broken})
    yield there
    there.close()


def call(address: tuple[str, int], data: bytes) -> bytes:
    """Returns the bytes received until the connection closes or is reset."""
    with socket.create_connection(address, timeout=10) as sock:
        got = b""
        try:
            sock.sendall(data)
            while part := sock.recv(65536):
                got += part
        except ConnectionError:
            pass
        return got


@pytest.mark.parametrize(
    ("data", "status", "also"),
    [
        (GET % b"/admin/stats", 200, b'{"x":1}'),
        (GET % b"/admin/stats?a=b", 200, b"content-length: 7"),
        # the second is not answered
        (GET % b"/admin/stats" + GET % b"/admin/stats", 200, b"connection: close"),
        (GET % b"/admin/other", 404, b"content-length: 0"),
        (b"POST /admin/stats HTTP/1.1\r\ncontent-length: 2\r\n\r\nxx", 405, b"allow: GET"),
        (b"POST /nothing HTTP/1.1\r\ncontent-length: 0\r\n\r\n", 404, b""),
        (b"what is this\r\n\r\n", 400, b"content-length: 0"),
        (b"GET /admin/stats HTTP/1.1\r\nx: " + b"y" * 1_000_000, 431, b""),
        (GET % b"/broken", 500, b"content-length: 0"),
    ],
)  # fmt: skip
def test_every_call_gets_a_whole_answer(admin: AdminServer, data: bytes, status: int, also: bytes) -> None:
    got = call(admin.address, data)
    assert got.startswith(b"HTTP/1.1 %d " % status) and also in got
    assert got.count(b"HTTP/1.1") == 1


def test_callers_that_send_half_a_call_take_nothing_from_others(admin: AdminServer) -> None:
    """Beyond the limit on connections the oldest incomplete ones are closed; a complete request is served."""
    held = []
    for number in range(2 * server.MAX_CONNECTIONS):
        sock = socket.create_connection(admin.address)
        sock.sendall(b"GET /admin/st"[: number % 13])
        held.append(sock)
        if number % 8 == 0:
            assert call(admin.address, GET % b"/admin/stats").startswith(b"HTTP/1.1 200")
    assert admin.open_connections() <= server.MAX_CONNECTIONS
    for sock in held:
        sock.close()


def test_half_a_call_is_told_that_its_time_is_over(
    admin: AdminServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(server, "REQUEST_TIMEOUT_S", 0.05)
    assert call(admin.address, b"GET /admin/stats HT").startswith(b"HTTP/1.1 408")


def test_an_answer_comes_while_the_serving_loop_is_held_up() -> None:
    async def run() -> None:
        upstream = Upstream()
        await upstream.start()
        async with world(FakeDiscovery(), host("s-1", upstream.dial)) as there:
            stage = (Stage.READY, UpstreamStatus(1, True, False))
            admin = setup.start(("127.0.0.1", 0), there.sidecar, lambda: stage)
            try:
                # These calls block the loop's thread, so nothing else of the loop can run.
                assert call(admin.address, GET % b"/admin/health").startswith(b"HTTP/1.1 200")
                body = call(admin.address, GET % b"/admin/stats").partition(b"\r\n\r\n")[2]
                assert json.loads(body)["known_upstreams"] == 1
            finally:
                admin.close()
        upstream.close()

    asyncio.run(run())


def test_the_figures_are_what_clients_and_upstreams_saw() -> None:
    """Requests that are served, fail, are rejected by the upstream, have an unknown class, or are cancelled
    by their client."""

    async def answer(peer: Peer, message: http.Message) -> None:
        if message.body == b"leave":
            await asyncio.sleep(60)
        status = {b"ok": 200, b"fail": 500, b"full": 503}[message.body]
        await peer.answer(status, headers=[(b"x-unprocessed", b"1")] if status == 503 else [])

    async def run() -> None:
        upstream = Upstream(answer)
        await upstream.start()
        async with world(
            FakeDiscovery(), host("s-1", upstream.dial), host("s-2", upstream.dial, "draining")
        ) as there:
            client = await there.client()
            seen = [
                (await client.ask(f"r{n}", body=body)).status
                for n, body in enumerate([b"ok", b"fail", b"full"])
            ]
            await client.ask("r9", klass="nobody")  # rejected before it counts as a request
            leaver = await there.client()
            leaver.send("r10", body=b"leave")
            while upstream.seen.qsize() < len(upstream.requests) or upstream.requests[-1].body != b"leave":
                await asyncio.sleep(0)
            assert report(there.sidecar)["in_progress"] == 1
            leaver.writer.transport.abort()
            while there.sidecar.lives.owed:
                await asyncio.sleep(0)
            found = report(there.sidecar)
            assert seen[0] == 200 and seen[1] == 502
            assert found["passed"] == {"sale": 1, "listing": 0}
            assert found["bad_gateway"]["sale"] == seen.count(502) and found["dropped"]["sale"] == seen.count(
                503
            )
            assert found["upstream_tries"] == len(upstream.requests)
            assert (found["known_upstreams"], found["in_progress"]) == (2, 0)
            assert found["skipped_upstreams"] >= 1  # the draining one
        upstream.close()

    asyncio.run(run())


@given(st.data())
def test_owed_and_tries_are_what_a_ledger_of_its_own_counts(data: st.DataObject) -> None:
    """For any order of events, taken = settled + owed, and tries = attempts that were sent in full."""
    lives = Lives(2, 3)
    lives.handle(ev.Listed((ev.Listing("s", True, 1),), True))
    taken = settled = whole = 0
    unwritten: set[tuple[str, int]] = set()

    def carry(effects: list[ev.Effect]) -> None:
        nonlocal settled, whole
        for effect in effects:
            if isinstance(effect, ev.Write):
                if effect.kept and data.draw(st.booleans(), "unusable"):
                    carry(lives.handle(ev.Unusable(effect.connection, effect.call)))
                elif data.draw(st.booleans(), "held"):
                    unwritten.add(effect.call)
                    carry(lives.handle(ev.Held(effect.connection, 1)))
                else:
                    whole += 1
            elif isinstance(effect, ev.Reply):
                settled += 1
            elif isinstance(effect, ev.Left):
                settled += effect.request in gone
            elif isinstance(effect, ev.Close):
                carry(lives.handle(ev.Lost(effect.connection)))

    gone: set[str] = set()
    for number in range(data.draw(st.integers(1, 12), "steps")):
        open_ = [name for name, item in lives.exchanges.items() if item.owed]
        what = data.draw(
            st.sampled_from(["take", "choose", "up", "flush", "answer", "lost", "gone", "refuse"])
        )
        lines = list(lives.connections)
        if what == "take":
            carry(lives.handle(ev.Take(f"r{number}")))
            taken += 1
        elif what in ("choose", "gone", "refuse") and open_:
            name = data.draw(st.sampled_from(open_))
            if what == "choose":
                carry(lives.handle(ev.Choose(name, "s")))
            elif what == "gone":
                gone.add(name)
                carry(lives.handle(ev.Settle(name, Final.GONE)))
            else:
                carry(lives.handle(ev.Settle(name, Final.REFUSED)))
        elif lines and what in ("up", "flush", "answer", "lost"):
            at = data.draw(st.sampled_from(lines))
            calls = lives.connections[at].calls
            if what == "up":
                carry(lives.handle(ev.Up(at)))
            elif what == "flush" and calls and calls[0] in unwritten and lives.connections[at].unsent:
                whole += 1
                carry(lives.handle(ev.Held(at, 0)))
            elif what == "answer" and calls:
                carry(lives.handle(ev.Answered(at, calls[0], Outcome.OK, True)))
            elif what == "lost":
                carry(lives.handle(ev.Lost(at)))
        assert lives.owed == taken - settled
        assert lives.tries == whole


UPSTREAM_STATUSES = st.builds(UpstreamStatus, st.integers(0, 2), st.booleans(), st.booleans())


@given(UPSTREAM_STATUSES, st.floats(0.0, 2000.0))
def test_a_start_may_serve_once_a_list_counts(status: UpstreamStatus, waited: float) -> None:
    counts = status.list_received or status.call_failed or waited >= readiness.DISCOVERY_WAIT_MS
    assert readiness.may_serve(waited, status) == (counts and status.usable > 0)


@given(st.lists(st.sampled_from(["ready", "end"])))
def test_what_is_ending_is_never_ready_again(steps: list[str]) -> None:
    state = Readiness()
    for step in steps:
        state.ready() if step == "ready" else state.end()
    assert state.stage is (Stage.ENDING if "end" in steps else Stage.READY if steps else Stage.STARTING)
    assert readiness.why(state.stage, UpstreamStatus(0, False, False)).startswith(state.stage.value)


def test_the_thread_ends_when_it_is_told() -> None:
    there = AdminServer(("127.0.0.1", 0), {})
    before = time.monotonic()
    there.close()
    assert time.monotonic() - before < 60
