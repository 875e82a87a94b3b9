"""What a control process shows of itself to operators: plain dicts out of its state, which stays as it is. No
I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from waterworks.aquifer.views import VIEW
from waterworks.headworks.questions import Handler, Refusal, Told, common, items
from waterworks.reservoir.rollouts import NAMED
from waterworks.sluice.membership import RESERVOIR

MOST_SHOWN = 20  # changes, or sidecars of a first part, of one answer

if TYPE_CHECKING:
    from waterworks.reservoir.program import Reservoir


def answers_of(reservoir: Reservoir, clock: Callable[[], float]) -> dict[str, Handler]:
    """The questions that a control process answers. ``clock`` gives seconds since 1970."""
    stores = {"charter": reservoir.charter, "roll": reservoir.roll}
    return {
        "status": lambda head: status(reservoir, clock()),
        "items": lambda head: items(stores, head),
        "rollouts": lambda head: rollouts(reservoir),
        "rollout": lambda head: rollout(reservoir, str(head["kind"]), str(head["name"])),
    }


def rollouts(reservoir: Reservoir) -> Told:
    """The changes of late, the newest first: how many items, how many sidecars have not confirmed all of
    them, the first of these, and what the first part said."""
    now, known = reservoir.loop.time(), reservoir.rollouts
    told = []
    for one in list(known.rollouts)[: -MOST_SHOWN - 1 : -1]:
        names = sorted(f"{name} r{version}" for (_, name), version in one.versions.items())
        told.append(
            {
                "ago_ms": round((now - one.known) * 1000.0),
                "items": len(names),
                "named": names[:NAMED],
                "missing": len(one.missing),
                "lack": sorted(one.missing)[:NAMED],
                "took_ms": round((one.done - one.known) * 1000.0) if one.done is not None else None,
                "worse": sorted(name for _, name in one.worse)[:NAMED],
                "sound": len(one.sound),
            }
        )
    return {"sidecars": len(reservoir.membership.draw().nodes), "rollouts": told}


def rollout(reservoir: Reservoir, kind: str, name: str) -> Told | Refusal:
    """One item as it stands: who goes by it, and who has not said so. ``word``: calls and failures by the new
    way of the first part, and by its old one."""
    item = reservoir.charter.items.get((kind, name))
    if item is None or kind == VIEW:
        return Refusal(f"{kind} {name[:80]!r}: no such item; config get shows all")
    lack, now = reservoir.rollouts.lacking(item.key), reservoir.loop.time()
    heard = reservoir.rollouts.heard
    draw = reservoir.membership.draw()
    new, old = reservoir.rollouts.counted(item.key)
    return {
        "version": item.version,
        "dropped": item.value is None,
        "sidecars": len(draw.nodes),
        "missing": len(lack),
        "lack": [
            [node, round((now - heard[node]) * 1000.0) if node in heard else None] for node in lack[:NAMED]
        ],
        "first": sorted(draw.first(kind, name, item.version))[:MOST_SHOWN],
        "word": [new.n, new.bad, old.n, old.bad],
    }


def status(reservoir: Reservoir, clock: float) -> Told:
    """How it stands. ``members``: whose disks count, by address, with zone and region; ``refused``: the
    disk's last word where that was no, else ""; ``control``: where it takes the operator's calls; ``duties``:
    who has which, under which epoch, as known here, and whether this process acts on it."""
    settings, ledger = reservoir.settings, reservoir.ledger
    control = settings.ports.control
    tolerance = settings.tolerance
    return {
        **common(settings, reservoir.charter, reservoir.roll, clock),
        "role": RESERVOIR,
        "ending": reservoir.stopping.is_set(),
        "control": f"{control[0]}:{control[1]}" if control is not None else "",
        "counted": settings.counted,
        "whole": ledger.whole,
        "refused": ledger.refused,
        "in_touch": reservoir.council.contact(),
        "duties": reservoir.duties.told(),
        "tolerates": {"machines": tolerance.machines, "zones": tolerance.zones, "regions": tolerance.regions},
        "members": {
            address: [place.zone, place.region]
            for address, place in sorted(reservoir.council.members().items())
        },
    }
