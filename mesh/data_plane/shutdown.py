"""The orderly end of a proxy, from SIGTERM to its exit: nothing that was taken is lost, and what is not taken
is told so.

1. At once the platform and the other sidecars are told that nothing new is to come here, and each answer to a
   client ends its connection. Until they know, what comes is taken as before.
2. After ``notice_s`` no new connection is taken, and each that rests ends once its client may not use it
   again.
3. After ``last_request_s`` a request that still comes is refused: it could be cut off at the exit.
4. Once nothing is in hand, or at ``exit_s``, what no upstream has is refused, the other sidecars learn which
   of their calls were taken, and the process ends.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from msgspec import Struct

from mesh.data_plane.client_connection import FIRST_REQUEST_S, ClientListener
from mesh.data_plane.incoming_calls import IncomingCalls
from mesh.data_plane.request_dispatch import RequestDispatcher
from mesh.data_plane.service_tables import ServiceBalancers
from mesh.data_plane.upstream_dispatch import UpstreamDispatch
from mesh.data_plane.upstream_registration import Registry
from mesh.event_log import events
from mesh.event_log.log import EventLog
from mesh.membership.instance_lifecycle import Upstream
from mesh.runtime.grace import exit_after_s
from mesh.runtime.settings import Settings
from mesh.transport.http_calls import HttpServer
from mesh.transport.link import Link

NOTICE_S = 2.2  # the platform has missed two looks at readiness by then, and sends its clients elsewhere
NOTICE_SHARE = 0.4  # of the grace, at the most
# The other sidecars' links are waited for so long, each to have read the last word: seconds, and as a share
# of what is left until the kill; the lesser counts.
GO_AWAY_WAIT_S, GO_AWAY_WAIT_SHARE = 0.2, 0.5
POLL_S = 0.02  # between two looks at what is in hand


class ShutdownTimes(Struct, frozen=True):
    """Seconds since SIGTERM."""

    notice_s: float
    last_request_s: float
    exit_s: float


def shutdown_times(grace_s: float) -> ShutdownTimes:
    """``grace_s``: seconds from SIGTERM to the kill."""
    notice_s = min(NOTICE_S, NOTICE_SHARE * grace_s)
    return ShutdownTimes(
        notice_s=notice_s,
        last_request_s=min(notice_s + FIRST_REQUEST_S, grace_s / 2.0),
        exit_s=exit_after_s(grace_s),
    )


def max_idle_s(grace_s: float) -> float:
    """For how many seconds a client's connection may rest: an end can wait for so long without holding the
    process up, since new connections are taken meanwhile."""
    return max(shutdown_times(grace_s).notice_s, 1.0)


class RunningProxy(Protocol):
    """What an end needs of a proxy."""

    loop: asyncio.AbstractEventLoop
    settings: Settings
    event_log: EventLog
    upstream: Upstream
    registry: Registry
    balancers: ServiceBalancers
    client_listener: ClientListener
    request_dispatcher: RequestDispatcher
    upstream_dispatch: UpstreamDispatch
    incoming_links: set[Link]
    control: HttpServer
    readiness: HttpServer

    def stop_listening(self) -> None:
        """Other processes open no more links to this one."""


class Shutdown:
    """Of one proxy, once."""

    def __init__(self, proxy: RunningProxy) -> None:
        """Nothing has been told yet."""
        self._proxy = proxy
        self._loop = proxy.loop
        self._grace_s = proxy.settings.bounds.grace_s
        self._times = shutdown_times(self._grace_s)

    async def run(self) -> None:
        """Returns when the process may exit."""
        proxy, times, began = self._proxy, self._times, self._loop.time()
        proxy.registry.publish(proxy.upstream.shut_down(proxy.balancers.now()))
        late = self._loop.call_later(times.last_request_s, self._refuse_requests)
        clients = self._loop.create_task(
            proxy.client_listener.stop(accept_s=times.notice_s, exit_s=times.exit_s)
        )
        while self._loop.time() < began + times.exit_s and not (clients.done() and self._all_answered()):
            await asyncio.sleep(POLL_S)
        await clients
        late.cancel()
        self._log_unfinished()
        await self._close_links()
        proxy.control.stop()
        proxy.readiness.stop()

    def _refuse_requests(self) -> None:
        self._proxy.request_dispatcher.closed = True

    def _all_answered(self) -> bool:
        """Nothing is in hand here for other sidecars, and what they were answered has left."""
        proxy = self._proxy
        if proxy.upstream_dispatch.running or len(proxy.upstream_dispatch.queue):
            return False
        return not any(self._is_receiving(link.peer) or link.unsent for link in proxy.incoming_links)

    @staticmethod
    def _is_receiving(peer: object) -> bool:
        return isinstance(peer, IncomingCalls) and peer.receiving

    def _log_unfinished(self) -> None:
        proxy = self._proxy
        requests, calls = proxy.request_dispatcher.open_requests, len(proxy.upstream_dispatch.running)
        if requests or calls:
            proxy.event_log.tell(events.GIVEN_UP, requests=requests, calls=calls)

    async def _close_links(self) -> None:
        """Each other end closes its link on the last word here, which it then has read. It finds nobody to
        open the next one to."""
        proxy, left_s = self._proxy, self._grace_s - self._times.exit_s
        until = self._loop.time() + min(GO_AWAY_WAIT_S, GO_AWAY_WAIT_SHARE * left_s)
        proxy.stop_listening()
        proxy.upstream_dispatch.reject_queued()
        for link in list(proxy.incoming_links):
            if isinstance(link.peer, IncomingCalls):
                link.peer.leave()
        while proxy.incoming_links and self._loop.time() < until:
            await asyncio.sleep(POLL_S)
