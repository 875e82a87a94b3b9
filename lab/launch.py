"""Starts real sidecars for a play: forked from one process that has the program loaded, each with its
configuration in a file. Their logs are read continuously."""

from __future__ import annotations

import asyncio
import os
import re
import tempfile
from collections import deque
from pathlib import Path

from lab.revisions import ROOT
from rigs.fleet import CLOCK_TICKS_PER_S, START_TIMEOUT_S, StartError
from rigs.zygote import ForkedProcess, Zygote

LAST_LINES = 50  # log lines kept of a process


class SidecarProcess:
    """A running sidecar, its listening port, and its last log lines."""

    def __init__(
        self, process: ForkedProcess, port: int, last_lines: deque[str], reader: asyncio.StreamReader
    ) -> None:
        """``reader``: the log of the process; ``last_lines``: where its last lines are kept."""
        self.forked, self.port, self.last_lines, self._reader = process, port, last_lines, reader
        self._drain_task: asyncio.Task[None] | None = None

    async def next_listener_port(self) -> int:
        """Returns the port of the next listener in the log. Raises StartError."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while line := await self._read_line():
                if found := re.search(r"listening .*:(\d+)$", line):
                    return int(found[1])
        raise StartError("\n".join(self.last_lines))

    async def _read_line(self) -> str:
        line = (await self._reader.readline()).decode(errors="replace").strip()
        self.last_lines.append(line)
        return line

    def drain_log(self) -> None:
        """Reads the log from now on, so that the process never blocks on a full pipe; keeps the last
        lines."""
        self._drain_task = asyncio.get_running_loop().create_task(self._drain())

    async def _drain(self) -> None:
        while await self._read_line():
            pass


class Launcher:
    """Starts sidecars. Call ``start`` before the first ``start_sidecar``, and ``close`` at the end, which
    ends all of them."""

    def __init__(self) -> None:
        """Starts no process yet."""
        self._zygote = Zygote(ROOT)
        self._folder = tempfile.TemporaryDirectory(prefix="lab-")
        self._count = 0
        self._pipes: list[asyncio.ReadTransport] = []
        self.pids: list[int] = []

    async def start(self) -> None:
        """Starts the process from which sidecars are forked."""
        await self._zygote.start()

    async def start_sidecar(self, config: str, operator: str = "") -> SidecarProcess:
        """Starts a sidecar with this text as its JSON configuration and, if not empty, this operator's file.
        Raises StartError with its last log lines if it exits before it listens."""
        self._count += 1
        config_file = Path(self._folder.name) / f"{self._count}.json"
        config_file.write_text(config, encoding="utf-8")
        arguments: tuple[str, ...] = ()
        if operator:
            operator_file = config_file.with_suffix(".toml")
            operator_file.write_text(operator, encoding="utf-8")
            arguments = ("--operator", str(operator_file))
        read_fd, write_fd = os.pipe()
        loop, reader = asyncio.get_running_loop(), asyncio.StreamReader()
        pipe, _ = await loop.connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), os.fdopen(read_fd, "rb")
        )
        self._pipes.append(pipe)
        try:
            process = await self._zygote.fork(arguments, {"BALANCER_CONFIG": str(config_file)}, write_fd)
        finally:
            os.close(write_fd)
        self.pids.append(process.pid)
        sidecar = SidecarProcess(process, 0, deque(maxlen=LAST_LINES), reader)
        sidecar.port = await sidecar.next_listener_port()
        if not operator:
            sidecar.drain_log()
        return sidecar

    async def close(self) -> None:
        """Ends all sidecars and removes their configuration files."""
        await self._zygote.close()
        for pipe in self._pipes:
            pipe.close()
        self._folder.cleanup()


def cpu_s(pid: int) -> float:
    """User and system time of a process so far (proc(5), stat, fields 14 and 15); 0 if it has ended."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
    except OSError:
        return 0.0
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def memory_kb(pid: int) -> tuple[int, int, int]:
    """Resident, proportional and private memory of a process in kB (proc(5), smaps_rollup); zeros if it has
    ended."""
    try:
        text = Path(f"/proc/{pid}/smaps_rollup").read_text(encoding="ascii")
    except OSError:
        return 0, 0, 0
    found = {name: int(kb) for name, kb in re.findall(r"^(\w+):\s+(\d+) kB$", text, re.MULTILINE)}
    return found["Rss"], found["Pss"], found["Private_Clean"] + found["Private_Dirty"]
