"""Load-balancing policies to compare ``hareloom.Balancer`` with, behind the same interface, by name.

All keep the rules on retries, draining servers and final answers. Rules about things that a textbook policy
does not know (warming or overloaded servers) may be broken; the checker counts that.
"""

from __future__ import annotations

from hareloom import Balancer
from lab.policies.choices import Ejecting, LeastOfTwo, Random, RoundRobin, SmoothedOfTwo
from lab.policies.hedged import HedgingBalancer, ProxyBalancer
from lab.policies.limits import GradientLimit
from lab.policies.module import NoLimit, NoRetries
from lab.policies.oracle import LateOracle, Oracle
from lab.policies.repeats import FixedRetries, JitteredBackoff, RetryBudget
from lab.sidecars import Policy

# Each policy, and whether the detection of retry storms (anisestair.storms) runs in front of it.
POLICIES: dict[str, tuple[Policy, bool]] = {
    "module": (Balancer, False),
    "module+storms": (Balancer, True),
    "mesh": (ProxyBalancer, False),
    "mesh with hedges": (HedgingBalancer, False),
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


class UnknownPolicyError(ValueError):
    """There is no policy of that name; the message is one line."""


def find_policy(name: str) -> tuple[Policy, bool]:
    """The policy of this name, and whether storm detection runs in front of it.

    A revision after "@" is ignored here; the worker loads it. Raises UnknownPolicyError."""
    entry = POLICIES.get(name.partition("@")[0])
    if entry is None:
        raise UnknownPolicyError(f"policy: {name!r} is unknown; choose one of: {', '.join(sorted(POLICIES))}")
    return entry
