"""Starts many processes of the sidecar by forking a parent that has imported it (a zygote).

Forked processes start in a fraction of the time and share the memory of the imported modules, so that
hundreds fit on one machine. Each runs the program's `main` from its beginning.

python -m rigs.zygote expects one end of a SOCK_SEQPACKET pair as standard input. A message on it holds the
arguments and the environment of a process as JSON, with the descriptor of its log attached. The responses
contain its process id, and later its exit code. The zygote and all its children exit when that socket closes.
"""

from __future__ import annotations

import asyncio
import gc
import importlib
import json
import os
import select
import socket
import subprocess
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from rigs.fleet import kill_with_parent

MAX_MESSAGE_BYTES = 65_536
EXIT_POLL_S = 0.05  # interval for detecting exited processes
MAX_PENDING_FORKS = 8  # more requests without a response would fill the socket
PRELOADED_MODULES = (
    "anisestair.serving",
    "anisestair.retuning",
    "anisestair.configure.operator_file",
    "anisestair.http.upstream",
    "uvloop",
)


def _run_child(request: dict[str, Any], log: int, parent: int) -> None:
    """Runs the program in a forked child of the process ``parent``; never returns."""
    code = 1
    try:
        kill_with_parent()
        if os.getppid() != parent:  # the parent was killed before, so its exit sends no signal
            return
        dev_null = os.open(os.devnull, os.O_RDONLY)
        os.dup2(dev_null, 0)
        os.dup2(log, 1)
        os.dup2(log, 2)
        os.closerange(3, 1024)
        os.environ.clear()
        os.environ.update(request["env"])
        from anisestair.__main__ import main

        code = main(request["words"])
    except BaseException as fault:  # a failure must end only this process
        os.write(2, f"{type(fault).__name__}: {fault}\n".encode())
    finally:
        os._exit(code)


def serve(control: socket.socket) -> None:
    for name in PRELOADED_MODULES:
        importlib.import_module(name)
    gc.collect()
    gc.freeze()  # collections do not write to the imported objects, so their pages stay shared
    control.send(json.dumps({"loaded": os.getpid()}).encode())
    running: set[int] = set()
    while True:
        ready, _, _ = select.select([control], [], [], EXIT_POLL_S if running else None)
        for process in list(running):
            exited, status = os.waitpid(process, os.WNOHANG)
            if exited:
                running.discard(process)
                control.send(
                    json.dumps({"ended": process, "code": os.waitstatus_to_exitcode(status)}).encode()
                )
        if not ready:
            continue
        message, descriptors, _, _ = socket.recv_fds(control, MAX_MESSAGE_BYTES, 1)
        if not message:
            return
        request = json.loads(message)
        parent = os.getpid()
        process = os.fork()
        if not process:
            control.close()
            _run_child(request, descriptors[0], parent)
        os.close(descriptors[0])
        running.add(process)
        control.send(json.dumps({"began": process, "of": request["of"]}).encode())


class ForkedProcess:
    """A forked process: its id, and its exit code once known."""

    def __init__(self, pid: int) -> None:
        self.pid = pid
        self.returncode: int | None = None
        self.exited: asyncio.Future[int] = asyncio.get_running_loop().create_future()

    def send_signal(self, signal_number: int) -> None:
        if self.returncode is None:
            os.kill(self.pid, signal_number)

    def kill(self) -> None:
        self.send_signal(9)

    async def wait(self) -> int:
        return await self.exited


class Zygote:
    """Client of a zygote process, which it starts as a child. Needs a running event loop."""

    def __init__(self, checkout: Path) -> None:
        self._checkout = checkout
        self._count, self._fork_slots = 0, asyncio.Semaphore(MAX_PENDING_FORKS)
        self._requested: dict[int, asyncio.Future[ForkedProcess]] = {}
        self._alive: dict[int, ForkedProcess] = {}

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._control, zygote_end = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self._control.setblocking(False)
        with zygote_end:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "rigs.zygote"],
                stdin=zygote_end.fileno(),
                cwd=self._checkout,
                preexec_fn=kill_with_parent,
            )
        self.loaded: asyncio.Future[int] = loop.create_future()
        loop.add_reader(self._control.fileno(), self._on_readable)
        await self.loaded

    def _on_readable(self) -> None:
        while True:
            try:
                message = self._control.recv(MAX_MESSAGE_BYTES)
            except BlockingIOError:
                return
            if not message:
                asyncio.get_running_loop().remove_reader(self._control.fileno())
                return
            response = json.loads(message)
            if "loaded" in response:
                self.loaded.set_result(response["loaded"])
            elif "began" in response:
                process = self._alive[response["began"]] = ForkedProcess(response["began"])
                self._requested.pop(response["of"]).set_result(process)
            else:
                ended = self._alive.pop(response["ended"])
                ended.returncode = response["code"]
                ended.exited.set_result(response["code"])

    async def fork(self, words: Sequence[str], env: Mapping[str, str], log: int) -> ForkedProcess:
        """Forks a process. ``log`` is the descriptor for its output; the copy in this process stays open."""
        async with self._fork_slots:
            self._count += 1
            forked: asyncio.Future[ForkedProcess] = asyncio.get_running_loop().create_future()
            self._requested[self._count] = forked
            message = json.dumps({"of": self._count, "words": list(words), "env": dict(env)}).encode()
            socket.send_fds(self._control, [message], [log])
            return await forked

    async def close(self) -> None:
        for process in list(self._alive.values()):
            process.send_signal(18)  # SIGCONT: a stopped process would not exit
            process.kill()
        if self._alive:
            await asyncio.wait([process.exited for process in self._alive.values()], timeout=5.0)
        asyncio.get_running_loop().remove_reader(self._control.fileno())
        self._control.close()
        await asyncio.to_thread(self._process.wait)


if __name__ == "__main__":
    serve(socket.socket(fileno=0))
