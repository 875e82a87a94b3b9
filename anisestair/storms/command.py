"""``python -m anisestair storms show PATH``: prints the storm detection table of a running sidecar."""

from __future__ import annotations

import argparse
import socket
import sys

TIMEOUT_S = 3.0
MAX_BYTES = 64 * 1024  # of the table, which usually has about 2 KiB


def main(arguments: list[str]) -> int:
    """Return the exit status: 0 after printing the table, 1 if the socket at PATH does not answer."""
    parser = argparse.ArgumentParser(prog="anisestair storms", description=__doc__)
    parser.add_subparsers(dest="what", required=True).add_parser(
        "show", help="print the table of a running sidecar"
    ).add_argument("path", help="the socket configured by show in [storms], with or without unix:")
    path = parser.parse_args(arguments).path.removeprefix("unix:")
    try:
        text = _read(path)
    except OSError as error:
        print(
            f"anisestair: {path}: {error}: is a sidecar running with this socket in [storms]?",
            file=sys.stderr,
        )
        return 1
    print(text, end="")
    return 0


def _read(path: str) -> str:
    received = b""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as client:
        client.settimeout(TIMEOUT_S)
        client.connect(path)
        while len(received) < MAX_BYTES and (data := client.recv(65536)):
            received += data
    return received.decode("utf-8", "replace")
