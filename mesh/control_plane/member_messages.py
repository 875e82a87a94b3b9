"""The frames in which the holder of the lease `members` queries the other control processes for how long
members have been silent there. Unknown fields are ignored, so that later releases may add some."""

from __future__ import annotations

import msgspec

from mesh.membership.failure_detection import MAX_QUERIED_NODES, SilenceReport
from mesh.membership.lease import LeaseRecord, lease_value, read_lease
from mesh.transport.frames import Head


class SilenceQuery(msgspec.Struct, frozen=True, tag_field="t", tag="silent"):
    """Asks how long these have been silent to the peer. ``of``: members by address, other nodes by name."""

    n: int
    epoch: int
    holder: str
    of: list[str]


class SilenceAnswer(msgspec.Struct, frozen=True, tag_field="t", tag="silences"):
    """Seconds of silence, in the order of the query. ``linked``: age of the last contact over a link of
    the sender itself, None for never; earlier releases omit this field."""

    n: int
    silent: list[float]
    linked: list[float | None] = []

    def report(self, nodes: list[str]) -> SilenceReport:
        """The report on the queried nodes. Raises ValueError if it answers another query."""
        linked = self.linked or [None] * len(nodes)
        if len(self.silent) != len(nodes) or len(linked) != len(nodes):
            raise ValueError("the answer is for another number of nodes")
        linked_s = {name: age_s for name, age_s in zip(nodes, linked, strict=True) if age_s is not None}
        return SilenceReport(dict(zip(nodes, self.silent, strict=True)), linked_s)


class ClaimSuperseded(msgspec.Struct, frozen=True, tag_field="t", tag="outdone"):
    """Refuses a query: there is a claim of the lease under a higher epoch."""

    epoch: int
    holder: str


Frame = SilenceQuery | SilenceAnswer | ClaimSuperseded
KINDS = frozenset({"silent", "silences", "outdone"})


def decode(head: Head) -> Frame | None:
    """Decodes a frame; None for other kinds of frames. Raises ValueError if it is malformed."""
    if head["t"] not in KINDS:
        return None
    try:
        frame: Frame = msgspec.convert(head, Frame)
    except msgspec.ValidationError as fault:
        raise ValueError(str(fault)) from fault
    if isinstance(frame, SilenceQuery) and len(frame.of) > MAX_QUERIED_NODES:
        raise ValueError("the query is for too many nodes")
    return frame


def encode(frame: Frame) -> Head:
    """The frame as it is sent over a link."""
    message: Head = msgspec.to_builtins(frame)
    return message


def lease_record(frame: SilenceQuery | ClaimSuperseded) -> LeaseRecord:
    """The claim of the lease that the frame refers to. Raises ValueError if it is malformed."""
    return read_lease(frame.epoch, lease_value(frame.holder))
