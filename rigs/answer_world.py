"""Simulated calls whose upstreams give answers of every kind: statuses that HTTP does not know, refusals
without the not-executed header, successes without a seal, failures. Two hops in virtual time, with faults at
random frames. Each client's response is compared with the upstreams' answers, with the places where the
request was executed and with the time for which it may be held.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from msgspec.structs import replace

from anisestair.http import codec as http
from mesh.configuration.routes import Route
from mesh.data_plane.call_messages import BodyBytes
from mesh.data_plane.upstream_connections import ExchangeOutcome, ResponseReceived
from rigs.call_world import (
    FAULT_KINDS,
    READ,
    WRITE,
    CallWorld,
    PendingExchange,
    RecordedRequest,
    StubConnections,
    token_of,
)
from simulation.mesh.wire import ConnectionEnd
from simulation.mesh.world import Incarnation, Machine

HOLD_TOLERANCE_S = 0.25  # beyond the route's horizon
ONCE = replace(READ, name="once", prefix="/1/", trials=1)
TWICE = replace(READ, name="twice", prefix="/2/", trials=2)


@dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """An answer of an upstream. ``executed``: it executed the request; else it says that it did not."""

    status: int
    sealed: bool = True
    executed: bool = True
    with_attempt_id: bool = True
    silent: bool = False  # it executes the request and does not answer


class AnsweringConnections(StubConnections):
    """Stub for the connections to an upstream that gives the world's answers in turn."""

    async def send(
        self, attempt: bytes, payload: bytes, on_end: Callable[[ExchangeOutcome], None], body: BodyBytes = b""
    ) -> PendingExchange | None:
        """Executes the request unless the answer says that it was not executed, and sends the answer."""
        world = self.world
        assert isinstance(world, AnswerWorld)
        token = token_of(body or payload.rpartition(b"\r\n\r\n")[2])
        answer = world.next_answer()
        if answer.executed:
            world.begin(token, self.machine.name)
        seal = f"{self.machine.name} {token} {answer.status}".encode()
        headers = [(b"attempt-id", attempt)] if answer.with_attempt_id else []
        headers += [(b"response-seal", seal)] if answer.sealed else []
        headers += [] if answer.executed else [(b"not-executed", b"1")]
        exchange = PendingExchange(on_end)
        if answer.silent:
            return exchange
        message = http.Message(status=answer.status, headers=headers, body=body_of(seal))
        world.loop.call_later(world.rng.choice(world.work_times_s), exchange.end, ResponseReceived(message))
        return exchange


def body_of(seal: bytes) -> bytes:
    """The body of an answer with that seal."""
    return b"body of " + seal


class AnswerWorld(CallWorld):
    """Four upstreams that give ``answers`` in turn."""

    routes = (WRITE, ONCE, TWICE)
    upstreams = 4
    client_deadlines_ms = (300, 900, 1500, 5000)  # the last is beyond each route's horizon

    def __init__(
        self, seed: int, answers: Sequence[UpstreamAnswer], fault_kinds: Sequence[str] = FAULT_KINDS
    ) -> None:
        """``fault_kinds``: those to draw from."""
        super().__init__(seed, fault_kinds=fault_kinds)
        self.answers = answers
        self._answer_count = 0
        self.frozen_machines: set[str] = set()

    def next_answer(self) -> UpstreamAnswer:
        """The answer to the next request at any upstream."""
        self._answer_count += 1
        return self.answers[self._answer_count % len(self.answers)]

    def connections(self, machine: Machine) -> StubConnections:
        """The stub for the connections to that machine's upstream."""
        return AnsweringConnections(self, machine)

    def draw_route(self) -> Route:
        """Any route, with equal probability."""
        return self.rng.choice(self.routes)

    def _apply_fault(self, fault: str, incarnation: Incarnation, end: ConnectionEnd) -> float | None:
        if fault == "freeze here":
            self.frozen_machines.add(incarnation.machine.name)
        elif fault == "freeze there":
            self.frozen_machines.add(end.other.incarnation.machine.name)
        return super()._apply_fault(fault, incarnation, end)

    def check(self) -> list[str]:
        """Also checks each answer; the bodies differ from those that the base class expects."""
        found = [line for line in super().check() if not line.startswith("wrong answer")]
        for request in self.requests:
            if request.statuses:
                found += self._check_answer(request)
        return found

    def _check_answer(self, request: RecordedRequest) -> list[str]:
        found, status = [], request.statuses[0]
        seal = next((value for name, value in request.headers if name == b"response-seal"), None)
        if status not in http.STATUS_LINES:
            found.append(f"status: {request.token} got {status}, which is no status of HTTP")
        if seal is None and 200 <= status < 300:
            found.append(f"seal: {request.token} got {status} without a seal")
        if seal is not None:
            upstream, token, sealed_status = seal.decode().split()
            if (token, int(sealed_status)) != (request.token, status) or upstream not in self.executed_at[
                token
            ]:
                found.append(f"seal: {request.token} got {status} with {seal!r}")
            if request.response_body != body_of(seal):
                found.append(f"body: {request.token} got {request.response_body!r} with {seal!r}")
        held_s = request.answered_at - request.sent_at
        if (
            held_s > request.route.horizon_ms / 1000.0 + HOLD_TOLERANCE_S
            and request.sidecar not in self.frozen_machines
        ):
            found.append(f"held: {request.token} was held for {held_s:.3f} s")
        return found
