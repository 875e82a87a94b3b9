"""Drives the ballots of writes, each of one or more items that are decided together, and recovers open votes
whose proposer is gone."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Collection, Mapping
from typing import Any

import msgspec
from msgspec import Struct, field

from mesh.control_plane.accept_pages import split_into_pages
from mesh.control_plane.acceptor_host import (
    DISK_FULL,
    AcceptorHost,
    decode_ballot,
    decode_state,
    encode_ballot,
)
from mesh.control_plane.member_set import MemberSet, address_of
from mesh.control_plane.quorum_reads import QuorumReads, send_view
from mesh.dissemination.peers import Channel
from mesh.dissemination.pull_exchange import unpack
from mesh.event_log import events
from mesh.event_log.log import EventLog
from mesh.membership.rendezvous import rendezvous_order
from mesh.replication.acceptor import Ballot, Decision, Forgotten, Promised, Refusal, Slot, Value, digest_of
from mesh.replication.proposer import Accept, Chosen, Conflict, Decided, Prepare, Proposer, Retry, Unresolved
from mesh.replication.store import Store
from mesh.transport.frames import Head

WRITE_TIMEOUT_S = 3.0  # a write is pursued for this long, whether or not its caller still waits
FIRST_BACKOFF_S, MAX_BACKOFF_S = 0.01, 0.4  # bounds of the random delay after an interrupted ballot
MAX_IMMEDIATE_BALLOTS = 3  # consecutive ballots without a backoff
OPEN_VOTE_TIMEOUT_S, RANK_DELAY_S = 1.0, 0.3  # an open vote is recovered after timeout + rank * delay
READ_GRACE_S = 0.03  # a read leaves an open vote to its proposer for this long
MAX_PENDING_WRITES = 256  # concurrent writes; further ones are answered as busy
MAX_RECOVERED_VOTES = 2000  # of one recovery
MAX_RECOVERED_BYTES = 2 << 20  # of one recovery, as JSON
MAX_CONFLICTS = 16  # latest slots lost to other writes, kept for operators

Outcome = Decided | Conflict | Unresolved
Step = Decided | Conflict | Unresolved | Retry


class _RunningBallot(Struct, eq=False):
    """One ballot in progress. ``asked``: by address, the link on which the request was sent."""

    proposer: Proposer
    prepare: Prepare
    done: asyncio.Future[Step]
    accept: Accept | None = None
    pages: list[list[Any]] = field(default_factory=list)
    asked: dict[str, Channel] = field(default_factory=dict)
    sent_view: set[str] = field(default_factory=set)  # members that were sent the newer view

    def finish(self, step: Step) -> None:
        """Ends the ballot with ``step``, unless it has ended already."""
        if not self.done.done():
            self.done.set_result(step)


class _PendingWrite(Struct, eq=False):
    proposer: Proposer
    task: asyncio.Task[Outcome]


class ProposerHost:
    """The writes and reads of this process, and the open votes that it recovers."""

    def __init__(
        self,
        incarnation: str,
        seed: int,
        config_store: Store,
        member_set: MemberSet,
        acceptor_host: AcceptorHost,
        event_log: EventLog,
    ) -> None:
        """``incarnation``: identifies this process in ballots; ``seed``: for the random backoff."""
        self._loop = asyncio.get_running_loop()
        self._incarnation, self._random = incarnation, random.Random(seed)
        self._config_store, self._member_set, self._event_log = config_store, member_set, event_log
        self.acceptor_host, self._acceptor = acceptor_host, acceptor_host.acceptor
        acceptor_host.on_view_change = self._view_changed
        self.reads = QuorumReads(config_store, member_set, acceptor_host)
        self._highest_round = 0
        self._ballots: dict[Ballot, _RunningBallot] = {}
        self._pending_writes: dict[tuple[Any, ...], _PendingWrite] = {}
        self._recovery_since: dict[Slot, float] = {}  # open votes: when first seen, or last recovered
        # When first seen, never reset by a recovery; the age of votes read from disk is unknown.
        self._open_since = dict.fromkeys(self._acceptor.votes, float("-inf"))
        self._recovery_task: asyncio.Task[None] | None = None
        self.conflicts: deque[tuple[float, Slot]] = deque(maxlen=MAX_CONFLICTS)

    # Writes

    async def decide(self, writes: Mapping[Slot, Value], within_s: float) -> Outcome:
        """Decides one write, or gives up waiting after ``within_s``. The write is pursued for WRITE_TIMEOUT_S
        even if the caller leaves; the same write sent here meanwhile shares its ballots."""
        proposer = Proposer(self._incarnation, writes, self._member_set.tolerance)
        key = tuple(sorted((slot, digest_of(value)) for slot, value in writes.items()))
        pending = self._pending_writes.get(key)
        if pending is None:
            refused = self._check_room(writes) if self.acceptor_host.has_room(writes) else DISK_FULL
            if refused:
                return Unresolved(refused)
            task = self._loop.create_task(self._run(proposer, WRITE_TIMEOUT_S))
            pending = self._pending_writes[key] = _PendingWrite(proposer, task)
            task.add_done_callback(lambda _: self._pending_writes.pop(key, None))
        await asyncio.wait([pending.task], timeout=within_s)
        if not pending.task.done():
            return pending.proposer.timed_out()
        outcome = pending.task.result()
        if isinstance(outcome, Conflict):
            self.conflicts.append((self._loop.time(), outcome.slot))
        return outcome

    def _check_room(self, writes: Collection[Slot]) -> str:
        """The reason why another write is rejected now; "" if there is room."""
        if len(self._pending_writes) >= MAX_PENDING_WRITES:
            return f"{MAX_PENDING_WRITES} writes are pending already"
        keys = {(kind, name) for kind, name, _ in [*writes, *self._acceptor.votes]}
        count = len(self._config_store.items) + sum(key not in self._config_store.items for key in keys)
        if count > self._config_store.max_items and count > len(self._config_store.items):
            return (
                f"state: {count} items with these, at most {self._config_store.max_items}: drop some and wait"
            )
        return ""

    async def _run(self, proposer: Proposer, within_s: float) -> Outcome:
        """Runs ballots until one ends the write or ``within_s`` has passed."""
        until, pause, immediate = self._loop.time() + within_s, FIRST_BACKOFF_S, 0
        while True:
            step = await self._run_ballot(proposer, until)
            if not isinstance(step, Retry):
                return step
            self._highest_round = max(self._highest_round, step.round)
            immediate = immediate + 1 if step.at_once else 0
            if not step.at_once or immediate > MAX_IMMEDIATE_BALLOTS:  # a lasting cause would spin
                await asyncio.sleep(self._random.uniform(0.0, pause))
                pause = min(2.0 * pause, MAX_BACKOFF_S)

    async def _run_ballot(self, proposer: Proposer, until: float) -> Step:
        self._highest_round = max(self._highest_round, self._acceptor.floor) + 1
        prepare = proposer.prepare(self._highest_round, self._member_set.view())
        running = _RunningBallot(proposer, prepare, self._loop.create_future())
        self._ballots[prepare.ballot] = running
        try:
            self._send_requests(running)
            async with asyncio.timeout_at(until):
                return await running.done
        except TimeoutError:
            return proposer.timed_out()
        finally:
            del self._ballots[prepare.ballot]

    def _send_requests(self, running: _RunningBallot) -> None:
        running.asked.clear()
        for address, channel in self._member_set.peers().items():
            self._send_request(running, address, channel)
        if self._member_set.own_address in running.proposer.view.names:
            self.acceptor_host.spawn(self._ask_own_acceptor(running, running.accept))

    def _send_request(self, running: _RunningBallot, address: str, channel: Channel) -> None:
        if address not in running.proposer.view.names or running.done.done():
            return
        running.asked[address] = channel
        if running.accept is not None:
            self._send_accept_page(running, channel, 0)
            return
        message = {
            "t": "prepare",
            "b": encode_ballot(running.prepare.ballot),
            "e": running.prepare.epoch,
            "k": running.prepare.slots,
        }
        channel.link.send({**message, "full": True} if running.proposer.adopts else message)

    def _send_accept_page(self, running: _RunningBallot, channel: Channel, page: int) -> None:
        assert running.accept is not None
        channel.link.send(
            {
                "t": "accept",
                "b": encode_ballot(running.accept.ballot),
                "e": running.accept.epoch,
                "by": running.accept.generations,
                "w": running.pages[page],
                "p": page,
                "of": len(running.pages),
            }
        )

    async def _ask_own_acceptor(self, running: _RunningBallot, accept: Accept | None) -> None:
        prepare, me = running.prepare, self._member_set.own_address
        if accept is None:
            answer = await self.acceptor_host.promise(prepare.epoch, prepare.ballot, prepare.slots)
            if isinstance(answer, Promised):
                self._promised(running, me, prepare.epoch, answer)
                return
        else:
            refusal = await self.acceptor_host.accept(
                accept.epoch, accept.ballot, accept.generations, accept.writes, accept.tags
            )
            if refusal is None:
                self._accepted(running, me, accept.epoch)
                return
            answer = refusal
        self._refused(running, me, answer)

    # Results of a ballot

    def _promised(self, running: _RunningBallot, member: str, epoch: int, promised: Promised) -> None:
        if running.done.done():
            return
        step = running.proposer.promised(member, epoch, running.prepare.ballot, promised)
        if isinstance(step, Accept):
            running.accept, running.pages = step, split_into_pages(step.writes, step.tags)
            self._send_requests(running)
        elif step is not None:
            running.finish(step)

    def _accepted(self, running: _RunningBallot, member: str, epoch: int) -> None:
        if running.done.done():
            return
        chosen = running.proposer.accepted(member, epoch, running.prepare.ballot)
        if chosen is not None:
            self._announce(chosen)
            running.finish(running.proposer.outcome() or Retry(0, "another write has a slot of this one"))

    def _refused(self, running: _RunningBallot, member: str, refusal: Refusal) -> None:
        step = running.proposer.refused(member, running.prepare.ballot, refusal)
        if step is not None:
            running.finish(step)

    def _announce(self, chosen: Chosen) -> None:
        """Applies a decided write here and notifies the other members, which hold its contents already."""
        items, vector = self.acceptor_host.stamp_items(chosen.writes.items())
        self.acceptor_host.apply(items, vector, chosen.complete)
        message = {
            "t": "decided",
            "b": encode_ballot(chosen.ballot),
            "e": self._member_set.view().epoch,
            "s": self._config_store.source,
            "at": items[0].number,
            "of": len(items),
            "whole": chosen.complete,
        }
        for channel in self._member_set.peers().values():
            channel.link.send(message)

    def _view_changed(self) -> None:
        """A new view is in force: requests of the previous one are void."""
        epoch = self._member_set.view().epoch
        for running in list(self._ballots.values()):
            if running.prepare.epoch < epoch:
                running.finish(Retry(0, "the view has changed"))
        self.reads.view_changed()

    # Reads

    async def read(self, within_s: float) -> bool:
        """Waits until this store has all that was acknowledged before the call; False if too few answer."""
        until = self._loop.time() + within_s
        open_votes = await self.reads.collect_open_votes(until)
        if open_votes is None:
            return False
        return await self._bring_to_decision(open_votes | self._acceptor.votes.keys(), until)

    def _undecided(self, slots: Collection[Slot]) -> list[Slot]:
        final = (Decision, Forgotten)
        return [slot for slot in slots if not isinstance(self._acceptor.state(slot), final)]

    async def _bring_to_decision(self, slots: Collection[Slot], until: float) -> bool:
        """Brings these open votes to their decision; returns whether that succeeded."""
        undecided = self._undecided(slots)
        if undecided:
            await asyncio.sleep(READ_GRACE_S)
            undecided = self._undecided(undecided)
        if not undecided:
            return True
        return await self._recover(undecided, max(until - self._loop.time(), 0.0))

    async def _recover(self, votes: Collection[Slot], within_s: float) -> bool:
        proposer = Proposer(self._incarnation, dict.fromkeys(votes), self._member_set.tolerance, adopts=True)
        outcome = await self._run(proposer, within_s)
        found = []
        for slot, digest in proposer.decided_digests.items():
            held = self._acceptor.votes.get(slot)
            if slot in proposer.decided_values:
                found.append((slot, proposer.decided_values[slot]))
            elif held is not None and digest_of(held.value) == digest:
                found.append((slot, held.value))
            else:
                self.acceptor_host.learn_state(slot, Decision(digest))
        for slot in proposer.forgotten:
            self.acceptor_host.learn_state(slot, Forgotten())
        lacking = [one for one in found if not isinstance(self._acceptor.state(one[0]), Decision)]
        if lacking:
            self.acceptor_host.apply(*self.acceptor_host.stamp_items(lacking))
        return isinstance(outcome, Decided)

    # Recovery of open votes

    def tick(self, now: float) -> None:
        """Starts the recovery of open votes that are due; called several times a second."""
        votes = self._acceptor.votes
        if not votes:
            self._recovery_since.clear()
            self._open_since.clear()
            return
        self._open_since = {slot: self._open_since.get(slot, now) for slot in votes}
        self._recovery_since = {slot: self._recovery_since.get(slot, now) for slot in votes}
        if self._recovery_task is not None or not self._member_set.has_contact():
            return
        names, ranks = self._member_set.view().names, dict[Ballot, int]()
        due: list[Slot] = []
        room = MAX_RECOVERED_BYTES
        for slot, since in self._recovery_since.items():
            if now - since < OPEN_VOTE_TIMEOUT_S:
                continue
            ballot = votes[slot].ballot
            if ballot not in ranks:
                ranking = rendezvous_order(f"{ballot.round}.{ballot.proposer}", names)
                ranks[ballot] = (
                    ranking.index(self._member_set.own_address)
                    if self._member_set.own_address in ranking
                    else len(ranking)
                )
            if now - since >= OPEN_VOTE_TIMEOUT_S + RANK_DELAY_S * ranks[ballot]:
                room -= len(msgspec.json.encode(votes[slot].value))
                if due and (room < 0 or len(due) >= MAX_RECOVERED_VOTES):
                    break
                due.append(slot)
        if due:
            self._recovery_task = self._loop.create_task(self._recover_due(due))

    def oldest_open_vote_s(self) -> float:
        """The age of the oldest open vote, as of the last tick."""
        oldest = min(
            (self._open_since[n] for n in self._acceptor.votes if n in self._open_since), default=None
        )
        return self._loop.time() - oldest if oldest is not None else 0.0

    async def _recover_due(self, due: list[Slot]) -> None:
        try:
            self._event_log.emit(events.VOTES_COMPLETED, items=len(due))
            await self._recover(due, WRITE_TIMEOUT_S)
            now = self._loop.time()
            self._recovery_since.update((slot, now) for slot in due if slot in self._recovery_since)
        finally:
            self._recovery_task = None

    # Links and frames

    def resend_pending(self, address: str, force: bool = False) -> None:
        """Sends what is pending to this member on its present link; ``force``: also what was sent there."""
        peer = self._member_set.peers().get(address)
        if peer is None:
            return
        for running in list(self._ballots.values()):
            if force or running.asked.get(address) is not peer:
                self._send_request(running, address, peer)
        self.reads.resend_pending(address, peer, force)

    def handle_frame(self, channel: Channel, head: Head) -> bool:
        """Whether it was a frame of votes or reads. Raises KeyError, TypeError or ValueError if malformed."""
        kind = head["t"]
        if kind in ("promise", "accepted", "refuse"):
            running = self._ballots.get(decode_ballot(head["b"]))
            if running is not None:
                self._handle_answer(running, channel, kind, head)
            elif kind == "refuse" and "view" in head:
                self.acceptor_host.apply([unpack(fields) for fields in head["view"]], {})
        else:
            return self.reads.handle_frame(channel, head) or self.acceptor_host.handle_frame(channel, head)
        return True

    def _handle_answer(self, running: _RunningBallot, channel: Channel, kind: str, head: Head) -> None:
        member, epoch = address_of(channel), int(head["e"])
        if kind == "promise":
            slots = running.prepare.slots
            states = {slots[int(row[0])]: decode_state(row[1:]) for row in head["s"]}
            self._promised(running, member, epoch, Promised(states, int(head["g"])))
        elif kind == "accepted":
            if running.accept is not None and int(head["p"]) + 1 < len(running.pages):
                self._send_accept_page(running, channel, int(head["p"]) + 1)
            else:
                self._accepted(running, member, epoch)
        elif "view" in head:
            self.acceptor_host.apply([unpack(fields) for fields in head["view"]], {})
        elif epoch < running.prepare.epoch and member not in running.sent_view:
            running.sent_view.add(member)
            send_view(self._member_set, channel)
            self._send_request(running, member, channel)
        else:
            self._refused(running, member, Refusal(int(head["r"]), str(head["why"]), not head.get("now")))
