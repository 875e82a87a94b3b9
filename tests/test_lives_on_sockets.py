"""Random orders of events, the same through the machines alone and through real sockets: after each step both
must hold the same lives, and in the end every request must have had the same outcome."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import Any

import pytest
from sockets import FakeDiscovery, Peer, Upstream, host, world
from test_sidecar import run, until

from anisestair.http import codec as http
from anisestair.lifecycle import Lives
from anisestair.lifecycle import events as ev
from anisestair.lifecycle.exchange import Final
from anisestair.sidecar import STATUS
from hareloom import interface as api
from hareloom.interface import NEVER_RAN, Outcome

SERVERS, STEPS, ATTEMPTS = ("s-0", "s-1"), 25, 3


class Turns:
    """A module that anybody can foresee: servers in turn, again after what never ran, then an end."""

    def __init__(self) -> None:
        self.turn = 0
        self.attempts: dict[str, list[Outcome | None]] = {}

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.Request):
            self.attempts[event.request] = []
            return self.send(event.request)
        if isinstance(event, api.AttemptEnded):
            attempts = self.attempts[event.request]
            attempts[event.attempt] = event.outcome
            if event.closed:
                return []
            if event.outcome in NEVER_RAN and len(attempts) < ATTEMPTS:
                return self.send(event.request)
            never = all(item in NEVER_RAN for item in attempts)
            return [api.Refuse(event.request) if never else api.Fail(event.request)]
        if isinstance(event, api.ClientGone):
            out = self.attempts[event.request]
            return [api.Cancel(event.request, number) for number, item in enumerate(out) if item is None]
        return []

    def send(self, request: str) -> list[api.Action]:
        self.turn += 1
        self.attempts[request].append(None)
        return [api.Send(request, SERVERS[self.turn % len(SERVERS)], 0.0)]


class Machines:
    """The machines with that module, where everything that is due happens at once."""

    def __init__(self) -> None:
        self.lives, self.module = Lives(99, 4), Turns()
        self.accepting = dict.fromkeys(SERVERS, True)
        self.finals: dict[str, int] = {}
        self.lines: dict[str, int] = {}  # request in hand at an upstream -> its connection

    def feed(self, event: ev.Event) -> None:
        self.carry_out(self.lives.handle(event))

    def tell(self, event: api.Event) -> None:
        for action in self.module.handle(0.0, event):
            if isinstance(action, api.Send):
                self.feed(ev.Choose(action.request, action.server))
            elif isinstance(action, api.Cancel):
                self.feed(ev.GiveUp(action.request, action.attempt, Outcome.CANCELLED))
            elif isinstance(action, api.Refuse | api.Fail):
                final = Final.REFUSED if isinstance(action, api.Refuse) else Final.FAILED
                self.feed(ev.Settle(action.request, final))

    def carry_out(self, effects: list[ev.Effect]) -> None:
        for effect in effects:
            if isinstance(effect, ev.Reply):
                self.finals[effect.request] = STATUS.get(effect.final, 200)
            elif isinstance(effect, ev.Ended):
                self.tell(api.AttemptEnded(effect.request, effect.number, effect.outcome, 0.0, effect.closed))
            elif isinstance(effect, ev.Left):
                self.tell(api.ClientGone(effect.request))
            elif isinstance(effect, ev.Open):
                up = self.accepting[effect.server]
                self.feed(ev.Up(effect.connection) if up else ev.NotUp(effect.connection, False))
            elif isinstance(effect, ev.Write):
                self.lines[effect.call[0]] = effect.connection
            elif isinstance(effect, ev.Close):
                self.feed(ev.Lost(effect.connection))


def comparable_state(lives: Lives) -> Any:
    """What the tables hold, but for the numbers of connections."""
    exchanges = {
        request: (item.owed, [(attempt.stage, attempt.may_have_run) for attempt in item.attempts])
        for request, item in lives.exchanges.items()
    }
    lines = Counter((item.stage, item.server, item.calls) for item in lives.connections.values())
    return exchanges, lines, {name: item.ready for name, item in lives.endpoints.items()}


class Held:
    """An upstream that keeps each request until it is told what to do."""

    def __init__(self) -> None:
        self.hands: dict[str, tuple[Peer, asyncio.Event]] = {}

    async def __call__(self, peer: Peer, message: http.Message) -> None:
        done = asyncio.Event()
        self.hands[message.get(b"x-correlation-id") or ""] = (peer, done)
        await done.wait()

    async def act(self, request: str, way: str) -> None:
        await until(lambda: request in self.hands)
        peer, done = self.hands.pop(request)
        if way == "reset":
            peer.reset()
        elif way == "garbage":
            peer.writer.write(b"\x00 what no one can read\r\n\r\n")
        else:
            status, headers = {"ok": (200, []), "behind": (200, []), "error": (500, [])}.get(
                way, (503, [(b"x-unprocessed", b"1")])
            )
            answer = http.write_response(status, headers, b"", close=False)
            peer.writer.write(answer + (b"HTTP/1.1 200 OK" if way == "behind" else b""))
        done.set()


WAYS = {
    "ok": (Outcome.OK, True),
    "behind": (Outcome.OK, False),
    "error": (Outcome.ERROR, True),
    "full": (Outcome.FULL, True),
}


@pytest.mark.parametrize("seed", range(24))
def test_machines_and_sockets_come_to_the_same(seed: int) -> None:
    chance = random.Random(seed)

    async def test(first: Upstream, discovery: FakeDiscovery) -> None:
        held = Held()
        upstreams = [Upstream(held), Upstream(held)]
        for upstream in upstreams:
            await upstream.start()
        dials = dict(zip(SERVERS, (item.dial for item in upstreams), strict=True))
        listed = dict.fromkeys(SERVERS, "up")
        machines, statuses, asked = Machines(), dict[str, int](), dict[str, asyncio.Task[Any]]()
        machines.feed(ev.Listed(tuple(ev.Listing(name, True, 0) for name in SERVERS), True))
        async with world(discovery, *(host(name, dial) for name, dial in dials.items())) as there:
            there.sidecar.balancer = Turns()  # type: ignore[assignment]
            there.sidecar.discovery.watch()  # which the real module asks for
            clients: dict[str, Any] = {}

            async def ask(request: str) -> None:
                client = clients[request] = await there.client()
                statuses[request] = (await client.ask(request, left=1200)).status

            for step in range(STEPS):
                out = sorted(
                    request
                    for request, item in machines.lives.exchanges.items()
                    if item.owed and item.attempts and item.attempts[-1].stage == 2
                )
                what = chance.choice(["ask", "ask", "answer", "answer", "answer", "leave", "list", "accept"])
                if what == "ask":
                    request = f"r{step}"
                    asked[request] = asyncio.create_task(ask(request))
                    machines.feed(ev.Take(request))
                    machines.tell(api.Request(request, "sale", 0.0))
                elif what == "answer" and out:
                    request, way = chance.choice(out), chance.choice([*WAYS, "reset", "garbage"])
                    number = len(machines.lives.exchanges[request].attempts) - 1
                    line = machines.lines[request]
                    if way in WAYS:
                        machines.feed(ev.Answered(line, (request, number), *WAYS[way]))
                    else:
                        machines.feed(ev.Lost(line) if way == "reset" else ev.Spoilt(line))
                    await held.act(request, way)
                elif what == "leave" and out:
                    request = chance.choice(out)
                    await until(lambda request=request: request in held.hands)  # type: ignore[misc]
                    held.hands.pop(request)
                    asked[request].cancel()
                    clients[request].writer.transport.abort()
                    machines.feed(ev.Settle(request, Final.GONE))
                elif what == "list":
                    name = chance.choice(SERVERS)
                    listed[name] = chance.choice(
                        [item for item in ("up", "draining", "removed") if item != listed[name]]
                    )
                    discovery.tell(step + 2, host(name, dials[name], listed[name]))
                    life = None if listed[name] == "removed" else 0
                    machines.feed(ev.Listed((ev.Listing(name, listed[name] == "up", life),), False))
                elif what == "accept":
                    number = chance.randrange(len(SERVERS))
                    now = machines.accepting[SERVERS[number]] = not machines.accepting[SERVERS[number]]
                    if now:
                        port = int(upstreams[number].dial.rpartition(":")[2])
                        upstreams[number].server = await asyncio.start_server(
                            upstreams[number]._connected, "127.0.0.1", port
                        )
                    else:
                        upstreams[number].server.close()
                want = comparable_state(machines.lives)
                await until(lambda want=want: comparable_state(there.sidecar.lives) == want)  # type: ignore[misc]
                await until(lambda: statuses == machines.finals)
            for task in asked.values():
                task.cancel()
        for upstream in upstreams:
            upstream.close()

    run(test)
