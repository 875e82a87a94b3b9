"""Classes of requests: what is learnt of each, what it costs by kind of machine, and what gets done."""

from __future__ import annotations

import math

from hareloom import interface as api
from hareloom.records import ClassRecord, Server
from hareloom.servers import MIN_SIZE

COST_ALPHA = 0.98  # smoothing of the classes' relative costs, which begin as their relative aims
COST_MIN, COST_MAX = 0.01, 100.0  # their bounds: an answer in no time at all would make one of any size
RATE_AIMS = 17.0  # time constant of the rate at which this sidecar gets work done, in mean aims
# A request with no place or server waits this share of its aim; a latency follows its hint by this share.
WAIT_SHARE, HINT_SHARE = 0.15, 0.5


def class_record(klass: api.RequestClass, settings: api.Settings, mean_aim: float) -> ClassRecord:
    """The record of a class, of which nothing is learnt yet."""
    worth = klass.worth / (1.0 if settings.by_work else klass.aim_ms)
    harmless = (
        klass.effect is api.Effect.SAFE or klass.effect is api.Effect.KEYED and klass.group is api.Group.ALL
    )
    return ClassRecord(klass, worth, klass.aim_ms / mean_aim, WAIT_SHARE * klass.aim_ms, harmless)


def cost_scale(record: ClassRecord, cost_ms: float) -> float:
    """How long a request of this guess of its work should take, relative to its class."""
    mean = record.mean_hint if record.mean_hint >= 0.0 else cost_ms
    record.mean_hint = mean = mean + max(1.0 / record.seen, 1.0 - COST_ALPHA) * (cost_ms - mean)
    return 1.0 - HINT_SHARE + HINT_SHARE * cost_ms / max(mean, 1e-9)


class Work:
    """What this sidecar gets done, in mean requests."""

    def __init__(self, settings: api.Settings, mean_aim: float) -> None:
        self.tune(settings, mean_aim)
        self.means: dict[str, float] = {}  # latency by kind of machine, over all classes
        self.done_rate, self.done_at = 0.0, -math.inf  # work answered a millisecond
        self.mean_size = 0.0  # sizes of the servers at which, faded alike

    def tune(self, settings: api.Settings, mean_aim: float) -> None:
        self.rate_ms, self.min_per_server = RATE_AIMS * mean_aim, 1.0 / (mean_aim * settings.peers)

    def learn(self, now: float, server: Server, record: ClassRecord, latency: float, able: float) -> None:
        """Kinds suit classes differently, and answers of all classes must compare in one w. ``able``: sizes
        of the active servers, the cold ones by their warmth."""
        kind, cost = server.kind, record.cost(server)
        mean = self.means.get(kind, latency / cost)
        self.means[kind] = COST_ALPHA * mean + (1.0 - COST_ALPHA) * latency
        cost = COST_ALPHA * cost + (1.0 - COST_ALPHA) * latency / (mean if mean > 1e-9 else 1e-9)
        record.costs[kind] = COST_MIN if cost < COST_MIN else COST_MAX if cost > COST_MAX else cost
        fades = math.exp(min(self.done_at - now, 0.0) / self.rate_ms)
        self.done_rate = self.done_rate * fades + cost / self.rate_ms
        self.mean_size = self.mean_size * fades + able * (1.0 - fades)
        self.done_at = now

    def rate(self, now: float) -> float:
        """Work answered a millisecond, as of now."""
        return self.done_rate * math.exp(min(self.done_at - now, 0.0) / self.rate_ms)

    def per_server(self) -> float:
        """What is done at a warm server of size 1, a millisecond."""
        return max(self.done_rate / max(self.mean_size, MIN_SIZE), self.min_per_server)
