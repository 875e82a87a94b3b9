"""Finds configurations on disk, groups the files of an application, and reads them up to a size limit."""

from __future__ import annotations

import os
from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path

from anisestair.configure.judge_app import APP_NAME, OPERATOR_NAME, PLATFORM_NAME, Bundle
from anisestair.configure.source import MAX_BYTES, Document, decode, unreadable_document

ENVIRONMENT_NAME = "sidecar.env"
FILE_NAMES = (PLATFORM_NAME, OPERATOR_NAME, APP_NAME, ENVIRONMENT_NAME)
MAX_FOLDERS = 20_000  # folders with configurations in one search; more suggest a wrong path

KIND_BY_SUFFIX = {".json": "json", ".toml": "toml", ".env": "env"}


class ConfigurationNotFoundError(Exception):
    """A path has no configuration to check; the message is one line."""


def read_document(path: Path) -> Document:
    """Reads at most MAX_BYTES + 1 bytes, whatever the file's size; an error is recorded in the document."""
    kind = KIND_BY_SUFFIX.get(path.suffix, "json")
    try:
        if path.exists() and not path.is_file():
            return unreadable_document(str(path), kind, "not a regular file")
        with path.open("rb") as file:
            return decode(str(path), kind, file.read(MAX_BYTES + 1))
    except OSError as fault:
        return unreadable_document(str(path), kind, fault.strerror or str(fault))


def find_bundles(paths: Sequence[Path]) -> Iterator[Bundle]:
    """The configurations in these files and folders. A file with one of the standard names is checked
    together with the others in its folder, any other file by itself. Folders are searched recursively, in
    sorted order."""
    seen: set[Path] = set()
    for path in paths:
        if path.is_dir():
            found = 0
            for folder in _folders(path):
                found += 1
                if folder not in seen:
                    seen.add(folder)
                    yield load_folder(folder)
            if not found:
                raise ConfigurationNotFoundError(
                    f"{path}: no {' or '.join(FILE_NAMES[:3])} in it or its subfolders"
                )
        elif path.name in FILE_NAMES and path.parent.is_dir():
            if path.parent not in seen:
                seen.add(path.parent)
                yield load_folder(path.parent, path)
        else:
            yield load_single_file(path)


def _folders(root: Path) -> Iterator[Path]:
    count = 0
    for folder_path, subfolders, files in os.walk(root):
        subfolders.sort()
        if any(name in files for name in FILE_NAMES):
            count += 1
            if count > MAX_FOLDERS:
                raise ConfigurationNotFoundError(
                    f"{root}: more than {MAX_FOLDERS} folders with configurations"
                )
            yield Path(folder_path)


def load_folder(folder: Path, requested: Path | None = None) -> Bundle:
    """``requested`` is read even if it does not exist, so that its absence is reported."""
    found: dict[str, Document | None] = {}
    for name in FILE_NAMES:
        path = folder / name
        found[name] = read_document(path) if path.exists() or path == requested else None
    return Bundle(
        str(folder), found[PLATFORM_NAME], found[OPERATOR_NAME], found[APP_NAME], found[ENVIRONMENT_NAME]
    )


def load_single_file(path: Path) -> Bundle:
    """A bundle of one file; its kind is recognized by its suffix and content."""
    document = read_document(path)
    if document.kind == "env":
        return Bundle(str(path), environment=document)
    if document.kind == "toml":
        is_description = document.data is not None and ("calls" in document.data or "member" in document.data)
        if is_description:
            return Bundle(str(path), app=document)
        return Bundle(str(path), operator=document)
    return Bundle(str(path), platform=document)


def sidecar_environ(bundle: Bundle, environ: Mapping[str, str]) -> dict[str, str]:
    """The variables that a sidecar gets: from the environment file of the bundle, otherwise the caller's."""
    if bundle.environment is not None:
        return dict(bundle.environment.data or {})
    return {name: value for name, value in environ.items() if name.startswith("BALANCER_")}
