"""How many attempts may be out at once: more for timely answers, fewer for late and missing ones."""

from __future__ import annotations

import math

from hareloom.interface import Outcome
from hareloom.records import Attempt, Class, Held

# Attempts that may be out at once: the least; up for a timely answer, down for one late or missing; below 1,
# in proportion. Below the even size, so many a server over all sidecars, up by more. Up by LIMIT_START until
# LATE_START of the answers is late, by LATE_ALPHA, or the limit has come to LIMIT_SOON even sizes: one that
# starts into a full load needs many times its first limit within a second, and more where a server does more
# work at once, which nobody tells; a single late answer says little where work itself differs. Never below
# LIMIT_EACH_MIN a server over all sidecars: where servers are slow by themselves all answers are late,
# whatever is held back.
LIMIT_MIN, LIMIT_UP, LIMIT_DOWN = 0.1, 0.1, 0.2
LIMIT_EACH, LIMIT_EVEN, LIMIT_PULL = 3.0, 2.0, 0.25
LIMIT_START, LIMIT_SOON, LIMIT_EACH_MIN = 0.5, 32.0, 1.0
# Many that share few servers start by smaller steps, by this power of each one's part of them: with the whole
# step two hundred sidecars had 400 attempts out at 15 servers before the first late answer. It hurts where
# one of very many carries most of the traffic.
LIMIT_ROOT = 0.6
# Timely: within this share of what the aim leaves beyond the class's quick answers, its lowest fifth. More
# lets queues stand that some servers do not recover from. The fifth is learnt in steps of this share of the
# aim, large ones at first: where it follows within a second, a queue that stands raises what counts as quick,
# is timely by that, and stays for good. Where work itself takes about as long as that, a third of the answers
# was late with nothing waiting, and the limit fell to its least: what is usual, the USUAL quantile, is timely
# too. It is learnt from what was sent while this sidecar made no queue: the limit not over LIMIT_CALM times
# its least, or the first USUAL_FIRST of a start; before USUAL_LEAST of those the whole aim is timely.
TIMELY, QUICK, QUICK_STEP, QUICK_FIRST = 0.25, 0.2, 0.002, 0.5
QUICK_RATE = 0.115  # of the aim a mean aim's time at the most, or many short calls would make the steps fast
USUAL, USUAL_STEP, LIMIT_CALM, USUAL_FIRST, USUAL_LEAST = 0.8, 0.005, 2.0, 50, 30
LATE_ALPHA, LATE_START = 0.9, 0.5
# A stray: an attempt that timely answers to so many later ones at its server have passed, when it is out for
# so many times what is usual, or its aim. Its answer was lost on the way, or its work is very long; it says
# nothing of the load, and takes no place of the limit: where a fifth of the answers is lost, those places
# held back a third of the requests. It hurts by one attempt more where work itself is that long.
STRAY_PASSED, STRAY_USUAL = 4, 2.0

# Looked up for every answer; a member of an enumeration is found slowly.
OK, TIMEOUT, FULL = Outcome.OK, Outcome.TIMEOUT, Outcome.FULL


class Limits:
    """``limit``: attempts that may be out; ``out``: those that are, strays left out."""

    def __init__(self, mean_aim: float, paced: bool) -> None:
        self.tune(mean_aim)
        self.limit, self.even, self.share, self.out = 1.0 if paced else math.inf, 1.0, 0.0, 0
        self.rest_until = -math.inf
        self.start_step = LIMIT_START
        self.late = 0.0  # share of late answers, of late
        self.starting = True  # no answer has been late yet, and the limit is small

    def tune(self, mean_aim: float) -> None:
        self.quick_rate = QUICK_RATE / mean_aim

    def spread(self, share: float) -> None:
        """``share``: this sidecar's part of the servers that are listed."""
        self.share, self.even = share, max(LIMIT_EACH * share, LIMIT_EVEN)
        self.start_step = LIMIT_START * min((share / LIMIT_EACH) ** LIMIT_ROOT, 1.0)

    def restart(self) -> None:
        """With a list that was held: hundreds that start with several each would crowd every server."""
        if self.limit < math.inf:
            self.limit = self.even / LIMIT_EVEN

    def least(self) -> float:
        """The limit's lower end."""
        return max(LIMIT_MIN, LIMIT_EACH_MIN * self.share)

    def room(self, now: float) -> bool:
        if self.limit >= 1.0:
            return self.out < self.limit
        return self.out < 1.0 and now >= self.rest_until

    def calm(self, of: Class) -> bool:
        """Whether what is sent now meets no queue that this sidecar made."""
        calm = self.limit <= LIMIT_CALM * self.least() or self.limit == math.inf
        if self.starting and not calm:
            of.first += 1
            calm = of.first <= USUAL_FIRST
        return calm

    def on_pace(
        self, now: float, held: Held, attempt: Attempt, outcome: Outcome, latency: float, busy: bool
    ) -> None:
        """Moves the limit: up for a timely answer, down for one late or missing."""
        of, timely = held.of, False
        if outcome is OK:
            aim, quick = of.klass.aim_ms, of.quick if of.quick >= 0.0 else latency
            step, first = self.quick_rate * (now - of.at), QUICK_FIRST / (10.0 + of.seen)
            step = step if step < QUICK_STEP else QUICK_STEP
            step, of.at = aim * (first if first > step else step), now
            of.quick = max(quick + step * (QUICK - (latency < quick)), 0.0)
            # What is usual follows answers only where this sidecar itself makes no queue.
            usual = of.usual if of.usual >= 0.0 else latency
            if attempt.calm:
                of.calm += 1
                step = aim * max(USUAL_STEP, QUICK_FIRST / (10.0 + of.calm))
                usual = max(usual + step * (USUAL - (latency < usual)), 0.0)
            of.usual = usual
            most = max(quick + TIMELY * (aim - quick), usual if of.calm >= USUAL_LEAST else aim)
            timely = latency <= most * (held.scale if held.scale > 1.0 else 1.0)
        if timely:
            if attempt.server.late:
                self.pass_by(now, attempt)
            self.late *= LATE_ALPHA
            self.starting = self.starting and self.limit < LIMIT_SOON * self.even
            if busy:
                step = self.start_step if self.starting else LIMIT_UP * (self.even / self.limit) ** LIMIT_PULL
                self.limit += step if self.limit >= 1.0 else step * self.limit
        elif (outcome is OK or outcome is TIMEOUT or outcome is FULL) and not attempt.stray:
            self.limit = max(self.limit - LIMIT_DOWN * min(self.limit, 1.0), self.least())
            self.late = LATE_ALPHA * self.late + 1.0 - LATE_ALPHA
            self.starting = self.starting and self.late < LATE_START

    def pass_by(self, now: float, answered: Attempt) -> None:
        """A timely answer passes what was sent before it to its server and is long overdue."""
        for attempt in answered.server.out:
            of = attempt.of
            if not attempt.overdue or attempt.stray or attempt.sent >= answered.sent:
                continue
            aim = of.klass.aim_ms
            long = min(STRAY_USUAL * of.usual, aim) if of.calm >= USUAL_LEAST else aim
            attempt.passed += now - attempt.sent >= long
            if attempt.passed >= STRAY_PASSED:
                attempt.stray = True
                self.out -= 1
