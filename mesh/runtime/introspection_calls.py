"""Operators' questions over a link, and what both programs answer alike.

A question is a frame ``{"t": "ask", "n": number, "q": name, ...}``; its answer has the same number, with what
was asked for under ``a`` or one line under ``e``. Questions change nothing but what their names say.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from heapq import nsmallest
from typing import Any

import msgspec
from msgspec import Struct

from mesh.replication.items import Key
from mesh.replication.store import Store
from mesh.runtime.settings import Settings
from mesh.transport.frames import Head
from mesh.transport.link import Link

MAX_OPERATOR_LINKS = 16  # links; the oldest makes room for one more
MAX_PENDING_QUESTIONS = 4  # questions of one link that wait for their answer
PAGE_ITEMS, PAGE_BYTES = (
    500,
    1 << 20,
)  # items of one answer, and the bytes after which no further item is added
JsonObject = dict[str, Any]


class Refusal(Struct, frozen=True):
    """The question has no answer here; ``reason`` is one line."""

    reason: str


Handler = Callable[[Head], "JsonObject | Refusal | Awaitable[JsonObject | Refusal]"]


class OperatorLink:
    """One operator's link."""

    def __init__(self, link: Link, handlers: Mapping[str, Handler]) -> None:
        self.link, self._handlers = link, handlers
        self._tasks: set[asyncio.Task[None]] = set()

    def handle_frame(self, head: Head) -> None:
        """Raises nothing: what is no question ends the link."""
        number, name = head.get("n"), head.get("q")
        if head.get("t") != "ask" or not isinstance(number, int) or not isinstance(name, str):
            self.link.close("no question")
            return
        handler = self._handlers.get(name)
        if handler is None:
            known = ", ".join(sorted(self._handlers))
            self._reply(number, Refusal(f"unknown question {name[:40]!r}; this process knows {known}"))
        elif len(self._tasks) >= MAX_PENDING_QUESTIONS:
            self._reply(
                number, Refusal(f"{MAX_PENDING_QUESTIONS} questions of this link wait already; ask again")
            )
        else:
            try:
                told = handler(head)
            except (KeyError, TypeError, ValueError, AttributeError) as fault:
                told = Refusal(f"unreadable question {name}: {fault!r}")
            if isinstance(told, dict | Refusal):
                self._reply(number, told)
            else:
                task = asyncio.get_running_loop().create_task(self._reply_later(number, told))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _reply_later(self, number: int, told: Awaitable[JsonObject | Refusal]) -> None:
        try:
            self._reply(number, await told)
        except (KeyError, TypeError, ValueError) as fault:
            self._reply(number, Refusal(f"unreadable question: {fault!r}"))

    def _reply(self, number: int, told: JsonObject | Refusal) -> None:
        answer: JsonObject = {"e": told.reason} if isinstance(told, Refusal) else {"a": told}
        self.link.send({"t": "told", "n": number, **answer})


class OperatorLinks:
    """All operators' links of one process. ``handlers``: by the name of the question."""

    def __init__(self, handlers: Mapping[str, Handler]) -> None:
        self._handlers = handlers
        self._links: dict[Link, None] = {}  # the oldest first

    def adopt(self, link: Link) -> None:
        """A link whose other end has said that it asks for an operator."""
        link.peer = OperatorLink(link, self._handlers)
        self._links[link] = None
        if len(self._links) > MAX_OPERATOR_LINKS:
            oldest = next(iter(self._links))
            del self._links[oldest]
            oldest.close(f"{MAX_OPERATOR_LINKS} operators ask already")

    def handle_lost(self, link: Link) -> None:
        self._links.pop(link, None)


def common_status(settings: Settings, charter: Store, roll: Store, clock: float) -> JsonObject:
    """What either program says of itself. ``clock``: seconds since 1970 by this machine."""
    return {
        "node": settings.node,
        "ip": settings.ip,
        "zone": settings.zone,
        "region": settings.region,
        "clock": clock,
        "charter": {
            "items": sum(item.value is not None for item in charter.items.values()),
            "dropped": sum(item.value is None for item in charter.items.values()),
            "digest": charter.digests.root(),
        },
        "roll": len(roll.items),
        "unknown": list(settings.unknown[:20]),
    }


def item_page(stores: Mapping[str, Store], head: Head) -> JsonObject | Refusal:
    """A page of a store's items in the order of their keys, those after ``after``, dropped ones too. Pages
    are no snapshot. Raises KeyError, TypeError, ValueError for what is no such question."""
    store = stores.get(head["store"])
    if store is None:
        return Refusal(f"store: unknown; ask for one of {', '.join(stores)}")
    kind, name = head.get("after") or ("", "")
    after: Key = (str(kind), str(name))
    keys = nsmallest(PAGE_ITEMS + 1, (key for key in store.items if key > after))
    page: list[list[Any]] = []
    size = 0
    for key in keys[:PAGE_ITEMS]:
        item = store.items[key]
        page.append([item.kind, item.name, item.version, item.value])
        size += len(msgspec.json.encode(item.value))
        if size > PAGE_BYTES:
            break
    return {"items": page, "more": len(page) < len(keys)}
