"""The watch of a sidecar that serves: its log line at each change, and its table on a Unix socket."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import stat
import time

from anisestair.configure.effective import Config
from anisestair.storms import table
from anisestair.storms.state import Change, State
from anisestair.storms.watch import Watch
from hareloom import interface as api

log = logging.getLogger(__name__)

READERS = 4  # at once; more are turned away: each holds a descriptor for a moment
WRITE_S = 1.0  # a reader that does not take its few lines in this time is let go


class Reported(Watch):
    def __init__(self, config: Config, show: str) -> None:
        super().__init__(config.settings, config.seed)
        self._name, self._path = config.name, show.removeprefix("unix:")
        self._server: asyncio.Server | None = None
        self._readers = 0

    def told(self, now: float, event: api.Event) -> Change | None:
        change = super().told(now, event)
        if change is not None:
            level = logging.WARNING if change.after is State.STORM else logging.INFO
            says = (self._name, change.before.value, change.after.value, change.reason)
            log.log(level, "%s: storms: %s -> %s: %s", *says)
        return change

    async def listen(self) -> None:
        """Raises OSError where the socket cannot be made: its folder is missing, or another file is there."""
        if not self._path:
            return
        with contextlib.suppress(FileNotFoundError):
            if stat.S_ISSOCK(os.stat(self._path).st_mode):
                os.unlink(self._path)  # left behind by a process that was killed
        self._server = await asyncio.start_unix_server(self._read, self._path)
        os.chmod(self._path, 0o600)  # rates and server names are the operator's alone
        log.info("%s: storms: shown at %s", self._name, self._path)

    async def _read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._readers += 1
        try:
            if self._readers <= READERS:
                text = "\n".join(table.lines(self, time.monotonic() * 1000.0)) + "\n"
                writer.write(text.encode())
                async with asyncio.timeout(WRITE_S):
                    await writer.drain()
                    writer.close()
                    await writer.wait_closed()
        except (OSError, TimeoutError):
            pass
        finally:
            self._readers -= 1
            writer.transport.abort()

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
            with contextlib.suppress(OSError):
                os.unlink(self._path)
