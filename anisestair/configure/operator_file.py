"""Reads the operator's file (TOML) when a sidecar starts with ``--operator FILE``. Not loaded otherwise."""

from __future__ import annotations

import tomllib
from pathlib import Path

import msgspec

from anisestair.configure.operator_tables import OperatorConfig

MAX_BYTES = 1024 * 1024  # a hand-written file has a few kilobytes


class OperatorError(Exception):
    """The operator's file is invalid; the message is one line that names the file and the field."""


def load(path: Path) -> OperatorConfig:
    """Reads and validates the file. Raises OperatorError."""
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
