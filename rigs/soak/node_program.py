"""One process of a soak: a shipped program, optionally behind a relay and with seeded faults.

    python -m rigs.soak.node_program PROGRAM IP PORT [FAULT ...]

PORT 0: no relay. The ledgers have to detect each seeded fault.
"""

from __future__ import annotations

import sys

from mesh.runtime.hangup import ignore_hangup

ignore_hangup()  # before all else, as in the shipped programs

from mesh.control_plane.program import Controller  # noqa: E402
from mesh.data_plane.program import Proxy  # noqa: E402
from mesh.runtime.startup import run  # noqa: E402
from rigs.relayed_process import connect_from, listen_behind_relay  # noqa: E402
from rigs.soak.seeded_faults import SEEDED_FAULTS  # noqa: E402


def main(arguments: list[str]) -> int:
    """Runs the program and returns its exit status."""
    program, ip, port, *faults = arguments
    connect_from(ip)
    if int(port):
        listen_behind_relay(int(port))
    for name in faults:
        SEEDED_FAULTS[name]()
    return run(Controller if program == "control_plane" else Proxy)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
