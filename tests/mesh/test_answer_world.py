"""Over both hops, whatever upstreams answer and whatever is lost or killed: clients get the status, seal and
body of one answer, no request is executed more often than its trials, and none is held past its horizon."""

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
from rigs.call_world import FAULT_KINDS
from simulation.mesh.seeds import Patch

# Statuses of HTTP, those that promise that nothing was executed, and some unknown to HTTP. Upstreams answer
# 421 only to requests that they have not executed.
STATUSES = (200, 204, 299, 302, 400, 404, 408, 429, 499, 500, 502, 503, 504, 520, 599)
SUCCESS = UpstreamAnswer(200)


def sealed_answer(status: int) -> UpstreamAnswer:
    return UpstreamAnswer(status)


ANSWERS = st.one_of(
    st.just(SUCCESS),
    st.just(UpstreamAnswer(200, silent=True)),
    st.sampled_from(STATUSES).map(sealed_answer),
    st.builds(UpstreamAnswer, st.sampled_from(STATUSES), st.booleans(), st.just(True), st.booleans()),
    st.sampled_from((400, 421, 429, 503)).map(lambda status: UpstreamAnswer(status, False, False)),
)


@settings(max_examples=60, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(
    st.integers(0, 2**32),
    st.lists(ANSWERS, min_size=1, max_size=9),
    st.sets(st.sampled_from(FAULT_KINDS), min_size=1, max_size=4).map(sorted),
)
def test_what_clients_are_told_is_what_upstreams_gave(
    seed: int, answers: list[UpstreamAnswer], fault_kinds: list[str]
) -> None:
    world = AnswerWorld(seed, answers, fault_kinds)
    assert world.find_violations() == [], world.applied_faults


# Seeded faults in the shipped code, each with the prefix of the violations that it causes


def forwards_headers_with_another_status(patch: Patch) -> None:
    real = request_dispatch.RequestDispatcher._answer

    def answer(self: Any, reply: Any, request: ClientRequest, final: ClientResult) -> None:
        if isinstance(final, Served) and final.response.status == 520:
            self._requests.pop(request.id, None)
            reply(502, final.response.headers, final.response.body)
        else:
            real(self, reply, request, final)

    patch.setattr(request_dispatch.RequestDispatcher, "_answer", answer)


def forwards_any_status(patch: Patch) -> None:
    patch.setattr(request_dispatch, "http", SimpleNamespace(STATUS_LINES=range(1000)))


def accepts_a_success_without_a_seal(patch: Patch) -> None:
    patch.setattr(UpstreamDispatch, "_has_seal", lambda *_: True)


def combines_two_answers(patch: Patch) -> None:
    def final(self: ClientRequest, late: bool, retry_after_ms: float) -> ClientResult:
        if self.last_error is not None:
            return Served(UpstreamResponse(500, self.last_error.headers, self.last_error.body, True))
        return CLIENT_RESULT(self, late, retry_after_ms)

    patch.setattr(ClientRequest, "client_result", final)


def does_not_count_unclear_executions(patch: Patch) -> None:
    def on_call_end(self: Any, request: ClientRequest, number: int, end: End) -> None:
        request.reached -= isinstance(end, Unclear)
        ON_CALL_END(self, request, number, end)

    patch.setattr(service_balancers.ServiceBalancer, "_on_call_end", on_call_end)


def does_not_count_failed_executions(patch: Patch) -> None:
    def on_call_end(self: Any, request: ClientRequest, number: int, end: End) -> None:
        request.reached -= not isinstance(end, NotExecuted) and not request.finished
        ON_CALL_END(self, request, number, end)

    patch.setattr(service_balancers.ServiceBalancer, "_on_call_end", on_call_end)


def holds_a_request_until_the_client_deadline(patch: Patch) -> None:
    def submit(self: Any, request: ClientRequest) -> None:
        request.deadline = request.received_ms + float(request.message.get(b"time-remaining") or 0.0)
        SUBMIT(self, request)

    patch.setattr(service_balancers.ServiceBalancer, "submit", submit)


CLIENT_RESULT, ON_CALL_END, SUBMIT = (
    ClientRequest.client_result,
    service_balancers.ServiceBalancer._on_call_end,
    service_balancers.ServiceBalancer.submit,
)
SEEDED_FAULTS: list[tuple[Callable[[Patch], None], str]] = [
    (forwards_headers_with_another_status, "seal"),
    (forwards_any_status, "status"),
    (accepts_a_success_without_a_seal, "seal"),
    (combines_two_answers, "seal"),
    (does_not_count_unclear_executions, "trials"),
    (does_not_count_failed_executions, "trials"),
    (holds_a_request_until_the_client_deadline, "held"),
]
MIXED_ANSWERS = (
    SUCCESS,
    UpstreamAnswer(520),
    UpstreamAnswer(502),
    UpstreamAnswer(200, sealed=False),
    UpstreamAnswer(503),
    UpstreamAnswer(504),
    UpstreamAnswer(200, silent=True),
)


@pytest.mark.parametrize(
    ("fault", "prefix"), SEEDED_FAULTS, ids=[fault.__name__ for fault, _ in SEEDED_FAULTS]
)
def test_a_seeded_fault_is_seen(
    fault: Callable[[Patch], None], prefix: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    fault(monkeypatch)
    for seed in range(100):
        if any(line.startswith(prefix) for line in AnswerWorld(seed, MIXED_ANSWERS).find_violations()):
            return
    raise AssertionError("not seen in 100 runs")
