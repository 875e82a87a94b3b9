"""The plan of a run, drawn from a seed: clients, the shutdown of each sidecar, and faults."""

from __future__ import annotations

import random
from enum import Enum

from msgspec import Struct

GRACE_S = 6.0
NEVER = float("inf")
MAX_WORK_S = 2.4  # of an upstream on one request


class Kind(Enum):
    """How a client uses its connections."""

    PLAIN = "one request at a time on a kept connection"
    AHEAD = "further requests before the first is answered"
    ONCE = "a connection for each request"
    SLOW = "each request in two pieces"


class ClientPlan(Struct, frozen=True):
    """One client. ``pause_s``: the longest pause between two batches; ``ahead``: the largest batch."""

    kind: Kind
    pause_s: float
    ahead: int


class Plan(Struct, frozen=True):
    """One run; times are seconds from its start, and NEVER stands for events that do not happen."""

    seed: int
    clients: tuple[ClientPlan, ...]
    first_ends_s: float  # SIGTERM of the sidecar that the clients use
    second_ends_s: float  # and of the other one
    clients_stop_s: float  # when the platform routes no more requests to the first sidecar
    delay_s: float  # from a client to its sidecar, one way
    news_s: float  # until a sidecar has the other's membership items
    hups_s: tuple[float, ...] = ()  # the first sidecar reloads changed settings
    changes_s: tuple[float, ...] = ()  # the configuration changes
    resets_s: tuple[float, ...] = ()  # all links between the sidecars are reset


def draw_plan(seed: int, link_resets: bool = False) -> Plan:
    """Draws the plan of a seed. ``link_resets``: links are reset, too, which only faults cause."""
    rng = random.Random(seed)
    first = rng.uniform(0.3, 2.0)
    second = rng.choice((NEVER, NEVER, rng.uniform(0.0, 6.0)))
    stops_clients = rng.choice((True, False))  # not if most of the zone shuts down
    clients = tuple(
        ClientPlan(
            rng.choice(tuple(Kind)),
            rng.choice((0.02, 0.3, 2.5)),
            rng.randint(2, 4),
        )
        for _ in range(rng.randint(4, 14))
    )
    return Plan(
        seed=seed,
        clients=clients,
        first_ends_s=first,
        second_ends_s=second,
        clients_stop_s=first + rng.uniform(1.0, 2.1) if stops_clients else NEVER,
        delay_s=rng.choice((0.0005, 0.008, 0.03)),
        news_s=rng.choice((0.02, 0.3, 1.0)),
        hups_s=tuple(rng.uniform(0.0, 6.0) for _ in range(rng.randint(0, 3))),
        changes_s=tuple(rng.uniform(0.0, 6.0) for _ in range(rng.randint(0, 4))),
        resets_s=tuple(rng.uniform(0.0, 6.0) for _ in range(rng.randint(1, 3))) if link_resets else (),
    )
