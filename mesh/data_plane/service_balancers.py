"""One table for each upstream service: hosts the decision module, which picks the upstream of each call, and
carries out what it says. What it is fed are the ends of this sidecar's own calls and the membership."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from typing import Any

from hareloom import Balancer
from hareloom import interface as api
from hareloom.interface import NEVER_RAN, ListKind, Outcome, ServerState
from mesh.admission.final_check import Why
from mesh.admission.retry_budget import Budget
from mesh.configuration.routes import Route
from mesh.data_plane.call_messages import Call, End, NotExecuted, UpstreamResponse
from mesh.data_plane.call_state import (
    NOT_EXECUTED_STATUSES,
    ClientRequest,
    ClientResult,
    Failed,
    Refused,
    RouteChanged,
    Served,
    outcome_of,
)
from mesh.data_plane.keyed_balancer import KeyedBalancer
from mesh.data_plane.route_classes import RouteClasses, worth_of
from mesh.data_plane.service_parts import ServiceContext
from mesh.data_plane.traces import describe_end
from mesh.event_log import events

EXTRA_ATTEMPTS = (
    2  # attempts of a request beyond its route's trials, for those that never reached an upstream
)
MAX_RETRY_AFTER_MS = 10_000.0  # the longest advice; clients take a third of their time at the most
# Of its aim a request waits for a place, and is then told to come back: a quarter less the ways to its
# client.
# What is worth more for its work than others at the service waits longer: the next places are its own.
MAX_WAIT_SHARE, EXTENDED_WAIT_SHARE = 0.18, 0.5
DEADLINE_SLACK_MS = 40.0  # after its deadline a request without a decision is answered all the same


class ServiceBalancer:
    """Of one service."""

    def __init__(self, tables: ServiceContext, service: str, first: Route) -> None:
        self.context, self.service = tables, service
        self.loop = tables.loop
        self.budget = Budget(tables.retry_ratio, tables.retry_window_ms, tables.retry_slack)
        self._denied_logged, self._denied_logged_at = 0, -math.inf  # refused retries in the log; when, ms
        self.classes = RouteClasses()
        self.classes.assign(first)
        self.balancer = self._new_balancer()
        self.requests: dict[str, ClientRequest] = {}
        self._events: deque[api.Event] = deque()
        self._handling = False
        self._entries: dict[str, api.ServerEntry] = {}

    # Settings, as the routes that have traffic give them

    def _settings(self) -> api.Settings:
        tables = self.context
        return api.Settings(
            classes=self.classes.all(),
            peers=max(tables.sidecars, 1),
            zone=tables.zone,
            limits=api.Limits(
                max_attempts=self.classes.max_trials + EXTRA_ATTEMPTS,
                paced=False,
                may_cancel=True,
                max_retry_after_ms=MAX_RETRY_AFTER_MS,
            ),
            # A cold upstream has no lesser part by rule: the line before it keeps it from being pushed over,
            # its own answers say how slow it is, and after a loss of all there is none but cold ones.
            rules=api.Rules(cold_ms=0.0),
            cross_zone_price=0.01 if tables.multiple_zones else 0.0,
        )

    def _class_name(self, route: Route) -> str:
        """The class of a route, made or renewed where it is not as the route says."""
        name, changed = self.classes.assign(route)
        if changed:
            self.retune()
        return name

    def retune(self) -> None:
        self.handle(api.Retune(self._settings()))

    # A divided service

    @property
    def sharded(self) -> bool:
        """Whether its requests go by their keys."""
        return isinstance(self.balancer, KeyedBalancer)

    def _new_balancer(self) -> Balancer | KeyedBalancer:
        seed = self.context.seed()
        if self.context.keys.divided(self.service):
            return KeyedBalancer(self._settings(), self._key_holder)
        return Balancer(self._settings(), seed)

    def _key_holder(self, request: str) -> str:
        """The upstream that holds a request's key; "" where nobody is known to."""
        ask = self.requests.get(request)
        return (
            self.context.keys.holder(self.service, ask.key) if ask is not None and ask.key is not None else ""
        )

    def update_sharding(self) -> None:
        """The service's item has come: its requests go by their keys from now on, or do no more. Requests
        that are open end by what is out, or at their deadlines."""
        if self.sharded is not self.context.keys.divided(self.service):
            self.balancer = self._new_balancer()
            self.handle(api.ServerList(ListKind.FULL, 0, tuple(self._entries.values())))

    # Membership

    def update_instances(
        self, entries: list[tuple[str, Mapping[str, Any] | None]], whole: bool = False
    ) -> None:
        """Instances of this service as they are now; no value: gone."""
        told = []
        for instance, value in entries:
            if value is None:
                if self._entries.pop(instance, None) is None:
                    continue
                told.append(api.ServerEntry(instance, ServerState.GONE))
                continue
            known = self._entries.get(instance)
            entry = api.ServerEntry(
                instance,
                ServerState.READY if self._accepts_calls(value) else ServerState.DRAINING,
                zone=str(value.get("zone", "")),
                size=float(value.get("capacity", 1)),
            )
            if entry != known:
                self._entries[instance] = entry
                told.append(entry)
        if told or whole:
            self.handle(api.ServerList(ListKind.FULL if whole else ListKind.DELTA, 0, tuple(told)))

    def _accepts_calls(self, value: Mapping[str, Any]) -> bool:
        return value.get("state") == "settled" and self.context.peer_links.reaches(str(value.get("node")))

    # Requests

    def submit(self, ask: ClientRequest) -> None:
        now = self.context.now()
        self.budget.request(now)
        self.requests[ask.id] = ask
        ask.deadline_timer = self.loop.call_at(
            (ask.deadline + DEADLINE_SLACK_MS) / 1000.0, self._on_deadline, ask
        )
        klass = self._class_name(ask.route)
        self.handle(api.Request(ask.id, klass, ask.deadline))

    def client_gone(self, ask: ClientRequest) -> None:
        """Its client has left."""
        if not ask.finished:
            self._close(ask)
            self.context.traces.ended(self.context.now(), ask, None)
            self.handle(api.ClientGone(ask.id))
            self._cancel(ask, Outcome.CANCELLED)

    def abandon(self, ask: ClientRequest) -> None:
        """This process ends. What an upstream is at work on, or may be, is left as it is: an answer of our
        own in the place of the upstream's would say more than is known."""
        if any(out is not None and out.may_have_started for out in ask.outgoing):
            return
        withdrawn = self._drop_open_calls(ask)
        self._finish(ask, ask.client_result(False, 0.0))  # nothing is out any more
        self.handle(api.ClientGone(ask.id))
        self._report_dropped(ask, withdrawn, Outcome.CANCELLED)

    def _on_deadline(self, ask: ClientRequest) -> None:
        if not ask.finished:
            final = Failed(True) if ask.may_have_run() else Refused(0.0)
            withdrawn = self._drop_open_calls(ask)
            self._finish(ask, final)
            self.handle(api.ClientGone(ask.id))
            self._report_dropped(ask, withdrawn, Outcome.TIMEOUT)

    def _cancel(self, ask: ClientRequest, outcome: Outcome) -> None:
        """Withdraws what is still out of a request that is over."""
        self._report_dropped(ask, self._drop_open_calls(ask), outcome)

    def _drop_open_calls(self, ask: ClientRequest) -> list[int]:
        """Attempts that were out and are dropped. Done before its client is told anything: the rest of a body
        that has not left whole must never leave, or what is refused could run."""
        numbers = []
        for number, out in enumerate(ask.outgoing):
            if out is not None:
                ask.outgoing[number] = None
                self.context.peer_links.drop(out)
                numbers.append(number)
        return numbers

    def _report_dropped(self, ask: ClientRequest, numbers: list[int], outcome: Outcome) -> None:
        """The decisions hear of each end: they would count it as out, and its upstream as busy with it, for
        good."""
        now = self.context.now()
        for number in numbers:
            self.handle(api.AttemptEnded(ask.id, number, outcome, now - ask.sent_ms[number], False))

    def _close(self, ask: ClientRequest) -> None:
        ask.finished = True
        ask.last_error = None  # its memory goes with it, not with the next collection of cycles
        if ask.deadline_timer is not None:
            ask.deadline_timer.cancel()
        self.requests.pop(ask.id, None)

    def _finish(self, ask: ClientRequest, final: ClientResult) -> None:
        if not ask.finished:
            self._close(ask)
            assert not isinstance(final, RouteChanged)
            told = final.answer.status if isinstance(final, Served) else final
            self.context.traces.ended(self.context.now(), ask, told)
            self.context.on_request_end(ask, told)
            ask.reply(final)

    def _resubmit(self, ask: ClientRequest) -> None:
        """Nothing of it has run or is out; whoever took it does so once more, by the route as it is now."""
        self._close(ask)
        self.budget.withdraw(self.context.now())
        self.handle(api.ClientGone(ask.id))
        ask.reply(RouteChanged())

    # The module: events in, actions out

    def handle(self, event: api.Event) -> None:
        """What is raised while one event is handled waits its turn."""
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                event = self._events.popleft()
                try:
                    for action in self.balancer.handle(self.context.now(), event):
                        self._execute(action)
                except Exception as fault:
                    # A fault in the decisions costs the request at hand its answer, not all others.
                    self.context.event_log.tell(events.FAULT, where=self.service, what=repr(fault))
                    ask = self.requests.get(getattr(event, "request", ""))
                    if ask is not None:
                        self._finish(ask, Failed(False))
                        self.handle(api.ClientGone(ask.id))
                        self._cancel(ask, Outcome.CANCELLED)
        finally:
            self._handling = False

    def _execute(self, action: api.Action) -> None:
        if isinstance(action, api.Send):
            ask = self.requests.get(action.request)
            if ask is not None:
                self._send(ask, action.server)
            return
        if isinstance(action, api.SetTimer):
            self.loop.call_later(action.delay_ms / 1000.0, self.handle, api.Timer(action.token))
            return
        if isinstance(action, api.Cancel):
            return  # what is out when a request is over is cut with it
        if isinstance(action, (api.Refuse, api.Fail)):
            ask = self.requests.get(action.request)
            if ask is None:
                return
            wait_ms = action.retry_after_ms if isinstance(action, api.Refuse) else 0.0
            late = self.context.now() >= ask.deadline - 2.0
            final, withdrawn = ask.client_result(late, wait_ms), self._drop_open_calls(ask)
            self._finish(ask, final)
            self._report_dropped(ask, withdrawn, Outcome.TIMEOUT if late else Outcome.CANCELLED)

    def _may_retry(self, now: float) -> bool:
        """Whether the budget bears another retry; if not, that is told once a window."""
        if self.budget.spend(now, self.context.sidecars):
            return True
        if now - self._denied_logged_at >= self.context.retry_window_ms:
            refused = self.budget.denied - self._denied_logged
            self.context.event_log.tell(events.BUDGET_SPENT, service=self.service, refused=refused)
            self._denied_logged, self._denied_logged_at = self.budget.denied, now
        return False

    def _send(self, ask: ClientRequest, instance: str) -> None:
        tables, now = self.context, self.context.now()
        number = len(ask.outgoing)
        ask.outgoing.append(None)
        ask.sent_ms.append(now)
        ask.tries.append((instance, "out", 0.0))
        if ask.reached and (ask.reached >= ask.route.trials or not self._may_retry(now)):
            ask.tries[number] = (instance, "not sent: no budget for a further try", 0.0)
            self.handle(api.AttemptEnded(ask.id, number, Outcome.MOOT, 0.0, False))
            return
        node = tables.node_of(instance)
        call = Call(
            ask.attempt,
            ask.message.method,
            ask.message.target,
            ask.headers,
            ask.message.body,
            instance,
            ask.caller,
            ask.deadline - now,
            rank=worth_of(ask.route) / max(ask.route.aim_ms, 1.0),
            max_wait_ms=MAX_WAIT_SHARE * ask.route.aim_ms - (now - ask.received_ms),
            extended_wait_ms=EXTENDED_WAIT_SHARE * ask.route.aim_ms - (now - ask.received_ms),
            route=ask.route.name,
            version=ask.route.version,
            age_ms=now - ask.received_ms,
            accept_stale_route=ask.accept_stale_route,
            effectful=ask.route.effectful,
            aim_ms=ask.route.aim_ms,
            repeat=ask.repeat or ask.reached > 0,
        )
        if ask.repeat and number == 0:
            self.budget.charge(now)
        ask.reached += 1
        ended = False

        def end_with(end: End) -> None:
            nonlocal ended
            ended = True
            self._on_call_end(ask, number, end)

        out = tables.peer_links.send(call, node, tables.address_of(node), end_with)
        if not ended:  # it may have been turned away at once
            ask.outgoing[number] = out

    def _on_call_end(self, ask: ClientRequest, number: int, end: End) -> None:
        if ask.finished:
            return
        ask.outgoing[number] = None
        latency = self.context.now() - ask.sent_ms[number]
        ask.tries[number] = (ask.tries[number][0], describe_end(end), latency)
        outcome = outcome_of(end)
        closed = outcome is Outcome.OK
        ask.unclear = ask.unclear or outcome not in NEVER_RAN and not closed
        if isinstance(end, NotExecuted):
            ask.reached -= not end.reached_upstream
            if end.reason is Why.OLD:
                ask.accept_stale_route = True
                self.context.on_newer_item(end.newer_item)
                if not ask.reached and not ask.unclear:
                    self._resubmit(ask)
                    return
        elif isinstance(end, UpstreamResponse):
            if closed:
                self._finish(ask, Served(end))
            elif end.status not in NOT_EXECUTED_STATUSES:
                ask.last_error = end
        self.handle(api.AttemptEnded(ask.id, number, outcome, latency, closed))
