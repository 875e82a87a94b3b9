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

BOUND_SHARE = 1 / 3  # of contact_ms, for which an answer counts from its question on
EVERY_SHARE = 1 / 8  # of contact_ms, between two questions: two may be lost and contact stands
OPEN_SHARE = 1 / 2  # of the bound, after which an open vote may be one that was acknowledged elsewhere
QUESTIONS = 8  # whose instants are kept; an answer to an older one is beyond the bound
STEP_SHARE = 1 / 4  # of the bound, by which the two clocks may part between two looks


class Proof(IntEnum):
    """What the answers of late prove, each with what stands before it."""

    NONE = 0
    """Others may have acknowledged what is not known here."""
    READS = 1
    """Nothing can have been acknowledged without one of those heard: reads are served."""
    ORDERS = 2
    """Those heard can acknowledge by themselves: orders are taken. Half of an even view never can."""


class Heard(Struct, frozen=True):
    """One member's answer to the latest question that it has answered."""

    number: int
    asked_at: float
    whole: bool  # its disk
    epoch: int  # of the view that it goes by
    contact: bool  # it has contact itself
    settled: bool = True  # it knows of no vote that has long been open


class Contact:
    """``bound_s``: seconds for which an answer counts, from its question on."""

    def __init__(self, bound_s: float) -> None:
        self.bound_s = bound_s
        self._count = 0
        self._asked: dict[int, float] = {}
        self._heard: dict[str, Heard] = {}
        self._looked: tuple[float, float] | None = None

    def look(self, now: float, day: float) -> bool:
        """Called several times a second with both clocks; ``day``: seconds of the time of day.

        Where a machine is suspended its steady clock may stand still, and an old answer look fresh. The time
        of day goes on meanwhile, or is set; so where the two have parted since the last look, nothing counts
        that was asked before. A step of the time of day alone costs the same: one round of questions. True
        where that was so.
        """
        before, self._looked = self._looked, (now, day)
        if before is None or abs((day - before[1]) - (now - before[0])) <= STEP_SHARE * self.bound_s:
            return False
        self._asked.clear()
        self._heard.clear()
        return True

    def ask(self, now: float) -> int:
        """A question goes out now, to all: its number."""
        self._count += 1
        self._asked[self._count] = now
        while len(self._asked) > QUESTIONS:
            del self._asked[next(iter(self._asked))]
        return self._count

    def answered(
        self, who: str, number: int, whole: bool, epoch: int, contact: bool, settled: bool = True
    ) -> None:
        """An answer has come. One to an older question than the last that ``who`` answered changes nothing,
        nor does one to a question that was not asked, or is forgotten."""
        asked_at, known = self._asked.get(number), self._heard.get(who)
        if asked_at is not None and (known is None or number > known.number):
            self._heard[who] = Heard(number, asked_at, whole, epoch, contact, settled)

    def forget(self, who: str) -> None:
        """The link to it is lost: it may come back as another life, with another disk."""
        self._heard.pop(who, None)

    def lately(self, now: float) -> dict[str, Heard]:
        """By member: its answer, where that still counts."""
        return {who: heard for who, heard in self._heard.items() if now - heard.asked_at <= self.bound_s}

    def proof(
        self,
        now: float,
        view: View,
        tolerance: Tolerance,
        own: str | None,
        flowing: Collection[str],
        settled: bool = False,
    ) -> Proof:
        """``own``: this member, None while its disk is not whole; ``flowing``: members from whom all that
        they held has come by the link that stands now, so that news of theirs is known here.

        An answer counts under the view's own epoch alone: one of an older epoch may rest on a majority that
        is none any more. Who lately heard of a newer epoch does not know who counts, and has no contact.

        ``settled``: only those count who know of no vote that has long been open, so that what is held here
        is all that was acknowledged. A vote stays open where half of an even view is heard, which can't
        bring it to its end.
        """
        lately = self.lately(now)
        if any(heard.epoch > view.epoch for heard in lately.values()):
            return Proof.NONE
        counts = {
            who
            for who, heard in lately.items()
            if heard.whole and heard.epoch == view.epoch and who in flowing and (heard.settled or not settled)
        }
        if own is not None:
            counts.add(own)
        if not view.overlaps(counts, tolerance):
            return Proof.NONE
        return Proof.ORDERS if view.durable(counts, tolerance) else Proof.READS

    def with_contact(self, now: float) -> list[str]:
        """Those that have said within the bound that they have contact, the latest first: where a caller may
        be sent."""
        said = [(heard.asked_at, who) for who, heard in self.lately(now).items() if heard.contact]
        return [who for _, who in sorted(said, reverse=True)]
