"""Which servers are active: those with a w near the best and working connections. Others return by trials."""

from __future__ import annotations

import math
from random import Random

from hareloom import interface as api
from hareloom.limits import USUAL_MIN
from hareloom.records import Attempt, Server, TokenBudget
from hareloom.servers import jitter
from hareloom.working import WorkingSet

# Weight of the old w per answer; the paper's 0.95 reacts too slowly to faults that last seconds.
ALPHA = 0.9
# A server is active while its w is within this factor of the best; the paper's 2 excludes slower hardware.
ACTIVE_FACTOR = 4.0
# First and longest wait before a trial, in mean aims: short enough to notice a recovery early.
BACKOFF_MIN, BACKOFF_MAX = 0.87, 7.0
# Consecutive connection failures that deactivate a server: at least BREAKS_MIN, and so many that chance
# alone, by the share of failures over all servers, is below BREAKS_CHANCE. Single failures come from
# networks, peers, middleboxes or full tables too; deactivating a server for each removed most of a healthy
# fleet. A process that dies breaks all its connections and refuses new ones. The cost: one failed attempt
# more where one is in flight, a few where a server dies while all have failures.
BREAKS_MIN, BREAKS_CHANCE, BREAKS_ALPHA = 2, 0.002, 0.98
ACTIVE_SHARE_MIN = 0.6  # slow servers are deactivated only while this share of the set stays active
# Budget of trials of servers that failed before, per request: limited by the backoff alone, a quiet sidecar
# with half its set inactive would send little but trials.
TRIAL_SHARE, TRIAL_TOKENS_MAX = 0.1, 2.0

# Module-level names, since enum member lookup is slow and this runs for every failure.
TIMEOUT, FULL, CANCELLED, MOOT = (
    api.Outcome.TIMEOUT,
    api.Outcome.FULL,
    api.Outcome.CANCELLED,
    api.Outcome.MOOT,
)
CONNECT_FAILED, RESET = api.Outcome.CONNECT_FAILED, api.Outcome.RESET


class Activity:
    """Learns w from the ends of attempts and moves servers into and out of the active set."""

    def __init__(self, settings: api.Settings, mean_aim: float, working: WorkingSet, rng: Random) -> None:
        self.working, self.rng = working, rng
        self.tune(settings, mean_aim)
        self.trials = TokenBudget(TRIAL_SHARE, TRIAL_TOKENS_MAX)
        self.broken_share = 0.0  # recent share of attempts with a connection failure, over all servers
        self.full_until = -math.inf  # the latest of the servers' full_until

    def tune(self, settings: api.Settings, mean_aim: float) -> None:
        self.backoff_min, self.backoff_max = BACKOFF_MIN * mean_aim, BACKOFF_MAX * mean_aim
        self.tick_ms = settings.tick_ms

    def due_trial(self, now: float, inactives: list[Server]) -> Server | None:
        """Returns the server whose trial is due first, if any; those that failed before need budget."""
        may = self.trials.tokens >= 1.0
        due = [s for s in inactives if not s.trial and s.trial_at <= now and (not s.samples or may)]
        return min(due, key=lambda s: (s.trial_at, s.rank)) if due else None

    def on_answer(self, now: float, attempt: Attempt, latency: float) -> None:
        self.broken_share *= BREAKS_ALPHA
        attempt.server.breaks = 0
        self.learn(now, attempt, latency, False)

    def on_failure(self, now: float, attempt: Attempt, event: api.AttemptEnded) -> None:
        """Handles an attempt that ended without a successful answer."""
        outcome, server, age = event.outcome, attempt.server, now - attempt.sent_at
        server.connect_failures += outcome is CONNECT_FAILED
        if outcome is CANCELLED and age > attempt.charge:
            self.learn(now, attempt, age, attempt.trial)  # a lower bound on its latency
        if outcome is CANCELLED or outcome is MOOT:
            return
        broke = outcome is CONNECT_FAILED or outcome is RESET
        self.broken_share = BREAKS_ALPHA * self.broken_share + (1.0 - BREAKS_ALPHA) * broke
        if broke:
            server.breaks += 1
        elif outcome is not TIMEOUT:  # the server responded
            server.breaks = 0
        down = server.breaks >= BREAKS_MIN and self.broken_share**server.breaks < BREAKS_CHANCE
        self.learn(now, attempt, max(event.latency_ms, 0.0), True, down)
        if outcome is FULL:  # skip it until a request there can have completed
            server.full_until = now + max(attempt.record.quick, self.tick_ms)
            self.full_until = max(self.full_until, server.full_until)

    def learn(self, now: float, attempt: Attempt, latency: float, failed: bool, down: bool = False) -> None:
        """Updates w from an attempt and decides whether its server is active."""
        server, record, working, best = attempt.server, attempt.record, self.working, self.working.best_w(now)
        if failed:  # a fast error must not make a server look fast
            latency = max(latency, attempt.timeout, record.klass.deadline_ms)
        # Scaled to a warm server: warmth is applied again when w is charged.
        delta = latency / attempt.cost if failed else latency * attempt.warmth / attempt.cost
        # Where service times vary much, ACTIVE_FACTOR times the best of a few fast answers would exclude most
        # of a healthy fleet, so a latency that is usual for the class without queues is accepted too.
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
            # If most servers are slow, the cause is load, and a smaller set would be slower still.
            if down or working.active_share(now) - 1.0 / len(working.set) >= ACTIVE_SHARE_MIN:
                server.active, server.trial_at = False, now + jitter(self.rng, server.backoff)
                working.needs_draw = working.views_stale = True
