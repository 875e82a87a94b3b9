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
from mesh.runtime.settings import InvalidSettings, Settings, parse_settings

SETTINGS_VARIABLE = "ANISESTAIR_BOOT"
DEBUG_OPTION = "--debug"  # debug lines are written too
POLL_INTERVAL_S = 1.0  # between two looks at the file, which may change without a signal
MAX_LOGGED_NAMES = 20  # unknown settings in one line of the log


class Program(Protocol):
    async def start(self) -> None:
        """Raises OSError where an address or the disk cannot be had."""

    def apply_settings(self, settings: Settings) -> None:
        """The settings file has changed, and can be used."""

    async def stop(self) -> None:
        """An orderly end."""

    def open_calls(self) -> int:
        """Calls that are in hand and will be finished before an orderly end."""


def load_settings(environment: Mapping[str, str]) -> Settings | InvalidSettings:
    path = environment.get(SETTINGS_VARIABLE, "")
    if not path:
        return InvalidSettings((f"{SETTINGS_VARIABLE}: not set; give the path of the settings file",))
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as fault:
        return InvalidSettings((f"{path}: cannot be read ({fault}); give a TOML file",))
    return parse_settings(text)


FileStamp = tuple[int, int]  # of a file: when it was changed, in ns, and its length in bytes


def file_stamp(environment: Mapping[str, str]) -> FileStamp:
    """Of the settings file; zeros where it cannot be looked at."""
    try:
        status = os.stat(environment.get(SETTINGS_VARIABLE, ""))
    except OSError:
        return 0, 0
    return status.st_mtime_ns, status.st_size


class SettingsWatcher:
    """The settings file as it changes, by signal or silently. What cannot be used is told and left alone."""

    def __init__(self, settings: Settings, seen: FileStamp, event_log: EventLog, program: Program) -> None:
        """``seen``: of the file before ``settings`` were read from it. Looks at once: it may have changed
        while the program started."""
        self._settings, self._event_log, self._program = settings, event_log, program
        self._loop = asyncio.get_running_loop()
        self._seen = seen
        self._loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._poll()

    def _poll(self) -> None:
        if file_stamp(os.environ) != self._seen:
            self._reload()
        self._loop.call_later(POLL_INTERVAL_S, self._poll)

    def _reload(self) -> None:
        self._seen = file_stamp(os.environ)
        settings = load_settings(os.environ)
        if isinstance(settings, InvalidSettings):
            self._event_log.emit(events.SETTINGS_REFUSED, findings="; ".join(settings.findings))
        elif settings != self._settings:
            self._settings = settings
            self._event_log.emit(events.SETTINGS_APPLIED)
            self._program.apply_settings(settings)


async def _serve(
    settings: Settings, seen: FileStamp, event_log: EventLog, make: Callable[[Settings, EventLog], Program]
) -> None:
    loop, ends = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ends.set)
    program = make(settings, event_log)
    if settings.unknown:
        event_log.emit(events.SETTINGS_UNKNOWN, names=", ".join(settings.unknown[:MAX_LOGGED_NAMES]))
    await program.start()
    watcher = SettingsWatcher(settings, seen, event_log, program)
    await ends.wait()
    event_log.emit(events.STOPPING, open_calls=program.open_calls())
    await program.stop()
    del watcher


def run(make: Callable[[Settings, EventLog], Program], arguments: Sequence[str] = ()) -> int:
    """The exit status: 2 for arguments or settings that cannot be used, 1 for an address or a disk that
    cannot."""
    if arguments and list(arguments) != [DEBUG_OPTION]:
        print(
            f"arguments: {' '.join(arguments)!r} is not known; give none, or {DEBUG_OPTION}", file=sys.stderr
        )
        return 2
    level = Level.DEBUG if arguments else Level.INFO
    ignore_hangup()
    seen = file_stamp(os.environ)
    settings = load_settings(os.environ)
    if isinstance(settings, InvalidSettings):
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
