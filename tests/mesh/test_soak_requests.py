"""The ledger of requests in a soak, and the plan of a seed: each clause is seen, and a seed is one plan."""

from __future__ import annotations

import pytest

from rigs.soak import plan as events
from rigs.soak.configuration_ledger import Finding, Request
from rigs.soak.contact import Bounds, ContactRecord
from rigs.soak.draw import Phase, draw
from rigs.soak.plan import Plan, read
from rigs.soak.request_ledger import ADDED_LEAST, CUTS_MOST, End, RequestLedger, Sent
from rigs.soak.shrink import shrink

GRACE_S = Bounds().grace_s


class Played:
    """A ledger with requests of one node, each sent at its own second."""

    def __init__(self) -> None:
        self.contact = ContactRecord(Bounds())
        self.ledger = RequestLedger(self.contact)

    def sent(
        self, outcome: int | End | None, sent: float = 10.0, at: float = 10.1, **fields: bool | float
    ) -> Sent:
        attempt = f"a{len(self.ledger.sent)}"
        request = Request(attempt, f"/read/ok/{attempt}", "proxy-0", 1, sent)
        one = Sent(request, bool(fields.get("effectful")), True, bool(fields.get("added")), outcome, at)
        one.whole, one.term_at = outcome == 200, float(fields.get("term_at", 0.0))
        self.ledger.sent[attempt] = one
        return one

    def ran(self, one: Sent, times: int = 1, broke: bool = False, ended: float = 10.05) -> None:
        for _ in range(times):
            run = self.ledger.began(one.request.attempt, "red", "i-1", one.request.sent)
            run.ended, run.broke = ended, broke

    def rules(self) -> list[str]:
        return [one.rule for one in self.ledger.judge(100.0)]


def test_what_went_well_is_no_finding() -> None:
    played = Played()
    played.ran(played.sent(200, effectful=True))
    played.sent(503, effectful=True)
    played.ran(played.sent(502, effectful=True))
    played.ran(played.sent(200), times=2)
    assert played.rules() == []


def test_an_effectful_request_that_ran_twice_or_behind_a_promise_is_seen() -> None:
    played = Played()
    played.ran(played.sent(502, effectful=True), times=2)
    played.ran(played.sent(503, effectful=True))
    assert played.rules() == ["TWICE", "REFUSED"]


def test_a_success_that_is_not_an_upstreams_whole_answer_is_seen() -> None:
    played = Played()
    played.sent(200)
    one = played.sent(200)
    played.ran(one)
    one.whole = False
    assert played.rules() == ["MIXED", "MIXED"]


def test_a_run_that_nobody_asked_for_is_seen() -> None:
    played = Played()
    played.ledger.began("nobody's", "red", "i-1", 1.0)
    assert played.rules() == ["UNASKED"]


def test_cuts_by_calm_nodes_are_seen_and_those_in_trouble_or_by_the_upstream_are_not() -> None:
    played = Played()
    for _ in range(CUTS_MOST):
        played.ran(played.sent(End.CUT))
    played.ran(played.sent(End.CUT), broke=True)
    played.sent(End.CUT)
    assert played.rules() == []
    played.ran(played.sent(End.CUT))
    assert played.rules() == ["LOST"]
    played.contact.node("proxy-1", 9.0).ended = 9.1
    assert played.rules() == []


@pytest.mark.parametrize(
    ("since_term", "worked_until", "lost"),
    [(1.0, 0.9 * GRACE_S, False), (1.0, 0.5 * GRACE_S, True), (3.5, 0.9 * GRACE_S, True)],
)
def test_a_cut_after_sigterm_is_excused_by_work_to_the_last_alone(
    since_term: float, worked_until: float, lost: bool
) -> None:
    played = Played()
    one = played.sent(End.CUT, sent=10.0 + since_term, at=10.0 + GRACE_S, term_at=10.0)
    played.ran(one, ended=10.0 + worked_until)
    assert played.rules() == (["LOST"] if lost else [])


def test_a_request_that_ran_behind_an_answer_that_closed_or_has_no_end_is_seen() -> None:
    played = Played()
    played.ran(played.sent(End.BEHIND))
    played.sent(End.OPEN)
    played.sent(End.BEHIND)
    assert played.rules() == ["LOST", "LOST"]


def test_proper_requests_that_are_turned_away_are_seen_beyond_the_allowed() -> None:
    played = Played()
    for _ in range(5):
        played.sent(400)
    assert played.rules() == []
    played.sent(400)
    assert played.rules() == ["DENIED"]


def test_added_routes_that_are_served_far_less_often_are_seen() -> None:
    played = Played()
    for _ in range(ADDED_LEAST):
        played.ran(played.sent(200))
        played.sent(503, added=True)
    assert played.rules() == ["CONFIG"]


def test_a_seed_is_one_plan_that_reads_back_and_another_seed_is_another() -> None:
    plan = draw(7, 60.0)
    assert plan == draw(7, 60.0) == read(plan.lines())
    assert plan.events != draw(8, 60.0).events
    assert plan.without(frozenset({0})).events == plan.events[1:]


def test_plans_hold_every_kind_of_event_and_lose_one_disk_at_a_time() -> None:
    plans = [draw(seed, 120.0) for seed in range(12)]
    kinds = {type(one) for plan in plans for one in plan.events}
    assert kinds == set(events.Event.__args__)  # type: ignore[attr-defined]
    for plan in plans:
        lost = sorted(
            one.at
            for one in plan.events
            if isinstance(one, events.ReplaceController)
            or (isinstance(one, events.Kill | events.KillTaker) and one.wipe)
        )
        assert all(later - sooner >= 30.0 for sooner, later in zip(lost, lost[1:], strict=False))


def test_findings_are_told_with_their_rule_and_instant() -> None:
    played = Played()
    one = played.sent(End.OPEN)
    assert played.ledger.judge(100.0) == [
        Finding("LOST", one.at, "a0 at proxy-0: neither an answer nor an end")
    ]


def test_a_plan_shrinks_to_the_events_that_fail_together() -> None:
    plan = draw(7, 60.0)
    needed = {plan.events[3], plan.events[-2]}
    plays: list[int] = []

    def fails(smaller: Plan) -> bool:
        plays.append(len(smaller.events))
        return needed <= set(smaller.events)

    assert set(shrink(plan, fails, most=200).events) == needed
    assert len(plays) < 100
    assert len(shrink(plan, fails, most=0).events) == len(plan.events)


def test_a_plan_of_one_kind_of_trouble_holds_no_other() -> None:
    plan = draw(7, 120.0, phases=[Phase.PROXIES])
    troubles = [one for one in plan.events if not isinstance(one, events.Write | events.AddMany)]
    assert troubles
    assert {type(one) for one in troubles} <= {events.Kill, events.Terminate, events.Freeze}
