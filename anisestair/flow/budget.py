"""Divides the memory for long messages between the streams in progress. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

# PROGRAM_MB: memory of the program with its libraries, tables and a few hundred connections.
# STREAM_SHARE: the part of the rest for long messages; the remainder covers fragmentation in the allocator.
PROGRAM_MB, STREAM_SHARE = 24.0, 0.6
MIN_STREAM_MB = 4.0  # for long messages, however low the memory limit is
DEFAULT_MEMORY_MB = 256.0  # where the platform sets no limit
READ_BYTES = 32 * 1024  # bytes of one read, by which a stream may exceed its high-water mark
MIN_WINDOW_BYTES, MAX_WINDOW_BYTES = (
    16 * 1024,
    256 * 1024,
)  # bytes of one stream that are under way here before its sender waits
MAX_REPLAY_BYTES = 1024 * 1024  # of a body that is retained for another attempt
REPLAY_DIVISOR = 8  # divides the free part of the half for retained bodies: the limit of one body


class Budget:
    """Counts the bytes that bodies hold, and limits each. Every stream may always hold MIN_WINDOW_BYTES, so
    that none is blocked by the others; ``admits`` bounds the number of streams accordingly."""

    def __init__(self, memory_mb: float | None) -> None:
        free = max(((memory_mb or DEFAULT_MEMORY_MB) - PROGRAM_MB) * STREAM_SHARE, MIN_STREAM_MB)
        self.total = int(free * 1024 * 1024)
        self.held = 0  # bytes
        self.streams = 0

    def admits(self) -> bool:
        """Return whether one more stream can have its minimum window."""
        return (self.streams + 1) * (MIN_WINDOW_BYTES + READ_BYTES) <= self.total

    def high_water_mark(self) -> int:
        """Return the bytes buffered for one stream at which its sender is paused."""
        return min(
            max(self.total // (2 * (self.streams + 1)) - READ_BYTES, MIN_WINDOW_BYTES), MAX_WINDOW_BYTES
        )

    def replay_limit(self) -> int:
        """Return the bytes up to which a body that begins now is retained, so that it can be sent again."""
        return min(max((self.total // 2 - self.held) // REPLAY_DIVISOR, 0), MAX_REPLAY_BYTES)


class Sink(Protocol):
    """Consumer of a body's bytes. While ``choked`` it accepts no more; it calls the body's ``resume``
    later."""

    choked: bool

    def part(self, data: bytes) -> None: ...

    def body_ended(self) -> None: ...

    def body_cut(self) -> None: ...


class Body:
    """Passes the bytes of a long message from a source to a sink. Without a sink they are buffered, up to
    ``keep`` bytes; until any are released, another sink can get them from the start."""

    __slots__ = (
        *("_budget", "_keep", "_parts", "broken", "ended", "length", "resume", "size", "sink", "total"),
    )

    def __init__(self, budget: Budget, length: int | None, keep: int) -> None:
        """``length`` is the length in bytes from the message's header, None if there is none."""
        self._budget, self._keep, self.length = budget, keep, length
        self._parts: list[bytes] = []
        self.size = self.total = 0  # bytes buffered; bytes received
        self.ended = self.broken = False
        self.sink: Sink | None = None
        self.resume: Callable[[], None] = _do_nothing  # asks the source to continue
        budget.streams += 1

    @property
    def ready(self) -> bool:
        """Whether the body is complete, or has as many bytes as are buffered before it is forwarded."""
        return self.ended or self.broken or self.size >= self._keep

    @property
    def full(self) -> bool:
        """Whether the source has to pause."""
        return self.sink.choked if self.sink is not None else self.size >= self._keep

    @property
    def replayable(self) -> bool:
        """Whether a sink can still get the body from its first byte."""
        return not self.broken and self.size == self.total

    def feed(self, part: bytes) -> None:
        """Add received bytes: buffer them while the body is retained, and pass them to the sink."""
        self.total += len(part)
        if self.sink is None or self.size + len(part) == self.total <= self._keep:
            self._parts.append(part)
            self.size += len(part)
            self._budget.held += len(part)
        else:
            self._release_buffer()
        if self.sink is not None:
            self.sink.part(part)

    def attach(self, sink: Sink) -> None:
        """Pass the buffered bytes to ``sink``, then those received later."""
        self.sink = sink
        for part in self._parts:
            sink.part(part)
        if self.size > self._keep or not self._keep:
            self._release_buffer()
        if self.ended:
            sink.body_ended()
        elif self.broken:
            sink.body_cut()
        else:
            self.resume()

    def detach(self, sink: Sink) -> None:
        """Stop passing bytes to ``sink``."""
        if self.sink is sink:
            self.sink = None

    def end(self) -> None:
        """End the body as complete."""
        if not (self.ended or self.broken):
            self.ended = True
            self._budget.streams -= 1
            if self.sink is not None:
                self.sink.body_ended()

    def cut(self) -> None:
        """End the body as truncated."""
        if not (self.ended or self.broken):
            self.broken = True
            self._budget.streams -= 1
            self._release_buffer()
            if self.sink is not None:
                self.sink.body_cut()

    def drop(self) -> None:
        """Discard the body: no consumer needs it."""
        self.sink = None
        self._release_buffer()
        self.cut()

    def _release_buffer(self) -> None:
        self._budget.held -= self.size
        self._parts.clear()
        self.size = 0


def _do_nothing() -> None:
    return
