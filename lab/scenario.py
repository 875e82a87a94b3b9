"""A scenario: the fleet, its load, its clients and what befalls them. One TOML file, typed, with a schema.

    include = ["base.toml"]            # tables are laid over one another, the including file on top
    [draw]                             # any number can be drawn anew for each seed
    "load.share" = { low = 0.5, high = 0.9 }
    "servers.count" = { low = 5, high = 40, log = true }
    "clients.growing" = { one_of = [true, false] }

Times are milliseconds, shares 0 to 1, rates a second. Whatever is drawn comes from the seed alone.
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from lab.streams import Streams

Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Count = Annotated[int, Meta(ge=1, le=20_000)]
Pair = tuple[float, float]
MOST_INCLUDES = 16


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
    zones: Annotated[tuple[str, ...], Meta(min_length=1)] = ("a",)
    same_ms: NotNegative = 0.3  # one way
    cross_ms: NotNegative = 1.5
    jitter: NotNegative = 0.2  # of that, more at the most
    connect_timeout_ms: Positive = 200.0


class Discovery(Table, frozen=True, kw_only=True):
    mode: Literal["push", "ask"] = "push"
    notice_ms: Pair = (500.0, 1500.0)  # from a process's end to the list
    silent_notice_ms: Pair = (5000.0, 12_000.0)  # from a machine's silence
    add_ms: Pair = (300.0, 1500.0)  # from a start
    lag_ms: Pair = (50.0, 500.0)  # from the list to a sidecar
    call_ms: NotNegative = 2.0  # asked: one call after the other takes so long
    timeout_ms: Positive = 2000.0  # asked: a call that waits longer fails


class Class(Table, frozen=True, kw_only=True):
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
    share: Positive = 0.7  # first tries, of what all servers can do when warm
    shape: Literal["steady", "wave", "ramp"] = "steady"
    swing: Share = 0.0
    period_ms: Positive = 20_000.0
    burst: Count = 1  # calls that arrive together
    keys: Keys = Keys()


class Clients(Table, frozen=True, kw_only=True):
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
    count: Count = 5
    cpu: Cpu = Cpu()
    uneven: NotNegative = 0.0  # coefficient of variation of their parts of the traffic
    start_spread_ms: NotNegative = 0.0  # they begin within this; clients wait for them


class Allow(Table, frozen=True, kw_only=True):
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
        total = sum(item.share for item in self.classes)
        return sum(item.share * item.work_ms for item in self.classes) / total

    def rate(self) -> float:
        """Calls a second that the servers can do when warm."""
        kinds, total = self.servers.kinds, sum(kind.share for kind in self.servers.kinds)
        each = sum(kind.share * kind.workers * kind.speed for kind in kinds) / total
        return self.servers.count * each * 1000.0 / self.mean_work_ms()


class Draw(Table, frozen=True, kw_only=True):
    """What a field is drawn from: a range, evenly or by its logarithm, or some values."""

    low: int | float | None = None
    high: int | float | None = None
    log: bool = False
    one_of: tuple[Any, ...] = ()


class Wrong(ValueError):
    """A scenario that cannot be used: one line with file, field and what is the matter."""


class Source(Table, frozen=True, kw_only=True):
    """A scenario as written: its tree and what is drawn."""

    path: str
    tree: dict[str, Any]
    draws: dict[str, Draw]

    def changed(self, changes: Mapping[str, Any]) -> Source:
        """With other values at dotted places; what is set is no longer drawn."""
        tree = msgspec.json.decode(msgspec.json.encode(self.tree))
        for place, value in changes.items():
            put(tree, place, value, self.path)
        draws = {place: draw for place, draw in self.draws.items() if place not in changes}
        return Source(path=self.path, tree=tree, draws=draws)

    def play_of(self, seed: int) -> Scenario:
        """The scenario of one seed: what is drawn has values. Raises Wrong."""
        tree, streams = self.tree, Streams(seed)
        if self.draws:
            tree = msgspec.json.decode(msgspec.json.encode(tree))
            for place, draw in self.draws.items():
                stream = streams.of("draw", place)
                value: Any
                if draw.one_of:
                    value = draw.one_of[stream.whole(len(draw.one_of))]
                else:
                    assert draw.low is not None and draw.high is not None
                    pull = stream.log_uniform if draw.log else stream.uniform
                    value = pull(draw.low, draw.high)
                    if isinstance(draw.low, int) and isinstance(draw.high, int):
                        value = round(value)
                put(tree, place, value, self.path)
        return typed(tree, self.path)


def put(tree: dict[str, Any], place: str, value: Any, path: str) -> None:
    """Sets a dotted place; a whole number in it counts within an array. Raises Wrong."""
    *way, last = place.split(".")
    at: Any = tree
    try:
        for step, following in zip(way, [*way[1:], last], strict=False):
            if isinstance(at, list):
                at = at[int(step)]
            elif step not in at and following.isdigit():
                raise IndexError  # an array that the file leaves as usual has no places
            else:
                at = at.setdefault(step, {})
        if isinstance(at, list):
            at[int(last)] = value
        else:
            at[last] = value
    except (ValueError, IndexError, TypeError, AttributeError):
        raise Wrong(f"{path}: {place}: there is no such place; name one that the file has") from None


def typed(tree: Mapping[str, Any], path: str) -> Scenario:
    """Raises Wrong."""
    try:
        made = msgspec.convert(tree, Scenario, strict=True)
    except msgspec.ValidationError as fault:
        text, _, place = str(fault).partition(" - at `$.")
        raise Wrong(f"{path}: {place.rstrip('`') or 'the file'}: {text}") from None
    for place, names in (
        ("classes", [item.name for item in made.classes]),
        ("members", [item.name for item in made.members]),
        ("network.zones", list(made.network.zones)),
    ):
        if len(set(names)) != len(names):
            raise Wrong(f"{path}: {place}: a name stands twice; give each its own")
    for number, trouble in enumerate(made.troubles):
        if trouble.kind == "loud" and trouble.member not in [item.name for item in made.members]:
            raise Wrong(f"{path}: troubles.{number}.member: {trouble.member!r} is no member; name one")
    for number, klass in enumerate(made.classes):
        if klass.aim_ms > klass.deadline_ms:
            raise Wrong(f"{path}: classes.{number}.aim_ms: beyond the deadline; set it to that at the most")
    return made


def laid(under: dict[str, Any], over: Mapping[str, Any]) -> dict[str, Any]:
    """Tables by field, the second on top; arrays are replaced whole."""
    made = dict(under)
    for field, value in over.items():
        below = made.get(field)
        made[field] = laid(below, value) if isinstance(below, dict) and isinstance(value, dict) else value
    return made


def _tree(path: Path, above: tuple[Path, ...]) -> dict[str, Any]:
    if path in above:
        raise Wrong(f"{path}: include: it includes itself by way of {above[-1].name}; take one of them out")
    if len(above) >= MOST_INCLUDES:
        raise Wrong(f"{path}: include: more than {MOST_INCLUDES} files deep; flatten them")
    try:
        own = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as fault:
        raise Wrong(f"{path}: {fault}") from None
    made: dict[str, Any] = {}
    includes = own.pop("include", [])
    if not isinstance(includes, list) or not all(isinstance(name, str) for name in includes):
        raise Wrong(f"{path}: include: not an array of file names; write it as one")
    for name in includes:
        made = laid(made, _tree((path.parent / name).resolve(), (*above, path)))
    return laid(made, own)


def load(path: Path) -> Source:
    """Raises Wrong, also where what would be drawn cannot be used."""
    tree = _tree(path.resolve(), ())
    draws: dict[str, Draw] = {}
    given = tree.pop("draw", {})
    for place, value in given.items() if isinstance(given, dict) else ():
        try:
            draw = draws[place] = msgspec.convert(value, Draw)
        except msgspec.ValidationError as fault:
            raise Wrong(f"{path}: draw.{place}: {fault}") from None
        ranged = draw.low is not None and draw.high is not None
        if ranged == bool(draw.one_of):
            raise Wrong(f"{path}: draw.{place}: give low and high, or one_of")
        if ranged and (draw.low > draw.high or draw.log and draw.low <= 0):  # type: ignore[operator]
            raise Wrong(
                f"{path}: draw.{place}: low is above high, or not above 0 with log; set them in order"
            )
    source = Source(path=str(path), tree=tree, draws=draws)
    source.play_of(0)
    return source


def schema() -> dict[str, Any]:
    """The JSON schema of a scenario's tables, for editors."""
    return msgspec.json.schema(Scenario)
