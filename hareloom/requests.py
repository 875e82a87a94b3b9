"""What a request gets: a place in a line, further attempts and what pays for them, and the final answer."""

from __future__ import annotations

from hareloom import interface as api
from hareloom.limits import AttemptLimit
from hareloom.records import ClassRecord, OpenRequest, Server, TokenBudget

# Retries: so many per request, saved up to this, and only with this share of the limit free.
RETRY_SHARE, RETRY_TOKENS_MAX, RETRY_LIMIT_SHARE = 0.1, 10.0, 0.5
SAFE = api.Effect.SAFE  # looked up for every request; a member of an enumeration is found slowly


class Queue:
    """Lines of those with no place yet, by worth, the most first; the last in a line is served first."""

    def __init__(self, classes: dict[str, ClassRecord]) -> None:
        self.queues: list[dict[str, OpenRequest]] = []
        self.waiting = 0
        self.set_classes(classes)

    def set_classes(self, classes: dict[str, ClassRecord]) -> None:
        """A line in which some wait stays, whatever became of their class."""
        worths: dict[float, dict[str, OpenRequest]] = {}
        for line in self.queues:
            if line:
                worths[next(iter(line.values())).record.worth] = line
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
    """How long ago clients first asked."""

    def __init__(self) -> None:
        self.remaining: dict[str, tuple[float, int]] = {}

    def age(self, klass: api.RequestClass, life: float, tick_ms: float) -> float:
        """How long ago the client first asked, at the least: a last try has what is left of the deadline, all
        others the same life. Serving what comes back after its aim keeps an overload going for nothing."""
        usual, votes = self.remaining.get(klass.name, (life, 0))
        same = abs(life - usual) <= 2.0 * tick_ms
        votes += 1 if same else -1
        self.remaining[klass.name] = (usual, min(votes, 20)) if votes >= 0 else (life, 1)
        return 0.0 if same else max(klass.deadline_ms - life, 0.0)

    def retain(self, classes: dict[str, ClassRecord]) -> None:
        self.remaining = {name: life for name, life in self.remaining.items() if name in classes}


def may_retry(savings: TokenBudget, limits: AttemptLimit) -> bool:
    return savings.tokens >= 1.0 and limits.inflight < RETRY_LIMIT_SHARE * limits.limit


def may_send(settings: api.Settings, now: float, pending: OpenRequest, server: Server | None) -> bool:
    """May this request be sent, and to this server? None: to any, which is all that a first send asks."""
    limits, klass = settings.limits, pending.klass
    if not pending.open or pending.streaming or len(pending.attempts) >= pending.max_attempts:
        return False
    if not pending.attempts or server is None or klass.effect is SAFE:
        return True
    ran = [a for a in pending.attempts if a.may_have_run]
    if not ran:
        return True
    if klass.effect is api.Effect.UNSAFE:
        return False  # it may have run: once more would be twice
    if now > ran[0].sent_at + klass.window_ms - limits.connect_timeout_ms - 2.0 * settings.tick_ms:
        return False  # they may have forgotten it by the time that a new connection is up
    mine, theirs = server.entry, [a.server.entry for a in ran]
    if klass.group is api.Group.ZONE:
        return all(mine.zone == other.zone for other in theirs)
    return klass.group is api.Group.ALL or all((mine.zone, mine.cell) == (o.zone, o.cell) for o in theirs)


def final(settings: api.Settings, now: float, pending: OpenRequest) -> api.Refuse | api.Fail:
    """The final answer: refused where trying again is harmless, else failed. Those that are too late are told
    to stay away; others may come back while their answer is still worth something, after as long as they have
    found no place."""
    retry_after = pending.klass.deadline_ms if now >= pending.expires_at else pending.record.max_wait_ms
    retry_after = min(retry_after, settings.limits.max_retry_after_ms)
    harmless = pending.record.retry_safe or not any(a.may_have_run for a in pending.attempts)
    return api.Refuse(pending.id, retry_after) if harmless else api.Fail(pending.id)
