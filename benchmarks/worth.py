"""Who costs what of a day's worth: calls by what took their time, prices by who causes them.

    fleetbench run SITE DAY --log all --report day.json > day.log      (proxies started with --debug)
    python -m benchmarks.worth day.json --trace day.log

Without a trace the calls' loss is told by kind of call alone. The loss is 1 less the day's worth before it is
held against the site's marks; every row is a part of it, and the sum is the whole but for the report's own
rounding, which is told as `rounding`. The last line is JSON.

- A late or lost call belongs to the part of its time that exceeds the median of its route by most. A run that
  would have met the aim at a usual upstream is `run, slow upstream`, any other `run, long`.
- Classes of the report and routes of the trace are matched by their counts. The client's way is the median
  that clients saw less the median that proxies saw.
- What is weighed over the worst windows or the worst class goes to that class's causes, or to all of them, in
  the proportions of the whole day.
- Prices: by the machines' and processes' parts in what is counted; bytes by what the traced links sent.
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
    Parts,
    Trace,
    UpstreamLoad,
    read_trace,
    second_tries,
    upstream_loads,
)

Report = Mapping[str, Any]
Loss = dict[str, float]  # by cause
SLOW_UPSTREAM, LONG_RUN, FAILED, UNSEEN = "run, slow upstream", "run, long", "failed", "not traced"
COUNT_SLACK = 0.1  # a route may have so many more or fewer calls than its class: clients try again


def match_routes(report: Report, trace: Trace) -> dict[str, str]:
    """The route of each class, by the nearest count."""
    counts = {route: len(calls) for route, calls in trace.by_route().items()}
    found: dict[str, str] = {}
    for one in sorted(report["classes"], key=lambda one: -one["n"]):
        near = [
            r
            for r in counts
            if r not in found.values() and abs(counts[r] - one["n"]) <= COUNT_SLACK * one["n"]
        ]
        if near:
            found[one["name"]] = min(near, key=lambda route: abs(counts[route] - one["n"]))
    return found


class ClassLedger:
    """One kind of call: what each of its late or lost calls spent its time on."""

    def __init__(
        self, told: Mapping[str, Any], calls: Sequence[Call], trace: Trace, speeds: Mapping[str, float]
    ) -> None:
        """``told``: the class as the report has it; ``calls``: its route's; ``speeds``: by upstream."""
        self.told, self.calls, self.speeds = told, calls, speeds
        self.answered = {call.attempt: trace.answered_ms(call) for call in calls}
        seen = statistics.median(self.answered.values()) if calls else 0.0
        self.client_ms = max(told["p50_ms"] - seen, 0.0) if calls else 0.0
        self.parts = {call.attempt: trace.parts(call, self.client_ms) for call in calls}
        self.usual = {
            part: statistics.median(getattr(one, part) for one in self.parts.values()) if calls else 0.0
            for part in PARTS
        }
        self.late = [call for call in calls if self._late(call)]
        self.lost = [call for call in calls if call.end != "200"]

    def _late(self, call: Call) -> bool:
        return call.end == "200" and self.answered[call.attempt] + self.client_ms > call.aim_ms

    def cause(self, call: Call) -> str:
        """What made this call late."""
        parts = self.parts[call.attempt]
        over = {part: getattr(parts, part) - self.usual[part] for part in PARTS}
        part = max(over, key=lambda name: over[name])
        if part != "run":
            return part.replace("_", " ")
        speed = self.speeds.get(call.tries[-1].instance, 1.0)
        rest = self.answered[call.attempt] + self.client_ms - parts.run
        return SLOW_UPSTREAM if speed < 1.0 and rest + parts.run * speed <= call.aim_ms else LONG_RUN

    def loss(self) -> Loss:
        """Shares of this class's loss by cause; the sum is 1, or there is none."""
        told = self.told
        lost = told["refused"] + told["failed"]
        whole = told["n"] * (1.0 - told["worth"])
        if whole <= 0.0:
            return {}
        late = max(whole - lost, 0.0)
        if not lost + told["late"]:
            return {UNSEEN: 1.0}
        found: Loss = defaultdict(float)
        if lost:
            found[FAILED] += (whole - late) / whole
        for call in self.late:
            found[self.cause(call)] += late / whole / max(told["late"], len(self.late))
        unseen = 1.0 - sum(found.values())
        if unseen > 1e-9:
            found[UNSEEN] += unseen
        return dict(found)

    def mean_parts(self, calls: Sequence[Call]) -> dict[str, float]:
        """Milliseconds by part, the mean of those calls."""
        some = [self.parts[call.attempt] for call in calls] or [Parts()]
        return {part: round(statistics.fmean(getattr(one, part) for one in some), 1) for part in PARTS}


def class_weights(ledgers: Mapping[str, ClassLedger]) -> Loss:
    """Each class's part of the whole day's loss, as far as the report tells worths: by calls lost."""
    lost = {name: one.told["n"] * (1.0 - one.told["worth"]) for name, one in ledgers.items()}
    whole = sum(lost.values())
    return {name: count / whole for name, count in lost.items()} if whole else {}


def calls_loss(report: Report, ledgers: Mapping[str, ClassLedger]) -> Loss:
    """What the calls cost, by class and cause."""
    weights = class_weights(ledgers)
    worst = min(report["classes"], key=lambda one: one["worth"])["name"]
    found: Loss = defaultdict(float)
    for part, weight, value in report["parts"]:
        loss = weight * (1.0 - value)
        if loss <= 0.0:
            continue
        over = {worst: 1.0} if part == "worst class" else weights
        for name, share in over.items():
            causes = {FAILED: 1.0} if part == "served at all" else ledgers[name].loss()
            for cause, of in (causes or {UNSEEN: 1.0}).items():
                found[f"{name}: {cause}"] += loss * share * of
        if not over:
            found[UNSEEN] += loss
    return dict(found)


def role_shares(report: Report, figure: str) -> Loss:
    """Parts of the roles in what a figure of their processes comes to together."""
    held = {one["role"]: one["n"] * (1.0 if figure == "n" else one[figure]) for one in report["nodes"]}
    whole = sum(held.values())
    return {role: value / whole for role, value in held.items()} if whole else {}


def price_loss(report: Report, trace: Trace) -> Loss:
    """What each price costs, by who causes it."""
    sent = trace.sent()
    bytes_all = sum(sent.values())
    by_kind = {kind: count / bytes_all for kind, count in sent.items()} if bytes_all else {UNSEEN: 1.0}
    causers = {
        "machine-seconds": role_shares(report, "n"),
        "processor seconds": role_shares(report, "cpu_mean"),
        "memory, GB x seconds": role_shares(report, "mem_peak_mb"),
        "GB between zones": by_kind,
    }
    found: Loss = {}
    for price, _, loss in report["prices"]:
        if abs(loss) > 0.0:
            for cause, share in (causers.get(price) or {"all": 1.0}).items():
                found[f"{price}: {cause}"] = loss * share
    return found


def ledger(report: Report, trace: Trace) -> dict[str, Any]:
    """All rows, as they are printed as JSON."""
    loads = upstream_loads(trace)
    speeds = {one.instance: one.speed for some in loads.values() for one in some}
    routes, by_route = match_routes(report, trace), trace.by_route()
    ledgers = {
        one["name"]: ClassLedger(one, by_route.get(routes.get(one["name"], ""), []), trace, speeds)
        for one in report["classes"]
    }
    calls, prices = calls_loss(report, ledgers), price_loss(report, trace)
    whole = sum(calls.values()) + sum(prices.values())
    return {
        "worth": report["G"],
        "loss": round(1.0 - report["G"], 4),
        "calls": _rounded(calls),
        "prices": _rounded(prices),
        "rounding": round(1.0 - report["G"] - whole, 4),
        "classes": {name: _class_row(one) for name, one in ledgers.items()},
        "bytes_between_zones": trace.sent(),
        "upstreams": {name: [asdict(one) for one in some] for name, some in loads.items()},
    }


def _rounded(loss: Loss) -> Loss:
    return {name: round(value, 5) for name, value in sorted(loss.items(), key=lambda item: -item[1])}


def _class_row(one: ClassLedger) -> dict[str, Any]:
    again = second_tries(one.calls)
    return {
        "calls": one.told["n"],
        "late": one.told["late"],
        "late_traced": len(one.late),
        "client_ms": round(one.client_ms, 1),
        "late_ms": one.mean_parts(one.late),
        "all_ms": one.mean_parts(one.calls),
        "second_tries": asdict(again) | {"by_chance": round(again.by_chance, 2)},
    }


def table(told: Mapping[str, Any]) -> list[str]:
    """The rows as lines of Markdown."""
    lines = [
        f"worth {told['worth']:.4f}, lost {told['loss']:.4f}",
        "",
        "| part | of the worth |",
        "| --- | --- |",
    ]
    for group in ("calls", "prices"):
        lines += [f"| {name} | {value:.4f} |" for name, value in told[group].items()]
    lines += [f"| rounding | {told['rounding']:.4f} |", ""]
    lines += ["| calls, ms | " + " | ".join(part.replace("_", " ") for part in PARTS) + " |"]
    lines += ["| --- " * (len(PARTS) + 1) + "|"]
    for name, row in told["classes"].items():
        for which, count in (("all", row["calls"]), ("late", row["late_traced"])):
            cells = " | ".join(f"{row[which + '_ms'][part]:.0f}" for part in PARTS)
            lines.append(f"| {name}, {which} {count} | {cells} |")
    for name, row in told["classes"].items():
        again = row["second_tries"]
        lines.append(
            f"{name}: {again['failed']} of {again['tries']} tries failed; of {again['first_failed']} calls"
            f" that were tried again {again['both_failed']} failed again, by chance {again['by_chance']}"
        )
    for routes, some in told["upstreams"].items():
        lines.append(f"upstreams of {routes}: " + ", ".join(_load(one) for one in some))
    return lines


def _load(one: Mapping[str, Any]) -> str:
    load = UpstreamLoad(**one)
    return f"{load.instance} {load.share:.2f} of the mean at speed {load.speed:.2f}"


def main() -> None:
    """The command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("report", type=Path)
    parser.add_argument("--trace", type=Path, help="what the processes wrote")
    options = parser.parse_args()
    report = json.loads(options.report.read_text())
    trace = read_trace(options.trace.read_text().splitlines()) if options.trace else Trace()
    told = ledger(report, trace)
    print("\n".join(table(told)))
    print(json.dumps(told))


if __name__ == "__main__":
    main()
