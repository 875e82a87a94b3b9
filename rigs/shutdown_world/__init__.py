"""Simulation of two sidecars with clients and upstreams in virtual time, while one or both shut down."""

from rigs.shutdown_world.clock import SkippingLoop
from rigs.shutdown_world.judgement import Finding
from rigs.shutdown_world.plan import Plan, draw_plan
from rigs.shutdown_world.world import Result, run_plan

__all__ = ["Finding", "Plan", "Result", "SkippingLoop", "draw_plan", "run_plan"]
