"""A control process: holds the configuration (store "charter") and the membership (store "roll"), and
distributes both."""

from __future__ import annotations

import asyncio
import os
import time
import zlib

from mesh.control_plane.acceptor_host import AcceptorHost
from mesh.control_plane.anti_entropy import CONFIG_STORE, MEMBERSHIP_STORE, AntiEntropy
from mesh.control_plane.backup import DiskCommands
from mesh.control_plane.catch_up import CatchUp
from mesh.control_plane.confirmations import Confirmations
from mesh.control_plane.contact_probes import ContactProbes
from mesh.control_plane.disk_opening import open_disk
from mesh.control_plane.fencing import Fencing
from mesh.control_plane.introspection import IntrospectionSources, question_handlers
from mesh.control_plane.joining import Joining
from mesh.control_plane.key_assignment import KeyAssignment
from mesh.control_plane.leases import NodeReaper
from mesh.control_plane.member_changes import MemberChanges
from mesh.control_plane.member_set import MemberSet, address_of
from mesh.control_plane.operator_api import OperatorApi, unresolved_answer
from mesh.control_plane.proposals import ProposerHost
from mesh.control_plane.restore import RestoreCommand
from mesh.control_plane.rollouts import Rollouts
from mesh.control_plane.tombstone_collection import TombstoneCollection
from mesh.data_plane.membership import CONTROLLER, NODE, ROLE_NAMES, Membership, is_departure
from mesh.dissemination.peers import Channel, Channels
from mesh.event_log import events
from mesh.event_log.log import EventLog
from mesh.membership.failure_detection import silence_thresholds, version_above, was_dropped
from mesh.membership.tombstones import RESYNC_AFTER_S, Tombstones
from mesh.ownership.key_report import KEY_REPORT
from mesh.replication.items import Item
from mesh.replication.membership_epochs import VIEW
from mesh.replication.store import Store
from mesh.rollout.report import REPORT, REPORTS
from mesh.runtime.grace import exit_after_s
from mesh.runtime.introspection_calls import OperatorLink, OperatorLinks
from mesh.runtime.settings import Settings
from mesh.transport.frames import Head
from mesh.transport.http_calls import HttpServer
from mesh.transport.link import Link, listen

MAX_CONFIG_ITEMS = 20_000  # dropped ones included
MAX_MEMBERSHIP_ITEMS = 20_000
TICK_S = 0.1
SHUTDOWN_POLL_S = 0.02  # between two checks for pending answers while shutting down
MAX_PEERS = 64  # control processes that each one pulls from; of more, the first in its order


class Controller:
    """Wires up the parts of one control process, and passes events between them."""

    def __init__(self, settings: Settings, event_log: EventLog) -> None:
        self.settings, self.event_log = settings, event_log
        self.loop = asyncio.get_running_loop()
        self.own_address = settings.ip
        self.peer_address = (settings.ip, settings.port_range[0])
        incarnation = f"{settings.node}.{os.urandom(4).hex()}"
        self.config_store, self.membership_store = (
            Store(incarnation, MAX_CONFIG_ITEMS, decided=True),
            Store(incarnation, MAX_MEMBERSHIP_ITEMS),
        )
        self.reports = Store(incarnation, 2 * MAX_MEMBERSHIP_ITEMS)  # up to two of each sidecar
        self.membership = Membership()
        self.tombstones = Tombstones()
        self.disk_writer, self.acceptor = open_disk(settings, self.config_store, event_log)
        self.channels = Channels(
            settings.node,
            {
                "t": "hello",
                "node": settings.node,
                "source": incarnation,
                "ip": self.own_address,
                "role": CONTROLLER,
                "complete": self.disk_writer.complete,
                "takes": [REPORTS],
                "control": control_address(settings),
            },
            {"charter": self.config_store, "roll": self.membership_store, REPORTS: self.reports},
            MAX_PEERS,
            event_log,
            self._changed,
            is_complete=lambda: self.contact_probes.holds_all(),
            on_frame=lambda channel, head, _: self._handle_channel_frame(channel, head),
            on_open=self._channel_opened,
            on_close=self._channel_closed,
            one_way=(REPORTS,),
            on_hello=self._channel_greeted,
        )
        # A sidecar acknowledges a departure once it is held here: by then the others must have been told.
        self.channels.must_answer_first = lambda changed: any(
            map(is_departure, changed.get(MEMBERSHIP_STORE, ()))
        )
        self.member_set = MemberSet(
            self.own_address, self.config_store, self.disk_writer, self.channels, settings.tolerance
        )
        self.acceptor_host = AcceptorHost(
            self.acceptor,
            self.config_store,
            self.disk_writer,
            self.member_set,
            event_log,
            lambda items: self._changed(CONFIG_STORE, items),
        )
        seed = zlib.crc32(incarnation.encode())
        self.proposer_host = ProposerHost(
            incarnation, seed, self.config_store, self.member_set, self.acceptor_host, event_log
        )
        self.fencing = Fencing(self.config_store, self.disk_writer, self.member_set, self.acceptor_host)
        self.tombstone_collection = TombstoneCollection(
            self.config_store, self.acceptor, self.disk_writer, self.member_set, self.acceptor_host, event_log
        )
        self.catch_up = CatchUp(
            self.config_store,
            self.acceptor,
            self.disk_writer,
            self.member_set,
            self.channels,
            self.acceptor_host,
            event_log,
        )
        self.channels.withheld_stores = self.catch_up.withheld_stores
        bounds = settings.bounds
        self.contact_probes = ContactProbes(
            bounds.contact_ms,
            self.channels,
            self.member_set,
            self.disk_writer,
            self.acceptor_host.apply,
            self.proposer_host.oldest_open_vote_s,
            event_log,
        )
        self.member_set.has_contact = self.contact_probes.has_contact
        self.rollouts = Rollouts(
            bounds.settle_ms,
            bounds.ack_ms,
            self.config_store,
            self.membership,
            self.channels,
            event_log,
            self.contact_probes.has_contact,
        )
        self.operator_api = self._make_operator_api()
        self.http_server = HttpServer(self.operator_api.handle)
        self.node_reaper = NodeReaper(
            settings.node,
            self.own_address,
            silence_thresholds(bounds.contact_ms, settings.beat_period_ms),
            self.membership_store,
            self.membership,
            self.channels,
            self.member_set,
            self.contact_probes.may_act,
            event_log,
            lambda items: self._changed(MEMBERSHIP_STORE, items),
        )
        self.key_assignment = self._make_key_assignment()
        self.anti_entropy = AntiEntropy(
            seed,
            {CONFIG_STORE: self.config_store, MEMBERSHIP_STORE: self.membership_store},
            self.channels,
            self.disk_writer,
            event_log,
            self._changed,
        )
        disk_commands = DiskCommands(
            settings.state_dir,
            settings.limits.disk_mb,
            self.config_store,
            self.disk_writer,
            self.anti_entropy.check_disk,
        )
        restore_command = RestoreCommand(
            settings.state_dir,
            settings.limits.disk_mb,
            self.config_store,
            self.acceptor,
            self.disk_writer,
            self.member_set,
            self.acceptor_host,
            self.proposer_host,
            event_log,
            self._reachable_members,
        )
        self.joining = Joining(
            settings,
            self.member_set,
            self.acceptor_host,
            self.proposer_host,
            self.fencing,
            self.disk_writer,
            event_log,
            self._on_disk_complete,
        )
        self.member_changes = MemberChanges(
            settings.node,
            silence_thresholds(bounds.contact_ms, settings.beat_period_ms),
            self.membership_store,
            self.membership,
            self.member_set,
            self.proposer_host,
            self.joining,
            self.node_reaper,
            event_log,
            lambda items: self._changed(MEMBERSHIP_STORE, items),
        )
        self.stopping = asyncio.Event()
        self.introspection = IntrospectionSources(
            settings,
            self.config_store,
            self.membership_store,
            self.disk_writer,
            self.member_set,
            self.membership,
            self.rollouts,
            self.node_reaper,
            self.member_changes,
            self.contact_probes,
            self.proposer_host,
            self.key_assignment,
            control_address(settings),
            self.stopping,
            self.loop.time,
        )
        answers = {**question_handlers(self.introspection, time.time), **disk_commands.handlers()}
        self.operator_links = OperatorLinks({**answers, **restore_command.handlers()})
        self._server: asyncio.Server | None = None
        self._last_linked_at = self.loop.time()  # when a peer link was last open

    def _make_operator_api(self) -> OperatorApi:
        bounds = self.settings.bounds
        self.confirmations = Confirmations(
            bounds.ack_ms, bounds.contact_ms, self.rollouts.reports, self.channels, self.event_log
        )
        self.contact_probes.find_behind = self.confirmations.find_behind
        self.contact_probes.on_behind = self.confirmations.peer_reported_behind
        return OperatorApi(
            self.config_store,
            self.proposer_host,
            self.acceptor,
            self.event_log,
            self.rollouts,
            self.contact_probes,
            self.confirmations,
        )

    def _make_key_assignment(self) -> KeyAssignment:
        assignment = KeyAssignment(
            self.settings.node,
            self.settings.bounds.hold_max_ms,
            self.config_store,
            self.membership,
            self.member_set,
            self.proposer_host,
            self.contact_probes.may_act,
            self.node_reaper.live_controllers,
            self.event_log,
        )
        assignment.load_restored()
        return assignment

    # Start and shutdown

    async def start(self) -> None:
        """Starts to listen, to join and to tick."""
        settings = self.settings
        await self.catch_up.begin()
        self._server = await listen(
            self.peer_address, lambda: Link(lambda _: None, self._handle_frame, self._link_lost)
        )
        assert settings.ports.control is not None
        await self.http_server.listen(settings.ports.control)
        first = self.acceptor.required_ceiling(self.acceptor.floor + 1)
        self.acceptor_host.spawn(self.acceptor_host.raise_ceiling(first))  # before the first write needs it
        self._publish_node()
        self._update_known_peers()
        self.joining.start()
        self.loop.call_later(TICK_S, self._tick)
        self.event_log.emit(events.STARTED, role=ROLE_NAMES[CONTROLLER])

    def _publish_node(self) -> None:
        settings = self.settings
        item = self.membership_store.write(
            NODE,
            settings.node,
            version_above(self.membership_store.items.get((NODE, settings.node)), int(time.time() * 1000)),
            {
                "address": f"{self.peer_address[0]}:{self.peer_address[1]}",
                "role": CONTROLLER,
                "zone": settings.zone,
                "region": settings.region,
            },
        )
        if isinstance(item, Item):
            self._changed("roll", [item])

    def _tick(self) -> None:
        if self.stopping.is_set():
            return
        self.loop.call_later(TICK_S, self._tick)  # first: the ticks go on if a call below raises
        now = self.loop.time()
        self.contact_probes.tick(now, time.time())  # before the calls that depend on contact
        self.channels.tick(now)
        self.rollouts.tick(now)
        self.confirmations.tick(now)
        self.proposer_host.tick(now)
        self.node_reaper.tick(now)
        self.member_changes.tick(now)
        self.key_assignment.tick(now)
        self.anti_entropy.tick(now)
        self.tombstone_collection.tick(now)
        self.catch_up.tick(now)
        for key in self.tombstones.pop_expired(now):
            self.membership_store.remove_tombstone(key)
            self.reports.remove_tombstone(key)
        # Checked before the open links, which survive a freeze of this process.
        if now - self._last_linked_at > RESYNC_AFTER_S:
            self._last_linked_at = now
            self._changed("roll", self.membership_store.clear_remote_items())
            self._publish_node()
        elif self.channels.open:
            self._last_linked_at = now
        if was_dropped(self.membership_store.items.get((NODE, self.settings.node))):
            self._publish_node()

    def open_calls(self) -> int:
        """The number of operator calls that are not answered yet."""
        return self.http_server.busy

    async def stop(self) -> None:
        """Shuts down in order: answers pending operator calls, as unclear if they take too long."""
        until = self.loop.time() + exit_after_s(self.settings.bounds.grace_s)
        await self.joining.leave()
        self.stopping.set()
        self.http_server.stop()
        while self.http_server.busy and self.loop.time() < until:
            await asyncio.sleep(SHUTDOWN_POLL_S)
        if self.http_server.busy:
            self.http_server.abort_calls(unresolved_answer("this control process is shutting down"))
            await asyncio.sleep(SHUTDOWN_POLL_S)  # until the answers are sent
        if self._server is not None:
            self._server.close()
        self.event_log.emit(events.ENDED)

    def _on_disk_complete(self) -> None:
        self.event_log.emit(events.DISK_COMPLETE, items=len(self.config_store.items))
        self.member_set.announce_complete()
        self.channels.hello["complete"] = True

    # Updates and links

    def _changed(self, name: str, items: list[Item]) -> None:
        if name == "charter":
            self.acceptor_host.items_changed(items)
            self.tombstone_collection.note(items)
            self.catch_up.items_changed(items)
            if any(item.kind == VIEW for item in items):
                self.contact_probes.view_changed()
            self.rollouts.items_changed(items)
            self.confirmations.items_changed(items)
            self.key_assignment.items_changed(items)
        elif name == REPORTS:
            self.rollouts.reports_changed([item for item in items if item.kind == REPORT])
            self.key_assignment.reports_changed([item for item in items if item.kind == KEY_REPORT])
            self.tombstones.note(self.loop.time(), [item for item in items if item.value is None])
        else:
            self.membership.apply(items)
            self.node_reaper.items_changed(items)
            self.member_changes.items_changed(items)
            self.tombstones.note(self.loop.time(), items)
            if any(item.kind == NODE for item in items):
                self._update_known_peers()
                self._drop_reports([item.name for item in items if item.kind == NODE and item.value is None])
        self.channels.schedule_answers()

    def _drop_reports(self, nodes: list[str]) -> None:
        """Drops the reports of sidecars that left the membership."""
        for key in [(kind, node) for node in nodes for kind in (REPORT, KEY_REPORT)]:
            known = self.reports.items.get(key)
            if known is not None and known.value is not None:
                dropped_report = self.reports.write(*key, known.version + 1, None)
                if isinstance(dropped_report, Item):
                    self._changed(REPORTS, [dropped_report])

    def _handle_channel_frame(self, channel: Channel, head: Head) -> None:
        """Dispatches a frame of a peer. Raises KeyError, TypeError or ValueError if it is malformed."""
        handlers = (
            self.key_assignment.handle_frame,
            self.contact_probes.handle_frame,
            self.node_reaper.handle_frame,
            self.anti_entropy.handle_frame,
        )
        if any(handle(channel, head) for handle in handlers) or channel.peer_hello.get("role") != CONTROLLER:
            return
        if head["t"] == "complete":
            self._resend_pending(address_of(channel), True)
        elif not any(
            handle(channel, head)
            for handle in (
                self.joining.handle_frame,
                self.member_changes.handle_frame,
                self.tombstone_collection.handle_frame,
                self.proposer_host.handle_frame,
            )
        ):
            self.fencing.handle_frame(channel, head)

    def _reachable_members(self) -> dict[str, bool]:
        """Reachable control processes by address, and whether the disk of each counts."""
        recent = self.contact_probes.contact.valid_replies(self.loop.time())
        return {
            address: address in recent and recent[address].disk_complete
            for address in self.member_set.peers()
        }

    def _channel_greeted(self, channel: Channel) -> None:
        if channel.peer_hello.get("role") == CONTROLLER:
            self.catch_up.peer_greeted(channel)

    def _channel_opened(self, channel: Channel) -> None:
        if channel.peer_hello.get("role") == CONTROLLER:
            self.tombstone_collection.link_opened(channel)
            self.contact_probes.link_opened(channel)
            self._resend_pending(address_of(channel))
            self.joining.link_opened(channel)

    def _resend_pending(self, address: str, force: bool = False) -> None:
        self.proposer_host.resend_pending(address, force)
        self.fencing.resend_pending(address, force)

    def _channel_closed(self, channel: Channel) -> None:
        """Takes over the items stamped by that peer, since it may never send them to others."""
        self.contact_probes.link_closed(channel)
        self.node_reaper.link_closed(channel)
        self.anti_entropy.link_closed(channel)
        if channel.peer_hello.get("role") == CONTROLLER:
            self._resend_pending(address_of(channel))
        claimed = self.config_store.restamp_above_vector(channel.peer_source) if channel.peer_source else []
        if claimed:
            self.disk_writer.mark_items(claimed)
            self.rollouts.items_restamped(claimed)
            self.channels.schedule_answers()

    def _update_known_peers(self) -> None:
        """The other control processes: the seeds of the settings, and those known from the membership."""
        port = self.settings.port_range[0]
        known = {host: (host, port) for host, _ in self.settings.seeds}
        known.update(self.membership.controllers())
        known.pop(self.own_address, None)
        self.channels.set_candidates(known)

    def _handle_frame(self, link: Link, head: Head, body: bytes) -> None:
        if isinstance(link.peer, Channel):
            self.channels.handle_frame(link.peer, head, body)
        elif isinstance(link.peer, OperatorLink):
            link.peer.handle_frame(head)
        elif head.get("t") == "hello" and head.get("for") == "operate":
            self.operator_links.adopt(link)
        elif head.get("t") == "hello" and head.get("for") == "news" and "source" in head and "node" in head:
            self.channels.adopt(link, head)
        else:
            link.close("no hello")

    def _link_lost(self, link: Link, reason: str) -> None:
        self.operator_links.handle_lost(link)
        if isinstance(link.peer, Channel):
            self.channels.handle_lost(link.peer, reason)

    def apply_settings(self, settings: Settings) -> None:
        """Applies a changed settings file: seeds, and the bounds of rollouts and contact."""
        self.settings = self.joining.settings = self.introspection.settings = settings
        self.rollouts.update_bounds(settings.bounds.settle_ms, settings.bounds.ack_ms)
        self.confirmations.update_bounds(settings.bounds.ack_ms, settings.bounds.contact_ms)
        self.contact_probes.update_bounds(settings.bounds.contact_ms)
        self._update_known_peers()


def control_address(settings: Settings) -> str:
    """The address for operator calls; other control processes redirect callers to it."""
    control = settings.ports.control
    return f"{control[0]}:{control[1]}" if control is not None else ""
