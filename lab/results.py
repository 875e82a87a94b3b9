"""Results on disk: a folder of Parquet files, one row a play, and what happened over time beside it.

What is found lands in small parts as it comes; each is written under another name and moved, so that a killed
writer leaves no part cut short. At the end parts become one sorted file: the same bytes from one core and
from eight. A file that cannot be read is set aside and named, and its plays are missing again.
"""

from __future__ import annotations

import math
import os
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import pyarrow as pa
import pyarrow.parquet as pq

from lab.experiment import Play, Point
from lab.measures import Row

KEY = ("scenario", "policy", "factors", "seed", "code")
QUANTILES = (0.0, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999, 0.9999, 1.0)
_TYPES = {float: pa.float64(), int: pa.int64(), str: pa.string()}
PLAYS = pa.schema(
    [pa.field(name, pa.int64() if name == "seed" else pa.string()) for name in KEY]
    + [pa.field(item.name, _TYPES[item.type]) for item in msgspec.structs.fields(Row)]
    + [pa.field("quantiles_ms", pa.list_(pa.float64()))]
)
COUNTS = ("first", "offered", "sent", "connects", "served", "refused", "failed", "lost", "cut")
SERIES = pa.schema(
    [pa.field(name, pa.int64() if name == "seed" else pa.string()) for name in KEY]
    + [pa.field("t_ms", pa.float64())]
    + [pa.field(name, pa.int64()) for name in COUNTS]
    + [pa.field("asked", pa.float64()), pa.field("got", pa.float64())]
    + [pa.field("loads", pa.list_(pa.float64()))]  # by server: the most that came, of what it could do
)


class Found(msgspec.Struct, kw_only=True):
    """What a play came to, as a worker tells it."""

    row: Row
    quantiles_ms: list[float]
    series: list[tuple[float, list[int], float, float, list[float]]] = []


class Mixed(ValueError):
    """Results of more than one code where one is asked for: one line that says which and what to do."""


@dataclass
class Loaded:
    """``damaged`` files were set aside under these names."""

    rows: list[dict[str, Any]] = field(default_factory=list)
    series: list[dict[str, Any]] = field(default_factory=list)
    damaged: list[Path] = field(default_factory=list)

    def done(self) -> set[tuple[str, str, str, int, str]]:
        return {key_of(row) for row in self.rows}


def key_of(row: dict[str, Any]) -> tuple[str, str, str, int, str]:
    return (row["scenario"], row["policy"], row["factors"], row["seed"], row["code"])


def rows_of(play: Play, found: Found) -> tuple[dict[str, Any], list[dict[str, Any]]]:
    key = dict(zip(KEY, play.key(), strict=True))
    row = key | msgspec.structs.asdict(found.row) | {"quantiles_ms": found.quantiles_ms}
    series = [
        key | {"t_ms": t, "asked": asked, "got": got, "loads": loads} | dict(zip(COUNTS, counts, strict=True))
        for t, counts, asked, got, loads in found.series
    ]
    return row, series


class Folder:
    """The results of one experiment, maybe of several codes."""

    def __init__(self, path: Path, libraries: dict[str, str] | None = None) -> None:
        self.path, self.parts = path, path / "parts"
        self._about = {f"library {name}": version for name, version in sorted((libraries or {}).items())}
        self._number = 0

    def add(
        self, rows: Sequence[dict[str, Any]], series: Sequence[dict[str, Any]], shard: str = "all"
    ) -> None:
        """Lands rows as one part. Raises OSError."""
        self.parts.mkdir(parents=True, exist_ok=True)
        name = f"{shard.replace('/', 'of')}-{os.getpid()}-{self._number:05}"
        self._number += 1
        if series:
            self._write(self.parts / f"series-{name}.parquet", series, SERIES)
        self._write(self.parts / f"plays-{name}.parquet", rows, PLAYS)

    def _write(self, path: Path, rows: Sequence[dict[str, Any]], schema: pa.Schema) -> None:
        table = pa.Table.from_pylist(list(rows), schema.with_metadata(self._about))
        unfinished = path.with_suffix(".unfinished")
        pq.write_table(table, unfinished, compression="zstd")
        with open(unfinished, "rb+") as file:
            os.fsync(file.fileno())
        unfinished.replace(path)

    def _read(self, kind: str, schema: pa.Schema, loaded: Loaded) -> list[dict[str, Any]]:
        found: dict[Any, dict[str, Any]] = {}
        whole = self.path / f"{kind}.parquet"
        for path in [whole, *sorted(self.parts.glob(f"{kind}-*.parquet"))]:
            if not path.exists():
                continue
            try:
                rows = pq.read_table(path, schema=schema).to_pylist()
            except (pa.ArrowException, OSError, ValueError):
                aside = path.with_suffix(".damaged")
                path.replace(aside)
                loaded.damaged.append(aside)
                continue
            for row in rows:
                found[(*key_of(row), row.get("t_ms", 0.0))] = row
        return [found[key] for key in sorted(found)]

    def load(self) -> Loaded:
        """All rows, each play once, in the order of their keys."""
        loaded = Loaded()
        loaded.rows = self._read("plays", PLAYS, loaded)
        loaded.series = self._read("series", SERIES, loaded)
        return loaded

    def compact(self, also: Iterable[Folder] = ()) -> Loaded:
        """Parts, and other folders' rows, become one sorted file each; the same rows give the same bytes."""
        loaded = self.load()
        rows = {key_of(row): row for row in loaded.rows}
        series = {(*key_of(row), row["t_ms"]): row for row in loaded.series}
        for other in also:
            more = other.load()
            rows |= {key_of(row): row for row in more.rows}
            series |= {(*key_of(row), row["t_ms"]): row for row in more.series}
            loaded.damaged += more.damaged
        loaded.rows = [rows[key] for key in sorted(rows)]
        loaded.series = [series[key] for key in sorted(series)]
        self.path.mkdir(parents=True, exist_ok=True)
        self._write(self.path / "plays.parquet", loaded.rows, PLAYS)
        if loaded.series:
            self._write(self.path / "series.parquet", loaded.series, SERIES)
        for path in self.parts.glob("*.parquet"):
            path.unlink()
        if self.parts.exists() and not any(self.parts.iterdir()):
            self.parts.rmdir()
        return loaded


def of_one_code(rows: list[dict[str, Any]], codes: Iterable[str] = ()) -> list[dict[str, Any]]:
    """Rows of the codes asked for; without any asked for, all, if each policy has rows of one code alone.
    Raises Mixed."""
    wanted = set(codes)
    if wanted:
        return [row for row in rows if row["code"] in wanted]
    by_policy: dict[str, set[str]] = {}
    for row in rows:
        by_policy.setdefault(row["policy"], set()).add(row["code"])
    for policy, found in by_policy.items():
        if len(found) > 1:
            names = ", ".join(sorted(found))
            raise Mixed(f"policy {policy!r} has results of several codes ({names}); name one with --code")
    return rows


def point_of(row: dict[str, Any]) -> Point:
    return Point(scenario=row["scenario"], policy=row["policy"], changes=msgspec.json.decode(row["factors"]))


def finite(value: float, otherwise: float) -> float:
    return value if math.isfinite(value) else otherwise
