"""Generates the plan of a seed: continuous configuration writes, and phases of faults that overlap them."""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence
from enum import Enum

from rigs.soak import plan as events
from rigs.soak.plan import DropItem, Event, InvalidWrite, Plan, RouteItem, SettingsChange, Share, Write

SMALL_SERVICES = ("red", "red", "blue", "green")
INITIAL_ROUTES = (("read", "red", False), ("list", "green", False), ("pay", "blue", True))
MAX_ROUTES = 600  # that exist at the same time
LARGE_WRITE_ROUTES = 1500
DISK_LOSS_GAP_S = 30.0  # one disk may be lost at a time; its data is restored within that time
FINAL_QUIET_S = 8.0  # without faults, before the final reads
PHASE_GAP_S = (5.0, 12.0)
MEAN_WRITE_GAP_S = 0.4
MAX_SERIES = 20
MEMORY_SHARE, MAX_PROCESS_MB = 0.5, 100.0  # share of the machine's memory; memory of one process
MAX_PROCESSES, MAX_PROCESSES_PER_CORE = 200, 4  # with more per core all are late just for their number
MACHINE_CONTROLLERS = 5


class Size(Enum):
    """How many processes a soak has."""

    SMALL = "small"
    MACHINE = "machine"


class Phase(Enum):
    """What kind of faults a phase has. The names are values of a command line option."""

    QUIET = "nothing"
    PROXIES = "signals to proxies"
    CONTROLLERS = "signals to controllers"
    HERD = "many at once"
    LINKS = "links between processes"
    UPSTREAMS = "upstreams end and come back"
    SETTINGS = "settings files change"
    MIXED = "all of them"


class WriteGenerator:
    """Draws configuration writes; tracks the routes that would result if all were accepted in order."""

    def __init__(self, rng: random.Random, services: Sequence[str], initial: Sequence[RouteItem]) -> None:
        """``initial``: the routes that exist from the start and are never dropped."""
        self._rng, self._services = rng, sorted(set(services))
        self._initial_names = [one.name for one in initial]
        self._routes: dict[str, RouteItem] = {one.name: one for one in initial}
        self._dropped: list[RouteItem] = []
        self._version, self._name_count = 1, 0
        self._weighted_kinds = (
            (self._reroute, 8),
            (self._split, 2),
            (self._series, 3),
            (self._add, 5),
            (self._drop, 4),
            (self._restore, 2),
            (self._add_nested, 3),
            (self._rename, 2),
            (self._new_service, 1),
            (self._conflicting, 3),
            (self._invalid, 2),
        )

    def draw(self, at: float, controllers: int) -> Iterator[Write]:
        """Yields the next write, or several in quick succession."""
        (kind,) = self._rng.choices(
            [kind for kind, _ in self._weighted_kinds], [weight for _, weight in self._weighted_kinds]
        )
        for write in kind(at):
            to = self._rng.randrange(controllers)
            again = self._rng.random() < 0.2
            yield Write(write.at, to, write.items, write.rival, again, write.invalid)

    def large(self, at: float) -> events.AddManyRoutes:
        """Returns a write of very many routes."""
        return events.AddManyRoutes(at, 0, LARGE_WRITE_ROUTES, self._next_version(), self._services[0])

    def _next_version(self) -> int:
        self._version += self._rng.randint(1, 4)
        return self._version

    def _new_route(self, prefix: str = "", effectful: bool | None = None, version: int = 0) -> RouteItem:
        self._name_count += 1
        name = f"added-{self._name_count}"
        if effectful is None:
            effectful = self._rng.random() < 0.3
        share = (Share(self._rng.choice(self._services)),)
        item = RouteItem(name, version or self._next_version(), prefix or f"/{name}/", share, effectful)
        self._routes[name] = item
        return item

    def _drop_route(self, name: str) -> DropItem:
        self._dropped.append(self._routes.pop(name))
        return DropItem(name, self._next_version())

    def _added_names(self) -> list[str]:
        return [name for name in self._routes if name not in self._initial_names]

    def _with_shares(self, item: RouteItem, *shares: Share) -> RouteItem:
        changed = RouteItem(item.name, self._next_version(), item.prefix, shares, item.effectful)
        self._routes[item.name] = changed
        return changed

    def _other_services(self, item: RouteItem) -> list[str]:
        current = {share.service for share in item.shares}
        return [service for service in self._services if service not in current] or list(self._services)

    def _any_route(self) -> RouteItem:
        names = self._initial_names if self._rng.random() < 0.5 else list(self._routes)
        return self._routes[self._rng.choice(names)]

    def _reroute(self, at: float) -> Iterator[Write]:
        item = self._any_route()
        yield Write(at, 0, (self._with_shares(item, Share(self._rng.choice(self._other_services(item)))),))

    def _split(self, at: float) -> Iterator[Write]:
        item, two = self._any_route(), self._rng.sample(self._services, 2)
        weight = self._rng.choice((10, 50, 90))
        yield Write(at, 0, (self._with_shares(item, Share(two[0], weight), Share(two[1], 100 - weight)),))

    def _series(self, at: float) -> Iterator[Write]:
        """Changes one route four times in a row."""
        item, gap_s = self._any_route(), self._rng.choice((0.0, 0.02, 0.3))
        for number in range(4):
            item = self._with_shares(item, Share(self._rng.choice(self._other_services(item))))
            yield Write(at + number * gap_s, 0, (item,))

    def _add(self, at: float) -> Iterator[Write]:
        count = min(self._rng.choice((1, 1, 3, 3, 20, 64, 200)), MAX_ROUTES - len(self._routes))
        if count > 0:
            yield Write(at, 0, tuple(self._new_route() for _ in range(count)))

    def _drop(self, at: float) -> Iterator[Write]:
        added = self._added_names()
        if added:
            count = min(self._rng.choice((1, 1, 3, len(added))), len(added))
            yield Write(at, 0, tuple(self._drop_route(name) for name in self._rng.sample(added, count)))

    def _restore(self, at: float) -> Iterator[Write]:
        """Adds a dropped route again."""
        if self._dropped:
            item = self._dropped.pop(self._rng.randrange(len(self._dropped)))
            yield Write(at, 0, (self._with_shares(item, Share(self._rng.choice(self._services))),))

    def _add_nested(self, at: float) -> Iterator[Write]:
        """Adds a route with a longer prefix below an existing one, and often drops it soon after."""
        parent = self._any_route()
        if parent.prefix.count("/") > 4:
            return
        item = self._new_route(f"{parent.prefix}deep/", parent.effectful)
        yield Write(at, 0, (item,))
        if self._rng.random() < 0.5:
            gap_s = self._rng.choice((0.05, 0.5, 3.0))
            yield Write(at + gap_s, 0, (self._drop_route(item.name),))

    def _rename(self, at: float) -> Iterator[Write]:
        """Drops a route and adds one of another name with the same prefix, in one call."""
        added = self._added_names()
        if added:
            item = self._routes[self._rng.choice(added)]
            drop = self._drop_route(item.name)
            self._dropped.remove(item)
            yield Write(at, 0, (drop, self._new_route(item.prefix, item.effectful, self._next_version())))

    def _new_service(self, at: float) -> Iterator[Write]:
        """Adds an unknown service and a route to it in one call."""
        self._name_count += 1
        item = self._any_route()
        yield Write(
            at,
            0,
            (self._with_shares(item, Share(f"fresh-{self._name_count}"), Share(self._services[0])),),
        )

    def _conflicting(self, at: float) -> Iterator[Write]:
        item = self._any_route()
        version, services = self._next_version(), self._rng.sample(self._services, 2)
        one, other = (
            RouteItem(item.name, version, item.prefix, (Share(service),), item.effectful)
            for service in services
        )
        self._routes[item.name] = one
        yield Write(at, 0, (one,), rival=(other,))

    def _invalid(self, at: float) -> Iterator[Write]:
        """Nothing of this write may come into force, not even its valid items."""
        self._name_count += 1
        name = f"invalid-{self._name_count}"
        valid = RouteItem(name, self._next_version(), f"/{name}/", (Share(self._services[0]),))
        existing = self._any_route()
        other = RouteItem(
            existing.name,
            self._version,
            existing.prefix,
            (Share(self._other_services(existing)[0]),),
            existing.effectful,
        )
        yield Write(at, 0, (valid, other), invalid=self._rng.choice(tuple(InvalidWrite)))


class FaultGenerator:
    """Draws the faults that are injected."""

    def __init__(self, rng: random.Random, controllers: int, services: Sequence[str], relays: bool) -> None:
        """``relays``: whether faults can be injected into links."""
        self._rng, self._services = rng, services
        self._controllers = [f"controller-{at}" for at in range(controllers)]
        self._proxies = [f"proxy-{at}" for at in range(len(services))]
        self._relays = relays
        self._disk_lost_at = 0.0

    def phase(self, kind: Phase, at: float) -> Iterator[Event]:
        """Yields a series of 1 to MAX_SERIES faults."""
        makers = {
            Phase.QUIET: (),
            Phase.PROXIES: (self._proxy_signal,),
            Phase.CONTROLLERS: (self._controller_signal, self._kill_acknowledger),
            Phase.HERD: (self._kill_all,),
            Phase.LINKS: (self._cut, self._degrade, self._reset),
            Phase.UPSTREAMS: (self._replace_upstream,),
            Phase.SETTINGS: (self._change_settings,),
            Phase.MIXED: (
                *(self._proxy_signal, self._controller_signal, self._cut, self._degrade),
                *(
                    self._replace_upstream,
                    self._change_settings,
                    self._kill_acknowledger,
                    self._replace_controller,
                ),
            ),
        }[kind]
        if not makers:
            return
        count = 1 if kind is Phase.HERD else self._rng.choice((1, 1, 2, 3, 5, MAX_SERIES))
        gap_s = self._rng.choice((0.02, 0.2, 1.0))
        for number in range(count):
            event = self._rng.choice(makers)(at + number * gap_s)
            if event is not None:
                yield event

    def _may_lose_disk(self, at: float) -> bool:
        if at - self._disk_lost_at < DISK_LOSS_GAP_S:
            return False
        self._disk_lost_at = at
        return True

    def _some(self, names: Sequence[str]) -> tuple[str, ...]:
        count = self._rng.choice((1, 1, 1, 2, 3, len(names)))
        return tuple(self._rng.sample(list(names), min(count, len(names))))

    def _signal(self, at: float, names: Sequence[str]) -> Event:
        rng = self._rng
        kind = rng.choice(("kill", "term", "term", "freeze", "freeze"))
        nodes = self._some(names)
        if kind == "kill":
            return events.Kill(at, nodes, rng.choice((0.0, 0.3, 1.0, 4.0)))
        if kind == "freeze":
            return events.Freeze(at, nodes, rng.choice((0.2, 0.5, 0.7, 1.0, 2.0, 3.5)))
        again_s = rng.choice((0.0, 0.0, 0.001, 0.5, 5.0))
        hangup_s = rng.choice((0.0, 0.0, 0.002, 0.3, 6.2))
        return events.Terminate(
            at, nodes, rng.choice((0.0, 0.05, 0.9)), rng.choice((0.0, 0.3, 1.0)), again_s, hangup_s
        )

    def _proxy_signal(self, at: float) -> Event:
        return self._signal(at, self._proxies)

    def _controller_signal(self, at: float) -> Event:
        if self._rng.random() < 0.15 and self._may_lose_disk(at):
            node = self._rng.choice(self._controllers)
            return events.Kill(at, (node,), self._rng.choice((0.0, 0.3, 1.0)), wipe=(node,))
        return self._signal(at, self._controllers)

    def _kill_acknowledger(self, at: float) -> Event:
        wipe = self._rng.random() < 0.3 and self._may_lose_disk(at)
        return events.KillAcknowledger(at, self._rng.choice((0.0, 0.3, 1.0)), wipe)

    def _kill_all(self, at: float) -> Event:
        """Kills all proxies, all controllers, or both."""
        names = self._rng.choice((self._proxies, self._controllers, [*self._proxies, *self._controllers]))
        wipe: tuple[str, ...] = ()
        if names is not self._proxies and self._rng.random() < 0.3 and self._may_lose_disk(at):
            wipe = (self._rng.choice(self._controllers),)
        return events.Kill(at, tuple(names), self._rng.choice((0.0, 0.3, 0.9)), wipe=wipe)

    def _cut(self, at: float) -> Event | None:
        if not self._relays:
            return None
        rng = self._rng
        sources = self._some(rng.choice((self._controllers, self._proxies)))
        targets = self._some(rng.choice((self._controllers, self._proxies)))
        return events.CutLinks(at, rng.choice((0.3, 0.8, 2.0, 4.5)), sources, targets, rng.random() < 0.5)

    def _degrade(self, at: float) -> Event | None:
        if not self._relays:
            return None
        rng = self._rng
        nodes = self._some([*self._controllers, *self._proxies])
        kind = rng.choice(("delay", "throttle", "reset"))
        delay_ms = rng.choice((20.0, 100.0, 300.0)) if kind == "delay" else 0.0
        bytes_s = rng.choice((4_000.0, 20_000.0, 100_000.0)) if kind == "throttle" else 0.0
        return events.DegradeLinks(
            at, rng.choice((1.0, 3.0, 6.0)), nodes, delay_ms, bytes_s, 0.05 if kind == "reset" else 0.0
        )

    def _reset(self, at: float) -> Event | None:
        return (
            events.ResetLinks(at, self._some([*self._controllers, *self._proxies])) if self._relays else None
        )

    def _replace_upstream(self, at: float) -> Event:
        rng = self._rng
        index = rng.randrange(len(self._proxies))
        service = self._services[index] if rng.random() < 0.7 else rng.choice(self._services)
        planned, down_s = rng.random() < 0.5, rng.choice((0.0, 2.0, 3.0))
        late_s = rng.choice((0.0, 0.01, 0.3, 2.0))
        return events.ReplaceUpstream(at, self._proxies[index], planned, down_s, service, late_s)

    def _change_settings(self, at: float) -> Event:
        rng = self._rng
        nodes = self._some([*self._controllers, *self._proxies])
        return events.ChangeSettings(
            at, nodes, rng.choice(tuple(SettingsChange)), rng.random() < 0.7, rng.choice((1, 1, 3, 10))
        )

    def _replace_controller(self, at: float) -> Event | None:
        if not self._may_lose_disk(at):
            return None
        return events.ReplaceController(
            at, self._rng.choice(self._controllers), self._rng.choice((0.0, 0.5, 2.0))
        )


def generate_plan(
    seed: int,
    seconds: float,
    services: Sequence[str] = SMALL_SERVICES,
    controllers: int = 3,
    phases: Sequence[Phase] = tuple(Phase),
) -> Plan:
    """Returns the plan of a seed; ``phases``: the kinds of phases that it may contain."""
    rng = random.Random(seed)
    relays = rng.random() < 0.7
    routes = tuple(
        RouteItem(name, 1, f"/{name}/", (Share(service),), effectful)
        for name, service, effectful in INITIAL_ROUTES
    )
    drawn: list[Event] = []
    writes = WriteGenerator(rng, services, routes)
    at = 0.5
    while at < seconds - 1.0:
        drawn += writes.draw(at, controllers)
        at += rng.expovariate(1.0 / MEAN_WRITE_GAP_S)
    if rng.random() < 0.3:
        drawn.append(writes.large(rng.uniform(2.0, seconds - 4.0)))
    faults = FaultGenerator(rng, controllers, services, relays)
    at = rng.uniform(0.0, 4.0)
    while at < seconds - FINAL_QUIET_S:
        drawn += faults.phase(rng.choice(phases), at)
        at += rng.uniform(*PHASE_GAP_S)
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


def mesh_size(size: Size, cores: int, memory_mb: float) -> tuple[Sequence[str], int]:
    """Returns the services of the upstreams, one per proxy, and the number of controllers that fit a machine
    with these cores and this memory."""
    if size is Size.SMALL:
        return SMALL_SERVICES, 3
    fit = min(int(MEMORY_SHARE * memory_mb / MAX_PROCESS_MB), MAX_PROCESSES, MAX_PROCESSES_PER_CORE * cores)
    proxies = max(fit - MACHINE_CONTROLLERS, len(SMALL_SERVICES))
    return tuple(SMALL_SERVICES[at % len(SMALL_SERVICES)] for at in range(proxies)), MACHINE_CONTROLLERS
