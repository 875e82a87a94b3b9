"""Upstreams of a sharded service that follow the operators' pages, and a check that each key has one holder.

Each upstream takes key ranges from the answers to its heartbeats, releases what an answer omits, and measures
holds by its own clock, which may run slow. Whenever two running upstreams hold one key, a violation is
recorded.
"""

from __future__ import annotations

from typing import Any

import msgspec
import numpy as np
import simpy

from anisestair.http import codec as http
from mesh.transport.http_calls import Answer
from simulation.mesh.world import HEARTBEAT_INTERVAL_S, Incarnation, Machine, Script, World

KEY_COUNT = 65536
HEARTBEAT_TIMEOUT_S = 1.0  # an upstream stops waiting for the answer after this
RELEASE_INTERVAL_S = 0.1  # between heartbeats while it is releasing keys
MAX_CLOCK_DRIFT = 0.02  # as a share of real time, by which its clock may run slow
DRAIN_WORK_S = 0.3  # how long requests on released keys still run
Row = tuple[int, int, int]  # first key, last key, fence


class ShardedInstance:
    """One incarnation of an upstream: its instance id and the keys that it holds."""

    def __init__(self, world: KeyOwnershipWorld, machine: Machine, name: str) -> None:
        """The instance starts without keys."""
        self.world, self.machine, self.name, self.running = world, machine, name, True
        self.state = "settled"
        # Speed of its clock, relative to real time.
        self.clock_rate = 1.0 - MAX_CLOCK_DRIFT * (machine.number % 3) / 2.0
        self.held_until = np.zeros(KEY_COUNT)  # by key
        self.highest_fences = np.zeros(KEY_COUNT, dtype=np.int64)  # by key
        self.rows: dict[tuple[int, int], int] = {}  # held key ranges (first, last) and their fences
        self.releasing: dict[tuple[int, int], float] = {}  # by key range: when the last request on it ends
        self.released: list[list[Any]] = []  # reported with each heartbeat until one is acknowledged
        self.heartbeats = 0

    def holds(self, key: int) -> bool:
        """Whether it would serve a request on that key now."""
        return self.running and bool(self.held_until[key] > self.world.env.now)

    def heartbeat_body(self) -> dict[str, Any]:
        """The JSON fields of a heartbeat."""
        now = self.world.env.now
        for (first, last), ends in list(self.releasing.items()):
            if ends <= now:
                del self.releasing[first, last]
                self.released.append([first, last, f"{first:x}-{self.name}"])
        for (first, last), _ in list(self.rows.items()):
            if self.held_until[first] <= now and (first, last) not in self.releasing:
                del self.rows[first, last]  # a hold that expired is not reported as released
        self.heartbeats += 1
        working = [[first, last, int(self.highest_fences[first])] for first, last in self.releasing]
        return {
            "plant": self.world.service(self.machine),
            "address": f"{self.machine.ip}:8147",
            "zone": self.world.zone(self.machine),
            "epoch": "v1",
            "capacity": 4,
            "state": self.state,
            "warmup_left_ms": 0,
            "sample_count": self.heartbeats,
            "holds": [[first, last, fence] for (first, last), fence in self.rows.items()] + working,
            "released": list(self.released),
        }

    def apply_answer(self, answer: Answer, sent: float) -> bool:
        """Applies the answer to the heartbeat sent at ``sent``; returns whether releases are still
        running."""
        reply = msgspec.json.decode(answer.body) if answer.body else {}
        self.released.clear()
        if "holds" not in reply:
            return bool(self.releasing)
        now = float(self.world.env.now)
        until = sent + reply["hold_ms"] / 1000.0 / self.clock_rate
        kept = {}
        for first, last, fence, _ in reply["holds"]:
            keys = slice(first, last + 1)
            if np.any(self.highest_fences[keys] > fence):
                continue
            kept[first, last] = fence
            self.highest_fences[keys] = fence
        for first, last in list(self.rows):
            if (first, last) not in kept and self.held_until[first] > now:
                self.releasing[first, last] = now + DRAIN_WORK_S
        self.rows = kept
        self.held_until[:] = 0.0
        for first, last in kept:
            self.held_until[first : last + 1] = until
        self.world.check_exclusive(self)
        return bool(self.releasing)


class KeyOwnershipWorld(World):
    """A mesh whose upstreams all belong to one sharded service. ``instances``: the running ones, by
    machine."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Takes the arguments of `World`."""
        super().__init__(*args, **kwargs)
        self.instances: dict[str, ShardedInstance] = {}
        self.lost_heartbeats: set[str] = set()  # machines whose proxy does not receive heartbeats
        self.lost_answers: set[str] = set()  # machines whose upstream does not receive answers
        self._instance_counts: dict[str, int] = {}

    def check_exclusive(self, instance: ShardedInstance) -> None:
        """Checks after a new hold that no other running instance holds one of its keys."""
        now = self.env.now
        mine = instance.held_until > now
        for other in self.instances.values():
            if other is not instance and other.running and np.any(mine & (other.held_until > now)):
                key = int(np.argmax(mine & (other.held_until > now)))
                self.checker.violations.append(
                    f"{now:.3f} OWNER: {instance.name} and {other.name} both hold key {key}"
                )

    def holder_counts(self) -> np.ndarray:
        """The number of holders of each key."""
        held = np.zeros(KEY_COUNT, dtype=np.int64)
        for instance in self.instances.values():
            if instance.running:
                held += instance.held_until > self.env.now
        return held

    def stop_instance(self, machine: Machine) -> None:
        """Ends the upstream of that machine without notice; its keys have no holder."""
        instance = self.instances.pop(machine.name, None)
        if instance is not None:
            instance.running = False

    def start_instance(self, machine: Machine) -> ShardedInstance:
        """Starts a new incarnation of the upstream, without keys."""
        self.stop_instance(machine)
        count = self._instance_counts[machine.name] = self._instance_counts.get(machine.name, 0) + 1
        instance = self.instances[machine.name] = ShardedInstance(self, machine, f"i-{machine.name}-{count}")
        self.env.process(self._send_heartbeats(instance))
        return instance

    def _run_upstream(self, incarnation: Incarnation) -> Script:
        """Starts the upstream with the first incarnation of the proxy; it survives restarts of the proxy."""
        if incarnation.machine.name not in self._instance_counts:
            self.start_instance(incarnation.machine)
        yield self.env.timeout(0.0)

    def _send_heartbeats(self, instance: ShardedInstance) -> Script:
        while instance.running:
            incarnation, sent = instance.machine.incarnation, float(self.env.now)
            release_pending = False
            if incarnation is not None and incarnation.alive and incarnation.program is not None:
                target = f"/instances/{instance.name}".encode()
                message = http.Message(
                    method=b"PUT", target=target, body=msgspec.json.encode(instance.heartbeat_body())
                )
                if instance.machine.name not in self.lost_heartbeats:
                    event: simpy.Event = self.send_request(
                        incarnation, incarnation.program.registry.handle, message
                    )
                    yield event | self.env.timeout(HEARTBEAT_TIMEOUT_S)
                    answer = event.value if event.triggered else None
                    received = instance.machine.name not in self.lost_answers and instance.running
                    if answer is not None and answer.status == 200 and received:
                        release_pending = instance.apply_answer(answer, sent)
            yield self.env.timeout(RELEASE_INTERVAL_S if release_pending else HEARTBEAT_INTERVAL_S)


def sharded_service_body(version: int, name: str = "r1", **fields: Any) -> bytes:
    """A configuration with one sharded service "p" and a route to it."""
    rule = {
        "name": name,
        "kind": "idempotent",
        "setpoint_ms": 500,
        "priority": 1,
        "epoch": f"r{version}",
        "predicate": {"prefix": f"/{name}/"},
        "response": {"plant": "p", "horizon_ms": 2000, "trials": 2},
    }
    plant = {"name": "p", "epoch": f"r{version}", "sharded": True, "warm_hold_s": 5.0, "grants": "heartbeat"}
    apply = {"input_ports": [{"host": "h", "control_law": [rule]}], "plant_groups": [{**plant, **fields}]}
    return msgspec.json.encode({"apply": apply})
