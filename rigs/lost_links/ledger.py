"""A record of what upstreams executed and what clients got, and the check of both. No I/O; all times are
seconds of one clock.

A call is one request of a client. Its path contains a unique key, even if its Attempt-Id is that of another
call, too. Upstreams record their executions, clients what they got.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any

# Statuses that promise that the call was not executed and never will be.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
# Outcomes of a call without a status.
CONNECTION_CLOSED = "closed"  # the connection ended first, which promises nothing
UNREAD = "unread"  # an earlier answer closed the connection: the call counts as not executed
CLIENT_LEFT = "left"  # the client disconnected
# Faults of the other hop after which its incarnation cannot answer a query in time.
UNREACHABLE_FAULTS = frozenset({"silent", "silent there", "silent back", "freeze", "kill", "term", "replace"})
DETECTION_S = 0.7  # the longest time from a fault to the detection of the lost link
NO_RESPONSE = "silent"  # no answer long after the deadline


class Rule(Enum):
    TWICE = "an effectful call was begun twice"
    PROMISE = "a call ran of which it was promised that it never does"
    CONNECTION = "an answer at another's door"
    ORDER = "an answer out of its order"
    SEAL = "a success that its upstream did not give"
    END = "a call without an end"
    BODY = "a request's body that did not arrive as it was"
    SERVICE = "a call that ran at another service"


@dataclass(slots=True)
class Execution:
    """One execution of a call at an upstream."""

    attempt: str
    instance: str
    service: str
    node: str
    started_at: float
    ended_at: float = 0.0
    outcome: str = ""  # how the upstream ended it
    seal: str = ""  # of the answer, unique; empty if it is not a sealed success
    response_crc: int = 0  # crc32 of the answer's body
    request_crc: int = 0  # crc32 of the request's body


@dataclass(slots=True)
class Call:
    """One request and its outcome."""

    attempt: str
    machine: int  # the machine of its client
    connection: int
    effectful: bool
    service: str
    sent_at: float
    time_left_s: float
    status: int = 0
    end: str = ""  # if there is no status
    ended_at: float = 0.0
    response_key: str = ""  # the key in the answer's body, if an upstream sent it
    seal: str = ""
    response_crc: int = 0
    request_crc: int = 0  # crc32 of the request's body


@dataclass(slots=True)
class LostCall:
    """A call that was open at a first hop when the link was lost, as that hop logged it."""

    key: str
    peer: str
    lost_at: float
    queried: bool
    reason: str


@dataclass(slots=True)
class InjectedFault:
    """A fault of a machine, or (``machine`` None) of the links of all machines."""

    name: str
    machine: int | None
    started_at: float
    ended_at: float


@dataclass(frozen=True, slots=True)
class Violation:
    rule: Rule
    key: str
    evidence: str


class Ledger:
    def __init__(self) -> None:
        self.calls: dict[str, Call] = {}
        self.executions: defaultdict[str, list[Execution]] = defaultdict(list)
        self.lost_calls: list[LostCall] = []
        self.faults: list[InjectedFault] = []

    def violations(self) -> Iterator[Violation]:
        """Checks each call by itself."""
        for key, call in self.calls.items():
            executions = self.executions.get(key, [])
            for rule in self._violated_rules(key, call, executions):
                yield Violation(rule, key, f"{call} executions {executions}")

    def _violated_rules(self, key: str, call: Call, executions: list[Execution]) -> Iterator[Rule]:
        if call.effectful and len(executions) > 1:
            yield Rule.TWICE
        if any(execution.service != call.service for execution in executions):
            yield Rule.SERVICE
        if any(execution.request_crc != call.request_crc for execution in executions):
            yield Rule.BODY
        promised = call.status in NOT_EXECUTED_STATUSES or (call.effectful and call.end == UNREAD)
        if promised and executions:
            yield Rule.PROMISE
        if call.end == NO_RESPONSE or not call.status and not call.end:
            yield Rule.END
        if call.response_key and call.response_key != key:
            other = self.calls.get(call.response_key)
            yield Rule.ORDER if other is not None and other.connection == call.connection else Rule.CONNECTION
        elif 200 <= call.status < 300 and not any(
            execution.seal and (execution.seal, execution.response_crc) == (call.seal, call.response_crc)
            for execution in executions
        ):
            yield Rule.SEAL

    def outcomes(self) -> dict[str, dict[str, int]]:
        """The number of calls by kind and outcome."""
        by_kind: dict[str, Counter[str]] = {"effectful": Counter(), "idempotent": Counter()}
        for call in self.calls.values():
            by_kind["effectful" if call.effectful else "idempotent"][call.end or str(call.status)] += 1
        return {kind: dict(sorted(ends.items())) for kind, ends in by_kind.items()}

    def in_doubt(self) -> dict[str, Any]:
        """Effectful calls that were open on a lost link: their outcomes, by the fault of the machines at its
        ends; and, for those that the peer's upstream executed and that succeeded, the time from its answer to
        the success, in milliseconds."""
        first_losses: dict[str, LostCall] = {}
        for lost_call in self.lost_calls:
            first_losses.setdefault(lost_call.key, lost_call)
        not_executed: defaultdict[str, Counter[str]] = defaultdict(Counter)
        executed: defaultdict[str, Counter[str]] = defaultdict(Counter)
        added_ms: list[float] = []
        for key, lost_call in first_losses.items():
            call = self.calls.get(key)
            if call is None or not call.effectful:
                continue
            at_peer = [
                execution
                for execution in self.executions.get(key, [])
                if execution.node == lost_call.peer and execution.started_at < call.ended_at
            ]
            (executed if at_peer else not_executed)[self._cause(lost_call, call)][_outcome(call)] += 1
            if at_peer and at_peer[0].ended_at and call.status == 200:
                added_ms.append((call.ended_at - at_peer[0].ended_at) * 1000.0)
        shares = {"reached again": Counter[str](), "not reached": Counter[str]()}
        for cause, outcomes in not_executed.items():
            known = {
                outcome: count
                for outcome, count in outcomes.items()
                if outcome not in (CONNECTION_CLOSED, CLIENT_LEFT)
            }
            shares["not reached" if cause in UNREACHABLE_FAULTS else "reached again"].update(known)
        return {
            "not_run_there": {cause: dict(outcomes) for cause, outcomes in sorted(not_executed.items())},
            "run_there": {cause: dict(outcomes) for cause, outcomes in sorted(executed.items())},
            "not_run": {
                group: {"calls": ends.total(), "success_or_promise": ends["success"] + ends["promise"]}
                for group, ends in shares.items()
            },
            "added_ms": {
                "calls": len(added_ms),
                "p50": percentile(added_ms, 0.5),
                "p99": percentile(added_ms, 0.99),
            },
        }

    def disturbed(self, machines: set[int], start: float, end: float) -> bool:
        """Whether any fault affected these machines in that time."""
        return any(
            fault.machine in {*machines, None}
            and fault.started_at <= end
            and start <= fault.ended_at + DETECTION_S
            for fault in self.faults
        )

    def _cause(self, lost_call: LostCall, call: Call) -> str:
        peer = machine_of(lost_call.peer)
        for prefix, machine in (("", peer), ("own ", call.machine), ("", None)):
            for fault in self.faults:
                if (
                    fault.machine == machine
                    and fault.started_at <= lost_call.lost_at <= fault.ended_at + DETECTION_S
                ):
                    return prefix + fault.name
        return "none"


def machine_of(node: str) -> int:
    """The machine of a sidecar: the second part of its name."""
    return int(node.split("-")[1])


def _outcome(call: Call) -> str:
    if call.end:
        return CONNECTION_CLOSED if call.end == UNREAD else call.end
    if 200 <= call.status < 300:
        return "success"
    return "promise" if call.status in NOT_EXECUTED_STATUSES else str(call.status)


def percentile(values: list[float], share: float) -> float | None:
    """The value below which that share of the values lies."""
    ordered = sorted(values)
    return round(ordered[min(int(share * len(ordered)), len(ordered) - 1)], 1) if ordered else None
