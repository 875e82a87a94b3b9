"""Measures how evenly attempts are spread over servers, in virtual time and over sockets alike.

Attempts are counted in cells of 50 ms. A server counts in a window if it is healthy throughout: up, listed,
warm, and neither slow nor failing. The fair share of a server is in proportion to its capacity. Compare the
figures with those of random choice on the same arrivals: chance alone makes all of them larger than zero.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

CELL_MS = 50.0
WINDOWS_MS = (500.0, 1000.0, 5000.0)
# A herd is counted in windows of this length that begin at most this long after its cause.
HERD_MS, HERD_OVER_MS = 250.0, 3000.0
MIN_FAIR_COUNT = 20.0  # least expected count of a pooled herd; below it, chance alone gives high ratios
# A server is unused if it receives nothing for this long although its fair share is this many a second.
UNUSED_MS, UNUSED_RATE = 5000.0, 2.0


class Cause(NamedTuple):
    """An event that many sidecars learn of at about the same time, and the servers that it concerns."""

    at: float
    kind: str
    servers: tuple[int, ...]


class Evenness:
    """Receives what happens at servers, in the order of the instants, and computes the measures.

    ``capacity`` is by server number; servers that start later are added. ``settle_ms``: the start of a run,
    which is not measured.
    """

    def __init__(self, settle_ms: float) -> None:
        self.settle_ms = settle_ms
        self.capacity: dict[int, float] = {}
        self.counts: dict[int, list[int]] = {}
        self.causes: list[Cause] = []
        self._marks: dict[int, list[tuple[float, str, bool]]] = {}
        self._state: dict[int, tuple[int, int]] = {}  # idle workers and queued calls
        self._last_ms, self._idle, self._waiting, self._workers = settle_ms, 0, 0, 0
        self._worker_counts: dict[int, int] = {}
        self.wasted = self.worked = 0.0  # worker-milliseconds: idle while another server had a queue; in all

    # Events

    def joins(self, server: int, capacity: float) -> None:
        """Called for each new server."""
        self.capacity[server] = capacity
        self.counts[server] = []

    def came(self, now: float, server: int) -> None:
        """Called when an attempt has arrived completely."""
        counts, cell = self.counts[server], int(now / CELL_MS)
        if len(counts) <= cell:
            counts.extend([0] * (cell + 1 - len(counts)))
        counts[cell] += 1

    def moved(self, now: float, server: int, workers: int, running: int, waiting: int) -> None:
        """Called when a server's numbers of running or queued calls change; 0 workers: it is down."""
        if now > self._last_ms:
            elapsed, self._last_ms = now - self._last_ms, now
            self.wasted += elapsed * (self._idle if self._idle < self._waiting else self._waiting)
            self.worked += elapsed * self._workers
        idle, queued = self._state.get(server, (0, 0))
        new = max(workers - running, 0), waiting if workers else 0
        self._state[server] = new
        self._idle += new[0] - idle
        self._waiting += new[1] - queued
        self._workers += workers - self._worker_counts.get(server, 0)
        self._worker_counts[server] = workers

    def mark(self, now: float, server: int, reason: str, unhealthy: bool) -> None:
        """Marks a server as unhealthy for a reason from now on, or as no longer so for that reason."""
        self._marks.setdefault(server, []).append((now, reason, unhealthy))

    def cause(self, now: float, kind: str, servers: Iterable[int] = ()) -> None:
        """Records an event that may cause a herd."""
        self.causes.append(Cause(now, kind, tuple(servers)))

    # Measures

    def waste(self) -> float:
        """Returns the share of all worker time that was idle while a call waited at another server."""
        return self.wasted / self.worked if self.worked > 0 else math.nan

    def dispersion(self, until: float) -> tuple[float, ...]:
        """Returns the spread of counts over servers, relative to that of independent random choice, for each
        window length: Pearson's statistic over its degrees of freedom, averaged over the windows."""
        healthy = self._healthy_cells(until)
        return tuple(self._dispersion(healthy, until, width) for width in WINDOWS_MS)

    def unused(self, until: float) -> int:
        """Counts the windows in which a healthy server received nothing despite a sufficient fair share."""
        healthy, missing = self._healthy_cells(until), 0
        for first, last in windows(self.settle_ms, until, UNUSED_MS):
            shares = self._fair_shares(healthy, first, last)
            total = sum(self._count(server, first, last) for server in shares)
            for server, share in shares.items():
                enough = share * total >= UNUSED_RATE * UNUSED_MS / 1000.0
                missing += enough and self._count(server, first, last) == 0
        return missing

    def herds(self, until: float) -> dict[str, float]:
        """Returns the strongest herd by kind of cause: the attempts that the servers concerned received in a
        quarter of a second, relative to their fair share of all attempts then. Counts are pooled over the
        causes of a kind for each delay since the cause; the highest ratio is returned."""
        width, strongest = int(HERD_MS / CELL_MS), dict[str, float]()
        for kind in {cause.kind for cause in self.causes if cause.servers}:
            causes = [c for c in self.causes if c.kind == kind and c.at + HERD_OVER_MS + HERD_MS <= until]
            most = math.nan
            for delay in range(int(HERD_OVER_MS / CELL_MS)):
                received = fair = 0.0
                for cause in causes:
                    first = int(cause.at / CELL_MS) + delay
                    total = sum(self._count(server, first, first + width) for server in self.counts)
                    total_capacity = sum(self.capacity.values())
                    for server in cause.servers:
                        received += self._count(server, first, first + width)
                        fair += total * self.capacity[server] / total_capacity
                if fair >= MIN_FAIR_COUNT and not received / fair <= most:
                    most = received / fair
            strongest[kind] = most
        return strongest

    def crest(self, until: float) -> float:
        """Returns the most attempts that any server received within a quarter of a second soon after a cause,
        relative to its fair share, averaged over the causes. With small shares, chance alone gives ratios far
        above 1."""
        width, crests = int(HERD_MS / CELL_MS), []
        total_capacity = sum(self.capacity.values())
        for cause in self.causes:
            if cause.at + HERD_OVER_MS + HERD_MS > until:
                continue
            begin = int(cause.at / CELL_MS)
            ends = begin + int(HERD_OVER_MS / CELL_MS)
            total = sum(self._count(server, begin, ends) for server in self.counts) * width / (ends - begin)
            if total <= 0:
                continue
            shares = {server: total * size / total_capacity for server, size in self.capacity.items()}
            crests.append(
                max(
                    self._count(server, at, at + width) / shares[server]
                    for server in self.counts
                    for at in range(begin, ends)
                )
            )
        return sum(crests) / len(crests) if crests else math.nan

    def _count(self, server: int, first: int, last: int) -> int:
        return sum(self.counts[server][first:last])

    def _healthy_cells(self, until: float) -> Mapping[int, Sequence[bool]]:
        """Returns for each server whether it is healthy in each cell."""
        cells, by_server = int(until / CELL_MS), dict[int, list[bool]]()
        for server in self.counts:
            cells_healthy, reasons, at = [True] * cells, set[str](), 0
            for now, reason, unhealthy in self._marks.get(server, ()):
                cell = min(int(now / CELL_MS) + (not unhealthy), cells)
                if reasons and cell > at:
                    cells_healthy[at:cell] = [False] * (cell - at)
                at = int(now / CELL_MS) if unhealthy and not reasons else max(cell, at) if reasons else at
                (reasons.add if unhealthy else reasons.discard)(reason)
            if reasons:
                cells_healthy[at:] = [False] * max(cells - at, 0)
            by_server[server] = cells_healthy
        return by_server

    def _fair_shares(self, healthy: Mapping[int, Sequence[bool]], first: int, last: int) -> dict[int, float]:
        """Returns the fair shares of the servers that are healthy throughout a window."""
        healthy_servers = [server for server, cells in healthy.items() if all(cells[first:last])]
        total_capacity = sum(self.capacity[server] for server in healthy_servers)
        return {server: self.capacity[server] / total_capacity for server in healthy_servers}

    def _dispersion(self, healthy: Mapping[int, Sequence[bool]], until: float, width: float) -> float:
        values = []
        for first, last in windows(self.settle_ms, until, width):
            shares = self._fair_shares(healthy, first, last)
            total = sum(self._count(server, first, last) for server in shares)
            if len(shares) < 2 or not total:
                continue
            spread = sum(
                (self._count(server, first, last) - total * share) ** 2 / (total * share)
                for server, share in shares.items()
            )
            values.append(spread / (len(shares) - 1))
        return sum(values) / len(values) if values else math.nan


def windows(begin: float, until: float, width: float) -> Iterable[tuple[int, int]]:
    """Yields the first and last cell (exclusive) of consecutive full windows."""
    size, at = int(width / CELL_MS), math.ceil(begin / CELL_MS)
    while (at + size) * CELL_MS <= until:
        yield at, at + size
        at += size
