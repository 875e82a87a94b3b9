"""Plays that replace controllers one after the other in one or several zones, while proxies are removed,
disks are lost and zones are partitioned. Measures how long each replacement takes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from mesh.membership.failure_detection import RECONNECT_S, silence_thresholds
from mesh.replication.quorum import Tolerance
from simulation.mesh import troubles
from simulation.mesh.members import (
    BOUNDS,
    CONVERGENCE_S,
    are_members,
    confirm_write,
    remove_machine,
    start_successor,
    stop_machine,
)
from simulation.mesh.world import HEARTBEAT_INTERVAL_S, POWER_S, RESTART_S, Machine, Script, World

SUCCESSOR_DELAY_S = 1.0  # between the loss of a machine and the start of its successor
# Includes the periodic checks, the rounds and the propagation of the removal.
NODE_REMOVAL_S = silence_thresholds(BOUNDS.contact_ms, 1000.0 * HEARTBEAT_INTERVAL_S).gone_s + 7.0


@dataclass(frozen=True, slots=True)
class Layout:
    """Distribution of machines: controllers and proxies are assigned to the zones in turn."""

    zones: int = 1
    controllers: int = 3
    proxies: int = 3
    tolerance: Tolerance = field(default_factory=lambda: Tolerance(1, 0, 0))


class ZonedWorld(World):
    """A world with several zones; a successor is placed in the zone of its predecessor."""

    def __init__(self, layout: Layout) -> None:
        """``layout``: the distribution of machines and the losses to tolerate."""
        super().__init__(layout.tolerance)
        self.layout = layout
        self._zones: dict[str, str] = {}
        # From a successor's start until its predecessor is no longer a member.
        self.removal_times_s: list[float] = []
        self.version = 0

    def zone(self, machine: Machine) -> str:
        """Assigned in turn by number, unless inherited from the predecessor."""
        number = int(machine.name[1:])
        return self._zones.setdefault(machine.name, "abc"[(number - 1) % self.layout.zones])

    def confirm_write(self) -> Script:
        """A new write is acknowledged in time."""
        self.version += 1
        yield from confirm_write(self, self.version)

    def proxies(self) -> list[Machine]:
        """In the order in which they were added."""
        return [machine for machine in self.machines.values() if not machine.is_controller]

    def machines_in_zone(self, zone: str) -> list[Machine]:
        """All machines of the zone."""
        return [machine for machine in self.machines.values() if self.zone(machine) == zone]

    def start_successor(self, number: int, old: Machine) -> Machine:
        """Starts a machine in the zone of the old one."""
        self._zones[f"c{number}"] = self.zone(old)
        return start_successor(self, number)

    def tolerates_loss_with(self, new: Machine) -> bool:
        """Whether all see the new member, and the required losses are tolerated again."""
        programs = [program for _, program in self.programs(controllers=True)]
        return all(
            new.ip in program.member_set.view().members
            and not program.member_set.view().joint
            and not program.member_changes.loss_margin().below(self.tolerance)
            for program in programs
        )

    def no_removed_machine_listed(self) -> bool:
        """Whether no process lists a node that is gone."""
        return all(
            program.membership.nodes.keys() <= self.machines.keys()
            for controllers in (True, False)
            for _, program in self.programs(controllers)
        )

    def check_silent_members_explained(self) -> None:
        """Each process with contact must give a reason for each silent member that it keeps."""
        for machine, program in self.programs(controllers=True):
            for row in program.member_changes.show()["members"]:
                if (
                    program.member_set.has_contact()
                    and not row["heard"]
                    and row["counts"]
                    and not row["stays"]
                ):
                    self.checker.violations.append(f"{machine.name} does not say why {row['address']} stays")

    def all_machines_listed(self) -> bool:
        """Whether all processes list all running machines."""
        return all(
            program.membership.nodes.keys() >= self.machines.keys()
            for controllers in (True, False)
            for _, program in self.programs(controllers)
        )

    def only_running_are_members(self) -> Callable[[], bool]:
        """A predicate: the existing controllers are the only members, in the view of all of them."""
        return are_members(self, self.controllers())

    def replace(
        self, number: int, old: Machine, after_start: Callable[[Machine], None] | None = None
    ) -> Script:
        """Loses a machine for good, then starts its successor; writes continue after each. The predecessor
        must be removed within `convergence_s` of the successor's start, when the next loss is allowed."""
        remove_machine(self, old)
        yield from self.confirm_write()
        yield self.env.timeout(SUCCESSOR_DELAY_S)
        new = self.start_successor(number, old)
        started_at = float(self.env.now)
        if after_start is not None:
            after_start(new)
        yield from self.wait_until(
            lambda: self.tolerates_loss_with(new),
            CONVERGENCE_S,
            f"{new.name} is a member, and a loss is tolerated",
        )
        # With an even number the lost member does not reduce the tolerance and may be removed later.
        if self.layout.controllers % 2:
            left_s = started_at + CONVERGENCE_S - float(self.env.now)
            yield from self.wait_until(
                self.only_running_are_members(), left_s, f"{old.name} is no longer a member"
            )
        self.removal_times_s.append(float(self.env.now) - started_at)
        yield self.env.timeout(max(started_at + CONVERGENCE_S - float(self.env.now), 0.0))


ZonedPlay = Callable[[ZonedWorld], Script]


def replace_one_by_one(count: int, scale_in: int = 0, wipe_disks: bool = False) -> ZonedPlay:
    """Replaces ``count`` controllers, each `convergence_s` after the last. ``scale_in``: proxies removed in
    the second before the second loss; ``wipe_disks``: between two replacements another member loses its
    disk."""

    def play(world: ZonedWorld) -> Script:
        remaining = world.controllers()
        for number in range(count):
            if number == 1:
                for proxy in world.proxies()[:scale_in]:
                    remove_machine(world, proxy)
                yield world.env.timeout(1.0)
            old = remaining.pop(0)
            yield from world.replace(11 + number, old)
            remaining.append(world.machines[f"c{11 + number}"])
            if wipe_disks:
                victim = remaining[number % len(remaining)]
                assert victim.incarnation is not None
                troubles.wiped(world, victim.incarnation, None)
                yield world.env.timeout(POWER_S + CONVERGENCE_S)
                yield from world.wait_for_members([victim], 0.1)
            yield from world.confirm_write()

    return play


def replace_two_at_once(world: ZonedWorld) -> Script:
    """In two zones, if there are as many: starts both successors, then stops both predecessors."""
    predecessors = world.controllers()[:2]
    successors = [world.start_successor(11 + number, old) for number, old in enumerate(predecessors)]
    yield from world.wait_for_members(successors)
    yield from world.confirm_write()
    stops = [world.env.process(stop_machine(world, old)) for old in predecessors]
    yield stops[0] & stops[1]
    for old in predecessors:
        remove_machine(world, old)
    yield from world.wait_until(
        world.only_running_are_members(), CONVERGENCE_S, "two successors are members in place of two"
    )
    yield from lose_each_in_turn(world)


def lose_each_in_turn(world: ZonedWorld) -> Script:
    """Each member in turn is down for a while, and writes continue."""
    for machine in world.controllers():
        world.power_off(machine)
        yield from world.confirm_write()
        world.restart(machine, RESTART_S)
        yield world.env.timeout(RESTART_S + CONVERGENCE_S)


def replace_lease_holder(world: ZonedWorld) -> Script:
    """Three times the holder of the lease `members` is the lost machine."""
    for number in range(3):
        holder = world.controllers()[0].program.member_changes.lease.latest.holder
        yield from world.replace(11 + number, world.machines[holder])
    yield from lose_each_in_turn(world)


def return_after_replacement(world: ZonedWorld) -> Script:
    """A lost machine returns with its disk after it was replaced: it joins, and losses are tolerated as
    before."""
    old = world.controllers()[0]
    yield from world.confirm_write()
    world.power_off(old)
    del world.machines[old.name]
    yield world.env.timeout(SUCCESSOR_DELAY_S)
    world.start_successor(11, old)
    yield from world.wait_until(
        world.only_running_are_members(), CONVERGENCE_S, "the successor is a member in its place"
    )
    yield from world.confirm_write()
    world.machines[old.name] = old
    world.network.power_on(old.ip)
    world.start(old)
    yield from world.wait_until(
        world.only_running_are_members(), CONVERGENCE_S, "the returned machine is a member beside it"
    )
    yield from lose_each_in_turn(world)


def lose_zone_with_proxies(world: ZonedWorld) -> Script:
    """A zone's member and proxies are lost within `convergence_s`; then the member's successor starts
    there."""
    for number, delay_s in enumerate((0.0, 0.5, 1.5, 3.5)):
        old = world.controllers()[-1]
        proxies = [
            machine for machine in world.machines_in_zone(world.zone(old)) if not machine.is_controller
        ]

        def remove_proxies(gone: list[Machine] = proxies, after_s: float = delay_s) -> Script:
            yield world.env.timeout(after_s)
            for proxy in gone:
                remove_machine(world, proxy)

        world.env.process(remove_proxies())
        yield from world.replace(11 + number, old)
        new_proxy = world.add(f"s{10 + 3 * number + 3}", f"10.0.1.{10 + 3 * number + 3}", controller=False)
        world.start(new_proxy)
        yield world.env.timeout(1.0)
    yield from lose_each_in_turn(world)


PARTITION_S = 40.0  # longer than the silence after which a single machine is removed


def partition_zone(world: ZonedWorld, both_ways: bool = True) -> Script:
    """A whole zone is cut off twice. None of its machines may be removed, also not while links reopen."""
    zone_machines = world.machines_in_zone("c")
    others = [machine for machine in world.machines.values() if machine not in zone_machines]
    members = {machine.ip for machine in world.controllers()}
    for _ in range(2):
        yield from world.confirm_write()
        world.partition(zone_machines, others, both_ways)
        yield world.env.timeout(PARTITION_S)
        world.check_silent_members_explained()
        world.heal()
        for _ in range(50):
            yield world.env.timeout(0.1)
            for machine in world.controllers():
                if set(machine.program.member_set.view().names) != members:
                    world.checker.violations.append(
                        f"{world.env.now:.1f} {machine.name}: members of a partitioned zone were removed"
                    )
                    return
        if not world.all_machines_listed():
            world.checker.violations.append("nodes of the zone were removed")
    yield from world.confirm_write()


def partition_zone_one_way(world: ZonedWorld) -> Script:
    """The same with a one-way partition: the zone still receives frames."""
    yield from partition_zone(world, both_ways=False)


def partition_zone_after_replacement(world: ZonedWorld) -> Script:
    """Cuts off the zone of a replaced machine shortly after the successor's start: one lost zone, so writes
    continue."""
    for number, after_s in enumerate((0.3, 1.0, 2.0, 3.0)):
        old = world.controllers()[-1]
        remove_machine(world, old)
        yield from world.confirm_write()
        yield world.env.timeout(SUCCESSOR_DELAY_S)
        new = world.start_successor(11 + number, old)
        yield world.env.timeout(after_s)
        zone_machines = world.machines_in_zone(world.zone(new))
        world.partition(
            zone_machines, [machine for machine in world.machines.values() if machine not in zone_machines]
        )
        yield from world.confirm_write()
        yield world.env.timeout(8.0)
        yield from world.confirm_write()
        world.heal()
        yield from world.wait_until(
            partial(world.tolerates_loss_with, new),
            CONVERGENCE_S,
            f"{new.name} is a member after the partition",
        )
        yield world.env.timeout(CONVERGENCE_S)


def run_play(layout: Layout, play: ZonedPlay) -> tuple[list[str], list[float]]:
    """Returns the violations, and the seconds that each replacement took."""

    def script(world: World) -> Script:
        assert isinstance(world, ZonedWorld)
        yield from world.boot(layout.controllers, layout.proxies)
        yield world.env.timeout(RECONNECT_S + 1.0)  # long enough that open links count as established
        world.env.process(world.checker.watch())
        yield from play(world)
        world.heal()
        yield from world.wait_until(
            world.only_running_are_members(), NODE_REMOVAL_S, "the running machines are the only members"
        )
        yield from world.wait_until(
            world.no_removed_machine_listed, NODE_REMOVAL_S, "removed nodes are deleted from the store"
        )
        yield world.env.timeout(3.0)
        yield from world.checker.check_recovered()

    with ZonedWorld(layout) as world:
        return world.run(script), world.removal_times_s
