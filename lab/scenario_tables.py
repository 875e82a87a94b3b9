"""The tables of a scenario file, typed. Times are milliseconds, shares 0 to 1, rates a second."""

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
    """A table of a scenario file: unknown fields are refused."""


class Kind(Table, frozen=True, kw_only=True):
    """Machines of one make; ``speed`` 1 does a class's work in the time it says."""

    name: str = "std"
    share: Positive = 1.0
    workers: Count = 4
    speed: Positive = 1.0


class Choke(Table, frozen=True, kw_only=True):
    """A server that turns slow under a queue and stays slow until it has been nearly idle for a while."""

    share: Share = 0.0  # of the servers, that can
    waiting: Positive = 6.0  # calls waiting a worker
    over_ms: Positive = 2000.0  # for so long
    slower: Annotated[float, Meta(ge=1)] = 2.6
    idle: Share = 0.3  # it recovers while it holds fewer a worker
    idle_ms: Positive = 3000.0  # for so long
    most_ms: Positive = 25_000.0  # or after this in any case


class Servers(Table, frozen=True, kw_only=True):
    """The fleet: how many servers, of which kinds, and how they behave."""

    count: Annotated[int, Meta(ge=0, le=20_000)] = 15
    kinds: tuple[Kind, ...] = (Kind(),)
    speed_cv: NotNegative = 0.0  # between machines of a kind
    cell: Count = 2  # servers a cell
    queue: Annotated[int, Meta(ge=0)] = 15  # calls that may wait, a worker; more are turned away
    thrash: NotNegative = 0.5  # a full queue makes each call longer by this share
    cold_share: Annotated[float, Meta(gt=0, le=1)] = 0.3  # what a start can do, of all
    warm_up_ms: NotNegative = 8000.0
    fall_multiple: Positive = 2.5  # a starting one falls when so many times what it can do comes
    fall_ms: Positive = 1000.0  # for so long
    falls_warm: bool = False  # and one that is warm as well
    down_ms: Positive = 3000.0  # a fallen one is back, cold, after this
    handshake_ms: NotNegative = 4.0  # work that a new connection costs
    handshake_rtts: NotNegative = 1.0  # before the request can go
    idle_ms: Positive = 5000.0  # a connection unused for so long is closed
    connections: Count = 400  # open ones a server holds
    error_share: Share = 0.0
    pause_every_ms: NotNegative = 0.0  # on average; 0: never
    pause_ms: NotNegative = 0.0
    cancels: Literal["none", "queued", "all"] = "queued"  # what a cancel stops
    choke: Choke = Choke()


class Network(Table, frozen=True, kw_only=True):
    """Zones, and how long messages take."""

    zones: Annotated[tuple[str, ...], Meta(min_length=1)] = ("a",)
    same_ms: NotNegative = 0.3  # one way
    cross_ms: NotNegative = 1.5
    jitter: NotNegative = 0.2  # of that, more at the most
    connect_timeout_ms: Positive = 200.0


class Discovery(Table, frozen=True, kw_only=True):
    """How sidecars hear of servers."""

    mode: Literal["push", "ask"] = "push"
    notice_ms: Pair = (500.0, 1500.0)  # from a process's end to the list
    silent_notice_ms: Pair = (5000.0, 12_000.0)  # from a machine's silence
    add_ms: Pair = (300.0, 1500.0)  # from a start
    lag_ms: Pair = (50.0, 500.0)  # from the list to a sidecar
    call_ms: NotNegative = 2.0  # asked: one call after the other takes so long
    timeout_ms: Positive = 2000.0  # asked: a call that waits longer fails


class Class(Table, frozen=True, kw_only=True):
    """A kind of call: its work, its worth, and what a repeat does."""

    name: str
    share: Positive = 1.0
    work_ms: Positive = 20.0
    dist: Literal["lognormal", "exp"] = "lognormal"  # of the work between calls
    cv: NotNegative = 0.4  # between calls, where that is lognormal
    noise: NotNegative = 0.2  # between attempts of one call
    aim_ms: Positive = 400.0
    deadline_ms: Positive = 1200.0
    worth: NotNegative = 1.0
    late_worth: Share = 0.3
    effect: Literal["safe", "keyed", "unsafe"] = "unsafe"
    group: Literal["all", "zone", "cell"] = "all"
    window_ms: NotNegative = 0.0


class Member(Table, frozen=True, kw_only=True):
    """A tenant: its share of calls, and what it is entitled to."""

    name: str
    share: Positive = 1.0
    entitled: Share = 1.0  # of what all servers can do; calls beyond are worth a tenth


class Keys(Table, frozen=True, kw_only=True):
    """What a call is about: a server that met its key lately does less work for it."""

    count: Annotated[int, Meta(ge=0, le=1_000_000)] = 0
    zipf: Positive = 1.0
    gain: Share = 0.0
    kept_ms: Positive = 5000.0
    kept: Count = 100  # keys a server remembers


class Load(Table, frozen=True, kw_only=True):
    """How calls arrive."""

    share: Positive = 0.7  # first tries, of what all servers can do when warm
    shape: Literal["steady", "wave", "ramp"] = "steady"
    swing: Share = 0.0
    period_ms: Positive = 20_000.0
    burst: Count = 1  # calls that arrive together
    keys: Keys = Keys()


class Clients(Table, frozen=True, kw_only=True):
    """How clients try again."""

    tries: Count = 3  # a call, in all
    try_share: Annotated[float, Meta(gt=0, le=1)] = 0.6  # of the deadline, after which a try is given up
    backoff_ms: Positive = 60.0
    growing: bool = True  # the wait doubles with each try
    ignoring: Share = 0.0  # of the calls: come back at once, whatever they were told
    impatient: Share = 0.0  # of the calls: gone after a third of their time
    marked: bool = True
    max_retry_after_ms: NotNegative = 2000.0  # 0: no advice is taken


class Cpu(Table, frozen=True, kw_only=True):
    """What decisions cost a sidecar. ``per_s``: microseconds of CPU a second, 0: not charged. Costs are those
    of the module on one machine (`python -m benchmarks.decisions --kinds`), times ``scale``."""

    per_s: NotNegative = 0.0
    scale: Positive = 1.0
    request: NotNegative = 4.0
    pick: NotNegative = 18.0
    look: NotNegative = 0.4  # a server looked at
    ended: NotNegative = 14.0
    timer: NotNegative = 6.0
    entry: NotNegative = 4.0  # an entry of a list
    other: NotNegative = 2.0
    # A policy whose work cannot be counted is taken to look at so many servers for a send.
    looks: NotNegative = 2.0

    def costs(self) -> dict[str, float]:
        """By kind, as they are charged."""
        names = ("request", "pick", "look", "ended", "timer", "entry", "other")
        return {name: self.scale * float(getattr(self, name)) for name in names}


class Sidecars(Table, frozen=True, kw_only=True):
    """How many sidecars, and how they start."""

    count: Count = 5
    cpu: Cpu = Cpu()
    uneven: NotNegative = 0.0  # coefficient of variation of their parts of the traffic
    start_spread_ms: NotNegative = 0.0  # they begin within this; clients wait for them


class Allow(Table, frozen=True, kw_only=True):
    """What the decisions are allowed."""

    max_attempts: Count = 4
    cancel: bool = True
    second_copies: bool = False  # two attempts of a call may be out at once
    drain_grace_ms: NotNegative = 2000.0
    answer_slack_ms: NotNegative = 20.0


class Trouble(Table, frozen=True, kw_only=True):
    """What happens from ``at_ms`` for ``for_ms`` to a ``share`` of those that it is about.

    silent, dead: servers vanish, or end, and return cold; slow: ``size`` times; errors: a ``size`` share of
    calls fails at once; replaced: ended, with others of new names for them; drain: told to finish, then end
    and return, one after the other; shrink: drained for good; none: no server at all; flapping: dead,
    ``times`` times. partition: no message between the last zone and the others; loss: a ``size`` share of
    attempts is swallowed. away, late, wrong: discovery; late by ``size`` ms, wrong: it calls a share gone
    that answers. burst: ``size`` times the load; hot: a share of the sidecars, or one member, carries
    ``size`` times its part. die, pause: a share of the sidecars. upgrade: a share of the sidecars is each
    replaced by another process beside it, over ``for_ms``; where both are there, they stand still by turns
    for ``size`` ms each. cut, one_way, far, lossy, resets, half_open: a share of the links between zones:
    nothing passes; nothing passes one way; all is ``size`` ms later each way; a ``size`` share of messages is
    sent again; a ``size`` share of requests is reset; what was open is open at this end alone. disagree: a
    share of the sidecars hears of changes ``size`` ms later.
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
    spread_ms: NotNegative = 0.0  # over which they return
    member: str = ""  # loud: whose


LINK_KINDS = frozenset(("cut", "one_way", "far", "lossy", "resets", "half_open"))


class Goal(Table, frozen=True, kw_only=True):
    """Weights of service: over all, in the worst window, of the worst class, of the worst member."""

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
    """All of it: one play, but for its seed."""

    name: str
    seconds: Annotated[float, Meta(gt=0, le=36_000)] = 40.0
    settle_ms: NotNegative = 3000.0  # from the start, not counted
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
        """A call's mean work, over the classes by their shares."""
        total = sum(item.share for item in self.classes)
        return sum(item.share * item.work_ms for item in self.classes) / total

    def rate(self) -> float:
        """Calls a second that the servers can do when warm."""
        kinds, total = self.servers.kinds, sum(kind.share for kind in self.servers.kinds)
        each = sum(kind.share * kind.workers * kind.speed for kind in kinds) / total
        return self.servers.count * each * 1000.0 / self.mean_work_ms()
