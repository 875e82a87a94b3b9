"""Retention of tombstones, the dropped items of the membership. No I/O; seconds of the caller's clock.

Names of dropped items are never reused (an instance id belongs to one incarnation), so a tombstone may be
removed once every replica that could still hold the old item has received the drop. A replica that was out
of contact for half of the retention time discards its received items and pulls all of them again.
"""

from __future__ import annotations

from collections.abc import Iterable

from mesh.replication.items import Item, Key

RETENTION_S = 600.0
RESYNC_AFTER_S = 0.5 * RETENTION_S  # out of contact for this long: pull all items again
MAX_TOMBSTONES = 4096  # beyond this the oldest are removed early


class Tombstones:
    """The tombstones of one store, by the time when each drop was first seen."""

    def __init__(self) -> None:
        self._since: dict[Key, float] = {}

    def note(self, now: float, items: Iterable[Item]) -> None:
        """Records new items: a drop starts its retention time, any other item ends it."""
        for item in items:
            if item.value is None:
                self._since.setdefault(item.key, now)
            else:
                self._since.pop(item.key, None)

    def expired(self, now: float, limit: int) -> list[Key]:
        """The first ``limit`` expired tombstones; they stay until `discard`."""
        found: list[Key] = []
        for key, since in self._since.items():
            if now - since < RETENTION_S or len(found) >= limit:
                break
            found.append(key)
        return found

    def discard(self, keys: Iterable[Key]) -> None:
        """Removes these tombstones."""
        for key in keys:
            self._since.pop(key, None)

    def pop_expired(self, now: float) -> list[Key]:
        """Removes and returns the expired tombstones and those beyond MAX_TOMBSTONES."""
        found = []
        for key, since in list(self._since.items()):  # in order of arrival
            if now - since < RETENTION_S and len(self._since) <= MAX_TOMBSTONES:
                break
            del self._since[key]
            found.append(key)
        return found
