"""How evenly calls come to servers, by the same measures in virtual time and on sockets.

Counts are kept in cells of 50 ms. A server counts in a window while it is healthy all the way: up, listed,
warm and neither slow nor failing. Shares are by what each can do; beside a play's figures stand those of
random choice on the same arrivals, since chance alone makes some of everything measured here.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

CELL_MS = 50.0
WINDOWS_MS = (500.0, 1000.0, 5000.0)
HERD_MS, HERD_OVER_MS = 250.0, 3000.0  # what comes within so long, begun so late after a cause at the most
FAIR_LEAST = 20.0  # a pooled herd's fair part, at the least: of less, chance alone makes a multiple
UNUSED_MS, UNUSED_RATE = 5000.0, 2.0  # a server left idle: for so long, though so many a second were its part


class Cause(NamedTuple):
    """Something that many sidecars hear of at about one time. ``servers`` are those that it is about."""

    at: float
    what: str
    servers: tuple[int, ...]


class Evenness:
    """``capacity`` is what each server can do, by number; servers that come later add theirs. What is told
    has to be told in the order of its instants."""

    def __init__(self, settle_ms: float) -> None:
        self.settle_ms = settle_ms
        self.capacity: dict[int, float] = {}
        self.counts: dict[int, list[int]] = {}
        self.causes: list[Cause] = []
        self._marks: dict[int, list[tuple[float, str, bool]]] = {}
        self._state: dict[int, tuple[int, int]] = {}  # idle workers and calls that wait
        self._last_ms, self._idle, self._waiting, self._workers = settle_ms, 0, 0, 0
        self._worker_counts: dict[int, int] = {}
        self.wasted = self.worked = 0.0  # worker-milliseconds: idle while another queued; all

    # What happens

    def joins(self, server: int, capacity: float) -> None:
        """A server that the play has not had."""
        self.capacity[server] = capacity
        self.counts[server] = []

    def came(self, now: float, server: int) -> None:
        """An attempt is there whole."""
        counts, cell = self.counts[server], int(now / CELL_MS)
        if len(counts) <= cell:
            counts.extend([0] * (cell + 1 - len(counts)))
        counts[cell] += 1

    def moved(self, now: float, server: int, workers: int, running: int, waiting: int) -> None:
        """What a server has in hand now; 0 workers: it is down."""
        if now > self._last_ms:
            span, self._last_ms = now - self._last_ms, now
            self.wasted += span * (self._idle if self._idle < self._waiting else self._waiting)
            self.worked += span * self._workers
        idle, queued = self._state.get(server, (0, 0))
        new = max(workers - running, 0), waiting if workers else 0
        self._state[server] = new
        self._idle += new[0] - idle
        self._waiting += new[1] - queued
        self._workers += workers - self._worker_counts.get(server, 0)
        self._worker_counts[server] = workers

    def mark(self, now: float, server: int, reason: str, unhealthy: bool) -> None:
        """From now on a server is not to be counted on, for this reason; or no longer for it."""
        self._marks.setdefault(server, []).append((now, reason, unhealthy))

    def cause(self, now: float, what: str, servers: Iterable[int] = ()) -> None:
        self.causes.append(Cause(now, what, tuple(servers)))

    # What it came to

    def waste(self) -> float:
        """Worker time that was idle while a call waited at another server, of all."""
        return self.wasted / self.worked if self.worked > 0 else math.nan

    def dispersion(self, until: float) -> tuple[float, ...]:
        """For each window's length: the spread of counts over servers, of what independent random callers
        make of the same calls (Pearson's statistic over its degrees of freedom, the mean over windows)."""
        healthy = self._healthy_cells(until)
        return tuple(self._dispersion(healthy, until, width) for width in WINDOWS_MS)

    def unused(self, until: float) -> int:
        """Windows in which a healthy server had nothing though its part would have been enough."""
        healthy, missing = self._healthy_cells(until), 0
        for first, last in windows(self.settle_ms, until, UNUSED_MS):
            parts = self._parts(healthy, first, last)
            total = sum(self._count(server, first, last) for server in parts)
            for server, part in parts.items():
                enough = part * total >= UNUSED_RATE * UNUSED_MS / 1000.0
                missing += enough and self._count(server, first, last) == 0
        return missing

    def herds(self, until: float) -> dict[str, float]:
        """By kind of cause, the most that came to the servers that it was about within a quarter of a
        second, of their part of all that came then: pooled over the causes of a kind, at each time since
        the cause."""
        width, found = int(HERD_MS / CELL_MS), dict[str, float]()
        for what in {cause.what for cause in self.causes if cause.servers}:
            about = [c for c in self.causes if c.what == what and c.at + HERD_OVER_MS + HERD_MS <= until]
            most = math.nan
            for late in range(int(HERD_OVER_MS / CELL_MS)):
                got = fair = 0.0
                for cause in about:
                    first = int(cause.at / CELL_MS) + late
                    total = sum(self._count(server, first, first + width) for server in self.counts)
                    whole = sum(self.capacity.values())
                    for server in cause.servers:
                        got += self._count(server, first, first + width)
                        fair += total * self.capacity[server] / whole
                if fair >= FAIR_LEAST and not got / fair <= most:
                    most = got / fair
            found[what] = most
        return found

    def crest(self, until: float) -> float:
        """The most that came to any one server within a quarter of a second soon after a cause, of its
        part: the mean over the causes. Chance alone makes a multiple of 1 where parts are small."""
        width, crests = int(HERD_MS / CELL_MS), []
        whole = sum(self.capacity.values())
        for cause in self.causes:
            if cause.at + HERD_OVER_MS + HERD_MS > until:
                continue
            begin = int(cause.at / CELL_MS)
            ends = begin + int(HERD_OVER_MS / CELL_MS)
            total = sum(self._count(server, begin, ends) for server in self.counts) * width / (ends - begin)
            if total <= 0:
                continue
            parts = {server: total * size / whole for server, size in self.capacity.items()}
            crests.append(
                max(
                    self._count(server, at, at + width) / parts[server]
                    for server in self.counts
                    for at in range(begin, ends)
                )
            )
        return sum(crests) / len(crests) if crests else math.nan

    def _count(self, server: int, first: int, last: int) -> int:
        return sum(self.counts[server][first:last])

    def _healthy_cells(self, until: float) -> Mapping[int, Sequence[bool]]:
        """By server, whether it is healthy in each cell."""
        cells, found = int(until / CELL_MS), dict[int, list[bool]]()
        for server in self.counts:
            whole, why, at = [True] * cells, set[str](), 0
            for now, reason, unhealthy in self._marks.get(server, ()):
                cell = min(int(now / CELL_MS) + (not unhealthy), cells)
                if why and cell > at:
                    whole[at:cell] = [False] * (cell - at)
                at = int(now / CELL_MS) if unhealthy and not why else max(cell, at) if why else at
                (why.add if unhealthy else why.discard)(reason)
            if why:
                whole[at:] = [False] * max(cells - at, 0)
            found[server] = whole
        return found

    def _parts(self, healthy: Mapping[int, Sequence[bool]], first: int, last: int) -> dict[int, float]:
        """The part of each server that is healthy throughout."""
        there = [server for server, cells in healthy.items() if all(cells[first:last])]
        whole = sum(self.capacity[server] for server in there)
        return {server: self.capacity[server] / whole for server in there}

    def _dispersion(self, healthy: Mapping[int, Sequence[bool]], until: float, width: float) -> float:
        values = []
        for first, last in windows(self.settle_ms, until, width):
            parts = self._parts(healthy, first, last)
            total = sum(self._count(server, first, last) for server in parts)
            if len(parts) < 2 or not total:
                continue
            spread = sum(
                (self._count(server, first, last) - total * part) ** 2 / (total * part)
                for server, part in parts.items()
            )
            values.append(spread / (len(parts) - 1))
        return sum(values) / len(values) if values else math.nan


def windows(begin: float, until: float, width: float) -> Iterable[tuple[int, int]]:
    """Cells of whole windows, one after the other."""
    size, at = int(width / CELL_MS), math.ceil(begin / CELL_MS)
    while (at + size) * CELL_MS <= until:
        yield at, at + size
        at += size
