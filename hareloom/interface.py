"""The Balancer's input and output types: settings, events, actions and outcomes.

Times are floats in milliseconds. Instants come from the caller's monotonic clock, which may start anywhere.
Names of servers, classes, zones and kinds are opaque strings.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, fields
from enum import Enum
from typing import Union


class Effect(Enum):
    """Whether a request of a class may run more than once."""

    SAFE = "safe"  # any number of times
    KEYED = "keyed"  # the servers of one group drop repeats within a time window
    UNSAFE = "unsafe"  # never


class Group(Enum):
    """The servers that share the deduplication of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ServerState(Enum):
    """The state that discovery reports for a server."""

    READY = "ready"
    DRAINING = "draining"  # finishes its open requests; nothing new may be sent
    GONE = "gone"


class ListKind(Enum):
    """How complete and how current a server list is."""

    FULL = "full"  # the complete list; a server that is missing from it is gone
    DELTA = "delta"  # changed entries only
    CACHED = "cached"  # the complete list as last received; it may be out of date
    LOST = "lost"  # a discovery call failed; the previous list stays valid


class Outcome(Enum):
    """The result of one attempt or probe."""

    OK = "ok"
    ERROR = "error"  # an error response; it may have run
    FULL = "full"  # rejected by a full server; it did not run
    TIMEOUT = "timeout"  # no answer in time; it may have run or may still be running
    CONNECT_FAILED = "connect_failed"  # no connection; it did not run
    RESET = "reset"  # the connection was lost; it may have run
    CANCELLED = "cancelled"  # cancelled by this side; it may have run
    MOOT = "moot"  # never sent; it did not run


NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT})


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Latency targets, value and repeat semantics of one class of requests."""

    name: str
    aim_ms: float  # an answer within this time has the full worth
    deadline_ms: float  # how long a client waits in total, over all its tries
    worth: float = 1.0
    late_worth: float = 0.0  # share of the worth, 0 to 1, of an answer after the aim and before the deadline
    effect: Effect = Effect.UNSAFE
    group: Group = Group.ALL  # keyed classes only
    # Keyed classes only: how long repeats are dropped, from the first attempt that may have run.
    window_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """What the balancer may do for a request, and what its decisions may cost."""

    max_attempts: int = 1  # per request
    paced: bool = True  # attempts in flight are limited here; False where a queue per server limits them
    may_cancel: bool = False
    second_copies: bool = False  # two attempts of one request may be in flight at once
    may_probe: bool = False
    max_retry_after_ms: float = 0.0  # longest retry-after that clients follow; 0: they follow none
    connect_timeout_ms: float = 250.0  # for the host: the time limit on opening a connection
    idle_ms: float = 15000.0  # for the host: upstreams close connections after this idle time
    # CPU budget of decisions, in microseconds of the host: a second, and a request on average; 0: no limit.
    cpu_us_per_s: float = 0.0
    cpu_us_per_request: float = 0.0


@dataclass(frozen=True, slots=True)
class Costs:
    """CPU cost of each kind of work in microseconds, as in ``Limits``. The host supplies it, since the module
    reads no clock. All 0: the costs are unknown and no CPU budget is applied."""

    request: float = 0.0  # a request that is read, and perhaps refused at once
    pick: float = 0.0  # a request that is admitted: its queue place, the choice and the send
    look: float = 0.0  # each server that the choice examines
    ended: float = 0.0  # the end of an attempt
    timer: float = 0.0
    entry: float = 0.0  # each entry of a server list
    other: float = 0.0


@dataclass(frozen=True, slots=True)
class Rules:
    """Properties of the clients and servers that decisions rely on."""

    answer_slack_ms: float = 0.0  # how long after its deadline a final answer still counts
    drain_grace_ms: float = 0.0  # not used: sends stop as soon as the event arrives
    ask_within_ms: float = 10000.0  # a list counts as known after this time, even if it was not requested
    cold_from: float = 0.3  # least share of its capacity that a server starts with
    cold_ms: float = 0.0  # time until a started server is warm; 0: servers start warm
    # A cold server fails when it is sent this multiple of what it can serve for this time. The balancer does
    # not rely on the time: it keeps each cold server within its share throughout.
    fall_multiple: float = 2.0
    fall_ms: float = 1000.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one Balancer. Raises ValueError, naming the field, for a value out of range."""

    classes: tuple[RequestClass, ...]
    peers: int = 1  # number of sidecars that share the list, this one included
    me: int = -1  # index of this sidecar among them, from 0; below 0: unknown
    zone: str = ""  # zone of this sidecar
    asks_for_list: bool = False  # the list is sent only on request
    sized: bool = True  # sizes in the list are registered capacities that scale a server's share
    limits: Limits = Limits()
    rules: Rules = Rules()
    tick_ms: float = 1.0  # least interval between two deliveries of events
    worst_class_weight: float = 0.0  # weight, 0 to 1, of the worst-served class in the objective
    by_work: bool = False  # the worth of a request is proportional to its work
    costs: Costs = Costs()
    cross_zone_price: float = 0.0  # cost of an attempt in another zone, in points of 1; 0: zones are equal

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
    """One server in a server list."""

    server: str
    state: ServerState = ServerState.READY
    zone: str = ""
    cell: int = 0
    kind: str = ""
    size: float = 1.0
    started_at: float | None = None  # None: long ago


# The learnt state that `Balancer.learnt` returns and `Balancer.believe` restores. ``started_at`` is an
# instant; ``due_in`` counts from the call.


@dataclass(frozen=True, slots=True)
class LearntServer:
    """Learnt state of one server."""

    server: str
    started_at: float | None
    active: bool
    w: float | None
    samples: float
    breaks: float  # consecutive connection failures
    backoff: float
    due_in: float  # time until its next trial


@dataclass(frozen=True, slots=True)
class LearntClass:
    """Learnt state of one class of requests."""

    name: str
    costs: dict[str, float]  # by kind of machine
    quick: float  # low latency quantile; below 0: not learnt yet, as for ``usual``
    usual: float
    calm: int
    seen: float


@dataclass(frozen=True, slots=True)
class Learnt:
    """All learnt state of a Balancer."""

    servers: tuple[LearntServer, ...] = ()
    classes: tuple[LearntClass, ...] = ()
    limit: float = 0.0
    done: float = 0.0
    broken: float = 0.0
    starting: bool = True


# Events


@dataclass(frozen=True, slots=True)
class ServerList:
    """A server list, complete or in part, or the failure to get one."""

    kind: ListKind
    version: int = 0
    entries: tuple[ServerEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request."""

    request: str
    klass: str
    deadline: float  # instant at which the client gives up this try
    cost_ms: float | None = None  # estimate of its work, if known
    retry: bool = False  # the client marked it as a retry
    body_ms: float = 0.0  # time that its body may still take to arrive; included in ``deadline``


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The first part of a streamed answer has arrived."""

    request: str
    attempt: int
    latency_ms: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended."""

    request: str
    attempt: int
    outcome: Outcome
    latency_ms: float
    closed: bool  # the request is complete


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client gave up or disconnected."""

    request: str


@dataclass(frozen=True, slots=True)
class Timer:
    """A timer that was set by `SetTimer` has fired."""

    token: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """A probe has ended."""

    server: str
    outcome: Outcome
    latency_ms: float


@dataclass(frozen=True, slots=True)
class Late:
    """The host's event loop was delayed by this much."""

    delay_ms: float


@dataclass(frozen=True, slots=True)
class Retune:
    """New settings. Open requests keep their class and their number of attempts."""

    settings: Settings


Event = Union[ServerList, Request, StreamStarted, AttemptEnded, ClientGone, Timer, ProbeEnded, Late, Retune]

# Actions


@dataclass(frozen=True, slots=True)
class Send:
    """Send an attempt of the request to the server."""

    request: str
    server: str
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the request: the client may safely retry it."""

    request: str
    retry_after_ms: float = 0.0  # delay that the client is asked to keep; 0: none


@dataclass(frozen=True, slots=True)
class Fail:
    """Fail the request: it may have run."""

    request: str


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt in flight."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver `Timer` with this token after the delay."""

    delay_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Probe the server."""

    server: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribe to changes of the server list, where it is sent only on request."""


Action = Union[Send, Refuse, Fail, Cancel, SetTimer, Probe, Subscribe]
