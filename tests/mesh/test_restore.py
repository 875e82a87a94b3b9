"""`state restore`: who may lead on after more losses than are borne, by itself and with real processes."""

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
from rigs.mesh_peers import patch_body, polled, route

ONE = Tolerance(1, 0, 0)
ABC = View(5, {name: Place("z", "r") for name in "abc"})


def begins(
    reached: dict[str, bool], lost: str = "", copy: View | None = None, view: View = ABC
) -> View | str:
    return restored_view("a", view, reached, lost, copy, ONE)


def test_a_disk_that_counts_leads_with_those_that_count_beside_it() -> None:
    assert begins({"a": True, "b": False, "c": False}) == View(5 + EPOCH_STEP, {"a": Place("z", "r")})
    five = View(7, {name: Place("", "") for name in "abcde"})
    told = begins({"a": True, "b": True, "c": False}, "de", view=five)
    assert isinstance(told, View) and set(told.members) == {"a", "b"} and not told.joint


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
def test_older_state_is_not_made_to_lead(
    reached: dict[str, bool], lost: str, copy: View | None, why: str
) -> None:
    told = begins(reached, lost, copy)
    assert isinstance(told, str) and why in told


def test_a_copy_leads_alone_above_all_epochs_that_are_known() -> None:
    for view in (ABC, EMPTY_VIEW):
        told = begins({"a": False, "b": False, "c": False}, "", View(8, ABC.members), view)
        assert told == View(8 + EPOCH_STEP, {"a": Place("z", "r")})


@pytest.fixture
def mesh(tmp_path: Path) -> Mesh:
    return Mesh(tmp_path)


def play(mesh: Mesh, scenario: Callable[[], Awaitable[None]]) -> None:
    async def played() -> None:
        try:
            await scenario()
        finally:
            for at in list(mesh.processes):
                await mesh.kill(at)

    asyncio.run(played())


async def begun(mesh: Mesh) -> None:
    for at in range(3):
        await mesh.start(at, cold=True)
    await mesh.operator.change(patch_body(route("one", "/one/", "p"), services=["p"]))
    await mesh.level(2, 20.0)


async def routes(mesh: Mesh, at: int) -> dict[str, str]:
    told = await mesh.operator.read((mesh.ips[at], mesh.ports[1]), 20.0)
    return {law["name"]: law["epoch"] for port in told["input_ports"] for law in port["control_law"]}


def run(mesh: Mesh, *arguments: str, at: int = 0) -> Result:
    return CliRunner().invoke(app, [*arguments, "--at", f"{mesh.ips[at]}:{mesh.ports[0]}", "--wait", "10"])


async def restored_by(mesh: Mesh, *arguments: str) -> Result:
    """Asked until it is done: what a process knows of the others comes with its links."""
    found: list[Result] = []

    async def done() -> bool:
        found.append(await asyncio.to_thread(run, mesh, "state", "restore", *arguments))
        return found[-1].exit_code == 0

    await polled(done, 20.0)
    return found[-1]


def test_one_disk_of_three_leads_on_and_one_given_up_starts_over(mesh: Mesh) -> None:
    async def scenario() -> None:
        await begun(mesh)
        refused = await asyncio.to_thread(run, mesh, "state", "restore")
        assert refused.exit_code == 4 and "the mesh serves" in refused.stderr
        for at in (1, 2):
            await mesh.kill(at)
        shutil.rmtree(mesh.folder / "disk-1")
        await mesh.start(1, cold=False)
        await polled(lambda: _reaches(mesh, 0, 1), 20.0)
        refused = await asyncio.to_thread(run, mesh, "state", "restore", "--from", "core-0")
        assert refused.exit_code == 4 and "is not reached, and may hold" in refused.stderr.replace("\n", " ")
        told = await restored_by(mesh, "--from", "core-0", "--lost", mesh.ips[2])
        assert "1 items lead" in told.stdout or "2 items lead" in told.stdout, told.stdout
        await mesh.level(1, 20.0)
        assert await routes(mesh, 1) == {"one": "r1"}
        await mesh.operator.change(patch_body(route("one", "/one/", "p", 2)))
        await mesh.start(2, cold=False)  # it comes back with its disk after all
        await mesh.level(2, 20.0)
        assert "W409" in (mesh.folder / "core-2.log").read_text()
        assert await routes(mesh, 2) == {"one": "r2"}

    play(mesh, scenario)


def test_a_copy_leads_where_no_disk_counts(mesh: Mesh) -> None:
    async def scenario() -> None:
        await begun(mesh)
        told = await asyncio.to_thread(run, mesh, "state", "backup", "copy", "--from", "core-0")
        assert told.exit_code == 0, told.output
        shutil.copytree(mesh.folder / "disk-0" / "copy", mesh.folder / "kept")
        for at in range(3):
            await mesh.kill(at)
            shutil.rmtree(mesh.folder / f"disk-{at}")
        for at in range(3):
            await mesh.start(at, cold=False)
        await polled(lambda: _reaches(mesh, 0, 1), 20.0)
        shutil.copytree(mesh.folder / "kept", mesh.folder / "disk-0" / "kept")
        await restored_by(mesh, "kept", "--from", "core-0")
        for at in range(3):
            await mesh.level(at, 20.0)
            assert await routes(mesh, at) == {"one": "r1"}
        damaged = mesh.folder / "disk-0" / "kept" / "store.mdb"
        damaged.write_bytes(damaged.read_bytes()[:5000])
        assert (await asyncio.to_thread(run, mesh, "state", "restore", "kept")).exit_code == 4

    play(mesh, scenario)


async def _reaches(mesh: Mesh, at: int, other: int) -> bool:
    """Whether a process answers, and the other one does."""
    return bool(await mesh.status(at)) and bool(await mesh.status(other))


def test_a_result_is_json_where_it_is_asked_for(mesh: Mesh) -> None:
    result = run(mesh, "state", "restore", "--json")
    assert result.exit_code == 3 and "nobody answers" in json.loads(result.stdout)["error"]
