"""Upstreams of a divided service, as the operators' pages describe them, and a ledger of who holds which key.

Each upstream takes holds from the answers to its beats, lets go what an answer leaves out, and measures holds
by a clock of its own that may run slow. The ledger notes every moment at which two that are up hold one key.
"""

from __future__ import annotations

from typing import Any

import msgspec
import numpy as np
import simpy

from anisestair.http import codec as http
from mesh.transport.http_calls import Answer
from simulation.mesh.world import BEAT_S, Life, Machine, Script, World

KEYS = 65536
ANSWER_S = 1.0  # an upstream gives a beat up after this
AGAIN_S = 0.1  # it beats again so soon while it has keys to let go
SLOW_CLOCK = 0.02  # the most by which its clock is slow
WORK_S = 0.3  # what it has begun on keys that it lets go takes so long
Row = tuple[int, int, int]  # first key, last key, fence


class KeyServer:
    """One life of an upstream: an id, and the keys that it holds."""

    def __init__(self, world: OwnersWorld, machine: Machine, name: str) -> None:
        """Holds nothing."""
        self.world, self.machine, self.name, self.up = world, machine, name, True
        self.state = "settled"
        self.rate = 1.0 - SLOW_CLOCK * (machine.number % 3) / 2.0  # of its clock
        self.until = np.zeros(KEYS)  # the moment at which the hold of each key ends
        self.fences = np.zeros(KEYS, dtype=np.int64)  # the highest seen
        self.rows: dict[tuple[int, int], int] = {}  # held: fences by first and last key
        self.letting_go: dict[tuple[int, int], float] = {}  # and when the work on them ends
        self.released: list[list[Any]] = []  # let go since the last beat that was acknowledged
        self.beats = 0

    def holds(self, key: int) -> bool:
        """Whether it would run a request on that key now."""
        return self.up and bool(self.until[key] > self.world.env.now)

    def beat(self) -> dict[str, Any]:
        """What it tells now."""
        now = self.world.env.now
        for (first, last), ends in list(self.letting_go.items()):
            if ends <= now:
                del self.letting_go[first, last]
                self.released.append([first, last, f"{first:x}-{self.name}"])
        for (first, last), _ in list(self.rows.items()):
            if self.until[first] <= now and (first, last) not in self.letting_go:
                del self.rows[first, last]  # it has run out, which is not told
        self.beats += 1
        working = [[first, last, int(self.fences[first])] for first, last in self.letting_go]
        return {
            "plant": self.world.service(self.machine),
            "address": f"{self.machine.ip}:8147",
            "zone": self.world.zone(self.machine),
            "epoch": "v1",
            "capacity": 4,
            "state": self.state,
            "warmup_left_ms": 0,
            "sample_count": self.beats,
            "holds": [[first, last, fence] for (first, last), fence in self.rows.items()] + working,
            "released": list(self.released),
        }

    def take(self, answer: Answer, sent: float) -> bool:
        """An answer to the beat sent then; whether there is something that it still has to let go."""
        told = msgspec.json.decode(answer.body) if answer.body else {}
        self.released.clear()
        if "holds" not in told:
            return bool(self.letting_go)
        now = float(self.world.env.now)
        until = sent + told["hold_ms"] / 1000.0 / self.rate
        kept = {}
        for first, last, fence, _ in told["holds"]:
            keys = slice(first, last + 1)
            if np.any(self.fences[keys] > fence):
                continue
            kept[first, last] = fence
            self.fences[keys] = fence
        for first, last in list(self.rows):
            if (first, last) not in kept and self.until[first] > now:
                self.letting_go[first, last] = now + WORK_S
        self.rows = kept
        self.until[:] = 0.0
        for first, last in kept:
            self.until[first : last + 1] = until
        self.world.ledger(self)
        return bool(self.letting_go)


class OwnersWorld(World):
    """A mesh whose upstreams are all of one divided service. ``servers``: those that are up, by machine."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """As `World`."""
        super().__init__(*args, **kwargs)
        self.servers: dict[str, KeyServer] = {}
        self.deaf: set[str] = set()  # machines whose upstream's beats do not come to the proxy
        self.mute: set[str] = set()  # and those whose upstream does not get the answers
        self._lives_of: dict[str, int] = {}

    def ledger(self, server: KeyServer) -> None:
        """A hold has been taken: nobody else that is up may hold one of its keys now."""
        now = self.env.now
        mine = server.until > now
        for other in self.servers.values():
            if other is not server and other.up and np.any(mine & (other.until > now)):
                key = int(np.argmax(mine & (other.until > now)))
                self.witness.broken.append(
                    f"{now:.3f} OWNER: {server.name} and {other.name} both hold key {key}"
                )

    def holders(self) -> np.ndarray:
        """How many hold each key now."""
        held = np.zeros(KEYS, dtype=np.int64)
        for server in self.servers.values():
            if server.up:
                held += server.until > self.env.now
        return held

    def end_server(self, machine: Machine) -> None:
        """The upstream of that machine ends without a word; what it held is nobody's."""
        server = self.servers.pop(machine.name, None)
        if server is not None:
            server.up = False

    def start_server(self, machine: Machine) -> KeyServer:
        """Another life of it begins, with no keys."""
        self.end_server(machine)
        count = self._lives_of[machine.name] = self._lives_of.get(machine.name, 0) + 1
        server = self.servers[machine.name] = KeyServer(self, machine, f"i-{machine.name}-{count}")
        self.env.process(self._beats(server))
        return server

    def _upstream(self, life: Life) -> Script:
        """With the first life of the proxy; it outlives that."""
        if life.machine.name not in self._lives_of:
            self.start_server(life.machine)
        yield self.env.timeout(0.0)

    def _beats(self, server: KeyServer) -> Script:
        while server.up:
            life, sent = server.machine.life, float(self.env.now)
            again = False
            if life is not None and life.alive and life.program is not None:
                target = f"/instances/{server.name}".encode()
                message = http.Message(method=b"PUT", target=target, body=msgspec.json.encode(server.beat()))
                if server.machine.name not in self.deaf:
                    event: simpy.Event = self.ask(life, life.program.registry.handle, message)
                    yield event | self.env.timeout(ANSWER_S)
                    answer = event.value if event.triggered else None
                    heard = server.machine.name not in self.mute and server.up
                    if answer is not None and answer.status == 200 and heard:
                        again = server.take(answer, sent)
            yield self.env.timeout(AGAIN_S if again else BEAT_S)


def divided(version: int, name: str = "r1", **fields: Any) -> bytes:
    """A configuration of one divided service "p" and a route to it."""
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
