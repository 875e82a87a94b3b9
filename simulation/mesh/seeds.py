"""Faults seeded into the programs, each of which the checker must detect. ``patch`` is pytest's
monkeypatch."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Any, Protocol

from mesh.control_plane import operator_api as operator_api_module
from mesh.control_plane import write_batches as write_batches_module
from mesh.control_plane.acceptor_host import AcceptorHost
from mesh.control_plane.catch_up import CatchUp
from mesh.control_plane.contact_probes import ContactProbes
from mesh.control_plane.joining import Joining
from mesh.control_plane.proposals import ProposerHost
from mesh.control_plane.write_batches import DiskWriter
from mesh.dissemination.pull_exchange import Exchange
from mesh.membership.failure_detection import NodeInfo, SilenceReport, SilenceThresholds, Verdict, min_silence
from mesh.replication.acceptor import Acceptor, Refusal
from mesh.replication.membership_epochs import View
from mesh.replication.quorum_contact import ContactLevel
from mesh.replication.store import Store
from mesh.storage.lmdb_store import WriteFailed


class Patch(Protocol):
    def setattr(self, target: Any, name: Any, value: Any) -> None: ...


def ack_after_one_disk(patch: Patch) -> None:
    patch.setattr(View, "durable", lambda self, have, tolerance: bool(have))


def ack_without_disk(patch: Patch) -> None:
    async def flush(self: DiskWriter) -> None:
        return None

    patch.setattr(DiskWriter, "flush", flush)


def own_vote_counts_before_sync(patch: Patch) -> None:
    original = AcceptorHost.accept

    async def accept(self: AcceptorHost, epoch: int, ballot: Any, by: Any, writes: Any, tags: Any) -> Any:
        if ballot.proposer != self._config_store.source:
            return await original(self, epoch, ballot, by, writes, tags)
        changed = self.acceptor.accept(ballot, by, writes, tags)
        if isinstance(changed, Refusal):
            return changed
        self._disk_writer.mark_votes(changed)
        return None

    patch.setattr(AcceptorHost, "accept", accept)


def reads_without_quorum(patch: Patch) -> None:
    async def read(self: ProposerHost, within_s: float) -> bool:
        return True

    patch.setattr(ProposerHost, "read", read)
    patch.setattr(ContactProbes, "level", lambda self, settled=False: ContactLevel.WRITES)


def wiped_disk_counts_at_once(patch: Patch) -> None:
    """The process also ignores reports of others that its disk was replaced, instead of starting over."""
    patch.setattr(CatchUp, "_start_over", lambda self, reason: None)
    begin = DiskWriter.__init__

    def init(self: DiskWriter, *args: Any) -> None:
        begin(self, *args)
        self.complete = True

    patch.setattr(DiskWriter, "__init__", init)


def complete_before_catch_up(patch: Patch) -> None:
    async def become(self: Joining) -> None:
        await self._disk_writer.mark_complete()
        self._on_disk_complete()

    patch.setattr(Joining, "_complete_disk", become)


def conflicting_writes_are_both_confirmed(patch: Patch) -> None:
    """A fault of an earlier release: nobody checks whether another content of the version was accepted."""
    patch.setattr(Acceptor, "state", lambda self, number: None)


def applied_before_decision(patch: Patch) -> None:
    """A fault of an earlier release: items are applied when received, and repair resolves equal versions by
    comparing bytes."""
    original = ProposerHost.decide

    async def decide(self: ProposerHost, writes: Any, within_s: float) -> Any:
        items, vector = self.acceptor_host.stamp_items(writes.items())
        self._config_store._decided = False
        self.acceptor_host._on_change(self._config_store.merge(items, vector))  # type: ignore[arg-type]
        return await original(self, writes, within_s)

    patch.setattr(ProposerHost, "decide", decide)
    patch.setattr(
        Acceptor, "learn", lambda self, slot, value, complete=False: bool(self.votes.pop(slot, None))
    )


def lower_version_overwrites(patch: Patch) -> None:
    patch.setattr(Store, "replaces", lambda self, item, held: item.version != held.version)


def unknown_service_is_accepted(patch: Patch) -> None:
    patch.setattr(operator_api_module, "check_change", lambda change, standing: None)


def tombstone_is_removed_at_once(patch: Patch) -> None:
    original = Store.merge_answer

    def patched(self: Store, items: Any, vector: Any) -> Any:
        taken = original(self, items, vector)
        for item in list(self.items.values()):
            if item.value is None and item.kind == "route":
                self.remove_tombstone(item.key)
        return taken

    patch.setattr(Store, "merge_answer", patched)


def half_is_a_quorum(patch: Patch) -> None:
    patch.setattr(View, "durable", lambda self, have, tolerance: len(set(have)) * 2 > len(self.members) - 2)


def epochs_are_not_checked(patch: Patch) -> None:
    """Requests of any epoch are answered, and a proposer keeps the view with which it began."""

    async def check_epoch(self: AcceptorHost, epoch: int) -> None:
        return None

    patch.setattr(AcceptorHost, "check_epoch", check_epoch)
    patch.setattr(ProposerHost, "_view_changed", lambda self: None)


def failed_write_counts_as_durable(patch: Patch) -> None:
    patch.setattr(write_batches_module, "Durable", (WriteFailed, object))


def pulls_are_not_repeated(patch: Patch) -> None:
    original = Exchange.pull_request

    def pull_request(self: Exchange) -> Any:
        request = original(self)
        return request if not self.pull_complete else {"t": "pulled"}

    patch.setattr(Exchange, "pull_request", pull_request)


def vector_skips_gaps(patch: Patch) -> None:
    original = AcceptorHost.apply

    def apply(self: AcceptorHost, items: Any, vector: Any) -> None:
        claimed = {item.source: item.number for item in items}
        original(self, items, {**claimed, **vector})

    patch.setattr(AcceptorHost, "apply", apply)


def always_has_updates(patch: Patch) -> None:
    patch.setattr(Store, "has_updates", lambda self, vector: bool(self.items))


def assess_silence_by_store_majority(
    nodes: Mapping[str, NodeInfo], reports: Sequence[SilenceReport], spans: SilenceThresholds
) -> Verdict:
    """The former rule: a zone counts as partitioned if more than half of its nodes in the store are
    silent."""
    least = min_silence(nodes, reports)
    there = Counter(node.zone for node in nodes.values())
    silent = Counter(node.zone for name, node in nodes.items() if least[name] >= spans.suspect_s)
    gone, kept = [], set()
    for name, node in nodes.items():
        if node.exempt or least[name] < spans.gone_s:
            continue
        if 2 * silent[node.zone] > there[node.zone] and least[name] < spans.zone_gone_s:
            kept.add(node.zone)
        else:
            gone.append(name)
    return Verdict(tuple(gone), tuple(sorted(kept)))
