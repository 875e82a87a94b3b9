"""Compares the outcomes that clients saw with what upstreams did with their requests. No I/O.

Source: the operators' rules MIXED, UNASKED, TWICE, REFUSED, DENIED, LOST and CONFIG (added routes).
"""

from __future__ import annotations

from collections import Counter, defaultdict
from enum import Enum

from msgspec import Struct

from mesh.data_plane.call_state import NOT_EXECUTED_STATUSES
from rigs.shutdown_world.judgement import EXCUSABLE_GRACE_SHARE, EXCUSABLE_S
from rigs.soak.configuration_ledger import Finding, Request
from rigs.soak.disturbances import DisturbanceRecord

PROXY_4XX = frozenset({400, 401, 403, 405, 411, 413, 414, 431})
MAX_DENIED, MAX_DENIED_SHARE = 5, 1 / 500
MAX_CUTS = 3  # requests cut on keep-alive connections by undisturbed nodes
MIN_ADDED_REQUESTS, MIN_ADDED_SHARE = 20, 0.25


class End(Enum):
    """How a request ended without a response. The names appear in a soak's output."""

    CUT = "the connection ended without its answer"
    BEHIND = "sent behind an answer that closed the connection"
    LEFT = "its client left"
    OPEN = "neither an answer nor an end"


class Run(Struct):
    """An upstream's processing of a request; ``ended_at`` is 0 while it lasts."""

    service: str
    instance: str
    began_at: float
    ended_at: float = 0.0
    aborted: bool = False  # by the upstream


class SentRequest(Struct):
    """A request and its outcome: a status, or an `End`."""

    request: Request
    effectful: bool
    first: bool  # no unanswered request preceded it on its connection
    added: bool  # its route is not of the initial configuration
    outcome: int | End | None = None
    ended_at: float = 0.0
    complete: bool = False  # a 200 with the seal and the body of its own upstream
    term_at: float = 0.0  # time of SIGTERM to the process that accepted it; 0: none


class RequestLedger:
    """All requests of a soak."""

    def __init__(self, disturbances: DisturbanceRecord) -> None:
        """Creates an empty ledger."""
        self._disturbances = disturbances
        self.sent: dict[str, SentRequest] = {}
        self.runs: dict[str, list[Run]] = defaultdict(list)
        self._unasked: list[Finding] = []
        self.findings: list[Finding] = []
        self._denied: list[str] = []
        self._cuts: list[str] = []
        self._last_cut_at = 0.0

    def record_run(self, attempt: str, service: str, instance: str, now: float) -> Run:
        """Records that an upstream begins to process a request. One that no client sent is a finding."""
        if attempt not in self.sent:
            self._unasked.append(
                Finding("UNASKED", now, f"{instance} processes {attempt!r}, which no client sent")
            )
        run = Run(service, instance, now)
        self.runs[attempt].append(run)
        return run

    def count_outcomes(self) -> dict[str, int]:
        """Returns the number of requests by outcome."""
        counts = Counter(
            one.outcome.name if isinstance(one.outcome, End) else str(one.outcome)
            for one in self.sent.values()
        )
        return dict(sorted(counts.items()))

    def check(self, now: float) -> list[Finding]:
        """Returns all findings, once every request has ended."""
        self.findings = list(self._unasked)
        self._denied, self._cuts = [], []
        for attempt, one in self.sent.items():
            self._check_request(attempt, one)
        allowed = MAX_DENIED + len(self.sent) * MAX_DENIED_SHARE
        if len(self._denied) > allowed:
            self._report("DENIED", now, f"{len(self._denied)} valid requests, such as {self._denied[:3]}")
        if len(self._cuts) > MAX_CUTS:
            self._report(
                "LOST",
                self._last_cut_at,
                f"{len(self._cuts)} cut by undisturbed nodes, such as {self._cuts[:3]}",
            )
        self._check_added_routes(now)
        return self.findings

    def _check_request(self, attempt: str, one: SentRequest) -> None:
        runs = self.runs.get(attempt, [])
        if one.effectful and len(runs) > 1:
            self._report("TWICE", one.ended_at, f"{attempt} ran {len(runs)} times: {runs}")
        if one.effectful and one.outcome in NOT_EXECUTED_STATUSES and runs:
            self._report(
                "REFUSED", one.ended_at, f"{attempt} got {one.outcome} (not executed) but ran: {runs}"
            )
        if one.outcome == 200 and not (one.complete and runs):
            self._report(
                "MIXED",
                one.ended_at,
                f"{attempt}: a success that is not the complete response of its upstream: {runs}",
            )
        if one.outcome in PROXY_4XX:
            self._denied.append(f"{one.request.node} {one.outcome} {one.request.path}")
        if one.outcome in (None, End.OPEN) and self._undisturbed(one, one.ended_at):
            self._report("LOST", one.ended_at, f"{attempt} at {one.request.node}: {End.OPEN.value}")
        if one.outcome is End.BEHIND and runs:
            self._report(
                "LOST",
                one.ended_at,
                f"{attempt} at {one.request.node} ran after a response that closed its connection",
            )
        if one.outcome is End.CUT:
            self._check_cut(attempt, one, runs)

    def _check_cut(self, attempt: str, one: SentRequest, runs: list[Run]) -> None:
        if not self._undisturbed(one, one.ended_at) or not runs or any(run.aborted for run in runs):
            return
        if not one.term_at:
            self._cuts.append(f"{one.request.node} {attempt}")
            self._last_cut_at = one.ended_at
            return
        since, grace_s = one.request.sent_at - one.term_at, self._disturbances.bounds.grace_s
        worked_until = max(run.ended_at or one.ended_at for run in runs)
        busy_at_end = worked_until > one.term_at + grace_s * (1 - EXCUSABLE_GRACE_SHARE)
        if since > EXCUSABLE_S or not busy_at_end:
            self._report(
                "LOST",
                one.ended_at,
                f"{attempt} at {one.request.node}: sent {since:.3f} s after SIGTERM, ran, cut",
            )

    def _undisturbed(self, one: SentRequest, until: float) -> bool:
        """Whether no unplanned disturbance, of any node, could have caused a cut."""
        return self._disturbances.all_undisturbed(
            one.request.sent_at - self._disturbances.bounds.contact_s, until
        )

    def _check_added_routes(self, now: float) -> None:
        """Checks that routes added later are served as the initial ones are."""
        counts: Counter[tuple[bool, bool]] = Counter()
        for one in self.sent.values():
            undisturbed = self._disturbances.all_undisturbed(
                one.request.sent_at - self._disturbances.bounds.contact_s, one.ended_at, planned=True
            )
            if one.outcome not in (None, 404) and undisturbed:
                counts[one.added, one.complete] += 1
        added, initial = (
            (counts[True, True] + counts[True, False]),
            (counts[False, True] + counts[False, False]),
        )
        if added < MIN_ADDED_REQUESTS or not initial:
            return
        if counts[True, True] / added < MIN_ADDED_SHARE * counts[False, True] / initial:
            self._report(
                "CONFIG",
                now,
                f"{counts[True, True]} of {added} requests on added routes were served,"
                f" {counts[False, True]} of {initial} on initial routes",
            )

    def _report(self, rule: str, now: float, description: str) -> None:
        self.findings.append(Finding(rule, now, description))
