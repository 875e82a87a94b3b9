"""The balancer of a sharded service: one candidate, bounded waits, and no retry of a call that may have
run."""

from __future__ import annotations

from typing import Any

import pytest

from hareloom import interface as api
from hareloom.interface import Effect, Outcome
from mesh.data_plane.keyed_balancer import HOLDER_POLL_MS, MAX_SENDS, MAX_WAIT_SHARE, KeyedBalancer

AIM_MS = 500.0
SAFE = api.RequestClass("safe", AIM_MS, 2000.0, effect=Effect.SAFE)
UNSAFE = api.RequestClass("unsafe", AIM_MS, 2000.0, effect=Effect.UNSAFE)


class Bench:
    """``holder`` is the upstream that holds all keys now."""

    def __init__(self, holder: str = "i-1") -> None:
        self.now, self.holder = 0.0, holder
        self.balancer = KeyedBalancer(api.Settings(classes=(SAFE, UNSAFE)), lambda _: self.holder)

    def tell(self, event: api.Event) -> list[Any]:
        return self.balancer.handle(self.now, event)

    def ask(self, klass: str = "safe") -> list[Any]:
        return self.tell(api.Request("r", klass, 2000.0))

    def ended(self, outcome: Outcome, closed: bool = False) -> list[Any]:
        return self.tell(api.AttemptEnded("r", 0, outcome, 1.0, closed))

    def looks(self) -> list[Any]:
        """Polls for the holder until there is an action other than the next poll."""
        while True:
            self.now += HOLDER_POLL_MS
            actions = [one for one in self.tell(api.Timer(0)) if not isinstance(one, api.SetTimer)]
            if actions or self.now > 10 * AIM_MS:
                return actions


def test_a_request_goes_to_the_holder_of_its_key_and_to_nobody_else() -> None:
    bench = Bench()
    (send,) = bench.ask()
    assert send == api.Send("r", "i-1", send.timeout_ms)
    assert bench.ended(Outcome.OK, closed=True) == []
    assert bench.ended(Outcome.OK, closed=True) == []  # the request has finished


def test_a_key_in_motion_is_waited_for_and_then_refused_with_a_time_to_come_back() -> None:
    bench = Bench(holder="")
    assert bench.ask() == [api.SetTimer(HOLDER_POLL_MS, 0)]
    (refused,) = bench.looks()
    assert isinstance(refused, api.Refuse) and refused.retry_after_ms > 0.0
    assert bench.now <= MAX_WAIT_SHARE * AIM_MS + HOLDER_POLL_MS


def test_it_goes_to_the_next_holder_as_soon_as_there_is_one() -> None:
    bench = Bench(holder="")
    bench.ask("unsafe")
    bench.holder = "i-2"
    (send,) = bench.looks()
    assert send.server == "i-2"


@pytest.mark.parametrize("klass", ["safe", "unsafe"])
def test_what_was_turned_away_is_looked_at_again_and_never_in_a_loop(klass: str) -> None:
    bench = Bench()
    bench.ask(klass)
    sends = 1
    while True:
        bench.now += 0.1
        actions = bench.ended(Outcome.FULL)
        if not any(isinstance(one, api.Refuse) for one in actions):
            bench.now = 0.0  # its wait never ends here; the number of its sends is the limit
            actions = [one for one in bench.tell(api.Timer(0)) if not isinstance(one, api.SetTimer)]
        if isinstance(actions[0], api.Refuse):
            break
        sends += 1
    assert sends == MAX_SENDS


@pytest.mark.parametrize(
    ("klass", "outcome", "again"),
    [
        ("safe", Outcome.ERROR, True),
        ("safe", Outcome.RESET, True),
        ("safe", Outcome.TIMEOUT, False),
        ("unsafe", Outcome.ERROR, False),
        ("unsafe", Outcome.RESET, False),
    ],
)
def test_only_what_may_be_repeated_is_sent_once_more(klass: str, outcome: Outcome, again: bool) -> None:
    bench = Bench()
    bench.ask(klass)
    (action,) = bench.ended(outcome)
    assert isinstance(action, api.Send if again else api.Fail)
    if again:
        assert bench.ended(outcome) == [api.Fail("r")]


def test_a_client_that_leaves_is_forgotten() -> None:
    bench = Bench(holder="")
    bench.ask()
    assert bench.tell(api.ClientGone("r")) == []
    bench.holder = "i-1"
    assert bench.looks() == []
