"""What a control process shows of itself to operators: plain dicts out of its state, which stays as it is. No
I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from waterworks.headworks.questions import Handler, Told, common, items
from waterworks.sluice.membership import RESERVOIR

if TYPE_CHECKING:
    from waterworks.reservoir.program import Reservoir


def answers_of(reservoir: Reservoir, clock: Callable[[], float]) -> dict[str, Handler]:
    """The questions that a control process answers. ``clock`` gives seconds since 1970."""
    stores = {"charter": reservoir.charter, "roll": reservoir.roll}
    return {"status": lambda head: status(reservoir, clock()), "items": lambda head: items(stores, head)}


def status(reservoir: Reservoir, clock: float) -> Told:
    """How it stands. ``members``: whose disks count, by address, with zone and region; ``refused``: the
    disk's last word where that was no, else ""; ``control``: where it takes the operator's calls."""
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
        "in_touch": reservoir.council.in_touch(),
        "tolerates": {"machines": tolerance.machines, "zones": tolerance.zones, "regions": tolerance.regions},
        "members": {
            address: [place.zone, place.region]
            for address, place in sorted(reservoir.council.members().items())
        },
    }
