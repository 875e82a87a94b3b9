"""The operator's file, read as a sidecar starts: ``--operator FILE`` (TOML). Without it nothing of this is
loaded."""

from __future__ import annotations

import tomllib
from pathlib import Path

import msgspec

from anisestair.configure.operator_tables import OperatorConfig

MAX_BYTES = 1024 * 1024  # a file by hand has some kilobytes


class OperatorError(Exception):
    """One line: file, table and field, and what is wrong."""


def load(path: Path) -> OperatorConfig:
    """Raises OperatorError."""
    try:
        if path.stat().st_size > MAX_BYTES:
            raise OperatorError(f"{path}: larger than {MAX_BYTES} bytes: not an operator's file")
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as fault:
        raise OperatorError(f"{path}: {' '.join(str(fault).split())}") from None
    try:
        return msgspec.convert(data, OperatorConfig)
    except msgspec.ValidationError as fault:
        raise OperatorError(f"{path}: {' '.join(str(fault).split())}") from None
