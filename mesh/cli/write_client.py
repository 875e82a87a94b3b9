"""An operator's HTTP calls to the control processes, by the rules that the platform's operator keeps.

The next process after a failure, a 5xx, a 408, a 429 or silence, with a pause that grows; a 307 followed
twice; the same call exactly as it was, until there is a clear answer.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

import httptools
import msgspec

from anisestair.http import codec as http
from mesh.membership.instance_commands import read_address
from mesh.transport.link import Address

ANSWER_TIMEOUT_S, ANSWER_TIMEOUT_PER_BYTE_S = (
    1.0,
    2e-6,
)  # how long an answer may take, and more for each byte sent
MIN_PAUSE_S, MAX_PAUSE_S = 0.1, 1.0
MAX_REDIRECTS = 2
FINAL_STATUSES = frozenset({400, 409, 412, 413, 422})  # a call ends there
MAX_OTHER_ERRORS = 3  # any other 4xx ends it at this try
RETRIED_STATUSES = frozenset({408, 429})
MAX_BODY_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Reply:
    """A whole answer."""

    status: int
    body: bytes
    location: str


@dataclass(frozen=True, slots=True)
class Accepted:
    """A 200, by whom and at which try."""

    body: bytes
    address: Address
    tries: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """A clear no."""

    status: int
    reason: str


@dataclass(frozen=True, slots=True)
class Indeterminate:
    """No clear answer in the time: it may be in force. ``heard``: something answered at all."""

    reason: str
    any_answer: bool


Outcome = Accepted | Rejected | Indeterminate


async def call(address: Address, method: bytes, path: bytes, body: bytes, within_s: float) -> Reply | None:
    """One call on a connection of its own; None where no whole answer comes in time. Raises nothing."""
    reader = http.Reader(httptools.HttpResponseParser, MAX_BODY_BYTES)
    try:
        async with asyncio.timeout(within_s):
            stream, writer = await asyncio.open_connection(*address)
            try:
                headers = [(b"host", b"control"), (b"content-type", b"application/json")]
                writer.write(http.write_request(method, path, headers, body))
                while True:
                    data = await stream.read(65536)
                    reader.feed(data) if data else reader.end()
                    for message in reader.take():
                        return Reply(message.status, message.body, message.get(b"location") or "")
                    if not data:
                        return None
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError, http.BadMessage):
        return None


async def send(
    addresses: Sequence[Address],
    method: bytes,
    path: bytes,
    body: bytes,
    within_s: float,
    pause: Callable[[float], Awaitable[None]] = asyncio.sleep,
) -> Outcome:
    """One call of the operator, at these processes in turn, until it is clear or ``within_s`` is over."""
    loop = asyncio.get_running_loop()
    until = loop.time() + within_s
    wait, tries, others, any_answer, reason = MIN_PAUSE_S, 0, 0, False, "nobody answers"
    while addresses and loop.time() < until:
        address = addresses[tries % len(addresses)]
        tries += 1
        silence = min(
            ANSWER_TIMEOUT_S + ANSWER_TIMEOUT_PER_BYTE_S * len(body), max(until - loop.time(), 0.01)
        )
        reply, address = await _call_following_redirects(address, method, path, body, silence)
        if reply is not None:
            any_answer = True
            if 200 <= reply.status < 300:
                return Accepted(reply.body, address, tries)
            reason = f"{reply.status}: {error_reason(reply.body)}"
            if reply.status in FINAL_STATUSES:
                return Rejected(reply.status, error_reason(reply.body))
            if 400 <= reply.status < 500 and reply.status not in RETRIED_STATUSES:
                others += 1
                if others == MAX_OTHER_ERRORS:
                    return Rejected(reply.status, error_reason(reply.body))
        if loop.time() + wait < until:
            await pause(wait)
            wait = min(2.0 * wait, MAX_PAUSE_S)
        elif tries >= len(addresses):
            break
    return Indeterminate(reason, any_answer)


async def _call_following_redirects(
    address: Address, method: bytes, path: bytes, body: bytes, silence: float
) -> tuple[Reply | None, Address]:
    """The answer, FOLLOWED redirections on, and who gave it."""
    for followed in range(MAX_REDIRECTS + 1):
        reply = await call(address, method, path, body, silence)
        if reply is None or reply.status != 307 or followed == MAX_REDIRECTS:
            return reply, address
        host, _, rest = reply.location.removeprefix("http://").partition("/")
        to = read_address(host)
        if to is None:
            return reply, address
        address, path = to, b"/" + rest.encode("latin-1", "replace")
    raise AssertionError("the last one returns")


def error_reason(body: bytes) -> str:
    """The reason in an answer's body, in one line."""
    try:
        told = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError):
        told = None
    reason = told.get("error") if isinstance(told, dict) else None
    return " ".join(str(reason).split())[:300] if reason else "no reason given"
