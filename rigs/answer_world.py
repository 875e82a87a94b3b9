"""Drawn plays of calls whose upstreams give answers of every kind: statuses that HTTP does not know, promises
without their mark, successes without a seal, failures. Two hops, troubles at drawn frames, virtual time; the
judge compares what each client was told with what the upstreams had given, where it ran, and how long it was
held.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from msgspec.structs import replace

from anisestair.http import codec as http
from mesh.configuration.routes import Route
from mesh.data_plane.call_messages import BodyBytes
from mesh.data_plane.upstream_connections import ExchangeOutcome, ResponseReceived
from rigs.call_world import READ, TROUBLES, WRITE, Asked, CallWorld, StubConnections, Work, token_of
from simulation.mesh.wire import End
from simulation.mesh.world import Life, Machine

HELD_OVER_S = 0.25  # past its route's horizon no request is held so long
ONCE = replace(READ, name="once", prefix="/1/", trials=1)
TWICE = replace(READ, name="twice", prefix="/2/", trials=2)


@dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """What an upstream gives. ``executed``: it began the request; else it says that it did not."""

    status: int
    sealed: bool = True
    executed: bool = True
    named: bool = True  # it tells the id of the request
    silent: bool = False  # it begins the request and says nothing


class AnsweringConnections(StubConnections):
    """Stands in for the connections to an upstream that gives the world's answers in turn."""

    async def send(
        self, attempt: bytes, payload: bytes, ended: Callable[[ExchangeOutcome], None], body: BodyBytes = b""
    ) -> Work | None:
        """Begins the request unless the answer says that it did not, and ends it with that answer."""
        world = self.world
        assert isinstance(world, AnswerWorld)
        token = token_of(body or payload.rpartition(b"\r\n\r\n")[2])
        given = world.next_answer()
        if given.executed:
            world.begin(token, self.machine.name)
        seal = f"{self.machine.name} {token} {given.status}".encode()
        headers = [(b"attempt-id", attempt)] if given.named else []
        headers += [(b"response-seal", seal)] if given.sealed else []
        headers += [] if given.executed else [(b"not-executed", b"1")]
        work = Work(ended)
        if given.silent:
            return work
        message = http.Message(status=given.status, headers=headers, body=body_of(seal))
        world.loop.call_later(world.draw.choice(world.works_s), work.end, ResponseReceived(message))
        return work


def body_of(seal: bytes) -> bytes:
    """The body that goes with a seal."""
    return b"body of " + seal


class AnswerWorld(CallWorld):
    """Four upstreams that give ``answers`` in turn."""

    routes = (WRITE, ONCE, TWICE)
    upstreams = 4
    waits_ms = (300, 900, 1500, 5000)  # the last beyond each route's horizon

    def __init__(self, seed: int, answers: Sequence[UpstreamAnswer], kinds: Sequence[str] = TROUBLES) -> None:
        """``kinds``: of trouble."""
        super().__init__(seed, kinds=kinds)
        self.answers = answers
        self._given = 0
        self.held_up: set[str] = set()  # machines that stood still

    def next_answer(self) -> UpstreamAnswer:
        """What the next request at any upstream gets."""
        self._given += 1
        return self.answers[self._given % len(self.answers)]

    def connections(self, machine: Machine) -> StubConnections:
        """Stands in for the connections to that machine's upstream."""
        return AnsweringConnections(self, machine)

    def draw_route(self) -> Route:
        """Any, each as often."""
        return self.draw.choice(self.routes)

    def _strike(self, fault: str, life: Life, end: End) -> float | None:
        if fault == "freeze here":
            self.held_up.add(life.machine.name)
        elif fault == "freeze there":
            self.held_up.add(end.other.life.machine.name)
        return super()._strike(fault, life, end)

    def judged(self) -> list[str]:
        """What was broken, a line each."""
        found = [line for line in super().judged() if not line.startswith("another's")]
        for one in self.asked:
            if one.got:
                found += self._judged_answer(one)
        return found

    def _judged_answer(self, one: Asked) -> list[str]:
        found, status = [], one.got[0]
        seal = next((value for name, value in one.headers if name == b"response-seal"), None)
        if status not in http.STATUS_LINES:
            found.append(f"status: {one.token} got {status}, which HTTP does not know")
        if seal is None and 200 <= status < 300:
            found.append(f"seal: {one.token} got {status} without one")
        if seal is not None:
            upstream, token, given = seal.decode().split()
            if (token, int(given)) != (one.token, status) or upstream not in self.ran_at[token]:
                found.append(f"seal: {one.token} got {status} with {seal!r}")
            if one.body != body_of(seal):
                found.append(f"body: {one.token} got {one.body!r} with {seal!r}")
        held_s = one.answered_at - one.sent_at
        if held_s > one.route.horizon_ms / 1000.0 + HELD_OVER_S and one.home not in self.held_up:
            found.append(f"held: {one.token} was held for {held_s:.3f} s")
        return found
