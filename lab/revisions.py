"""Code by its content: a digest of what decides a play, and older decision modules out of this repository's
own history."""

from __future__ import annotations

import subprocess
import tarfile
from importlib import metadata
from io import BytesIO
from pathlib import Path

import xxhash

from lab.scenario import InvalidInput

ROOT = Path(__file__).resolve().parent.parent
DECIDES = ("hareloom", "anisestair/storms")
MODEL = (
    *("lab/streams.py", "lab/clock.py", "lab/scenario.py", "lab/scenario_tables.py", "lab/servers.py"),
    *("lab/discovery.py", "lab/sidecars.py", "lab/calls.py", "lab/clients.py", "lab/checker.py"),
    *("lab/measures.py", "lab/troubles.py", "lab/simulation.py", "lab/policies", "lab/cpu.py"),
    *("lab/sight.py", "lab/links.py", "lab/versions.py"),
)
LIBRARIES = ("numpy", "xxhash", "msgspec", "pyarrow", "hdrhistogram", "matplotlib")


def libraries() -> dict[str, str]:
    return {name: metadata.version(name) for name in LIBRARIES}


def digest(root: Path, parts: tuple[str, ...]) -> str:
    """Of the Python files in these parts, by their place and content: 16 hexadecimal digits."""
    found = xxhash.xxh3_64()
    for part in parts:
        path = root / part
        for file in sorted(path.rglob("*.py")) if path.is_dir() else [path]:
            found.update(str(file.relative_to(root)).encode() + b"\0" + file.read_bytes() + b"\0")
    return found.hexdigest()


class Revisions:
    """Decision modules by revision, laid out in a folder as they are needed."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._known: dict[str, tuple[Path, str]] = {}

    def place(self, policy: str) -> Path:
        """Where a policy's decision modules are: this checkout, or a folder with an older revision's.
        Raises InvalidInput."""
        revision = policy.partition("@")[2]
        return self._of(revision)[0] if revision else ROOT

    def code(self, policy: str) -> str:
        """Digest of all that decides this policy's plays. Raises InvalidInput."""
        own = digest(ROOT, MODEL)
        name, _, revision = policy.partition("@")
        # A plain policy's decisions are the model's; of the module it has the types of events alone.
        parts = DECIDES if name.startswith("module") else ("hareloom/interface.py",)
        decides = self._of(revision)[1] if revision else digest(ROOT, parts)
        return xxhash.xxh3_64_hexdigest((own + decides).encode())

    def _of(self, revision: str) -> tuple[Path, str]:
        if revision in self._known:
            return self._known[revision]
        named = _git("rev-parse", "--verify", "--quiet", f"{revision}^{{commit}}").decode().strip()
        if not named:
            raise InvalidInput(
                f"policy: {revision!r} is no revision of this repository; name one that git knows"
            )
        place = self._folder / named[:16]
        if not place.exists():
            archive = _git("archive", "--format=tar", named, *DECIDES)
            if not archive:
                raise InvalidInput(f"policy: {revision!r} has no {' or '.join(DECIDES)}; name a later one")
            unfinished = self._folder / f"{named[:16]}.unfinished"
            with tarfile.open(fileobj=BytesIO(archive)) as tar:
                tar.extractall(unfinished, filter="data")
            # What the watch for storms needs of its package, and no more.
            (unfinished / "anisestair" / "__init__.py").touch()
            unfinished.replace(place)
        self._known[revision] = (place, digest(place, DECIDES))
        return self._known[revision]


def _git(*words: str) -> bytes:
    done = subprocess.run(["git", *words], cwd=ROOT, capture_output=True)
    return done.stdout if done.returncode == 0 else b""
