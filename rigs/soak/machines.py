"""The machines of a soak: nodes with their relays, and the upstreams beside the proxies."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator
from pathlib import Path

from rigs.mesh_demo import CORE, SIDE, net
from rigs.mesh_peers import free_ports
from rigs.soak.configuration_ledger import ConfigurationLedger, Finding
from rigs.soak.contact import ContactRecord
from rigs.soak.link_troubles import LinkTroubles
from rigs.soak.nodes import BEAT_MS, Layout, Node
from rigs.soak.plan import Plan
from rigs.soak.request_ledger import RequestLedger
from rigs.soak.upstream import SoakUpstream

SPARES = 6  # controllers that may come for others


def layout_of(plan: Plan, folder: Path, faults: tuple[str, ...]) -> Layout:
    """Addresses and ports that are free now."""
    here = net()
    cores = [CORE + at for at in range(plan.controllers + SPARES)]
    sides = [SIDE + at for at in range(len(plan.services))]
    ports = free_ports([f"{here}.{host}" for host in cores + sides], 5)
    peers, beside, control, outbound, readiness = ports
    return Layout(folder, here, peers, beside, control, outbound, readiness, plan.relays, faults)


class Machines:
    """All of them, by name."""

    def __init__(
        self,
        plan: Plan,
        layout: Layout,
        contact: ContactRecord,
        requests: RequestLedger,
        configuration: ConfigurationLedger,
        findings: list[Finding],
    ) -> None:
        """Nothing runs. What is found of the processes goes to ``findings``."""
        self._plan, self._layout, self.contact = plan, layout, contact
        self._requests, self._configuration, self._findings = requests, configuration, findings
        self._choose = random.Random(plan.seed ^ 0x50A4)
        self.controllers: dict[str, Node] = {}
        self.proxies: dict[str, Node] = {}
        self.listed: list[Node] = []  # controllers as the operators' list has them
        self.upstreams: dict[str, SoakUpstream] = {}
        self._hosts = iter(range(CORE, CORE + plan.controllers + SPARES))
        self._beats: dict[str, asyncio.Task[None]] = {}
        contact.core_names = self.controller_names
        self.links = LinkTroubles(contact, self.node, self.controller_names)

    def node(self, name: str) -> Node:
        """Raises KeyError where there is none of that name."""
        return self.controllers.get(name) or self.proxies[name]

    def all(self) -> Iterator[Node]:
        """Those that are gone for good, too."""
        yield from self.controllers.values()
        yield from self.proxies.values()

    def controller_names(self) -> list[str]:
        """Of those that are there."""
        return [name for name, one in self.controllers.items() if not one.retired]

    async def start(self) -> None:
        """Every process begins; the first view names the first three controllers."""
        for at in range(self._plan.controllers):
            self.add_controller(f"controller-{at}")
        self.list_controllers()
        for node in self.controllers.values():
            node.start()
        for at, service in enumerate(self._plan.services):
            node = self._make(f"proxy-{at}", SIDE + at, "data_plane")
            self.proxies[node.name] = node
            await self.new_upstream(node, service, 1, 0)
            node.start()

    async def stop(self) -> int:
        """Every process has ended; gives how many lives there were."""
        for beat in self._beats.values():
            beat.cancel()
        lives = 0
        for node in self.all():
            lives += node.life
            await node.stop()
        for upstream in self.upstreams.values():
            upstream.close()
        return lives

    def _make(self, name: str, host: int, program: str) -> Node:
        return Node(
            name,
            host,
            program,
            self._layout,
            self.contact,
            lambda: [one.ip for one in self.listed][:3],
            self._findings.append,
            lambda: self.links.core_changed(),
            self._choose.getrandbits(32),
        )

    def add_controller(self, name: str) -> Node:
        """One at an address that no other has had; not started."""
        node = self._make(name, next(self._hosts), "control_plane")
        self.controllers[name] = node
        return node

    def list_controllers(self) -> None:
        """The operators' list is as it is now."""
        self.listed = [one for one in self.controllers.values() if not one.retired]

    async def new_upstream(self, node: Node, service: str, life: int, port: int) -> None:
        """Another life beside that proxy, which beats; ``port`` 0: any that is free."""
        upstream = SoakUpstream(f"i-{node.name}-{life}", service, self._requests, self._configuration)
        await upstream.start(node.ip, port)
        self.upstreams[node.name] = upstream
        node.upstream, node.service = upstream.address, service
        self._beats[node.name] = asyncio.get_running_loop().create_task(self._beat(node, upstream))

    def silence_upstream(self, node: Node) -> None:
        """The upstream beside that proxy beats no more."""
        self._beats[node.name].cancel()

    async def _beat(self, node: Node, upstream: SoakUpstream) -> None:
        while True:
            if await upstream.tell(node.control) // 100 == 2:
                upstream.acknowledged = True
            await asyncio.sleep(BEAT_MS / 1000.0)
