"""Which servers are active: those whose w is near the best and that do not break; others return by trials."""

from __future__ import annotations

import math
from random import Random

from hareloom import interface as api
from hareloom.limits import USUAL_MIN
from hareloom.records import Attempt, Server, TokenBudget
from hareloom.servers import jitter
from hareloom.working import WorkingSet

# Weight of the old w per answer; the paper's 0.95 is slower than troubles that last seconds.
ALPHA = 0.9
# Active: w within this of the best; two, as in the paper, shuts merely slower machines out.
ACTIVE_FACTOR = 4.0
# First wait before a trial, and where doubling stops, in mean aims: a recovery is found while it still
# matters.
BACKOFF_MIN, BACKOFF_MAX = 0.87, 7.0
# Broken or failed connections in a row, with no answer between, that put a server out at once: at the least,
# and more while chance alone gives that many in a row so often, by the share that breaks everywhere. One says
# little: networks and peers, restarts of something in between or full tables end single ones, and with a
# server out for each most of a sound fleet was. A process that dies ends all it holds and refuses the next.
# It hurts by one failure more where only one is out, by a few where one dies while all are troubled.
BREAKS_MIN, BREAKS_CHANCE, BREAKS_ALPHA = 2, 0.002, 0.98
ACTIVE_SHARE_MIN = 0.6  # servers leave for being slow only while this share of the set stays active
# Trials of servers that failed before: so many per request, saved up to this. A quiet sidecar with half its
# set out would send little else but trials, at the pace of their back-off alone.
TRIAL_SHARE, TRIAL_TOKENS_MAX = 0.1, 2.0

# Looked up for every failure; a member of an enumeration is found slowly.
TIMEOUT, FULL, CANCELLED, MOOT = (
    api.Outcome.TIMEOUT,
    api.Outcome.FULL,
    api.Outcome.CANCELLED,
    api.Outcome.MOOT,
)
CONNECT_FAILED, RESET = api.Outcome.CONNECT_FAILED, api.Outcome.RESET


class Activity:
    def __init__(self, settings: api.Settings, mean_aim: float, working: WorkingSet, rng: Random) -> None:
        self.working, self.rng = working, rng
        self.tune(settings, mean_aim)
        self.trials = TokenBudget(TRIAL_SHARE, TRIAL_TOKENS_MAX)
        self.broken_share = 0.0  # share of attempts whose connection broke, of late and over all servers
        self.full_until = -math.inf  # the last of the servers'

    def tune(self, settings: api.Settings, mean_aim: float) -> None:
        self.backoff_min, self.backoff_max = BACKOFF_MIN * mean_aim, BACKOFF_MAX * mean_aim
        self.tick_ms = settings.tick_ms

    def due_trial(self, now: float, resting: list[Server]) -> Server | None:
        may = self.trials.tokens >= 1.0
        due = [s for s in resting if not s.trial and s.trial_at <= now and (not s.samples or may)]
        return min(due, key=lambda s: (s.trial_at, s.rank)) if due else None

    def on_answer(self, now: float, attempt: Attempt, latency: float) -> None:
        self.broken_share *= BREAKS_ALPHA
        attempt.server.breaks = 0
        self.learn(now, attempt, latency, False)

    def on_failure(self, now: float, attempt: Attempt, event: api.AttemptEnded) -> None:
        """What an attempt without an answer says of its server."""
        outcome, server, age = event.outcome, attempt.server, now - attempt.sent_at
        server.connect_failures += outcome is CONNECT_FAILED
        if outcome is CANCELLED and age > attempt.charge:
            self.learn(now, attempt, age, attempt.trial)  # this long at the least
        if outcome is CANCELLED or outcome is MOOT:
            return
        broke = outcome is CONNECT_FAILED or outcome is RESET
        self.broken_share = BREAKS_ALPHA * self.broken_share + (1.0 - BREAKS_ALPHA) * broke
        if broke:
            server.breaks += 1
        elif outcome is not TIMEOUT:  # whatever it answered, it is there
            server.breaks = 0
        down = server.breaks >= BREAKS_MIN and self.broken_share**server.breaks < BREAKS_CHANCE
        self.learn(now, attempt, max(event.latency_ms, 0.0), True, down)
        if outcome is FULL:  # it has no place until something there is done
            server.full_until = now + max(attempt.record.quick, self.tick_ms)
            self.full_until = max(self.full_until, server.full_until)

    def learn(self, now: float, attempt: Attempt, latency: float, failed: bool, down: bool = False) -> None:
        """What an answer, or its lack, says of a server: w, and whether it stays in or gets into the set."""
        server, record, working, best = attempt.server, attempt.record, self.working, self.working.best_w(now)
        if failed:  # errors come back fast and must not look fast
            latency = max(latency, attempt.timeout, record.klass.deadline_ms)
        # As if it were warm: w is charged by warmth again, and a cold server would count as slow twice.
        delta = latency / attempt.cost if failed else latency * attempt.warmth / attempt.cost
        # Where work itself differs much, four times the best of a few quick answers shuts most of a sound
        # fleet out: what is usual for the class with nothing waiting speaks for a server as well.
        usual = not failed and record.unqueued >= USUAL_MIN and latency <= record.usual
        if attempt.trial and not failed and (usual or best is None or delta <= ACTIVE_FACTOR * best):
            active = [s for s in working.set if s.active]
            lowest = min((s.deficit for s in active), default=0.0)
            for other in active:
                other.deficit -= lowest
            server.active, server.w, server.samples = server.listed, delta, 1
            server.backoff = self.backoff_min
            working.needs_draw = working.views_stale = True
            server.deficit = working.charge(now, server, record)
            return
        alpha = server.samples / (server.samples + 1.0)
        alpha = alpha if alpha < ALPHA else ALPHA
        server.w = delta if server.w is None or attempt.trial else alpha * server.w + (1.0 - alpha) * delta
        server.samples += 1
        working.rank(now, server)
        if attempt.trial:
            server.trial_at = now + jitter(self.rng, server.backoff)
            if working.active_share(now) >= ACTIVE_SHARE_MIN:
                server.backoff = min(2.0 * server.backoff, self.backoff_max)
        elif server.active and best is not None and (down or server.w > ACTIVE_FACTOR * best and not usual):
            # If most are slow it is the load, and a smaller set would only be slower.
            if down or working.active_share(now) - 1.0 / len(working.set) >= ACTIVE_SHARE_MIN:
                server.active, server.trial_at = False, now + jitter(self.rng, server.backoff)
                working.needs_draw = working.views_stale = True
