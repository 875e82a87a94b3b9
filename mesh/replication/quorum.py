"""Which sets of machines make a write durable, and which hear of every durable write.

A write is durable once more than half of the members hold it and every tolerated loss leaves a holder. The
half makes any two durable sets of one view meet; the rest makes a holder outlive the loss. A loss strikes
machines, or zones, or regions, not several kinds at once.
"""

from collections.abc import Collection, Mapping

from msgspec import Struct


class Place(Struct, frozen=True):
    """Where a machine stands, "" where that is unknown. Zones are told apart by name alone."""

    zone: str
    region: str


class Tolerance(Struct, frozen=True):
    """What may be lost at once: so many machines, or zones, or regions; 0 asks nothing of that kind."""

    machines: int
    zones: int
    regions: int


def durable(holders: Collection[str], members: Mapping[str, Place], tolerance: Tolerance) -> bool:
    """Whether what the machines ``have`` hold is durable among ``members``; others do not count.

    An unknown zone or region may be any, so also one of the lost: it adds nothing. Where all members together
    could not bear a kind of loss (a single member and one machine lost, all members in one zone and one zone
    lost), that kind asks for all members instead, so that a small mesh still takes writes and loses them only
    with a loss that nobody could have borne. Nothing is durable without members.
    """
    return _durable(holders, members, tolerance, count_unknown=False)


def overlaps(responders: Collection[str], members: Mapping[str, Place], tolerance: Tolerance) -> bool:
    """Whether every set that may have been durable meets ``heard``, machines whose disks are whole.

    That is so when the members not heard can't have been durable. Whoever called them durable may have known
    the places that are unknown here: each unknown zone or region is taken for one of its own. Monotone in
    ``heard``.
    """
    return not _durable(members.keys() - set(responders), members, tolerance, count_unknown=True)


def _durable(
    holders: Collection[str], members: Mapping[str, Place], tolerance: Tolerance, *, count_unknown: bool
) -> bool:
    held = members.keys() & set(holders)
    if 2 * len(held) <= len(members):
        return False
    if len(held) == len(members):
        return True
    zones = {name: place.zone for name, place in members.items()}
    regions = {name: place.region for name, place in members.items()}
    return (
        len(held) > tolerance.machines
        and (tolerance.zones == 0 or _distinct(held, zones, count_unknown) > tolerance.zones)
        and (tolerance.regions == 0 or _distinct(held, regions, count_unknown) > tolerance.regions)
    )


def _distinct(held: Collection[str], areas: Mapping[str, str], count_unknown: bool) -> int:
    known = {areas[name] for name in held if areas[name]}
    return len(known) + (sum(not areas[name] for name in held) if count_unknown else 0)
