"""A scenario of an outage: the fleet, its load, what fails and how clients behave. One file, as TOML.

It drives the twin in virtual time (storm_twin); everything in it is drawn from its seed.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=1, le=5000)]


class Servers(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Order servers: ``workers`` calls at a time, ``service_ms`` each, when warm."""

    count: Count = 15
    workers: Count = 4
    service_ms: Positive = 20.0
    spread: Share = 0.3  # of a call's own time, either way
    queue: Count = 60  # calls that wait; more are turned away
    thrash: Annotated[float, Meta(ge=0)] = 0.5  # a full queue makes each call longer by this share
    handshake_ms: Annotated[float, Meta(ge=0)] = 4.0  # work that a new connection costs
    cold_share: Annotated[float, Meta(gt=0, le=1)] = 0.3  # what it can do as it starts, of all
    warm_up_ms: Annotated[float, Meta(ge=0)] = 8000.0
    fall_multiple: Positive = 2.5  # it falls when so many times what it can do comes
    fall_ms: Positive = 1000.0  # for so long
    down_ms: Positive = 3000.0  # and is back, cold, after this


class Outage(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What happens to a share of the servers. Silent: nothing comes back, and connects never come up."""

    kind: Literal["none", "silent", "dead"] = "silent"
    share: Share = 0.18
    at_ms: Positive = 15_000.0
    for_ms: Positive = 6000.0
    flaps: Count = 1  # so many times, with as long between
    spread_ms: Annotated[float, Meta(ge=0)] = 0.0  # over which they return; 0: all at once
    told_ms: tuple[float, float] = (500.0, 2500.0)  # after which a sidecar hears of a return
    late_share: Share = 0.0  # of the sidecars, that hear of it
    late_ms: Annotated[float, Meta(ge=0)] = 5000.0  # so much later


class Clients(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Who asks: each refused or failed call is tried again, but for sales that may have run."""

    tries: Count = 4
    ignoring: Share = 0.0  # of the calls: come back at once, whatever they were told
    impatient: Share = 0.0  # of the calls: gone after a third of their time, and back
    backoff_ms: Positive = 40.0  # before a second try where nothing was told; doubled with each
    try_share: Annotated[float, Meta(gt=0, le=1)] = 0.6  # of the whole time, after which a try is given up
    marked: bool = True  # repeats are marked as such
    sales: Share = 0.4
    burst: Annotated[float, Meta(ge=1)] = 1.0  # first tries are so many times as many, from 15 s on for 5 s


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    name: str
    seconds: Positive = 45.0
    sidecars: Count = 30
    load: Positive = 0.7  # first tries, as a share of what all servers can do
    net_ms: Positive = 0.5
    servers: Servers = Servers()
    outage: Outage = Outage()
    clients: Clients = Clients()


def load(path: Path) -> Scenario:
    """Raises ValueError, which names file and field."""
    try:
        return msgspec.convert(tomllib.loads(path.read_text(encoding="utf-8")), Scenario)
    except (ValueError, msgspec.ValidationError) as fault:
        raise ValueError(f"{path}: {fault}") from None
