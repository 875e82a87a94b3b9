"""The proposer's host: orders are decided by ballots, and votes that nobody brings to an end are taken up."""

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
from mesh.replication.acceptor import Ballot, Forgotten, Number, Promised, Refusal, Settled, Value, digest_of
from mesh.replication.proposer import Accept, Again, Chosen, Decided, Prepare, Proposer, Rivalled, Unclear
from mesh.replication.store import Store
from mesh.transport.frames import Head

ORDER_TIMEOUT_S = 3.0  # an order is carried on for so long, whether or not its caller waits
FIRST_BACKOFF_S, MAX_BACKOFF_S = (
    0.01,
    0.4,
)  # drawn up to it between two ballots that rivals may have cut short
MAX_IMMEDIATE_BALLOTS = 3  # ballots begun at once, one after the other
OPEN_VOTE_TIMEOUT_S, RANK_DELAY_S = (
    1.0,
    0.3,
)  # an open vote is left to its proposer for so long, and a rank longer
READ_GRACE_S = 0.03  # a read leaves an open vote to its proposer for so long
MAX_PENDING_ORDERS = 256  # orders under way at once; more are answered as busy
MAX_RECOVERED_VOTES = 2000  # open votes, and
MAX_RECOVERED_BYTES = 2 << 20  # bytes of them, brought to their decision at once
MAX_RIVALLED = 16  # rivalled numbers that are remembered for operators

Outcome = Decided | Rivalled | Unclear
Step = Decided | Rivalled | Unclear | Again


class _RunningBallot(Struct, eq=False):
    """One ballot under way. ``asked``: by address, the link that bears the question."""

    proposer: Proposer
    prepare: Prepare
    done: asyncio.Future[Step]
    accept: Accept | None = None
    pages: list[list[Any]] = field(default_factory=list)
    asked: dict[str, Channel] = field(default_factory=dict)
    shown: set[str] = field(default_factory=set)  # those that were told of a newer view

    def over(self, step: Step) -> None:
        """It ends so, unless it has ended."""
        if not self.done.done():
            self.done.set_result(step)


class _Order(Struct, eq=False):
    proposer: Proposer
    task: asyncio.Task[Outcome]


class ProposerHost:
    """The orders of this process, its reads, and the open votes that it takes up."""

    def __init__(
        self,
        life: str,
        seed: int,
        charter: Store,
        member_set: MemberSet,
        acceptor_host: AcceptorHost,
        event_log: EventLog,
    ) -> None:
        """``life``: of this process, as ballots bear it; ``seed``: of the drawn pauses."""
        self._loop = asyncio.get_running_loop()
        self._incarnation, self._random = life, random.Random(seed)
        self._charter, self._member_set, self._event_log = charter, member_set, event_log
        self.acceptor_host, self._acceptor = acceptor_host, acceptor_host.acceptor
        acceptor_host.on_view_change = self._view_changed
        self.reads = QuorumReads(charter, member_set, acceptor_host)
        self._highest_round = 0
        self._ballots: dict[Ballot, _RunningBallot] = {}
        self._orders: dict[tuple[Any, ...], _Order] = {}
        self._recovery_since: dict[
            Number, float
        ] = {}  # open votes, by when they were seen first, or taken up last
        # As well, but never counted anew; of those on disk nobody knows how long they have been open.
        self._open_since = dict.fromkeys(self._acceptor.votes, float("-inf"))
        self._recovery_task: asyncio.Task[None] | None = None
        self.rivalled: deque[tuple[float, Number]] = deque(maxlen=MAX_RIVALLED)

    # Orders

    async def decide(self, writes: Mapping[Number, Value], within_s: float) -> Outcome:
        """Decides one order, or gives up waiting after ``within_s``. The order is pursued for ORDER_TIMEOUT_S
        even if the caller leaves; the same order sent here meanwhile shares its ballots."""
        proposer = Proposer(self._incarnation, writes, self._member_set.tolerance)
        name = tuple(sorted((number, digest_of(value)) for number, value in writes.items()))
        known = self._orders.get(name)
        if known is None:
            refused = self._check_room(writes) if self.acceptor_host.has_room(writes) else DISK_FULL
            if refused:
                return Unclear(refused)
            task = self._loop.create_task(self._run(proposer, ORDER_TIMEOUT_S))
            known = self._orders[name] = _Order(proposer, task)
            task.add_done_callback(lambda _: self._orders.pop(name, None))
        await asyncio.wait([known.task], timeout=within_s)
        if not known.task.done():
            return known.proposer.gave_up()
        outcome = known.task.result()
        if isinstance(outcome, Rivalled):
            self.rivalled.append((self._loop.time(), outcome.number))
        return outcome

    def _check_room(self, writes: Collection[Number]) -> str:
        """Why no more is taken now; "" where there is room."""
        if len(self._orders) >= MAX_PENDING_ORDERS:
            return f"{MAX_PENDING_ORDERS} orders wait already"
        keys = {(kind, name) for kind, name, _ in [*writes, *self._acceptor.votes]}
        count = len(self._charter.items) + sum(key not in self._charter.items for key in keys)
        if count > self._charter.most and count > len(self._charter.items):
            return f"state: {count} items with these, at most {self._charter.most}: drop some and wait"
        return ""

    async def _run(self, proposer: Proposer, within_s: float) -> Outcome:
        """Ballots, one after the other, until one ends it or the time is over."""
        until, pause, hasty = self._loop.time() + within_s, FIRST_BACKOFF_S, 0
        while True:
            step = await self._run_ballot(proposer, until)
            if not isinstance(step, Again):
                return step
            self._highest_round = max(self._highest_round, step.round)
            hasty = hasty + 1 if step.at_once else 0
            if not step.at_once or hasty > MAX_IMMEDIATE_BALLOTS:  # what lasts would spin without a pause
                await asyncio.sleep(self._random.uniform(0.0, pause))
                pause = min(2.0 * pause, MAX_BACKOFF_S)

    async def _run_ballot(self, proposer: Proposer, until: float) -> Step:
        self._highest_round = max(self._highest_round, self._acceptor.floor) + 1
        told = proposer.prepare(self._highest_round, self._member_set.view())
        one = _RunningBallot(proposer, told, self._loop.create_future())
        self._ballots[told.ballot] = one
        try:
            self._ask_all(one)
            async with asyncio.timeout_at(until):
                return await one.done
        except TimeoutError:
            return proposer.gave_up()
        finally:
            del self._ballots[told.ballot]

    def _ask_all(self, one: _RunningBallot) -> None:
        one.asked.clear()
        for address, channel in self._member_set.peers().items():
            self._ask(one, address, channel)
        if self._member_set.own_address in one.proposer.view.names:
            self.acceptor_host.spawn(self._ask_own_acceptor(one, one.accept))

    def _ask(self, one: _RunningBallot, address: str, channel: Channel) -> None:
        if address not in one.proposer.view.names or one.done.done():
            return
        one.asked[address] = channel
        if one.accept is not None:
            self._send_page(one, channel, 0)
            return
        told = {
            "t": "prepare",
            "b": encode_ballot(one.prepare.ballot),
            "e": one.prepare.epoch,
            "k": one.prepare.numbers,
        }
        channel.link.send({**told, "full": True} if one.proposer.adopts else told)

    def _send_page(self, one: _RunningBallot, channel: Channel, place: int) -> None:
        assert one.accept is not None
        channel.link.send(
            {
                "t": "accept",
                "b": encode_ballot(one.accept.ballot),
                "e": one.accept.epoch,
                "by": one.accept.by,
                "w": one.pages[place],
                "p": place,
                "of": len(one.pages),
            }
        )

    async def _ask_own_acceptor(self, one: _RunningBallot, accept: Accept | None) -> None:
        told, me = one.prepare, self._member_set.own_address
        if accept is None:
            answer = await self.acceptor_host.promise(told.epoch, told.ballot, told.numbers)
            if isinstance(answer, Promised):
                self._promised(one, me, told.epoch, answer)
                return
        else:
            refusal = await self.acceptor_host.accept(
                accept.epoch, accept.ballot, accept.by, accept.writes, accept.tags
            )
            if refusal is None:
                self._accepted(one, me, accept.epoch)
                return
            answer = refusal
        self._refused(one, me, answer)

    # What comes of a ballot

    def _promised(self, one: _RunningBallot, who: str, epoch: int, promised: Promised) -> None:
        if one.done.done():
            return
        step = one.proposer.promised(who, epoch, one.prepare.ballot, promised)
        if isinstance(step, Accept):
            one.accept, one.pages = step, split_into_pages(step.writes, step.tags)
            self._ask_all(one)
        elif step is not None:
            one.over(step)

    def _accepted(self, one: _RunningBallot, who: str, epoch: int) -> None:
        if one.done.done():
            return
        chosen = one.proposer.accepted(who, epoch, one.prepare.ballot)
        if chosen is not None:
            self._announce(chosen)
            one.over(one.proposer.outcome() or Again(0, "another order had a number of this one"))

    def _refused(self, one: _RunningBallot, who: str, refusal: Refusal) -> None:
        step = one.proposer.refused(who, one.prepare.ballot, refusal)
        if step is not None:
            one.over(step)

    def _announce(self, chosen: Chosen) -> None:
        """It is decided: into the charter here, and the others are told. They have the contents."""
        items, vector = self.acceptor_host.stamp_items(chosen.writes.items())
        self.acceptor_host.apply(items, vector, chosen.whole)
        told = {
            "t": "decided",
            "b": encode_ballot(chosen.ballot),
            "e": self._member_set.view().epoch,
            "s": self._charter.source,
            "at": items[0].number,
            "of": len(items),
            "whole": chosen.whole,
        }
        for channel in self._member_set.peers().values():
            channel.link.send(told)

    def _view_changed(self) -> None:
        """Another view is in force: what was asked under the one before counts for nothing."""
        epoch = self._member_set.view().epoch
        for one in list(self._ballots.values()):
            if one.prepare.epoch < epoch:
                one.over(Again(0, "another view came"))
        self.reads.view_changed()

    # Reads

    async def read(self, within_s: float) -> bool:
        """Until this store has all that was acknowledged before now; False where not enough answer."""
        until = self._loop.time() + within_s
        opened = await self.reads.collect_open_votes(until)
        if opened is None:
            return False
        return await self._settle(opened | self._acceptor.votes.keys(), until)

    def _unsettled(self, numbers: Collection[Number]) -> list[Number]:
        known = (Settled, Forgotten)
        return [number for number in numbers if not isinstance(self._acceptor.state(number), known)]

    async def _settle(self, numbers: Collection[Number], until: float) -> bool:
        """Brings these open votes to their decision; whether that is done."""
        left = self._unsettled(numbers)
        if left:
            await asyncio.sleep(READ_GRACE_S)
            left = self._unsettled(left)
        if not left:
            return True
        return await self._recover(left, max(until - self._loop.time(), 0.0))

    async def _recover(self, numbers: Collection[Number], within_s: float) -> bool:
        proposer = Proposer(
            self._incarnation, dict.fromkeys(numbers), self._member_set.tolerance, adopts=True
        )
        outcome = await self._run(proposer, within_s)
        found = []
        for number, digest in proposer.settled.items():
            vote = self._acceptor.votes.get(number)
            if number in proposer.contents:
                found.append((number, proposer.contents[number]))
            elif vote is not None and digest_of(vote.value) == digest:
                found.append((number, vote.value))
            else:
                self.acceptor_host.record_outcome(number, Settled(digest))
        for number in proposer.forgotten:
            self.acceptor_host.record_outcome(number, Forgotten())
        lacking = [one for one in found if not isinstance(self._acceptor.state(one[0]), Settled)]
        if lacking:
            self.acceptor_host.apply(*self.acceptor_host.stamp_items(lacking))
        return isinstance(outcome, Decided)

    # Votes that nobody brings to an end

    def tick(self, now: float) -> None:
        """Called several times a second."""
        votes = self._acceptor.votes
        if not votes:
            self._recovery_since.clear()
            self._open_since.clear()
            return
        self._open_since = {number: self._open_since.get(number, now) for number in votes}
        self._recovery_since = {number: self._recovery_since.get(number, now) for number in votes}
        if self._recovery_task is not None or not self._member_set.has_contact():
            return
        names, ranks = self._member_set.view().names, dict[Ballot, int]()
        due: list[Number] = []
        room = MAX_RECOVERED_BYTES
        for number, since in self._recovery_since.items():
            if now - since < OPEN_VOTE_TIMEOUT_S:
                continue
            ballot = votes[number].ballot
            if ballot not in ranks:
                wanted = rendezvous_order(f"{ballot.round}.{ballot.proposer}", names)
                ranks[ballot] = (
                    wanted.index(self._member_set.own_address)
                    if self._member_set.own_address in wanted
                    else len(wanted)
                )
            if now - since >= OPEN_VOTE_TIMEOUT_S + RANK_DELAY_S * ranks[ballot]:
                room -= len(msgspec.json.encode(votes[number].value))
                if due and (room < 0 or len(due) >= MAX_RECOVERED_VOTES):
                    break
                due.append(number)
        if due:
            self._recovery_task = self._loop.create_task(self._recover_due(due))

    def oldest_open_vote_s(self) -> float:
        """For how long the oldest of the open votes has been one, as last looked at."""
        oldest = min(
            (self._open_since[n] for n in self._acceptor.votes if n in self._open_since), default=None
        )
        return self._loop.time() - oldest if oldest is not None else 0.0

    async def _recover_due(self, due: list[Number]) -> None:
        try:
            self._event_log.tell(events.VOTES_TAKEN_UP, items=len(due))
            await self._recover(due, ORDER_TIMEOUT_S)
            now = self._loop.time()
            self._recovery_since.update((number, now) for number in due if number in self._recovery_since)
        finally:
            self._recovery_task = None

    # Links and frames

    def resend_pending(self, address: str, anew: bool = False) -> None:
        """A link to another control process has come or gone, or (``anew``) its disk counts now: what waits
        is asked there."""
        peer = self._member_set.peers().get(address)
        if peer is None:
            return
        for one in list(self._ballots.values()):
            if anew or one.asked.get(address) is not peer:
                self._ask(one, address, peer)
        self.reads.resend_pending(address, peer, anew)

    def handle_frame(self, channel: Channel, head: Head) -> bool:
        """Whether it was one of votes or reads. Raises KeyError, TypeError or ValueError for what cannot be
        read."""
        kind = head["t"]
        if kind in ("promise", "accepted", "refuse"):
            one = self._ballots.get(decode_ballot(head["b"]))
            if one is not None:
                self._answered(one, channel, kind, head)
            elif kind == "refuse" and "view" in head:
                self.acceptor_host.apply([unpack(fields) for fields in head["view"]], {})
        else:
            return self.reads.handle_frame(channel, head) or self.acceptor_host.handle_frame(channel, head)
        return True

    def _answered(self, one: _RunningBallot, channel: Channel, kind: str, head: Head) -> None:
        who, epoch = address_of(channel), int(head["e"])
        if kind == "promise":
            numbers = one.prepare.numbers
            states = {numbers[int(told[0])]: decode_state(told[1:]) for told in head["s"]}
            self._promised(one, who, epoch, Promised(states, int(head["g"])))
        elif kind == "accepted":
            if one.accept is not None and int(head["p"]) + 1 < len(one.pages):
                self._send_page(one, channel, int(head["p"]) + 1)
            else:
                self._accepted(one, who, epoch)
        elif "view" in head:
            self.acceptor_host.apply([unpack(fields) for fields in head["view"]], {})
        elif epoch < one.prepare.epoch and who not in one.shown:
            one.shown.add(who)
            send_view(self._member_set, channel)
            self._ask(one, who, channel)
        else:
            self._refused(one, who, Refusal(int(head["r"]), str(head["why"]), not head.get("now")))
