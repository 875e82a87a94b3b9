"""Before the services of a route are used: tables for those that are new here, and a link to one upstream."""

from __future__ import annotations

from mesh.configuration.routes import Route
from mesh.data_plane.membership import Membership
from mesh.data_plane.peer_links import PeerLinks
from mesh.data_plane.service_tables import ServiceBalancers
from mesh.membership.instance_commands import SETTLED
from mesh.membership.rendezvous import select_top


def prepare(
    route: Route, node: str, tables: ServiceBalancers, membership: Membership, passage: PeerLinks
) -> list[str]:
    """Makes ready for the services of a route at this ``node``; gives those without a live upstream. Of each
    new one a link to one upstream's sidecar is opened where there is none."""
    dry = []
    for service, _ in route.split:
        table, new = tables.get_or_create(service, route)
        known = membership.instances_of(service)
        live = [value for _, value in known if value is not None and value["state"] == SETTLED]
        if new:
            table.update_instances(known, full=True)
            for other in select_top(node, {str(value["node"]) for value in live}, 1):
                address = membership.address(other)
                if address is not None:
                    passage.open_early(other, address)
        if not live:
            dry.append(service)
    return dry
