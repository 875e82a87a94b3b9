"""An upstream as the endpoint list describes it: whether it accepts new calls, and its incarnation."""

from __future__ import annotations

from collections.abc import Hashable
from typing import NamedTuple

from anisestair.lifecycle.connection import Connection


class Endpoint(NamedTuple):
    ready: bool  # listed as ready; False: draining. A removed endpoint is in no table
    # Changes whenever the endpoint is listed anew, changes its address or restarts. A connection made to an
    # earlier incarnation leads to a process that has ended or, if the address has been reused, to another
    # server, which may be in another cell or draining.
    incarnation: int
    life: Hashable  # address and start time, by which the list distinguishes incarnations
    calls: int = 1  # maximum number of concurrent calls on one connection


def accepts_new_calls(endpoint: Endpoint | None) -> bool:
    """Return whether new calls may be sent there. They stop with the event that reports the drain or removal.
    The grace period of the rules is not used: it covers the delay until a sidecar is informed."""
    return endpoint is not None and endpoint.ready


def may_keep(endpoint: Endpoint | None, connection: Connection) -> bool:
    """Return whether a connection may stay open there for its next call."""
    return endpoint is not None and endpoint.ready and endpoint.incarnation == connection.incarnation
