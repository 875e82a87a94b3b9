"""The working set: the servers that this sidecar sends to, drawn in its own order, and views of them."""

from __future__ import annotations

from bisect import bisect_left, insort

from hareloom import interface as api
from hareloom.records import ClassRecord, Server
from hareloom.ring import SIDECARS_PER_SERVER
from hareloom.servers import Members, Warmth

# Working set: each server is met about once in so many mean aims, within bounds, and is in so many sidecars'
# sets, or their loads do not even out; widened so far if some do not stand.
SET_AIMS, SET_MIN, SET_MAX, SET_GROWTH = 0.43, 3, 48, 4


class WorkingSet:
    """Views of the set are kept as it changes. ``stale``: it has to be drawn again; ``unsettled``: its views
    have to be made anew."""

    def __init__(self, settings: api.Settings, mean_aim: float, members: Members, warmth: Warmth) -> None:
        self.members, self.warmth = members, warmth
        self.tune(settings, mean_aim)
        self.set: list[Server] = []
        self.size: float = float(SET_MIN)
        self.min_size: float = float(SET_MIN)
        self.needs_draw = self.views_stale = True
        # The active ones, those of the own zone, the others, the cold; attempts out at the active ones and
        # their sizes; w of the warm active ones, sorted.
        self.actives, self.own_zone, self.inactives = list[Server](), list[Server](), list[Server]()
        self.cold, self.sorted_ws = list[Server](), list[float]()
        self.active_inflight, self.active_size = 0, 0.0

    def tune(self, settings: api.Settings, mean_aim: float) -> None:
        self.zone, self.mean_aim, self.set_ms = settings.zone, mean_aim, SET_AIMS * mean_aim

    def update_share(self, share: float) -> None:
        self.min_size = max(SIDECARS_PER_SERVER * share, SET_MIN)

    def resize(self, done: float) -> None:
        """To what gets done, in mean requests a millisecond."""
        size = done * self.set_ms
        size = size if size > self.min_size else self.min_size
        size = float(round(size)) if size < SET_MAX else float(SET_MAX)
        if not 0.8 * self.size <= size <= 1.25 * self.size:
            self.size, self.needs_draw = size, True

    def refresh(self, now: float) -> None:
        """All of it up to now."""
        if self.needs_draw:
            self.draw(now)
        if self.cold:
            self.warm_up(now)
        if self.views_stale:
            self.refresh_views(now)

    def draw(self, now: float) -> None:
        """The first listed servers in this sidecar's own order, until enough of them stand. With all of
        a large fleet a quiet sidecar meets each too seldom to learn, and connections grow until refused."""
        need, cap, ring, servers = self.size, SET_GROWTH * self.size, self.members.ring, self.members.servers
        old, self.set, self.needs_draw = set(self.set), [], False
        floor = min((s.deficit for s in old if s.active), default=0.0)
        first, own, count = ring.own_start(), ring.own_count(), len(ring.items)
        if SET_MIN <= own <= SET_MAX and need < own + 1:  # just its own part, or some are in more sets
            need = float(own)
        for at in range(count):
            if need <= 0 or len(self.set) >= cap:
                break
            name = ring.items[(first + at) % count][1]
            if name not in ring.listed or own and servers[name] in self.set:
                continue  # a large one stands there more than once
            server = servers[name]
            self.set.append(server)
            need -= server.active or not server.samples
            if server not in old:
                server.deficit = floor
        for server in old:
            server.in_use, server.ranked_w = False, None
        self.refresh_views(now)

    def refresh_views(self, now: float) -> None:
        """Makes the views of the working set anew: after a draw, or when one became active, or left."""
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
        """Puts a server's w where it belongs among those that give the best, or takes it out of there."""
        if server.ranked_w is not None:
            del self.sorted_ws[bisect_left(self.sorted_ws, server.ranked_w)]
        server.ranked_w = server.w if server.in_use and server.cold_since is None else None
        if server.ranked_w is not None:
            insort(self.sorted_ws, server.ranked_w)
        if server.w is not None:
            server.eff_w = server.w if server.cold_since is None else server.w / self.warmth.at(now, server)

    def warm_up(self, now: float) -> None:
        """Brings what depends on the age of cold servers up to now."""
        for server in self.cold:
            if self.warmth.at(now, server) >= 1.0:
                server.cold_since, self.views_stale = None, True
            self.rank(now, server)

    def best_w(self, now: float) -> float | None:
        """The w that others are measured by: the best quarter's, not the lowest. One lucky answer makes a
        lowest w that shuts most of the fleet out, and what is left is pushed over. Cold servers do not count
        while any other is active: little is sent to them, so they look quick next to busy ones."""
        if self.views_stale:
            self.refresh_views(now)
        ranked = self.sorted_ws or sorted(s.w for s in self.actives if s.w is not None)
        return ranked[len(ranked) // 4] if ranked else None

    def charge(self, now: float, server: Server, record: ClassRecord) -> float:
        """Latency that a request of this class should see there; for a trial, that of the best."""
        w = server.w if server.active else self.best_w(now)
        return (self.mean_aim if w is None else w) * record.cost(server) / self.warmth.at(now, server)

    def active_share(self, now: float) -> float:
        """The share of the working set that is active."""
        if self.views_stale:
            self.refresh_views(now)
        return len(self.actives) / max(len(self.set), 1)

    def avoided(self, now: float) -> int:
        """As `Balancer` says. It looks at a kept view: from another thread, as right as the last event."""
        return sum([s.listed and s.trial_at > now for s in self.inactives])

    def effective_size(self, now: float) -> float:
        """Sizes of the active servers, the cold ones by their warmth."""
        if self.views_stale:
            self.refresh_views(now)
        if not self.cold:
            return self.active_size
        return sum([s.size * self.warmth.at(now, s) for s in self.actives])
