"""Acknowledgement of a large order that is not in force everywhere: at its time bound after its decision,
however often it is sent and whichever of its items were in force before."""

from __future__ import annotations

import asyncio
import io
from types import SimpleNamespace
from typing import cast

from mesh.control_plane.confirmations import LARGE_WRITE_ITEMS, Confirmations
from mesh.data_plane.membership import PROXY
from mesh.dissemination.peers import Channels
from mesh.event_log.log import EventLog
from mesh.replication.items import Item
from rigs.mesh_peers import advance_clock, run_async_test, run_ready_callbacks

ACK_MS, CONTACT_MS = 4000.0, 3000.0
CALL_TIMEOUT_S = 0.85  # a caller gets an answer within this time
STEP_S = 0.1
TEST_TIMEOUT_S = 200.0


def item(name: str, source: str, number: int) -> Item:
    return Item("route", name, 1, {}, source, number)


ROUTES = [item(f"r{at}", "c1", at + 1) for at in range(LARGE_WRITE_ITEMS)]
EARLIER_ITEM = item("service", "c0", 7)  # decided long before, and part of the order


class ConfirmationsRig:
    """The confirmations of a control process with one live proxy, which confirms nothing."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.link = SimpleNamespace(up=True, last_received_at=self.loop.time())
        channel = SimpleNamespace(node="p", peer_source="p.1", peer_hello={"role": PROXY}, link=self.link)
        channels = cast(Channels, SimpleNamespace(open=[channel]))
        self.confirmations = Confirmations(ACK_MS, CONTACT_MS, {}, channels, EventLog("c", io.StringIO()))
        self.confirmations.tick(self.loop.time())  # the proxy's incarnation is known from now on

    def advance(self, seconds: float) -> None:
        advance_clock(seconds)
        self.link.last_received_at = self.loop.time()
        self.confirmations.tick(self.loop.time())

    async def call(self, items: list[Item]) -> bool:
        """Waits as one call does; the proxy stays live meanwhile."""
        task = self.loop.create_task(self.confirmations.wait_confirmed(items, CALL_TIMEOUT_S))
        while not task.done():
            self.advance(STEP_S)
            await run_ready_callbacks()
        return task.result()

    async def acknowledged_after_s(self, items: list[Item]) -> float:
        """Sends the order until it is acknowledged, as operators do; returns the seconds that took."""
        started_at = self.loop.time()
        while not await self.call(items):
            assert self.loop.time() - started_at < 3 * ACK_MS / 1000.0, "the order is never acknowledged"
            self.advance(0.2)
        return self.loop.time() - started_at


def test_an_order_that_holds_what_stood_before_is_acknowledged_at_its_bound_after_its_own_decision() -> None:
    """An order of 64 routes was sent for 6.9 s before it was acknowledged, while proxies were frozen and
    killed. It also named services that were in force already (67 items in all, of which 64 were new). Its
    decision time was looked up for all its items together and found only if none had been in force, so the
    time bound started again with each call."""

    async def test() -> None:
        rig = ConfirmationsRig()
        rig.confirmations.items_changed([EARLIER_ITEM])
        rig.advance(60.0)
        rig.confirmations.items_changed(ROUTES)
        bound_s = rig.confirmations.bound_s(LARGE_WRITE_ITEMS + 1)
        assert (
            bound_s - STEP_S
            <= await rig.acknowledged_after_s([EARLIER_ITEM, *ROUTES])
            <= bound_s + CALL_TIMEOUT_S
        )

    run_async_test(test, TEST_TIMEOUT_S)


def test_an_order_whose_parts_came_one_after_the_other_is_bound_from_the_last_of_them() -> None:
    async def test() -> None:
        rig = ConfirmationsRig()
        rig.advance(60.0)
        rig.confirmations.items_changed(ROUTES[:40])
        rig.advance(1.0)
        rig.confirmations.items_changed(ROUTES[40:])
        bound_s = rig.confirmations.bound_s(LARGE_WRITE_ITEMS)
        assert bound_s - STEP_S <= await rig.acknowledged_after_s(ROUTES) <= bound_s + CALL_TIMEOUT_S

    run_async_test(test, TEST_TIMEOUT_S)


def test_what_a_process_held_when_it_started_is_bound_from_its_start() -> None:
    async def test() -> None:
        rig = ConfirmationsRig()
        rig.advance(CONTACT_MS / 1000.0 + 60.0)
        assert await rig.acknowledged_after_s(ROUTES) <= CALL_TIMEOUT_S

    run_async_test(test, TEST_TIMEOUT_S)
