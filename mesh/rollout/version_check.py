"""Whether a call came by a version of its route that no sidecar in touch goes by any more. No I/O; instants
in seconds.

The second hop knows when it heard of the newer version, not when that was acknowledged. An acknowledgement
may come as late as ``ack_ms`` afterwards, and a sidecar in touch has ``settle_ms`` from there; a call that
its client sent before that is proper by the older version, however late it gets here.
"""

from __future__ import annotations

from collections import OrderedDict

MAX_ROUTES = 4096  # routes that changed of late; a call by an older one is passed on


class VersionCheck:
    def __init__(self, bound_s: float) -> None:
        self.grace_s = bound_s
        self._versions: OrderedDict[str, tuple[int, float]] = OrderedDict()

    def note(self, now: float, name: str, version: int) -> None:
        """That version of that route, or its drop, is known here from now on."""
        self._versions[name] = (version, now)
        self._versions.move_to_end(name)
        if len(self._versions) > MAX_ROUTES:
            self._versions.popitem(last=False)

    def outdated(self, now: float, name: str, version: int, age_s: float) -> bool:
        """Whether a call that its client sent ``age_s`` ago by that version should go by a newer one."""
        known = self._versions.get(name)
        return known is not None and known[0] > version and now - age_s > known[1] + self.grace_s
