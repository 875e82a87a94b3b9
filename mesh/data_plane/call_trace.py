"""Logs how long calls take on each hop, and how many bytes leave the zone.

Imported only if the process was started with ``--debug``. The events are 510 to 513; `benchmarks/worth.py`
reads them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Protocol

from mesh.data_plane.call_messages import Call, End
from mesh.data_plane.call_state import ClientRequest, Failed, Refused
from mesh.data_plane.client_connection import ClientListener
from mesh.data_plane.membership import Membership
from mesh.data_plane.peer_links import PeerLinks
from mesh.data_plane.service_tables import ServiceBalancers
from mesh.data_plane.traces import describe_end
from mesh.data_plane.upstream_dispatch import UpstreamDispatch
from mesh.dissemination.peers import Channels
from mesh.event_log import events
from mesh.event_log.log import EventLog
from mesh.runtime.settings import Settings
from mesh.transport.link import Link

MAX_TRIES, MAX_END_CHARS = 4, 24  # attempts per event, and characters of their ends
BYTES_EVERY_S = 1.0
MIN_WAIT_S = 0.001  # shorter waits of a response are not logged


class TracedProxy(Protocol):
    """What the trace uses of a proxy."""

    settings: Settings
    event_log: EventLog
    loop: asyncio.AbstractEventLoop
    balancers: ServiceBalancers
    upstream_dispatch: UpstreamDispatch
    peer_links: PeerLinks
    incoming_links: set[Link]
    channels: Channels
    client_listener: ClientListener
    membership: Membership


class CallTrace:
    """Logs the calls of one proxy."""

    def __init__(self, proxy: TracedProxy) -> None:
        """``proxy`` must have started, because its log and its links are used."""
        self._proxy, self._event_log = proxy, proxy.event_log
        self._counted: dict[Link, int] = {}  # bytes of each link that are already added up
        self._totals = {"calls": 0, "answers": 0, "updates": 0}

    def start(self) -> None:
        """Logs each call that ends from now on, and the bytes sent over links once a second."""
        proxy = self._proxy
        proxy.balancers.traces.trace = self.first_hop
        proxy.upstream_dispatch.traces.trace = self.second_hop
        proxy.client_listener.trace = self.response_sent
        self._count_bytes()

    def first_hop(self, now: float, request: ClientRequest, result: int | Refused | Failed | None) -> None:
        """Logs the result of a client's request; None: the client has disconnected."""
        ends = {Refused: "refused", Failed: "failed", type(None): "left"}
        self._event_log.emit(
            events.CALL_AT_FIRST_HOP,
            attempt=request.attempt,
            route=request.route.name,
            service=request.service,
            aim_ms=request.route.aim_ms,
            took_ms=round(now - request.received_ms, 1),
            end=result if isinstance(result, int) else ends[type(result)],
            tries="|".join(self._tries(now, request)),
        )

    def _tries(self, now: float, request: ClientRequest) -> Iterable[str]:
        """Each attempt as instance, start in ms, duration in ms, and end. An open attempt has lasted until
        now."""
        for number, (instance, end, took) in enumerate(request.tries[:MAX_TRIES]):
            sent = request.sent_ms[number]
            took_ms = now - sent if end == "out" else took
            yield f"{instance}/{sent - request.received_ms:.1f}/{took_ms:.1f}/{end[:MAX_END_CHARS]}"

    def second_hop(self, now: float, call: Call, received_ms: float, started_ms: float, end: End) -> None:
        """Logs the end of a call for the upstream beside this proxy. ``started_ms`` is 0 if it was never
        passed on."""
        self._event_log.emit(
            events.CALL_AT_SECOND_HOP,
            attempt=call.attempt,
            instance=call.instance,
            caller=call.caller,
            waited_ms=round((started_ms or now) - received_ms, 1),
            ran_ms=round(now - started_ms, 1) if started_ms else None,
            end=describe_end(end),
        )

    def response_sent(self, attempt: str, waited_s: float) -> None:
        """Logs a response that waited behind earlier responses on its connection."""
        if waited_s >= MIN_WAIT_S:
            self._event_log.emit(
                events.ANSWER_DELAYED, attempt=attempt, waited_ms=round(waited_s * 1000.0, 1)
            )

    def _count_bytes(self) -> None:
        """Logs the bytes sent over links to other zones. The last second of a link that closes is not
        counted."""
        proxy, counted = self._proxy, {}
        for kind, node, link in self._links():
            value = proxy.membership.nodes.get(node)
            counted[link] = link.sent_bytes
            if value is not None and value.get("zone") != proxy.settings.zone:
                self._totals[kind] += link.sent_bytes - self._counted.get(link, 0)
        self._counted = counted
        sums = self._totals
        self._event_log.emit(
            events.BYTES_SENT, calls=sums["calls"], answers=sums["answers"], updates=sums["updates"]
        )
        proxy.loop.call_later(BYTES_EVERY_S, self._count_bytes)

    def _links(self) -> Iterable[tuple[str, str, Link]]:
        """The kind of traffic on each link, the node at its other end, and the link."""
        for outgoing in self._proxy.peer_links.links():
            if outgoing.link is not None:
                yield "calls", outgoing.node, outgoing.link
        for link in self._proxy.incoming_links:
            yield "answers", link.node, link
        for channel in self._proxy.channels.open:
            yield "updates", channel.node, channel.link
