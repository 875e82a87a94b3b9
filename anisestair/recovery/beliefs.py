"""Encoding, validation and decay of the balancer's learned state, passed from one process of a sidecar to
the next. No I/O.

Instants are ages in milliseconds before the time of writing, so that the clocks need not agree.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

from hareloom import interface as api

# Time constants of the decay, in multiples of the mean latency aim, as in the balancer: the behaviour of
# servers changes within seconds, the cost of classes within minutes.
SERVER_TIME_CONSTANT_AIMS, CLASS_TIME_CONSTANT_AIMS = 40.0, 1000.0
MAX_AGE_TIME_CONSTANTS = 3.0  # time constants after which learned state is discarded


class InvalidBeliefs(ValueError):
    """Learned state is malformed; the message names the part."""


def faded(learnt: api.Learnt, age_ms: float, mean_aim: float, born: Mapping[str, float | None]) -> api.Learnt:
    """Return the learned state decayed by ``age_ms``. ``born`` maps the listed servers to their start times;
    the state of a server that has restarted or is not listed is dropped."""
    server_weight = math.exp(-age_ms / (SERVER_TIME_CONSTANT_AIMS * mean_aim))
    class_weight = math.exp(-age_ms / (CLASS_TIME_CONSTANT_AIMS * mean_aim))
    if age_ms < 0.0 or server_weight < math.exp(-MAX_AGE_TIME_CONSTANTS):
        servers: tuple[api.LearntServer, ...] = ()
    else:
        servers = tuple(
            _server(item, age_ms, server_weight)
            for item in learnt.servers
            if item.server in born and _same_start(item.started_at, born[item.server])
        )
    if age_ms < 0.0 or class_weight < math.exp(-MAX_AGE_TIME_CONSTANTS):
        return api.Learnt(servers=servers)
    return api.Learnt(
        servers=servers,
        classes=tuple(_class(item, class_weight) for item in learnt.classes),
        limit=learnt.limit * server_weight,
        done=learnt.done * server_weight,
        broken=learnt.broken * server_weight,
        starting=learnt.starting,
    )


def _same_start(one: float | None, other: float | None) -> bool:
    """Return whether two start times are equal within 5 ms: each process converts them from Unix time to its
    own clock."""
    if one is None or other is None:
        return one is other
    return abs(one - other) < 5.0


def _server(item: api.LearntServer, age_ms: float, server_weight: float) -> api.LearntServer:
    """Scale down the samples, so that new responses weigh more, and advance the time of the next trial."""
    return api.LearntServer(
        item.server, item.started_at, item.active, item.w, item.samples * server_weight,
        item.breaks * (server_weight > 0.5), item.backoff * server_weight, item.due_in - age_ms,
    )  # fmt: skip


def _class(item: api.LearntClass, class_weight: float) -> api.LearntClass:
    return api.LearntClass(
        item.name,
        dict(item.costs),
        item.quick,
        item.usual,
        int(item.calm * class_weight),
        item.seen * class_weight,
    )


def pack(learnt: api.Learnt) -> dict[str, Any]:
    """Return the learned state as values that JSON can encode."""
    return {
        "servers": [list(_fields(item)) for item in learnt.servers],
        "classes": [list(_fields(item)) for item in learnt.classes],
        **{name: getattr(learnt, name) for name in ("limit", "done", "broken", "starting")},
    }


def unpack(data: Any, most: int = 20_000) -> api.Learnt:
    """Decode and validate untrusted data. Raises InvalidBeliefs."""
    try:
        servers = tuple(_read_server(*row) for row in data["servers"][:most])
        classes = tuple(_read_class(*row) for row in data["classes"][:most])
        limit, done, broken = (_number(data[name], name) for name in ("limit", "done", "broken"))
        return api.Learnt(servers, classes, limit, done, min(broken, 1.0), data["starting"] is True)
    except (KeyError, TypeError, AttributeError) as fault:
        raise InvalidBeliefs(f"{type(fault).__name__}: {fault}") from None


def _fields(item: Any) -> list[Any]:
    return [getattr(item, name) for name in item.__slots__]


def _number(value: Any, name: str, low: float = 0.0) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value < math.inf:
        raise InvalidBeliefs(f"{name}: not a number of {low:g} or more")
    return float(value)


def _optional(value: Any, name: str, low: float = 0.0) -> float | None:
    return None if value is None else _number(value, name, low)


def _text(value: Any, name: str) -> str:
    if not isinstance(value, str) or not value:
        raise InvalidBeliefs(f"{name}: not a name")
    return value


def _read_server(
    server: Any, started: Any, active: Any, w: Any, samples: Any, breaks: Any, backoff: Any, due_in: Any
) -> api.LearntServer:
    return api.LearntServer(
        _text(server, "server"), _optional(started, "started_at", -1e15), active is True, _optional(w, "w"),
        _number(samples, "samples"), _number(breaks, "breaks"), _number(backoff, "backoff"),
        _number(due_in, "due_in", -1e15),
    )  # fmt: skip


def _read_class(name: Any, costs: Any, quick: Any, usual: Any, calm: Any, seen: Any) -> api.LearntClass:
    return api.LearntClass(
        _text(name, "class"),
        {_text(kind, "kind") if kind else "": _number(cost, "cost") for kind, cost in costs.items()},
        _number(quick, "quick", -1.0), _number(usual, "usual", -1.0), int(_number(calm, "calm")),
        _number(seen, "seen"),
    )  # fmt: skip
