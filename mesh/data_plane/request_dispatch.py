"""The clients' side of a sidecar: each request finds its route and service, and gets one answer."""

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
from mesh.configuration.routes import Route, pick
from mesh.data_plane.call_messages import BodyBytes, UpstreamResponse
from mesh.data_plane.call_state import ClientRequest, ClientResult, Failed, Refused, RouteChanged, Served
from mesh.data_plane.key_maps import KEY_HEADER
from mesh.data_plane.service_tables import ServiceBalancers
from mesh.data_plane.upstream_dispatch import REWRITTEN_HEADERS
from mesh.ownership.key_map import read_key

NO_CONFIGURATION_RETRY_S = 0.3  # after which a client may come back while no configuration is here
DEFAULT_RETRY_S = 0.2  # and where nothing better is known
ATTEMPT_ID = re.compile(rb"[!-~]{1,128}")
TIME_REMAINING = re.compile(rb"[0-9]{1,9}")
Reply = Callable[[int, http.Headers, BodyBytes], None]

SINGLE_HEADERS = frozenset({b"host", b"attempt-id", b"time-remaining", KEY_HEADER})


def read_single_headers(message: http.Message) -> dict[bytes, bytes] | None:
    """The headers that decide; None where one stands twice."""
    found: dict[bytes, bytes] = {}
    for name, value in message.headers:
        if name in SINGLE_HEADERS:
            if name in found:
                return None
            found[name] = value
    return found


class RequestDispatcher:
    """Takes whole requests from connections; ``find`` gives the route of a host and path."""

    def __init__(
        self,
        tables: ServiceBalancers,
        caller: str,
        memory_mb: float,
        find: Callable[[str, str], Route | None],
        known: Callable[[], bool],
        fill: Callable[[str], None],
    ) -> None:
        """``known``: whether a configuration is here at all. ``fill`` tells a new table its instances."""
        self.balancers, self.caller, self._find, self._configured, self._load_instances = (
            tables,
            caller,
            find,
            known,
            fill,
        )
        self.budget = Budget(memory_mb)
        self.buffers = BufferBudget(self.budget.total)
        self.bodies = self.buffers.bodies
        self.repeats = RepeatRuns()  # of the upstream beside this sidecar, whose calls come here, too
        self.limits = InputLimits()  # a request keeps to those that hold when it begins
        self.closed = False  # at an end: there is no time left for what comes now
        self._count = 0
        self._requests: dict[str, ClientRequest] = {}

    def now(self) -> float:
        return self.balancers.now()

    @property
    def open_requests(self) -> int:
        return len(self._requests)

    def client_gone(self, request: str) -> None:
        ask = self._requests.pop(request, None)
        if ask is not None:
            self.balancers.by_service[ask.service].client_gone(ask)

    def abandon_all(self) -> int:
        """The end of the process is here. What no upstream has, and none ever will, is refused, so that its
        client learns that; the rest has no answer. Gives how many those are."""
        for ask in list(self._requests.values()):
            self.balancers.by_service[ask.service].abandon(ask)
        return len(self._requests)

    def route_of(self, message: http.Message) -> Route | None:
        """Where a whole request goes, as things stand now."""
        path = message.target.partition(b"?")[0].decode("latin-1")
        return self._find((message.get(b"host") or ""), path)

    def begin(self, taken: float, message: http.Message, reply: Reply) -> str | None:
        """Takes a request; gives the id by which its client's leaving is told, or None where the answer has
        been given already. Raises http.BadMessage for what cannot be read as a request at all."""
        fields = read_single_headers(message)
        if fields is None or not TARGET.fullmatch(message.target):
            raise http.BadMessage(HTTPStatus.BAD_REQUEST)
        attempt, left = fields.get(b"attempt-id", b""), fields.get(b"time-remaining")
        if not ATTEMPT_ID.fullmatch(attempt) or left is not None and not TIME_REMAINING.fullmatch(left):
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
        return self._submit(str(self._count), route, taken, message, reply)

    def _submit(
        self,
        number: str,
        route: Route,
        taken: float,
        message: http.Message,
        reply: Reply,
        anyway: bool = False,
    ) -> str | None:
        left = message.get(b"time-remaining")
        waits = min(float(left), route.horizon_ms) if left is not None else route.horizon_ms
        service = pick(route, self.balancers.random_fraction())
        key = read_key(message.get(KEY_HEADER)) if self.balancers.keys.is_sharded(service) else None
        if key is not None:
            self.balancers.keys.count(service, key)
        ask = ClientRequest(
            id=number,
            route=route,
            service=service,
            message=message,
            headers=[item for item in message.end_to_end() if item[0] not in REWRITTEN_HEADERS],
            attempt=message.get(b"attempt-id") or "",
            caller=self.caller,
            received_ms=taken,
            deadline=taken + waits,
            reply=lambda final: self._answer(reply, ask, final),
            accept_stale_route=anyway,
            repeat=left is not None and self.repeats.may_have_made(taken + float(left)),
            key=key,
        )
        self._requests[ask.id] = ask
        table, new = self.balancers.get_or_create(service, route)
        if new:
            self._load_instances(service)
        table.submit(ask)
        return ask.id if ask.id in self._requests else None

    def _answer(self, reply: Reply, ask: ClientRequest, final: ClientResult) -> None:
        self._requests.pop(ask.id, None)
        if isinstance(final, RouteChanged):
            route = self.route_of(ask.message)
            if route is None:
                reply(HTTPStatus.NOT_FOUND, [], b"")
            else:
                self._submit(ask.id, route, ask.received_ms, ask.message, reply, anyway=True)
        elif isinstance(final, Served):
            answer: UpstreamResponse = final.answer
            if answer.status in http.STATUS_LINES:
                reply(answer.status, answer.headers, answer.body)
            else:
                reply(HTTPStatus.BAD_GATEWAY, [], b"")
        elif isinstance(final, Refused):
            wait = final.retry_after_ms / 1000.0 if final.retry_after_ms > 0.0 else DEFAULT_RETRY_S
            reply(HTTPStatus.SERVICE_UNAVAILABLE, [(b"retry-after", b"%.3f" % wait)], b"")
        else:
            assert isinstance(final, Failed)
            reply(HTTPStatus.GATEWAY_TIMEOUT if final.late else HTTPStatus.BAD_GATEWAY, [], b"")
