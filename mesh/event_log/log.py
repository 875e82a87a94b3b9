"""The log: one line an event, on the stream that is given, at most so many a second of each kind.

Lines go through the standard library's ``logging``, which asyncio loads anyway: ``logbook`` would add 0.7 MB
to each process.
"""

import json
import logging
import time
from collections.abc import Callable
from typing import TextIO

from mesh.event_log.events import CATALOGUE, Event, Level

MAX_LINES_PER_SECOND = 20
"""Lines of one event in one second; the suppressed are counted and told with the event's next line."""
MAX_VALUE_LENGTH = 300
"""Characters of one value."""

_LEVELS = {
    Level.DEBUG: logging.DEBUG,
    Level.INFO: logging.INFO,
    Level.WARNING: logging.WARNING,
    Level.ERROR: logging.ERROR,
}
_PLAIN = frozenset("!#$%&()*+,-./:;<>?@[]^_{|}~")  # stands without quotes beside letters and digits


class _Lines(logging.StreamHandler[TextIO]):
    """Writes messages as they are. A stream that fails must not end the process that tells what goes on in
    it."""

    def format(self, record: logging.LogRecord) -> str:
        """The message without more."""
        return str(record.msg)

    def handleError(self, record: logging.LogRecord) -> None:  # noqa: N802 - the library's name
        """Leaves the line out."""


class EventLog:
    """The log of one process. ``clock`` gives seconds since 1970, UTC; lines have the time of day by it."""

    def __init__(
        self,
        node: str,
        stream: TextIO,
        level: Level = Level.INFO,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._logger = logging.Logger(node, logging.DEBUG)  # of its own: no process-wide state
        self._logger.addHandler(_Lines(stream))
        self._level = level
        self._clock = clock
        self._told = {
            number: [0, 0, 0] for number in CATALOGUE
        }  # second, lines in it, suppressed since a line

    def writes(self, event: Event) -> bool:
        """Whether an event of that level is written at all."""
        return event.level >= self._level

    def emit(self, event: Event, /, **values: object) -> None:
        """Write ``HH:MM:SS.mmm W202 link lost peer=... why=...``, the event's fields first and in its order;
        one that is not given is ``?``. Nothing is formatted below the log's level, or beyond
        MAX_LINES_PER_SECOND where the event is limited.
        Values keep to one line and MAX_VALUE_LENGTH characters. Never raises for a value or a stream."""
        if not self.writes(event):
            return
        now = self._clock()
        told = self._told[event.number]
        if told[0] != int(now):
            told[0], told[1] = int(now), 0
        if event.limited and told[1] >= MAX_LINES_PER_SECOND:
            told[2] += 1
            return
        told[1] += 1
        parts = [f"{_time(now)} {event.code} {event.text}"]
        parts += [f"{name}={_shown(values.pop(name, _Missing))}" for name in event.fields]
        parts += [f"{name}={_shown(value)}" for name, value in values.items()]
        if told[2]:
            parts.append(f"suppressed={told[2]}")
            told[2] = 0
        self._logger.log(_LEVELS[event.level], " ".join(parts))


class _Missing:
    """Stands for a value that was not given."""


def _time(now: float) -> str:
    milliseconds = int(now * 1000)
    seconds = milliseconds // 1000
    return f"{seconds // 3600 % 24:02}:{seconds // 60 % 60:02}:{seconds % 60:02}.{milliseconds % 1000:03}"


def _shown(value: object) -> str:
    if value is _Missing:
        return "?"
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.6g}"
    try:
        text = str(value)
    except Exception as error:  # a value that cannot be shown is no reason to lose the line
        return type(error).__name__
    if len(text) > MAX_VALUE_LENGTH:
        text = text[: MAX_VALUE_LENGTH - 3] + "..."
    if text and text.isascii() and all(sign.isalnum() or sign in _PLAIN for sign in text):
        return text
    return json.dumps(text)
