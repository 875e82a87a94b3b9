"""Configurations on disk: which files belong to one application, and their bytes, read within a bound."""

from __future__ import annotations

import os
from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path

from anisestair.configure.judge_app import APP_NAME, OPERATOR_NAME, PLATFORM_NAME, Bundle
from anisestair.configure.source import MAX_BYTES, Document, decode, unreadable

ENVIRONMENT_NAME = "sidecar.env"
NAMES = (PLATFORM_NAME, OPERATOR_NAME, APP_NAME, ENVIRONMENT_NAME)
MAX_FOLDERS = 20_000  # in one call; a walk that goes on for longer is in the wrong place

KINDS = {".json": "json", ".toml": "toml", ".env": "env"}


class NoSuchConfiguration(Exception):
    """One line: what was asked for, and why there is nothing to check there."""


def read(path: Path) -> Document:
    """Never more than the bound and one byte is read, whatever the size; a fault is the document's flaw."""
    kind = KINDS.get(path.suffix, "json")
    try:
        if path.exists() and not path.is_file():
            return unreadable(str(path), kind, "not an ordinary file")
        with path.open("rb") as file:
            return decode(str(path), kind, file.read(MAX_BYTES + 1))
    except OSError as fault:
        return unreadable(str(path), kind, fault.strerror or str(fault))


def bundles(paths: Sequence[Path]) -> Iterator[Bundle]:
    """The applications that these files and folders hold. A file with one of the usual names is judged with
    its neighbours of such names; any other is judged alone. A folder is walked, in order."""
    seen: set[Path] = set()
    for path in paths:
        if path.is_dir():
            found = 0
            for folder in _folders(path):
                found += 1
                if folder not in seen:
                    seen.add(folder)
                    yield of_folder(folder)
            if not found:
                raise NoSuchConfiguration(f"{path}: no {' or '.join(NAMES[:3])} in it or below it")
        elif path.name in NAMES and path.parent.is_dir():
            if path.parent not in seen:
                seen.add(path.parent)
                yield of_folder(path.parent, path)
        else:
            yield alone(path)


def _folders(root: Path) -> Iterator[Path]:
    count = 0
    for base, below, files in os.walk(root):
        below.sort()
        if any(name in files for name in NAMES):
            count += 1
            if count > MAX_FOLDERS:
                raise NoSuchConfiguration(f"{root}: more than {MAX_FOLDERS} folders with configurations")
            yield Path(base)


def of_folder(folder: Path, wanted: Path | None = None) -> Bundle:
    """``wanted`` is read also where it does not exist, so that its absence is told."""
    found: dict[str, Document | None] = {}
    for name in NAMES:
        path = folder / name
        found[name] = read(path) if path.exists() or path == wanted else None
    return Bundle(
        str(folder), found[PLATFORM_NAME], found[OPERATOR_NAME], found[APP_NAME], found[ENVIRONMENT_NAME]
    )


def alone(path: Path) -> Bundle:
    document = read(path)
    if document.kind == "env":
        return Bundle(str(path), environment=document)
    if document.kind == "toml":
        described = document.data is not None and ("calls" in document.data or "member" in document.data)
        if described:
            return Bundle(str(path), app=document)
        return Bundle(str(path), operator=document)
    return Bundle(str(path), platform=document)


def environ_of(bundle: Bundle, environ: Mapping[str, str]) -> dict[str, str]:
    """The variables that a sidecar would see: of the file beside the configuration, else the caller's."""
    if bundle.environment is not None:
        return dict(bundle.environment.data or {})
    return {name: value for name, value in environ.items() if name.startswith("BALANCER_")}
