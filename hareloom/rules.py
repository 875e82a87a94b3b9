"""The Balancer: all decisions of a sidecar. Its input and output types are in interface.py.

Servers are chosen by the round-robin rule of Cicconetti et al. (Sec. IV). Every server has a smoothed latency
w and a deficit; a request goes to the active server with the lowest deficit, which then grows by w. A server
is active while its w is within a fixed factor of the best w; others return by trials with backoff.
"""

from __future__ import annotations

import math
import random

from hareloom import beliefs, governor, requests
from hareloom import interface as api
from hareloom.activity import Activity
from hareloom.interface import NEVER_RAN, ListKind, Outcome
from hareloom.limits import AttemptLimit
from hareloom.pick import Picker
from hareloom.records import OpenRequest, Schedule, TokenBudget
from hareloom.requests import RETRY_SHARE, RETRY_TOKENS_MAX, Queue, RequestAges
from hareloom.servers import Members, Warmth, proves_warm
from hareloom.work import Work, class_record, cost_scale
from hareloom.working import WorkingSet

OK = Outcome.OK  # a module-level name, since enum member lookup is slow


class Balancer:
    """Turns events into actions. It does no I/O, reads no clock and takes its randomness from ``seed``."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        rng = random.Random(seed)
        self.settings, self.mean_aim = settings, mean_aim(settings)
        self.governor = governor.Governor(settings)
        self.classes = {item.name: class_record(item, settings, self.mean_aim) for item in settings.classes}
        self.queue = Queue(self.classes)
        self.ages, self.retries = RequestAges(), TokenBudget(RETRY_SHARE, RETRY_TOKENS_MAX)
        self.members, self.warmth = Members(settings, rng), Warmth(settings)
        self.servers = self.members.servers
        self.work, self.limits = (
            Work(settings, self.mean_aim),
            AttemptLimit(self.mean_aim, settings.limits.paced),
        )
        self.working = WorkingSet(settings, self.mean_aim, self.members, self.warmth)
        self.activity = Activity(settings, self.mean_aim, self.working, rng)
        self.pick = Picker(settings, self.activity, self.work, self.limits)
        self.requests = dict[str, OpenRequest]()
        self.schedule = Schedule()
        self.now, self.actions = -math.inf, list[api.Action]()

    @property
    def looks(self) -> int:
        """Total number of servers examined for requests."""
        return self.pick.looks

    def avoided(self) -> int:
        """Returns the number of listed servers in the working set that wait for a trial."""
        return self.working.avoided(self.now)

    def learnt(self, now: float) -> api.Learnt:
        return beliefs.learnt(self, now)

    def believe(self, now: float, learnt: api.Learnt) -> None:
        beliefs.believe(self, now, learnt)

    def on_retune(self, settings: api.Settings) -> None:
        """Applies new settings. Unchanged classes keep their records; the learnt state of a changed class is
        copied to a new record, so that open requests keep the class under which they were admitted."""
        old_classes, old_settings, aim = self.classes, self.settings, mean_aim(settings)
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
            old = old_classes.get(item.name) or old_classes.get(item.name.rstrip("\0"))
            if old is not None and old.klass == item:
                self.classes[item.name] = old
                continue
            record = self.classes[item.name] = class_record(item, settings, aim)
            if old is not None:
                record.copy_learnt(old)
            record.update_kinds(self.members.kind_counts)
        self.ages.retain(self.classes)
        self.queue.set_classes(self.classes)
        self.update_share()
        self.working.needs_draw = True

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Handles an event; returns the actions to take. ``now`` must not decrease from call to call."""
        self.now, self.actions = now, []
        if self.governor.enabled:
            self.spend_for_event(now, event)
        elif self.governor.level:
            self.governor.refill(now)  # decays the host's delay
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
            if (pending := self.requests.get(event.request)) and event.attempt < len(pending.attempts):
                pending.streaming = True
        elif isinstance(event, api.Retune):
            self.on_retune(event.settings)
        elif isinstance(event, api.Late):
            self.governor.refill(now)
            self.governor.on_delay(event.delay_ms)
        if self.queue.waiting:
            self.send_queued()
        if timer := self.schedule.next_timer(now):
            self.actions.append(timer)
        return self.actions

    def spend_for_event(self, now: float, event: api.Event) -> None:
        """Charges the cost of the event itself; work that follows from it is charged where it is done."""
        budget, costs = self.governor, self.governor.costs
        budget.refill(now)
        if isinstance(event, api.Request):
            budget.spend(costs.request)
        elif isinstance(event, api.AttemptEnded):
            budget.spend(costs.ended)
        elif isinstance(event, api.Timer):
            budget.spend(costs.timer)
        elif isinstance(event, api.ServerList):
            budget.spend(costs.other + costs.entry * len(event.entries))
        else:
            budget.spend(costs.other)

    def on_request(self, event: api.Request) -> None:
        record, until, now = self.classes[event.klass], event.deadline, self.now
        klass, settings = record.klass, self.settings
        if not self.governor.affords(record.worth >= self.queue.most_worth):
            # A retry during the overload costs as much again, so it is put off for the class's deadline.
            self.governor.on_refused()
            retry_after = min(klass.deadline_ms, settings.limits.max_retry_after_ms)
            self.actions.append(api.Refuse(event.request, retry_after))
            return
        self.governor.on_accepted()
        if klass.late_worth <= 0.0:  # an answer after the aim has no worth, and delays the failure
            start = now + event.body_ms
            until = min(until, start + klass.aim_ms - self.ages.age(klass, until - start, settings.tick_ms))
        pending = OpenRequest(event, record, until - settings.tick_ms, settings.limits.max_attempts)
        self.requests[event.request] = pending
        record.seen += 1.0
        if event.cost_ms is not None:
            pending.scale = cost_scale(record, event.cost_ms)
        self.retries.add()
        self.activity.trials.add()
        self.working.resize(self.work.done_rate)
        if pending.expires_at <= now:
            return self.finish(pending)
        self.schedule.add(pending.expires_at, "end", pending)
        if self.queue.waiting or not (self.limits.room(now) and self.send(pending)):
            if self.governor.level >= governor.NO_QUEUE:  # the queue costs a timer and a second choice
                return self.finish(pending)
            self.queue.join(pending)
            self.send_queued()
            if pending.queued:
                self.schedule.add(now + record.max_wait_ms, "wait", pending)

    def send_queued(self) -> None:
        """Sends waiting requests while the limit allows: those of the most worth per work first, then the
        newest, which have the most time. Without this queue, queues at the servers make every answer late."""
        for queue in self.queue.queues:
            while queue:
                if not self.limits.room(self.now) or not self.send(next(reversed(queue.values()))):
                    return

    def send(self, pending: OpenRequest) -> bool:
        now = self.now
        if now >= pending.expires_at:
            return False
        if self.governor.enabled:
            self.governor.spend(self.governor.costs.pick)
        server = self.pick.choose(now, pending, self.governor)
        if server is None:
            return False
        if pending.queued:
            self.queue.leave(pending)
        attempt = self.pick.start_attempt(now, pending, server)
        pending.attempts.append(attempt)
        pending.inflight += 1
        self.actions.append(api.Send(pending.id, server.entry.server, attempt.timeout))
        return True

    def on_ended(self, event: api.AttemptEnded) -> None:
        pending = self.requests.get(event.request)
        if pending is None or event.attempt >= len(pending.attempts) or pending.attempts[event.attempt].ended:
            return
        attempt, record, outcome = pending.attempts[event.attempt], pending.record, event.outcome
        now, limits = self.now, self.limits
        server, working, busy = attempt.server, self.working, limits.inflight >= 0.5 * limits.limit
        attempt.ended, attempt.may_have_run = True, outcome not in NEVER_RAN
        server.remove_attempt(attempt)
        pending.inflight -= 1
        working.active_inflight -= server.in_use
        server.trial = server.trial and not attempt.trial
        limits.inflight -= not attempt.presumed_lost
        if outcome is OK:
            latency = event.latency_ms if event.latency_ms > 0.0 else 0.0
            if self.warmth.answered(now, server):
                working.views_stale = True
            self.activity.on_answer(now, attempt, latency)
            self.work.learn(now, server, record, latency / pending.scale, working.effective_size(now))
            if proves_warm(server, latency / attempt.cost):
                working.views_stale = True
        else:
            self.activity.on_failure(now, attempt, event)
        limits.adjust(now, pending, attempt, outcome, event.latency_ms, busy)
        if limits.limit < 1.0:  # below one attempt at a time: pause after each attempt
            limits.paused_until = now + (now - attempt.sent_at) * (1.0 / limits.limit - 1.0)
            self.schedule.add(limits.paused_until, "fill", None)
        if event.closed:
            self.close(pending)
        elif pending.open and not pending.streaming and not pending.inflight:
            if requests.may_retry(self.retries, limits) and self.send(pending):
                self.retries.tokens -= 1.0
            else:
                self.finish(pending)
        else:
            self.forget(pending)

    def on_timer(self, event: api.Timer) -> None:
        until = self.schedule.fired(self.now, event.token)
        while (entry := self.schedule.pop_due(until)) is not None:
            job, pending = entry
            if job == "ask":
                self.actions.append(api.Subscribe())
            if pending is not None and pending.open and not pending.streaming:
                if job == "end" or pending.queued and not (self.limits.room(self.now) and self.send(pending)):
                    self.finish(pending)
            if self.queue.waiting:
                self.send_queued()

    def finish(self, pending: OpenRequest) -> None:
        self.actions.append(requests.final(self.settings, self.now, pending))
        self.close(pending)

    def close(self, pending: OpenRequest) -> None:
        if pending.queued:
            self.queue.leave(pending)
        if pending.inflight and pending.open and self.settings.limits.may_cancel:
            self.actions += [api.Cancel(pending.id, n) for n, a in enumerate(pending.attempts) if not a.ended]
        pending.open = False
        self.forget(pending)

    def forget(self, pending: OpenRequest) -> None:
        if not pending.open and not pending.inflight:
            self.requests.pop(pending.id, None)

    def on_list(self, event: api.ServerList) -> None:
        members = self.members
        if event.kind is ListKind.LOST:
            self.schedule.add(members.next_retry(self.now), "ask", None)
            return
        if self.settings.asks_for_list and not members.subscribed:
            members.subscribed = True
            self.actions.append(api.Subscribe())
        elif event.kind is not ListKind.CACHED:
            members.retry_wait = members.retry_wait_min
        self.working.needs_draw = self.working.views_stale = True
        members.apply_list(self.now, event, self.activity.backoff_min)
        for record in self.classes.values():
            record.update_kinds(members.kind_counts)
        for kind in [kind for kind, number in members.kind_counts.items() if not number]:
            del members.kind_counts[kind]
            self.work.means.pop(kind, None)
        self.update_share()
        if event.kind is ListKind.CACHED:
            self.limits.restart()

    def update_share(self) -> None:
        """Updates what depends on the number of listed servers per sidecar."""
        share = self.members.share()
        self.limits.update_share(share)
        self.working.update_share(share)


def mean_aim(settings: api.Settings) -> float:
    return sum(item.aim_ms for item in settings.classes) / len(settings.classes)
