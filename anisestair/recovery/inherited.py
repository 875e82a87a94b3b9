"""The clients' listening socket where the platform holds it: looked at before use, and left as it was
found."""

from __future__ import annotations

import os
import select
import socket
import threading
from collections import deque

from anisestair.configure.effective import ConfigError
from anisestair.endpoints import Address

POLL_MS = 100  # how soon a pause or an end is noticed by the thread that accepts
MAX_ACCEPTED_AHEAD = 2  # connections accepted and not taken yet


def duplicate_listener(number: int, address: Address) -> socket.socket:
    """The listening socket on ``address`` behind a descriptor. Raises ConfigError, which says what it is
    instead."""

    def invalid(problem: str) -> ConfigError:
        return ConfigError(
            f"BALANCER_INHERITED_FD: descriptor {number} {problem}; pass the clients' listening socket"
        )

    try:
        found = socket.socket(
            fileno=os.dup(number)
        )  # a copy: closing it takes nothing from whoever passed it
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
    """A listening socket that blocks, as others that share it want it: a thread accepts from it, and this
    looks to its reader like a socket that does not block.

    A connection may be taken by a sibling between the thread's look and its accept. It then waits in accept
    for the next one, also through a pause: that one is served all the same."""

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
            except OSError:  # aborted by its client, or closed here
                self._room.release()

    def accept(self) -> tuple[socket.socket, object]:
        self._ready.recv(1)  # raises BlockingIOError where none is there
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
    """What the frontend accepts from: the socket itself where it does not block."""
    return ThreadedListener(found) if os.get_blocking(found.fileno()) else found
