"""The CPU cost of decisions, charged to each sidecar by kind of work and by second, as in the operators'
simulator.

If a sidecar exceeds its budget in a second, the calls that it accepted in that second count as late. The
costs come from the scenario, and the balancer's work is counted rather than timed, so that a run does not
depend on the machine.
"""

from __future__ import annotations

from hareloom import interface as api
from lab.calls import Call
from lab.measures import Measures
from lab.scenario_tables import Cpu

SECOND_MS = 1000.0


class CpuMeter:
    """The CPU account of one sidecar. Costs are in microseconds, as the budget is."""

    def __init__(self, budget: Cpu, measures: Measures) -> None:
        self._budget, self._measures = budget, measures
        self.costs = budget.costs()
        self._second, self._spent = -1, 0.0
        self._calls: list[Call] = []  # accepted in this second
        self.total, self.seconds_over_budget = 0.0, 0  # cost in all, and seconds over the budget

    def charge(self, now: float, event: api.Event, sends: int, examined: float) -> None:
        """Charges an event with the sends that it led to; ``examined`` servers were examined for them."""
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
        """Called when the sidecar has accepted a try of a call."""
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
