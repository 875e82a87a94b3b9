"""Writes to the log what took a call's time on each hop, and how many bytes leave the zone.

Loaded only where the process was started with ``--debug``. The lines are events 510 to 513, which
`benchmarks/worth.py` reads.
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

MAX_TRIES, MAX_END_CHARS = 4, 24  # tries of one line, and characters of how each ended
BYTES_EVERY_S = 1.0
MIN_WAIT_S = 0.001  # of an answer that is told to have waited


class TracedProxy(Protocol):
    """What of a proxy is traced."""

    settings: Settings
    event_log: EventLog
    loop: asyncio.AbstractEventLoop
    service_balancers: ServiceBalancers
    upstream_dispatch: UpstreamDispatch
    peer_links: PeerLinks
    incoming_links: set[Link]
    channels: Channels
    client_listener: ClientListener
    membership: Membership


class CallTrace:
    """Of one proxy."""

    def __init__(self, proxy: TracedProxy) -> None:
        """``proxy`` must have started: its log is written to, its links are looked at."""
        self._proxy, self._event_log = proxy, proxy.event_log
        self._counted: dict[Link, int] = {}  # bytes of each link that have been added up
        self._totals = {"calls": 0, "answers": 0, "updates": 0}

    def start(self) -> None:
        """From now on each call that ends is told, and every second what the links have sent."""
        proxy = self._proxy
        proxy.service_balancers.traces.trace = self.first_hop
        proxy.upstream_dispatch.traces.trace = self.second_hop
        proxy.client_listener.trace = self.response_sent
        self._count_bytes()

    def first_hop(self, now: float, request: ClientRequest, result: int | Refused | Failed | None) -> None:
        """A client's call has its end, or its client has left (None)."""
        ends = {Refused: "refused", Failed: "failed", type(None): "left"}
        self._event_log.tell(
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
        """Each try as upstream, when it was sent (ms), how long it took, and its end; one that is still out
        has taken until now."""
        for number, (instance, end, took) in enumerate(request.tries[:MAX_TRIES]):
            sent = request.sent_ms[number]
            took_ms = now - sent if end == "out" else took
            yield f"{instance}/{sent - request.received_ms:.1f}/{took_ms:.1f}/{end[:MAX_END_CHARS]}"

    def second_hop(self, now: float, call: Call, received_ms: float, started_ms: float, end: End) -> None:
        """A call for the upstream beside this proxy has its end; ``began`` is 0 where it was never passed
        on."""
        self._event_log.tell(
            events.CALL_AT_SECOND_HOP,
            attempt=call.attempt,
            instance=call.instance,
            caller=call.caller,
            waited_ms=round((started_ms or now) - received_ms, 1),
            ran_ms=round(now - started_ms, 1) if started_ms else None,
            end=describe_end(end),
        )

    def response_sent(self, attempt: str, waited_s: float) -> None:
        """An answer has left that stood ready for so long: those before it on its connection went first."""
        if waited_s >= MIN_WAIT_S:
            self._event_log.tell(events.ANSWER_WAITED, attempt=attempt, waited_ms=round(waited_s * 1000.0, 1))

    def _count_bytes(self) -> None:
        """What the links to other zones have sent. The last second of a link that closes is not counted."""
        proxy, counted = self._proxy, {}
        for kind, node, link in self._links():
            value = proxy.membership.nodes.get(node)
            counted[link] = link.sent_bytes
            if value is not None and value.get("zone") != proxy.settings.zone:
                self._totals[kind] += link.sent_bytes - self._counted.get(link, 0)
        self._counted = counted
        sums = self._totals
        self._event_log.tell(
            events.BYTES_SENT, calls=sums["calls"], answers=sums["answers"], updates=sums["updates"]
        )
        proxy.loop.call_later(BYTES_EVERY_S, self._count_bytes)

    def _links(self) -> Iterable[tuple[str, str, Link]]:
        """What each link carries from here, the node at its other end, and the link."""
        for outgoing in self._proxy.peer_links.links():
            if outgoing.link is not None:
                yield "calls", outgoing.node, outgoing.link
        for link in self._proxy.incoming_links:
            yield "answers", link.node, link
        for channel in self._proxy.channels.open:
            yield "updates", channel.node, channel.link
