"""The size to design for: the page's figures follow from the newest result files, the run keeps its bounds,
and hollow proxies say what real ones say."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from benchmarks import scale_fit, scale_plan
from benchmarks.scale_run import PARTS
from mesh.data_plane.membership import PROXY
from mesh.dissemination.pull_exchange import Exchange, pack, unpack
from mesh.replication.store import Store
from mesh.transport import link
from mesh.transport.frames import Frames, frame
from rigs.hollow.counting import ALIVE, NEWS, Counts
from rigs.hollow.machine import HOLLOW_BYTES, MB, Bounds, Refused, total_bytes
from rigs.hollow.patient import main as patient
from rigs.hollow.stores import HollowStore, Pool

# The page


def test_the_pages_tables_are_those_of_the_newest_results() -> None:
    page = scale_plan.PAGE.read_text()
    assert scale_plan.filled(page, scale_plan.tables(scale_plan.made())) == page


def test_a_figure_that_no_result_gave_is_seen() -> None:
    page = scale_plan.PAGE.read_text()
    row = next(line for line in page.splitlines() if line.startswith("| `controller.rss_mb`"))
    other = page.replace(row, row.replace("1", "2"))
    assert scale_plan.filled(other, scale_plan.tables(scale_plan.made())) != other


def test_rows_that_miss_stand_first_the_largest_ratio_first() -> None:
    rows = scale_plan.made().rows()
    ratios = [row.ratio for row in rows]
    assert ratios == sorted(ratios, reverse=True)
    assert all(row.ways for row in rows if row.misses)


def test_the_results_are_whole_and_of_enough_sizes() -> None:
    sizes = scale_fit.newest()
    for part in PARTS:
        assert len([size for size in sizes if part in size["parts"]]) >= scale_fit.LEAST_SIZES


# Slopes


def test_a_line_and_a_power_are_found_with_their_residuals() -> None:
    x = [100.0, 200.0, 400.0, 800.0]
    line = scale_fit.fit("linear", x, [3.0 + 0.5 * one for one in x])
    assert line.at(17_000) == pytest.approx(8503.0)
    assert line.residual == pytest.approx(0.0, abs=1e-9)
    square = scale_fit.fit("square", x, [3.0 + 0.25 * one * one for one in x])
    assert square.at(17_000) == pytest.approx(3.0 + 0.25 * 17_000**2)
    assert square.at(17_000, squares=0.25) == pytest.approx(3.0 + 0.0625 * 17_000**2)
    flat = scale_fit.fit("flat", x, [1.0, 2.0, 1.0, 2.0])
    assert (flat.at(17_000), flat.residual) == (pytest.approx(1.5), pytest.approx(0.5))
    power = scale_fit.fit("power", x, [2.0 * one**1.5 for one in x])
    assert (power.a, power.b) == (pytest.approx(2.0), pytest.approx(1.5))
    off = scale_fit.fit("linear", x, [100.0, 200.0, 400.0, 1600.0])
    assert off.residual > 0.1


def test_fewer_sizes_than_four_give_no_slope() -> None:
    with pytest.raises(ValueError, match="at least 4"):
        scale_fit.fit("linear", [1.0, 2.0, 3.0], [1.0, 2.0, 3.0])


def test_only_sizes_of_the_runs_own_controllers_count_and_of_one_size_the_last() -> None:
    def size(hollow: int, *parts: str, controllers: int = scale_fit.CORES) -> dict[str, Any]:
        played = {part: {"hollow_lag_s": 0.0} for part in parts}
        outcome = "whole" if "back" in parts else "failed: x"
        return {"hollow": hollow, "outcome": outcome, "controllers": controllers, "parts": played}

    last, failed = size(100, *PARTS), size(200, "join", "quiet")
    told = [size(300, *PARTS), size(100, *PARTS), last, failed, size(500), size(400, *PARTS, controllers=9)]
    found = scale_fit.usable(told)
    assert [one["hollow"] for one in found] == [100, 200, 300]
    assert found[0] is last
    assert failed in scale_fit.sound(found, "quiet") and failed not in scale_fit.sound(found, "back")


def test_a_part_in_which_the_run_was_behind_its_clock_gives_no_slope() -> None:
    def size(lag_s: float) -> dict[str, Any]:
        return {"parts": {part: {"hollow_lag_s": lag_s} for part in ("change", "back")}}

    sizes = [size(0.1), size(2.0)]
    assert scale_fit.sound(sizes, "change") == sizes[:1]
    assert scale_fit.sound(sizes, "back") == sizes  # a minute bears that
    assert scale_fit.sound(sizes, "disk") == []


# Bounds


def test_half_of_the_machines_memory_is_never_passed_whatever_is_wanted() -> None:
    total = 32 * 1024 * MB
    assert Bounds.of(total, None).memory_bytes == total // 2
    assert Bounds.of(total, 100.0).memory_bytes == total // 2
    assert Bounds.of(total, 6.0).memory_bytes == 6 * 1024 * MB


def test_a_size_that_would_pass_a_bound_is_not_begun() -> None:
    bounds = Bounds.of(32 * 1024 * MB, None)
    assert bounds.plan(1000, 3, 5, 3) is None
    assert isinstance(bounds.plan(17_000, 3, 20, 16), Refused)
    assert bounds.memory_bytes < HOLLOW_BYTES * 17_000**2
    assert isinstance(bounds.plan(10, 200, 20, 81), Refused)


def test_what_the_runs_processes_hold_is_looked_at() -> None:
    assert isinstance(Bounds(1).look([]), Refused)
    assert Bounds(1 << 40).look([]) is None
    assert total_bytes("MemFree: 3 kB\nMemTotal:       64 kB\n") == 64 * 1024


def test_no_program_is_given_less_patience_than_it_ships_with(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(link, "SILENT_S", link.SILENT_S)
    for program, silent_s in (("control_plane", 0.1), ("other", 3.0)):
        with pytest.raises(ValueError, match="give one of"):
            patient(program, silent_s)


# Hollow proxies


def talk(store: Store) -> list[object]:
    """What a sidecar with that store says to one that tells it of others."""
    said: list[object] = []
    here, there = Exchange({"roll": store}), Store("c1", 100)
    peer = Exchange({"roll": there})
    store.take("node", "s1", 1, {"role": PROXY})
    for at in range(3):
        there.take("node", f"n{at}", 1, {"at": at})
    here.met("c1", ())
    peer.met("s1.1", ())
    for round_ in range(4):
        question = here.question()
        peer.asked(question, "s1.1")
        here.asked(peer.question(), "c1")
        said += [question, answer := here.answer(False)]
        if answer is not None:
            peer.answered(answer)
        if (told := peer.answer(True)) is not None:
            here.answered(json.loads(json.dumps(told)))
        there.take("node", "n0", 2 + round_, None if round_ == 2 else {"at": round_})
    return said


def test_a_hollow_store_asks_and_answers_as_the_shipped_one() -> None:
    assert talk(HollowStore("s1.1", 100, Pool())) == talk(Store("s1.1", 100))


def test_one_copy_of_an_item_serves_all_hollow_proxies_of_a_process() -> None:
    pool = Pool()
    one, other = HollowStore("s1", 100, pool), HollowStore("s2", 100, pool)
    item = one.take("node", "n", 1, {"role": PROXY})
    assert item is not None
    other.merge([unpack(pack(item))], {"s1": 1})
    assert other.items["node", "n"] is one.items["node", "n"]
    newer = other.take("node", "n", 2, None)
    assert newer is not None and one.items["node", "n"].version == 1


def test_frames_are_counted_by_kind_both_ways() -> None:
    counts = Counts()
    sent = counts._write({"t": "pull", "v": {}}) + counts._write({"t": NEWS, "n": {}, "z": True}, b"xyz")
    data = sent + frame({})
    counts._read(data, Frames().feed(data))
    assert counts.sent == {"pull": 1, NEWS: 1}
    assert counts.got == {"pull": 1, NEWS: 1, ALIVE: 1}
    assert sum(counts.sent_bytes.values()) == len(sent)
    assert sum(counts.got_bytes.values()) == len(data)


def test_what_hollow_proxies_do_is_written_down_beside_its_command() -> None:
    page = Path(scale_plan.PAGE).read_text()
    assert "python -m benchmarks.scale_run" in page and "python -m benchmarks.scale_plan" in page
