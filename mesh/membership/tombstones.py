"""How long a dropped item of the membership is kept. No I/O; instants in seconds of the caller's clock.

An item's names never come back (an instance's id is of one life), so its tombstone may go when every copy
that could still say otherwise has heard of it. Who was out of touch for half of that time forgets what others
told it and asks for all anew.
"""

from __future__ import annotations

from collections.abc import Iterable

from mesh.replication.items import Item, Key

KEPT_S = 600.0
ASKS_ANEW_S = 0.5 * KEPT_S  # out of touch for so long
MOST = 4096  # beyond which the oldest go before their time


class Tombs:
    def __init__(self) -> None:
        self._since: dict[Key, float] = {}

    def note(self, now: float, items: Iterable[Item]) -> None:
        for item in items:
            if item.value is None:
                self._since.setdefault(item.key, now)
            else:
                self._since.pop(item.key, None)

    def ripe(self, now: float, most: int) -> list[Key]:
        """The first of those whose time is over; they stay until they are dropped."""
        found: list[Key] = []
        for key, since in self._since.items():
            if now - since < KEPT_S or len(found) >= most:
                break
            found.append(key)
        return found

    def drop(self, keys: Iterable[Key]) -> None:
        for key in keys:
            self._since.pop(key, None)

    def due(self, now: float) -> list[Key]:
        """Those whose time is over, forgotten here with this."""
        found = []
        for key, since in list(self._since.items()):  # in the order in which they came
            if now - since < KEPT_S and len(self._since) <= MOST:
                break
            del self._since[key]
            found.append(key)
        return found
