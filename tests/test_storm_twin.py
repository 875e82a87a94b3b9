"""The fleet in virtual time: one run for a seed, one outcome for a call; what comes to returning servers."""

from __future__ import annotations

from dataclasses import asdict
from pathlib import Path

import msgspec
import pytest

from hareloom import Balancer
from hareloom.interface import Effect
from rigs import storm_scenario
from rigs.storm_scenario import Scenario
from rigs.storm_twin import Twin, summary

SMALL = {"servers": {"count": 5, "workers": 2}, "sidecars": 3, "seconds": 12}


def scenario(**changes: object) -> Scenario:
    return msgspec.convert({"name": "t"} | SMALL | changes, Scenario)


def test_a_run_is_a_function_of_its_scenario_and_seed() -> None:
    made = scenario(outage={"at_ms": 4000, "for_ms": 2000, "share": 0.4}, clients={"ignoring": 0.3})
    runs = [Twin(made, seed).run() for seed in (1, 1, 2)]
    assert [asdict(item) for item in runs[0].bins] == [asdict(item) for item in runs[1].bins]
    assert summary(runs[0]) == summary(runs[1]) != summary(runs[2])


class Watched(Balancer):
    """Sends that the four rules forbid, whatever the twin makes of them."""

    def handle(self, now: float, event: object):  # type: ignore[no-untyped-def]
        actions = super().handle(now, event)  # type: ignore[arg-type]
        for held in self.requests.values():
            ran = [attempt for attempt in held.attempts if attempt.may_have_run]
            assert len(ran) <= 1 or held.klass.effect is not Effect.UNSAFE, "a sale was sent again"
        return actions


@pytest.mark.parametrize("kind", ["silent", "dead"])
def test_every_try_has_one_outcome_and_no_sale_is_sent_again(kind: str) -> None:
    outage = {"kind": kind, "at_ms": 4000, "for_ms": 2000, "share": 0.4, "flaps": 2, "late_share": 0.5}
    made = scenario(outage=outage, load=0.9, clients={"ignoring": 0.3, "impatient": 0.1})
    twin = Twin(made, 3, Watched).run()
    bins = twin.bins
    tries = sum(b.offered for b in bins)
    ended = sum(b.served + b.refused + b.failed + b.lost for b in bins)
    in_hand = sum(len(sidecar.calls) for sidecar in twin.sidecars)
    assert tries == ended + in_hand and tries > 1000
    assert sum(b.lost for b in bins) <= sum(b.first for b in bins) * 0.1, "only the impatient go away"
    assert any(server.born is not None for server in twin.servers)


def test_a_server_falls_when_too_much_comes_for_too_long_and_comes_back_cold() -> None:
    made = scenario(servers=SMALL["servers"] | {"fall_multiple": 0.1}, outage={"kind": "none"})  # type: ignore[operator]
    twin = Twin(made, 1).run()
    assert twin.fell > 0
    server = next(item for item in twin.servers if item.born is not None)
    assert server.falls > 0 and server.started > 0


@pytest.mark.parametrize("told", [(0.0, 0.0), (500.0, 2500.0)], ids=["in the same moment", "one by one"])
def test_servers_that_return_cold_together_get_no_more_than_they_can_do(told: tuple[float, float]) -> None:
    outage = {"at_ms": 8000, "for_ms": 2000, "share": 0.4, "told_ms": told}
    twin = Twin(scenario(outage=outage, seconds=20), 1).run()
    found = summary(twin)
    assert found.falls == 0 and 0.0 < found.peak <= made_limit(twin)
    assert found.recovered_ms < 5000.0 and found.before > 0.95


def made_limit(twin: Twin) -> float:
    """What a starting server may be sent, of what it can do: half of where it falls."""
    return twin.scenario.servers.fall_multiple / 2.0


def test_a_scenario_names_the_field_that_cannot_be_used(tmp_path: Path) -> None:
    file = tmp_path / "s.toml"
    file.write_text('name = "a"\nload = -1\n')
    with pytest.raises(ValueError, match=r"s\.toml: .*load"):
        storm_scenario.load(file)
    file.write_text('name = "a"\nlode = 1\n')
    with pytest.raises(ValueError, match="lode"):
        storm_scenario.load(file)
    file.write_text('name = "a"\n')
    assert storm_scenario.load(file) == Scenario(name="a")
