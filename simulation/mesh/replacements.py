"""Machines of a core that are replaced one after the other in one zone or several, with what may befall the
zone meanwhile: sidecars that are scaled in, lost disks, cuts. How long each takes is measured."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from mesh.membership.failure_detection import RECONNECT_S, silence_thresholds
from mesh.replication.quorum import Tolerance
from simulation.mesh import troubles
from simulation.mesh.members import BOUNDS, SETTLES_S, begin, confirms, counts, end, go
from simulation.mesh.world import BEAT_S, POWER_S, RESTART_S, Machine, Script, World

SUCCESSOR_AFTER_S = 1.0  # the loss of the machine, then the start of the next
DROPPED_S = (
    silence_thresholds(BOUNDS.contact_ms, 1000.0 * BEAT_S).gone_s + 7.0
)  # and looks, rounds, and the news of it


@dataclass(frozen=True, slots=True)
class Layout:
    """Where machines stand. Members and sidecars are dealt out to the zones in turn."""

    zones: int = 1
    cores: int = 3
    sidecars: int = 3
    tolerance: Tolerance = field(default_factory=lambda: Tolerance(1, 0, 0))


class ZonedWorld(World):
    """A world whose machines stand in several zones; a successor stands where its predecessor did."""

    def __init__(self, layout: Layout) -> None:
        """``layout``: where machines stand, and what may be lost."""
        super().__init__(layout.tolerance)
        self.layout = layout
        self._zones: dict[str, str] = {}
        self.removed_after_s: list[float] = []  # from the successor's start until the predecessor is out
        self.version = 0

    def zone(self, machine: Machine) -> str:
        """In turn by number, or the predecessor's."""
        number = int(machine.name[1:])
        return self._zones.setdefault(machine.name, "abc"[(number - 1) % self.layout.zones])

    def confirmed(self) -> Script:
        """A new write is acknowledged in time."""
        self.version += 1
        yield from confirms(self, self.version)

    def sidecars(self) -> list[Machine]:
        """In the order in which they were added."""
        return [machine for machine in self.machines.values() if not machine.core]

    def standing(self, zone: str) -> list[Machine]:
        """All machines of the zone."""
        return [machine for machine in self.machines.values() if self.zone(machine) == zone]

    def successor(self, number: int, old: Machine) -> Machine:
        """Starts a machine in the zone of the old one."""
        self._zones[f"c{number}"] = self.zone(old)
        return begin(self, number)

    def bears(self, new: Machine) -> bool:
        """Whether the new member counts by all, and the losses that are asked are borne."""
        programs = [program for _, program in self.programs(core=True)]
        return all(
            new.ip in program.member_set.view().members
            and not program.member_set.view().joint
            and not program.member_changes.loss_margin().below(self.tolerance)
            for program in programs
        )

    def nobody_else_known(self) -> bool:
        """Whether no process lists a machine that went."""
        return all(
            program.membership.nodes.keys() <= self.machines.keys()
            for core in (True, False)
            for _, program in self.programs(core)
        )

    def tells_what_keeps_the_silent(self) -> None:
        """Each process that has contact says for each silent member why it still counts."""
        for machine, program in self.programs(core=True):
            for row in program.member_changes.show()["members"]:
                if (
                    program.member_set.has_contact()
                    and not row["heard"]
                    and row["counts"]
                    and not row["stays"]
                ):
                    self.witness.broken.append(f"{machine.name} does not say why {row['address']} stays")

    def nobody_lacking(self) -> bool:
        """Whether all processes list all machines that run."""
        return all(
            program.membership.nodes.keys() >= self.machines.keys()
            for core in (True, False)
            for _, program in self.programs(core)
        )

    def lone_members(self) -> Callable[[], bool]:
        """Whether those that are there count, and no others, by the view of all of them."""
        return counts(self, self.controllers())

    def replaced(self, number: int, old: Machine, then: Callable[[Machine], None] | None = None) -> Script:
        """The machine is lost for good and its successor starts; each is one loss after which writes go on.
        The predecessor must be out `convergence_s` after the successor's start, when the next loss is
        allowed."""
        go(self, old)
        yield from self.confirmed()
        yield self.env.timeout(SUCCESSOR_AFTER_S)
        new = self.successor(number, old)
        began = float(self.env.now)
        if then is not None:
            then(new)
        yield from self.until(lambda: self.bears(new), SETTLES_S, f"{new.name} counts, and a loss is borne")
        if self.layout.cores % 2:  # of an even core the dead one costs nothing, and goes by the longer bound
            left_s = began + SETTLES_S - float(self.env.now)
            yield from self.until(self.lone_members(), left_s, f"{old.name} counts no more")
        self.removed_after_s.append(float(self.env.now) - began)
        yield self.env.timeout(max(began + SETTLES_S - float(self.env.now), 0.0))


ZonedPlay = Callable[[ZonedWorld], Script]


def one_by_one(count: int, scale_in: int = 0, wipes: bool = False) -> ZonedPlay:
    """So many are replaced in turn, each `convergence_s` after the one before. ``scale_in``: so many sidecars
    go in the second before the second member is lost; ``wipes``: between any two another member loses its
    disk and comes back."""

    def play(world: ZonedWorld) -> Script:
        waiting = world.controllers()
        for number in range(count):
            if number == 1:
                for sidecar in world.sidecars()[:scale_in]:
                    go(world, sidecar)
                yield world.env.timeout(1.0)
            old = waiting.pop(0)
            yield from world.replaced(11 + number, old)
            waiting.append(world.machines[f"c{11 + number}"])
            if wipes:
                unlucky = waiting[number % len(waiting)]
                assert unlucky.life is not None
                troubles.wiped(world, unlucky.life, None)
                yield world.env.timeout(POWER_S + SETTLES_S)
                yield from world.joined([unlucky], 0.1)
            yield from world.confirmed()

    return play


def two_at_once(world: ZonedWorld) -> Script:
    """Of two zones, where there are as many: both successors first, then both predecessors end."""
    olds = world.controllers()[:2]
    news = [world.successor(11 + number, old) for number, old in enumerate(olds)]
    yield from world.joined(news)
    yield from world.confirmed()
    ends = [world.env.process(end(world, old)) for old in olds]
    yield ends[0] & ends[1]
    for old in olds:
        go(world, old)
    yield from world.until(world.lone_members(), SETTLES_S, "two successors count in place of two")
    yield from bears_one_more(world)


def bears_one_more(world: ZonedWorld) -> Script:
    """Each member in turn is lost for a while, and writes go on."""
    for machine in world.controllers():
        world.power_off(machine)
        yield from world.confirmed()
        world.restart(machine, RESTART_S)
        yield world.env.timeout(RESTART_S + SETTLES_S)


def holder_is_replaced(world: ZonedWorld) -> Script:
    """Three times the one that holds the lease `members` is the one that is lost."""
    for number in range(3):
        holder = world.controllers()[0].program.member_changes.lease.latest.holder
        yield from world.replaced(11 + number, world.machines[holder])
    yield from bears_one_more(world)


def comes_back_after_its_successor(world: ZonedWorld) -> Script:
    """A machine is lost, its successor counts, and it comes back with its disk: it joins, and as many losses
    are borne."""
    old = world.controllers()[0]
    yield from world.confirmed()
    world.power_off(old)
    del world.machines[old.name]
    yield world.env.timeout(SUCCESSOR_AFTER_S)
    world.successor(11, old)
    yield from world.until(world.lone_members(), SETTLES_S, "the successor counts in its place")
    yield from world.confirmed()
    world.machines[old.name] = old
    world.wire.back(old.ip)
    world.start(old)
    yield from world.until(world.lone_members(), SETTLES_S, "the one that came back counts beside it")
    yield from bears_one_more(world)


def zone_goes_with_its_sidecars(world: ZonedWorld) -> Script:
    """Member and sidecars of a zone go for good within `convergence_s`; then its successor starts there."""
    for number, apart_s in enumerate((0.0, 0.5, 1.5, 3.5)):
        old = world.controllers()[-1]
        sidecars = [machine for machine in world.standing(world.zone(old)) if not machine.core]

        def sidecars_go(gone: list[Machine] = sidecars, after_s: float = apart_s) -> Script:
            yield world.env.timeout(after_s)
            for sidecar in gone:
                go(world, sidecar)

        world.env.process(sidecars_go())
        yield from world.replaced(11 + number, old)
        beside = world.add(f"s{10 + 3 * number + 3}", f"10.0.1.{10 + 3 * number + 3}", core=False)
        world.start(beside)
        yield world.env.timeout(1.0)
    yield from bears_one_more(world)


CUT_S = 40.0  # longer than any silence that makes a single machine go


def zone_is_cut(world: ZonedWorld, both: bool = True) -> Script:
    """A whole zone is cut off, twice, and comes back: nobody is thrown out, not while its links come up
    either."""
    standing = world.standing("c")
    others = [machine for machine in world.machines.values() if machine not in standing]
    members = {machine.ip for machine in world.controllers()}
    for _ in range(2):
        yield from world.confirmed()
        world.cut(standing, others, both)
        yield world.env.timeout(CUT_S)
        world.tells_what_keeps_the_silent()
        world.heal()
        for _ in range(50):
            yield world.env.timeout(0.1)
            for machine in world.controllers():
                if set(machine.program.member_set.view().names) != members:
                    world.witness.broken.append(f"{world.env.now:.1f} {machine.name}: a zone was thrown out")
                    return
        if not world.nobody_lacking():
            world.witness.broken.append("nodes of the zone were dropped")
    yield from world.confirmed()


def zone_is_cut_one_way(world: ZonedWorld) -> Script:
    """The same, and what the others say still arrives there."""
    yield from zone_is_cut(world, both=False)


def zone_is_cut_after_its_replacement(world: ZonedWorld) -> Script:
    """The zone of the replaced machine is cut off in the seconds after the successor's start; that is one
    lost zone, and writes go on."""
    for number, after_s in enumerate((0.3, 1.0, 2.0, 3.0)):
        old = world.controllers()[-1]
        go(world, old)
        yield from world.confirmed()
        yield world.env.timeout(SUCCESSOR_AFTER_S)
        new = world.successor(11 + number, old)
        yield world.env.timeout(after_s)
        standing = world.standing(world.zone(new))
        world.cut(standing, [machine for machine in world.machines.values() if machine not in standing])
        yield from world.confirmed()
        yield world.env.timeout(8.0)
        yield from world.confirmed()
        world.heal()
        yield from world.until(partial(world.bears, new), SETTLES_S, f"{new.name} counts after the cut")
        yield world.env.timeout(SETTLES_S)


def played(layout: Layout, play: ZonedPlay) -> tuple[list[str], list[float]]:
    """What was broken, a line each; and the seconds that each replacement took."""

    def script(world: World) -> Script:
        assert isinstance(world, ZonedWorld)
        yield from world.boot(layout.cores, layout.sidecars)
        yield world.env.timeout(RECONNECT_S + 1.0)  # its links have stood for a while
        world.env.process(world.witness.watch())
        yield from play(world)
        world.heal()
        yield from world.until(world.lone_members(), DROPPED_S, "those that run count alone")
        yield from world.until(world.nobody_else_known, DROPPED_S, "who went is dropped from the store")
        yield world.env.timeout(3.0)
        yield from world.witness.finish()

    with ZonedWorld(layout) as world:
        return world.run(script), world.removed_after_s
