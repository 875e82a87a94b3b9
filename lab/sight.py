"""What servers truly are, for policies that may see it: the ceiling that others are held against.

``delay_ms`` 0 sees the present; above that, what was that long ago, as an answer on its way would tell. No
sidecar has such sight: it shows what could be had with it, and with that what a loss is worth looking for.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import deque
from collections.abc import Mapping, Sequence
from typing import NamedTuple, Protocol, runtime_checkable

from lab.clock import Clock
from lab.servers import UP, Server

MAX_HISTORY = 64  # states of a server that are kept, at the most; the oldest go


class ServerSnapshot(NamedTuple):
    """A server at one instant. ``free`` are the instants at which its workers are done, ``waiting`` the work
    before those that come, ``speed`` of one worker by warmth and troubles, ``part`` what came lately of what
    it can do."""

    up: bool
    epoch: int
    speed: float
    worker_free_at: tuple[float, ...]
    queued_work: float
    is_warm: bool
    load_ratio: float
    error_share: float


class FleetView:
    """``works`` are the classes' mean work in ms, by name."""

    def __init__(
        self,
        clock: Clock,
        servers: Mapping[str, Server],
        mean_work_ms: Mapping[str, float],
        delay_ms: float,
        history_of: FleetView | None = None,
    ) -> None:
        """``history_of``: another that notes the same history already."""
        self.mean_work_ms, self.delay_ms = mean_work_ms, delay_ms
        self._clock, self._servers = clock, servers
        self._history: dict[str, deque[tuple[float, ServerSnapshot]]] = (
            history_of._history if history_of else {}
        )
        # What this sight's users sent and cannot be seen there yet, by server: until when, and its work.
        self._in_flight: dict[str, list[tuple[float, float]]] = {}
        self._waiting_value: dict[
            int, tuple[float, float]
        ] = {}  # by sidecar: what waits there, and until when
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
        free = sorted(held.ends for held in server.open_attempts if held.state == "running")
        slower = server.slow * (server.config.choke.slower if server.is_choked else 1.0)
        rate = workers * server.speed * server.config.fall_ms * warmth
        return ServerSnapshot(
            server.state == UP,
            server.epoch,
            server.speed * warmth / slower,
            (*(now for _ in range(workers - len(free))), *free),
            sum(held.work for held in server.waiting),
            warmth >= 1.0,
            server.recent_work / max(rate, 1e-9),
            server.errors,
        )

    def snapshot(self, name: str) -> ServerSnapshot | None:
        """None where nothing is known of it yet."""
        server = self._servers.get(name)
        if server is None:
            return None
        if self.delay_ms <= 0:
            return self._snapshot_of(server, self._clock.now)
        history = self._history.get(name)
        return history[0][1] if history else None

    def record_sent(self, name: str, work: float, seen_after: float) -> None:
        """A call of this work is on its way there, and will be seen after so many ms."""
        self._in_flight.setdefault(name, []).append((self._clock.now + seen_after, work))

    def work_in_flight(self, name: str) -> Sequence[float]:
        """Works on their way."""
        found, now = self._in_flight.get(name), self._clock.now
        if not found:
            return ()
        del found[: bisect_right(found, (now, math.inf))]
        return [work for _, work in found]

    def announce_waiting(self, sidecar: int, value: float, until: float) -> None:
        """The most worth for its work that waits at a sidecar, which says so again by that instant."""
        self._waiting_value[sidecar] = (value, until)

    def more_valuable_waits(self, beyond: float) -> bool:
        """Whether anything worth more than this waits anywhere."""
        now = self._clock.now
        if self._highest[0] != now:  # looked up once an instant, over all sidecars
            self._waiting_value = {who: item for who, item in self._waiting_value.items() if item[1] > now}
            self._highest = (now, max((value for value, _ in self._waiting_value.values()), default=0.0))
        return self._highest[1] > beyond


@runtime_checkable
class NeedsFleetView(Protocol):
    """A policy that is given sight when it starts. ``late`` says which: the present, or a round trip ago."""

    delayed_view: bool

    def attach_view(self, view: FleetView, sidecar: int, one_way_ms: float) -> None: ...
