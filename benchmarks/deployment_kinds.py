"""Kinds of drawn deployments. Each fixes one property on which constants of the mesh may depend; everything
else is drawn as for a plain deployment.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True)
class DeploymentKind:
    """The properties that are fixed; None, or the default, leaves a property to be drawn."""

    name: str
    core_count: int | None = None
    tolerates_losses: bool = True  # whether any loss is tolerated
    region_count: int | None = None
    time_factor: float = 1.0  # factor for the work, aim and deadline of calls
    longest_deadline_ms: float | None = None  # of all request classes; all their times scale with it
    single_upstream: bool = False  # one of the services has only one upstream
    bounds: Mapping[str, float] = field(default_factory=dict)
    network: Mapping[str, float] = field(default_factory=dict)


PLAIN = DeploymentKind("plain")
KINDS = {
    kind.name: kind
    for kind in (
        PLAIN,
        DeploymentKind("fast", time_factor=0.1),
        DeploymentKind("short-deadlines", longest_deadline_ms=95.0),
        DeploymentKind("far-regions", region_count=2, network={"cross_region_ms": 55.0}),
        DeploymentKind("core-1", core_count=1),
        DeploymentKind("core-9", core_count=9),
        DeploymentKind("core-11", core_count=11),
        DeploymentKind("none-counted", tolerates_losses=False),
        DeploymentKind("grace-2", bounds={"grace_s": 2}),
        DeploymentKind("grace-30", bounds={"grace_s": 30}),
        DeploymentKind("settle-700", bounds={"config_ms": 700}),
        DeploymentKind("ack-1500", bounds={"ack_ms": 1500}),
        DeploymentKind("single-upstream", single_upstream=True),
    )
}
