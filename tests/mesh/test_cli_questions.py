"""Operators' questions over a link: each is answered once, within bounds, and none ends the process."""

from __future__ import annotations

import asyncio
from typing import Any

from mesh.cli.client import Answered, Refused, Unreachable, ask, read_store
from mesh.replication.store import Store
from mesh.runtime import introspection_calls as questions_module
from mesh.runtime.introspection_calls import (
    MAX_OPERATOR_LINKS,
    MAX_PENDING_QUESTIONS,
    PAGE_ITEMS,
    OperatorLink,
    OperatorLinks,
    Refusal,
    item_page,
)
from mesh.transport.frames import Head
from mesh.transport.link import Address, Link, listen
from rigs.mesh_peers import run_async_test, run_ready_callbacks


class FakeLink:
    """Replaces a link and records what is sent."""

    def __init__(self) -> None:
        self.sent: list[Head] = []
        self.closed = ""
        self.peer: Any = None

    def send(self, head: Head) -> bool:
        self.sent.append(head)
        return True

    def close(self, why: str) -> None:
        self.closed = why


def test_what_is_no_question_ends_its_link_and_a_bad_one_is_told() -> None:
    handlers = {"a": lambda head: {"x": head["x"] + 1}, "no": lambda head: Refusal("not here")}
    fake_link = FakeLink()
    operator_link = OperatorLink(fake_link, handlers)  # type: ignore[arg-type]
    operator_link.handle_frame({"t": "ask", "n": 1, "q": "a", "x": 4})
    operator_link.handle_frame({"t": "ask", "n": 2, "q": "a"})
    operator_link.handle_frame({"t": "ask", "n": 3, "q": "b"})
    operator_link.handle_frame({"t": "ask", "n": 4, "q": "no"})
    assert fake_link.sent[0] == {"t": "told", "n": 1, "a": {"x": 5}}
    assert [one["n"] for one in fake_link.sent] == [1, 2, 3, 4] and all(
        "e" in one for one in fake_link.sent[1:]
    )
    assert "a, no" in fake_link.sent[2]["e"] and not fake_link.closed
    for head in ({"t": "call", "n": 1}, {"t": "ask", "q": "a"}, {"t": "ask", "n": 1}):
        fake_link.closed = ""
        operator_link.handle_frame(head)
        assert fake_link.closed


def test_so_many_questions_wait_and_no_more() -> None:
    async def run() -> None:
        release, fake_link = asyncio.Event(), FakeLink()

        async def slow(head: Head) -> dict[str, Any]:
            await release.wait()
            return {}

        operator_link = OperatorLink(fake_link, {"slow": slow})  # type: ignore[arg-type]
        for number in range(MAX_PENDING_QUESTIONS + 1):
            operator_link.handle_frame({"t": "ask", "n": number, "q": "slow"})
        await run_ready_callbacks()
        assert [one["n"] for one in fake_link.sent] == [MAX_PENDING_QUESTIONS] and "e" in fake_link.sent[0]
        release.set()
        await run_ready_callbacks()
        assert sorted(one["n"] for one in fake_link.sent[1:]) == list(range(MAX_PENDING_QUESTIONS))
        operator_link.handle_frame({"t": "ask", "n": 9, "q": "slow"})
        await run_ready_callbacks()
        assert fake_link.sent[-1] == {"t": "told", "n": 9, "a": {}}

    run_async_test(run)


def test_the_oldest_operator_makes_room_for_one_more() -> None:
    questions, links = OperatorLinks({}), [FakeLink() for _ in range(MAX_OPERATOR_LINKS + 2)]
    questions.adopt(links[0])  # type: ignore[arg-type]
    questions.handle_lost(links[0])  # type: ignore[arg-type]
    for fake_link in links[1:]:
        questions.adopt(fake_link)  # type: ignore[arg-type]
    assert [bool(fake_link.closed) for fake_link in links] == [False, True] + [False] * MAX_OPERATOR_LINKS


def test_pages_hold_every_item_once_and_are_cut_by_bytes_too(monkeypatch: Any) -> None:
    store = Store("s", 5000)
    store.write_all(
        [(f"k{at % 3}", f"n{at:04}", 1, None if at % 7 else {"v": at}) for at in range(PAGE_ITEMS + 300)]
    )
    for most in (1 << 20, 200):
        monkeypatch.setattr(questions_module, "PAGE_BYTES", most)
        found, after, pages = [], None, 0
        while True:
            page = item_page({"charter": store}, {"store": "charter", "after": after})
            assert isinstance(page, dict) and 0 < len(page["items"]) <= PAGE_ITEMS
            found += page["items"]
            pages += 1
            after = page["items"][-1][:2]
            if not page["more"]:
                break
        assert [(kind, name) for kind, name, _, _ in found] == sorted(store.items)
        assert pages == 2 if most > 200 else pages > 10
    assert isinstance(item_page({"charter": store}, {"store": "x"}), Refusal)


def test_the_root_tells_copies_apart_by_what_they_hold_alone() -> None:
    one, other = Store("a", 10), Store("b", 10)
    assert one.digests.root() == other.digests.root() == "0" * 16
    one.write_all([("k", "x", 1, {"v": 1}), ("k", "y", 2, None)])
    other.write_all([("k", "y", 2, None), ("k", "x", 1, {"v": 1})])
    assert one.digests.root() == other.digests.root() != "0" * 16
    other.write("k", "x", 2, {"v": 1})
    assert one.digests.root() != other.digests.root()


async def serve(questions: OperatorLinks | None) -> tuple[Address, asyncio.Server]:
    """Starts a server that answers questions; None: an older version, which closes such a link."""

    def handle_frame(link: Link, head: Head, body: bytes) -> None:
        if isinstance(link.peer, OperatorLink):
            link.peer.handle_frame(head)
        elif questions is not None and head.get("for") == "operate":
            questions.adopt(link)
        else:
            link.close("no hello")

    server = await listen(
        ("127.0.0.1", 0), lambda: Link(lambda _: None, handle_frame, lambda link, why: None)
    )
    host, port = server.sockets[0].getsockname()[:2]
    return (host, port), server


def test_over_a_link_whatever_the_other_end_does_there_is_an_outcome() -> None:
    async def run() -> None:
        store = Store("s", 5000)
        store.write_all([("k", f"n{at}", 1, {}) for at in range(PAGE_ITEMS + 7)])
        hangs = asyncio.Event()

        async def hang(head: Head) -> dict[str, Any]:
            await hangs.wait()
            return {}

        questions = OperatorLinks({"items": lambda head: item_page({"roll": store}, head), "hang": hang})
        address, server = await serve(questions)
        old, old_server = await serve(None)
        copy = await read_store(address, "roll", 5.0)
        assert not isinstance(copy, Unreachable) and {item.key for item in copy} == set(store.items)
        assert isinstance(await ask(address, "what", 5.0), Refused)
        assert isinstance(await ask(address, "hang", 0.05), Unreachable)
        assert isinstance(await ask(old, "status", 5.0), Unreachable)
        assert isinstance(await read_store(address, "other", 5.0), Unreachable)
        server.close()
        old_server.close()
        await server.wait_closed()
        assert isinstance(await ask(old, "status", 5.0), Unreachable)
        assert Answered({}, 0.0).value == {}
        hangs.set()

    asyncio.run(run())
