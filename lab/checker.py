"""Checks four rules in every run on all answers and attempts of the sidecars.

lost: a request that a running sidecar accepted has no final answer in time, or more than one.
twice: a request is sent again, or refused, although it may have run and its class forbids that.
drain: a new attempt goes to a server after the grace period since the sidecar learned that the server drains
or is gone.
fall: a cold server crashed from overload; the server model counts these.

``ran_twice`` counts the requests that really ran more than once, whatever the sidecars could know.
"""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

from hareloom import interface as api
from hareloom.interface import NEVER_RAN, Effect, Group, ListKind, ServerState

if TYPE_CHECKING:
    from lab.scenario_tables import Scenario

RULES = ("lost", "twice", "drain", "fall")


def may_follow(
    klass: api.RequestClass, ran: list[tuple[str, int, float]], zone: str, cell: int, now: float
) -> bool:
    """Whether a request may go to a server of this zone and cell. ``ran`` holds the earlier attempts that may
    have run, by zone, cell and instant, in their order."""
    if not ran or klass.effect is Effect.SAFE:
        return True
    if klass.effect is Effect.UNSAFE or now > ran[0][2] + klass.window_ms:
        return False
    if klass.group is Group.ALL:
        return True
    return all(
        ran_zone == zone and (klass.group is Group.ZONE or ran_cell == cell) for ran_zone, ran_cell, _ in ran
    )


class RequestRecord:
    """The state of one request. ``ran`` holds the attempts that may have run, in their order, by their name:
    zone, cell and instant. ``in_flight`` counts the attempts that have not ended."""

    __slots__ = ("klass", "deadline", "closed_at", "ran", "count", "in_flight")

    def __init__(self, klass: api.RequestClass, deadline: float) -> None:
        self.klass, self.deadline = klass, deadline
        self.closed_at = math.inf
        self.ran: dict[int | str, tuple[str, int, float]] = {}
        self.count, self.in_flight = 0, 0


class Checker:
    """Receives what happens in a run and counts violations.

    ``in_flight_ms``: the longest time between the send of an attempt and its observation. In runs over
    sockets it is above 0: an attempt is observed on arrival at the server, so two attempts may seem to be in
    flight although the sidecar has just abandoned one of them.

    The methods named after events are also recorded and replayed by name (lab/ledger.py).
    """

    def __init__(self, scenario: Scenario, settings: api.Settings, in_flight_ms: float = 0.0) -> None:
        self.violations: Counter[str] = Counter()
        self.first_violations: dict[str, str] = {}  # by rule, a message for the first violation
        self.ran_twice = 0
        self._classes = {item.name: item for item in settings.classes}
        self._drain_grace_ms = scenario.allow.drain_grace_ms
        self._max_attempts = settings.limits.max_attempts
        self._allows_second_copies = settings.limits.second_copies
        self._requests: dict[int, dict[str, RequestRecord]] = {}
        self._withdrawn: dict[
            int, dict[str, float]
        ] = {}  # by sidecar: servers reported as draining or gone, since when
        self._unsafe = {item.name for item in settings.classes if item.effect is Effect.UNSAFE}
        self._ran_unsafe: set[str] = set()  # requests of unsafe classes that have run
        self._in_flight_ms = in_flight_ms
        self.now = 0.0

    def breach(self, rule: str, message: str) -> None:
        """Counts a violation of a rule."""
        self.violations[rule] += 1
        self.first_violations.setdefault(rule, f"{self.now:.1f} ms: {message}")

    def started(self, sidecar: int) -> None:
        """Called when a sidecar has started, with no requests and no server list."""
        self._requests[sidecar], self._withdrawn[sidecar] = {}, {}

    def listed(self, sidecar: int, now: float, event: api.ServerList) -> None:
        """Called when a sidecar has received a server list."""
        self.now = now
        if event.kind is ListKind.LOST:
            return
        withdrawn = self._withdrawn[sidecar]
        if event.kind is not ListKind.DELTA:
            named = {entry.server for entry in event.entries}
            for name in [name for name in withdrawn if name in named]:
                del withdrawn[name]
        for entry in event.entries:
            if entry.state is ServerState.READY:
                withdrawn.pop(entry.server, None)
            else:
                withdrawn.setdefault(entry.server, now)

    def asked(self, sidecar: int, name: str, class_name: str, deadline: float) -> None:
        """Called when a sidecar has accepted a request."""
        self._requests[sidecar][name] = RequestRecord(self._classes[class_name], deadline)

    def sent(
        self, sidecar: int, name: str, attempt: int | str, location: tuple[str, str, int], now: float
    ) -> None:
        """Called when a sidecar has sent an attempt. ``attempt`` identifies it within the request;
        ``location`` is the server with its zone and cell."""
        server, zone, cell = location
        self.now = now
        record = self._requests[sidecar].get(name)
        if record is None or now > record.closed_at + self._in_flight_ms:
            if record is not None or not self._in_flight_ms:
                self.breach("lost", f"{name} was sent after its final outcome")
            return
        since = self._withdrawn[sidecar].get(server, math.inf)
        if now > since + self._drain_grace_ms:
            self.breach(
                "drain",
                f"{name} was sent to {server}, reported as draining or gone {now - since:.0f} ms before",
            )
        if record.count >= self._max_attempts:
            self.breach("twice", f"{name} has more than {self._max_attempts} attempts")
        if record.in_flight and not self._allows_second_copies and not self._in_flight_ms:
            self.breach("twice", f"{name} has two attempts in flight")
        if not may_follow(record.klass, list(record.ran.values()), zone, cell, now):
            self.breach("twice", f"{name} ({record.klass.name}) was sent again although it may have run")
        record.ran[attempt] = (zone, cell, now)
        record.count += 1
        record.in_flight += 1

    def ended(self, sidecar: int, name: str, attempt: int | str, outcome: api.Outcome) -> None:
        """Called when an attempt has ended."""
        record = self._requests[sidecar].get(name)
        if record is None:
            return
        record.in_flight -= 1
        if outcome in NEVER_RAN:
            record.ran.pop(attempt, None)
        self._drop_if_finished(sidecar, name, record)

    def final(self, sidecar: int, name: str, outcome: str, now: float) -> None:
        """Called when a sidecar has given a request its final answer."""
        self.now = now
        record = self._requests[sidecar].get(name)
        if record is None or record.closed_at < math.inf:
            self.breach("lost", f"{name} has a second final outcome: {outcome}")
            return
        record.closed_at = now
        deduplicated_by_all = record.klass.effect is Effect.KEYED and record.klass.group is Group.ALL
        if (
            outcome == "refused"
            and record.ran
            and record.klass.effect is not Effect.SAFE
            and not deduplicated_by_all
        ):
            self.breach("twice", f"{name} ({record.klass.name}) was refused although it may have run")
        self._drop_if_finished(sidecar, name, record)

    def left(self, sidecar: int, name: str, now: float) -> None:
        """Called when the client has gone: no further attempt may be sent."""
        if (record := self._requests[sidecar].get(name)) is not None:
            record.closed_at = min(record.closed_at, now)
            self._drop_if_finished(sidecar, name, record)

    def overdue(self, sidecar: int, name: str) -> None:
        """Called when the client has given up after the deadline."""
        record = self._requests[sidecar].get(name)
        if record is not None and record.closed_at == math.inf and record.deadline < math.inf:
            self.breach("lost", f"{name} has no final outcome by its deadline, {record.deadline:.1f} ms")

    def _drop_if_finished(self, sidecar: int, name: str, record: RequestRecord) -> None:
        if record.closed_at < math.inf and not record.in_flight:
            self._requests[sidecar].pop(name, None)

    def ran(self, name: str, class_name: str) -> None:
        """Called when a server has completed the work of an attempt."""
        if class_name not in self._unsafe:
            return
        if name in self._ran_unsafe:
            self.ran_twice += 1
        self._ran_unsafe.add(name)
