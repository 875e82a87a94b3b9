"""Hosts many instances of the module on the bench's wire, from standard input to standard output."""

from __future__ import annotations

import sys

from hareloom.host import serve


def main() -> int:
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    return serve(sys.stdin, sys.stdout)


if __name__ == "__main__":
    raise SystemExit(main())
