"""Balancer of one upstream service: runs the decision module, which picks the upstream of each call, and
carries out its actions. Its input is the results of this sidecar's own calls and the membership."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from typing import Any

from hareloom import Balancer
from hareloom import interface as api
from hareloom.interface import NEVER_RAN, ListKind, Outcome, ServerState
from mesh.admission.final_check import RejectReason
from mesh.admission.retry_budget import RetryBudget
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

EXTRA_ATTEMPTS = 2  # beyond the route's trials, for attempts that never reach an upstream
MAX_RETRY_AFTER_MS = 10_000.0  # clients wait at most a third of their own deadline
# Share of its aim that a request waits for a slot before it is refused with a retry advice: a quarter less
# the network time to its client. A request that is worth more per unit of work than others at the service
# waits longer, because it gets the next slots.
MAX_WAIT_SHARE, EXTENDED_WAIT_SHARE = 0.18, 0.5
DEADLINE_SLACK_MS = 40.0  # a request without a decision is answered this long after its deadline


class ServiceBalancer:
    """Routes the requests for one service."""

    def __init__(self, context: ServiceContext, service: str, route: Route) -> None:
        self.context, self.service = context, service
        self.loop = context.loop
        self.budget = RetryBudget(context.retry_ratio, context.retry_window_ms, context.retry_slack)
        # Denied retries already logged; time of that event in ms.
        self._denied_logged, self._denied_logged_at = 0, -math.inf
        self.classes = RouteClasses()
        self.classes.assign(route)
        self.balancer = self._new_balancer()
        self.requests: dict[str, ClientRequest] = {}
        self._events: deque[api.Event] = deque()
        self._handling = False
        self._entries: dict[str, api.ServerEntry] = {}

    # Settings, derived from the routes that have traffic

    def _settings(self) -> api.Settings:
        context = self.context
        return api.Settings(
            classes=self.classes.all(),
            peers=max(context.sidecars, 1),
            zone=context.zone,
            limits=api.Limits(
                max_attempts=self.classes.max_trials + EXTRA_ATTEMPTS,
                paced=False,
                may_cancel=True,
                max_retry_after_ms=MAX_RETRY_AFTER_MS,
            ),
            # No reduced share for cold upstreams: their queues protect them from overload, their response
            # times show how slow they are, and after a loss of all upstreams there are only cold ones.
            rules=api.Rules(cold_ms=0.0),
            cross_zone_price=0.01 if context.multiple_zones else 0.0,
        )

    def _class_name(self, route: Route) -> str:
        """The request class of a route, created or updated if the route has changed."""
        name, changed = self.classes.assign(route)
        if changed:
            self.retune()
        return name

    def retune(self) -> None:
        self.handle(api.Retune(self._settings()))

    # Sharded services

    @property
    def sharded(self) -> bool:
        """Whether requests are routed by their keys."""
        return isinstance(self.balancer, KeyedBalancer)

    def _new_balancer(self) -> Balancer | KeyedBalancer:
        seed = self.context.seed()
        if self.context.keys.is_sharded(self.service):
            return KeyedBalancer(self._settings(), self._key_holder)
        return Balancer(self._settings(), seed)

    def _key_holder(self, request_id: str) -> str:
        """The upstream that holds a request's key; "" if none is known."""
        request = self.requests.get(request_id)
        return (
            self.context.keys.holder(self.service, request.key)
            if request is not None and request.key is not None
            else ""
        )

    def update_sharding(self) -> None:
        """Applies a change of the service's item: from now on its requests are routed by key, or no longer
        are. Open requests end by their open attempts or at their deadlines."""
        if self.sharded is not self.context.keys.is_sharded(self.service):
            self.balancer = self._new_balancer()
            self.handle(api.ServerList(ListKind.FULL, 0, tuple(self._entries.values())))

    # Membership

    def update_instances(
        self, entries: list[tuple[str, Mapping[str, Any] | None]], full: bool = False
    ) -> None:
        """Updates the instances of this service; None as a value means removed. ``full``: the entries are the
        complete list."""
        changes = []
        for instance, value in entries:
            if value is None:
                if self._entries.pop(instance, None) is None:
                    continue
                changes.append(api.ServerEntry(instance, ServerState.GONE))
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
                changes.append(entry)
        if changes or full:
            self.handle(api.ServerList(ListKind.FULL if full else ListKind.DELTA, 0, tuple(changes)))

    def _accepts_calls(self, value: Mapping[str, Any]) -> bool:
        return value.get("state") == "settled" and self.context.peer_links.reaches(str(value.get("node")))

    # Requests

    def submit(self, request: ClientRequest) -> None:
        now = self.context.now()
        self.budget.record_request(now)
        self.requests[request.id] = request
        request.deadline_timer = self.loop.call_at(
            (request.deadline + DEADLINE_SLACK_MS) / 1000.0, self._on_deadline, request
        )
        class_name = self._class_name(request.route)
        self.handle(api.Request(request.id, class_name, request.deadline))

    def client_gone(self, request: ClientRequest) -> None:
        """Handles a client that has disconnected."""
        if not request.finished:
            self._close(request)
            self.context.traces.record(self.context.now(), request, None)
            self.handle(api.ClientGone(request.id))
            self._cancel(request, Outcome.CANCELLED)

    def abandon(self, request: ClientRequest) -> None:
        """Ends a request because this process is shutting down. A request that may be running at an upstream
        is left alone: any result given here could contradict what the upstream does."""
        if any(outgoing is not None and outgoing.may_have_started for outgoing in request.outgoing):
            return
        dropped = self._drop_open_calls(request)
        self._finish(request, request.client_result(False, 0.0))  # no attempt is open any more
        self.handle(api.ClientGone(request.id))
        self._report_dropped(request, dropped, Outcome.CANCELLED)

    def _on_deadline(self, request: ClientRequest) -> None:
        if not request.finished:
            result = Failed(True) if request.may_have_run() else Refused(0.0)
            dropped = self._drop_open_calls(request)
            self._finish(request, result)
            self.handle(api.ClientGone(request.id))
            self._report_dropped(request, dropped, Outcome.TIMEOUT)

    def _cancel(self, request: ClientRequest, outcome: Outcome) -> None:
        """Drops the open attempts of a finished request."""
        self._report_dropped(request, self._drop_open_calls(request), outcome)

    def _drop_open_calls(self, request: ClientRequest) -> list[int]:
        """Drops the open attempts and returns their numbers. Must run before the client gets its result:
        otherwise the rest of a partly sent body could still be sent, and a refused request could run."""
        numbers = []
        for number, outgoing in enumerate(request.outgoing):
            if outgoing is not None:
                request.outgoing[number] = None
                self.context.peer_links.drop(outgoing)
                numbers.append(number)
        return numbers

    def _report_dropped(self, request: ClientRequest, numbers: list[int], outcome: Outcome) -> None:
        """Reports dropped attempts to the decision module, which would otherwise count them as open, and
        their upstreams as busy, forever."""
        now = self.context.now()
        for number in numbers:
            self.handle(api.AttemptEnded(request.id, number, outcome, now - request.sent_ms[number], False))

    def _close(self, request: ClientRequest) -> None:
        request.finished = True
        request.last_error = None  # frees its memory now instead of at the next garbage collection
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        self.requests.pop(request.id, None)

    def _finish(self, request: ClientRequest, result: ClientResult) -> None:
        if not request.finished:
            self._close(request)
            assert not isinstance(result, RouteChanged)
            outcome = result.response.status if isinstance(result, Served) else result
            self.context.traces.record(self.context.now(), request, outcome)
            self.context.on_request_end(request, outcome)
            request.reply(result)

    def _resubmit(self, request: ClientRequest) -> None:
        """Hands the request back to be routed by the current route. No attempt has run or is open."""
        self._close(request)
        self.budget.withdraw_request(self.context.now())
        self.handle(api.ClientGone(request.id))
        request.reply(RouteChanged())

    # Decision module: events in, actions out

    def handle(self, event: api.Event) -> None:
        """Passes an event to the decision module. Events raised meanwhile are queued."""
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
                except Exception as error:
                    # An exception in the decision module fails the current request only, not all others.
                    self.context.event_log.emit(events.INTERNAL_ERROR, where=self.service, what=repr(error))
                    request = self.requests.get(getattr(event, "request", ""))
                    if request is not None:
                        self._finish(request, Failed(False))
                        self.handle(api.ClientGone(request.id))
                        self._cancel(request, Outcome.CANCELLED)
        finally:
            self._handling = False

    def _execute(self, action: api.Action) -> None:
        if isinstance(action, api.Send):
            request = self.requests.get(action.request)
            if request is not None:
                self._send(request, action.server)
            return
        if isinstance(action, api.SetTimer):
            self.loop.call_later(action.delay_ms / 1000.0, self.handle, api.Timer(action.token))
            return
        if isinstance(action, api.Cancel):
            return  # open attempts are dropped when their request finishes
        if isinstance(action, (api.Refuse, api.Fail)):
            request = self.requests.get(action.request)
            if request is None:
                return
            retry_after_ms = action.retry_after_ms if isinstance(action, api.Refuse) else 0.0
            late = self.context.now() >= request.deadline - 2.0
            result, dropped = request.client_result(late, retry_after_ms), self._drop_open_calls(request)
            self._finish(request, result)
            self._report_dropped(request, dropped, Outcome.TIMEOUT if late else Outcome.CANCELLED)

    def _may_retry(self, now: float) -> bool:
        """Whether the budget allows another retry. Denials are logged once per window."""
        if self.budget.try_spend(now, self.context.sidecars):
            return True
        if now - self._denied_logged_at >= self.context.retry_window_ms:
            refused = self.budget.denied - self._denied_logged
            self.context.event_log.emit(events.RETRY_BUDGET_SPENT, service=self.service, refused=refused)
            self._denied_logged, self._denied_logged_at = self.budget.denied, now
        return False

    def _send(self, request: ClientRequest, instance: str) -> None:
        context, now = self.context, self.context.now()
        number = len(request.outgoing)
        request.outgoing.append(None)
        request.sent_ms.append(now)
        request.tries.append((instance, "out", 0.0))
        if request.reached and (request.reached >= request.route.trials or not self._may_retry(now)):
            request.tries[number] = (instance, "not sent: no budget for a further try", 0.0)
            self.handle(api.AttemptEnded(request.id, number, Outcome.MOOT, 0.0, False))
            return
        node = context.node_of(instance)
        call = Call(
            request.attempt,
            request.message.method,
            request.message.target,
            request.headers,
            request.message.body,
            instance,
            request.caller,
            request.deadline - now,
            rank=worth_of(request.route) / max(request.route.aim_ms, 1.0),
            max_wait_ms=MAX_WAIT_SHARE * request.route.aim_ms - (now - request.received_ms),
            extended_wait_ms=EXTENDED_WAIT_SHARE * request.route.aim_ms - (now - request.received_ms),
            route=request.route.name,
            version=request.route.version,
            age_ms=now - request.received_ms,
            accept_stale_route=request.accept_stale_route,
            effectful=request.route.effectful,
            aim_ms=request.route.aim_ms,
            repeat=request.repeat or request.reached > 0,
        )
        if request.repeat and number == 0:
            self.budget.charge(now)
        request.reached += 1
        ended = False

        def on_end(end: End) -> None:
            nonlocal ended
            ended = True
            self._on_call_end(request, number, end)

        outgoing = context.peer_links.send(call, node, context.address_of(node), on_end)
        if not ended:  # the call may have ended during send()
            request.outgoing[number] = outgoing

    def _on_call_end(self, request: ClientRequest, number: int, end: End) -> None:
        if request.finished:
            return
        request.outgoing[number] = None
        latency_ms = self.context.now() - request.sent_ms[number]
        request.tries[number] = (request.tries[number][0], describe_end(end), latency_ms)
        outcome = outcome_of(end)
        succeeded = outcome is Outcome.OK
        request.unclear = request.unclear or outcome not in NEVER_RAN and not succeeded
        if isinstance(end, NotExecuted):
            request.reached -= not end.reached_upstream
            if end.reason is RejectReason.OLD:
                request.accept_stale_route = True
                self.context.on_newer_item(end.newer_item)
                if not request.reached and not request.unclear:
                    self._resubmit(request)
                    return
        elif isinstance(end, UpstreamResponse):
            if succeeded:
                self._finish(request, Served(end))
            elif end.status not in NOT_EXECUTED_STATUSES:
                request.last_error = end
        self.handle(api.AttemptEnded(request.id, number, outcome, latency_ms, succeeded))
