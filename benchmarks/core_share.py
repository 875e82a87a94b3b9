"""Determines the share of the core machines that must be used to tolerate a given loss, by zones.

    python -m benchmarks.core_share                        a table of layouts
    python -m benchmarks.core_share 2,2,1 --machines 1     one layout (core machines by zone) and tolerance

The `share` of the deploy file applies to the machines of each zone and is rounded up. A share tolerates a
loss if more than half of the used machines remain after it, whichever are lost, and if every accepted write
still has a holder among them, according to the function that decides when a write is durable. The last line
is JSON.
"""

from __future__ import annotations

import argparse
import json
import math
from collections.abc import Collection, Iterator, Mapping, Sequence
from dataclasses import asdict, dataclass
from itertools import combinations

from mesh.replication.quorum import Place, Tolerance, durable

LAYOUTS: tuple[tuple[int, ...], ...] = (
    (1, 1, 1),
    (2, 2, 1),
    (2, 2, 2),
    (3, 3, 3),
    (3,),
    (5,),
    (2, 1),
    (3, 2),
)
TOLERANCES = (Tolerance(1, 0, 0), Tolerance(2, 0, 0), Tolerance(0, 1, 0))


@dataclass(frozen=True, slots=True)
class CoreShare:
    """The smallest number of machines of a layout that tolerates a loss, and the smallest ``share`` in the
    deploy file that uses them; both are None if not even all machines tolerate it."""

    layout: tuple[int, ...]
    machines: int
    zones: int
    paid: int
    needed: int | None
    share: float | None


def used_machines(layout: Sequence[int], share: float) -> dict[str, Place]:
    """Returns the machines that are used with this share of each zone."""
    return {
        f"{zone}-{number}": Place(str(zone), "region")
        for zone, count in enumerate(layout)
        for number in range(math.ceil(share * count))
    }


def possible_losses(members: Mapping[str, Place], tolerance: Tolerance) -> Iterator[frozenset[str]]:
    """Yields the sets of machines that may be lost at once, only those of the maximum size."""
    count = min(tolerance.machines, len(members))
    yield from map(frozenset, combinations(members, count))
    zones = sorted({place.zone for place in members.values()})
    for lost in combinations(zones, min(tolerance.zones, len(zones))):
        yield frozenset(name for name, place in members.items() if place.zone in lost)


def tolerates_loss(members: Mapping[str, Place], tolerance: Tolerance) -> bool:
    """Whether writes continue and none is lost after any tolerated loss."""
    for lost in possible_losses(members, tolerance):
        left = members.keys() - lost
        if 2 * len(left) <= len(members) or not durable(left, members, tolerance):
            return False
        if not _keeps_all_writes(members, lost, tolerance):
            return False
    return True


def _keeps_all_writes(members: Mapping[str, Place], lost: Collection[str], tolerance: Tolerance) -> bool:
    """Whether no durable set consists of lost machines only."""
    return not durable(lost, members, tolerance)


def distinct_shares(layout: Sequence[int]) -> list[float]:
    """Returns the shares that use different numbers of machines, ascending, rounded up to hundredths."""
    steps = {math.ceil(100 * part / count) / 100 for count in layout for part in range(1, count + 1)}
    return sorted(steps)


def core_share(layout: Sequence[int], tolerance: Tolerance) -> CoreShare:
    """Returns the smallest share of a layout that tolerates a loss."""
    smallest = next(
        (
            share
            for share in distinct_shares(layout)
            if tolerates_loss(used_machines(layout, share), tolerance)
        ),
        None,
    )
    needed = None if smallest is None else len(used_machines(layout, smallest))
    return CoreShare(tuple(layout), tolerance.machines, tolerance.zones, sum(layout), needed, smallest)


def main() -> None:
    """Runs the command."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("layout", nargs="?", help="core machines by zone, as 2,2,1")
    parser.add_argument("--machines", type=int, default=0)
    parser.add_argument("--zones", type=int, default=0)
    options = parser.parse_args()
    layouts: Sequence[Sequence[int]] = LAYOUTS
    tolerances: Sequence[Tolerance] = TOLERANCES
    if options.layout:
        layouts = (tuple(int(part) for part in options.layout.split(",")),)
        tolerances = (Tolerance(options.machines, options.zones, 0),)
    rows = [core_share(layout, tolerance) for tolerance in tolerances for layout in layouts]
    print(
        "| core by zone | tolerated loss | machines | needed | min. share |\n| --- | --- | --- | --- | --- |"
    )
    for row in rows:
        loss = f"{row.machines} machines" if row.machines else f"{row.zones} zones"
        needed = "more than available" if row.needed is None else row.needed
        share = "-" if row.share is None else row.share
        print(f"| {', '.join(map(str, row.layout))} | {loss} | {row.paid} | {needed} | {share} |")
    print(json.dumps([asdict(row) for row in rows]))


if __name__ == "__main__":
    main()
