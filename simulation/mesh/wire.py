"""A simulated network: ordered delivery with latency, one-way partitions, resets and silent loss of a
host."""

from __future__ import annotations

import asyncio
import re
from collections import deque
from collections.abc import Callable
from typing import Any

from mesh.transport.link import CONNECT_TIMEOUT_S, HEARTBEAT, Link
from simulation.mesh.clock import CURRENT_INCARNATION

LATENCY_S = 0.002
SOCKET_BUFFER_BYTES = 64 * 1024  # of one connection; bytes beyond it count as unsent
PROBE_FRAME = re.compile(rb'\d+:\{"t":"probed?",')


class _FakeSocket:
    def setsockopt(self, *_: object) -> None:
        pass


class _Listener:
    """A listening address of one process."""

    def __init__(self, network: Network, host: str, incarnation: Any) -> None:
        self._network, self._host, self._incarnation = network, host, incarnation

    def close(self) -> None:
        known = self._network.listeners.get(self._host)
        if known is not None and known[0] is self._incarnation:
            del self._network.listeners[self._host]


class ConnectionEnd(asyncio.Transport):
    """One end of a connection: the transport of its link."""

    def __init__(self, network: Network, incarnation: Any, link: Link) -> None:
        super().__init__()
        self.network, self.incarnation, self.link = network, incarnation, link
        self.other: ConnectionEnd
        self.closed = False
        self.last_arrival_at = 0.0  # when the last frame sent from here arrives
        # Sent from here and not delivered yet; a queue, since timers of the same instant have no order.
        self.in_flight: deque[bytes] = deque()
        self.blocked_frames: list[bytes] = []  # sent from here and held back by a partition
        self.last_frame = b""  # last frame sent from here

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return _FakeSocket() if name == "socket" else default

    def is_closing(self) -> bool:
        return self.closed

    def get_write_buffer_size(self) -> int:
        if not self.network.bytes_per_s:
            return sum(map(len, self.blocked_frames))
        return max(
            sum(map(len, self.blocked_frames)) + sum(map(len, self.in_flight)) - SOCKET_BUFFER_BYTES, 0
        )

    def write(self, data: Any) -> None:
        if self.incarnation.alive and not self.closed:
            self.network.send(self, bytes(data))

    def abort(self) -> None:
        if self.closed:
            return
        self.mark_closed(None)
        self.network.reset(self)

    def mark_closed(self, error: Exception | None) -> None:
        """Closes this end and notifies its link if the process still runs."""
        if self.closed:
            return
        self.closed = True
        self.blocked_frames.clear()
        if self.incarnation.alive:
            self.network.loop.call_soon(self.link.connection_lost, error, context=self.incarnation.context)


class Network:
    """All connections. ``reach_fault_point(end, data)`` is called before each frame; it returns the extra
    delay in seconds, or None if the frame is lost with its connection."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        reach_fault_point: Callable[[ConnectionEnd, bytes], float | None],
    ) -> None:
        self.loop, self.reach_fault_point = loop, reach_fault_point
        self.listeners: dict[str, tuple[Any, Callable[[], Link]]] = {}  # by host
        self.blocked_paths: set[tuple[str, str]] = set()  # (source host, destination host)
        self.powered_off: set[str] = set()  # hosts
        self.bytes_per_s: dict[str, float] = {}  # by host; links of other hosts are unlimited
        self.received_bytes: dict[str, int] = {}  # by host, of those with a limited rate
        self._link_free_at: dict[str, float] = {}  # when all bytes in flight to a host have arrived
        self.ends: list[ConnectionEnd] = []
        self.sent_frames = 0  # without heartbeats and contact probes
        self.probe_frames, self.probe_bytes = 0, 0  # contact probes and their replies
        # By pair of incarnations: a frame to be delivered again on their next connection.
        self.duplicates: dict[tuple[Any, Any], bytes] = {}

    # Called by the programs

    async def listen(self, address: tuple[str, int], make_link: Callable[[], Link]) -> Any:
        incarnation = CURRENT_INCARNATION.get()
        self.listeners[address[0]] = (incarnation, make_link)
        return _Listener(self, address[0], incarnation)

    async def connect(self, address: tuple[str, int], make_link: Callable[[], Link]) -> Link | None:
        incarnation, host = CURRENT_INCARNATION.get(), address[0]
        await asyncio.sleep(LATENCY_S)
        if host in self.powered_off or self.is_partitioned(incarnation.host, host):
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            return None
        listener = self.listeners.get(host)
        if listener is None or not listener[0].alive:
            await asyncio.sleep(LATENCY_S)
            return None
        server, make_server_link = listener
        client_end = ConnectionEnd(self, incarnation, make_link())
        server_end = ConnectionEnd(self, server, server.context.run(make_server_link))
        client_end.other, server_end.other = server_end, client_end
        self.ends = [end for end in self.ends if not (end.closed and end.other.closed)]
        self.ends += [client_end, server_end]
        server.context.run(server_end.link.connection_made, server_end)
        await asyncio.sleep(LATENCY_S)
        if client_end.closed:
            return None
        client_end.link.connection_made(client_end)
        for end in (client_end, server_end):
            duplicate = self.duplicates.pop((end.incarnation, end.other.incarnation), None)
            if duplicate is not None:  # after the first frames of the connection
                self.loop.call_later(5 * LATENCY_S, self._transmit, end, duplicate, 0.0)
        return client_end.link

    # Data transfer

    def is_partitioned(self, host: str, other: str) -> bool:
        return (host, other) in self.blocked_paths or (other, host) in self.blocked_paths

    def send(self, end: ConnectionEnd, data: bytes) -> None:
        delay_s: float | None = 0.0
        if data != HEARTBEAT:
            if PROBE_FRAME.match(data):
                self.probe_frames += 1
                self.probe_bytes += len(data)
            else:
                self.sent_frames += 1
            end.last_frame = data
            delay_s = self.reach_fault_point(end, data)
        if delay_s is not None and end.incarnation.alive:
            # A fault at this point may have closed this end.
            self._transmit(end, data, delay_s)

    def _transmit(self, end: ConnectionEnd, data: bytes, delay_s: float) -> None:
        if end.closed:
            return
        end.last_arrival_at = max(
            end.last_arrival_at, self._arrival_time(end.other.incarnation.host, len(data)) + delay_s
        )
        end.in_flight.append(data)
        self.loop.call_at(end.last_arrival_at, self._deliver, end, context=end.other.incarnation.context)

    def _arrival_time(self, host: str, size: int) -> float:
        """When bytes sent now have arrived at that host, after everything already in flight to it."""
        at = self.loop.time() + LATENCY_S
        rate = self.bytes_per_s.get(host)
        if rate:
            at = max(at, self._link_free_at.get(host, 0.0)) + size / rate
            self._link_free_at[host] = at
            self.received_bytes[host] = self.received_bytes.get(host, 0) + size
        return at

    def _deliver(self, end: ConnectionEnd) -> None:
        data = end.in_flight.popleft()
        host, there = end.incarnation.host, end.other.incarnation.host
        if end.other.closed or there in self.powered_off:
            return
        if end.blocked_frames or (host, there) in self.blocked_paths:
            if not end.closed:
                end.blocked_frames.append(data)
            return
        end.other.link.data_received(data)

    def reset(self, end: ConnectionEnd) -> None:
        """Notifies the other end that this one was closed, unless a partition separates them."""
        path = (end.incarnation.host, end.other.incarnation.host)

        def arrive() -> None:
            if path not in self.blocked_paths and path[1] not in self.powered_off:
                end.other.mark_closed(ConnectionResetError("reset"))

        self.loop.call_at(max(end.last_arrival_at, self.loop.time() + LATENCY_S), arrive)

    def break_connection(self, end: ConnectionEnd) -> None:
        """Resets both ends; frames in flight are lost."""
        for closed_end in (end, end.other):
            closed_end.mark_closed(ConnectionResetError("reset"))

    # Faults

    def heal(self) -> None:
        self.blocked_paths.clear()
        for end in self.ends:
            held, end.blocked_frames = end.blocked_frames, []
            for data in held:
                self._transmit(end, data, 0.0)

    def close_connections_of(self, incarnation: Any, silently: bool) -> None:
        """After the end of a process: resets its connections, or closes them silently as after a power
        loss."""
        for end in self.ends:
            if end.incarnation is incarnation and not end.closed:
                end.closed = True
                end.blocked_frames.clear()
                if not silently:
                    self.reset(end)

    def power_on(self, host: str) -> None:
        """Power returns: the host knows none of its old connections and resets them."""
        self.powered_off.discard(host)
        for end in self.ends:
            if end.incarnation.host == host and end.closed and not end.other.closed:
                self.reset(end)
