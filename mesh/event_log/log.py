"""The event log: one line per event on a given stream, with a rate limit for each kind of event.

Lines are written by the standard library's ``logging``, which asyncio imports anyway: ``logbook`` would add
0.7 MB to each process.
"""

import json
import logging
import time
from collections.abc import Callable
from typing import TextIO

from mesh.event_log.events import CATALOGUE, Event, Level

MAX_LINES_PER_SECOND = 20
"""For each event; suppressed lines are counted and the count is added to the event's next line."""
MAX_VALUE_LENGTH = 300
"""In characters."""

_LEVELS = {
    Level.DEBUG: logging.DEBUG,
    Level.INFO: logging.INFO,
    Level.WARNING: logging.WARNING,
    Level.ERROR: logging.ERROR,
}
_UNQUOTED = frozenset("!#$%&()*+,-./:;<>?@[]^_{|}~")  # need no quotes, like letters and digits


class _LineHandler(logging.StreamHandler[TextIO]):
    """Writes messages unformatted. A failing stream must not end the process that logs to it."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns the message alone."""
        return str(record.msg)

    def handleError(self, record: logging.LogRecord) -> None:  # noqa: N802 - the library's name
        """Drops the line."""


class EventLog:
    """The log of one process. ``clock`` returns seconds since 1970 UTC; lines show its time of day."""

    def __init__(
        self,
        node: str,
        stream: TextIO,
        level: Level = Level.INFO,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._logger = logging.Logger(node, logging.DEBUG)  # not registered: no process-wide state
        self._logger.addHandler(_LineHandler(stream))
        self._level = level
        self._clock = clock
        # Of each event: the current second, lines written in it, lines suppressed since the last line.
        self._line_counts = {number: [0, 0, 0] for number in CATALOGUE}

    def writes(self, event: Event) -> bool:
        """Whether events of this event's level are written."""
        return event.level >= self._level

    def emit(self, event: Event, /, **values: object) -> None:
        """Writes ``HH:MM:SS.mmm W202 link lost peer=... why=...``, the event's fields first, in its order; a
        missing one is ``?``. Nothing is formatted below the log's level, or, for a limited event, beyond
        MAX_LINES_PER_SECOND. A value takes one line; it is cut to MAX_VALUE_LENGTH characters before it is
        escaped. Never raises for a value or a stream."""
        if not self.writes(event):
            return
        now = self._clock()
        counts = self._line_counts[event.number]
        if counts[0] != int(now):
            counts[0], counts[1] = int(now), 0
        if event.limited and counts[1] >= MAX_LINES_PER_SECOND:
            counts[2] += 1
            return
        counts[1] += 1
        parts = [f"{_time_of_day(now)} {event.code} {event.text}"]
        parts += [f"{name}={_format_value(values.pop(name, _Missing))}" for name in event.fields]
        parts += [f"{name}={_format_value(value)}" for name, value in values.items()]
        if counts[2]:
            parts.append(f"suppressed={counts[2]}")
            counts[2] = 0
        self._logger.log(_LEVELS[event.level], " ".join(parts))


class _Missing:
    """Marks a value that was not given."""


def _time_of_day(now: float) -> str:
    milliseconds = int(now * 1000)
    seconds = milliseconds // 1000
    return f"{seconds // 3600 % 24:02}:{seconds // 60 % 60:02}:{seconds % 60:02}.{milliseconds % 1000:03}"


def _format_value(value: object) -> str:
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
    except Exception as error:  # the line is still written
        return type(error).__name__
    if len(text) > MAX_VALUE_LENGTH:
        text = text[: MAX_VALUE_LENGTH - 3] + "..."
    if text and text.isascii() and all(character.isalnum() or character in _UNQUOTED for character in text):
        return text
    return json.dumps(text)
