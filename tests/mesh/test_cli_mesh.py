"""The command line against real programs on loopback: two control processes and two sidecars in one loop."""

from __future__ import annotations

import asyncio
import io
import json
import os
import threading
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any, TypeVar

import pytest
from typer.testing import CliRunner, Result

from anisestair.http import codec as http
from mesh.cli import config as config_commands
from mesh.cli import state as state_commands
from mesh.cli.command import app
from mesh.control_plane.backup import _copy
from mesh.control_plane.program import Controller
from mesh.data_plane.program import Proxy
from mesh.event_log.log import EventLog
from mesh.runtime.introspection_calls import Refusal
from mesh.runtime.settings import Settings, parse_settings
from mesh.storage.lmdb_store import DiskStore, Fresh
from rigs.mesh_peers import Client, Upstream, free_ports, patch_body, poll_until, route, write_settings

T = TypeVar("T")
NET = f"127.{1 + os.getpid() % 250}.{1 + os.getpid() // 250 % 250}"
CORES, SIDES = [f"{NET}.71", f"{NET}.72"], [f"{NET}.81", f"{NET}.82"]
START_TIMEOUT_S = 10.0
FIRST = patch_body(
    route("read", "/read/", "red", trials=2), route("pay", "/pay/", "red", effectful=True), services=("red",)
)


def behavior_of(message: http.Message) -> str:
    return message.target.rpartition(b"/")[2].decode()


class Mesh:
    """Two control processes and two sidecars, on an event loop in a separate thread."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.ports = free_ports([*CORES, *SIDES], 4)
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.start()
        self.cores: list[Controller] = []
        self.sides: list[Proxy] = []
        self.upstreams: list[Upstream] = []
        self.request_count = 0
        self.do(self._start())

    def do(self, work: Coroutine[Any, Any, T]) -> T:
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(30.0)

    def wait(self, condition: Callable[[], bool]) -> None:
        async def holds() -> bool:
            return condition()

        self.do(poll_until(holds, START_TIMEOUT_S))

    def _settings(self, name: str) -> Settings:
        settings = parse_settings((self.folder / f"{name}.toml").read_text())
        assert isinstance(settings, Settings), settings
        return settings

    async def _start(self) -> None:
        for at, ip in enumerate(CORES):
            disk = self.folder / f"disk-{at}"
            disk.mkdir()
            name = f"core-{at}"
            where = self.folder / f"{name}.toml"
            # Two control processes tolerate no loss; a higher setting would be a finding in `status`.
            write_settings(where, name, ip, "supervisor", self.ports, CORES, state_dir=str(disk), machines=0)
            self.cores.append(Controller(self._settings(name), EventLog(name, io.StringIO())))
            await self.cores[-1].start()
        for at, ip in enumerate(SIDES):
            upstream = Upstream(f"i-{at}", "red", behavior_of, capacity=8)
            await upstream.start(ip)
            self.upstreams.append(upstream)
            name = f"side-{at}"
            where = self.folder / f"{name}.toml"
            write_settings(
                *(where, name, ip, "auxiliary", self.ports, CORES),
                upstream=upstream.address,
                service="red",
            )
            self.sides.append(Proxy(self._settings(name), EventLog(name, io.StringIO())))
            await self.sides[-1].start()

    async def _send_heartbeats(self) -> None:
        for ip, upstream in zip(SIDES, self.upstreams, strict=True):
            assert await upstream.send_heartbeat((ip, self.ports[1])) == 200

    def send_heartbeats(self) -> None:
        self.do(self._send_heartbeats())

    def request(self, at: int, path: str) -> str:
        """Sends one request to that sidecar; returns its attempt id."""

        async def one() -> str:
            client = await Client.connect((SIDES[at], self.ports[2]))
            self.request_count += 1
            attempt = f"{self.request_count:016x}"
            await client.request(attempt, path)
            client.abort()
            return attempt

        return self.do(one())

    def stop(self) -> None:
        async def end() -> None:
            for upstream in self.upstreams:
                upstream.release.set()
                upstream.close()
            for side in self.sides:
                assert side._server is not None
                side._server.close()
            for core in self.cores:
                await core.stop()
            for task in asyncio.all_tasks() - {asyncio.current_task()}:  # type: ignore[arg-type]
                task.cancel()

        self.do(end())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()


@pytest.fixture(scope="module")
def mesh(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Mesh]:
    there = Mesh(tmp_path_factory.mktemp("mesh"))
    try:
        there.wait(
            lambda: all(core.joining.settled() and core.contact_probes.has_contact() for core in there.cores)
        )
        file = there.folder / "first.json"
        file.write_text(json.dumps(FIRST))
        result = run(there, "config", "apply", str(file))
        assert result.exit_code == 0, result.output
        there.send_heartbeats()
        there.wait(lambda: all(side.configured() for side in there.sides))
        there.wait(lambda: all(len(side.membership.instances) == 2 for side in there.sides))
        there.wait(lambda: all(len(core.membership.nodes) == 4 for core in there.cores))
        yield there
    finally:
        there.stop()


def run(mesh: Mesh, *words: str, at: str = "") -> Result:
    return CliRunner().invoke(app, [*words, "--at", f"{at or CORES[0]}:{mesh.ports[0]}"])


def run_json(mesh: Mesh, *words: str, code: int = 0, at: str = "") -> Any:
    result = run(mesh, *words, "--json", at=at)
    assert result.exit_code == code, result.output
    return json.loads(result.stdout)


def output_lines(result: Result) -> list[str]:
    lines = result.stdout.splitlines()
    assert all(len(line) <= 100 and line.isprintable() for line in lines), lines
    return lines


def test_status_is_fine_where_all_is_and_any_process_leads_to_all(mesh: Mesh) -> None:
    for at in (CORES[1], SIDES[0]):
        mesh.send_heartbeats()
        result = run(mesh, "status", at=at)
        assert result.exit_code == 0, result.output
        lines = output_lines(result)
        assert lines[0] == "no problems found"
        assert "controllers 2 of 2 answer" in lines and "proxies     2 of 2 answer" in lines
        assert any(
            line.startswith("configuration 4 items, 0 dropped") and "4 processes" in line for line in lines
        )
    mesh.send_heartbeats()
    assert run_json(mesh, "doctor") == []
    rows = {row["node"]: row for row in run_json(mesh, "nodes")}
    assert sorted(rows) == ["core-0", "core-1", "side-0", "side-1"]
    assert len({row["digest"] for row in rows.values()}) == 1
    assert rows["side-1"]["upstream"] == "i-1" and abs(rows["side-1"]["ahead_s"]) < 1.0


def test_members_are_shown_and_one_that_runs_is_not_removed(mesh: Mesh) -> None:
    mesh.wait(lambda: all(core.joining.settled() for core in mesh.cores))
    head, _, columns, *rows = output_lines(run(mesh, "members", "show"))
    assert head == "epoch 3; losses tolerated now: machines 0, zones 0, regions 0"
    assert columns.split() == ["member", "node", "zone", "vote", "disk", "level", "state"]
    assert [row.split()[:5] for row in rows] == [
        [ip, f"core-{at}", "z", "yes", "complete"] for at, ip in enumerate(CORES)
    ]
    shown = run_json(mesh, "members", "show")
    assert [row["address"] for row in shown["members"]] == CORES and shown["joint"] is False
    for name, why in (("core-1", "runs, and would join again"), ("core-7", "is not a member")):
        refused = run(mesh, "members", "remove", name)
        assert refused.exit_code == 4 and why in refused.output


def test_the_settings_file_of_a_process_leads_to_the_mesh(mesh: Mesh) -> None:
    result = CliRunner().invoke(app, ["nodes", "--settings", str(mesh.folder / "side-0.toml"), "--json"])
    assert result.exit_code == 0 and len(json.loads(result.stdout)) == 4


def test_upstreams_are_counted_and_those_of_one_service_shown_as_the_sidecars_see_them(mesh: Mesh) -> None:
    mesh.request(0, "/read/ok")
    (counted,) = run_json(mesh, "upstreams")
    assert counted == {"service": "red", "upstreams": 2, "settled": 2, "capacity": 16, "zones": 1}
    rows = run_json(mesh, "upstreams", "red")
    assert [(row["instance"], row["node"], row["used_by"] >= 1) for row in rows] == [
        ("i-0", "side-0", True),
        ("i-1", "side-1", True),
    ]
    output_lines(run(mesh, "upstreams", "red"))
    assert run(mesh, "upstreams", "none").exit_code == 1


def test_routes_try_says_where_a_request_would_go_and_why(mesh: Mesh) -> None:
    for _ in range(4):
        mesh.request(1, "/read/ok")
    found = run_json(mesh, "routes", "try", "H.example:80", "/read/x?y", "--from", "side-1")
    assert (found["node"], found["route"]["name"], found["route"]["version"]) == ("side-1", "read", 1)
    (service,) = found["services"]
    assert service["service"] == "red" and service["share"] == 1.0
    by_name = {one["instance"]: one for one in service["upstreams"]}
    assert sorted(by_name) == ["i-0", "i-1"]
    active = [one for one in by_name.values() if one["active"]]
    assert active and all(one["w"] > 0 and one["why"].startswith("in turn") for one in active)
    output_lines(run(mesh, "routes", "try", "h.example", "/read/x"))
    assert run(mesh, "routes", "try", "h.example", "/nowhere/x").exit_code == 1
    assert run(mesh, "routes", "try", "h.example", "/read/x", "--from", "nobody").exit_code == 2


def test_trace_tells_both_hops_of_a_call_and_of_one_that_failed(mesh: Mesh) -> None:
    fine, failed = mesh.request(0, "/read/ok"), mesh.request(0, "/pay/500")
    found = run_json(mesh, "trace", fine)
    assert [entry["hop"] for entry in found["entries"]] == [1, 2]
    first, second = found["entries"]
    assert (first["node"], first["route"], first["service"]) == ("side-0", "read", "red")
    assert first["end"].startswith("200") and first["tries"][0]["instance"] == second["instance"]
    assert second["caller"] == "red" and second["end"] == "200" and second["ran_ms"] > 0.0
    lines = output_lines(run(mesh, "trace", failed))
    assert any("500, the upstream's own answer" in line for line in lines)
    result = run(mesh, "trace", "f" * 16)
    assert result.exit_code == 1 and "not found at 2 sidecars" in result.stdout


def test_config_get_gives_what_stands_and_one_item_of_it(mesh: Mesh) -> None:
    whole = run_json(mesh, "config", "get")
    rules = whole["input_ports"][0]["control_law"]
    assert sorted(rule["name"] for rule in rules) == ["pay", "read"]
    assert run_json(mesh, "config", "get", "--held") == whole
    assert run_json(mesh, "config", "get", "--item", "route/pay")["kind"] == "effectful"
    assert run(mesh, "config", "get", "--item", "route/none").exit_code == 1


def write(mesh: Mesh, body: Any, name: str = "change.json") -> str:
    (mesh.folder / name).write_text(json.dumps(body))
    return str(mesh.folder / name)


def test_a_change_is_checked_compared_taken_and_then_in_force_everywhere(mesh: Mesh) -> None:
    stands = write(mesh, run_json(mesh, "config", "get"))  # the printed form can be sent
    mesh.send_heartbeats()
    assert run(mesh, "config", "check", stands).exit_code == 0
    assert run_json(mesh, "config", "diff", stands) == {"differences": [], "alike": 3, "others": 0}

    file = write(mesh, patch_body(route("read", "/read/", "red", 4, trials=3), route("new", "/new/", "blue")))
    found = run_json(mesh, "config", "check", file, code=1)["findings"]
    assert [(one["item"], one["field"]) for one in found] == [
        ("route new", "response.plant")  # the reason for which the mesh would refuse it
    ]
    result = run(mesh, "config", "diff", file)
    assert result.exit_code == 1
    assert output_lines(result)[:4] == [
        "+ route new: r1",
        "~ route read: r1 -> r4",
        "    response.trials: 2 -> 3",
        "0 items are unchanged, 2 are not in the file and stay as they are",
    ]
    result = run(mesh, "config", "apply", file)
    assert result.exit_code == 4 and "names the unknown service blue" in result.output

    file = write(mesh, patch_body(route("read", "/read/", "red", 4, trials=3)))
    result = run(mesh, "config", "apply", file)
    assert result.exit_code == 0 and "1 items are in force" in result.stdout
    mesh.wait(lambda: all(side.routes._by_name["read"].version == 4 for side in mesh.sides))
    result = run(mesh, "config", "apply", write(mesh, {"apply": {"input_ports": 3}}))
    assert result.exit_code == 1


def test_state_is_verified_and_copied_under_the_state_folder_alone(mesh: Mesh) -> None:
    rows = run_json(mesh, "state", "verify")
    assert [row["node"] for row in rows] == ["core-0", "core-1"]
    assert all(row["findings"] == [] and row["disk"] == row["memory"] for row in rows)
    copy = run_json(mesh, "state", "backup", "copies/one", "--from", "core-1")
    assert copy["node"] == "core-1" and Path(copy["to"]) == mesh.folder / "disk-1" / "copies" / "one"
    assert (Path(copy["to"]) / "store.mdb").stat().st_size == copy["bytes"]
    (mesh.folder / "disk-0" / "away").symlink_to(mesh.folder)
    for to in ("copies/one", "../x", "/tmp/x", ".", "charter/x", "away/x", ""):
        where = "core-1" if to == "copies/one" else "core-0"
        assert run(mesh, "state", "backup", to, "--from", where).exit_code == 4, to
    assert not (mesh.folder / "x").exists()
    assert run(mesh, "state", "backup", "a", "--from", "nobody").exit_code == 2


def test_a_copy_that_would_not_fit_its_disk_is_not_begun(tmp_path: Path) -> None:
    opened = DiskStore.open(tmp_path / "charter", 1 << 20)
    assert isinstance(opened, Fresh)
    size = (tmp_path / "charter" / "store.mdb").stat().st_size
    outcome = _copy(opened.disk_store, tmp_path / "copy", tmp_path, 2 * size - 1)
    assert isinstance(outcome, Refusal) and not (tmp_path / "copy").exists()
    assert not isinstance(_copy(opened.disk_store, tmp_path / "copy", tmp_path, 2 * size), Refusal)


def test_a_disk_that_holds_other_than_its_memory_is_told_unless_changes_came_meanwhile() -> None:
    alike = {"findings": [], "items": 3, "disk": "a", "memory": "a", "moving": False}
    assert (
        state_commands.disk_findings(alike) == []
        and len(state_commands.disk_findings({**alike, "disk": "b"})) == 1
    )
    assert state_commands.disk_findings({**alike, "disk": "b", "moving": True}) == []
    assert state_commands.disk_findings({**alike, "disk": "", "findings": ["page 3: bad"]}) == ["page 3: bad"]


def test_a_disk_that_refuses_and_upstreams_that_fall_silent_are_told_with_their_mend(
    mesh: Mesh, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(mesh.cores[0].disk_writer, "last_refusal", "no space left")
    monkeypatch.setattr(mesh.sides[1].upstream, "heartbeat_at", -1e9)
    found = {one["kind"]: one for one in run_json(mesh, "doctor", code=1)}
    assert found["disk refuses"]["subject"] == "core-0" and found["no beats"]["subject"] == "side-1"
    assert all(one["mend"] for one in found.values())
    result = run(mesh, "status")
    assert result.exit_code == 1 and output_lines(result)[0].startswith("PROBLEMS FOUND")
    output_lines(run(mesh, "doctor"))


def test_nobody_and_nothing_to_ask_have_codes_of_their_own_and_one_line(mesh: Mesh, tmp_path: Path) -> None:
    empty = tmp_path / "empty.json"
    empty.write_text("{}")
    nobody = ["--at", f"{NET}.99:{mesh.ports[0]}", "--wait", "0.3"]
    for words in (
        *(["status"], ["nodes"], ["upstreams"], ["doctor"], ["trace", "a"], ["routes", "try", "h", "/"]),
        *(["config", "get"], ["config", "check", str(empty)], ["config", "apply", str(empty)]),
        *(["config", "diff", str(empty)], ["state", "verify"], ["state", "backup", "a"]),
    ):
        result = CliRunner().invoke(app, [*words, *nobody])
        assert result.exit_code == 3 and len(result.stderr.splitlines()) == 1, (words, result.output)
        assert "no process answers" in result.stderr
        assert json.loads(CliRunner().invoke(app, [*words, *nobody, "--json"]).stdout)["error"]
        result = CliRunner().invoke(app, words, env={"ANISESTAIR_BOOT": ""})
        assert result.exit_code == 2, words
    assert CliRunner().invoke(app, ["status", "--at", "here"]).exit_code == 2
    assert CliRunner().invoke(app, ["config", "check", str(tmp_path / "none"), *nobody]).exit_code == 2
    assert config_commands.DEFAULT_WAIT_S < state_commands.DISK_WAIT_S
