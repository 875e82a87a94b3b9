"""The findings about a mesh, and that the output fits a screen regardless of the mesh's size."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from mesh.cli import shape, text
from mesh.cli.judge import MAX_CLOCK_OFFSET_S, findings
from mesh.cli.mesh_snapshot import MeshSnapshot, Process, newest_items, read_items
from mesh.data_plane.membership import CONTROLLER, PROXY

CHARTER = {"items": 9, "dropped": 1, "digest": "a" * 16}


def core(at: int, **fields: Any) -> Process:
    status = {
        **{"node": f"core-{at}", "role": CONTROLLER, "ip": f"10.0.0.{at}", "zone": "z", "charter": CHARTER},
        **{"counted": True, "whole": True, "refused": "", "in_touch": True, "control": f"10.0.0.{at}:9"},
        "members": {f"10.0.0.{member}": ["z", "r"] for member in range(3)},
    }
    return Process(f"core-{at}", (f"10.0.0.{at}", 7), {**status, **fields})


def side(at: int, **fields: Any) -> Process:
    upstream = {"instance": f"i-{at}", "silent_ms": 300.0, "gone": False}
    status = {
        **{"node": f"side-{at}", "role": PROXY, "ready": True, "charter": CHARTER, "beat_ms": 500.0},
        "upstream": upstream,
    }
    return Process(f"side-{at}", (f"10.1.{at // 250}.{at % 250}", 7), {**status, **fields})


def snapshot(*processes: Process) -> MeshSnapshot:
    nodes = {
        p.name: {"role": CONTROLLER if p.name.startswith("core") else PROXY, "zone": "z"} for p in processes
    }
    sides = [p for p in processes if p.name.startswith("side")]
    instances = {
        f"i-{p.name[5:]}": {
            "plant": f"s{int(p.name[5:]) % 40}",
            "node": p.name,
            "state": "settled",
            "zone": "z",
        }
        for p in sides
    }
    return MeshSnapshot(processes, nodes, instances)


HEALTHY = (core(0), core(1), core(2), side(0), side(1), side(2))


def unanswered(process: Process) -> Process:
    return replace(process, status=None, why="cannot be reached")


def with_status(process: Process, **fields: Any) -> Process:
    assert process.status is not None
    return replace(process, status={**process.status, **fields})


def test_nothing_is_found_where_all_is_as_it_should_be() -> None:
    assert findings(snapshot(*HEALTHY)) == []


@pytest.mark.parametrize(
    ("at", "disturb", "kind", "subject"),
    [
        (1, unanswered, "member missing", "10.0.0.1"),
        (1, lambda p: with_status(p, in_touch=False), "core cut", "core-1"),
        (1, lambda p: with_status(p, whole=False), "disk not whole", "core-1"),
        (1, lambda p: with_status(p, refused="no space"), "disk refuses", "core-1"),
        (4, unanswered, "no answer", "side-1"),
        (4, lambda p: with_status(p, node="side-9"), "other node there", "side-1"),
        (
            4,
            lambda p: with_status(p, charter={**CHARTER, "items": 8, "digest": "b" * 16}),
            "behind",
            "side-1",
        ),
        (4, lambda p: with_status(p, ready=False), "not ready", "side-1"),
        (
            4,
            lambda p: with_status(p, control={"without_ms": 1500, "behind_ms": 2500}),
            "cut from core",
            "side-1",
        ),
        (4, lambda p: with_status(p, upstream=None), "no beats", "side-1"),
        (4, lambda p: with_status(p, upstream={"instance": "i", "silent_ms": 1301.0}), "no beats", "side-1"),
        (4, lambda p: with_status(p, upstream={"instance": "i", "gone": True}), "no beats", "side-1"),
        (4, lambda p: replace(p, clock_offset_s=-600.0, clock_error_s=0.1), "clock off", "side-1"),
        (4, lambda p: with_status(p, unknown=["sooner"]), "unknown settings", "side-1"),
    ],
)
def test_each_trouble_is_found_where_it_is_and_nothing_else(
    at: int, disturb: Callable[[Process], Process], kind: str, subject: str
) -> None:
    processes = list(HEALTHY)
    processes[at] = disturb(processes[at])
    found = findings(snapshot(*processes))
    assert [(one.kind, one.subject) for one in found] == [(kind, subject)]
    assert found[0].mend and "\n" not in found[0].line()


def test_an_instance_whose_node_nobody_knows_is_found() -> None:
    view = snapshot(*HEALTHY)
    nodes = {name: value for name, value in view.nodes.items() if name != "side-1"}
    found = findings(MeshSnapshot(tuple(p for p in HEALTHY if p.name != "side-1"), nodes, view.instances))
    assert [(one.kind, one.subject) for one in found] == [("instance without node", "i-1")]


def test_a_core_that_is_wholly_out_of_reach_is_found_first() -> None:
    found = findings(snapshot(*[unanswered(p) for p in HEALTHY[:3]], *HEALTHY[3:]))
    assert found[0].kind == "core out of reach"


def test_a_clock_that_the_wait_for_the_answer_may_explain_is_not_found() -> None:
    near = [replace(p, clock_offset_s=5.0, clock_error_s=0.0) for p in HEALTHY]  # the local clock is off
    near[3] = replace(near[3], clock_offset_s=5.0 + MAX_CLOCK_OFFSET_S + 1.0, clock_error_s=1.5)
    assert findings(snapshot(*near)) == []


def test_what_counts_is_what_the_core_holds_even_where_most_are_behind() -> None:
    old = {**CHARTER, "items": 8, "digest": "b" * 16}
    found = findings(
        snapshot(
            *HEALTHY[:3],
            *[with_status(p, charter=old) for p in HEALTHY[3:]],
            with_status(side(3), charter=old),
        )
    )
    assert {(one.kind, one.subject) for one in found} == {("behind", f"side-{at}") for at in range(4)}


def test_a_thousand_nodes_in_trouble_keep_to_a_screen_and_name_the_trouble_first() -> None:
    processes = [core(0), core(1), unanswered(core(2)), *(side(at) for at in range(1000))]
    for at in range(3, 503):
        processes[at] = unanswered(processes[at])
    for at in range(503, 603):
        digest = f"{at % 30:016x}"
        processes[at] = with_status(processes[at], charter={**CHARTER, "digest": digest}, upstream=None)
    view = snapshot(*processes)
    lines = shape.status_lines(view, findings(view))
    assert len(lines) <= 50 and max(map(len, lines)) <= 100
    assert lines[0].startswith("PROBLEMS FOUND") and lines[1].split()[:3] == ["member", "missing", "1"]
    assert any(line.split()[:3] == ["no", "answer", "500"] and "more" in line for line in lines)
    assert "proxies     500 of 1000 answer" in lines
    doctor_lines = shape.doctor_lines(findings(view))
    assert len(doctor_lines) <= 120 and max(map(len, doctor_lines)) <= 100
    assert max(map(len, shape.node_lines([shape.process_row(view, p) for p in view.processes]))) <= 100


def test_lines_keep_to_their_width_whatever_is_in_them() -> None:
    lines = text.table(("a", "b", "c"), [("x" * 300, "y" * 90, 1), ("\x1b[31m", "\n", None)], "  ")
    assert max(map(len, lines)) == text.WIDTH and all(line.isprintable() for line in lines)
    for long in ("w" * 300, "word " * 90, "  -> " + "a b " * 80):
        assert all(len(line) <= text.WIDTH for line in text.wrapped(long))
    assert text.wrapped("  -> a b") == ["  -> a b"]
    assert (
        text.join_names(["one", "two", "three"], 16) == "one and 2 more"
        and text.join_names(["one"], 3) == "one"
    )


def test_answers_of_another_version_are_read_as_far_as_they_go() -> None:
    odd = [
        Process("a", ("h", 1), {}),
        Process("b", ("h", 2), {"role": CONTROLLER, "members": 3, "charter": [], "unknown": 4}),
        Process("c", ("h", 3), {"role": PROXY, "upstream": 3, "beat_ms": "x", "node": 7}),
    ]
    view = MeshSnapshot(tuple(odd), {"a": {}, "b": {"role": 3}}, {"i": {"plant": None}})
    assert findings(view) and shape.status_lines(view, findings(view))
    assert read_items([["k", "n", 1, None], ["k", "n"], 3, ["k", "n", "1", None], [1, "n", 1, {}]]) != []
    assert read_items({"no": "list"}) == []


def test_of_several_copies_the_item_that_outranks_is_taken() -> None:
    one = read_items([["k", "a", 1, {"v": 1}], ["k", "b", 3, {"v": 1}]])
    other = read_items([["k", "a", 2, None], ["k", "b", 2, {"v": 2}]])
    assert {key: item.version for key, item in newest_items([one, other]).items()} == {
        ("k", "a"): 2,
        ("k", "b"): 3,
    }
