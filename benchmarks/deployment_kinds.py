"""Kinds of deployments that are drawn beside the plain ones: each fixes one thing that constants may hang on.

A kind says what is other than in a plain drawn deployment; all else is drawn as ever.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True)
class DeploymentKind:
    """What is fixed in place of drawn; none of a thing leaves it drawn."""

    name: str
    core_count: int | None = None
    counted: bool = True  # whether any loss at all is tolerated
    region_count: int | None = None
    times: float = 1.0  # factor on what calls take, aim at and may take
    longest_deadline_ms: float | None = None  # of the kind of request with the longest; all times go along
    single_upstream: bool = False  # one of the services has one upstream
    bounds: Mapping[str, float] = field(default_factory=dict)
    net: Mapping[str, float] = field(default_factory=dict)


PLAIN = DeploymentKind("plain")
KINDS = {
    kind.name: kind
    for kind in (
        PLAIN,
        DeploymentKind("fast", times=0.1),
        DeploymentKind("short-deadlines", longest_deadline_ms=95.0),
        DeploymentKind("far-regions", region_count=2, net={"cross_region_ms": 55.0}),
        DeploymentKind("core-1", core_count=1),
        DeploymentKind("core-9", core_count=9),
        DeploymentKind("core-11", core_count=11),
        DeploymentKind("none-counted", counted=False),
        DeploymentKind("grace-2", bounds={"grace_s": 2}),
        DeploymentKind("grace-30", bounds={"grace_s": 30}),
        DeploymentKind("settle-700", bounds={"config_ms": 700}),
        DeploymentKind("ack-1500", bounds={"ack_ms": 1500}),
        DeploymentKind("single-upstream", single_upstream=True),
    )
}
