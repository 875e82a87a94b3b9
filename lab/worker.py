"""A worker process: reads jobs from standard input, and writes the result of each to standard output.

A frame is a length in four bytes, big-endian, and a MessagePack message. A play that raises fails alone; a
worker that dies loses only the play that it was running.
"""

from __future__ import annotations

import gc
import sys
from contextlib import suppress
from typing import IO, Any

import msgspec

from lab.measures import BIN_MS, Measures, Row
from lab.policies import find_policy
from lab.results import COUNTS, QUANTILES, PlayResult
from lab.scenario import Source
from lab.simulation import Simulation

MAX_FRAME_BYTES = 64 * 1024 * 1024


class Job(msgspec.Struct, frozen=True, kw_only=True):
    """One play to run. ``series``: whether its time series is kept."""

    source: Source
    policy: str
    seed: int
    series: bool = False


def write_frame(stream: IO[bytes], message: bytes) -> None:
    """Writes a message with its length, and flushes."""
    stream.write(len(message).to_bytes(4, "big") + message)
    stream.flush()


def read_frame(stream: IO[bytes]) -> bytes | None:
    """The next message; None at the end, or if a frame is truncated or longer than MAX_FRAME_BYTES."""
    head = stream.read(4)
    if len(head) < 4 or (size := int.from_bytes(head, "big")) > MAX_FRAME_BYTES:
        return None
    message = stream.read(size)
    return message if len(message) == size else None


def failed_row(fault: str) -> Row:
    """The row of a play that failed."""
    values: dict[type, Any] = {float: 0.0, int: 0, str: fault}
    return Row(**{item.name: values[item.type] for item in msgspec.structs.fields(Row)})


def run_job(job: Job) -> PlayResult:
    """Runs a job. Raises nothing: an error becomes the fault of the row."""
    try:
        policy, watch_storms = find_policy(job.policy)
        simulation = Simulation(job.source.scenario_for(job.seed), job.seed, policy, watch_storms)
        row = simulation.run()
    except Exception as fault:  # an error of one play must not end the worker
        return PlayResult(row=failed_row(f"{type(fault).__name__}: {fault}"), quantiles_ms=[])
    return PlayResult(
        row=row,
        quantiles_ms=quantiles(simulation.measures),
        series=series(simulation.measures, len(simulation.servers)) if job.series else [],
    )


def quantiles(measures: Measures) -> list[float]:
    """The latencies at QUANTILES in ms; empty if nothing was served."""
    ranked = sorted(measures.latencies)
    last = len(ranked) - 1
    return [ranked[min(int(quantile * len(ranked)), last)] for quantile in QUANTILES] if ranked else []


def series(measures: Measures, servers: int) -> list[tuple[float, list[int], float, float, list[float]]]:
    """The time series of a play, one entry per bin."""
    return [
        (
            number * BIN_MS,
            [getattr(bin_, name) for name in COUNTS],
            bin_.asked,
            bin_.got,
            [bin_.peak.get(server, 0.0) for server in range(servers)],
        )
        for number, bin_ in enumerate(measures.bins)
    ]


def main() -> None:
    """Runs jobs until standard input ends."""
    gc.set_threshold(200_000, 20, 50)  # a play allocates many medium-lived objects and few cycles
    source, sink = sys.stdin.buffer, sys.stdout.buffer
    sys.stdout = sys.stderr  # nothing else may write to the result stream
    with suppress(BrokenPipeError):  # the parent process has ended
        while (message := read_frame(source)) is not None:
            result = run_job(msgspec.msgpack.decode(message, type=Job))
            write_frame(sink, msgspec.msgpack.encode(result))


if __name__ == "__main__":
    main()
