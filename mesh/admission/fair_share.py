"""How often calls of each kind are passed on here, against all of them. No I/O; instants in milliseconds.

A kind is told by its rank. Places go by rank (`mesh.admission.wait_queue`), so in a long overload the least
would get none at all; one that falls far behind has the next place, whatever else waits.
"""

from __future__ import annotations

import math

from msgspec import Struct

# Of how often all are passed on. A kind may be served a quarter as often as all requests are; the rest is for
# those of its calls that are lost behind this.
MIN_RELATIVE_SHARE = 0.4
HALVING_PERIOD_MS = 5_000.0  # counts are halved so often: what was long ago says little
RARE_RETENTION_MS = (
    60_000.0  # a kind of which too few come for that is remembered so long after its last call
)
MIN_CALLS = 6.0  # calls of a kind, from which its share says something
MAX_RANKS = 64  # that are counted at once; one more takes the place of the rarest


class RankCounts(Struct):
    """What became of one kind's calls; ``last`` is when one came."""

    arrived: float = 0.0
    dispatched: float = 0.0
    last_arrival: float = 0.0

    @property
    def share(self) -> float:
        """How often they are passed on."""
        return self.dispatched / self.arrived


class FairShare:
    """Of the calls for one upstream."""

    def __init__(self) -> None:
        """No call has come."""
        self._counts: dict[float, RankCounts] = {}  # by rank
        self._halved_at = -math.inf

    def record_arrival(self, now: float, rank: float) -> None:
        """A call of that kind has come."""
        if now - self._halved_at > HALVING_PERIOD_MS:
            self._halved_at = now
            self._halve_counts(now)
        if rank not in self._counts and len(self._counts) >= MAX_RANKS:
            del self._counts[min(self._counts, key=lambda kind: self._counts[kind].arrived)]
        kind = self._counts.setdefault(rank, RankCounts())
        kind.arrived += 1.0
        kind.last_arrival = now

    def _halve_counts(self, now: float) -> None:
        """Of a kind that comes seldom nothing is halved, or it would never have come often enough to be seen
        as starved: where there are many upstreams, each sees few of it."""
        for rank, kind in list(self._counts.items()):
            if kind.arrived >= 2.0 * MIN_CALLS:
                kind.arrived, kind.dispatched = kind.arrived / 2.0, kind.dispatched / 2.0
            elif now - kind.last_arrival > RARE_RETENTION_MS:
                del self._counts[rank]

    def record_dispatch(self, rank: float) -> None:
        """A call of that kind goes to the upstream."""
        if rank in self._counts:
            self._counts[rank].dispatched += 1.0

    def starved_ranks(self) -> list[float]:
        """The ranks whose calls are passed on less than LEAST as often as all, the least often first."""
        came = sum(kind.arrived for kind in self._counts.values())
        passed = sum(kind.dispatched for kind in self._counts.values())
        shares = {rank: kind.share for rank, kind in self._counts.items() if kind.arrived >= MIN_CALLS}
        found = [rank for rank, share in shares.items() if share * came < MIN_RELATIVE_SHARE * passed]
        return sorted(found, key=lambda rank: (shares[rank], rank))
