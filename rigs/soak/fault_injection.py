"""Injects the faults of a plan."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from typing import Any

from rigs.mesh_peers import Address, call, poll_until
from rigs.soak import plan as events
from rigs.soak.machines import Machines
from rigs.soak.nodes import Node

HEARTBEAT_WAIT_S = 40.0  # for the first acknowledged heartbeat of an upstream's next incarnation
DRAIN_S = 2.0
ADDRESS_REUSE_S = 2.0
LIST_DELAY_S = 3.0  # until the operators' list and the settings files name a new controller
SETTINGS_GAP_S = 0.02


class FaultInjector:
    """Injects faults into the machines of one soak."""

    def __init__(self, machines: Machines) -> None:
        """Injects none yet."""
        self._machines = machines
        self._pending_kills: list[events.KillAcknowledger] = []
        self._changing: set[str] = set()  # proxies whose upstream is being replaced

    async def inject(self, event: events.Event) -> None:
        """Returns when the fault is over, apart from what the supervisors do by themselves."""
        await HANDLERS[type(event)](self, event)

    def on_acknowledged(self, address: Address) -> None:
        """Handles that the controller at that address has just acknowledged a write."""
        for node in self._machines.controllers.values():
            if node.control == address and self._pending_kills:
                event = self._pending_kills.pop(0)
                node.kill(event.down_s, event.wipe)

    def end(self) -> None:
        """Discards the pending kills and ends all cuts."""
        self._pending_kills.clear()
        self._machines.links.heal()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def _kill(self, event: events.Kill) -> None:
        for name in event.nodes:
            self._machines.node(name).kill(event.down_s, name in event.wipe)

    async def _kill_acknowledger(self, event: events.KillAcknowledger) -> None:
        self._pending_kills.append(event)

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
        if node.incarnation in node.term_at:
            node.terminate(node.down_s)

    async def _freeze(self, event: events.Freeze) -> None:
        nodes = [self._machines.node(name) for name in event.nodes]
        await asyncio.gather(*(node.freeze(event.for_s) for node in nodes))

    async def _change_settings(self, event: events.ChangeSettings) -> None:
        for _ in range(event.count):
            for name in event.nodes:
                self._machines.node(name).change_settings(event.setting, event.signalled)
            await asyncio.sleep(SETTINGS_GAP_S)

    async def _cut(self, event: events.CutLinks) -> None:
        await self._machines.links.cut(event)

    async def _degrade(self, event: events.DegradeLinks) -> None:
        await self._machines.links.degrade(event)

    async def _reset(self, event: events.ResetLinks) -> None:
        self._machines.links.reset(event)

    async def _replace_upstream(self, event: events.ReplaceUpstream) -> None:
        if event.node in self._changing:
            return  # another event is replacing it
        self._changing.add(event.node)
        try:
            await self._change_upstream(event)
        finally:
            self._changing.discard(event.node)

    async def _change_upstream(self, event: events.ReplaceUpstream) -> None:
        machines = self._machines
        node, upstream = machines.proxies[event.node], machines.upstreams[event.node]
        disturbance = machines.disturbances.disturb_node(
            f"upstream of {node.name}", self._now(), event.planned
        )
        machines.stop_heartbeats(node)
        if event.planned:
            await self._drain_and_deregister(node)
        upstream.close()
        other_service = event.service != node.service
        if other_service:
            node.terminate(ADDRESS_REUSE_S)
        await asyncio.sleep(max(event.down_s, ADDRESS_REUSE_S if other_service else 0.0))
        incarnation = int(upstream.instance.rpartition("-")[2]) + 1
        await machines.start_upstream(node, event.service, incarnation, upstream.address[1])
        disturbance.ended = self._now()
        if event.late_s:
            await poll_until(lambda: self._heartbeat_acknowledged(node), HEARTBEAT_WAIT_S)
            await asyncio.sleep(event.late_s)
            await upstream.send_heartbeat(node.control)

    async def _drain_and_deregister(self, node: Node) -> None:
        """Announces that the upstream drains, lets it serve for DRAIN_S, and deregisters it."""
        upstream = self._machines.upstreams[node.name]
        for _ in range(4):
            if await upstream.send_heartbeat(node.control, "decaying") // 100 == 2:
                break
            await asyncio.sleep(0.3)
        await asyncio.sleep(DRAIN_S + 0.3)
        await call(node.control, b"DELETE", b"/instances/" + upstream.instance.encode(), timeout_s=1.0)

    async def _heartbeat_acknowledged(self, node: Node) -> bool:
        """Whether a heartbeat of the current upstream was acknowledged."""
        return self._machines.upstreams[node.name].heartbeat_acknowledged

    async def _replace_controller(self, event: events.ReplaceController) -> None:
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
        await asyncio.sleep(LIST_DELAY_S)
        machines.list_controllers()
        for one in machines.all():
            if not one.retired:
                one.write_settings()


HANDLERS: dict[type, Callable[[FaultInjector, Any], Awaitable[None]]] = {
    events.Kill: FaultInjector._kill,
    events.KillAcknowledger: FaultInjector._kill_acknowledger,
    events.Terminate: FaultInjector._terminate,
    events.Freeze: FaultInjector._freeze,
    events.ChangeSettings: FaultInjector._change_settings,
    events.CutLinks: FaultInjector._cut,
    events.DegradeLinks: FaultInjector._degrade,
    events.ResetLinks: FaultInjector._reset,
    events.ReplaceUpstream: FaultInjector._replace_upstream,
    events.ReplaceController: FaultInjector._replace_controller,
}
