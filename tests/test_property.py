"""Random legal event sequences, with the rules checked on every action."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from hareloom import Balancer
from hareloom import interface as api

O = api.Outcome  # noqa: E741
NEVER_RAN = {O.FULL, O.CONNECT_FAILED, O.MOOT}
EFFECTS = ((api.Effect.SAFE, api.Group.ALL), (api.Effect.UNSAFE, api.Group.ALL)) + tuple(
    (api.Effect.KEYED, group) for group in api.Group
)


def deployment(rng: random.Random, second_copies: bool) -> api.Settings:
    """Random settings: aims over two orders of magnitude, 1 to 60 sidecars, 1 to 6 attempts."""
    aim = 100.0 * 10.0 ** rng.uniform(-1.0, 1.0)
    classes = tuple(
        api.RequestClass(
            f"{effect.value}-{group.value}",
            aim * rng.uniform(0.5, 2.0),
            aim * rng.uniform(2.5, 6.0),
            late_worth=rng.choice([0.0, 0.5]),
            effect=effect,
            group=group,
            window_ms=aim * rng.uniform(0.5, 6.0),
        )
        for effect, group in EFFECTS
    )
    limits = api.Limits(
        max_attempts=rng.randint(1, 6),
        may_cancel=rng.random() < 0.5,
        second_copies=second_copies,
        max_retry_after_ms=rng.choice([0.0, 500.0]),
        connect_timeout_ms=aim * rng.uniform(0.1, 2.0),
    )
    return api.Settings(
        classes,
        peers=rng.choice([1, 2, 10, 60]),
        zone="z0",
        asks_for_list=rng.random() < 0.5,
        sized=rng.random() < 0.5,
        limits=limits,
        rules=api.Rules(answer_slack_ms=5.0, cold_ms=rng.choice([0.0, 9.0 * aim])),
        cross_zone_price=rng.choice([0.0, 0.02]),
    )


class World:
    """A legal environment: it tracks attempts in flight, what may have run, and the state of each server."""

    def __init__(self, rng: random.Random, second_copies: bool) -> None:
        self.rng, self.now, self.second_copies = rng, 0.0, second_copies
        self.settings = deployment(rng, second_copies)
        self.pace = self.settings.classes[0].aim_ms / 100.0
        self.fleet = rng.choice([3, 6, 60])
        self.balancer = Balancer(self.settings, rng.randrange(1000))
        self.servers: dict[str, api.ServerEntry] = {}
        self.timers: list[tuple[float, int]] = []
        self.requests: dict[str, dict] = {}  # type: ignore[type-arg]
        self.count = 0

    def give(self, event: api.Event) -> None:
        for action in self.balancer.handle(self.now, event):
            self.check(action)

    def check(self, action: api.Action) -> None:
        if isinstance(action, api.SetTimer):
            assert action.delay_ms >= 0.0
            self.timers.append((self.now + action.delay_ms, action.token))
            return
        if isinstance(action, api.Subscribe | api.Probe):
            return
        held = self.requests[action.request]
        if isinstance(action, api.Cancel):
            assert self.settings.limits.may_cancel and action.attempt < len(held["attempts"])
            return
        assert not held["closed"], "rule 1: an action for a closed request"
        klass, ran = held["klass"], [a for a in held["attempts"] if a["outcome"] not in NEVER_RAN]
        if isinstance(action, api.Send):
            entry = self.servers[action.server]
            assert entry.state is api.ServerState.READY, "rule 3"
            assert self.now < held["deadline"]
            assert len(held["attempts"]) < self.settings.limits.max_attempts
            assert self.second_copies or all(a["outcome"] for a in held["attempts"])
            if ran and klass.effect is not api.Effect.SAFE:
                assert klass.effect is api.Effect.KEYED, "rule 2: an unsafe request sent again"
                assert self.now <= ran[0]["sent"] + klass.window_ms, "rule 2: outside the window"
                for attempt in ran:
                    if klass.group is api.Group.ZONE:
                        assert attempt["entry"].zone == entry.zone
                    if klass.group is api.Group.CELL:
                        assert attempt["entry"].cell == entry.cell
            held["attempts"].append({"entry": entry, "sent": self.now, "outcome": None})
            return
        if isinstance(action, api.Refuse) and ran and klass.effect is not api.Effect.SAFE:
            assert klass.effect is api.Effect.KEYED and klass.group is api.Group.ALL, "rule 2: refused"
        held["closed"] = True

    def step(self) -> None:
        rng = self.rng
        self.now += self.pace * rng.choice([0.0, 1.0, 5.0, 20.0])
        for item in sorted(item for item in self.timers if item[0] <= self.now):
            self.timers.remove(item)
            self.give(api.Timer(item[1]))
        for held in self.requests.values():
            if self.now > held["deadline"] + 5.0:
                assert held["closed"], "rule 1: no final answer in time"
        kind = rng.random()
        if kind < 0.15:
            self.change_list()
        elif kind < 0.5:
            self.count += 1
            name, klass = f"r{self.count}", rng.choice(self.settings.classes)
            deadline = self.now + min(self.pace * rng.choice([1.0, 30.0, 200.0, 500.0]), klass.deadline_ms)
            self.requests[name] = {"klass": klass, "deadline": deadline, "attempts": [], "closed": False}
            self.give(api.Request(name, klass.name, deadline))
        elif kind < 0.95:
            self.end_one()
        elif self.requests:
            name = rng.choice(sorted(self.requests))
            self.requests[name]["closed"] = True
            self.give(api.ClientGone(name))

    def end_one(self) -> None:
        inflight = [
            (name, number)
            for name, held in self.requests.items()
            for number, attempt in enumerate(held["attempts"])
            if not attempt["outcome"]
        ]
        if inflight:
            name, number = self.rng.choice(inflight)
            held = self.requests[name]
            attempt = held["attempts"][number]
            attempt["outcome"] = self.rng.choice([O.OK, O.OK, O.OK, *O])
            held["closed"] = held["closed"] or attempt["outcome"] is O.OK
            latency = self.now - attempt["sent"]
            self.give(api.AttemptEnded(name, number, attempt["outcome"], latency, held["closed"]))

    def change_list(self) -> None:
        number = self.rng.randrange(self.fleet)
        name = f"s{number}"
        state = self.rng.choice([api.ServerState.READY, api.ServerState.READY, *api.ServerState])
        started = self.rng.choice([None, None, self.now])
        entry = api.ServerEntry(name, state, f"z{number // 4}", number // 2, "kind", 1.0, started)
        if self.rng.random() < 0.1:
            self.give(api.ServerList(api.ListKind.LOST))
        elif self.rng.random() < 0.2:
            gone = [known for known in self.servers if known != name and self.rng.random() < 0.3]
            for known in gone:
                self.servers[known] = api.ServerEntry(known, api.ServerState.GONE)
            self.servers[name] = entry
            kept = tuple(item for item in self.servers.values() if item.state is not api.ServerState.GONE)
            self.give(api.ServerList(api.ListKind.FULL, 1, kept))
        else:
            self.servers[name] = entry
            self.give(api.ServerList(api.ListKind.DELTA, 1, (entry,)))

    def check_views(self) -> None:
        """Checks that incrementally maintained state equals the state computed from scratch."""
        balancer = self.balancer
        balancer.working.best_w(balancer.now)  # refreshes the views of the set
        active = [s for s in balancer.working.set if s.active]
        assert balancer.working.actives == active
        assert balancer.working.active_inflight == sum(len(s.attempts) for s in active)
        warm = [s.w for s in balancer.working.set if s.active and s.cold_since is None and s.w is not None]
        assert balancer.working.sorted_ws == sorted(warm)
        waiting = [item for queue in balancer.queue.queues for item in queue.values()]
        assert balancer.queue.waiting == len(waiting) and all(item.queued and item.open for item in waiting)
        balancer.pick.mark_overdue(balancer.now)
        for server in balancer.servers.values():
            assert server.inflight == len(server.attempts)
            expected = sum(max(a.charge, balancer.now - a.sent_at) for a in server.attempts)
            actual = server.open_charge + server.overdue_count * balancer.now - server.overdue_sent
            assert actual == pytest.approx(expected, rel=1e-9, abs=1e-6)
        schedule = balancer.schedule
        assert len(self.timers) == len(schedule.timers), "timers of the host and of the schedule differ"
        first = min((entry[0] for entry in schedule.entries), default=None)
        assert first is None or min(at for at, _ in self.timers) <= first + 1e-9


@seed(20)
@settings(max_examples=120, deadline=None, database=None)
@given(st.integers(0, 2**32), st.booleans())
def test_rules_hold_on_random_legal_sequences(number: int, second_copies: bool) -> None:
    world = World(random.Random(number), second_copies)
    world.give(api.ServerList(api.ListKind.CACHED, 1, ()))
    for _ in range(300):
        world.step()
        world.check_views()


def test_the_same_events_give_the_same_actions() -> None:
    def actions() -> list[api.Action]:
        world, found = World(random.Random(5), True), []
        unwrapped = world.check
        world.check = lambda action: (found.append(action), unwrapped(action))[1]  # type: ignore[method-assign]
        world.give(api.ServerList(api.ListKind.CACHED, 1, ()))
        for _ in range(400):
            world.step()
        return found

    assert actions() == actions() and len(actions()) > 250


@pytest.mark.parametrize("field", ["max_attempts", "tick_ms", "cold_from", "cold_ms", "aim_ms", "window_ms"])
def test_invalid_settings_name_the_field(field: str) -> None:
    with pytest.raises(ValueError, match=field):
        api.Settings(
            (
                api.RequestClass(
                    "x", float(field != "aim_ms"), 2.0, window_ms=-1.0 if field == "window_ms" else 0.0
                ),
            ),
            limits=api.Limits(max_attempts=0 if field == "max_attempts" else 1),
            rules=api.Rules(
                cold_from=0.0 if field == "cold_from" else 0.5, cold_ms=-1.0 if field == "cold_ms" else 0.0
            ),
            tick_ms=0.0 if field == "tick_ms" else 1.0,
        )


@pytest.mark.parametrize("value", [float("nan"), float("inf")])
def test_settings_that_are_not_finite_name_the_field(value: float) -> None:
    safe = api.RequestClass("x", 1.0, 2.0)
    for field, make in (
        ("tick_ms", lambda: api.Settings((safe,), tick_ms=value)),
        ("cold_ms", lambda: api.Settings((safe,), rules=api.Rules(cold_ms=value))),
        ("max_retry_after_ms", lambda: api.Settings((safe,), limits=api.Limits(max_retry_after_ms=value))),
        ("deadline_ms", lambda: api.Settings((api.RequestClass("x", 1.0, value),))),
    ):
        with pytest.raises(ValueError, match=field):
            make()


def test_one_alarm_serves_many_requests_and_an_early_ring_counts_as_its_instant() -> None:
    balancer = Balancer(api.Settings((api.RequestClass("x", 100.0, 500.0, late_worth=0.5),)), 1)
    timers = []
    for number in range(50):  # no server is listed: all requests wait and are ended by timers
        actions = balancer.handle(0.1 * number, api.Request(f"r{number}", "x", 400.0))
        timers += [item for item in actions if isinstance(item, api.SetTimer)]
    assert len(timers) == 1
    refused, now = 0, 0.0
    while timers:
        timer = timers.pop(0)
        now += timer.delay_ms - 0.001
        actions = balancer.handle(now, api.Timer(timer.token))
        refused += sum(isinstance(item, api.Refuse) for item in actions)
        assert any(isinstance(item, api.Refuse) for item in actions), "nothing was due when the timer fired"
        timers += [item for item in actions if isinstance(item, api.SetTimer)]
        assert balancer.handle(now, api.Timer(10**9)) == [], "an unknown timer has no effect"
    assert refused == 50 and not balancer.requests
