"""Which change of members comes next, why one may not, and how many more losses are borne. No I/O.

Whoever may propose (docs/design/control.md, "Members") gives what it knows of each machine; the view in force
gives the rest. Safety is not decided here: it comes from the votes on the two epochs of a change. What is
decided here is which change leaves the mesh able to go on, and no less able to lose than its settings ask.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping

from msgspec import Struct

from mesh.replication.membership_epochs import MAX_MEMBERS, View
from mesh.replication.quorum import Place, Tolerance


class MemberStatus(Struct, frozen=True):
    """One machine as the proposer knows it. ``heard``: lately, over a link of its own; ``whole``: its disk
    counts; ``level``: the epoch that it is level with (0: none); ``counts``: it wants to, and has caught up;
    ``leaves``: it was told to end, or its settings no longer count it; ``silent``, ``gone``: by the word of
    more than half, for the shorter and the longer bound; ``removed``: by an operator's word; ``reachable``:
    not heard by the proposer, but by another of those that it asked."""

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
    """What more than half of the members know of one that this process does not hear. ``silent``, ``gone``:
    for the shorter and the longer bound, and not by a cut of its zone; ``silent_s``: seconds for which none
    of them has heard it; ``zone_silent``: nobody of its zone was heard after it, or only just now."""

    silent: bool = False
    gone: bool = False
    silent_s: float = 0.0
    zone_silent: bool = False


PRESENT = Absence()


class LossMargin(Struct, frozen=True):
    """How many more losses of each kind leave orders going on, whichever they are; -1: they do not now."""

    machines: int
    zones: int
    regions: int

    def below(self, tolerance: Tolerance) -> tuple[str, ...]:
        """The kinds of which fewer are borne than the settings ask."""
        asked = {"machines": tolerance.machines, "zones": tolerance.zones, "regions": tolerance.regions}
        return tuple(kind for kind, least in asked.items() if least and getattr(self, kind) < least)


class ChangePlan(Struct, frozen=True):
    """``view``: the epoch to propose, or None; ``stays``: by address, why one that is to leave does not now;
    ``waits``: why nothing is proposed though something is to change, else ""."""

    view: View | None
    retained: Mapping[str, str]
    blocked_by: str = ""


def responding_complete(statuses: Mapping[str, MemberStatus], names: Iterable[str]) -> frozenset[str]:
    return frozenset(
        name
        for name in names
        if name in statuses and statuses[name].responding and statuses[name].disk_complete
    )


def plan_change(view: View, statuses: Mapping[str, MemberStatus], tolerance: Tolerance) -> ChangePlan:
    """The next epoch, if one is due. The same inputs give the same plan wherever it is made."""
    if not view.members:
        return ChangePlan(None, {}, "no view is known")
    if view.joint:
        return _plan_final_epoch(view, statuses, tolerance)
    return _plan_joint_epoch(view, statuses, tolerance)


def _plan_final_epoch(view: View, statuses: Mapping[str, MemberStatus], tolerance: Tolerance) -> ChangePlan:
    """The members of the joint epoch alone, once enough of them hold all that was acknowledged before."""
    alone = View(view.epoch + 1, view.members)
    there = responding_complete(statuses, view.names)
    level = frozenset(name for name in there if statuses[name].synced_epoch >= view.epoch)
    if not alone.durable(level, tolerance):
        return ChangePlan(
            None, {}, f"level with epoch {view.epoch}: {_join_names(level & view.members.keys())}"
        )
    # A member that leaves needs not be level; one that stays refuses the vote until it is.
    if not view.durable(level | (there - view.members.keys()), tolerance):
        return ChangePlan(
            None,
            {},
            f"of the view before only {_join_names(there & (view.previous_members or {}).keys())} are heard",
        )
    return ChangePlan(alone, {})


def _plan_joint_epoch(view: View, statuses: Mapping[str, MemberStatus], tolerance: Tolerance) -> ChangePlan:
    joiners = sorted(
        name
        for name, one in statuses.items()
        if name not in view.members
        and one.eligible
        and one.responding
        and one.disk_complete
        and not (one.leaving or one.removed)
    )
    for count in range(min(len(joiners), max(MAX_MEMBERS - len(view.members), 0)), -1, -1):
        wanted, stays = _members_after_change(view, statuses, tolerance, joiners[:count])
        if _tolerates_losing_joiners(view, wanted, statuses, tolerance):
            break
    if wanted == dict(view.members):
        late = {**_current_places(view, statuses), **{name: statuses[name].place for name in joiners}}
        why = _unsafe_reason(view, late, statuses, tolerance) or _blocking_members(view, statuses)
        return ChangePlan(None, stays, why if joiners else "")
    if why := _unsafe_reason(view, wanted, statuses, tolerance):
        return ChangePlan(None, stays, why)
    return ChangePlan(View(view.epoch + 1, wanted, dict(view.members)), stays)


def _current_places(view: View, statuses: Mapping[str, MemberStatus]) -> dict[str, Place]:
    """The members in force, with their places as they say them now."""
    return {name: statuses[name].place if name in statuses else place for name, place in view.members.items()}


def _members_after_change(
    view: View, statuses: Mapping[str, MemberStatus], tolerance: Tolerance, joiners: Collection[str]
) -> tuple[dict[str, Place], dict[str, str]]:
    """The members after a change in which these join, and why those that are to leave and do not stay."""
    wanted = {**_current_places(view, statuses), **{name: statuses[name].place for name in joiners}}
    if _unsafe_reason(view, wanted, statuses, tolerance):
        wanted = _current_places(
            view, statuses
        )  # e.g. a place that is not known yet asks for more than are heard
        for name in joiners:
            if not _unsafe_reason(view, {**wanted, name: statuses[name].place}, statuses, tolerance):
                wanted[name] = statuses[name].place
    stays = {}
    for name in _leaving_members(view, statuses):
        rest = {one: place for one, place in wanted.items() if one != name}
        why = _unsafe_reason(view, rest, statuses, tolerance)
        if (
            not why
            and _only_silent(statuses[name])
            and not _raises_loss_margin(view, wanted, rest, statuses, tolerance)
        ):
            why = "it has been silent for the shorter bound alone, and no more losses were borne without it"
        if why:
            stays[name] = why
        else:
            wanted = rest
    return wanted, stays


def _tolerates_losing_joiners(
    view: View, wanted: Mapping[str, Place], statuses: Mapping[str, MemberStatus], tolerance: Tolerance
) -> bool:
    """Whether those that join may be lost again at once, alone or with their zones, where a member is silent
    already and that loss would have been borne: a successor that counts beside its predecessor would make the
    loss of their zone two losses. It waits until the predecessor goes in the same change. A member that
    another hears is no predecessor: it is not taken out, and nobody waits for that."""
    members = [statuses[name] for name in wanted if name in view.members and name in statuses]
    if all(one.responding or one.reachable_by_others for one in members):
        return True
    stay = responding_complete(statuses, wanted.keys() & view.members.keys())
    joins = [wanted[name] for name in wanted.keys() - view.members.keys()]
    zones = {place.zone for place in joins} if tolerance.zones else set()
    losses = [stay, *(frozenset(name for name in stay if wanted[name].zone != zone) for zone in zones)]
    now, then = View(1, view.members), View(1, wanted)
    return all(then.durable(left, tolerance) or not now.durable(left, tolerance) for left in losses)


def _blocking_members(view: View, statuses: Mapping[str, MemberStatus]) -> str:
    silent = {name for name in view.members if name in statuses and not statuses[name].responding}
    return f"who joins waits until these are heard or taken out: {_join_names(silent)}" if silent else ""


def _leaving_members(view: View, statuses: Mapping[str, MemberStatus]) -> list[str]:
    """Those that are to leave, in the order in which they may: who was named by an operator, who is heard no
    more (what is lost already costs nothing), who said so itself."""
    found = [name for name in view.members if name in statuses and _is_leaving(statuses[name])]

    def rank(name: str) -> tuple[bool, bool, bool, str]:
        one = statuses[name]
        return (not one.removed, one.responding, not one.leaving, name)

    return sorted(found, key=rank)


def _is_leaving(one: MemberStatus) -> bool:
    return one.removed or one.leaving or (not one.responding and (one.gone or one.silent))


def _only_silent(one: MemberStatus) -> bool:
    return not (one.removed or one.leaving or one.gone)


def _raises_loss_margin(
    view: View,
    wanted: Mapping[str, Place],
    rest: Mapping[str, Place],
    statuses: Mapping[str, MemberStatus],
    tolerance: Tolerance,
) -> bool:
    """Whether a member less lets one more be lost. One that is away and costs nothing keeps its place."""
    there = responding_complete(statuses, wanted)
    now, then = loss_margin(View(1, wanted), there, tolerance), loss_margin(View(1, rest), there, tolerance)
    return (then.machines, then.zones, then.regions) != (now.machines, now.zones, now.regions) and all(
        a >= b
        for a, b in (
            (then.machines, now.machines),
            (then.zones, now.zones),
            (then.regions, now.regions),
        )
    )


def _unsafe_reason(
    view: View, wanted: Mapping[str, Place], statuses: Mapping[str, MemberStatus], tolerance: Tolerance
) -> str:
    """Why a change to these members is not safe to begin; "" where it is."""
    if not wanted:
        return "nobody would count"
    there = responding_complete(statuses, wanted)
    if not View(1, view.members).durable(there, tolerance):
        return f"of the view in force only {_join_names(there & view.members.keys())} would be heard and stay"
    if not View(1, wanted).durable(there, tolerance):
        return f"of the new view only {_join_names(there)} would be heard"
    for what, before, after, tolerated in (
        ("members", len(view.members), len(wanted), tolerance.machines),
        ("zones", _count_areas(view.members, "zone"), _count_areas(wanted, "zone"), tolerance.zones),
        ("regions", _count_areas(view.members, "region"), _count_areas(wanted, "region"), tolerance.regions),
    ):
        least = 2 * tolerated + 1 if tolerated else 0
        if after < least and after < before:
            return (
                f"{after} {what} would be left, {least} are needed to bear what is asked: start a successor"
            )
    return ""


def _count_areas(members: Mapping[str, Place], kind: str) -> int:
    return len({getattr(place, kind) for place in members.values()} - {""})


def _join_names(names: Collection[str]) -> str:
    return ", ".join(sorted(names)) or "nobody"


def loss_margin(view: View, available: Collection[str], tolerance: Tolerance) -> LossMargin:
    """``there``: members that are heard and whole. Each criterion of durability has a worst order of losses,
    in which those that hurt it most come first; the losses borne are the fewest over these orders. Unknown
    places may be in whichever area is lost."""
    up = frozenset(available) & view.names
    if not view.durable(up, tolerance):
        return LossMargin(-1, -1, -1)
    places = {**(view.previous_members or {}), **view.members}
    singles = [frozenset({name}) for name in sorted(up)]
    return LossMargin(
        _tolerated_losses(view, up, singles, places, tolerance),
        _tolerated_losses(view, up, _loss_units(up, places, "zone"), places, tolerance),
        _tolerated_losses(view, up, _loss_units(up, places, "region"), places, tolerance),
    )


def _loss_units(up: frozenset[str], places: Mapping[str, Place], kind: str) -> list[frozenset[str]]:
    """What is lost with each zone, or region."""
    unknown = {name for name in up if not getattr(places[name], kind)}
    areas = sorted({getattr(places[name], kind) for name in up} - {""})
    found = [frozenset({n for n in up if getattr(places[n], kind) == area} | unknown) for area in areas]
    return found or ([frozenset(up)] if up else [])


def _tolerated_losses(
    view: View,
    up: frozenset[str],
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
        often = Counter(area for areas in held for area in areas)
        # An area is lost with all units that reach into it: the ones in fewest first; where a unit holds
        # several areas (a region its zones), the unit with most.
        key = [(-len(areas), min(((often[a], a) for a in areas), default=(0, ""))) for areas in held]
        orders.append([units[at] for at in sorted(range(len(units)), key=key.__getitem__)])
    least = len(units)
    for order in orders:
        left, count = up, 0
        for unit in order:
            left -= unit
            if not view.durable(left, tolerance):
                break
            count += 1
        least = min(least, count)
    return least
