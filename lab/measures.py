"""The measures of a run: worth, outcomes over time, load at servers, and one row that summarizes them."""

from __future__ import annotations

import math
from typing import Any

import msgspec

from anisestair.storms.state import Change
from lab.calls import Call
from lab.clock import Clock
from lab.evenness import Evenness
from lab.scenario_tables import Scenario

BIN_MS = 250.0
RECOVERED_SHARE = 0.95  # share of the service before the first trouble that counts as recovered


class Bin:
    """Counts of a quarter of a second. Worth counts in the bin in which its call began.

    ``first``: calls started; ``offered``: tries; ``sent``: attempts; ``asked`` and ``got``: worth offered and
    earned; ``peak``: highest load by server, relative to its capacity. Results are stored under these names.
    """

    __slots__ = (
        *("first", "offered", "sent", "connects", "served", "refused", "failed", "lost", "cut"),
        *("asked", "got", "peak"),
    )

    def __init__(self) -> None:
        self.first = self.offered = self.sent = self.connects = 0
        self.served = self.refused = self.failed = self.lost = self.cut = 0
        self.asked = self.got = 0.0
        self.peak: dict[int, float] = {}


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """The summary of a run, stored under these names. Shares are of the worth offered; times are in ms.

    ``recovered_ms`` is the time from the end of the last trouble until service is back permanently: infinite
    if it never is, NaN without a trouble.
    """

    score: float  # service weighted by the scenario's goal; 0 if a rule was broken or the run failed
    service: float
    worst_window: float
    worst_class: float
    worst_member: float
    late: float  # share of the worth lost to late answers
    refused: float  # share of the tries, as for the next two
    failed: float
    lost: float
    attempts: float  # per call
    connects: float  # per call
    wasted: float  # attempts served after the sidecar gave them up, per call
    p50_ms: float
    p99_ms: float
    peak: float  # highest load of a cold server, relative to its capacity at that time
    falls: int  # overload crashes of cold servers
    chokes: int
    recovered_ms: float
    calls: int
    broke_lost: int
    broke_twice: int
    broke_drain: int
    broke_fall: int
    ran_twice: int
    fault: str  # why the run failed; empty otherwise
    events: int
    # Evenness of the load (lab/evenness.py); NaN if nothing could be measured.
    # Spread of counts over servers relative to independent random choice, in windows of 500 ms, 1 s and 5 s.
    spread_500: float = math.nan
    spread_1s: float = math.nan
    spread_5s: float = math.nan
    waste: float = math.nan  # share of worker time idle while a call waited at another server
    unused: int = 0  # windows of 5 s in which a healthy server received nothing
    herd: float = math.nan  # peak load of servers just listed, relative to their fair share
    crest: float = math.nan  # peak load of any server after such an event, relative to its fair share


class Measures:
    """Collects the measures of a run."""

    def __init__(self, scenario: Scenario, clock: Clock) -> None:
        self.scenario, self.clock = scenario, clock
        self.bins: list[Bin] = []
        self.wasted = self.chokes = self.falls = self.warm_falls = 0
        # Changes of the storm state with the number of the sidecar, in their order.
        self.storm_changes: list[tuple[int, Change]] = []
        self.latencies: list[float] = []
        self.offered_worth: dict[tuple[str, int], float] = {}
        self.earned_worth: dict[tuple[str, int], float] = {}
        self.late = 0.0
        self._settle_ms = scenario.settle_ms
        self._bin, self._until = Bin(), -1.0

    def bin(self) -> Bin:
        """Returns the bin of the present instant."""
        now = self.clock.now
        if now >= self._until:
            self._bin = self.bin_at(now)
            self._until = (math.floor(now / BIN_MS) + 1) * BIN_MS
        return self._bin

    def bin_at(self, instant: float) -> Bin:
        """Returns the bin of an instant."""
        number = int(instant / BIN_MS)
        while len(self.bins) <= number:
            self.bins.append(Bin())
        return self.bins[number]

    # Events

    def call_started(self, call: Call) -> None:
        """Records the start of a call."""
        current = self.bin()
        current.first += 1
        current.asked += call.worth
        if call.started_at >= self._settle_ms:
            class_and_member = (call.klass.name, call.member)
            self.offered_worth[class_and_member] = self.offered_worth.get(class_and_member, 0.0) + call.worth

    def record_outcome(self, outcome: str) -> None:
        """Counts the outcome of a try; it names a field of `Bin`."""
        current = self.bin()
        setattr(current, outcome, getattr(current, outcome) + 1)

    def record_served(self, call: Call, latency_ms: float) -> None:
        """Records the answer to a call, unless it is later than the deadline allows."""
        klass = call.klass
        if latency_ms > klass.deadline_ms + self.scenario.allow.answer_slack_ms:
            return
        worth = call.worth * (
            1.0 if latency_ms <= klass.aim_ms and not call.cpu_delayed else klass.late_worth
        )
        call.earned = worth
        self.bin_at(call.started_at).got += worth
        if call.started_at >= self._settle_ms:
            class_and_member = (klass.name, call.member)
            self.earned_worth[class_and_member] = self.earned_worth.get(class_and_member, 0.0) + worth
            self.late += call.worth - worth
            self.latencies.append(latency_ms)

    def cpu_delayed(self, call: Call) -> None:
        """Counts a call's answer as late: its sidecar exceeded its CPU budget when it accepted the call."""
        if call.cpu_delayed:
            return
        call.cpu_delayed = True
        late = call.worth * call.klass.late_worth
        if call.earned > late:
            lost, call.earned = call.earned - late, late
            self.bin_at(call.started_at).got -= lost
            if call.started_at >= self._settle_ms:
                self.earned_worth[(call.klass.name, call.member)] -= lost
                self.late += lost

    def record_load(self, server: int, load_ratio: float) -> None:
        """Records the load of a server, relative to its capacity."""
        peak = self.bin().peak
        if load_ratio > peak.get(server, 0.0):
            peak[server] = load_ratio

    def record_fall(self, cold: bool) -> None:
        """Counts an overload crash."""
        self.falls += cold
        self.warm_falls += not cold

    # Exchange between the processes of a run over sockets

    def export(self) -> dict[str, Any]:
        """Returns the measures in a form that MessagePack can encode."""
        names = [name for name in Bin.__slots__ if name != "peak"]
        return {
            "bins": [
                [[getattr(counts, name) for name in names], list(counts.peak.items())] for counts in self.bins
            ],
            "counts": [self.wasted, self.chokes, self.falls, self.warm_falls, self.late],
            "latencies": self.latencies,
            "asked": [[*class_and_member, worth] for class_and_member, worth in self.offered_worth.items()],
            "got": [[*class_and_member, worth] for class_and_member, worth in self.earned_worth.items()],
        }

    def merge(self, exported: dict[str, Any]) -> None:
        """Adds the exported measures of another process."""
        names = [name for name in Bin.__slots__ if name != "peak"]
        for number, (values, peaks) in enumerate(exported["bins"]):
            target = self.bin_at(number * BIN_MS)
            for name, value in zip(names, values, strict=True):
                setattr(target, name, getattr(target, name) + value)
            for server, load_ratio in peaks:
                target.peak[server] = max(target.peak.get(server, 0.0), load_ratio)
        wasted, chokes, falls, warm_falls, late = exported["counts"]
        self.wasted += wasted
        self.chokes += chokes
        self.falls += falls
        self.warm_falls += warm_falls
        self.late += late
        self.latencies += exported["latencies"]
        for into, rows in ((self.offered_worth, exported["asked"]), (self.earned_worth, exported["got"])):
            for klass, member, worth in rows:
                into[klass, member] = into.get((klass, member), 0.0) + worth

    # Summary

    def row(
        self,
        violations: dict[str, int],
        ran_twice: int,
        peak: float,
        fault: str,
        events: int,
        evenness: Evenness | None = None,
    ) -> Row:
        """Returns the summary of the run."""
        first = int(self._settle_ms / BIN_MS)
        # Calls of the last seconds may still be open, so the longest deadline before the end is not counted.
        longest_deadline = max(item.deadline_ms for item in self.scenario.classes)
        last = max(int((1000.0 * self.scenario.seconds - longest_deadline) / BIN_MS), first + 1)
        bins = self.bins[first:last] or [Bin()]
        calls = max(sum(b.first for b in bins), 1)
        tries = max(sum(b.offered for b in bins), 1)
        service = earned_share(bins)
        goal = self.scenario.goal
        width = max(int(goal.window_ms / BIN_MS), 1)
        worst_window = min(
            (earned_share(bins[at : at + width]) for at in range(max(len(bins) - width, 0) + 1)), default=1.0
        )
        worst_class = self._worst(
            [(item.name, m) for m in range(len(self.scenario.members))] for item in self.scenario.classes
        )
        worst_member = self._worst(
            [(item.name, m) for item in self.scenario.classes] for m in range(len(self.scenario.members))
        )
        weights = goal.whole + goal.window + goal.klass + goal.member
        score = (
            goal.whole * service
            + goal.window * worst_window
            + goal.klass * worst_class
            + goal.member * worst_member
        )
        until = 1000.0 * self.scenario.seconds
        spreads = evenness.dispersion(until) if evenness is not None else (math.nan,) * 3
        rules = {**violations, "fall": self.falls}
        rules_kept = not any(rules.values()) and not fault
        ranked = sorted(self.latencies)
        return Row(
            score=score / max(weights, 1e-9) if rules_kept else 0.0,
            service=service,
            worst_window=worst_window,
            worst_class=worst_class,
            worst_member=worst_member,
            late=self.late / max(sum(self.offered_worth.values()), 1e-9),
            refused=sum(b.refused for b in bins) / tries,
            failed=sum(b.failed for b in bins) / tries,
            lost=sum(b.lost for b in bins) / tries,
            attempts=sum(b.sent for b in bins) / calls,
            connects=sum(b.connects for b in bins) / calls,
            wasted=self.wasted / calls,
            p50_ms=_quantile(ranked, 0.5),
            p99_ms=_quantile(ranked, 0.99),
            peak=peak,
            falls=self.falls,
            chokes=self.chokes,
            recovered_ms=self.recovery_ms(),
            calls=calls,
            broke_lost=rules.get("lost", 0),
            broke_twice=rules.get("twice", 0),
            broke_drain=rules.get("drain", 0),
            broke_fall=rules["fall"],
            ran_twice=ran_twice,
            fault=fault,
            events=events,
            spread_500=spreads[0],
            spread_1s=spreads[1],
            spread_5s=spreads[2],
            waste=evenness.waste() if evenness is not None else math.nan,
            unused=evenness.unused(until) if evenness is not None else 0,
            herd=evenness.herds(until).get("listed", math.nan) if evenness is not None else math.nan,
            crest=evenness.crest(until) if evenness is not None else math.nan,
        )

    def _worst(self, groups: Any) -> float:
        shares = []
        for classes_and_members in groups:
            asked = sum(
                self.offered_worth.get(class_and_member, 0.0) for class_and_member in classes_and_members
            )
            if asked > 0:
                shares.append(
                    sum(
                        self.earned_worth.get(class_and_member, 0.0)
                        for class_and_member in classes_and_members
                    )
                    / asked
                )
        return min(shares, default=1.0)

    def recovery_ms(self) -> float:
        """Returns the time until service was back permanently after the last trouble, as in `Row`."""
        troubles = self.scenario.troubles
        if not troubles:
            return math.nan
        begin = min(item.at_ms for item in troubles)
        end = max(item.at_ms + item.for_ms * (2 * item.times - 1) + item.spread_ms for item in troubles)
        before = self.bins[int(self._settle_ms / BIN_MS) : int(begin / BIN_MS)]
        level, second = RECOVERED_SHARE * earned_share(before), int(1000.0 / BIN_MS)
        longest_deadline = max(item.deadline_ms for item in self.scenario.classes)
        last = int((1000.0 * self.scenario.seconds - longest_deadline) / BIN_MS) - second
        at = int(end / BIN_MS)
        for number in range(last, at - 1, -1):  # backwards from the end, since service must stay back
            if earned_share(self.bins[number : number + second]) < level:
                return math.inf if number >= last - second else (number + second - at) * BIN_MS
        return 0.0


def earned_share(bins: list[Bin]) -> float:
    """Returns the share of the offered worth that was earned; 1 if none was offered."""
    asked = sum(b.asked for b in bins)
    return sum(b.got for b in bins) / asked if asked > 0 else 1.0


def _quantile(ranked: list[float], quantile: float) -> float:
    return ranked[min(int(quantile * len(ranked)), len(ranked) - 1)] if ranked else math.nan
