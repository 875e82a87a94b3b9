"""Computes the next version of a service's key map. No I/O; the caller proposes the result.

Released rows go to their next holders, vacant rows are granted, unavailable upstreams lose their rows, and
the busiest upstreams pass keys to the least busy.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Mapping, Sequence

from msgspec import Struct
from msgspec.structs import replace

from mesh.ownership.key_map import BUCKET, KEYS, MAX_ROWS, KeyMap, Row

MAX_IMBALANCE = 1.25  # times its share, above which the busiest upstream passes keys on
MOVES_SHARE, MIN_MOVES = 0.35, 6  # rows that move at once to balance load, per upstream
MIN_MOVE_SHARE = 0.08  # of an upstream's share of the load; a smaller piece is not moved
MAX_ROWS_PER_UPSTREAM = 12  # beyond that no row is split
MAX_PIECE_SHARE = 1.5  # times an upstream's share of the keys; a longer vacant row is granted in pieces


class Candidate(Struct, frozen=True):
    """An upstream of the service. ``eligible``: it may be granted keys and keeps those it has."""

    capacity: float
    eligible: bool


class Release(Struct, frozen=True):
    """The report that an upstream has released those keys, which it held under that fence."""

    instance: str
    first: int
    last: int
    fence: int
    handover: str

    def covers(self, row: Row) -> bool:
        """Whether the row is free because of this release."""
        return (
            row.leaving
            and self.instance == row.holder
            and self.fence == row.fence
            and self.first <= row.first
            and row.last <= self.last
        )


class Assignment:
    """One version of the map under construction."""

    def __init__(
        self, key_map: KeyMap, candidates: Mapping[str, Candidate], cumulative_load: Sequence[float]
    ) -> None:
        """``cumulative_load``: shares of the traffic up to each bucket (`KeyLoad.cumulative_shares`)."""
        self.rows, self.last_fence = list(key_map.rows), key_map.last_fence
        self._candidates = candidates
        self._eligible = sorted(name for name, one in candidates.items() if one.eligible)
        self._cumulative_load = cumulative_load
        capacity = sum(candidates[name].capacity for name in self._eligible)
        self._share = {name: candidates[name].capacity / capacity for name in self._eligible}
        self._loads = dict.fromkeys(self._eligible, 0.0)  # of the rows that each will finally hold
        for row in self.rows:
            if row.final_holder in self._loads:
                self._loads[row.final_holder] += self.load(row)

    def load(self, row: Row) -> float:
        """The row's share of the service's traffic."""
        return self._cumulative_load[(row.last + 1) // BUCKET] - self._cumulative_load[row.first // BUCKET]

    # Released rows

    def transfer_released(self, releases: Collection[Release], lease_expired: Callable[[Row], bool]) -> None:
        """Passes rows on that their holders have released, or whose leases have expired."""
        by_holder: dict[str, list[Release]] = {}
        for release in releases:
            by_holder.setdefault(release.instance, []).append(release)
        for index, row in enumerate(self.rows):
            if not row.leaving:
                continue
            found = [release for release in by_holder.get(row.holder, ()) if release.covers(row)]
            if not found and not lease_expired(row):
                continue
            freed = replace(row, holder="", next_holder=None, handover=found[0].handover if found else "")
            self.rows[index] = (
                self._granted(freed, row.next_holder) if row.next_holder in self._share else freed
            )

    def _granted(self, row: Row, instance: str | None) -> Row:
        assert instance is not None
        self.last_fence += 1
        return replace(row, holder=instance, fence=self.last_fence, next_holder=None)

    # Unavailable upstreams

    def vacate_unavailable(self) -> None:
        """Starts the removal of rows from upstreams that drain, are gone or silent, also as next holders."""
        for index, row in enumerate(self.rows):
            if row.vacant:
                continue
            if row.next_holder is None and row.holder not in self._share:
                self.rows[index] = self._with_next_holder(row)
            elif row.leaving and row.next_holder not in self._share:
                self.rows[index] = self._with_next_holder(row)

    def _with_next_holder(self, row: Row) -> Row:
        holder = self._least_busy()
        if holder:
            self._loads[holder] += self.load(row)
        return replace(row, next_holder=holder)

    def _least_busy(self) -> str:
        """The upstream with the least load for its capacity; "" if there is none."""
        return min(self._eligible, key=lambda name: (self._loads[name] / self._share[name], name), default="")

    # Vacant rows

    def grant_vacant(self) -> None:
        """Grants vacant rows, long or busy ones in pieces."""
        if not self._eligible:
            return
        rows: list[Row] = []
        for row in self.rows:
            if not row.vacant:
                rows.append(row)
                continue
            for piece in self._pieces(row, MAX_ROWS - len(self.rows) - len(rows)):
                holder = self._least_busy()
                self._loads[holder] += self.load(piece)
                rows.append(self._granted(piece, holder))
        self.rows = rows

    def _pieces(self, row: Row, room: int) -> list[Row]:
        """Pieces of about equal load, none above `MAX_PIECE_SHARE` of an upstream's share of the keys."""
        count = len(self._eligible)
        by_load = self.load(row) * count
        by_keys = (
            row.key_count * count / KEYS / MAX_PIECE_SHARE
            if row.key_count * count > MAX_PIECE_SHARE * KEYS
            else 1.0
        )
        wanted = min(math.ceil(max(by_load, by_keys)), max(room, 1), row.key_count // BUCKET)
        pieces, left = [], row
        for number in range(wanted, 1, -1):
            cut = self._cut_after(left, self.load(left) / number)
            if cut is None:
                break
            pieces.append(replace(left, last=cut - 1))
            left = replace(left, first=cut)
        return [*pieces, left]

    def _cut_after(self, row: Row, load: float) -> int | None:
        """The first key of the bucket before which the row has about that load; None if it is a single
        bucket."""
        first, last = row.first // BUCKET, (row.last + 1) // BUCKET
        if last - first < 2:
            return None
        wanted = self._cumulative_load[first] + load
        low, high = first + 1, last - 1
        while low < high:
            middle = (low + high) // 2
            if self._cumulative_load[middle] < wanted:
                low = middle + 1
            else:
                high = middle
        if low - 1 > first and wanted - self._cumulative_load[low - 1] < self._cumulative_load[low] - wanted:
            low -= 1
        return low * BUCKET

    # Load balancing

    def balance(self) -> None:
        """Moves the piece with the fewest keys that helps from the busiest to the least busy upstream,
        repeatedly, as long as further moves may be in progress."""
        if len(self._eligible) < 2:
            return
        moving = sum(row.leaving for row in self.rows)
        room = max(MIN_MOVES, int(MOVES_SHARE * len(self._eligible))) - moving
        stuck: set[str] = set()
        while room > 0:
            busy = max(
                (name for name in self._eligible if name not in stuck),
                key=lambda name: (self._loads[name] / self._share[name], name),
                default="",
            )
            if not busy or self._loads[busy] <= MAX_IMBALANCE * self._share[busy]:
                return
            if self._move_from(busy):
                room -= 1
            else:
                stuck.add(busy)

    def _move_from(self, busy: str) -> bool:
        idle = self._least_busy()
        wanted = min(
            self._loads[busy] - self._share[busy],
            max(self._share[idle] - self._loads[idle], 0.5 * (self._loads[busy] - self._loads[idle])),
        )
        if wanted < MIN_MOVE_SHARE * self._share[busy]:
            return False
        found: tuple[float, int, Row] | None = None
        for index, row in enumerate(self.rows):
            if row.holder != busy or row.leaving:
                continue
            for piece in self._movable_parts(row, wanted):
                load = self.load(piece)
                if load > 1.2 * wanted or load < MIN_MOVE_SHARE * self._share[busy]:
                    continue
                if self._loads[idle] + load >= self._loads[busy]:
                    continue
                cost = piece.key_count / KEYS + 0.05 * self._share[busy] * (load < 0.4 * wanted)
                if found is None or cost / load < found[0]:
                    found = (cost / load, index, piece)
        if found is None:
            return False
        _, index, piece = found
        self._move(index, piece, idle)
        return True

    def _movable_parts(self, row: Row, load: float) -> list[Row]:
        """The row itself, or its beginning and its end with about that load."""
        if self.load(row) <= 1.1 * load or len(self.rows) >= MAX_ROWS_PER_UPSTREAM * len(self._eligible):
            return [row]
        head, tail = self._cut_after(row, load), self._cut_after(row, self.load(row) - load)
        parts = [replace(row, last=head - 1)] if head is not None else []
        return parts + ([replace(row, first=tail)] if tail is not None else [])

    def _move(self, index: int, piece: Row, target: str) -> None:
        row, load = self.rows[index], self.load(piece)
        self._loads[row.holder] -= load
        self._loads[target] += load
        parts = [replace(piece, next_holder=target)]
        if row.first < piece.first:
            parts.insert(0, replace(row, last=piece.first - 1))
        if piece.last < row.last:
            parts.append(replace(row, first=piece.last + 1))
        self.rows[index : index + 1] = parts


def empty_map() -> KeyMap:
    """The map before any upstream holds a key."""
    return KeyMap(0, 0, [Row(0, KEYS - 1)])


def next_map(
    key_map: KeyMap,
    candidates: Mapping[str, Candidate],
    cumulative_load: Sequence[float],
    releases: Collection[Release],
    lease_expired: Callable[[Row], bool],
    balanced: bool,
) -> tuple[int, list[Row]] | None:
    """The highest fence and the rows of the next version; None if nothing changes. ``lease_expired``: a
    leaving row has been known for so long that no upstream can hold it any more. ``balanced``: the load is
    known and may move keys."""
    assignment = Assignment(key_map, candidates, cumulative_load)
    assignment.transfer_released(releases, lease_expired)
    assignment.vacate_unavailable()
    assignment.grant_vacant()
    if balanced:
        assignment.balance()
    if tuple(assignment.rows) == key_map.rows:
        return None
    return assignment.last_fence, assignment.rows
