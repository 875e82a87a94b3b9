"""The limit on attempts in flight: raised by timely answers, lowered by late and missing ones."""

from __future__ import annotations

import math

from hareloom.interface import Outcome
from hareloom.records import Attempt, ClassRecord, OpenRequest

# The limit on attempts in flight: its minimum, its steps up for a timely answer and down for a late or
# missing one, in proportion below 1. Below `even`, LIMIT_PER_SERVER a server over all sidecars, the step up
# is larger. A start adds start_step until LATE_START of the answers, smoothed by LATE_ALPHA, are late, or
# until LIMIT_START_MAX times `even`: a start into full load needs many times its first limit within a second,
# more where servers work on many requests at once, and one late answer says little where service times vary.
# LIMIT_PER_SERVER_MIN a server over all sidecars stays: if servers themselves are slow, every answer is late.
LIMIT_MIN, LIMIT_UP, LIMIT_DOWN = 0.1, 0.1, 0.2
LIMIT_PER_SERVER, LIMIT_EVEN_MIN, UP_POWER = 3.0, 2.0, 0.25
LIMIT_START, LIMIT_START_MAX, LIMIT_PER_SERVER_MIN = 0.5, 32.0, 1.0
# Sidecars that share few servers start by smaller steps, by this power of each one's part of them: with the
# whole step 200 sidecars had 400 attempts in flight at 15 servers before the first late answer. The cost: a
# slow start where one of very many sidecars carries most of the traffic.
LIMIT_START_POWER = 0.6
# An answer is timely within TIMELY_SHARE of what the aim leaves beyond the class's low quantile of latency,
# `quick`; a larger share keeps queues from which some servers do not recover. `quick` moves by QUICK_STEP of
# the aim an answer, by more at first: if it followed within a second, a standing queue would raise it, become
# timely and stay. Where service times are about that long, a third of the answers was late without any queue
# and the limit fell to its minimum, so latencies up to the high quantile, `usual`, are timely too. `usual` is
# learnt only from attempts sent while this sidecar causes no queue: the limit is at most UNQUEUED_LIMIT times
# its minimum, or it is one of the first USUAL_START_SENDS of a start. Until USUAL_MIN samples the whole aim
# is timely.
TIMELY_SHARE, QUICK_QUANTILE, QUICK_STEP, QUICK_FIRST = 0.25, 0.2, 0.002, 0.5
QUICK_RATE = 0.115  # most that `quick` moves in a mean aim's time, in aims: many short calls step often
USUAL_QUANTILE, USUAL_STEP, UNQUEUED_LIMIT, USUAL_START_SENDS, USUAL_MIN = 0.8, 0.005, 2.0, 50, 30
LATE_ALPHA, LATE_START = 0.9, 0.5
# An attempt is presumed lost once LOST_PASSED timely answers to later attempts at its server have come while
# it is out for LOST_USUAL times `usual`, or for its aim. Its answer was lost on the way or its work is very
# long, so it says nothing of the load and no longer counts towards the limit: with a fifth of the answers
# lost, such attempts held back a third of the requests. The cost: one attempt too many where the work itself
# is that long.
LOST_PASSED, LOST_USUAL = 4, 2.0

# Module-level names, since enum member lookup is slow and this runs for every answer.
OK, TIMEOUT, FULL = Outcome.OK, Outcome.TIMEOUT, Outcome.FULL


class AttemptLimit:
    """``limit``: attempts allowed in flight; ``inflight``: their number now, without those presumed lost."""

    def __init__(self, mean_aim: float, paced: bool) -> None:
        self.tune(mean_aim)
        self.limit, self.even, self.share, self.inflight = 1.0 if paced else math.inf, 1.0, 0.0, 0
        self.paused_until = -math.inf
        self.start_step = LIMIT_START
        self.late_share = 0.0  # recent share of late answers
        self.starting = True  # few answers have been late yet, and the limit is small

    def tune(self, mean_aim: float) -> None:
        self.quick_rate = QUICK_RATE / mean_aim

    def update_share(self, share: float) -> None:
        self.share, self.even = share, max(LIMIT_PER_SERVER * share, LIMIT_EVEN_MIN)
        self.start_step = LIMIT_START * min((share / LIMIT_PER_SERVER) ** LIMIT_START_POWER, 1.0)

    def restart(self) -> None:
        """Starts low with a cached list: hundreds of sidecars that start together would overload servers."""
        if self.limit < math.inf:
            self.limit = self.even / LIMIT_EVEN_MIN

    def minimum(self) -> float:
        return max(LIMIT_MIN, LIMIT_PER_SERVER_MIN * self.share)

    def room(self, now: float) -> bool:
        """Returns whether another attempt may be sent now."""
        if self.limit >= 1.0:
            return self.inflight < self.limit
        return self.inflight < 1.0 and now >= self.paused_until

    def unqueued(self, record: ClassRecord) -> bool:
        """Returns whether an attempt sent now meets no queue that this sidecar caused."""
        unqueued = self.limit <= UNQUEUED_LIMIT * self.minimum() or self.limit == math.inf
        if self.starting and not unqueued:
            record.start_sends += 1
            unqueued = record.start_sends <= USUAL_START_SENDS
        return unqueued

    def adjust(
        self, now: float, pending: OpenRequest, attempt: Attempt, outcome: Outcome, latency: float, busy: bool
    ) -> None:
        """Updates the latency quantiles and raises or lowers the limit after an attempt."""
        record, timely = pending.record, False
        if outcome is OK:
            aim, quick = record.klass.aim_ms, record.quick if record.quick >= 0.0 else latency
            step, first = self.quick_rate * (now - record.answered_at), QUICK_FIRST / (10.0 + record.seen)
            step = step if step < QUICK_STEP else QUICK_STEP
            step, record.answered_at = aim * (first if first > step else step), now
            record.quick = max(quick + step * (QUICK_QUANTILE - (latency < quick)), 0.0)
            # `usual` follows answers only while this sidecar causes no queue.
            usual = record.usual if record.usual >= 0.0 else latency
            if attempt.unqueued:
                record.unqueued += 1
                step = aim * max(USUAL_STEP, QUICK_FIRST / (10.0 + record.unqueued))
                usual = max(usual + step * (USUAL_QUANTILE - (latency < usual)), 0.0)
            record.usual = usual
            bound = max(quick + TIMELY_SHARE * (aim - quick), usual if record.unqueued >= USUAL_MIN else aim)
            timely = latency <= bound * (pending.scale if pending.scale > 1.0 else 1.0)
        if timely:
            if attempt.server.overdue_count:
                self.mark_lost(now, attempt)
            self.late_share *= LATE_ALPHA
            self.starting = self.starting and self.limit < LIMIT_START_MAX * self.even
            if busy:
                step = self.start_step if self.starting else LIMIT_UP * (self.even / self.limit) ** UP_POWER
                self.limit += step if self.limit >= 1.0 else step * self.limit
        elif (outcome is OK or outcome is TIMEOUT or outcome is FULL) and not attempt.presumed_lost:
            self.limit = max(self.limit - LIMIT_DOWN * min(self.limit, 1.0), self.minimum())
            self.late_share = LATE_ALPHA * self.late_share + 1.0 - LATE_ALPHA
            self.starting = self.starting and self.late_share < LATE_START

    def mark_lost(self, now: float, answered: Attempt) -> None:
        """Counts a timely answer against earlier attempts at its server that are long overdue."""
        for attempt in answered.server.attempts:
            record = attempt.record
            if not attempt.overdue or attempt.presumed_lost or attempt.sent_at >= answered.sent_at:
                continue
            aim = record.klass.aim_ms
            overdue_ms = min(LOST_USUAL * record.usual, aim) if record.unqueued >= USUAL_MIN else aim
            attempt.passed += now - attempt.sent_at >= overdue_ms
            if attempt.passed >= LOST_PASSED:
                attempt.presumed_lost = True
                self.inflight -= 1
