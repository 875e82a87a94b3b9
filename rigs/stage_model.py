"""A small model of staged rollouts, for `statecheck`: two controllers, sidecars and two routes; updates,
reports and approvals that arrive in any order, late, twice or never; sidecars that crash, are suspended or
disconnected. All decisions are made by the shipped code (`StagedActivation`, `UpdateContact`,
`RolloutReport`, `VersionCheck`); the model stands in for its host and the network.

Time passes in ticks. A tick is possible only while the assumptions hold: timers fire in time, a write is
acknowledged within ACK, and an update reaches a sidecar in contact within PROPAGATION after that.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

from mesh.replication.items import Item
from mesh.rollout.change_kinds import STAGED, ChangeKind
from mesh.rollout.contact import UpdateContact
from mesh.rollout.report import RolloutReport
from mesh.rollout.staged_activation import ItemActivation, StagedActivation
from mesh.rollout.version_check import VersionCheck
from statecheck import Model, Violation
from statecheck.model import State

HOLD, PROPAGATION, ACK, CONTACT, POLL_GAP = 1, 2, 1, 3, 1.5  # ticks
SETTLE = HOLD + PROPAGATION
LONG_AGO, NEVER = -99, 99


class Change(NamedTuple):
    item: int
    version: int
    kind: ChangeKind
    controller: int  # the one that the operator sends it to
    until: int = 0  # the latest tick at which it is sent


class Controller(NamedTuple):
    known: tuple[int, ...]  # versions, by item
    reports: tuple[tuple[Any, ...], ...]  # by sidecar: incarnation, vector, held items; or empty
    approvals: frozenset[tuple[int, int]]  # items and versions that their canaries confirmed


class Proxy(NamedTuple):
    status: str  # "running", "suspended" or "disconnected"
    incarnation: int
    in_force: tuple[int, ...]  # versions, by item
    known: tuple[int, ...]
    known_since: tuple[int, ...]
    outdated: tuple[int, ...]  # when a version newer than the one in force was received, or NEVER
    held: tuple[tuple[int, int, int, int], ...]  # item, version, deadline, when it was received
    contact: tuple[float | None, float]  # the fields of `UpdateContact`
    sent_report: tuple[Any, ...]
    disturbed_at: int  # the last tick at which it was not running in contact
    violation: str  # of a property, by its last step


@dataclass(frozen=True, slots=True)
class Scenario:
    changes: tuple[Change, ...]
    proxies: int = 2
    approvers: int = 1  # controllers that receive reports and approve versions
    crashes: int = 0
    suspensions: int = 0
    partitions: int = 0
    controller_crashes: int = 0
    until: int = 6


class RolloutModel(Model):
    def __init__(self, name: str, scenario: Scenario) -> None:
        self.name, self.scenario = name, scenario
        self.items = 2

    def initial(self) -> Iterable[State]:
        scenario = self.scenario
        versions = (0,) * self.items
        controller = Controller(versions, ((),) * scenario.proxies, frozenset())
        proxy = _started(0, self.items, (float(LONG_AGO), 0.0), (), LONG_AGO)
        written = ((None, None),) * len(scenario.changes)  # when each was accepted, and acknowledged
        budget = (scenario.crashes, scenario.suspensions, scenario.partitions, scenario.controller_crashes)
        yield (0, (controller, controller), (proxy,) * scenario.proxies, written, budget)

    # Events

    def events(self, state: State) -> Sequence[Any]:
        now, controllers, proxies, written, budget = state
        enabled: list[Any] = []
        for at, change in enumerate(self.scenario.changes):
            accepted, acked = written[at]
            if accepted is None and now <= change.until:
                enabled.append(("write", at))
            elif (
                accepted is not None
                and acked is None
                and all(controller.known[change.item] >= change.version for controller in controllers)
            ):
                enabled.append(("ack", at))
        for index, controller in enumerate(controllers):
            if any(a > b for a, b in zip(controller.known, controllers[1 - index].known, strict=True)):
                enabled.append(("replicate", index))
            for item in range(self.items):
                if index < self.scenario.approvers and self._may_approve(controller, item, now):
                    enabled.append(("approve", index, item))
            if budget[3] and (controller.approvals or any(controller.reports)):
                enabled.append(("controller crash", index))
        for at, proxy in enumerate(proxies):
            if proxy.status != "suspended":
                if any(held[2] <= now for held in proxy.held):
                    enabled.append(("activate due", at))
                if proxy.known != (0,) * self.items and self._report(proxy) != proxy.sent_report:
                    enabled.append(("send report", at))
                if budget[1]:
                    enabled.append(("suspend", at))
            else:
                enabled.append(("resume", at))
            if proxy.status == "running":
                for index, controller in enumerate(controllers):
                    if any(newer > own for newer, own in zip(controller.known, proxy.known, strict=True)):
                        enabled.append(("deliver update", index, at))
                    for item, version in sorted(controller.approvals):
                        if any(held[0] == item for held in proxy.held):
                            enabled.append(("deliver approval", at, item, version))
                if budget[2]:
                    enabled.append(("disconnect", at))
            if proxy.status == "disconnected":
                enabled.append(("reconnect", at))
            # A report that was sent before a crash or a suspension is still under way.
            if proxy.status != "disconnected" and proxy.sent_report:
                enabled += [
                    ("deliver report", at, index)
                    for index, controller in enumerate(controllers[: self.scenario.approvers])
                    if controller.reports[at] != proxy.sent_report
                ]
            if budget[0]:
                enabled.append(("crash", at))
        if now < self.scenario.until and self._may_tick(state):
            enabled.append(("tick",))
        return enabled

    def _may_tick(self, state: State) -> bool:
        now, _, proxies, written, _ = state
        for at, change in enumerate(self.scenario.changes):
            accepted, acked = written[at]
            if accepted is not None and acked is None and now >= accepted + ACK:
                return False
            for proxy in proxies:
                late = acked is not None and now >= acked + PROPAGATION and now - proxy.disturbed_at >= 1
                if proxy.status == "running" and late and proxy.known[change.item] < change.version:
                    return False
        return not any(
            held[2] <= now for proxy in proxies if proxy.status != "suspended" for held in proxy.held
        )

    # Transitions

    def step(self, state: State, event: Any) -> State:
        now, controllers, proxies, written, budget = state
        controllers, proxies = list(controllers), list(proxies)
        written, budget = list(written), list(budget)
        kind = event[0]
        if kind == "write":
            change = self.scenario.changes[event[1]]
            written[event[1]] = (now, None)
            controller = controllers[change.controller]
            controllers[change.controller] = controller._replace(
                known=_with(controller.known, change.item, change.version)
            )
        elif kind == "ack":
            written[event[1]] = (written[event[1]][0], now)
        elif kind == "replicate":
            source, target = controllers[event[1]], controllers[1 - event[1]]
            known = tuple(map(max, source.known, target.known))
            controllers[1 - event[1]] = target._replace(known=known)
        elif kind == "approve":
            controller = controllers[event[1]]
            controllers[event[1]] = controller._replace(
                approvals=controller.approvals | {(event[2], controller.known[event[2]])}
            )
        elif kind == "controller crash":
            controllers[event[1]] = Controller(controllers[event[1]].known, ((),) * len(proxies), frozenset())
            budget[3] -= 1
        elif kind == "deliver report":
            controller = controllers[event[2]]
            controllers[event[2]] = controller._replace(
                reports=_with(controller.reports, event[1], proxies[event[1]].sent_report)
            )
        elif kind == "tick":
            proxies = [self._tick(now + 1, proxy) for proxy in proxies]
            return (now + 1, tuple(controllers), tuple(proxies), tuple(written), tuple(budget))
        else:
            proxies[event[2] if kind == "deliver update" else event[1]] = self._step_proxy(
                now, controllers, proxies, event, budget
            )
        return (now, tuple(controllers), tuple(proxies), tuple(written), tuple(budget))

    def _step_proxy(
        self, now: int, controllers: list[Controller], proxies: list[Proxy], event: Any, budget: list[int]
    ) -> Proxy:
        kind, at = event[0], event[2] if event[0] == "deliver update" else event[1]
        proxy: Proxy = proxies[at]._replace(violation="")
        if kind == "deliver update":
            for item, version in enumerate(controllers[event[1]].known):
                if version > proxy.known[item]:
                    proxy = self._receive(now, at, proxy, item, version)
            return proxy
        if kind == "activate due":
            staged = _activation(proxy)
            for one in staged.activate_due(float(now)):
                proxy = self._activate(proxy, one)
            return proxy._replace(held=_held(staged))
        if kind == "deliver approval":
            staged = _activation(proxy)
            activated = staged.approve(float(now), _key(event[2]), event[3])
            if activated is not None:
                proxy = self._activate(proxy, activated)
                if activated.version != event[3]:
                    proxy = proxy._replace(violation=f"word: for r{event[3]}, r{activated.version} activated")
            return proxy._replace(held=_held(staged))
        if kind == "send report":
            return proxy._replace(sent_report=self._report(proxy))
        if kind == "crash":
            budget[0] -= 1
            return _started(
                proxy.incarnation + 1, self.items, (None, float(LONG_AGO)), proxy.sent_report, now
            )
        budget[1] -= kind == "suspend"
        budget[2] -= kind == "disconnect"
        status = {"suspend": "suspended", "disconnect": "disconnected"}.get(kind, "running")
        if kind == "disconnect":
            proxy = proxy._replace(contact=(None, proxy.contact[1]))
        return proxy._replace(status=status, disturbed_at=now)

    def _receive(self, now: int, at: int, proxy: Proxy, item: int, version: int) -> Proxy:
        """Receives a version as `StagedRoutes.receive_route` does."""
        change_kind = next(c.kind for c in self.scenario.changes if (c.item, c.version) == (item, version))
        staged, canary = _activation(proxy), at == self._canary(item, version)
        behind = _contact(proxy).is_behind(float(now))
        before = staged.held.get(_key(item))
        one = staged.receive(float(now), _key(item), version, change_kind, canary, behind)
        proxy = proxy._replace(
            known=_with(proxy.known, item, version),
            known_since=_with(proxy.known_since, item, now),
            outdated=_with(proxy.outdated, item, min(proxy.outdated[item], now)),
            held=_held(staged),
        )
        at_once = one.deadline <= now
        if at_once:
            proxy = self._activate(proxy, one)
        contact_since, polled_at = proxy.contact
        was_behind = contact_since is None or now - contact_since < PROPAGATION or now - polled_at > POLL_GAP
        must_wait = change_kind in STAGED and not canary and not was_behind and before is None
        if at_once and must_wait:
            return proxy._replace(violation="stage skipped: activated at once, not at a canary")
        if not at_once and change_kind not in STAGED:
            return proxy._replace(violation="held: a change that is not staged was held back")
        if not at_once and was_behind:
            return proxy._replace(violation="held: a sidecar that was behind held a change back")
        return proxy

    def _activate(self, proxy: Proxy, one: ItemActivation) -> Proxy:
        item = int(one.key[1])
        violation = "" if one.version > proxy.in_force[item] else f"back: to r{one.version}"
        outdated = NEVER if one.version >= proxy.known[item] else proxy.outdated[item]
        return proxy._replace(
            in_force=_with(proxy.in_force, item, one.version),
            outdated=_with(proxy.outdated, item, outdated),
            violation=proxy.violation or violation,
        )

    def _tick(self, now: int, proxy: Proxy) -> Proxy:
        proxy = proxy._replace(violation="")
        if proxy.status == "suspended":
            return proxy._replace(disturbed_at=now)
        contact = _contact(proxy)
        contact.poll(float(now), proxy.status == "running")
        disturbed_at = now if proxy.status == "disconnected" else proxy.disturbed_at
        return proxy._replace(contact=(contact._since, contact._polled_at), disturbed_at=disturbed_at)

    def _canary(self, item: int, version: int) -> int:
        return (item + version) % self.scenario.proxies

    def _report(self, proxy: Proxy) -> tuple[Any, ...]:
        return (proxy.incarnation, proxy.known, tuple((item, version) for item, version, _, _ in proxy.held))

    def _may_approve(self, controller: Controller, item: int, now: int) -> bool:
        version = controller.known[item]
        if not version or (item, version) in controller.approvals:
            return False
        return self._confirmed(controller.reports[self._canary(item, version)], item, version)

    def _confirmed(self, sent_report: tuple[Any, ...], item: int, version: int) -> bool:
        if not sent_report:
            return False
        _, known, held = sent_report
        report = RolloutReport(
            {f"i{at}": number for at, number in enumerate(known)}, {_key(at): v for at, v in held}, 0, ()
        )
        return report.confirms(Item("route", str(item), version, {}, f"i{item}", version))

    # Properties

    def violations(self, before: State | None, event: Any, after: State) -> Iterable[Violation]:
        now, controllers, proxies, written, _ = after
        for at, proxy in enumerate(proxies):
            if proxy.violation:
                yield Violation(proxy.violation.partition(":")[0], f"sidecar {at}: {proxy.violation}")
            for change, (_, acked) in zip(self.scenario.changes, written, strict=True):
                late = acked is not None and now > acked + SETTLE and proxy.disturbed_at < acked - CONTACT
                if late and proxy.in_force[change.item] < change.version:
                    yield Violation("settles", f"sidecar {at} lacks {change}, acknowledged at {acked}")
            for item, received in enumerate(proxy.outdated):
                if proxy.disturbed_at < received and now > received + HOLD:
                    yield Violation("hold", f"sidecar {at} holds {item} back since {received}")
            for item in range(self.items):
                for controller in controllers:
                    report, version = controller.reports[at], controller.known[item]
                    if (
                        report
                        and report[0] == proxy.incarnation
                        and version
                        and self._confirmed(report, item, version)
                    ):
                        if proxy.in_force[item] < version:
                            yield Violation("confirms", f"sidecar {at} confirms {item} r{version} early")
                for other in proxies:
                    version_check = VersionCheck(float(SETTLE + ACK))
                    if other.known[item]:
                        version_check.note(float(other.known_since[item]), str(item), other.known[item])
                    if proxy.disturbed_at < other.known_since[item] - CONTACT:
                        if version_check.outdated(float(now), str(item), proxy.in_force[item], 0.0):
                            yield Violation("turned away", f"calls of sidecar {at} by {item}, in contact")


def _started(
    incarnation: int, items: int, contact: tuple[float | None, float], sent: tuple[Any, ...], now: int
) -> Proxy:
    none = (0,) * items
    return Proxy(
        "running", incarnation, none, none, (LONG_AGO,) * items, (NEVER,) * items, (), contact, sent, now, ""
    )


def _with(values: tuple[Any, ...], at: int, value: Any) -> tuple[Any, ...]:
    return (*values[:at], value, *values[at + 1 :])


def _key(item: int) -> tuple[str, str]:
    return ("route", str(item))


def _activation(proxy: Proxy) -> StagedActivation:
    staged = StagedActivation(float(HOLD))
    for item, version, deadline, known in proxy.held:
        one = ItemActivation(_key(item), version, ChangeKind.MOVED, False, float(known), float(deadline), "")
        staged.held[one.key] = one
    return staged


def _held(staged: StagedActivation) -> tuple[tuple[int, int, int, int], ...]:
    return tuple(
        (int(one.key[1]), one.version, int(one.deadline), int(one.known_at)) for one in staged.held.values()
    )


def _contact(proxy: Proxy) -> UpdateContact:
    contact = UpdateContact(float(PROPAGATION), POLL_GAP)
    contact._since, contact._polled_at = proxy.contact
    return contact


SCENARIOS = {
    "two operators": Scenario((Change(0, 2, ChangeKind.MOVED, 0), Change(0, 4, ChangeKind.MOVED, 1, 1))),
    "a change and its drop": Scenario(
        (Change(0, 2, ChangeKind.MOVED, 0), Change(0, 4, ChangeKind.DROPPED, 0, 1))
    ),
    "two items": Scenario((Change(0, 2, ChangeKind.MOVED, 0), Change(1, 2, ChangeKind.BOUNDED, 1))),
    "a crash": Scenario(
        (Change(0, 2, ChangeKind.MOVED, 0),), crashes=1, controller_crashes=1, approvers=2, until=5
    ),
    "a stand-still": Scenario((Change(0, 2, ChangeKind.MOVED, 0),), suspensions=1),
    "a cut": Scenario((Change(0, 2, ChangeKind.MOVED, 0),), partitions=1),
}
LARGE_SCENARIOS = {
    "three sidecars, two operators, a crash": Scenario(
        (Change(0, 2, ChangeKind.MOVED, 0), Change(0, 4, ChangeKind.MOVED, 1, 1)),
        proxies=3,
        crashes=1,
        until=6,
    ),
    "three sidecars, two items, a stand-still": Scenario(
        (Change(0, 2, ChangeKind.MOVED, 0), Change(1, 2, ChangeKind.BOUNDED, 1)),
        proxies=3,
        suspensions=1,
        until=6,
    ),
}
