"""Costs of the request classes by kind of machine, and the rate at which work is completed."""

from __future__ import annotations

import math

from hareloom import interface as api
from hareloom.records import ClassRecord, Server
from hareloom.servers import MIN_SIZE

COST_ALPHA = 0.98  # smoothing of relative costs, which start as relative aims
COST_MIN, COST_MAX = 0.01, 100.0  # bounds, since a latency near 0 would give arbitrary costs
RATE_AIMS = 17.0  # time constant of the rate of completed work, in mean aims
# Longest wait in the queue, as a share of the aim; how far a latency depends on the cost hint of its request.
WAIT_SHARE, HINT_SHARE = 0.15, 0.5


def class_record(klass: api.RequestClass, settings: api.Settings, mean_aim: float) -> ClassRecord:
    """Returns the record of a class about which nothing is learnt yet."""
    worth = klass.worth / (1.0 if settings.by_work else klass.aim_ms)
    retry_safe = (
        klass.effect is api.Effect.SAFE or klass.effect is api.Effect.KEYED and klass.group is api.Group.ALL
    )
    return ClassRecord(klass, worth, klass.aim_ms / mean_aim, WAIT_SHARE * klass.aim_ms, retry_safe)


def cost_scale(record: ClassRecord, cost_ms: float) -> float:
    """Returns the expected cost of a request with this cost hint, relative to its class."""
    mean = record.mean_hint if record.mean_hint >= 0.0 else cost_ms
    record.mean_hint = mean = mean + max(1.0 / record.seen, 1.0 - COST_ALPHA) * (cost_ms - mean)
    return 1.0 - HINT_SHARE + HINT_SHARE * cost_ms / max(mean, 1e-9)


class Work:
    """The work that this sidecar completes, in mean requests."""

    def __init__(self, settings: api.Settings, mean_aim: float) -> None:
        self.tune(settings, mean_aim)
        self.means: dict[str, float] = {}  # latency by kind of machine, over all classes
        self.done_rate, self.done_at = 0.0, -math.inf  # completed work a millisecond, smoothed
        self.mean_size = 0.0  # size of the servers that did it, smoothed alike

    def tune(self, settings: api.Settings, mean_aim: float) -> None:
        self.rate_ms, self.min_per_server = RATE_AIMS * mean_aim, 1.0 / (mean_aim * settings.peers)

    def learn(self, now: float, server: Server, record: ClassRecord, latency: float, size: float) -> None:
        """Learns the cost of the class at the server's kind of machine, so that answers of all classes are
        comparable in one w. ``size``: effective size of the active servers."""
        kind, cost = server.kind, record.cost(server)
        mean = self.means.get(kind, latency / cost)
        self.means[kind] = COST_ALPHA * mean + (1.0 - COST_ALPHA) * latency
        cost = COST_ALPHA * cost + (1.0 - COST_ALPHA) * latency / (mean if mean > 1e-9 else 1e-9)
        record.costs[kind] = COST_MIN if cost < COST_MIN else COST_MAX if cost > COST_MAX else cost
        kept = math.exp(min(self.done_at - now, 0.0) / self.rate_ms)
        self.done_rate = self.done_rate * kept + cost / self.rate_ms
        self.mean_size = self.mean_size * kept + size * (1.0 - kept)
        self.done_at = now

    def rate(self, now: float) -> float:
        """Returns the work completed a millisecond, as of now."""
        return self.done_rate * math.exp(min(self.done_at - now, 0.0) / self.rate_ms)

    def per_server(self) -> float:
        """Returns the work completed a millisecond at a warm server of size 1."""
        return max(self.done_rate / max(self.mean_size, MIN_SIZE), self.min_per_server)
