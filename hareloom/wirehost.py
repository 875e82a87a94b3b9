"""Runs many Balancers on the simulator's text protocol, over standard input and output."""

from __future__ import annotations

import sys

from hareloom.host import serve


def main() -> int:
    """Runs the program; returns its exit status."""
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    return serve(sys.stdin, sys.stdout)


if __name__ == "__main__":
    raise SystemExit(main())
