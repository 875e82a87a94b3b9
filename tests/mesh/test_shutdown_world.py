"""No request is lost around SIGTERM: two sidecars in virtual time, with random clients, upstreams and faults.

Guards against requests sent 3.8 s after SIGTERM that were executed and whose connections were then closed, as
seed 62 showed (docs/incidents/cut-long-after-sigterm.md).
"""

from __future__ import annotations

from collections.abc import Callable

import pytest
from msgspec.structs import replace

from mesh.data_plane import client_connection
from rigs.shutdown_world import Plan, Result, draw_plan, run_plan
from rigs.shutdown_world.plan import NEVER, ClientPlan, Kind

SEED_OF_THE_LOSS = 62
RUNS = 5  # in one test


@pytest.mark.parametrize("first", range(SEED_OF_THE_LOSS - RUNS + 1, SEED_OF_THE_LOSS + 3 * RUNS, RUNS))
def test_whatever_clients_and_upstreams_do_an_end_loses_nothing(first: int) -> None:
    for seed in range(first, first + RUNS):
        result = run_plan(draw_plan(seed))
        assert (result.findings, result.failed) == ([], 0), seed


@pytest.mark.parametrize("first", [7000, 7005])
def test_link_resets_during_a_shutdown_lose_nothing(first: int) -> None:
    for seed in range(first, first + RUNS):
        assert run_plan(draw_plan(seed, link_resets=True)).findings == [], seed


def pipelining_plan() -> Plan:
    """Clients that always pipeline requests and continue until the exit, as if most of a zone shut down."""
    client = ClientPlan(Kind.AHEAD, 0.02, 4)
    return replace(
        draw_plan(1), clients=(client,) * 6, second_ends_s=NEVER, clients_stop_s=NEVER, delay_s=0.008
    )


def test_pipelining_clients_lose_nothing_and_do_not_delay_the_shutdown() -> None:
    result = run_plan(pipelining_plan())
    assert result.findings == [] and result.requests > 100
    assert result.shutdown_s < 4.0


def _keeps_connections_open(_: client_connection.PipelinedConnection, slot: client_connection.Slot) -> bool:
    return slot.closes


def _closes_when_idle(self: client_connection.PipelinedConnection, _: float) -> bool:
    return self.idle()


Detects = Callable[[Result], bool]
SEEDED_FAULTS: dict[str, tuple[str, Callable[..., bool], Detects]] = {
    "no answer closes its connection": (
        *("_closes_after", _keeps_connections_open),
        lambda result: bool(result.findings) or result.shutdown_s > 5.0,
    ),
    "idle connections are closed at once": (
        *("may_close", _closes_when_idle),
        lambda result: result.crossed_close > 0,
    ),
}


@pytest.mark.parametrize("fault", SEEDED_FAULTS)
def test_a_seeded_fault_is_seen(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    name, replacement, detects = SEEDED_FAULTS[fault]
    monkeypatch.setattr(client_connection.PipelinedConnection, name, replacement)
    assert any(detects(run_plan(plan)) for plan in (pipelining_plan(), *map(draw_plan, range(1, 30))))
