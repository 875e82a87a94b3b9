"""Reads the trace of calls that proxies write with ``--debug``, and parts the time of each call.

Lines may have anything before the event's code, such as the bench's time and the node's name. Of one call the
first hop's line tells its tries, and for each try the second hop's line tells how long it waited for a place
and was at the upstream; what is left of a try is the link's.
"""

from __future__ import annotations

import json
import re
import statistics
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, fields

LINE = re.compile(r"(?P<before>.*?)\b[DIWE](?P<number>\d{3}) (?P<text>.*)")
VALUE = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')
FIRST_HOP, SECOND_HOP, BYTES, TURN = 510, 511, 512, 513


@dataclass(frozen=True, slots=True)
class Try:
    """Milliseconds; ``sent_ms`` counts from the call's arrival at its first hop."""

    instance: str
    sent_ms: float
    took_ms: float
    end: str

    @property
    def failed(self) -> bool:
        """It ran, or may have, and gave no answer that a client wants."""
        return self.end.startswith(("5", "unclear"))


@dataclass(frozen=True, slots=True)
class Stay:
    """A try at its second hop, in milliseconds."""

    waited_ms: float
    ran_ms: float


@dataclass(frozen=True, slots=True)
class Parts:
    """Where a call's time went, in milliseconds; the sum is all of it.

    ``queue``: waiting for a place before the upstream. ``second_try``: all from the first send to the last,
    where there was more than one. ``turn``: the answer stood ready, those before it on its connection had not
    left. The other parts are the last try's, whose answer the client has.
    """

    pick: float = 0.0
    link: float = 0.0
    queue: float = 0.0
    run: float = 0.0
    second_try: float = 0.0
    turn: float = 0.0
    client: float = 0.0


PARTS = tuple(part.name for part in fields(Parts))


@dataclass(frozen=True, slots=True)
class Call:
    """A call as its first hop had it; times in milliseconds."""

    attempt: str
    route: str
    aim_ms: float
    took_ms: float
    end: str
    tries: tuple[Try, ...]


@dataclass(slots=True)
class Trace:
    """What the proxies of a day wrote."""

    calls: list[Call] = field(default_factory=list)
    stays: dict[tuple[str, str], Stay] = field(default_factory=dict)  # by attempt and instance
    turns: dict[str, float] = field(default_factory=dict)  # milliseconds by attempt
    bytes_sent: dict[str, dict[str, int]] = field(default_factory=dict)  # by proxy, by kind: the last told

    def sent(self) -> dict[str, int]:
        """Bytes to other zones by kind, over all proxies."""
        sums: dict[str, int] = defaultdict(int)
        for one in self.bytes_sent.values():
            for kind, count in one.items():
                sums[kind] += count
        return dict(sums)

    def by_route(self) -> dict[str, list[Call]]:
        """Calls by the name of their route."""
        found: dict[str, list[Call]] = defaultdict(list)
        for call in self.calls:
            found[call.route].append(call)
        return dict(found)

    def parts(self, call: Call, client_ms: float) -> Parts:
        """``client_ms``: the way from the client and back, which no proxy sees."""
        if not call.tries:
            return Parts(pick=call.took_ms, turn=self.turns.get(call.attempt, 0.0), client=client_ms)
        first, last = call.tries[0], call.tries[-1]
        stay = self.stays.get((call.attempt, last.instance), Stay(0.0, 0.0))
        left = call.took_ms - last.sent_ms
        return Parts(
            pick=first.sent_ms,
            second_try=last.sent_ms - first.sent_ms,
            queue=stay.waited_ms,
            run=stay.ran_ms,
            link=left - stay.waited_ms - stay.ran_ms,
            turn=self.turns.get(call.attempt, 0.0),
            client=client_ms,
        )

    def answered_ms(self, call: Call) -> float:
        """From the call's arrival until its answer left."""
        return call.took_ms + self.turns.get(call.attempt, 0.0)


def _values(text: str) -> dict[str, str]:
    return {
        name: str(json.loads(value)) if value.startswith('"') else value
        for name, value in VALUE.findall(text)
    }


def _number(text: str) -> float:
    return 0.0 if text in "-?" else float(text)


def _tries(text: str) -> tuple[Try, ...]:
    found = []
    for part in filter(None, text.split("|")):
        instance, sent, took, end = part.split("/", 3)
        found.append(Try(instance, float(sent), float(took), end))
    return tuple(found)


def read_trace(lines: Iterable[str]) -> Trace:
    """Lines of other events are passed over. Raises ValueError or KeyError for one that is cut off."""
    trace = Trace()
    for line in lines:
        match = LINE.match(line)
        if match is None or int(match["number"]) not in (FIRST_HOP, SECOND_HOP, BYTES, TURN):
            continue
        number, values = int(match["number"]), _values(match["text"])
        if number == FIRST_HOP:
            aim_ms, took_ms = float(values["aim_ms"]), float(values["took_ms"])
            tries = _tries(values["tries"])
            trace.calls.append(
                Call(values["attempt"], values["route"], aim_ms, took_ms, values["end"], tries)
            )
        elif number == SECOND_HOP:
            stay = Stay(_number(values["waited_ms"]), _number(values["ran_ms"]))
            trace.stays[values["attempt"], values["instance"]] = stay
        elif number == TURN:
            trace.turns[values["attempt"]] = float(values["waited_ms"])
        else:
            node = match["before"].split()[-2] if len(match["before"].split()) > 1 else "-"
            kinds = ("calls", "answers", "updates")
            trace.bytes_sent[node] = {kind: int(_number(values[kind])) for kind in kinds}
    return trace


@dataclass(frozen=True, slots=True)
class SecondTries:
    """Whether a second try of a call fails as often as any try does."""

    tries: int
    failed: int
    first_failed: int  # calls whose first try failed, and that were tried again
    both_failed: int

    @property
    def by_chance(self) -> float:
        """How many would fail twice if each try failed alike, whatever became of the first."""
        return self.first_failed * self.failed / self.tries if self.tries else 0.0


def second_tries(calls: Iterable[Call]) -> SecondTries:
    """Counts tries that failed, and calls whose first and second both did."""
    tries = failed = first_failed = both = 0
    for call in calls:
        tries += len(call.tries)
        failed += sum(one.failed for one in call.tries)
        if len(call.tries) > 1 and call.tries[0].failed:
            first_failed += 1
            both += call.tries[1].failed
    return SecondTries(tries, failed, first_failed, both)


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """What an upstream got and how quick it was, each relative to the mean of its service."""

    instance: str
    runs: int
    share: float
    speed: float


def upstream_loads(trace: Trace) -> dict[str, list[UpstreamLoad]]:
    """By route's upstreams taken together where they are the same: a service. ``speed`` compares runs of one
    route with one another, so a different mixture of routes does not show as speed."""
    runs: dict[str, dict[str, list[float]]] = defaultdict(lambda: defaultdict(list))
    for call in trace.calls:
        for one in call.tries:
            stay = trace.stays.get((call.attempt, one.instance))
            if stay is not None and stay.ran_ms > 0.0 and not one.failed:
                runs[call.route][one.instance].append(stay.ran_ms)
    services: dict[frozenset[str], list[str]] = defaultdict(list)
    for route, by_instance in runs.items():
        services[frozenset(by_instance)].append(route)
    found = {}
    for instances, routes in services.items():
        if len(instances) < 2:
            continue
        counts = {one: sum(len(runs[route][one]) for route in routes) for one in instances}
        mean = sum(counts.values()) / len(counts)
        found[",".join(sorted(routes))] = [
            UpstreamLoad(one, counts[one], counts[one] / mean, _speed([runs[r] for r in routes], one))
            for one in sorted(instances, key=lambda name: (-counts[name], name))
        ]
    return found


def _speed(by_route: Sequence[dict[str, list[float]]], instance: str) -> float:
    """The usual run of the route over that of this upstream, weighed by its runs."""
    ratios = []
    for runs in by_route:
        usual = statistics.median(ran for some in runs.values() for ran in some)
        own = statistics.median(runs[instance])
        ratios.append((len(runs[instance]), usual / max(own, 0.1)))
    return sum(count * ratio for count, ratio in ratios) / sum(count for count, _ in ratios)
