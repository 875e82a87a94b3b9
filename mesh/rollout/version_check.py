"""Detects calls that were routed by a version of their route that no sidecar in contact uses any more. No
I/O; times in seconds.

The second hop knows when it received the newer version, not when that version was acknowledged. The
acknowledgement may follow up to ``ack_ms`` later, and a sidecar in contact has ``settle_ms`` from there; a
call that its client sent earlier is valid by the older version, however late it arrives.
"""

from __future__ import annotations

from collections import OrderedDict

MAX_ROUTES = 4096  # routes with recent changes; calls of routes beyond these are passed on


class VersionCheck:
    """The latest version of each recently changed route, and when it was received. Calls by an older version
    are valid for ``grace_s`` after that."""

    def __init__(self, grace_s: float) -> None:
        self.grace_s = grace_s
        self._versions: OrderedDict[str, tuple[int, float]] = OrderedDict()

    def note(self, now: float, name: str, version: int) -> None:
        """Records that a version of a route, or its drop, was received."""
        self._versions[name] = (version, now)
        self._versions.move_to_end(name)
        if len(self._versions) > MAX_ROUTES:
            self._versions.popitem(last=False)

    def outdated(self, now: float, name: str, version: int, age_s: float) -> bool:
        """Whether a call that its client sent ``age_s`` ago by that version has to use a newer one."""
        known = self._versions.get(name)
        return known is not None and known[0] > version and now - age_s > known[1] + self.grace_s
