"""The mesh's benchmarks at their smallest sizes, without ports or real time."""

from __future__ import annotations

import asyncio
import random
import tomllib
from pathlib import Path
from typing import Any, cast

import pytest
import tomli_w
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks import draw_deployments, mesh_news, mesh_request
from benchmarks.deployment_kinds import KINDS
from simulation.mesh.seeds import pulls_are_not_repeated


def base_site() -> dict[str, Any]:
    """A minimal deployment with three zones, in the format of the bench's site files."""
    side = {"class": "side", "cpu_share": 1.0, "memory_mb": 200, "fds": 1000}
    core = {"class": "core", "cpu_share": 0.5, "memory_mb": 100, "fds": 500, "spare": 1}
    zones, shape = ("a", "b", "c"), {"kind": "wave", "phase": 0.1}
    traffic = [{"zone": zone, "per_s": 10.0, "clients": 5, "shape": shape} for zone in zones]
    service = {"slots": 10, "queue": 40, "conn_cap": 60, "speeds": [1.0], "cold_s": 2.0}
    faults = [{"at": 12.0, "kind": "node_cut", "zone": "c", "to_zone": "b"}]
    return {
        "name": "plain",
        "wire": "wire.json",
        "zones": [{"name": zone, "region": "r"} for zone in zones],
        "machines": [
            *({**side, "zone": zone, "count": 1, "app": app} for zone in zones[:2] for app in ("x", "y")),
            *({**core, "zone": zone, "count": 1} for zone in zones),
        ],
        "services": [{"name": "x", **service}, {"name": "y", **service}],
        "classes": [
            {
                "name": "k",
                "service": "x",
                "aim_ms": 100,
                "deadline_ms": 1000.0,
                "work_ms": {"median": 20.0, "sigma": 0.5},
            }
        ],
        "traffic": traffic,
        "troubles": [{"kind": "node_cut", "region": "r"}],
        "discovery": {"beat_ms": 1000},
        "net": {"cross_zone_ms": 1.0, "cross_region_ms": 20.0, "client_ms": 2.0},
        "tolerate": {"machines": 1, "zones": 0, "regions": 0},
        "bounds": dict.fromkeys(draw_deployments.BOUNDS, 4000) | {"closed": False},
        "day": [
            {
                "name": "quiet",
                "seed": 1,
                "goal": {"floor": 0.4},
                "floor_classes": [0.4],
                "floor_zones": [0.4],
                "plan": [{"at": 1.0, "kind": "config_change"}],
                "faults": faults,
                "traffic": traffic,
            }
        ],
    }


@settings(max_examples=150, deadline=None)
@given(seed=st.integers(0, 2**32))
def test_a_drawn_deployment_refers_to_its_own_places_and_survives_its_tolerated_losses(seed: int) -> None:
    first, site = base_site(), draw_deployments.draw_site(base_site(), "n", "w.json", random.Random(seed))
    assert site == draw_deployments.draw_site(base_site(), "n", "w.json", random.Random(seed))
    assert tomllib.loads(tomli_w.dumps(site)) == site
    zones = [zone["name"] for zone in site["zones"]]
    regions = {zone["region"] for zone in site["zones"]}
    assert 1 <= len(zones) <= 5 and len(regions) <= min(2, len(zones))
    machines = {kind: [m for m in site["machines"] if m["class"] == kind] for kind in ("side", "core")}
    assert {m["zone"] for m in machines["side"]} == set(zones)  # clients run on them
    assert {m["app"] for m in machines["side"]} == {"x", "y"}
    (day,) = site["day"]
    for traffic in (site["traffic"], day["traffic"]):
        assert [entry["zone"] for entry in traffic] == zones
    for entry in [*site["troubles"], *day["faults"], *day["plan"]]:
        assert entry.get("zone", zones[0]) in zones and entry.get("to_zone", zones[0]) in zones
        assert entry.get("region", "coast") in regions

    cores = [m["count"] for m in machines["core"]]
    assert 1 <= sum(cores) <= 9 and {m["zone"] for m in machines["core"]} <= set(zones)
    tolerated = site["tolerate"]
    assert 2 * tolerated["machines"] < sum(cores)
    if tolerated["zones"]:
        assert len(zones) >= 3 and 2 * max(cores) < sum(cores)
        assert any(entry.get("share") == 1.0 for entry in day["faults"])
    for machine in site["machines"]:
        old = next(m for m in first["machines"] if m["class"] == machine["class"])
        for key in ("cpu_share", "memory_mb", "fds"):
            assert 0.6 * old[key] - 1 <= machine[key] <= old[key]
    assert all(2000 <= site["bounds"][key] <= 4000 for key in draw_deployments.BOUNDS)
    assert site["bounds"]["closed"] is False


def draw_of_kind(name: str, seed: int) -> dict[str, Any]:
    return draw_deployments.draw_site(base_site(), "n", "w.json", random.Random(seed), KINDS[name])


@settings(max_examples=40, deadline=None)
@given(seed=st.integers(0, 2**32))
def test_a_kind_of_deployment_fixes_only_its_own_properties(seed: int) -> None:
    plain = draw_of_kind("plain", seed)
    for count in (1, 9, 11):
        machines = draw_of_kind(f"core-{count}", seed)["machines"]
        assert sum(m["count"] for m in machines if m["class"] == "core") == count
    assert draw_of_kind("none-counted", seed)["tolerate"] == {"machines": 0, "zones": 0, "regions": 0}
    far = draw_of_kind("far-regions", seed)
    assert far["net"]["cross_region_ms"] == 55.0 and len({zone["region"] for zone in far["zones"]}) == 2
    bounds = {"grace-2": ("grace_s", 2), "grace-30": ("grace_s", 30), "settle-700": ("config_ms", 700)}
    for name, (key, value) in {**bounds, "ack-1500": ("ack_ms", 1500)}.items():
        site = draw_of_kind(name, seed)
        assert site["bounds"] == {**plain["bounds"], key: value} and site["machines"] == plain["machines"]
    (plain_class,), (fast,) = plain["classes"], draw_of_kind("fast", seed)["classes"]
    assert fast["aim_ms"] == pytest.approx(plain_class["aim_ms"] / 10, abs=0.1)
    assert fast["work_ms"] == {"median": pytest.approx(2.0), "sigma": 0.5}  # its shape is unchanged
    (short,) = draw_of_kind("short-deadlines", seed)["classes"]
    assert short["deadline_ms"] == pytest.approx(95, rel=0.01)
    ratio = plain_class["work_ms"]["median"] / plain_class["deadline_ms"]
    assert short["work_ms"]["median"] / short["deadline_ms"] == pytest.approx(ratio, rel=0.01)


@settings(max_examples=40, deadline=None)
@given(seed=st.integers(0, 2**32))
def test_a_service_with_a_single_upstream_leaves_machines_in_every_zone(seed: int) -> None:
    plain, site = draw_of_kind("plain", seed), draw_of_kind("single-upstream", seed)
    per_service = dict.fromkeys("xy", 0)
    for machine in site["machines"]:
        if machine["class"] == "side":
            per_service[machine["app"]] += machine["count"]
    assert min(per_service.values()) == 1
    for one in (plain, site):
        sides = [m for m in one["machines"] if m["class"] == "side"]
        assert {m["zone"] for m in sides} == {zone["name"] for zone in one["zones"]}
    # Each service of the base site has two upstreams.
    base_capacities = {one["name"]: draw_deployments.capacity(one, 2) for one in base_site()["services"]}
    capacities = {s["name"]: draw_deployments.capacity(s, per_service[s["name"]]) for s in site["services"]}
    per_s = sum(entry["per_s"] for entry in site["traffic"])
    # The single upstream can handle the traffic.
    assert per_s <= 30.0 * min(capacities[name] / base_capacities[name] for name in base_capacities) + 0.5


def test_an_incomplete_site_and_a_folder_inside_the_repository_are_rejected(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    broken = base_site()
    del broken["net"]
    with pytest.raises(draw_deployments.SiteFileError, match=r"plain: KeyError\('net'\)"):
        draw_deployments.draw_site(broken, "n", "w.json", random.Random(1))
    inside = draw_deployments.ROOT / "benchmarks" / "drawn"
    monkeypatch.setattr("sys.argv", ["draw", "site.toml", "--out", str(inside), "--seed", "1"])
    assert draw_deployments.main() == 2
    assert "give a folder outside" in capsys.readouterr().err and not inside.exists()


def test_drawn_files_are_written_next_to_a_copy_of_the_wire_format(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    (tmp_path / "plain.toml").write_text(tomli_w.dumps(base_site()))
    (tmp_path / "wire.json").write_text("{}")
    arguments = [
        "draw",
        str(tmp_path / "plain.toml"),
        "--out",
        str(tmp_path / "out"),
        "--seed",
        "1",
        "--count",
        "3",
    ]
    monkeypatch.setattr("sys.argv", arguments)
    assert draw_deployments.main() == 0
    files = sorted((tmp_path / "out").glob("*.toml"))
    assert [file.name for file in files] == [f"drawn-1-{number}.toml" for number in range(3)]
    for file in files:
        assert (file.parent / tomllib.loads(file.read_text())["wire"]).read_text() == "{}"


def test_an_idle_mesh_sends_only_heartbeats_and_a_change_costs_a_proxy_the_same_in_a_larger_one() -> None:
    rows = [mesh_news.Measurement(count, 3, 2.0).run() for count in (6, 24)]
    for row in rows:
        assert row["minute"]["messages"] == 0.0 and row["minute"]["alive"] > 0.0
        assert 0.0 <= row["change"]["worst_after_ack_99_s"] < 0.2
        assert 0.0 < row["change"]["messages"] < 20.0  # three links, a few messages on each
        assert row["join"]["known_s"] < 2.0 and 0.3 < row["restart"]["back_s"] < 3.0
    fitted = mesh_news.exponents(rows)["3 controllers"]
    assert fitted["change.messages"] == pytest.approx(0.0, abs=0.1)
    assert fitted["join.bytes"] is not None and fitted["join.bytes"] > 0.1  # every proxy receives every join


def test_a_change_that_does_not_arrive_fails_the_measurement(monkeypatch: pytest.MonkeyPatch) -> None:
    pulls_are_not_repeated(monkeypatch)
    monkeypatch.setattr(mesh_news, "TIMEOUT_S", 3.0)
    with pytest.raises(RuntimeError, match="not within 3 s|lack a change"):
        mesh_news.Measurement(6, 3, 1.0).run()


def test_exponents_are_those_of_power_laws() -> None:
    sizes = [10.0, 100.0, 1000.0]
    assert mesh_news.exponent(sizes, [3.0 * size**1.5 for size in sizes]) == 1.5
    assert mesh_news.exponent(sizes, [7.0, 7.0, 7.0]) == 0.0
    assert mesh_news.exponent(sizes, [0.0, 1.0, 2.0]) is None and mesh_news.exponent([1.0], [1.0]) is None


class Pipe:
    """A transport that delivers each write immediately and in two parts to a protocol in this process."""

    def __init__(self) -> None:
        self.peer: asyncio.Protocol
        self.open = True

    def write(self, data: bytes) -> None:
        if self.open:
            self.peer.data_received(data[:9])
            self.peer.data_received(data[9:])

    def close(self) -> None:
        self.open = False


def test_a_closed_loop_makes_the_given_number_of_calls_one_at_a_time_and_counts_refusals() -> None:
    class RefusingServer(mesh_request.SealingServer):
        count = 0

        def message(self, head: bytes, body: bytes) -> None:
            self.count += 1
            assert b"attempt-id: " in head
            if self.count % 4:
                super().message(head, body)
            else:
                self.transport.write(b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n")

    async def play() -> mesh_request.Calls:
        calls, caller_pipe, server_pipe = mesh_request.Calls(8), Pipe(), Pipe()
        caller, server = mesh_request.Caller(calls), RefusingServer()
        caller_pipe.peer, server_pipe.peer = server, caller
        server.connection_made(cast(asyncio.Transport, server_pipe))
        caller.connection_made(cast(asyncio.Transport, caller_pipe))
        assert server.count == 8 and not caller_pipe.open
        return calls

    calls = asyncio.run(play())
    assert (calls.left, len(calls.latencies), calls.not_served) == (0, 6, 2)


def test_cpu_is_per_call_and_summed_over_both_proxies() -> None:
    found = mesh_request.cpu_per_call(
        {"first": 100.0, "second": 50.0}, {"first": 300.0, "second": 150.0}, 1000
    )
    assert found == pytest.approx({"first": 0.2, "second": 0.1, "both": 0.3})
