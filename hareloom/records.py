"""What is kept of servers, attempts, classes and requests, and the agenda: they decide nothing."""

from __future__ import annotations

import math
from heapq import heappop, heappush

from hareloom import interface as api


class Server:
    """What this sidecar knows of one server."""

    __slots__ = (
        *("entry", "rank", "size", "kind", "listed", "active", "trial", "w", "eff_w", "ranked_w", "samples"),
        *("deficit", "breaks", "backoff", "trial_at", "cold_since", "turn_since", "attempts", "inflight"),
        *("open_charge", "overdue_count", "turn_cost", "overdue_sent", "in_use", "full_until"),
        *("connect_failures", "answered_w", "fast_answers"),
    )

    def __init__(self, entry: api.ServerEntry, rank: float, size: float = 1.0, backoff: float = 0.0) -> None:
        self.rank = rank  # breaks ties, differently at each sidecar
        self.update(entry, size)
        self.listed, self.active, self.trial = True, False, False
        self.w: float | None = None
        self.eff_w = 0.0  # w as it is charged: more while the server is cold
        self.ranked_w: float | None = None  # the w by which it stands among those that give the best
        self.samples, self.deficit, self.breaks = 0, 0.0, 0
        self.backoff, self.trial_at = backoff, -math.inf
        self.cold_since = entry.started_at
        # Since when a cold one waits for its turn, and for the cost of what; below 0: it has no turn yet.
        self.turn_since, self.turn_cost = -math.inf, -1.0
        self.attempts: set[Attempt] = set()
        self.inflight = 0  # how many that is
        # What is out as deficits count it: charges of those in time, number and sent instants of the overdue.
        self.open_charge, self.overdue_count, self.overdue_sent = 0.0, 0, 0.0
        self.full_until = -math.inf  # it turned a request away, and has no place before
        self.connect_failures = 0  # connections that failed since its last answer
        self.answered_w = -1.0  # w as answers alone gave it, below 0: none has
        self.fast_answers = -1  # in a row since an unlisted restart; below 0: there was none
        self.in_use = False  # among the active of the working set

    def update(self, entry: api.ServerEntry, size: float) -> None:
        self.entry, self.kind, self.size = entry, entry.kind, size

    def add_attempt(self, attempt: Attempt) -> None:
        self.attempts.add(attempt)
        self.inflight += 1
        self.open_charge += attempt.charge

    def remove_attempt(self, attempt: Attempt) -> None:
        self.attempts.remove(attempt)
        self.inflight -= 1
        if not self.inflight:  # sums of floats drift; an empty one is exact
            self.open_charge, self.overdue_count, self.overdue_sent = 0.0, 0, 0.0
        elif attempt.overdue:
            self.overdue_count -= 1
            self.overdue_sent -= attempt.sent_at
        else:
            self.open_charge -= attempt.charge

    def wait_turn(self, now: float, cost: float) -> None:
        """From here on a cold server waits for its next turn. A first send waits a random turn as well: where
        hundreds hear of a start together, their trials alone would push the server over."""
        self.turn_since, self.turn_cost = now, cost


class Attempt:
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
        self.warmth = 1.0  # the share of its capacity that its server had when it was sent
        self.unqueued = False  # sent while this sidecar made no queue by itself


class ClassRecord:
    """A class of requests, and what this sidecar has learnt of it."""

    __slots__ = (
        *("klass", "worth", "queue", "costs", "default_cost", "max_wait_ms", "seen", "mean_hint", "quick"),
        *("usual", "unqueued", "start_sends", "retry_safe", "answered_at"),
    )

    def __init__(
        self, klass: api.RequestClass, worth: float, plain: float, wait_ms: float, harmless: bool
    ) -> None:
        """``worth``: for its work; ``plain``: what its aims say that it costs; ``wait_ms``: how long one with
        no place or server waits; ``harmless``: it may be tried again wherever it may have run."""
        self.klass, self.worth, self.retry_safe = klass, worth, harmless
        self.queue: dict[str, OpenRequest] = {}  # those with no place yet; classes of one worth share a line
        self.costs: dict[str, float] = {}  # by kind of machine
        self.default_cost, self.max_wait_ms = plain, wait_ms
        self.seen, self.mean_hint, self.quick, self.usual, self.unqueued, self.start_sends = (
            1.0,
            -1.0,
            -1.0,
            -1.0,
            0,
            0,
        )
        self.answered_at = -math.inf  # of the last answer

    def copy_learnt(self, old: ClassRecord) -> None:
        """Goes on from what was learnt under other settings."""
        self.costs = dict(old.costs)
        self.seen, self.mean_hint, self.answered_at = old.seen, old.mean_hint, old.answered_at
        self.quick, self.usual, self.unqueued, self.start_sends = (
            old.quick,
            old.usual,
            old.unqueued,
            old.start_sends,
        )

    def update_kinds(self, kinds: dict[str, int]) -> None:
        """Kinds of machines come and go, by the number known: one not met yet costs what its aims say."""
        for kind, number in kinds.items():
            if number:
                self.costs.setdefault(kind, self.default_cost)
            else:
                self.costs.pop(kind, None)

    def cost(self, server: Server) -> float:
        """How long this class takes at this kind of machine, relative to the kind's mean request."""
        return self.costs.get(server.kind, self.default_cost)


class OpenRequest:
    """A request that has been taken and is not forgotten yet."""

    __slots__ = (
        *("id", "record", "klass", "expires_at", "attempts", "inflight", "open", "streaming", "queued"),
        *("scale", "body_ms", "max_attempts"),
    )

    def __init__(self, request: api.Request, record: ClassRecord, until: float, most: int) -> None:
        self.id, self.record, self.klass, self.expires_at = request.request, record, record.klass, until
        self.attempts: list[Attempt] = []
        self.inflight = 0  # attempts that have not ended
        self.open, self.streaming, self.queued, self.scale = True, False, False, 1.0
        self.body_ms, self.max_attempts = request.body_ms, most  # ``most``: attempts that it may have


class TokenBudget:
    """What a share of each request is saved for, up to the most."""

    __slots__ = ("tokens", "per_request", "max_tokens")

    def __init__(self, share: float, most: float) -> None:
        self.tokens, self.per_request, self.max_tokens = most, share, most

    def add(self) -> None:
        if self.tokens < self.max_tokens:
            self.tokens = min(self.tokens + self.per_request, self.max_tokens)


class Schedule:
    """What is to be done when. One alarm of the host serves all that is due by its instant, and is set only
    where none is out that rings before: most requests end long before their time, and cost no alarm."""

    def __init__(self) -> None:
        self.entries: list[tuple[float, int, str, OpenRequest | None]] = []
        self.timers: list[tuple[float, int]] = []  # out at the host, the first to ring first
        self.sequence = 0

    def add(self, instant: float, job: str, pending: OpenRequest | None) -> None:
        self.sequence += 1
        heappush(self.entries, (instant, self.sequence, job, pending))

    def fired(self, now: float, token: int) -> float:
        """The instant up to which things are due: a host may ring an alarm early by a rounding."""
        for at, (instant, number) in enumerate(self.timers):
            if number == token:
                del self.timers[at]  # nearly always the first; a sorted list is a heap
                self.timers.sort()
                return max(now, instant)
        return now

    def pop_due(self, until: float) -> tuple[str, OpenRequest | None] | None:
        if self.entries and self.entries[0][0] <= until:
            return heappop(self.entries)[2:]
        return None

    def next_timer(self, now: float) -> api.SetTimer | None:
        """The alarm to set now, if any; what is over by now is let go first."""
        entries = self.entries
        while entries and (pending := entries[0][3]) is not None and not pending.open:
            heappop(entries)
        if not entries or self.timers and self.timers[0][0] <= entries[0][0]:
            return None
        self.sequence += 1
        heappush(self.timers, (entries[0][0], self.sequence))
        return api.SetTimer(max(entries[0][0] - now, 0.0), self.sequence)
