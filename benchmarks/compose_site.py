"""Writes a site file with the given days, so that one call of the bench runs many of them at once.

    python -m benchmarks.compose_site SITE.toml DAY.toml... --out DIR [--seeds 1 2 3] [--name NAME]

`fleetbench run` runs a single day on one processor; `fleetbench score` runs all days of a site, `--jobs` of
them at once, and writes one journal entry for all. The composed site contains each given day once for each
seed, with the name `DAY-SEED`; without `--seeds` a day keeps its seed and name. DIR must be outside this
repository, because the file contains the contents of the site file. Prints the path of the composed site.
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
    """Returns each day once for each seed, or the days as they are if there are no seeds."""
    if not seeds:
        return list(days)
    return [{**day, "name": f"{day['name']}-{seed}", "seed": seed} for day in days for seed in seeds]


def compose(site: Site, days: Sequence[Day], wire: str) -> Site:
    """Returns ``site`` with only ``days``; fields that a day lacks are taken from the site's first day.

    The closing fault, the floors and the incident of that day are not taken over, since they do not apply to
    other days.
    """
    defaults = {
        key: value
        for key, value in site["day"][0].items()
        if key not in ("closing", "floor_classes", "floor_zones", "incident")
    }
    return {**site, "wire": wire, "day": [{**defaults, **day} for day in days]}


def write_composed(path: Path, days: Sequence[Day], out: Path, name: str) -> Path:
    """Writes the composed site and a copy of its wire format file into ``out``. Raises OSError, KeyError."""
    site = tomllib.loads(path.read_text(encoding="utf-8"))
    wire = path.parent / site["wire"]
    wire_copy_name = f"{path.stem}.{wire.name}"
    (out / wire_copy_name).write_bytes(wire.read_bytes())
    target = out / f"{name}.toml"
    target.write_text(tomli_w.dumps(compose(site, days, wire_copy_name)), encoding="utf-8")
    return target


def main() -> int:
    """Runs the command and returns the exit code."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("site", type=Path, metavar="SITE")
    parser.add_argument("days", type=Path, nargs="+", metavar="DAY")
    parser.add_argument("--out", type=Path, required=True)
    parser.add_argument("--seeds", type=int, nargs="*", default=[])
    parser.add_argument("--name", default="", help="name of the file (default: that of the site file)")
    args = parser.parse_args()
    out = args.out.resolve()
    if inside_repository(out):
        print(f"compose_site: --out {out}: give a folder outside {ROOT}", file=sys.stderr)
        return 2
    out.mkdir(parents=True, exist_ok=True)
    try:
        days = with_seeds([read_day(path) for path in args.days], args.seeds)
        target = write_composed(args.site, days, out, args.name or args.site.stem)
    except (OSError, KeyError, tomllib.TOMLDecodeError, DayFileError) as fault:
        print(f"compose_site: {fault}; give a site file of the bench and day files", file=sys.stderr)
        return 1
    print(target)
    return 0


if __name__ == "__main__":
    sys.exit(main())
