"""Load-balancing decisions for a sidecar, by inverse-latency deficit round-robin."""

from hareloom import ahead

ahead.use(__path__)

from hareloom.rules import Balancer  # noqa: E402  (after `ahead` has changed the search path)

__all__ = ["Balancer"]
