"""How often calls of each kind are passed on here, against all of them. No I/O; instants in milliseconds.

A kind is told by its rank. Places go by rank (`mesh.admission.wait_queue`), so in a long overload the least
would get none at all; one that falls far behind has the next place, whatever else waits.
"""

from __future__ import annotations

import math

# Of how often all are passed on. A kind may be served a quarter as often as all requests are; the rest is for
# those of its calls that are lost behind this.
LEAST = 0.4
HALVED_MS = 5_000.0  # counts are halved so often: what was long ago says little
FEW = 8.0  # calls of a kind, from which its share says something
KINDS = 64  # that are counted at once; one more takes the place of the rarest


class Shares:
    """Of the calls for one upstream."""

    def __init__(self) -> None:
        self._kinds: dict[float, list[float]] = {}  # by rank: how many came, how many were passed on
        self._since = -math.inf

    def came(self, now: float, rank: float) -> None:
        if now - self._since > HALVED_MS:
            self._since = now
            halved = {kind: [came / 2.0, passed / 2.0] for kind, (came, passed) in self._kinds.items()}
            self._kinds = {kind: counts for kind, counts in halved.items() if counts[0] >= 0.5}
        if rank not in self._kinds and len(self._kinds) >= KINDS:
            del self._kinds[min(self._kinds, key=lambda kind: self._kinds[kind][0])]
        self._kinds.setdefault(rank, [0.0, 0.0])[0] += 1.0

    def passed(self, rank: float) -> None:
        if rank in self._kinds:
            self._kinds[rank][1] += 1.0

    def behind(self) -> list[float]:
        """The ranks whose calls are passed on less than LEAST as often as all, the least often first."""
        came = sum(counts[0] for counts in self._kinds.values())
        passed = sum(counts[1] for counts in self._kinds.values())
        shares = {kind: counts[1] / counts[0] for kind, counts in self._kinds.items() if counts[0] >= FEW}
        found = [kind for kind, share in shares.items() if share * came < LEAST * passed]
        return sorted(found, key=lambda kind: (shares[kind], kind))
