"""Kinds of route changes by the harm that they can do, and which kinds are rolled out in stages. No I/O."""

from __future__ import annotations

from enum import Enum

from mesh.configuration.routes import Route


class ChangeKind(str, Enum):
    """How a new version of an item differs from the one in force."""

    ADDED = "added"  # its requests get 404 until it is in force
    DROPPED = "dropped"  # its requests get 404 from then on, as intended
    PLACED = "placed"  # another host or prefix, which is an addition and a drop
    ONCE = "once"  # its requests must not be repeated any more: the sooner it is in force, the safer
    MOVED = "moved"  # other services, or other shares of them
    BOUNDED = "bounded"  # another timeout or number of trials, or its requests may be repeated from now on
    RANKED = "ranked"  # another aim or priority, or no difference
    OTHER = "other"  # not a route: a service's health path, limits


# Kinds that can make working requests fail. An addition cannot, since its requests fail until it is in force;
# a drop is intended, and its bound is the same for all sidecars.
STAGED = frozenset({ChangeKind.MOVED, ChangeKind.BOUNDED})


def kind_of(old: Route | None, new: Route | None) -> ChangeKind:
    """Classifies a change. ``old``: the version in force or None; ``new``: None for a drop."""
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
