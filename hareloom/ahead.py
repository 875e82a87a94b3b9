"""The decisions compiled ahead of time, from the same source: used where that was built, and nothing else
changes.

`python -m hareloom.compile` builds them. Without that folder, with one built from other sources, or with
HARELOOM_PLAIN set in the environment, the source itself is run. A folder's name holds the digest of the
sources, so that none outlives a change.
"""

from __future__ import annotations

import os
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

HERE = os.path.dirname(os.path.realpath(__file__))
ROOT = os.path.join(os.path.dirname(HERE), ".compiled")
COMPILED = (  # what a request passes through
    *("rules.py", "servers.py", "working.py", "activity.py", "pick.py", "work.py", "limits.py"),
    *("requests.py", "governor.py", "ring.py", "records.py", "beliefs.py", "wire.py", "host.py"),
)
TYPED_BY = ("interface.py",)  # what they are compiled against


def folder() -> Path:
    """Where the modules compiled from the sources as they stand belong."""
    # Loaded where something was compiled alone: together 0.7 MB, in programs that count them.
    from importlib.util import source_hash
    from pathlib import Path

    text = b"\0".join(Path(HERE, name).read_bytes() for name in (*COMPILED, *TYPED_BY))
    return Path(ROOT) / f"{sys.implementation.cache_tag}-{source_hash(text).hex()}"


def use(path: list[str], root: str | Path = ROOT) -> None:
    """Lets the package's modules be found there first, if they are there and can be loaded."""
    if os.environ.get("HARELOOM_PLAIN") or not os.path.isdir(root):
        return
    found = folder()
    if not found.is_dir():
        return
    compiled = str(found / os.path.basename(HERE))
    path.insert(0, compiled)
    sys.path.append(str(found))  # what the modules share lies there, under a name of its own
    try:
        import hareloom.rules  # noqa: F401
    except ImportError as fault:  # built for another machine: the source does as well
        path.remove(compiled)
        sys.path.remove(str(found))
        print(f"hareloom: {found.name} cannot be loaded ({fault}); running the source", file=sys.stderr)
