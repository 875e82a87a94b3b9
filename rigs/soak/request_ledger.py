"""What clients' requests came to, beside what upstreams did with them. No I/O.

Source: the rules MIXED, UNASKED, TWICE, REFUSED, DENIED, LOST and CONFIG (added routes) of the operators.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from enum import Enum

from msgspec import Struct

from mesh.data_plane.call_state import NOT_EXECUTED_STATUSES
from rigs.shutdown_world.judgement import EXCUSED_S, LAST_SIXTH
from rigs.soak.configuration_ledger import Finding, Request
from rigs.soak.contact import ContactRecord

OWN_4XX = frozenset({400, 401, 403, 405, 411, 413, 414, 431})
DENIED_MOST, DENIED_SHARE = 5, 1 / 500
CUTS_MOST = 3  # requests that calm nodes may cut on kept connections
ADDED_LEAST, ADDED_SHARE = 20, 0.25


class End(Enum):
    """How a request ended where no answer came."""

    CUT = "the connection ended without its answer"
    BEHIND = "sent behind an answer that closed the connection"
    LEFT = "its client left"
    OPEN = "neither an answer nor an end"


class Run(Struct):
    """An upstream's work on a request; ``ended`` is 0 while it goes on."""

    service: str
    instance: str
    began: float
    ended: float = 0.0
    broke: bool = False  # the upstream broke off


class Sent(Struct):
    """A request and its outcome: a status, or an `End`."""

    request: Request
    effectful: bool
    first: bool  # nothing stood before it on its connection
    added: bool  # its route came after the first configuration
    outcome: int | End | None = None
    at: float = 0.0
    whole: bool = False  # a 200 with the seal and the body of its own upstream
    term_at: float = 0.0  # SIGTERM of the process that took it; 0: none


class RequestLedger:
    """All requests of a soak."""

    def __init__(self, contact: ContactRecord) -> None:
        """Nothing was sent."""
        self._contact = contact
        self.sent: dict[str, Sent] = {}
        self.runs: dict[str, list[Run]] = defaultdict(list)
        self._unasked: list[Finding] = []
        self.findings: list[Finding] = []
        self._denied: list[str] = []
        self._cuts: list[str] = []
        self._cut_at = 0.0

    def began(self, attempt: str, service: str, instance: str, now: float) -> Run:
        """An upstream begins work. What no client sent is a finding."""
        if attempt not in self.sent:
            self._unasked.append(Finding("UNASKED", now, f"{instance} runs {attempt!r}, which nobody sent"))
        run = Run(service, instance, now)
        self.runs[attempt].append(run)
        return run

    def outcomes(self) -> dict[str, int]:
        """How many requests came to what."""
        told = Counter(
            one.outcome.name if isinstance(one.outcome, End) else str(one.outcome)
            for one in self.sent.values()
        )
        return dict(sorted(told.items()))

    def judge(self, now: float) -> list[Finding]:
        """All findings, once every request has ended."""
        self.findings = list(self._unasked)
        self._denied, self._cuts = [], []
        for attempt, one in self.sent.items():
            self._judge(attempt, one)
        allowed = DENIED_MOST + len(self.sent) * DENIED_SHARE
        if len(self._denied) > allowed:
            self._find("DENIED", now, f"{len(self._denied)} proper requests, as {self._denied[:3]}")
        if len(self._cuts) > CUTS_MOST:
            self._find("LOST", self._cut_at, f"{len(self._cuts)} cut by calm nodes, as {self._cuts[:3]}")
        self._judge_added(now)
        return self.findings

    def _judge(self, attempt: str, one: Sent) -> None:
        runs = self.runs.get(attempt, [])
        if one.effectful and len(runs) > 1:
            self._find("TWICE", one.at, f"{attempt} ran {len(runs)} times: {runs}")
        if one.effectful and one.outcome in NOT_EXECUTED_STATUSES and runs:
            self._find("REFUSED", one.at, f"{attempt} was told {one.outcome} and ran: {runs}")
        if one.outcome == 200 and not (one.whole and runs):
            self._find(
                "MIXED", one.at, f"{attempt}: a success that is not its upstream's whole answer: {runs}"
            )
        if one.outcome in OWN_4XX:
            self._denied.append(f"{one.request.node} {one.outcome} {one.request.path}")
        if one.outcome in (None, End.OPEN) and self._calm(one, one.at):
            self._find("LOST", one.at, f"{attempt} at {one.request.node}: {End.OPEN.value}")
        if one.outcome is End.BEHIND and runs:
            self._find("LOST", one.at, f"{attempt} at {one.request.node} ran behind an answer that closed")
        if one.outcome is End.CUT:
            self._judge_cut(attempt, one, runs)

    def _judge_cut(self, attempt: str, one: Sent, runs: list[Run]) -> None:
        if not self._calm(one, one.at) or not runs or any(run.broke for run in runs):
            return
        if not one.term_at:
            self._cuts.append(f"{one.request.node} {attempt}")
            self._cut_at = one.at
            return
        since, grace_s = one.request.sent - one.term_at, self._contact.bounds.grace_s
        worked_until = max(run.ended or one.at for run in runs)
        at_work = worked_until > one.term_at + grace_s * (1 - LAST_SIXTH)
        if since > EXCUSED_S or not at_work:
            self._find(
                "LOST", one.at, f"{attempt} at {one.request.node}: sent {since:.3f} s after SIGTERM, ran, cut"
            )

    def _calm(self, one: Sent, until: float) -> bool:
        """No unplanned trouble anywhere that a cut could come from."""
        return self._contact.all_calm(one.request.sent - self._contact.bounds.contact_s, until)

    def _judge_added(self, now: float) -> None:
        """Routes that were added later are served like the first."""
        counts: Counter[tuple[bool, bool]] = Counter()
        for one in self.sent.values():
            calm = self._contact.all_calm(
                one.request.sent - self._contact.bounds.contact_s, one.at, planned=True
            )
            if one.outcome not in (None, 404) and calm:
                counts[one.added, one.whole] += 1
        added, first = (
            (counts[True, True] + counts[True, False]),
            (counts[False, True] + counts[False, False]),
        )
        if added < ADDED_LEAST or not first:
            return
        if counts[True, True] / added < ADDED_SHARE * counts[False, True] / first:
            self._find(
                "CONFIG",
                now,
                f"of {added} on added routes {counts[True, True]} served,"
                f" of {first} on the first {counts[False, True]}",
            )

    def _find(self, rule: str, now: float, told: str) -> None:
        self.findings.append(Finding(rule, now, told))
