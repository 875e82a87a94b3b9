"""The queue of waiting requests, the rules for retries, and the final answer."""

from __future__ import annotations

from hareloom import interface as api
from hareloom.limits import AttemptLimit
from hareloom.records import ClassRecord, OpenRequest, Server, TokenBudget

# Retry budget per request, its maximum, and the share of the limit that attempts in flight must be below.
RETRY_SHARE, RETRY_TOKENS_MAX, RETRY_LIMIT_SHARE = 0.1, 10.0, 0.5
SAFE = api.Effect.SAFE  # a module-level name, since enum member lookup is slow


class Queue:
    """Waiting requests by the worth of their class, highest first; last in, first out within a worth."""

    def __init__(self, classes: dict[str, ClassRecord]) -> None:
        self.queues: list[dict[str, OpenRequest]] = []
        self.waiting = 0
        self.set_classes(classes)

    def set_classes(self, classes: dict[str, ClassRecord]) -> None:
        """Applies new classes. A queue with waiting requests is kept, even if its class is gone."""
        worths: dict[float, dict[str, OpenRequest]] = {}
        for queue in self.queues:
            if queue:
                worths[next(iter(queue.values())).record.worth] = queue
        for record in classes.values():
            record.queue = worths.setdefault(record.worth, record.queue)
        self.queues = [worths[worth] for worth in sorted(worths, reverse=True)]
        self.most_worth = max(record.worth for record in classes.values())

    def join(self, pending: OpenRequest) -> None:
        pending.record.queue[pending.id], pending.queued = pending, True
        self.waiting += 1

    def leave(self, pending: OpenRequest) -> None:
        del pending.record.queue[pending.id]
        pending.queued = False
        self.waiting -= 1


class RequestAges:
    """Estimates how long ago clients first sent a request."""

    def __init__(self) -> None:
        self.remaining: dict[str, tuple[float, int]] = {}

    def age(self, klass: api.RequestClass, remaining: float, tick_ms: float) -> float:
        """Returns a lower bound on the request's age by its remaining time: a last try has the rest of the
        deadline, all others the same time. Serving retries past their aim prolongs an overload in vain."""
        usual, votes = self.remaining.get(klass.name, (remaining, 0))
        same = abs(remaining - usual) <= 2.0 * tick_ms
        votes += 1 if same else -1
        self.remaining[klass.name] = (usual, min(votes, 20)) if votes >= 0 else (remaining, 1)
        return 0.0 if same else max(klass.deadline_ms - remaining, 0.0)

    def retain(self, classes: dict[str, ClassRecord]) -> None:
        self.remaining = {name: item for name, item in self.remaining.items() if name in classes}


def may_retry(budget: TokenBudget, limits: AttemptLimit) -> bool:
    """Returns whether the budget and the limit allow a retry."""
    return budget.tokens >= 1.0 and limits.inflight < RETRY_LIMIT_SHARE * limits.limit


def may_send(settings: api.Settings, now: float, pending: OpenRequest, server: Server | None) -> bool:
    """Returns whether the request may be sent to this server; None: to any, as a first send may."""
    limits, klass = settings.limits, pending.klass
    if not pending.open or pending.streaming or len(pending.attempts) >= pending.max_attempts:
        return False
    if not pending.attempts or server is None or klass.effect is SAFE:
        return True
    ran = [a for a in pending.attempts if a.may_have_run]
    if not ran:
        return True
    if klass.effect is api.Effect.UNSAFE:
        return False  # it may have run, so another attempt could run it twice
    if now > ran[0].sent_at + klass.window_ms - limits.connect_timeout_ms - 2.0 * settings.tick_ms:
        return False  # servers may stop dropping repeats before a new connection is up
    mine, theirs = server.entry, [a.server.entry for a in ran]
    if klass.group is api.Group.ZONE:
        return all(mine.zone == other.zone for other in theirs)
    return klass.group is api.Group.ALL or all((mine.zone, mine.cell) == (o.zone, o.cell) for o in theirs)


def final(settings: api.Settings, now: float, pending: OpenRequest) -> api.Refuse | api.Fail:
    """Returns the final answer: a refusal where a retry is harmless, otherwise a failure. Late requests are
    asked to stay away for their class's deadline; others may retry after the longest wait in the queue, while
    an answer still has worth."""
    retry_after = pending.klass.deadline_ms if now >= pending.expires_at else pending.record.max_wait_ms
    retry_after = min(retry_after, settings.limits.max_retry_after_ms)
    retry_safe = pending.record.retry_safe or not any(a.may_have_run for a in pending.attempts)
    return api.Refuse(pending.id, retry_after) if retry_safe else api.Fail(pending.id)
