"""Leases: which control process holds which lease, and in which epoch. No I/O; all times are seconds of the
caller's monotonic clock.

A lease belongs to the first live control process in the rendezvous order of the lease's name, which every
process computes alike. A process that finds itself first claims the lease with an item of the membership
store whose version is the epoch, one above the highest known. Requests of the holder carry the epoch, and a
process that knows a higher one refuses them. Two processes that cannot reach each other may both hold a
lease, so the actions of its holder must tolerate that (docs/design/duties.md).
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from typing import Any

from msgspec import Struct

from mesh.membership.rendezvous import rendezvous_order
from mesh.replication.items import Item, outranks

LEASE = "duty"  # kind of the items that hold claims
REAPING = "reaping"  # the lease to drop nodes that are gone
MEMBERS = "members"  # the lease to propose member changes
TENURE_FACTOR = 4.0  # times the stable time: how long a claim stands before another process may supersede it
MAX_EPOCH = 1 << 52


class LeaseRecord(Struct, frozen=True):
    """The highest known claim of a lease; epoch 0: there is none."""

    epoch: int
    holder: str


class Claim(Struct, frozen=True):
    """This process has to claim the lease with this epoch."""

    epoch: int


class Hold(Struct, frozen=True):
    """This process holds the lease in this epoch and may act."""

    epoch: int


class Standby(Struct, frozen=True):
    """Another process holds the lease, or none does yet."""


def lease_value(holder: str) -> dict[str, Any]:
    """The value of a claim's item."""
    return {"holder": holder}


def read_lease(epoch: object, fields: Mapping[str, Any] | None) -> LeaseRecord:
    """Parses a claim's version and value. Raises ValueError if they are not a claim."""
    holder = fields.get("holder") if fields is not None else None
    if not isinstance(epoch, int) or not 0 < epoch < MAX_EPOCH:
        raise ValueError("a lease's epoch is a whole number from 1")
    if not isinstance(holder, str) or not 0 < len(holder) <= 256:
        raise ValueError("a lease's holder is a node's name")
    return LeaseRecord(epoch, holder)


def first_live(lease_name: str, names: Iterable[str], live: Collection[str]) -> str:
    """The first live process in the lease's rendezvous order; "" if there is none."""
    return next((name for name in rendezvous_order(lease_name, names) if name in live), "")


class Lease:
    """One lease from the view of the process ``node``. The process must have been first for ``stable_s``
    before it claims; otherwise links that flap would move the lease back and forth."""

    def __init__(self, name: str, node: str, stable_s: float) -> None:
        self.name, self._node, self._stable_s, self._tenure_s = name, node, stable_s, TENURE_FACTOR * stable_s
        self.latest = LeaseRecord(0, "")
        self._latest_at = 0.0  # when `latest` was received
        self._first_since: float | None = None
        self._claimed = 0  # the last epoch that this incarnation claimed

    def note(self, now: float, record: LeaseRecord) -> bool:
        """Records a claim, or a request that carries it. Returns False, and the request has to be refused,
        if a higher claim is known."""
        if record == self.latest:
            return True
        if not outranks(self._item(record), self._item(self.latest)):
            return False
        self.latest, self._latest_at = record, now
        return True

    def _item(self, record: LeaseRecord) -> Item:
        """The claim as the store holds it, so that a tie within an epoch is resolved as in the store."""
        return Item(LEASE, self.name, record.epoch, lease_value(record.holder) if record.holder else {})

    def note_claimed(self, now: float, epoch: int) -> None:
        """Records that this process has claimed the lease."""
        self._claimed = epoch
        self.note(now, LeaseRecord(epoch, self._node))

    def decide(self, now: float, names: Iterable[str], live: Collection[str]) -> Claim | Hold | Standby:
        """``names``: all known control processes, this one included; ``live``: those that can act now. A
        claim is not superseded before its tenure ends, so that two processes that cannot reach each other,
        but both reach a third, do not supersede each other continually. An incarnation that has not claimed
        the lease itself does not hold it."""
        if first_live(self.name, names, live) != self._node:
            self._first_since = None
            return Standby()
        if self._first_since is None:
            self._first_since = now
        latest = self.latest
        if latest.holder == self._node and latest.epoch == self._claimed:
            return Hold(latest.epoch)
        if now - self._first_since < self._stable_s:
            return Standby()
        if latest.epoch and latest.holder != self._node and now - self._latest_at < self._tenure_s:
            return Standby()
        return Claim(latest.epoch + 1)
