"""The file that the platform names, read as a sidecar starts and on SIGHUP."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import replace
from pathlib import Path

from anisestair.configure.effective import Config, ConfigError, effective


def reload(environ: Mapping[str, str], offset_ms: float, current: Config) -> tuple[Config, bool]:
    """The configuration with the discovery that the file names now, and whether the file differs in more,
    which takes a new start. What the environment says of discovery is as old as the process."""
    found = load({key: value for key, value in environ.items() if key != "BALANCER_DISCOVERY"}, offset_ms)
    moved = replace(current, discovery=found.discovery)
    return moved, replace(found, seed=current.seed, known=current.known) != moved


def load(environ: Mapping[str, str], offset_ms: float) -> Config:
    """Raises ConfigError, which names the variable or field."""
    path = environ.get("BALANCER_CONFIG")
    if not path:
        raise ConfigError("BALANCER_CONFIG: not set")
    try:
        data = json.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as fault:  # recursion: JSON nested deep
        raise ConfigError(f"BALANCER_CONFIG: {' '.join(str(fault).split())}") from None
    return effective(data, environ, offset_ms)
