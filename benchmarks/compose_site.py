"""Writes a site file whose days are days of ours, so that one call of the bench plays many of them at once.

    python -m benchmarks.compose_site SITE.toml DAY.toml... --out DIR [--seeds 1 2 3] [--name NAME]

`fleetbench run` plays a single day and takes one processor; `fleetbench score` plays all days of a site, as
many at once as `--jobs` says, and leaves one journal entry that holds them all. Each given day stands in the
composed site once for each seed, under the name `DAY-SEED`; without `--seeds` it keeps its own seed and name.
DIR must lie outside this repository, since the file holds what the site file holds. The path of the composed
site is printed.
"""

from __future__ import annotations

import argparse
import sys
import tomllib
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

import tomli_w

from benchmarks.day_files import ROOT, Day, DayFileError, inside_repository, read_day

Site = dict[str, Any]


def with_seeds(days: Iterable[Day], seeds: Sequence[int]) -> list[Day]:
    """Each day once for each seed; as it is where no seed is given."""
    if not seeds:
        return list(days)
    return [{**day, "name": f"{day['name']}-{seed}", "seed": seed} for day in days for seed in seeds]


def composed(site: Site, days: Sequence[Day], wire: str) -> Site:
    """``site`` with ``days`` alone; what a day leaves open is as on the site's first day.

    Marks and floors of the site's own days say nothing of these, so that a day without floors gets none.
    """
    usual = {
        key: value
        for key, value in site["day"][0].items()
        if key not in ("closing", "floor_classes", "floor_zones", "incident")
    }
    return {**site, "wire": wire, "day": [{**usual, **day} for day in days]}


def write_composed(path: Path, days: Sequence[Day], out: Path, name: str) -> Path:
    """Writes the composed site and its messages' file into ``out``. Raises OSError, KeyError."""
    site = tomllib.loads(path.read_text(encoding="utf-8"))
    wire = path.parent / site["wire"]
    copied = f"{path.stem}.{wire.name}"
    (out / copied).write_bytes(wire.read_bytes())
    target = out / f"{name}.toml"
    target.write_text(tomli_w.dumps(composed(site, days, copied)), encoding="utf-8")
    return target


def main() -> int:
    """Compose the site that the command line names; the exit status."""
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("site", type=Path, metavar="SITE")
    words.add_argument("days", type=Path, nargs="+", metavar="DAY")
    words.add_argument("--out", type=Path, required=True)
    words.add_argument("--seeds", type=int, nargs="*", default=[])
    words.add_argument("--name", default="", help="of the file; the site's own otherwise")
    given = words.parse_args()
    out = given.out.resolve()
    if inside_repository(out):
        print(f"compose_site: --out {out}: give a folder outside {ROOT}", file=sys.stderr)
        return 2
    out.mkdir(parents=True, exist_ok=True)
    try:
        days = with_seeds([read_day(path) for path in given.days], given.seeds)
        target = write_composed(given.site, days, out, given.name or given.site.stem)
    except (OSError, KeyError, tomllib.TOMLDecodeError, DayFileError) as fault:
        print(f"compose_site: {fault}; give a site file of the bench and days", file=sys.stderr)
        return 1
    print(target)
    return 0


if __name__ == "__main__":
    sys.exit(main())
