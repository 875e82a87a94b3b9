"""Views: who counts, under an epoch, and the quorums of a view. No I/O.

A view is the item (VIEW, MEMBERS) of the charter; its version is the epoch, and it is agreed on like any
other number (docs/design/control.md). A change goes by joint consensus (Ongaro and Ousterhout, "In search of
an understandable consensus algorithm", 2014, section 6): the first epoch of a change has the members
``before`` and ``now`` and wants each quorum in both; the second, once the new ones are level, has ``now``
alone.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from typing import Any

from mesh.replication.quorum import Place, Tolerance, durable, overlaps

VIEW, MEMBERS = "view", "members"  # kind and name of the one item that holds it
MOST_EPOCH = 1 << 52
MOST_MEMBERS = 64
MOST_VERDICTS = 512  # of one view; its members hear of each other in far fewer combinations


@dataclass(frozen=True, slots=True)
class View:
    """``now``: members by address, with their places; ``before``: the members of the view before while the
    change is not over, else None. Epoch 0 and nobody: none is known."""

    epoch: int
    now: Mapping[str, Place]
    before: Mapping[str, Place] | None = None
    _verdicts: dict[tuple[bool, frozenset[str], Tolerance], bool] = field(
        default_factory=dict, init=False, repr=False, compare=False
    )

    @property
    def joint(self) -> bool:
        return self.before is not None

    @property
    def names(self) -> frozenset[str]:
        """All whose answers can count."""
        return frozenset(self.now) | frozenset(self.before or ())

    def durable(self, have: Collection[str], tolerance: Tolerance) -> bool:
        """Whether what ``have`` hold is agreed on and outlives what is tolerated: a quorum to accept."""
        return self._verdict(True, have, tolerance)

    def overlaps(self, heard: Collection[str], tolerance: Tolerance) -> bool:
        """Whether every set that may have been durable under this view meets ``heard``: a quorum to prepare,
        and to read. False where nobody is known."""
        return self._verdict(False, heard, tolerance)

    def _verdict(self, to_accept: bool, among: Collection[str], tolerance: Tolerance) -> bool:
        """Kept, since it is asked for the same sets many times a second."""
        key = (to_accept, frozenset(among), tolerance)
        found = self._verdicts.get(key)
        if found is None:
            found = all(
                durable(among, members, tolerance)
                if to_accept
                else bool(members) and overlaps(among, members, tolerance)
                for members in self._all()
            )
            if len(self._verdicts) >= MOST_VERDICTS:
                self._verdicts.clear()
            self._verdicts[key] = found
        return found

    def _all(self) -> list[Mapping[str, Place]]:
        return [self.now] if self.before is None else [self.before, self.now]


NOBODY = View(0, {})


def write_view(view: View) -> dict[str, Any]:
    """The item's value; its version is the epoch."""
    told: dict[str, Any] = {"now": _write(view.now)}
    if view.before is not None:
        told["before"] = _write(view.before)
    return told


def read_view(epoch: object, told: Mapping[str, Any] | None) -> View:
    """Raises ValueError for what is no view."""
    if not isinstance(epoch, int) or not 0 < epoch < MOST_EPOCH or told is None:
        raise ValueError("a view has an epoch from 1, and members")
    before = told.get("before")
    return View(epoch, _read(told.get("now")), None if before is None else _read(before))


def _write(members: Mapping[str, Place]) -> dict[str, list[str]]:
    return {name: [place.zone, place.region] for name, place in sorted(members.items())}


def _read(told: object) -> dict[str, Place]:
    if not isinstance(told, dict) or not 0 < len(told) <= MOST_MEMBERS:
        raise ValueError(f"a view names 1 to {MOST_MEMBERS} members")
    found = {}
    for name, place in told.items():
        if not (isinstance(name, str) and isinstance(place, list) and len(place) == 2):
            raise ValueError("a member is an address with zone and region")
        found[name] = Place(str(place[0]), str(place[1]))
    return found
