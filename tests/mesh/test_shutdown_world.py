"""LOST around SIGTERM, in virtual time: two whole sidecars, drawn clients, upstreams and troubles.

On the code before its mend requests that were sent 3.8 s after SIGTERM ran and were cut off in the play of
seed 62 (docs/incidents/cut-long-after-sigterm.md).
"""

from __future__ import annotations

from collections.abc import Callable

import pytest
from msgspec.structs import replace

from mesh.data_plane import client_connection
from rigs.shutdown_world import Plan, Result, draw, play
from rigs.shutdown_world.plan import NEVER, ClientPlan, Kind

FOUND = 62
PLAYS = 5  # of one test


@pytest.mark.parametrize("first", range(FOUND - PLAYS + 1, FOUND + 3 * PLAYS, PLAYS))
def test_whatever_clients_and_upstreams_do_an_end_loses_nothing(first: int) -> None:
    for seed in range(first, first + PLAYS):
        result = play(draw(seed))
        assert (result.findings, result.failed) == ([], 0), seed


@pytest.mark.parametrize("first", [7000, 7005])
def test_nor_where_links_are_reset_at_any_moment(first: int) -> None:
    for seed in range(first, first + PLAYS):
        assert play(draw(seed, troubles=True)).findings == [], seed


def ahead() -> Plan:
    """Clients that always send ahead and go on to the exit, as with most of a zone ending."""
    client = ClientPlan(Kind.AHEAD, 0.02, 4)
    return replace(draw(1), clients=(client,) * 6, second_ends_s=NEVER, clients_stop_s=NEVER, delay_s=0.008)


def test_clients_that_send_ahead_to_the_last_lose_nothing_and_hold_up_no_end() -> None:
    result = play(ahead())
    assert result.findings == [] and result.sent > 100
    assert result.took_s < 4.0


def _keeps_open(_: client_connection.PipelinedConnection, slot: client_connection.Slot) -> bool:
    return slot.closes


def _at_once(self: client_connection.PipelinedConnection, _: float) -> bool:
    return self.idle()


Seen = Callable[[Result], bool]
FAULTS: dict[str, tuple[str, Callable[..., bool], Seen]] = {
    "no answer ends its connection": (
        *("_closes_after", _keeps_open),
        lambda result: bool(result.findings) or result.took_s > 5.0,
    ),
    "connections that rest are closed at once": (
        *("may_close", _at_once),
        lambda result: result.crossed > 0,
    ),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_a_seeded_fault_is_seen(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    name, replaced, seen = FAULTS[fault]
    monkeypatch.setattr(client_connection.PipelinedConnection, name, replaced)
    assert any(seen(play(one)) for one in (ahead(), *map(draw, range(1, 30))))
