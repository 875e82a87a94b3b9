"""`state restore` after more losses than are tolerated: the decision alone, and with real processes."""

from __future__ import annotations

import asyncio
import json
import shutil
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from typer.testing import CliRunner, Result

from benchmarks.catch_up import Mesh
from mesh.cli.command import app
from mesh.replication.membership_epochs import EMPTY_VIEW, View
from mesh.replication.quorum import Place, Tolerance
from mesh.replication.restore import EPOCH_STEP, restored_view
from rigs.mesh_peers import patch_body, poll_until, route

ONE = Tolerance(1, 0, 0)
ABC = View(5, {name: Place("z", "r") for name in "abc"})


def decide(
    reached: dict[str, bool], lost: str = "", copy: View | None = None, view: View = ABC
) -> View | str:
    return restored_view("a", view, reached, lost, copy, ONE)


def test_a_complete_disk_leads_with_the_other_complete_disks() -> None:
    assert decide({"a": True, "b": False, "c": False}) == View(5 + EPOCH_STEP, {"a": Place("z", "r")})
    five = View(7, {name: Place("", "") for name in "abcde"})
    view = decide({"a": True, "b": True, "c": False}, "de", view=five)
    assert isinstance(view, View) and set(view.members) == {"a", "b"} and not view.joint


@pytest.mark.parametrize(
    ("reached", "lost", "copy", "why"),
    [
        ({"a": True, "b": True}, "c", None, "enough of those who count"),
        ({"a": True, "b": False}, "", None, "c: counts, is not reached"),
        ({"a": True, "b": False}, "bc", None, "--lost: b answers"),
        ({"a": False, "b": True}, "c", None, "ask b"),
        ({"a": False, "b": False}, "c", None, "no disk counts any more"),
        ({"a": False, "b": True, "c": False}, "", ABC, "b: its disk counts and is newer"),
        ({"a": False}, "b", ABC, "c: counts, is not reached"),
        ({"a": False}, "bc", View(9, {"d": Place("", "")}), "d: counts, is not reached"),
    ],
)
def test_older_state_is_not_restored(
    reached: dict[str, bool], lost: str, copy: View | None, why: str
) -> None:
    reason = decide(reached, lost, copy)
    assert isinstance(reason, str) and why in reason


def test_a_backup_leads_alone_with_an_epoch_above_all_known_ones() -> None:
    for view in (ABC, EMPTY_VIEW):
        restored = decide({"a": False, "b": False, "c": False}, "", View(8, ABC.members), view)
        assert restored == View(8 + EPOCH_STEP, {"a": Place("z", "r")})


@pytest.fixture
def mesh(tmp_path: Path) -> Mesh:
    return Mesh(tmp_path)


def run_scenario(mesh: Mesh, scenario: Callable[[], Awaitable[None]]) -> None:
    async def run_and_stop() -> None:
        try:
            await scenario()
        finally:
            for at in list(mesh.processes):
                await mesh.kill(at)

    asyncio.run(run_and_stop())


async def start_core(mesh: Mesh) -> None:
    for at in range(3):
        await mesh.start(at, cold=True)
    await mesh.operator.change(patch_body(route("one", "/one/", "p"), services=["p"]))
    await mesh.wait_until_caught_up(2, 20.0)


async def routes(mesh: Mesh, at: int) -> dict[str, str]:
    configuration = await mesh.operator.read((mesh.ips[at], mesh.ports[1]), 20.0)
    return {law["name"]: law["epoch"] for port in configuration["input_ports"] for law in port["control_law"]}


def run_command(mesh: Mesh, *arguments: str, at: int = 0) -> Result:
    return CliRunner().invoke(app, [*arguments, "--at", f"{mesh.ips[at]}:{mesh.ports[0]}", "--wait", "10"])


async def restore_until_successful(mesh: Mesh, *arguments: str) -> Result:
    """Repeats the command until it succeeds; a process knows the others only once it has links to them."""
    results: list[Result] = []

    async def done() -> bool:
        results.append(await asyncio.to_thread(run_command, mesh, "state", "restore", *arguments))
        return results[-1].exit_code == 0

    await poll_until(done, 20.0)
    return results[-1]


def test_one_disk_of_three_is_restored_and_a_lost_member_starts_empty(mesh: Mesh) -> None:
    async def scenario() -> None:
        await start_core(mesh)
        refused = await asyncio.to_thread(run_command, mesh, "state", "restore")
        assert refused.exit_code == 4 and "the mesh serves" in refused.stderr
        for at in (1, 2):
            await mesh.kill(at)
        shutil.rmtree(mesh.folder / "disk-1")
        await mesh.start(1, cold=False)
        await poll_until(lambda: _both_answer(mesh, 0, 1), 20.0)
        refused = await asyncio.to_thread(run_command, mesh, "state", "restore", "--from", "core-0")
        assert refused.exit_code == 4 and "is not reached, and may hold" in refused.stderr.replace("\n", " ")
        result = await restore_until_successful(mesh, "--from", "core-0", "--lost", mesh.ips[2])
        assert "1 items restored" in result.stdout or "2 items restored" in result.stdout, result.stdout
        await mesh.wait_until_caught_up(1, 20.0)
        assert await routes(mesh, 1) == {"one": "r1"}
        await mesh.operator.change(patch_body(route("one", "/one/", "p", 2)))
        await mesh.start(2, cold=False)  # returns with its old disk
        await mesh.wait_until_caught_up(2, 20.0)
        assert "W409" in (mesh.folder / "core-2.log").read_text()
        assert await routes(mesh, 2) == {"one": "r2"}

    run_scenario(mesh, scenario)


def test_a_backup_is_restored_if_no_disk_is_complete(mesh: Mesh) -> None:
    async def scenario() -> None:
        await start_core(mesh)
        result = await asyncio.to_thread(run_command, mesh, "state", "backup", "copy", "--from", "core-0")
        assert result.exit_code == 0, result.output
        shutil.copytree(mesh.folder / "disk-0" / "copy", mesh.folder / "kept")
        for at in range(3):
            await mesh.kill(at)
            shutil.rmtree(mesh.folder / f"disk-{at}")
        for at in range(3):
            await mesh.start(at, cold=False)
        await poll_until(lambda: _both_answer(mesh, 0, 1), 20.0)
        shutil.copytree(mesh.folder / "kept", mesh.folder / "disk-0" / "kept")
        await restore_until_successful(mesh, "kept", "--from", "core-0")
        for at in range(3):
            await mesh.wait_until_caught_up(at, 20.0)
            assert await routes(mesh, at) == {"one": "r1"}
        damaged = mesh.folder / "disk-0" / "kept" / "store.mdb"
        damaged.write_bytes(damaged.read_bytes()[:5000])
        assert (await asyncio.to_thread(run_command, mesh, "state", "restore", "kept")).exit_code == 4

    run_scenario(mesh, scenario)


async def _both_answer(mesh: Mesh, at: int, other: int) -> bool:
    """Whether both processes answer."""
    return bool(await mesh.status(at)) and bool(await mesh.status(other))


def test_a_result_is_json_with_the_json_flag(mesh: Mesh) -> None:
    result = run_command(mesh, "state", "restore", "--json")
    assert result.exit_code == 3 and "no process answers" in json.loads(result.stdout)["error"]
