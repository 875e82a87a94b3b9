"""How long a dropped item of the membership is kept. No I/O; instants in seconds of the caller's clock.

An item's names never come back (an instance's id is of one life), so its tombstone may go when every copy
that could still say otherwise has heard of it. Who was out of touch for half of that time forgets what others
told it and asks for all anew.
"""

from __future__ import annotations

from collections.abc import Iterable

from mesh.replication.items import Item, Key

RETENTION_S = 600.0
RESYNC_AFTER_S = 0.5 * RETENTION_S  # out of touch for so long
MAX_TOMBSTONES = 4096  # beyond which the oldest go before their time


class Tombstones:
    def __init__(self) -> None:
        self._since: dict[Key, float] = {}

    def note(self, now: float, items: Iterable[Item]) -> None:
        for item in items:
            if item.value is None:
                self._since.setdefault(item.key, now)
            else:
                self._since.pop(item.key, None)

    def expired(self, now: float, most: int) -> list[Key]:
        """The first of those whose time is over; they stay until they are dropped."""
        found: list[Key] = []
        for key, since in self._since.items():
            if now - since < RETENTION_S or len(found) >= most:
                break
            found.append(key)
        return found

    def discard(self, keys: Iterable[Key]) -> None:
        for key in keys:
            self._since.pop(key, None)

    def pop_expired(self, now: float) -> list[Key]:
        """Those whose time is over, forgotten here with this."""
        found = []
        for key, since in list(self._since.items()):  # in the order in which they came
            if now - since < RETENTION_S and len(self._since) <= MAX_TOMBSTONES:
                break
            del self._since[key]
            found.append(key)
        return found
