"""One shipped program whose port for other sidecars is behind a relay: it says its own address and listens at
another port.

    python -m rigs.lost_links.hop PROGRAM PORT FOLDER [GUARD ...]

It writes the calls that were out on a lost link into the folder, a line each. With guards named, it runs
without them: the judge outside has to see that.
"""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from mesh.admission.call_sessions import Session
from mesh.admission.final_check import RejectReason
from mesh.control_plane.program import Controller
from mesh.data_plane import client_connection, peer_calls, upstream_connections, upstream_dispatch
from mesh.data_plane.call_messages import NotExecuted
from mesh.data_plane.program import Proxy
from mesh.runtime.startup import run
from rigs.relayed_process import listen_behind_relay, patch_attribute

Replaced = list[tuple[Any, str, Any]]  # whose, its name, what stands there instead


def tell_lost(folder: Path) -> None:
    """Writes the key, the other hop, the time, whether it is asked after, and why the link was lost."""
    ask_back = peer_calls.PeerLink._schedule_query
    file = (folder / f"lost-{os.getpid()}.txt").open("w", buffering=1)

    def told(self: peer_calls.PeerLink, out: Any, why: str) -> None:
        ask_back(self, out, why)
        key = out.call.target.rpartition(b"/")[2].decode()
        file.write(f"{key} {self.node} {time.monotonic()} {int(out.number in self.to_query)} {why}\n")

    patch_attribute(peer_calls.PeerLink, "_schedule_query", told)


def _without_bar() -> Replaced:
    """A call that was asked back is taken all the same when it comes."""
    return [(Session, "accept", lambda self, number: True)]


def _without_ids() -> Replaced:
    """Whatever comes on a connection is the answer to the call on it."""
    return [(upstream_connections, "answers_call", lambda wanted, told: True), *_without_seal()]


def _without_seal() -> Replaced:
    return [(upstream_dispatch.UpstreamDispatch, "_has_seal", lambda self, running, message: True)]


def _without_unclear() -> Replaced:
    """A lost call counts as one that never left."""
    return [(peer_calls, "Unclear", lambda why: NotExecuted(RejectReason.LOST)), *_without_ask_back()]


def _without_ask_back() -> Replaced:
    return [(peer_calls, "query_window_ms", lambda call, since_ms: 0.0)]


def _without_order() -> Replaced:
    """Answers go out as they come."""
    flush = client_connection.PipelinedConnection._flush

    def as_they_come(self: client_connection.PipelinedConnection) -> None:
        self._slots = type(self._slots)(sorted(self._slots, key=lambda slot: slot.reply is None))
        flush(self)

    return [(client_connection.PipelinedConnection, "_flush", as_they_come)]


def _without_ends() -> Replaced:
    """Now and then an answer is not given."""
    say = client_connection.PipelinedConnection._reply
    count = 0

    def seldom_not(self: client_connection.PipelinedConnection, *said: Any) -> None:
        nonlocal count
        count += 1
        if count % 50:
            say(self, *said)

    return [(client_connection.PipelinedConnection, "_reply", seldom_not)]


GUARDS: dict[str, Callable[[], Replaced]] = {
    "bar": _without_bar,
    "ids": _without_ids,
    "seal": _without_seal,
    "unclear": _without_unclear,
    "ask_back": _without_ask_back,
    "order": _without_order,
    "ends": _without_ends,
}


def main(arguments: list[str]) -> int:
    name, port, folder, *without = arguments
    if name == "control_plane":
        return run(Controller)
    listen_behind_relay(int(port))
    tell_lost(Path(folder))
    for guard in without:
        for replaced in GUARDS[guard]():
            patch_attribute(*replaced)
    return run(Proxy)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
