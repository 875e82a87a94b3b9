"""Measures the cost of contact probes for one of N controllers: frames, bytes and CPU time per second. Links
and system calls are not included. Each line is JSON.

    python -m benchmarks.contact_cost [MEMBERS] [ROUNDS]
"""

from __future__ import annotations

import json
import sys
import time
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any

from mesh.control_plane.contact_probes import ContactProbes
from mesh.data_plane.membership import CONTROLLER
from mesh.replication.membership_epochs import View
from mesh.replication.quorum import Place, Tolerance
from mesh.replication.quorum_contact import PROBE_INTERVAL_SHARE
from mesh.transport.frames import Frames, frame

CONTACT_MS = 3000.0
TICK_S = 0.1


@dataclass(eq=False)
class _Link:
    """A stand-in for a channel, with the attributes that the contact probes use."""

    peer_source: str
    peer_hello: dict[str, str]
    link: Any
    exchange: Any


def measure(members: int, rounds: int) -> dict[str, float]:
    names = [f"10.0.0.{n}" for n in range(members)]
    view = View(7, {name: Place("z", "r") for name in names})
    now = [0.0]
    loop = SimpleNamespace(time=lambda: now[0], call_later=lambda *_: None)
    member_set: Any = SimpleNamespace(own_address=names[0], tolerance=Tolerance(1, 0, 0), view=lambda: view)
    sent: list[bytes] = []
    link = SimpleNamespace(send=lambda head: sent.append(frame(head)))
    exchange = SimpleNamespace(pull_complete=True)
    channels: list[Any] = [
        _Link(name, {"ip": name, "role": CONTROLLER}, link, exchange) for name in names[1:]
    ]
    channels_owner: Any = SimpleNamespace(loop=loop, open=channels)
    disk_writer: Any = SimpleNamespace(complete=True)
    event_log: Any = SimpleNamespace(emit=lambda *_, **__: None)
    contact_probes = ContactProbes(
        CONTACT_MS, channels_owner, member_set, disk_writer, lambda *_: None, lambda: 0.0, event_log
    )
    for channel in channels:
        contact_probes.link_opened(channel)
    total_bytes = frame_count = 0
    interval_s = PROBE_INTERVAL_SHARE * CONTACT_MS / 1000.0
    started_s = time.process_time()
    for number in range(1, rounds + 1):
        now_s = now[0] = number * interval_s
        contact_probes.tick(now_s, now_s)
        for step in range(int(interval_s / TICK_S)):  # the ticks between probes, and a query of the result
            contact_probes.tick(now_s + step * TICK_S / 10, now_s + step * TICK_S / 10)
            contact_probes.holds_all()
        for channel in channels:
            probe = frame({"t": "probe", "n": number, "e": 7})
            reply = frame({"t": "probed", "n": number, "e": 7, "w": True, "c": True})
            for head, _ in Frames().feed(probe + reply):
                contact_probes.handle_frame(channel, head)
            total_bytes += len(probe) + len(reply)
        total_bytes += sum(map(len, sent))
        frame_count += len(sent) + 2 * len(channels)
        sent.clear()
    cpu_s = time.process_time() - started_s
    duration_s = rounds * interval_s
    return {
        "members": members,
        "frames_s": round(frame_count / duration_s, 1),
        "bytes_s": round(total_bytes / duration_s),
        "bytes_frame": round(total_bytes / frame_count, 1),
        "cpu_share": round(cpu_s / duration_s, 6),
    }


def main(members: int = 20, rounds: int = 400) -> None:
    for count in sorted({3, 5, members}):
        print(json.dumps(measure(count, rounds)))


if __name__ == "__main__":
    main(*(int(word) for word in sys.argv[1:3]))
