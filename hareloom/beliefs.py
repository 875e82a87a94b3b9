"""Exports and restores what a Balancer has learnt, from one process of a sidecar to the next."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hareloom import interface as api
from hareloom.interface import ServerState
from hareloom.servers import MIN_SIZE

if TYPE_CHECKING:
    from hareloom.rules import Balancer


def learnt(balancer: Balancer, now: float) -> api.Learnt:
    """Returns the learnt state of all servers that have been used and are not gone, and of all classes."""
    servers = [
        api.LearntServer(
            *(name, s.entry.started_at, s.active, s.w, s.samples, s.breaks, s.backoff),
            max(s.trial_at - now, 0.0),
        )
        for name, s in balancer.servers.items()
        if s.samples > 0 and s.entry.state is not ServerState.GONE
    ]
    classes = [
        api.LearntClass(name, dict(record.costs), record.quick, record.usual, record.unqueued, record.seen)
        for name, record in balancer.classes.items()
    ]
    limits, rate, broken = balancer.limits, balancer.work.rate(now), balancer.activity.broken_share
    return api.Learnt(tuple(servers), tuple(classes), limits.limit, rate, broken, limits.starting)


def believe(balancer: Balancer, now: float, learnt: api.Learnt) -> None:
    """Restores the state of an earlier process, already aged, where this one has learnt nothing yet."""
    servers, activity = balancer.servers, balancer.activity
    limits, work = balancer.limits, balancer.work
    floor = min((s.deficit for s in servers.values() if s.active), default=0.0)
    for item in learnt.servers:
        server = servers.get(item.server)
        if server is None or server.samples or item.w is None:
            continue
        server.w, server.samples, server.breaks = item.w, max(int(item.samples), 1), int(item.breaks)
        server.active = item.active and server.listed
        server.backoff = min(max(item.backoff, activity.backoff_min), activity.backoff_max)
        server.trial_at, server.deficit = now + min(item.due_in, activity.backoff_max), floor
    for known in learnt.classes:
        record = balancer.classes.get(known.name)
        if record is None or record.seen > 1.0:
            continue
        record.costs.update({kind: cost for kind, cost in known.costs.items() if kind in record.costs})
        record.quick, record.usual, record.unqueued, record.seen = (
            known.quick,
            known.usual,
            known.calm,
            1.0 + known.seen,
        )
    if learnt.limit > limits.limit:
        limits.limit, limits.starting = learnt.limit, learnt.starting
    if learnt.done > work.done_rate:
        work.mean_size = max(sum([s.size for s in servers.values() if s.active]), MIN_SIZE)
    work.done_rate, work.done_at = max(work.done_rate, learnt.done), now
    activity.broken_share = max(activity.broken_share, learnt.broken)
    balancer.working.needs_draw = balancer.working.views_stale = True
