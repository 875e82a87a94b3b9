"""The first hop's links to the sidecars beside other upstreams, and the calls that are out on them.

A link is opened with the first call for its node. While it is not up, or just failed to come up, a call for
it ends at once as never sent, so that another upstream can have it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from waterworks.gauge import events
from waterworks.gauge.log import Gauge
from waterworks.penstock.frames import Head
from waterworks.penstock.link import Address, Link, connect
from waterworks.sluice.hop import Call, End, TurnedAway, Unclear, end_head, read_call, read_end
from waterworks.sluice.tailrace import Running, Tailrace
from waterworks.valve.passing import Why

AGAIN_S, AGAIN_MOST_S = 0.1, 1.0  # pauses after a link that did not come up
HOLD_S = 0.2  # calls wait so long for a first link; a connection to a dark machine hangs
IDLE = "idle"
IDLE_S = 20.0  # a link that carried nothing for so long is closed


class Out:
    """A call that the first hop has out."""

    __slots__ = ("call", "ended", "link", "number", "running")

    def __init__(self, call: Call, ended: Callable[[End], None]) -> None:
        self.call, self.ended = call, ended
        self.link: Outgoing | None = None
        self.number = 0
        self.running: Running | None = None  # where the second hop is this process


class Outgoing:
    """One node's link, as the first hop has it."""

    def __init__(self, passage: Passage, node: str, address: Address) -> None:
        self.passage, self.node, self.address = passage, node, address
        self.link: Link | None = None
        self.out: dict[int, Out] = {}
        self.waiting: list[Out] = []  # while it comes up
        self.coming: asyncio.Task[None] | None = None
        self.not_before, self.pause = 0.0, AGAIN_S
        self.used = 0.0
        self.down = False  # the last link was lost, or did not come up
        self.left = False  # the node is elsewhere now, or gone

    def send(self, out: Out) -> None:
        self.used = self.passage.loop.time()
        if self.link is not None and self.link.up:
            self._write(out)
        elif self.down:
            out.ended(TurnedAway(Why.DOWN))
        else:
            if not self.waiting:
                self.passage.loop.call_later(HOLD_S, self._release)
            self.waiting.append(out)
            if self.coming is None:
                self.coming = self.passage.loop.create_task(self._come_up())

    def _release(self) -> None:
        """Whoever still waits for the first link waits no more."""
        waiting, self.waiting = self.waiting, []
        if waiting:
            self._down()
        for out in waiting:
            out.ended(TurnedAway(Why.DOWN))

    def _down(self) -> None:
        if not self.down:
            self.down = True
            self.passage.reached(self.node, False)

    def _write(self, out: Out) -> None:
        assert self.link is not None
        self.passage.count += 1
        out.number = self.passage.count
        out.link = self
        self.out[out.number] = out
        self.link.expects += 1
        if len(self.out) == 1:
            self.link.heard_at = self.passage.loop.time()  # silence counts from here
        if not self.link.send(out.call.head(out.number), out.call.body):
            if self.out.pop(out.number, None) is not None:
                out.ended(TurnedAway(Why.DOWN))

    async def _come_up(self) -> None:
        link = await connect(self.address, lambda: Link(lambda _: None, self._frame, self._lost))
        self.coming = None
        if self.left:
            if link is not None:
                link.close("its node has another address now, or is gone")
            return
        if link is None or not link.up:
            self._again()
            self._release()
            return
        self.link, self.pause = link, AGAIN_S
        link.send({"t": "hello", "node": self.passage.node, "for": "calls"})
        waiting, self.waiting = self.waiting, []
        for out in waiting:
            if link.up:
                self._write(out)
            else:
                out.ended(TurnedAway(Why.DOWN))
        if self.down:
            self.down = False
            self.passage.reached(self.node, True)

    def _again(self) -> None:
        """Calls go elsewhere; the link is tried again by itself, as long as the node is known."""
        self._down()
        self.not_before = self.passage.loop.time() + self.pause
        self.pause = min(2.0 * self.pause, AGAIN_MOST_S)

    def _frame(self, link: Link, head: Head, body: bytes) -> None:
        if head.get("t") != "end":
            return
        try:
            number, end = head["n"], read_end(head, body)
        except (KeyError, TypeError, ValueError, AttributeError) as fault:
            link.close(f"unreadable end: {fault}")
            return
        out = self.out.pop(number, None)
        if out is not None:
            link.expects -= 1
            out.ended(end)

    def _lost(self, link: Link, why: str) -> None:
        if self.link is not link:
            return
        self.link = None
        out, self.out = self.out, {}
        if why != IDLE and not self.left:
            self._again()
        if out:
            self.passage.gauge.tell(events.CALLS_CUT, peer=self.node, calls=len(out), why=why)
        for item in out.values():
            item.ended(Unclear(why))

    def drop(self, out: Out) -> None:
        """Nobody waits for it any more."""
        if out in self.waiting:
            self.waiting.remove(out)
        elif self.out.pop(out.number, None) is not None and self.link is not None:
            self.link.expects -= 1
            self.link.send({"t": "drop", "n": out.number})

    def leave(self) -> None:
        """The node is elsewhere now, or gone. What is out may have run; what waits has not been sent."""
        self.left = True
        waiting, self.waiting = self.waiting, []
        for out in waiting:
            out.ended(TurnedAway(Why.DOWN))
        if self.link is not None:
            self.link.close("its node has another address now, or is gone")

    def tick(self, now: float) -> None:
        if self.link is not None:
            self.link.tick(now)
            if not self.out and now - self.used > IDLE_S and self.link is not None:
                self.link.close(IDLE)
        elif self.down and self.coming is None and now >= self.not_before:
            self.coming = self.passage.loop.create_task(self._come_up())


class Passage:
    """All of them. ``local`` is the second hop of this process, ``node`` this one's name. ``reached`` is told
    when a node can no longer be reached, and when it can again."""

    def __init__(
        self, node: str, local: Tailrace, gauge: Gauge, reached: Callable[[str, bool], None]
    ) -> None:
        self.node, self.local, self.gauge, self.reached = node, local, gauge, reached
        self.loop = asyncio.get_running_loop()
        self.count = 0
        self._links: dict[str, Outgoing] = {}
        self._leaving: set[str] = set()  # known no more, with calls still out

    def send(self, call: Call, node: str, address: Address | None, ended: Callable[[End], None]) -> Out:
        """``ended`` is called once, perhaps before this returns, unless the call is dropped."""
        out = Out(call, ended)
        if node == self.node:
            out.running = self.local.take(call, ended)
            return out
        link = self._links.get(node)
        if address is None:
            ended(TurnedAway(Why.DOWN))
            return out
        self._leaving.discard(node)
        if link is None or link.address != address:
            if link is not None:
                link.leave()
            known_down = link is not None and link.down
            link = self._links[node] = Outgoing(self, node, address)
            if known_down:
                self.reached(node, True)
        out.link = link
        link.send(out)
        return out

    def drop(self, out: Out) -> None:
        if out.running is not None:
            self.local.drop(out.running)
        elif out.link is not None:
            out.link.drop(out)

    def warm(self, node: str, address: Address) -> None:
        """Opens a link that a call will soon want; nothing where there is one, or one is tried already."""
        if node != self.node and node not in self._links:
            link = self._links[node] = Outgoing(self, node, address)
            link.used = self.loop.time()
            link.coming = self.loop.create_task(link._come_up())

    def reaches(self, node: str) -> bool:
        """As far as is known."""
        link = self._links.get(node)
        return link is None or not link.down

    def forget(self, node: str) -> None:
        """A node that is known no more, perhaps because others cannot hear it: what is out on its link may
        still be answered, and the link is left after that."""
        if node in self._links:
            self._leaving.add(node)
            self._leave()

    def _leave(self) -> None:
        for node in sorted(self._leaving):
            if not self._links[node].out:
                self._leaving.discard(node)
                self._links.pop(node).leave()

    def tick(self, now: float) -> None:
        self._leave()
        for link in list(self._links.values()):
            link.tick(now)


class Incoming:
    """The other end: calls that come from a first hop over one link."""

    MOST = 4096  # calls in hand over one link; more are turned away

    def __init__(self, link: Link, tailrace: Tailrace) -> None:
        self._link, self._tailrace = link, tailrace
        self._running: dict[int, Running] = {}

    def frame(self, head: Head, body: bytes) -> None:
        """A call, or the word that nobody waits for one. Raises KeyError, TypeError, ValueError."""
        number = int(head["n"])
        if head["t"] == "drop":
            running = self._running.pop(number, None)
            if running is not None:
                self._link.owes -= 1
                self._drop(running)
            return
        call = read_call(head, body)
        self._link.owes += 1
        size = len(call.body)
        if len(self._running) >= self.MOST or not self._tailrace.bodies.take(size):
            self._end(number, TurnedAway(Why.FULL), 0)
            return
        running = self._tailrace.take(call, lambda end: self._end(number, end, size))
        if running is not None and not running.done:
            self._running[number] = running

    def _end(self, number: int, end: End, size: int) -> None:
        self._running.pop(number, None)
        self._tailrace.bodies.give(size)
        self._link.owes -= 1
        head, body = end_head(number, end)
        self._link.send(head, body)

    def lost(self) -> None:
        """The link is down: its first hop has given these up, and may have sent them elsewhere. What waits
        does not run any more, and what runs is nobody's."""
        running, self._running = self._running, {}
        for item in running.values():
            self._drop(item)

    def _drop(self, running: Running) -> None:
        self._tailrace.drop(running)
        self._tailrace.bodies.give(len(running.call.body))
