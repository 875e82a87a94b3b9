"""The check of a client's request against the rules, for simulated and for real processes."""

from __future__ import annotations

from collections.abc import Iterator

from msgspec import Struct

from mesh.data_plane.call_state import NOT_EXECUTED_STATUSES
from rigs.shutdown_world.client import AFTER_CLOSE, CONNECTION_LOST, SentRequest
from rigs.shutdown_world.plan import GRACE_S

EXCUSABLE_S = 3.0  # after SIGTERM; the loss of a request that was sent later is never excused
EXCUSABLE_GRACE_SHARE = 1 / 6  # of the grace, at its end; an upstream that still works then excuses a loss


class Finding(Struct, frozen=True):
    """A violated rule, and the request that shows it."""

    rule: str
    attempt: str
    evidence: str


class Execution(Struct, frozen=True):
    """What happened to a request after its client sent it: how many upstreams executed it, until when the
    last of them worked, and whether the sidecar is known to have read all of it. Times are seconds of the
    loop."""

    count: int
    worked_until: float
    accepted: bool = False


def findings(request: SentRequest, execution: Execution, term_at: float) -> Iterator[Finding]:
    """The rules that the request shows to be violated. ``term_at``: when its sidecar got SIGTERM."""
    if request.effectful and execution.count > 1:
        yield Finding("TWICE", request.attempt, f"executed {execution.count} times")
    if request.status in NOT_EXECUTED_STATUSES and execution.count and request.effectful:
        yield Finding("REFUSED", request.attempt, f"answered {request.status}, and executed")
    evidence = _lost_evidence(request, execution, request.sent_at - term_at, term_at)
    if evidence:
        yield Finding("LOST", request.attempt, evidence)


def excused(request: SentRequest, execution: Execution, term_at: float) -> bool:
    """Whether the loss is excused: its upstream was still working in the last sixth of the grace."""
    in_time = request.sent_at - term_at <= EXCUSABLE_S
    return (
        bool(execution.count)
        and in_time
        and execution.worked_until > term_at + GRACE_S * (1 - EXCUSABLE_GRACE_SHARE)
    )


def crossed_close(request: SentRequest, execution: Execution) -> bool:
    """Whether it crossed the close of its connection without being read: its client sends it again."""
    return (
        request.status == CONNECTION_LOST
        and not execution.count
        and not (request.first and execution.accepted)
    )


def _lost_evidence(request: SentRequest, execution: Execution, since_term_s: float, term_at: float) -> str:
    if request.status is None:
        return "neither an answer nor an end of its connection"
    if request.status == AFTER_CLOSE and execution.count:
        return "executed, but sent after an answer that closed its connection"
    if (
        request.status != CONNECTION_LOST
        or crossed_close(request, execution)
        or excused(request, execution, term_at)
    ):
        return ""
    if not execution.count:
        return f"accepted {since_term_s:.3f} s after SIGTERM, not forwarded and not answered"
    return f"sent {since_term_s:.3f} s after SIGTERM, executed, and its connection was closed"
