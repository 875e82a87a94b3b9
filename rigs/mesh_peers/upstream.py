"""An upstream that follows the protocol and handles each request with a chosen behavior."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from collections.abc import Callable

import httptools

from anisestair.http import codec as http
from rigs.mesh_peers.client import call
from rigs.mesh_peers.messages import MAX_BODY_BYTES, Address, read_message

# The behaviors by which an upstream can handle a request. It doesn't run requests with those of NOT_EXECUTED.
COMPLETE_RESPONSES = frozenset({"ok", "hold", "twice", "late", "stray", "strays"})  # contain the right one
BROKEN_RESPONSES = frozenset({"cut", "reset", "garbage"})
ERROR_STATUSES = frozenset({"500", "503", "429"})  # the upstream's own errors
BEHAVIORS = COMPLETE_RESPONSES | BROKEN_RESPONSES | ERROR_STATUSES | {"unsealed", "unnamed", "full", "421"}
NOT_EXECUTED = frozenset({"full", "421"})
STRAY_COUNT = 6  # responses to unknown requests that precede the right one with "strays"


class Upstream:
    """One incarnation of an upstream. ``behavior`` returns one of BEHAVIORS for a request; ``runs`` counts
    how often each Attempt-Id was executed, over all upstreams that share it. Held requests continue once
    ``release`` is set."""

    def __init__(
        self,
        instance: str = "i-1",
        service: str = "s",
        behavior: Callable[[http.Message], str] = lambda _: "ok",
        runs: Counter[str] | None = None,
        capacity: int = 8,
        keep_alive: str = "",
    ) -> None:
        self.instance, self.service, self.behavior, self.capacity = instance, service, behavior, capacity
        self.runs: Counter[str] = Counter() if runs is None else runs
        self.keep_alive = keep_alive  # the value of the response header; none if empty
        self.received: list[http.Message] = []
        self.incoming: asyncio.Queue[http.Message] = asyncio.Queue()  # each request on arrival
        self.release = asyncio.Event()
        self.connections_opened = 0
        self.address: Address = ("", 0)
        self.heartbeat_count = 0
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, ip: str = "127.0.0.1", port: int = 0) -> None:
        self._server = await asyncio.start_server(self._connected, ip, port)
        self.address = (ip, self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        self._server.close()
        self.abort_connections()

    def abort_connections(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    @property
    def open_connections(self) -> int:
        return len(self._writers)

    def send_unsolicited(self, data: bytes) -> None:
        """Sends bytes that answer no request on every connection."""
        for writer in self._writers:
            writer.write(data)

    # Calls to the sidecar beside it

    def heartbeat_body(self, state: str = "settled") -> bytes:
        """Encodes the body of the next heartbeat."""
        self.heartbeat_count += 1
        heartbeat = {
            "plant": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": "z",
            "epoch": "v1",
            "capacity": self.capacity,
            "state": state,
            "warmup_left_ms": 0,
            "sample_count": self.heartbeat_count,
        }
        return json.dumps(heartbeat).encode()

    async def send_heartbeat(self, control: Address, state: str = "settled") -> int:
        """Sends one heartbeat; returns the status of the response, 0 if there is none."""
        return (
            await call(control, b"PUT", b"/instances/" + self.instance.encode(), self.heartbeat_body(state))
        )[0]

    # Requests

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections_opened += 1
        self._writers.add(writer)
        messages = http.Reader(httptools.HttpRequestParser, MAX_BODY_BYTES)
        messages.max_head = MAX_BODY_BYTES
        try:
            while (message := await read_message(messages, reader)) is not None:
                self.on_request(message)
                if not await self._handle(message, reader, writer):
                    break
        except (OSError, http.BadMessage, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    def on_request(self, message: http.Message) -> None:
        """Records a complete request before it is handled."""
        self.received.append(message)
        self.incoming.put_nowait(message)

    async def _wait_for_release(self, reader: asyncio.StreamReader) -> bool:
        """Returns False if the connection, and with it the request, ended before the release."""
        connection_end = asyncio.ensure_future(reader.read(1))
        release = asyncio.ensure_future(self.release.wait())
        await asyncio.wait({connection_end, release}, return_when=asyncio.FIRST_COMPLETED)
        released = release.done()
        connection_end.cancel()
        release.cancel()
        await asyncio.wait({connection_end, release})
        return released

    async def _handle(
        self, message: http.Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Handles a request; returns whether the connection stays open."""
        behavior, attempt = self.behavior(message), message.get(b"attempt-id") or ""
        assert behavior in BEHAVIORS, behavior
        target = message.get(b"target-instance")
        if target not in (None, self.instance):
            behavior = "421"
        if behavior not in NOT_EXECUTED:
            self.runs[attempt] += 1
        if behavior == "reset" or behavior == "hold" and not await self._wait_for_release(reader):
            return False
        response = self.response(message)
        if behavior == "garbage":
            writer.write(b"\x16\x03\x01 no answer\r\n\r\n")
        elif behavior == "cut":
            writer.write(response[:-1])
            await writer.drain()
            writer.write_eof()
            return False
        elif behavior == "twice":
            writer.write(response + response)
        elif behavior == "late":  # one response too many, in place of the next one
            writer.write(response)
            await writer.drain()
            writer.write(response)
        elif behavior in ("stray", "strays"):
            stray = self.response(message, attempt="f" * 16)
            writer.write(stray * (STRAY_COUNT if behavior == "strays" else 1) + response)
        else:
            writer.write(
                self._other_response(behavior, message, attempt)
                if behavior not in ("ok", "hold")
                else response
            )
        await writer.drain()
        return True

    def response(self, message: http.Message, attempt: str | None = None) -> bytes:
        """Encodes the right response; its body contains this upstream's name and the request's body."""
        attempt_id = (message.get(b"attempt-id") or "") if attempt is None else attempt
        return self._encode_response(200, attempt_id, self.response_body(message), seal="3e1b.07")

    def response_body(self, message: http.Message) -> bytes:
        return self.instance.encode() + b":" + message.target + b":" + message.body

    def _other_response(self, behavior: str, message: http.Message, attempt: str) -> bytes:
        if behavior == "unsealed":
            return self._encode_response(200, attempt, self.response_body(message))
        if behavior == "unnamed":
            return self._encode_response(200, "", self.response_body(message), seal="3e1b.07")
        if behavior == "full":
            return self._encode_response(503, attempt, b"", extra_headers=[(b"not-executed", b"1")])
        return self._encode_response(int(behavior), attempt, b"own words")

    def _encode_response(
        self,
        status: int,
        attempt: str,
        body: bytes,
        seal: str = "",
        extra_headers: http.Headers | None = None,
    ) -> bytes:
        headers: http.Headers = list(extra_headers or [])
        if attempt:
            headers.append((b"attempt-id", attempt.encode()))
        if seal:
            headers.append((b"response-seal", seal.encode()))
        if self.keep_alive:
            headers.append((b"keep-alive", self.keep_alive.encode()))
        headers.append((b"plant-load", b"1,0,%d" % self.capacity))
        return http.write_response(status, headers, body, close=False)
