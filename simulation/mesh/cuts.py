"""Control machines that are cut off for 20 s, in virtual time, with writes and conflicting ones on both
sides, restarts, and what contact must never allow.

Many drawn ones: ``python -m benchmarks.contact_plays``.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Generator
from typing import Any

import simpy
from msgspec.structs import force_setattr

from mesh.configuration.commands import ConfigurationWrite, decode_change
from mesh.event_log.events import Event
from mesh.replication.items import Key
from mesh.replication.quorum_contact import OPEN_VOTE_SHARE, REPLY_VALID_SHARE, Proof
from mesh.runtime.settings import Settings
from mesh.transport.http_calls import Answer
from simulation.mesh.clock import LIFE
from simulation.mesh.wire import End
from simulation.mesh.world import Life, Machine, Script, World
from simulation.mesh.zones import ONE_ZONE, Zones

BOUND_S = 3.0 * REPLY_VALID_SHARE  # of contact
CUT_S = 20.0
LOOK_S = 0.02  # the monitor's; what it sees began that much earlier at most
AT_ONCE_S = 0.05  # within which one that is cut off answers
KNOWN_S = (
    1.0 + OPEN_VOTE_SHARE
) * BOUND_S + 0.4  # who is told that it has all lacks nothing acknowledged earlier
NEWEST_S = 3.0  # a sidecar has the newest so soon after one with contact can be reached
SURE_S = BOUND_S + 0.1  # a cut that has lasted so long is proven to the one that is cut off

Cut = Callable[["Cuts", Machine], Script]


def patch_body(name: str, version: int, horizon_ms: int) -> bytes:
    rule = {
        "name": name,
        "kind": "idempotent",
        "epoch": f"r{version}",
        "predicate": {"prefix": f"/{name}/"},
        "response": {"plant": "p", "horizon_ms": horizon_ms, "trials": 2},
    }
    plant = [{"name": "p", "epoch": "r1"}]
    return json.dumps(
        {"apply": {"input_ports": [{"host": "h", "control_law": [rule]}], "plant_groups": plant}}
    ).encode()


class Cuts(World):
    """``seeds_of``: other seeds than the founders, by machine; ``steps``: of the time of day, in seconds."""

    def __init__(self, zones: Zones = ONE_ZONE) -> None:
        super().__init__(zones=zones)
        self.steps: dict[str, float] = {}
        self.seeds_of: dict[str, list[Machine]] = {}
        self.told: list[tuple[float, str, Event, dict[str, Any]]] = []
        self.lost_at: dict[tuple[str, Proof], float] = {}  # since when a machine cannot have that proof
        self.ready: dict[str, tuple[Life, bool]] = {}
        self.answers: dict[int, int] = {}  # of calls to machines that were surely cut off, by status
        self.history: dict[Key, list[tuple[int, float]]] = {}  # versions acknowledged, and when
        self.inside: list[Machine] = []  # of a zone that is cut off; whoever comes is in or out by turns
        self.worst_newest_s = 0.0

    def _time(self) -> float:
        life = LIFE.get(None)
        return super()._time() + (self.steps.get(life.machine.name, 0.0) if life is not None else 0.0)

    def settings(self, machine: Machine, cold: bool) -> Settings:
        settings = super().settings(machine, cold)
        seeds = self.seeds_of.get(machine.name)
        if seeds is not None:
            force_setattr(settings, "seeds", tuple((seed.ip, 8146) for seed in seeds))
        return settings

    def dress(self, life: Life) -> None:
        def record_event(event: Event, /, **values: Any) -> None:
            self.told.append((float(self.env.now), life.machine.name, event, values))

        life.program.event_log.emit = record_event

    def say(self, line: str) -> None:
        self.witness.broken.append(f"{self.env.now:.3f} {line}")

    # What a machine could prove at best

    def possible(self, machine: Machine) -> Proof:
        """By the paths and processes as they are now."""
        program, now = machine.program, self.env.now
        if program is None or machine.life is None or machine.life.frozen_until > now:
            return Proof.NONE
        reached = {
            other.ip
            for other, there in self.programs(core=True)
            if there.disk_writer.complete
            and (other is machine or not self.wire.parted(machine.ip, other.ip))
            and other.life is not None
            and other.life.frozen_until <= now
        }
        view = program.member_set.view()
        if not view.overlaps(reached, self.tolerance):
            return Proof.NONE
        return Proof.ORDERS if view.durable(reached, self.tolerance) else Proof.READS

    def monitor(self) -> Generator[simpy.Event, Any, None]:
        while True:
            now = float(self.env.now)
            for machine, program in self.programs(core=True):
                best = self.possible(machine)
                for proof in (Proof.READS, Proof.ORDERS):
                    if best >= proof:
                        self.lost_at.pop((machine.name, proof), None)
                    elif self.sure(machine, proof) and program.contact_probes.proof() >= proof:
                        self.say(f"{machine.name} still has {proof.name}, cut off for {BOUND_S:g} s")
                    else:
                        self.lost_at.setdefault((machine.name, proof), now)
                if self.sure(machine, Proof.ORDERS, 1.2) and program.node_reaper._held_epoch:
                    if machine.life is not None and machine.life.frozen_until <= now - 1.2:
                        self.say(f"{machine.name} keeps its lease, cut off")
            for machine, program in self.programs(core=False):
                self._sidecar(machine, program, now)
            yield self.env.timeout(LOOK_S)

    def sure(self, machine: Machine, proof: Proof, more_s: float = 0.0) -> bool:
        since = self.lost_at.get((machine.name, proof))
        return since is not None and self.env.now - since > SURE_S + more_s

    def _sidecar(self, machine: Machine, program: Any, now: float) -> None:
        """Who is ready for the first time, or told now that it has all, has all that was acknowledged."""
        life, before = machine.life, self.ready.get(machine.name)
        assert life is not None
        was = before is not None and before[0] is life and before[1]
        is_ready = program.configured()
        if was and not is_ready:
            self.say(f"{machine.name} is not ready any more")
        self.ready[machine.name] = (life, is_ready)
        program.channels.complete_within(0.0)
        if (is_ready and not was) or now - program.channels.last_complete_at <= LOOK_S:
            what = "begins with" if not was else "is told that it has all, with"
            for key, acked in self.history.items():
                held = program.config_store.items.get(key)
                have = held.version if held is not None else 0
                late = [(version, at) for version, at in acked if version > have and at < now - KNOWN_S]
                if late:
                    version, at = late[0]
                    self.say(f"{machine.name} {what} {key[1]} r{have}, r{version} acknowledged at {at:.3f}")

    # Calls

    def call(self, machine: Machine, method: bytes, body: bytes = b"") -> Script:
        wanted = Proof.READS if method == b"GET" else Proof.ORDERS
        began, life = float(self.env.now), machine.life
        cut = self.sure(machine, wanted)
        since = self.lost_at.get((machine.name, wanted))
        answer: Answer | None = yield from super().call(machine, method, body)
        if method == b"PATCH" and answer is not None and answer.status == 200:
            change = decode_change(body)
            assert isinstance(change, ConfigurationWrite)
            for write in change.writes:
                acked = self.history.setdefault((write.kind, write.name), [])
                acked.append((write.version, float(self.env.now)))
        frozen = life is None or life.frozen_until > began
        if not cut or life is None or life is not machine.life or not life.alive or frozen:
            return answer
        if since != self.lost_at.get((machine.name, wanted)):
            return answer
        status = answer.status if answer is not None else 0
        self.answers[status] = self.answers.get(status, 0) + 1
        if status not in (503, 307):
            self.say(f"{machine.name} is cut off and answers {method.decode()} with {status}")
        elif self.env.now - began > AT_ONCE_S:
            self.say(f"{machine.name} is cut off and takes {self.env.now - began:.2f} s to say so")
        return answer

    def apart(self, inside: list[Machine]) -> None:
        self.inside = inside
        self.cut(inside, [machine for machine in self.machines.values() if machine not in inside])

    def heal(self) -> None:
        self.inside = []
        super().heal()

    # What goes on meanwhile

    def repeat_writes(self, at: Machine, name: str, every_s: float, draw: random.Random) -> Script:
        """One operator, with writes to this machine alone, each repeated until it is accepted or too old."""
        version = 1
        while True:
            version += 1
            body = patch_body(name, version, 500 + version)
            for _ in range(4):
                answer = yield from self.patch(at, body)
                if answer is not None and answer.status < 500:
                    if answer.status >= 400:
                        self.say(f"{at.name} answers {name} r{version} with {answer.status}")
                    break
                yield self.env.timeout(every_s * draw.uniform(0.5, 1.5))
            yield from self.get(at)
            yield self.env.timeout(every_s * draw.uniform(0.5, 1.5))

    def races(self, one: Machine, other: Machine, every_s: float, draw: random.Random) -> Script:
        """Two writes of one number, to both sides at once, a few milliseconds apart."""
        version = 1
        while True:
            version += 1
            first = self.env.process(self.patch(one, patch_body("race", version, 700)))
            yield self.env.timeout(draw.uniform(0.0, 0.02))
            yield first & self.env.process(self.patch(other, patch_body("race", version, 900)))
            yield self.env.timeout(every_s * draw.uniform(0.5, 1.5))

    def beginners(self, seeds: list[Machine], every_s: float, draw: random.Random) -> Script:
        """Lives that begin, whose seeds begin with the one that is cut off: new ones, and ones that were."""
        count = 0
        while True:
            yield self.env.timeout(every_s * draw.uniform(0.3, 1.7))
            sides = [machine for machine in self.machines.values() if not machine.core]
            if draw.random() < 0.5 or count >= 3:
                machine = draw.choice(sides)
                self.seeds_of[machine.name] = seeds
                self.kill(machine)
                self.restart(machine)
            else:
                count += 1
                machine = self.add(f"n{count}", f"10.0.2.{count}", core=False)
                self.seeds_of[machine.name] = seeds
                if self.inside:
                    self.inside += [machine] if count % 2 else []
                    self.apart(self.inside)
                self.trouble()  # it may take its time to hear of what was acknowledged just before
                self.start(machine)

    def takes_the_newest(self) -> Script:
        """From now on one with contact can be reached from everywhere."""
        began, due = float(self.env.now), dict(self.witness.acked)
        sides = [m for m, p in self.programs(core=False) if m.life is not None and p.configured()]

        def lacks(machine: Machine) -> bool:
            program = machine.program
            if program is None or machine not in sides:
                return False
            return any(_lacks(program, key, version) for key, (version, _) in due.items())

        while any(lacks(machine) for machine in sides):
            if self.env.now - began > NEWEST_S:
                names = [machine.name for machine in sides if lacks(machine)]
                self.say(f"{names} lack what was acknowledged, {NEWEST_S:g} s after the cut")
                return
            yield self.env.timeout(LOOK_S)
        self.worst_newest_s = max(self.worst_newest_s, float(self.env.now) - began)


def _lacks(program: Any, key: Key, version: int) -> bool:
    held = program.config_store.items.get(key)
    return held is None or held.version < version


# Cuts: each begins one and returns once it is over, the world as it was


def others(world: Cuts, *ones: Machine) -> list[Machine]:
    return [machine for machine in world.controllers() if machine not in ones]


def one(world: Cuts, at: Machine) -> Script:
    world.cut([at], others(world, at))
    yield world.env.timeout(CUT_S)
    world.heal()


def out(world: Cuts, at: Machine) -> Script:
    """What it sends is lost, what it is sent arrives."""
    world.cut([at], others(world, at), both=False)
    yield world.env.timeout(CUT_S)
    world.heal()


def into(world: Cuts, at: Machine) -> Script:
    world.cut(others(world, at), [at], both=False)
    yield world.env.timeout(CUT_S)
    world.heal()


def zone(world: Cuts, at: Machine) -> Script:
    """It, and half of the sidecars, are cut off from all the rest."""
    sides = [machine for machine in world.machines.values() if not machine.core]
    world.apart([at, *sides[::2]])
    yield world.env.timeout(CUT_S)
    world.heal()


def turns(world: Cuts, at: Machine) -> Script:
    cores = world.controllers()
    for machine in (at, cores[(cores.index(at) + 1) % len(cores)]):
        world.cut([machine], others(world, machine))
        yield world.env.timeout(CUT_S / 2)
        world.heal()
        yield from world.takes_the_newest()


def restart(world: Cuts, at: Machine) -> Script:
    """It is restarted within the cut, then the others, one after the other."""
    world.cut([at], others(world, at))
    for machine in (at, *others(world, at)):
        yield world.env.timeout(4.0)
        world.kill(machine)
        world.restart(machine)
    yield world.env.timeout(CUT_S - 4.0 * len(world.controllers()))
    world.heal()


def frozen(world: Cuts, at: Machine) -> Script:
    world.freeze(at, CUT_S)
    yield world.env.timeout(CUT_S)


def clocks(world: Cuts, at: Machine) -> Script:
    """The times of day step, at the one that is cut off and at another."""
    world.cut([at], others(world, at))
    for machine, step_s in ((at, 3600.0), (others(world, at)[0], -3600.0)):
        yield world.env.timeout(CUT_S / 3)
        world.steps[machine.name] = step_s
    yield world.env.timeout(CUT_S / 3)
    world.heal()


def halves(world: Cuts, at: Machine) -> Script:
    cores = world.controllers()
    other_half = others(world, at)[: len(cores) // 2]
    sides = [machine for machine in world.machines.values() if not machine.core]
    world.apart([*[machine for machine in cores if machine not in other_half], *sides[::2]])
    yield world.env.timeout(CUT_S)
    world.heal()


CUTS: dict[str, Cut] = {
    cut.__name__: cut for cut in (one, out, into, zone, turns, restart, frozen, clocks, halves)
}


def play(
    name: str, cores: int, draw: random.Random, number: int = -1, zones: Zones = ONE_ZONE
) -> tuple[list[str], Cuts]:
    """One play: the cut begins at the numbered point, or with the last acknowledgement (number below 0)."""

    def script(world: World) -> Script:
        assert isinstance(world, Cuts)
        yield from world.boot(cores, 2)
        world.env.process(world.witness.watch())
        world.env.process(world.monitor())
        at = draw.choice(world.controllers())
        yield from world.commit([at], patch_body("last", 1, 800))
        across = draw.choice(others(world, at))
        struck = world.env.event()

        def strikes(_: World, life: Life, end: End | None) -> float | None:
            if not struck.triggered:
                struck.succeed()
            return 0.0

        world.counting, world.at, world.fault = True, number, strikes
        world.env.process(world.repeat_writes(at, "here", draw.uniform(0.1, 0.5), draw))
        world.env.process(world.repeat_writes(across, "there", draw.uniform(0.1, 0.5), draw))
        world.env.process(world.races(at, across, draw.uniform(0.2, 1.0), draw))
        if number >= 0:
            yield struck | world.env.timeout(2.0)
        world.env.process(world.beginners([at, across], draw.uniform(1.0, 4.0), draw))
        yield from CUTS[name](world, at)
        yield from world.takes_the_newest()
        yield world.env.timeout(3.0)

    with Cuts(zones) as world:
        broken = world.run(script)
        return broken, world


def drawn(seed: int, number: int, zones: Zones = ONE_ZONE) -> tuple[str, list[str], Cuts]:
    """A play of its own for each pair; the cut's name, and as `play`."""
    draw = random.Random(f"{seed}/{number}")
    name = draw.choice(sorted(CUTS))
    cores = draw.choice((2, 4)) if name == "halves" else draw.choice((3, 3, 5))
    return name, *play(name, cores, draw, draw.choice((-1, draw.randrange(400))), zones)
