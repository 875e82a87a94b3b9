"""Faults seeded into the tracking of contact, each of which the partition checks must detect."""

from __future__ import annotations

from typing import Any

from mesh.control_plane.contact_probes import ContactProbes
from mesh.control_plane.member_set import address_of
from mesh.control_plane.operator_api import OperatorApi
from mesh.control_plane.proposals import ProposerHost
from mesh.data_plane.program import Proxy
from mesh.dissemination.peers import Channels
from mesh.replication import quorum_contact as contact_module
from mesh.replication.quorum_contact import ContactLevel, QuorumContact
from simulation.mesh.seeds import Patch


def open_links_count_as_contact(patch: Patch) -> None:
    """A former rule: an open link over which one full exchange was made counts as contact."""

    def level(self: ContactProbes, settled: bool = False) -> ContactLevel:
        heard = {address_of(channel) for channel in self._links if channel.exchange.pull_complete}
        heard |= {self._member_set.own_address} if self._disk_writer.complete else set()
        view, tolerance = self._member_set.view(), self._member_set.tolerance
        return ContactLevel.WRITES if view.overlaps(heard, tolerance) else ContactLevel.NONE

    patch.setattr(ContactProbes, "level", level)


def replies_valid_from_arrival(patch: Patch) -> None:
    original = QuorumContact.record_reply

    def answered(self: QuorumContact, who: str, number: int, *said: Any) -> None:
        if self._sent:
            original(self, who, next(reversed(self._sent)), *said)

    patch.setattr(QuorumContact, "record_reply", answered)


def replies_never_expire(patch: Patch) -> None:
    patch.setattr(contact_module, "REPLY_VALID_SHARE", 100.0)
    patch.setattr(QuorumContact, "valid_replies", lambda self, now: dict(self._replies))


def half_accepts_writes(patch: Patch) -> None:
    original = QuorumContact.level

    def level(self: QuorumContact, *args: Any) -> ContactLevel:
        return ContactLevel.WRITES if original(self, *args) >= ContactLevel.READS else ContactLevel.NONE

    patch.setattr(QuorumContact, "level", level)


def writes_accepted_without_contact(patch: Patch) -> None:
    async def handle(self: OperatorApi, message: Any) -> Any:
        contact_probes, self._contact_probes = self._contact_probes, _AlwaysInContact()  # type: ignore[assignment]
        try:
            return await original(self, message)
        finally:
            self._contact_probes = contact_probes

    original = OperatorApi.handle
    patch.setattr(OperatorApi, "handle", handle)


class _AlwaysInContact:
    def level(self) -> ContactLevel:
        return ContactLevel.WRITES


def ready_after_any_answer(patch: Patch) -> None:
    def record_answer(self: Channels, channel: Any) -> None:
        if channel.exchange.pull_complete:
            self.last_complete_at = self.loop.time()

    patch.setattr(Channels, "record_answer", record_answer)


def ready_without_confirmation(patch: Patch) -> None:
    patch.setattr(Proxy, "configured", lambda self: len(self.config_store.items) > 0)


def next_peer_is_not_asked(patch: Patch) -> None:
    original = Channels._choose_peers

    def choose_peers(self: Channels) -> None:
        for asked in self._candidates.values():
            if asked.channel is not None:
                asked.channel.answered = False
        original(self)

    patch.setattr(Channels, "_choose_peers", choose_peers)


def open_votes_are_ignored(patch: Patch) -> None:
    patch.setattr(ContactProbes, "_has_stale_vote", lambda self: False)


def open_vote_age_restarts(patch: Patch) -> None:
    """A fault found by random plays: a failed attempt to recover a vote restarted the vote's age."""

    def oldest_open_vote_s(self: ProposerHost) -> float:
        return self._loop.time() - min(self._recovery_since.values(), default=self._loop.time())

    patch.setattr(ProposerHost, "oldest_open_vote_s", oldest_open_vote_s)


def leases_are_kept_without_contact(patch: Patch) -> None:
    patch.setattr(ContactProbes, "may_act", lambda self: True)
