"""Attributes the loss of worth of a day: calls by what took their time, prices by who causes them.

    fleetbench run SITE DAY --log all --report day.json > day.log      (proxies started with --debug)
    python -m benchmarks.worth day.json --trace day.log

Without a trace, the loss of calls is given by class alone. The loss is 1 minus the day's worth, before that
is compared with the site's marks. Every row is a part of the loss, and all rows add up to it except for the
rounding of the report, which has a row `rounding`. The last line is JSON.

- A late or lost call counts for the part of its time that exceeds the median of its route by most. A run that
  would have met the aim at a typical upstream is `run, slow upstream`, any other one `run, long`.
- Classes of the report and routes of the trace are matched by their numbers of calls. The client's network
  time is the median that clients saw minus the median that proxies saw.
- Parts of the worth that weigh the worst windows or the worst class are attributed to the causes of that
  class, or of all classes, in the proportions of the whole day.
- Prices are attributed by the shares of machines and processes in what is counted, and bytes by what the
  traced links sent.
"""

from __future__ import annotations

import argparse
import json
import statistics
from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import asdict
from pathlib import Path
from typing import Any

from benchmarks.worth_trace import (
    PARTS,
    Call,
    TimeParts,
    Trace,
    UpstreamLoad,
    read_trace,
    second_tries,
    upstream_loads,
)

Report = Mapping[str, Any]
Loss = dict[str, float]  # by cause
SLOW_UPSTREAM, LONG_RUN, FAILED, NOT_TRACED = "run, slow upstream", "run, long", "failed", "not traced"
COUNT_TOLERANCE = 0.1  # relative difference of calls between route and class: clients retry


def match_routes(report: Report, trace: Trace) -> dict[str, str]:
    """The route of each class: the one with the nearest number of calls."""
    counts = {route: len(calls) for route, calls in trace.calls_by_route().items()}
    routes: dict[str, str] = {}
    for item in sorted(report["classes"], key=lambda item: -item["n"]):
        candidates = [
            route
            for route in counts
            if route not in routes.values() and abs(counts[route] - item["n"]) <= COUNT_TOLERANCE * item["n"]
        ]
        if candidates:
            routes[item["name"]] = min(candidates, key=lambda route: abs(counts[route] - item["n"]))
    return routes


class ClassLedger:
    """The calls of one class: what each late or lost one spent its time on."""

    def __init__(
        self,
        class_report: Mapping[str, Any],
        calls: Sequence[Call],
        trace: Trace,
        speeds: Mapping[str, float],
    ) -> None:
        """``class_report``: the class in the day's report; ``calls``: those of its route; ``speeds``: by
        upstream."""
        self.class_report, self.calls, self.speeds = class_report, calls, speeds
        self.answered_ms = {call.attempt: trace.answered_ms(call) for call in calls}
        proxy_median_ms = statistics.median(self.answered_ms.values()) if calls else 0.0
        self.client_ms = max(class_report["p50_ms"] - proxy_median_ms, 0.0) if calls else 0.0
        self.parts = {call.attempt: trace.time_parts(call, self.client_ms) for call in calls}
        self.median_parts = {
            part: statistics.median(getattr(parts, part) for parts in self.parts.values()) if calls else 0.0
            for part in PARTS
        }
        self.late = [call for call in calls if self._late(call)]
        self.lost = [call for call in calls if call.end != "200"]

    def _late(self, call: Call) -> bool:
        return call.end == "200" and self.answered_ms[call.attempt] + self.client_ms > call.aim_ms

    def cause(self, call: Call) -> str:
        """What made this call late."""
        parts = self.parts[call.attempt]
        excess = {part: getattr(parts, part) - self.median_parts[part] for part in PARTS}
        part = max(excess, key=lambda name: excess[name])
        if part != "run":
            return part.replace("_", " ")
        speed = self.speeds.get(call.tries[-1].instance, 1.0)
        other_ms = self.answered_ms[call.attempt] + self.client_ms - parts.run
        return SLOW_UPSTREAM if speed < 1.0 and other_ms + parts.run * speed <= call.aim_ms else LONG_RUN

    def loss(self) -> Loss:
        """Shares of this class's loss by cause; they add up to 1, or are empty if there is no loss."""
        class_report = self.class_report
        lost = class_report["refused"] + class_report["failed"]
        total = class_report["n"] * (1.0 - class_report["worth"])
        if total <= 0.0:
            return {}
        late_loss = max(total - lost, 0.0)
        if not lost + class_report["late"]:
            return {NOT_TRACED: 1.0}
        shares: Loss = defaultdict(float)
        if lost:
            shares[FAILED] += (total - late_loss) / total
        for call in self.late:
            shares[self.cause(call)] += late_loss / total / max(class_report["late"], len(self.late))
        unexplained = 1.0 - sum(shares.values())
        if unexplained > 1e-9:
            shares[NOT_TRACED] += unexplained
        return dict(shares)

    def mean_parts(self, calls: Sequence[Call]) -> dict[str, float]:
        """The mean time by part over these calls, in milliseconds."""
        all_parts = [self.parts[call.attempt] for call in calls] or [TimeParts()]
        return {
            part: round(statistics.fmean(getattr(parts, part) for parts in all_parts), 1) for part in PARTS
        }


def class_weights(ledgers: Mapping[str, ClassLedger]) -> Loss:
    """The share of each class in the whole day's loss, measured in lost calls."""
    lost = {
        name: ledger.class_report["n"] * (1.0 - ledger.class_report["worth"])
        for name, ledger in ledgers.items()
    }
    total = sum(lost.values())
    return {name: count / total for name, count in lost.items()} if total else {}


def calls_loss(report: Report, ledgers: Mapping[str, ClassLedger]) -> Loss:
    """The loss caused by calls, by class and cause."""
    weights = class_weights(ledgers)
    worst = min(report["classes"], key=lambda item: item["worth"])["name"]
    losses: Loss = defaultdict(float)
    for part, weight, value in report["parts"]:
        loss = weight * (1.0 - value)
        if loss <= 0.0:
            continue
        class_shares = {worst: 1.0} if part == "worst class" else weights
        for name, share in class_shares.items():
            causes = {FAILED: 1.0} if part == "served at all" else ledgers[name].loss()
            for cause, cause_share in (causes or {NOT_TRACED: 1.0}).items():
                losses[f"{name}: {cause}"] += loss * share * cause_share
        if not class_shares:
            losses[NOT_TRACED] += loss
    return dict(losses)


def role_shares(report: Report, figure: str) -> Loss:
    """The share of each role in the sum of a figure over all processes."""
    totals = {node["role"]: node["n"] * (1.0 if figure == "n" else node[figure]) for node in report["nodes"]}
    total = sum(totals.values())
    return {role: value / total for role, value in totals.items()} if total else {}


def price_loss(report: Report, trace: Trace) -> Loss:
    """The loss caused by each price, by who causes it."""
    bytes_by_kind = trace.bytes_by_kind()
    total_bytes = sum(bytes_by_kind.values())
    kind_shares = (
        {kind: count / total_bytes for kind, count in bytes_by_kind.items()}
        if total_bytes
        else {NOT_TRACED: 1.0}
    )
    cause_shares = {
        "machine-seconds": role_shares(report, "n"),
        "processor seconds": role_shares(report, "cpu_mean"),
        "memory, GB x seconds": role_shares(report, "mem_peak_mb"),
        "GB between zones": kind_shares,
    }
    losses: Loss = {}
    for price, _, loss in report["prices"]:
        if abs(loss) > 0.0:
            for cause, share in (cause_shares.get(price) or {"all": 1.0}).items():
                losses[f"{price}: {cause}"] = loss * share
    return losses


def loss_report(report: Report, trace: Trace) -> dict[str, Any]:
    """All rows, in the form in which they are printed as JSON."""
    loads = upstream_loads(trace)
    speeds = {load.instance: load.speed for service_loads in loads.values() for load in service_loads}
    routes, calls_by_route = match_routes(report, trace), trace.calls_by_route()
    ledgers = {
        item["name"]: ClassLedger(item, calls_by_route.get(routes.get(item["name"], ""), []), trace, speeds)
        for item in report["classes"]
    }
    calls, prices = calls_loss(report, ledgers), price_loss(report, trace)
    total = sum(calls.values()) + sum(prices.values())
    return {
        "worth": report["G"],
        "loss": round(1.0 - report["G"], 4),
        "calls": _sorted_and_rounded(calls),
        "prices": _sorted_and_rounded(prices),
        "rounding": round(1.0 - report["G"] - total, 4),
        "classes": {name: _class_row(ledger) for name, ledger in ledgers.items()},
        "bytes_between_zones": trace.bytes_by_kind(),
        "upstreams": {
            name: [asdict(load) for load in service_loads] for name, service_loads in loads.items()
        },
    }


def _sorted_and_rounded(loss: Loss) -> Loss:
    return {name: round(value, 5) for name, value in sorted(loss.items(), key=lambda item: -item[1])}


def _class_row(ledger: ClassLedger) -> dict[str, Any]:
    retried = second_tries(ledger.calls)
    return {
        "calls": ledger.class_report["n"],
        "late": ledger.class_report["late"],
        "late_traced": len(ledger.late),
        "client_ms": round(ledger.client_ms, 1),
        "late_ms": ledger.mean_parts(ledger.late),
        "all_ms": ledger.mean_parts(ledger.calls),
        "second_tries": asdict(retried) | {"by_chance": round(retried.by_chance, 2)},
    }


def markdown_lines(report: Mapping[str, Any]) -> list[str]:
    """The rows of a loss report as lines of Markdown."""
    lines = [
        f"worth {report['worth']:.4f}, lost {report['loss']:.4f}",
        "",
        "| part | of the worth |",
        "| --- | --- |",
    ]
    for group in ("calls", "prices"):
        lines += [f"| {name} | {value:.4f} |" for name, value in report[group].items()]
    lines += [f"| rounding | {report['rounding']:.4f} |", ""]
    lines += ["| calls, ms | " + " | ".join(part.replace("_", " ") for part in PARTS) + " |"]
    lines += ["| --- " * (len(PARTS) + 1) + "|"]
    for name, row in report["classes"].items():
        for which, count in (("all", row["calls"]), ("late", row["late_traced"])):
            cells = " | ".join(f"{row[which + '_ms'][part]:.0f}" for part in PARTS)
            lines.append(f"| {name}, {which} {count} | {cells} |")
    for name, row in report["classes"].items():
        retried = row["second_tries"]
        lines.append(
            f"{name}: {retried['failed']} of {retried['tries']} tries failed;"
            f" of {retried['first_failed']} calls that were tried again"
            f" {retried['both_failed']} failed again, by chance {retried['by_chance']}"
        )
    for routes, loads in report["upstreams"].items():
        lines.append(f"upstreams of {routes}: " + ", ".join(_load_text(load) for load in loads))
    return lines


def _load_text(row: Mapping[str, Any]) -> str:
    load = UpstreamLoad(**row)
    return f"{load.instance} {load.share:.2f} of the mean at speed {load.speed:.2f}"


def main() -> None:
    """The command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("report", type=Path)
    parser.add_argument("--trace", type=Path, help="the log of the processes")
    options = parser.parse_args()
    report = json.loads(options.report.read_text())
    trace = read_trace(options.trace.read_text().splitlines()) if options.trace else Trace()
    losses = loss_report(report, trace)
    print("\n".join(markdown_lines(losses)))
    print(json.dumps(losses))


if __name__ == "__main__":
    main()
