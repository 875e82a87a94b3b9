"""The codec compared with `msgpack`: the same message boundaries for any split, and no other exceptions."""

from __future__ import annotations

from itertools import pairwise
from typing import Any

import msgpack
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from anisestair.rpc import codec
from anisestair.rpc.codec import BadMessage, Kind, Message, Reader

# Encoded MessagePack values of all kinds, including integer widths that a packer would not choose.
LEAVES = st.one_of(
    st.none().map(msgpack.packb),
    st.booleans().map(msgpack.packb),
    st.integers(-(2**63), 2**64 - 1).map(msgpack.packb),
    st.integers(0, 2**64 - 1).map(lambda value: b"\xcf" + value.to_bytes(8, "big")),
    st.floats().map(msgpack.packb),
    st.binary(max_size=300).map(msgpack.packb),
    st.binary(max_size=40).map(lambda value: b"\xd9" + bytes([len(value)]) + value),  # a string, UTF-8 or not
    st.text(max_size=20).map(msgpack.packb),
    st.tuples(st.integers(0, 127), st.binary(max_size=20)).map(
        lambda value: msgpack.packb(msgpack.ExtType(*value))
    ),
)


def array(items: list[bytes]) -> bytes:
    return b"\xdc" + len(items).to_bytes(2, "big") + b"".join(items)


def mapping(items: list[tuple[bytes, bytes]]) -> bytes:
    """An encoded map; its keys may be of any type and repeat."""
    doubled = [*items, *items[:1]]
    return b"\xde" + len(doubled).to_bytes(2, "big") + b"".join(key + value for key, value in doubled)


VALUES = st.recursive(
    LEAVES,
    lambda inner: st.one_of(
        st.lists(inner, max_size=4).map(array), st.lists(st.tuples(inner, inner), max_size=3).map(mapping)
    ),
    max_leaves=10,
)
PARAMS = st.lists(VALUES, max_size=4).map(array)
MSGIDS = st.integers(0, codec.MAX_MSGID)
METHODS = st.tuples(st.sampled_from([b"\xd9", b"\xc4"]), st.binary(max_size=codec.MAX_METHOD)).map(
    lambda value: value[0] + bytes([len(value[1])]) + value[1]
)
MESSAGES = st.one_of(
    st.builds(codec.write_request, MSGIDS, METHODS, PARAMS),
    st.builds(codec.write_response, MSGIDS, VALUES, VALUES),
    st.builds(codec.write_notification, METHODS, PARAMS),
)


def encode(message: Message) -> bytes:
    if message.kind is Kind.REQUEST:
        return codec.write_request(message.msgid, message.method, message.params)
    if message.kind is Kind.RESPONSE:
        return codec.write_response(message.msgid, message.error, message.result)
    return codec.write_notification(message.method, message.params)


def read(*parts: bytes) -> list[Message]:
    reader, found = Reader(), []
    for part in parts:
        reader.feed(part)
        found += reader.take()
    return found


@settings(max_examples=300, deadline=None)
@given(st.lists(MESSAGES, max_size=5), st.lists(st.integers(0, 4000), max_size=12))
def test_any_split_gives_the_messages_byte_for_byte(messages: list[bytes], cuts: list[int]) -> None:
    stream = b"".join(messages)
    places = sorted({0, len(stream), *(cut % (len(stream) + 1) for cut in cuts)})
    found = read(*(stream[start:end] for start, end in pairwise(places)))
    assert [encode(message) for message in found] == messages


@settings(max_examples=300, deadline=None)
@given(st.lists(MESSAGES, min_size=1, max_size=4))
def test_the_boundaries_are_those_of_the_library(messages: list[bytes]) -> None:
    stream = b"".join(messages)
    unpacker = msgpack.Unpacker(raw=True, strict_map_key=False, object_pairs_hook=lambda pairs: None)
    unpacker.feed(stream)
    ends = [0]
    while ends[-1] < len(stream):
        unpacker.skip()
        ends.append(unpacker.tell())
    assert [stream[start:end] for start, end in pairwise(ends)] == [encode(item) for item in read(stream)]


def test_byte_by_byte_and_in_the_middle_of_everything() -> None:
    big = codec.write_request(7, b"\xa4sale", array([b"\xc5\x10\x00" + b"x" * 4096, b"\xcf" + b"\xff" * 8]))
    stream = big + codec.write_response(7, b"\xc0", mapping([(b"\x01", b"\xa1\xff")]))
    found = read(*(stream[at : at + 1] for at in range(len(stream))))
    assert b"".join(map(encode, found)) == stream
    assert (found[0].kind, found[0].msgid, found[0].name) == (Kind.REQUEST, 7, b"sale")


@settings(max_examples=500, deadline=None)
@given(st.lists(st.binary(max_size=60), max_size=4))
@example([b"\x94\x00\xce"])
@example([b"\x94" + b"\x91" * 5000])
@example([b"\xc1"])
def test_whatever_comes_nothing_else_is_raised(parts: list[bytes]) -> None:
    reader = Reader()
    try:
        for part in parts:
            reader.feed(part)
    except BadMessage:
        with pytest.raises(BadMessage):
            reader.feed(b"\x94")  # the error is permanent


@settings(max_examples=300, deadline=None)
@given(MESSAGES, st.data())
def test_a_message_with_a_byte_changed_is_read_or_refused(message: bytes, data: st.DataObject) -> None:
    at = data.draw(st.integers(0, len(message) - 1))
    changed = message[:at] + bytes([data.draw(st.integers(0, 255))]) + message[at + 1 :]
    try:
        found = read(changed)
    except BadMessage:
        return
    # The integer width of a msgid is not kept; all forwarded parts occur unchanged and in their order.
    place = 0
    for item in found:
        for piece in (item.method, item.params, item.error, item.result):
            place = changed.index(piece, place) + len(piece)


def test_a_msgid_of_nothing_may_be_written_wide() -> None:
    # A case found by the property above.
    (found,) = read(b"\x94\x00\xcc\x00\xd9\x00\xdc\x00\x00")
    assert (found.kind, found.msgid, found.name, found.params) == (Kind.REQUEST, 0, b"", b"\xdc\x00\x00")


def nested(levels: int) -> bytes:
    return b"\x91" * levels + b"\xc0"


@pytest.mark.parametrize(
    ("stream", "reason", "msgid"),
    [
        (b"\xc0", "not MessagePack", None),
        (b"\x92\x00\x01", "an array of 2", None),
        (b"\x94\x03\x01\xa1m\x90", "neither 0, 1 nor 2", None),
        (b"\x94\xc3\x01\xa1m\x90", "neither 0, 1 nor 2", None),  # True == 1 in Python, but is not an integer
        (b"\x93\x00\x01\xa1m", "3 elements in a request", None),
        (b"\x94\x02\xa1m\x90\x90", "4 elements in a notification", None),
        (b"\x94\x00\xff\xa1m\x90", "msgid", None),
        (b"\x94\x00\xcf\x00\x00\x00\x01\x00\x00\x00\x00", "msgid", None),
        (b"\x94\x00\xc2", "msgid", None),
        (b"\x94\x00\x05\x07\x90", "a method that is no string", 5),
        (b"\x94\x00\x05\xd9\x81" + b"m" * 129 + b"\x90", "a method of more than 128", 5),
        (b"\x94\x00\x05\xa1m\x80", "params that are no array", 5),
        (b"\x94\x00\x05\xa1m\xc1", "not MessagePack", 5),
        (b"\x94\x00\x05\xa1m" + nested(codec.MAX_DEPTH + 1), "deep", 5),
        (b"\x94\x00\x05\xa1m" + b"\x91" * 3000, "not MessagePack", 5),
        (b"\x94\x00\x05\xa1m\xdd\xff\xff\xff\xff", "not MessagePack", 5),
        (b"\x94\x00\x05\xa1m\xdc\x40\x01" + b"\xc0" * 10, "not MessagePack", 5),
        (b"\x94\x00\x05\xa1m\x91\xdf\xff\xff\xff\xff", "not MessagePack", 5),
        (b"\x94\x00\x05\xa1m\x92" + (b"\xc5\xa0\x00" + b"x" * 40960) * 2, "a message of more than", 5),
        (b"\x94\x01\x05\xc0" + nested(codec.MAX_DEPTH + 1), "deep", None),  # a response gets no error
    ],
)
def test_a_bound_and_a_form_are_kept(stream: bytes, reason: str, msgid: int | None) -> None:
    good = codec.write_request(4, b"\xa1g", b"\x90")
    reader = Reader()
    with pytest.raises(BadMessage, match=reason) as fault:
        reader.feed(good + stream)
    assert fault.value.msgid == msgid
    assert [encode(item) for item in reader.take()] == [good], "messages completed before the error are kept"


def test_what_is_just_within_the_bounds_is_read() -> None:
    body = b"\xc6" + (codec.MAX_MESSAGE - 12).to_bytes(4, "big") + b"x" * (codec.MAX_MESSAGE - 12)
    for params in (nested(codec.MAX_DEPTH), array([b"\xc0"] * codec.MAX_LENGTH), b"\x91" + body):
        stream = codec.write_request(1, b"\xa1m", params)
        assert len(stream) <= codec.MAX_MESSAGE
        assert encode(read(stream)[0]) == stream


def test_half_a_message_is_known_as_one() -> None:
    reader = Reader()
    assert not reader.partial
    reader.feed(b"\x94\x00")
    assert reader.partial and not reader.take()
    reader.feed(b"\x01\xa1m\x90")
    assert len(reader.take()) == 1 and not reader.partial


def test_an_error_of_our_own_is_a_response() -> None:
    error: Any = {"code": "refused", "retry_after_ms": 120}
    assert msgpack.unpackb(codec.write_error(9, error)) == [1, 9, error, None]
