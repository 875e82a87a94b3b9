"""What the run's own processes use of the machine, read from /proc, and the bounds that the run keeps to."""

from __future__ import annotations

import os
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

PROC = Path("/proc")
MB = 1024 * 1024
MOST_PROCESSES = 300
MOST_SHARE = 0.5  # of the machine's memory
HOLLOW_BYTES = 2100.0  # measured at 600, of one hollow proxy for each that it knows of
HOLLOW_OWN_BYTES = 250_000.0  # and of itself
REAL_BYTES = 90 * MB  # of a real process before it knows anybody
REAL_EACH_BYTES = 12_000.0  # and for each proxy that it knows of


@dataclass(frozen=True, slots=True)
class Used:
    """Of one process until now. ``cpu_s``: of all its threads."""

    cpu_s: float
    rss_mb: float
    peak_mb: float


@dataclass(frozen=True, slots=True)
class Refused:
    """The run does not begin, or ends; ``reason`` is one line."""

    reason: str


def total_bytes(meminfo: str) -> int:
    """Of /proc/meminfo's text. Raises ValueError where it does not say."""
    for line in meminfo.splitlines():
        if line.startswith("MemTotal:"):
            return int(line.split()[1]) * 1024
    raise ValueError("meminfo: no MemTotal")


def used(pid: int) -> Used | None:
    """None where that process has ended."""
    try:
        threads = [
            (path / "schedstat").read_text().split()[0] for path in (PROC / str(pid) / "task").iterdir()
        ]
        status = (PROC / str(pid) / "status").read_text()
    except (OSError, IndexError):
        return None
    sizes = {
        line.split(":")[0]: int(line.split()[1]) for line in status.splitlines() if line.startswith("Vm")
    }
    if "VmRSS" not in sizes:
        return None
    return Used(sum(int(one) for one in threads) / 1e9, sizes["VmRSS"] / 1024.0, sizes["VmHWM"] / 1024.0)


def disk_bytes(folder: Path) -> int:
    """What the files below it take."""
    return sum(path.stat().st_blocks * 512 for path in folder.rglob("*") if path.is_file())


@dataclass(frozen=True, slots=True)
class Bounds:
    memory_bytes: int
    processes: int = MOST_PROCESSES

    @staticmethod
    def of(total: int, wanted_gb: float | None) -> Bounds:
        """Half of the machine's memory, or less where that is wanted; never more."""
        half = int(MOST_SHARE * total)
        return Bounds(half if wanted_gb is None else min(half, int(wanted_gb * 1024 * MB)))

    def plan(self, hollow: int, proxies: int, controllers: int, processes: int) -> Refused | None:
        """Before anything is started: whether a run of that size would pass them."""
        if proxies + controllers + processes > self.processes:
            return Refused(f"{proxies + controllers + processes} processes, at most {self.processes}")
        real = (proxies + controllers) * (REAL_BYTES + REAL_EACH_BYTES * hollow)
        wanted = hollow * (HOLLOW_OWN_BYTES + HOLLOW_BYTES * hollow) + real
        if wanted > self.memory_bytes:
            return Refused(
                f"{hollow} hollow proxies want about {wanted / MB / 1024:.1f} GB, "
                f"at most {self.memory_bytes / MB / 1024:.1f} GB"
            )
        return None

    def look(self, pids: Iterable[int]) -> Refused | None:
        """While it runs: what its processes, this one too, hold now."""
        found = [one for pid in (*pids, os.getpid()) if (one := used(pid)) is not None]
        held = sum(one.rss_mb for one in found)
        if held * MB > self.memory_bytes:
            return Refused(f"{held / 1024:.1f} GB held, at most {self.memory_bytes / MB / 1024:.1f} GB")
        return None
