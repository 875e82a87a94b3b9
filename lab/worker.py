"""A process that plays what it is told: one job a frame on standard input, what it came to on standard
output.

A frame is its length in four bytes, the first the highest, and a message in MessagePack. A play that breaks
costs itself alone; a worker that dies costs the play it was at.
"""

from __future__ import annotations

import gc
import sys
from contextlib import suppress
from typing import IO, Any

import msgspec

from lab.measures import BIN_MS, Measures, Row
from lab.policies import find_policy
from lab.results import COUNTS, QUANTILES, Found
from lab.scenario import Source
from lab.simulation import Simulation

MOST_FRAME = 64 * 1024 * 1024


class Job(msgspec.Struct, frozen=True, kw_only=True):
    source: Source
    policy: str
    seed: int
    series: bool = False


def write_frame(stream: IO[bytes], message: bytes) -> None:
    stream.write(len(message).to_bytes(4, "big") + message)
    stream.flush()


def read_frame(stream: IO[bytes]) -> bytes | None:
    """None at the end, also where a frame is cut short or longer than a bound."""
    head = stream.read(4)
    if len(head) < 4 or (size := int.from_bytes(head, "big")) > MOST_FRAME:
        return None
    message = stream.read(size)
    return message if len(message) == size else None


def broken(fault: str) -> Row:
    """The row of a play that did not end."""
    kinds: dict[type, Any] = {float: 0.0, int: 0, str: fault}
    return Row(**{item.name: kinds[item.type] for item in msgspec.structs.fields(Row)})


def play(job: Job) -> Found:
    """Raises nothing: what goes wrong is in the row."""
    try:
        decides, watched = find_policy(job.policy)
        simulation = Simulation(job.source.scenario_for(job.seed), job.seed, decides, watched)
        row = simulation.run()
    except Exception as fault:  # whatever it is, it is this play's alone
        return Found(row=broken(f"{type(fault).__name__}: {fault}"), quantiles_ms=[])
    return Found(
        row=row,
        quantiles_ms=quantiles(simulation.measures),
        series=series(simulation.measures, len(simulation.servers)) if job.series else [],
    )


def quantiles(measures: Measures) -> list[float]:
    ranked = sorted(measures.latencies)
    last = len(ranked) - 1
    return [ranked[min(int(part * len(ranked)), last)] for part in QUANTILES] if ranked else []


def series(measures: Measures, servers: int) -> list[tuple[float, list[int], float, float, list[float]]]:
    return [
        (
            number * BIN_MS,
            [getattr(made, name) for name in COUNTS],
            made.asked,
            made.got,
            [made.peak.get(server, 0.0) for server in range(servers)],
        )
        for number, made in enumerate(measures.bins)
    ]


def main() -> None:
    gc.set_threshold(200_000, 20, 50)  # a play makes many objects that live for a while, and few cycles
    source, sink = sys.stdin.buffer, sys.stdout.buffer
    sys.stdout = sys.stderr  # nothing else may write there
    with suppress(BrokenPipeError):  # whoever asked has ended
        while (message := read_frame(source)) is not None:
            found = play(msgspec.msgpack.decode(message, type=Job))
            write_frame(sink, msgspec.msgpack.encode(found))


if __name__ == "__main__":
    main()
