"""Which sets of machines make a write durable, and which sets overlap every durable set.

A write is durable once more than half of the members hold it and every tolerated loss leaves a holder. The
majority makes any two durable sets of one view overlap; the other condition lets a holder survive the loss. A
loss affects machines, or zones, or regions, not several kinds at once.
"""

from collections.abc import Collection, Mapping

from msgspec import Struct


class Place(Struct, frozen=True):
    """The location of a machine, "" where unknown. Zones are distinguished by name alone."""

    zone: str
    region: str


class Tolerance(Struct, frozen=True):
    """How many machines, zones or regions may be lost at once; 0 requires nothing of that kind."""

    machines: int
    zones: int
    regions: int


def durable(holders: Collection[str], members: Mapping[str, Place], tolerance: Tolerance) -> bool:
    """Whether a write held by ``holders`` is durable among ``members``; other machines are ignored.

    An unknown zone or region adds nothing, because it may be a lost one. If all members together could not
    survive a kind of loss (a single member and one lost machine, all members in one zone and one lost zone),
    that kind requires all members instead, so that a small mesh still accepts writes. Nothing is durable
    without members.
    """
    return _durable(holders, members, tolerance, count_unknown=False)


def overlaps(responders: Collection[str], members: Mapping[str, Place], tolerance: Tolerance) -> bool:
    """Whether every set that may have been durable overlaps ``responders``, machines whose disks are
    complete.

    That holds if the other members cannot have been durable. The process that considered them durable may
    have known places that are unknown here, so each unknown zone or region counts as one of its own. Monotone
    in ``responders``.
    """
    return not _durable(members.keys() - set(responders), members, tolerance, count_unknown=True)


def _durable(
    holders: Collection[str], members: Mapping[str, Place], tolerance: Tolerance, *, count_unknown: bool
) -> bool:
    holding = members.keys() & set(holders)
    if 2 * len(holding) <= len(members):
        return False
    if len(holding) == len(members):
        return True
    zones = {name: place.zone for name, place in members.items()}
    regions = {name: place.region for name, place in members.items()}
    return (
        len(holding) > tolerance.machines
        and (tolerance.zones == 0 or _distinct(holding, zones, count_unknown) > tolerance.zones)
        and (tolerance.regions == 0 or _distinct(holding, regions, count_unknown) > tolerance.regions)
    )


def _distinct(holding: Collection[str], area_by_name: Mapping[str, str], count_unknown: bool) -> int:
    known = {area_by_name[name] for name in holding if area_by_name[name]}
    return len(known) + (sum(not area_by_name[name] for name in holding) if count_unknown else 0)
