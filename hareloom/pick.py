"""The round-robin rule: a request goes to the active server with the lowest deficit."""

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

# Servers with more attempts in flight than the even load are skipped, unless they have fewer than this.
ALWAYS_INFLIGHT = 1.5
LOAD_WEIGHT = 4.0  # weight of the charge in flight when deficits are compared
# Where crossing zones costs: while less than ZONE_ROOM of the limit is used, servers of the own zone are
# preferred within ZONE_W_RATIO of the best w and ZONE_LOAD_RATIO of the even load. The cost: where one zone's
# sidecars have far more traffic than its servers can take, w follows with a delay.
ZONE_W_RATIO, ZONE_LOAD_RATIO, ZONE_ROOM = 1.5, 2.0, 0.5
SAMPLE_SIZE = 4  # servers examined for a request when CPU is short


class Picker:
    """Chooses servers for attempts. ``looks``: total number of servers examined."""

    def __init__(self, settings: api.Settings, activity: Activity, work: Work, limits: AttemptLimit) -> None:
        self.settings, self.activity, self.work, self.limits = settings, activity, work, limits
        self.working = activity.working
        self.charge_ends: list[tuple[float, int, Attempt]] = []  # heap by when the age exceeds the charge
        self.sequence, self.sample_start, self.looks = 0, 0, 0

    def choose(self, now: float, pending: OpenRequest, effort: governor.Governor) -> Server | None:
        """Returns a server whose trial is due, if that risks nothing, or the one with the lowest deficit."""
        working, settings = self.working, self.settings
        working.refresh(now)
        if not pending.attempts and not requests.may_send(settings, now, pending, None):
            return None  # a first attempt may go to any server
        actives, inactives, own = working.actives, working.inactives, working.own_zone
        inflight, size = working.active_inflight, working.active_size
        tried = [a.server for a in pending.attempts] if pending.attempts else None
        if tried or working.cold or now < self.activity.full_until:
            # A cold server is overloaded if all sidecars send it a warm one's load: each sends its part only.
            usable = [s for s in working.set if s.cold_since is None]
            if working.cold:
                usable += working.warmth.due_servers(now, working.cold, self.work.per_server())
            usable = [s for s in usable if now >= s.full_until]
            if tried:
                usable = [s for s in usable if requests.may_send(settings, now, pending, s)]
                usable = [s for s in usable if s not in tried] or usable
            actives, inactives = [s for s in usable if s.active], [s for s in usable if not s.active]
            own = [s for s in actives if s.entry.zone == settings.zone]
            inflight, size = sum([s.inflight for s in actives]), sum([s.size for s in actives])
        if inactives and not tried and (trial := self.activity.due_trial(now, inactives)):
            return trial
        if not actives:
            return min(inactives, key=lambda s: (len(s.attempts), s.trial_at, s.rank), default=None)
        even = inflight / max(size, MIN_SIZE)
        examined = len(actives)
        if effort.level >= governor.SAMPLED and examined > SAMPLE_SIZE:
            actives, own = self.sample(actives), []
            examined = SAMPLE_SIZE
        self.looks += examined
        if effort.enabled:
            effort.spend(effort.costs.look * examined)
        found = self.own_zone(now, own, ZONE_LOAD_RATIO * even) or self.below_even(actives, even) or actives
        chosen = self.lowest(now, found, pending)
        if not tried and effort.level < governor.SAMPLED:
            # Skipped turns do not accumulate, or a skipped server, mostly a cold one, would get everything.
            costs, floor = pending.record.costs, chosen.deficit
            for server in working.actives:
                if server.deficit < (least := floor - server.eff_w * costs[server.kind]):
                    server.deficit = least
        return chosen

    def sample(self, servers: list[Server]) -> list[Server]:
        """Returns a few servers, in rotation, so that each is examined equally often."""
        at = self.sample_start = (self.sample_start + SAMPLE_SIZE) % len(servers)
        return (servers[at:] + servers[:at])[:SAMPLE_SIZE]

    def lowest(self, now: float, servers: list[Server], pending: OpenRequest) -> Server:
        """Returns the server with the lowest deficit after the send. The charge in flight is added, the age
        for overdue attempts, since a deficit shows a queue only when late answers arrive; so is the cost of
        this class there beyond the mean, so that classes go to the hardware that suits them."""
        self.mark_overdue(now)
        costs, scale = pending.record.costs, pending.scale
        # By kind of machine: what a turn adds to the deficit, and the weighted cost beyond the mean.
        if len(costs) == 1:
            adds = {kind: cost * scale for kind, cost in costs.items()}
        else:
            mean = sum([costs[s.kind] for s in servers]) / len(servers)
            adds = {kind: (cost + LOAD_WEIGHT * (cost - mean)) * scale for kind, cost in costs.items()}
        chosen, least = servers[0], math.inf
        for server in servers:
            standing = server.deficit + server.eff_w * adds[server.kind] + LOAD_WEIGHT * server.open_charge
            if server.overdue_count:
                standing += LOAD_WEIGHT * (server.overdue_count * now - server.overdue_sent)
            if standing < least or standing == least and server.rank < chosen.rank:
                chosen, least = server, standing
        return chosen

    def mark_overdue(self, now: float) -> None:
        """Marks attempts that are in flight for longer than their charge; these count by their age."""
        overdue = self.charge_ends
        while overdue and (overdue[0][0] <= now or overdue[0][2].ended):
            attempt = heappop(overdue)[2]
            if not attempt.ended:
                attempt.overdue, server = True, attempt.server
                server.open_charge -= attempt.charge
                server.overdue_count += 1
                server.overdue_sent += attempt.sent_at

    def own_zone(self, now: float, own: list[Server], even: float) -> list[Server]:
        """Returns the preferred servers of the own zone, if crossing zones costs and the limit has room."""
        limits = self.limits
        if self.settings.cross_zone_price <= 0.0 or not own or limits.inflight >= ZONE_ROOM * limits.limit:
            return []
        best = self.working.best_w(now)
        most = math.inf if best is None else ZONE_W_RATIO * best
        return [s for s in self.below_even(own, even) if s.w is None or s.w <= most]

    def below_even(self, active: list[Server], even: float) -> list[Server]:
        """Returns the servers with no more in flight than the even load for their size. A deficit follows w,
        which shows a queue only after its answers: recently fast servers got everything, and some had queues
        while others were idle."""
        return [s for s in active if s.inflight < ALWAYS_INFLIGHT or s.inflight < even * s.size]

    def start_attempt(self, now: float, pending: OpenRequest, server: Server) -> Attempt:
        """Creates, charges and counts the attempt that is sent to the server now."""
        working, activity, record = self.working, self.activity, pending.record
        left, cost = pending.expires_at - now, record.costs[server.kind] * pending.scale
        charge = cost * server.eff_w if server.in_use else working.charge(now, server, record) * pending.scale
        attempt = Attempt(server, now, left, cost, charge, record)
        attempt.unqueued = self.limits.unqueued(record)
        if server.cold_since is not None and server.fast_answers < 0:  # an unlisted restart may be none
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
