"""Code versions: a digest of all code that decides a play, and the decision modules of older revisions, from
this repository's history.
"""

from __future__ import annotations

import subprocess
import tarfile
from importlib import metadata
from io import BytesIO
from pathlib import Path

import xxhash

from lab.scenario import InvalidInput

ROOT = Path(__file__).resolve().parent.parent
DECISION_PARTS = ("hareloom", "anisestair/storms")
MODEL_PARTS = (
    *("lab/streams.py", "lab/clock.py", "lab/scenario.py", "lab/scenario_tables.py", "lab/servers.py"),
    *("lab/discovery.py", "lab/sidecars.py", "lab/calls.py", "lab/clients.py", "lab/checker.py"),
    *("lab/measures.py", "lab/troubles.py", "lab/simulation.py", "lab/policies", "lab/cpu.py"),
    *("lab/sight.py", "lab/links.py", "lab/versions.py"),
)
LIBRARIES = ("numpy", "xxhash", "msgspec", "pyarrow", "hdrhistogram", "matplotlib")


def libraries() -> dict[str, str]:
    """The versions of the libraries that results depend on."""
    return {name: metadata.version(name) for name in LIBRARIES}


def digest(root: Path, parts: tuple[str, ...]) -> str:
    """A digest of the paths and contents of the Python files in these parts: 16 hexadecimal digits."""
    hasher = xxhash.xxh3_64()
    for part in parts:
        path = root / part
        for file in sorted(path.rglob("*.py")) if path.is_dir() else [path]:
            hasher.update(str(file.relative_to(root)).encode() + b"\0" + file.read_bytes() + b"\0")
    return hasher.hexdigest()


class Revisions:
    """Decision modules by revision, extracted into a folder when they are first needed."""

    def __init__(self, folder: Path) -> None:
        """``folder``: where older revisions are extracted."""
        self._folder = folder
        self._checkouts: dict[str, tuple[Path, str]] = {}

    def directory(self, policy: str) -> Path:
        """The directory of a policy's decision modules: this checkout, or a folder with an older revision.

        Raises InvalidInput."""
        revision = policy.partition("@")[2]
        return self._checkout(revision)[0] if revision else ROOT

    def code(self, policy: str) -> str:
        """The digest of all code that decides this policy's plays. Raises InvalidInput."""
        model_digest = digest(ROOT, MODEL_PARTS)
        name, _, revision = policy.partition("@")
        # The code of a textbook policy is part of the model; of hareloom it uses only the event types.
        parts = DECISION_PARTS if name.startswith("module") else ("hareloom/interface.py",)
        decision_digest = self._checkout(revision)[1] if revision else digest(ROOT, parts)
        return xxhash.xxh3_64_hexdigest((model_digest + decision_digest).encode())

    def _checkout(self, revision: str) -> tuple[Path, str]:
        """The directory of a revision's decision modules, and their digest."""
        if revision in self._checkouts:
            return self._checkouts[revision]
        commit = _git("rev-parse", "--verify", "--quiet", f"{revision}^{{commit}}").decode().strip()
        if not commit:
            raise InvalidInput(
                f"policy: {revision!r} is no revision of this repository; use one that git knows"
            )
        directory = self._folder / commit[:16]
        if not directory.exists():
            archive = _git("archive", "--format=tar", commit, *DECISION_PARTS)
            if not archive:
                raise InvalidInput(
                    f"policy: {revision!r} has no {' or '.join(DECISION_PARTS)}; use a later one"
                )
            unfinished = self._folder / f"{commit[:16]}.unfinished"
            with tarfile.open(fileobj=BytesIO(archive)) as tar:
                tar.extractall(unfinished, filter="data")
            # anisestair.storms only needs its parent package to exist.
            (unfinished / "anisestair" / "__init__.py").touch()
            unfinished.replace(directory)
        self._checkouts[revision] = (directory, digest(directory, DECISION_PARTS))
        return self._checkouts[revision]


def _git(*words: str) -> bytes:
    completed = subprocess.run(["git", *words], cwd=ROOT, capture_output=True)
    return completed.stdout if completed.returncode == 0 else b""
