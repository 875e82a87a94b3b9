"""Prepares for the services of a route: balancers for new ones, and a link to one upstream."""

from __future__ import annotations

from mesh.configuration.routes import Route
from mesh.data_plane.membership import Membership
from mesh.data_plane.peer_links import PeerLinks
from mesh.data_plane.service_tables import ServiceBalancers
from mesh.membership.instance_commands import SETTLED
from mesh.membership.rendezvous import select_top


def prepare(
    route: Route, node: str, balancers: ServiceBalancers, membership: Membership, peer_links: PeerLinks
) -> list[str]:
    """Prepares for the services of a route at this ``node``; returns those without a live upstream. For each
    new service a link to the sidecar of one upstream is opened, if there is none."""
    unserved = []
    for service, _ in route.split:
        balancer, created = balancers.get_or_create(service, route)
        instances = membership.instances_of(service)
        live = [value for _, value in instances if value is not None and value["state"] == SETTLED]
        if created:
            balancer.update_instances(instances, full=True)
            for other in select_top(node, {str(value["node"]) for value in live}, 1):
                address = membership.address(other)
                if address is not None:
                    peer_links.open_early(other, address)
        if not live:
            unserved.append(service)
    return unserved
