"""``python -m anisestair storms show PATH``: what a running sidecar sees, as a table."""

from __future__ import annotations

import argparse
import socket
import sys

WAIT_S = 3.0
MOST_BYTES = 64 * 1024  # a table has about two


def main(arguments: list[str]) -> int:
    """Exit 0 with the table, 1 where nothing answers at PATH."""
    words = argparse.ArgumentParser(prog="anisestair storms", description=__doc__)
    words.add_subparsers(dest="what", required=True).add_parser(
        "show", help="print the table of a running sidecar"
    ).add_argument("path", help="the socket that [storms] show names, with or without unix:")
    path = words.parse_args(arguments).path.removeprefix("unix:")
    try:
        text = _read(path)
    except OSError as fault:
        print(f"anisestair: {path}: {fault}: is a sidecar running whose [storms] names it?", file=sys.stderr)
        return 1
    print(text, end="")
    return 0


def _read(path: str) -> str:
    found = b""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as client:
        client.settimeout(WAIT_S)
        client.connect(path)
        while len(found) < MOST_BYTES and (data := client.recv(65536)):
            found += data
    return found.decode("utf-8", "replace")
