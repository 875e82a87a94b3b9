"""The machines of a soak: nodes with their relays, and the upstreams beside the proxies."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator
from pathlib import Path

from rigs.mesh_demo import FIRST_CONTROLLER_HOST, FIRST_PROXY_HOST, loopback_network
from rigs.mesh_peers import free_ports
from rigs.soak.configuration_ledger import ConfigurationLedger, Finding
from rigs.soak.disturbances import DisturbanceRecord
from rigs.soak.link_faults import LinkFaults
from rigs.soak.nodes import HEARTBEAT_MS, Layout, Node
from rigs.soak.plan import Plan
from rigs.soak.request_ledger import RequestLedger
from rigs.soak.upstream import SoakUpstream

SPARE_CONTROLLERS = 6  # addresses for replacements


def make_layout(plan: Plan, folder: Path, seeded_faults: tuple[str, ...]) -> Layout:
    """Chooses addresses and ports that are currently free."""
    network = loopback_network()
    controllers = [FIRST_CONTROLLER_HOST + at for at in range(plan.controllers + SPARE_CONTROLLERS)]
    proxies = [FIRST_PROXY_HOST + at for at in range(len(plan.services))]
    ports = free_ports([f"{network}.{host}" for host in controllers + proxies], 5)
    peer, relayed_peer, control, outbound, readiness = ports
    return Layout(
        folder, network, peer, relayed_peer, control, outbound, readiness, plan.relays, seeded_faults
    )


class Machines:
    """All machines of a soak, by name."""

    def __init__(
        self,
        plan: Plan,
        layout: Layout,
        disturbances: DisturbanceRecord,
        requests: RequestLedger,
        configuration: ConfigurationLedger,
        findings: list[Finding],
    ) -> None:
        """Starts nothing yet. Findings about the processes are appended to ``findings``."""
        self._plan, self._layout, self.disturbances = plan, layout, disturbances
        self._requests, self._configuration, self._findings = requests, configuration, findings
        self._rng = random.Random(plan.seed ^ 0x50A4)
        self.controllers: dict[str, Node] = {}
        self.proxies: dict[str, Node] = {}
        self.listed_controllers: list[Node] = []  # as in the operators' list
        self.upstreams: dict[str, SoakUpstream] = {}
        self._controller_hosts = iter(
            range(FIRST_CONTROLLER_HOST, FIRST_CONTROLLER_HOST + plan.controllers + SPARE_CONTROLLERS)
        )
        self._heartbeat_tasks: dict[str, asyncio.Task[None]] = {}
        disturbances.controller_names = self.controller_names
        self.links = LinkFaults(disturbances, self.node, self.controller_names)

    def node(self, name: str) -> Node:
        """Returns the node of that name. Raises KeyError if there is none."""
        return self.controllers.get(name) or self.proxies[name]

    def all(self) -> Iterator[Node]:
        """Yields all nodes, including the replaced ones."""
        yield from self.controllers.values()
        yield from self.proxies.values()

    def controller_names(self) -> list[str]:
        """Returns the names of the controllers that have not been replaced."""
        return [name for name, one in self.controllers.items() if not one.retired]

    async def start(self) -> None:
        """Starts every process; the first member set names the first three controllers."""
        for at in range(self._plan.controllers):
            self.add_controller(f"controller-{at}")
        self.list_controllers()
        for node in self.controllers.values():
            node.start()
        for at, service in enumerate(self._plan.services):
            node = self._make_node(f"proxy-{at}", FIRST_PROXY_HOST + at, "data_plane")
            self.proxies[node.name] = node
            await self.start_upstream(node, service, 1, 0)
            node.start()

    async def stop(self) -> int:
        """Ends every process; returns how many incarnations there were."""
        for task in self._heartbeat_tasks.values():
            task.cancel()
        incarnations = 0
        for node in self.all():
            incarnations += node.incarnation
            await node.stop()
        for upstream in self.upstreams.values():
            upstream.close()
        return incarnations

    def _make_node(self, name: str, host: int, program: str) -> Node:
        return Node(
            name,
            host,
            program,
            self._layout,
            self.disturbances,
            lambda: [one.ip for one in self.listed_controllers][:3],
            self._findings.append,
            lambda: self.links.update_quorum(),
            self._rng.getrandbits(32),
        )

    def add_controller(self, name: str) -> Node:
        """Adds a controller, not started, at an address that was never used."""
        node = self._make_node(name, next(self._controller_hosts), "control_plane")
        self.controllers[name] = node
        return node

    def list_controllers(self) -> None:
        """Updates the operators' list to the current controllers."""
        self.listed_controllers = [one for one in self.controllers.values() if not one.retired]

    async def start_upstream(self, node: Node, service: str, incarnation: int, port: int) -> None:
        """Starts an incarnation of the upstream beside that proxy, and its heartbeats; ``port`` 0: any free
        one."""
        upstream = SoakUpstream(f"i-{node.name}-{incarnation}", service, self._requests, self._configuration)
        await upstream.start(node.ip, port)
        self.upstreams[node.name] = upstream
        node.upstream, node.service = upstream.address, service
        self._heartbeat_tasks[node.name] = asyncio.get_running_loop().create_task(
            self._send_heartbeats(node, upstream)
        )

    def stop_heartbeats(self, node: Node) -> None:
        """Stops the heartbeats of the upstream beside that proxy."""
        self._heartbeat_tasks[node.name].cancel()

    async def _send_heartbeats(self, node: Node, upstream: SoakUpstream) -> None:
        while True:
            if await upstream.send_heartbeat(node.control) // 100 == 2:
                upstream.heartbeat_acknowledged = True
            await asyncio.sleep(HEARTBEAT_MS / 1000.0)
