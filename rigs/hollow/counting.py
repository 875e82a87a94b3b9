"""What hollow proxies send and get, by kind of frame: counted where the shipped link writes and reads."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

import msgspec

from mesh.transport import link
from mesh.transport.frames import Frames, Head, frame

ALIVE = "alive"  # a sign of life, the frame without a word
NEWS = "news"  # the only kind whose bytes are not measured singly: what is left of all bytes
_size = msgspec.json.Encoder().encode


class Counts:
    """Frames and bytes of a process's links, by kind and direction."""

    def __init__(self) -> None:
        self.sent: Counter[str] = Counter()
        self.sent_bytes: Counter[str] = Counter()
        self.got: Counter[str] = Counter()
        self.got_bytes: Counter[str] = Counter()
        self.lost: Counter[str] = Counter()  # links, by why

    def told(self) -> dict[str, dict[str, int]]:
        return {
            "sent": dict(self.sent),
            "sent_bytes": dict(self.sent_bytes),
            "got": dict(self.got),
            "got_bytes": dict(self.got_bytes),
            "lost": dict(self.lost),
        }

    def _write(self, head: Head, body: bytes | None = None) -> bytes:
        data = frame(head, body)
        kind = str(head.get("t", ALIVE))
        self.sent[kind] += 1
        self.sent_bytes[kind] += len(data)
        return data

    def _read(self, data: bytes, found: list[tuple[Head, bytes]]) -> None:
        left = len(data)
        for head, body in found:
            kind = str(head.get("t", ALIVE))
            self.got[kind] += 1
            if kind == NEWS:
                continue
            size = len(link.ALIVE) if kind == ALIVE else len(_size(head)) + len(body) + 6
            self.got_bytes[kind] += size
            left -= size
        self.got_bytes[NEWS] += left

    @contextmanager
    def counting(self) -> Iterator[None]:
        """All links of this process that are made meanwhile. Signs of life that a link sends are not framed
        anew, so its ticks are watched for them."""
        counts = self

        class Counted(Frames):
            def feed(self, data: bytes) -> list[tuple[Head, bytes]]:
                found = super().feed(data)
                counts._read(data, found)
                return found

        class Steady(link.Link):
            def tick(self, now: float) -> None:
                before = self.sent_at
                super().tick(now)
                if self.sent_at != before:
                    counts.sent[ALIVE] += 1
                    counts.sent_bytes[ALIVE] += len(link.ALIVE)

        patches: list[Any] = [
            mock.patch.object(link, "frame", self._write),
            mock.patch.object(link, "Frames", Counted),
            mock.patch("mesh.dissemination.peers.Link", Steady),
        ]
        for patch in patches:
            patch.start()
        try:
            yield
        finally:
            for patch in patches:
                patch.stop()
