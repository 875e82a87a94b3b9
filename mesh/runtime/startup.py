"""Runs a program of the mesh: reads and watches its settings file, runs its event loop, handles signals."""

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
DEBUG_OPTION = "--debug"  # writes debug events too
POLL_INTERVAL_S = 1.0  # of the settings file, which may change without a signal
MAX_LOGGED_NAMES = 20  # of unknown settings


class Program(Protocol):
    """A program of the mesh, as ``run`` drives it."""

    async def start(self) -> None:
        """Raises OSError if an address or the disk cannot be used."""

    def apply_settings(self, settings: Settings) -> None:
        """Applies a changed, valid settings file."""

    async def stop(self) -> None:
        """Shuts down gracefully."""

    def open_calls(self) -> int:
        """The number of open calls, which a graceful shutdown completes."""


def load_settings(environment: Mapping[str, str]) -> Settings | InvalidSettings:
    """Reads the file that the environment names."""
    path = environment.get(SETTINGS_VARIABLE, "")
    if not path:
        return InvalidSettings((f"{SETTINGS_VARIABLE}: not set; give the path of the settings file",))
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        return InvalidSettings((f"{path}: cannot be read ({error}); give a TOML file",))
    return parse_settings(text)


FileStamp = tuple[int, int]  # of a file: modification time in ns, and length in bytes


def file_stamp(environment: Mapping[str, str]) -> FileStamp:
    """The stamp of the settings file; zeros if it cannot be examined."""
    try:
        status = os.stat(environment.get(SETTINGS_VARIABLE, ""))
    except OSError:
        return 0, 0
    return status.st_mtime_ns, status.st_size


class SettingsWatcher:
    """Applies changes of the settings file, found on SIGHUP or by polling. Invalid ones are logged and
    ignored."""

    def __init__(self, settings: Settings, seen: FileStamp, event_log: EventLog, program: Program) -> None:
        """``seen``: the file's stamp before ``settings`` were read from it. Polls at once: the file may have
        changed while the program started."""
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
    loop, end = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, end.set)
    program = make(settings, event_log)
    if settings.unknown:
        event_log.emit(events.SETTINGS_UNKNOWN, names=", ".join(settings.unknown[:MAX_LOGGED_NAMES]))
    await program.start()
    watcher = SettingsWatcher(settings, seen, event_log, program)
    await end.wait()
    event_log.emit(events.STOPPING, open_calls=program.open_calls())
    await program.stop()
    del watcher


def run(make: Callable[[Settings, EventLog], Program], arguments: Sequence[str] = ()) -> int:
    """Runs the program and returns the exit status: 2 for invalid arguments or settings, 1 for an address or
    a disk that cannot be used."""
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
    except OSError as error:
        print(f"{settings.node}: {error}", file=sys.stderr)
        return 1
    finally:
        ignore_signals()  # an exiting interpreter restores the default actions
    return 0
