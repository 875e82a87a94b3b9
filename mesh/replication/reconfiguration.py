"""Which change of members comes next, why one may not, and how many more losses are borne. No I/O.

Whoever may propose (docs/design/control.md, "Members") gives what it knows of each machine; the view in force
gives the rest. Safety is not decided here: it comes from the votes on the two epochs of a change. What is
decided here is which change leaves the mesh able to go on, and no less able to lose than its settings ask.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping

from msgspec import Struct

from mesh.replication.membership_epochs import MOST_MEMBERS, View
from mesh.replication.quorum import Place, Tolerance


class Known(Struct, frozen=True):
    """One machine as the proposer knows it. ``heard``: lately, over a link of its own; ``whole``: its disk
    counts; ``level``: the epoch that it is level with (0: none); ``counts``: it wants to, and has caught up;
    ``leaves``: it was told to end, or its settings no longer count it; ``silent``, ``gone``: by the word of
    more than half, for the shorter and the longer bound; ``removed``: by an operator's word; ``reachable``:
    not heard by the proposer, but by another of those that it asked."""

    place: Place
    heard: bool = True
    whole: bool = True
    level: int = 0
    counts: bool = True
    leaves: bool = False
    silent: bool = False
    gone: bool = False
    removed: bool = False
    reachable: bool = False


class Absence(Struct, frozen=True):
    """What more than half of the members know of one that this process does not hear. ``silent``, ``gone``:
    for the shorter and the longer bound, and not by a cut of its zone; ``silent_s``: seconds for which none
    of them has heard it; ``zone_silent``: nobody of its zone was heard after it, or only just now."""

    silent: bool = False
    gone: bool = False
    silent_s: float = 0.0
    zone_silent: bool = False


PRESENT = Absence()


class Borne(Struct, frozen=True):
    """How many more losses of each kind leave orders going on, whichever they are; -1: they do not now."""

    machines: int
    zones: int
    regions: int

    def below(self, tolerance: Tolerance) -> tuple[str, ...]:
        """The kinds of which fewer are borne than the settings ask."""
        asked = {"machines": tolerance.machines, "zones": tolerance.zones, "regions": tolerance.regions}
        return tuple(kind for kind, least in asked.items() if least and getattr(self, kind) < least)


class Plan(Struct, frozen=True):
    """``view``: the epoch to propose, or None; ``stays``: by address, why one that is to leave does not now;
    ``waits``: why nothing is proposed though something is to change, else ""."""

    view: View | None
    stays: Mapping[str, str]
    waits: str = ""


def heard_whole(known: Mapping[str, Known], names: Iterable[str]) -> frozenset[str]:
    return frozenset(name for name in names if name in known and known[name].heard and known[name].whole)


def plan(view: View, known: Mapping[str, Known], tolerance: Tolerance) -> Plan:
    """The next epoch, if one is due. The same inputs give the same plan wherever it is made."""
    if not view.now:
        return Plan(None, {}, "no view is known")
    if view.joint:
        return _finish(view, known, tolerance)
    return _begin(view, known, tolerance)


def _finish(view: View, known: Mapping[str, Known], tolerance: Tolerance) -> Plan:
    """The members of the joint epoch alone, once enough of them hold all that was acknowledged before."""
    alone = View(view.epoch + 1, view.now)
    there = heard_whole(known, view.names)
    level = frozenset(name for name in there if known[name].level >= view.epoch)
    if not alone.durable(level, tolerance):
        return Plan(None, {}, f"level with epoch {view.epoch}: {_names(level & view.now.keys())}")
    # A member that leaves needs not be level; one that stays refuses the vote until it is.
    if not view.durable(level | (there - view.now.keys()), tolerance):
        return Plan(
            None, {}, f"of the view before only {_names(there & (view.before or {}).keys())} are heard"
        )
    return Plan(alone, {})


def _begin(view: View, known: Mapping[str, Known], tolerance: Tolerance) -> Plan:
    joiners = sorted(
        name
        for name, one in known.items()
        if name not in view.now and one.counts and one.heard and one.whole and not (one.leaves or one.removed)
    )
    for count in range(min(len(joiners), max(MOST_MEMBERS - len(view.now), 0)), -1, -1):
        wanted, stays = _wanted(view, known, tolerance, joiners[:count])
        if _holds_without(view, wanted, known, tolerance):
            break
    if wanted == dict(view.now):
        late = {**_places(view, known), **{name: known[name].place for name in joiners}}
        why = _why_not(view, late, known, tolerance) or _why_joiners_wait(view, known)
        return Plan(None, stays, why if joiners else "")
    if why := _why_not(view, wanted, known, tolerance):
        return Plan(None, stays, why)
    return Plan(View(view.epoch + 1, wanted, dict(view.now)), stays)


def _places(view: View, known: Mapping[str, Known]) -> dict[str, Place]:
    """The members in force, with their places as they say them now."""
    return {name: known[name].place if name in known else place for name, place in view.now.items()}


def _wanted(
    view: View, known: Mapping[str, Known], tolerance: Tolerance, joiners: Collection[str]
) -> tuple[dict[str, Place], dict[str, str]]:
    """The members after a change in which these join, and why those that are to leave and do not stay."""
    wanted = {**_places(view, known), **{name: known[name].place for name in joiners}}
    if _why_not(view, wanted, known, tolerance):
        wanted = _places(view, known)  # e.g. a place that is not known yet asks for more than are heard
        for name in joiners:
            if not _why_not(view, {**wanted, name: known[name].place}, known, tolerance):
                wanted[name] = known[name].place
    stays = {}
    for name in _leavers(view, known):
        rest = {one: place for one, place in wanted.items() if one != name}
        why = _why_not(view, rest, known, tolerance)
        if not why and _early(known[name]) and not _gains(view, wanted, rest, known, tolerance):
            why = "it has been silent for the shorter bound alone, and no more losses were borne without it"
        if why:
            stays[name] = why
        else:
            wanted = rest
    return wanted, stays


def _holds_without(
    view: View, wanted: Mapping[str, Place], known: Mapping[str, Known], tolerance: Tolerance
) -> bool:
    """Whether those that join may be lost again at once, alone or with their zones, where a member is silent
    already and that loss would have been borne: a successor that counts beside its predecessor would make the
    loss of their zone two losses. It waits until the predecessor goes in the same change. A member that
    another hears is no predecessor: it is not taken out, and nobody waits for that."""
    members = [known[name] for name in wanted if name in view.now and name in known]
    if all(one.heard or one.reachable for one in members):
        return True
    stay = heard_whole(known, wanted.keys() & view.now.keys())
    joins = [wanted[name] for name in wanted.keys() - view.now.keys()]
    zones = {place.zone for place in joins} if tolerance.zones else set()
    losses = [stay, *(frozenset(name for name in stay if wanted[name].zone != zone) for zone in zones)]
    now, then = View(1, view.now), View(1, wanted)
    return all(then.durable(left, tolerance) or not now.durable(left, tolerance) for left in losses)


def _why_joiners_wait(view: View, known: Mapping[str, Known]) -> str:
    silent = {name for name in view.now if name in known and not known[name].heard}
    return f"who joins waits until these are heard or taken out: {_names(silent)}" if silent else ""


def _leavers(view: View, known: Mapping[str, Known]) -> list[str]:
    """Those that are to leave, in the order in which they may: who was named by an operator, who is heard no
    more (what is lost already costs nothing), who said so itself."""
    found = [name for name in view.now if name in known and _leaves(known[name])]

    def rank(name: str) -> tuple[bool, bool, bool, str]:
        one = known[name]
        return (not one.removed, one.heard, not one.leaves, name)

    return sorted(found, key=rank)


def _leaves(one: Known) -> bool:
    return one.removed or one.leaves or (not one.heard and (one.gone or one.silent))


def _early(one: Known) -> bool:
    return not (one.removed or one.leaves or one.gone)


def _gains(
    view: View,
    wanted: Mapping[str, Place],
    rest: Mapping[str, Place],
    known: Mapping[str, Known],
    tolerance: Tolerance,
) -> bool:
    """Whether a member less lets one more be lost. One that is away and costs nothing keeps its place."""
    there = heard_whole(known, wanted)
    now, then = borne(View(1, wanted), there, tolerance), borne(View(1, rest), there, tolerance)
    return (then.machines, then.zones, then.regions) != (now.machines, now.zones, now.regions) and all(
        a >= b
        for a, b in (
            (then.machines, now.machines),
            (then.zones, now.zones),
            (then.regions, now.regions),
        )
    )


def _why_not(
    view: View, wanted: Mapping[str, Place], known: Mapping[str, Known], tolerance: Tolerance
) -> str:
    """Why a change to these members is not safe to begin; "" where it is."""
    if not wanted:
        return "nobody would count"
    there = heard_whole(known, wanted)
    if not View(1, view.now).durable(there, tolerance):
        return f"of the view in force only {_names(there & view.now.keys())} would be heard and stay"
    if not View(1, wanted).durable(there, tolerance):
        return f"of the new view only {_names(there)} would be heard"
    for what, before, after, tolerated in (
        ("members", len(view.now), len(wanted), tolerance.machines),
        ("zones", _areas(view.now, "zone"), _areas(wanted, "zone"), tolerance.zones),
        ("regions", _areas(view.now, "region"), _areas(wanted, "region"), tolerance.regions),
    ):
        least = 2 * tolerated + 1 if tolerated else 0
        if after < least and after < before:
            return (
                f"{after} {what} would be left, {least} are needed to bear what is asked: start a successor"
            )
    return ""


def _areas(members: Mapping[str, Place], kind: str) -> int:
    return len({getattr(place, kind) for place in members.values()} - {""})


def _names(names: Collection[str]) -> str:
    return ", ".join(sorted(names)) or "nobody"


def borne(view: View, there: Collection[str], tolerance: Tolerance) -> Borne:
    """``there``: members that are heard and whole. Each criterion of durability has a worst order of losses,
    in which those that hurt it most come first; the losses borne are the fewest over these orders. Unknown
    places may be in whichever area is lost."""
    up = frozenset(there) & view.names
    if not view.durable(up, tolerance):
        return Borne(-1, -1, -1)
    places = {**(view.before or {}), **view.now}
    singles = [frozenset({name}) for name in sorted(up)]
    return Borne(
        _survived(view, up, singles, places, tolerance),
        _survived(view, up, _units(up, places, "zone"), places, tolerance),
        _survived(view, up, _units(up, places, "region"), places, tolerance),
    )


def _units(up: frozenset[str], places: Mapping[str, Place], kind: str) -> list[frozenset[str]]:
    """What is lost with each zone, or region."""
    unknown = {name for name in up if not getattr(places[name], kind)}
    areas = sorted({getattr(places[name], kind) for name in up} - {""})
    found = [frozenset({n for n in up if getattr(places[n], kind) == area} | unknown) for area in areas]
    return found or ([frozenset(up)] if up else [])


def _survived(
    view: View,
    up: frozenset[str],
    units: list[frozenset[str]],
    places: Mapping[str, Place],
    tolerance: Tolerance,
) -> int:
    orders = [sorted(units, key=lambda unit: -len(unit & view.now.keys()))]
    if view.before is not None:
        before = view.before
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
