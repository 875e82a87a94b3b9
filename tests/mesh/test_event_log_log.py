"""The log's lines: their format, their limits, and that suppressed ones are not formatted."""

import io

from hypothesis import given, settings
from hypothesis import strategies as st

from mesh.event_log import events
from mesh.event_log.events import Level
from mesh.event_log.log import MAX_LINES_PER_SECOND, MAX_VALUE_LENGTH, EventLog


class Clock:
    now = 86400.0 * 20000 + 14 * 3600 + 3 * 60 + 7.25

    def __call__(self) -> float:
        return self.now


def log(level: Level = Level.INFO) -> tuple[EventLog, io.StringIO, Clock]:
    stream, clock = io.StringIO(), Clock()
    return EventLog("core-1", stream, level=level, clock=clock), stream, clock


def test_a_line_has_time_number_text_and_values_in_order() -> None:
    event_log, stream, _ = log()
    event_log.emit(events.LINK_LOST, why="reset by peer", peer="core-2", after_ms=12.5)
    event_log.emit(events.DISK_EMPTY, first=False)
    event_log.emit(events.LEASE_RELEASED, duty="census", why=None)
    assert stream.getvalue().splitlines() == [
        '14:03:07.250 W202 link lost peer=core-2 why="reset by peer" after_ms=12.5',
        "14:03:07.250 W402 store begun on an empty disk first=no",
        "14:03:07.250 I602 duty left duty=census epoch=? why=-",
    ]


class CountsFormatting:
    formatted = 0

    def __str__(self) -> str:
        CountsFormatting.formatted += 1
        return "value"


def test_what_is_below_the_level_or_over_the_rate_is_not_formatted() -> None:
    event_log, stream, _ = log()
    CountsFormatting.formatted = 0
    event_log.emit(events.BYTES_SENT, calls=CountsFormatting(), answers=0, updates=0)
    assert (stream.getvalue(), CountsFormatting.formatted) == ("", 0)
    for _ in range(MAX_LINES_PER_SECOND + 5):
        event_log.emit(events.LINK_UP, peer=CountsFormatting())
    assert len(stream.getvalue().splitlines()) == CountsFormatting.formatted == MAX_LINES_PER_SECOND
    verbose, stream, _ = log(Level.DEBUG)
    verbose.emit(events.BYTES_SENT, calls=3, answers=2, updates=1)
    assert stream.getvalue().endswith("D512 bytes sent to other zones calls=3 answers=2 updates=1\n")


def test_the_suppressed_are_told_once_and_each_event_has_its_own_bound() -> None:
    event_log, stream, clock = log()
    for _ in range(MAX_LINES_PER_SECOND + 17):
        event_log.emit(events.LINK_UP, peer="a")
    event_log.emit(events.LINK_LOST, peer="a", why="b")
    assert "suppressed" not in stream.getvalue()
    for step in (1.0, 0.1, -50.0):  # a clock that was set back starts a new second
        clock.now += step
        event_log.emit(events.LINK_UP, peer="a")
    lines = stream.getvalue().splitlines()[MAX_LINES_PER_SECOND:]
    assert [line.partition("suppressed=")[2] for line in lines] == ["", "17", "", ""]


@settings(max_examples=80, deadline=None)
@given(st.text() | st.integers() | st.floats() | st.lists(st.text()))
def test_any_value_keeps_to_its_line_and_its_length(value: object) -> None:
    event_log, stream, _ = log()
    event_log.emit(events.LINK_LOST, peer=value, why="x" * 10_000)
    written = stream.getvalue()
    assert written.isascii() and written.isprintable() == ("\n" not in written)
    assert written.splitlines() == [written[:-1]]
    assert len(written) < 6 * MAX_VALUE_LENGTH + MAX_VALUE_LENGTH + 100


def test_a_stream_that_fails_or_a_value_that_cannot_be_shown_ends_nothing() -> None:
    class Broken(io.StringIO):
        def write(self, text: str, /) -> int:
            raise BrokenPipeError

    EventLog("core-1", Broken(), clock=Clock()).emit(events.STARTED, role="x")

    class Unprintable:
        def __str__(self) -> str:
            raise RuntimeError

    event_log, stream, _ = log()
    event_log.emit(events.STARTED, role=Unprintable())
    assert "role=RuntimeError" in stream.getvalue()
