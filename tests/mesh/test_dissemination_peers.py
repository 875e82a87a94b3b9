"""Links with news that rest: they are not looked at store by store, and still miss nothing that comes."""

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


class Looked(Store):
    """Counts how often it is asked what a peer lacks: each time costs all sources."""

    looks = 0

    def has_updates(self, vector: Mapping[str, int]) -> bool:
        self.looks += 1
        return super().has_updates(vector)


class Line:
    """A link that keeps what is sent."""

    up, steady, heard_at, since = True, False, 0.0, 0.0
    peer: Any = None

    def __init__(self) -> None:
        self.sent: list[dict[str, Any]] = []

    def send(self, head: dict[str, Any], body: bytes | None = None) -> bool:
        self.sent.append(head)
        return True

    def tick(self, now: float) -> None:
        pass

    def told(self) -> list[str]:
        """Names of the items told since the last call."""
        names = [
            fields[1]
            for head in self.sent
            if head["t"] == "news"
            for part in head["n"].values()
            for fields in part["items"]
        ]
        self.sent.clear()
        return names


class Middle:
    """A control process that LINKS sidecars ask."""

    def __init__(self) -> None:
        self.charter, self.roll, self.reports = Looked("c1", 100), Looked("c1", 100), Looked("c1", 100)
        self.stores = {"charter": self.charter, "roll": self.roll, REPORTS: self.reports}
        hello = {"t": "hello", "node": "c1", "source": "c1", "takes": [REPORTS]}
        event_log = EventLog("c1", io.StringIO())
        self.channels = Channels(
            "c1", hello, self.stores, 3, event_log, lambda name, items: None, one_way=(REPORTS,)
        )
        self.lines = [Line() for _ in range(LINKS)]
        self.peers: list[Channel] = []
        for at, line in enumerate(self.lines):
            hello = {"node": f"s{at}", "source": f"s{at}.1", "role": PROXY}
            self.peers.append(self.channels.adopt(cast(Link, line), hello))
        for _ in range(2):  # the first question is answered with nothing, the next one stands
            for peer in self.peers:
                self.ask(peer)
        for line in self.lines:
            line.told()

    def ask(self, peer: Channel, **vectors: dict[str, int]) -> None:
        self.channels.handle_frame(peer, {"t": "pull", "v": vectors}, b"")

    def ticks(self, count: int) -> int:
        """How often a store was asked what somebody lacks."""
        before = sum(store.looks for store in self.stores.values())
        for _ in range(count):
            self.channels.tick(0.0)
        return sum(store.looks for store in self.stores.values()) - before


def played(script: Callable[[Middle], None]) -> None:
    async def play() -> None:
        script(Middle())

    asyncio.run(play())


def test_links_at_rest_cost_no_look_at_any_store() -> None:
    def script(middle: Middle) -> None:
        assert middle.ticks(20) == 0

    played(script)


def test_what_rises_is_told_on_every_link_by_the_next_tick_and_once() -> None:
    def script(middle: Middle) -> None:
        middle.charter.write("route", "r1", 1, {"a": 1})
        assert middle.ticks(3) == LINKS  # of the one store that rose, once a link
        assert all(line.told() == ["r1"] for line in middle.lines)
        for peer in middle.peers:
            middle.ask(peer, charter={"c1": 1})
        assert middle.ticks(3) <= 2 * LINKS  # after an answer that store is looked at once more
        assert middle.ticks(20) == 0
        assert all(line.told() == [] for line in middle.lines)

    played(script)


def test_what_comes_while_no_question_stands_is_told_with_the_next_one() -> None:
    def script(middle: Middle) -> None:
        middle.charter.write("route", "r1", 1, {"a": 1})
        middle.ticks(1)
        middle.roll.write("node", "n1", 1, {"role": PROXY})
        middle.ticks(2)
        assert all(line.told() == ["r1"] for line in middle.lines)
        for peer in middle.peers:
            middle.ask(peer, charter={"c1": 1})
        assert all(line.told() == ["n1"] for line in middle.lines)

    played(script)


def test_a_peer_that_has_forgotten_is_told_again() -> None:
    def script(middle: Middle) -> None:
        middle.charter.write("route", "r1", 1, {"a": 1})
        middle.ticks(1)
        for peer in middle.peers:
            middle.ask(peer, charter={"c1": 1})
        middle.ticks(3)
        for line in middle.lines:
            line.told()
        middle.ask(middle.peers[0], charter={"c1": 0})
        assert [line.told() for line in middle.lines] == [["r1"], *[[] for _ in middle.lines[1:]]]

    played(script)


def test_one_that_comes_later_in_the_order_tells_after_its_time(monkeypatch: pytest.MonkeyPatch) -> None:
    def script(middle: Middle) -> None:
        now = 0.0
        monkeypatch.setattr(middle.channels, "loop", cast(Any, Clock(lambda: now)))
        for peer in middle.peers:
            middle.channels.handle_frame(peer, {"t": "rank", "r": 1}, b"")
        middle.charter.write("route", "r1", 1, {"a": 1})
        middle.ticks(3)
        assert all(line.told() == [] for line in middle.lines)
        now = RANK_DELAY_S - 0.01
        middle.ticks(1)
        assert all(line.told() == [] for line in middle.lines)
        now = RANK_DELAY_S + 0.01
        middle.ticks(1)
        assert all(line.told() == ["r1"] for line in middle.lines)

    played(script)


class Clock:
    def __init__(self, time: Callable[[], float]) -> None:
        self.time = time


def test_who_is_told_in_pages_knows_all_with_the_last_one_whatever_was_answered_before() -> None:
    """An asker that was answered whole by one without contact, which tells no configuration, and is told the
    configuration in pages once that one has contact."""

    async def run() -> None:
        charter, roll = Store("p.1", 5000, decided=True), Store("p.1", 100)
        line = Line()
        channels = Channels(
            "p",
            {"t": "hello", "node": "p", "source": "p.1"},
            {"charter": charter, "roll": roll},
            3,
            EventLog("p", io.StringIO()),
            lambda name, items: None,
        )
        channel = channels.adopt(cast(Link, line), {"node": "c1", "source": "c1.1"})
        giver_charter, giver_roll = Store("c1.1", 5000), Store("c1.1", 100)
        for at in range(2 * PAGE_ITEMS + 1):
            giver_charter.write("route", f"r{at}", 1, {})
        giver_roll.write("node", "c1", 1, {})
        giver = Exchange({"charter": giver_charter, "roll": giver_roll})
        giver.set_peer("p.1", ())

        def tell(whole: bool, among: set[str]) -> bool:
            """Answers the open question; whether there is more."""
            giver.record_pull([head for head in line.sent if head["t"] == "pull"][-1], "p.1")
            told = giver.answer(whole, among)
            assert told is not None
            channels.handle_frame(channel, told, b"")
            return bool(told["more"])

        assert not tell(False, {"roll"})
        assert channels.last_complete_at <= 0.0
        pages = 1
        while tell(True, {"charter"}):
            pages += 1
            assert channels.last_complete_at <= 0.0 and not channels.complete_within(60.0), len(charter.items)
        assert pages == 3 and len(charter.items) == 2 * PAGE_ITEMS + 1
        assert channels.last_complete_at > 0.0

    asyncio.run(run())


def test_who_leaves_a_store_out_does_not_say_that_it_tells_all() -> None:
    def script(middle: Middle) -> None:
        middle.channels.is_complete = lambda: True
        said = []
        for version, silent in enumerate((("charter",), ()), 1):
            middle.channels.withheld_stores = lambda _, silent=silent: silent  # type: ignore[misc]
            middle.roll.write("node", "n", version, {})
            middle.channels.tick(0.0)
            said.append([head["whole"] for head in middle.lines[0].sent if head["t"] == "news"][-1])
            middle.ask(middle.peers[0], roll={"c1": version})
        assert said == [False, True]

    played(script)
