"""Whether a sidecar reaches a control process that has contact with most others, and how old what it goes by
may be.

One that does not goes on with what it has, stays ready, and says so once: its calls are sound by the
configuration that it holds, and nobody in reach could give it a newer one. It is not ready before it has had
all from one with contact, in this life. See docs/design/control.md, Contact.
"""

from __future__ import annotations

from typing import Any

from mesh.dissemination.peers import Channels
from mesh.event_log import events
from mesh.event_log.log import EventLog
from mesh.replication.quorum_contact import REPLY_VALID_SHARE


class ControlContact:
    """Of one sidecar: when one was last heard, and what the log has been told of that."""

    def __init__(self, contact_ms: float, channels: Channels, event_log: EventLog) -> None:
        """Nothing has been heard yet."""
        self._channels, self._event_log = channels, event_log
        self._bound_s = REPLY_VALID_SHARE * contact_ms / 1000.0
        self._began = channels.loop.time()
        self._lost_since: float | None = None  # since then; as told in the log

    def set_contact_bound(self, contact_ms: float) -> None:
        """The settings file has changed."""
        self._bound_s = REPLY_VALID_SHARE * contact_ms / 1000.0

    def _last_contact(self) -> float | None:
        """When one with contact was last heard that had told all; None where none has been."""
        self._channels.fresh(0.0)  # brings whole_at up to now
        return self._channels.whole_at if self._channels.whole_at > 0.0 else None

    def staleness_s(self, now: float) -> float | None:
        """How old the configuration here may be, in seconds: who said that it has contact had it proven
        within the bound before. None where there has been none in this life."""
        last = self._last_contact()
        return now - last + self._bound_s if last is not None else None

    def tick(self, now: float) -> None:
        """Called several times a second."""
        last = self._last_contact()
        since = last if last is not None else self._began
        if now - since <= self._bound_s:
            if self._lost_since is not None:
                self._event_log.tell(
                    events.CONTROL_FOUND, without_ms=round((since - self._lost_since) * 1000.0)
                )
                self._lost_since = None
        elif self._lost_since is None:
            self._lost_since = since
            behind_s = self.staleness_s(now)
            self._event_log.tell(
                events.CONTROL_LOST,
                links=sum(one.opened_here and one.link.up for one in self._channels.open),
                behind_ms=round(behind_s * 1000.0) if behind_s is not None else None,
            )

    def status(self, now: float) -> dict[str, Any]:
        """For operators. ``without_ms``: since when no control process with contact has been in reach, null
        while there is one; ``behind_ms``: how old the configuration here may be, null where none was told."""
        behind_s = self.staleness_s(now)
        return {
            "without_ms": round((now - self._lost_since) * 1000.0) if self._lost_since is not None else None,
            "behind_ms": round(behind_s * 1000.0) if behind_s is not None else None,
        }
