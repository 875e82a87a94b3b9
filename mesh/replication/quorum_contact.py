"""Whether a control process has contact: answers, of enough members, to what it asked lately. No I/O.

All instants are seconds of one steady clock, this process's own. What counts is when an answered question was
*asked*: an answer proves that its sender was there, and heard, at some moment after that and no more. So a
process that was frozen and wakes has none, whatever answers lie in its sockets, and a path that is open one
way proves nothing to either end. Argument and bounds: docs/design/control.md, Contact.
"""

from __future__ import annotations

from collections.abc import Collection
from enum import IntEnum

from msgspec import Struct

from mesh.replication.membership_epochs import View
from mesh.replication.quorum import Tolerance

REPLY_VALID_SHARE = 1 / 3  # of contact_ms, for which an answer counts from its question on
PROBE_INTERVAL_SHARE = 1 / 8  # of contact_ms, between two questions: two may be lost and contact stands
OPEN_VOTE_SHARE = 1 / 2  # of the bound, after which an open vote may be one that was acknowledged elsewhere
MAX_PROBES = 8  # whose instants are kept; an answer to an older one is beyond the bound
CLOCK_STEP_SHARE = 1 / 4  # of the bound, by which the two clocks may part between two looks


class Proof(IntEnum):
    """What the answers of late prove, each with what stands before it."""

    NONE = 0
    """Others may have acknowledged what is not known here."""
    READS = 1
    """Nothing can have been acknowledged without one of those heard: reads are served."""
    ORDERS = 2
    """Those heard can acknowledge by themselves: orders are taken. Half of an even view never can."""


class ProbeReply(Struct, frozen=True):
    """One member's answer to the latest question that it has answered."""

    number: int
    sent_at: float
    disk_complete: bool  # its disk
    epoch: int  # of the view that it goes by
    contact: bool  # it has contact itself
    no_open_votes: bool = True  # it knows of no vote that has long been open


class QuorumContact:
    """``bound_s``: seconds for which an answer counts, from its question on."""

    def __init__(self, reply_valid_s: float) -> None:
        self.reply_valid_s = reply_valid_s
        self._count = 0
        self._sent: dict[int, float] = {}
        self._replies: dict[str, ProbeReply] = {}
        self._last_clocks: tuple[float, float] | None = None

    def check_clocks(self, now: float, wall_time: float) -> bool:
        """Called several times a second with both clocks; ``day``: seconds of the time of day.

        Where a machine is suspended its steady clock may stand still, and an old answer look fresh. The time
        of day goes on meanwhile, or is set; so where the two have parted since the last look, nothing counts
        that was asked before. A step of the time of day alone costs the same: one round of questions. True
        where that was so.
        """
        before, self._last_clocks = self._last_clocks, (now, wall_time)
        if (
            before is None
            or abs((wall_time - before[1]) - (now - before[0])) <= CLOCK_STEP_SHARE * self.reply_valid_s
        ):
            return False
        self._sent.clear()
        self._replies.clear()
        return True

    def start_probe(self, now: float) -> int:
        """A question goes out now, to all: its number."""
        self._count += 1
        self._sent[self._count] = now
        while len(self._sent) > MAX_PROBES:
            del self._sent[next(iter(self._sent))]
        return self._count

    def record_reply(
        self,
        member: str,
        number: int,
        disk_complete: bool,
        epoch: int,
        contact: bool,
        no_open_votes: bool = True,
    ) -> None:
        """An answer has come. One to an older question than the last that ``who`` answered changes nothing,
        nor does one to a question that was not asked, or is forgotten."""
        sent_at, known = self._sent.get(number), self._replies.get(member)
        if sent_at is not None and (known is None or number > known.number):
            self._replies[member] = ProbeReply(number, sent_at, disk_complete, epoch, contact, no_open_votes)

    def forget(self, member: str) -> None:
        """The link to it is lost: it may come back as another life, with another disk."""
        self._replies.pop(member, None)

    def valid_replies(self, now: float) -> dict[str, ProbeReply]:
        """By member: its answer, where that still counts."""
        return {
            member: reply
            for member, reply in self._replies.items()
            if now - reply.sent_at <= self.reply_valid_s
        }

    def proof(
        self,
        now: float,
        view: View,
        tolerance: Tolerance,
        own: str | None,
        synced: Collection[str],
        no_open_votes: bool = False,
    ) -> Proof:
        """``own``: this member, None while its disk is not whole; ``flowing``: members from whom all that
        they held has come by the link that stands now, so that news of theirs is known here.

        An answer counts under the view's own epoch alone: one of an older epoch may rest on a majority that
        is none any more. Who lately heard of a newer epoch does not know who counts, and has no contact.

        ``settled``: only those count who know of no vote that has long been open, so that what is held here
        is all that was acknowledged. A vote stays open where half of an even view is heard, which can't
        bring it to its end.
        """
        replies = self.valid_replies(now)
        if any(reply.epoch > view.epoch for reply in replies.values()):
            return Proof.NONE
        counts = {
            member
            for member, reply in replies.items()
            if reply.disk_complete
            and reply.epoch == view.epoch
            and member in synced
            and (reply.no_open_votes or not no_open_votes)
        }
        if own is not None:
            counts.add(own)
        if not view.overlaps(counts, tolerance):
            return Proof.NONE
        return Proof.ORDERS if view.durable(counts, tolerance) else Proof.READS

    def members_with_contact(self, now: float) -> list[str]:
        """Those that have said within the bound that they have contact, the latest first: where a caller may
        be sent."""
        found = [
            (reply.sent_at, member) for member, reply in self.valid_replies(now).items() if reply.contact
        ]
        return [member for _, member in sorted(found, reverse=True)]
