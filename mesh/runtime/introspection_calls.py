"""Operators' questions over a link, and the answers that both programs have in common.

A question is a frame ``{"t": "ask", "n": number, "q": name, ...}``; its answer has the same number, with the
result under ``a`` or a one-line error under ``e``. Only questions whose name says so change anything.
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

MAX_OPERATOR_LINKS = 16  # a further link closes the oldest
MAX_PENDING_QUESTIONS = 4  # unanswered questions of one link
PAGE_ITEMS, PAGE_BYTES = 500, 1 << 20  # an answer ends after so many items or bytes
JsonObject = dict[str, Any]


class Refusal(Struct, frozen=True):
    """The question cannot be answered here; ``reason`` is one line."""

    reason: str


Handler = Callable[[Head], "JsonObject | Refusal | Awaitable[JsonObject | Refusal]"]


class OperatorLink:
    """An operator's link."""

    def __init__(self, link: Link, handlers: Mapping[str, Handler]) -> None:
        self.link, self._handlers = link, handlers
        self._tasks: set[asyncio.Task[None]] = set()

    def handle_frame(self, head: Head) -> None:
        """Answers a question; a malformed frame closes the link. Never raises."""
        number, name = head.get("n"), head.get("q")
        if head.get("t") != "ask" or not isinstance(number, int) or not isinstance(name, str):
            self.link.close("malformed question")
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
                reply = handler(head)
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                reply = Refusal(f"unreadable question {name}: {error!r}")
            if isinstance(reply, dict | Refusal):
                self._reply(number, reply)
            else:
                task = asyncio.get_running_loop().create_task(self._reply_later(number, reply))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _reply_later(self, number: int, reply: Awaitable[JsonObject | Refusal]) -> None:
        try:
            self._reply(number, await reply)
        except (KeyError, TypeError, ValueError) as error:
            self._reply(number, Refusal(f"unreadable question: {error!r}"))

    def _reply(self, number: int, reply: JsonObject | Refusal) -> None:
        answer: JsonObject = {"e": reply.reason} if isinstance(reply, Refusal) else {"a": reply}
        self.link.send({"t": "told", "n": number, **answer})


class OperatorLinks:
    """All operators' links of one process. ``handlers`` has the questions by name."""

    def __init__(self, handlers: Mapping[str, Handler]) -> None:
        self._handlers = handlers
        self._links: dict[Link, None] = {}  # oldest first

    def adopt(self, link: Link) -> None:
        """Takes over a link whose peer has identified itself as an operator's client."""
        link.peer = OperatorLink(link, self._handlers)
        self._links[link] = None
        if len(self._links) > MAX_OPERATOR_LINKS:
            oldest = next(iter(self._links))
            del self._links[oldest]
            oldest.close(f"{MAX_OPERATOR_LINKS} operators are connected already")

    def handle_lost(self, link: Link) -> None:
        self._links.pop(link, None)


def common_status(
    settings: Settings, config_store: Store, membership_store: Store, clock: float
) -> JsonObject:
    """The status fields of both programs. ``clock``: seconds since 1970 by this machine's clock."""
    return {
        "node": settings.node,
        "ip": settings.ip,
        "zone": settings.zone,
        "region": settings.region,
        "clock": clock,
        "charter": {
            "items": sum(item.value is not None for item in config_store.items.values()),
            "dropped": sum(item.value is None for item in config_store.items.values()),
            "digest": config_store.digests.root(),
        },
        "roll": len(membership_store.items),
        "unknown": list(settings.unknown[:20]),
    }


def item_page(stores: Mapping[str, Store], head: Head) -> JsonObject | Refusal:
    """A page of a store's items, dropped ones included, in key order from the first key above ``after``. The
    pages are not one snapshot. Raises KeyError, TypeError or ValueError for a malformed question."""
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
