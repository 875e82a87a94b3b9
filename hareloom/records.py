"""State of servers, attempts, classes and requests, and the schedule of timed jobs. No decisions."""

from __future__ import annotations

import math
from heapq import heappop, heappush

from hareloom import interface as api


class Server:
    """State of one server at this sidecar."""

    __slots__ = (
        *("entry", "rank", "size", "kind", "listed", "active", "trial", "w", "eff_w", "ranked_w", "samples"),
        *("deficit", "breaks", "backoff", "trial_at", "cold_since", "turn_since", "attempts", "inflight"),
        *("open_charge", "overdue_count", "turn_cost", "overdue_sent", "in_use", "full_until"),
        *("connect_failures", "answered_w", "fast_answers"),
    )

    def __init__(self, entry: api.ServerEntry, rank: float, size: float = 1.0, backoff: float = 0.0) -> None:
        self.rank = rank  # random tie-breaker that differs between sidecars
        self.update(entry, size)
        self.listed, self.active, self.trial = True, False, False
        self.w: float | None = None
        self.eff_w = 0.0  # effective w: w over the warmth of a cold server
        self.ranked_w: float | None = None  # its entry in WorkingSet.sorted_ws
        self.samples, self.deficit, self.breaks = 0, 0.0, 0
        self.backoff, self.trial_at = backoff, -math.inf
        self.cold_since = entry.started_at
        # A cold server's last turn and the cost to accrue before its next one; below 0: no turn is set yet.
        self.turn_since, self.turn_cost = -math.inf, -1.0
        self.attempts: set[Attempt] = set()
        self.inflight = 0  # len(attempts)
        # Attempts in flight: charge of those in time; count and sum of sent_at of those overdue.
        self.open_charge, self.overdue_count, self.overdue_sent = 0.0, 0, 0.0
        self.full_until = -math.inf  # it rejected a request as full and is skipped until then
        self.connect_failures = 0  # since its last answer
        self.answered_w = -1.0  # w after the last answer while warm; below 0: none yet
        self.fast_answers = -1  # consecutive, since a restart that no list reported; below 0: none pending
        self.in_use = False  # an active member of the working set

    def update(self, entry: api.ServerEntry, size: float) -> None:
        """Applies an entry of the server list."""
        self.entry, self.kind, self.size = entry, entry.kind, size

    def add_attempt(self, attempt: Attempt) -> None:
        """Counts an attempt as in flight."""
        self.attempts.add(attempt)
        self.inflight += 1
        self.open_charge += attempt.charge

    def remove_attempt(self, attempt: Attempt) -> None:
        """Removes an attempt that has ended."""
        self.attempts.remove(attempt)
        self.inflight -= 1
        if not self.inflight:  # reset the float sums, which accumulate rounding errors
            self.open_charge, self.overdue_count, self.overdue_sent = 0.0, 0, 0.0
        elif attempt.overdue:
            self.overdue_count -= 1
            self.overdue_sent -= attempt.sent_at
        else:
            self.open_charge -= attempt.charge

    def wait_turn(self, now: float, cost: float) -> None:
        """Starts the wait of a cold server for its next turn. The first turn is random too: when hundreds of
        sidecars learn of a start together, their trials alone would overload the server."""
        self.turn_since, self.turn_cost = now, cost


class Attempt:
    """One attempt of a request at a server."""

    __slots__ = (
        *("server", "sent_at", "timeout", "cost", "charge", "trial", "ended", "may_have_run"),
        *("overdue", "unqueued", "record", "passed", "presumed_lost", "warmth"),
    )

    def __init__(
        self, server: Server, now: float, timeout: float, cost: float, charge: float, record: ClassRecord
    ) -> None:
        self.record, self.passed, self.presumed_lost = record, 0, False
        self.server, self.sent_at, self.timeout, self.cost, self.charge = server, now, timeout, cost, charge
        self.trial = not server.active
        self.ended, self.may_have_run, self.overdue = False, True, False
        self.warmth = 1.0  # warmth of its server when it was sent
        self.unqueued = False  # sent while this sidecar caused no queue


class ClassRecord:
    """A class of requests and the state learnt about it."""

    __slots__ = (
        *("klass", "worth", "queue", "costs", "default_cost", "max_wait_ms", "seen", "mean_hint", "quick"),
        *("usual", "unqueued", "start_sends", "retry_safe", "answered_at"),
    )

    def __init__(
        self, klass: api.RequestClass, worth: float, default_cost: float, max_wait_ms: float, retry_safe: bool
    ) -> None:
        """``worth``: per work; ``default_cost``: from the aims; ``max_wait_ms``: longest wait in the queue;
        ``retry_safe``: a retry is harmless wherever an earlier attempt may have run."""
        self.klass, self.worth, self.retry_safe = klass, worth, retry_safe
        self.queue: dict[str, OpenRequest] = {}  # waiting requests; classes of equal worth share it
        self.costs: dict[str, float] = {}  # by kind of machine
        self.default_cost, self.max_wait_ms = default_cost, max_wait_ms
        self.seen, self.mean_hint, self.quick, self.usual, self.unqueued, self.start_sends = (
            1.0,
            -1.0,
            -1.0,
            -1.0,
            0,
            0,
        )
        self.answered_at = -math.inf  # instant of the last answer

    def copy_learnt(self, old: ClassRecord) -> None:
        """Copies what was learnt under the previous settings."""
        self.costs = dict(old.costs)
        self.seen, self.mean_hint, self.answered_at = old.seen, old.mean_hint, old.answered_at
        self.quick, self.usual, self.unqueued, self.start_sends = (
            old.quick,
            old.usual,
            old.unqueued,
            old.start_sends,
        )

    def update_kinds(self, kinds: dict[str, int]) -> None:
        """Adds new kinds of machines at the default cost and drops kinds with no server."""
        for kind, number in kinds.items():
            if number:
                self.costs.setdefault(kind, self.default_cost)
            else:
                self.costs.pop(kind, None)

    def cost(self, server: Server) -> float:
        """Cost of this class at the server's kind of machine, relative to the kind's mean request."""
        return self.costs.get(server.kind, self.default_cost)


class OpenRequest:
    """A request that is open or has attempts in flight."""

    __slots__ = (
        *("id", "record", "klass", "expires_at", "attempts", "inflight", "open", "streaming", "queued"),
        *("scale", "body_ms", "max_attempts"),
    )

    def __init__(
        self, request: api.Request, record: ClassRecord, expires_at: float, max_attempts: int
    ) -> None:
        self.id, self.record, self.klass, self.expires_at = request.request, record, record.klass, expires_at
        self.attempts: list[Attempt] = []
        self.inflight = 0  # attempts that have not ended
        self.open, self.streaming, self.queued, self.scale = True, False, False, 1.0
        self.body_ms, self.max_attempts = request.body_ms, max_attempts


class TokenBudget:
    """A budget for retries or trials: each request adds a fraction of a token, up to a maximum."""

    __slots__ = ("tokens", "per_request", "max_tokens")

    def __init__(self, per_request: float, max_tokens: float) -> None:
        self.tokens, self.per_request, self.max_tokens = max_tokens, per_request, max_tokens

    def add(self) -> None:
        """Adds the share of one request."""
        if self.tokens < self.max_tokens:
            self.tokens = min(self.tokens + self.per_request, self.max_tokens)


class Schedule:
    """Timed jobs. One host timer serves all jobs that are due when it fires, and a timer is set only if no
    earlier one is pending: most requests end long before their deadline and need no timer of their own."""

    def __init__(self) -> None:
        self.entries: list[tuple[float, int, str, OpenRequest | None]] = []
        self.timers: list[tuple[float, int]] = []  # pending at the host, a heap by instant
        self.sequence = 0

    def add(self, instant: float, job: str, pending: OpenRequest | None) -> None:
        """Adds a job, of a request or of the balancer itself."""
        self.sequence += 1
        heappush(self.entries, (instant, self.sequence, job, pending))

    def fired(self, now: float, token: int) -> float:
        """Returns the instant up to which jobs are due: rounding may make a host fire a timer early."""
        for at, (instant, timer_token) in enumerate(self.timers):
            if timer_token == token:
                del self.timers[at]  # nearly always the first; a sorted list is a valid heap
                self.timers.sort()
                return max(now, instant)
        return now

    def pop_due(self, until: float) -> tuple[str, OpenRequest | None] | None:
        """Removes and returns the next job that is due, if any."""
        if self.entries and self.entries[0][0] <= until:
            return heappop(self.entries)[2:]
        return None

    def next_timer(self, now: float) -> api.SetTimer | None:
        """Returns the timer to set now, if any, after dropping the jobs of closed requests."""
        entries = self.entries
        while entries and (pending := entries[0][3]) is not None and not pending.open:
            heappop(entries)
        if not entries or self.timers and self.timers[0][0] <= entries[0][0]:
            return None
        self.sequence += 1
        heappush(self.timers, (entries[0][0], self.sequence))
        return api.SetTimer(max(entries[0][0] - now, 0.0), self.sequence)
