"""The key maps of sharded services, and the counts of requests by key at the first hop. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import Any

from mesh.ownership.key_map import BUCKET, KeyMap, read_map
from mesh.replication.items import Item

KEY_HEADER = b"shard-key"  # names a request's key
MAX_COUNTED = 4096  # requests counted between two reports


class KeyMaps:
    """Key maps of all services of this proxy."""

    def __init__(self) -> None:
        """Starts without maps."""
        self._sharded: set[str] = set()
        self.by_service: dict[str, KeyMap] = {}
        self._counts: dict[str, Counter[int]] = {}

    def apply_service(self, name: str, value: Mapping[str, Any] | None) -> None:
        """Applies a service's item."""
        if value is not None and value.get("sharded") is True:
            self._sharded.add(name)
        else:
            self._sharded.discard(name)

    def apply_map(self, item: Item) -> None:
        """Applies a map. An unreadable one is from a newer release and is ignored."""
        if item.value is None:
            self.by_service.pop(item.name, None)
            return
        try:
            self.by_service[item.name] = read_map(item.version, item.value)
        except (KeyError, TypeError, ValueError):
            return

    def is_sharded(self, service: str) -> bool:
        """Whether that service is sharded by key."""
        return service in self._sharded

    def holder(self, service: str, key: int) -> str:
        """The upstream that holds the key, as far as is known here; "" if none does."""
        key_map = self.by_service.get(service)
        return key_map.row_for_key(key).holder if key_map is not None else ""

    def count(self, service: str, key: int) -> None:
        """Counts a client's request for that key."""
        counts = self._counts.setdefault(service, Counter())
        if counts.total() < MAX_COUNTED:
            counts[key // BUCKET] += 1

    def take_counts(self) -> dict[str, Counter[int]]:
        """The requests since the last call, by service and bucket."""
        counts, self._counts = self._counts, {}
        return counts
