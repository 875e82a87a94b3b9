"""Fair share of dispatches among calls of different rank. No I/O; times in milliseconds.

The wait queue dispatches by rank (`mesh.admission.wait_queue`), so in a long overload the lowest rank would
starve. A rank that falls far behind the average rate of dispatches gets the next slot, whatever else waits.
"""

from __future__ import annotations

import math

from msgspec import Struct

# Least rate of dispatches of a rank, as a share of the average rate. The requirement is a quarter; the rest
# covers calls that are lost after their dispatch.
MIN_RELATIVE_SHARE = 0.4
HALVING_PERIOD_MS = 5_000.0  # between two halvings of the counts, so that recent calls weigh most
RARE_RETENTION_MS = 60_000.0  # since the last call, for ranks with too few calls to be halved
MIN_CALLS = 6.0  # of a rank, from which on its rate is meaningful
MAX_RANKS = 64  # counted at once; a further one replaces the rarest


class RankCounts(Struct):
    """Calls of one rank; ``last_arrival`` is a time in milliseconds."""

    arrived: float = 0.0
    dispatched: float = 0.0
    last_arrival: float = 0.0

    @property
    def share(self) -> float:
        """The share of calls that were dispatched."""
        return self.dispatched / self.arrived


class FairShare:
    """Counts the calls for one upstream by rank."""

    def __init__(self) -> None:
        """No call has arrived."""
        self._counts: dict[float, RankCounts] = {}  # by rank
        self._halved_at = -math.inf

    def record_arrival(self, now: float, rank: float) -> None:
        """Counts the arrival of a call."""
        if now - self._halved_at > HALVING_PERIOD_MS:
            self._halved_at = now
            self._halve_counts(now)
        if rank not in self._counts and len(self._counts) >= MAX_RANKS:
            del self._counts[min(self._counts, key=lambda other: self._counts[other].arrived)]
        counts = self._counts.setdefault(rank, RankCounts())
        counts.arrived += 1.0
        counts.last_arrival = now

    def _halve_counts(self, now: float) -> None:
        """Counts of rare ranks are not halved: they would never reach MIN_CALLS, and starvation would stay
        unnoticed where many upstreams each receive few of the calls."""
        for rank, counts in list(self._counts.items()):
            if counts.arrived >= 2.0 * MIN_CALLS:
                counts.arrived, counts.dispatched = counts.arrived / 2.0, counts.dispatched / 2.0
            elif now - counts.last_arrival > RARE_RETENTION_MS:
                del self._counts[rank]

    def record_dispatch(self, rank: float) -> None:
        """Counts the dispatch of a call to the upstream."""
        if rank in self._counts:
            self._counts[rank].dispatched += 1.0

    def starved_ranks(self) -> list[float]:
        """Ranks dispatched at less than MIN_RELATIVE_SHARE of the average rate, the lowest rate first."""
        arrived = sum(counts.arrived for counts in self._counts.values())
        dispatched = sum(counts.dispatched for counts in self._counts.values())
        shares = {rank: counts.share for rank, counts in self._counts.items() if counts.arrived >= MIN_CALLS}
        found = [rank for rank, share in shares.items() if share * arrived < MIN_RELATIVE_SHARE * dispatched]
        return sorted(found, key=lambda rank: (shares[rank], rank))
