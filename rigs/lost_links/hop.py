"""One shipped program whose peer port is behind a relay: it advertises the relay's address and listens on
another port.

    python -m rigs.lost_links.hop PROGRAM PORT FOLDER [GUARD ...]

It logs the calls that were open on a lost link to a file in the folder, a line each. The named guards are
disabled; the check of the ledger has to detect that.
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

Replacements = list[tuple[Any, str, Any]]  # owner, attribute name, replacement


def log_lost_calls(folder: Path) -> None:
    """Logs the key, the other hop, the time, whether the call will be queried, and why the link was lost."""
    schedule_query = peer_calls.PeerLink._schedule_query
    file = (folder / f"lost-{os.getpid()}.txt").open("w", buffering=1)

    def logged(self: peer_calls.PeerLink, open_call: Any, reason: str) -> None:
        schedule_query(self, open_call, reason)
        key = open_call.call.target.rpartition(b"/")[2].decode()
        file.write(
            f"{key} {self.node} {time.monotonic()} {int(open_call.number in self.to_query)} {reason}\n"
        )

    patch_attribute(peer_calls.PeerLink, "_schedule_query", logged)


def _without_bar() -> Replacements:
    """A call that was queried is accepted nevertheless when it arrives later."""
    return [(Session, "accept", lambda self, number: True)]


def _without_ids() -> Replacements:
    """Anything received on a connection counts as the answer to the call on it."""
    return [(upstream_connections, "answers_call", lambda wanted, actual: True), *_without_seal()]


def _without_seal() -> Replacements:
    return [(upstream_dispatch.UpstreamDispatch, "_has_seal", lambda self, running, message: True)]


def _without_unclear() -> Replacements:
    """A lost call counts as never sent."""
    return [(peer_calls, "Unclear", lambda reason: NotExecuted(RejectReason.LOST)), *_without_ask_back()]


def _without_ask_back() -> Replacements:
    return [(peer_calls, "query_window_ms", lambda call, since_ms: 0.0)]


def _without_order() -> Replacements:
    """Pipelined answers are sent in the order of their arrival."""
    flush = client_connection.PipelinedConnection._flush

    def flush_out_of_order(self: client_connection.PipelinedConnection) -> None:
        self._slots = type(self._slots)(sorted(self._slots, key=lambda slot: slot.reply is None))
        flush(self)

    return [(client_connection.PipelinedConnection, "_flush", flush_out_of_order)]


def _without_ends() -> Replacements:
    """Some answers are not sent."""
    reply = client_connection.PipelinedConnection._reply
    count = 0

    def skip_some(self: client_connection.PipelinedConnection, *arguments: Any) -> None:
        nonlocal count
        count += 1
        if count % 50:
            reply(self, *arguments)

    return [(client_connection.PipelinedConnection, "_reply", skip_some)]


GUARDS: dict[str, Callable[[], Replacements]] = {
    "bar": _without_bar,
    "ids": _without_ids,
    "seal": _without_seal,
    "unclear": _without_unclear,
    "ask_back": _without_ask_back,
    "order": _without_order,
    "ends": _without_ends,
}


def main(arguments: list[str]) -> int:
    name, port, folder, *disabled_guards = arguments
    if name == "control_plane":
        return run(Controller)
    listen_behind_relay(int(port))
    log_lost_calls(Path(folder))
    for guard in disabled_guards:
        for replacement in GUARDS[guard]():
            patch_attribute(*replacement)
    return run(Proxy)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
