"""What a request gets: a place in a line, further attempts and what pays for them, and the final answer."""

from __future__ import annotations

from hareloom import interface as api
from hareloom.limits import Limits
from hareloom.records import Class, Held, Savings, Server

# Retries: so many per request, saved up to this, and only with this share of the limit free.
RETRY_SHARE, RETRY_SAVED, RETRY_ROOM = 0.1, 10.0, 0.5
SAFE = api.Effect.SAFE  # looked up for every request; a member of an enumeration is found slowly


class Queue:
    """Lines of those with no place yet, by worth, the most first; the last in a line is served first."""

    def __init__(self, classes: dict[str, Class]) -> None:
        self.lines: list[dict[str, Held]] = []
        self.waiting = 0
        self.line_up(classes)

    def line_up(self, classes: dict[str, Class]) -> None:
        """A line in which some wait stays, whatever became of their class."""
        worths: dict[float, dict[str, Held]] = {}
        for line in self.lines:
            if line:
                worths[next(iter(line.values())).of.worth] = line
        for of in classes.values():
            of.line = worths.setdefault(of.worth, of.line)
        self.lines = [worths[worth] for worth in sorted(worths, reverse=True)]
        self.most_worth = max(of.worth for of in classes.values())

    def join(self, held: Held) -> None:
        held.of.line[held.id], held.waits = held, True
        self.waiting += 1

    def leave(self, held: Held) -> None:
        del held.of.line[held.id]
        held.waits = False
        self.waiting -= 1


class Ages:
    """How long ago clients first asked."""

    def __init__(self) -> None:
        self.lives: dict[str, tuple[float, int]] = {}

    def age(self, klass: api.RequestClass, life: float, tick_ms: float) -> float:
        """How long ago the client first asked, at the least: a last try has what is left of the deadline, all
        others the same life. Serving what comes back after its aim keeps an overload going for nothing."""
        usual, votes = self.lives.get(klass.name, (life, 0))
        same = abs(life - usual) <= 2.0 * tick_ms
        votes += 1 if same else -1
        self.lives[klass.name] = (usual, min(votes, 20)) if votes >= 0 else (life, 1)
        return 0.0 if same else max(klass.deadline_ms - life, 0.0)

    def keep(self, classes: dict[str, Class]) -> None:
        self.lives = {name: life for name, life in self.lives.items() if name in classes}


def may_retry(savings: Savings, limits: Limits) -> bool:
    return savings.saved >= 1.0 and limits.out < RETRY_ROOM * limits.limit


def may_send(settings: api.Settings, now: float, held: Held, server: Server | None) -> bool:
    """May this request be sent, and to this server? None: to any, which is all that a first send asks."""
    limits, klass = settings.limits, held.klass
    if not held.open or held.streaming or len(held.attempts) >= held.most:
        return False
    if not held.attempts or server is None or klass.effect is SAFE:
        return True
    ran = [a for a in held.attempts if a.may_have_run]
    if not ran:
        return True
    if klass.effect is api.Effect.UNSAFE:
        return False  # it may have run: once more would be twice
    if now > ran[0].sent + klass.window_ms - limits.connect_timeout_ms - 2.0 * settings.tick_ms:
        return False  # they may have forgotten it by the time that a new connection is up
    mine, theirs = server.entry, [a.server.entry for a in ran]
    if klass.group is api.Group.ZONE:
        return all(mine.zone == other.zone for other in theirs)
    return klass.group is api.Group.ALL or all((mine.zone, mine.cell) == (o.zone, o.cell) for o in theirs)


def final(settings: api.Settings, now: float, held: Held) -> api.Refuse | api.Fail:
    """The final answer: refused where trying again is harmless, else failed. Those that are too late are told
    to stay away; others may come back while their answer is still worth something, after as long as they have
    found no place."""
    retry_after = held.klass.deadline_ms if now >= held.until else held.of.wait_ms
    retry_after = min(retry_after, settings.limits.max_retry_after_ms)
    harmless = held.of.harmless or not any(a.may_have_run for a in held.attempts)
    return api.Refuse(held.id, retry_after) if harmless else api.Fail(held.id)
