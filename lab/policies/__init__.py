"""Policies to hold the module against, each behind the module's own interface, and the table of all by name.

They keep the rules on repeats, drains and final answers; what their kind has no notion of (a cold start, an
overload) they do not keep, and the checker counts it.
"""

from __future__ import annotations

from hareloom import Balancer
from lab.policies.choices import Ejecting, LeastOfTwo, Random, RoundRobin, SmoothedOfTwo
from lab.policies.hedged import Hedged, Mesh
from lab.policies.limits import GradientLimit
from lab.policies.module import NoLimit, NoRetries
from lab.policies.oracle import LateOracle, Oracle
from lab.policies.repeats import FixedRetries, JitteredBackoff, RetryBudget
from lab.sidecars import Policy

# What decides, and whether the watch for storms stands before it.
POLICIES: dict[str, tuple[Policy, bool]] = {
    "module": (Balancer, False),
    "module+storms": (Balancer, True),
    "mesh": (Mesh, False),
    "mesh with hedges": (Hedged, False),
    "module without limit": (NoLimit, False),
    "module without retries": (NoRetries, False),
    "round robin": (RoundRobin, False),
    "random": (Random, False),
    "least of two": (LeastOfTwo, False),
    "smoothed of two": (SmoothedOfTwo, False),
    "ejecting": (Ejecting, False),
    "fixed retries": (FixedRetries, False),
    "retry budget": (RetryBudget, False),
    "jittered back-off": (JitteredBackoff, False),
    "gradient limit": (GradientLimit, False),
    "oracle": (Oracle, False),
    "late oracle": (LateOracle, False),
}


class Unknown(ValueError):
    """No policy of that name: one line."""


def policy(name: str) -> tuple[Policy, bool]:
    """What decides, and whether the watch for storms is on. A revision after an @ is the worker's to load.
    Raises Unknown."""
    found = POLICIES.get(name.partition("@")[0])
    if found is None:
        raise Unknown(f"policy: {name!r} is none; one of: {', '.join(sorted(POLICIES))}")
    return found
