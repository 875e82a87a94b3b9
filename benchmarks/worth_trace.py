"""Reads the traces of calls that proxies write with ``--debug``, and divides up the time of each call.

A line may have any text before the event's code, such as the bench's time and the node's name. Each call has
one line from its first hop, which lists its tries, and for each try one line from the second hop with the
time in the queue and at the upstream. The rest of a try's time was spent on the link.
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
FIRST_HOP, SECOND_HOP, BYTES_SENT, ANSWER_QUEUED = 510, 511, 512, 513


@dataclass(frozen=True, slots=True)
class Try:
    """A try of a call; times in milliseconds, ``sent_ms`` from the call's arrival at its first hop."""

    instance: str
    sent_ms: float
    took_ms: float
    end: str

    @property
    def failed(self) -> bool:
        """Whether it ran, or may have run, without a usable answer."""
        return self.end.startswith(("5", "unclear"))


@dataclass(frozen=True, slots=True)
class SecondHop:
    """A try at its second hop: the time in the queue and at the upstream, in milliseconds."""

    waited_ms: float
    ran_ms: float


@dataclass(frozen=True, slots=True)
class TimeParts:
    """How a call's time divides up, in milliseconds; the parts add up to all of it.

    ``queue``: in the queue before the upstream. ``second_try``: from the first send to the last one, if there
    were several. ``turn``: the answer was ready but waited for earlier answers on its connection. The other
    parts are those of the last try, whose answer the client got.
    """

    pick: float = 0.0
    link: float = 0.0
    queue: float = 0.0
    run: float = 0.0
    second_try: float = 0.0
    turn: float = 0.0
    client: float = 0.0


PARTS = tuple(part.name for part in fields(TimeParts))


@dataclass(frozen=True, slots=True)
class Call:
    """A call as its first hop saw it; times in milliseconds."""

    attempt: str
    route: str
    aim_ms: float
    took_ms: float
    end: str
    tries: tuple[Try, ...]


@dataclass(slots=True)
class Trace:
    """The traces of all proxies of a day."""

    calls: list[Call] = field(default_factory=list)
    second_hops: dict[tuple[str, str], SecondHop] = field(default_factory=dict)  # by attempt and instance
    answer_queue_ms: dict[str, float] = field(default_factory=dict)  # milliseconds by attempt
    bytes_sent: dict[str, dict[str, int]] = field(default_factory=dict)  # by proxy and kind: last value

    def bytes_by_kind(self) -> dict[str, int]:
        """Bytes to other zones by kind, over all proxies."""
        sums: dict[str, int] = defaultdict(int)
        for counts in self.bytes_sent.values():
            for kind, count in counts.items():
                sums[kind] += count
        return dict(sums)

    def calls_by_route(self) -> dict[str, list[Call]]:
        """Calls by the name of their route."""
        calls: dict[str, list[Call]] = defaultdict(list)
        for call in self.calls:
            calls[call.route].append(call)
        return dict(calls)

    def time_parts(self, call: Call, client_ms: float) -> TimeParts:
        """Divides up a call's time. ``client_ms``: the network time to the client and back, which no proxy
        sees."""
        if not call.tries:
            return TimeParts(
                pick=call.took_ms, turn=self.answer_queue_ms.get(call.attempt, 0.0), client=client_ms
            )
        first, last = call.tries[0], call.tries[-1]
        second_hop = self.second_hops.get((call.attempt, last.instance), SecondHop(0.0, 0.0))
        remaining_ms = call.took_ms - last.sent_ms
        return TimeParts(
            pick=first.sent_ms,
            second_try=last.sent_ms - first.sent_ms,
            queue=second_hop.waited_ms,
            run=second_hop.ran_ms,
            link=remaining_ms - second_hop.waited_ms - second_hop.ran_ms,
            turn=self.answer_queue_ms.get(call.attempt, 0.0),
            client=client_ms,
        )

    def answered_ms(self, call: Call) -> float:
        """From the call's arrival until its answer was sent."""
        return call.took_ms + self.answer_queue_ms.get(call.attempt, 0.0)


def _parse_values(text: str) -> dict[str, str]:
    return {
        name: str(json.loads(value)) if value.startswith('"') else value
        for name, value in VALUE.findall(text)
    }


def _parse_number(text: str) -> float:
    return 0.0 if text in "-?" else float(text)


def _parse_tries(text: str) -> tuple[Try, ...]:
    tries = []
    for field_text in filter(None, text.split("|")):
        instance, sent, took, end = field_text.split("/", 3)
        tries.append(Try(instance, float(sent), float(took), end))
    return tuple(tries)


def read_trace(lines: Iterable[str]) -> Trace:
    """Reads a trace; lines of other events are skipped. Raises ValueError or KeyError for a truncated
    line."""
    trace = Trace()
    for line in lines:
        match = LINE.match(line)
        if match is None or int(match["number"]) not in (FIRST_HOP, SECOND_HOP, BYTES_SENT, ANSWER_QUEUED):
            continue
        number, values = int(match["number"]), _parse_values(match["text"])
        if number == FIRST_HOP:
            aim_ms, took_ms = float(values["aim_ms"]), float(values["took_ms"])
            tries = _parse_tries(values["tries"])
            trace.calls.append(
                Call(values["attempt"], values["route"], aim_ms, took_ms, values["end"], tries)
            )
        elif number == SECOND_HOP:
            second_hop = SecondHop(_parse_number(values["waited_ms"]), _parse_number(values["ran_ms"]))
            trace.second_hops[values["attempt"], values["instance"]] = second_hop
        elif number == ANSWER_QUEUED:
            trace.answer_queue_ms[values["attempt"]] = float(values["waited_ms"])
        else:
            node = match["before"].split()[-2] if len(match["before"].split()) > 1 else "-"
            kinds = ("calls", "answers", "updates")
            trace.bytes_sent[node] = {kind: int(_parse_number(values[kind])) for kind in kinds}
    return trace


@dataclass(frozen=True, slots=True)
class SecondTries:
    """Counts that show whether second tries of a call fail as often as any try does."""

    tries: int
    failed: int
    first_failed: int  # calls whose first try failed and that were retried
    both_failed: int

    @property
    def by_chance(self) -> float:
        """How many calls would fail twice if a second try failed independently of the first."""
        return self.first_failed * self.failed / self.tries if self.tries else 0.0


def second_tries(calls: Iterable[Call]) -> SecondTries:
    """Counts failed tries, and calls whose first and second tries both failed."""
    tries = failed = first_failed = both_failed = 0
    for call in calls:
        tries += len(call.tries)
        failed += sum(try_.failed for try_ in call.tries)
        if len(call.tries) > 1 and call.tries[0].failed:
            first_failed += 1
            both_failed += call.tries[1].failed
    return SecondTries(tries, failed, first_failed, both_failed)


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """The load and speed of an upstream, both relative to the mean of its service."""

    instance: str
    runs: int
    share: float
    speed: float


def upstream_loads(trace: Trace) -> dict[str, list[UpstreamLoad]]:
    """The upstreams of each service: routes with the same upstreams are counted as one service.

    ``speed`` compares runs of the same route, so a different mix of routes does not show as speed."""
    runs: dict[str, dict[str, list[float]]] = defaultdict(lambda: defaultdict(list))
    for call in trace.calls:
        for try_ in call.tries:
            second_hop = trace.second_hops.get((call.attempt, try_.instance))
            if second_hop is not None and second_hop.ran_ms > 0.0 and not try_.failed:
                runs[call.route][try_.instance].append(second_hop.ran_ms)
    services: dict[frozenset[str], list[str]] = defaultdict(list)
    for route, by_instance in runs.items():
        services[frozenset(by_instance)].append(route)
    loads = {}
    for instances, routes in services.items():
        if len(instances) < 2:
            continue
        counts = {instance: sum(len(runs[route][instance]) for route in routes) for instance in instances}
        mean = sum(counts.values()) / len(counts)
        loads[",".join(sorted(routes))] = [
            UpstreamLoad(
                instance,
                counts[instance],
                counts[instance] / mean,
                _relative_speed([runs[route] for route in routes], instance),
            )
            for instance in sorted(instances, key=lambda name: (-counts[name], name))
        ]
    return loads


def _relative_speed(runs_by_route: Sequence[dict[str, list[float]]], instance: str) -> float:
    """The median run time of all upstreams over that of this one, averaged over routes by its runs."""
    ratios = []
    for runs in runs_by_route:
        route_median = statistics.median(ran for times in runs.values() for ran in times)
        own_median = statistics.median(runs[instance])
        ratios.append((len(runs[instance]), route_median / max(own_median, 0.1)))
    return sum(count * ratio for count, ratio in ratios) / sum(count for count, _ in ratios)
