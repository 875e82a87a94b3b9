"""Measures the memory of both programs: by import, by connections and bodies held, and by table.

    python -m benchmarks.memory [--most 25]

A controller and a proxy run as processes, started as the deploy file starts them. The memory and the
importer of each import are recorded (``rigs.import_trace``; memory is counted in pages, so a small module
may show nothing or a neighbour's page). Then follows the anonymous memory of both, which is what is charged,
at each stage: ready, with 500 idle connections, after a request on each of them, with bodies in flight, and
after all connections are closed. Bytes per entry of each table are measured with tracemalloc in this
process. The last line is JSON.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sysconfig
import tempfile
import tracemalloc
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from msgspec import Struct
from msgspec.structs import asdict

from anisestair.http import codec as http
from mesh.configuration.routes import Route, RouteTable
from mesh.data_plane.membership import Membership
from mesh.replication.items import Item
from mesh.replication.store import Store
from rigs.mesh_demo import FIRST_CONTROLLER_HOST, FIRST_PROXY_HOST, Mesh
from rigs.mesh_peers import Client, Operator, Upstream, patch_body, poll_until, route

START_TIMEOUT_S = 20.0
CONNECTIONS = 500
BODY_COUNT, BODY_BYTES = 8, 1 << 20
ENTRIES = 2000  # of each table
PROGRAMS = {"control_plane": "controller-0", "data_plane": "proxy-0"}


class Import(Struct, frozen=True):
    """Memory and CPU time of one import, with and without the imports nested in it."""

    module: str
    asked_by: str
    all_kb: int
    all_ms: float
    own_kb: int
    own_ms: float


def read_imports(path: Path) -> list[Import]:
    """Reads a file of ``rigs.import_trace``, sorted by memory without nested imports, largest first."""
    found = []
    for line in path.read_text().splitlines():
        module, asked_by, all_kb, all_ms, own_kb, own_ms = line.split("\t")
        found.append(Import(module, asked_by, int(all_kb), float(all_ms), int(own_kb), float(own_ms)))
    return sorted(found, key=lambda item: (-item.own_kb, item.module))


def anonymous_mb(pid: int) -> float:
    """Returns the current anonymous memory of a process. Raises OSError if it has exited."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) / 1024.0
    raise OSError(f"{pid}: no RssAnon")


def thread_count(pid: int) -> int:
    """Returns the current number of threads of a process."""
    return len(os.listdir(f"/proc/{pid}/task"))


async def _wait_until_serving(mesh: Mesh) -> None:
    await Operator([mesh.control(FIRST_CONTROLLER_HOST)]).change(
        patch_body(route("read", "/read/", "red"), services=("red",)), START_TIMEOUT_S
    )
    await poll_until(lambda: mesh.is_ready(FIRST_PROXY_HOST), START_TIMEOUT_S)

    async def serves() -> bool:
        client = await Client.connect(mesh.outbound(FIRST_PROXY_HOST))
        served = (await client.request("warm", "/read/ok")).status == 200
        client.abort()
        return served

    await poll_until(serves, START_TIMEOUT_S)


async def _send_bodies(mesh: Mesh) -> list[asyncio.Task[http.Message]]:
    async def send(number: int) -> http.Message:
        client = await Client.connect(mesh.outbound(FIRST_PROXY_HOST))
        response = await client.request(f"b{number}", "/read/ok", body=b"x" * BODY_BYTES)
        client.abort()
        return response

    return [asyncio.create_task(send(number)) for number in range(BODY_COUNT)]


async def measure_stages(folder: Path) -> dict[str, dict[str, dict[str, float]]]:
    """Returns the anonymous megabytes and the thread count of each program at each stage."""
    mesh = Mesh.create(folder, 1, 1)
    mesh.command = lambda program, _: (
        *("-S", "-m", "rigs.import_trace", str(folder / program), f"mesh.{program}"),
    )
    found: dict[str, dict[str, dict[str, float]]] = {}

    def record(stage: str) -> None:
        pids = {program: mesh.processes[node].pid for program, node in PROGRAMS.items()}
        found[stage] = {
            program: {"anonymous_mb": round(anonymous_mb(pid), 2), "threads": thread_count(pid)}
            for program, pid in pids.items()
        }

    try:
        upstream = Upstream("i-0", "red", lambda _: "ok", capacity=64)
        await upstream.start(f"{mesh.network}.{FIRST_PROXY_HOST}")
        await mesh.start_controller(0)
        settings = mesh.write_proxy_settings(0, upstream)
        settings.write_text(settings.read_text().replace("file_handles = 1000", "file_handles = 4100"))
        await mesh.restart("proxy-0", "data_plane")
        mesh.start_heartbeats(0, upstream)
        await _wait_until_serving(mesh)
        record("ready")
        clients = [await Client.connect(mesh.outbound(FIRST_PROXY_HOST)) for _ in range(CONNECTIONS)]
        await asyncio.sleep(0.5)
        record("connections")
        for number, client in enumerate(clients):
            await client.request(f"a{number}", "/read/ok")
        record("requests")
        bodies = await _send_bodies(mesh)
        await asyncio.sleep(0.05)
        record("bodies under way")
        await asyncio.gather(*bodies)
        record("bodies answered")
        for client in clients:
            client.abort()
        await asyncio.sleep(0.5)
        record("closed")
        return found
    except BaseException:
        print(mesh.log_tails())
        raise
    finally:
        await mesh.stop()
        upstream.close()


@contextmanager
def _traced(found: dict[str, float], name: str) -> Iterator[None]:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    yield
    found[name] = round((tracemalloc.get_traced_memory()[0] - before) / ENTRIES)
    tracemalloc.stop()


def measure_tables() -> dict[str, float]:
    """Returns the bytes per entry of each table, measured with ENTRIES entries."""
    found: dict[str, float] = {}
    value = {"address": "10.1.0.35:8147", "node": "auxiliary-vesturhus-1", "state": "settled", "plant": "red"}

    def items(kind: str) -> list[Item]:
        return [Item(kind, f"i-{at}", 1, {**value}, "life", at) for at in range(ENTRIES)]

    with _traced(found, "store"):
        store = Store("here", ENTRIES + 1)
        store.merge(items("instance"), {})
    with _traced(found, "membership"):
        membership = Membership()
        membership.apply(items("instance"))
    with _traced(found, "routes"):
        routes = RouteTable()
        for at in range(ENTRIES):
            routes.put(_route(at))
    return found


def _route(at: int) -> Route:
    return Route(
        name=f"r-{at}",
        version=1,
        host="h.example",
        prefix=f"/r{at}/",
        split=(("red", 1.0),),
        effectful=False,
        trials=2,
        aim_ms=200.0,
        horizon_ms=900.0,
        priority=0,
    )


def _print(title: str, rows: list[str]) -> None:
    print(f"\n{title}")
    for row in rows:
        print(f"  {row}")


def main() -> None:
    """Runs the command."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--most", type=int, default=25, help="number of imports printed for each program")
    args = parser.parse_args()
    os.environ.setdefault("PYTHONPATH", sysconfig.get_path("purelib"))  # python -S does not import site
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        by_stage = asyncio.run(measure_stages(folder))
        imports = {program: read_imports(folder / program) for program in PROGRAMS}
    for program, rows in imports.items():
        lines = [
            f"{item.own_kb:5} KB {item.own_ms:6.1f} ms  {item.module}, imported by {item.asked_by}"
            f" ({item.all_kb} KB with nested imports)"
            for item in rows[: args.most]
        ]
        _print(f"{program}: {sum(item.own_kb for item in rows)} KB in {len(rows)} imports", lines)
    _print("by stage", [f"{stage}: {usage}" for stage, usage in by_stage.items()])
    by_table = measure_tables()
    _print("bytes per entry", [f"{table}: {size:.0f}" for table, size in by_table.items()])
    result = {
        "imports": {
            program: [asdict(item) for item in rows[: args.most]] for program, rows in imports.items()
        },
        "stages": by_stage,
        "tables": by_table,
    }
    print(json.dumps(result))


if __name__ == "__main__":
    main()
