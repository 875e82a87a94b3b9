"""Processes of one sidecar that share a listening socket of their platform, as during an upgrade."""

from __future__ import annotations

import asyncio
import json
import os
import re
import socket
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from rigs.fleet import START_TIMEOUT_S, kill_with_parent


class Platform:
    """A listening socket for clients, a folder that is kept as it is, and processes that share both."""

    def __init__(self, checkout: Path, folder: Path, data: Mapping[str, Any], blocking: bool = True) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.listener.setblocking(blocking)
        self.port: int = self.listener.getsockname()[1]
        self._checkout, self._folder = checkout, folder
        self._file = folder / "config.json"
        self._file.write_text(json.dumps(dict(data) | {"listen": f"127.0.0.1:{self.port}"}))
        self.processes: list[asyncio.subprocess.Process] = []

    async def start(self, folder: Path | None = None) -> tuple[asyncio.subprocess.Process, int]:
        """Starts a process; returns it and the port of its admin interface. With a folder of its own it finds
        no other process."""
        descriptor = self.listener.fileno()
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "anisestair"),
            cwd=self._checkout,
            env={
                "BALANCER_CONFIG": str(self._file),
                "BALANCER_MGMT": "127.0.0.1:0",
                "BALANCER_INHERITED_FD": str(descriptor),
                "TMPDIR": str(folder or self._folder),
            },
            pass_fds=[descriptor],
            stderr=asyncio.subprocess.PIPE,
            preexec_fn=kill_with_parent,
        )
        self.processes.append(process)
        return process, int(await self.wait_for_log(process, "operators call 127.0.0.1:"))

    async def wait_for_log(self, process: asyncio.subprocess.Process, text: str) -> str:
        """Waits until its log contains the text; returns the rest of that line. Raises EOFError if it ends
        before."""
        assert process.stderr is not None
        async with asyncio.timeout(START_TIMEOUT_S):
            while line := (await process.stderr.readline()).decode():
                if text in line:
                    return line.partition(text)[2].strip()
        raise EOFError(text)

    async def close(self) -> None:
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.communicate()
        self.listener.close()


async def call(port: int, path: str) -> tuple[int, Any]:
    """Calls the admin interface; returns the status and the JSON of the response (None if it is empty)."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET %s HTTP/1.1\r\nhost: a\r\n\r\n" % path.encode())
    head, _, body = (await reader.read()).partition(b"\r\n\r\n")
    writer.close()
    status = re.match(rb"HTTP/1\.1 (\d+) ", head)
    return int(status[1]) if status else 0, json.loads(body) if body else None


def open_descriptors(process: asyncio.subprocess.Process) -> int:
    """Returns the number of file descriptors that a process has open (proc(5), fd)."""
    try:
        return len(os.listdir(f"/proc/{process.pid}/fd"))
    except OSError:  # it has ended
        return 0
