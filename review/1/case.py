"""A sidecar is killed and restarted; its upstream signs off before its next beat and still gets requests."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from leaving import kill_and_restart, upstream_leaves
from standins import TROUBLE, Mesh, Record, Upstream, play


async def leave(mesh: Mesh, upstream: Upstream) -> float:
    """Kill and restart the sidecar (if there is trouble), then sign off; return when that is acknowledged."""
    upstream.stop_beats()
    if TROUBLE:
        await kill_and_restart(mesh)
    return await upstream.sign_off()


async def case(folder: Path, record: Record) -> bool:
    """Play it; return whether DRAIN was broken."""
    return await upstream_leaves(folder, record, leave)


if __name__ == "__main__":
    play(case, Path(__file__).resolve().parent)
