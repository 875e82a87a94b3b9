"""Holds of keys in the small, for `statecheck`: an upstream, the proxy beside it and two control processes,
by the shipped decisions (`mesh.ownership`).

The upstream holds all ranges at the start; each may be decided to go to another upstream, of which the worst
is taken: it holds a range from the moment at which that is decided. Any message may be late, lost, or
answered after its sender stood still, for time goes on between any two steps; clocks differ as far as they
may. Time is counted in ticks of a second up to `Size.ticks`, with a lease of two.
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

HERE, THERE = "here", "there"
TERMS = LeaseTerms(2.0)
GIVES_UP = 1  # ticks after which an upstream takes no answer to a beat any more
CANDIDATES = {HERE: Candidate(1.0, eligible=True), THERE: Candidate(1.0, eligible=True)}
EVENLY = KeyLoad().cumulative_shares()


class Map(NamedTuple):
    """One version that was decided; the place among all is its number."""

    counter: int
    rows: tuple[Row, ...]


class Controller(NamedTuple):
    """The version that it knows, since when each row is known to leave, and the words that it has."""

    known: int
    since: tuple[tuple[tuple[int, int, int], int], ...]
    words: tuple[Release, ...]


class Beat(NamedTuple):
    """Under way. ``rows``: the answer's, None before it is answered or where that renews nothing."""

    number: int
    sent: int
    holds: tuple[HeldRow, ...]
    released: tuple[ReleasedRow, ...]
    answered: bool
    rows: tuple[HeldRow, ...] | None
    until: float


class Server(NamedTuple):
    """The upstream: what it holds, until when by the worst clock, what it let go since it last said so."""

    holds: tuple[HeldRow, ...]
    until: float
    released: tuple[ReleasedRow, ...]
    beats: int
    beat: Beat | None


class Proxy(NamedTuple):
    """``held``: `ServerHolds`, as `dump` has it; ``asked``: when the open question was sent, and the version
    that a quorum had when it was read, -1 before that."""

    known: int
    held: tuple[Any, ...]
    asked: tuple[int, int] | None
    questions: int
    restarts: int


@dataclass(frozen=True, slots=True)
class Size:
    """How much may happen."""

    ticks: int = 4
    beats: int = 3
    questions: int = 2
    restarts: int = 1
    ranges: int = 2


def dump(holds: ServerHolds) -> tuple[Any, ...]:
    """The fields that bear on safety, in a form that can be compared."""
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
    """As `dump` has it."""
    holds = ServerHolds(TERMS, 0.0)
    holds._confirmed_at, pending, holds._granted_until, holds._instance, counts = fields[:5]
    omitted, words = fields[5:]
    holds._pending, holds._omitted, holds._releases = list(pending), dict(omitted), dict(words)
    holds._sample_counts = dict(counts)
    return holds


def _key(row: Row) -> tuple[int, int, int]:
    return row.first, row.last, row.fence


class Keys(Model):
    """A state is the time, the maps, two control processes, the proxy and the upstream."""

    def __init__(self, size: Size) -> None:
        """What may happen at the most."""
        self.size = size
        self.name = f"keys, {size}"

    def initial(self) -> Iterable[State]:
        """The upstream has been granted all ranges at the start."""
        width = KEYS // self.size.ranges
        firsts = [at * width for at in range(self.size.ranges)]
        rows = tuple(Row(first, first + width - 1, HERE, at + 1) for at, first in enumerate(firsts))
        holds = ServerHolds(TERMS, -10.0)
        first_map = KeyMap(0, len(rows), rows)
        holds.confirm_version(0.0, 0, first_map)
        grant = holds.answer_heartbeat(0.0, HeartbeatKeys(HERE, 0, (), ()), first_map)
        assert grant is not None
        held = tuple(HeldRow(row.first, row.last, row.fence) for row in grant.rows)
        until = grant.hold_ms / 1000.0 / (1.0 - UPSTREAM_CLOCK_ERROR)
        idle = Controller(0, (), ())
        server = Server(held, round(until, 3), (), 1, None)
        yield (0, (Map(len(rows), rows),), idle, idle, Proxy(0, dump(holds), None, 0, 0), server)

    def events(self, state: State) -> Sequence[Any]:
        """All that can happen now."""
        now, maps, *controllers, proxy, server = state
        found: list[Any] = [("tick",)] if now < self.size.ticks else []
        for number in range(len(controllers)):
            found += self._of_controller(state, number)
        found += self._of_proxy(proxy, len(maps) - 1) + self._of_server(server)
        if any(self._told(state, number) != one.words for number, one in enumerate(controllers)):
            found.append(("tell",))
        return found

    def _of_controller(self, state: State, number: int) -> list[Any]:
        maps, one = state[1], state[2 + number]
        if one.known < len(maps) - 1:
            return [("learn", number)]
        rows = enumerate(maps[-1].rows)
        found: list[Any] = [
            ("leave", number, at) for at, row in rows if row.holder == HERE and not row.leaving
        ]
        return found + ([("give", number)] if self._planned(state, number) is not None else [])

    def _of_proxy(self, proxy: Proxy, newest: int) -> list[Any]:
        found: list[Any] = [("fetch",)] if proxy.known < newest else []
        if proxy.asked is not None:
            found.append(("read",) if proxy.asked[1] < 0 else ("answer",))
        elif proxy.questions < self.size.questions:
            found.append(("ask",))
        return found + ([("restart",)] if proxy.restarts < self.size.restarts else [])

    def _of_server(self, server: Server) -> list[Any]:
        if server.beat is None:
            return [("beat",)] if server.beats <= self.size.beats else []
        return [("take",)] if server.beat.answered else [("serve",), ("give up",)]

    def step(self, state: State, event: Any) -> State:
        """What it leads to."""
        now, maps, first, second, proxy, server = state
        controllers = [first, second]
        kind = event[0]
        if kind == "tick":
            now += 1
        elif kind == "learn":
            controllers[event[1]] = self._learns(now, maps, controllers[event[1]])
        elif kind == "leave":
            rows = list(maps[-1].rows)
            rows[event[2]] = replace(rows[event[2]], next_holder=THERE)
            maps = (*maps, Map(maps[-1].counter, tuple(rows)))
            controllers[event[1]] = self._learns(now, maps, controllers[event[1]])
        elif kind == "give":
            planned = self._planned(state, event[1])
            assert planned is not None
            maps = (*maps, Map(planned[0], tuple(planned[1])))
            controllers[event[1]] = self._learns(now, maps, controllers[event[1]])
        elif kind == "tell":
            for number in (0, 1):
                controllers[number] = controllers[number]._replace(words=self._told(state, number))
        elif kind in ("beat", "serve", "take", "give up"):
            proxy, server = self._beats(now, maps, proxy, server, kind)
        else:
            proxy = self._asks(now, maps, proxy, kind)
        return (now, maps, *controllers, proxy, server)

    def canonical(self, state: State) -> State:
        """Which control process is which makes no difference."""
        now, maps, first, second, proxy, server = state
        if repr(second) < repr(first):
            first, second = second, first
        return (now, maps, first, second, proxy, server)

    def violations(self, *step: Any) -> Iterable[Violation]:
        """OWNER: nothing is decided to be another's while the upstream still holds it."""
        now, maps, _, _, _, server = step[2]
        for row in maps[-1].rows:
            held = any(row.overlaps(one.first, one.last) for one in server.holds)
            if row.holder == THERE and held and server.until > now:
                yield Violation("OWNER", f"{row.first}-{row.last} is held here until {server.until} s")

    # The control processes

    def _learns(self, now: int, maps: tuple[Map, ...], one: Controller) -> Controller:
        known = dict(one.since)
        since = {_key(row): known.get(_key(row), now) for row in maps[-1].rows if row.leaving}
        return one._replace(known=len(maps) - 1, since=tuple(sorted(since.items())))

    def _planned(self, state: State, number: int) -> tuple[int, list[Row]] | None:
        now, maps, one = state[0], state[1], state[2 + number]
        since = dict(one.since)

        def waited(row: Row) -> bool:
            return _key(row) in since and now - since[_key(row)] > TERMS.wait_s

        key_map = KeyMap(len(maps) - 1, maps[-1].counter, maps[-1].rows)
        return next_map(key_map, CANDIDATES, EVENLY, one.words, waited, balanced=False)

    def _told(self, state: State, number: int) -> tuple[Release, ...]:
        now, maps, proxy = state[0], state[1], state[4]
        words = load(proxy.held).releases(now, self._map(maps, proxy.known))
        return tuple(sorted(words, key=lambda word: word.first)) if words else state[2 + number].words

    # The proxy and the upstream

    def _map(self, maps: tuple[Map, ...], number: int) -> KeyMap:
        return KeyMap(number, maps[number].counter, maps[number].rows)

    def _asks(self, now: int, maps: tuple[Map, ...], proxy: Proxy, kind: str) -> Proxy:
        if kind == "restart":
            holds = ServerHolds(TERMS, now)
            return Proxy(0, dump(holds), None, proxy.questions, proxy.restarts + 1)
        if kind == "ask":
            return proxy._replace(asked=(now, -1), questions=proxy.questions + 1)
        if kind == "read":
            assert proxy.asked is not None
            return proxy._replace(asked=(proxy.asked[0], len(maps) - 1))
        holds = load(proxy.held)
        if kind == "fetch":
            holds.map_changed(self._map(maps, len(maps) - 1))
            return proxy._replace(known=len(maps) - 1, held=dump(holds))
        assert proxy.asked is not None
        holds.confirm_version(proxy.asked[0], proxy.asked[1], self._map(maps, proxy.known))
        return proxy._replace(held=dump(holds), asked=None)

    def _beats(
        self, now: int, maps: tuple[Map, ...], proxy: Proxy, server: Server, kind: str
    ) -> tuple[Proxy, Server]:
        if kind == "beat":
            holds = server.holds if server.until > now else ()
            sent = Beat(server.beats, now, holds, server.released, False, None, 0.0)
            return proxy, server._replace(holds=holds, beats=server.beats + 1, beat=sent)
        beat = server.beat
        assert beat is not None
        if kind == "give up":
            return proxy, server._replace(beat=None)
        if kind == "serve":
            held = load(proxy.held)
            told = HeartbeatKeys(HERE, beat.number, beat.holds, beat.released)
            grant = held.answer_heartbeat(now, told, self._map(maps, proxy.known))
            rows = None
            if grant is not None:
                rows = tuple(HeldRow(row.first, row.last, row.fence) for row in grant.rows)
                until = beat.sent + grant.hold_ms / 1000.0 / (1.0 - UPSTREAM_CLOCK_ERROR)
                beat = beat._replace(until=round(until, 3))
            beat = beat._replace(answered=True, rows=rows)
            return proxy._replace(held=dump(held)), server._replace(beat=beat)
        return proxy, self._takes(now, server, beat)

    def _takes(self, now: int, server: Server, beat: Beat) -> Server:
        if now - beat.sent > GIVES_UP:
            return server._replace(beat=None)
        if beat.rows is None:
            return server._replace(beat=None, released=())
        holds = server.holds if server.until > now else ()
        gone = tuple(ReleasedRow(one.first, one.last) for one in holds if one not in beat.rows)
        return Server(beat.rows, beat.until, gone, server.beats, None)
