"""Faults to be put into what contact rests on, each of which the checks of cuts must see."""

from __future__ import annotations

from typing import Any

from mesh.control_plane.contact_probes import ContactProbes
from mesh.control_plane.member_set import address_of
from mesh.control_plane.operator_api import OperatorApi
from mesh.control_plane.proposals import ProposerHost
from mesh.data_plane.program import Proxy
from mesh.dissemination.peers import Channels
from mesh.replication import quorum_contact as contact_module
from mesh.replication.quorum_contact import Proof, QuorumContact
from simulation.mesh.seeds import Patch


def open_links_are_contact(patch: Patch) -> None:
    """How it was: who has a link that stands, and has told all by it once, counts."""

    def proof(self: ContactProbes, settled: bool = False) -> Proof:
        heard = {address_of(channel) for channel in self._links if channel.exchange.pull_complete}
        heard |= {self._member_set.own_address} if self._disk_writer.complete else set()
        view, tolerance = self._member_set.view(), self._member_set.tolerance
        return Proof.ORDERS if view.overlaps(heard, tolerance) else Proof.NONE

    patch.setattr(ContactProbes, "proof", proof)


def answers_count_from_their_coming(patch: Patch) -> None:
    real = QuorumContact.record_reply

    def answered(self: QuorumContact, who: str, number: int, *said: Any) -> None:
        if self._sent:
            real(self, who, next(reversed(self._sent)), *said)

    patch.setattr(QuorumContact, "record_reply", answered)


def answers_count_for_ever(patch: Patch) -> None:
    patch.setattr(contact_module, "REPLY_VALID_SHARE", 100.0)
    patch.setattr(QuorumContact, "valid_replies", lambda self, now: dict(self._replies))


def half_takes_orders(patch: Patch) -> None:
    real = QuorumContact.proof

    def proof(self: QuorumContact, *args: Any) -> Proof:
        return Proof.ORDERS if real(self, *args) >= Proof.READS else Proof.NONE

    patch.setattr(QuorumContact, "proof", proof)


def orders_are_taken_without_contact(patch: Patch) -> None:
    async def handle(self: OperatorApi, message: Any) -> Any:
        contact_probes, self._contact_probes = self._contact_probes, _Always()  # type: ignore[assignment]
        try:
            return await real(self, message)
        finally:
            self._contact_probes = contact_probes

    real = OperatorApi.handle
    patch.setattr(OperatorApi, "handle", handle)


class _Always:
    def proof(self) -> Proof:
        return Proof.ORDERS


def ready_by_whoever_answers(patch: Patch) -> None:
    def record_answer(self: Channels, channel: Any) -> None:
        if channel.exchange.pull_complete:
            self.last_complete_at = self.loop.time()

    patch.setattr(Channels, "record_answer", record_answer)


def ready_without_a_word(patch: Patch) -> None:
    patch.setattr(Proxy, "configured", lambda self: len(self.config_store.items) > 0)


def the_next_is_not_asked(patch: Patch) -> None:
    real = Channels._choose_peers

    def choose_peers(self: Channels) -> None:
        for asked in self._candidates.values():
            if asked.channel is not None:
                asked.channel.answered = False
        real(self)

    patch.setattr(Channels, "_choose_peers", choose_peers)


def open_votes_are_not_heeded(patch: Patch) -> None:
    patch.setattr(ContactProbes, "_has_stale_vote", lambda self: False)


def open_votes_are_counted_anew(patch: Patch) -> None:
    """A fault that drawn plays found: who had tried to bring a vote to its end in vain held all again."""

    def oldest_open_vote_s(self: ProposerHost) -> float:
        return self._loop.time() - min(self._recovery_since.values(), default=self._loop.time())

    patch.setattr(ProposerHost, "oldest_open_vote_s", oldest_open_vote_s)


def duties_are_kept(patch: Patch) -> None:
    patch.setattr(ContactProbes, "may_act", lambda self: True)
