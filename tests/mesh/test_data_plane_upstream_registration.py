"""What a sidecar publishes about the instances on its machine, given what its peers have published."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from msgspec.structs import replace

from mesh.admission.final_check import Admitted, Rejected, RejectReason, check_admission
from mesh.data_plane.membership import INSTANCE
from mesh.data_plane.program import Proxy
from mesh.data_plane.shutdown import NOTICE_S
from mesh.membership.instance_commands import DECAYING, SETTLED
from mesh.membership.instance_lifecycle import FINAL_VERSION, SILENT_HEARTBEATS, VERSIONS_PER_HEARTBEAT
from rigs.mesh_peers import Upstream, advance_clock, call, run_ready_callbacks, wait_until, with_timeout
from rigs.whole_sidecar import SidecarRig, run_with_sidecar


def publish_from_peer(proxy: Proxy, instance: str, version: int, value: dict[str, Any] | None) -> None:
    """Applies a value of an instance as published by a peer."""
    item = proxy.membership_store.write(INSTANCE, instance, version, value)
    proxy._on_items("roll", [item])  # type: ignore[list-item]


def value(node: str = "n1", state: str = SETTLED) -> dict[str, Any]:
    return {
        "plant": "s",
        "node": node,
        "zone": "z",
        "epoch": "",
        "capacity": 8,
        "state": state,
        "cold_ms": 0.0,
    }


def state(proxy: Proxy, instance: str) -> str | None:
    """Returns the state of an instance in this sidecar's membership store; None: removed."""
    found = proxy.membership_store.items[INSTANCE, instance].value
    return None if found is None else str(found["state"])


def test_lives_before_the_one_that_beats_here_are_gone_and_others_machines_are_left_alone(
    tmp_path: Path,
) -> None:
    async def test(rig: SidecarRig) -> None:
        proxy = rig.proxy
        publish_from_peer(proxy, "i-before", 5000, value())
        publish_from_peer(proxy, "i-elsewhere", 5000, value(node="n2"))
        proxy.registry.reconcile()
        assert state(proxy, "i-before") is None
        assert proxy.membership_store.items[INSTANCE, "i-before"].version == FINAL_VERSION
        assert (state(proxy, "i-elsewhere"), state(proxy, "i-1")) == (SETTLED, SETTLED)

    run_with_sidecar(tmp_path, test)


def test_without_a_heartbeat_published_states_hold_until_the_upstream_is_silent_for_too_long(
    tmp_path: Path,
) -> None:
    async def test(rig: SidecarRig) -> None:
        proxy = rig.proxy
        rig.upstream.instance = "i-late"
        proxy.upstream.heartbeat = None  # as before the first heartbeat
        publish_from_peer(proxy, "i-1", proxy.upstream.version + 1, value())
        publish_from_peer(proxy, "i-drains", 5000, value(state=DECAYING))
        proxy.registry.reconcile()
        assert (state(proxy, "i-1"), state(proxy, "i-drains")) == (SETTLED, DECAYING)
        verdicts = [check_admission(0.0, proxy.upstream, name, 1.0) for name in ("i-1", "i-drains")]
        assert verdicts == [Admitted(), Rejected(RejectReason.LEAVING)]
        advance_clock(SILENT_HEARTBEATS * proxy.upstream.heartbeat_ms / 1000.0 + 0.01)
        proxy.registry.reconcile()
        assert (state(proxy, "i-1"), state(proxy, "i-drains")) == (None, None)

    run_with_sidecar(tmp_path, test)


def test_one_that_the_others_gave_up_and_that_beats_is_said_again_above_their_word(tmp_path: Path) -> None:
    async def test(rig: SidecarRig) -> None:
        proxy = rig.proxy
        publish_from_peer(proxy, "i-1", FINAL_VERSION, None)
        proxy.registry.reconcile()
        assert state(proxy, "i-1") == SETTLED
        assert proxy.membership_store.items[INSTANCE, "i-1"].version > FINAL_VERSION

    run_with_sidecar(tmp_path, test)


def test_a_heartbeat_of_an_ended_incarnation_is_not_acknowledged_and_nothing_is_published(
    tmp_path: Path,
) -> None:
    async def test(rig: SidecarRig) -> None:
        proxy, upstream = rig.proxy, Upstream("i-dead", "s")
        upstream.address = rig.upstream.address
        publish_from_peer(proxy, "i-dead", FINAL_VERSION, None)
        assert await upstream.send_heartbeat(rig.control) == 503
        assert (state(proxy, "i-dead"), state(proxy, "i-1")) == (None, SETTLED)
        assert await rig.upstream.send_heartbeat(rig.control) == 200

    run_with_sidecar(tmp_path, test)


def test_a_value_published_above_the_end_of_an_incarnation_is_withdrawn(tmp_path: Path) -> None:
    async def test(rig: SidecarRig) -> None:
        proxy = rig.proxy
        publish_from_peer(proxy, "i-dead", FINAL_VERSION + 1, value())
        proxy.registry.reconcile()
        assert (state(proxy, "i-dead"), state(proxy, "i-1")) == (None, SETTLED)

    run_with_sidecar(tmp_path, test)


def test_at_an_end_the_others_are_told_first_and_clients_answered_until_they_know(tmp_path: Path) -> None:
    async def test(rig: SidecarRig) -> None:
        proxy, loop = rig.proxy, asyncio.get_running_loop()
        published_states: list[str | None] = []
        proxy.channels.schedule_answers = lambda: published_states.append(state(proxy, "i-1"))  # type: ignore[method-assign]
        stop_task = loop.create_task(proxy.stop())
        await run_ready_callbacks()
        assert published_states and published_states[-1] == DECAYING
        assert (await call(rig.readiness, b"GET", b"/"))[0] == 503
        for attempt in ("a1", "a2"):  # new connections are accepted, and close with their response
            client = await rig.client()
            response = await client.request(attempt, "/read/ok")
            # its own upstream accepts nothing new, and there is no other
            assert (response.status, response.get(b"connection")) == (503, "close")
            assert await client.read() is None
        assert proxy.client_listener._listener is not None
        advance_clock(NOTICE_S)
        await wait_until(lambda: proxy.client_listener._listener is None)
        advance_clock(1.0)
        await with_timeout(stop_task)

    run_with_sidecar(tmp_path, test)


def test_changed_settings_leave_the_upstream_unchanged(tmp_path: Path) -> None:
    async def test(rig: SidecarRig) -> None:
        before = dict(rig.proxy.membership_store.items)
        rig.proxy.apply_settings(replace(rig.proxy.settings, seeds=(("127.0.0.8", 1),)))
        rig.proxy.registry.reconcile()
        assert rig.proxy.membership_store.items == before

    run_with_sidecar(tmp_path, test)


def test_a_drain_that_the_others_know_holds_though_a_late_heartbeat_was_read_first(tmp_path: Path) -> None:
    """A restarted sidecar read a settled heartbeat from before the drain and published it above that."""

    async def test(rig: SidecarRig) -> None:
        proxy = rig.proxy  # it has read a settled heartbeat, and no membership yet
        publish_from_peer(proxy, "i-1", 50 * VERSIONS_PER_HEARTBEAT, value(state=DECAYING))
        verdict = check_admission(proxy.balancers.now(), proxy.upstream, "i-1", 1000.0)
        assert verdict == Rejected(RejectReason.LEAVING)
        proxy.registry.reconcile()
        proxy.registry.republish()
        assert state(proxy, "i-1") == DECAYING

    run_with_sidecar(tmp_path, test)
