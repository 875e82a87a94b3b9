"""The working set: the servers that this sidecar sends to, taken in its own order."""

from __future__ import annotations

from bisect import bisect_left, insort

from hareloom import interface as api
from hareloom.records import ClassRecord, Server
from hareloom.ring import SIDECARS_PER_SERVER
from hareloom.servers import Members, Warmth

# Size of the working set: each server gets about one request in SET_AIMS mean aims, within bounds, and is in
# SIDECARS_PER_SERVER sets or more, or loads do not even out. Inactive ones extend it up to SET_GROWTH times.
SET_AIMS, SET_MIN, SET_MAX, SET_GROWTH = 0.43, 3, 48, 4


class WorkingSet:
    """The set and views that are cached as it changes. ``needs_draw``: the set is out of date;
    ``views_stale``: the views are."""

    def __init__(self, settings: api.Settings, mean_aim: float, members: Members, warmth: Warmth) -> None:
        self.members, self.warmth = members, warmth
        self.tune(settings, mean_aim)
        self.set: list[Server] = []
        self.size: float = float(SET_MIN)
        self.min_size: float = float(SET_MIN)
        self.needs_draw = self.views_stale = True
        # The views. ``own_zone`` holds active servers; ``sorted_ws`` the w of the warm active ones, sorted.
        self.actives, self.own_zone, self.inactives = list[Server](), list[Server](), list[Server]()
        self.cold, self.sorted_ws = list[Server](), list[float]()
        self.active_inflight, self.active_size = 0, 0.0

    def tune(self, settings: api.Settings, mean_aim: float) -> None:
        self.zone, self.mean_aim, self.set_ms = settings.zone, mean_aim, SET_AIMS * mean_aim

    def update_share(self, share: float) -> None:
        self.min_size = max(SIDECARS_PER_SERVER * share, SET_MIN)

    def resize(self, done_rate: float) -> None:
        """Adapts the size to the work completed, in mean requests a millisecond."""
        size = done_rate * self.set_ms
        size = size if size > self.min_size else self.min_size
        size = float(round(size)) if size < SET_MAX else float(SET_MAX)
        if not 0.8 * self.size <= size <= 1.25 * self.size:
            self.size, self.needs_draw = size, True

    def refresh(self, now: float) -> None:
        """Brings the set and its views up to date."""
        if self.needs_draw:
            self.draw(now)
        if self.cold:
            self.warm_up(now)
        if self.views_stale:
            self.refresh_views(now)

    def draw(self, now: float) -> None:
        """Takes listed servers in this sidecar's order until enough are active or new. With all of a large
        fleet a quiet sidecar uses each too rarely to learn, and connections grow until refused."""
        need, cap, ring, servers = self.size, SET_GROWTH * self.size, self.members.ring, self.members.servers
        old, self.set, self.needs_draw = set(self.set), [], False
        floor = min((s.deficit for s in old if s.active), default=0.0)
        start, own, count = ring.own_start(), ring.own_count(), len(ring.items)
        if SET_MIN <= own <= SET_MAX and need < own + 1:  # beyond its part, some servers are in more sets
            need = float(own)
        for offset in range(count):
            if need <= 0 or len(self.set) >= cap:
                break
            name = ring.items[(start + offset) % count][1]
            if name not in ring.listed or own and servers[name] in self.set:
                continue  # a large server has several places
            server = servers[name]
            self.set.append(server)
            need -= server.active or not server.samples
            if server not in old:
                server.deficit = floor
        for server in old:
            server.in_use, server.ranked_w = False, None
        self.refresh_views(now)

    def refresh_views(self, now: float) -> None:
        """Rebuilds the views after a draw or after a server became active or inactive."""
        self.views_stale = False
        self.actives = [s for s in self.set if s.active]
        self.inactives = [s for s in self.set if not s.active]
        self.cold = [s for s in self.set if s.cold_since is not None]
        self.own_zone = [s for s in self.actives if s.entry.zone == self.zone]
        self.active_inflight = sum([s.inflight for s in self.actives])
        self.active_size = sum([s.size for s in self.actives])
        self.sorted_ws = []
        for server in self.set:
            server.in_use, server.ranked_w = server.active, None
            self.rank(now, server)

    def rank(self, now: float, server: Server) -> None:
        """Updates a server's entry in ``sorted_ws`` and its effective w."""
        if server.ranked_w is not None:
            del self.sorted_ws[bisect_left(self.sorted_ws, server.ranked_w)]
        server.ranked_w = server.w if server.in_use and server.cold_since is None else None
        if server.ranked_w is not None:
            insort(self.sorted_ws, server.ranked_w)
        if server.w is not None:
            server.eff_w = server.w if server.cold_since is None else server.w / self.warmth.at(now, server)

    def warm_up(self, now: float) -> None:
        """Updates what depends on the age of cold servers."""
        for server in self.cold:
            if self.warmth.at(now, server) >= 1.0:
                server.cold_since, self.views_stale = None, True
            self.rank(now, server)

    def best_w(self, now: float) -> float | None:
        """Returns the reference w: the lower quartile, since a minimum from one lucky answer excludes most of
        the fleet and overloads the rest. Cold servers count only if no other is active: they get little
        traffic and look fast next to busy ones."""
        if self.views_stale:
            self.refresh_views(now)
        ranked = self.sorted_ws or sorted(s.w for s in self.actives if s.w is not None)
        return ranked[len(ranked) // 4] if ranked else None

    def charge(self, now: float, server: Server, record: ClassRecord) -> float:
        """Returns the expected latency of this class at the server; for a trial, from the reference w."""
        w = server.w if server.active else self.best_w(now)
        return (self.mean_aim if w is None else w) * record.cost(server) / self.warmth.at(now, server)

    def active_share(self, now: float) -> float:
        """Returns the active share of the working set."""
        if self.views_stale:
            self.refresh_views(now)
        return len(self.actives) / max(len(self.set), 1)

    def avoided(self, now: float) -> int:
        """As in `Balancer`. It reads a cached view, so another thread sees the state after the last event."""
        return sum([s.listed and s.trial_at > now for s in self.inactives])

    def effective_size(self, now: float) -> float:
        """Returns the total size of the active servers, cold ones scaled by their warmth."""
        if self.views_stale:
            self.refresh_views(now)
        if not self.cold:
            return self.active_size
        return sum([s.size * self.warmth.at(now, s) for s in self.actives])
