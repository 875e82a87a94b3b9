"""The CPU that decisions cost a sidecar: booked by kind of work and by second, as the operators' simulator
does.

A second in which a sidecar needs more than its budget makes the calls that it took in that second late. Costs
are figures of the scenario, so that a play does not hang on the machine; what the module does is counted, not
timed.
"""

from __future__ import annotations

from hareloom import interface as api
from lab.calls import Call
from lab.measures import Measures
from lab.scenario_tables import Cpu

SECOND_MS = 1000.0


class CpuMeter:
    """One sidecar's. Costs in microseconds of the budget."""

    def __init__(self, made: Cpu, measures: Measures) -> None:
        self._budget, self._measures = made, measures
        self.costs = made.costs()
        self._second, self._spent = -1, 0.0
        self._calls: list[Call] = []  # taken in this second
        self.total, self.seconds_over_budget = 0.0, 0  # in all, and seconds that went over

    def charge(self, now: float, event: api.Event, sends: int, examined: float) -> None:
        """An event's cost with what came of it: ``examined`` servers were examined for its sends."""
        costs = self.costs
        if isinstance(event, api.Request):
            cost = costs["request"]
        elif isinstance(event, api.AttemptEnded):
            cost = costs["ended"]
        elif isinstance(event, api.Timer):
            cost = costs["timer"]
        elif isinstance(event, api.ServerList):
            cost = costs["other"] + costs["entry"] * len(event.entries)
        else:
            cost = costs["other"]
        self._add(now, cost + sends * costs["pick"] + examined * costs["look"])

    def _add(self, now: float, cost: float) -> None:
        self._start_second(now)
        before = self._spent
        self._spent += cost
        self.total += cost
        if before <= self._budget.per_s < self._spent:
            self.seconds_over_budget += 1
            for call in self._calls:
                self._measures.cpu_delayed(call)
            self._calls.clear()

    def request_accepted(self, now: float, call: Call) -> None:
        """A call's try was taken."""
        self._start_second(now)
        if self._spent > self._budget.per_s:
            self._measures.cpu_delayed(call)
        else:
            self._calls.append(call)

    def _start_second(self, now: float) -> None:
        second = int(now / SECOND_MS)
        if second != self._second:
            self._second, self._spent = second, 0.0
            self._calls.clear()
