"""Storm detection of a serving sidecar: logs each change of state and serves the table on a Unix socket."""

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

MAX_READERS = 4  # concurrent; further ones are rejected, since each holds a descriptor
WRITE_TIMEOUT_S = 1.0  # for a reader to receive the table


class StormReporter(Watch):
    """Detects storms and reports the changes of state to the log."""

    def __init__(self, config: Config, show: str) -> None:
        super().__init__(config.settings, config.seed)
        self._name, self._path = config.name, show.removeprefix("unix:")
        self._server: asyncio.Server | None = None
        self._readers = 0

    def observe_event(self, now: float, event: api.Event) -> Change | None:
        """Observe an event and log the change of state, if any."""
        change = super().observe_event(now, event)
        if change is not None:
            level = logging.WARNING if change.after is State.STORM else logging.INFO
            values = (self._name, change.before.value, change.after.value, change.reason)
            log.log(level, "%s: storms: %s -> %s: %s", *values)
        return change

    async def listen(self) -> None:
        """Listen on the socket, if one is configured. Raises OSError if its folder is missing or a file other
        than a socket has its path."""
        if not self._path:
            return
        with contextlib.suppress(FileNotFoundError):
            if stat.S_ISSOCK(os.stat(self._path).st_mode):
                os.unlink(self._path)  # left by a process that was killed
        self._server = await asyncio.start_unix_server(self._read, self._path)
        os.chmod(self._path, 0o600)  # rates and server names are for the operator only
        log.info("%s: storms: table is served on %s", self._name, self._path)

    async def _read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._readers += 1
        try:
            if self._readers <= MAX_READERS:
                text = "\n".join(table.lines(self, time.monotonic() * 1000.0)) + "\n"
                writer.write(text.encode())
                async with asyncio.timeout(WRITE_TIMEOUT_S):
                    await writer.drain()
                    writer.close()
                    await writer.wait_closed()
        except (OSError, TimeoutError):
            pass
        finally:
            self._readers -= 1
            writer.transport.abort()

    def close(self) -> None:
        """Stop listening and remove the socket."""
        if self._server is not None:
            self._server.close()
            with contextlib.suppress(OSError):
                os.unlink(self._path)
