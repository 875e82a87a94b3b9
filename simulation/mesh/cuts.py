"""Checks of contact while controllers are cut off for 20 s (random plays: `benchmarks.contact_plays`)."""

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
from mesh.replication.quorum_contact import OPEN_VOTE_SHARE, REPLY_VALID_SHARE, ContactLevel
from mesh.runtime.settings import Settings
from mesh.transport.http_calls import Answer
from simulation.mesh.clock import CURRENT_INCARNATION
from simulation.mesh.wire import ConnectionEnd
from simulation.mesh.world import Incarnation, Machine, Script, World
from simulation.mesh.zones import ONE_ZONE, ZoneLayout

CONTACT_BOUND_S = 3.0 * REPLY_VALID_SHARE  # time without replies after which contact is lost
PARTITION_S = 20.0
MONITOR_INTERVAL_S = 0.02  # the monitor may see a change this much later than it occurs
MAX_REFUSAL_S = 0.05  # a controller that is cut off must refuse a call within this time
# A proxy told that it has everything must have all that was acknowledged longer ago than this.
MAX_STALENESS_S = (1.0 + OPEN_VOTE_SHARE) * CONTACT_BOUND_S + 0.4
CATCH_UP_S = 3.0  # a proxy that can reach a controller with contact has the newest items within this time
CONTACT_LOST_S = CONTACT_BOUND_S + 0.1  # a controller that has been cut off for this long knows it

PartitionScenario = Callable[["PartitionWorld", Machine], Script]


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


class PartitionWorld(World):
    """``seeds_by_machine`` replaces the founders as seeds; ``clock_steps`` shifts wall clocks, in seconds."""

    def __init__(self, zones: ZoneLayout = ONE_ZONE) -> None:
        super().__init__(zones=zones)
        self.clock_steps: dict[str, float] = {}
        self.seeds_by_machine: dict[str, list[Machine]] = {}
        self.logged_events: list[tuple[float, str, Event, dict[str, Any]]] = []
        # Since when a machine cannot have that level
        self.level_lost_at: dict[tuple[str, ContactLevel], float] = {}
        self.ready: dict[str, tuple[Incarnation, bool]] = {}
        self.answers_by_status: dict[int, int] = {}  # of machines that had certainly lost contact
        self.acknowledged_versions: dict[Key, list[tuple[int, float]]] = {}  # and when
        self.isolated: list[Machine] = []  # the cut-off group; machines added later join either side in turn
        self.max_catch_up_s = 0.0

    def _time(self) -> float:
        current = CURRENT_INCARNATION.get(None)
        return super()._time() + (
            self.clock_steps.get(current.machine.name, 0.0) if current is not None else 0.0
        )

    def settings(self, machine: Machine, cold: bool) -> Settings:
        settings = super().settings(machine, cold)
        seeds = self.seeds_by_machine.get(machine.name)
        if seeds is not None:
            force_setattr(settings, "seeds", tuple((seed.ip, 8146) for seed in seeds))
        return settings

    def instrument(self, incarnation: Incarnation) -> None:
        def record_event(event: Event, /, **values: Any) -> None:
            self.logged_events.append((float(self.env.now), incarnation.machine.name, event, values))

        incarnation.program.event_log.emit = record_event

    def report(self, line: str) -> None:
        self.checker.violations.append(f"{self.env.now:.3f} {line}")

    # The strongest level of contact that a machine could have

    def best_possible_level(self, machine: Machine) -> ContactLevel:
        """Judged by the current network paths and running processes."""
        program, now = machine.program, self.env.now
        if program is None or machine.incarnation is None or machine.incarnation.frozen_until > now:
            return ContactLevel.NONE
        reached = {
            other.ip
            for other, there in self.programs(controllers=True)
            if there.disk_writer.complete
            and (other is machine or not self.network.is_partitioned(machine.ip, other.ip))
            and other.incarnation is not None
            and other.incarnation.frozen_until <= now
        }
        view = program.member_set.view()
        if not view.overlaps(reached, self.tolerance):
            return ContactLevel.NONE
        return ContactLevel.WRITES if view.durable(reached, self.tolerance) else ContactLevel.READS

    def monitor(self) -> Generator[simpy.Event, Any, None]:
        while True:
            now = float(self.env.now)
            for machine, program in self.programs(controllers=True):
                best = self.best_possible_level(machine)
                for level in (ContactLevel.READS, ContactLevel.WRITES):
                    if best >= level:
                        self.level_lost_at.pop((machine.name, level), None)
                    elif self.has_lost(machine, level) and program.contact_probes.level() >= level:
                        self.report(f"{machine.name} has {level.name}, cut off for {CONTACT_BOUND_S:g} s")
                    else:
                        self.level_lost_at.setdefault((machine.name, level), now)
                if self.has_lost(machine, ContactLevel.WRITES, 1.2) and program.node_reaper._held_epoch:
                    if machine.incarnation is not None and machine.incarnation.frozen_until <= now - 1.2:
                        self.report(f"{machine.name} keeps its lease while it is cut off")
            for machine, program in self.programs(controllers=False):
                self._check_proxy(machine, program, now)
            yield self.env.timeout(MONITOR_INTERVAL_S)

    def has_lost(self, machine: Machine, level: ContactLevel, more_s: float = 0.0) -> bool:
        since = self.level_lost_at.get((machine.name, level))
        return since is not None and self.env.now - since > CONTACT_LOST_S + more_s

    def _check_proxy(self, machine: Machine, program: Any, now: float) -> None:
        """A proxy that becomes ready, or was just told that it has everything, must have all acknowledged
        writes."""
        incarnation, before = machine.incarnation, self.ready.get(machine.name)
        assert incarnation is not None
        was = before is not None and before[0] is incarnation and before[1]
        is_ready = program.configured()
        if was and not is_ready:
            self.report(f"{machine.name} is no longer ready")
        self.ready[machine.name] = (incarnation, is_ready)
        program.channels.complete_within(0.0)
        if (is_ready and not was) or now - program.channels.last_complete_at <= MONITOR_INTERVAL_S:
            what = "becomes ready with" if not was else "is told that it is up to date with"
            for key, acked in self.acknowledged_versions.items():
                held = program.config_store.items.get(key)
                have = held.version if held is not None else 0
                missing = [(v, at) for v, at in acked if v > have and at < now - MAX_STALENESS_S]
                if missing:
                    version, at = missing[0]
                    self.report(
                        f"{machine.name} {what} {key[1]} r{have}, r{version} was acknowledged {at:.3f}"
                    )

    # Operator calls

    def operator_call(self, machine: Machine, method: bytes, body: bytes = b"") -> Script:
        wanted = ContactLevel.READS if method == b"GET" else ContactLevel.WRITES
        began, called = float(self.env.now), machine.incarnation
        cut = self.has_lost(machine, wanted)
        since = self.level_lost_at.get((machine.name, wanted))
        answer: Answer | None = yield from super().operator_call(machine, method, body)
        if method == b"PATCH" and answer is not None and answer.status == 200:
            change = decode_change(body)
            assert isinstance(change, ConfigurationWrite)
            for write in change.writes:
                acked = self.acknowledged_versions.setdefault((write.kind, write.name), [])
                acked.append((write.version, float(self.env.now)))
        frozen = called is None or called.frozen_until > began
        if not cut or called is None or called is not machine.incarnation or not called.alive or frozen:
            return answer
        if since != self.level_lost_at.get((machine.name, wanted)):
            return answer
        status = answer.status if answer is not None else 0
        self.answers_by_status[status] = self.answers_by_status.get(status, 0) + 1
        if status not in (503, 307):
            self.report(f"{machine.name} is cut off and answers {method.decode()} with {status}")
        elif self.env.now - began > MAX_REFUSAL_S:
            self.report(f"{machine.name} is cut off and takes {self.env.now - began:.2f} s to refuse")
        return answer

    def isolate(self, inside: list[Machine]) -> None:
        self.isolated = inside
        self.partition(inside, [machine for machine in self.machines.values() if machine not in inside])

    def heal(self) -> None:
        self.isolated = []
        super().heal()

    # Load during the partition

    def repeat_writes(self, at: Machine, name: str, every_s: float, rng: random.Random) -> Script:
        """An operator sends writes to this machine alone and repeats each until it is accepted or
        superseded."""
        version = 1
        while True:
            version += 1
            body = patch_body(name, version, 500 + version)
            for _ in range(4):
                answer = yield from self.patch(at, body)
                if answer is not None and answer.status < 500:
                    if answer.status >= 400:
                        self.report(f"{at.name} answers {name} r{version} with {answer.status}")
                    break
                yield self.env.timeout(every_s * rng.uniform(0.5, 1.5))
            yield from self.get(at)
            yield self.env.timeout(every_s * rng.uniform(0.5, 1.5))

    def race_writes(self, one: Machine, other: Machine, every_s: float, rng: random.Random) -> Script:
        """Two different writes of one version, sent to both sides a few milliseconds apart."""
        version = 1
        while True:
            version += 1
            first = self.env.process(self.patch(one, patch_body("race", version, 700)))
            yield self.env.timeout(rng.uniform(0.0, 0.02))
            yield first & self.env.process(self.patch(other, patch_body("race", version, 900)))
            yield self.env.timeout(every_s * rng.uniform(0.5, 1.5))

    def start_new_proxies(self, seeds: list[Machine], every_s: float, rng: random.Random) -> Script:
        """Starts new proxies and restarts old ones, with the cut-off controller as the first of their
        seeds."""
        count = 0
        while True:
            yield self.env.timeout(every_s * rng.uniform(0.3, 1.7))
            proxies = [machine for machine in self.machines.values() if not machine.is_controller]
            if rng.random() < 0.5 or count >= 3:
                machine = rng.choice(proxies)
                self.seeds_by_machine[machine.name] = seeds
                self.kill(machine)
                self.restart(machine)
            else:
                count += 1
                machine = self.add(f"n{count}", f"10.0.2.{count}", controller=False)
                self.seeds_by_machine[machine.name] = seeds
                if self.isolated:
                    self.isolated += [machine] if count % 2 else []
                    self.isolate(self.isolated)
                self.note_disturbance()  # a new proxy may lack what was acknowledged just before it started
                self.start(machine)

    def wait_for_catch_up(self) -> Script:
        """From now on each proxy can reach a controller with contact, and must catch up in time."""
        began, due = float(self.env.now), dict(self.checker.acknowledged)
        proxies = [
            m for m, p in self.programs(controllers=False) if m.incarnation is not None and p.configured()
        ]

        def lacks(machine: Machine) -> bool:
            program = machine.program
            if program is None or machine not in proxies:
                return False
            return any(_lacks_version(program, key, version) for key, (version, _) in due.items())

        while any(lacks(machine) for machine in proxies):
            if self.env.now - began > CATCH_UP_S:
                names = [machine.name for machine in proxies if lacks(machine)]
                self.report(f"{names} lack acknowledged writes {CATCH_UP_S:g} s after the partition")
                return
            yield self.env.timeout(MONITOR_INTERVAL_S)
        self.max_catch_up_s = max(self.max_catch_up_s, float(self.env.now) - began)


def _lacks_version(program: Any, key: Key, version: int) -> bool:
    held = program.config_store.items.get(key)
    return held is None or held.version < version


# Each scenario creates a partition and returns when it is healed.


def other_controllers(world: PartitionWorld, *ones: Machine) -> list[Machine]:
    return [machine for machine in world.controllers() if machine not in ones]


def isolate_controller(world: PartitionWorld, at: Machine) -> Script:
    world.partition([at], other_controllers(world, at))
    yield world.env.timeout(PARTITION_S)
    world.heal()


def drop_outgoing(world: PartitionWorld, at: Machine) -> Script:
    """Its outgoing frames are lost, incoming frames arrive."""
    world.partition([at], other_controllers(world, at), both_ways=False)
    yield world.env.timeout(PARTITION_S)
    world.heal()


def drop_incoming(world: PartitionWorld, at: Machine) -> Script:
    world.partition(other_controllers(world, at), [at], both_ways=False)
    yield world.env.timeout(PARTITION_S)
    world.heal()


def isolate_zone(world: PartitionWorld, at: Machine) -> Script:
    """Cuts the controller and half of the proxies off from all other machines."""
    proxies = [machine for machine in world.machines.values() if not machine.is_controller]
    world.isolate([at, *proxies[::2]])
    yield world.env.timeout(PARTITION_S)
    world.heal()


def isolate_two_in_turn(world: PartitionWorld, at: Machine) -> Script:
    controllers = world.controllers()
    for machine in (at, controllers[(controllers.index(at) + 1) % len(controllers)]):
        world.partition([machine], other_controllers(world, machine))
        yield world.env.timeout(PARTITION_S / 2)
        world.heal()
        yield from world.wait_for_catch_up()


def restart_while_cut_off(world: PartitionWorld, at: Machine) -> Script:
    """Restarts the controller while it is cut off, then each of the others."""
    world.partition([at], other_controllers(world, at))
    for machine in (at, *other_controllers(world, at)):
        yield world.env.timeout(4.0)
        world.kill(machine)
        world.restart(machine)
    yield world.env.timeout(PARTITION_S - 4.0 * len(world.controllers()))
    world.heal()


def freeze_controller(world: PartitionWorld, at: Machine) -> Script:
    world.freeze(at, PARTITION_S)
    yield world.env.timeout(PARTITION_S)


def step_clocks(world: PartitionWorld, at: Machine) -> Script:
    """Steps the wall clocks of the isolated controller and of another one."""
    world.partition([at], other_controllers(world, at))
    for machine, step_s in ((at, 3600.0), (other_controllers(world, at)[0], -3600.0)):
        yield world.env.timeout(PARTITION_S / 3)
        world.clock_steps[machine.name] = step_s
    yield world.env.timeout(PARTITION_S / 3)
    world.heal()


def cut_in_halves(world: PartitionWorld, at: Machine) -> Script:
    controllers = world.controllers()
    other_half = other_controllers(world, at)[: len(controllers) // 2]
    proxies = [machine for machine in world.machines.values() if not machine.is_controller]
    world.isolate([*[machine for machine in controllers if machine not in other_half], *proxies[::2]])
    yield world.env.timeout(PARTITION_S)
    world.heal()


PARTITIONS: dict[str, PartitionScenario] = {
    "one": isolate_controller,
    "out": drop_outgoing,
    "into": drop_incoming,
    "zone": isolate_zone,
    "turns": isolate_two_in_turn,
    "restart": restart_while_cut_off,
    "frozen": freeze_controller,
    "clocks": step_clocks,
    "halves": cut_in_halves,
}


def run_play(
    name: str, controllers: int, rng: random.Random, number: int = -1, zones: ZoneLayout = ONE_ZONE
) -> tuple[list[str], PartitionWorld]:
    """One play; the partition begins at a numbered fault point, or after the last acknowledgement (-1)."""

    def script(world: World) -> Script:
        assert isinstance(world, PartitionWorld)
        yield from world.boot(controllers, 2)
        world.env.process(world.checker.watch())
        world.env.process(world.monitor())
        at = rng.choice(world.controllers())
        yield from world.commit([at], patch_body("last", 1, 800))
        across = rng.choice(other_controllers(world, at))
        fault_point_reached = world.env.event()

        def mark_reached(_: World, incarnation: Incarnation, end: ConnectionEnd | None) -> float | None:
            if not fault_point_reached.triggered:
                fault_point_reached.succeed()
            return 0.0

        world.recording_points, world.fault_index, world.fault = True, number, mark_reached
        world.env.process(world.repeat_writes(at, "here", rng.uniform(0.1, 0.5), rng))
        world.env.process(world.repeat_writes(across, "there", rng.uniform(0.1, 0.5), rng))
        world.env.process(world.race_writes(at, across, rng.uniform(0.2, 1.0), rng))
        if number >= 0:
            yield fault_point_reached | world.env.timeout(2.0)
        world.env.process(world.start_new_proxies([at, across], rng.uniform(1.0, 4.0), rng))
        yield from PARTITIONS[name](world, at)
        yield from world.wait_for_catch_up()
        yield world.env.timeout(3.0)

    with PartitionWorld(zones) as world:
        broken = world.run(script)
        return broken, world


def run_drawn(seed: int, number: int, zones: ZoneLayout = ONE_ZONE) -> tuple[str, list[str], PartitionWorld]:
    """A play that depends only on seed and number: its scenario, and the results of `run_play`."""
    rng = random.Random(f"{seed}/{number}")
    name = rng.choice(sorted(PARTITIONS))
    controllers = rng.choice((2, 4)) if name == "halves" else rng.choice((3, 3, 5))
    return name, *run_play(name, controllers, rng, rng.choice((-1, rng.randrange(400))), zones)
