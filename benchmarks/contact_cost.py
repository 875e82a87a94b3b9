"""What contact costs one of N control processes: bytes of frames and processor time a second, by its own code
on frames as they are; links and system calls are not in it. The last line is JSON.

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
    """A channel, as far as contact looks at one."""

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
    pulled = SimpleNamespace(pull_complete=True)
    channels: list[Any] = [_Link(name, {"ip": name, "role": CONTROLLER}, link, pulled) for name in names[1:]]
    owner: Any = SimpleNamespace(loop=loop, open=channels)
    disk_writer: Any = SimpleNamespace(complete=True)
    event_log: Any = SimpleNamespace(emit=lambda *_, **__: None)
    contact_probes = ContactProbes(
        CONTACT_MS, owner, member_set, disk_writer, lambda *_: None, lambda: 0.0, event_log
    )
    for one in channels:
        contact_probes.link_opened(one)
    size = frames = 0
    every_s = PROBE_INTERVAL_SHARE * CONTACT_MS / 1000.0
    began = time.process_time()
    for number in range(1, rounds + 1):
        at = now[0] = number * every_s
        contact_probes.tick(at, at)
        for step in range(int(every_s / TICK_S)):  # the looks between, and who asks whether all is held
            contact_probes.tick(at + step * TICK_S / 10, at + step * TICK_S / 10)
            contact_probes.holds_all()
        for one in channels:
            question = frame({"t": "probe", "n": number, "e": 7})
            answer = frame({"t": "probed", "n": number, "e": 7, "w": True, "c": True})
            for head, _ in Frames().feed(question + answer):
                contact_probes.handle_frame(one, head)
            size += len(question) + len(answer)
        size += sum(map(len, sent))
        frames += len(sent) + 2 * len(channels)
        sent.clear()
    spent = time.process_time() - began
    lasted = rounds * every_s
    return {
        "members": members,
        "frames_s": round(frames / lasted, 1),
        "bytes_s": round(size / lasted),
        "bytes_frame": round(size / frames, 1),
        "cpu_share": round(spent / lasted, 6),
    }


def main(members: int = 20, rounds: int = 400) -> None:
    for count in sorted({3, 5, members}):
        print(json.dumps(measure(count, rounds)))


if __name__ == "__main__":
    main(*(int(word) for word in sys.argv[1:3]))
