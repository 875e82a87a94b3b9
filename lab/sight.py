"""The true state of all servers, for oracle policies: the upper bound that other policies are compared with.

A view with ``delay_ms`` 0 shows the present; any other shows the state that long ago, as a server's answer
would report it. No real sidecar has such a view: it shows how much service better information could gain.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import deque
from collections.abc import Mapping, Sequence
from typing import NamedTuple, Protocol, runtime_checkable

from lab.clock import Clock
from lab.servers import UP, Server

MAX_HISTORY = 64  # snapshots kept for each server; the oldest are dropped


class ServerSnapshot(NamedTuple):
    """The state of a server at one instant.

    ``worker_free_at``: for each worker, the instant at which it is free; ``queued_work``: the work in the
    queue; ``speed``: of one worker, with its warm-up and troubles; ``load_ratio``: the recent arrivals as a
    share of its capacity.
    """

    up: bool
    epoch: int
    speed: float
    worker_free_at: tuple[float, ...]
    queued_work: float
    is_warm: bool
    load_ratio: float
    error_share: float


class FleetView:
    """The view of one policy, or of all that see the present. ``mean_work_ms`` is by name of class."""

    def __init__(
        self,
        clock: Clock,
        servers: Mapping[str, Server],
        mean_work_ms: Mapping[str, float],
        delay_ms: float,
        history_of: FleetView | None = None,
    ) -> None:
        """``history_of``: another view, whose recorded history this one shares."""
        self.mean_work_ms, self.delay_ms = mean_work_ms, delay_ms
        self._clock, self._servers = clock, servers
        self._history: dict[str, deque[tuple[float, ServerSnapshot]]] = (
            history_of._history if history_of else {}
        )
        # Attempts sent but not visible at the server yet, by server: until when, and their work.
        self._in_flight: dict[str, list[tuple[float, float]]] = {}
        # The highest worth per work that waits, by sidecar, and until when it holds.
        self._waiting_value: dict[int, tuple[float, float]] = {}
        self._highest = (-math.inf, 0.0)
        if delay_ms > 0 and history_of is None:
            self._step = delay_ms / 4.0
            clock.schedule(0.0, self._record_history)

    def _record_history(self) -> None:
        now = self._clock.now
        for name, server in self._servers.items():
            history = self._history.setdefault(name, deque(maxlen=MAX_HISTORY))
            history.append((now, self._snapshot_of(server, now)))
            while len(history) > 1 and history[1][0] <= now - self.delay_ms:
                history.popleft()
        self._clock.schedule(self._step, self._record_history)

    def _snapshot_of(self, server: Server, now: float) -> ServerSnapshot:
        workers, warmth = server.kind.workers, server.warm_fraction()
        free = sorted(attempt.ends for attempt in server.open_attempts if attempt.state == "running")
        slowdown = server.slow * (server.config.choke.slower if server.is_choked else 1.0)
        capacity = workers * server.speed * server.config.fall_ms * warmth
        return ServerSnapshot(
            server.state == UP,
            server.epoch,
            server.speed * warmth / slowdown,
            (*(now for _ in range(workers - len(free))), *free),
            sum(attempt.work for attempt in server.waiting),
            warmth >= 1.0,
            server.recent_work / max(capacity, 1e-9),
            server.errors,
        )

    def snapshot(self, name: str) -> ServerSnapshot | None:
        """Returns the state of a server, or None if nothing is known about it yet."""
        server = self._servers.get(name)
        if server is None:
            return None
        if self.delay_ms <= 0:
            return self._snapshot_of(server, self._clock.now)
        history = self._history.get(name)
        return history[0][1] if history else None

    def record_sent(self, name: str, work: float, seen_after: float) -> None:
        """Records a call of this work on its way to a server, where it becomes visible after ``seen_after``
        ms."""
        self._in_flight.setdefault(name, []).append((self._clock.now + seen_after, work))

    def work_in_flight(self, name: str) -> Sequence[float]:
        """Returns the work of each call on its way to a server."""
        in_flight, now = self._in_flight.get(name), self._clock.now
        if not in_flight:
            return ()
        del in_flight[: bisect_right(in_flight, (now, math.inf))]
        return [work for _, work in in_flight]

    def announce_waiting(self, sidecar: int, value: float, until: float) -> None:
        """Records the highest worth per work that waits at a sidecar. It holds until the given instant."""
        self._waiting_value[sidecar] = (value, until)

    def more_valuable_waits(self, value: float) -> bool:
        """Whether a call with more worth per work than ``value`` waits at any sidecar."""
        now = self._clock.now
        if self._highest[0] != now:  # computed once per instant, over all sidecars
            self._waiting_value = {
                number: item for number, item in self._waiting_value.items() if item[1] > now
            }
            self._highest = (now, max((waiting for waiting, _ in self._waiting_value.values()), default=0.0))
        return self._highest[1] > value


@runtime_checkable
class NeedsFleetView(Protocol):
    """A policy that is given a view of the fleet when it starts. ``delayed_view``: the view shows the state a
    round trip ago, not the present."""

    delayed_view: bool

    def attach_view(self, view: FleetView, sidecar: int, one_way_ms: float) -> None: ...
