"""A reader keeps no reference to the messages that were taken from it."""

import sys

import pytest

from anisestair.http import codec as http

BODY = b"x" * 65536
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(BODY) + BODY
REQUEST = b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n" % len(BODY) + BODY


@pytest.mark.parametrize(
    ("reader", "data"),
    [(http.request_reader(), REQUEST), (http.response_reader(), ANSWER)],
    ids=["request", "answer"],
)
def test_a_reader_holds_nothing_of_a_message_that_was_taken(reader: http.Reader, data: bytes) -> None:
    for _ in range(2):
        reader.feed(data)
        (message,) = reader.take()
        assert message.body == BODY
        of_body = sys.getrefcount(message.body)
        of_message = sys.getrefcount(message)
        assert (of_message, of_body) == (2, 2), "only the caller holds references"
