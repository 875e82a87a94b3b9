"""The frames in which the holder of the duty `members` asks the other control processes for how long members
have been silent there. Unknown fields are passed over, so that later releases may add some.

`Frame` is what a frame is decoded to, once; what it is written as is its only other form.
"""

from __future__ import annotations

import msgspec

from mesh.membership.failure_detection import MAX_QUERIED_NODES, SilenceReport
from mesh.membership.lease import LeaseRecord, lease_value, read_lease
from mesh.transport.frames import Head


class SilenceQuery(msgspec.Struct, frozen=True, tag_field="t", tag="silent"):
    """For how long have these been silent there? ``of``: members by address, other nodes by name."""

    n: int
    epoch: int
    holder: str
    of: list[str]


class SilenceAnswer(msgspec.Struct, frozen=True, tag_field="t", tag="silences"):
    """Seconds, in the order of the question. ``linked``: how long ago each was heard over a link of the
    answerer's own, None: never; processes from before that field leave it out."""

    n: int
    silent: list[float]
    linked: list[float | None] = []

    def report(self, nodes: list[str]) -> SilenceReport:
        """For the nodes that were asked for. Raises ValueError where it answers another question."""
        linked = self.linked or [None] * len(nodes)
        if len(self.silent) != len(nodes) or len(linked) != len(nodes):
            raise ValueError("not as many answers as were asked for")
        heard = {name: heard_s for name, heard_s in zip(nodes, linked, strict=True) if heard_s is not None}
        return SilenceReport(dict(zip(nodes, self.silent, strict=True)), heard)


class ClaimSuperseded(msgspec.Struct, frozen=True, tag_field="t", tag="outdone"):
    """A question is refused: there is a claim of the duty under a higher epoch."""

    epoch: int
    holder: str


Frame = SilenceQuery | SilenceAnswer | ClaimSuperseded
KINDS = frozenset({"silent", "silences", "outdone"})


def decode(head: Head) -> Frame | None:
    """None for a frame of another conversation; raises ValueError for what cannot be read."""
    if head["t"] not in KINDS:
        return None
    try:
        frame: Frame = msgspec.convert(head, Frame)
    except msgspec.ValidationError as fault:
        raise ValueError(str(fault)) from fault
    if isinstance(frame, SilenceQuery) and len(frame.of) > MAX_QUERIED_NODES:
        raise ValueError("a question for too many nodes")
    return frame


def encode(frame: Frame) -> Head:
    """As it goes over a link."""
    told: Head = msgspec.to_builtins(frame)
    return told


def lease_record(frame: SilenceQuery | ClaimSuperseded) -> LeaseRecord:
    """The claim of the duty that it goes by. Raises ValueError for what is no claim."""
    return read_lease(frame.epoch, lease_value(frame.holder))
