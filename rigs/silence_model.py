"""A small model of failure detection, for `statecheck`: a zone whose machines fail one by one or are cut off
all at once, assessed by the shipped code (`membership.failure_detection`).

Two members in other zones listen; one of them, the judge, assesses the nodes every half second. The zone has
a member, its successor and a sidecar, and the membership store still lists dead nodes of it. A partition cuts
the zone off from both listeners or from the judge alone; its nodes fall silent within the partition window of
each other, and reconnect within RECONNECT_S of its end, in any order.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import chain, combinations
from typing import Any, NamedTuple

from mesh.membership import failure_detection
from mesh.membership.failure_detection import RECONNECT_S, NodeInfo, SilenceReport, SilenceThresholds
from statecheck import Model, Violation
from statecheck.model import State

TICK_S = 0.5
THRESHOLDS = SilenceThresholds(3.0, 3.0, 600.0)  # with the smallest usual bound
ZONE = "z"
DEAD_NODE_SILENT_S = 60.0
MAX_TICKS = 12  # longer silences are treated as equal: they are past the bound and the reconnection
RECONNECT_TICKS = int(RECONNECT_S / TICK_S)
MAX_LINK_TICKS = RECONNECT_TICKS + 1


class Machine(NamedTuple):
    """By listener, in ticks: how long the machine has been ``silent``, how long its link has been up, and the
    time since its last message over a link that had been up for RECONNECT_S (``linked``). ``dead``: ticks
    since it failed, 0 while it runs; ``late``: it is still heard in the first tick of the partition;
    ``reconnected``: its links are up again after a partition."""

    silent: tuple[int, int]
    link_up: tuple[int, int]
    linked: tuple[int, int]
    dead: int
    late: bool
    reconnected: bool


class Partition(NamedTuple):
    """A partition from both listeners or from the judge alone; ``healed``: ticks since its end, -1 before."""

    both: bool
    healed: int


@dataclass(frozen=True, slots=True)
class Scenario:
    """The machines of the zone, and the number of faults."""

    machines: tuple[str, ...] = ("member", "successor", "sidecar")
    members: tuple[str, ...] = ("member", "successor")
    dead: int = 3  # dead nodes in the store
    failures: int = 2
    partitions: int = 1


class SilenceModel(Model):
    """The zone, its two listeners and the judge."""

    def __init__(self, name: str, scenario: Scenario) -> None:
        """``name`` is used in reports only."""
        self.name, self.scenario = name, scenario
        self.nodes = {name: NodeInfo(ZONE, member=name in scenario.members) for name in scenario.machines}
        self.nodes |= {f"dead-{n}": NodeInfo(ZONE, exempt=True) for n in range(scenario.dead)}
        self.nodes["judge"] = NodeInfo("a", member=True)

    def initial(self) -> Iterable[State]:
        """All machines run and are heard."""
        machine = Machine((0, 0), (MAX_LINK_TICKS, MAX_LINK_TICKS), (0, 0), 0, False, True)
        yield (
            tuple(machine for _ in self.scenario.machines),
            None,
            (),
            self.scenario.failures,
            self.scenario.partitions,
        )

    def events(self, state: State) -> Sequence[Any]:
        """Time passes, a machine fails, a partition starts or ends."""
        machines, partition, _, failures, partitions = state
        enabled: list[Any] = [
            ("tick", reconnected) for reconnected in self._reconnections(machines, partition)
        ]
        if failures:
            enabled += [("fail", at) for at, machine in enumerate(machines) if not machine.dead]
        if partitions and partition is None:
            enabled += [
                ("partition", both, late) for both in (True, False) for late in _subsets(range(len(machines)))
            ]
        if partition is not None and partition.healed < 0:
            enabled.append(("heal",))
        return enabled

    def _reconnections(
        self, machines: tuple[Machine, ...], partition: Partition | None
    ) -> Iterable[tuple[int, ...]]:
        """The sets of links that may come up in the next tick: any, but all of them by RECONNECT_S."""
        disconnected = [at for at, machine in enumerate(machines) if not machine.reconnected]
        if partition is None or partition.healed < 0 or not disconnected:
            return [()]
        if partition.healed + 1 >= RECONNECT_TICKS:
            return [tuple(disconnected)]
        return _subsets(disconnected)

    def step(self, state: State, event: Any) -> State:
        """The next state; each tick includes an assessment by the judge."""
        machines, partition, gone, failures, partitions = state
        kind = event[0]
        if kind == "fail":
            failed = machines[event[1]]._replace(dead=1)
            machines = (*machines[: event[1]], failed, *machines[event[1] + 1 :])
            return (machines, partition, gone, failures - 1, partitions)
        if kind == "partition":
            machines = tuple(
                machine._replace(late=at in event[2], reconnected=False)
                for at, machine in enumerate(machines)
            )
            return (machines, Partition(event[1], -1), gone, failures, partitions - 1)
        if kind == "heal":
            return (machines, partition._replace(healed=0), gone, failures, partitions)
        machines = tuple(
            self._tick_machine(machine, at in event[1], partition) for at, machine in enumerate(machines)
        )
        if partition is not None and partition.healed >= 0:
            finished = (
                all(machine.reconnected for machine in machines) and partition.healed >= 2 * RECONNECT_TICKS
            )
            partition = (
                None
                if finished
                else partition._replace(healed=min(partition.healed + 1, 2 * RECONNECT_TICKS))
            )
        gone = self._gone_nodes(machines)
        return (machines, partition, gone, failures, partitions)

    def _tick_machine(self, machine: Machine, reconnects: bool, partition: Partition | None) -> Machine:
        machine = machine._replace(reconnected=machine.reconnected or reconnects)
        by_listener = [self._tick_listener(listener, machine, partition) for listener in (0, 1)]
        silent, link_up, linked = zip(*by_listener, strict=True)
        dead = min(machine.dead + 1, MAX_TICKS) if machine.dead else 0
        return machine._replace(silent=silent, link_up=link_up, linked=linked, dead=dead, late=False)

    def _tick_listener(
        self, listener: int, machine: Machine, partition: Partition | None
    ) -> tuple[int, int, int]:
        """The new ``silent``, ``link_up`` and ``linked`` of a machine at one listener, a tick later."""
        cut_off = (
            partition is not None
            and not machine.reconnected
            and (partition.both or listener == 0)
            and not machine.late
        )
        linked = min(machine.linked[listener] + 1, MAX_TICKS)
        if machine.dead or cut_off:
            return min(machine.silent[listener] + 1, MAX_TICKS), 0, linked
        link_up = min(machine.link_up[listener] + 1, MAX_LINK_TICKS)
        return 0, link_up, 0 if self._link_counts(link_up) else linked

    def _link_counts(self, ticks: int) -> bool:
        """Whether a link that has been up for so long shows that its zone is reachable."""
        return ticks * TICK_S >= RECONNECT_S

    def _gone_nodes(self, machines: tuple[Machine, ...]) -> tuple[str, ...]:
        """The nodes that the judge drops after this tick."""
        reports = []
        by_name = list(zip(self.scenario.machines, machines, strict=True))
        dead_nodes = {name: DEAD_NODE_SILENT_S for name in self.nodes if name.startswith("dead")} | {
            "judge": 0.0
        }
        for listener in (0, 1):
            silent = {name: machine.silent[listener] * TICK_S for name, machine in by_name} | dead_nodes
            linked = {name: machine.linked[listener] * TICK_S for name, machine in by_name} | dead_nodes
            reports.append(SilenceReport(silent, linked))
        return failure_detection.assess_silence(self.nodes, reports, THRESHOLDS).gone

    # Properties

    def violations(self, _: State | None, event: Any, after: State) -> Iterable[Violation]:
        """No running machine is dropped with its zone, and no dead member is kept."""
        machines, partition, gone, _, _ = after
        if event is None or event[0] != "tick":
            return
        by_name = dict(zip(self.scenario.machines, machines, strict=True))
        for name in gone:
            # The last running machine of its zone counts as a single machine, and may be dropped.
            others = any(not machine.dead for other, machine in by_name.items() if other != name)
            if name in by_name and not by_name[name].dead and others:
                yield Violation("dropped", f"{name} is running, and its zone was cut off")
        if partition is not None or not any(machine.silent == (0, 0) for machine in machines):
            return
        for name in self.scenario.members:
            # It has been dead for the bound and the time of a reconnection, and another node is heard.
            if by_name[name].dead * TICK_S > THRESHOLDS.gone_s + RECONNECT_S and name not in gone:
                yield Violation("kept", f"{name} is dead, others of its zone are heard, and it is kept")


def _subsets(items: Iterable[int]) -> Iterable[tuple[int, ...]]:
    elements = list(items)
    return list(chain.from_iterable(combinations(elements, count) for count in range(len(elements) + 1)))


SCENARIOS = {
    "dead nodes in the store": Scenario(partitions=0),
    "a partition": Scenario(failures=0),
    "a partition, a failure": Scenario(("member", "sidecar"), ("member",), failures=1),
}
