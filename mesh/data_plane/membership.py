"""The nodes and instances known from replicated items, and the node of each instance."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from mesh.membership.instance_commands import DECAYING, read_address
from mesh.replication.items import Item
from mesh.rollout.canary_selection import CanarySelection
from mesh.transport.link import Address

NODE, INSTANCE = "node", "instance"
# The role names of protocol version 1, in the greeting and in items. Earlier releases compare these strings.
PROXY, CONTROLLER = "sluice", "reservoir"
ROLE_NAMES = {PROXY: "proxy", CONTROLLER: "controller"}  # for logs and operators


def is_departure(item: Item) -> bool:
    """Whether the item says that an instance drains or has ended."""
    return item.kind == INSTANCE and (item.value is None or item.value.get("state") == DECAYING)


class Membership:
    def __init__(self) -> None:
        self.nodes: dict[str, Mapping[str, Any]] = {}
        self.instances: dict[str, Mapping[str, Any]] = {}
        self._addresses: dict[str, Address] = {}
        self.instances_by_service: dict[str, set[str]] = {}
        self._instances_by_node: dict[str, dict[str, None]] = {}  # instances in order of arrival
        self._canary_selection: CanarySelection | None = None

    def apply(self, items: Iterable[Item]) -> dict[str, list[tuple[str, Mapping[str, Any] | None]]]:
        """Applies changed items and returns the instances among them, by service."""
        changes: dict[str, list[tuple[str, Mapping[str, Any] | None]]] = {}
        self._canary_selection = None
        for item in items:
            if item.kind == NODE:
                self._apply_node(item)
            elif item.kind == INSTANCE:
                previous = self.instances.pop(item.name, None)
                if previous is not None:
                    self._remove_from_node(item.name, str(previous.get("node", "")))
                    service = str(previous["plant"])
                    self.instances_by_service[service].discard(item.name)
                    if not self.instances_by_service[service]:
                        del self.instances_by_service[service]
                    if item.value is None or item.value["plant"] != service:
                        changes.setdefault(service, []).append((item.name, None))
                if item.value is not None:
                    service = str(item.value["plant"])
                    self.instances[item.name] = item.value
                    self._instances_by_node.setdefault(str(item.value.get("node", "")), {})[item.name] = None
                    self.instances_by_service.setdefault(service, set()).add(item.name)
                    changes.setdefault(service, []).append((item.name, item.value))
        return changes

    def _remove_from_node(self, instance: str, node: str) -> None:
        del self._instances_by_node[node][instance]
        if not self._instances_by_node[node]:
            del self._instances_by_node[node]

    def _apply_node(self, item: Item) -> None:
        self.nodes.pop(item.name, None)
        self._addresses.pop(item.name, None)
        if item.value is not None:
            self.nodes[item.name] = item.value
            address = read_address(item.value.get("address"))
            if address is not None:
                self._addresses[item.name] = address

    def address(self, node: str) -> Address | None:
        return self._addresses.get(node)

    def node_of(self, instance: str) -> str:
        value = self.instances.get(instance)
        return str(value["node"]) if value is not None else ""

    def instances_of(self, service: str) -> list[tuple[str, Mapping[str, Any] | None]]:
        """The instances of one service."""
        return [(name, self.instances[name]) for name in sorted(self.instances_by_service.get(service, ()))]

    def instances_at(self, node: str) -> list[str]:
        """The instances at a node. Called at every tick, so it must not search all instances."""
        return list(self._instances_by_node.get(node, ()))

    def controllers(self) -> dict[str, Address]:
        """Addresses of the control processes, by host."""
        found = {}
        for name, value in self.nodes.items():
            address = self._addresses.get(name)
            if value.get("role") == CONTROLLER and address is not None:
                found[address[0]] = address
        return found

    def canary_selection(self) -> CanarySelection:
        """Selects the sidecars that apply changed items first, among those with an upstream: the others have
        ended or carry almost no traffic."""
        if self._canary_selection is None:
            nodes = {str(value["node"]) for value in self.instances.values()}
            self._canary_selection = CanarySelection(
                {node: str(self.nodes.get(node, {}).get("zone", "")) for node in nodes}
            )
        return self._canary_selection

    def proxy_count(self) -> int:
        return sum(value.get("role") == PROXY for value in self.nodes.values())

    def zone_count(self) -> int:
        return len({value.get("zone") for value in self.instances.values()})
