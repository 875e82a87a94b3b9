"""All of a sidecar's decisions. The types it takes and gives are in interface.py.

The ordinary path is the round-robin rule of Cicconetti et al. (Sec. IV). Every server has a smoothed
latency w and a deficit; a request goes to the active server with the lowest deficit, which then grows by w.
Active are those whose w is within a fixed factor of the best w; others return by backed-off trials.
"""

from __future__ import annotations

import math
import random
from dataclasses import replace

from hareloom import interface as api
from hareloom.interface import NEVER_RAN, Effect, Group, ListKind, Outcome, ServerState

# Weight of the old w per answer; the paper's 0.95 is slower than troubles that last seconds.
ALPHA = 0.9
# Active: w within this of the best; two, as in the paper, shuts merely slower machines out.
ACTIVE_FACTOR = 4.0
# First wait before a trial, and where doubling stops, so that a recovery is found while it still matters.
BACKOFF_MIN_MS, BACKOFF_MAX_MS = 500.0, 4000.0
# Broken or failed connections in a row, with no answer between, that put a server out at once: at the least,
# and more while chance alone gives that many in a row so often, by the share that breaks everywhere. One says
# little: networks and peers, restarts of something in between or full tables end single ones, and with a
# server out for each most of a sound fleet was. A process that dies ends all it holds and refuses the next.
# It hurts by one failure more where only one is out, by a few where one dies while all are troubled.
BREAKS_OUT, BREAKS_CHANCE, BREAKS_ALPHA = 2, 0.002, 0.98
STAY_SHARE = 0.6  # servers leave for being slow only while this share of the set stays active
# Working set: each server is met about once in this time, within bounds, and is in so many sidecars' sets, or
# their loads do not even out; widened so far if some do not stand.
SET_MS, SET_MIN, SET_MAX, SET_COVER, SET_WIDER = 250.0, 3, 48, 20.0, 4
# Trials of servers that failed before: so many per request, saved up to this. A quiet sidecar with half its
# set out would send little else but trials, at the pace of their back-off alone.
TRIAL_SHARE, TRIAL_SAVED = 0.1, 2.0
JITTER = 0.3  # trials and calls are spread by this share, so that sidecars do not fall in step
# Retries: so many per request, saved up to this, and only with this share of the limit free.
RETRY_SHARE, RETRY_SAVED, RETRY_ROOM = 0.1, 10.0, 0.5
# Servers with more out than the even part are passed over, but so many a server may always be; and no size
# counts as less than this.
CROWD_LEAST, CROWD_SIZE = 1.5, 1e-3
OUT_WEIGHT = 4.0  # what is still out counts this much again in the deficits compared
# Attempts that may be out at once: the most at first (a restarted sidecar has its full share to carry), the
# least; up for a timely answer, down for one late or missing; below one, in proportion. Below the even
# size, so many a server over all sidecars, up by more. Up by LIMIT_START until the first is late or the
# limit has come to LIMIT_SOON even sizes: a sidecar that starts into a full load needs several times its
# first limit within a second, and without an end hundreds that start together push the servers over before
# any answer is late. Never below LIMIT_EACH_MIN a server over all sidecars: where servers are slow by
# themselves all answers are late, whatever is held back.
LIMIT_FIRST, LIMIT_MIN, LIMIT_UP, LIMIT_DOWN = 12.0, 0.1, 0.1, 0.2
LIMIT_EACH, LIMIT_EVEN, LIMIT_PULL = 3.0, 2.0, 0.25
LIMIT_START, LIMIT_SOON, LIMIT_EACH_MIN = 0.5, 2.0, 1.0
# Timely: within this share of what the aim leaves beyond the class's quick answers, its lowest fifth. More
# lets queues stand that some servers do not recover from. The fifth is learnt in steps of this share of the
# aim, large ones at first: where it follows within a second, a queue that stands raises what counts as quick,
# is timely by that, and stays for good.
TIMELY, QUICK, QUICK_STEP, QUICK_FIRST = 0.25, 0.2, 0.002, 0.5
# Where crossing zones costs: while the limit is not nearly used, servers of the own zone come first that are
# this near to the best w and have no more out than so many times the even part. It hurts where one zone's
# sidecars have far more traffic than its servers can take, by what their w lags behind.
NEAR_W, NEAR_CROWD, NEAR_ROOM = 1.5, 2.0, 0.5
COST_ALPHA = 0.98  # smoothing of the classes' relative costs, which begin as their relative aims
RATE_MS = 10000.0  # time constant of the rate at which this sidecar gets work done
ASK_AGAIN_MS, ASK_AGAIN_MAX_MS = 500.0, 4000.0  # discovery is asked again: first wait, longest
# A request with no place or server waits this share of its aim; a latency follows its hint by this share.
WAIT_SHARE, HINT_SHARE = 0.15, 0.5


class Server:
    """What this sidecar knows of one server."""

    def __init__(self, entry: api.ServerEntry, rank: float) -> None:
        self.entry, self.rank = entry, rank  # rank breaks ties, differently at each sidecar
        self.listed, self.active, self.trial = True, False, False
        self.w: float | None = None
        self.samples, self.deficit, self.breaks = 0, 0.0, 0
        self.backoff, self.due = BACKOFF_MIN_MS, -math.inf
        self.cold_since, self.cold_next = entry.started_at, -math.inf
        self.out: dict[tuple[str, int], Attempt] = {}


class Attempt:
    def __init__(self, server: Server, now: float, timeout: float, cost: float, charge: float) -> None:
        self.server, self.sent, self.timeout, self.cost, self.charge = server, now, timeout, cost, charge
        self.trial = not server.active
        self.ended, self.may_have_run = False, True


class Held:
    """A request that has been taken and is not forgotten yet."""

    def __init__(self, request: api.Request, klass: api.RequestClass, until: float) -> None:
        self.id, self.klass, self.until = request.request, klass, until
        self.attempts: list[Attempt] = []
        self.open, self.streaming, self.scale = True, False, 1.0


class Balancer:
    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.classes = {item.name: item for item in settings.classes}
        by_work = settings.by_work
        self.worth = {k.name: k.worth / (1.0 if by_work else k.aim_ms) for k in settings.classes}
        self.mean_aim = sum(item.aim_ms for item in settings.classes) / len(settings.classes)
        self.servers: dict[str, Server] = {}
        self.set: list[Server] = []  # the working set, and whether it has to be drawn again
        self.stale, self.size, self.asked, self.ask_wait = True, SET_MIN, False, ASK_AGAIN_MS
        self.requests, self.waiting = dict[str, Held](), dict[str, Held]()
        self.timers: dict[int, tuple[str, str]] = {}
        self.costs: dict[tuple[str, str], float] = {}
        self.lives: dict[str, tuple[float, int]] = {}
        self.means, self.hints, self.quick = dict[str, float](), dict[str, float](), dict[str, float]()
        self.seen = dict.fromkeys(self.classes, 1.0)
        self.budget, self.trials, self.out, self.next_token = RETRY_SAVED, TRIAL_SAVED, 0, 0
        self.broken = 0.0  # share of attempts whose connection broke, of late and over all servers
        self.done, self.done_at = 0.0, -math.inf  # work answered a millisecond, in mean requests
        self.limit, self.even, self.share, self.rest_until = 1.0, 1.0, 0.0, -math.inf
        self.starting = True  # no answer has been late yet, and the limit is small
        self.now, self.actions = -math.inf, list[api.Action]()

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        self.now, self.actions = now, []
        if isinstance(event, api.Request):
            self.on_request(event)
        elif isinstance(event, api.AttemptEnded):
            self.on_ended(event)
        elif isinstance(event, api.Timer):
            self.on_timer(event)
        elif isinstance(event, api.ServerList):
            self.on_list(event)
        elif isinstance(event, api.ClientGone) and event.request in self.requests:
            self.close(self.requests[event.request])
        elif isinstance(event, api.StreamStarted):
            if (held := self.requests.get(event.request)) and event.attempt < len(held.attempts):
                held.streaming = True
        self.fill()
        return self.actions

    def draw_set(self) -> None:
        """The first listed servers in this sidecar's own order, until enough of them stand. With all of
        a large fleet a quiet sidecar meets each too seldom to learn, and connections grow until refused."""
        stand, most = self.size, SET_WIDER * self.size
        old, self.set, self.stale = set(self.set), [], False
        floor = min((s.deficit for s in old if s.active), default=0.0)
        for server in sorted((s for s in self.servers.values() if s.listed), key=lambda s: s.rank):
            if stand <= 0 or len(self.set) >= most:
                break
            self.set.append(server)
            stand -= server.active or not server.samples
            if server not in old:
                server.deficit = floor

    # The paper's rule

    def best(self) -> float | None:
        """The w that others are measured by: the best quarter's, not the lowest. One lucky answer makes a
        lowest w that shuts most of the fleet out, and what is left is pushed over. Cold servers do not count
        while any other is active: little is sent to them, so they look quick next to busy ones."""
        ranked = [s.w for s in self.set if s.active and s.w is not None and s.cold_since is None]
        ranked = sorted(ranked or [s.w for s in self.set if s.active and s.w is not None])
        return ranked[len(ranked) // 4] if ranked else None

    def charge(self, server: Server, klass: api.RequestClass) -> float:
        """Latency that a request of this class should see there; for a trial, that of the best."""
        w = server.w if server.active else self.best()
        return (self.mean_aim if w is None else w) * self.cost(server, klass) / self.warmth(server)

    def choose(self, held: Held) -> Server | None:
        """The lowest deficit among the active; before that, a trial that is due and risks nothing."""
        tried = [a.server for a in held.attempts]
        if self.stale:
            self.draw_set()
        # A cold server is pushed over when all send it a warm one's load: each keeps to its part.
        able = [
            s for s in self.set if s.cold_since is None or self.warmth(s) >= 1.0 or self.now >= s.cold_next
        ]
        if tried:
            able = [s for s in able if self.may_send(held, s)]
            able = [s for s in able if s not in tried] or able
        elif able and not self.may_send(held, able[0]):  # a first attempt may go to all alike
            able = []
        resting = [s for s in able if not s.active]
        due = [
            s for s in resting if not s.trial and s.due <= self.now and (not s.samples or self.trials >= 1.0)
        ]
        if due and not tried:
            return min(due, key=lambda s: (s.due, s.rank))
        best = self.best()
        if best is None or len(resting) == len(able):
            return min(resting, key=lambda s: (len(s.out), s.due, s.rank), default=None)
        active = [s for s in able if s.active]
        active = self.near(active, best) or self.uncrowded(active)
        costs = [self.cost(s, held.klass) for s in active]
        mean = sum(costs) / len(active)
        charges = {s: self.charge(s, held.klass) for s in self.set if s.active}
        chosen, least = active[0], (math.inf, math.inf)
        for server, cost in zip(active, costs, strict=True):
            rank = (self.standing(server, charges[server] * held.scale, mean / cost), server.rank)
            if rank < least:
                chosen, least = server, rank
        if not tried:
            # Turns passed over, a cold server's above all, are not saved up: it would then get everything.
            for server, charge in charges.items():
                server.deficit = max(server.deficit, chosen.deficit - charge)
        return chosen

    def near(self, active: list[Server], best: float) -> list[Server]:
        """The servers of the own zone that are as good as any, while there is room and crossing costs."""
        if self.settings.cross_zone_price <= 0.0 or self.out >= NEAR_ROOM * self.limit:
            return []
        zone = self.settings.zone
        return [
            s
            for s in self.within(active, NEAR_CROWD)
            if s.entry.zone == zone and (s.w is None or s.w <= NEAR_W * best)
        ]

    def uncrowded(self, active: list[Server]) -> list[Server]:
        """Those that have no more out than is even, by size. A deficit is what a server was charged by its w,
        which follows a queue only when that is answered: the quick ones of a moment ago got all, and queues
        stood at some while others beside them were idle."""
        return self.within(active, 1.0) or active

    def within(self, active: list[Server], parts: float) -> list[Server]:
        """Those that have less out than so many even parts of what is out at all of them."""
        sizes = [max(s.entry.size, CROWD_SIZE) if self.settings.sized else 1.0 for s in active]
        even = parts * sum([len(s.out) for s in active]) / max(sum(sizes), CROWD_SIZE)
        most = [max(even * size, CROWD_LEAST) for size in sizes]
        return [s for s, room in zip(active, most, strict=True) if len(s.out) < room]

    def standing(self, server: Server, charge: float, ease: float) -> float:
        """The deficit after the send, with what is out counted again, an overdue attempt by its age: alone it
        does not see a queue, its own or one that others fill, until the late answers come. What this class
        costs there beyond the mean of all counts as much, so that classes go to the kinds that suit them."""
        out = sum([max(a.charge, self.now - a.sent) for a in server.out.values()]) if server.out else 0.0
        return server.deficit + charge + OUT_WEIGHT * (out + charge * (1.0 - ease))

    def learn(
        self, attempt: Attempt, klass: api.RequestClass, latency: float, failed: bool, down: bool = False
    ) -> None:
        """What an answer, or its lack, says of a server: w, and whether it stays in or gets into the set."""
        server, best = attempt.server, self.best()
        if failed:  # errors come back fast and must not look fast
            latency = max(latency, attempt.timeout, klass.deadline_ms)
        delta = latency / attempt.cost
        if attempt.trial and not failed and (best is None or delta <= ACTIVE_FACTOR * best):
            active = [s for s in self.set if s.active]
            lowest = min((s.deficit for s in active), default=0.0)
            for other in active:
                other.deficit -= lowest
            server.active, server.w, server.samples, server.backoff = server.listed, delta, 1, BACKOFF_MIN_MS
            self.stale = True
            server.deficit = self.charge(server, klass)
            return
        alpha = min(ALPHA, server.samples / (server.samples + 1.0))
        server.w = delta if server.w is None or attempt.trial else alpha * server.w + (1.0 - alpha) * delta
        server.samples += 1
        if attempt.trial:
            server.due = self.now + self.jitter(server.backoff)
            if self.staying() >= STAY_SHARE:
                server.backoff = min(2.0 * server.backoff, BACKOFF_MAX_MS)
        elif server.active and best is not None and (down or server.w > ACTIVE_FACTOR * best):
            # If most are slow it is the load, and a smaller set would only be slower.
            if down or self.staying() - 1.0 / len(self.set) >= STAY_SHARE:
                server.active, server.due, self.stale = False, self.now + self.jitter(server.backoff), True

    def staying(self) -> float:
        """The share of the working set that is active."""
        return sum(s.active for s in self.set) / max(len(self.set), 1)

    # Departures that feed the rule: class costs and cold servers

    def cost(self, server: Server, klass: api.RequestClass) -> float:
        """How long this class takes at this kind of machine, relative to the kind's mean request."""
        found = self.costs.get((server.entry.kind, klass.name))
        return klass.aim_ms / self.mean_aim if found is None else found

    def learn_cost(self, server: Server, klass: api.RequestClass, latency: float) -> None:
        """Kinds suit classes differently, and answers of all classes must compare in one w."""
        kind, cost = server.entry.kind, self.cost(server, klass)
        mean = self.means.get(kind, latency / cost)
        self.means[kind] = COST_ALPHA * mean + (1.0 - COST_ALPHA) * latency
        cost = COST_ALPHA * cost + (1.0 - COST_ALPHA) * latency / max(mean, 1e-9)
        self.costs[kind, klass.name] = max(cost, 0.01)
        self.done = self.done * math.exp(-max(self.now - self.done_at, 0.0) / RATE_MS) + cost / RATE_MS
        self.done_at = self.now

    def warmth(self, server: Server) -> float:
        """The share of its capacity that a server has at the least, as it warms up."""
        rules = self.settings.rules
        if server.cold_since is None or rules.cold_ms <= 0:
            return 1.0
        part = max(self.now - server.cold_since, 0.0) / rules.cold_ms
        server.cold_since = server.cold_since if part < 1.0 else None
        return min(rules.cold_from + (1.0 - rules.cold_from) * part, 1.0)

    def note_cold(self, server: Server, cost: float) -> None:
        """When a cold server may next be sent to: its part of the work that this sidecar gets done elsewhere
        (done, not sent: in an overload the two lie far apart). A first send waits a random turn as well:
        where hundreds hear of a start together, their trials alone would push the server over."""
        warm = [s for s in self.set if s.active and s.cold_since is None] or self.set  # none: all came back
        size, *sizes = (s.entry.size if self.settings.sized else 1.0 for s in [server, *warm])
        rate = self.done * math.exp(-max(self.now - self.done_at, 0.0) / RATE_MS)
        rate *= self.warmth(server) * size / max(sum(sizes), size)
        server.cold_next = self.now + cost / max(rate, 1e-9)

    # Requests

    def on_request(self, event: api.Request) -> None:
        klass = self.classes[event.klass]
        until = event.deadline
        if klass.late_worth <= 0.0:  # a later answer is worth nothing and costs a late failure
            until = min(until, self.now + klass.aim_ms - self.age(klass, until - self.now))
        held = self.requests[event.request] = Held(event, klass, until - self.settings.tick_ms)
        self.seen[klass.name] += 1.0
        if event.cost_ms is not None:
            mean = self.hints.get(klass.name, event.cost_ms)
            mean += max(1.0 / self.seen[klass.name], 1.0 - COST_ALPHA) * (event.cost_ms - mean)
            self.hints[klass.name] = mean
            held.scale = 1.0 - HINT_SHARE + HINT_SHARE * event.cost_ms / max(mean, 1e-9)
        self.budget = min(self.budget + RETRY_SHARE, RETRY_SAVED)
        self.trials = min(self.trials + TRIAL_SHARE, TRIAL_SAVED)
        size = min(round(max(self.done * SET_MS, SET_MIN, SET_COVER * self.share)), SET_MAX)
        if not 0.8 * self.size <= size <= 1.25 * self.size:
            self.size, self.stale = size, True
        if held.until <= self.now:
            return self.finish(held)
        self.timer(held.until - self.now, "end", held.id)
        self.waiting[held.id] = held
        self.fill()
        if held.id in self.waiting:
            self.timer(WAIT_SHARE * klass.aim_ms, "wait", held.id)

    def age(self, klass: api.RequestClass, life: float) -> float:
        """How long ago the client first asked, at the least: a last try has what is left of the deadline, all
        others the same life. Serving what comes back after its aim keeps an overload going for nothing."""
        usual, votes = self.lives.get(klass.name, (life, 0))
        same = abs(life - usual) <= 2.0 * self.settings.tick_ms
        votes += 1 if same else -1
        self.lives[klass.name] = (usual, min(votes, 20)) if votes >= 0 else (life, 1)
        return 0.0 if same else max(klass.deadline_ms - life, 0.0)

    def fill(self) -> None:
        """What is over the limit waits here, else queues make every answer late. Places go to the most worth
        per work, then to the last, with most time."""
        while self.waiting and self.room():
            if not self.send(
                max(reversed(self.waiting.values()), key=lambda held: self.worth[held.klass.name])
            ):
                return

    def room(self) -> bool:
        return self.out < max(self.limit, 1.0) and (self.limit >= 1.0 or self.now >= self.rest_until)

    def may_send(self, held: Held, server: Server) -> bool:
        limits, klass = self.settings.limits, held.klass
        if not held.open or held.streaming or len(held.attempts) >= limits.max_attempts:
            return False
        ran = [a for a in held.attempts if a.may_have_run]
        if not ran or klass.effect is Effect.SAFE:
            return True
        if klass.effect is Effect.UNSAFE:
            return False  # it may have run: once more would be twice
        if self.now > ran[0].sent + klass.window_ms - limits.connect_timeout_ms - 2.0 * self.settings.tick_ms:
            return False  # they may have forgotten it by the time that a new connection is up
        mine, theirs = server.entry, [a.server.entry for a in ran]
        if klass.group is Group.ZONE:
            return all(mine.zone == other.zone for other in theirs)
        return klass.group is Group.ALL or all((mine.zone, mine.cell) == (o.zone, o.cell) for o in theirs)

    def send(self, held: Held) -> bool:
        if self.now >= held.until:
            return False
        server = self.choose(held)
        if server is None:
            return False
        self.waiting.pop(held.id, None)
        left, cost = held.until - self.now, self.cost(server, held.klass) * held.scale
        attempt = Attempt(server, self.now, left, cost, self.charge(server, held.klass) * held.scale)
        server.out[held.id, len(held.attempts)] = attempt
        held.attempts.append(attempt)
        server.trial = server.trial or attempt.trial
        self.trials -= attempt.trial and server.samples > 0
        server.deficit += attempt.charge
        self.out += 1
        if server.cold_since is not None:
            self.note_cold(server, attempt.cost)
        self.actions.append(api.Send(held.id, server.entry.server, left))
        return True

    def on_ended(self, event: api.AttemptEnded) -> None:
        held = self.requests.get(event.request)
        if held is None or event.attempt >= len(held.attempts) or held.attempts[event.attempt].ended:
            return
        attempt, klass, outcome = held.attempts[event.attempt], held.klass, event.outcome
        server, age, busy = attempt.server, self.now - attempt.sent, self.out >= 0.5 * self.limit
        attempt.ended, attempt.may_have_run = True, outcome not in NEVER_RAN
        server.out.pop((held.id, event.attempt), None)
        server.trial = server.trial and not attempt.trial
        self.out -= 1
        if outcome is Outcome.CANCELLED and age > attempt.charge:
            self.learn(attempt, klass, age, attempt.trial)  # this long at the least
        elif outcome not in (Outcome.CANCELLED, Outcome.MOOT):
            broke = outcome in (Outcome.CONNECT_FAILED, Outcome.RESET)
            self.broken = BREAKS_ALPHA * self.broken + (1.0 - BREAKS_ALPHA) * broke
            if broke:
                server.breaks += 1
            elif outcome is not Outcome.TIMEOUT:  # whatever it answered, it is there
                server.breaks = 0
            down = server.breaks >= BREAKS_OUT and self.broken**server.breaks < BREAKS_CHANCE
            self.learn(attempt, klass, max(event.latency_ms, 0.0), outcome is not Outcome.OK, down)
        if outcome is Outcome.OK:
            self.learn_cost(server, klass, max(event.latency_ms, 0.0) / held.scale)
        quick, timely = self.quick.get(klass.name, event.latency_ms), False
        if outcome is Outcome.OK:
            step = klass.aim_ms * max(QUICK_STEP, QUICK_FIRST / (10.0 + self.seen[klass.name]))
            self.quick[klass.name] = quick + step * (QUICK - (event.latency_ms < quick))
            timely = event.latency_ms <= (quick + TIMELY * (klass.aim_ms - quick)) * max(held.scale, 1.0)
        if timely:
            self.starting = self.starting and self.limit < LIMIT_SOON * self.even
            step = LIMIT_START if self.starting else LIMIT_UP * (self.even / self.limit) ** LIMIT_PULL
            self.limit += step * min(self.limit, 1.0) * busy
        elif outcome in (Outcome.OK, Outcome.TIMEOUT, Outcome.FULL):
            least = max(LIMIT_MIN, LIMIT_EACH_MIN * self.share)
            self.limit = max(self.limit - LIMIT_DOWN * min(self.limit, 1.0), least)
            self.starting = False
        if self.limit < 1.0:  # less than one at a time: a pause after each keeps to it
            self.rest_until = self.now + age * (1.0 / self.limit - 1.0)
            self.timer(self.rest_until - self.now, "fill")
        if event.closed:
            self.close(held)
        elif held.open and not held.streaming and all(a.ended for a in held.attempts):
            if self.budget < 1.0 or self.out >= RETRY_ROOM * self.limit or not self.send(held):
                self.finish(held)
            else:
                self.budget -= 1.0
        self.forget(held)

    def on_timer(self, event: api.Timer) -> None:
        what, request = self.timers.pop(event.token, ("", ""))
        if what == "ask":
            self.actions.append(api.Subscribe())
        held = self.requests.get(request)
        if held is None or not held.open or held.streaming:
            return
        if what == "end" or held.id in self.waiting and not (self.room() and self.send(held)):
            self.finish(held)

    def finish(self, held: Held) -> None:
        """The final answer: refused where trying again is harmless, else failed. Those that are too late are
        told to stay away; others may come back while their answer is still worth something, after as long as
        they have found no place."""
        klass, late = held.klass, self.now >= held.until
        retry_after = klass.deadline_ms if late else WAIT_SHARE * klass.aim_ms
        retry_after = min(retry_after, self.settings.limits.max_retry_after_ms)
        harmless = klass.effect is Effect.SAFE or (klass.effect is Effect.KEYED and klass.group is Group.ALL)
        harmless = harmless or not any(a.may_have_run for a in held.attempts)
        self.actions.append(api.Refuse(held.id, retry_after) if harmless else api.Fail(held.id))
        self.close(held)

    def close(self, held: Held) -> None:
        self.waiting.pop(held.id, None)
        if held.open and self.settings.limits.may_cancel:
            self.actions += [api.Cancel(held.id, n) for n, a in enumerate(held.attempts) if not a.ended]
        held.open = False
        self.forget(held)

    def forget(self, held: Held) -> None:
        if not held.open and all(a.ended for a in held.attempts):
            self.requests.pop(held.id, None)

    # The server list

    def on_list(self, event: api.ServerList) -> None:
        if event.kind is ListKind.LOST:
            # The old list stands; calls are spread out, or a discovery that comes back is run over at once.
            self.timer(self.jitter(self.ask_wait), "ask")
            self.ask_wait = min(2.0 * self.ask_wait, ASK_AGAIN_MAX_MS)
            return
        if self.settings.asks_for_list and not self.asked:
            self.asked = True
            self.actions.append(api.Subscribe())
        elif event.kind is not ListKind.CACHED:
            self.ask_wait = ASK_AGAIN_MS
        self.stale = True
        if event.kind is not ListKind.DELTA:
            named = {entry.server for entry in event.entries}
            for name, server in self.servers.items():
                if name not in named:
                    server.listed = server.active = False
                    server.entry = replace(server.entry, state=ServerState.GONE)
        for entry in event.entries:
            known = self.servers.get(entry.server)
            if known is None and entry.state is ServerState.GONE:
                continue
            if known is None or entry.started_at not in (None, known.entry.started_at):
                # New, or restarted under the same id: what was learnt of it is void, and it is cold.
                size = entry.size if self.settings.sized else 1.0  # larger ones are in more sidecars' sets
                known = Server(entry, known.rank if known else self.random.expovariate(max(size, 1e-3)))
                self.servers[entry.server] = known
            known.entry = entry
            was_listed, known.listed = known.listed, entry.state is ServerState.READY
            known.active = known.active and known.listed
            known.due = known.due if was_listed else -math.inf
            if known.cold_since is not None and known.cold_next == -math.inf:
                self.note_cold(known, self.random.expovariate(1.0))
        # Kept while anything is out there, so that a server told again in the meantime is the same one.
        self.servers = {
            name: s for name, s in self.servers.items() if s.out or s.entry.state is not ServerState.GONE
        }
        listed = sum(server.listed for server in self.servers.values())
        self.share = listed / self.settings.peers
        self.even = max(LIMIT_EACH * self.share, LIMIT_EVEN)
        if event.kind is ListKind.CACHED:  # hundreds that start with several each would crowd every server
            self.limit = min(self.even / LIMIT_EVEN, LIMIT_FIRST)

    def timer(self, delay: float, what: str, request: str = "") -> None:
        self.next_token += 1
        self.timers[self.next_token] = (what, request)
        self.actions.append(api.SetTimer(max(delay, 0.0), self.next_token))

    def jitter(self, span: float) -> float:
        return span * self.random.uniform(1.0 - JITTER, 1.0 + JITTER)
