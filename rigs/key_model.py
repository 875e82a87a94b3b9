"""A small model of key ownership, for `statecheck`: an upstream, the proxy beside it and two controllers. All
decisions are made by the shipped code (`mesh.ownership`).

The upstream holds all key ranges at the start. Each may be moved to another upstream, for which the worst
case is assumed: it uses a range from the moment of the decision. Any message may be late or lost, and
processes may be suspended, because time passes between any two steps; clocks differ as far as permitted. Time
is counted in ticks of a second up to `Scenario.ticks`, with a lease of two.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

from msgspec.structs import replace

from mesh.ownership.assignment import Candidate, Release, next_map
from mesh.ownership.key_load import KeyLoad
from mesh.ownership.key_map import KEYS, KeyMap, Row
from mesh.ownership.lease_terms import UPSTREAM_CLOCK_ERROR, LeaseTerms
from mesh.ownership.server_holds import HeartbeatKeys, HeldRow, ReleasedRow, ServerHolds
from statecheck import Model, Violation
from statecheck.model import State

LOCAL, OTHER = "here", "there"  # two upstreams
TERMS = LeaseTerms(2.0)
HEARTBEAT_TIMEOUT_TICKS = 1  # after which an upstream ignores the answer to a heartbeat
CANDIDATES = {LOCAL: Candidate(1.0, eligible=True), OTHER: Candidate(1.0, eligible=True)}
EVEN_LOAD = KeyLoad().cumulative_shares()


class MapVersion(NamedTuple):
    """One decided version of the key map; its index in the state is the version number."""

    last_fence: int
    rows: tuple[Row, ...]


class Controller(NamedTuple):
    """``version``: of the newest map that it knows; ``leaving_since``: when it learned that a row leaves, by
    row; ``releases``: those reported to it."""

    version: int
    leaving_since: tuple[tuple[tuple[int, int, int], int], ...]
    releases: tuple[Release, ...]


class Heartbeat(NamedTuple):
    """A heartbeat under way. ``rows``: those of the answer, None before it or if it renews nothing."""

    number: int
    sent_at: int
    holds: tuple[HeldRow, ...]
    released: tuple[ReleasedRow, ...]
    answered: bool
    rows: tuple[HeldRow, ...] | None
    held_until: float


class Upstream(NamedTuple):
    """``holds``: the rows that it holds, at most ``held_until`` by the slowest permitted clock; ``released``:
    those released since its last heartbeat."""

    holds: tuple[HeldRow, ...]
    held_until: float
    released: tuple[ReleasedRow, ...]
    heartbeats: int
    heartbeat: Heartbeat | None


class Proxy(NamedTuple):
    """``version``: of the map that it has; ``holds_dump``: its `ServerHolds`, see `dump`; ``request``: when
    the open request for the current version was sent, and the version that a quorum had when it was read, -1
    before that; ``requests`` and ``restarts``: how many there were."""

    version: int
    holds_dump: tuple[Any, ...]
    request: tuple[int, int] | None
    requests: int
    restarts: int


@dataclass(frozen=True, slots=True)
class Scenario:
    """How many events of each kind may happen, and how many key ranges there are."""

    ticks: int = 4
    heartbeats: int = 3
    requests: int = 2
    restarts: int = 1
    ranges: int = 2


def dump(holds: ServerHolds) -> tuple[Any, ...]:
    """The fields of a `ServerHolds` that matter for safety, as a comparable value."""
    return (
        holds._confirmed_at,
        tuple(holds._pending),
        holds._granted_until,
        holds._instance,
        tuple(sorted(holds._sample_counts.items())),
        tuple(sorted(holds._omitted.items())),
        tuple(sorted(holds._releases.items(), key=lambda item: item[0])),
    )


def load(fields: tuple[Any, ...]) -> ServerHolds:
    """Creates a `ServerHolds` from the result of `dump`."""
    holds = ServerHolds(TERMS, 0.0)
    holds._confirmed_at, pending, holds._granted_until, holds._instance, counts = fields[:5]
    omitted, releases = fields[5:]
    holds._pending, holds._omitted, holds._releases = list(pending), dict(omitted), dict(releases)
    holds._sample_counts = dict(counts)
    return holds


def _key(row: Row) -> tuple[int, int, int]:
    return row.first, row.last, row.fence


class KeyHoldsModel(Model):
    """A state consists of the time, the maps, two controllers, the proxy and the upstream."""

    def __init__(self, scenario: Scenario) -> None:
        """``scenario``: limits of the exploration."""
        self.scenario = scenario
        self.name = f"keys, {scenario}"

    def initial(self) -> Iterable[State]:
        """The state in which the upstream has been granted all ranges."""
        width = KEYS // self.scenario.ranges
        firsts = [at * width for at in range(self.scenario.ranges)]
        rows = tuple(Row(first, first + width - 1, LOCAL, at + 1) for at, first in enumerate(firsts))
        holds = ServerHolds(TERMS, -10.0)
        first_map = KeyMap(0, len(rows), rows)
        holds.confirm_version(0.0, 0, first_map)
        grant = holds.answer_heartbeat(0.0, HeartbeatKeys(LOCAL, 0, (), ()), first_map)
        assert grant is not None
        held_rows = tuple(HeldRow(row.first, row.last, row.fence) for row in grant.rows)
        until = grant.hold_ms / 1000.0 / (1.0 - UPSTREAM_CLOCK_ERROR)
        initial = Controller(0, (), ())
        upstream = Upstream(held_rows, round(until, 3), (), 1, None)
        yield (
            0,
            (MapVersion(len(rows), rows),),
            initial,
            initial,
            Proxy(0, dump(holds), None, 0, 0),
            upstream,
        )

    def events(self, state: State) -> Sequence[Any]:
        """The enabled events."""
        now, maps, *controllers, proxy, upstream = state
        enabled: list[Any] = [("tick",)] if now < self.scenario.ticks else []
        for number in range(len(controllers)):
            enabled += self._controller_events(state, number)
        enabled += self._proxy_events(proxy, len(maps) - 1) + self._upstream_events(upstream)
        if any(
            self._reported_releases(state, number) != controller.releases
            for number, controller in enumerate(controllers)
        ):
            enabled.append(("report releases",))
        return enabled

    def _controller_events(self, state: State, number: int) -> list[Any]:
        maps, controller = state[1], state[2 + number]
        if controller.version < len(maps) - 1:
            return [("learn map", number)]
        rows = enumerate(maps[-1].rows)
        enabled: list[Any] = [
            ("plan move", number, at) for at, row in rows if row.holder == LOCAL and not row.leaving
        ]
        return enabled + ([("hand over", number)] if self._planned_map(state, number) is not None else [])

    def _proxy_events(self, proxy: Proxy, newest: int) -> list[Any]:
        enabled: list[Any] = [("fetch map",)] if proxy.version < newest else []
        if proxy.request is not None:
            enabled.append(("read version",) if proxy.request[1] < 0 else ("confirm version",))
        elif proxy.requests < self.scenario.requests:
            enabled.append(("ask version",))
        return enabled + ([("restart",)] if proxy.restarts < self.scenario.restarts else [])

    def _upstream_events(self, upstream: Upstream) -> list[Any]:
        if upstream.heartbeat is None:
            return [("send heartbeat",)] if upstream.heartbeats <= self.scenario.heartbeats else []
        return (
            [("receive answer",)] if upstream.heartbeat.answered else [("answer heartbeat",), ("time out",)]
        )

    def step(self, state: State, event: Any) -> State:
        """The next state."""
        now, maps, first, second, proxy, upstream = state
        controllers = [first, second]
        kind = event[0]
        if kind == "tick":
            now += 1
        elif kind == "learn map":
            controllers[event[1]] = self._learn(now, maps, controllers[event[1]])
        elif kind == "plan move":
            rows = list(maps[-1].rows)
            rows[event[2]] = replace(rows[event[2]], next_holder=OTHER)
            maps = (*maps, MapVersion(maps[-1].last_fence, tuple(rows)))
            controllers[event[1]] = self._learn(now, maps, controllers[event[1]])
        elif kind == "hand over":
            planned = self._planned_map(state, event[1])
            assert planned is not None
            maps = (*maps, MapVersion(planned[0], tuple(planned[1])))
            controllers[event[1]] = self._learn(now, maps, controllers[event[1]])
        elif kind == "report releases":
            for number in (0, 1):
                controllers[number] = controllers[number]._replace(
                    releases=self._reported_releases(state, number)
                )
        elif kind in ("send heartbeat", "answer heartbeat", "receive answer", "time out"):
            proxy, upstream = self._step_heartbeat(now, maps, proxy, upstream, kind)
        else:
            proxy = self._step_proxy(now, maps, proxy, kind)
        return (now, maps, *controllers, proxy, upstream)

    def canonical(self, state: State) -> State:
        """Sorts the controllers, which are symmetric."""
        now, maps, first, second, proxy, upstream = state
        if repr(second) < repr(first):
            first, second = second, first
        return (now, maps, first, second, proxy, upstream)

    def violations(self, *step: Any) -> Iterable[Violation]:
        """OWNER: no row is given to another upstream while this one still holds it."""
        now, maps, _, _, _, upstream = step[2]
        for row in maps[-1].rows:
            held = any(row.overlaps(other.first, other.last) for other in upstream.holds)
            if row.holder == OTHER and held and upstream.held_until > now:
                yield Violation(
                    "OWNER", f"{row.first}-{row.last} is still held until {upstream.held_until} s"
                )

    # The controllers

    def _learn(self, now: int, maps: tuple[MapVersion, ...], controller: Controller) -> Controller:
        before = dict(controller.leaving_since)
        leaving = {_key(row): before.get(_key(row), now) for row in maps[-1].rows if row.leaving}
        return controller._replace(version=len(maps) - 1, leaving_since=tuple(sorted(leaving.items())))

    def _planned_map(self, state: State, number: int) -> tuple[int, list[Row]] | None:
        now, maps, controller = state[0], state[1], state[2 + number]
        leaving = dict(controller.leaving_since)

        def waited(row: Row) -> bool:
            return _key(row) in leaving and now - leaving[_key(row)] > TERMS.wait_s

        key_map = KeyMap(len(maps) - 1, maps[-1].last_fence, maps[-1].rows)
        return next_map(key_map, CANDIDATES, EVEN_LOAD, controller.releases, waited, balanced=False)

    def _reported_releases(self, state: State, number: int) -> tuple[Release, ...]:
        now, maps, proxy = state[0], state[1], state[4]
        releases = load(proxy.holds_dump).releases(now, self._key_map(maps, proxy.version))
        return (
            tuple(sorted(releases, key=lambda release: release.first))
            if releases
            else state[2 + number].releases
        )

    # The proxy and the upstream

    def _key_map(self, maps: tuple[MapVersion, ...], number: int) -> KeyMap:
        return KeyMap(number, maps[number].last_fence, maps[number].rows)

    def _step_proxy(self, now: int, maps: tuple[MapVersion, ...], proxy: Proxy, kind: str) -> Proxy:
        if kind == "restart":
            holds = ServerHolds(TERMS, now)
            return Proxy(0, dump(holds), None, proxy.requests, proxy.restarts + 1)
        if kind == "ask version":
            return proxy._replace(request=(now, -1), requests=proxy.requests + 1)
        if kind == "read version":
            assert proxy.request is not None
            return proxy._replace(request=(proxy.request[0], len(maps) - 1))
        holds = load(proxy.holds_dump)
        if kind == "fetch map":
            holds.map_changed(self._key_map(maps, len(maps) - 1))
            return proxy._replace(version=len(maps) - 1, holds_dump=dump(holds))
        assert proxy.request is not None
        holds.confirm_version(proxy.request[0], proxy.request[1], self._key_map(maps, proxy.version))
        return proxy._replace(holds_dump=dump(holds), request=None)

    def _step_heartbeat(
        self, now: int, maps: tuple[MapVersion, ...], proxy: Proxy, upstream: Upstream, kind: str
    ) -> tuple[Proxy, Upstream]:
        if kind == "send heartbeat":
            holds = upstream.holds if upstream.held_until > now else ()
            sent = Heartbeat(upstream.heartbeats, now, holds, upstream.released, False, None, 0.0)
            return proxy, upstream._replace(holds=holds, heartbeats=upstream.heartbeats + 1, heartbeat=sent)
        heartbeat = upstream.heartbeat
        assert heartbeat is not None
        if kind == "time out":
            return proxy, upstream._replace(heartbeat=None)
        if kind == "answer heartbeat":
            server_holds = load(proxy.holds_dump)
            heartbeat_keys = HeartbeatKeys(LOCAL, heartbeat.number, heartbeat.holds, heartbeat.released)
            grant = server_holds.answer_heartbeat(now, heartbeat_keys, self._key_map(maps, proxy.version))
            rows = None
            if grant is not None:
                rows = tuple(HeldRow(row.first, row.last, row.fence) for row in grant.rows)
                until = heartbeat.sent_at + grant.hold_ms / 1000.0 / (1.0 - UPSTREAM_CLOCK_ERROR)
                heartbeat = heartbeat._replace(held_until=round(until, 3))
            heartbeat = heartbeat._replace(answered=True, rows=rows)
            return proxy._replace(holds_dump=dump(server_holds)), upstream._replace(heartbeat=heartbeat)
        return proxy, self._receive_answer(now, upstream, heartbeat)

    def _receive_answer(self, now: int, upstream: Upstream, heartbeat: Heartbeat) -> Upstream:
        if now - heartbeat.sent_at > HEARTBEAT_TIMEOUT_TICKS:
            return upstream._replace(heartbeat=None)
        if heartbeat.rows is None:
            return upstream._replace(heartbeat=None, released=())
        holds = upstream.holds if upstream.held_until > now else ()
        released = tuple(ReleasedRow(row.first, row.last) for row in holds if row not in heartbeat.rows)
        return Upstream(heartbeat.rows, heartbeat.held_until, released, upstream.heartbeats, None)
