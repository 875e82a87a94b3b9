"""Resynchronizes a sidecar's configuration after a long time without a complete control process: items held
here may have been deleted meanwhile, and their tombstones collected."""

from __future__ import annotations

from collections.abc import Callable

from mesh.dissemination.peers import Channels
from mesh.membership.tombstones import RESYNC_AFTER_S
from mesh.replication.items import Item
from mesh.replication.store import Store


class ConfigurationResync:
    """Continues with the held items, requests everything again, and removes what the first complete answer
    does not contain."""

    def __init__(
        self,
        store: Store,
        channels: Channels,
        is_configured: Callable[[], bool],
        on_removed: Callable[[list[Item]], None],
    ) -> None:
        """``is_configured``: whether the configuration was complete once. ``on_removed`` is called with the
        items that were removed here."""
        self._store, self._channels = store, channels
        self._is_configured, self._on_removed = is_configured, on_removed
        self._since: float | None = None  # resynchronizing since then

    def tick(self, now: float) -> None:
        """Called several times a second."""
        if self._since is not None:
            if self._channels.last_complete_at > self._since:
                self._since = None
                self._on_removed(self._store.remove_unconfirmed())
        elif self._is_configured() and not self._channels.complete_within(RESYNC_AFTER_S):
            self._since = now
            self._store.mark_unconfirmed()
            for channel in list(self._channels.open):
                channel.link.close("resynchronizing")
