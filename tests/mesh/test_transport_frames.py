"""Frames are parsed regardless of how reads split them; malformed data raises BadFrame."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mesh.transport import frames as module
from mesh.transport.frames import BadFrame, Frames, frame

TEXT = st.text(max_size=12)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**53), 2**53) | TEXT,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(TEXT, inner, max_size=3),
    max_leaves=8,
)
HEADS = st.dictionaries(TEXT.filter(lambda name: name != module.BODY), VALUES, max_size=4)
FRAMES = st.lists(st.tuples(HEADS, st.none() | st.binary(max_size=40)), max_size=5)


def test_the_form_is_that_of_netstrings() -> None:
    assert frame({"t": "x"}) == b'9:{"t":"x"},'
    assert frame({}, b"ab") == b'10:{"body":2},2:ab,'


@settings(max_examples=80)
@given(FRAMES, st.data())
def test_frames_come_whole_wherever_the_bytes_are_split(
    sent: list[tuple[dict[str, Any], bytes | None]], data: st.DataObject
) -> None:
    stream = b"".join(frame(dict(head), body) for head, body in sent)
    cuts = sorted(data.draw(st.sets(st.integers(0, len(stream)), max_size=12)))
    reader, found = Frames(), []
    for start, end in zip([0, *cuts], [*cuts, len(stream)], strict=True):
        found += reader.feed(stream[start:end])
    assert [
        ({name: value for name, value in head.items() if name != module.BODY}, body) for head, body in found
    ] == [(head, body or b"") for head, body in sent]


def test_frames_come_whole_a_byte_at_a_time_and_not_before() -> None:
    stream = frame({"t": "a"}) + frame({"t": "b"}, b"") + frame({"t": "c"}, b"1:x,")
    reader, found = Frames(), []
    for at in range(len(stream)):
        found += [(at + 1, head["t"], body) for head, body in reader.feed(stream[at : at + 1])]
    ends = [len(frame({"t": "a"})), len(frame({"t": "a"})) + len(frame({"t": "b"}, b"")), len(stream)]
    assert found == [(ends[0], "a", b""), (ends[1], "b", b""), (ends[2], "c", b"1:x,")]


@pytest.mark.parametrize(
    "data",
    [
        b":{},",
        b"x:{},",
        b"-2:{},",
        b" 2:{},",
        b"2;{},",
        b"123456789",  # no length has so many digits
        b"2:{};",
        b'7:{"a":1,,',  # the length is one short
        b"2:{},\n",  # the line end is read as the next length's first character
        b"4:null,",
        b"2:[],",
        b"2:{x,",
        b"4:\xff\xfe{},",
        b'10:{"body":2},3:abc,',
        b'10:{"body":2},1:a,',
        b'12:{"body":"2"},2:ab,',
        b'10:{"body":2},2:ab;',
    ],
)
def test_what_is_no_frame_is_told(data: bytes) -> None:
    with pytest.raises(BadFrame):
        Frames().feed(data + b"2:{}," * 3)


def test_the_bound_is_kept_before_the_bytes_come(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MAX_NETSTRING_BYTES", 10)
    assert Frames().feed(b'10:{"a":"bc"},') == [({"a": "bc"}, b"")]
    with pytest.raises(BadFrame, match="over 10"):
        Frames().feed(b"11:")
    body = Frames()
    assert body.feed(b'10:{"body":9},') == []
    with pytest.raises(BadFrame, match="over 10"):
        body.feed(b"11:")
    assert len(b"%d" % (16 * 1024 * 1024)) == module.MAX_LENGTH_DIGITS


class Room:
    """Holds frames of up to this many bytes in total."""

    def __init__(self, most: int) -> None:
        self.most, self.held = most, 0

    def acquire(self, size: int) -> bool:
        bears = self.held + size <= self.most
        self.held += size if bears else 0
        return bears

    def release(self, size: int) -> None:
        self.held -= size


LONG = module.UNRESERVED_BYTES + 1


@pytest.mark.parametrize("step", [1000, LONG // 2, 3 * LONG])
def test_a_body_without_room_is_passed_over_and_what_follows_is_read(step: int) -> None:
    room = Room(LONG)
    reader, found = Frames(room), []
    stream = frame({"t": "a"}, b"x" * (LONG + 1)) + frame({"t": "b"}, b"y" * LONG) + frame({"t": "c"}, b"z")
    for start in range(0, len(stream), step):
        found += reader.feed(stream[start : start + step])
        assert len(reader._buffer) <= LONG + step and room.held <= LONG
    assert [(head["t"], bytes(body)) for head, body in found] == [("a", b""), ("b", b"y" * LONG), ("c", b"z")]
    assert [isinstance(body, module.RefusedBody) for _, body in found] == [True, False, False]
    assert room.held == 0


def test_a_head_without_room_is_told_and_a_body_that_never_is_whole_gives_its_room_back() -> None:
    with pytest.raises(BadFrame, match="memory"):
        Frames(Room(LONG)).feed(b"%d:" % (LONG + 1))
    room = Room(LONG)
    reader = Frames(room)
    assert reader.feed(frame({"t": "a"}, b"x" * LONG)[:-2]) == [] and room.held == LONG
    reader.release_room()
    assert room.held == 0


def test_a_refused_body_of_another_length_or_without_its_comma_is_told() -> None:
    text = b'{"body":%d}' % (LONG + 1)
    head = b"%d:%b," % (len(text), text)
    with pytest.raises(BadFrame, match="length"):
        Frames(Room(0)).feed(head + b"%d:" % (LONG + 2))
    reader = Frames(Room(0))
    reader.feed(head + b"%d:" % (LONG + 1) + b"x" * (LONG + 1))
    with pytest.raises(BadFrame, match="comma"):
        reader.feed(b";")


def test_what_is_taken_is_not_held() -> None:
    reader = Frames()
    for _ in range(100):
        assert len(reader.feed(frame({"t": "x"}, b"y" * 100) + b"9")) == 1
        reader.feed(b':{"t":"x"},')
    assert len(reader._buffer) == 0


@settings(max_examples=150)
@given(st.binary(max_size=60) | st.text('0123456789:,{}"a[]', max_size=60).map(str.encode))
def test_any_bytes_are_frames_or_told(data: bytes) -> None:
    reader = Frames()
    try:
        for at in range(len(data)):
            reader.feed(data[at : at + 1])
    except BadFrame:
        return
    assert len(reader._buffer) <= len(data)


def test_json_nested_too_deep_is_told() -> None:
    text = b'{"a":' + b"[" * 50_000 + b"]" * 50_000 + b"}"
    with pytest.raises(BadFrame):
        Frames().feed(b"%d:%b," % (len(text), text))
