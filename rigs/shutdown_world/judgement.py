"""What a client's request came to, by the operators' rules, in virtual time and on real processes alike."""

from __future__ import annotations

from collections.abc import Iterator

from msgspec import Struct

from mesh.data_plane.call_state import NOT_EXECUTED_STATUSES
from rigs.shutdown_world.client import BEHIND, CUT, Sent
from rigs.shutdown_world.plan import GRACE_S

EXCUSED_S = 3.0  # a request that was sent later after SIGTERM is never excused
LAST_SIXTH = 1 / 6  # of the grace: an upstream still at work then excuses a request that was sent in time


class Finding(Struct, frozen=True):
    """A rule that a play broke, and the request that shows it."""

    rule: str
    attempt: str
    told: str


class Run(Struct, frozen=True):
    """What is known of a request beside its client: how many upstreams ran it, until when the last of them
    was at work, and whether the sidecar had read it whole, where that is known. Seconds of the loop."""

    count: int
    worked_until: float
    taken: bool = False


def findings(request: Sent, run: Run, term_at: float) -> Iterator[Finding]:
    """The rules that it shows as broken. ``term_at``: of the sidecar that took it, seconds of the loop."""
    if request.effectful and run.count > 1:
        yield Finding("TWICE", request.attempt, f"ran {run.count} times")
    if request.status in NOT_EXECUTED_STATUSES and run.count and request.effectful:
        yield Finding("REFUSED", request.attempt, f"{request.status}, and it ran")
    told = _lost(request, run, request.at - term_at, term_at)
    if told:
        yield Finding("LOST", request.attempt, told)


def excused(request: Sent, run: Run, term_at: float) -> bool:
    """It was cut at the exit, with its upstream at work in the last sixth of the grace."""
    in_time = request.at - term_at <= EXCUSED_S
    return bool(run.count) and in_time and run.worked_until > term_at + GRACE_S * (1 - LAST_SIXTH)


def crossed(request: Sent, run: Run) -> bool:
    """It was cut and had not been taken: its client sends it again."""
    return request.status == CUT and not run.count and not (request.first and run.taken)


def _lost(request: Sent, run: Run, since_s: float, term_at: float) -> str:
    if request.status is None:
        return "neither an answer nor an end of its connection"
    if request.status == BEHIND and run.count:
        return "ran behind an answer that closed its connection"
    if request.status != CUT or crossed(request, run) or excused(request, run, term_at):
        return ""
    if not run.count:
        return f"taken {since_s:.3f} s after SIGTERM, sent on nowhere and not answered"
    return f"sent {since_s:.3f} s after SIGTERM, ran, and its connection was cut"
