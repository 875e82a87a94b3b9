"""Plays over all cores: a worker process a core, each at one play at a time.

A worker that dies, or that is at one play for too long, is replaced; its play is tried once more, then told
as broken by what it did to its worker. The order in which plays end is no matter: rows are sorted where they
land.
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
from lab.results import Found
from lab.revisions import ROOT
from lab.worker import Job, broken, read_frame, write_frame

MAX_TRIES = 2


class WorkerDied(Exception):
    """The worker ended, or was ended, before its play did."""


class _Worker:
    """One process, for the decision modules of one place."""

    def __init__(self, place: Path, timeout_s: float) -> None:
        self.place, self._timeout_s = place, timeout_s
        paths = [str(place)] if place != ROOT else []
        self._process = subprocess.Popen(
            [sys.executable, "-P", "-m", "lab.worker"],
            cwd=ROOT,
            env=os.environ | {"PYTHONPATH": os.pathsep.join([*paths, str(ROOT)])},
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )

    def run(self, job: Job) -> Found:
        """Raises WorkerDied."""
        assert self._process.stdin is not None and self._process.stdout is not None
        alarm = threading.Timer(self._timeout_s, self._process.kill)
        alarm.start()
        try:
            write_frame(self._process.stdin, msgspec.msgpack.encode(job))
            message = read_frame(self._process.stdout)
        except OSError:
            message = None
        finally:
            alarm.cancel()
        if message is None:
            raise WorkerDied(f"the worker ended: status {self._process.wait()}")
        return msgspec.msgpack.decode(message, type=Found)

    def kill(self) -> None:
        self._process.kill()

    def close(self) -> None:
        self.kill()
        self._process.wait()
        for stream in (self._process.stdin, self._process.stdout):
            if stream is not None:
                with suppress(BrokenPipeError):  # it ended with a job half written
                    stream.close()


def run(
    plays: Iterable[tuple[Play, Job, Path]], workers: int, timeout_s: float = 3600.0
) -> Iterator[tuple[Play, Found]]:
    """Each play with what it came to, as they end; ``timeout_s`` seconds of real time a play at the most.
    Leaving the iteration early ends all workers."""
    waiting: queue.SimpleQueue[tuple[Play, Job, Path] | None] = queue.SimpleQueue()
    ended: queue.SimpleQueue[tuple[Play, Found] | BaseException] = queue.SimpleQueue()
    count, stop = 0, threading.Event()
    for item in plays:
        waiting.put(item)
        count += 1
    alive: dict[int, _Worker] = {}
    threads = [
        threading.Thread(target=_run_worker, args=(waiting, ended, timeout_s, stop, alive), daemon=True)
        for _ in range(min(workers, count))
    ]
    for _ in threads:
        waiting.put(None)
    for thread in threads:
        thread.start()
    try:
        for _ in range(count):
            found = ended.get()
            if isinstance(found, BaseException):
                raise found
            yield found
    finally:
        stop.set()
        for worker in list(alive.values()):
            worker.kill()
        for thread in threads:
            thread.join()


def _run_worker(
    waiting: queue.SimpleQueue[tuple[Play, Job, Path] | None],
    ended: queue.SimpleQueue[tuple[Play, Found] | BaseException],
    timeout_s: float,
    stop: threading.Event,
    alive: dict[int, _Worker],
) -> None:
    worker: _Worker | None = None
    try:
        while not stop.is_set() and (item := waiting.get()) is not None:
            play, job, place = item
            for turn in range(MAX_TRIES):
                if worker is None or worker.place != place:
                    if worker is not None:
                        worker.close()
                    worker = alive[threading.get_ident()] = _Worker(place, timeout_s)
                try:
                    found = worker.run(job)
                    break
                except WorkerDied as fault:
                    worker.close()
                    worker, found = None, Found(row=broken(str(fault)), quantiles_ms=[])
                    if stop.is_set() or turn + 1 == MAX_TRIES:
                        break
            ended.put((play, found))
    except BaseException as fault:  # the iteration must hear of it, or it waits for good
        ended.put(fault)
    finally:
        if worker is not None:
            worker.close()
