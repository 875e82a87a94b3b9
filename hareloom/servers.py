"""Which servers there are, and when to ask again; cold ones: how warm each is, the turns it is sent to in."""

from __future__ import annotations

import math
from dataclasses import replace
from random import Random

from hareloom import interface as api
from hareloom.records import Server
from hareloom.ring import Ring

MIN_SIZE = 1e-3  # no size counts as less
JITTER = 0.3  # trials and calls are spread by this share, so that sidecars do not fall in step
# Discovery is asked again: first wait and longest, as shares of the time that it may go unasked.
RETRY_WAIT_MIN, RETRY_WAIT_MAX = 0.05, 0.4
# A server whose connections failed so often in a row and that then answers has a new life, whether the list
# tells of that or not: it counts as cold until its time to warm up is over, or so many answers in a row were
# as quick as this many times those before: then it was the way there that had failed. It hurts where
# connections fail often and machines do not start by that: such a server has less than its share for those
# answers' time.
RESTART_CONNECT_FAILURES, WARM_ANSWERS, WARM_RATIO = 2, 4, 1.5
# A cold server may have, by its warmth, so many times what this sidecar gets done at a warm one, or this
# share of what pushes one over, if that is less: others may hear of a start late or not send at all. What
# it is sent beside the warm ones is still its turn among them.
COLD_MAX_RATIO, COLD_SAFE_SHARE = 1.25, 0.5


class Members:
    """The servers that the list has named, this sidecar's order of those listed, and when to ask again."""

    def __init__(self, settings: api.Settings, rng: Random) -> None:
        self.rng = rng
        self.tune(settings)
        self.servers: dict[str, Server] = {}
        self.ring = Ring(settings.me, settings.peers)  # those that are listed, in this sidecar's order
        self.kind_counts: dict[str, int] = {}  # how many servers are known of each kind; 0: to be let go of
        self.gone = dict[str, None]()  # servers that the list has no more, kept while anything is out there
        self.subscribed, self.retry_wait = False, self.retry_wait_min

    def tune(self, settings: api.Settings) -> None:
        self.me, self.peers, self.sized = settings.me, settings.peers, settings.sized
        unasked = settings.rules.ask_within_ms
        self.retry_wait_min = max(RETRY_WAIT_MIN * unasked, settings.tick_ms)
        self.retry_wait_max = max(RETRY_WAIT_MAX * unasked, settings.tick_ms)

    def next_retry(self, now: float) -> float:
        """When to ask again. The old list stands; calls are spread out, or a discovery that comes back is run
        over at once."""
        again = now + jitter(self.rng, self.retry_wait)
        self.retry_wait = min(2.0 * self.retry_wait, self.retry_wait_max)
        return again

    def apply_list(self, now: float, event: api.ServerList, backoff: float) -> None:
        """Takes a list, and lets go of what is gone. ``backoff``: what a new server begins with."""
        if event.kind is not api.ListKind.DELTA:
            named = {entry.server for entry in event.entries}
            for name, server in self.servers.items():
                if name not in named:
                    self.apply_entry(now, replace(server.entry, state=api.ServerState.GONE), backoff)
        for entry in event.entries:
            self.apply_entry(now, entry, backoff)
        # Kept while anything is out there, so that a server told again in the meantime is the same one.
        for name in [name for name in self.gone if not self.servers[name].attempts]:
            del self.gone[name]
            self.kind_counts[self.servers.pop(name).kind] -= 1

    def apply_entry(self, now: float, entry: api.ServerEntry, backoff: float) -> None:
        """One entry of a list: a change costs by its own size, however long the list is."""
        name, listed = entry.server, entry.state is api.ServerState.READY
        known, size = self.servers.get(name), max(entry.size, MIN_SIZE) if self.sized else 1.0
        if known is not None:
            self.kind_counts[known.kind] -= 1
        elif entry.state is api.ServerState.GONE:
            return
        if known is None or entry.started_at not in (None, known.entry.started_at):
            # New, or restarted under the same id: what was learnt of it is void, and it is cold.
            # Larger ones are in more sidecars' sets.
            rank = known.rank if known else self.rng.expovariate(size)
            known = self.servers[name] = Server(entry, rank, backoff=backoff)
        known.update(entry, size)
        self.kind_counts[entry.kind] = self.kind_counts.get(entry.kind, 0) + 1
        was_listed, known.listed = known.listed, listed
        known.active = known.active and listed
        known.trial_at = known.trial_at if was_listed else -math.inf
        if known.cold_since is not None and known.turn_cost < 0.0:
            known.wait_turn(now, self.rng.expovariate(1.0))
        if listed:
            self.ring.put(name, known.size, known.rank)
        else:
            self.ring.withdraw(name, entry.state is api.ServerState.GONE)
        if entry.state is api.ServerState.GONE:
            self.gone[name] = None
        else:
            self.gone.pop(name, None)

    def share(self) -> float:
        """This sidecar's part of the servers that are listed."""
        if (self.ring.me, self.ring.peers) != (self.me, self.peers):
            self.ring = Ring(self.me, self.peers)
            for name, server in self.servers.items():
                if server.listed:
                    self.ring.put(name, server.size, server.rank)
        return len(self.ring.listed) / self.peers


class Warmth:
    def __init__(self, settings: api.Settings) -> None:
        self.tune(settings)

    def tune(self, settings: api.Settings) -> None:
        self.cold_ms, self.cold_from = settings.rules.cold_ms, settings.rules.cold_from
        self.cold_share = min(COLD_MAX_RATIO, COLD_SAFE_SHARE * settings.rules.fall_multiple)

    def at(self, now: float, server: Server) -> float:
        """The share of its capacity that a server has at the least, as it warms up."""
        if server.cold_since is None or self.cold_ms <= 0.0:
            return 1.0
        part = max(now - server.cold_since, 0.0) / self.cold_ms
        return min(self.cold_from + (1.0 - self.cold_from) * part, 1.0)

    def due_servers(self, now: float, cold: list[Server], each: float) -> list[Server]:
        """The cold servers whose turn has come: each has, by its warmth, a part of what this sidecar gets
        done at a warm one (done, not sent: in an overload the two lie far apart), at the rate of now. By
        that of its last send a sidecar that had just begun never came to a cold one. With all that is done
        as the measure less was sent to those that came for others with each that drained, until all were
        cold and idle and every request was refused; and the one server left of many was pushed over."""
        part = self.cold_share * each
        waited = [(now - s.turn_since) * part * self.at(now, s) * s.size for s in cold]
        return [s for s, due in zip(cold, waited, strict=True) if due >= s.turn_cost]

    def answered(self, now: float, server: Server) -> bool:
        """An answer after refused connections begins a new life: its sockets say so before the list does.
        Whether one has begun."""
        begun = server.connect_failures >= RESTART_CONNECT_FAILURES and self.cold_ms > 0.0 and server.listed
        if begun:
            server.cold_since, server.fast_answers = now, 0
            server.wait_turn(now, 1.0)
        server.connect_failures = 0
        return begun


def proves_warm(server: Server, delta: float) -> bool:
    """What an answer says of a life that no list has told of: a start is slower than that. Whether it is
    proven to be warm."""
    proven = False
    if server.fast_answers >= 0:
        server.fast_answers = server.fast_answers + 1 if 0.0 <= delta <= WARM_RATIO * server.answered_w else 0
        if proven := server.fast_answers >= WARM_ANSWERS:
            server.cold_since, server.fast_answers = None, -1
    if server.fast_answers < 0 and server.cold_since is None and server.w is not None:
        server.answered_w = server.w
    return proven


def jitter(rng: Random, span: float) -> float:
    return span * rng.uniform(1.0 - JITTER, 1.0 + JITTER)
