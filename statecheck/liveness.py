"""Obligations that are never met: dead ends and fair cycles in which something is owed all the way."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import Any

from statecheck.model import Model, Violation
from statecheck.search import Report, StateTable, explore


@dataclass
class LivenessReport:
    """An obligation that may stand for ever: the events that lead to where it does, and a cycle (empty at a
    dead end) that keeps it standing."""

    report: Report
    obligation: Hashable | None = None
    trace: list[Any] = field(default_factory=list)
    cycle: list[Any] = field(default_factory=list)

    @property
    def violation(self) -> Violation | None:
        if self.report.violation is not None or self.obligation is None:
            return self.report.violation
        how = "in a fair cycle" if self.cycle else "at a dead end"
        return Violation("owed for ever", f"{self.obligation} is owed for ever {how}")


def check_liveness(model: Model, **bounds: Any) -> LivenessReport:
    """Search, without symmetry or partial-order reduction (an obligation has a name, and a cycle's events all
    count), for a reachable dead end in which something is owed, or a cycle in which it is owed throughout and
    which weak fairness allows: every event that is fair and enabled all the way round is among the cycle's.

    A maximal strongly connected part decides: where it leaves a fair event out that is enabled in all of it,
    so does each cycle inside, and where it does not, the tour through all of it is a fair cycle.
    """
    store, edges = StateTable(), list[tuple[int, int, int]]()
    report = explore(model, symmetry=False, partial_order=False, edges=edges, store=store, **bounds)
    result = LivenessReport(report)
    if report.violation is not None or not report.complete:
        return result
    out: list[list[tuple[int, int]]] = [[] for _ in range(len(store))]
    for source, event, target in edges:
        out[source].append((event, target))
    obligations = [frozenset(model.obligations(store.state(index))) for index in range(len(store))]
    for index, targets in enumerate(out):
        if obligations[index] and not targets:
            return _found(result, store, index, min(obligations[index], key=str), [])
    for obligation in sorted(frozenset().union(*obligations), key=str):
        for part in _components(out, [obligation in item for item in obligations]):
            inner = [
                (source, event, target) for source in part for event, target in out[source] if target in part
            ]
            if not inner:
                continue
            taken = {model.fairness_label(store.value(event)) for _, event, _ in inner}
            always = frozenset.intersection(
                *(
                    frozenset(model.fairness_label(store.value(event)) for event, _ in out[source])
                    for source in part
                )
            )
            if always - taken - {None}:
                continue  # weak fairness leads out of it
            return _found(
                result, store, min(part), obligation, [store.value(event) for _, event, _ in inner[:8]]
            )
    return result


def _found(
    result: LivenessReport, store: StateTable, index: int, obligation: Hashable, cycle: list[Any]
) -> LivenessReport:
    result.obligation, result.cycle, result.report.complete = obligation, cycle, False
    path = [index]
    while store.parents[path[-1]] >= 0:
        path.append(store.parents[path[-1]])
    result.trace = [store.value(store.via[item]) for item in reversed(path[:-1])]
    return result


def _components(out: list[list[tuple[int, int]]], inside: list[bool]) -> list[set[int]]:
    """The strongly connected parts of the states that are ``inside`` (Tarjan 1972, with its own stack)."""
    order: dict[int, int] = {}
    low: dict[int, int] = {}
    stack: list[int] = []
    on_stack: set[int] = set()
    found: list[set[int]] = []
    for root in range(len(out)):
        if not inside[root] or root in order:
            continue
        work: list[tuple[int, int]] = [(root, 0)]
        while work:
            node, at = work.pop()
            if at == 0:
                order[node] = low[node] = len(order)
                stack.append(node)
                on_stack.add(node)
            for position in range(at, len(out[node])):
                target = out[node][position][1]
                if not inside[target]:
                    continue
                if target not in order:
                    work += [(node, position + 1), (target, 0)]
                    break
                if target in on_stack:
                    low[node] = min(low[node], order[target])
            else:
                if low[node] == order[node]:
                    part = set()
                    while True:
                        item = stack.pop()
                        on_stack.discard(item)
                        part.add(item)
                        if item == node:
                            break
                    found.append(part)
                if work:
                    above = work[-1][0]
                    low[above] = min(low[above], low[node])
    return found
