"""Whether this process is ready to serve, as a state machine without I/O."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

# How long a start waits for the first response of discovery before it relies on the configured list alone.
# Discovery responds at once if it has a newer list, and otherwise holds the call open for seconds.
DISCOVERY_WAIT_MS = 300.0


class Stage(Enum):
    STARTING = "starting"
    READY = "ready"
    ENDING = "ending"


class UpstreamStatus(NamedTuple):
    """The number of upstreams that take requests, and the results of the calls to discovery."""

    usable: int
    list_received: bool  # discovery has sent a list
    call_failed: bool  # a call to discovery did not succeed


def may_serve(waited_ms: float, upstreams: UpstreamStatus) -> bool:
    """Whether a process may begin to serve, ``waited_ms`` after its start."""
    if not upstreams.usable:
        return False
    return upstreams.list_received or upstreams.call_failed or waited_ms >= DISCOVERY_WAIT_MS


class Readiness:
    """The stage of the process, which stays READY until shutdown, even if discovery is lost or the list of
    upstreams becomes empty: a replacement could serve no better. An ending process is never ready again."""

    def __init__(self) -> None:
        self.stage = Stage.STARTING

    def ready(self) -> None:
        if self.stage is Stage.STARTING:
            self.stage = Stage.READY

    def end(self) -> None:
        self.stage = Stage.ENDING


def why(stage: Stage, upstreams: UpstreamStatus) -> str:
    """Returns a one-line reason for the stage, for operators."""
    if stage is Stage.READY:
        return "ready"
    if stage is Stage.ENDING:
        return "ending: open requests are answered, new connections go elsewhere"
    if not upstreams.usable:
        return "starting: no upstream in the list takes requests yet"
    return "starting: discovery has not answered yet"
