"""Reads the platform's configuration file, when a sidecar starts and on SIGHUP."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from anisestair.configure.effective import ConfigError

MAX_READ_ATTEMPTS = 5  # for a file that changes while it is read; then it is rejected


def read(environ: Mapping[str, str]) -> Any:
    """Returns the parsed JSON of the file. Raises ConfigError, which names the variable."""
    path = environ.get("BALANCER_CONFIG")
    if not path:
        raise ConfigError("BALANCER_CONFIG: not set")
    try:
        return json.loads(_read_consistent(Path(path)).decode("utf-8"))
    except (OSError, ValueError, RecursionError) as fault:  # RecursionError: deeply nested JSON
        raise ConfigError(f"BALANCER_CONFIG: {' '.join(str(fault).split())}") from None


def _read_consistent(path: Path) -> bytes:
    """Reads the file without mixing two versions of its content."""
    for _ in range(MAX_READ_ATTEMPTS):
        with path.open("rb") as file:
            before = os.fstat(file.fileno())
            text = file.read()
            after = os.stat(path)
        compared = ("st_ino", "st_size", "st_mtime_ns")
        if [getattr(before, name) for name in compared] == [getattr(after, name) for name in compared]:
            return text
    raise OSError("the file changes while it is read; write it under another name and rename it")
