"""Whether a control process has contact: recent replies of enough members to its probes. No I/O.

All times are seconds of this process's monotonic clock. A reply counts from the time its probe was *sent*: it
proves only that its sender was there and receiving at some moment after that. A process that was frozen and
resumes therefore has no contact, whatever replies wait in its sockets, and a path that works in one direction
proves nothing to either end. Argument and bounds: docs/design/control.md, Contact.
"""

from __future__ import annotations

from collections.abc import Collection
from enum import IntEnum

from msgspec import Struct

from mesh.replication.membership_epochs import View
from mesh.replication.quorum import Tolerance

REPLY_VALID_SHARE = 1 / 3  # of contact_ms, for which a reply counts, from the sending of its probe
PROBE_INTERVAL_SHARE = 1 / 8  # of contact_ms, between two probes: contact survives the loss of two
OPEN_VOTE_SHARE = 1 / 2  # of the reply validity, after which an open vote may be acknowledged elsewhere
MAX_PROBES = 8  # probes whose send times are kept; replies to older ones are no longer valid
CLOCK_STEP_SHARE = 1 / 4  # of the reply validity, by which the clocks may diverge between two checks


class ContactLevel(IntEnum):
    """What the recent replies prove, and so what may be served; explained below each level."""

    NONE = 0
    """Others may have acknowledged writes that are not known here."""
    READS = 1
    """Nothing can have been acknowledged without one of the responders: reads are served."""
    WRITES = 2
    """The responders alone can acknowledge writes: writes are accepted. Half of an even view never can."""

    @property
    def status_name(self) -> str:
        """The level's name in the status that operators read."""
        return "orders" if self is ContactLevel.WRITES else self.name.lower()


class ProbeReply(Struct, frozen=True):
    """One member's reply to the latest probe that it has answered."""

    number: int
    sent_at: float
    disk_complete: bool
    epoch: int  # of the view that it uses
    contact: bool  # the member has contact itself
    no_open_votes: bool = True  # it knows of no vote that has been open for long


class QuorumContact:
    """The probes and replies of one process. ``reply_valid_s``: how long a reply counts, from the sending of
    its probe."""

    def __init__(self, reply_valid_s: float) -> None:
        self.reply_valid_s = reply_valid_s
        self._count = 0
        self._sent: dict[int, float] = {}
        self._replies: dict[str, ProbeReply] = {}
        self._last_clocks: tuple[float, float] | None = None

    def check_clocks(self, now: float, wall_time: float) -> bool:
        """Called several times a second with the monotonic clock and the time of day, both in seconds.

        While a machine is suspended its monotonic clock may stand still and an old reply look recent. The
        time of day advances meanwhile, or is set. If the two have diverged since the last check, all earlier
        probes are void and the result is True. A step of the time of day alone costs the same: one round of
        probes.
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
        """Records that a probe is sent to all members now; returns its number."""
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
        """Records a reply. Replies to older probes than the last one that ``member`` answered, and to unknown
        or discarded probes, change nothing."""
        sent_at, known = self._sent.get(number), self._replies.get(member)
        if sent_at is not None and (known is None or number > known.number):
            self._replies[member] = ProbeReply(number, sent_at, disk_complete, epoch, contact, no_open_votes)

    def forget(self, member: str) -> None:
        """Discards the reply of a member whose link is lost: it may return as another incarnation, with
        another disk."""
        self._replies.pop(member, None)

    def valid_replies(self, now: float) -> dict[str, ProbeReply]:
        """The replies that still count, by member."""
        return {
            member: reply
            for member, reply in self._replies.items()
            if now - reply.sent_at <= self.reply_valid_s
        }

    def level(
        self,
        now: float,
        view: View,
        tolerance: Tolerance,
        own: str | None,
        synced: Collection[str],
        no_open_votes: bool = False,
    ) -> ContactLevel:
        """``own``: this member, None while its disk is not complete; ``synced``: members that have sent
        everything they held over the current link, so that their updates are known here.

        A reply counts only under the epoch of this view: one of an older epoch may rest on a majority that no
        longer exists. A process that received a newer epoch does not know the members, and has no contact.

        ``no_open_votes``: count only members without votes that have been open for long, so that the state
        here includes all acknowledged writes. A vote stays open while only half of an even view responds.
        """
        replies = self.valid_replies(now)
        if any(reply.epoch > view.epoch for reply in replies.values()):
            return ContactLevel.NONE
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
            return ContactLevel.NONE
        return ContactLevel.WRITES if view.durable(counts, tolerance) else ContactLevel.READS

    def members_with_contact(self, now: float) -> list[str]:
        """Members that reported contact within the bound, the latest first: callers may be redirected to
        them."""
        found = [
            (reply.sent_at, member) for member, reply in self.valid_replies(now).items() if reply.contact
        ]
        return [member for _, member in sorted(found, reverse=True)]
