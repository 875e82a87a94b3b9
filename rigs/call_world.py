"""Simulated calls in virtual time on four sidecars with the shipped program, two beside upstreams of one
service. Faults strike random frames between them; executions and clients' results are recorded and checked.

    python -m rigs.call_world [RUNS] [FIRST SEED]

Only the connections to upstreams are stubs (`UpstreamConnectionPool` has tests and a model of its own).
"""

from __future__ import annotations

import json
import random
import sys
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any
from unittest import mock

from anisestair.http import codec as http
from mesh.configuration.routes import Route
from mesh.data_plane.call_messages import BodyBytes
from mesh.data_plane.peer_calls import PeerLink
from mesh.data_plane.upstream_connections import ExchangeFailed, ExchangeOutcome, NotSent, ResponseReceived
from mesh.transport.body_pieces import PIECE_BYTES
from mesh.transport.link import Link
from simulation.mesh.wire import LATENCY_S, ConnectionEnd
from simulation.mesh.world import Incarnation, Machine, Script, World

SERVICE, HOST = "p", "h.example"
AIM_MS, HORIZON_MS = 400.0, 1500.0
WRITE = Route("write", 1, HOST, "/w/", True, HORIZON_MS, AIM_MS, 3, 1, ((SERVICE, 1.0),))
READ = Route("read", 1, HOST, "/r/", False, HORIZON_MS, AIM_MS, 3, 1, ((SERVICE, 1.0),))
FAULT_KINDS = (
    *("late", "doubled", "reset before", "reset after", "all reset", "cut", "cut one way"),
    *("freeze here", "freeze there", "killed here", "killed there"),
)
REQUESTS, FAULT_FRAMES = 14, 60  # of one run: requests, and frames among which the faults are drawn
LONG_BODY_BYTES, LONG_BODY_SHARE = 3 * PIECE_BYTES, 0.25  # bodies and responses sent in pieces
PADDING = b"."
SETTLE_S = 10.0  # after the last request; longer than any fault and its effects last


@dataclass
class RecordedRequest:
    """One request of a client and its responses; ``statuses`` holds all of them in order."""

    token: str
    sidecar: str
    route: Route
    sent_at: float
    request_body: bytes = b""  # starts with the token
    statuses: list[int] = field(default_factory=list)
    headers: http.Headers = field(default_factory=list)
    response_body: bytes = b""
    answered_at: float = 0.0
    incarnation: Any = None
    link_lost_at: float | None = None  # when its first hop lost the link over which it was sent
    executed_before_loss: bool = False

    @property
    def effectful(self) -> bool:
        return self.route.effectful


def token_of(body: BodyBytes) -> str:
    """The token at the start of a request's body."""
    return bytes(body).partition(PADDING)[0].decode()


class PendingExchange:
    """A request at an upstream, with the interface of a connection that `UpstreamDispatch` uses."""

    def __init__(self, on_end: Callable[[ExchangeOutcome], None]) -> None:
        self.on_end: Callable[[ExchangeOutcome], None] | None = on_end

    def drop(self) -> None:
        self.on_end = None

    def end(self, outcome: ExchangeOutcome) -> None:
        on_end, self.on_end = self.on_end, None
        if on_end is not None:
            on_end(outcome)


class StubConnections:
    """Stub for the connections to the upstream beside one sidecar."""

    def __init__(self, world: CallWorld, machine: Machine) -> None:
        self.world, self.machine, self.max_connections = world, machine, 100

    async def send(
        self, attempt: bytes, payload: bytes, on_end: Callable[[ExchangeOutcome], None], body: BodyBytes = b""
    ) -> PendingExchange | None:
        world, rng = self.world, self.world.rng
        chance = rng.random() if world.upstreams_fail else 1.0
        if chance < 0.02:
            on_end(NotSent(False))
            return None
        request_body = bytes(body) or payload.rpartition(b"\r\n\r\n")[2]
        world.begin(token_of(request_body), self.machine.name)
        exchange = PendingExchange(on_end)
        if chance < 0.05:
            outcome: ExchangeOutcome = ExchangeFailed("the connection ended")
        else:
            headers = [(b"attempt-id", attempt), (b"response-seal", b"s")]
            outcome = ResponseReceived(http.Message(status=200, headers=headers, body=b"of " + request_body))
        world.loop.call_later(rng.choice(world.work_times_s), exchange.end, outcome)
        return exchange

    def close_expired(self) -> None:
        pass

    def close(self) -> None:
        pass


class CallWorld(World):
    """One simulated run of a seed."""

    routes: tuple[Route, ...] = (WRITE, READ)  # the last one is idempotent
    upstreams = 2
    client_deadlines_ms: tuple[int, ...] = (300, 600, 900, 1500)  # remaining times that clients send

    def __init__(
        self,
        seed: int,
        queries_lost_calls: bool = True,
        fault_kinds: Sequence[str] = FAULT_KINDS,
        upstreams_fail: bool = True,
    ) -> None:
        super().__init__()
        self._patches.append(
            mock.patch.object(PeerLink, "_on_link_lost", self._recording_link_loss(PeerLink._on_link_lost))
        )
        self.fault_kinds, self.upstreams_fail = fault_kinds, upstreams_fail
        self.rng = random.Random(seed)
        self.queries_lost_calls = queries_lost_calls
        self.work_times_s = (0.003, 0.02, 0.08, 0.3 if upstreams_fail else 0.15)
        self.executions: Counter[str] = Counter()
        # The upstreams that executed a request, by token.
        self.executed_at: defaultdict[str, set[str]] = defaultdict(set)
        self.requests: list[RecordedRequest] = []
        self.faults: dict[int, str] = {}
        self.applied_faults: list[str] = []

    def service(self, machine: Machine) -> str:
        return SERVICE if machine.name.startswith("s") else "clients"

    def connections(self, machine: Machine) -> StubConnections:
        """The stub for the connections to that machine's upstream."""
        return StubConnections(self, machine)

    def begin(self, token: str, upstream: str) -> None:
        """Records that an upstream begins to execute a request."""
        self.executions[token] += 1
        self.executed_at[token].add(upstream)

    def instrument(self, incarnation: Incarnation) -> None:
        program = incarnation.program
        program.upstream_connections = program.upstream_dispatch.connections = self.connections(
            incarnation.machine
        )
        if not self.queries_lost_calls:
            program.peer_links.incarnation = ""
        for route in self.routes:
            program.routes.put(route)

    # Faults

    def reach_fault_point(
        self, kind: str, incarnation: Incarnation, end: ConnectionEnd | None = None
    ) -> float | None:
        if not self.recording_points or not incarnation.alive or end is None:
            return 0.0
        number = len(self.fault_points)
        self.fault_points.append((kind, incarnation.machine.name))
        fault = self.faults.get(number)
        if fault is None:
            return 0.0
        self.applied_faults.append(f"{number} {fault}")
        return self._apply_fault(fault, incarnation, end)

    def _apply_fault(self, fault: str, incarnation: Incarnation, end: ConnectionEnd) -> float | None:
        network, other = self.network, end.other.incarnation
        seconds = self.rng.choice((0.3, 0.5, 0.7, 1.0, 2.0, 5.0))
        if fault == "late":
            return seconds
        if fault == "doubled":
            network.duplicates[incarnation, other] = end.last_frame
        elif fault == "reset before":
            network.break_connection(end)
            return None
        elif fault == "reset after":
            self.loop.call_later(1.5 * LATENCY_S, network.break_connection, end)
        elif fault == "all reset":
            for wire_end in list(network.ends):
                if not wire_end.closed and self.rng.random() < 0.5:
                    network.break_connection(wire_end)
        elif fault in ("cut", "cut one way"):
            self.partition([incarnation.machine], [other.machine], both_ways=fault == "cut")
            self.loop.call_later(seconds, self.heal)
        elif fault in ("freeze here", "freeze there"):
            self.freeze((incarnation if fault == "freeze here" else other).machine, seconds)
        elif fault in ("killed here", "killed there"):
            self._kill(incarnation if fault == "killed here" else other)
            return None
        return 0.0

    def _kill(self, incarnation: Incarnation) -> None:
        if incarnation.alive:
            self.kill(incarnation.machine)
            self.restart(incarnation.machine)
            self.env.process(self._share_after_restart(incarnation.machine))

    def _share_after_restart(self, machine: Machine) -> Script:
        yield self.env.timeout(0.5)
        self.share_memberships()

    def _recording_link_loss(self, real: Any) -> Any:
        """Wraps the handler of lost links to record the effectful requests that were sent over the link."""

        def lost(outgoing: PeerLink, link: Link, why: str) -> None:
            if outgoing.link is link:
                tokens = {token_of(open_call.call.body) for open_call in outgoing.open_calls.values()}
                for request in self.requests:
                    if request.token in tokens and request.effectful and request.link_lost_at is None:
                        request.link_lost_at, request.executed_before_loss = (
                            self.loop.time(),
                            self.executions[request.token] > 0,
                        )
            real(outgoing, link, why)

        return lost

    # Scripts

    def share_memberships(self) -> None:
        """Copies every process's membership store to all others, as the pull exchange would."""
        programs = [program for _, program in self.programs(controllers=False)]
        items = [item for program in programs for item in list(program.membership_store.items.values())]
        for machine, program in self.programs(controllers=False):
            changed = program.membership_store.merge(items, {})
            if changed:
                machine.incarnation.context.run(program._on_items, "roll", changed)  # type: ignore[union-attr]

    def request(self, machine: Machine, route: Route, attempt: str, left_ms: int) -> None:
        program = machine.program
        if program is None:
            return
        request = RecordedRequest(
            f"t{len(self.requests)}", machine.name, route, self.loop.time(), incarnation=machine.incarnation
        )
        self.requests.append(request)
        headers = [
            (b"host", HOST.encode()),
            (b"attempt-id", attempt.encode()),
            (b"time-remaining", b"%d" % left_ms),
        ]
        target = route.prefix.encode() + b"x"
        request.request_body = request.token.encode()
        if self.rng.random() < LONG_BODY_SHARE:
            request.request_body = request.request_body.ljust(LONG_BODY_BYTES, PADDING)
        message = http.Message(method=b"POST", target=target, headers=headers, body=request.request_body)

        def reply(status: int, headers: http.Headers, body: BodyBytes) -> None:
            request.statuses.append(status)
            request.headers, request.response_body = headers, bytes(body)
            request.answered_at = self.loop.time()

        def begin() -> None:
            program.request_dispatcher.begin(program.balancers.now(), message, reply)

        machine.incarnation.context.run(self.loop.call_soon, begin)  # type: ignore[union-attr]

    def boot_sidecars(self) -> Script:
        sidecars = [
            self.add(f"{kind}{n}", f"10.0.{at}.{n}", controller=False)
            for at, (kind, count) in enumerate((("f", 2), ("s", self.upstreams)))
            for n in range(1, count + 1)
        ]
        for machine in sidecars:
            self.start(machine)
        yield self.env.timeout(0.1)
        self.share_memberships()
        yield self.env.timeout(0.05)

    def draw_route(self) -> Route:
        return WRITE if self.rng.random() < 0.8 else READ

    def draw_faults(self) -> None:
        for _ in range(self.rng.choice((1, 1, 2, 3, 4))):
            self.faults[self.rng.randrange(FAULT_FRAMES)] = self.rng.choice(self.fault_kinds)

    def play(self, world: World) -> Script:
        rng = self.rng
        yield from self.boot_sidecars()
        for number in range(4):  # so that all links are up before the first fault
            self.request(self.machines["f1" if number % 2 else "f2"], self.routes[-1], f"w{number}", 900)
            yield self.env.timeout(0.1)
        self.draw_faults()
        self.recording_points = True
        for number in range(REQUESTS):
            sidecar = self.machines[rng.choice(("f1", "f1", "f2", "f2", "s1"))]
            attempt = f"a{rng.randrange(number + 1)}" if rng.random() < 0.1 else f"a{number}"
            self.request(sidecar, self.draw_route(), attempt, rng.choice(self.client_deadlines_ms))
            yield self.env.timeout(rng.choice((0.0, 0.002, 0.02, 0.1)))
        self.recording_points = False
        yield self.env.timeout(SETTLE_S)

    # Checks

    def check(self) -> list[str]:
        """Checks the recorded requests and the final state; returns a line for each violation."""
        found = []
        for request in self.requests:
            alive = request.incarnation.alive
            if len(request.statuses) > 1 or not request.statuses and alive:
                found.append(f"{request.token} at {request.sidecar} got statuses {request.statuses}")
            if request.statuses[:1] == [200] and request.response_body != b"of " + request.request_body:
                found.append(
                    f"wrong answer: {request.token} got {request.response_body[:20]!r}, "
                    f"{len(request.response_body)} bytes"
                )
            if request.statuses[:1] == [200] and not self.executions[request.token]:
                found.append(f"wrong answer: {request.token} was served and never executed")
            if request.effectful and self.executions[request.token] > 1:
                found.append(f"twice: {request.token} was executed {self.executions[request.token]} times")
            if request.effectful and request.statuses[:1] == [503] and self.executions[request.token]:
                found.append(f"promise: {request.token} was refused as not executed, and was executed")
            if len(self.executed_at[request.token]) > request.route.trials:
                found.append(
                    f"trials: {request.token} was executed at {sorted(self.executed_at[request.token])}"
                )
        for machine, program in self.programs(controllers=False):
            found += unfinished_work(machine.name, program)
        return found

    def find_violations(self) -> list[str]:
        """Runs the simulation and returns a line for each violation."""
        with self:
            return self.run(self.play) + self.check()


def unfinished_work(name: str, program: Any) -> list[str]:
    """The work that a sidecar has left after all activity has ended, a line each."""
    found = []
    if program.upstream_dispatch.running or len(program.upstream_dispatch.queue):
        found.append(f"{name}: calls at the upstream or in the wait queue")
    if program.request_dispatcher.open_requests or len(program.peer_links.turns):
        found.append(f"{name}: open requests")
    for node, peer in program.peer_links._links.items():
        expected = peer.link.expected_replies if peer.link is not None else 0
        if peer.open_calls or peer.to_query or peer.waiting or expected > (not peer.verified):
            found.append(
                f"{name} to {node}: {len(peer.open_calls)} open calls, {len(peer.to_query)} to query, "
                f"{expected} expected replies"
            )
    for link in program.incoming_links:
        if link.owed_replies or link.expected_replies:
            found.append(f"{name}: a link owes {link.owed_replies} replies, expects {link.expected_replies}")
    held = {kind: usage["held_bytes"] for kind, usage in program.request_dispatcher.buffers.usage().items()}
    if any(held.values()):
        found.append(f"{name}: buffers still hold bytes: {held}")
    if program.sessions.held_bytes or any(s.calls for s in program.sessions.by_incarnation.values()):
        found.append(f"{name}: sessions still hold ends")
    return found


def main() -> None:
    runs, first = (int(argument) for argument in [*sys.argv[1:], *("100", "0")[len(sys.argv) - 1 :]])
    started, broken, results = time.perf_counter(), 0, Counter[str]()
    applied = Counter[str]()
    for seed in range(first, first + runs):
        world = CallWorld(seed)
        found = world.find_violations()
        applied.update(fault.partition(" ")[2] for fault in world.applied_faults)
        results.update(
            str(request.statuses[0]) if request.statuses else "closed" for request in world.requests
        )
        if found:
            broken += 1
            print(seed, world.applied_faults, found[:4], flush=True)
    print(
        json.dumps(
            {
                "plays": runs,
                "first_seed": first,
                "broken": broken,
                "troubles": dict(applied),
                "told": dict(results),
                "seconds": round(time.perf_counter() - started, 1),
            }
        )
    )


if __name__ == "__main__":
    main()
