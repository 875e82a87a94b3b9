"""How often calls of each kind are passed on here, against all of them. No I/O; instants in milliseconds.

A kind is told by its rank. Places go by rank (`mesh.admission.wait_queue`), so in a long overload the least
would get none at all; one that falls far behind has the next place, whatever else waits.
"""

from __future__ import annotations

import math

from msgspec import Struct

# Of how often all are passed on. A kind may be served a quarter as often as all requests are; the rest is for
# those of its calls that are lost behind this.
LEAST = 0.4
HALVED_MS = 5_000.0  # counts are halved so often: what was long ago says little
RARE_MS = 60_000.0  # a kind of which too few come for that is remembered so long after its last call
FEW = 6.0  # calls of a kind, from which its share says something
KINDS = 64  # that are counted at once; one more takes the place of the rarest


class Kind(Struct):
    """What became of one kind's calls; ``last`` is when one came."""

    came: float = 0.0
    passed: float = 0.0
    last: float = 0.0

    @property
    def share(self) -> float:
        """How often they are passed on."""
        return self.passed / self.came


class Shares:
    """Of the calls for one upstream."""

    def __init__(self) -> None:
        """No call has come."""
        self._kinds: dict[float, Kind] = {}  # by rank
        self._since = -math.inf

    def came(self, now: float, rank: float) -> None:
        """A call of that kind has come."""
        if now - self._since > HALVED_MS:
            self._since = now
            self._fade(now)
        if rank not in self._kinds and len(self._kinds) >= KINDS:
            del self._kinds[min(self._kinds, key=lambda kind: self._kinds[kind].came)]
        kind = self._kinds.setdefault(rank, Kind())
        kind.came += 1.0
        kind.last = now

    def _fade(self, now: float) -> None:
        """Of a kind that comes seldom nothing is halved, or it would never have come often enough to be seen
        as starved: where there are many upstreams, each sees few of it."""
        for rank, kind in list(self._kinds.items()):
            if kind.came >= 2.0 * FEW:
                kind.came, kind.passed = kind.came / 2.0, kind.passed / 2.0
            elif now - kind.last > RARE_MS:
                del self._kinds[rank]

    def passed(self, rank: float) -> None:
        """A call of that kind goes to the upstream."""
        if rank in self._kinds:
            self._kinds[rank].passed += 1.0

    def behind(self) -> list[float]:
        """The ranks whose calls are passed on less than LEAST as often as all, the least often first."""
        came = sum(kind.came for kind in self._kinds.values())
        passed = sum(kind.passed for kind in self._kinds.values())
        shares = {rank: kind.share for rank, kind in self._kinds.items() if kind.came >= FEW}
        found = [rank for rank, share in shares.items() if share * came < LEAST * passed]
        return sorted(found, key=lambda rank: (shares[rank], rank))
