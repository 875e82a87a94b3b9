"""Results on disk: a folder of Parquet files with one row per play, and time series of some plays.

Results are saved in small part files as they arrive. Each file is written under a temporary name and then
renamed, so a killed writer leaves no truncated part. At the end the parts are merged into one sorted file,
which has the same bytes whatever the number of workers. A file that cannot be read is renamed and reported,
and its plays count as missing.
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
_COLUMN_TYPES = {float: pa.float64(), int: pa.int64(), str: pa.string()}
PLAYS = pa.schema(
    [pa.field(name, pa.int64() if name == "seed" else pa.string()) for name in KEY]
    + [pa.field(item.name, _COLUMN_TYPES[item.type]) for item in msgspec.structs.fields(Row)]
    + [pa.field("quantiles_ms", pa.list_(pa.float64()))]
)
COUNTS = ("first", "offered", "sent", "connects", "served", "refused", "failed", "lost", "cut")
SERIES = pa.schema(
    [pa.field(name, pa.int64() if name == "seed" else pa.string()) for name in KEY]
    + [pa.field("t_ms", pa.float64())]
    + [pa.field(name, pa.int64()) for name in COUNTS]
    + [pa.field("asked", pa.float64()), pa.field("got", pa.float64())]
    + [pa.field("loads", pa.list_(pa.float64()))]  # by server: its peak load relative to its capacity
)


class PlayResult(msgspec.Struct, kw_only=True):
    """The result of a play, as a worker sends it."""

    row: Row
    quantiles_ms: list[float]
    series: list[tuple[float, list[int], float, float, list[float]]] = []


class MixedCodesError(ValueError):
    """Results of several code versions where one is expected; the message is one line with the remedy."""


@dataclass
class LoadedResults:
    """The content of a folder. ``damaged``: the new names of files that could not be read."""

    rows: list[dict[str, Any]] = field(default_factory=list)
    series: list[dict[str, Any]] = field(default_factory=list)
    damaged: list[Path] = field(default_factory=list)

    def done(self) -> set[tuple[str, str, str, int, str]]:
        """The keys of all plays with a result."""
        return {row_key(row) for row in self.rows}


def row_key(row: dict[str, Any]) -> tuple[str, str, str, int, str]:
    """The key of the play that a row belongs to, as ``Play.key``."""
    return (row["scenario"], row["policy"], row["factors"], row["seed"], row["code"])


def result_rows(play: Play, result: PlayResult) -> tuple[dict[str, Any], list[dict[str, Any]]]:
    """The row of a play, and the rows of its time series."""
    key = dict(zip(KEY, play.key(), strict=True))
    row = key | msgspec.structs.asdict(result.row) | {"quantiles_ms": result.quantiles_ms}
    series = [
        key | {"t_ms": t, "asked": asked, "got": got, "loads": loads} | dict(zip(COUNTS, counts, strict=True))
        for t, counts, asked, got, loads in result.series
    ]
    return row, series


class ResultFolder:
    """The results of one experiment, possibly of several code versions."""

    def __init__(self, path: Path, libraries: dict[str, str] | None = None) -> None:
        """``libraries``: versions that are written into the metadata of new files."""
        self.path, self.parts = path, path / "parts"
        self._metadata = {f"library {name}": version for name, version in sorted((libraries or {}).items())}
        self._next_part = 0

    def add(
        self, rows: Sequence[dict[str, Any]], series: Sequence[dict[str, Any]], shard: str = "all"
    ) -> None:
        """Saves rows as one part. Raises OSError."""
        self.parts.mkdir(parents=True, exist_ok=True)
        name = f"{shard.replace('/', 'of')}-{os.getpid()}-{self._next_part:05}"
        self._next_part += 1
        if series:
            self._write(self.parts / f"series-{name}.parquet", series, SERIES)
        self._write(self.parts / f"plays-{name}.parquet", rows, PLAYS)

    def _write(self, path: Path, rows: Sequence[dict[str, Any]], schema: pa.Schema) -> None:
        table = pa.Table.from_pylist(list(rows), schema.with_metadata(self._metadata))
        unfinished = path.with_suffix(".unfinished")
        pq.write_table(table, unfinished, compression="zstd")
        with open(unfinished, "rb+") as file:
            os.fsync(file.fileno())
        unfinished.replace(path)

    def _read(self, kind: str, schema: pa.Schema, loaded: LoadedResults) -> list[dict[str, Any]]:
        """Reads the merged file and all parts; of rows with the same key, the last one read counts."""
        rows_by_key: dict[Any, dict[str, Any]] = {}
        merged_path = self.path / f"{kind}.parquet"
        for path in [merged_path, *sorted(self.parts.glob(f"{kind}-*.parquet"))]:
            if not path.exists():
                continue
            try:
                rows = pq.read_table(path, schema=schema).to_pylist()
            except (pa.ArrowException, OSError, ValueError):
                set_aside_path = path.with_suffix(".damaged")
                path.replace(set_aside_path)
                loaded.damaged.append(set_aside_path)
                continue
            for row in rows:
                rows_by_key[(*row_key(row), row.get("t_ms", 0.0))] = row
        return [rows_by_key[key] for key in sorted(rows_by_key)]

    def load(self) -> LoadedResults:
        """All rows, each play once, sorted by key."""
        loaded = LoadedResults()
        loaded.rows = self._read("plays", PLAYS, loaded)
        loaded.series = self._read("series", SERIES, loaded)
        return loaded

    def compact(self, others: Iterable[ResultFolder] = ()) -> LoadedResults:
        """Merges all parts, and the rows of other folders, into one sorted file for plays and one for series.

        The same rows give the same bytes."""
        loaded = self.load()
        rows = {row_key(row): row for row in loaded.rows}
        series = {(*row_key(row), row["t_ms"]): row for row in loaded.series}
        for other in others:
            more = other.load()
            rows |= {row_key(row): row for row in more.rows}
            series |= {(*row_key(row), row["t_ms"]): row for row in more.series}
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


def rows_of_one_code(rows: list[dict[str, Any]], codes: Iterable[str] = ()) -> list[dict[str, Any]]:
    """The rows of the given code digests; if none are given, all rows.

    Raises MixedCodesError if none are given and a policy has rows of several."""
    selected = set(codes)
    if selected:
        return [row for row in rows if row["code"] in selected]
    by_policy: dict[str, set[str]] = {}
    for row in rows:
        by_policy.setdefault(row["policy"], set()).add(row["code"])
    for policy, digests in by_policy.items():
        if len(digests) > 1:
            names = ", ".join(sorted(digests))
            raise MixedCodesError(
                f"policy {policy!r} has results of several codes ({names}); name one with --code"
            )
    return rows


def row_point(row: dict[str, Any]) -> Point:
    """The point of an experiment that a row belongs to."""
    return Point(scenario=row["scenario"], policy=row["policy"], changes=msgspec.json.decode(row["factors"]))


def finite(value: float, default: float) -> float:
    """The value, or the default where it is infinite or NaN."""
    return value if math.isfinite(value) else default
