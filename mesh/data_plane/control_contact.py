"""Whether a sidecar reaches a control process that has contact with a majority, and how old its configuration
may be.

A sidecar without one continues with its configuration, stays ready, and logs that once: its calls are correct
by that configuration, and nobody in reach could give it a newer one. It is not ready before it has received
everything from a control process with contact, in this incarnation. See docs/design/control.md, Contact.
"""

from __future__ import annotations

from typing import Any

from mesh.dissemination.peers import Channels
from mesh.event_log import events
from mesh.event_log.log import EventLog
from mesh.replication.quorum_contact import REPLY_VALID_SHARE


class ControlContact:
    """Contact of one sidecar: when a frame last came from a control process with contact, and what has been
    logged."""

    def __init__(self, contact_ms: float, channels: Channels, event_log: EventLog) -> None:
        """Starts without contact."""
        self._channels, self._event_log = channels, event_log
        self._bound_s = REPLY_VALID_SHARE * contact_ms / 1000.0
        self._began = channels.loop.time()
        self._lost_since: float | None = None  # start of the loss of contact that has been logged

    def set_contact_bound(self, contact_ms: float) -> None:
        """Applies a changed settings file."""
        self._bound_s = REPLY_VALID_SHARE * contact_ms / 1000.0

    def _last_contact(self) -> float | None:
        """When a frame last came from a control process with contact that had sent all; None if never."""
        self._channels.complete_within(0.0)  # updates last_complete_at
        return self._channels.last_complete_at if self._channels.last_complete_at > 0.0 else None

    def staleness_s(self, now: float) -> float | None:
        """How old the configuration here may be, in seconds: the control process had its contact proven
        within the bound before that. None if there has been no contact in this incarnation."""
        last_contact = self._last_contact()
        return now - last_contact + self._bound_s if last_contact is not None else None

    def tick(self, now: float) -> None:
        """Called several times a second."""
        last_contact = self._last_contact()
        since = last_contact if last_contact is not None else self._began
        if now - since <= self._bound_s:
            if self._lost_since is not None:
                self._event_log.emit(
                    events.CONTROL_REGAINED, without_ms=round((since - self._lost_since) * 1000.0)
                )
                self._lost_since = None
        elif self._lost_since is None:
            self._lost_since = since
            staleness_s = self.staleness_s(now)
            self._event_log.emit(
                events.CONTROL_LOST,
                links=sum(one.opened_here and one.link.up for one in self._channels.open),
                behind_ms=round(staleness_s * 1000.0) if staleness_s is not None else None,
            )

    def status(self, now: float) -> dict[str, Any]:
        """Status for operators. ``without_ms``: time since a control process with contact was last in reach,
        null while there is one. ``behind_ms``: how old the configuration here may be, null if there is
        none."""
        staleness_s = self.staleness_s(now)
        return {
            "without_ms": round((now - self._lost_since) * 1000.0) if self._lost_since is not None else None,
            "behind_ms": round(staleness_s * 1000.0) if staleness_s is not None else None,
        }
