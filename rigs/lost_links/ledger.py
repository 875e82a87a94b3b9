"""What ran and what was told, and the judge of both. No I/O; seconds of one clock for all.

A call is one request of a client; its key stands in its path, unlike any other's, also where its Attempt-Id
is another's too. Upstreams write their runs, clients what they got.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any

PROMISES = frozenset({408, 421, 429, 503})  # it has not run and never will
# Ends of a call that are no status.
CLOSED = "closed"  # the connection ended first: no promise
UNREAD = "unread"  # an answer before it closed the connection: it counts as not read
LEFT = "left"  # its client went away
# Troubles of the other hop, after which nothing of its life answers within what an aim leaves.
UNREACHED = frozenset({"silent", "silent there", "silent back", "freeze", "kill", "term", "replace"})
NOTICED_S = 0.7  # a link is known to be lost so long after whatever lost it
SILENT = "silent"  # long after its deadline nothing has come


class Rule(Enum):
    TWICE = "an effectful call was begun twice"
    PROMISE = "a call ran of which it was promised that it never does"
    DOOR = "an answer at another's door"
    ORDER = "an answer out of its order"
    SEAL = "a success that its upstream did not give"
    END = "a call without an end"
    BODY = "a request's body that did not arrive as it was"
    SERVICE = "a call that ran at another service"


@dataclass(slots=True)
class Run:
    """One beginning of a call at an upstream."""

    attempt: str
    instance: str
    service: str
    node: str
    began: float
    ended: float = 0.0
    told: str = ""  # how it ended there
    seal: str = ""  # of the answer, unlike any other's; empty where it is not a sealed success
    sum: int = 0  # crc32 of the answer's body
    asked: int = 0  # and of the request's


@dataclass(slots=True)
class Call:
    """One request, and what its client got."""

    attempt: str
    place: int  # the machine of its client
    door: int  # its connection
    effectful: bool
    service: str
    sent: float
    left_s: float
    status: int = 0
    end: str = ""  # where there is no status
    at: float = 0.0
    named: str = ""  # the key that the answer's body bears, where it is an upstream's
    seal: str = ""
    sum: int = 0
    asked: int = 0  # crc32 of its own body


@dataclass(slots=True)
class Lost:
    """A call that a first hop had out when the link was lost, as that hop saw it."""

    key: str
    peer: str
    at: float
    asked: bool
    why: str


@dataclass(slots=True)
class Trouble:
    """What was done to a machine, or to the links of all."""

    name: str
    place: int | None
    began: float
    ended: float


@dataclass(frozen=True, slots=True)
class Fault:
    rule: Rule
    key: str
    evidence: str


class Ledger:
    def __init__(self) -> None:
        self.calls: dict[str, Call] = {}
        self.runs: defaultdict[str, list[Run]] = defaultdict(list)
        self.lost: list[Lost] = []
        self.troubles: list[Trouble] = []

    def judge(self) -> Iterator[Fault]:
        """What broke a rule; each call is looked at by itself."""
        for key, call in self.calls.items():
            runs = self.runs.get(key, [])
            for rule in self._broken(key, call, runs):
                yield Fault(rule, key, f"{call} runs {runs}")

    def _broken(self, key: str, call: Call, runs: list[Run]) -> Iterator[Rule]:
        if call.effectful and len(runs) > 1:
            yield Rule.TWICE
        if any(run.service != call.service for run in runs):
            yield Rule.SERVICE
        if any(run.asked != call.asked for run in runs):
            yield Rule.BODY
        promised = call.status in PROMISES or (call.effectful and call.end == UNREAD)
        if promised and runs:
            yield Rule.PROMISE
        if call.end == SILENT or not call.status and not call.end:
            yield Rule.END
        if call.named and call.named != key:
            other = self.calls.get(call.named)
            yield Rule.ORDER if other is not None and other.door == call.door else Rule.DOOR
        elif 200 <= call.status < 300 and not any(
            run.seal and (run.seal, run.sum) == (call.seal, call.sum) for run in runs
        ):
            yield Rule.SEAL

    def told(self) -> dict[str, dict[str, int]]:
        """How the calls ended, by kind."""
        found: dict[str, Counter[str]] = {"effectful": Counter(), "idempotent": Counter()}
        for call in self.calls.values():
            found["effectful" if call.effectful else "idempotent"][call.end or str(call.status)] += 1
        return {kind: dict(sorted(ends.items())) for kind, ends in found.items()}

    def in_doubt(self) -> dict[str, Any]:
        """Effectful calls that were out on a lost link: how they ended, by what had been done to the machines
        at either end of the link; and, of those that had run there and ended in success, how long after their
        upstream had answered, in milliseconds."""
        first: dict[str, Lost] = {}
        for lost in self.lost:
            first.setdefault(lost.key, lost)
        not_run: defaultdict[str, Counter[str]] = defaultdict(Counter)
        ran: defaultdict[str, Counter[str]] = defaultdict(Counter)
        added: list[float] = []
        for key, lost in first.items():
            call = self.calls.get(key)
            if call is None or not call.effectful:
                continue
            there = [run for run in self.runs.get(key, []) if run.node == lost.peer and run.began < call.at]
            (ran if there else not_run)[self._cause(lost, call)][_outcome(call)] += 1
            if there and there[0].ended and call.status == 200:
                added.append((call.at - there[0].ended) * 1000.0)
        shares = {"reached again": Counter[str](), "not reached": Counter[str]()}
        for cause, counted in not_run.items():
            known = {how: count for how, count in counted.items() if how not in (CLOSED, LEFT)}
            shares["not reached" if cause in UNREACHED else "reached again"].update(known)
        return {
            "not_run_there": {cause: dict(counted) for cause, counted in sorted(not_run.items())},
            "run_there": {cause: dict(counted) for cause, counted in sorted(ran.items())},
            "not_run": {
                which: {"calls": ends.total(), "success_or_promise": ends["success"] + ends["promise"]}
                for which, ends in shares.items()
            },
            "added_ms": {"calls": len(added), "p50": share_of(added, 0.5), "p99": share_of(added, 0.99)},
        }

    def troubled(self, places: set[int], since: float, until: float) -> bool:
        """Whether anything was done to these machines, or to the links of all, in that time."""
        return any(
            one.place in {*places, None} and one.began <= until and since <= one.ended + NOTICED_S
            for one in self.troubles
        )

    def _cause(self, lost: Lost, call: Call) -> str:
        there = place_of(lost.peer)
        for which, place in (("", there), ("own ", call.place), ("", None)):
            for trouble in self.troubles:
                if trouble.place == place and trouble.began <= lost.at <= trouble.ended + NOTICED_S:
                    return which + trouble.name
        return "none"


def place_of(node: str) -> int:
    """The machine of a sidecar: its name's second part."""
    return int(node.split("-")[1])


def _outcome(call: Call) -> str:
    if call.end:
        return CLOSED if call.end == UNREAD else call.end
    if 200 <= call.status < 300:
        return "success"
    return "promise" if call.status in PROMISES else str(call.status)


def share_of(values: list[float], share: float) -> float | None:
    """The value below which such a share lies."""
    ranked = sorted(values)
    return round(ranked[min(int(share * len(ranked)), len(ranked) - 1)], 1) if ranked else None
