"""The round-robin rule: a request goes to the lowest deficit among the active servers."""

from __future__ import annotations

import math
from heapq import heappop, heappush

from hareloom import governor, requests
from hareloom import interface as api
from hareloom.activity import Activity
from hareloom.limits import AttemptLimit
from hareloom.records import Attempt, OpenRequest, Server
from hareloom.servers import MIN_SIZE
from hareloom.work import Work

# Servers with more out than the even part are passed over, but so many a server may always be.
ALWAYS_INFLIGHT = 1.5
LOAD_WEIGHT = 4.0  # what is still out counts this much again in the deficits compared
# Where crossing zones costs: while the limit is not nearly used, servers of the own zone come first that are
# this near to the best w and have no more out than so many times the even part. It hurts where one zone's
# sidecars have far more traffic than its servers can take, by what their w lags behind.
ZONE_W_RATIO, ZONE_LOAD_RATIO, ZONE_ROOM = 1.5, 2.0, 0.5
SAMPLE_SIZE = 4  # servers that are looked at for a request where CPU is short


class Picker:
    """``looks``: servers that were looked at for requests, in all."""

    def __init__(self, settings: api.Settings, activity: Activity, work: Work, limits: AttemptLimit) -> None:
        self.settings, self.activity, self.work, self.limits = settings, activity, work, limits
        self.working = activity.working
        self.charge_ends: list[tuple[float, int, Attempt]] = []  # when an attempt's age exceeds its charge
        self.sequence, self.sample_start, self.looks = 0, 0, 0

    def choose(self, now: float, pending: OpenRequest, effort: governor.Governor) -> Server | None:
        """The lowest deficit among the active; before that, a trial that is due and risks nothing."""
        working, settings = self.working, self.settings
        working.refresh(now)
        if not pending.attempts and not requests.may_send(settings, now, pending, None):
            return None  # a first attempt may go to all alike
        actives, resting, near = working.actives, working.inactives, working.own_zone
        out, size = working.active_inflight, working.active_size
        tried = [a.server for a in pending.attempts] if pending.attempts else None
        if tried or working.cold or now < self.activity.full_until:
            # A cold server is pushed over when all send it a warm one's load: each keeps to its part.
            able = [s for s in working.set if s.cold_since is None]
            if working.cold:
                able += working.warmth.due_servers(now, working.cold, self.work.per_server())
            able = [s for s in able if now >= s.full_until]
            if tried:
                able = [s for s in able if requests.may_send(settings, now, pending, s)]
                able = [s for s in able if s not in tried] or able
            actives, resting = [s for s in able if s.active], [s for s in able if not s.active]
            near = [s for s in actives if s.entry.zone == settings.zone]
            out, size = sum([s.inflight for s in actives]), sum([s.size for s in actives])
        if resting and not tried and (trial := self.activity.due_trial(now, resting)):
            return trial
        if not actives:
            return min(resting, key=lambda s: (len(s.attempts), s.trial_at, s.rank), default=None)
        even = out / max(size, MIN_SIZE)
        looked = len(actives)
        if effort.level >= governor.SAMPLED and looked > SAMPLE_SIZE:
            actives, near = self.sample(actives), []
            looked = SAMPLE_SIZE
        self.looks += looked
        if effort.enabled:
            effort.spend(effort.costs.look * looked)
        found = self.own_zone(now, near, ZONE_LOAD_RATIO * even) or self.below_even(actives, even) or actives
        chosen = self.lowest(now, found, pending)
        if not tried and effort.level < governor.SAMPLED:
            # Turns passed over, a cold server's above all, are not saved up: it would then get everything.
            costs, floor = pending.record.costs, chosen.deficit
            for server in working.actives:
                if server.deficit < (least := floor - server.eff_w * costs[server.kind]):
                    server.deficit = least
        return chosen

    def sample(self, among: list[Server]) -> list[Server]:
        """A few of them in turns, so that each is looked at as often as any other."""
        at = self.sample_start = (self.sample_start + SAMPLE_SIZE) % len(among)
        return (among[at:] + among[:at])[:SAMPLE_SIZE]

    def lowest(self, now: float, among: list[Server], pending: OpenRequest) -> Server:
        """The lowest deficit after the send, with what is out counted again, an overdue attempt by its age:
        alone it does not see a queue, its own or one that others fill, until the late answers come. What this
        class costs there beyond the mean of all counts as much, so that classes go where they suit."""
        self.mark_overdue(now)
        costs, scale = pending.record.costs, pending.scale
        # By kind of machine: what a turn adds to the deficit and, with the ease of the kind, to what is out.
        if len(costs) == 1:
            adds = {kind: cost * scale for kind, cost in costs.items()}
        else:
            mean = sum([costs[s.kind] for s in among]) / len(among)
            adds = {kind: (cost + LOAD_WEIGHT * (cost - mean)) * scale for kind, cost in costs.items()}
        chosen, least = among[0], math.inf
        for server in among:
            standing = server.deficit + server.eff_w * adds[server.kind] + LOAD_WEIGHT * server.open_charge
            if server.overdue_count:
                standing += LOAD_WEIGHT * (server.overdue_count * now - server.overdue_sent)
            if standing < least or standing == least and server.rank < chosen.rank:
                chosen, least = server, standing
        return chosen

    def mark_overdue(self, now: float) -> None:
        """From here on, what has been out for longer than it was charged counts by its age."""
        overdue = self.charge_ends
        while overdue and (overdue[0][0] <= now or overdue[0][2].ended):
            attempt = heappop(overdue)[2]
            if not attempt.ended:
                attempt.overdue, server = True, attempt.server
                server.open_charge -= attempt.charge
                server.overdue_count += 1
                server.overdue_sent += attempt.sent_at

    def own_zone(self, now: float, own: list[Server], even: float) -> list[Server]:
        """The servers of the own zone that are as good as any, while there is room and crossing costs."""
        limits = self.limits
        if self.settings.cross_zone_price <= 0.0 or not own or limits.inflight >= ZONE_ROOM * limits.limit:
            return []
        best = self.working.best_w(now)
        most = math.inf if best is None else ZONE_W_RATIO * best
        return [s for s in self.below_even(own, even) if s.w is None or s.w <= most]

    def below_even(self, active: list[Server], even: float) -> list[Server]:
        """Those that have no more out than is even, by size. A deficit is what a server was charged by its w,
        which follows a queue only when that is answered: the quick ones of a moment ago got all, and queues
        stood at some while others beside them were idle."""
        return [s for s in active if s.inflight < ALWAYS_INFLIGHT or s.inflight < even * s.size]

    def start_attempt(self, now: float, pending: OpenRequest, server: Server) -> Attempt:
        """The attempt that is sent there now, charged and counted."""
        working, activity, record = self.working, self.activity, pending.record
        left, cost = pending.expires_at - now, record.costs[server.kind] * pending.scale
        charge = cost * server.eff_w if server.in_use else working.charge(now, server, record) * pending.scale
        attempt = Attempt(server, now, left, cost, charge, record)
        attempt.unqueued = self.limits.unqueued(record)
        if server.cold_since is not None and server.fast_answers < 0:  # what no list has told of may be warm
            attempt.warmth = working.warmth.at(now, server)
        server.add_attempt(attempt)
        working.active_inflight += server.in_use
        self.sequence += 1
        heappush(self.charge_ends, (now + pending.body_ms + charge, self.sequence, attempt))
        if attempt.trial:
            server.trial = True
            activity.trials.tokens -= server.samples > 0
        server.deficit += charge
        self.limits.inflight += 1
        if server.cold_since is not None:
            server.wait_turn(now, cost)
        return attempt
