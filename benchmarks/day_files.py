"""Files of days; they hold what sites hold, and so are written outside the repository alone."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import tomli_w

ROOT = Path(__file__).resolve().parent.parent
Day = dict[str, Any]


class DayFileError(Exception):
    """A day file without what every day has; one line."""


def read_day(path: Path) -> Day:
    """The first day of a file, whether it stands at the top or under ``[[day]]``. Raises DayFileError."""
    found = tomllib.loads(path.read_text(encoding="utf-8"))
    day: Day = found.get("day", [found])[0]
    missing = [field for field in ("name", "seed", "plan", "faults") if field not in day]
    if missing:
        raise DayFileError(f"{path}: {', '.join(missing)} missing; write the day as benchmarks/days does")
    return day


def write_day(path: Path, day: Day, bare: bool) -> Path:
    """Under ``[[day]]``, or with its fields at the top where it is ``bare``."""
    path.write_text(tomli_w.dumps(day if bare else {"day": [day]}), encoding="utf-8")
    return path


def inside_repository(folder: Path) -> bool:
    """Whether a folder lies in this checkout."""
    return folder.resolve().is_relative_to(ROOT)
