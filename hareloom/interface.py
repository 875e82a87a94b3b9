"""What goes into a Balancer and what comes out of it: settings, events, actions and outcomes.

Times are milliseconds as floats. Instants share one clock, the caller's; it starts anywhere and never goes
back. Names (servers, classes, zones, kinds) are opaque: nothing is decided by how one is spelled.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, fields
from enum import Enum
from typing import Union


class Effect(Enum):
    """May a request of this class run more than once?"""

    SAFE = "safe"  # as often as one likes
    KEYED = "keyed"  # repeats are dropped inside one group of servers, for a window of time
    UNSAFE = "unsafe"  # never


class Group(Enum):
    """Which servers drop each other's repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ServerState(Enum):
    READY = "ready"
    DRAINING = "draining"  # finishes what it has; nothing new may be sent
    GONE = "gone"


class ListKind(Enum):
    FULL = "full"  # the whole list; a server that is missing is gone
    DELTA = "delta"  # changed entries only
    CACHED = "cached"  # the whole list as it was last held, perhaps old
    LOST = "lost"  # a call to discovery failed; the old list stands


class Outcome(Enum):
    """How one attempt, or one probe, ended."""

    OK = "ok"
    ERROR = "error"  # answered with an error; it may have run
    FULL = "full"  # turned away unseen; it did not run
    TIMEOUT = "timeout"  # no answer in the time allowed; it may have run or still run
    CONNECT_FAILED = "connect_failed"  # no connection; it did not run
    RESET = "reset"  # the connection broke; it may have run
    CANCELLED = "cancelled"  # withdrawn; it may have run
    MOOT = "moot"  # never sent; it did not run


NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT})


@dataclass(frozen=True, slots=True)
class RequestClass:
    name: str
    aim_ms: float  # an answer within this time earns the full worth
    deadline_ms: float  # how long a client waits in all, over all its tries
    worth: float = 1.0
    late_worth: float = 0.0  # share of the worth for an answer between aim and deadline, 0 to 1
    effect: Effect = Effect.UNSAFE
    group: Group = Group.ALL  # keyed classes only
    window_ms: float = (
        0.0  # keyed classes only: how long a repeat is dropped, from the first send that may have run
    )


@dataclass(frozen=True, slots=True)
class Limits:
    max_attempts: int = 1  # per request
    paced: bool = True  # attempts out are limited here; False where a queue before each server does that
    may_cancel: bool = False
    second_copies: bool = False  # may two attempts of one request be out at once
    may_probe: bool = False
    max_retry_after_ms: float = 0.0  # the longest advice a client follows; 0: clients take no advice
    connect_timeout_ms: float = 250.0  # for the host: a connection not up by then has failed
    idle_ms: float = 15000.0  # for the host: upstreams close connections that stand idle so long
    # What decisions may cost, in microseconds of the host's CPU: a second, and a request on average; 0: no
    # limit.
    cpu_us_per_s: float = 0.0
    cpu_us_per_request: float = 0.0


@dataclass(frozen=True, slots=True)
class Costs:
    """What each kind of work costs the host, in the microseconds in which its limits are: told by the host,
    since the module reads no clock. All 0: nobody knows, and nothing is governed."""

    request: float = 0.0  # one read, and refused at once if need be
    pick: float = 0.0  # one kept and sent: its place, the choice and the send
    look: float = 0.0  # each server looked at for that
    ended: float = 0.0  # an attempt's end
    timer: float = 0.0
    entry: float = 0.0  # each entry of a list
    other: float = 0.0


@dataclass(frozen=True, slots=True)
class Rules:
    answer_slack_ms: float = 0.0  # how late past a request's deadline its final answer still counts
    drain_grace_ms: float = 0.0  # not relied on: sends stop with the event itself
    ask_within_ms: float = 10000.0  # an asked-for list counts as known after this long without asking
    cold_from: float = 0.3  # share of its capacity that a server starts with, or more
    cold_ms: float = 0.0  # and it is warm after this; 0: servers start warm
    # A cold server sent so many times what it can do, for so long, falls over. Not relied on: what it gets
    # keeps to its warmed share all the time.
    fall_multiple: float = 2.0
    fall_ms: float = 1000.0


@dataclass(frozen=True, slots=True)
class Settings:
    classes: tuple[RequestClass, ...]
    peers: int = 1  # how many sidecars share the list, this one counted
    me: int = -1  # this one's number among them, from 0; below 0: not told
    zone: str = ""  # this sidecar's own
    asks_for_list: bool = False  # the list comes only when asked for
    sized: bool = True  # the list's sizes are registered sizes that may scale a server's share
    limits: Limits = Limits()
    rules: Rules = Rules()
    tick_ms: float = 1.0  # events are handed over no more often than this
    worst_class_weight: float = 0.0  # part of the goal that is the worst-served class, 0 to 1; for who waits
    by_work: bool = False  # a request's worth grows with its work
    costs: Costs = Costs()
    cross_zone_price: float = 0.0  # points of 1 that an attempt costs in another zone; 0: zones are all alike

    def __post_init__(self) -> None:
        checks = [
            ("classes", bool(self.classes)),
            ("tick_ms", self.tick_ms > 0),
            ("peers", self.peers >= 1),
            ("limits.max_attempts", self.limits.max_attempts >= 1),
            ("rules.cold_from", 0 < self.rules.cold_from <= 1),
            ("limits.max_retry_after_ms", self.limits.max_retry_after_ms >= 0),
            ("limits.connect_timeout_ms", self.limits.connect_timeout_ms > 0),
            ("limits.idle_ms", self.limits.idle_ms > 0),
            ("limits.cpu_us_per_s", self.limits.cpu_us_per_s >= 0),
            ("limits.cpu_us_per_request", self.limits.cpu_us_per_request >= 0),
            ("rules.cold_ms", self.rules.cold_ms >= 0),
            ("worst_class_weight", 0 <= self.worst_class_weight <= 1),
            ("cross_zone_price", self.cross_zone_price >= 0),
        ]
        for field_of in fields(self.costs):
            cost = getattr(self.costs, field_of.name)
            checks.append((f"costs.{field_of.name}", 0 <= cost < math.inf))
        for prefix, part in (("limits.", self.limits), ("rules.", self.rules), ("", self)):
            for field_of in fields(part):
                value = getattr(part, field_of.name)
                if isinstance(value, float):
                    checks.append((prefix + field_of.name, math.isfinite(value)))
        for item in self.classes:
            for name in ("aim_ms", "deadline_ms", "worth", "window_ms"):
                checks.append((f"classes[{item.name}].{name}", math.isfinite(getattr(item, name))))
            checks.append((f"classes[{item.name}].aim_ms", item.aim_ms > 0))
            checks.append((f"classes[{item.name}].deadline_ms", item.deadline_ms > 0))
            checks.append((f"classes[{item.name}].late_worth", 0 <= item.late_worth <= 1))
            checks.append((f"classes[{item.name}].worth", item.worth >= 0))
            checks.append((f"classes[{item.name}].window_ms", item.window_ms >= 0))
        if len({item.name for item in self.classes}) != len(self.classes):
            raise ValueError("classes: two classes share a name")
        for field, good in checks:
            if not good:
                raise ValueError(f"{field}: value out of range")


@dataclass(frozen=True, slots=True)
class ServerEntry:
    server: str
    state: ServerState = ServerState.READY
    zone: str = ""
    cell: int = 0
    kind: str = ""
    size: float = 1.0
    started_at: float | None = None  # None: long ago


# What was learnt, as `Balancer.learnt` tells it and `Balancer.believe` takes it. Starts are instants;
# ``due_in`` is in milliseconds from then on.


@dataclass(frozen=True, slots=True)
class LearntServer:
    server: str
    started_at: float | None
    active: bool
    w: float | None
    samples: float
    breaks: float  # broken connections in a row
    backoff: float
    due_in: float  # until its next trial


@dataclass(frozen=True, slots=True)
class LearntClass:
    name: str
    costs: dict[str, float]  # by kind of machine
    quick: float  # below 0: not learnt, as for ``usual``
    usual: float
    calm: int
    seen: float


@dataclass(frozen=True, slots=True)
class Learnt:
    servers: tuple[LearntServer, ...] = ()
    classes: tuple[LearntClass, ...] = ()
    limit: float = 0.0
    done: float = 0.0
    broken: float = 0.0
    starting: bool = True


# Events


@dataclass(frozen=True, slots=True)
class ServerList:
    kind: ListKind
    version: int = 0
    entries: tuple[ServerEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    request: str
    klass: str
    deadline: float  # the instant at which the client gives this try up
    cost_ms: float | None = None  # a guess of its work, where there is one
    retry: bool = False  # the client says that it is a repeat
    body_ms: float = 0.0  # how long its body may still take to come; ``deadline`` has that in it


@dataclass(frozen=True, slots=True)
class StreamStarted:
    request: str
    attempt: int
    latency_ms: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    request: str
    attempt: int
    outcome: Outcome
    latency_ms: float
    closed: bool  # nothing more is owed for the request


@dataclass(frozen=True, slots=True)
class ClientGone:
    request: str


@dataclass(frozen=True, slots=True)
class Timer:
    token: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    server: str
    outcome: Outcome
    latency_ms: float


@dataclass(frozen=True, slots=True)
class Late:
    """The host came to its work late by so much: its event loop's delay."""

    delay_ms: float


@dataclass(frozen=True, slots=True)
class Retune:
    """Other settings from now on. Open requests keep their class, and their number of attempts."""

    settings: Settings


Event = Union[ServerList, Request, StreamStarted, AttemptEnded, ClientGone, Timer, ProbeEnded, Late, Retune]

# Actions


@dataclass(frozen=True, slots=True)
class Send:
    request: str
    server: str
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class Refuse:
    request: str
    retry_after_ms: float = 0.0  # advice to the client; 0: none


@dataclass(frozen=True, slots=True)
class Fail:
    request: str


@dataclass(frozen=True, slots=True)
class Cancel:
    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    delay_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    server: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask discovery for the changes from here on (only where the list must be asked for)."""


Action = Union[Send, Refuse, Fail, Cancel, SetTimer, Probe, Subscribe]
