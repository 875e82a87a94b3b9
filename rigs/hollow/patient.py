"""One of the mesh's programs whose links may be silent for longer: `python -m rigs.hollow.patient PROGRAM S`.

A machine that many share holds processes up for longer than `transport.link.SILENT_S` allows, and links that
are lost by it would be measured instead of the mesh.
"""

from __future__ import annotations

import runpy
import sys

from mesh.transport import link

PROGRAMS = ("control_plane", "data_plane")


def main(program: str, silent_s: float) -> None:
    """Raises ValueError for another program, or a silence below the shipped one."""
    if program not in PROGRAMS or silent_s < link.SILENT_S:
        raise ValueError(f"give one of {PROGRAMS} and at least {link.SILENT_S} s")
    link.SILENT_S = silent_s
    runpy.run_module(f"mesh.{program}", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main(sys.argv[1], float(sys.argv[2]))
