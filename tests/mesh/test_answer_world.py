"""MIXED, BUDGET's trials and the price of holding, over both hops: whatever upstreams answer, whatever is
lost, killed or asked back."""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from mesh.data_plane import request_dispatch, service_balancers
from mesh.data_plane.call_messages import End, NotExecuted, Unclear, UpstreamResponse
from mesh.data_plane.call_state import ClientRequest, ClientResult, Served
from mesh.data_plane.upstream_dispatch import UpstreamDispatch
from rigs.answer_world import AnswerWorld, UpstreamAnswer
from rigs.call_world import TROUBLES
from simulation.mesh.seeds import Patch

# Statuses of HTTP, those that promise that nothing has run, and some unknown to HTTP. With 421 no upstream
# has run a request.
STATUSES = (200, 204, 299, 302, 400, 404, 408, 429, 499, 500, 502, 503, 504, 520, 599)
OWN = UpstreamAnswer(200)


def usual(status: int) -> UpstreamAnswer:
    return UpstreamAnswer(status)


ANSWERS = st.one_of(
    st.just(OWN),
    st.just(UpstreamAnswer(200, silent=True)),
    st.sampled_from(STATUSES).map(usual),
    st.builds(UpstreamAnswer, st.sampled_from(STATUSES), st.booleans(), st.just(True), st.booleans()),
    st.sampled_from((400, 421, 429, 503)).map(lambda status: UpstreamAnswer(status, False, False)),
)


@settings(max_examples=60, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(
    st.integers(0, 2**32),
    st.lists(ANSWERS, min_size=1, max_size=9),
    st.sets(st.sampled_from(TROUBLES), min_size=1, max_size=4).map(sorted),
)
def test_what_clients_are_told_is_what_upstreams_gave(
    seed: int, answers: list[UpstreamAnswer], kinds: list[str]
) -> None:
    world = AnswerWorld(seed, answers, kinds)
    assert world.played() == [], world.struck


# Seeded faults in the shipped code, each with the text by which it is found


def passes_headers_on_with_a_status_of_its_own(patch: Patch) -> None:
    real = request_dispatch.RequestDispatcher._answer

    def answer(self: Any, reply: Any, ask: ClientRequest, final: ClientResult) -> None:
        if isinstance(final, Served) and final.response.status == 520:
            self._requests.pop(ask.id, None)
            reply(502, final.response.headers, final.response.body)
        else:
            real(self, reply, ask, final)

    patch.setattr(request_dispatch.RequestDispatcher, "_answer", answer)


def passes_any_status_on(patch: Patch) -> None:
    patch.setattr(request_dispatch, "http", SimpleNamespace(STATUS_LINES=range(1000)))


def takes_a_success_without_a_seal(patch: Patch) -> None:
    patch.setattr(UpstreamDispatch, "_has_seal", lambda *_: True)


def gives_the_second_answer_the_status_of_the_first(patch: Patch) -> None:
    def final(self: ClientRequest, late: bool, retry_after_ms: float) -> ClientResult:
        if self.last_error is not None:
            return Served(UpstreamResponse(500, self.last_error.headers, self.last_error.body, True))
        return CLIENT_RESULT(self, late, retry_after_ms)

    patch.setattr(ClientRequest, "client_result", final)


def counts_no_run_whose_end_is_unclear(patch: Patch) -> None:
    def ended(self: Any, ask: ClientRequest, number: int, end: End) -> None:
        ask.reached -= isinstance(end, Unclear)
        ENDED(self, ask, number, end)

    patch.setattr(service_balancers.ServiceBalancer, "_on_call_end", ended)


def counts_no_run_that_failed(patch: Patch) -> None:
    def ended(self: Any, ask: ClientRequest, number: int, end: End) -> None:
        ask.reached -= not isinstance(end, NotExecuted) and not ask.finished
        ENDED(self, ask, number, end)

    patch.setattr(service_balancers.ServiceBalancer, "_on_call_end", ended)


def holds_a_request_for_as_long_as_its_client_waits(patch: Patch) -> None:
    def take(self: Any, ask: ClientRequest) -> None:
        ask.deadline = ask.received_ms + float(ask.message.get(b"time-remaining") or 0.0)
        TAKE(self, ask)

    patch.setattr(service_balancers.ServiceBalancer, "submit", take)


CLIENT_RESULT, ENDED, TAKE = (
    ClientRequest.client_result,
    service_balancers.ServiceBalancer._on_call_end,
    service_balancers.ServiceBalancer.submit,
)
SEEDED: list[tuple[Callable[[Patch], None], str]] = [
    (passes_headers_on_with_a_status_of_its_own, "seal"),
    (passes_any_status_on, "status"),
    (takes_a_success_without_a_seal, "seal"),
    (gives_the_second_answer_the_status_of_the_first, "seal"),
    (counts_no_run_whose_end_is_unclear, "trials"),
    (counts_no_run_that_failed, "trials"),
    (holds_a_request_for_as_long_as_its_client_waits, "held"),
]
FAILING = (
    OWN,
    UpstreamAnswer(520),
    UpstreamAnswer(502),
    UpstreamAnswer(200, sealed=False),
    UpstreamAnswer(503),
    UpstreamAnswer(504),
    UpstreamAnswer(200, silent=True),
)


@pytest.mark.parametrize(("seed", "word"), SEEDED, ids=[seed.__name__ for seed, _ in SEEDED])
def test_a_seeded_fault_is_seen(
    seed: Callable[[Patch], None], word: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    seed(monkeypatch)
    for play in range(100):
        if any(line.startswith(word) for line in AnswerWorld(play, FAILING).played()):
            return
    raise AssertionError("not seen in 100 plays")
