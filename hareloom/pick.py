"""The round-robin rule: a request goes to the lowest deficit among the active servers."""

from __future__ import annotations

import math
from heapq import heappop, heappush

from hareloom import governor, requests
from hareloom import interface as api
from hareloom.activity import Activity
from hareloom.limits import Limits
from hareloom.records import Attempt, Held, Server
from hareloom.servers import CROWD_SIZE
from hareloom.work import Work

# Servers with more out than the even part are passed over, but so many a server may always be.
CROWD_LEAST = 1.5
OUT_WEIGHT = 4.0  # what is still out counts this much again in the deficits compared
# Where crossing zones costs: while the limit is not nearly used, servers of the own zone come first that are
# this near to the best w and have no more out than so many times the even part. It hurts where one zone's
# sidecars have far more traffic than its servers can take, by what their w lags behind.
NEAR_W, NEAR_CROWD, NEAR_ROOM = 1.5, 2.0, 0.5
SAMPLE = 4  # servers that are looked at for a request where CPU is short


class Pick:
    """``looks``: servers that were looked at for requests, in all."""

    def __init__(self, settings: api.Settings, activity: Activity, work: Work, limits: Limits) -> None:
        self.settings, self.activity, self.work, self.limits = settings, activity, work, limits
        self.working = activity.working
        self.overdue: list[tuple[float, int, Attempt]] = []  # when an attempt's age exceeds its charge
        self.sent, self.turn, self.looks = 0, 0, 0

    def choose(self, now: float, held: Held, effort: governor.Governor) -> Server | None:
        """The lowest deficit among the active; before that, a trial that is due and risks nothing."""
        working, settings = self.working, self.settings
        working.bring_up(now)
        if not held.attempts and not requests.may_send(settings, now, held, None):
            return None  # a first attempt may go to all alike
        actives, resting, near = working.actives, working.resting, working.near_ones
        out, size = working.active_out, working.active_size
        tried = [a.server for a in held.attempts] if held.attempts else None
        if tried or working.cold or now < self.activity.full_until:
            # A cold server is pushed over when all send it a warm one's load: each keeps to its part.
            able = [s for s in working.set if s.cold_since is None]
            if working.cold:
                able += working.warmth.turned(now, working.cold, self.work.each())
            able = [s for s in able if now >= s.full_until]
            if tried:
                able = [s for s in able if requests.may_send(settings, now, held, s)]
                able = [s for s in able if s not in tried] or able
            actives, resting = [s for s in able if s.active], [s for s in able if not s.active]
            near = [s for s in actives if s.entry.zone == settings.zone]
            out, size = sum([s.held for s in actives]), sum([s.size for s in actives])
        if resting and not tried and (trial := self.activity.trial_due(now, resting)):
            return trial
        if not actives:
            return min(resting, key=lambda s: (len(s.out), s.due, s.rank), default=None)
        even = out / max(size, CROWD_SIZE)
        looked = len(actives)
        if effort.level >= governor.SAMPLED and looked > SAMPLE:
            actives, near = self.sample(actives), []
            looked = SAMPLE
        self.looks += looked
        if effort.on:
            effort.spend(effort.costs.look * looked)
        found = self.near(now, near, NEAR_CROWD * even) or self.within(actives, even) or actives
        chosen = self.lowest(now, found, held)
        if not tried and effort.level < governor.SAMPLED:
            # Turns passed over, a cold server's above all, are not saved up: it would then get everything.
            costs, floor = held.of.costs, chosen.deficit
            for server in working.actives:
                if server.deficit < (least := floor - server.pull * costs[server.kind]):
                    server.deficit = least
        return chosen

    def sample(self, among: list[Server]) -> list[Server]:
        """A few of them in turns, so that each is looked at as often as any other."""
        at = self.turn = (self.turn + SAMPLE) % len(among)
        return (among[at:] + among[:at])[:SAMPLE]

    def lowest(self, now: float, among: list[Server], held: Held) -> Server:
        """The lowest deficit after the send, with what is out counted again, an overdue attempt by its age:
        alone it does not see a queue, its own or one that others fill, until the late answers come. What this
        class costs there beyond the mean of all counts as much, so that classes go where they suit."""
        self.age_out(now)
        costs, scale = held.of.costs, held.scale
        # By kind of machine: what a turn adds to the deficit and, with the ease of the kind, to what is out.
        if len(costs) == 1:
            adds = {kind: cost * scale for kind, cost in costs.items()}
        else:
            mean = sum([costs[s.kind] for s in among]) / len(among)
            adds = {kind: (cost + OUT_WEIGHT * (cost - mean)) * scale for kind, cost in costs.items()}
        chosen, least = among[0], math.inf
        for server in among:
            standing = server.deficit + server.pull * adds[server.kind] + OUT_WEIGHT * server.owed
            if server.late:
                standing += OUT_WEIGHT * (server.late * now - server.late_sent)
            if standing < least or standing == least and server.rank < chosen.rank:
                chosen, least = server, standing
        return chosen

    def age_out(self, now: float) -> None:
        """From here on, what has been out for longer than it was charged counts by its age."""
        overdue = self.overdue
        while overdue and (overdue[0][0] <= now or overdue[0][2].ended):
            attempt = heappop(overdue)[2]
            if not attempt.ended:
                attempt.overdue, server = True, attempt.server
                server.owed -= attempt.charge
                server.late += 1
                server.late_sent += attempt.sent

    def near(self, now: float, own: list[Server], even: float) -> list[Server]:
        """The servers of the own zone that are as good as any, while there is room and crossing costs."""
        limits = self.limits
        if self.settings.cross_zone_price <= 0.0 or not own or limits.out >= NEAR_ROOM * limits.limit:
            return []
        best = self.working.best(now)
        most = math.inf if best is None else NEAR_W * best
        return [s for s in self.within(own, even) if s.w is None or s.w <= most]

    def within(self, active: list[Server], even: float) -> list[Server]:
        """Those that have no more out than is even, by size. A deficit is what a server was charged by its w,
        which follows a queue only when that is answered: the quick ones of a moment ago got all, and queues
        stood at some while others beside them were idle."""
        return [s for s in active if s.held < CROWD_LEAST or s.held < even * s.size]

    def put_out(self, now: float, held: Held, server: Server) -> Attempt:
        """The attempt that is sent there now, charged and counted."""
        working, activity, of = self.working, self.activity, held.of
        left, cost = held.until - now, of.costs[server.kind] * held.scale
        charge = cost * server.pull if server.counted else working.charge(now, server, of) * held.scale
        attempt = Attempt(server, now, left, cost, charge, of)
        attempt.calm = self.limits.calm(of)
        if server.cold_since is not None and server.proof < 0:  # what no list has told of may be warm
            attempt.warmth = working.warmth.of(now, server)
        server.take(attempt)
        working.active_out += server.counted
        self.sent += 1
        heappush(self.overdue, (now + held.body_ms + charge, self.sent, attempt))
        if attempt.trial:
            server.trial = True
            activity.trials.saved -= server.samples > 0
        server.deficit += charge
        self.limits.out += 1
        if server.cold_since is not None:
            server.wait_turn(now, cost)
        return attempt
