"""Many processes of the program, each forked from one that has loaded it: they start in a fraction of the
time and share what was loaded, so that hundreds fit on one machine. Each is the program from its first line
of its own on.

python -m rigs.zygote, with one end of a SOCK_SEQPACKET pair as standard input: a message there is the
arguments and the environment of a process as JSON, with the descriptor of its log beside it; answers tell
its number, and later its end. It ends with that socket, and all that it forked end with it.
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

MOST_MESSAGE = 65_536
LOOK_S = 0.05  # how soon an end is told
AT_ONCE = 8  # forks asked for and not begun: more would fill the socket between the two
LOADED = (
    "anisestair.serving",
    "anisestair.retuning",
    "anisestair.configure.operator_file",
    "anisestair.http.upstream",
    "uvloop",
)


def _child(given: dict[str, Any], log: int) -> None:
    """Never returns."""
    code = 1
    try:
        kill_with_parent()
        nothing = os.open(os.devnull, os.O_RDONLY)
        os.dup2(nothing, 0)
        os.dup2(log, 1)
        os.dup2(log, 2)
        os.closerange(3, 1024)
        os.environ.clear()
        os.environ.update(given["env"])
        from anisestair.__main__ import main

        code = main(given["words"])
    except BaseException as fault:  # whatever it is, it is this process' alone
        os.write(2, f"{type(fault).__name__}: {fault}\n".encode())
    finally:
        os._exit(code)


def serve(control: socket.socket) -> None:
    for name in LOADED:
        importlib.import_module(name)
    gc.collect()
    gc.freeze()  # what was loaded is not written to by a collection, and stays shared
    control.send(json.dumps({"loaded": os.getpid()}).encode())
    left: set[int] = set()
    while True:
        ready, _, _ = select.select([control], [], [], LOOK_S if left else None)
        for process in list(left):
            found, status = os.waitpid(process, os.WNOHANG)
            if found:
                left.discard(process)
                control.send(
                    json.dumps({"ended": process, "code": os.waitstatus_to_exitcode(status)}).encode()
                )
        if not ready:
            continue
        message, descriptors, _, _ = socket.recv_fds(control, MOST_MESSAGE, 1)
        if not message:
            return
        given = json.loads(message)
        process = os.fork()
        if not process:
            control.close()
            _child(given, descriptors[0])
        os.close(descriptors[0])
        left.add(process)
        control.send(json.dumps({"began": process, "of": given["of"]}).encode())


class Forked:
    """A process that was forked: its number, and its end once that is told."""

    def __init__(self, pid: int) -> None:
        self.pid = pid
        self.returncode: int | None = None
        self.over: asyncio.Future[int] = asyncio.get_running_loop().create_future()

    def send_signal(self, number: int) -> None:
        if self.returncode is None:
            os.kill(self.pid, number)

    def kill(self) -> None:
        self.send_signal(9)

    async def wait(self) -> int:
        return await self.over


class Zygote:
    """The parent of many processes, itself a child of this one. Used inside a running loop."""

    def __init__(self, checkout: Path) -> None:
        self._checkout = checkout
        self._count, self._turns = 0, asyncio.Semaphore(AT_ONCE)
        self._asked: dict[int, asyncio.Future[Forked]] = {}
        self._alive: dict[int, Forked] = {}

    async def begin(self) -> None:
        loop = asyncio.get_running_loop()
        self._control, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self._control.setblocking(False)
        with theirs:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "rigs.zygote"],
                stdin=theirs.fileno(),
                cwd=self._checkout,
                preexec_fn=kill_with_parent,
            )
        self.loaded: asyncio.Future[int] = loop.create_future()
        loop.add_reader(self._control.fileno(), self._heard)
        await self.loaded

    def _heard(self) -> None:
        while True:
            try:
                message = self._control.recv(MOST_MESSAGE)
            except BlockingIOError:
                return
            if not message:
                asyncio.get_running_loop().remove_reader(self._control.fileno())
                return
            told = json.loads(message)
            if "loaded" in told:
                self.loaded.set_result(told["loaded"])
            elif "began" in told:
                made = self._alive[told["began"]] = Forked(told["began"])
                self._asked.pop(told["of"]).set_result(made)
            else:
                ended = self._alive.pop(told["ended"])
                ended.returncode = told["code"]
                ended.over.set_result(told["code"])

    async def fork(self, words: Sequence[str], env: Mapping[str, str], log: int) -> Forked:
        """``log``: the descriptor for what it says; this process' copy stays open."""
        async with self._turns:
            self._count += 1
            made: asyncio.Future[Forked] = asyncio.get_running_loop().create_future()
            self._asked[self._count] = made
            message = json.dumps({"of": self._count, "words": list(words), "env": dict(env)}).encode()
            socket.send_fds(self._control, [message], [log])
            return await made

    async def close(self) -> None:
        for process in list(self._alive.values()):
            process.send_signal(18)  # one that stands still is not told of its end otherwise
            process.kill()
        if self._alive:
            await asyncio.wait([process.over for process in self._alive.values()], timeout=5.0)
        asyncio.get_running_loop().remove_reader(self._control.fileno())
        self._control.close()
        await asyncio.to_thread(self._process.wait)


if __name__ == "__main__":
    serve(socket.socket(fileno=0))
