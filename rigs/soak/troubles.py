"""Carries out what a plan says goes wrong."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from typing import Any

from rigs.mesh_peers import Address, call, polled
from rigs.soak import plan as events
from rigs.soak.machines import Machines
from rigs.soak.nodes import Node

HEARD_S = 40.0  # until a beat of an upstream's next life is answered
DRAIN_S = 2.0
REUSE_S = 2.0
LIST_LAG_S = 3.0  # the operators' list, and settings files, name a new controller so much later
HUP_GAP_S = 0.02


class Troubles:
    """On the machines of one soak."""

    def __init__(self, machines: Machines) -> None:
        """None yet."""
        self._machines = machines
        self._takers: list[events.KillTaker] = []
        self._changing: set[str] = set()  # proxies whose upstream an event is at

    async def apply(self, event: events.Event) -> None:
        """Returns once it is over, but for what supervisors do by themselves."""
        await APPLIED[type(event)](self, event)

    def acknowledged(self, address: Address) -> None:
        """The controller there has just acknowledged a write."""
        for node in self._machines.controllers.values():
            if node.control == address and self._takers:
                taker = self._takers.pop(0)
                node.kill(taker.down_s, taker.wipe)

    def end(self) -> None:
        """What waits for an occasion has none any more, and links carry everything."""
        self._takers.clear()
        self._machines.links.heal()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def _kill(self, event: events.Kill) -> None:
        for name in event.nodes:
            self._machines.node(name).kill(event.down_s, name in event.wipe)

    async def _kill_taker(self, event: events.KillTaker) -> None:
        self._takers.append(event)

    async def _terminate(self, event: events.Terminate) -> None:
        loop = asyncio.get_running_loop()
        for name in event.nodes:
            node = self._machines.node(name)
            node.terminate(event.down_s)
            if event.hangup_s:
                loop.call_later(event.hangup_s, node.send, signal.SIGHUP)
            if event.again_s:
                loop.call_later(event.again_s, self._terminate_again, node)
            await asyncio.sleep(event.gap_s)

    @staticmethod
    def _terminate_again(node: Node) -> None:
        if node.life in node.term_at:
            node.terminate(node.down_s)

    async def _freeze(self, event: events.Freeze) -> None:
        nodes = [self._machines.node(name) for name in event.nodes]
        await asyncio.gather(*(node.freeze(event.for_s) for node in nodes))

    async def _retune(self, event: events.Retune) -> None:
        for _ in range(event.count):
            for name in event.nodes:
                self._machines.node(name).retune(event.setting, event.signalled)
            await asyncio.sleep(HUP_GAP_S)

    async def _cut(self, event: events.CutLinks) -> None:
        await self._machines.links.cut(event)

    async def _degrade(self, event: events.DegradeLinks) -> None:
        await self._machines.links.degrade(event)

    async def _reset(self, event: events.ResetLinks) -> None:
        self._machines.links.reset(event)

    async def _end_upstream(self, event: events.EndUpstream) -> None:
        if event.node in self._changing:
            return  # another event is at it
        self._changing.add(event.node)
        try:
            await self._change_upstream(event)
        finally:
            self._changing.discard(event.node)

    async def _change_upstream(self, event: events.EndUpstream) -> None:
        machines = self._machines
        node, upstream = machines.proxies[event.node], machines.upstreams[event.node]
        trouble = machines.contact.node(f"upstream of {node.name}", self._now(), event.planned)
        machines.silence_upstream(node)
        if event.planned:
            await self._sign_off(node)
        upstream.close()
        other = event.service != node.service
        if other:
            node.terminate(REUSE_S)
        await asyncio.sleep(max(event.down_s, REUSE_S if other else 0.0))
        life = int(upstream.instance.rpartition("-")[2]) + 1
        await machines.new_upstream(node, event.service, life, upstream.address[1])
        trouble.ended = self._now()
        if event.late_s:
            await polled(lambda: self._heard(node), HEARD_S)
            await asyncio.sleep(event.late_s)
            await upstream.tell(node.control)

    async def _sign_off(self, node: Node) -> None:
        """It says that it leaves, serves on, and signs off."""
        upstream = self._machines.upstreams[node.name]
        for _ in range(4):
            if await upstream.tell(node.control, "decaying") // 100 == 2:
                break
            await asyncio.sleep(0.3)
        await asyncio.sleep(DRAIN_S + 0.3)
        await call(node.control, b"DELETE", b"/instances/" + upstream.instance.encode(), within_s=1.0)

    async def _heard(self, node: Node) -> bool:
        """Whether a beat of the upstream that is there now was answered."""
        return self._machines.upstreams[node.name].acknowledged

    async def _replace(self, event: events.ReplaceController) -> None:
        machines = self._machines
        node = machines.controllers[event.node]
        if node.retired:
            return
        node.retired = True
        node.kill(0.0, False)
        await asyncio.sleep(event.down_s)
        successor = machines.add_controller(f"{event.node}-{len(machines.controllers)}")
        successor.cold_boot = False
        successor.start()
        await asyncio.sleep(LIST_LAG_S)
        machines.list_controllers()
        for one in machines.all():
            if not one.retired:
                one.write_settings()


APPLIED: dict[type, Callable[[Troubles, Any], Awaitable[None]]] = {
    events.Kill: Troubles._kill,
    events.KillTaker: Troubles._kill_taker,
    events.Terminate: Troubles._terminate,
    events.Freeze: Troubles._freeze,
    events.Retune: Troubles._retune,
    events.CutLinks: Troubles._cut,
    events.DegradeLinks: Troubles._degrade,
    events.ResetLinks: Troubles._reset,
    events.EndUpstream: Troubles._end_upstream,
    events.ReplaceController: Troubles._replace,
}
