"""Two whole sidecars in virtual time, with clients and upstreams, while one or both are told to end."""

from rigs.shutdown_world.clock import SkippingLoop
from rigs.shutdown_world.judgement import Finding
from rigs.shutdown_world.plan import Plan, draw
from rigs.shutdown_world.world import Result, play

__all__ = ["Finding", "Plan", "Result", "SkippingLoop", "draw", "play"]
