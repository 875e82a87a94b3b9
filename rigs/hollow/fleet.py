"""Processes of hollow proxies, started and asked from outside; each takes its part of the numbers."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from mesh.transport.link import Address
from rigs.fleet import end_with_parent

ROOT = Path(__file__).resolve().parent.parent.parent
MOST_LINE = 1 << 24  # bytes of an answer
Told = dict[str, Any]


class Fleet:
    """``ask`` reaches all of them; hollow proxy n is in process n modulo their number."""

    def __init__(self, folder: Path, count: int) -> None:
        self._folder, self._count = folder, count
        self.processes: list[asyncio.subprocess.Process] = []

    async def start(
        self,
        seeds: Sequence[Address],
        zones: Sequence[tuple[str, str]],
        services: int,
        beat_s: float,
        hold_s: float,
        tolerated: int,
        silent_s: float,
    ) -> None:
        first = {
            "seeds": seeds,
            "zones": zones,
            "services": services,
            "beat_s": beat_s,
            "hold_s": hold_s,
            "tolerated": tolerated,
            "silent_s": silent_s,
        }
        for at in range(self._count):
            with (self._folder / f"hollow-{at}.log").open("ab") as log:
                process = await asyncio.create_subprocess_exec(
                    *(sys.executable, "-m", "rigs.hollow"),
                    cwd=ROOT,
                    env=os.environ,
                    stdin=asyncio.subprocess.PIPE,
                    stdout=asyncio.subprocess.PIPE,
                    stderr=log,
                    preexec_fn=end_with_parent,
                    limit=MOST_LINE,
                )
            self.processes.append(process)
        await asyncio.gather(*(self._ask(process, first) for process in self.processes))

    @staticmethod
    async def _ask(process: asyncio.subprocess.Process, told: Told) -> Told:
        assert process.stdin is not None and process.stdout is not None
        process.stdin.write(json.dumps(told).encode() + b"\n")
        line = await process.stdout.readline()
        if not line:
            raise RuntimeError("a process of hollow proxies has ended")
        answer: Told = json.loads(line)
        return answer

    async def ask(self, do: str, **told: Any) -> list[Told]:
        """One answer a process."""
        return await asyncio.gather(*(self._ask(one, {"do": do, **told}) for one in self.processes))

    async def each(self, do: str, numbers: Sequence[int], **told: Any) -> list[Told]:
        """To each process with its part of these numbers."""
        parts: list[list[int]] = [[] for _ in self.processes]
        for number in numbers:
            parts[number % len(parts)].append(number)
        return await asyncio.gather(
            *(
                self._ask(process, {"do": do, "numbers": part, **told})
                for process, part in zip(self.processes, parts, strict=True)
                if part
            )
        )

    async def counts(self) -> tuple[dict[str, Counter[str]], float]:
        """By direction and kind; and seconds that a process was behind its clock, the most since it was asked
        last."""
        found: dict[str, Counter[str]] = {}
        told = await self.ask("counts")
        lag_s = max(one.pop("lag_s") for one in told)
        for one in told:
            for name, counts in one.items():
                found.setdefault(name, Counter()).update(counts)
        return found, lag_s

    async def stop(self) -> None:
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
