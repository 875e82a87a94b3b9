"""Small builders for tests that drive a Balancer by hand."""

from __future__ import annotations

from hareloom import Balancer
from hareloom import interface as api

READ = api.RequestClass("read", 400.0, 1000.0, effect=api.Effect.SAFE)
PAY = api.RequestClass("pay", 400.0, 1000.0, late_worth=0.5, effect=api.Effect.UNSAFE)
LIMITS = api.Limits(max_attempts=3, may_cancel=True, second_copies=True, max_retry_after_ms=2000.0)
RULES = api.Rules(answer_slack_ms=20.0, cold_from=0.3, cold_ms=9000.0, drain_grace_ms=500.0)


def keyed(group: api.Group, window: float = 5000.0) -> api.RequestClass:
    return api.RequestClass(
        "book", 400.0, 1000.0, late_worth=0.5, effect=api.Effect.KEYED, group=group, window_ms=window
    )


class Driver:
    """Drives a Balancer: its attempts in flight, its timers and a simulated clock."""

    def __init__(self, *classes: api.RequestClass, seed: int = 1, **settings: object) -> None:
        values: dict[str, object] = {"classes": classes or (READ,), "limits": LIMITS, "rules": RULES}
        values.update(settings)
        self.balancer = Balancer(api.Settings(**values), seed)  # type: ignore[arg-type]
        self.now = 0.0
        self.count = 0
        self.sent: dict[str, list[str]] = {}
        self.timers: list[tuple[float, int]] = []
        self.finals: dict[str, api.Action] = {}
        self.log: list[api.Action] = []

    def give(self, event: api.Event) -> list[api.Action]:
        actions = self.balancer.handle(self.now, event)
        for item in actions:
            self.log.append(item)
            if isinstance(item, api.Send):
                self.sent.setdefault(item.request, []).append(item.server)
            elif isinstance(item, api.SetTimer):
                self.timers.append((self.now + item.delay_ms, item.token))
            elif isinstance(item, api.Refuse | api.Fail):
                assert item.request not in self.finals, "a second final answer"
                self.finals[item.request] = item
        return actions

    def listed(self, *names: str, kind: api.ListKind = api.ListKind.CACHED, **fields: object) -> None:
        entries = tuple(api.ServerEntry(name, **fields) for name in names)  # type: ignore[arg-type]
        self.give(api.ServerList(kind, 1, entries))

    def ask(self, klass: str = "read", remaining: float = 1000.0) -> str:
        self.count += 1
        name = f"r{self.count}"
        self.give(api.Request(name, klass, self.now + remaining))
        return name

    def end(
        self, request: str, outcome: api.Outcome, latency: float = 0.0, attempt: int = -1
    ) -> list[api.Action]:
        number = attempt if attempt >= 0 else len(self.sent[request]) - 1
        closed = outcome is api.Outcome.OK
        return self.give(api.AttemptEnded(request, number, outcome, latency, closed))

    def serve(self, klass: str = "read", latency: float = 50.0) -> str:
        """Sends one request and answers it; returns the server that got it."""
        request = self.ask(klass)
        self.now += latency
        self.end(request, api.Outcome.OK, latency)
        return self.sent[request][0]

    def warm(self, latencies: dict[str, float]) -> None:
        """Lets each server answer once with its own latency, so that all become active."""
        self.balancer.limits.limit = max(self.balancer.limits.limit, len(latencies) + 1.0)
        requests = [self.ask() for _ in latencies]
        start = self.now
        for request in sorted(requests, key=lambda item: latencies[self.sent[item][0]]):
            latency = latencies[self.sent[request][0]]
            self.now = start + latency
            self.end(request, api.Outcome.OK, latency)

    def run_timers(self, until: float) -> None:
        while due := sorted(item for item in self.timers if item[0] <= until):
            self.timers.remove(due[0])
            self.now = max(self.now, due[0][0])
            self.give(api.Timer(due[0][1]))
        self.now = max(self.now, until)

    def server(self, name: str):  # type: ignore[no-untyped-def]
        return self.balancer.servers[name]

    def cost(self, name: str, klass: str = "read") -> float:
        balancer = self.balancer
        return balancer.classes[klass].cost(balancer.servers[name])
