"""The properties that every state of the consensus model must have."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Any, NamedTuple

from mesh.replication.acceptor import Decision, Slot, Vote, digest_of
from rigs.order_model.frozen import AcceptorState, Member, SentAccept, Tables, thaw_acceptor
from rigs.order_model.scenarios import LETTER_BY_DIGEST, Scenario
from statecheck import Violation


class SlotView(NamedTuple):
    """The state of a slot at one member: ``kind`` is "decided", "voted" or "unknown"."""

    kind: str
    ballot: Any = ()
    letter: str = ""


class Properties:
    """``quorums``: all read quorums, as positions of members."""

    def __init__(self, scenario: Scenario, tables: Tables, quorums: Sequence[Sequence[int]]) -> None:
        """``scenario``: the one whose states are checked."""
        self._tables, self._quorums = tables, quorums
        self._slots = sorted({slot for batch in scenario.batches for slot in batch.slots})
        self._cached_violations: dict[Any, tuple[Violation, ...]] = {}
        self._slot_views: dict[tuple[Slot, AcceptorState], SlotView] = {}

    def broken(
        self, members: tuple[int, ...], accepts: int, chosen: int, answers: int
    ) -> tuple[Violation, ...]:
        """The violations in that state. They depend neither on the proposers nor on the order of the members,
        so states that differ only in these share one result."""
        key = (*sorted(members), accepts, chosen, answers)
        found = self._cached_violations.get(key)
        if found is None:
            in_order = [self._tables.members[member_id] for member_id in key[: len(members)]]
            found = self._cached_violations[key] = tuple(self._check_all(in_order, accepts, chosen, answers))
        return found

    def _check_all(
        self, members: Sequence[Member], accepts: int, chosen: int, answers: int
    ) -> Iterator[Violation]:
        acknowledged, refused = self._tables.answers[answers]
        ballots = dict(self._tables.chosen[chosen])
        chosen_accepts = [sent for sent in self._tables.accepts[accepts] if sent.ballot in ballots]
        for slot in self._slots:
            yield from self._check_slot(slot, members, chosen_accepts, acknowledged, refused)
        for letter, slots in acknowledged & refused:
            yield Violation("both answers", f"batch {letter} of {slots} was acknowledged and refused")

    def _check_slot(
        self,
        slot: Slot,
        members: Sequence[Member],
        chosen_accepts: Sequence[SentAccept],
        acknowledged: Any,
        refused: Any,
    ) -> Iterator[Violation]:
        acknowledged_letters = {letter for letter, slots in acknowledged if slot in slots}
        if len(acknowledged_letters) > 1:
            yield Violation("one content", f"{slot}: {sorted(acknowledged_letters)} are both acknowledged")
        views = [self._view_of_slot(slot, member.acceptor) for member in members]
        decided = {view.letter for view in views if view.kind == "decided"}
        decided |= {
            letter for sent in chosen_accepts for written_slot, letter in sent.writes if written_slot == slot
        }
        if len(decided) > 1:
            yield Violation("one decision", f"{slot} is decided as {sorted(decided)}")
        voted = set() if decided else {view.letter for view in views if view.kind == "voted"}
        for letter in sorted(letter for letter, slots in refused if slot in slots):
            if letter in decided | acknowledged_letters:
                yield Violation("409", f"{slot}: {letter} was refused for a conflict and is decided")
            if letter in voted:
                yield Violation(
                    "409", f"{slot}: {letter} was refused for a conflict and may still be decided"
                )
        if not decided and any(slots == (slot,) for _, slots in refused):
            yield Violation("409 too early", f"{slot}: refused for a conflict that is not decided")
        for letter in sorted(acknowledged_letters):
            yield from self._check_quorums(slot, letter, members, views)

    def _check_quorums(
        self, slot: Slot, letter: str, members: Sequence[Member], views: Sequence[SlotView]
    ) -> Iterator[Violation]:
        """Every read quorum must learn an acknowledged value."""
        for quorum in self._quorums:
            if not all(members[position].disk_complete for position in quorum):
                continue
            learned = _learned_value([views[position] for position in quorum])
            if learned != letter:
                description = f"{slot}: {letter} is acknowledged, a quorum of {len(quorum)} learns {learned}"
                yield Violation("found", description)

    def _view_of_slot(self, slot: Slot, acceptor: AcceptorState) -> SlotView:
        found = self._slot_views.get((slot, acceptor))
        if found is None:
            found = self._slot_views[slot, acceptor] = _slot_view(slot, acceptor)
        return found


def _slot_view(slot: Slot, acceptor: AcceptorState) -> SlotView:
    found = thaw_acceptor("", acceptor).state(slot)
    if isinstance(found, Decision):
        return SlotView("decided", letter=LETTER_BY_DIGEST[found.digest])
    if isinstance(found, Vote):
        return SlotView("voted", found.ballot, LETTER_BY_DIGEST[digest_of(found.value)])
    return SlotView("unknown")


def _learned_value(views: Sequence[SlotView]) -> str:
    """The letter of the value that a reader learns from a quorum: the decided one, else the highest vote."""
    decided_letters = [view.letter for view in views if view.kind == "decided"]
    votes = [(view.ballot, view.letter) for view in views if view.kind == "voted"]
    return decided_letters[0] if decided_letters else max(votes)[1] if votes else "unknown"
