"""Selects the modules that are compiled ahead of time from the same sources, if they have been built.

`python -m hareloom.compile` builds them. The Python sources run instead if there is no build of them or if
HARELOOM_PLAIN is set in the environment. The name of a build's folder contains a digest of the sources, so
that no build is used after a change.
"""

from __future__ import annotations

import os
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

HERE = os.path.dirname(os.path.realpath(__file__))
ROOT = os.path.join(os.path.dirname(HERE), ".compiled")
COMPILED = (  # the modules that handle a request
    *("rules.py", "servers.py", "working.py", "activity.py", "pick.py", "work.py", "limits.py"),
    *("requests.py", "governor.py", "ring.py", "records.py", "beliefs.py", "wire.py", "host.py"),
)
TYPED_BY = ("interface.py",)  # imported by the compiled modules


def folder() -> Path:
    """Returns the folder for modules that are compiled from the current sources."""
    # Imported only where a build exists: together they take 0.7 MB, and programs have memory limits.
    from importlib.util import source_hash
    from pathlib import Path

    text = b"\0".join(Path(HERE, name).read_bytes() for name in (*COMPILED, *TYPED_BY))
    return Path(ROOT) / f"{sys.implementation.cache_tag}-{source_hash(text).hex()}"


def use(path: list[str], root: str | Path = ROOT) -> None:
    """Puts the compiled modules first on the package's search path, if they exist and can be loaded."""
    if os.environ.get("HARELOOM_PLAIN") or not os.path.isdir(root):
        return
    build = folder()
    if not build.is_dir():
        return
    compiled = str(build / os.path.basename(HERE))
    path.insert(0, compiled)
    sys.path.append(str(build))  # the library that the compiled modules share
    try:
        import hareloom.rules  # noqa: F401
    except ImportError as error:  # built for another machine: run the sources
        path.remove(compiled)
        sys.path.remove(str(build))
        print(f"hareloom: {build.name} cannot be loaded ({error}); running the source", file=sys.stderr)
