"""What a changed route can hurt, and so whether it is taken in stages. No I/O."""

from __future__ import annotations

from enum import Enum

from mesh.configuration.routes import Route


class ChangeKind(str, Enum):
    """How a new version of an item differs from the one in force."""

    ADDED = "added"  # until it is taken its requests get 404
    DROPPED = "dropped"  # its requests get 404 from then on, as the operator wants
    PLACED = "placed"  # another host or prefix: an addition and a drop
    ONCE = "once"  # its requests must not be repeated any more: the sooner, the safer
    MOVED = "moved"  # other services, or other shares
    BOUNDED = "bounded"  # another time-out, number of trials, or may be repeated from now on
    RANKED = "ranked"  # its aim or its priority, or nothing
    OTHER = "other"  # no route: a service's health path, limits


# In stages go those that can make sound requests fail. An addition cannot: its requests fail until it is
# taken. A drop is wanted, and its bound is the same for all.
STAGED = frozenset({ChangeKind.MOVED, ChangeKind.BOUNDED})


def kind_of(old: Route | None, new: Route | None) -> ChangeKind:
    """``old``: in force, None for none; ``new``: None where it is dropped."""
    if new is None:
        return ChangeKind.DROPPED
    if old is None:
        return ChangeKind.ADDED
    if (old.host, old.prefix) != (new.host, new.prefix):
        return ChangeKind.PLACED
    if new.effectful and not old.effectful:
        return ChangeKind.ONCE
    if dict(old.split) != dict(new.split):
        return ChangeKind.MOVED
    if (old.horizon_ms, old.trials, old.effectful) != (new.horizon_ms, new.trials, new.effectful):
        return ChangeKind.BOUNDED
    return ChangeKind.RANKED
