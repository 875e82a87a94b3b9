"""Which control processes have to hold a departure before it is acknowledged, and what a sidecar answers."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from mesh.data_plane.departure_confirmation import outlives_losses
from mesh.data_plane.membership import INSTANCE
from mesh.data_plane.upstream_registration import ACKNOWLEDGE_WITHIN_S
from mesh.membership.instance_commands import DECAYING, MAX_INSTANCE_ID_LENGTH
from mesh.membership.instance_lifecycle import SIGNED_OFF_VERSION
from mesh.replication.quorum import Place, Tolerance
from rigs.mesh_peers import advance_clock, call, run_ready_callbacks, wait_until, with_timeout
from rigs.whole_sidecar import SidecarRig, run_with_sidecar

A, B, ELSEWHERE = Place("a", "r"), Place("b", "r"), Place("c", "q")


@pytest.mark.parametrize(
    ("holders", "linked", "known", "tolerance", "expected"),
    [
        ([], 0, 0, (0, 0, 0), False),
        ([A], 3, 3, (0, 0, 0), True),
        ([A], 3, 3, (1, 0, 0), False),
        ([A, A], 3, 3, (1, 0, 0), True),
        ([A], 1, 1, (1, 0, 0), True),  # there is no other
        ([A], 1, 3, (1, 0, 0), False),  # the others are not linked yet
        ([A, A], 3, 3, (1, 1, 0), False),
        ([A, B], 3, 3, (1, 1, 0), True),
        ([A, A, A], 3, 9, (1, 1, 0), True),  # no other zone is linked
        ([A, B], 3, 3, (1, 0, 1), False),
        ([A, ELSEWHERE], 3, 3, (1, 0, 1), True),
    ],
)
def test_a_departure_has_to_outlive_the_losses_that_are_tolerated_at_once(
    holders: list[Place], linked: int, known: int, tolerance: tuple[int, int, int], expected: bool
) -> None:
    assert outlives_losses(holders, linked, known, Tolerance(*tolerance)) is expected


def departure_calls(rig: SidecarRig) -> list[asyncio.Task[tuple[int, bytes]]]:
    """A first draining heartbeat and a sign-off of another instance, at one moment."""
    calls = [
        call(rig.control, b"PUT", b"/instances/i-1", rig.upstream.heartbeat_body(DECAYING), timeout_s=5.0),
        call(rig.control, b"DELETE", b"/instances/i-0", timeout_s=5.0),
    ]
    return [asyncio.get_running_loop().create_task(one) for one in calls]


def test_a_departure_is_not_acknowledged_while_this_sidecar_alone_knows_it(tmp_path: Path) -> None:
    """It was acknowledged at once, and lost with the process that was killed right after (commit 8463ebc)."""

    async def test(rig: SidecarRig) -> None:
        items = rig.proxy.membership_store.items
        calls = departure_calls(rig)
        await wait_until(lambda: (INSTANCE, "i-0") in items)
        await run_ready_callbacks()
        assert not any(one.done() for one in calls)
        advance_clock(ACKNOWLEDGE_WITHIN_S + 0.01)
        assert [status for status, _ in await with_timeout(asyncio.gather(*calls))] == [503, 503]
        assert items[INSTANCE, "i-0"].version == SIGNED_OFF_VERSION  # it holds all the same

    run_with_sidecar(tmp_path, test)


def test_a_departure_is_acknowledged_as_soon_as_a_control_process_holds_it(tmp_path: Path) -> None:
    async def test(rig: SidecarRig) -> None:
        calls = departure_calls(rig)
        await run_ready_callbacks()
        channels = await rig.start_control_process()
        assert [status for status, _ in await with_timeout(asyncio.gather(*calls))] == [200, 200]
        held = channels.stores["roll"].items
        assert held[INSTANCE, "i-0"].value is None
        assert held[INSTANCE, "i-1"].value is not None and held[INSTANCE, "i-1"].value["state"] == DECAYING

    run_with_sidecar(tmp_path, test)


def test_a_sign_off_with_an_id_that_no_heartbeat_may_have_is_refused_and_published_nowhere(
    tmp_path: Path,
) -> None:
    async def test(rig: SidecarRig) -> None:
        before = dict(rig.proxy.membership_store.items)
        for instance in b"", b"x" * (MAX_INSTANCE_ID_LENGTH + 1):
            assert (await call(rig.control, b"DELETE", b"/instances/" + instance))[0] == 400
        assert rig.proxy.membership_store.items == before

    run_with_sidecar(tmp_path, test)


def test_a_departure_that_the_store_has_no_room_for_is_not_acknowledged(tmp_path: Path) -> None:
    async def test(rig: SidecarRig) -> None:
        await rig.start_control_process()
        store = rig.proxy.membership_store
        store.max_items = len(store.items)
        assert (await call(rig.control, b"DELETE", b"/instances/i-0"))[0] == 503
        store.max_items += 1
        assert (await call(rig.control, b"DELETE", b"/instances/i-0"))[0] == 200

    run_with_sidecar(tmp_path, test)
