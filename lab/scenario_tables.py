"""The tables of a scenario file as types. Times are in milliseconds, shares from 0 to 1, rates per second.

The names of fields and kinds are those of the files.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Count = Annotated[int, Meta(ge=1, le=20_000)]
Pair = tuple[float, float]


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A table of a scenario file. Unknown fields are rejected."""


class Kind(Table, frozen=True, kw_only=True):
    """A kind of server machine. At ``speed`` 1 the work of a class takes the time that the class states."""

    name: str = "std"
    share: Positive = 1.0
    workers: Count = 4
    speed: Positive = 1.0


class Choke(Table, frozen=True, kw_only=True):
    """Servers that become slow after a long queue, and stay slow until they have been nearly idle."""

    share: Share = 0.0  # share of the servers that can choke
    waiting: Positive = 6.0  # queued calls per worker above which a server chokes
    over_ms: Positive = 2000.0  # after the queue has been that long for this time
    slower: Annotated[float, Meta(ge=1)] = 2.6  # factor on the time of a call
    idle: Share = 0.3  # running and queued calls per worker below which it recovers
    idle_ms: Positive = 3000.0  # after this time below
    most_ms: Positive = 25_000.0  # the longest time in the slow state


class Servers(Table, frozen=True, kw_only=True):
    """The servers: how many, of which kinds, and how they behave."""

    count: Annotated[int, Meta(ge=0, le=20_000)] = 15
    kinds: tuple[Kind, ...] = (Kind(),)
    speed_cv: NotNegative = 0.0  # coefficient of variation of the speeds within a kind
    cell: Count = 2  # servers per cell
    queue: Annotated[int, Meta(ge=0)] = 15  # places in the queue per worker; calls beyond are rejected
    thrash: NotNegative = 0.5  # share by which a full queue lengthens each call
    cold_share: Annotated[float, Meta(gt=0, le=1)] = (
        0.3  # share of its capacity that a server has at its start
    )
    warm_up_ms: NotNegative = 8000.0  # from a start to the full capacity
    fall_multiple: Positive = 2.5  # a cold server crashes ("falls") at this multiple of its capacity
    fall_ms: Positive = 1000.0  # the time over which that load is measured
    falls_warm: bool = False  # warm servers crash as well
    down_ms: Positive = 3000.0  # from a crash to the restart, cold
    handshake_ms: NotNegative = 4.0  # work of the server for a new connection
    handshake_rtts: NotNegative = 1.0  # round trips before the request can be sent
    idle_ms: Positive = 5000.0  # idle time after which a connection is closed
    connections: Count = 400  # open connections that a server accepts
    error_share: Share = 0.0  # share of calls that fail
    pause_every_ms: NotNegative = 0.0  # mean time between pauses of a server; 0: no pauses
    pause_ms: NotNegative = 0.0  # mean length of a pause
    cancels: Literal["none", "queued", "all"] = "queued"  # calls that a cancellation stops
    choke: Choke = Choke()


class Network(Table, frozen=True, kw_only=True):
    """The zones and the network delays."""

    zones: Annotated[tuple[str, ...], Meta(min_length=1)] = ("a",)
    same_ms: NotNegative = 0.3  # one-way delay within a zone
    cross_ms: NotNegative = 1.5  # one-way delay between zones
    jitter: NotNegative = 0.2  # greatest random addition, as a share of the delay
    connect_timeout_ms: Positive = 200.0


class Discovery(Table, frozen=True, kw_only=True):
    """Service discovery: "push" sends changes to subscribers, "ask" serves the list on request."""

    mode: Literal["push", "ask"] = "push"
    notice_ms: Pair = (500.0, 1500.0)  # from the end of a process to the change of the list
    silent_notice_ms: Pair = (5000.0, 12_000.0)  # the same from the moment at which a machine becomes silent
    add_ms: Pair = (300.0, 1500.0)  # the same from a start
    lag_ms: Pair = (50.0, 500.0)  # from the change of the list to a sidecar
    call_ms: NotNegative = 2.0  # "ask": time that each call takes, one after the other
    timeout_ms: Positive = 2000.0  # "ask": a call that waits longer fails


class Class(Table, frozen=True, kw_only=True):
    """A class of requests: its work, its worth, and whether it may be repeated."""

    name: str
    share: Positive = 1.0
    work_ms: Positive = 20.0
    dist: Literal["lognormal", "exp"] = "lognormal"  # distribution of the work over calls
    cv: NotNegative = 0.4  # coefficient of variation over calls, if lognormal
    noise: NotNegative = 0.2  # coefficient of variation over the attempts of one call
    aim_ms: Positive = 400.0
    deadline_ms: Positive = 1200.0
    worth: NotNegative = 1.0
    late_worth: Share = 0.3
    effect: Literal["safe", "keyed", "unsafe"] = "unsafe"
    group: Literal["all", "zone", "cell"] = "all"
    window_ms: NotNegative = 0.0


class Member(Table, frozen=True, kw_only=True):
    """A tenant: its share of the calls and its entitlement."""

    name: str
    share: Positive = 1.0
    entitled: Share = 1.0  # share of the total capacity; calls beyond it are worth a tenth


class Keys(Table, frozen=True, kw_only=True):
    """Keys of calls: a server that has seen a key recently needs less work for it (a cache)."""

    count: Annotated[int, Meta(ge=0, le=1_000_000)] = 0
    zipf: Positive = 1.0  # exponent of the Zipf distribution of keys
    gain: Share = 0.0  # share of the work that a cached key saves
    kept_ms: Positive = 5000.0  # how long a key stays cached
    kept: Count = 100  # keys that a server caches


class Load(Table, frozen=True, kw_only=True):
    """The arrival of calls."""

    share: Positive = 0.7  # rate of calls, as a share of the warm servers' capacity
    shape: Literal["steady", "wave", "ramp"] = "steady"
    swing: Share = 0.0  # amplitude of the wave or ramp, as a share of the rate
    period_ms: Positive = 20_000.0  # of the wave
    burst: Count = 1  # calls that arrive together
    keys: Keys = Keys()


class Clients(Table, frozen=True, kw_only=True):
    """The timeouts and retries of clients."""

    tries: Count = 3  # tries per call, the first included
    try_share: Annotated[float, Meta(gt=0, le=1)] = 0.6  # timeout of a try, as a share of the deadline
    backoff_ms: Positive = 60.0  # mean delay before the first retry
    growing: bool = True  # the delay doubles with each retry
    ignoring: Share = 0.0  # share of the calls that retry at once, whatever the retry delay in the answer
    impatient: Share = 0.0  # share of the calls whose first try is abandoned after a third of its timeout
    marked: bool = True  # retries are marked as such
    max_retry_after_ms: NotNegative = 2000.0  # longest retry delay that clients follow; 0: they follow none


class Cpu(Table, frozen=True, kw_only=True):
    """The CPU cost of a sidecar's decisions in microseconds. ``per_s``: budget per second; 0: no charge.

    The default costs are those of the shipped balancer on one machine (`python -m benchmarks.decisions
    --kinds`); all costs are multiplied by ``scale``.
    """

    per_s: NotNegative = 0.0
    scale: Positive = 1.0
    request: NotNegative = 4.0
    pick: NotNegative = 18.0
    look: NotNegative = 0.4  # per server that a choice examines
    ended: NotNegative = 14.0
    timer: NotNegative = 6.0
    entry: NotNegative = 4.0  # per entry of a server list
    other: NotNegative = 2.0
    # Servers examined per send, assumed for a policy that does not count them.
    looks: NotNegative = 2.0

    def costs(self) -> dict[str, float]:
        """Returns the costs by kind of work, scaled."""
        names = ("request", "pick", "look", "ended", "timer", "entry", "other")
        return {name: self.scale * float(getattr(self, name)) for name in names}


class Sidecars(Table, frozen=True, kw_only=True):
    """The sidecars: how many, and how they start."""

    count: Count = 5
    cpu: Cpu = Cpu()
    uneven: NotNegative = 0.0  # coefficient of variation of their shares of the traffic
    start_spread_ms: NotNegative = 0.0  # they start within this time; clients begin after it


class Allow(Table, frozen=True, kw_only=True):
    """Limits on what the balancer may do."""

    max_attempts: Count = 4
    cancel: bool = True
    second_copies: bool = False  # two attempts of a call may be in flight at once
    drain_grace_ms: NotNegative = 2000.0
    answer_slack_ms: NotNegative = 20.0


class Trouble(Table, frozen=True, kw_only=True):
    """A fault that is injected at ``at_ms`` for ``for_ms`` into a ``share`` of its targets.

    Servers:
        silent, dead: they vanish without closing connections, or end, and return cold
        slow: their calls take ``size`` times as long
        errors: a ``size`` share of their calls fails
        replaced: they end, and servers with new names take their places
        drain: one after the other is drained, ends and returns
        shrink: they are drained and do not return; the load falls in proportion
        none: all servers are down
        flapping: as dead, ``times`` times
    Network:
        partition: no messages pass between the last zone and the others
        loss: a ``size`` share of the attempts is lost
    Discovery:
        away: it is down
        late: its updates are late by ``size`` ms
        wrong: it reports servers as gone that are up
        disagree: a share of the sidecars receives updates ``size`` ms later than the others
    Load:
        burst: the load is ``size`` times as high
        hot, loud: a share of the sidecars, or one member, sends ``size`` times its usual load
    Sidecars:
        die, pause: they crash and restart, or pause
        upgrade: over ``for_ms``, each is replaced by a second process that runs beside it; while both run,
            they pause in turn for ``size`` ms each
    Links between zones:
        cut, one_way: nothing passes, in both directions or in one
        far: messages take ``size`` ms longer in each direction
        lossy: a ``size`` share of the messages is retransmitted
        resets: a ``size`` share of the requests is reset
        half_open: connections opened before become half-open
    """

    kind: Literal[
        "silent",
        "dead",
        "slow",
        "errors",
        "replaced",
        "drain",
        "shrink",
        "none",
        "flapping",
        "partition",
        "loss",
        "away",
        "late",
        "wrong",
        "burst",
        "hot",
        "loud",
        "die",
        "pause",
        "upgrade",
        "cut",
        "one_way",
        "far",
        "lossy",
        "resets",
        "half_open",
        "disagree",
    ]
    at_ms: NotNegative = 12_000.0
    for_ms: Positive = 6000.0
    share: Share = 0.18
    size: NotNegative = 2.0
    times: Count = 1
    spread_ms: NotNegative = 0.0  # time over which the recoveries are spread
    member: str = ""  # loud: the name of the member


LINK_KINDS = frozenset(("cut", "one_way", "far", "lossy", "resets", "half_open"))


class Goal(Table, frozen=True, kw_only=True):
    """Weights of the score: total service, and service in the worst window, class and member."""

    whole: NotNegative = 0.55
    window: NotNegative = 0.35
    klass: NotNegative = 0.1
    member: NotNegative = 0.0
    window_ms: Positive = 10_000.0


SALE = Class(name="sale", share=0.4, aim_ms=400.0, deadline_ms=1200.0, worth=10.0, late_worth=0.3)
LISTING = Class(
    name="listing",
    share=0.6,
    aim_ms=750.0,
    deadline_ms=4000.0,
    worth=8.0,
    late_worth=0.5,
    effect="keyed",
    group="cell",
    window_ms=8000.0,
)


class Scenario(Table, frozen=True, kw_only=True):
    """A complete scenario. With a seed it determines a run."""

    name: str
    seconds: Annotated[float, Meta(gt=0, le=36_000)] = 40.0
    settle_ms: NotNegative = 3000.0  # time from the start that is not measured
    most_events: Annotated[int, Meta(ge=1, le=10**9)] = 20_000_000
    ties: Literal["first", "last"] = "first"
    servers: Servers = Servers()
    network: Network = Network()
    discovery: Discovery = Discovery()
    classes: Annotated[tuple[Class, ...], Meta(min_length=1)] = (SALE, LISTING)
    members: Annotated[tuple[Member, ...], Meta(min_length=1)] = (Member(name="one"),)
    load: Load = Load()
    clients: Clients = Clients()
    sidecars: Sidecars = Sidecars()
    allow: Allow = Allow()
    troubles: tuple[Trouble, ...] = ()
    goal: Goal = Goal()

    def mean_work_ms(self) -> float:
        """Returns the mean work of a call over all classes."""
        total = sum(item.share for item in self.classes)
        return sum(item.share * item.work_ms for item in self.classes) / total

    def capacity_per_s(self) -> float:
        """Returns the calls per second that all servers can process when warm."""
        kinds, total = self.servers.kinds, sum(kind.share for kind in self.servers.kinds)
        each = sum(kind.share * kind.workers * kind.speed for kind in kinds) / total
        return self.servers.count * each * 1000.0 / self.mean_work_ms()
