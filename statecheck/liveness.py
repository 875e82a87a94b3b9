"""Liveness checking: deadlocks and fair cycles in which an obligation is never fulfilled."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import Any

from statecheck.model import Model, Violation
from statecheck.search import Report, StateTable, explore


@dataclass
class LivenessReport:
    """The result of a liveness check. If an obligation may stay unfulfilled forever, ``trace`` leads to a
    state where it stays so, and ``cycle`` repeats from there; an empty cycle denotes a deadlock."""

    report: Report
    obligation: Hashable | None = None
    trace: list[Any] = field(default_factory=list)
    cycle: list[Any] = field(default_factory=list)

    @property
    def violation(self) -> Violation | None:
        """The violated safety property or the obligation that may stay unfulfilled, if any."""
        if self.report.violation is not None or self.obligation is None:
            return self.report.violation
        where = "in a fair cycle" if self.cycle else "in a deadlock"
        return Violation("owed for ever", f"{self.obligation} stays unfulfilled forever {where}")


def check_liveness(model: Model, **bounds: Any) -> LivenessReport:
    """Search for a reachable deadlock with an unfulfilled obligation, or for a cycle in which one is never
    fulfilled and that weak fairness allows: each fair event that is enabled in all its states is taken in it.

    Examines the strongly connected components of the states with the obligation. If a component contains no
    transition of a fair event that is enabled in all its states, neither does any cycle in it; otherwise a
    tour of the whole component is a fair cycle. Runs without symmetry and partial-order reduction, since
    obligations name concrete objects and every event of a cycle matters.
    """
    store, edges = StateTable(), list[tuple[int, int, int]]()
    report = explore(model, symmetry=False, partial_order=False, edges=edges, store=store, **bounds)
    result = LivenessReport(report)
    if report.violation is not None or not report.complete:
        return result
    successors: list[list[tuple[int, int]]] = [[] for _ in range(len(store))]
    for source, event, target in edges:
        successors[source].append((event, target))
    obligations = [frozenset(model.obligations(store.state(index))) for index in range(len(store))]
    for index, targets in enumerate(successors):
        if obligations[index] and not targets:
            return _with_counterexample(result, store, index, min(obligations[index], key=str), [])
    for obligation in sorted(frozenset().union(*obligations), key=str):
        for component in _components(successors, [obligation in member for member in obligations]):
            transitions = [
                (source, event, target)
                for source in component
                for event, target in successors[source]
                if target in component
            ]
            if not transitions:
                continue
            taken = {model.fairness_label(store.part_value(event)) for _, event, _ in transitions}
            always = frozenset.intersection(
                *(
                    frozenset(
                        model.fairness_label(store.part_value(event)) for event, _ in successors[source]
                    )
                    for source in component
                )
            )
            if always - taken - {None}:
                continue  # weak fairness forces an event that leaves the component
            return _with_counterexample(
                result,
                store,
                min(component),
                obligation,
                [store.part_value(event) for _, event, _ in transitions[:8]],
            )
    return result


def _with_counterexample(
    result: LivenessReport, store: StateTable, index: int, obligation: Hashable, cycle: list[Any]
) -> LivenessReport:
    result.obligation, result.cycle, result.report.complete = obligation, cycle, False
    path = [index]
    while store.parents[path[-1]] >= 0:
        path.append(store.parents[path[-1]])
    result.trace = [store.part_value(store.reached_by[member]) for member in reversed(path[:-1])]
    return result


def _components(successors: list[list[tuple[int, int]]], included: list[bool]) -> list[set[int]]:
    """Return the strongly connected components of the ``included`` states (Tarjan 1972, iterative)."""
    order: dict[int, int] = {}
    low: dict[int, int] = {}
    stack: list[int] = []
    on_stack: set[int] = set()
    found: list[set[int]] = []
    for root in range(len(successors)):
        if not included[root] or root in order:
            continue
        work: list[tuple[int, int]] = [(root, 0)]
        while work:
            node, next_position = work.pop()
            if next_position == 0:
                order[node] = low[node] = len(order)
                stack.append(node)
                on_stack.add(node)
            for position in range(next_position, len(successors[node])):
                target = successors[node][position][1]
                if not included[target]:
                    continue
                if target not in order:
                    work += [(node, position + 1), (target, 0)]
                    break
                if target in on_stack:
                    low[node] = min(low[node], order[target])
            else:
                if low[node] == order[node]:
                    component = set()
                    while True:
                        member = stack.pop()
                        on_stack.discard(member)
                        component.add(member)
                        if member == node:
                            break
                    found.append(component)
                if work:
                    above = work[-1][0]
                    low[above] = min(low[above], low[node])
    return found
