"""Builds the responses of the admin interface, without I/O."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

from anisestair.http import codec as http

Page = Callable[[], tuple[HTTPStatus, bytes]]  # a status and a JSON body

JSON = (b"content-type", b"application/json")


def answer(message: http.Message, pages: dict[bytes, Page]) -> bytes:
    """Returns a complete response, always with a length. The path is checked before the method."""
    page = pages.get(message.target.partition(b"?")[0])
    if page is None:
        return refusal(HTTPStatus.NOT_FOUND)
    if message.method != b"GET":
        return refusal(HTTPStatus.METHOD_NOT_ALLOWED, [(b"allow", b"GET")])
    status, body = page()
    return http.write_response(status, [JSON], body, close=True)


def refusal(status: HTTPStatus, headers: http.Headers | None = None) -> bytes:
    return http.write_response(status, headers or [], b"", close=True)
