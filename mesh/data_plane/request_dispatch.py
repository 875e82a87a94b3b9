"""Dispatches the requests of local clients: finds the route and the service of each, and gives it a single
response."""

from __future__ import annotations

import re
from collections.abc import Callable
from http import HTTPStatus

from anisestair.flow.budget import Budget
from anisestair.http import codec as http
from anisestair.http.frontend import TARGET
from mesh.admission.buffer_budget import BufferBudget
from mesh.admission.repeat_runs import RepeatRuns
from mesh.configuration.limits import InputLimits
from mesh.configuration.routes import Route, pick_service
from mesh.data_plane.call_messages import BodyBytes, UpstreamResponse
from mesh.data_plane.call_state import ClientRequest, ClientResult, Failed, Refused, RouteChanged, Served
from mesh.data_plane.key_maps import KEY_HEADER
from mesh.data_plane.service_tables import ServiceBalancers
from mesh.data_plane.upstream_dispatch import REWRITTEN_HEADERS
from mesh.ownership.key_map import read_key

NO_CONFIGURATION_RETRY_S = 0.3  # Retry-After while there is no configuration
DEFAULT_RETRY_S = 0.2  # Retry-After where nothing better is known
ATTEMPT_ID = re.compile(rb"[!-~]{1,128}")
TIME_REMAINING = re.compile(rb"[0-9]{1,9}")
Reply = Callable[[int, http.Headers, BodyBytes], None]

SINGLE_HEADERS = frozenset({b"host", b"attempt-id", b"time-remaining", KEY_HEADER})


def read_single_headers(message: http.Message) -> dict[bytes, bytes] | None:
    """The headers that must not be repeated, by name; None if one is."""
    found: dict[bytes, bytes] = {}
    for name, value in message.headers:
        if name in SINGLE_HEADERS:
            if name in found:
                return None
            found[name] = value
    return found


class RequestDispatcher:
    """Accepts complete requests from client connections. ``find`` returns the route of a host and path."""

    def __init__(
        self,
        balancers: ServiceBalancers,
        caller: str,
        memory_mb: float,
        find: Callable[[str, str], Route | None],
        configured: Callable[[], bool],
        load_instances: Callable[[str], None],
    ) -> None:
        """``configured``: whether there is a configuration. ``load_instances`` gives a new balancer its
        instances."""
        self.balancers, self.caller, self._find, self._configured, self._load_instances = (
            balancers,
            caller,
            find,
            configured,
            load_instances,
        )
        self.budget = Budget(memory_mb)
        self.buffers = BufferBudget(self.budget.total)
        self.bodies = self.buffers.bodies
        self.repeats = RepeatRuns()  # of the upstream beside this sidecar, whose own calls arrive here too
        self.limits = InputLimits()  # a request keeps the limits that hold when it begins
        self.closed = False  # set late in a shutdown: new requests are refused
        self._count = 0
        self._requests: dict[str, ClientRequest] = {}

    def now(self) -> float:
        return self.balancers.now()

    @property
    def open_requests(self) -> int:
        return len(self._requests)

    def client_gone(self, request_id: str) -> None:
        request = self._requests.pop(request_id, None)
        if request is not None:
            self.balancers.by_service[request.service].client_gone(request)

    def abandon_all(self) -> int:
        """Ends open requests because the process is shutting down. A request that no upstream has, and none
        will get, is refused; the others get no response. Returns the number of the latter."""
        for request in list(self._requests.values()):
            self.balancers.by_service[request.service].abandon(request)
        return len(self._requests)

    def route_of(self, message: http.Message) -> Route | None:
        """The current route of a request."""
        path = message.target.partition(b"?")[0].decode("latin-1")
        return self._find((message.get(b"host") or ""), path)

    def begin(self, received_ms: float, message: http.Message, reply: Reply) -> str | None:
        """Accepts a request. Returns the id for `client_gone`, or None if the response has been given
        already. Raises http.BadMessage if it is not a valid request."""
        fields = read_single_headers(message)
        if fields is None or not TARGET.fullmatch(message.target):
            raise http.BadMessage(HTTPStatus.BAD_REQUEST)
        attempt, time_remaining = fields.get(b"attempt-id", b""), fields.get(b"time-remaining")
        if (
            not ATTEMPT_ID.fullmatch(attempt)
            or time_remaining is not None
            and not TIME_REMAINING.fullmatch(time_remaining)
        ):
            reply(HTTPStatus.BAD_REQUEST, [], b"")
            return None
        if self.closed:
            reply(HTTPStatus.SERVICE_UNAVAILABLE, [(b"retry-after", b"%.3f" % DEFAULT_RETRY_S)], b"")
            return None
        route = self.route_of(message)
        if route is None:
            if self._configured():
                reply(HTTPStatus.NOT_FOUND, [], b"")
            else:
                reply(
                    HTTPStatus.SERVICE_UNAVAILABLE,
                    [(b"retry-after", b"%.3f" % NO_CONFIGURATION_RETRY_S)],
                    b"",
                )
            return None
        self._count += 1
        return self._submit(str(self._count), route, received_ms, message, reply)

    def _submit(
        self,
        number: str,
        route: Route,
        received_ms: float,
        message: http.Message,
        reply: Reply,
        accept_stale_route: bool = False,
    ) -> str | None:
        time_remaining = message.get(b"time-remaining")
        deadline_ms = (
            min(float(time_remaining), route.horizon_ms) if time_remaining is not None else route.horizon_ms
        )
        service = pick_service(route, self.balancers.random_fraction())
        key = read_key(message.get(KEY_HEADER)) if self.balancers.keys.is_sharded(service) else None
        if key is not None:
            self.balancers.keys.count(service, key)
        request = ClientRequest(
            id=number,
            route=route,
            service=service,
            message=message,
            headers=[item for item in message.end_to_end() if item[0] not in REWRITTEN_HEADERS],
            attempt=message.get(b"attempt-id") or "",
            caller=self.caller,
            received_ms=received_ms,
            deadline=received_ms + deadline_ms,
            reply=lambda final: self._answer(reply, request, final),
            accept_stale_route=accept_stale_route,
            repeat=time_remaining is not None
            and self.repeats.may_have_made(received_ms + float(time_remaining)),
            key=key,
        )
        self._requests[request.id] = request
        balancer, created = self.balancers.get_or_create(service, route)
        if created:
            self._load_instances(service)
        balancer.submit(request)
        return request.id if request.id in self._requests else None

    def _answer(self, reply: Reply, request: ClientRequest, result: ClientResult) -> None:
        self._requests.pop(request.id, None)
        if isinstance(result, RouteChanged):
            route = self.route_of(request.message)
            if route is None:
                reply(HTTPStatus.NOT_FOUND, [], b"")
            else:
                self._submit(
                    request.id, route, request.received_ms, request.message, reply, accept_stale_route=True
                )
        elif isinstance(result, Served):
            response: UpstreamResponse = result.response
            if response.status in http.STATUS_LINES:
                reply(response.status, response.headers, response.body)
            else:
                reply(HTTPStatus.BAD_GATEWAY, [], b"")
        elif isinstance(result, Refused):
            retry_after_s = result.retry_after_ms / 1000.0 if result.retry_after_ms > 0.0 else DEFAULT_RETRY_S
            reply(HTTPStatus.SERVICE_UNAVAILABLE, [(b"retry-after", b"%.3f" % retry_after_s)], b"")
        else:
            assert isinstance(result, Failed)
            reply(HTTPStatus.GATEWAY_TIMEOUT if result.late else HTTPStatus.BAD_GATEWAY, [], b"")
