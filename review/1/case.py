"""A sidecar is killed and restarted; its upstream signs off before its next beat and still gets requests."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    ENVELOPE,
    TROUBLE,
    Client,
    Mesh,
    Record,
    Upstream,
    change,
    order,
    plant,
    play,
    route,
    wait_for,
)

SERVICES = ("red", "red", "blue")
LEAVER = 1  # the proxy beside the upstream that leaves
WORK_S = 0.25
DOWN_S = 0.3  # from the kill to the restart by the platform
DRAIN_S = ENVELOPE["drain_ms"] / 1000.0
SERVES_ON_S = DRAIN_S + 1.0  # after the acknowledgement: drain_ms and a little longer
PER_S = 8.0  # requests of each kind a second at each of the two other machines


async def leave(mesh: Mesh, upstream: Upstream) -> float:
    """Kill and restart the sidecar (if there is trouble), then sign off; return when that is acknowledged."""
    upstream.stop_beats()
    if TROUBLE:
        await mesh.kill(f"proxy-{LEAVER}")
        await asyncio.sleep(DOWN_S)
        await mesh.start_proxy(LEAVER, SERVICES[LEAVER], cold_boot=False)
    return await upstream.sign_off()


async def case(folder: Path, record: Record) -> bool:
    """Play it; return whether DRAIN was broken."""
    mesh = Mesh(folder, record, controllers=3, proxies=len(SERVICES))
    upstreams = [Upstream(record, f"i-{name}-{at}", name, WORK_S) for at, name in enumerate(SERVICES)]
    clients = [Client(mesh, at, "/read/x") for at in (0, 2)]
    clients += [Client(mesh, at, "/write/x", "POST") for at in (0, 2)]
    tasks = list[asyncio.Task[None]]()
    try:
        for at in range(3):
            await mesh.start_controller(at)
        for at, service in enumerate(SERVICES):
            await mesh.start_proxy(at, service)
            await upstreams[at].start(mesh.app_of(at), mesh.control_of(at))
        routes = [route("read", "/read/", "red", 1), route("write", "/write/", "red", 1, effectful=True)]
        await order(mesh, change(routes, [plant("red"), plant("blue")]))
        for at in range(len(SERVICES)):
            await wait_for(f"proxy-{at} is not ready", lambda at=at: mesh.is_ready(at))
        await asyncio.sleep(2.0 * ENVELOPE["contact_ms"] / 1000.0)  # all machines are in touch
        tasks += [asyncio.create_task(client.send_for(14.0, PER_S)) for client in clients]
        await asyncio.sleep(3.0)
        upstream = upstreams[LEAVER]
        acknowledged = await leave(mesh, upstream)
        await asyncio.sleep(max(acknowledged + SERVES_ON_S - record.now(), 0.0))
        known = {attempt for client in clients for attempt in client.answers}
        upstream.end()
        await asyncio.sleep(2.5)  # until the open requests are answered
        return judge(record, upstream, acknowledged, clients, known)
    finally:
        for task in tasks:
            task.cancel()
        await mesh.stop()
        for upstream in upstreams:
            upstream.end()


def judge(
    record: Record, upstream: Upstream, acknowledged: float, clients: list[Client], known: set[str]
) -> bool:
    """Return whether a request came later than drain_ms. ``known``: those answered before the end."""
    late = [attempt for at, attempt in upstream.arrivals if at > acknowledged + DRAIN_S]
    after = [at - acknowledged for at, _ in upstream.arrivals if at > acknowledged]
    failed = [
        attempt
        for client in clients
        for attempt, status in client.answers.items()
        if client.method == "POST" and attempt not in known and status != 200
    ]
    text = (
        f"{len(late)} requests reached the upstream later than drain_ms after its DELETE was acknowledged, "
        f"the last after {max(after, default=0.0):.2f} s; "
        f"effectful requests that failed as it ended: {len(failed)}"
    )
    record.note(f"DELETE was acknowledged at {acknowledged:.3f} s; {text}")
    print(text)
    return bool(late)


if __name__ == "__main__":
    play(case, Path(__file__).resolve().parent)
