"""What servers truly are, for policies that may see it: the ceiling that others are held against.

``late_ms`` 0 sees the present; above that, what was that long ago, as an answer on its way would tell. No
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

KEPT = 64  # states of a server that are kept, at the most; the oldest go


class State(NamedTuple):
    """A server at one instant. ``free`` are the instants at which its workers are done, ``waiting`` the work
    before those that come, ``speed`` of one worker by warmth and troubles, ``part`` what came lately of what
    it can do."""

    up: bool
    epoch: int
    speed: float
    free: tuple[float, ...]
    waiting: float
    warm: bool
    part: float
    errors: float


class Sight:
    """``works`` are the classes' mean work in ms, by name."""

    def __init__(
        self,
        clock: Clock,
        servers: Mapping[str, Server],
        works: Mapping[str, float],
        late_ms: float,
        beside: Sight | None = None,
    ) -> None:
        """``beside``: another that notes the same past already."""
        self.works, self.late_ms = works, late_ms
        self._clock, self._servers = clock, servers
        self._past: dict[str, deque[tuple[float, State]]] = beside._past if beside else {}
        # What this sight's users sent and cannot be seen there yet, by server: until when, and its work.
        self._coming: dict[str, list[tuple[float, float]]] = {}
        self._wanted: dict[int, tuple[float, float]] = {}  # by sidecar: what waits there, and until when
        self._top = (-math.inf, 0.0)
        if late_ms > 0 and beside is None:
            self._step = late_ms / 4.0
            clock.schedule(0.0, self._note)

    def _note(self) -> None:
        now = self._clock.now
        for name, server in self._servers.items():
            past = self._past.setdefault(name, deque(maxlen=KEPT))
            past.append((now, self._state(server, now)))
            while len(past) > 1 and past[1][0] <= now - self.late_ms:
                past.popleft()
        self._clock.schedule(self._step, self._note)

    def _state(self, server: Server, now: float) -> State:
        workers, warmth = server.kind.workers, server.warm_fraction()
        free = sorted(held.ends for held in server.open_attempts if held.state == "running")
        slower = server.slow * (server.config.choke.slower if server.is_choked else 1.0)
        rate = workers * server.speed * server.config.fall_ms * warmth
        return State(
            server.state == UP,
            server.epoch,
            server.speed * warmth / slower,
            (*(now for _ in range(workers - len(free))), *free),
            sum(held.work for held in server.waiting),
            warmth >= 1.0,
            server.recent_work / max(rate, 1e-9),
            server.errors,
        )

    def look(self, name: str) -> State | None:
        """None where nothing is known of it yet."""
        server = self._servers.get(name)
        if server is None:
            return None
        if self.late_ms <= 0:
            return self._state(server, self._clock.now)
        past = self._past.get(name)
        return past[0][1] if past else None

    def sent(self, name: str, work: float, seen_after: float) -> None:
        """A call of this work is on its way there, and will be seen after so many ms."""
        self._coming.setdefault(name, []).append((self._clock.now + seen_after, work))

    def coming(self, name: str) -> Sequence[float]:
        """Works on their way."""
        found, now = self._coming.get(name), self._clock.now
        if not found:
            return ()
        del found[: bisect_right(found, (now, math.inf))]
        return [work for _, work in found]

    def want(self, sidecar: int, value: float, until: float) -> None:
        """The most worth for its work that waits at a sidecar, which says so again by that instant."""
        self._wanted[sidecar] = (value, until)

    def wanted(self, beyond: float) -> bool:
        """Whether anything worth more than this waits anywhere."""
        now = self._clock.now
        if self._top[0] != now:  # looked up once an instant, over all sidecars
            self._wanted = {who: item for who, item in self._wanted.items() if item[1] > now}
            self._top = (now, max((value for value, _ in self._wanted.values()), default=0.0))
        return self._top[1] > beyond


@runtime_checkable
class Sees(Protocol):
    """A policy that is given sight when it starts. ``late`` says which: the present, or a round trip ago."""

    late: bool

    def given(self, sight: Sight, sidecar: int, one_way_ms: float) -> None: ...
