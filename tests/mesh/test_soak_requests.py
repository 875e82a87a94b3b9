"""The request ledger of the soak, which detects each violation, and the plans that seeds generate."""

from __future__ import annotations

import pytest

from rigs.soak import plan as events
from rigs.soak.configuration_ledger import Finding, Request
from rigs.soak.disturbances import Bounds, DisturbanceRecord
from rigs.soak.plan import Plan, decode_plan
from rigs.soak.plan_generator import Phase, generate_plan
from rigs.soak.request_ledger import MAX_CUTS, MIN_ADDED_REQUESTS, End, RequestLedger, SentRequest
from rigs.soak.shrink import shrink

GRACE_S = Bounds().grace_s


class LedgerFixture:
    """A ledger with requests of one node."""

    def __init__(self) -> None:
        self.disturbances = DisturbanceRecord(Bounds())
        self.ledger = RequestLedger(self.disturbances)

    def sent(
        self,
        outcome: int | End | None,
        sent_at: float = 10.0,
        ended_at: float = 10.1,
        **fields: bool | float,
    ) -> SentRequest:
        attempt = f"a{len(self.ledger.sent)}"
        request = Request(attempt, f"/read/ok/{attempt}", "proxy-0", 1, sent_at)
        one = SentRequest(
            request, bool(fields.get("effectful")), True, bool(fields.get("added")), outcome, ended_at
        )
        one.complete, one.term_at = outcome == 200, float(fields.get("term_at", 0.0))
        self.ledger.sent[attempt] = one
        return one

    def ran(self, one: SentRequest, times: int = 1, aborted: bool = False, ended_at: float = 10.05) -> None:
        for _ in range(times):
            run = self.ledger.record_run(one.request.attempt, "red", "i-1", one.request.sent_at)
            run.ended_at, run.aborted = ended_at, aborted

    def broken_rules(self) -> list[str]:
        return [one.rule for one in self.ledger.check(100.0)]


def test_allowed_outcomes_are_no_findings() -> None:
    fixture = LedgerFixture()
    fixture.ran(fixture.sent(200, effectful=True))
    fixture.sent(503, effectful=True)
    fixture.ran(fixture.sent(502, effectful=True))
    fixture.ran(fixture.sent(200), times=2)
    assert fixture.broken_rules() == []


def test_an_effectful_request_that_ran_twice_or_despite_a_not_executed_status_is_found() -> None:
    fixture = LedgerFixture()
    fixture.ran(fixture.sent(502, effectful=True), times=2)
    fixture.ran(fixture.sent(503, effectful=True))
    assert fixture.broken_rules() == ["TWICE", "REFUSED"]


def test_a_success_that_is_not_an_upstreams_complete_response_is_found() -> None:
    fixture = LedgerFixture()
    fixture.sent(200)
    one = fixture.sent(200)
    fixture.ran(one)
    one.complete = False
    assert fixture.broken_rules() == ["MIXED", "MIXED"]


def test_processing_of_a_request_that_no_client_sent_is_found() -> None:
    fixture = LedgerFixture()
    fixture.ledger.record_run("nobody's", "red", "i-1", 1.0)
    assert fixture.broken_rules() == ["UNASKED"]


def test_cuts_by_undisturbed_nodes_are_found_and_those_by_disturbed_ones_or_the_upstream_are_not() -> None:
    fixture = LedgerFixture()
    for _ in range(MAX_CUTS):
        fixture.ran(fixture.sent(End.CUT))
    fixture.ran(fixture.sent(End.CUT), aborted=True)
    fixture.sent(End.CUT)
    assert fixture.broken_rules() == []
    fixture.ran(fixture.sent(End.CUT))
    assert fixture.broken_rules() == ["LOST"]
    fixture.disturbances.disturb_node("proxy-1", 9.0).ended = 9.1
    assert fixture.broken_rules() == []


@pytest.mark.parametrize(
    ("since_term", "worked_until", "lost"),
    [(1.0, 0.9 * GRACE_S, False), (1.0, 0.5 * GRACE_S, True), (3.5, 0.9 * GRACE_S, True)],
)
def test_a_cut_after_sigterm_is_excused_only_by_work_until_the_end(
    since_term: float, worked_until: float, lost: bool
) -> None:
    fixture = LedgerFixture()
    one = fixture.sent(End.CUT, sent_at=10.0 + since_term, ended_at=10.0 + GRACE_S, term_at=10.0)
    fixture.ran(one, ended_at=10.0 + worked_until)
    assert fixture.broken_rules() == (["LOST"] if lost else [])


def test_a_request_that_ran_after_a_closing_response_or_has_no_end_is_found() -> None:
    fixture = LedgerFixture()
    fixture.ran(fixture.sent(End.BEHIND))
    fixture.sent(End.OPEN)
    fixture.sent(End.BEHIND)
    assert fixture.broken_rules() == ["LOST", "LOST"]


def test_valid_requests_that_are_rejected_are_found_beyond_the_allowed_number() -> None:
    fixture = LedgerFixture()
    for _ in range(5):
        fixture.sent(400)
    assert fixture.broken_rules() == []
    fixture.sent(400)
    assert fixture.broken_rules() == ["DENIED"]


def test_added_routes_that_are_served_far_less_often_are_found() -> None:
    fixture = LedgerFixture()
    for _ in range(MIN_ADDED_REQUESTS):
        fixture.ran(fixture.sent(200))
        fixture.sent(503, added=True)
    assert fixture.broken_rules() == ["CONFIG"]


def test_a_seed_always_gives_the_same_plan_which_can_be_decoded_and_another_seed_another() -> None:
    plan = generate_plan(7, 60.0)
    assert plan == generate_plan(7, 60.0) == decode_plan(plan.encode())
    assert plan.events != generate_plan(8, 60.0).events
    assert plan.without(frozenset({0})).events == plan.events[1:]


def test_plans_contain_every_kind_of_event_and_lose_one_disk_at_a_time() -> None:
    plans = [generate_plan(seed, 120.0) for seed in range(12)]
    kinds = {type(one) for plan in plans for one in plan.events}
    assert kinds == set(events.Event.__args__)  # type: ignore[attr-defined]
    for plan in plans:
        lost = sorted(
            one.at
            for one in plan.events
            if isinstance(one, events.ReplaceController)
            or (isinstance(one, events.Kill | events.KillAcknowledger) and one.wipe)
        )
        assert all(later - sooner >= 30.0 for sooner, later in zip(lost, lost[1:], strict=False))


def test_findings_have_their_rule_and_time() -> None:
    fixture = LedgerFixture()
    one = fixture.sent(End.OPEN)
    assert fixture.ledger.check(100.0) == [
        Finding("LOST", one.ended_at, "a0 at proxy-0: neither an answer nor an end")
    ]


def test_a_plan_shrinks_to_the_events_that_fail_together() -> None:
    plan = generate_plan(7, 60.0)
    needed = {plan.events[3], plan.events[-2]}
    runs: list[int] = []

    def fails(smaller: Plan) -> bool:
        runs.append(len(smaller.events))
        return needed <= set(smaller.events)

    assert set(shrink(plan, fails, max_runs=200).events) == needed
    assert len(runs) < 100
    assert len(shrink(plan, fails, max_runs=0).events) == len(plan.events)


def test_a_plan_of_one_kind_of_faults_contains_no_other() -> None:
    plan = generate_plan(7, 120.0, phases=[Phase.PROXIES])
    faults = [one for one in plan.events if not isinstance(one, events.Write | events.AddManyRoutes)]
    assert faults
    assert {type(one) for one in faults} <= {events.Kill, events.Terminate, events.Freeze}
