"""What a storm shows in one sidecar's own traffic, as figures over the last two seconds. No I/O, no clock.

Events and actions of the decision module go in with their instants (milliseconds of the caller's clock, never
going back); ``Sight.figures`` gives a snapshot. Memory is bounded: a ring of slots, one record a listed
server, and a bounded number of refusals that are still to come back."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, fields

from hareloom import interface as api
from hareloom.interface import ListKind, Outcome, ServerState

SLOT_MS, SLOTS = 250.0, 8  # a window of two seconds: shorter than the troubles, longer than most answers
USUAL_MS = 15_000.0  # time constant of the usual rate of first tries; learnt in calm alone
# A server is silent after so many attempts in a row without a word, over at least this time: one time-out is
# a slow request, and several of one burst end together.
SILENT_TRIES, SILENT_MS = 2, 200.0
# Refusals whose client is still to come back, for telling repeats that are not marked. More at once than this
# are counted no further; their repeats then look like first tries.
MOST_DUE = 4096
COMES_EARLY, COMES_LATE = 0.5, 1.5  # a client comes back within these shares of what it was told
BACKOFF_MS = 100.0  # and about after this where it was told nothing


@dataclass(slots=True)
class Slot:
    """Counts of a quarter of a second."""

    offered: int = 0
    marked: int = 0  # of those offered, repeats by the client's own word
    due: float = 0.0  # refused clients that were to come back in it
    opened: int = 0  # connections begun
    unconnected: int = 0  # attempts that found no connection
    sent: int = 0
    answered: int = 0
    errors: int = 0
    silent: int = 0  # attempts without a word in their time
    refused: int = 0
    failed: int = 0


NAMES = tuple(item.name for item in fields(Slot))


@dataclass(slots=True)
class Known:
    """What this sidecar has seen of one server."""

    started_at: float | None
    heard: float = -math.inf  # its last answer
    mute: int = 0  # attempts in a row without a word
    mute_since: float = math.inf
    before: float = 0.0  # answers a second when it fell silent or started again
    rate: float = 0.0  # and now, smoothed
    counted: float = -math.inf


@dataclass(frozen=True, slots=True)
class Figures:
    """A snapshot. Rates are per second, shares from 0 to 1, ages in milliseconds."""

    offered: float  # all tries
    first: float  # without the repeats, marked or not
    usual: float  # first tries in calm
    repeat_share: float  # of the tries
    turned_share: float  # of the tries: refused or failed
    opened: float  # connections begun
    unconnected_share: float  # of the attempts
    error_share: float
    answered: float
    servers: int  # listed
    silent_share: float  # of them
    returning: int  # started or heard again after silence, and not warm yet
    back_share: float  # of what the returning ones answered before, what they answer now; 1 where none return
    oldest_ms: float  # age of the oldest belief: the listed server that was heard longest ago, of those heard

    @property
    def amplification(self) -> float:
        """Tries for each first one."""
        return self.offered / self.first if self.first > 0 else 1.0


class Sight:
    """Takes what the decision module is told and says."""

    def __init__(self, warm_up_ms: float) -> None:
        self.warm_up_ms = max(warm_up_ms, 1000.0)
        self.calm = True  # whether the usual rate is learnt; the state's owner sets it
        self.usual = 0.0
        self._slots: deque[tuple[int, Slot]] = deque()
        self._began: float | None = None
        self._learnt = -math.inf
        self._servers: dict[str, Known] = {}
        self._out: dict[tuple[str, int], tuple[str, float]] = {}
        self._tries: dict[str, int] = {}
        self._due: deque[tuple[float, float]] = deque()
        self._returned: dict[str, float] = {}  # when

    # What goes in

    def told(self, now: float, event: api.Event) -> None:
        """An event that the module is told."""
        slot = self._slot(now)
        if isinstance(event, api.Request):
            slot.offered += 1
            slot.marked += event.retry
        elif isinstance(event, api.AttemptEnded):
            self._ended(now, slot, event)
        elif isinstance(event, api.ClientGone):
            self._tries.pop(event.request, None)
        elif isinstance(event, api.ServerList):
            self._listed(now, event)

    def said(self, now: float, action: api.Action) -> None:
        """An action that the module says."""
        slot = self._slot(now)
        if isinstance(action, api.Send):
            number = self._tries.get(action.request, 0)
            self._tries[action.request] = number + 1
            self._out[action.request, number] = (action.server, now)
            slot.sent += 1
        elif isinstance(action, api.Refuse):
            self._tries.pop(action.request, None)
            slot.refused += 1
            wait = action.retry_after_ms or BACKOFF_MS
            if len(self._due) < MOST_DUE:
                due = (now + COMES_EARLY * wait, now + COMES_LATE * wait)
                self._due.append(due)
                slot.due += _part(due, self._slots[-1][0])
        elif isinstance(action, api.Fail):
            self._tries.pop(action.request, None)
            slot.failed += 1

    def opened(self, now: float) -> None:
        """A connection to a server is begun."""
        self._slot(now).opened += 1

    def _ended(self, now: float, slot: Slot, event: api.AttemptEnded) -> None:
        server, sent = self._out.pop((event.request, event.attempt), ("", now))
        if event.closed:
            self._tries.pop(event.request, None)
        known = self._servers.get(server)
        outcome = event.outcome
        slot.unconnected += outcome is Outcome.CONNECT_FAILED
        slot.errors += outcome in (Outcome.ERROR, Outcome.RESET)
        if outcome in (Outcome.CANCELLED, Outcome.MOOT):
            return
        if outcome in (Outcome.TIMEOUT, Outcome.CONNECT_FAILED):
            slot.silent += outcome is Outcome.TIMEOUT
            if known is not None and known.heard <= sent:  # answers to others since: it is only slow
                known.mute += 1
                known.mute_since = min(known.mute_since, sent)
            return
        slot.answered += outcome is Outcome.OK
        if known is None:
            return
        if self._mute(known, now):
            self._return(server, known, now)
        known.mute, known.mute_since, known.heard = 0, math.inf, now
        if outcome is Outcome.OK:
            self._count(known, now)

    def _listed(self, now: float, event: api.ServerList) -> None:
        if event.kind is ListKind.LOST:
            return
        if event.kind is not ListKind.DELTA:
            named = {entry.server for entry in event.entries if entry.state is not ServerState.GONE}
            for server in self._servers.keys() - named:
                self._forget(server)
        for entry in event.entries:
            if entry.state is ServerState.GONE:
                self._forget(entry.server)
                continue
            known = self._servers.get(entry.server)
            if known is None:
                self._servers[entry.server] = Known(entry.started_at)
                if entry.started_at is not None and now - entry.started_at < self.warm_up_ms:
                    self._returned[entry.server] = now
            elif entry.started_at not in (None, known.started_at):
                known.started_at = entry.started_at
                self._return(entry.server, known, now)
                known.mute, known.mute_since = 0, math.inf

    def _forget(self, server: str) -> None:
        self._servers.pop(server, None)
        self._returned.pop(server, None)

    def _return(self, server: str, known: Known, now: float) -> None:
        if server not in self._returned:
            known.before, known.rate, known.counted = self._rate(known, known.heard), 0.0, now
        self._returned[server] = now

    def _mute(self, known: Known, now: float) -> bool:
        return known.mute >= SILENT_TRIES and now - known.mute_since >= SILENT_MS

    def _count(self, known: Known, now: float) -> None:
        known.rate = self._rate(known, now) + 1000.0 / (SLOT_MS * SLOTS)
        known.counted = now

    def _rate(self, known: Known, now: float) -> float:
        """Answers a second, smoothed over the window."""
        gap = max(now - known.counted, 0.0) if known.counted > -math.inf else 0.0
        return known.rate * math.exp(-gap / (SLOT_MS * SLOTS))

    # What comes out

    def figures(self, now: float) -> Figures:
        self._slot(now)  # what is too old goes
        total = {name: 0.0 for name in NAMES}
        for _, item in self._slots:
            for name in NAMES:
                total[name] += getattr(item, name)
        began = max(self._began if self._began is not None else now, self._slots[0][0] * SLOT_MS)
        seconds = max(now - began, SLOT_MS) / 1000.0
        offered = total["offered"] / seconds
        marked = total["marked"] / seconds
        # Tries beyond the usual rate, as far as refused clients were to come back just then.
        unmarked = max(min(offered - marked - self.usual, total["due"] / seconds - marked), 0.0)
        if self.usual <= 0.0:
            unmarked = 0.0
        first = max(offered - marked - unmarked, 0.0)
        self._learn(now, first)
        attempts = max(total["sent"], 1.0)
        tries = max(total["offered"], 1.0)
        for server, since in list(self._returned.items()):
            if now - since >= self.warm_up_ms:
                del self._returned[server]
        back = [self._servers[name] for name in self._returned]
        before = sum(known.before for known in back)
        heard = [known.heard for known in self._servers.values() if known.heard > -math.inf]
        mute = sum(self._mute(known, now) for known in self._servers.values())
        return Figures(
            offered=offered,
            first=first,
            usual=self.usual,
            repeat_share=(marked + unmarked) / offered if offered > 0 else 0.0,
            turned_share=min((total["refused"] + total["failed"]) / tries, 1.0),
            opened=total["opened"] / seconds,
            unconnected_share=min(total["unconnected"] / attempts, 1.0),
            error_share=min(total["errors"] / attempts, 1.0),
            answered=total["answered"] / seconds,
            servers=len(self._servers),
            silent_share=mute / max(len(self._servers), 1),
            returning=len(self._returned),
            back_share=min(sum(self._rate(k, now) for k in back) / before, 1.0) if before > 0 else 1.0,
            oldest_ms=max(now - min(heard), 0.0) if heard else 0.0,
        )

    def _learn(self, now: float, first: float) -> None:
        """The usual rate, in calm alone: a storm's own tries must not come to count as usual."""
        if self._began is None or now - self._began < SLOT_MS * SLOTS:
            return
        if self._learnt == -math.inf:
            self.usual, self._learnt = first, now
        elif self.calm:
            part = 1.0 - math.exp(-(now - self._learnt) / USUAL_MS)
            self.usual += part * (first - self.usual)
        self._learnt = max(self._learnt, now)

    def _slot(self, now: float) -> Slot:
        if self._began is None:
            self._began = now
        number = int(now // SLOT_MS)
        if not self._slots or self._slots[-1][0] < number:
            self._slots.append((number, Slot()))
            while self._slots[0][0] <= number - SLOTS:
                self._slots.popleft()
            self._fall_due()
        return self._slots[-1][1]

    def _fall_due(self) -> None:
        """Spread each refusal's return over the slots in which it may come."""
        number, slot = self._slots[-1]
        self._due = deque(due for due in self._due if due[1] > number * SLOT_MS)
        slot.due += sum(_part(due, number) for due in self._due)


def _part(due: tuple[float, float], number: int) -> float:
    """How much of a return that may come between two instants falls into a slot."""
    early, late = due
    begin = number * SLOT_MS
    return max(min(late, begin + SLOT_MS) - max(early, begin), 0.0) / max(late - early, 1e-9)
