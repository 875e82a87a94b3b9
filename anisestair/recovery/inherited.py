"""The clients' listening socket inherited from the platform: validated before use, its flags unchanged."""

from __future__ import annotations

import os
import select
import socket
import threading
from collections import deque

from anisestair.configure.effective import ConfigError
from anisestair.endpoints import Address

POLL_MS = 100  # delay until the accepting thread notices a pause or a close
MAX_ACCEPTED_AHEAD = 2  # connections that the thread accepts before the event loop takes them


def duplicate_listener(number: int, address: Address) -> socket.socket:
    """Return a duplicate of the socket behind a descriptor. Raises ConfigError with the reason if it is not a
    TCP socket that listens on ``address``."""

    def invalid(problem: str) -> ConfigError:
        return ConfigError(
            f"BALANCER_INHERITED_FD: descriptor {number} {problem}; pass the clients' listening socket"
        )

    try:
        found = socket.socket(
            fileno=os.dup(number)
        )  # a duplicate, so that closing it does not affect the owner
    except OSError as fault:
        raise invalid(f"is no socket ({fault.strerror})") from None
    try:
        if found.family not in (socket.AF_INET, socket.AF_INET6) or found.type != socket.SOCK_STREAM:
            raise invalid("is no TCP socket")
        if not found.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise invalid("does not listen")
        host, port = found.getsockname()[:2]
        if address[1] not in (0, port) or host not in (address[0], "0.0.0.0", "::"):
            raise invalid(f"listens on {host}:{port}, not on {address[0]}:{address[1]}")
    except BaseException:
        found.close()
        raise
    return found


class ThreadedListener:
    """Presents a blocking listening socket as a non-blocking one: a thread accepts from it. Other processes
    that share the socket may rely on the blocking mode.

    If another process accepts a connection between the thread's poll and its accept, the thread blocks in
    accept until the next connection, even during a pause; that connection is served nevertheless."""

    def __init__(self, listener: socket.socket) -> None:
        self._listener = listener
        self._ready, self._notify = socket.socketpair()
        self._ready.setblocking(False)
        self._accepted: deque[tuple[socket.socket, object]] = deque()
        self._room = threading.Semaphore(MAX_ACCEPTED_AHEAD)
        self._open = threading.Event()
        self._open.set()
        self._closed = False
        threading.Thread(target=self._run, name="accept", daemon=True).start()

    def _run(self) -> None:
        poll = select.poll()
        poll.register(self._listener.fileno(), select.POLLIN)
        while not self._closed:
            if not self._open.wait(POLL_MS / 1000.0) or not self._room.acquire(timeout=POLL_MS / 1000.0):
                continue
            try:
                if not poll.poll(POLL_MS) or self._closed or not self._open.is_set():
                    self._room.release()
                    continue
                self._accepted.append(self._listener.accept())
                self._notify.send(b"x")
            except OSError:  # aborted by the client, or the listener was closed
                self._room.release()

    def accept(self) -> tuple[socket.socket, object]:
        self._ready.recv(1)  # raises BlockingIOError if no connection is available
        self._room.release()
        return self._accepted.popleft()

    def hold(self, held: bool) -> None:
        if held:
            self._open.clear()
        else:
            self._open.set()

    def fileno(self) -> int:
        return self._ready.fileno()

    def getsockname(self) -> tuple[str, int]:
        host, port = self._listener.getsockname()[:2]
        return host, port

    def close(self) -> None:
        self._closed = True
        for item in (self._ready, self._notify, self._listener):
            item.close()


def nonblocking_listener(found: socket.socket) -> socket.socket | ThreadedListener:
    """Return the socket itself if it is non-blocking, else a `ThreadedListener` on it."""
    return ThreadedListener(found) if os.get_blocking(found.fileno()) else found
