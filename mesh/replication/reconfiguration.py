"""The next change of members, the reasons against it, and how many more losses are tolerated. No I/O.

The proposing process (docs/design/control.md, "Members") passes in what it knows of each machine; the rest
comes from the view in force. Safety comes from the votes on the two epochs of a change. This module only
decides which change keeps the mesh available and meets the tolerance of the settings.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping

from msgspec import Struct

from mesh.replication.membership_epochs import MAX_MEMBERS, View
from mesh.replication.quorum import Place, Tolerance


class MemberStatus(Struct, frozen=True):
    """One machine as known to the proposing process. ``responding``: recently, over a link of its own;
    ``disk_complete``: its disk counts; ``synced_epoch``: the epoch it has caught up with (0: none);
    ``eligible``: it wants to be a member and has caught up; ``leaving``: it shuts down or its settings no
    longer count it; ``silent``, ``gone``: according to more than half of the members, for the shorter and the
    longer bound; ``removed``: by an operator; ``reachable_by_others``: it does not respond to the proposing
    process, but to another that was asked."""

    place: Place
    responding: bool = True
    disk_complete: bool = True
    synced_epoch: int = 0
    eligible: bool = True
    leaving: bool = False
    silent: bool = False
    gone: bool = False
    removed: bool = False
    reachable_by_others: bool = False


class Absence(Struct, frozen=True):
    """What more than half of the members know of one that does not respond to this process. ``silent``,
    ``gone``: for the shorter and the longer bound, and not because its zone is cut off; ``silent_s``: seconds
    for which none of them received a message from it; ``zone_silent``: no machine of its zone responded after
    it, or only just now."""

    silent: bool = False
    gone: bool = False
    silent_s: float = 0.0
    zone_silent: bool = False


PRESENT = Absence()


class LossMargin(Struct, frozen=True):
    """How many further losses of each kind leave writes possible, whichever they are; -1: none are possible
    now."""

    machines: int
    zones: int
    regions: int

    def below(self, tolerance: Tolerance) -> tuple[str, ...]:
        """The kinds of which fewer losses are tolerated than the settings require."""
        tolerated = {"machines": tolerance.machines, "zones": tolerance.zones, "regions": tolerance.regions}
        return tuple(kind for kind, least in tolerated.items() if least and getattr(self, kind) < least)


class ChangePlan(Struct, frozen=True):
    """``view``: the epoch to propose, or None; ``retained``: by address, why a leaving member cannot leave
    now; ``blocked_by``: why no pending change is proposed, else ""."""

    view: View | None
    retained: Mapping[str, str]
    blocked_by: str = ""


def responding_complete(statuses: Mapping[str, MemberStatus], names: Iterable[str]) -> frozenset[str]:
    """Those of ``names`` that respond and whose disks are complete."""
    return frozenset(
        name
        for name in names
        if name in statuses and statuses[name].responding and statuses[name].disk_complete
    )


def plan_change(view: View, statuses: Mapping[str, MemberStatus], tolerance: Tolerance) -> ChangePlan:
    """The next epoch, if a change is due; the same inputs give the same plan everywhere."""
    if not view.members:
        return ChangePlan(None, {}, "no view is known")
    if view.joint:
        return _plan_final_epoch(view, statuses, tolerance)
    return _plan_joint_epoch(view, statuses, tolerance)


def _plan_final_epoch(view: View, statuses: Mapping[str, MemberStatus], tolerance: Tolerance) -> ChangePlan:
    """The new members alone, once enough of them hold everything that was acknowledged before."""
    final = View(view.epoch + 1, view.members)
    present = responding_complete(statuses, view.names)
    synced = frozenset(name for name in present if statuses[name].synced_epoch >= view.epoch)
    if not final.durable(synced, tolerance):
        return ChangePlan(
            None, {}, f"caught up with epoch {view.epoch}: {_listed(synced & view.members.keys())}"
        )
    # A leaving member need not catch up; a remaining one refuses the vote until it has.
    if not view.durable(synced | (present - view.members.keys()), tolerance):
        return ChangePlan(
            None,
            {},
            f"of the previous view only {_listed(present & (view.previous_members or {}).keys())} respond",
        )
    return ChangePlan(final, {})


def _plan_joint_epoch(view: View, statuses: Mapping[str, MemberStatus], tolerance: Tolerance) -> ChangePlan:
    """The joint epoch that begins a change, with as many joining members as are safe."""
    joiners = sorted(
        name
        for name, status in statuses.items()
        if name not in view.members
        and status.eligible
        and status.responding
        and status.disk_complete
        and not (status.leaving or status.removed)
    )
    for count in range(min(len(joiners), max(MAX_MEMBERS - len(view.members), 0)), -1, -1):
        wanted, retained = _members_after_change(view, statuses, tolerance, joiners[:count])
        if _tolerates_losing_joiners(view, wanted, statuses, tolerance):
            break
    if wanted == dict(view.members):
        with_joiners = {**_current_places(view, statuses), **{name: statuses[name].place for name in joiners}}
        reason = _unsafe_reason(view, with_joiners, statuses, tolerance) or _blocking_members(view, statuses)
        return ChangePlan(None, retained, reason if joiners else "")
    if reason := _unsafe_reason(view, wanted, statuses, tolerance):
        return ChangePlan(None, retained, reason)
    return ChangePlan(View(view.epoch + 1, wanted, dict(view.members)), retained)


def _current_places(view: View, statuses: Mapping[str, MemberStatus]) -> dict[str, Place]:
    """The members in force, with the places that they report now."""
    return {name: statuses[name].place if name in statuses else place for name, place in view.members.items()}


def _members_after_change(
    view: View, statuses: Mapping[str, MemberStatus], tolerance: Tolerance, joiners: Collection[str]
) -> tuple[dict[str, Place], dict[str, str]]:
    """The members after a change in which ``joiners`` join, and why leaving members are retained."""
    wanted = {**_current_places(view, statuses), **{name: statuses[name].place for name in joiners}}
    if _unsafe_reason(view, wanted, statuses, tolerance):
        wanted = _current_places(view, statuses)  # e.g. a place not known yet requires more responders
        for name in joiners:
            if not _unsafe_reason(view, {**wanted, name: statuses[name].place}, statuses, tolerance):
                wanted[name] = statuses[name].place
    retained = {}
    for name in _leaving_members(view, statuses):
        rest = {one: place for one, place in wanted.items() if one != name}
        reason = _unsafe_reason(view, rest, statuses, tolerance)
        if (
            not reason
            and _only_silent(statuses[name])
            and not _raises_loss_margin(view, wanted, rest, statuses, tolerance)
        ):
            reason = "it has been silent for the shorter bound only, and its removal tolerates no more losses"
        if reason:
            retained[name] = reason
        else:
            wanted = rest
    return wanted, retained


def _tolerates_losing_joiners(
    view: View, wanted: Mapping[str, Place], statuses: Mapping[str, MemberStatus], tolerance: Tolerance
) -> bool:
    """Whether the joining members may be lost again at once, alone or with their zones, when a member is
    silent already and that loss would have been tolerated. A successor counted together with its predecessor
    would turn the loss of their zone into two losses, so it waits until the predecessor leaves in the same
    change. A member that responds to another process is no predecessor: it is not removed, and nothing waits
    for that."""
    members = [statuses[name] for name in wanted if name in view.members and name in statuses]
    if all(status.responding or status.reachable_by_others for status in members):
        return True
    remaining = responding_complete(statuses, wanted.keys() & view.members.keys())
    joining = [wanted[name] for name in wanted.keys() - view.members.keys()]
    zones = {place.zone for place in joining} if tolerance.zones else set()
    losses = [
        remaining,
        *(frozenset(name for name in remaining if wanted[name].zone != zone) for zone in zones),
    ]
    now, then = View(1, view.members), View(1, wanted)
    return all(then.durable(left, tolerance) or not now.durable(left, tolerance) for left in losses)


def _blocking_members(view: View, statuses: Mapping[str, MemberStatus]) -> str:
    """Names the silent members that joining members wait for."""
    silent = {name for name in view.members if name in statuses and not statuses[name].responding}
    return f"joining members wait until these respond or are removed: {_listed(silent)}" if silent else ""


def _leaving_members(view: View, statuses: Mapping[str, MemberStatus]) -> list[str]:
    """The members that are to leave, in the order in which they may: removed by an operator, not responding
    (losing them costs nothing), leaving by themselves."""
    found = [name for name in view.members if name in statuses and _is_leaving(statuses[name])]

    def rank(name: str) -> tuple[bool, bool, bool, str]:
        status = statuses[name]
        return (not status.removed, status.responding, not status.leaving, name)

    return sorted(found, key=rank)


def _is_leaving(status: MemberStatus) -> bool:
    return status.removed or status.leaving or (not status.responding and (status.gone or status.silent))


def _only_silent(status: MemberStatus) -> bool:
    return not (status.removed or status.leaving or status.gone)


def _raises_loss_margin(
    view: View,
    wanted: Mapping[str, Place],
    rest: Mapping[str, Place],
    statuses: Mapping[str, MemberStatus],
    tolerance: Tolerance,
) -> bool:
    """Whether one member less allows one more loss. An absent member that costs nothing is kept."""
    present = responding_complete(statuses, wanted)
    now, then = (
        loss_margin(View(1, wanted), present, tolerance),
        loss_margin(View(1, rest), present, tolerance),
    )
    return (then.machines, then.zones, then.regions) != (now.machines, now.zones, now.regions) and all(
        a >= b
        for a, b in ((then.machines, now.machines), (then.zones, now.zones), (then.regions, now.regions))
    )


def _unsafe_reason(
    view: View, wanted: Mapping[str, Place], statuses: Mapping[str, MemberStatus], tolerance: Tolerance
) -> str:
    """Why a change to these members is not safe to begin; "" if it is."""
    if not wanted:
        return "no members would be left"
    present = responding_complete(statuses, wanted)
    if not View(1, view.members).durable(present, tolerance):
        return f"of the view in force only {_listed(present & view.members.keys())} would respond and stay"
    if not View(1, wanted).durable(present, tolerance):
        return f"of the new view only {_listed(present)} would respond"
    for what, before, after, tolerated in (
        ("members", len(view.members), len(wanted), tolerance.machines),
        ("zones", _count_areas(view.members, "zone"), _count_areas(wanted, "zone"), tolerance.zones),
        ("regions", _count_areas(view.members, "region"), _count_areas(wanted, "region"), tolerance.regions),
    ):
        needed = 2 * tolerated + 1 if tolerated else 0
        if after < needed and after < before:
            return (
                f"{after} {what} would be left, {needed} are needed to bear what is asked: start a successor"
            )
    return ""


def _count_areas(members: Mapping[str, Place], kind: str) -> int:
    return len({getattr(place, kind) for place in members.values()} - {""})


def _listed(names: Collection[str]) -> str:
    return ", ".join(sorted(names)) or "nobody"


def loss_margin(view: View, present: Collection[str], tolerance: Tolerance) -> LossMargin:
    """``present``: members that respond and have complete disks. Each criterion of durability has a worst
    order of losses, in which the most harmful come first; the result is the fewest tolerated losses over
    these orders. Unknown places may lie in whichever area is lost."""
    up = frozenset(present) & view.names
    if not view.durable(up, tolerance):
        return LossMargin(-1, -1, -1)
    places = {**(view.previous_members or {}), **view.members}
    singles = [frozenset({name}) for name in sorted(up)]
    return LossMargin(
        _tolerated_losses(view, up, singles, places, tolerance),
        _tolerated_losses(view, up, _loss_units(up, places, "zone"), places, tolerance),
        _tolerated_losses(view, up, _loss_units(up, places, "region"), places, tolerance),
    )


def _loss_units(present: frozenset[str], places: Mapping[str, Place], kind: str) -> list[frozenset[str]]:
    """The members that are lost with each zone or region."""
    unknown = {name for name in present if not getattr(places[name], kind)}
    areas = sorted({getattr(places[name], kind) for name in present} - {""})
    found = [frozenset({n for n in present if getattr(places[n], kind) == area} | unknown) for area in areas]
    return found or ([frozenset(present)] if present else [])


def _tolerated_losses(
    view: View,
    present: frozenset[str],
    units: list[frozenset[str]],
    places: Mapping[str, Place],
    tolerance: Tolerance,
) -> int:
    orders = [sorted(units, key=lambda unit: -len(unit & view.members.keys()))]
    if view.previous_members is not None:
        before = view.previous_members
        orders.append(sorted(units, key=lambda unit: -len(unit & before.keys())))
    for kind in ("zone", "region"):
        held = [frozenset(getattr(places[name], kind) for name in unit) - {""} for unit in units]
        frequency = Counter(area for areas in held for area in areas)
        # An area is lost with all units that contain part of it: areas in the fewest units come first; where
        # a unit holds several areas (a region its zones), the unit with the most.
        key = [(-len(areas), min(((frequency[a], a) for a in areas), default=(0, ""))) for areas in held]
        orders.append([units[at] for at in sorted(range(len(units)), key=key.__getitem__)])
    least = len(units)
    for order in orders:
        left, count = present, 0
        for unit in order:
            left -= unit
            if not view.durable(left, tolerance):
                break
            count += 1
        least = min(least, count)
    return least
