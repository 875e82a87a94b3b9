"""The lives of exchanges, attempts, connections to upstreams and endpoints, as explicit machines.

Nothing here does I/O, reads a clock or draws a random number: events go into a `Lives` as values, effects
come out as values, and whoever holds the sockets carries them out in their order.
"""

from anisestair.lifecycle.lives import Lives

__all__ = ["Lives"]
