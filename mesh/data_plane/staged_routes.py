"""A sidecar's part in staged rollouts: when a changed route comes into force here, how its first calls do,
and the reports of both to the control processes. The decisions are in `mesh.rollout`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from mesh.configuration.commands import ROUTE
from mesh.configuration.routes import Route, RouteTable, read_route
from mesh.data_plane.call_messages import Call
from mesh.data_plane.call_state import ClientRequest, Failed, Refused
from mesh.data_plane.membership import Membership
from mesh.dissemination.peers import Channels
from mesh.dissemination.pull_exchange import pack as pack_item
from mesh.event_log import events
from mesh.event_log.log import EventLog
from mesh.replication.items import Item, Key
from mesh.replication.store import Store, is_page_entry
from mesh.rollout.bounds import derive_rollout_times
from mesh.rollout.canary_verdict import CanaryMonitor, is_worse
from mesh.rollout.change_kinds import STAGED, ChangeKind, kind_of
from mesh.rollout.contact import MAX_POLL_GAP_S, UpdateContact
from mesh.rollout.report import MAX_NAMED_ITEMS, REPORT, REPORTS, CanaryCounts, RolloutReport, pack
from mesh.rollout.staged_activation import ItemActivation, RolloutCommand, StagedActivation, State
from mesh.rollout.version_check import VersionCheck
from mesh.runtime.settings import Settings
from mesh.transport.frames import Head

# Changes within this time share a report. Others wait for the canaries' reports, which are sent sooner.
REPORT_S, REPORT_SOON_S = 0.2, 0.02


class StagedRoutes:
    def __init__(
        self,
        settings: Settings,
        config_store: Store,
        reports: Store,
        routes: RouteTable,
        membership: Membership,
        prepare: Callable[[Route], list[str]],
        channels: Callable[[], Channels],
        version: int,
        event_log: EventLog,
    ) -> None:
        """``prepare`` prepares for a route and returns its services without a live upstream. ``version``:
        above the report versions of earlier incarnations."""
        self._loop = asyncio.get_running_loop()
        self._node, self._config_store, self._reports = settings.node, config_store, reports
        self._routes, self._membership, self._prepare = routes, membership, prepare
        self._channels, self._version, self._event_log = channels, version, event_log
        times = derive_rollout_times(settings.bounds.settle_ms, settings.bounds.ack_ms)
        self.activation, self.contact = StagedActivation(times.hold_s), UpdateContact(times.propagation_s)
        self._version_check, self.monitor = VersionCheck(times.adoption_s), CanaryMonitor()
        # By route: a service that had no live upstream when the route was to use it.
        self.unserved: dict[str, str] = {}
        self._activation_timer: asyncio.TimerHandle | None = None
        self._report_timer: asyncio.TimerHandle | None = None
        # The last vector that was reported together with all held items.
        self._reported_vector: dict[str, int] = {}
        self._reported_held: tuple[Key, ...] = ()
        self._reported_at = 0.0
        self._last_report: dict[str, Any] | None = None

    def apply_settings(self, settings: Settings) -> None:
        """Applies a changed settings file; it holds for later changes only."""
        times = derive_rollout_times(settings.bounds.settle_ms, settings.bounds.ack_ms)
        self.activation.hold_s, self.contact.propagation_s = times.hold_s, times.propagation_s
        self._version_check.grace_s = times.adoption_s

    # Items

    def receive_route(self, item: Item, late: bool = False) -> None:
        """Handles a route item that is newer than all before. ``late``: others have known it for long."""
        now = self._loop.time()
        new = _read(item)
        self._version_check.note(now, item.name, item.version)
        kind = kind_of(self._routes.get(item.name), new)
        canary = kind in STAGED and self._node in self._membership.canary_selection().canaries(
            ROUTE, item.name, item.version
        )
        activation = self.activation.receive(
            now, item.key, item.version, kind, canary, late or self.contact.is_behind(now)
        )
        self.unserved.pop(item.name, None)
        if kind is ChangeKind.MOVED and new is not None:
            unserved = self._prepare(new)
            self.activation.mark_prepared(activation)
            for service in unserved:
                self.unserved[item.name] = service
                self._event_log.emit(
                    events.ROUTE_WITHOUT_UPSTREAM, route=item.name, version=item.version, service=service
                )
        if activation.state is State.IN_FORCE:
            self._put_in_force(now, activation)
        self._set_activation_timer()

    def _put_in_force(self, now: float, activation: ItemActivation) -> None:
        item = self._config_store.items.get(activation.key)
        new, old = _read(item) if item is not None else None, self._routes.get(activation.key[1])
        if item is None or new is None:
            self._routes.remove(activation.key[1])
            return
        self._routes.put(new)
        if activation.canary and activation.kind in STAGED:
            aim = max(new.aim_ms, old.aim_ms) if old is not None else new.aim_ms
            self.monitor.start(now, item.name, item.version, aim)

    def _set_activation_timer(self) -> None:
        due = self.activation.next_due()
        if self._activation_timer is not None:
            self._activation_timer.cancel()
        self._activation_timer = self._loop.call_at(due, self._activate_due) if due is not None else None

    def _activate_due(self) -> None:
        self._activation_timer = None
        now = self._loop.time()
        for activation in self.activation.activate_due(now):
            self._put_in_force(now, activation)
        self._set_activation_timer()
        self.schedule_report()

    def handle_frame(self, head: Head, contact: bool) -> None:
        """Handles a control process's approval of items. ``contact``: it has contact with
        a majority. One without is ignored, because it may not know of a newer version; what it approves comes
        into force by itself in time. Raises KeyError, TypeError or ValueError."""
        if head["t"] != "go" or not contact:
            return
        now = self._loop.time()
        for kind, name, version in head["items"]:
            activation = self.activation.approve(now, (str(kind), str(name)), int(version))
            if activation is not None:
                self._put_in_force(now, activation)
                self.schedule_report()
        self._set_activation_timer()

    def apply_command(self, name: str, command: RolloutCommand, at_next: bool) -> ItemActivation | None:
        """Applies an operator's command to a route's held version, or with ``at_next`` to its next version.
        Returns None if no version is held."""
        now, key = self._loop.time(), (ROUTE, name)
        if at_next:
            self.activation.apply_command_to_next(now, key, command)
            return None
        activation = self.activation.apply_command(now, key, command)
        if activation is not None:
            self._event_log.emit(
                events.ROLLOUT_ORDERED, order=command.value, route=name, version=activation.version
            )
            if activation.state is State.IN_FORCE:
                self._put_in_force(now, activation)
                self._set_activation_timer()
                self.schedule_report()
        return activation

    # Calls

    def record_request(self, request: ClientRequest, result: int | Refused | Failed) -> None:
        """Records the result of a client's request."""
        now, route = self._loop.time(), request.route
        failed = not isinstance(result, int) or result >= 500
        took_ms = now * 1000.0 - request.received_ms
        watched = self.monitor.record(now, route.name, route.version, failed, took_ms, route.aim_ms)
        if watched is None:
            return
        new, old = watched.new, watched.old
        if not watched.reported_worse and is_worse(new, old):
            watched.reported_worse = True
            self._event_log.emit(
                events.ROUTE_DEGRADED,
                route=route.name,
                version=route.version,
                failed=f"{new.failures}/{new.calls}",
                before=f"{old.failures}/{old.calls}",
            )
        self._report_within(REPORT_SOON_S)

    def find_newer_item(self, call: Call) -> list[Any] | None:
        """For the second hop: the packed current item of a call's route, if the call used a version that no
        sidecar in contact uses any more."""
        if not self._version_check.outdated(
            self._loop.time(), call.route, call.version, call.age_ms / 1000.0
        ):
            return None
        item = self._config_store.items.get((ROUTE, call.route))
        return pack_item(item) if item is not None else None

    # Reports to the control processes

    def schedule_report(self) -> None:
        """Schedules a report after an item was received or came into force."""
        canary = any(
            one.canary and one.state is State.IN_FORCE
            for one in list(self.activation.history)[-MAX_NAMED_ITEMS:]
        )
        self._report_within(REPORT_SOON_S if canary else REPORT_S)

    def supersede_report(self) -> None:
        """Reports again above the version with which the others dropped this sidecar's report."""
        self._last_report = None
        self._version += 1
        self.schedule_report()

    def tick(self, now: float) -> None:
        """Called several times a second."""
        channels = self._channels()
        self.contact.poll(
            now,
            any(
                one.received_all and now - one.link.last_received_at <= MAX_POLL_GAP_S
                for one in channels.open
            ),
        )
        if (
            self._vector() != self._reported_vector
            and not self.activation.held
            and self._last_report is not None
        ):
            self.schedule_report()  # a vector may rise without an item
        number = self._reports.vector.get(self._reports.source, 0)
        if number and any(
            one.exchange.peer_number(REPORTS, self._reports.source) >= number for one in channels.open
        ):
            self.activation.confirm(self._reported_at)

    def _report_within(self, seconds: float) -> None:
        at = self._loop.time() + seconds
        if self._report_timer is not None:
            if self._report_timer.when() <= at:
                return
            self._report_timer.cancel()
        self._report_timer = self._loop.call_at(at, self._report)

    def _report(self) -> None:
        self._report_timer = None
        held = self.activation.held
        if len(held) <= MAX_NAMED_ITEMS:
            self._reported_vector, self._reported_held = self._vector(), tuple(held)
        # Items reported with the vector come first, because the vector includes them.
        keys = dict.fromkeys([key for key in self._reported_held if key in held] + list(held))
        named = {key: held[key].version for key in list(keys)[:MAX_NAMED_ITEMS]}
        counts = [
            CanaryCounts(
                (ROUTE, w.name), w.version, (w.new.calls, w.new.failures), (w.old.calls, w.old.failures)
            )
            for w in list(self.monitor.watched.values())[-MAX_NAMED_ITEMS:]
            if w.new.calls and w.until >= self._loop.time()
        ]
        report = pack(RolloutReport(self._reported_vector, named, len(held) - len(named), tuple(counts)))
        if report == self._last_report:
            return
        self._last_report, self._reported_at = report, self._loop.time()
        self._version += 1
        self._reports.write(REPORT, self._node, self._version, report)
        self._channels().schedule_answers()

    def _vector(self) -> dict[str, int]:
        return {s: n for s, n in self._config_store.vector.items() if not is_page_entry(s)}


def _read(item: Item) -> Route | None:
    return read_route(item.name, item.version, dict(item.value)) if item.value is not None else None
