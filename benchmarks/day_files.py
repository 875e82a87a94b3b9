"""Reads and writes day files. They contain parts of site files, so they are written outside the repository
only.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import tomli_w

ROOT = Path(__file__).resolve().parent.parent
Day = dict[str, Any]


class DayFileError(Exception):
    """A day file lacks required fields; the message is one line."""


def read_day(path: Path) -> Day:
    """Returns the first day of a file, either at its top level or under ``[[day]]``. Raises DayFileError."""
    data = tomllib.loads(path.read_text(encoding="utf-8"))
    day: Day = data.get("day", [data])[0]
    missing = [field for field in ("name", "seed", "plan", "faults") if field not in day]
    if missing:
        raise DayFileError(f"{path}: {', '.join(missing)} missing; write the day as benchmarks/days does")
    return day


def write_day(path: Path, day: Day, bare: bool) -> Path:
    """Writes a day under ``[[day]]``, or at the top level of the file if ``bare``."""
    path.write_text(tomli_w.dumps(day if bare else {"day": [day]}), encoding="utf-8")
    return path


def inside_repository(folder: Path) -> bool:
    """Whether a folder is inside this checkout."""
    return folder.resolve().is_relative_to(ROOT)
