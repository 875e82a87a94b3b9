"""Views: the voting members under an epoch, and the quorums of a view. No I/O.

A view is the item (VIEW, MEMBERS) of the configuration store; its version is the epoch, and it is agreed on
like any other slot (docs/design/control.md). A change uses joint consensus (Ongaro and Ousterhout, "In search
of an understandable consensus algorithm", 2014, section 6): the first epoch of a change has the members
``before`` and ``now`` and requires each quorum in both; the second, once the new members have caught up, has
``now`` alone.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from typing import Any

from mesh.replication.quorum import Place, Tolerance, durable, overlaps

VIEW, MEMBERS = "view", "members"  # kind and name of the one item that holds it
MAX_EPOCH = 1 << 52
MAX_MEMBERS = 64
MAX_CACHED_CHECKS = 512  # of one view; far fewer combinations of responders occur


@dataclass(frozen=True, slots=True)
class View:
    """``members`` by address, with their places; ``previous_members``: those of the view before while a
    change is in progress, else None. Epoch 0 without members: no view is known."""

    epoch: int
    members: Mapping[str, Place]
    previous_members: Mapping[str, Place] | None = None
    _cached_checks: dict[tuple[bool, frozenset[str], Tolerance], bool] = field(
        default_factory=dict, init=False, repr=False, compare=False
    )

    @property
    def joint(self) -> bool:
        """Whether a change is in progress."""
        return self.previous_members is not None

    @property
    def names(self) -> frozenset[str]:
        """The addresses of all members whose answers can count."""
        return frozenset(self.members) | frozenset(self.previous_members or ())

    def durable(self, holders: Collection[str], tolerance: Tolerance) -> bool:
        """Whether a write held by ``holders`` is chosen and survives a tolerated loss: an accept quorum."""
        return self._check(True, holders, tolerance)

    def overlaps(self, responders: Collection[str], tolerance: Tolerance) -> bool:
        """Whether every set that may have been durable under this view overlaps ``responders``: a prepare and
        read quorum. False without members."""
        return self._check(False, responders, tolerance)

    def _check(self, to_accept: bool, names: Collection[str], tolerance: Tolerance) -> bool:
        """Cached, because the same sets are checked many times a second."""
        key = (to_accept, frozenset(names), tolerance)
        satisfied = self._cached_checks.get(key)
        if satisfied is None:
            satisfied = all(
                durable(names, members, tolerance)
                if to_accept
                else bool(members) and overlaps(names, members, tolerance)
                for members in self._member_sets()
            )
            if len(self._cached_checks) >= MAX_CACHED_CHECKS:
                self._cached_checks.clear()
            self._cached_checks[key] = satisfied
        return satisfied

    def _member_sets(self) -> list[Mapping[str, Place]]:
        return [self.members] if self.previous_members is None else [self.previous_members, self.members]


EMPTY_VIEW = View(0, {})


def write_view(view: View) -> dict[str, Any]:
    """Encodes the value of the view's item; the item's version is the epoch."""
    value: dict[str, Any] = {"now": _write(view.members)}
    if view.previous_members is not None:
        value["before"] = _write(view.previous_members)
    return value


def read_view(epoch: object, value: Mapping[str, Any] | None) -> View:
    """Decodes a view. Raises ValueError for anything else."""
    if not isinstance(epoch, int) or not 0 < epoch < MAX_EPOCH or value is None:
        raise ValueError("a view needs an epoch of at least 1, and members")
    before = value.get("before")
    return View(epoch, _read(value.get("now")), None if before is None else _read(before))


def _write(members: Mapping[str, Place]) -> dict[str, list[str]]:
    return {name: [place.zone, place.region] for name, place in sorted(members.items())}


def _read(value: object) -> dict[str, Place]:
    if not isinstance(value, dict) or not 0 < len(value) <= MAX_MEMBERS:
        raise ValueError(f"a view needs 1 to {MAX_MEMBERS} members")
    found = {}
    for name, place in value.items():
        if not (isinstance(name, str) and isinstance(place, list) and len(place) == 2):
            raise ValueError("a member must be an address with a zone and a region")
        found[name] = Place(str(place[0]), str(place[1]))
    return found
