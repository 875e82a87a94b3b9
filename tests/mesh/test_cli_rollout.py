"""`rollout` against real programs on loopback, and its output for answers of other versions."""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from test_cli_mesh import Mesh, output_lines, run, run_json, write

from mesh.cli.rollout import change_lines, explain_lines
from mesh.rollout.staged_activation import PENDING_COMMAND_S
from rigs.mesh_peers import patch_body, route


@pytest.fixture(scope="module")
def mesh(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Mesh]:
    found = Mesh(tmp_path_factory.mktemp("rollout"))
    try:
        found.send_heartbeats()
        at = write(found, patch_body(route("read", "/read/", "red"), services=("red", "blue")))
        run_json(found, "config", "apply", at)
        found.wait(lambda: all(side.routes.get("read") for side in found.sides))
        time.sleep(2.0)  # a sidecar without contact for so long applies changes at once
        yield found
    finally:
        found.stop()


def move_route(mesh: Mesh) -> int:
    """Routes to the other service; returns the new version."""
    item = mesh.cores[0].config_store.items["route", "read"]
    assert item.value is not None
    service = {"red": "blue", "blue": "red"}[item.value["response"]["plant"]]
    version = item.version + 1
    run_json(mesh, "config", "apply", write(mesh, patch_body(route("read", "/read/", service, version))))
    return version


def wait_until_confirmed(mesh: Mesh) -> None:
    mesh.wait(lambda: all(core.rollouts.rollouts[-1].done is not None for core in mesh.cores))


def test_a_change_is_shown_explained_and_confirmed(mesh: Mesh) -> None:
    version = move_route(mesh)
    wait_until_confirmed(mesh)
    rows = run_json(mesh, "rollout", "show")["rollouts"]
    assert rows[0]["named"] == [f"read r{version}"] and rows[0]["missing"] == 0 and rows[0]["took_ms"] < 2000
    assert any(
        f"read r{version}" in line and "2 of 2" in line for line in output_lines(run(mesh, "rollout", "show"))
    )
    lines = output_lines(run(mesh, "rollout", "explain", "route/read"))
    assert any("in force at 2 of 2" in line for line in lines)
    newest = lines[lines.index(f"r{version}") :][2:4]
    assert sum("first part: taken at once" in line for line in newest) == 1, newest
    assert sum("its latest instant" in line for line in newest) == 1, newest
    assert any(
        "activates it as soon as it receives it" in line
        for line in output_lines(run(mesh, "rollout", "explain", "plant/red"))
    )


def test_an_order_for_what_is_in_force_is_refused_and_one_for_the_next_version_obeyed(mesh: Mesh) -> None:
    wait_until_confirmed(mesh)
    refused = run(mesh, "rollout", "hold", "read")
    assert refused.exit_code == 4 and "is in force, nothing is held back" in refused.output
    assert run(mesh, "rollout", "explain", "nowhere").exit_code == 4
    assert f"{PENDING_COMMAND_S:.0f} s" in run(mesh, "rollout", "go", "read", "--next").output
    version = move_route(mesh)
    mesh.wait(lambda: all(side.routes.get("read").version == version for side in mesh.sides))
    wait_until_confirmed(mesh)
    last = [one["passes"][-1] for one in run_json(mesh, "rollout", "explain", "read")["sidecars"]]
    assert {p["version"] for p in last} == {version} and all(p["after_ms"] == 0.0 for p in last)


def test_what_is_held_back_is_let_go(mesh: Mesh) -> None:
    wait_until_confirmed(mesh)
    for side in mesh.sides:
        side.staged_routes.activation.hold_s = 20.0
    try:
        version = move_route(mesh)
        mesh.wait(lambda: any(side.staged_routes.activation.held for side in mesh.sides))
        mesh.wait(lambda: len(mesh.cores[0].rollouts.rollouts[-1].missing) == 1)
        showing = run(mesh, "rollout", "show")
        assert showing.exit_code == 1 and "1 of 2" in showing.output
        assert "held" in run(mesh, "rollout", "explain", "read").output
        assert "1 of 2 sidecars were holding it back" in run(mesh, "rollout", "hold", "read").output
        assert "1 of 2 sidecars were holding it back" in run(mesh, "rollout", "go", "read").output
        assert all(side.routes.get("read").version == version for side in mesh.sides)
    finally:
        for side in mesh.sides:
            side.staged_routes.activation.hold_s = 0.6


def test_answers_of_other_versions_are_shown_as_far_as_they_go() -> None:
    assert change_lines([], 0) == ["no change since this control process started"]
    assert len(change_lines([{}, {"missing": 3, "lack": ["s1"], "worse": ["a"], "took_ms": 4}], 9)) == 3
    lines = explain_lines("route", "a", {"lack": [["s1", None], ["s2", 1500]]}, [], ["s3"])
    assert any("never reported" in line for line in lines) and any("s3" in line for line in lines)


def test_the_page_shows_each_command() -> None:
    page = (Path(__file__).parents[2] / "docs/operate/stages.md").read_text()
    assert all(f"rollout {word}" in page for word in ("show", "explain", "hold", "go"))
