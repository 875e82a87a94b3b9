"""Idle channels are not checked store by store, and still receive every change."""

from __future__ import annotations

import asyncio
import io
from collections.abc import Callable, Mapping
from typing import Any, cast

import pytest

from mesh.data_plane.membership import PROXY
from mesh.dissemination.peers import RANK_DELAY_S, Channel, Channels
from mesh.dissemination.pull_exchange import PAGE_ITEMS, Exchange
from mesh.event_log.log import EventLog
from mesh.replication.store import Store
from mesh.rollout.report import REPORTS
from mesh.transport.link import Link

LINKS = 12


class CountingStore(Store):
    """Counts the checks for what a peer lacks; each one visits every source."""

    checks = 0

    def has_updates(self, vector: Mapping[str, int]) -> bool:
        self.checks += 1
        return super().has_updates(vector)


class RecordingLink:
    """A link that records the sent frames."""

    up, mutual_heartbeat, last_received_at, up_since = True, False, 0.0, 0.0
    peer: Any = None

    def __init__(self) -> None:
        self.sent: list[dict[str, Any]] = []

    def send(self, head: dict[str, Any], body: bytes | None = None) -> bool:
        self.sent.append(head)
        return True

    def tick(self, now: float) -> None:
        pass

    def take_item_names(self) -> list[str]:
        """Names of the items sent since the last call."""
        names = [
            fields[1]
            for head in self.sent
            if head["t"] == "news"
            for part in head["n"].values()
            for fields in part["items"]
        ]
        self.sent.clear()
        return names


class Controller:
    """A control process from which LINKS sidecars pull."""

    def __init__(self) -> None:
        self.config_store, self.membership_store, self.reports = (
            CountingStore("c1", 100),
            CountingStore("c1", 100),
            CountingStore("c1", 100),
        )
        self.stores = {"charter": self.config_store, "roll": self.membership_store, REPORTS: self.reports}
        hello = {"t": "hello", "node": "c1", "source": "c1", "takes": [REPORTS]}
        event_log = EventLog("c1", io.StringIO())
        self.channels = Channels(
            "c1", hello, self.stores, 3, event_log, lambda name, items: None, one_way=(REPORTS,)
        )
        self.links = [RecordingLink() for _ in range(LINKS)]
        self.peers: list[Channel] = []
        for at, link in enumerate(self.links):
            hello = {"node": f"s{at}", "source": f"s{at}.1", "role": PROXY}
            self.peers.append(self.channels.adopt(cast(Link, link), hello))
        for _ in range(2):  # the first pull request gets an empty answer, the second one stays open
            for peer in self.peers:
                self.send_pull(peer)
        for link in self.links:
            link.take_item_names()

    def send_pull(self, peer: Channel, **vectors: dict[str, int]) -> None:
        self.channels.handle_frame(peer, {"t": "pull", "v": vectors}, b"")

    def ticks(self, count: int) -> int:
        """The number of checks for what a peer lacks during these ticks."""
        before = sum(store.checks for store in self.stores.values())
        for _ in range(count):
            self.channels.tick(0.0)
        return sum(store.checks for store in self.stores.values()) - before


def run_script(script: Callable[[Controller], None]) -> None:
    async def run() -> None:
        script(Controller())

    asyncio.run(run())


def test_links_at_rest_cost_no_look_at_any_store() -> None:
    def script(controller: Controller) -> None:
        assert controller.ticks(20) == 0

    run_script(script)


def test_what_rises_is_told_on_every_link_by_the_next_tick_and_once() -> None:
    def script(controller: Controller) -> None:
        controller.config_store.write("route", "r1", 1, {"a": 1})
        assert controller.ticks(3) == LINKS  # of the one store that advanced, once for each link
        assert all(link.take_item_names() == ["r1"] for link in controller.links)
        for peer in controller.peers:
            controller.send_pull(peer, charter={"c1": 1})
        assert controller.ticks(3) <= 2 * LINKS  # after an answer that store is checked once more
        assert controller.ticks(20) == 0
        assert all(link.take_item_names() == [] for link in controller.links)

    run_script(script)


def test_what_comes_while_no_question_stands_is_told_with_the_next_one() -> None:
    def script(controller: Controller) -> None:
        controller.config_store.write("route", "r1", 1, {"a": 1})
        controller.ticks(1)
        controller.membership_store.write("node", "n1", 1, {"role": PROXY})
        controller.ticks(2)
        assert all(link.take_item_names() == ["r1"] for link in controller.links)
        for peer in controller.peers:
            controller.send_pull(peer, charter={"c1": 1})
        assert all(link.take_item_names() == ["n1"] for link in controller.links)

    run_script(script)


def test_a_peer_that_has_forgotten_is_told_again() -> None:
    def script(controller: Controller) -> None:
        controller.config_store.write("route", "r1", 1, {"a": 1})
        controller.ticks(1)
        for peer in controller.peers:
            controller.send_pull(peer, charter={"c1": 1})
        controller.ticks(3)
        for link in controller.links:
            link.take_item_names()
        controller.send_pull(controller.peers[0], charter={"c1": 0})
        assert [link.take_item_names() for link in controller.links] == [
            ["r1"],
            *[[] for _ in controller.links[1:]],
        ]

    run_script(script)


def test_one_that_comes_later_in_the_order_tells_after_its_time(monkeypatch: pytest.MonkeyPatch) -> None:
    def script(controller: Controller) -> None:
        now = 0.0
        monkeypatch.setattr(controller.channels, "loop", cast(Any, Clock(lambda: now)))
        for peer in controller.peers:
            controller.channels.handle_frame(peer, {"t": "rank", "r": 1}, b"")
        controller.config_store.write("route", "r1", 1, {"a": 1})
        controller.ticks(3)
        assert all(link.take_item_names() == [] for link in controller.links)
        now = RANK_DELAY_S - 0.01
        controller.ticks(1)
        assert all(link.take_item_names() == [] for link in controller.links)
        now = RANK_DELAY_S + 0.01
        controller.ticks(1)
        assert all(link.take_item_names() == ["r1"] for link in controller.links)

    run_script(script)


class Clock:
    def __init__(self, time: Callable[[], float]) -> None:
        self.time = time


def test_who_is_told_in_pages_knows_all_with_the_last_one_whatever_was_answered_before() -> None:
    """A controller without quorum contact withholds the configuration, so the first answer has no further
    pages. Once it has contact it sends the configuration in pages, of which only the last completes it."""

    async def run() -> None:
        config_store, membership_store = Store("p.1", 5000, decided=True), Store("p.1", 100)
        link = RecordingLink()
        channels = Channels(
            "p",
            {"t": "hello", "node": "p", "source": "p.1"},
            {"charter": config_store, "roll": membership_store},
            3,
            EventLog("p", io.StringIO()),
            lambda name, items: None,
        )
        channel = channels.adopt(cast(Link, link), {"node": "c1", "source": "c1.1"})
        sender_config_store, sender_membership_store = Store("c1.1", 5000), Store("c1.1", 100)
        for at in range(2 * PAGE_ITEMS + 1):
            sender_config_store.write("route", f"r{at}", 1, {})
        sender_membership_store.write("node", "c1", 1, {})
        sender = Exchange({"charter": sender_config_store, "roll": sender_membership_store})
        sender.set_peer("p.1", ())

        def answer_pull(whole: bool, among: set[str]) -> bool:
            """Answers the open pull request; returns whether more pages follow."""
            sender.record_pull([head for head in link.sent if head["t"] == "pull"][-1], "p.1")
            answer = sender.answer(whole, among)
            assert answer is not None
            channels.handle_frame(channel, answer, b"")
            return bool(answer["more"])

        assert not answer_pull(False, {"roll"})
        assert channels.last_complete_at <= 0.0
        pages = 1
        while answer_pull(True, {"charter"}):
            pages += 1
            assert channels.last_complete_at <= 0.0 and not channels.complete_within(60.0), len(
                config_store.items
            )
        assert pages == 3 and len(config_store.items) == 2 * PAGE_ITEMS + 1
        assert channels.last_complete_at > 0.0

    asyncio.run(run())


def test_who_leaves_a_store_out_does_not_say_that_it_tells_all() -> None:
    def script(controller: Controller) -> None:
        controller.channels.is_complete = lambda: True
        reported = []
        for version, silent in enumerate((("charter",), ()), 1):
            controller.channels.withheld_stores = lambda _, silent=silent: silent  # type: ignore[misc]
            controller.membership_store.write("node", "n", version, {})
            controller.channels.tick(0.0)
            reported.append([head["whole"] for head in controller.links[0].sent if head["t"] == "news"][-1])
            controller.send_pull(controller.peers[0], roll={"c1": version})
        assert reported == [False, True]

    run_script(script)
