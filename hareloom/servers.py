"""The known servers, retries of discovery, and the warm-up of cold servers."""

from __future__ import annotations

import math
from dataclasses import replace
from random import Random

from hareloom import interface as api
from hareloom.records import Server
from hareloom.ring import Ring

MIN_SIZE = 1e-3  # lower bound on a server's size
JITTER = 0.3  # relative spread of waits, so that sidecars do not act in step
# First and longest wait before discovery is asked again, as shares of the time that it may go unasked.
RETRY_WAIT_MIN, RETRY_WAIT_MAX = 0.05, 0.4
# A server that answers after this many consecutive connection failures counts as restarted, even if the list
# does not report it. It is cold until its warm-up time is over or WARM_ANSWERS consecutive answers are within
# WARM_RATIO times its earlier w: then only the network had failed. The cost: where connections fail often
# without restarts, such a server has less than its share for the time of those answers.
RESTART_FAILURES, WARM_ANSWERS, WARM_RATIO = 2, 4, 1.5
# A cold server is sent, scaled by its warmth, at most COLD_MAX_RATIO times what this sidecar completes at a
# warm one, or COLD_SAFE_SHARE of what overloads it if that is less: the ratio exceeds 1 since other sidecars
# may learn of a start late or send nothing. Among the warm servers it still takes its turn by deficit.
COLD_MAX_RATIO, COLD_SAFE_SHARE = 1.25, 0.5


class Members:
    """The servers of the list, this sidecar's order of them, and the retries of discovery."""

    def __init__(self, settings: api.Settings, rng: Random) -> None:
        self.rng = rng
        self.tune(settings)
        self.servers: dict[str, Server] = {}
        self.ring = Ring(settings.me, settings.peers)  # listed servers in this sidecar's order
        self.kind_counts: dict[str, int] = {}  # known servers of each kind; 0: to be removed
        self.gone = dict[str, None]()  # gone servers, kept while attempts are in flight
        self.subscribed, self.retry_wait = False, self.retry_wait_min

    def tune(self, settings: api.Settings) -> None:
        self.me, self.peers, self.sized = settings.me, settings.peers, settings.sized
        ask_within = settings.rules.ask_within_ms
        self.retry_wait_min = max(RETRY_WAIT_MIN * ask_within, settings.tick_ms)
        self.retry_wait_max = max(RETRY_WAIT_MAX * ask_within, settings.tick_ms)

    def next_retry(self, now: float) -> float:
        """Returns when to ask discovery again. Waits are randomized and back off, so that a discovery service
        that recovers is not overloaded."""
        retry_at = now + jitter(self.rng, self.retry_wait)
        self.retry_wait = min(2.0 * self.retry_wait, self.retry_wait_max)
        return retry_at

    def apply_list(self, now: float, event: api.ServerList, backoff: float) -> None:
        """Applies a server list and removes servers that are gone. ``backoff``: that of a new server."""
        if event.kind is not api.ListKind.DELTA:
            present = {entry.server for entry in event.entries}
            for name, server in self.servers.items():
                if name not in present:
                    self.apply_entry(now, replace(server.entry, state=api.ServerState.GONE), backoff)
        for entry in event.entries:
            self.apply_entry(now, entry, backoff)
        # Kept while attempts are in flight, so that a server that is listed again keeps its state.
        for name in [name for name in self.gone if not self.servers[name].attempts]:
            del self.gone[name]
            self.kind_counts[self.servers.pop(name).kind] -= 1

    def apply_entry(self, now: float, entry: api.ServerEntry, backoff: float) -> None:
        """Applies one entry. The cost of a delta depends on its own length, not on that of the whole list."""
        name, listed = entry.server, entry.state is api.ServerState.READY
        known, size = self.servers.get(name), max(entry.size, MIN_SIZE) if self.sized else 1.0
        if known is not None:
            self.kind_counts[known.kind] -= 1
        elif entry.state is api.ServerState.GONE:
            return
        if known is None or entry.started_at not in (None, known.entry.started_at):
            # New, or restarted under the same id: it is cold and nothing is known of it.
            # Larger servers draw lower ranks and so are in more working sets.
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
        """Returns the listed servers per sidecar."""
        if (self.ring.me, self.ring.peers) != (self.me, self.peers):
            self.ring = Ring(self.me, self.peers)
            for name, server in self.servers.items():
                if server.listed:
                    self.ring.put(name, server.size, server.rank)
        return len(self.ring.listed) / self.peers


class Warmth:
    """The capacity of servers that warm up after a start."""

    def __init__(self, settings: api.Settings) -> None:
        self.tune(settings)

    def tune(self, settings: api.Settings) -> None:
        self.cold_ms, self.cold_from = settings.rules.cold_ms, settings.rules.cold_from
        self.cold_share = min(COLD_MAX_RATIO, COLD_SAFE_SHARE * settings.rules.fall_multiple)

    def at(self, now: float, server: Server) -> float:
        """Returns the least share of its capacity that a server has now, up to 1."""
        if server.cold_since is None or self.cold_ms <= 0.0:
            return 1.0
        part = max(now - server.cold_since, 0.0) / self.cold_ms
        return min(self.cold_from + (1.0 - self.cold_from) * part, 1.0)

    def due_servers(self, now: float, cold: list[Server], per_server: float) -> list[Server]:
        """Returns the cold servers whose turn has come, by the work completed at a warm server now. Work sent
        is far more in an overload; by the rate at its last send a sidecar that had just started never came
        to a cold server. By the total completed, each drain lowered the rate at the replacements until all
        were cold and idle and every request was refused; a single remaining server was overloaded."""
        rate = self.cold_share * per_server
        accrued = [(now - s.turn_since) * rate * self.at(now, s) * s.size for s in cold]
        return [s for s, work in zip(cold, accrued, strict=True) if work >= s.turn_cost]

    def answered(self, now: float, server: Server) -> bool:
        """Returns whether this answer, after connection failures, shows a restart: connections show it before
        the list does."""
        restarted = server.connect_failures >= RESTART_FAILURES and self.cold_ms > 0.0 and server.listed
        if restarted:
            server.cold_since, server.fast_answers = now, 0
            server.wait_turn(now, 1.0)
        server.connect_failures = 0
        return restarted


def proves_warm(server: Server, delta: float) -> bool:
    """Returns whether this answer shows that a server which seemed to have restarted is warm after all: a
    starting server answers more slowly. ``delta``: the answer's latency over its cost."""
    warm = False
    if server.fast_answers >= 0:
        server.fast_answers = server.fast_answers + 1 if 0.0 <= delta <= WARM_RATIO * server.answered_w else 0
        if warm := server.fast_answers >= WARM_ANSWERS:
            server.cold_since, server.fast_answers = None, -1
    if server.fast_answers < 0 and server.cold_since is None and server.w is not None:
        server.answered_w = server.w
    return warm


def jitter(rng: Random, span: float) -> float:
    """Returns ``span``, changed at random by up to JITTER."""
    return span * rng.uniform(1.0 - JITTER, 1.0 + JITTER)
