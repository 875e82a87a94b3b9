"""An upstream as the list tells of it: whether it takes anything new, and which of its lives it is in."""

from __future__ import annotations

from collections.abc import Hashable
from typing import NamedTuple

from anisestair.lifecycle.connection import Connection


class Endpoint(NamedTuple):
    ready: bool  # listed as ready; False: draining. One that is gone is in no table
    # Counted anew whenever it comes onto the list, or at another address, or has started again. A connection
    # made to an earlier one leads to a process that is no more, or, where the address is used again, to
    # another server: one in another cell, perhaps, or one that drains.
    incarnation: int
    life: Hashable  # what the list tells one life from another by: address and start
    calls: int = 1  # so many at once on one connection


def accepts_new_calls(endpoint: Endpoint | None) -> bool:
    """From the event on that tells of its drain or its end nothing new goes to an upstream. The grace that
    the rules allow is not used: it is there for what the sidecar cannot know, not for what it has been
    told."""
    return endpoint is not None and endpoint.ready


def may_keep(endpoint: Endpoint | None, connection: Connection) -> bool:
    """Whether a connection may wait there for its next call."""
    return endpoint is not None and endpoint.ready and endpoint.incarnation == connection.incarnation
