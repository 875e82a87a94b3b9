"""When a large order is acknowledged that is not in force everywhere: at its bound after its decision,
however often it is sent and whatever stood of it before."""

from __future__ import annotations

import asyncio
import io
from types import SimpleNamespace
from typing import cast

from mesh.control_plane.confirmations import LARGE_ORDER_ITEMS, Confirmations
from mesh.data_plane.membership import PROXY
from mesh.dissemination.peers import Channels
from mesh.event_log.log import EventLog
from mesh.replication.items import Item
from rigs.mesh_peers import move, play, turns

ACK_MS, CONTACT_MS = 4000.0, 3000.0
CALL_S = 0.85  # a caller is answered by then
LOOK_S = 0.1
WHOLE_S = 200.0


def item(name: str, source: str, number: int) -> Item:
    return Item("route", name, 1, {}, source, number)


ROUTES = [item(f"r{at}", "c1", at + 1) for at in range(LARGE_ORDER_ITEMS)]
STANDING = item("service", "c0", 7)  # decided long ago, and a part of the order


class Beside:
    """The confirmations of a control process that hears one proxy, which confirms nothing."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.link = SimpleNamespace(up=True, heard_at=self.loop.time())
        channel = SimpleNamespace(node="p", peer_source="p.1", extra={"role": PROXY}, link=self.link)
        channels = cast(Channels, SimpleNamespace(open=[channel]))
        self.found = Confirmations(ACK_MS, CONTACT_MS, {}, channels, EventLog("c", io.StringIO()))
        self.found.tick(self.loop.time())  # the proxy's life is known from here on

    def pass_by(self, seconds: float) -> None:
        move(seconds)
        self.link.heard_at = self.loop.time()
        self.found.tick(self.loop.time())

    async def call(self, items: list[Item]) -> bool:
        """One call's wait; the proxy is heard all the while."""
        task = self.loop.create_task(self.found.wait_confirmed(items, CALL_S))
        while not task.done():
            self.pass_by(LOOK_S)
            await turns()
        return task.result()

    async def taken_after_s(self, items: list[Item]) -> float:
        """Sent again and again, as operators do; seconds until it is acknowledged."""
        began = self.loop.time()
        while not await self.call(items):
            assert self.loop.time() - began < 3 * ACK_MS / 1000.0, "it is never acknowledged"
            self.pass_by(0.2)
        return self.loop.time() - began


def test_an_order_that_holds_what_stood_before_is_acknowledged_at_its_bound_after_its_own_decision() -> None:
    """Seen: 64 routes were sent for 6.9 s before they were acknowledged, all controllers calm, while proxies
    were frozen and killed in turn. How: the order named services, too, which stood already. Cause: its
    decision was looked up by all that it names, and found only where nothing of it had stood; so its bound
    began anew with each call. Proof: the logs tell it decided with 67 items, and behind with 64."""

    async def test() -> None:
        there = Beside()
        there.found.items_changed([STANDING])
        there.pass_by(60.0)
        there.found.items_changed(ROUTES)
        bound_s = there.found.bound_s(LARGE_ORDER_ITEMS + 1)
        assert bound_s - LOOK_S <= await there.taken_after_s([STANDING, *ROUTES]) <= bound_s + CALL_S

    play(test, WHOLE_S)


def test_an_order_whose_parts_came_one_after_the_other_is_bound_from_the_last_of_them() -> None:
    async def test() -> None:
        there = Beside()
        there.pass_by(60.0)
        there.found.items_changed(ROUTES[:40])
        there.pass_by(1.0)
        there.found.items_changed(ROUTES[40:])
        bound_s = there.found.bound_s(LARGE_ORDER_ITEMS)
        assert bound_s - LOOK_S <= await there.taken_after_s(ROUTES) <= bound_s + CALL_S

    play(test, WHOLE_S)


def test_what_a_process_held_when_it_started_is_bound_from_its_start() -> None:
    async def test() -> None:
        there = Beside()
        there.pass_by(CONTACT_MS / 1000.0 + 60.0)
        assert await there.taken_after_s(ROUTES) <= CALL_S

    play(test, WHOLE_S)
