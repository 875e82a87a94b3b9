"""The data plane: a sidecar beside one upstream. It accepts the requests of clients on its machine, picks the
upstream of each, and passes calls of other sidecars to its own upstream."""

from __future__ import annotations

import asyncio
import os
import time
import zlib
from typing import Any

from anisestair.http import codec as http
from mesh.admission.call_sessions import CallSessions
from mesh.configuration.commands import INPUT_LIMITS, PLANT, ROUTE
from mesh.configuration.limits import read_limits
from mesh.configuration.routes import RouteTable
from mesh.data_plane.call_messages import End, GreetingReply
from mesh.data_plane.client_connection import ClientListener
from mesh.data_plane.configuration_resync import ConfigurationResync
from mesh.data_plane.control_contact import ControlContact
from mesh.data_plane.controller_addresses import ControllerAddresses
from mesh.data_plane.departure_confirmation import DepartureConfirmation
from mesh.data_plane.incoming_calls import IncomingCalls
from mesh.data_plane.introspection import operator_handlers
from mesh.data_plane.key_holds import KeyHolds
from mesh.data_plane.membership import NODE, PROXY, ROLE_NAMES, Membership
from mesh.data_plane.peer_links import PeerLinks
from mesh.data_plane.request_dispatch import RequestDispatcher
from mesh.data_plane.route_preparation import prepare
from mesh.data_plane.service_tables import ServiceBalancers
from mesh.data_plane.shutdown import Shutdown, max_idle_s
from mesh.data_plane.staged_routes import StagedRoutes
from mesh.data_plane.upstream_connections import UpstreamConnectionPool
from mesh.data_plane.upstream_dispatch import UpstreamDispatch
from mesh.data_plane.upstream_registration import Registry
from mesh.dissemination.peers import Channel, Channels
from mesh.dissemination.pull_exchange import unpack
from mesh.event_log import events
from mesh.event_log.log import EventLog
from mesh.membership.failure_detection import version_above, was_dropped
from mesh.membership.instance_lifecycle import Upstream
from mesh.membership.tombstones import RESYNC_AFTER_S, Tombstones
from mesh.ownership.key_map import OWNERSHIP
from mesh.replication.items import Item
from mesh.replication.store import Store
from mesh.replication.store_answers import StoreFull
from mesh.rollout.report import REPORTS
from mesh.runtime.introspection_calls import OperatorLink, OperatorLinks
from mesh.runtime.settings import Bounds, Settings
from mesh.transport.body_pieces import WINDOW_BYTES
from mesh.transport.http_calls import Answer, HttpServer
from mesh.transport.link import Link, listen

MAX_CONFIG_ITEMS = 40_000
MAX_MEMBERSHIP_ITEMS = 20_000
TICK_S = 0.1
SPARE_FILES = 64  # file descriptors not used by clients, links or the upstream
EXTRA_CONTROLLERS = 2  # pulled from, beyond those that may be lost at once
CONNECTION_SHARE = 0.9  # of the connections that an upstream accepts; no other sidecar uses it
DEFAULT_MAX_CONNECTIONS = 100  # where the operator sets no limit
OPERATOR_KINDS = frozenset({INPUT_LIMITS, PLANT, ROUTE})
SESSION_MEMORY_SHARE = 1 / 32  # of the memory, for ends that may be queried


def retry_budget_of(bounds: Bounds) -> tuple[float, float, float]:
    """The retry budget: ratio, window in milliseconds and slack."""
    return bounds.retry_ratio, bounds.retry_window_s * 1000.0, bounds.retry_slack


class Proxy:
    def __init__(self, settings: Settings, event_log: EventLog) -> None:
        self.settings, self.event_log = settings, event_log
        self.loop = asyncio.get_running_loop()
        self.peer_address = (settings.ip, settings.port_range[0])
        self.incarnation = f"{settings.node}.{os.urandom(4).hex()}"
        self.config_store, self.membership_store = (
            Store(self.incarnation, MAX_CONFIG_ITEMS, decided=True),
            Store(self.incarnation, MAX_MEMBERSHIP_ITEMS),
        )
        self.reports = Store(self.incarnation, 2)  # this sidecar's own reports only
        self.membership, self.routes, self.tombstones = Membership(), RouteTable(), Tombstones()
        self._config_tombstones = Tombstones()  # of the configuration store
        bounds = settings.bounds
        self.upstream = Upstream(settings.node, settings.zone, settings.beat_period_ms, bounds.drain_ms)
        assert settings.upstream is not None
        self.upstream_connections = UpstreamConnectionPool(
            settings.upstream, DEFAULT_MAX_CONNECTIONS, event_log, bounds.drain_ms
        )
        self.upstream_dispatch = UpstreamDispatch(
            self.upstream,
            self.upstream_connections,
            event_log,
            lambda updates: self.registry.publish(updates),
        )
        self.peer_links = PeerLinks(
            settings.node, self.upstream_dispatch, event_log, self._on_reachable, self.incarnation
        )
        self.peer_links.known_controllers = lambda: self.membership.controllers()
        self.controller_addresses = ControllerAddresses(self.membership)
        self.sessions: CallSessions[End] = CallSessions(
            int(SESSION_MEMORY_SHARE * settings.limits.memory_mb * 1e6)
        )
        self.balancers = ServiceBalancers(
            self.peer_links,
            self.membership,
            self.membership.node_of,
            settings.zone,
            retry_budget_of(bounds),
            zlib.crc32(self.incarnation.encode()),
            event_log,
        )
        self.staged_routes = StagedRoutes(
            settings,
            self.config_store,
            self.reports,
            self.routes,
            self.membership,
            lambda route: prepare(route, settings.node, self.balancers, self.membership, self.peer_links),
            lambda: self.channels,
            int(time.time() * 1000),
            event_log,
        )
        self.key_holds = self._make_key_holds()
        self.balancers.on_request_end, self.balancers.on_newer_item = (
            self.staged_routes.record_request,
            self._on_newer_route,
        )
        self.upstream_dispatch.find_newer_item = self.staged_routes.find_newer_item
        self.request_dispatcher = RequestDispatcher(
            self.balancers,
            settings.plant,
            settings.limits.memory_mb,
            self.routes.find,
            self.configured,
            lambda service: self.balancers.by_service[service].update_instances(
                self.membership.instances_of(service), full=True
            ),
        )
        self._share_between_hops()
        self.registry = self._make_registry()
        max_clients = max((settings.limits.file_handles - SPARE_FILES) // 2, 16)
        self.client_listener = ClientListener(self.request_dispatcher, max_clients)
        self.client_listener.set_max_idle(max_idle_s(bounds.grace_s))
        self.control = HttpServer(self.registry.handle)
        self.readiness = HttpServer(self._ready)
        self.channels = Channels(
            settings.node,
            {
                "t": "hello",
                "node": settings.node,
                "source": self.incarnation,
                "ip": settings.ip,
                "role": PROXY,
            },
            {"charter": self.config_store, "roll": self.membership_store, REPORTS: self.reports},
            settings.tolerance.machines + EXTRA_CONTROLLERS,
            event_log,
            self._on_items,
            on_frame=lambda channel, head, _: self._on_control_frame(channel, head),
            one_way=(REPORTS,),
            ranked=True,
        )
        # An old copy of the configuration here must not restore dropped items.
        self.channels.withheld_stores, self.channels.on_peer_report = (
            lambda _: ("charter",),
            self.departure_confirmation.check_pending,
        )
        self.configuration_resync = ConfigurationResync(
            *(self.config_store, self.channels, self.configured),
            lambda items: self._on_items("charter", items),
        )
        self.control_contact = ControlContact(bounds.contact_ms, self.channels, event_log)
        self.operator_links = OperatorLinks(operator_handlers(self, time.time))
        self.ending = False
        self.incoming_links: set[Link] = set()  # with calls from other sidecars
        self._server: asyncio.Server | None = None
        self._linked_at = self.loop.time()  # when there was last a link for updates
        self._node_version = int(time.time() * 1000)

    def _share_between_hops(self) -> None:
        """Shares memory and the detection of repeats between the client side and the upstream side."""
        self.upstream_dispatch.use_buffers(self.request_dispatcher.buffers)
        self.request_dispatcher.repeats = self.upstream_dispatch.repeats

    def _make_key_holds(self) -> KeyHolds:
        settings = self.settings
        holds = KeyHolds(
            settings.node,
            settings.plant,
            settings.bounds.hold_max_ms,
            settings.beat_period_ms,
            self.balancers.keys,
            self.reports,
            int(time.time() * 1000),
            lambda: self.channels,
            lambda: self.membership.instances_at(settings.node),
        )
        self.upstream_dispatch.holds_key = holds.may_run
        return holds

    def _make_registry(self) -> Registry:
        self.departure_confirmation = DepartureConfirmation(
            lambda: self.channels,
            self.membership,
            lambda: self.controller_addresses.count(self.settings),
            lambda: self.settings.tolerance,
            self.event_log,
        )
        return Registry(
            self.upstream,
            self.membership_store,
            self.membership,
            self.event_log,
            self.balancers.now,
            lambda items: self._on_items("roll", items),
            self.departure_confirmation.wait,
            self.key_holds.answer_heartbeat,
        )

    # Start and shutdown

    async def start(self) -> None:
        ports = self.settings.ports
        self._server = await listen(self.peer_address, self._new_link)
        assert ports.outbound is not None and ports.readiness is not None and ports.control is not None
        self.client_listener.listen(ports.outbound)
        await self.control.listen(ports.control)
        await self.readiness.listen(ports.readiness)
        self._publish_node()
        self._update_channels()
        self.loop.call_later(TICK_S, self._tick)
        self.event_log.emit(events.STARTED, role=ROLE_NAMES[PROXY])
        if self.event_log.writes(events.CALL_AT_FIRST_HOP):
            from mesh.data_plane.call_trace import CallTrace

            CallTrace(self).start()

    def _new_link(self) -> Link:
        return Link(
            lambda _: None, self._on_frame, self._on_link_lost, self.request_dispatcher.buffers.frames
        )

    def _publish_node(self) -> None:
        settings = self.settings
        self._node_version = version_above(
            self.membership_store.items.get((NODE, settings.node)), self._node_version + 1
        )
        item = self.membership_store.write(
            NODE,
            settings.node,
            self._node_version,
            {
                "address": f"{self.peer_address[0]}:{self.peer_address[1]}",
                "role": PROXY,
                "zone": settings.zone,
                "region": settings.region,
            },
        )
        if isinstance(item, Item):
            self._on_items("roll", [item])

    def _republish(self) -> None:
        """Publishes this sidecar's items again after the others have dropped it."""
        self._publish_node()
        self.registry.republish()
        self.staged_routes.supersede_report()
        self.key_holds.supersede_report()

    def _tick(self) -> None:
        self.loop.call_later(TICK_S, self._tick)  # first: keep-alives go on whatever is raised
        now = self.loop.time()
        self.channels.tick(now)
        self.control_contact.tick(now)
        self.staged_routes.tick(now)
        self.key_holds.tick(now)
        self.peer_links.tick(now)
        self.upstream_connections.close_expired()
        self.sessions.sweep(now)
        for link in list(self.incoming_links):
            link.tick(now)
        for key in self.tombstones.pop_expired(now):
            self.membership_store.remove_tombstone(key)
        for key in self._config_tombstones.pop_expired(now):
            self.config_store.remove_tombstone(key)
        self.configuration_resync.tick(now)
        if now - self._linked_at > RESYNC_AFTER_S:  # before the links, which outlast a freeze
            self._linked_at = now
            self._on_items("roll", self.membership_store.clear_remote_items())
            self._republish()
        elif self.channels.open:
            self._linked_at = now
        if was_dropped(self.membership_store.items.get((NODE, self.settings.node))):
            self._republish()
        self.registry.reconcile()

    def configured(self) -> bool:
        """Whether the operators' complete configuration is here; the members are known earlier."""
        known = any(kind in OPERATOR_KINDS for kind, _ in self.config_store.items)
        return known and self.channels.last_complete_at > 0.0

    async def _ready(self, message: http.Message) -> Answer:
        return Answer(200 if self.configured() and not self.ending else 503)

    async def stop(self) -> None:
        """Shuts down gracefully."""
        self.ending = True  # readiness fails from now on
        await Shutdown(self).run()
        self.event_log.emit(events.ENDED)

    def stop_listening(self) -> None:
        """Accepts no more links from other processes; open ones continue."""
        if self._server is not None:
            self._server.close()

    def open_calls(self) -> int:
        """Open requests of clients on this machine, and calls of other proxies at the upstream beside it."""
        return (
            self.request_dispatcher.open_requests
            + len(self.upstream_dispatch.running)
            + len(self.upstream_dispatch.queue)
        )

    # Updates

    def _on_items(self, name: str, items: list[Item]) -> None:
        if name == "charter":
            self._config_tombstones.note(self.loop.time(), items)
            for item in items:
                self._apply_item(item)
            self.staged_routes.schedule_report()
            newest = max((item.version for item in items), default=0)
            self.event_log.emit(events.CONFIGURATION_IN_FORCE, items=len(items), version=newest)
        else:
            self.tombstones.note(self.loop.time(), items)
            for service, entries in self.membership.apply(items).items():
                balancer = self.balancers.by_service.get(service)
                if balancer is not None:
                    balancer.update_instances(entries)
            if any(item.kind == NODE for item in items):
                self._update_channels()
                for item in items:
                    if item.kind == NODE and item.value is None:
                        self.peer_links.forget(item.name)
            self.balancers.set_fleet_size(self.membership.proxy_count(), self.membership.zone_count())
            if any(item.name == self.upstream.instance for item in items):
                self.registry.reconcile()  # an earlier incarnation of this sidecar may have known more
        self.channels.schedule_answers()

    def _on_control_frame(self, channel: Channel, head: Any) -> None:
        """Handles a frame of a control process that is not an update. Raises KeyError, TypeError or
        ValueError."""
        if not self.key_holds.handle_frame(head):
            self.staged_routes.handle_frame(head, channel.peer_complete)

    def _on_reachable(self, node: str, up: bool) -> None:
        """Updates the balancers: instances at an unreachable node get no calls from here, whatever others
        report."""
        self.event_log.emit(events.PEER_REACHABLE if up else events.PEER_UNREACHABLE, peer=node)
        for instance in self.membership.instances_at(node):
            value = self.membership.instances[instance]
            balancer = self.balancers.by_service.get(str(value["plant"]))
            if balancer is not None:
                balancer.update_instances([(instance, value)])

    def _apply_item(self, item: Item) -> None:
        if item.kind in (PLANT, OWNERSHIP):
            self.key_holds.apply_item(item)
            balancer = self.balancers.by_service.get(item.name)
            if item.kind == PLANT and balancer is not None:
                balancer.update_sharding()
        if item.kind == ROUTE:
            self.staged_routes.receive_route(item)
        elif item.kind == INPUT_LIMITS:
            self.client_listener.apply_limits(read_limits(item.value))
        elif item.kind == PLANT and item.name == self.settings.plant and item.value is not None:
            conn_saturation = item.value.get("conn_saturation")
            self.upstream_connections.max_connections = (
                max(int(CONNECTION_SHARE * conn_saturation), 1)
                if conn_saturation
                else DEFAULT_MAX_CONNECTIONS
            )

    def _on_newer_route(self, packed: list[Any] | None) -> None:
        """Applies a newer version of a route that a second hop has sent."""
        try:
            item = unpack(packed) if packed is not None else None
        except (TypeError, ValueError):
            return
        if item is not None and item.kind == ROUTE:
            changed = self.config_store.merge([item], {})
            if not isinstance(changed, StoreFull) and changed:
                self.staged_routes.receive_route(item, late=True)
                self.staged_routes.schedule_report()

    def _update_channels(self) -> None:
        self.channels.set_candidates(self.controller_addresses.candidates(self.settings))

    def _on_reported_controllers(self, addresses: Any) -> None:
        if self.controller_addresses.report(addresses):
            self._update_channels()

    def apply_settings(self, settings: Settings) -> None:
        """Applies a changed settings file."""
        self.settings = settings
        self.balancers.set_retry_budget(retry_budget_of(settings.bounds))
        self.upstream.drain_ms = settings.bounds.drain_ms
        self.client_listener.set_max_idle(max_idle_s(settings.bounds.grace_s))
        self.staged_routes.apply_settings(settings)
        self.control_contact.set_contact_bound(settings.bounds.contact_ms)
        self._update_channels()

    # Links opened by others

    def _on_frame(self, link: Link, head: Any, body: bytes) -> None:
        if isinstance(link.peer, IncomingCalls):
            try:
                link.peer.handle_frame(head, body)
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                link.close(f"unreadable {type(head).__name__}: {error!r}")
        elif isinstance(link.peer, Channel):
            self.channels.handle_frame(link.peer, head, body)
        elif isinstance(link.peer, OperatorLink):
            link.peer.handle_frame(head)
        elif head.get("t") == "hello" and head.get("for") == "operate":
            self.operator_links.adopt(link)
        elif head.get("t") == "hello" and head.get("for") == "calls":
            incarnation = head.get("life")  # missing from a release without status queries
            session = self.sessions.open(str(incarnation)) if incarnation else None
            window = int(head.get("window") or 0)  # missing from a release without bodies in pieces
            link.peer = IncomingCalls(link, self.upstream_dispatch, self.sessions, session, window)
            link.node = str(head.get("node", ""))
            self.incoming_links.add(link)
            if session is not None:
                link.send(GreetingReply(incarnation=self.incarnation, window=WINDOW_BYTES))
            self._on_reported_controllers(head.get("core"))
        elif head.get("t") == "hello" and head.get("for") == "news" and "source" in head and "node" in head:
            self.channels.adopt(link, head)
        else:
            link.close("no hello")

    def _on_link_lost(self, link: Link, why: str) -> None:
        self.incoming_links.discard(link)
        self.operator_links.handle_lost(link)
        if isinstance(link.peer, Channel):
            self.channels.handle_lost(link.peer, why)
        elif isinstance(link.peer, IncomingCalls):
            link.peer.link_lost()
