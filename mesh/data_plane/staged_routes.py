"""A sidecar's part in stages: when a changed route is in force here, what its first calls say of it, and the
word of both to the control processes. The decisions are `mesh.rollout`'s."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from mesh.configuration.commands import ROUTE
from mesh.configuration.routes import Route, Routes, read_route
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

SAY_S, SAY_SOON_S = 0.2, 0.02  # what changes within this is told at once; the first part's word is waited for


class Stages:
    def __init__(
        self,
        settings: Settings,
        charter: Store,
        reports: Store,
        routes: Routes,
        membership: Membership,
        prepare: Callable[[Route], list[str]],
        channels: Callable[[], Channels],
        version: int,
        event_log: EventLog,
    ) -> None:
        """``prepare`` makes ready for a route and gives its services without a live upstream; ``version``:
        above those of all reports of earlier lives."""
        self._loop = asyncio.get_running_loop()
        self._node, self._charter, self._reports = settings.node, charter, reports
        self._routes, self._membership, self._prepare = routes, membership, prepare
        self._channels, self._version, self._event_log = channels, version, event_log
        times = derive_rollout_times(settings.bounds.settle_ms, settings.bounds.ack_ms)
        self.chamber, self.contact = StagedActivation(times.hold_s), UpdateContact(times.propagation_s)
        self._newer, self.watch = VersionCheck(times.adoption_s), CanaryMonitor()
        self.dry: dict[
            str, str
        ] = {}  # services without a live upstream when a route was to use them, by route
        self._due: asyncio.TimerHandle | None = None
        self._saying: asyncio.TimerHandle | None = None
        self._floor: dict[str, int] = {}  # the last vector that was told with all that was held back
        self._floor_held: tuple[Key, ...] = ()
        self._said_at = 0.0
        self._said: dict[str, Any] | None = None

    def tune(self, settings: Settings) -> None:
        """The settings file has changed: other bounds hold for what comes from now on."""
        times = derive_rollout_times(settings.bounds.settle_ms, settings.bounds.ack_ms)
        self.chamber.hold_s, self.contact.propagation_s = times.hold_s, times.propagation_s
        self._newer.grace_s = times.adoption_s

    # Items

    def route(self, item: Item, late: bool = False) -> None:
        """A route's item has come that is newer than all before. ``late``: others have known it for long."""
        now = self._loop.time()
        new = _read(item)
        self._newer.note(now, item.name, item.version)
        kind = kind_of(self._routes.named(item.name), new)
        first = kind in STAGED and self._node in self._membership.draw().canaries(
            ROUTE, item.name, item.version
        )
        one = self.chamber.receive(
            now, item.key, item.version, kind, first, late or self.contact.is_behind(now)
        )
        self.dry.pop(item.name, None)
        if kind is ChangeKind.MOVED and new is not None:
            dry = self._prepare(new)
            self.chamber.mark_prepared(one)
            for service in dry:
                self.dry[item.name] = service
                self._event_log.tell(events.ROUTE_DRY, route=item.name, version=item.version, service=service)
        if one.state is State.IN_FORCE:
            self._use(now, one)
        self._arm()

    def _use(self, now: float, one: ItemActivation) -> None:
        item = self._charter.items.get(one.key)
        new, old = _read(item) if item is not None else None, self._routes.named(one.key[1])
        if item is None or new is None:
            self._routes.drop(one.key[1])
            return
        self._routes.put(new)
        if one.canary and one.kind in STAGED:
            aim = max(new.aim_ms, old.aim_ms) if old is not None else new.aim_ms
            self.watch.start(now, item.name, item.version, aim)

    def _arm(self) -> None:
        due = self.chamber.next_due()
        if self._due is not None:
            self._due.cancel()
        self._due = self._loop.call_at(due, self._take_due) if due is not None else None

    def _take_due(self) -> None:
        self._due = None
        now = self._loop.time()
        for one in self.chamber.activate_due(now):
            self._use(now, one)
        self._arm()
        self.changed()

    def told(self, head: Head, contact: bool) -> None:
        """A control process says of which items the first part's word is good. ``contact``: it has that with
        most others; one that has not is not listened to, for it may not know of a newer version, and what it
        would let pass passes by itself in time. Raises KeyError, TypeError or ValueError."""
        if head["t"] != "go" or not contact:
            return
        now = self._loop.time()
        for kind, name, version in head["items"]:
            one = self.chamber.approve(now, (str(kind), str(name)), int(version))
            if one is not None:
                self._use(now, one)
                self.changed()
        self._arm()

    def order(self, name: str, order: RolloutCommand, at_next: bool) -> ItemActivation | None:
        """An operator's word for a route: for what is held back, or (``at_next``) for its next version. None
        where nothing is held back."""
        now, key = self._loop.time(), (ROUTE, name)
        if at_next:
            self.chamber.apply_command_to_next(now, key, order)
            return None
        one = self.chamber.apply_command(now, key, order)
        if one is not None:
            self._event_log.tell(events.ROLLOUT_ORDERED, order=order.value, route=name, version=one.version)
            if one.state is State.IN_FORCE:
                self._use(now, one)
                self._arm()
                self.changed()
        return one

    # Calls

    def ended(self, ask: ClientRequest, told: int | Refused | Failed) -> None:
        """A client's call is over."""
        now, route = self._loop.time(), ask.route
        failed = not isinstance(told, int) or told >= 500
        took = now * 1000.0 - ask.received_ms
        watched = self.watch.record(now, route.name, route.version, failed, took, route.aim_ms)
        if watched is None:
            return
        new, old = watched.new, watched.old
        if not watched.reported_worse and is_worse(new, old):
            watched.reported_worse = True
            self._event_log.tell(
                events.ROUTE_WORSE,
                route=route.name,
                version=route.version,
                failed=f"{new.failures}/{new.calls}",
                before=f"{old.failures}/{old.calls}",
            )
        self._say_within(SAY_SOON_S)

    def newer(self, call: Call) -> list[Any] | None:
        """For the second hop: the item by which that call should have come, packed, where it came by one that
        no sidecar in touch goes by any more."""
        if not self._newer.outdated(self._loop.time(), call.route, call.version, call.age_ms / 1000.0):
            return None
        item = self._charter.items.get((ROUTE, call.route))
        return pack_item(item) if item is not None else None

    # The word to the control processes

    def changed(self) -> None:
        """Something was taken in, or is in force now."""
        first = any(
            one.canary and one.state is State.IN_FORCE
            for one in list(self.chamber.history)[-MAX_NAMED_ITEMS:]
        )
        self._say_within(SAY_SOON_S if first else SAY_S)

    def again(self) -> None:
        """The others gave this sidecar up and dropped its report by its next version: this is above."""
        self._said = None
        self._version += 1
        self.changed()

    def tick(self, now: float) -> None:
        """Called several times a second."""
        channels = self._channels()
        self.contact.poll(
            now, any(one.complete and now - one.link.heard_at <= MAX_POLL_GAP_S for one in channels.open)
        )
        if self._vector() != self._floor and not self.chamber.held and self._said is not None:
            self.changed()  # a vector may rise without an item
        number = self._reports.vector.get(self._reports.source, 0)
        if number and any(one.exchange.has(REPORTS, self._reports.source) >= number for one in channels.open):
            self.chamber.confirm(self._said_at)

    def _say_within(self, seconds: float) -> None:
        at = self._loop.time() + seconds
        if self._saying is not None:
            if self._saying.when() <= at:
                return
            self._saying.cancel()
        self._saying = self._loop.call_at(at, self._say)

    def _say(self) -> None:
        self._saying = None
        held = self.chamber.held
        if len(held) <= MAX_NAMED_ITEMS:
            self._floor, self._floor_held = self._vector(), tuple(held)
        # Those that were named with the vector come first: they are within it.
        keys = dict.fromkeys([key for key in self._floor_held if key in held] + list(held))
        named = {key: held[key].version for key in list(keys)[:MAX_NAMED_ITEMS]}
        counts = [
            CanaryCounts(
                (ROUTE, w.name), w.version, (w.new.calls, w.new.failures), (w.old.calls, w.old.failures)
            )
            for w in list(self.watch.watched.values())[-MAX_NAMED_ITEMS:]
            if w.new.calls and w.until >= self._loop.time()
        ]
        told = pack(RolloutReport(self._floor, named, len(held) - len(named), tuple(counts)))
        if told == self._said:
            return
        self._said, self._said_at = told, self._loop.time()
        self._version += 1
        self._reports.write(REPORT, self._node, self._version, told)
        self._channels().poke()

    def _vector(self) -> dict[str, int]:
        return {s: n for s, n in self._charter.vector.items() if not is_page_entry(s)}


def _read(item: Item) -> Route | None:
    return read_route(item.name, item.version, dict(item.value)) if item.value is not None else None
