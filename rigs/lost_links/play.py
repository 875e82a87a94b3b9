"""Real sidecars with a relay before each one's port for others, upstreams and clients, and a seeded script of
what goes wrong. It runs for a stated time and ends by itself.
"""

from __future__ import annotations

import asyncio
import math
import random
import resource
import signal
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

from rigs.lost_links.between import Between, let_go, reset_half
from rigs.lost_links.callers import LONGEST_FREEZE_S, Callers, Route
from rigs.lost_links.ledger import Ledger, Lost, Trouble
from rigs.lost_links.upstreams import Witness
from rigs.mesh_demo import FIRST_CONTROLLER_HOST, FIRST_PROXY_HOST, Mesh
from rigs.mesh_peers import Operator, free_ports, patch_body, polled, route
from rigs.relay import Faults

START_S = 30.0
RESTART_S = 20.0
TERM_S = 8.0  # beyond grace_s of the settings file
LOOK_S, STOOD_S = 0.05, 0.2  # between two looks; more between them, and this process stood still
ROUTES = [
    Route("/at-read/", "red", False),
    Route("/at-pay/", "red", True),
    Route("/at-list/", "blue", False),
    Route("/at-order/", "blue", True),
]
AIM_MS, HORIZON_MS = 400, 2500


@dataclass(frozen=True, slots=True)
class Size:
    proxies: int = 6
    connections: int = 12  # of clients, at each sidecar
    pause_s: float = 0.02  # between two batches of a connection
    capacity: int = 6
    broken: float = 1.0  # answers that are none, in multiples of what upstreams.WAYS says
    large: float = 0.0  # share of bodies, of requests and of answers, that are of 5 MiB
    every_s: tuple[float, float] = (0.2, 0.8)  # between two troubles
    without: tuple[str, ...] = ()  # guards that the sidecars lack


class Place:
    """One machine: a sidecar, the upstream beside it and the relay before it."""

    def __init__(self, at: int, service: str, relay: Between) -> None:
        self.at, self.service, self.relay = at, service, relay
        self.node = f"proxy-{at}"
        self.lives = 0  # of its upstream
        self.upstream: Witness | None = None
        self.busy = False  # something is being done to its processes


class Play:
    def __init__(self, folder: Path, size: Size, seed: int) -> None:
        self.folder, self.size = folder, size
        self.chance = random.Random(seed)
        self.ledger = Ledger()
        self.mesh = Mesh.create(folder, 1, size.proxies)
        (self.beside,) = free_ports(
            [f"{self.mesh.network}.{FIRST_PROXY_HOST + at}" for at in range(size.proxies)], 1
        )
        self.mesh.command = lambda program, _: (
            *("-m", "rigs.lost_links.hop", program, str(self.beside), str(folder)),
            *size.without,
        )
        self.callers = Callers(self.ledger, ROUTES, seed, size.pause_s, size.large)
        self.places: list[Place] = []
        self.done: Counter[str] = Counter()  # troubles
        self._tasks: set[asyncio.Task[None]] = set()
        self.faulted = ""  # a trouble that could not be carried out

    async def run(self, seconds: float, script: Sequence[str] | None = None) -> None:
        """Troubles for so long, drawn from ``script``, each name as often as it stands there; then none,
        until each call has its end. Raises TimeoutError where the mesh does not come up."""
        try:
            await self._start()
            watch = asyncio.get_running_loop().create_task(self._watch())
            self._tasks.add(watch)
            began = time.monotonic()
            while time.monotonic() - began < seconds:
                await asyncio.sleep(self.chance.uniform(*self.size.every_s))
                self._trouble(self.chance.choice(script or SCRIPT))
            for task in list(self._tasks - {watch}):
                await task
            await self.callers.end()
        except BaseException:
            print(self.mesh.log_tails(), file=sys.stderr)
            raise
        finally:
            await self._stop()
        self._read_lost()

    async def _start(self) -> None:
        size, net = self.size, self.mesh.network
        await self.mesh.start_controller(0)
        for at in range(size.proxies):
            ip = f"{net}.{FIRST_PROXY_HOST + at}"
            relay = Between(ip, self.beside, self.chance.getrandbits(32), at=(ip, self.mesh.ports[0]))
            place = Place(at, ("red", "blue")[at % 2], relay)
            self.places.append(place)
            await self._new_upstream(place)
            assert place.upstream is not None
            await self.mesh.start_proxy(at, place.upstream)
        operator = Operator([self.mesh.control(FIRST_CONTROLLER_HOST)])
        rules = [
            route(
                one.prefix.strip("/"),
                one.prefix,
                one.service,
                effectful=one.effectful,
                setpoint_ms=AIM_MS,
                horizon_ms=HORIZON_MS,
            )
            for one in ROUTES
        ]
        await operator.change(patch_body(*rules, services=("red", "blue")), START_S)
        for place in self.places:
            await polled(lambda at=place.at: self.mesh.is_ready(FIRST_PROXY_HOST + at), START_S)  # type: ignore[misc]
        for place in self.places:
            self.callers.add(place.at, self.mesh.outbound(FIRST_PROXY_HOST + place.at), size.connections)

    async def _new_upstream(self, place: Place) -> None:
        """Another life at the place's address; the one before it has ended."""
        port = 0
        if place.upstream is not None:
            port = place.upstream.address[1]
            place.upstream.close()
        place.lives += 1
        name = f"{place.service}-{place.at}-{place.lives}"
        upstream = Witness(
            self.ledger,
            place.node,
            name,
            place.service,
            self.chance.getrandbits(32),
            self.size.capacity,
            self.size.broken,
            self.size.large,
        )
        await upstream.start(f"{self.mesh.network}.{FIRST_PROXY_HOST + place.at}", port)
        place.upstream = upstream

    def _beats(self, place: Place) -> None:
        """Of the life that is there now, instead of those before it."""
        assert place.upstream is not None
        for task in [one for one in self.mesh.heartbeat_tasks if one.get_name() == str(place.at)]:
            task.cancel()
            self.mesh.heartbeat_tasks.discard(task)
        before = set(self.mesh.heartbeat_tasks)
        self.mesh.start_heartbeats(place.at, place.upstream)
        for task in self.mesh.heartbeat_tasks - before:
            task.set_name(str(place.at))

    async def _stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await self.mesh.stop()
        for place in self.places:
            place.relay.close()
            if place.upstream is not None:
                place.upstream.close()

    def _read_lost(self) -> None:
        for file in self.folder.glob("lost-*.txt"):
            for line in file.read_text().splitlines():
                key, peer, at, asked, why = line.split(" ", 4)
                self.ledger.lost.append(Lost(key, peer, float(at), asked == "1", why))

    async def _watch(self) -> None:
        """This process stands still itself where the machine is busy, and all links with it."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(LOOK_S)
            now = time.monotonic()
            if now - before > LOOK_S + STOOD_S:
                self.done["rig stood"] += 1
                self.ledger.troubles.append(Trouble("rig stood", None, before, now))

    # Troubles

    def _trouble(self, name: str) -> None:
        if name == "half":
            reset_half([place.relay for place in self.places], self.chance)
            self.done[name] += 1
            self.ledger.troubles.append(Trouble(name, None, time.monotonic(), time.monotonic()))
            return
        if name == "none":
            return
        free = [place for place in self.places if not place.busy]
        if len(free) <= len(self.places) - 2 and name in PROCESS:
            return  # two at once at the most
        if not free:
            return
        place = self.chance.choice(free)
        self.done[name] += 1
        task = asyncio.get_running_loop().create_task(self._bounded(name, place))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _bounded(self, name: str, place: Place) -> None:
        place.busy = True
        trouble = Trouble(name, place.at, time.monotonic(), math.inf)
        self.ledger.troubles.append(trouble)
        try:
            await TROUBLES[name](self, place)
        except (OSError, TimeoutError) as fault:
            self.faulted = f"{name} at {place.node}: {fault!r}"
        finally:
            place.busy, trouble.ended = False, time.monotonic()

    async def _reset(self, place: Place) -> None:
        for pair in place.relay.open():
            pair.reset()

    async def _while(self, place: Place, faults: Faults, seconds: float) -> None:
        place.relay.set_faults(faults)
        await asyncio.sleep(seconds)
        place.relay.set_faults(Faults())

    async def _silent(self, place: Place) -> None:
        await self._while(place, Faults(to_target=False, to_client=False), self.chance.uniform(0.2, 1.5))

    async def _silent_there(self, place: Place) -> None:
        await self._while(place, Faults(to_target=False), self.chance.uniform(0.2, 1.5))

    async def _silent_back(self, place: Place) -> None:
        await self._while(place, Faults(to_client=False), self.chance.uniform(0.2, 1.5))

    async def _slow(self, place: Place) -> None:
        late_ms = self.chance.uniform(20.0, 200.0)
        await self._while(place, Faults(delay_ms=late_ms, jitter_ms=late_ms), self.chance.uniform(0.5, 2.0))

    async def _resets(self, place: Place) -> None:
        await self._while(place, Faults(reset=0.1), self.chance.uniform(0.2, 1.0))

    async def _held(self, place: Place) -> None:
        """What is under way arrives when its link has long been given up, and asked after over the next."""
        there = self.chance.random() < 0.8
        held = place.relay.hold(there, not there or self.chance.random() < 0.5)
        await asyncio.sleep(self.chance.uniform(0.6, 2.5))
        let_go(held)

    async def _freeze(self, place: Place) -> None:
        process = self.mesh.processes[place.node]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.chance.choice((0.3, 0.5, 0.7, 1.0, 2.0, LONGEST_FREEZE_S)))
        with suppress(ProcessLookupError):
            process.send_signal(signal.SIGCONT)

    async def _kill(self, place: Place) -> None:
        await self.mesh.kill(place.node)
        await asyncio.sleep(self.chance.uniform(0.0, 1.0))
        await self._again(place)

    async def _term(self, place: Place) -> None:
        process = self.mesh.processes[place.node]
        process.terminate()
        try:
            await asyncio.wait_for(process.wait(), TERM_S)
        except TimeoutError:
            self.done["killed after term"] += 1
            await self.mesh.kill(place.node)
        await self._again(place)

    async def _upstream(self, place: Place) -> None:
        """It ends in the midst of its calls, and another life comes at the same address."""
        await self._new_upstream(place)
        self._beats(place)

    async def _replace(self, place: Place) -> None:
        """The machine ends, and its addresses are given to one of the other service."""
        assert place.upstream is not None
        place.upstream.close()
        if self.chance.random() < 0.5:
            self.mesh.processes[place.node].terminate()
            await asyncio.sleep(self.chance.uniform(0.0, 0.5))
        await self.mesh.kill(place.node)
        place.service = "blue" if place.service == "red" else "red"
        place.node = f"proxy-{place.at}-{place.lives + 1}"
        await self._new_upstream(place)
        self.mesh.write_proxy_settings(place.at, place.upstream)
        written = (self.folder / f"proxy-{place.at}.toml").read_text()
        (self.folder / f"{place.node}.toml").write_text(
            written.replace(f'"proxy-{place.at}"', f'"{place.node}"')
        )
        await self._again(place)

    async def _again(self, place: Place) -> None:
        """Its sidecar starts; the upstream beside it is the same, or a new one."""
        await self.mesh.restart(place.node, "data_plane")
        self._beats(place)
        await polled(lambda: self.mesh.is_ready(FIRST_PROXY_HOST + place.at), RESTART_S)


Deed = Callable[[Play, Place], Awaitable[None]]
PROCESS = frozenset({"freeze", "kill", "term", "replace"})
TROUBLES: dict[str, Deed] = {
    "reset": Play._reset,
    "resets": Play._resets,
    "silent": Play._silent,
    "silent there": Play._silent_there,
    "silent back": Play._silent_back,
    "slow": Play._slow,
    "held": Play._held,
    "freeze": Play._freeze,
    "kill": Play._kill,
    "term": Play._term,
    "upstream": Play._upstream,
    "replace": Play._replace,
}
OFTEN = ("reset", "resets", "silent", "silent there", "silent back", "slow", "held", "held", "freeze", "half")
SCRIPT = OFTEN * 2 + ("kill", "term", "upstream", "replace")


def cpu_s() -> float:
    """Of this process and of those it started that have ended."""
    own, children = resource.getrusage(resource.RUSAGE_SELF), resource.getrusage(resource.RUSAGE_CHILDREN)
    return own.ru_utime + own.ru_stime + children.ru_utime + children.ru_stime
