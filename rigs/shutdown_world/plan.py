"""What a play consists of, drawn from a seed: clients, when each sidecar is told to end, and the troubles."""

from __future__ import annotations

import random
from enum import Enum

from msgspec import Struct

GRACE_S = 6.0
NEVER = float("inf")
LATEST_WORK_S = 2.4  # of an upstream on one request; rare


class Kind(Enum):
    """How a client uses its connections."""

    PLAIN = "one request at a time on a kept connection"
    AHEAD = "further requests before the first is answered"
    ONCE = "a connection for each request"
    SLOW = "each request in two pieces"


class ClientPlan(Struct, frozen=True):
    """One client. ``pause_s``: the longest rest between two of its turns; ``ahead``: the most requests that
    it sends in one turn."""

    kind: Kind
    pause_s: float
    ahead: int


class Plan(Struct, frozen=True):
    """One play; instants are seconds from its start. NEVER is what does not happen."""

    seed: int
    clients: tuple[ClientPlan, ...]
    first_ends_s: float  # SIGTERM of the sidecar that takes the requests
    second_ends_s: float  # and of the one beside the other upstream
    clients_stop_s: float  # the platform sends no more work to the first
    delay_s: float  # from a client to its sidecar, one way
    news_s: float  # until one sidecar knows what the other says of its upstream
    hups_s: tuple[float, ...] = ()  # the first's settings change
    changes_s: tuple[float, ...] = ()  # the configuration changes
    resets_s: tuple[float, ...] = ()  # all links between the two are reset


def draw(seed: int, troubles: bool = False) -> Plan:
    """The play of a seed. ``troubles``: links are reset, too, which no plan of the operators brings."""
    choose = random.Random(seed)
    first = choose.uniform(0.3, 2.0)
    second = choose.choice((NEVER, NEVER, choose.uniform(0.0, 6.0)))
    told = choose.choice((True, False))  # with most of the zone ending, the platform goes on sending work
    clients = tuple(
        ClientPlan(choose.choice(tuple(Kind)), choose.choice((0.02, 0.3, 2.5)), choose.randint(2, 4))
        for _ in range(choose.randint(4, 14))
    )
    return Plan(
        seed=seed,
        clients=clients,
        first_ends_s=first,
        second_ends_s=second,
        clients_stop_s=first + choose.uniform(1.0, 2.1) if told else NEVER,
        delay_s=choose.choice((0.0005, 0.008, 0.03)),
        news_s=choose.choice((0.02, 0.3, 1.0)),
        hups_s=tuple(choose.uniform(0.0, 6.0) for _ in range(choose.randint(0, 3))),
        changes_s=tuple(choose.uniform(0.0, 6.0) for _ in range(choose.randint(0, 4))),
        resets_s=tuple(choose.uniform(0.0, 6.0) for _ in range(choose.randint(1, 3))) if troubles else (),
    )
