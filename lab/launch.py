"""Starting real sidecars for a play: forked from one process that has loaded the program, each with its
configuration in a file and its log read as it comes."""

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

LINES_KEPT = 50  # of what a process said last


class Program:
    """A sidecar that runs, the port on which it listens, and what it said last."""

    def __init__(
        self, process: ForkedProcess, port: int, said: deque[str], reader: asyncio.StreamReader
    ) -> None:
        self.process, self.port, self.said, self._reader = process, port, said, reader
        self._rest: asyncio.Task[None] | None = None

    async def next_listener_port(self) -> int:
        """Returns the port of the next listener in the log. Raises StartError."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while line := await self._line():
                if found := re.search(r"listening .*:(\d+)$", line):
                    return int(found[1])
        raise StartError("\n".join(self.said))

    async def _line(self) -> str:
        line = (await self._reader.readline()).decode(errors="replace").strip()
        self.said.append(line)
        return line

    def read_on(self) -> None:
        """What it says from here on is read, so that it is never held up by that, and the last lines kept."""
        self._rest = asyncio.get_running_loop().create_task(self._read())

    async def _read(self) -> None:
        while await self._line():
            pass


class Launcher:
    """``begin`` before the first ``program``, ``close`` at the end: nothing that was started is left."""

    def __init__(self) -> None:
        self._zygote = Zygote(ROOT)
        self._folder = tempfile.TemporaryDirectory(prefix="lab-")
        self._count = 0
        self._pipes: list[asyncio.ReadTransport] = []
        self.pids: list[int] = []

    async def begin(self) -> None:
        await self._zygote.start()

    async def program(self, config: str, operator: str = "") -> Program:
        """Starts a sidecar with this text as its JSON configuration and, if not empty, this operator's file.
        Raises StartError with its last log lines if it exits before it listens."""
        self._count += 1
        file = Path(self._folder.name) / f"{self._count}.json"
        file.write_text(config, encoding="utf-8")
        words: tuple[str, ...] = ()
        if operator:
            more = file.with_suffix(".toml")
            more.write_text(operator, encoding="utf-8")
            words = ("--operator", str(more))
        ours, theirs = os.pipe()
        loop, reader = asyncio.get_running_loop(), asyncio.StreamReader()
        pipe, _ = await loop.connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), os.fdopen(ours, "rb")
        )
        self._pipes.append(pipe)
        try:
            process = await self._zygote.fork(words, {"BALANCER_CONFIG": str(file)}, theirs)
        finally:
            os.close(theirs)
        self.pids.append(process.pid)
        made = Program(process, 0, deque(maxlen=LINES_KEPT), reader)
        made.port = await made.next_listener_port()
        if not operator:
            made.read_on()
        return made

    async def close(self) -> None:
        await self._zygote.close()
        for pipe in self._pipes:
            pipe.close()
        self._folder.cleanup()


def cpu_s(pid: int) -> float:
    """User and system time of a process so far (proc(5), stat, fields 14 and 15); 0 where it has ended."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
    except OSError:
        return 0.0
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def memory_kb(pid: int) -> tuple[int, int, int]:
    """Resident, proportional and own memory of a process in kB (proc(5), smaps_rollup); zeros where it has
    ended."""
    try:
        text = Path(f"/proc/{pid}/smaps_rollup").read_text(encoding="ascii")
    except OSError:
        return 0, 0, 0
    found = {name: int(kb) for name, kb in re.findall(r"^(\w+):\s+(\d+) kB$", text, re.MULTILINE)}
    return found["Rss"], found["Pss"], found["Private_Clean"] + found["Private_Dirty"]
