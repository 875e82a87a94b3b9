"""Where the memory of both programs goes: by import, by what is held for connections and bodies, by table.

    python -m benchmarks.memory [--most 25]

A controller and a proxy run as processes, started as the deploy file starts them, and each import is written
down with what it added and who asked for it (``rigs.import_trace``; memory is counted in pages, so small
modules show as nothing or as a neighbour's page). Then the anonymous memory of both, which is what is
charged, at each stage: ready, with 500 idle connections, after requests on all of them, with bodies in hand,
and once all are closed. Bytes an entry of each table are those of tracemalloc, in this process. The last line
is JSON.
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
from rigs.mesh_peers import Client, Operator, Upstream, patch_body, polled, route

START_S = 20.0
CONNECTIONS = 500
BODIES, BODY_BYTES = 8, 1 << 20
ENTRIES = 2000  # of each table
PROGRAMS = {"control_plane": "controller-0", "data_plane": "proxy-0"}


class Import(Struct, frozen=True):
    """Kilobytes and milliseconds of processor time, with all that it loaded and by itself."""

    module: str
    asked_by: str
    all_kb: int
    all_ms: float
    own_kb: int
    own_ms: float


def read_imports(path: Path) -> list[Import]:
    """Of a file that ``rigs.import_trace`` wrote; the largest by itself first."""
    found = []
    for line in path.read_text().splitlines():
        module, asked_by, all_kb, all_ms, own_kb, own_ms = line.split("\t")
        found.append(Import(module, asked_by, int(all_kb), float(all_ms), int(own_kb), float(own_ms)))
    return sorted(found, key=lambda one: (-one.own_kb, one.module))


def anonymous_mb(pid: int) -> float:
    """Now. Raises OSError for a process that has ended."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) / 1024.0
    raise OSError(f"{pid}: no RssAnon")


def threads(pid: int) -> int:
    """Of a process, now."""
    return len(os.listdir(f"/proc/{pid}/task"))


async def _ready(mesh: Mesh) -> None:
    await Operator([mesh.control(FIRST_CONTROLLER_HOST)]).change(
        patch_body(route("read", "/read/", "red"), services=("red",)), START_S
    )
    await polled(lambda: mesh.is_ready(FIRST_PROXY_HOST), START_S)

    async def serves() -> bool:
        client = await Client.connect(mesh.outbound(FIRST_PROXY_HOST))
        served = (await client.request("warm", "/read/ok")).status == 200
        client.abort()
        return served

    await polled(serves, START_S)


async def _send_bodies(mesh: Mesh) -> list[asyncio.Task[http.Message]]:
    async def one(number: int) -> http.Message:
        client = await Client.connect(mesh.outbound(FIRST_PROXY_HOST))
        answer = await client.request(f"b{number}", "/read/ok", body=b"x" * BODY_BYTES)
        client.abort()
        return answer

    return [asyncio.create_task(one(number)) for number in range(BODIES)]


async def stages(folder: Path) -> dict[str, dict[str, dict[str, float]]]:
    """Anonymous megabytes and threads of each program at each stage."""
    mesh = Mesh.create(folder, 1, 1)
    mesh.command = lambda program, _: (
        *("-S", "-m", "rigs.import_trace", str(folder / program), f"mesh.{program}"),
    )
    found: dict[str, dict[str, dict[str, float]]] = {}

    def note(stage: str) -> None:
        pids = {program: mesh.processes[node].pid for program, node in PROGRAMS.items()}
        found[stage] = {
            program: {"anonymous_mb": round(anonymous_mb(pid), 2), "threads": threads(pid)}
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
        await _ready(mesh)
        note("ready")
        clients = [await Client.connect(mesh.outbound(FIRST_PROXY_HOST)) for _ in range(CONNECTIONS)]
        await asyncio.sleep(0.5)
        note("connections")
        for number, client in enumerate(clients):
            await client.request(f"a{number}", "/read/ok")
        note("requests")
        bodies = await _send_bodies(mesh)
        await asyncio.sleep(0.05)
        note("bodies under way")
        await asyncio.gather(*bodies)
        note("bodies answered")
        for client in clients:
            client.abort()
        await asyncio.sleep(0.5)
        note("closed")
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


def tables() -> dict[str, float]:
    """Bytes an entry, of ENTRIES each."""
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
    """Of this command."""
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--most", type=int, default=25, help="imports that are printed of each program")
    given = words.parse_args()
    os.environ.setdefault("PYTHONPATH", sysconfig.get_path("purelib"))  # the programs start without site
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        by_stage = asyncio.run(stages(folder))
        imports = {program: read_imports(folder / program) for program in PROGRAMS}
    for program, rows in imports.items():
        lines = [
            f"{one.own_kb:5} KB {one.own_ms:6.1f} ms  {one.module}, asked by {one.asked_by}"
            f" ({one.all_kb} KB with all that it loads)"
            for one in rows[: given.most]
        ]
        _print(f"{program}: {sum(one.own_kb for one in rows)} KB in {len(rows)} imports", lines)
    _print("by stage", [f"{stage}: {told}" for stage, told in by_stage.items()])
    by_table = tables()
    _print("bytes an entry", [f"{table}: {told:.0f}" for table, told in by_table.items()])
    result = {
        "imports": {
            program: [asdict(one) for one in rows[: given.most]] for program, rows in imports.items()
        },
        "stages": by_stage,
        "tables": by_table,
    }
    print(json.dumps(result))


if __name__ == "__main__":
    main()
