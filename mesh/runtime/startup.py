"""How a program of the mesh starts: its settings file read, checked and followed, its loop, its signals."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

import uvloop

from mesh.event_log import events
from mesh.event_log.events import Level
from mesh.event_log.log import EventLog
from mesh.runtime.hangup import ignore_hangup, ignore_signals
from mesh.runtime.settings import Settings, Wrong, read

VARIABLE = "ANISESTAIR_BOOT"
DEBUG = "--debug"  # debug lines are written too
LOOK_S = 1.0  # between two looks at the file, which may change without a signal
MOST_NAMED = 20  # unknown settings in one line of the log


class Program(Protocol):
    async def start(self) -> None:
        """Raises OSError where an address or the disk cannot be had."""

    def retune(self, settings: Settings) -> None:
        """The settings file has changed, and can be used."""

    async def stop(self) -> None:
        """An orderly end."""

    def open_calls(self) -> int:
        """Calls that are in hand and will be finished before an orderly end."""


def load(environment: Mapping[str, str]) -> Settings | Wrong:
    path = environment.get(VARIABLE, "")
    if not path:
        return Wrong((f"{VARIABLE}: not set; give the path of the settings file",))
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as fault:
        return Wrong((f"{path}: cannot be read ({fault}); give a TOML file",))
    return read(text)


Stamp = tuple[int, int]  # of a file: when it was changed, in ns, and its length in bytes


def stamp(environment: Mapping[str, str]) -> Stamp:
    """Of the settings file; zeros where it cannot be looked at."""
    try:
        status = os.stat(environment.get(VARIABLE, ""))
    except OSError:
        return 0, 0
    return status.st_mtime_ns, status.st_size


class Following:
    """The settings file as it changes, by signal or silently. What cannot be used is told and left alone."""

    def __init__(self, settings: Settings, seen: Stamp, event_log: EventLog, program: Program) -> None:
        """``seen``: of the file before ``settings`` were read from it. Looks at once: it may have changed
        while the program started."""
        self._settings, self._event_log, self._program = settings, event_log, program
        self._loop = asyncio.get_running_loop()
        self._seen = seen
        self._loop.add_signal_handler(signal.SIGHUP, self._read)
        self._look()

    def _look(self) -> None:
        if stamp(os.environ) != self._seen:
            self._read()
        self._loop.call_later(LOOK_S, self._look)

    def _read(self) -> None:
        self._seen = stamp(os.environ)
        settings = load(os.environ)
        if isinstance(settings, Wrong):
            self._event_log.emit(events.SETTINGS_REFUSED, findings="; ".join(settings.findings))
        elif settings != self._settings:
            self._settings = settings
            self._event_log.emit(events.SETTINGS_APPLIED)
            self._program.retune(settings)


async def _serve(
    settings: Settings, seen: Stamp, event_log: EventLog, make: Callable[[Settings, EventLog], Program]
) -> None:
    loop, ends = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ends.set)
    program = make(settings, event_log)
    if settings.unknown:
        event_log.emit(events.SETTINGS_UNKNOWN, names=", ".join(settings.unknown[:MOST_NAMED]))
    await program.start()
    following = Following(settings, seen, event_log, program)
    await ends.wait()
    event_log.emit(events.STOPPING, open_calls=program.open_calls())
    await program.stop()
    del following


def run(make: Callable[[Settings, EventLog], Program], arguments: Sequence[str] = ()) -> int:
    """The exit status: 2 for arguments or settings that cannot be used, 1 for an address or a disk that
    cannot."""
    if arguments and list(arguments) != [DEBUG]:
        print(f"arguments: {' '.join(arguments)!r} is not known; give none, or {DEBUG}", file=sys.stderr)
        return 2
    level = Level.DEBUG if arguments else Level.INFO
    ignore_hangup()
    seen = stamp(os.environ)
    settings = load(os.environ)
    if isinstance(settings, Wrong):
        for line in settings.findings:
            print(f"settings: {line}", file=sys.stderr)
        return 2
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_serve(settings, seen, EventLog(settings.node, sys.stderr, level), make))
    except OSError as fault:
        print(f"{settings.node}: {fault}", file=sys.stderr)
        return 1
    finally:
        ignore_signals()  # the interpreter puts the system's default back as it goes
    return 0
