"""The page of the size to design for: its tables are those that the last run of the tool which measured them
rendered (commit a726ac6), figure for figure, until slopes of the bench take their place."""

from __future__ import annotations

import re
from hashlib import sha256
from pathlib import Path

PAGE = (Path(__file__).parents[2] / "docs/CAPACITY.md").read_text()
TABLE = re.compile(r"<!-- (\w+) -->\n(.*?)<!-- /\1 -->", re.DOTALL)
RENDERED = {
    "misses": "7f9910dfcc403e9f",
    "ways": "0e1d721d12530ed0",
    "holds": "92f64af2c0e2a353",
    "state": "3b1d21e4aabd6420",
    "frames": "55413f286a09fb00",
    "slopes": "b9fdcf9bc8cac474",
    "troubles": "fa6c2d9b7535551b",
}
"""The beginning of each table's SHA-256. A table that is measured anew brings its own command and test."""


def digests(page: str) -> dict[str, str]:
    return {name: sha256(table.encode()).hexdigest()[:16] for name, table in TABLE.findall(page)}


def test_the_pages_tables_are_those_that_were_measured() -> None:
    assert digests(PAGE) == RENDERED


def test_a_figure_that_no_result_gave_is_seen() -> None:
    row = next(line for line in PAGE.splitlines() if line.startswith("| `controller.rss_mb`"))
    assert digests(PAGE.replace(row, row.replace("1", "2"))) != RENDERED


def test_rows_that_miss_stand_first_the_largest_ratio_first() -> None:
    (misses,) = [table for name, table in TABLE.findall(PAGE) if name == "misses"]
    rows = [[cell.strip() for cell in line.split("|")[1:-1]] for line in misses.splitlines()[2:]]
    ratios = [float(row[4]) for row in rows]
    assert len(ratios) > 5 and ratios == sorted(ratios, reverse=True) and min(ratios) > 1.0


def test_the_page_says_that_no_sweep_gave_its_figures() -> None:
    assert "no sweep has been run for this page yet" in PAGE
