"""What a play is measured by: worth, outcomes over time, load at servers, and one row that sums it up."""

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
RECOVERED_SHARE = 0.95  # recovered: so much of the service before the first trouble


class Bin:
    """What happened in a quarter of a second. Worth counts where its call began."""

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
    """A play in one row. Shares are of what was asked, times in ms; `recovered_ms` runs from the last
    trouble's end until service is back, to stay: infinite where it is not, NaN without a trouble."""

    score: float  # service by the scenario's goal; 0 where a rule is broken or the play did not end
    service: float
    worst_window: float
    worst_class: float
    worst_member: float
    late: float  # of the worth
    refused: float  # of the tries
    failed: float
    lost: float
    attempts: float  # a call
    connects: float  # a call
    wasted: float  # attempts served that nobody waited for, a call
    p50_ms: float
    p99_ms: float
    peak: float  # the most that came to a starting server, of what it could do
    falls: int  # of starting servers
    chokes: int
    recovered_ms: float
    calls: int
    broke_lost: int
    broke_twice: int
    broke_drain: int
    broke_fall: int
    ran_twice: int
    fault: str  # why the play did not end; else empty
    events: int
    # How evenly calls came to servers (lab/evenness.py); NaN where nothing could be measured.
    spread_500: float = math.nan  # of counts over servers, of what independent random callers make: in 500 ms
    spread_1s: float = math.nan
    spread_5s: float = math.nan
    waste: float = math.nan  # worker time idle while a call waited at another server, of all
    unused: int = 0  # windows of 5 s in which a sound server had nothing
    herd: float = math.nan  # the most that came to servers just listed, of their part
    crest: float = math.nan  # to any one server after a cause that many hear of


class Measures:
    def __init__(self, scenario: Scenario, clock: Clock) -> None:
        self.scenario, self.clock = scenario, clock
        self.bins: list[Bin] = []
        self.wasted = self.chokes = self.falls = self.warm_falls = 0
        self.storm_changes: list[
            tuple[int, Change]
        ] = []  # of the state of storms, by sidecar, in their order
        self.latencies: list[float] = []
        self.offered_worth: dict[tuple[str, int], float] = {}
        self.earned_worth: dict[tuple[str, int], float] = {}
        self.late = 0.0
        self._settle_ms = scenario.settle_ms
        self._bin, self._until = Bin(), -1.0

    def bin(self) -> Bin:
        now = self.clock.now
        if now >= self._until:
            self._bin = self.bin_at(now)
            self._until = (math.floor(now / BIN_MS) + 1) * BIN_MS
        return self._bin

    def bin_at(self, instant: float) -> Bin:
        number = int(instant / BIN_MS)
        while len(self.bins) <= number:
            self.bins.append(Bin())
        return self.bins[number]

    # What happens

    def call_started(self, call: Call) -> None:
        made = self.bin()
        made.first += 1
        made.asked += call.worth
        if call.started_at >= self._settle_ms:
            place = (call.klass.name, call.member)
            self.offered_worth[place] = self.offered_worth.get(place, 0.0) + call.worth

    def record_outcome(self, what: str) -> None:
        made = self.bin()
        setattr(made, what, getattr(made, what) + 1)

    def record_served(self, call: Call, spent: float) -> None:
        klass = call.klass
        if spent > klass.deadline_ms + self.scenario.allow.answer_slack_ms:
            return
        got = call.worth * (1.0 if spent <= klass.aim_ms and not call.cpu_delayed else klass.late_worth)
        call.earned = got
        self.bin_at(call.started_at).got += got
        if call.started_at >= self._settle_ms:
            place = (klass.name, call.member)
            self.earned_worth[place] = self.earned_worth.get(place, 0.0) + got
            self.late += call.worth - got
            self.latencies.append(spent)

    def cpu_delayed(self, call: Call) -> None:
        """Its sidecar ran out of CPU in the second in which it took the call: its answer is a late one."""
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

    def record_load(self, server: int, part: float) -> None:
        peak = self.bin().peak
        if part > peak.get(server, 0.0):
            peak[server] = part

    def record_fall(self, cold: bool) -> None:
        self.falls += cold
        self.warm_falls += not cold

    # What several processes of one play counted

    def export(self) -> dict[str, Any]:
        """As MessagePack takes it."""
        names = [name for name in Bin.__slots__ if name != "peak"]
        return {
            "bins": [
                [[getattr(made, name) for name in names], list(made.peak.items())] for made in self.bins
            ],
            "counts": [self.wasted, self.chokes, self.falls, self.warm_falls, self.late],
            "latencies": self.latencies,
            "asked": [[*place, worth] for place, worth in self.offered_worth.items()],
            "got": [[*place, worth] for place, worth in self.earned_worth.items()],
        }

    def merge(self, exported: dict[str, Any]) -> None:
        names = [name for name in Bin.__slots__ if name != "peak"]
        for number, (values, peaks) in enumerate(exported["bins"]):
            made = self.bin_at(number * BIN_MS)
            for name, value in zip(names, values, strict=True):
                setattr(made, name, getattr(made, name) + value)
            for server, part in peaks:
                made.peak[server] = max(made.peak.get(server, 0.0), part)
        wasted, choked, falls, warm_falls, late = exported["counts"]
        self.wasted += wasted
        self.chokes += choked
        self.falls += falls
        self.warm_falls += warm_falls
        self.late += late
        self.latencies += exported["latencies"]
        for into, rows in ((self.offered_worth, exported["asked"]), (self.earned_worth, exported["got"])):
            for klass, member, worth in rows:
                into[klass, member] = into.get((klass, member), 0.0) + worth

    # What it came to

    def row(
        self,
        broken: dict[str, int],
        ran_twice: int,
        peak: float,
        fault: str,
        events: int,
        even: Evenness | None = None,
    ) -> Row:
        first = int(self._settle_ms / BIN_MS)
        # Calls of the last seconds may still be out; what counts ends a deadline before the end.
        most = max(item.deadline_ms for item in self.scenario.classes)
        last = max(int((1000.0 * self.scenario.seconds - most) / BIN_MS), first + 1)
        bins = self.bins[first:last] or [Bin()]
        calls = max(sum(b.first for b in bins), 1)
        tries = max(sum(b.offered for b in bins), 1)
        service = earned_share(bins)
        goal = self.scenario.goal
        width = max(int(goal.window_ms / BIN_MS), 1)
        window = min(
            (earned_share(bins[at : at + width]) for at in range(max(len(bins) - width, 0) + 1)), default=1.0
        )
        klass = self._worst(
            [(item.name, m) for m in range(len(self.scenario.members))] for item in self.scenario.classes
        )
        member = self._worst(
            [(item.name, m) for item in self.scenario.classes] for m in range(len(self.scenario.members))
        )
        weights = goal.whole + goal.window + goal.klass + goal.member
        score = goal.whole * service + goal.window * window + goal.klass * klass + goal.member * member
        until = 1000.0 * self.scenario.seconds
        spreads = even.dispersion(until) if even is not None else (math.nan,) * 3
        rules = {**broken, "fall": self.falls}
        kept = not any(rules.values()) and not fault
        ranked = sorted(self.latencies)
        return Row(
            score=score / max(weights, 1e-9) if kept else 0.0,
            service=service,
            worst_window=window,
            worst_class=klass,
            worst_member=member,
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
            waste=even.waste() if even is not None else math.nan,
            unused=even.unused(until) if even is not None else 0,
            herd=even.herds(until).get("listed", math.nan) if even is not None else math.nan,
            crest=even.crest(until) if even is not None else math.nan,
        )

    def _worst(self, groups: Any) -> float:
        shares = []
        for places in groups:
            asked = sum(self.offered_worth.get(place, 0.0) for place in places)
            if asked > 0:
                shares.append(sum(self.earned_worth.get(place, 0.0) for place in places) / asked)
        return min(shares, default=1.0)

    def recovery_ms(self) -> float:
        troubles = self.scenario.troubles
        if not troubles:
            return math.nan
        begin = min(item.at_ms for item in troubles)
        end = max(item.at_ms + item.for_ms * (2 * item.times - 1) + item.spread_ms for item in troubles)
        before = self.bins[int(self._settle_ms / BIN_MS) : int(begin / BIN_MS)]
        level, second = RECOVERED_SHARE * earned_share(before), int(1000.0 / BIN_MS)
        most = max(item.deadline_ms for item in self.scenario.classes)
        last = int((1000.0 * self.scenario.seconds - most) / BIN_MS) - second
        at = int(end / BIN_MS)
        for number in range(last, at - 1, -1):  # from the end backwards: it has to stay so
            if earned_share(self.bins[number : number + second]) < level:
                return math.inf if number >= last - second else (number + second - at) * BIN_MS
        return 0.0


def earned_share(bins: list[Bin]) -> float:
    """Worth got of worth asked; 1 where nothing was."""
    asked = sum(b.asked for b in bins)
    return sum(b.got for b in bins) / asked if asked > 0 else 1.0


def _quantile(ranked: list[float], part: float) -> float:
    return ranked[min(int(part * len(ranked)), len(ranked) - 1)] if ranked else math.nan
