"""Load-balancing decisions for a sidecar, by inverse-latency deficit round-robin."""

from hareloom.rules import Balancer

__all__ = ["Balancer"]
