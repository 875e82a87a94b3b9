"""The admin HTTP server, in a thread of its own so that it responds while the serving loop is blocked."""

from __future__ import annotations

import logging
import selectors
import socket
import threading
import time
from http import HTTPStatus

from anisestair.admin.calls import Page, answer, refusal
from anisestair.endpoints import Address
from anisestair.http import codec as http

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 24  # concurrent connections; at the limit a new one replaces the oldest
REQUEST_TIMEOUT_S = 2.0  # from accept to the last byte of the request; responses are due within 1 s of that
LINGER_S = 0.5  # input after the response is discarded this long, so that the client receives the response
ACCEPT_RETRY_S = 0.1  # pause after accept has failed, for example for lack of descriptors
READ_BYTES = 16 * 1024
BACKLOG = 128


class _Connection:
    """One client connection with its single request."""

    def __init__(self, sock: socket.socket, now: float) -> None:
        self.sock = sock
        self.reader = http.request_reader()
        self.unsent = b""
        self.answered = False
        self.deadline = now + REQUEST_TIMEOUT_S


class AdminServer:
    """``pages`` are called on the server's thread and must be thread-safe."""

    def __init__(self, address: Address, pages: dict[bytes, Page]) -> None:
        """Raises OSError if the address cannot be bound."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._pages = pages
        self._listener = socket.create_server(address, family=family, backlog=BACKLOG)
        self._listener.setblocking(False)
        self.address: Address = self._listener.getsockname()[:2]
        self._wake, self._wake_receiver = socket.socketpair()
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._listener, selectors.EVENT_READ)
        self._selector.register(self._wake_receiver, selectors.EVENT_READ)
        self._connections: dict[socket.socket, _Connection] = {}  # oldest first
        self._accepts_from = 0.0
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name="admin interface", daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Stops the thread and closes all sockets."""
        self._stopping = True
        self._wake.send(b"x")
        self._thread.join()
        for connection in list(self._connections.values()):
            self._end(connection)
        for sock in (self._listener, self._wake, self._wake_receiver):
            sock.close()
        self._selector.close()

    def open_connections(self) -> int:
        """Returns the number of open connections."""
        return len(self._connections)

    def _run(self) -> None:
        while not self._stopping:
            now = time.monotonic()
            due = min((item.deadline for item in self._connections.values()), default=None)
            if self._accepts_from:
                due = min(due or self._accepts_from, self._accepts_from)
            for key, _ in self._selector.select(None if due is None else max(due - now, 0.0)):
                sock = key.fileobj
                if sock is self._listener:
                    self._accept()
                elif isinstance(sock, socket.socket) and (connection := self._connections.get(sock)):
                    self._on_ready(connection)
            self._sweep(time.monotonic())

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionAbortedError:
                continue
            except OSError as fault:
                log.error("admin interface: accept failed: %s", fault)
                self._selector.unregister(self._listener)
                self._accepts_from = time.monotonic() + ACCEPT_RETRY_S
                return
            sock.setblocking(False)
            if len(self._connections) >= MAX_CONNECTIONS:
                self._end(next(iter(self._connections.values())))
            self._connections[sock] = connection = _Connection(sock, time.monotonic())
            self._selector.register(sock, selectors.EVENT_READ)
            self._on_ready(connection)  # the whole request has usually arrived already

    def _on_ready(self, connection: _Connection) -> None:
        try:
            if connection.unsent:
                self._send(connection)
            if connection.sock.fileno() >= 0:
                self._read(connection)
        except (BlockingIOError, InterruptedError):
            pass
        except OSError:
            self._end(connection)
        except Exception:  # a failing page must not stop the server
            log.exception("admin interface: a request failed")
            self._respond(connection, refusal(HTTPStatus.INTERNAL_SERVER_ERROR))

    def _read(self, connection: _Connection) -> None:
        data = connection.sock.recv(READ_BYTES)
        if not data:
            self._end(connection)
            return
        if connection.answered:  # input is discarded: closing with unread input would reset the response
            return
        try:
            connection.reader.feed(data)
        except http.BadMessage as fault:
            if not (requests := connection.reader.take()):
                self._respond(connection, refusal(fault.status))
                return
        else:
            requests = connection.reader.take()
        if requests:
            self._respond(connection, answer(requests[0], self._pages))

    def _respond(self, connection: _Connection, data: bytes) -> None:
        connection.answered, connection.unsent = True, data
        connection.deadline = time.monotonic() + LINGER_S
        try:
            self._send(connection)
        except (BlockingIOError, InterruptedError):
            pass
        except OSError:
            self._end(connection)

    def _send(self, connection: _Connection) -> None:
        sent = connection.sock.send(connection.unsent)
        connection.unsent = connection.unsent[sent:]
        if connection.unsent:
            self._selector.modify(connection.sock, selectors.EVENT_READ | selectors.EVENT_WRITE)
        else:
            self._selector.modify(connection.sock, selectors.EVENT_READ)
            connection.sock.shutdown(socket.SHUT_WR)

    def _sweep(self, now: float) -> None:
        if self._accepts_from and now >= self._accepts_from:
            self._accepts_from = 0.0
            self._selector.register(self._listener, selectors.EVENT_READ)
        for connection in [item for item in self._connections.values() if item.deadline <= now]:
            if connection.answered:
                self._end(connection)
            else:
                self._respond(connection, refusal(HTTPStatus.REQUEST_TIMEOUT))

    def _end(self, connection: _Connection) -> None:
        if self._connections.pop(connection.sock, None) is None:
            return
        self._selector.unregister(connection.sock)
        connection.reader.close()
        connection.sock.close()
