"""Explicit state machines for exchanges, attempts, connections to upstreams and endpoints.

Nothing here does I/O, reads a clock or draws a random number: `Lives.handle` takes an event as a value and
returns effects as values, which the owner of the sockets carries out in order.
"""

from anisestair.lifecycle.lives import Lives

__all__ = ["Lives"]
