"""Whose turn a duty is, and under which epoch. No I/O; instants in seconds of the caller's steady clock.

A duty falls to the first live control process in the order that rendezvous over the duty's name gives, the
same wherever it is worked out. Who finds itself first says so with an item of the roll whose version is the
epoch, one above the highest it knows. An order names the epoch that it is given under; who knows a higher
one refuses it. Nothing here keeps two processes that cannot hear each other from both holding a duty: what a
duty does must bear that (docs/design/duties.md).
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from typing import Any

from msgspec import Struct

from mesh.membership.rendezvous import rendezvous_order
from mesh.replication.items import Item, outranks

DUTY = "duty"  # the kind of the items that say who has one
REAPING = "reaping"  # dropping what is gone for good
MEMBERS = "members"  # proposing who counts
TENURE_FACTOR = 4.0  # of the steady time, a claim stands before it is outbid
MAX_EPOCH = 1 << 52


class LeaseRecord(Struct, frozen=True):
    """The highest claim known. Epoch 0: nobody has claimed it."""

    epoch: int
    holder: str


class Claim(Struct, frozen=True):
    """This process is to take the duty under that epoch."""

    epoch: int


class Hold(Struct, frozen=True):
    """This process has it, and may act."""

    epoch: int


class Standby(Struct, frozen=True):
    """It is another's, or nobody's yet."""


def lease_value(holder: str) -> dict[str, Any]:
    """Of a claim's item."""
    return {"holder": holder}


def read_lease(epoch: object, told: Mapping[str, Any] | None) -> LeaseRecord:
    """Raises ValueError for what is no claim."""
    holder = told.get("holder") if told is not None else None
    if not isinstance(epoch, int) or not 0 < epoch < MAX_EPOCH:
        raise ValueError("a duty's epoch is a whole number from 1")
    if not isinstance(holder, str) or not 0 < len(holder) <= 256:
        raise ValueError("a duty's holder is a node's name")
    return LeaseRecord(epoch, holder)


def first_live(duty: str, names: Iterable[str], live: Collection[str]) -> str:
    """The first live one in the duty's order; "" where none is."""
    return next((name for name in rendezvous_order(duty, names) if name in live), "")


class DutyLease:
    """One duty as the process ``me`` sees it. ``steady_s``: it must have been first for so long before it
    claims; links that come and go would hand the duty to and fro otherwise."""

    def __init__(self, duty: str, me: str, steady_s: float) -> None:
        self.duty, self._node, self._stable_s, self._tenure_s = duty, me, steady_s, TENURE_FACTOR * steady_s
        self.latest = LeaseRecord(0, "")
        self._latest_at = 0.0  # when it was learned
        self._first_since: float | None = None
        self._claimed = 0  # the epoch that this life claimed last

    def note(self, now: float, standing: LeaseRecord) -> bool:
        """A claim, or an order under it, has been heard. False: a higher one is known, and it is refused."""
        if standing == self.latest:
            return True
        if not outranks(self._item(standing), self._item(self.latest)):
            return False
        self.latest, self._latest_at = standing, now
        return True

    def _item(self, standing: LeaseRecord) -> Item:
        """What the roll would hold, so that two claims of one epoch are settled here as they are there."""
        return Item(DUTY, self.duty, standing.epoch, lease_value(standing.holder) if standing.holder else {})

    def note_claimed(self, now: float, epoch: int) -> None:
        """This process has said so."""
        self._claimed = epoch
        self.note(now, LeaseRecord(epoch, self._node))

    def decide(self, now: float, names: Iterable[str], live: Collection[str]) -> Claim | Hold | Standby:
        """``names``: all control processes known, this one too; ``live``: those that can act now. A claim is
        not outbid before its time, so that two who do not hear each other, and are both heard by a third,
        do not outbid each other all the time; a life that has not claimed it does not have it."""
        if first_live(self.duty, names, live) != self._node:
            self._first_since = None
            return Standby()
        if self._first_since is None:
            self._first_since = now
        newest = self.latest
        if newest.holder == self._node and newest.epoch == self._claimed:
            return Hold(newest.epoch)
        if now - self._first_since < self._stable_s:
            return Standby()
        if newest.epoch and newest.holder != self._node and now - self._latest_at < self._tenure_s:
            return Standby()
        return Claim(newest.epoch + 1)
