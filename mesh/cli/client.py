"""Asks the mesh's processes questions, each with a timeout."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any, TypeVar

from mesh.cli.mesh_snapshot import JsonObject, MeshSnapshot, Process, newest_items, read_items, text_field
from mesh.data_plane.membership import CONTROLLER, INSTANCE, NODE, PROXY
from mesh.membership.instance_commands import read_address
from mesh.replication.items import Item, Key
from mesh.transport.frames import Head
from mesh.transport.link import Address, Link, connect

MAX_OPEN_LINKS = 128
MAX_COPIES = 3  # copies of one store that are read and merged
MAX_ITEMS = 100_000  # items read from one copy
T = TypeVar("T")
S = TypeVar("S")


@dataclass(frozen=True, slots=True)
class Answered:
    """An answer, and the time until it arrived in seconds."""

    value: JsonObject
    took_s: float


@dataclass(frozen=True, slots=True)
class Refused:
    """The process refused to answer."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unreachable:
    """No answer; ``why`` is one line."""

    why: str


Reply = Answered | Refused | Unreachable


class ProcessLink:
    """A link to one process, opened by its first question."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self._link: Link | None = None
        self._waiting: dict[int, asyncio.Future[Reply]] = {}
        self._count = 0

    async def ask(self, question: str, within_s: float, **fields: Any) -> Reply:
        """Asks a question and waits up to ``within_s`` for its answer. Never raises."""
        began = time.monotonic()
        try:
            async with asyncio.timeout(within_s):
                if self._link is None:
                    self._link = await connect(
                        self.address, lambda: Link(_ignore, self._handle_frame, self._handle_lost)
                    )
                    if self._link is None:
                        return Unreachable("cannot be reached")
                    self._link.send({"t": "hello", "for": "operate"})
                self._count += 1
                future = asyncio.get_running_loop().create_future()
                self._waiting[self._count] = future
                if not self._link.send({"t": "ask", "n": self._count, "q": question, **fields}):
                    return Unreachable("the link was lost")
                reply = await future
        except TimeoutError:
            return Unreachable(f"no answer within {within_s:g} s")
        return Answered(reply.value, time.monotonic() - began) if isinstance(reply, Answered) else reply

    def _handle_frame(self, link: Link, head: Head, body: bytes) -> None:
        future = self._waiting.pop(head.get("n", 0), None)
        if future is not None and not future.done():
            if isinstance(head.get("a"), dict):
                future.set_result(Answered(head["a"], 0.0))
            else:
                future.set_result(Refused(" ".join(str(head.get("e", "no answer")).split())))

    def _handle_lost(self, link: Link, why: str) -> None:
        waiting, self._waiting = self._waiting, {}
        for future in waiting.values():
            if not future.done():
                future.set_result(
                    Unreachable("the link was lost; the process may run another protocol version")
                )

    def close(self) -> None:
        if self._link is not None:
            self._link.close("done")


def _ignore(link: Link) -> None:
    pass


async def ask(address: Address, question: str, within_s: float, **fields: Any) -> Reply:
    """Asks one question over a separate link."""
    link = ProcessLink(address)
    try:
        return await link.ask(question, within_s, **fields)
    finally:
        link.close()


async def gather_bounded(work: Callable[[S], Awaitable[T]], items: Iterable[S]) -> list[T]:
    """Runs ``work`` on each item, MAX_OPEN_LINKS at a time; the results are in the order of the items."""
    slots = asyncio.Semaphore(MAX_OPEN_LINKS)

    async def run_one(item: S) -> T:
        async with slots:
            return await work(item)

    return list(await asyncio.gather(*(run_one(item) for item in items)))


async def ask_status(name: str, address: Address, within_s: float) -> Process:
    """Asks a process for its status."""
    reply = await ask(address, "status", within_s)
    if not isinstance(reply, Answered):
        why = reply.why if isinstance(reply, Unreachable) else reply.reason
        return Process(name, address, None, why)
    clock = reply.value.get("clock")
    half = reply.took_s / 2.0
    ahead = clock - (time.time() - half) if isinstance(clock, int | float) else 0.0
    return Process(name, address, reply.value, "", ahead, half)


async def read_store(address: Address, store: str, within_s: float) -> list[Item] | Unreachable:
    """All items in a process's ``store`` ("charter" or "roll"); each page must arrive within ``within_s``."""
    link = ProcessLink(address)
    found: list[Item] = []
    try:
        while len(found) < MAX_ITEMS:
            after = list(found[-1].key) if found else None
            reply = await link.ask("items", within_s, store=store, after=after)
            if not isinstance(reply, Answered):
                return Unreachable(reply.why if isinstance(reply, Unreachable) else reply.reason)
            page = read_items(reply.value.get("items"))
            found += page
            if not page or not reply.value.get("more"):
                return found
        return found
    finally:
        link.close()


async def read_merged_items(
    processes: Sequence[Process], store: str, within_s: float
) -> dict[Key, Item] | Unreachable:
    """The merged items of the first MAX_COPIES processes that answer; control processes with contact are
    asked first."""
    order = sorted(
        processes, key=lambda p: (not (p.status or {}).get("in_touch"), p.role != CONTROLLER, p.node)
    )
    copies: list[list[Item]] = []
    why = Unreachable("no process to ask")
    for process in order:
        copy = await read_store(process.address, store, within_s)
        if isinstance(copy, Unreachable):
            why = copy
        else:
            copies.append(copy)
            if len(copies) == MAX_COPIES:
                break
    return newest_items(copies) if copies else why


async def find_processes(addresses: Sequence[Address], within_s: float) -> list[Process]:
    """The processes that answer at these addresses, control processes with contact first."""
    processes = await gather_bounded(
        lambda address: ask_status(f"{address[0]}:{address[1]}", address, within_s), dict.fromkeys(addresses)
    )
    found = [process for process in processes if process.status is not None]
    return sorted(found, key=lambda p: (not (p.status or {}).get("in_touch"), p.role != CONTROLLER))


async def take_snapshot(
    addresses: Sequence[Address], within_s: float, roles: Sequence[str] = (CONTROLLER, PROXY)
) -> MeshSnapshot | Unreachable:
    """The mesh as the processes at these addresses know it. Asks each process in ``roles`` for its status,
    and all once more if their configurations differ, since a change may be in progress."""
    first = await find_processes(addresses, within_s)
    if not first:
        return Unreachable(f"no process answers at {', '.join(f'{host}:{port}' for host, port in addresses)}")
    membership_items = await read_merged_items(first, "roll", within_s)
    if isinstance(membership_items, Unreachable):
        return membership_items
    nodes = {i.name: i.value for i in membership_items.values() if i.kind == NODE and i.value is not None}
    instances = {
        i.name: i.value for i in membership_items.values() if i.kind == INSTANCE and i.value is not None
    }
    known = {process.address: process for process in first}
    found, others = [], []
    for name, value in sorted(nodes.items()):
        address = read_address(value.get("address"))
        if address is None:
            found.append(Process(name, ("", 0), None, "the membership store has no address for it"))
        elif address in known:
            process = known.pop(address)
            found.append(
                Process(name, address, process.status, "", process.clock_offset_s, process.clock_error_s)
            )
        elif text_field(value, "role") in roles:
            others.append((name, address))
        else:
            found.append(Process(name, address, None, "not asked"))
    found += known.values()  # given by address and not in the membership store yet
    found += await gather_bounded(lambda other: ask_status(*other, within_s), others)
    snapshot = MeshSnapshot(tuple(sorted(found, key=lambda p: p.name)), nodes, instances)
    differing = {p.name for group in list(snapshot.processes_by_digest().values())[1:] for p in group}
    if not differing:
        return snapshot
    again = await gather_bounded(lambda p: ask_status(p.name, p.address, within_s), snapshot.answering())
    refreshed = {process.name: process for process in again}
    return MeshSnapshot(tuple(refreshed.get(p.name, p) for p in snapshot.processes), nodes, instances)
