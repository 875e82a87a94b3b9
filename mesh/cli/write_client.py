"""An operator's HTTP calls to the control processes, with the retry rules of the platform's operator.

After a failure, a 5xx, a 408, a 429 or a timeout the same call goes to the next process after a growing
pause, until there is a definite answer. A 307 is followed twice.
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

# For one answer, and in addition for each byte sent.
ANSWER_TIMEOUT_S, ANSWER_TIMEOUT_PER_BYTE_S = 1.0, 2e-6
MIN_PAUSE_S, MAX_PAUSE_S = 0.1, 1.0
MAX_REDIRECTS = 2
FINAL_STATUSES = frozenset({400, 409, 412, 413, 422})  # end a call at once
MAX_OTHER_ERRORS = 3  # so many other 4xx end a call
RETRIED_STATUSES = frozenset({408, 429})
MAX_BODY_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete HTTP answer."""

    status: int
    body: bytes
    location: str


@dataclass(frozen=True, slots=True)
class Accepted:
    """A 2xx answer, with its sender and the number of tries."""

    body: bytes
    address: Address
    tries: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """A definite refusal."""

    status: int
    reason: str


@dataclass(frozen=True, slots=True)
class Indeterminate:
    """No definite answer in time: the change may be in force. ``any_answer``: some process answered."""

    reason: str
    any_answer: bool


Outcome = Accepted | Rejected | Indeterminate


async def call(address: Address, method: bytes, path: bytes, body: bytes, within_s: float) -> Reply | None:
    """Makes one call over a separate connection; None if no complete answer arrives in time. Never raises."""
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
    """Sends a call to the processes in turn until one answers definitely or ``within_s`` has passed."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + within_s
    pause_s, tries, other_errors, any_answer, reason = MIN_PAUSE_S, 0, 0, False, "no process answers"
    while addresses and loop.time() < deadline:
        address = addresses[tries % len(addresses)]
        tries += 1
        timeout_s = min(
            ANSWER_TIMEOUT_S + ANSWER_TIMEOUT_PER_BYTE_S * len(body), max(deadline - loop.time(), 0.01)
        )
        reply, address = await _call_following_redirects(address, method, path, body, timeout_s)
        if reply is not None:
            any_answer = True
            if 200 <= reply.status < 300:
                return Accepted(reply.body, address, tries)
            reason = f"{reply.status}: {error_reason(reply.body)}"
            if reply.status in FINAL_STATUSES:
                return Rejected(reply.status, error_reason(reply.body))
            if 400 <= reply.status < 500 and reply.status not in RETRIED_STATUSES:
                other_errors += 1
                if other_errors == MAX_OTHER_ERRORS:
                    return Rejected(reply.status, error_reason(reply.body))
        if loop.time() + pause_s < deadline:
            await pause(pause_s)
            pause_s = min(2.0 * pause_s, MAX_PAUSE_S)
        elif tries >= len(addresses):
            break
    return Indeterminate(reason, any_answer)


async def _call_following_redirects(
    address: Address, method: bytes, path: bytes, body: bytes, timeout_s: float
) -> tuple[Reply | None, Address]:
    """The answer after up to MAX_REDIRECTS redirects, and its sender."""
    for redirects in range(MAX_REDIRECTS + 1):
        reply = await call(address, method, path, body, timeout_s)
        if reply is None or reply.status != 307 or redirects == MAX_REDIRECTS:
            return reply, address
        host, _, rest = reply.location.removeprefix("http://").partition("/")
        to = read_address(host)
        if to is None:
            return reply, address
        address, path = to, b"/" + rest.encode("latin-1", "replace")
    raise AssertionError("the last iteration returns")


def error_reason(body: bytes) -> str:
    """The error in an answer's body, as one line."""
    try:
        fields = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError):
        fields = None
    reason = fields.get("error") if isinstance(fields, dict) else None
    return " ".join(str(reason).split())[:300] if reason else "no reason given"
