"""Traffic statistics of one sidecar over the last two seconds, from which retry storms are detected. No I/O.

`TrafficMonitor` observes the events and actions of the balancer with their instants, in milliseconds of the
caller's monotonic clock, and computes a `TrafficSnapshot`. Its memory is bounded: a ring of slots, one record
for each listed server, and a limited number of expected retries.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, fields

from hareloom import interface as api
from hareloom.interface import ListKind, Outcome, ServerState

SLOT_MS, SLOT_COUNT = 250.0, 8  # a window of 2 s: shorter than most faults, longer than most responses
BASELINE_TIME_CONSTANT_MS = 15_000.0  # of the smoothing of the baseline rate
# A server is unresponsive after this many consecutive attempts without a response, over at least this time: a
# single timeout may be a slow request, and the attempts of one burst time out together.
UNRESPONSIVE_ATTEMPTS, UNRESPONSIVE_MS = 2, 200.0
# Refused requests whose retries are expected, by which unmarked retries are recognised. Beyond this limit
# they are not tracked, and their retries count as original requests.
MAX_EXPECTED_RETRIES = 4096
EARLIEST_RETRY, LATEST_RETRY = 0.5, 1.5  # when a client retries, as multiples of the delay it was given
DEFAULT_BACKOFF_MS = 100.0  # the assumed delay of a client that was given none


@dataclass(slots=True)
class Slot:
    """Counts over one slot of time."""

    requests: int = 0  # from clients, including retries
    marked_retries: int = 0  # requests that the client marked as retries
    expected_retries: float = 0.0  # retries of refused requests that are expected in this slot
    connects: int = 0  # connections that were started
    connect_failures: int = 0  # attempts that got no connection
    attempts: int = 0
    successes: int = 0
    errors: int = 0
    timeouts: int = 0
    refused: int = 0
    failed: int = 0


SLOT_FIELDS = tuple(item.name for item in fields(Slot))


@dataclass(slots=True)
class ServerActivity:
    """The activity of one server as this sidecar observes it."""

    started_at: float | None
    last_answer_at: float = -math.inf
    unanswered: int = 0  # consecutive attempts without a response
    unanswered_since: float = math.inf
    earlier_rate: float = 0.0  # successes per second before it became unresponsive or restarted
    rate: float = 0.0  # current successes per second, smoothed
    rate_updated_at: float = -math.inf


@dataclass(frozen=True, slots=True)
class TrafficSnapshot:
    """The statistics at one instant. Rates are per second, shares from 0 to 1."""

    request_rate: float  # all requests from clients, including retries
    original_rate: float  # without retries, marked or recognised
    baseline_rate: float  # original requests in the calm state
    retry_share: float  # of the requests
    unserved_share: float  # of the requests: refused or failed
    connect_rate: float  # connections that were started
    connect_failure_share: float  # of the attempts
    error_share: float  # of the attempts
    success_rate: float
    servers: int  # number of listed servers
    unresponsive_share: float  # of the listed servers
    warming_servers: int  # restarted or responsive again, and not warm yet
    warming_rate_share: (
        float  # of their earlier rate of successes, the warming servers' present one; 1 if none
    )
    oldest_answer_ms: float  # age of the last response of the server that has been silent for longest

    @property
    def amplification(self) -> float:
        """The number of requests for each original one."""
        return self.request_rate / self.original_rate if self.original_rate > 0 else 1.0


class TrafficMonitor:
    """Observes the events and actions of the balancer and computes the statistics."""

    def __init__(self, warm_up_ms: float) -> None:
        self.warm_up_ms = max(warm_up_ms, 1000.0)
        self.learns_baseline = True  # set by the owner: only in the calm state
        self.baseline_rate = 0.0
        self._slots: deque[tuple[int, Slot]] = deque()
        self._started_at: float | None = None
        self._baseline_updated_at = -math.inf
        self._servers: dict[str, ServerActivity] = {}
        self._in_flight: dict[tuple[str, int], tuple[str, float]] = {}
        self._attempt_counts: dict[str, int] = {}
        self._retry_intervals: deque[tuple[float, float]] = deque()
        self._warming_since: dict[str, float] = {}

    # Observations

    def observe_event(self, now: float, event: api.Event) -> None:
        """Observe an event that the balancer handles."""
        slot = self._current_slot(now)
        if isinstance(event, api.Request):
            slot.requests += 1
            slot.marked_retries += event.retry
        elif isinstance(event, api.AttemptEnded):
            self._attempt_ended(now, slot, event)
        elif isinstance(event, api.ClientGone):
            self._attempt_counts.pop(event.request, None)
        elif isinstance(event, api.ServerList):
            self._apply_list(now, event)

    def observe_action(self, now: float, action: api.Action) -> None:
        """Observe an action of the balancer."""
        slot = self._current_slot(now)
        if isinstance(action, api.Send):
            number = self._attempt_counts.get(action.request, 0)
            self._attempt_counts[action.request] = number + 1
            self._in_flight[action.request, number] = (action.server, now)
            slot.attempts += 1
        elif isinstance(action, api.Refuse):
            self._attempt_counts.pop(action.request, None)
            slot.refused += 1
            delay = action.retry_after_ms or DEFAULT_BACKOFF_MS
            if len(self._retry_intervals) < MAX_EXPECTED_RETRIES:
                interval = (now + EARLIEST_RETRY * delay, now + LATEST_RETRY * delay)
                self._retry_intervals.append(interval)
                slot.expected_retries += _overlap_share(interval, self._slots[-1][0])
        elif isinstance(action, api.Fail):
            self._attempt_counts.pop(action.request, None)
            slot.failed += 1

    def observe_connect(self, now: float) -> None:
        """Observe that a connection to a server is being opened."""
        self._current_slot(now).connects += 1

    def _attempt_ended(self, now: float, slot: Slot, event: api.AttemptEnded) -> None:
        server, sent_at = self._in_flight.pop((event.request, event.attempt), ("", now))
        if event.closed:
            self._attempt_counts.pop(event.request, None)
        activity = self._servers.get(server)
        outcome = event.outcome
        slot.connect_failures += outcome is Outcome.CONNECT_FAILED
        slot.errors += outcome in (Outcome.ERROR, Outcome.RESET)
        if outcome in (Outcome.CANCELLED, Outcome.MOOT):
            return
        if outcome in (Outcome.TIMEOUT, Outcome.CONNECT_FAILED):
            slot.timeouts += outcome is Outcome.TIMEOUT
            # A server that has answered another request since then is only slow.
            if activity is not None and activity.last_answer_at <= sent_at:
                activity.unanswered += 1
                activity.unanswered_since = min(activity.unanswered_since, sent_at)
            return
        slot.successes += outcome is Outcome.OK
        if activity is None:
            return
        if self._is_unresponsive(activity, now):
            self._mark_warming(server, activity, now)
        activity.unanswered, activity.unanswered_since, activity.last_answer_at = 0, math.inf, now
        if outcome is Outcome.OK:
            self._count_success(activity, now)

    def _apply_list(self, now: float, event: api.ServerList) -> None:
        if event.kind is ListKind.LOST:
            return
        if event.kind is not ListKind.DELTA:
            listed = {entry.server for entry in event.entries if entry.state is not ServerState.GONE}
            for server in self._servers.keys() - listed:
                self._forget_server(server)
        for entry in event.entries:
            if entry.state is ServerState.GONE:
                self._forget_server(entry.server)
                continue
            activity = self._servers.get(entry.server)
            if activity is None:
                self._servers[entry.server] = ServerActivity(entry.started_at)
                if entry.started_at is not None and now - entry.started_at < self.warm_up_ms:
                    self._warming_since[entry.server] = now
            elif entry.started_at not in (None, activity.started_at):
                activity.started_at = entry.started_at
                self._mark_warming(entry.server, activity, now)
                activity.unanswered, activity.unanswered_since = 0, math.inf

    def _forget_server(self, server: str) -> None:
        self._servers.pop(server, None)
        self._warming_since.pop(server, None)

    def _mark_warming(self, server: str, activity: ServerActivity, now: float) -> None:
        if server not in self._warming_since:
            activity.earlier_rate, activity.rate, activity.rate_updated_at = (
                self._decayed_rate(activity, activity.last_answer_at),
                0.0,
                now,
            )
        self._warming_since[server] = now

    def _is_unresponsive(self, activity: ServerActivity, now: float) -> bool:
        return (
            activity.unanswered >= UNRESPONSIVE_ATTEMPTS
            and now - activity.unanswered_since >= UNRESPONSIVE_MS
        )

    def _count_success(self, activity: ServerActivity, now: float) -> None:
        activity.rate = self._decayed_rate(activity, now) + 1000.0 / (SLOT_MS * SLOT_COUNT)
        activity.rate_updated_at = now

    def _decayed_rate(self, activity: ServerActivity, now: float) -> float:
        """Return the successes per second at ``now``, smoothed over the window."""
        elapsed = max(now - activity.rate_updated_at, 0.0) if activity.rate_updated_at > -math.inf else 0.0
        return activity.rate * math.exp(-elapsed / (SLOT_MS * SLOT_COUNT))

    # Statistics

    def snapshot(self, now: float) -> TrafficSnapshot:
        """Compute the statistics and update the baseline rate."""
        self._current_slot(now)  # drops expired slots
        total = {name: 0.0 for name in SLOT_FIELDS}
        for _, slot in self._slots:
            for name in SLOT_FIELDS:
                total[name] += getattr(slot, name)
        window_start = max(
            self._started_at if self._started_at is not None else now, self._slots[0][0] * SLOT_MS
        )
        seconds = max(now - window_start, SLOT_MS) / 1000.0
        request_rate = total["requests"] / seconds
        marked_rate = total["marked_retries"] / seconds
        # Unmarked retries: requests above the baseline, as far as retries of refused ones are expected now.
        unmarked_rate = max(
            min(
                request_rate - marked_rate - self.baseline_rate,
                total["expected_retries"] / seconds - marked_rate,
            ),
            0.0,
        )
        if self.baseline_rate <= 0.0:
            unmarked_rate = 0.0
        original_rate = max(request_rate - marked_rate - unmarked_rate, 0.0)
        self._update_baseline(now, original_rate)
        attempts = max(total["attempts"], 1.0)
        requests = max(total["requests"], 1.0)
        for server, since in list(self._warming_since.items()):
            if now - since >= self.warm_up_ms:
                del self._warming_since[server]
        warming = [self._servers[name] for name in self._warming_since]
        earlier_rate = sum(activity.earlier_rate for activity in warming)
        answer_times = [
            activity.last_answer_at
            for activity in self._servers.values()
            if activity.last_answer_at > -math.inf
        ]
        unresponsive = sum(self._is_unresponsive(activity, now) for activity in self._servers.values())
        return TrafficSnapshot(
            request_rate=request_rate,
            original_rate=original_rate,
            baseline_rate=self.baseline_rate,
            retry_share=(marked_rate + unmarked_rate) / request_rate if request_rate > 0 else 0.0,
            unserved_share=min((total["refused"] + total["failed"]) / requests, 1.0),
            connect_rate=total["connects"] / seconds,
            connect_failure_share=min(total["connect_failures"] / attempts, 1.0),
            error_share=min(total["errors"] / attempts, 1.0),
            success_rate=total["successes"] / seconds,
            servers=len(self._servers),
            unresponsive_share=unresponsive / max(len(self._servers), 1),
            warming_servers=len(self._warming_since),
            warming_rate_share=min(
                sum(self._decayed_rate(activity, now) for activity in warming) / earlier_rate, 1.0
            )
            if earlier_rate > 0
            else 1.0,
            oldest_answer_ms=max(now - min(answer_times), 0.0) if answer_times else 0.0,
        )

    def _update_baseline(self, now: float, original_rate: float) -> None:
        """Update the baseline rate, only in the calm state: it must not adapt to the load of a storm."""
        if self._started_at is None or now - self._started_at < SLOT_MS * SLOT_COUNT:
            return
        if self._baseline_updated_at == -math.inf:
            self.baseline_rate, self._baseline_updated_at = original_rate, now
        elif self.learns_baseline:
            weight = 1.0 - math.exp(-(now - self._baseline_updated_at) / BASELINE_TIME_CONSTANT_MS)
            self.baseline_rate += weight * (original_rate - self.baseline_rate)
        self._baseline_updated_at = max(self._baseline_updated_at, now)

    def _current_slot(self, now: float) -> Slot:
        if self._started_at is None:
            self._started_at = now
        number = int(now // SLOT_MS)
        if not self._slots or self._slots[-1][0] < number:
            self._slots.append((number, Slot()))
            while self._slots[0][0] <= number - SLOT_COUNT:
                self._slots.popleft()
            self._add_expected_retries()
        return self._slots[-1][1]

    def _add_expected_retries(self) -> None:
        """Add to the newest slot its share of the expected retries, and drop intervals that have ended."""
        number, slot = self._slots[-1]
        self._retry_intervals = deque(
            interval for interval in self._retry_intervals if interval[1] > number * SLOT_MS
        )
        slot.expected_retries += sum(_overlap_share(interval, number) for interval in self._retry_intervals)


def _overlap_share(interval: tuple[float, float], number: int) -> float:
    """Return the share of an interval that falls into the slot with that number."""
    start, end = interval
    slot_start = number * SLOT_MS
    return max(min(end, slot_start + SLOT_MS) - max(start, slot_start), 0.0) / max(end - start, 1e-9)
