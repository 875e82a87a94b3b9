"""The balancer of a service with the real decision module: which attempts may be retried, and which result
the client may get."""

from __future__ import annotations

import asyncio
import io
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import pytest
from msgspec.structs import replace

from anisestair.http import codec as http
from hareloom import interface as api
from mesh.admission.final_check import RejectReason
from mesh.configuration.routes import Route
from mesh.data_plane import route_classes
from mesh.data_plane.call_messages import Call, End, NotExecuted, Unclear, UpstreamResponse
from mesh.data_plane.call_state import (
    ClientRequest,
    ClientResult,
    Failed,
    Refused,
    RouteChanged,
    Served,
    State,
)
from mesh.data_plane.service_balancers import DEADLINE_SLACK_MS, ServiceBalancer
from mesh.data_plane.service_tables import ServiceBalancers
from mesh.event_log.log import EventLog
from rigs.mesh_peers import advance_clock, run_async_test, run_ready_callbacks, with_timeout

READ = Route("read", 1, "h", "/r/", False, 1000.0, 400.0, 3, 1, (("s", 1.0),))
PAY = replace(READ, name="pay", prefix="/p/", effectful=True)

OK = UpstreamResponse(200, [(b"response-seal", b"s")], b"body", True)
ERROR = UpstreamResponse(500, [], b"own words", True)
FULL = NotExecuted(RejectReason.FULL)
FULL_THERE = NotExecuted(RejectReason.FULL, reached_upstream=True)
UNCLEAR = Unclear("cut")


@dataclass(eq=False)
class Sent:
    call: Call
    node: str
    ended: Callable[[End], None]
    state: State = State.SENT


@dataclass
class FakePeerLinks:
    """Records the calls that are sent. Ends each at once with the next item of ``at_once``, if there is
    one."""

    sent: list[Sent] = field(default_factory=list)
    dropped: list[Sent] = field(default_factory=list)
    at_once: list[End] = field(default_factory=list)
    unreached: set[str] = field(default_factory=set)

    def reaches(self, node: str) -> bool:
        return node not in self.unreached

    def send(self, call: Call, node: str, address: object, ended: Callable[[End], None]) -> Sent:
        self.sent.append(Sent(call, node, ended))
        if self.at_once:
            ended(self.at_once.pop(0))
        return self.sent[-1]

    def drop(self, out: Sent) -> None:
        self.dropped.append(out)


class FakeAddresses:
    def address(self, node: str) -> tuple[str, int]:
        return "127.0.0.1", 1


class Bench:
    def __init__(self, upstreams: int, slack: float, ratio: float) -> None:
        self.peer_links, self.log = FakePeerLinks(), io.StringIO()
        self.balancers = ServiceBalancers(
            self.peer_links,  # type: ignore[arg-type]
            FakeAddresses(),
            lambda instance: "n-" + instance,
            "z",
            (ratio, 10_000.0, slack),
            7,
            EventLog("t", self.log),
        )
        self.balancers.set_fleet_size(1, 1)
        self.upstreams = upstreams
        self.asked = 0

    def table(self, route: Route) -> ServiceBalancer:
        table, new = self.balancers.get_or_create("s", route)
        if new:
            value = {"plant": "s", "zone": "z", "capacity": 8, "state": "settled", "cold_ms": 0.0}
            table.update_instances([(f"i{at}", value) for at in range(self.upstreams)], full=True)
        return table

    def ask(
        self, route: Route, left_ms: float = 1000.0
    ) -> tuple[ClientRequest, asyncio.Future[ClientResult]]:
        self.asked += 1
        # A second result raises InvalidStateError.
        final: asyncio.Future[ClientResult] = asyncio.get_running_loop().create_future()
        now = self.balancers.now()
        message = http.Message(method=b"POST", target=b"/x", body=b"b")
        attempt = f"a{self.asked}"
        ask = ClientRequest(
            attempt,
            route,
            "s",
            message,
            [(b"host", b"h")],
            attempt,
            "me",
            now,
            now + left_ms,
            final.set_result,
        )
        self.table(route).submit(ask)
        return ask, final

    def end(self, end: End) -> None:
        """Ends the call that was sent last."""
        self.peer_links.sent[-1].ended(end)

    def serve(self, count: int) -> None:
        """Serves ``count`` requests at once, so that the decision module sees healthy upstreams."""
        for _ in range(count):
            _, final = self.ask(READ)
            self.end(OK)
            assert final.result() == Served(OK)

    def sends(self, ask: ClientRequest) -> list[str]:
        return [sent.call.instance for sent in self.peer_links.sent if sent.call.attempt == ask.attempt]


def with_balancer(
    test: Callable[[Bench], Awaitable[None]], upstreams: int = 5, slack: float = 1000.0, ratio: float = 0.2
) -> None:
    async def run() -> None:
        await test(Bench(upstreams, slack, ratio))

    run_async_test(run)


def test_a_call_goes_to_an_instance_of_its_service_and_its_answer_to_the_client() -> None:
    async def test(bench: Bench) -> None:
        ask, final = bench.ask(READ, left_ms=700.0)
        (sent,) = bench.peer_links.sent
        assert sent.node == "n-" + sent.call.instance
        assert (sent.call.attempt, sent.call.body, sent.call.caller) == ("a1", b"b", "me")
        assert 690.0 < sent.call.remaining_ms <= 700.0
        bench.end(OK)
        assert final.result() == Served(OK)
        assert ask.finished and not bench.table(READ).requests
        advance_clock(2.0)
        await run_ready_callbacks()
        assert not bench.peer_links.dropped

    with_balancer(test)


@pytest.mark.parametrize("end", [UNCLEAR, ERROR, UpstreamResponse(504, [], b"", True)])
def test_an_effectful_call_that_may_have_run_is_never_sent_again_and_not_promised(end: End) -> None:
    async def test(bench: Bench) -> None:
        ask, final = bench.ask(PAY)
        bench.end(end)
        assert len(bench.sends(ask)) == 1
        assert final.result() == (Served(end) if isinstance(end, UpstreamResponse) else Failed(False))

    with_balancer(test)


@pytest.mark.parametrize(
    "first", [FULL, FULL_THERE, NotExecuted(RejectReason.DOWN), NotExecuted(RejectReason.LEAVING)]
)
def test_an_effectful_call_that_was_turned_away_may_go_elsewhere_and_then_may_have_run(
    first: NotExecuted,
) -> None:
    async def test(bench: Bench) -> None:
        ask, final = bench.ask(PAY)
        bench.end(first)
        assert len(set(bench.sends(ask))) == 2
        bench.end(UNCLEAR)
        assert final.result() == Failed(False) and len(bench.sends(ask)) == 2

    with_balancer(test)


def test_an_effectful_call_that_is_still_out_at_its_deadline_is_not_promised() -> None:
    async def test(bench: Bench) -> None:
        ask, final = bench.ask(PAY)
        advance_clock(1.0 + DEADLINE_SLACK_MS / 1000.0 + 0.01)
        assert await with_timeout(final) == Failed(True)
        assert [sent.call.attempt for sent in bench.peer_links.dropped] == [ask.attempt]
        bench.end(OK)  # after the client's result

    with_balancer(test)


@pytest.mark.parametrize("silent", [False, True])
def test_a_call_whose_body_has_not_left_whole_is_dropped_before_its_client_has_the_promise(
    silent: bool,
) -> None:
    async def test(bench: Bench) -> None:
        handle = bench.table(PAY).balancer.handle
        bench.table(PAY).balancer.handle = lambda now, told: (  # type: ignore[method-assign]
            [] if silent and isinstance(told, api.Timer) else handle(now, told)
        )
        ask, final = bench.ask(PAY)
        bench.peer_links.sent[-1].state = State.SENDING
        answer, dropped_by_then = ask.reply, []

        def answered(told: ClientResult) -> None:
            dropped_by_then.extend(bench.peer_links.dropped)
            answer(told)

        ask.reply = answered
        advance_clock(1.0 + DEADLINE_SLACK_MS / 1000.0 + 0.01)
        assert isinstance(await with_timeout(final), Refused)
        assert [sent.call.attempt for sent in dropped_by_then] == [ask.attempt]

    with_balancer(test)


@pytest.mark.parametrize("out", [True, False])
def test_a_request_is_answered_at_its_deadline_though_the_decisions_say_nothing(out: bool) -> None:
    async def test(bench: Bench) -> None:
        table = bench.table(PAY)
        handle = table.balancer.handle
        silent = api.Timer if out else (api.Timer, api.Request)
        table.balancer.handle = lambda now, told: (  # type: ignore[method-assign]
            [] if isinstance(told, silent) else handle(now, told)
        )
        ask, final = bench.ask(PAY)
        assert len(bench.sends(ask)) == out
        advance_clock(1.0)
        await run_ready_callbacks()
        assert not final.done()
        advance_clock(DEADLINE_SLACK_MS / 1000.0)
        assert await with_timeout(final) == (Failed(True) if out else Refused(0.0))
        assert bench.peer_links.dropped == bench.peer_links.sent and not table.requests

    with_balancer(test)


@pytest.mark.parametrize("status", [503, 429, 408])
def test_a_promise_that_the_upstream_did_not_give_is_not_passed_on(status: int) -> None:
    async def test(bench: Bench) -> None:
        _, final = bench.ask(PAY)
        bench.end(UpstreamResponse(status, [], b"", True))
        told = final.result()
        assert not (isinstance(told, Served) and told.response.status in (408, 429, 503))

    with_balancer(test)


@pytest.mark.parametrize("first", [UNCLEAR, ERROR])
def test_an_idempotent_call_is_tried_at_another_upstream(first: End) -> None:
    async def test(bench: Bench) -> None:
        ask, final = bench.ask(READ)
        bench.end(first)
        assert len(set(bench.sends(ask))) == 2 and not final.done()
        bench.end(OK)
        assert final.result() == Served(OK)
        assert bench.table(READ).budget.spent == 1
        assert [sent.call.repeat for sent in bench.peer_links.sent] == [False, True]

    with_balancer(test)


def test_no_more_upstreams_are_reached_than_the_route_has_trials() -> None:
    async def test(bench: Bench) -> None:
        ask, final = bench.ask(READ)
        for _ in range(READ.trials):
            assert not final.done()
            bench.end(UNCLEAR)
        assert len(set(bench.sends(ask))) == len(bench.sends(ask)) == READ.trials
        assert final.result() == Failed(False)
        ask, final = bench.ask(replace(READ, name="once", trials=1))
        bench.end(ERROR)
        assert len(bench.sends(ask)) == 1 and final.result() == Served(ERROR)

    with_balancer(test, upstreams=9)


def test_turn_aways_before_the_upstream_spend_no_trial_and_those_of_the_upstream_do() -> None:
    async def test(bench: Bench) -> None:
        route = replace(READ, trials=1)
        ask, final = bench.ask(route)
        bench.end(FULL)
        assert len(bench.sends(ask)) == 2 and bench.table(READ).budget.spent == 0
        assert not any(sent.call.repeat for sent in bench.peer_links.sent)
        bench.end(FULL_THERE)
        assert len(bench.sends(ask)) == 2
        assert isinstance(final.result(), Refused)

    with_balancer(test)


def test_further_tries_keep_to_the_budget() -> None:
    async def test(bench: Bench) -> None:
        budget, tries = bench.table(READ).budget, 0
        for at in range(60):
            bench.serve(1)
            ask, final = bench.ask(READ)
            bench.end(UNCLEAR)
            tries += len(bench.sends(ask)) - 1
            if not final.done():
                bench.end(OK)
            requests = 2 * (at + 1)
            assert tries == budget.spent <= 0.5 * (0.2 * requests + 4.0)
        assert tries >= 0.5 * (0.2 * 120 + 4.0) - 1.0  # and retries are allowed up to it
        assert budget.denied > 0
        told = [line for line in bench.log.getvalue().splitlines() if " W502 " in line]
        assert len(told) == 1 and "service=s refused=1" in told[0]  # once per window

    with_balancer(test, slack=4.0)


def test_a_request_that_is_taken_anew_is_counted_by_whoever_takes_it_alone() -> None:
    async def test(bench: Bench) -> None:
        _, final = bench.ask(READ)
        bench.end(NotExecuted(RejectReason.OLD))
        assert final.result() == RouteChanged()
        assert sum(slot[1] for slot in bench.table(READ).budget._slots) == 0.0

    with_balancer(test)


def test_three_are_taken_to_share_the_budget_until_the_membership_is_known() -> None:
    def further(bench: Bench) -> int:
        for _ in range(8):
            _, final = bench.ask(READ)
            while not final.done():
                bench.end(UNCLEAR)
        return bench.table(READ).budget.spent

    async def test(bench: Bench) -> None:
        bench.balancers.sidecars = 3  # the initial value
        assert further(bench) == 2  # half of 12, a third of it
        bench.balancers.set_fleet_size(0, 1)  # none is counted as one
        assert further(bench) > 2

    async def new(bench: Bench) -> None:
        made = bench.balancers
        again = ServiceBalancers(
            made.peer_links, FakeAddresses(), made.node_of, "z", (0.0, 1.0, 12.0), 7, made.event_log
        )
        assert again.sidecars == 3

    with_balancer(test, slack=12.0, ratio=0.0)
    with_balancer(new)


def test_nothing_that_could_have_it_is_refused_with_a_time_to_come_back() -> None:
    async def test(bench: Bench) -> None:
        for route in (READ, PAY):
            ask, final = bench.ask(route)
            advance_clock(1.2)
            told = await with_timeout(final)
            assert isinstance(told, Refused) and told.retry_after_ms >= 0.0
            assert not bench.sends(ask) and not bench.peer_links.dropped

    with_balancer(test, upstreams=0)


def test_what_was_turned_away_everywhere_is_refused() -> None:
    async def test(bench: Bench) -> None:
        for route in (READ, PAY):
            ask, final = bench.ask(route)
            while not final.done():
                bench.end(FULL)
            assert isinstance(final.result(), Refused), final
            assert bench.sends(ask)

    with_balancer(test)


def test_what_was_turned_away_at_once_everywhere_is_refused() -> None:
    async def test(bench: Bench) -> None:
        bench.peer_links.at_once = [NotExecuted(RejectReason.DOWN)] * 20
        for route in (READ, PAY):
            _, final = bench.ask(route)
            advance_clock(1.2)
            assert isinstance(await with_timeout(final), Refused), final

    with_balancer(test)


def test_the_clients_leaving_ends_what_is_out() -> None:
    async def test(bench: Bench) -> None:
        ask, final = bench.ask(READ)
        bench.table(READ).client_gone(ask)
        assert bench.peer_links.dropped == bench.peer_links.sent
        bench.table(READ).client_gone(ask)
        bench.end(UNCLEAR)  # it ended while it was being dropped
        advance_clock(2.0)
        await run_ready_callbacks()
        assert not final.done() and len(bench.sends(ask)) == 1 and len(bench.peer_links.dropped) == 1
        assert not bench.table(READ).requests

    with_balancer(test)


@pytest.mark.parametrize("left", [True, False], ids=["the client leaves", "the deadline passes"])
def test_what_is_withdrawn_is_no_longer_counted_as_out_and_its_upstream_is_tried_again(left: bool) -> None:
    async def test(bench: Bench) -> None:
        ask, _ = bench.ask(READ)  # the first one is a trial of its upstream
        balancer = bench.table(READ).balancer
        assert balancer.limits.inflight == 1 and any(server.trial for server in balancer.servers.values())
        if left:
            bench.table(READ).client_gone(ask)
        else:
            advance_clock(1.0 + DEADLINE_SLACK_MS / 1000.0 + 0.01)
            await run_ready_callbacks()
        assert balancer.limits.inflight == 0 and not balancer.requests
        assert [(server.inflight, server.trial) for server in balancer.servers.values()] == [(0, False)]
        advance_clock(10.0)
        bench.serve(3)
        assert len(bench.peer_links.sent) == 4

    with_balancer(test, upstreams=1)


@pytest.mark.parametrize("event", [api.Request, api.AttemptEnded])
def test_a_fault_in_the_decisions_costs_one_request(event: type) -> None:
    async def test(bench: Bench) -> None:
        table, faults = bench.table(READ), ["a2"]
        handle = table.balancer.handle

        def faulty(now: float, told: api.Event) -> list[api.Action]:
            if isinstance(told, event) and getattr(told, "request", "") in faults:
                raise ZeroDivisionError("in the decisions")
            return handle(now, told)

        table.balancer.handle = faulty  # type: ignore[method-assign]
        first, second, third = (bench.ask(READ) for _ in range(3))
        for sent in list(bench.peer_links.sent):
            sent.ended(UNCLEAR if sent.call.attempt == "a2" else OK)
        assert second[1].result() == Failed(False) or event is api.Request and second[1].done()
        assert first[1].result() == third[1].result() == Served(OK)
        assert "ZeroDivisionError" in bench.log.getvalue()
        faults.clear()
        _, final = bench.ask(READ)
        bench.end(OK)
        assert final.result() == Served(OK)

    with_balancer(test)


def test_an_instance_that_drains_or_is_gone_gets_nothing_more() -> None:
    async def test(bench: Bench) -> None:
        table = bench.table(READ)
        value: dict[str, Any] = {"plant": "s", "zone": "z", "capacity": 8, "state": "settled"}
        table.update_instances([("i0", {**value, "state": "decaying"}), ("i1", None)])
        for _ in range(30):
            _, final = bench.ask(READ)
            bench.end(OK)
            assert final.result() == Served(OK)
        assert {sent.call.instance for sent in bench.peer_links.sent} == {"i2"}

    with_balancer(test, upstreams=3)


def test_what_cannot_be_reached_from_here_gets_nothing_until_it_can() -> None:
    async def test(bench: Bench) -> None:
        table = bench.table(READ)
        value = {"plant": "s", "zone": "z", "capacity": 8, "state": "settled", "node": "n-i0"}
        bench.peer_links.unreached = {"n-i0"}
        table.update_instances([("i0", value)])
        bench.serve(30)
        assert {sent.call.instance for sent in bench.peer_links.sent} == {"i1", "i2"}
        bench.peer_links.unreached = set()
        table.update_instances([("i0", value)])
        bench.serve(30)
        assert {sent.call.instance for sent in bench.peer_links.sent} == {"i0", "i1", "i2"}

    with_balancer(test, upstreams=3)


def test_classes_are_bounded_and_what_a_route_may_do_is_kept_beyond_the_bound(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(route_classes, "MAX_OWN_CLASSES", 3)

    async def test(bench: Bench) -> None:
        for at in range(8):
            route = replace(PAY if at % 2 else READ, name=f"route-{at}")
            ask, final = bench.ask(route)
            bench.end(UNCLEAR)
            assert len(bench.sends(ask)) == (1 if at % 2 else 2)
            if not final.done():
                bench.end(OK)
            bench.serve(5)
        assert {one.name for one in bench.table(READ).classes.all()} == {
            *("route-0", "route-1", "read"),
            "effectful, worth 0.5, aim 512 ms, horizon 1024 ms",
            "idempotent, worth 0.5, aim 512 ms, horizon 1024 ms",
        }

    with_balancer(test, upstreams=9)


def test_a_route_whose_trials_are_raised_has_them() -> None:
    async def test(bench: Bench) -> None:
        _, final = bench.ask(replace(READ, trials=1))
        bench.end(OK)
        ask, final = bench.ask(replace(READ, version=2, trials=6))
        while not final.done():
            bench.end(UNCLEAR)
        assert len(bench.sends(ask)) == 6

    with_balancer(test, upstreams=9)


def test_a_route_that_came_late_has_its_trials_as_the_first_have() -> None:
    async def test(bench: Bench) -> None:
        for at in range(route_classes.MAX_OWN_CLASSES + 1):
            bench.ask(replace(READ, name=f"r{at}", trials=1))
            bench.end(OK)
        ask, final = bench.ask(replace(READ, name="late", trials=6))
        while not final.done():
            bench.end(UNCLEAR)
        assert len(bench.sends(ask)) == 6

    with_balancer(test, upstreams=9)


def test_four_thousand_late_routes_are_served_as_the_first_and_cost_a_bounded_number_of_retunes() -> None:
    async def test(bench: Bench) -> None:
        told, retunes = bench.table(READ).balancer.on_retune, []

        def retune(settings: api.Settings) -> None:
            retunes.append(settings)
            told(settings)

        bench.table(READ).balancer.on_retune = retune  # type: ignore[method-assign]
        for at in range(4020):
            shape = replace(READ, name=f"r{at}", aim_ms=100.0 + at, priority=at % 4)
            _, final = bench.ask(shape, left_ms=900.0)
            bench.end(OK)
            assert final.result() == Served(OK), at
        assert len(retunes) < 2 * route_classes.MAX_OWN_CLASSES + route_classes.MAX_SHARED_CLASSES

    with_balancer(test)
