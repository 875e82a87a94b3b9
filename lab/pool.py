"""Distributes simulation runs ("plays") over worker processes, one run at a time in each.

A worker that dies or exceeds the time limit is replaced. Its run is retried once, then reported as failed
with the worker's end as the reason. Runs may finish in any order: the results are sorted when written.
"""

from __future__ import annotations

import os
import queue
import subprocess
import sys
import threading
from collections.abc import Iterable, Iterator
from contextlib import suppress
from pathlib import Path

import msgspec

from lab.experiment import Play
from lab.results import PlayResult
from lab.revisions import ROOT
from lab.worker import Job, failed_row, read_frame, write_frame

MAX_TRIES = 2


class WorkerDied(Exception):
    """The worker process ended, or was killed, before it finished its run."""


class _Worker:
    """A worker process that imports the decision code from one directory."""

    def __init__(self, directory: Path, timeout_s: float) -> None:
        self.directory, self._timeout_s = directory, timeout_s
        paths = [str(directory)] if directory != ROOT else []
        self._process = subprocess.Popen(
            [sys.executable, "-P", "-m", "lab.worker"],
            cwd=ROOT,
            env=os.environ | {"PYTHONPATH": os.pathsep.join([*paths, str(ROOT)])},
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )

    def run(self, job: Job) -> PlayResult:
        """Returns the result of a run. Raises WorkerDied."""
        assert self._process.stdin is not None and self._process.stdout is not None
        timer = threading.Timer(self._timeout_s, self._process.kill)
        timer.start()
        try:
            write_frame(self._process.stdin, msgspec.msgpack.encode(job))
            message = read_frame(self._process.stdout)
        except OSError:
            message = None
        finally:
            timer.cancel()
        if message is None:
            raise WorkerDied(f"the worker ended: status {self._process.wait()}")
        return msgspec.msgpack.decode(message, type=PlayResult)

    def kill(self) -> None:
        """Kills the process without waiting for its end."""
        self._process.kill()

    def close(self) -> None:
        """Kills the process, waits for its end and closes its pipes."""
        self.kill()
        self._process.wait()
        for stream in (self._process.stdin, self._process.stdout):
            if stream is not None:
                with suppress(BrokenPipeError):  # the process ended before the whole job was written
                    stream.close()


def run(
    plays: Iterable[tuple[Play, Job, Path]], workers: int, timeout_s: float = 3600.0
) -> Iterator[tuple[Play, PlayResult]]:
    """Yields each run with its result as it finishes. A run may take ``timeout_s`` seconds of real time.

    Leaving the iteration early kills all workers.
    """
    jobs: queue.SimpleQueue[tuple[Play, Job, Path] | None] = queue.SimpleQueue()
    results: queue.SimpleQueue[tuple[Play, PlayResult] | BaseException] = queue.SimpleQueue()
    count, stop = 0, threading.Event()
    for item in plays:
        jobs.put(item)
        count += 1
    alive: dict[int, _Worker] = {}
    threads = [
        threading.Thread(target=_run_worker, args=(jobs, results, timeout_s, stop, alive), daemon=True)
        for _ in range(min(workers, count))
    ]
    for _ in threads:
        jobs.put(None)
    for thread in threads:
        thread.start()
    try:
        for _ in range(count):
            result = results.get()
            if isinstance(result, BaseException):
                raise result
            yield result
    finally:
        stop.set()
        for worker in list(alive.values()):
            worker.kill()
        for thread in threads:
            thread.join()


def _run_worker(
    jobs: queue.SimpleQueue[tuple[Play, Job, Path] | None],
    results: queue.SimpleQueue[tuple[Play, PlayResult] | BaseException],
    timeout_s: float,
    stop: threading.Event,
    alive: dict[int, _Worker],
) -> None:
    worker: _Worker | None = None
    try:
        while not stop.is_set() and (item := jobs.get()) is not None:
            play, job, directory = item
            for attempt in range(MAX_TRIES):
                if worker is None or worker.directory != directory:
                    if worker is not None:
                        worker.close()
                    worker = alive[threading.get_ident()] = _Worker(directory, timeout_s)
                try:
                    result = worker.run(job)
                    break
                except WorkerDied as error:
                    worker.close()
                    worker, result = None, PlayResult(row=failed_row(str(error)), quantiles_ms=[])
                    if stop.is_set() or attempt + 1 == MAX_TRIES:
                        break
            results.put((play, result))
    except BaseException as error:  # passed on, otherwise the iteration would wait forever
        results.put(error)
    finally:
        if worker is not None:
            worker.close()
