"""What is kept of servers, attempts, classes and requests, and the agenda: they decide nothing."""

from __future__ import annotations

import math
from heapq import heappop, heappush

from hareloom import interface as api


class Server:
    """What this sidecar knows of one server."""

    __slots__ = (
        *("entry", "rank", "size", "kind", "listed", "active", "trial", "w", "pull", "ranked", "samples"),
        *("deficit", "breaks", "backoff", "due", "cold_since", "cold_from", "out", "held", "owed", "late"),
        *("cold_cost", "late_sent", "counted", "full_until", "refused", "sound", "proof"),
    )

    def __init__(self, entry: api.ServerEntry, rank: float, size: float = 1.0, backoff: float = 0.0) -> None:
        self.rank = rank  # breaks ties, differently at each sidecar
        self.tell(entry, size)
        self.listed, self.active, self.trial = True, False, False
        self.w: float | None = None
        self.pull = 0.0  # w as it is charged: more while the server is cold
        self.ranked: float | None = None  # the w by which it stands among those that give the best
        self.samples, self.deficit, self.breaks = 0, 0.0, 0
        self.backoff, self.due = backoff, -math.inf
        self.cold_since = entry.started_at
        # Since when a cold one waits for its turn, and for the cost of what; below 0: it has no turn yet.
        self.cold_from, self.cold_cost = -math.inf, -1.0
        self.out: set[Attempt] = set()
        self.held = 0  # how many that is
        # What is out as deficits count it: charges of those in time, number and sent instants of the overdue.
        self.owed, self.late, self.late_sent = 0.0, 0, 0.0
        self.full_until = -math.inf  # it turned a request away, and has no place before
        self.refused = 0  # connections that failed since its last answer
        self.sound = -1.0  # w as answers alone gave it, below 0: none has
        self.proof = -1  # quick answers in a row of a life that no list has told of; below 0: none such
        self.counted = False  # among the active of the working set

    def tell(self, entry: api.ServerEntry, size: float) -> None:
        self.entry, self.kind, self.size = entry, entry.kind, size

    def take(self, attempt: Attempt) -> None:
        self.out.add(attempt)
        self.held += 1
        self.owed += attempt.charge

    def drop(self, attempt: Attempt) -> None:
        self.out.remove(attempt)
        self.held -= 1
        if not self.held:  # sums of floats drift; an empty one is exact
            self.owed, self.late, self.late_sent = 0.0, 0, 0.0
        elif attempt.overdue:
            self.late -= 1
            self.late_sent -= attempt.sent
        else:
            self.owed -= attempt.charge

    def wait_turn(self, now: float, cost: float) -> None:
        """From here on a cold server waits for its next turn. A first send waits a random turn as well: where
        hundreds hear of a start together, their trials alone would push the server over."""
        self.cold_from, self.cold_cost = now, cost


class Attempt:
    __slots__ = (
        *("server", "sent", "timeout", "cost", "charge", "trial", "ended", "may_have_run"),
        *("overdue", "calm", "of", "passed", "stray", "warmth"),
    )

    def __init__(
        self, server: Server, now: float, timeout: float, cost: float, charge: float, of: Class
    ) -> None:
        self.of, self.passed, self.stray = of, 0, False
        self.server, self.sent, self.timeout, self.cost, self.charge = server, now, timeout, cost, charge
        self.trial = not server.active
        self.ended, self.may_have_run, self.overdue = False, True, False
        self.warmth = 1.0  # the share of its capacity that its server had when it was sent
        self.calm = False  # sent while this sidecar made no queue by itself


class Class:
    """A class of requests, and what this sidecar has learnt of it."""

    __slots__ = (
        *("klass", "worth", "line", "costs", "plain", "wait_ms", "seen", "hint", "quick"),
        *("usual", "calm", "first", "harmless", "at"),
    )

    def __init__(
        self, klass: api.RequestClass, worth: float, plain: float, wait_ms: float, harmless: bool
    ) -> None:
        """``worth``: for its work; ``plain``: what its aims say that it costs; ``wait_ms``: how long one with
        no place or server waits; ``harmless``: it may be tried again wherever it may have run."""
        self.klass, self.worth, self.harmless = klass, worth, harmless
        self.line: dict[str, Held] = {}  # those with no place yet; classes of one worth share a line
        self.costs: dict[str, float] = {}  # by kind of machine
        self.plain, self.wait_ms = plain, wait_ms
        self.seen, self.hint, self.quick, self.usual, self.calm, self.first = 1.0, -1.0, -1.0, -1.0, 0, 0
        self.at = -math.inf  # of the last answer

    def follow(self, old: Class) -> None:
        """Goes on from what was learnt under other settings."""
        self.costs = dict(old.costs)
        self.seen, self.hint, self.at = old.seen, old.hint, old.at
        self.quick, self.usual, self.calm, self.first = old.quick, old.usual, old.calm, old.first

    def meet(self, kinds: dict[str, int]) -> None:
        """Kinds of machines come and go, by the number known: one not met yet costs what its aims say."""
        for kind, number in kinds.items():
            if number:
                self.costs.setdefault(kind, self.plain)
            else:
                self.costs.pop(kind, None)

    def cost(self, server: Server) -> float:
        """How long this class takes at this kind of machine, relative to the kind's mean request."""
        return self.costs.get(server.kind, self.plain)


class Held:
    """A request that has been taken and is not forgotten yet."""

    __slots__ = (
        *("id", "of", "klass", "until", "attempts", "out", "open", "streaming", "waits"),
        *("scale", "body_ms", "most"),
    )

    def __init__(self, request: api.Request, of: Class, until: float, most: int) -> None:
        self.id, self.of, self.klass, self.until = request.request, of, of.klass, until
        self.attempts: list[Attempt] = []
        self.out = 0  # attempts that have not ended
        self.open, self.streaming, self.waits, self.scale = True, False, False, 1.0
        self.body_ms, self.most = request.body_ms, most  # ``most``: attempts that it may have


class Savings:
    """What a share of each request is saved for, up to the most."""

    __slots__ = ("saved", "share", "most")

    def __init__(self, share: float, most: float) -> None:
        self.saved, self.share, self.most = most, share, most

    def earn(self) -> None:
        if self.saved < self.most:
            self.saved = min(self.saved + self.share, self.most)


class Agenda:
    """What is to be done when. One alarm of the host serves all that is due by its instant, and is set only
    where none is out that rings before: most requests end long before their time, and cost no alarm."""

    def __init__(self) -> None:
        self.entries: list[tuple[float, int, str, Held | None]] = []
        self.alarms: list[tuple[float, int]] = []  # out at the host, the first to ring first
        self.count = 0

    def add(self, instant: float, what: str, held: Held | None) -> None:
        self.count += 1
        heappush(self.entries, (instant, self.count, what, held))

    def rung(self, now: float, token: int) -> float:
        """The instant up to which things are due: a host may ring an alarm early by a rounding."""
        for at, (instant, number) in enumerate(self.alarms):
            if number == token:
                del self.alarms[at]  # nearly always the first; a sorted list is a heap
                self.alarms.sort()
                return max(now, instant)
        return now

    def due(self, until: float) -> tuple[str, Held | None] | None:
        if self.entries and self.entries[0][0] <= until:
            return heappop(self.entries)[2:]
        return None

    def alarm(self, now: float) -> api.SetTimer | None:
        """The alarm to set now, if any; what is over by now is let go first."""
        entries = self.entries
        while entries and (held := entries[0][3]) is not None and not held.open:
            heappop(entries)
        if not entries or self.alarms and self.alarms[0][0] <= entries[0][0]:
            return None
        self.count += 1
        heappush(self.alarms, (entries[0][0], self.count))
        return api.SetTimer(max(entries[0][0] - now, 0.0), self.count)
