"""A mesh at size on one machine: real controllers and some real proxies beside hollow ones, all on loopback.

    python -m benchmarks.scale_run [--hollow 100 300] [--controllers 5] [--proxies 3] [--processes 3]
        [--only join quiet ...] [--silent 3] [--memory-gb 6] [--label NAME] [--json FILE]

For each size the parts of PARTS, in their order: messages and bytes a proxy as the hollow ones count them,
by kind; CPU (all threads), memory and disk of the real processes from /proc. Each size is bounded in time,
and ends where the run's processes pass half of the machine's memory (--memory-gb asks for less); more than
300 processes are not begun. Links may be silent for --silent seconds, where the machine is shared and holds
processes up for longer than the shipped 0.55 s. Only processes started here are ended, by their ids. The last
line is JSON; --json adds the sizes to a file.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import shutil
import statistics
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from mesh.rollout.bounds import derive
from mesh.runtime.settings import Bounds as Envelope
from rigs.hollow.fleet import Fleet
from rigs.hollow.machine import PROC, Bounds, Refused, disk_bytes, total_bytes, used
from rigs.mesh_demo import CORE, SIDE, Mesh
from rigs.mesh_peers import Operator, Upstream, call, change, polled, route

ZONES = [(f"z{at}", f"r{at % 8}") for at in range(17)]  # the plan's 17 zones in 8 regions
AWAY_REGION, RACK_ZONE = "r3", 5
SERVICES_SHARE = 0.1  # services a proxy, as in the plan
ROUTES, MORE_ROUTES, CHANGES = 40, 500, 8
BEAT_S = 1.5
TOLERATED = 1  # machines, as write_settings has it
STEP_S = 0.3  # between groups of hollow proxies that start
GROUP_WORK = 1500  # proxies of a group, times all proxies: no process stands still for long over a group
QUIET_S = 10.0
AWAY_S = 6.0
BACK_S = 60.0
STILL_S = 1.5  # without a change of the membership, it has come to rest
WITHIN_S = 150.0  # for anything to come about
WHOLE_S = 900.0  # a size; what takes longer ends it
PARTS = ("join", "quiet", "change", "routes", "restart", "rack", "region", "disk", "back")

Told = dict[str, Any]


@dataclass
class Meters:
    """Readings of one moment."""

    at: float
    cpu: dict[str, float]
    counts: dict[str, Counter[str]]
    lag_s: float


@dataclass
class Size:
    """One size: what is started, asked and measured of it. ``found`` has a part's figures by its name."""

    folder: Path
    hollow: int
    controllers: int
    proxies: int
    processes: int
    only: Sequence[str]
    bounds: Bounds
    silent_s: float
    found: dict[str, Told] = field(default_factory=dict)
    mesh: Mesh = field(init=False)
    fleet: Fleet = field(init=False)
    operator: Operator = field(init=False)
    upstreams: list[Upstream] = field(default_factory=list)
    version: int = 1
    refused: str = ""

    # The whole

    async def play(self) -> Told:
        began = time.monotonic()
        self.mesh = Mesh.of(self.folder, self.controllers, self.proxies)
        self.mesh.command = lambda program: ("-m", "rigs.hollow.patient", program, str(self.silent_s))
        self.fleet = Fleet(self.folder, self.processes)
        work = asyncio.create_task(self._script())
        guard = asyncio.create_task(self._guard(work))
        outcome = "whole"
        try:
            async with asyncio.timeout(WHOLE_S):
                await work
        except asyncio.CancelledError:
            outcome = f"refused: {self.refused}"
        except (TimeoutError, RuntimeError, AssertionError, OSError) as fault:
            outcome = f"failed: {type(fault).__name__} {fault}"
        finally:
            guard.cancel()
            work.cancel()
            await self.fleet.stop()
            await self.mesh.stop()
            for upstream in self.upstreams:
                upstream.close()
        return {
            "hollow": self.hollow,
            "controllers": self.controllers,
            "proxies": self.proxies,
            "processes": self.processes,
            "silent_s": self.silent_s,
            "load": round(os.getloadavg()[1], 1),  # of the whole machine, at the end
            "outcome": outcome,
            "took_s": round(time.monotonic() - began, 1),
            "parts": self.found,
        }

    def pids(self) -> list[int]:
        return [one.pid for one in (*self.mesh.processes.values(), *self.fleet.processes)]

    async def _guard(self, work: asyncio.Task[None]) -> None:
        while True:
            await asyncio.sleep(1.0)
            over = self.bounds.look(self.pids())
            if over is not None:
                self.refused = over.reason
                work.cancel()
                return

    async def _script(self) -> None:
        await self._starts()
        parts: dict[str, Callable[[], Awaitable[None]]] = {
            "join": self._join,
            "quiet": self._quiet,
            "change": self._change,
            "routes": self._routes,
            "restart": self._restart,
            "rack": self._rack,
            "region": self._region,
            "disk": self._disk,
            "back": self._back,
        }
        for name in PARTS:
            if name in self.only:
                await parts[name]()
                self._memory(name)
                print(json.dumps({"hollow": self.hollow, name: self.found[name]}), flush=True)

    async def _starts(self) -> None:
        for at in range(self.controllers):
            await self.mesh.controller(at)
        controls = [self.mesh.control(CORE + at) for at in range(self.controllers)]
        self.operator = Operator(controls)
        rules = [route(f"r{at}", f"/r{at}/", "red") for at in range(ROUTES)]
        await self.operator.change(change(*rules, services=("red", "blue")), WITHIN_S)
        for control in controls:
            await self.operator.read(control, WITHIN_S)
        for at in range(self.proxies):
            service = ("red", "blue")[at % 2]
            upstream = Upstream(f"{service}-{at}", service, lambda _: "ok", capacity=8)
            await upstream.start(f"{self.mesh.net}.{SIDE + at}")
            self.upstreams.append(upstream)
            await self.mesh.proxy(at, upstream)
        hold_s = derive(Envelope().settle_ms, Envelope().ack_ms).hold_s
        seeds = [(ip, self.mesh.ports[0]) for ip in self.mesh.seeds]
        services = max(int(SERVICES_SHARE * self.hollow), 1)
        await self.fleet.start(seeds, ZONES, services, BEAT_S, hold_s, TOLERATED, self.silent_s)
        self.found["empty"] = {}
        self._memory("empty")
        if "join" not in self.only:
            await self._start(range(self.hollow))

    # Measuring

    async def _read(self) -> Meters:
        cpu = {}
        for node, process in self.mesh.processes.items():
            one = used(process.pid)
            if one is not None:
                cpu[node] = one.cpu_s
        return Meters(time.monotonic(), cpu, *await self.fleet.counts())

    def _spent(self, before: Meters, after: Meters) -> Told:
        """CPU milliseconds of the real processes; messages and bytes a hollow proxy, by kind."""

        def cpu(kind: str) -> list[float]:
            return [
                1000.0 * (after.cpu[node] - began)
                for node, began in before.cpu.items()
                if node.startswith(kind) and after.cpu.get(node, -1.0) >= began
            ]

        kinds: dict[str, Told] = {}
        for way in ("sent", "got"):
            for kind, count in sorted((after.counts[way] - before.counts[way]).items()):
                size = after.counts[f"{way}_bytes"][kind] - before.counts[f"{way}_bytes"][kind]
                kinds[f"{way}.{kind}"] = {
                    "messages": round(count / self.hollow, 3),
                    "bytes": round(size / self.hollow, 1),
                }
        words = [one for name, one in kinds.items() if not name.endswith(".alive")]
        cores, sides = cpu("controller"), cpu("proxy")
        return {
            "seconds": round(after.at - before.at, 2),
            "controller_cpu_ms": round(statistics.fmean(cores), 1),
            "controller_cpu_most_ms": round(max(cores), 1),
            "proxy_cpu_ms": round(statistics.fmean(sides), 1) if sides else None,
            "messages": round(sum(one["messages"] for one in words), 2),
            "bytes": round(sum(one["bytes"] for one in kinds.values())),
            "kinds": kinds,
            "hollow_lag_s": round(after.lag_s, 3),
            "links_lost": dict(after.counts["lost"] - before.counts["lost"]),
        }

    def _memory(self, name: str) -> None:
        found: dict[str, list[float]] = {}
        for node, process in self.mesh.processes.items():
            one = used(process.pid)
            if one is not None:
                found.setdefault(node.partition("-")[0], []).append(one.rss_mb)
        held = {f"{kind}_mb": round(statistics.fmean(sizes), 2) for kind, sizes in found.items()}
        disks = [disk_bytes(self.folder / f"disk-{at}") for at in range(self.controllers)]
        self.found[name] |= held | {"disk_kb": round(statistics.fmean(disks) / 1024.0, 1)}

    async def _measured(self, name: str, work: Callable[[], Awaitable[Told]]) -> None:
        before = await self._read()
        told = await work()
        self.found[name] = told | self._spent(before, await self._read())

    # Coming to rest

    async def _rest(self, since: float, items: int | None = None) -> float:
        """Until no hollow proxy's membership changes any more; seconds from ``since`` to the last change.
        ``items``: so many at least are to be there. Raises TimeoutError."""
        ends = time.monotonic() + WITHIN_S
        while True:
            states = await self.fleet.ask("state")
            last: float = max(one["changed_at"] for one in states)
            now = max(one["now"] for one in states)
            there = items is None or all(one["least"] >= items for one in states if one["up"])
            if there and now - max(last, since) >= STILL_S:
                return max(last - since, 0.0)
            if time.monotonic() > ends:
                least = min(one["least"] for one in states)
                raise TimeoutError(f"the membership does not come to rest: {least} items of {items}")
            await asyncio.sleep(0.3)

    def _all(self, count: int) -> int:
        """Items of the membership with so many hollow proxies: nodes, instances."""
        return 2 * (count + self.proxies) + self.controllers

    async def _start(self, numbers: Sequence[int]) -> float:
        """In groups; seconds from the first to when all know all."""
        began = time.monotonic()
        group = max(GROUP_WORK * self.processes // self.hollow, self.processes)
        over_s = STEP_S * len(numbers) / group
        await self.fleet.each("start", numbers, over_s=over_s)
        return await self._rest(began, self._all(max(numbers) + 1))

    # The parts

    async def _join(self) -> None:
        """A tenth joins nine tenths."""
        old = self.hollow - self.hollow // 10
        await self._start(range(old))
        await asyncio.sleep(1.0)

        async def joins() -> Told:
            known_s = await self._start(range(old, self.hollow))
            return {"joining": self.hollow - old, "known_s": round(known_s, 3)}

        await self._measured("join", joins)

    async def _quiet(self) -> None:
        async def rests() -> Told:
            await asyncio.sleep(QUIET_S)
            return {}

        await asyncio.sleep(2.0)
        await self._measured("quiet", rests)

    async def _reach(self, name: str, version: int, count: int) -> tuple[list[float], list[float]]:
        """Instants at which it was known, and in force; all of them. Raises TimeoutError."""
        ends = time.monotonic() + WITHIN_S
        while True:
            told = await self.fleet.ask("reach", name=name, version=version)
            known = sorted(at for one in told for at in one["known"])
            forced = sorted(at for one in told for at in one["forced"])
            if len(forced) >= count:
                return known, forced
            if time.monotonic() > ends:
                raise TimeoutError(f"{len(forced)} of {count} have {name} r{version}")
            await asyncio.sleep(0.1)

    async def _changed(self, count: int) -> Told:
        """One route moves to the other service."""
        self.version += 1
        service = ("red", "blue")[self.version % 2]
        began = time.monotonic()
        await self.operator.change(change(route("r0", "/r0/", service, self.version)), WITHIN_S)
        acked = time.monotonic()
        known, forced = await self._reach("r0", self.version, count)
        return {
            "ack_s": acked - began,
            "known_p99_s": known[int(0.99 * (len(known) - 1))] - acked,
            "known_s": known[-1] - acked,
            "force_p99_s": forced[int(0.99 * (len(forced) - 1))] - acked,
            "force_s": forced[-1] - acked,
        }

    async def _change(self) -> None:
        async def changes() -> Told:
            rounds = [await self._changed(self.hollow) for _ in range(CHANGES)]
            await asyncio.sleep(1.0)
            found: Told = {
                name: round(statistics.median(one[name] for one in rounds), 4) for name in rounds[0]
            }
            return found | {"changes": CHANGES, "force_worst_s": round(max(o["force_s"] for o in rounds), 4)}

        await self._measured("change", changes)

    async def _routes(self) -> None:
        """Many at once: what an item of the configuration costs."""

        async def adds() -> Told:
            rules = [route(f"more-{at}", f"/more/{at}/", "red") for at in range(MORE_ROUTES)]
            began = time.monotonic()
            await self.operator.change(change(*rules), WITHIN_S)
            acked = time.monotonic()
            known, _ = await self._reach(f"more-{MORE_ROUTES - 1}", 1, self.hollow)
            await asyncio.sleep(1.0)
            return {"routes": MORE_ROUTES, "ack_s": acked - began, "known_s": known[-1] - acked}

        await self._measured("routes", adds)

    async def _restart(self) -> None:
        """A fiftieth ends in order and comes back, one after the other."""
        some = list(range(0, self.hollow, 50)) or [0]

        async def restarts() -> Told:
            began = time.monotonic()
            await self.fleet.each("restart", some, over_s=max(2.0, 0.2 * len(some)))
            return {"restarted": len(some), "known_s": round(await self._rest(began), 3)}

        await self._measured("restart", restarts)

    async def _rack(self) -> None:
        """A fiftieth, all of one zone, is gone at once without a word; until the others drop them."""
        rack = list(range(RACK_ZONE, self.hollow, len(ZONES)))[: max(self.hollow // 50, 1)]

        async def falls() -> Told:
            began = time.monotonic()
            await self.fleet.each("crash", rack)
            await asyncio.sleep(19.0)
            since = time.monotonic()
            while True:
                states = await self.fleet.ask("state")
                if min(one["changed_at"] for one in states) > since - 0.5:
                    break
                if time.monotonic() - since > 30.0:
                    return {"gone": len(rack), "known_s": None}
                await asyncio.sleep(0.2)
            await self._rest(began)
            states = await self.fleet.ask("state")
            return {"gone": len(rack), "known_s": round(max(o["changed_at"] for o in states) - began, 3)}

        await self._measured("rack", falls)
        await self._measured("rack_back", lambda: self._again(rack))

    async def _again(self, numbers: Sequence[int]) -> Told:
        began = time.monotonic()
        await self.fleet.each("start", numbers, over_s=1.0)
        return {"started": len(numbers), "known_s": round(await self._rest(began), 3)}

    async def _region(self) -> None:
        """One region's sidecars hear nobody; a route changes meanwhile; until they have it."""
        away = [n for n in range(self.hollow) if ZONES[n % len(ZONES)][1] == AWAY_REGION]

        async def leaves() -> Told:
            cut = asyncio.create_task(self.fleet.each("apart", away, seconds=AWAY_S))
            await asyncio.sleep(1.0)
            self.version += 1
            service = ("red", "blue")[self.version % 2]
            await self.operator.change(change(route("r0", "/r0/", service, self.version)), WITHIN_S)
            joined = max(one["ended"] for one in await cut)
            known, _ = await self._reach("r0", self.version, self.hollow)
            await self._rest(joined)
            return {"away": len(away), "away_s": AWAY_S, "known_s": round(known[-1] - joined, 3)}

        await self._measured("region", leaves)

    async def _disk(self) -> None:
        """The last controller is killed, its disk lost; until it has all that was acknowledged and says
        so."""
        at = self.controllers - 1
        node = f"controller-{at}"
        log, settings = self.folder / f"{node}.log", self.folder / f"{node}.toml"

        async def loses() -> Told:
            await self.mesh.kill(node)
            shutil.rmtree(self.folder / f"disk-{at}")
            (self.folder / f"disk-{at}").mkdir()
            settings.write_text(settings.read_text().replace("cold_boot = true", "cold_boot = false"))
            seen, began = log.stat().st_size, time.monotonic()
            await self.mesh.again(node, "control_plane")

            async def whole() -> bool:
                with log.open("rb") as lines:
                    lines.seek(seen)
                    return b"store whole again" in lines.read()

            await polled(whole, WITHIN_S)
            whole_s = time.monotonic() - began

            async def reads() -> bool:
                return (await call(self.mesh.control(CORE + at), b"GET", b"/configuration"))[0] == 200

            await polled(reads, WITHIN_S)
            served_s = time.monotonic() - began
            await self._rest(began)
            return {"whole_s": round(whole_s, 3), "served_s": round(served_s, 3)}

        await self._measured("disk", loses)

    async def _back(self) -> None:
        """All end without a word, and come back as new lives within a minute."""

        async def returns() -> Told:
            await self.fleet.each("crash", range(self.hollow))
            await asyncio.sleep(1.0)
            began = time.monotonic()
            await self.fleet.each("start", range(self.hollow), over_s=BACK_S)
            return {"known_s": round(await self._rest(began, self._all(self.hollow)), 3)}

        await self._measured("back", returns)


def main() -> int:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--hollow", type=int, nargs="+", default=[100, 300])
    words.add_argument("--controllers", type=int, default=5, choices=range(3, 21), metavar="3..20")
    words.add_argument("--proxies", type=int, default=3, choices=range(2, 21), metavar="2..20")
    words.add_argument("--processes", type=int, default=3, help="of hollow proxies")
    words.add_argument("--only", nargs="+", default=list(PARTS), choices=PARTS)
    words.add_argument("--silent", type=float, default=3.0, help="seconds that a link may be silent")
    words.add_argument("--memory-gb", type=float, help="less than half of the machine's memory")
    words.add_argument("--label", default="", help="kept with the sizes")
    words.add_argument("--json", type=Path, help="sizes of earlier runs are read from it and all are kept")
    given = words.parse_args()
    bounds = Bounds.of(total_bytes((PROC / "meminfo").read_text()), given.memory_gb)
    rows: list[Told] = []
    if given.json is not None and given.json.exists():
        rows = json.loads(given.json.read_text())["sizes"]
    failed = False
    for hollow in given.hollow:
        row: Told = {"hollow": hollow, "controllers": given.controllers, "proxies": given.proxies}
        plan = bounds.plan(hollow, given.proxies, given.controllers, given.processes)
        if isinstance(plan, Refused):
            row |= {"processes": given.processes, "outcome": f"refused: {plan.reason}", "parts": {}}
        else:
            with tempfile.TemporaryDirectory() as folder:
                size = Size(
                    Path(folder),
                    hollow,
                    given.controllers,
                    given.proxies,
                    given.processes,
                    given.only,
                    bounds,
                    given.silent,
                )
                with asyncio.Runner() as runner:
                    row = runner.run(size.play())
                if row["outcome"] != "whole":
                    print(size.mesh.told(), file=sys.stderr)
        rows.append({"label": given.label, **row})
        failed = failed or row["outcome"] != "whole"
        if given.json is not None:
            given.json.write_text(json.dumps({"sizes": rows}, indent=1) + "\n")
    print(json.dumps({"sizes": rows}))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
