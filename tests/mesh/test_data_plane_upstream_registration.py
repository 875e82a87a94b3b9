"""What a sidecar publishes about the instances at its machine, compared with what the others have."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from msgspec.structs import replace

from mesh.data_plane.membership import INSTANCE
from mesh.data_plane.program import Proxy
from mesh.data_plane.shutdown import NOTICE_S
from mesh.membership.instance_commands import DECAYING, SETTLED
from mesh.membership.instance_lifecycle import FINAL_VERSION, SILENT_HEARTBEATS
from rigs.mesh_peers import Upstream, call, move, soon, turns, until
from rigs.whole_sidecar import SidecarRig, run_with_sidecar


def told(proxy: Proxy, instance: str, version: int, value: dict[str, Any] | None) -> None:
    """The others publish this about an instance."""
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
    """The value in this sidecar's roll; None: removed."""
    found = proxy.membership_store.items[INSTANCE, instance].value
    return None if found is None else str(found["state"])


def test_lives_before_the_one_that_beats_here_are_gone_and_others_machines_are_left_alone(
    tmp_path: Path,
) -> None:
    async def test(there: SidecarRig) -> None:
        proxy = there.proxy
        told(proxy, "i-before", 5000, value())
        told(proxy, "i-elsewhere", 5000, value(node="n2"))
        proxy.registry.reconcile()
        assert state(proxy, "i-before") is None
        assert proxy.membership_store.items[INSTANCE, "i-before"].version == FINAL_VERSION
        assert (state(proxy, "i-elsewhere"), state(proxy, "i-1")) == (SETTLED, SETTLED)

    run_with_sidecar(tmp_path, test)


def test_without_a_beat_what_is_said_of_this_machine_stands_until_the_upstream_was_silent(
    tmp_path: Path,
) -> None:
    async def test(there: SidecarRig) -> None:
        proxy = there.proxy
        there.upstream.instance = "i-late"
        proxy.upstream.heartbeat = None  # as before the first heartbeat
        told(proxy, "i-1", proxy.upstream.version + 1, value())
        told(proxy, "i-drains", 5000, value(state=DECAYING))
        proxy.registry.reconcile()
        assert (state(proxy, "i-1"), state(proxy, "i-drains")) == (SETTLED, DECAYING)
        assert proxy.upstream.published_decaying == {"i-drains"}
        move(SILENT_HEARTBEATS * proxy.upstream.heartbeat_ms / 1000.0 + 0.01)
        proxy.registry.reconcile()
        assert (state(proxy, "i-1"), state(proxy, "i-drains")) == (None, None)

    run_with_sidecar(tmp_path, test)


def test_one_that_the_others_gave_up_and_that_beats_is_said_again_above_their_word(tmp_path: Path) -> None:
    async def test(there: SidecarRig) -> None:
        proxy = there.proxy
        told(proxy, "i-1", FINAL_VERSION, None)
        proxy.registry.reconcile()
        assert state(proxy, "i-1") == SETTLED
        assert proxy.membership_store.items[INSTANCE, "i-1"].version > FINAL_VERSION

    run_with_sidecar(tmp_path, test)


def test_a_beat_of_a_life_that_is_over_is_not_acknowledged_and_nothing_is_said_of_it(tmp_path: Path) -> None:
    async def test(there: SidecarRig) -> None:
        proxy, upstream = there.proxy, Upstream("i-dead", "s")
        upstream.address = there.upstream.address
        told(proxy, "i-dead", FINAL_VERSION, None)
        assert await upstream.send_heartbeat(there.control) == 503
        assert (state(proxy, "i-dead"), state(proxy, "i-1")) == (None, SETTLED)
        assert await there.upstream.send_heartbeat(there.control) == 200

    run_with_sidecar(tmp_path, test)


def test_what_was_said_of_the_dead_once_more_above_its_end_is_taken_back(tmp_path: Path) -> None:
    async def test(there: SidecarRig) -> None:
        proxy = there.proxy
        told(proxy, "i-dead", FINAL_VERSION + 1, value())
        proxy.registry.reconcile()
        assert (state(proxy, "i-dead"), state(proxy, "i-1")) == (None, SETTLED)

    run_with_sidecar(tmp_path, test)


def test_at_an_end_the_others_are_told_first_and_clients_answered_until_they_know(tmp_path: Path) -> None:
    async def test(there: SidecarRig) -> None:
        proxy, loop = there.proxy, asyncio.get_running_loop()
        told_in_turn: list[str | None] = []
        proxy.channels.schedule_answers = lambda: told_in_turn.append(state(proxy, "i-1"))  # type: ignore[method-assign]
        ends = loop.create_task(proxy.stop())
        await turns()
        assert told_in_turn and told_in_turn[-1] == DECAYING
        assert (await call(there.readiness, b"GET", b"/"))[0] == 503
        for attempt in ("a1", "a2"):  # new connections are accepted, and close with their response
            client = await there.client()
            answer = await client.request(attempt, "/read/ok")
            # its own upstream accepts nothing new, and there is no other
            assert (answer.status, answer.get(b"connection")) == (503, "close")
            assert await client.read() is None
        assert proxy.client_listener._listener is not None
        move(NOTICE_S)
        await until(lambda: proxy.client_listener._listener is None)
        move(1.0)
        await soon(ends)

    run_with_sidecar(tmp_path, test)


def test_settings_that_change_leave_the_upstream_as_it_is(tmp_path: Path) -> None:
    async def test(there: SidecarRig) -> None:
        before = dict(there.proxy.membership_store.items)
        there.proxy.apply_settings(replace(there.proxy.settings, seeds=(("127.0.0.8", 1),)))
        there.proxy.registry.reconcile()
        assert there.proxy.membership_store.items == before

    run_with_sidecar(tmp_path, test)
