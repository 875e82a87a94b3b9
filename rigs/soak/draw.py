"""The plan of a seed: configuration writes all the time, and troubles in phases that overlap with them."""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence
from enum import Enum

from rigs.soak import plan as events
from rigs.soak.plan import DropItem, Event, Invalid, Plan, RouteItem, Setting, Share, Write

SMALL_SERVICES = ("red", "red", "blue", "green")
FIRST_ROUTES = (("read", "red", False), ("list", "green", False), ("pay", "blue", True))
ADDED_MOST = 600  # routes that stand at one time
LARGE_ADD = 1500
DISK_LOSSES_APART_S = 30.0  # one disk may be lost at a time, and is whole again by then
QUIET_END_S = 8.0  # without troubles, before the last reads
PHASE_S = (5.0, 12.0)
WRITE_GAP_S = 0.4
SERIES_MOST = 20
MEMORY_SHARE, PROCESS_MB = 0.5, 100.0  # of the machine's memory; of one process, at the most
PROCESSES_MOST, PROCESSES_A_CORE = 200, 4  # more than four a core are late by their number alone
MACHINE_CONTROLLERS = 5


class Size(Enum):
    """How many processes."""

    SMALL = "small"
    MACHINE = "machine"


class Phase(Enum):
    """What goes wrong for some seconds."""

    QUIET = "nothing"
    PROXIES = "signals to proxies"
    CONTROLLERS = "signals to controllers"
    HERD = "many at once"
    LINKS = "links between processes"
    UPSTREAMS = "upstreams end and come back"
    SETTINGS = "settings files change"
    MIXED = "all of them"


class Writes:
    """Draws configuration writes; knows what would stand if each were taken in its order."""

    def __init__(self, choose: random.Random, services: Sequence[str], first: Sequence[RouteItem]) -> None:
        """``first``: routes that stand, and are never dropped."""
        self._choose, self._services = choose, sorted(set(services))
        self._first = [one.name for one in first]
        self._standing: dict[str, RouteItem] = {one.name: one for one in first}
        self._dropped: list[RouteItem] = []
        self._version, self._made = 1, 0
        self._kinds = (
            (self._move, 8),
            (self._split, 2),
            (self._chain, 3),
            (self._add, 5),
            (self._drop, 4),
            (self._add_again, 2),
            (self._nest, 3),
            (self._rename, 2),
            (self._fresh, 1),
            (self._rivals, 3),
            (self._invalid, 2),
        )

    def draw(self, at: float, controllers: int) -> Iterator[Write]:
        """The next write, or a few in quick turn."""
        (make,) = self._choose.choices(
            [kind for kind, _ in self._kinds], [weight for _, weight in self._kinds]
        )
        for write in make(at):
            to = self._choose.randrange(controllers)
            again = self._choose.random() < 0.2
            yield Write(write.at, to, write.items, write.rival, again, write.invalid)

    def large(self, at: float) -> events.AddMany:
        """Very many routes at once."""
        return events.AddMany(at, 0, LARGE_ADD, self._next(), self._services[0])

    def _next(self) -> int:
        self._version += self._choose.randint(1, 4)
        return self._version

    def _new(self, prefix: str = "", effectful: bool | None = None, version: int = 0) -> RouteItem:
        self._made += 1
        name = f"added-{self._made}"
        if effectful is None:
            effectful = self._choose.random() < 0.3
        share = (Share(self._choose.choice(self._services)),)
        item = RouteItem(name, version or self._next(), prefix or f"/{name}/", share, effectful)
        self._standing[name] = item
        return item

    def _drop_one(self, name: str) -> DropItem:
        self._dropped.append(self._standing.pop(name))
        return DropItem(name, self._next())

    def _added(self) -> list[str]:
        return [name for name in self._standing if name not in self._first]

    def _to(self, item: RouteItem, *shares: Share) -> RouteItem:
        moved = RouteItem(item.name, self._next(), item.prefix, shares, item.effectful)
        self._standing[item.name] = moved
        return moved

    def _others(self, item: RouteItem) -> list[str]:
        held = {share.service for share in item.shares}
        return [service for service in self._services if service not in held] or list(self._services)

    def _any(self) -> RouteItem:
        names = self._first if self._choose.random() < 0.5 else list(self._standing)
        return self._standing[self._choose.choice(names)]

    def _move(self, at: float) -> Iterator[Write]:
        item = self._any()
        yield Write(at, 0, (self._to(item, Share(self._choose.choice(self._others(item)))),))

    def _split(self, at: float) -> Iterator[Write]:
        item, two = self._any(), self._choose.sample(self._services, 2)
        weight = self._choose.choice((10, 50, 90))
        yield Write(at, 0, (self._to(item, Share(two[0], weight), Share(two[1], 100 - weight)),))

    def _chain(self, at: float) -> Iterator[Write]:
        item, gap_s = self._any(), self._choose.choice((0.0, 0.02, 0.3))
        for number in range(4):
            item = self._to(item, Share(self._choose.choice(self._others(item))))
            yield Write(at + number * gap_s, 0, (item,))

    def _add(self, at: float) -> Iterator[Write]:
        count = min(self._choose.choice((1, 1, 3, 3, 20, 64, 200)), ADDED_MOST - len(self._standing))
        if count > 0:
            yield Write(at, 0, tuple(self._new() for _ in range(count)))

    def _drop(self, at: float) -> Iterator[Write]:
        added = self._added()
        if added:
            count = min(self._choose.choice((1, 1, 3, len(added))), len(added))
            yield Write(at, 0, tuple(self._drop_one(name) for name in self._choose.sample(added, count)))

    def _add_again(self, at: float) -> Iterator[Write]:
        if self._dropped:
            item = self._dropped.pop(self._choose.randrange(len(self._dropped)))
            yield Write(at, 0, (self._to(item, Share(self._choose.choice(self._services))),))

    def _nest(self, at: float) -> Iterator[Write]:
        """A longer prefix over one that stands, and often its drop soon after."""
        below = self._any()
        if below.prefix.count("/") > 4:
            return
        item = self._new(f"{below.prefix}deep/", below.effectful)
        yield Write(at, 0, (item,))
        if self._choose.random() < 0.5:
            gap_s = self._choose.choice((0.05, 0.5, 3.0))
            yield Write(at + gap_s, 0, (self._drop_one(item.name),))

    def _rename(self, at: float) -> Iterator[Write]:
        """Dropped, and added under another name at the same prefix, in one call."""
        added = self._added()
        if added:
            item = self._standing[self._choose.choice(added)]
            drop = self._drop_one(item.name)
            self._dropped.remove(item)
            yield Write(at, 0, (drop, self._new(item.prefix, item.effectful, self._next())))

    def _fresh(self, at: float) -> Iterator[Write]:
        """A service that nobody knows yet, and a route to it, in one call."""
        self._made += 1
        item = self._any()
        yield Write(at, 0, (self._to(item, Share(f"fresh-{self._made}"), Share(self._services[0])),))

    def _rivals(self, at: float) -> Iterator[Write]:
        item = self._any()
        version, services = self._next(), self._choose.sample(self._services, 2)
        one, other = (
            RouteItem(item.name, version, item.prefix, (Share(service),), item.effectful)
            for service in services
        )
        self._standing[item.name] = one
        yield Write(at, 0, (one,), rival=(other,))

    def _invalid(self, at: float) -> Iterator[Write]:
        """Nothing of it may come into force, its proper items neither."""
        self._made += 1
        name = f"invalid-{self._made}"
        proper = RouteItem(name, self._next(), f"/{name}/", (Share(self._services[0]),))
        moved = self._any()
        other = RouteItem(
            moved.name, self._version, moved.prefix, (Share(self._others(moved)[0]),), moved.effectful
        )
        yield Write(at, 0, (proper, other), invalid=self._choose.choice(tuple(Invalid)))


class Troubles:
    """Draws what goes wrong."""

    def __init__(
        self, choose: random.Random, controllers: int, services: Sequence[str], relays: bool
    ) -> None:
        """``relays``: links can be in trouble."""
        self._choose, self._services = choose, services
        self._controllers = [f"controller-{at}" for at in range(controllers)]
        self._proxies = [f"proxy-{at}" for at in range(len(services))]
        self._relays = relays
        self._disk_lost_at = 0.0

    def phase(self, kind: Phase, at: float) -> Iterator[Event]:
        """A series of 1 to 20."""
        makers = {
            Phase.QUIET: (),
            Phase.PROXIES: (self._proxy_signal,),
            Phase.CONTROLLERS: (self._controller_signal, self._taker),
            Phase.HERD: (self._herd,),
            Phase.LINKS: (self._cut, self._degrade, self._reset),
            Phase.UPSTREAMS: (self._upstream,),
            Phase.SETTINGS: (self._settings,),
            Phase.MIXED: (
                *(self._proxy_signal, self._controller_signal, self._cut, self._degrade),
                *(self._upstream, self._settings, self._taker, self._replace),
            ),
        }[kind]
        if not makers:
            return
        count = 1 if kind is Phase.HERD else self._choose.choice((1, 1, 2, 3, 5, SERIES_MOST))
        gap_s = self._choose.choice((0.02, 0.2, 1.0))
        for number in range(count):
            event = self._choose.choice(makers)(at + number * gap_s)
            if event is not None:
                yield event

    def _may_lose_disk(self, at: float) -> bool:
        if at - self._disk_lost_at < DISK_LOSSES_APART_S:
            return False
        self._disk_lost_at = at
        return True

    def _some(self, names: Sequence[str]) -> tuple[str, ...]:
        count = self._choose.choice((1, 1, 1, 2, 3, len(names)))
        return tuple(self._choose.sample(list(names), min(count, len(names))))

    def _signal(self, at: float, names: Sequence[str]) -> Event:
        choose = self._choose
        kind = choose.choice(("kill", "term", "term", "freeze", "freeze"))
        nodes = self._some(names)
        if kind == "kill":
            return events.Kill(at, nodes, choose.choice((0.0, 0.3, 1.0, 4.0)))
        if kind == "freeze":
            return events.Freeze(at, nodes, choose.choice((0.2, 0.5, 0.7, 1.0, 2.0, 3.5)))
        again_s = choose.choice((0.0, 0.0, 0.001, 0.5, 5.0))
        hangup_s = choose.choice((0.0, 0.0, 0.002, 0.3, 6.2))
        return events.Terminate(
            at, nodes, choose.choice((0.0, 0.05, 0.9)), choose.choice((0.0, 0.3, 1.0)), again_s, hangup_s
        )

    def _proxy_signal(self, at: float) -> Event:
        return self._signal(at, self._proxies)

    def _controller_signal(self, at: float) -> Event:
        if self._choose.random() < 0.15 and self._may_lose_disk(at):
            node = self._choose.choice(self._controllers)
            return events.Kill(at, (node,), self._choose.choice((0.0, 0.3, 1.0)), wipe=(node,))
        return self._signal(at, self._controllers)

    def _taker(self, at: float) -> Event:
        wipe = self._choose.random() < 0.3 and self._may_lose_disk(at)
        return events.KillTaker(at, self._choose.choice((0.0, 0.3, 1.0)), wipe)

    def _herd(self, at: float) -> Event:
        names = self._choose.choice((self._proxies, self._controllers, [*self._proxies, *self._controllers]))
        wipe: tuple[str, ...] = ()
        if names is not self._proxies and self._choose.random() < 0.3 and self._may_lose_disk(at):
            wipe = (self._choose.choice(self._controllers),)
        return events.Kill(at, tuple(names), self._choose.choice((0.0, 0.3, 0.9)), wipe=wipe)

    def _cut(self, at: float) -> Event | None:
        if not self._relays:
            return None
        choose = self._choose
        sources = self._some(choose.choice((self._controllers, self._proxies)))
        targets = self._some(choose.choice((self._controllers, self._proxies)))
        return events.CutLinks(
            at, choose.choice((0.3, 0.8, 2.0, 4.5)), sources, targets, choose.random() < 0.5
        )

    def _degrade(self, at: float) -> Event | None:
        if not self._relays:
            return None
        choose = self._choose
        nodes = self._some([*self._controllers, *self._proxies])
        kind = choose.choice(("late", "narrow", "reset"))
        delay_ms = choose.choice((20.0, 100.0, 300.0)) if kind == "late" else 0.0
        bytes_s = choose.choice((4_000.0, 20_000.0, 100_000.0)) if kind == "narrow" else 0.0
        return events.DegradeLinks(
            at, choose.choice((1.0, 3.0, 6.0)), nodes, delay_ms, bytes_s, 0.05 if kind == "reset" else 0.0
        )

    def _reset(self, at: float) -> Event | None:
        return (
            events.ResetLinks(at, self._some([*self._controllers, *self._proxies])) if self._relays else None
        )

    def _upstream(self, at: float) -> Event:
        choose = self._choose
        place = choose.randrange(len(self._proxies))
        service = self._services[place] if choose.random() < 0.7 else choose.choice(self._services)
        planned, down_s = choose.random() < 0.5, choose.choice((0.0, 2.0, 3.0))
        late_s = choose.choice((0.0, 0.01, 0.3, 2.0))
        return events.EndUpstream(at, self._proxies[place], planned, down_s, service, late_s)

    def _settings(self, at: float) -> Event:
        choose = self._choose
        nodes = self._some([*self._controllers, *self._proxies])
        return events.Retune(
            at, nodes, choose.choice(tuple(Setting)), choose.random() < 0.7, choose.choice((1, 1, 3, 10))
        )

    def _replace(self, at: float) -> Event | None:
        if not self._may_lose_disk(at):
            return None
        return events.ReplaceController(
            at, self._choose.choice(self._controllers), self._choose.choice((0.0, 0.5, 2.0))
        )


def draw(
    seed: int,
    seconds: float,
    services: Sequence[str] = SMALL_SERVICES,
    controllers: int = 3,
    phases: Sequence[Phase] = tuple(Phase),
) -> Plan:
    """The plan of a seed; ``phases``: the kinds of trouble that it may hold."""
    choose = random.Random(seed)
    relays = choose.random() < 0.7
    routes = tuple(
        RouteItem(name, 1, f"/{name}/", (Share(service),), effectful)
        for name, service, effectful in FIRST_ROUTES
    )
    drawn: list[Event] = []
    writes = Writes(choose, services, routes)
    at = 0.5
    while at < seconds - 1.0:
        drawn += writes.draw(at, controllers)
        at += choose.expovariate(1.0 / WRITE_GAP_S)
    if choose.random() < 0.3:
        drawn.append(writes.large(choose.uniform(2.0, seconds - 4.0)))
    troubles = Troubles(choose, controllers, services, relays)
    at = choose.uniform(0.0, 4.0)
    while at < seconds - QUIET_END_S:
        drawn += troubles.phase(choose.choice(phases), at)
        at += choose.uniform(*PHASE_S)
    kept = [one for one in drawn if one.at < seconds]
    return Plan(
        seed,
        seconds,
        controllers,
        tuple(services),
        relays,
        routes,
        tuple(sorted(kept, key=lambda one: one.at)),
    )


def sized(size: Size, cores: int, memory_mb: float) -> tuple[Sequence[str], int]:
    """The services of the upstreams, one a proxy, and how many controllers, on a machine of so many cores and
    so much memory."""
    if size is Size.SMALL:
        return SMALL_SERVICES, 3
    fit = min(int(MEMORY_SHARE * memory_mb / PROCESS_MB), PROCESSES_MOST, PROCESSES_A_CORE * cores)
    proxies = max(fit - MACHINE_CONTROLLERS, len(SMALL_SERVICES))
    return tuple(SMALL_SERVICES[at % len(SMALL_SERVICES)] for at in range(proxies)), MACHINE_CONTROLLERS
