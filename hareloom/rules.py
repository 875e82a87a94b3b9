"""All of a sidecar's decisions, bound together. The types it takes and gives are in interface.py.

The ordinary path is the round-robin rule of Cicconetti et al. (Sec. IV). Every server has a smoothed
latency w and a deficit; a request goes to the active server with the lowest deficit, which then grows by w.
Active are those whose w is within a fixed factor of the best w; others return by backed-off trials.
"""

from __future__ import annotations

import math
import random

from hareloom import beliefs, governor, requests
from hareloom import interface as api
from hareloom.activity import Activity
from hareloom.interface import NEVER_RAN, ListKind, Outcome
from hareloom.limits import Limits
from hareloom.pick import Pick
from hareloom.records import Agenda, Held, Savings
from hareloom.requests import RETRY_SAVED, RETRY_SHARE, Ages, Queue
from hareloom.servers import Members, Warmth, prove
from hareloom.work import Work, class_of, scale
from hareloom.working import WorkingSet

OK = Outcome.OK  # looked up for every request; a member of an enumeration is found slowly


class Balancer:
    def __init__(self, settings: api.Settings, seed: int) -> None:
        chance = random.Random(seed)
        self.settings, self.mean_aim = settings, mean_aim(settings)
        self.governor = governor.Governor(settings)
        self.classes = {item.name: class_of(item, settings, self.mean_aim) for item in settings.classes}
        self.queue = Queue(self.classes)
        self.ages, self.retries = Ages(), Savings(RETRY_SHARE, RETRY_SAVED)
        self.members, self.warmth = Members(settings, chance), Warmth(settings)
        self.servers = self.members.servers
        self.work, self.limits = Work(settings, self.mean_aim), Limits(self.mean_aim, settings.limits.paced)
        self.working = WorkingSet(settings, self.mean_aim, self.members, self.warmth)
        self.activity = Activity(settings, self.mean_aim, self.working, chance)
        self.pick = Pick(settings, self.activity, self.work, self.limits)
        self.requests = dict[str, Held]()
        self.agenda = Agenda()
        self.now, self.actions = -math.inf, list[api.Action]()

    @property
    def looks(self) -> int:
        """Servers that were looked at for requests, in all."""
        return self.pick.looks

    def avoided(self) -> int:
        """How many listed servers of the working set wait for a trial after what they did."""
        return self.working.avoided(self.now)

    def learnt(self, now: float) -> api.Learnt:
        return beliefs.learnt(self, now)

    def believe(self, now: float, learnt: api.Learnt) -> None:
        beliefs.believe(self, now, learnt)

    def on_retune(self, settings: api.Settings) -> None:
        """Classes that stay as they are keep all that was learnt; one that has changed goes on from it as
        another object, so that an open request's class is never another than it was taken under."""
        known, old_settings, aim = self.classes, self.settings, mean_aim(settings)
        self.settings = self.pick.settings = settings
        self.mean_aim = aim
        if (old_settings.limits, old_settings.costs) != (settings.limits, settings.costs):
            self.governor = governor.Governor(settings)
        self.members.tune(settings)
        self.warmth.tune(settings)
        self.work.tune(settings, aim)
        self.limits.tune(aim)
        self.working.tune(settings, aim)
        self.activity.tune(settings, aim)
        self.classes = {}
        for item in settings.classes:
            old = known.get(item.name) or known.get(item.name.rstrip("\0"))
            if old is not None and old.klass == item:
                self.classes[item.name] = old
                continue
            of = self.classes[item.name] = class_of(item, settings, aim)
            if old is not None:
                of.follow(old)
            of.meet(self.members.kinds)
        self.ages.keep(self.classes)
        self.queue.line_up(self.classes)
        self.spread()
        self.working.stale = True

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        self.now, self.actions = now, []
        if self.governor.on:
            self.pay(now, event)
        elif self.governor.level:
            self.governor.advance(now)  # what the host was late by fades
        kind = type(event)
        if kind is api.Request:
            self.on_request(event)  # type: ignore[arg-type]
        elif kind is api.AttemptEnded:
            self.on_ended(event)  # type: ignore[arg-type]
        elif isinstance(event, api.Timer):
            self.on_timer(event)
        elif isinstance(event, api.ServerList):
            self.on_list(event)
        elif isinstance(event, api.ClientGone) and event.request in self.requests:
            self.close(self.requests[event.request])
        elif isinstance(event, api.StreamStarted):
            if (held := self.requests.get(event.request)) and event.attempt < len(held.attempts):
                held.streaming = True
        elif isinstance(event, api.Retune):
            self.on_retune(event.settings)
        elif isinstance(event, api.Late):
            self.governor.advance(now)
            self.governor.late(event.delay_ms)
        if self.queue.waiting:
            self.fill()
        if alarm := self.agenda.alarm(now):
            self.actions.append(alarm)
        return self.actions

    def pay(self, now: float, event: api.Event) -> None:
        """What an event costs by itself; what comes of it is paid for where it is done."""
        governor_, costs = self.governor, self.governor.costs
        governor_.advance(now)
        if isinstance(event, api.Request):
            governor_.spend(costs.request)
        elif isinstance(event, api.AttemptEnded):
            governor_.spend(costs.ended)
        elif isinstance(event, api.Timer):
            governor_.spend(costs.timer)
        elif isinstance(event, api.ServerList):
            governor_.spend(costs.other + costs.entry * len(event.entries))
        else:
            governor_.spend(costs.other)

    def on_request(self, event: api.Request) -> None:
        of, until, now = self.classes[event.klass], event.deadline, self.now
        klass, settings = of.klass, self.settings
        if not self.governor.affords(of.worth >= self.queue.most_worth):
            # What comes back while this lasts costs as much again: come back for another call, not for this.
            self.governor.refused()
            advice = min(klass.deadline_ms, settings.limits.max_retry_after_ms)
            self.actions.append(api.Refuse(event.request, advice))
            return
        self.governor.taken()
        if klass.late_worth <= 0.0:  # a later answer is worth nothing and costs a late failure
            sent = now + event.body_ms
            until = min(until, sent + klass.aim_ms - self.ages.age(klass, until - sent, settings.tick_ms))
        held = Held(event, of, until - settings.tick_ms, settings.limits.max_attempts)
        self.requests[event.request] = held
        of.seen += 1.0
        if event.cost_ms is not None:
            held.scale = scale(of, event.cost_ms)
        self.retries.earn()
        self.activity.trials.earn()
        self.working.resize(self.work.done)
        if held.until <= now:
            return self.finish(held)
        self.agenda.add(held.until, "end", held)
        if self.queue.waiting or not (self.limits.room(now) and self.send(held)):
            if self.governor.level >= governor.SPARE:  # a line costs a timer and a second look
                return self.finish(held)
            self.queue.join(held)
            self.fill()
            if held.waits:
                self.agenda.add(now + of.wait_ms, "wait", held)

    def fill(self) -> None:
        """What is over the limit waits here, else queues make every answer late. Places go to the most worth
        per work, then to the last, with most time."""
        for line in self.queue.lines:
            while line:
                if not self.limits.room(self.now) or not self.send(next(reversed(line.values()))):
                    return

    def send(self, held: Held) -> bool:
        now = self.now
        if now >= held.until:
            return False
        if self.governor.on:
            self.governor.spend(self.governor.costs.pick)
        server = self.pick.choose(now, held, self.governor)
        if server is None:
            return False
        if held.waits:
            self.queue.leave(held)
        attempt = self.pick.put_out(now, held, server)
        held.attempts.append(attempt)
        held.out += 1
        self.actions.append(api.Send(held.id, server.entry.server, attempt.timeout))
        return True

    def on_ended(self, event: api.AttemptEnded) -> None:
        held = self.requests.get(event.request)
        if held is None or event.attempt >= len(held.attempts) or held.attempts[event.attempt].ended:
            return
        attempt, of, outcome = held.attempts[event.attempt], held.of, event.outcome
        now, limits = self.now, self.limits
        server, working, busy = attempt.server, self.working, limits.out >= 0.5 * limits.limit
        attempt.ended, attempt.may_have_run = True, outcome not in NEVER_RAN
        server.drop(attempt)
        held.out -= 1
        working.active_out -= server.counted
        server.trial = server.trial and not attempt.trial
        limits.out -= not attempt.stray
        if outcome is OK:
            latency = event.latency_ms if event.latency_ms > 0.0 else 0.0
            if self.warmth.answered(now, server):
                working.unsettled = True
            self.activity.answered(now, attempt, latency)
            self.work.learn(now, server, of, latency / held.scale, working.able(now))
            if prove(server, latency / attempt.cost):
                working.unsettled = True
        else:
            self.activity.fault(now, attempt, event)
        limits.on_pace(now, held, attempt, outcome, event.latency_ms, busy)
        if limits.limit < 1.0:  # less than one at a time: a pause after each keeps to it
            limits.rest_until = now + (now - attempt.sent) * (1.0 / limits.limit - 1.0)
            self.agenda.add(limits.rest_until, "fill", None)
        if event.closed:
            self.close(held)
        elif held.open and not held.streaming and not held.out:
            if requests.may_retry(self.retries, limits) and self.send(held):
                self.retries.saved -= 1.0
            else:
                self.finish(held)
        else:
            self.forget(held)

    def on_timer(self, event: api.Timer) -> None:
        until = self.agenda.rung(self.now, event.token)
        while (entry := self.agenda.due(until)) is not None:
            what, held = entry
            if what == "ask":
                self.actions.append(api.Subscribe())
            if held is not None and held.open and not held.streaming:
                if what == "end" or held.waits and not (self.limits.room(self.now) and self.send(held)):
                    self.finish(held)
            if self.queue.waiting:
                self.fill()

    def finish(self, held: Held) -> None:
        self.actions.append(requests.final(self.settings, self.now, held))
        self.close(held)

    def close(self, held: Held) -> None:
        if held.waits:
            self.queue.leave(held)
        if held.out and held.open and self.settings.limits.may_cancel:
            self.actions += [api.Cancel(held.id, n) for n, a in enumerate(held.attempts) if not a.ended]
        held.open = False
        self.forget(held)

    def forget(self, held: Held) -> None:
        if not held.open and not held.out:
            self.requests.pop(held.id, None)

    def on_list(self, event: api.ServerList) -> None:
        members = self.members
        if event.kind is ListKind.LOST:
            self.agenda.add(members.lost(self.now), "ask", None)
            return
        if self.settings.asks_for_list and not members.asked:
            members.asked = True
            self.actions.append(api.Subscribe())
        elif event.kind is not ListKind.CACHED:
            members.ask_wait = members.ask_min
        self.working.stale = self.working.unsettled = True
        members.read(self.now, event, self.activity.backoff_min)
        for of in self.classes.values():
            of.meet(members.kinds)
        for kind in [kind for kind, number in members.kinds.items() if not number]:
            del members.kinds[kind]
            self.work.means.pop(kind, None)
        self.spread()
        if event.kind is ListKind.CACHED:
            self.limits.restart()

    def spread(self) -> None:
        """This sidecar's part of the servers that are listed, and what follows from it."""
        share = self.members.share()
        self.limits.spread(share)
        self.working.spread(share)


def mean_aim(settings: api.Settings) -> float:
    return sum(item.aim_ms for item in settings.classes) / len(settings.classes)
