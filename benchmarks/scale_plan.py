"""The plan of two years held against the slopes: the tables of docs/CAPACITY.md.

    python -m benchmarks.scale_plan [--write]

Works out from the scale run's newest result files what each role would spend at the plan's size, sets the
operators' bound beside it, and prints the tables; --write puts them into the page between its marks. Rows
that miss their bound come first, the largest ratio first. The last line is JSON.
"""

from __future__ import annotations

import argparse
import json
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.scale_fit import (
    ASKED,
    CORES,
    MEASURES,
    NEWEST,
    RESULTS,
    Fit,
    count,
    fit,
    fits,
    newest,
    played,
    sound,
)
from benchmarks.scale_kinds import frames_table, state_table, troubles_table
from mesh.control_plane.program import MOST_ROLL
from mesh.membership.failure_detection import spans
from mesh.membership.tombstones import KEPT_S

PAGE = Path(__file__).resolve().parent.parent / "docs" / "CAPACITY.md"
CORES_SERIES = RESULTS / "scale-cores.json"  # one size with more controllers
REST = RESULTS / "scale-index.json"  # proxies at rest since they find instances by an index
REQUEST = RESULTS / "mesh-request.json"
DAY_S = 86_400.0

# The operators' plan.
PROXIES, SERVICES, MACHINES = 17_000, 1_700, 20
CALLS_S, ADDED_MS, DEEP = 790_000.0, 0.32, 18
CHANGES_S, RESTARTS_S, FAILURES_S = 42_000 / DAY_S, 2_800 / DAY_S, 100 / DAY_S
FORCE_S, BACK_S = 10.0, 60.0
SIDE_CORE, SIDE_MB, SIDE_BYTES_S = 0.021, 256.0, 2048.0
# Not in the plan, assumed here and said so on the page.
CALLED = 20  # services that one proxy calls
ROUTES = 5 * SERVICES
CORE_MB, CORE_FILES, DISK_MB = 296.0, 4096, 256.0  # a core machine's, as the sites have it today


@dataclass(frozen=True, slots=True)
class Way:
    """A mechanism that would carry a row, and what the row would come to by the same slopes."""

    text: str
    value: float | None


@dataclass(frozen=True, slots=True)
class Row:
    role: str
    what: str
    unit: str
    value: float
    bound: float
    whose: str  # the bound's
    formula: str
    today: str
    ways: tuple[Way, ...] = ()

    @property
    def ratio(self) -> float:
        return self.value / self.bound

    @property
    def misses(self) -> bool:
        return self.ratio > 1.0


class Plan:
    def __init__(
        self,
        sizes: Sequence[dict[str, Any]],
        cores: Sequence[dict[str, Any]],
        rest: Sequence[dict[str, Any]],
    ) -> None:
        """``cores``: sizes with more controllers than CORES, to tell what goes with a controller's links from
        what goes with all proxies. ``rest``: of a later program, for proxies at rest."""
        self.fits: dict[str, Fit] = fits(sizes)
        form, part, measure = MEASURES["proxy.quiet.cpu_ms"]
        later = sound(rest, part)
        self.fits["proxy.quiet.cpu_ms"] = fit(form, [count(s) for s in later], [measure(s) for s in later])
        self.sizes = sizes
        self.shares = {
            part: self._share(sound(cores, part), MEASURES[f"controller.{part}.cpu_ms"][2])
            for part in ("quiet", "change", "restart", "back")
        }

    def _share(self, cores: Sequence[dict[str, Any]], measure: Any) -> float:
        """Of a controller's work, the part that falls as more controllers share the links: from one size at
        two numbers of controllers, cost = links·a + rest."""
        for more in cores:
            for few in self.sizes:
                if few["hollow"] == more["hollow"]:
                    fewer = CORES / more["controllers"]
                    share = (1.0 - measure(more) / measure(few)) / (1.0 - fewer)
                    return float(min(max(share, 0.0), 1.0))
        raise ValueError("no size that was run at two numbers of controllers")

    def at(self, name: str, x: float = PROXIES) -> float:
        return max(self.fits[name].at(x), 0.0)

    def controller(self, part: str) -> float:
        """Milliseconds of one of MACHINES controllers, where it was measured with CORES."""
        return self.at(f"controller.{part}.cpu_ms") * self._left(part)

    def _left(self, part: str) -> float:
        """Of what one of CORES controllers does, what one of MACHINES does."""
        share = self.shares[part]
        return share * CORES / MACHINES + 1.0 - share

    def rows(self) -> list[Row]:
        found = [*self._controller(), *self._proxy(), *self._mesh()]
        return sorted(found, key=lambda row: -row.ratio)

    def _controller(self) -> list[Row]:
        links = ASKED * PROXIES / MACHINES
        rest = self.controller("quiet") / 1000.0
        change = CHANGES_S * self.controller("change") / 1000.0
        restart = (RESTARTS_S + FAILURES_S) * self.controller("restart") / 1000.0
        own = PROXIES / MACHINES
        back = self.controller("back") / 1000.0 / BACK_S
        lists = 2.0 * PROXIES
        memory = self.fits["controller.rss_mb"].at(PROXIES, CORES / MACHINES)
        few = self.at("controller.change.cpu_ms", own) / 1000.0 * CHANGES_S
        return [
            Row(
                "controller",
                "processor time for changes and their reports",
                "cores",
                change,
                1.0,
                "a process has one loop",
                f"{CHANGES_S:.3f}/s · ({self.fits['controller.change.cpu_ms'].text()}) ms · "
                f"{self._left('change'):.2f}",
                "each sidecar reports each change twice to all 3 that it asks, and each control process "
                "tells every other each report",
                (
                    Way("each sidecar's reports end at the first that it asks: N/R of them each", few),
                    Way(
                        "that, and one report a change, after it is in force; the first part's stays",
                        few / 2.0,
                    ),
                    Way(
                        "zones add up: one sidecar a zone and change names those that lack it",
                        self.at("controller.change.cpu_ms", 17 * 2) / 1000.0 * CHANGES_S,
                    ),
                ),
            ),
            Row(
                "controller",
                "processor time at rest",
                "cores",
                rest,
                1.0,
                "a process has one loop",
                f"({self.fits['controller.quiet.cpu_ms'].text()}) ms/s · {self._left('quiet'):.2f}",
                "signs of life on 3N/R links, ticks that pass over them, `Duties.tick` over all nodes",
                (
                    Way(
                        "one link a sidecar, two more named and opened when it is lost",
                        rest / ASKED,
                    ),
                    Way("a timer wheel: signs of life by when they are due, no tick over all", None),
                ),
            ),
            Row(
                "controller",
                "processor time for restarts and failures",
                "cores",
                restart,
                1.0,
                "a process has one loop",
                f"{RESTARTS_S + FAILURES_S:.4f}/s · ({self.fits['controller.restart.cpu_ms'].text()}) ms · "
                f"{self._left('restart'):.2f}",
                "each item of the roll goes to every sidecar, and back to the two that it asks besides",
                (Way("told only to those that call the service", restart * CALLED / SERVICES),),
            ),
            Row(
                "controller",
                "processor time while all come back in a minute",
                "cores",
                back,
                1.0,
                "a process has one loop",
                f"({self.fits['controller.back.cpu_ms'].text()}) ms / 60 s · {self._left('back'):.2f}",
                "every newcomer is told the whole membership, and all are told of every newcomer",
                (
                    Way("told only of the services it calls", back * CALLED / SERVICES),
                    Way("the same, its list kept packed by service and version", None),
                ),
            ),
            Row(
                "controller",
                "items of the membership",
                "items",
                lists + (RESTARTS_S + FAILURES_S) * KEPT_S,
                MOST_ROLL,
                "`MOST_ROLL`, ours",
                "2·N + 600 s · (restarts + failures)/s",
                "node and instance are an item each; past the bound a sidecar cannot say that it is there",
                (
                    Way("a bound of 4·N that follows from the settings: half of it is held", None),
                    Way("node and instance in one item", PROXIES),
                    Way("a control process holds its own zones' and the others' digests", lists / 17),
                ),
            ),
            Row(
                "controller",
                "memory",
                "MB",
                memory,
                CORE_MB,
                "a core machine of today's sites",
                f"({self.fits['controller.rss_mb'].text()}) MB, N² · {CORES}/R",
                "stores, vectors of every link (told and asked, an entry for each sidecar), reports",
                (
                    Way(
                        "vectors of a link by digest, entries only where they differ: a proxy's lists",
                        self.at("proxy.rss_mb"),
                    ),
                    Way(
                        "its own zones' sidecars alone, the others by digest",
                        self.at("controller.rss_mb", PROXIES / 17),
                    ),
                ),
            ),
            Row(
                "controller",
                "links",
                "descriptors",
                links + MACHINES,
                CORE_FILES,
                "a core machine of today's sites",
                "3·N/R + R",
                "three links a sidecar, spread by rendezvous",
            ),
            Row(
                "controller",
                "disk",
                "MB",
                (self.at("controller.disk_kb") + self._route_bytes("disk_kb") / 1024.0 * ROUTES) / 1024.0,
                DISK_MB,
                "a core machine of today's sites",
                f"{self.at('controller.disk_kb'):.0f} kB + {self._route_bytes('disk_kb'):.0f} B · routes",
                "lmdb, one row an item; the membership is not on disk",
            ),
        ]

    def _proxy(self) -> list[Row]:
        rest = self.at("proxy.quiet.cpu_ms")
        events = RESTARTS_S + FAILURES_S
        cpu = (
            rest + CHANGES_S * self.at("proxy.change.cpu_ms") + events * self.at("proxy.restart.cpu_ms")
        ) / 1000.0
        carried = (
            self.at("proxy.quiet.bytes")
            + CHANGES_S * self.at("proxy.change.bytes")
            + events * self.at("proxy.restart.bytes")
        )
        few_known = CALLED * PROXIES / SERVICES
        few_cpu = (
            self.at("proxy.quiet.cpu_ms", few_known)
            + CHANGES_S * self.at("proxy.change.cpu_ms", few_known)
            + events * CALLED / SERVICES * self.at("proxy.restart.cpu_ms", few_known)
        ) / 1000.0
        few_bytes = self.at("proxy.quiet.bytes") + CHANGES_S * self.at("proxy.change.bytes") / ASKED
        routes_mb = self._route_bytes("proxy_mb") * 1024.0 / 2**20 * ROUTES
        change = self.fits["proxy.change.bytes"].text()
        return [
            Row(
                "proxy",
                "processor time for control",
                "cores",
                cpu,
                SIDE_CORE,
                "operators",
                f"({self.fits['proxy.quiet.cpu_ms'].text()} + {CHANGES_S:.3f}·"
                f"({self.fits['proxy.change.cpu_ms'].text()}) + {events:.3f}·"
                f"({self.fits['proxy.restart.cpu_ms'].text()})) ms/s",
                "ticks that compare the vectors of all sources, every item of the roll merged",
                (Way(f"news of the {CALLED} services that it calls", few_cpu),),
            ),
            Row(
                "proxy",
                "bytes for control",
                "B/s",
                carried,
                SIDE_BYTES_S,
                "operators",
                f"{self.fits['proxy.quiet.bytes'].text()} + {CHANGES_S:.3f}·({change}) + {events:.3f}·"
                f"({self.fits['proxy.restart.bytes'].text()}) B/s",
                "signs of life on three links, each change told once, two reports told three times each",
                (
                    Way("reports to the first that it asks alone, the roll of its services alone", few_bytes),
                    Way(
                        "routes by service as well: a sidecar is told of 20 services in 1,700",
                        self.at("proxy.quiet.bytes")
                        + CHANGES_S * CALLED / SERVICES * self.at("proxy.change.bytes"),
                    ),
                ),
            ),
            Row(
                "proxy",
                "bytes in the minute in which all come back",
                "B/s",
                self.at("proxy.back.bytes") / BACK_S,
                SIDE_BYTES_S,
                "operators, of any second",
                f"({self.fits['proxy.back.bytes'].text()}) B / 60 s",
                "the list of all as it comes, and every newcomer told",
                (
                    Way(
                        "told only of the services it calls",
                        self.at("proxy.back.bytes") * CALLED / SERVICES / BACK_S,
                    ),
                    Way("that, and names told by number instead of text", None),
                ),
            ),
            Row(
                "proxy",
                "memory for control",
                "MB",
                self.at("proxy.rss_mb") + routes_mb,
                SIDE_MB,
                "operators",
                f"({self.fits['proxy.rss_mb'].text()}) MB + {routes_mb / ROUTES * 1024:.2f} kB · routes",
                "the whole membership: items, vector, told and asked entries of three links",
                (
                    Way(
                        f"the {CALLED} services that it calls",
                        self.at("proxy.rss_mb", few_known) + routes_mb,
                    ),
                ),
            ),
        ]

    def _mesh(self) -> list[Row]:
        request = json.loads(REQUEST.read_text())
        two, direct = request["two_hops_1"], request["direct_1"]
        return [
            Row(
                "mesh",
                "added to a call, 99 in 100, both hops, one call in flight",
                "ms",
                two["p99_ms"] - direct["p99_ms"],
                ADDED_MS,
                "operators",
                "p99 of two hops - p99 without",
                "Python on both hops; measured on a machine that others kept busy",
                (
                    Way("the half of them, p50 less p50, is left", two["p50_ms"] - direct["p50_ms"]),
                    Way("its CPU alone, both hops", two["both_cpu_ms"]),
                ),
            ),
            Row(
                "mesh",
                "a change in force everywhere, after its acknowledgement",
                "s",
                self.at("change.force_s"),
                FORCE_S,
                "operators",
                f"{self.fits['change.force_s'].text()} s at any size, while no process is beyond its core",
                "news at once, a first tenth, the others 0.3 of `settle_ms` later",
            ),
            Row(
                "mesh",
                "all back: all know all, after the first has come",
                "s",
                max(self.at("back.known_s"), BACK_S),
                2 * BACK_S,
                "ours: a minute for the coming, one to settle",
                f"max(60, {self.fits['back.known_s'].text()}) s, while no process is beyond its core",
                "each is told the whole membership",
                (
                    Way(
                        "told only of the services it calls",
                        max(self.at("back.known_s", CALLED * PROXIES / SERVICES), BACK_S),
                    ),
                ),
            ),
            Row(
                "mesh",
                "a crash known to all and its items dropped",
                "s",
                max(self.at("rack.known_s"), spans(3000, 1500).gone_s),
                60.0,
                "ours; links are lost after 0.55 s",
                f"{self.fits['rack.known_s'].text()} s",
                "silence of 21 s as all control processes hear it, then a drop",
            ),
        ]

    def _route_bytes(self, field: str) -> float:
        """Of one more route, in 1/1024 of the field's unit; the mean of all sizes."""
        found = [
            1024.0
            * (float(s["parts"]["routes"][field]) - float(s["parts"]["change"][field]))
            / float(s["parts"]["routes"]["routes"])
            for s in self.sizes
            if "routes" in s["parts"]
        ]
        return sum(found) / len(found)


def number(value: float | None) -> str:
    if value is None:
        return "not known"
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def tables(plan: Plan) -> dict[str, str]:
    """By the mark on the page that each stands between."""
    rows = plan.rows()
    missing, holding = [row for row in rows if row.misses], [row for row in rows if not row.misses]
    found = {
        "misses": ["| role | what | at the plan's size | bound | ratio | today's mechanism | formula |"],
        "holds": ["| role | what | at the plan's size | bound | ratio | carried by | formula |"],
        "ways": ["| role | what | way | would come to | of the bound |"],
        "slopes": ["| measure | fit over N proxies | residual, range |"],
    }
    for name, those in (("misses", missing), ("holds", holding)):
        found[name].append("| --- | --- | --- | --- | --- | --- | --- |")
        for row in those:
            found[name].append(
                f"| {row.role} | {row.what} | {number(row.value)} {row.unit} | {number(row.bound)} "
                f"({row.whose}) | {row.ratio:.2g} | {row.today} | {row.formula} |"
            )
    found["ways"].append("| --- | --- | --- | --- | --- |")
    for row in missing:
        for way in row.ways:
            part = f"{way.value / row.bound:.2g}" if way.value is not None else "not known"
            unit = f" {row.unit}" if way.value is not None else ""
            found["ways"].append(
                f"| {row.role} | {row.what} | {way.text} | {number(way.value)}{unit} | {part} |"
            )
    found["slopes"].append("| --- | --- | --- |")
    for name in MEASURES:
        one = plan.fits[name]
        found["slopes"].append(f"| `{name}` | {one.text()} | {one.told()} |")
    told = {name: "\n".join(lines) for name, lines in found.items()}
    rates = {"change": CHANGES_S, "restart": RESTARTS_S + FAILURES_S}
    return told | {
        "state": state_table(PROXIES, MACHINES, ASKED, ROUTES),
        "frames": frames_table(plan.sizes, rates),
        "troubles": troubles_table(played()),
    }


def filled(page: str, blocks: dict[str, str]) -> str:
    """The page with these tables between their marks. Raises ValueError where a mark is missing."""
    for name, block in blocks.items():
        begin, end = f"<!-- {name} -->\n", f"\n<!-- /{name} -->"
        at, to = page.index(begin) + len(begin), page.index(end)
        page = page[:at] + block + page[to:]
    return page


def made() -> Plan:
    """Of the newest result files."""
    cores = json.loads(CORES_SERIES.read_text())["sizes"]
    return Plan(newest(NEWEST), [one for one in cores if one["outcome"] == "whole"], played(REST))


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--write", action="store_true", help="into docs/CAPACITY.md")
    given = words.parse_args()
    plan = made()
    blocks = tables(plan)
    for block in blocks.values():
        print(block, end="\n\n")
    if given.write:
        PAGE.write_text(filled(PAGE.read_text(), blocks))
    rows = [
        {"role": r.role, "what": r.what, "value": round(r.value, 4), "bound": r.bound, "unit": r.unit}
        for r in plan.rows()
    ]
    print(json.dumps({"rows": rows, "shares": plan.shares}))


if __name__ == "__main__":
    main()
