"""`state restore`: an operator confirms that more was lost than is tolerated and that this state is the
newest."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from mesh.control_plane.acceptor_host import AcceptorHost
from mesh.control_plane.backup import target_path
from mesh.control_plane.member_set import MemberSet
from mesh.control_plane.proposals import ProposerHost
from mesh.control_plane.write_batches import DiskWriter
from mesh.event_log import events
from mesh.event_log.log import EventLog
from mesh.replication.acceptor import Acceptor
from mesh.replication.items import Item
from mesh.replication.membership_epochs import EMPTY_VIEW, MEMBERS, VIEW, View, read_view, write_view
from mesh.replication.proposer import Decided
from mesh.replication.restore import restored_view
from mesh.replication.store import Store
from mesh.replication.store_answers import StoreFull
from mesh.runtime.introspection_calls import Handler, JsonObject, Refusal
from mesh.storage.layout import DiskState, StorageError, read_state
from mesh.storage.lmdb_store import Failed, max_store_bytes, read_copy
from mesh.transport.frames import Head

MAX_LOST = 64
IMPORT_WRITE_ITEMS, IMPORT_WRITE_TIMEOUT_S = 500, 5.0  # of one write of an import


class RestoreCommand:
    """Answers the question `restore`."""

    def __init__(
        self,
        state_dir: str,
        disk_mb: float,
        config_store: Store,
        acceptor: Acceptor,
        disk_writer: DiskWriter,
        member_set: MemberSet,
        acceptor_host: AcceptorHost,
        proposer_host: ProposerHost,
        event_log: EventLog,
        whole: Callable[[], dict[str, bool]],
    ) -> None:
        self._state_dir, self._max_bytes = state_dir, max_store_bytes(disk_mb)
        self._config_store, self._acceptor, self._disk_writer = config_store, acceptor, disk_writer
        self._member_set, self._acceptor_host, self._event_log, self._reachable_members = (
            member_set,
            acceptor_host,
            event_log,
            whole,
        )
        self._proposer_host, self._busy = proposer_host, False

    def handlers(self) -> dict[str, Handler]:
        """The handler of this question, by name."""
        return {"restore": self.restore}

    async def restore(self, head: Head) -> JsonObject | Refusal:
        """Restores from ``head``; raises KeyError, TypeError or ValueError if it is malformed."""
        lost = [str(one) for one in head["lost"]][:MAX_LOST]
        if self._busy:
            return Refusal("another restore is in progress")
        self._busy = True
        try:
            if not self._member_set.has_contact():
                return await self._restore(str(head["copy"]), lost)
            if head["copy"] and all(item.kind == VIEW for item in self._config_store.items.values()):
                return await self._import_copy(str(head["copy"]))
            return Refusal(
                "the mesh serves and has all acknowledged changes; to go back to an earlier "
                "configuration, send it with higher versions"
            )
        finally:
            self._busy = False

    async def _import_copy(self, copy: str) -> JsonObject | Refusal:
        """Imports a copy into a mesh that started again empty, by ordinary writes."""
        kept = self._read_copy(copy)
        if isinstance(kept, Refusal):
            return kept
        writes = [((i.kind, i.name, i.version), i.value) for i in kept.items if i.kind != VIEW]
        for at in range(0, len(writes), IMPORT_WRITE_ITEMS):
            outcome = await self._proposer_host.decide(
                dict(writes[at : at + IMPORT_WRITE_ITEMS]), IMPORT_WRITE_TIMEOUT_S
            )
            if not isinstance(outcome, Decided):
                return Refusal(f"{at} of {len(writes)} items are in force; restore again")
        return self._summary(self._member_set.view())

    async def _restore(self, copy: str, lost: list[str]) -> JsonObject | Refusal:
        kept = self._read_copy(copy) if copy else DiskState()
        if isinstance(kept, Refusal):
            return kept
        view = _view(kept) if copy else None
        reached = {**self._reachable_members(), self._member_set.own_address: self._disk_writer.complete}
        tolerance = self._member_set.tolerance
        new_view = restored_view(
            self._member_set.own_address, self._member_set.view(), reached, lost, view, tolerance
        )
        if isinstance(new_view, str):
            return Refusal(new_view)
        if copy:
            refused = self._merge_copy(kept)
            if refused is not None:
                return refused
        item = Item(VIEW, MEMBERS, new_view.epoch, write_view(new_view))
        self._acceptor_host.apply([item], {})
        if not self._disk_writer.complete:
            await self._disk_writer.mark_complete()
        await self._disk_writer.flush()
        self._member_set.announce_complete()
        summary = self._summary(new_view)
        self._event_log.emit(
            events.STATE_RESTORED, epoch=new_view.epoch, items=summary["items"], lost=", ".join(lost)
        )
        return summary

    def _summary(self, view: View) -> JsonObject:
        items = [item for item in self._config_store.items.values() if item.value is not None]
        count = sum(item.kind != VIEW for item in items)
        return {"epoch": view.epoch, "members": sorted(view.members), "items": count}

    def _read_copy(self, copy: str) -> DiskState | Refusal:
        path = target_path(self._state_dir, copy)
        if isinstance(path, Refusal):
            return path
        rows = read_copy(Path(path), self._max_bytes)
        if isinstance(rows, Failed):
            return Refusal(f"copy: {rows.reason}")
        try:
            return read_state(rows)
        except StorageError as fault:
            return Refusal(f"copy: {fault}")

    def _merge_copy(self, kept: DiskState) -> Refusal | None:
        """Merges the items of a copy that are not older than those here, with its votes and overtaken
        versions."""
        buckets, keys = self._config_store.merge_collected(kept.collected)
        self._disk_writer.remove_keys(keys, buckets)
        items = [item for item in kept.items if item.kind != VIEW]
        merged = self._config_store.repair(items)
        if isinstance(merged, StoreFull):
            return Refusal(merged.reason)
        self._acceptor_host.items_changed(merged)
        kept.load_acceptor(self._acceptor)
        self._disk_writer.mark_votes(kept.votes)
        self._disk_writer.mark_decided([(*past.key, 0) for past in kept.histories])
        return None


def _view(kept: DiskState) -> View:
    for item in kept.items:
        if item.key == (VIEW, MEMBERS):
            return read_view(item.version, item.value)
    return EMPTY_VIEW
