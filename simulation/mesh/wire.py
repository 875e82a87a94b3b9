"""Connections without sockets: bytes in order with a delay, cuts of one direction, resets, silence."""

from __future__ import annotations

import asyncio
import re
from collections import deque
from collections.abc import Callable
from typing import Any

from mesh.transport.link import CONNECT_TIMEOUT_S, HEARTBEAT, Link
from simulation.mesh.clock import LIFE

DELAY_S = 0.002
WINDOW_BYTES = 64 * 1024  # of one connection that its kernels take; what is beyond counts as unsent
PROBE = re.compile(rb'\d+:\{"t":"probed?",')


class _Sock:
    def setsockopt(self, *_: object) -> None:
        pass


class _Listening:
    """What a process has of an address that it listens at."""

    def __init__(self, wire: Wire, host: str, life: Any) -> None:
        self._wire, self._host, self._life = wire, host, life

    def close(self) -> None:
        known = self._wire.listening.get(self._host)
        if known is not None and known[0] is self._life:
            del self._wire.listening[self._host]


class End(asyncio.Transport):
    """One end of a connection, as its link sees it."""

    def __init__(self, wire: Wire, life: Any, link: Link) -> None:
        super().__init__()
        self.wire, self.life, self.link = wire, life, link
        self.other: End
        self.closed = False
        self.arrives = 0.0  # when the last bytes from here arrive
        self.way: deque[bytes] = deque()  # on their way from here: timers of one instant have no order
        self.held: list[bytes] = []  # by a cut, on their way from here
        self.written = b""  # last

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return _Sock() if name == "socket" else default

    def is_closing(self) -> bool:
        return self.closed

    def get_write_buffer_size(self) -> int:
        if not self.wire.bytes_a_second:
            return sum(map(len, self.held))
        return max(sum(map(len, self.held)) + sum(map(len, self.way)) - WINDOW_BYTES, 0)

    def write(self, data: Any) -> None:
        if self.life.alive and not self.closed:
            self.wire.send(self, bytes(data))

    def abort(self) -> None:
        if self.closed:
            return
        self.shut(None)
        self.wire.reset(self)

    def shut(self, why: Exception | None) -> None:
        """This end is closed and its link hears of it, if anybody lives there."""
        if self.closed:
            return
        self.closed = True
        self.held.clear()
        if self.life.alive:
            self.wire.loop.call_soon(self.link.connection_lost, why, context=self.life.context)


class Wire:
    """All connections. ``point(end, data)`` is asked before each frame; it gives seconds that the frame is
    late, or None where the connection broke and took it along."""

    def __init__(self, loop: asyncio.AbstractEventLoop, point: Callable[[End, bytes], float | None]) -> None:
        self.loop, self.point = loop, point
        self.listening: dict[str, tuple[Any, Callable[[], Link]]] = {}  # by host
        self.cut: set[tuple[str, str]] = set()  # from host, to host
        self.off: set[str] = set()  # hosts without power
        self.bytes_a_second: dict[str, float] = {}  # that a host's link takes in; others take all at once
        self.taken_in: dict[str, int] = {}  # bytes, of those hosts
        self._free_at: dict[str, float] = {}  # when all that is on its way to a host is in
        self.ends: list[End] = []
        self.sent = 0  # frames, signs of life and of contact aside
        self.probes, self.probe_bytes = 0, 0  # questions and answers of contact
        self.again: dict[tuple[Any, Any], bytes] = {}  # between two lives: doubled on their next connection

    # What the program calls

    async def listen(self, address: tuple[str, int], make: Callable[[], Link]) -> Any:
        life = LIFE.get()
        self.listening[address[0]] = (life, make)
        return _Listening(self, address[0], life)

    async def connect(self, address: tuple[str, int], make: Callable[[], Link]) -> Link | None:
        life, host = LIFE.get(), address[0]
        await asyncio.sleep(DELAY_S)
        if host in self.off or self.parted(life.host, host):
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            return None
        server = self.listening.get(host)
        if server is None or not server[0].alive:
            await asyncio.sleep(DELAY_S)
            return None
        there, make_there = server
        here_end = End(self, life, make())
        there_end = End(self, there, there.context.run(make_there))
        here_end.other, there_end.other = there_end, here_end
        self.ends = [end for end in self.ends if not (end.closed and end.other.closed)]
        self.ends += [here_end, there_end]
        there.context.run(there_end.link.connection_made, there_end)
        await asyncio.sleep(DELAY_S)
        if here_end.closed:
            return None
        here_end.link.connection_made(here_end)
        for one in (here_end, there_end):
            doubled = self.again.pop((one.life, one.other.life), None)
            if doubled is not None:  # behind what a connection begins with
                self.loop.call_later(5 * DELAY_S, self._carry, one, doubled, 0.0)
        return here_end.link

    # Bytes

    def parted(self, one: str, other: str) -> bool:
        return (one, other) in self.cut or (other, one) in self.cut

    def send(self, end: End, data: bytes) -> None:
        late: float | None = 0.0
        if data != HEARTBEAT:
            if PROBE.match(data):
                self.probes += 1
                self.probe_bytes += len(data)
            else:
                self.sent += 1
            end.written = data
            late = self.point(end, data)
        if late is not None and end.life.alive:
            # the fault may have closed this end
            self._carry(end, data, late)

    def _carry(self, end: End, data: bytes, late: float) -> None:
        if end.closed:
            return
        end.arrives = max(end.arrives, self._link_passes(end.other.life.host, len(data)) + late)
        end.way.append(data)
        self.loop.call_at(end.arrives, self._arrive, end, context=end.other.life.context)

    def _link_passes(self, host: str, size: int) -> float:
        """When so many bytes that are sent now are in at that host, behind all that is on its way there."""
        at = self.loop.time() + DELAY_S
        rate = self.bytes_a_second.get(host)
        if rate:
            at = max(at, self._free_at.get(host, 0.0)) + size / rate
            self._free_at[host] = at
            self.taken_in[host] = self.taken_in.get(host, 0) + size
        return at

    def _arrive(self, end: End) -> None:
        data = end.way.popleft()
        host, there = end.life.host, end.other.life.host
        if end.other.closed or there in self.off:
            return
        if end.held or (host, there) in self.cut:
            if not end.closed:
                end.held.append(data)
            return
        end.other.link.data_received(data)

    def reset(self, end: End) -> None:
        """The other end hears of this one's close, unless a cut is between them."""
        path = (end.life.host, end.other.life.host)

        def arrive() -> None:
            if path not in self.cut and path[1] not in self.off:
                end.other.shut(ConnectionResetError("reset"))

        self.loop.call_at(max(end.arrives, self.loop.time() + DELAY_S), arrive)

    def break_off(self, end: End) -> None:
        """The connection is lost, with what is under way on it in both directions."""
        for one in (end, end.other):
            one.shut(ConnectionResetError("reset"))

    # Trouble

    def heal(self) -> None:
        self.cut.clear()
        for end in self.ends:
            held, end.held = end.held, []
            for data in held:
                self._carry(end, data, 0.0)

    def killed(self, life: Any, silently: bool) -> None:
        """A process is gone: its kernel resets its connections, or is gone as well."""
        for end in self.ends:
            if end.life is life and not end.closed:
                end.closed = True
                end.held.clear()
                if not silently:
                    self.reset(end)

    def back(self, host: str) -> None:
        """The machine has power again; its kernel knows none of the old connections and says so."""
        self.off.discard(host)
        for end in self.ends:
            if end.life.host == host and end.closed and not end.other.closed:
                self.reset(end)
