"""What part of the core's machines a deployment's `disturbance` asks for, by zones, and what the rest costs.

    python -m benchmarks.core_share                        a table of layouts
    python -m benchmarks.core_share 2,2,1 --machines 1     one: core machines by zone, what may be lost

The deploy file's `share` is of each zone's machines, rounded up. A share bears the loss where whatever may be
lost at once leaves more than half of those that are used, and where among those left every write that was
taken still has a holder, by the same function that decides when a write is durable. The last line is JSON.
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
    """How few machines of a layout bear a loss. ``share`` is the least of the deploy file's that uses no
    fewer; None where even all of them do not bear it."""

    layout: tuple[int, ...]
    machines: int
    zones: int
    paid: int
    needed: int | None
    share: float | None


def used(layout: Sequence[int], share: float) -> dict[str, Place]:
    """The machines that a share of each zone's uses."""
    return {
        f"{zone}-{number}": Place(str(zone), "region")
        for zone, count in enumerate(layout)
        for number in range(math.ceil(share * count))
    }


def losses(members: Mapping[str, Place], tolerance: Tolerance) -> Iterator[frozenset[str]]:
    """All that may be lost at once, the largest losses alone."""
    count = min(tolerance.machines, len(members))
    yield from map(frozenset, combinations(members, count))
    zones = sorted({place.zone for place in members.values()})
    for lost in combinations(zones, min(tolerance.zones, len(zones))):
        yield frozenset(name for name, place in members.items() if place.zone in lost)


def bears(members: Mapping[str, Place], tolerance: Tolerance) -> bool:
    """Whether writes go on and none is lost, whatever that is to be borne is lost."""
    for lost in losses(members, tolerance):
        left = members.keys() - lost
        if 2 * len(left) <= len(members) or not durable(left, members, tolerance):
            return False
        if not _holds(members, lost, tolerance):
            return False
    return True


def _holds(members: Mapping[str, Place], lost: Collection[str], tolerance: Tolerance) -> bool:
    """Whether no set that is taken for durable lies among the lost alone."""
    return not durable(lost, members, tolerance)


def shares(layout: Sequence[int]) -> list[float]:
    """Those that differ in how many machines they use, the least first; rounded up to hundredths."""
    steps = {math.ceil(100 * part / count) / 100 for count in layout for part in range(1, count + 1)}
    return sorted(steps)


def core_share(layout: Sequence[int], tolerance: Tolerance) -> CoreShare:
    """The least share of a layout that bears a loss."""
    least = next((one for one in shares(layout) if bears(used(layout, one), tolerance)), None)
    needed = None if least is None else len(used(layout, least))
    return CoreShare(tuple(layout), tolerance.machines, tolerance.zones, sum(layout), needed, least)


def main() -> None:
    """The command line."""
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
    print("| core by zone | to be borne | paid | needed | least share |\n| --- | --- | --- | --- | --- |")
    for one in rows:
        borne = f"{one.machines} machines" if one.machines else f"{one.zones} zones"
        needed = "more than there are" if one.needed is None else one.needed
        share = "-" if one.share is None else one.share
        print(f"| {', '.join(map(str, one.layout))} | {borne} | {one.paid} | {needed} | {share} |")
    print(json.dumps([asdict(one) for one in rows]))


if __name__ == "__main__":
    main()
