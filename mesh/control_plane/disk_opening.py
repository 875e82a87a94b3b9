"""Loads the state of a control process from its disk: configuration, votes, and whether the disk counts."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from mesh.control_plane.write_batches import DiskWriter
from mesh.event_log import events
from mesh.event_log.log import EventLog
from mesh.replication.acceptor import Acceptor
from mesh.replication.items import Item, Key
from mesh.replication.membership_epochs import MEMBERS, VIEW, View, write_view
from mesh.replication.quorum import Place
from mesh.replication.store import Store
from mesh.runtime.settings import Settings
from mesh.storage.layout import DiskState, read_state
from mesh.storage.lmdb_store import DiskStore, Failed, Fresh, Opened, SetAside, max_store_bytes


def open_disk(settings: Settings, config_store: Store, event_log: EventLog) -> tuple[DiskWriter, Acceptor]:
    """Opens the disk and fills ``config_store``. Raises OSError if the disk cannot be used at all."""
    folder = Path(settings.state_dir) / "charter"
    outcome = DiskStore.open(folder, max_store_bytes(settings.limits.disk_mb))
    if isinstance(outcome, Failed):
        event_log.emit(events.DISK_OPEN_FAILED, reason=outcome.reason)
        raise OSError(outcome.reason)
    kept = _restore(settings, config_store, event_log, outcome)
    acceptor = restore_acceptor(settings.ip, kept, lambda key: forgotten_to(config_store, key))
    disk_writer = DiskWriter(config_store, acceptor, outcome.disk_store, event_log, kept.complete)
    disk_writer.incarnations = dict(kept.incarnations)
    if isinstance(outcome, Fresh) and settings.cold_boot:
        _install_first_view(settings, config_store, acceptor, disk_writer)
    else:
        claimed = config_store.restamp_above_vector()
        if claimed:
            disk_writer.mark_items(claimed)
    return disk_writer, acceptor


def _restore(
    settings: Settings, config_store: Store, event_log: EventLog, outcome: Opened | Fresh | SetAside
) -> DiskState:
    """What the disk held; its items are put into the store."""
    if isinstance(outcome, SetAside):
        event_log.emit(events.DISK_SET_ASIDE, moved_to=str(outcome.moved_to), reason=outcome.reason)
        return DiskState()
    if isinstance(outcome, Fresh):
        event_log.emit(events.DISK_EMPTY, first=settings.cold_boot)
        return DiskState()
    for migration in outcome.notes:
        event_log.emit(events.DISK_MIGRATED, note=migration)
    kept = read_state(outcome.rows)
    config_store.collected_tombstones.merge(kept.collected)
    config_store.restore(kept.items, kept.vector)
    event_log.emit(events.DISK_OPENED, items=len(kept.items), whole=kept.complete)
    return kept


def _install_first_view(
    settings: Settings, config_store: Store, acceptor: Acceptor, disk_writer: DiskWriter
) -> None:
    """Makes the seed machines of the settings the first view: the same item in all of them, decided from the
    start."""
    founders = {host: Place("", "") for host, _ in settings.seeds}
    first = config_store.write(VIEW, MEMBERS, 1, write_view(View(1, founders)))
    assert isinstance(first, Item)
    acceptor.learn((VIEW, MEMBERS, 1), first.value)
    if settings.ip in founders:
        disk_writer.mark_initial()
    disk_writer.mark_items([first])


def forgotten_to(config_store: Store, key: Key) -> int:
    """The highest version of that key that is, or may be, older than a forgotten drop."""
    forgotten = config_store.collected_tombstones
    return forgotten.version(key) if key in config_store.items else forgotten.watermark(key)


def restore_acceptor(own_address: str, kept: DiskState, forgotten: Callable[[Key], int]) -> Acceptor:
    """The acceptor as its disk holds it; it refuses all rounds that its last incarnation may have
    promised."""
    acceptor = Acceptor(own_address, kept.ceiling, forgotten)
    acceptor.generations = dict(kept.generations)
    kept.load_acceptor(acceptor)
    for item in kept.items:
        acceptor.learn((item.kind, item.name, item.version), item.value)
    return acceptor
