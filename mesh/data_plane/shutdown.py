"""Graceful shutdown of a proxy, from SIGTERM to its exit: no accepted request is lost, and refused ones are
answered.

1. At once the platform and the other sidecars are notified, and each response to a client closes its
   connection. Until they know, requests are accepted as before.
2. After ``notice_s`` no new connection is accepted, and idle ones are closed once their clients may not use
   them any more.
3. After ``last_request_s`` new requests are refused, because they could be cut off at the exit.
4. Once nothing is open, or at ``exit_s``, requests that no upstream has are refused, the other sidecars learn
   which of their calls were accepted, and the process exits.
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

NOTICE_S = 2.2  # by then the platform has seen two failed readiness checks and sends its clients elsewhere
NOTICE_SHARE = 0.4  # of the grace period, at most
# Longest wait for the other sidecars to read GoAway: seconds, or this share of the time left until the kill,
# whichever is less.
GO_AWAY_WAIT_S, GO_AWAY_WAIT_SHARE = 0.2, 0.5
POLL_S = 0.02  # polling interval while calls are open


class ShutdownTimes(Struct, frozen=True):
    """Times of the steps, in seconds since SIGTERM."""

    notice_s: float
    last_request_s: float
    exit_s: float


def shutdown_times(grace_s: float) -> ShutdownTimes:
    """The times for ``grace_s`` seconds from SIGTERM to the kill."""
    notice_s = min(NOTICE_S, NOTICE_SHARE * grace_s)
    return ShutdownTimes(
        notice_s=notice_s,
        last_request_s=min(notice_s + FIRST_REQUEST_S, grace_s / 2.0),
        exit_s=exit_after_s(grace_s),
    )


def max_idle_s(grace_s: float) -> float:
    """How long a client's connection may be idle, in seconds. A shutdown can wait that long without holding
    the process up, since new connections are accepted meanwhile."""
    return max(shutdown_times(grace_s).notice_s, 1.0)


class RunningProxy(Protocol):
    """What a shutdown uses of a proxy."""

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
        """Accepts no more links from other processes."""


class Shutdown:
    """Shuts one proxy down, once."""

    def __init__(self, proxy: RunningProxy) -> None:
        """Nothing is announced yet."""
        self._proxy = proxy
        self._loop = proxy.loop
        self._grace_s = proxy.settings.bounds.grace_s
        self._times = shutdown_times(self._grace_s)

    async def run(self) -> None:
        """Returns when the process may exit."""
        proxy, times, started_at = self._proxy, self._times, self._loop.time()
        proxy.registry.publish(proxy.upstream.shut_down(proxy.balancers.now()))
        refusal_timer = self._loop.call_later(times.last_request_s, self._refuse_requests)
        listener = self._loop.create_task(
            proxy.client_listener.stop(accept_s=times.notice_s, exit_s=times.exit_s)
        )
        while self._loop.time() < started_at + times.exit_s and not (
            listener.done() and self._all_answered()
        ):
            await asyncio.sleep(POLL_S)
        await listener
        refusal_timer.cancel()
        self._log_unfinished()
        await self._close_links()
        proxy.control.stop()
        proxy.readiness.stop()

    def _refuse_requests(self) -> None:
        self._proxy.request_dispatcher.closed = True

    def _all_answered(self) -> bool:
        """Whether no call of another sidecar is open and all ends have been sent."""
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
            proxy.event_log.emit(events.CALLS_ABANDONED, requests=requests, calls=calls)

    async def _close_links(self) -> None:
        """Sends GoAway over all links. Each peer closes its link after reading it, and cannot open a new
        one."""
        proxy, remaining_s = self._proxy, self._grace_s - self._times.exit_s
        deadline = self._loop.time() + min(GO_AWAY_WAIT_S, GO_AWAY_WAIT_SHARE * remaining_s)
        proxy.stop_listening()
        proxy.upstream_dispatch.reject_queued()
        for link in list(proxy.incoming_links):
            if isinstance(link.peer, IncomingCalls):
                link.peer.leave()
        while proxy.incoming_links and self._loop.time() < deadline:
            await asyncio.sleep(POLL_S)
