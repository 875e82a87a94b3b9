"""The first hop's links to the sidecars beside other upstreams, and the calls that are out on them.

A link is opened with the first call for its node. While it is not up, or just failed to come up, a call for
it ends at once as never sent, so that another upstream can have it. Effectful calls whose link is lost are
asked after over the next one, where the second hop has told its life and is the same still
(`docs/design/calls.md`).
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Mapping
from functools import partial

from mesh.admission.final_check import Why
from mesh.data_plane.call_messages import Call, End, TurnedAway, Unclear, read_end
from mesh.data_plane.call_state import FIRST, Event, Out, State, asked_for_ms, event_of
from mesh.data_plane.upstream_dispatch import UpstreamDispatch
from mesh.event_log import events
from mesh.event_log.log import EventLog
from mesh.membership.rendezvous import few
from mesh.transport.frames import Head
from mesh.transport.link import Address, Link, connect

AGAIN_S, AGAIN_MOST_S = 0.1, 1.0  # pauses after a link that did not come up
HOLD_S = 0.2  # calls wait so long for a first link; a connection to a dark machine hangs
MOST_TOLD = 8  # control processes that the other end is told of
IDLE = "idle"
IDLE_S = 20.0  # a link that carried nothing for so long is closed
# Links that come up and say nothing, one after another: then it is taken for a program that tells no life.
UNPROVED_MOST = 3
LIFE_S = 0.1  # effectful calls wait so long for the life of a second hop that has told none yet
REFUSED_S = 0.3  # a connection that fails sooner was refused, or broke as it came up
AFTER_LINK_UP = FIRST[State.CHOSEN, Event.LINK_UP]
# Calls of lost links that go on at once, and after each pause, over all links: second tries are no herd.
AT_ONCE, PACE_S = 8, 0.01


class Outgoing:
    """One node's link, as the first hop has it."""

    def __init__(self, passage: Passage, node: str, address: Address) -> None:
        self.passage, self.node, self.address = passage, node, address
        self.link: Link | None = None
        self.proved = False  # the link is up, and its other end is at work as far as can be known
        self.life: str | None = None  # of the second hop, as it told last
        self.known = False  # it has told it on this link, or is taken for a program that tells none
        self.unproved = self.refused = 0  # links in a row that said nothing, that were refused
        self.out: dict[int, Out] = {}  # on the link
        self.asking: dict[int, Out] = {}  # to be asked after over the next link
        self.waiting: list[Out] = []  # while it comes up
        self.coming: asyncio.Task[None] | None = None
        self.not_before, self.pause = 0.0, AGAIN_S
        self.used = self.opened = 0.0
        self.down = False  # the last link was lost, or did not come up
        self.left = False  # the node is elsewhere now, or gone

    def send(self, out: Out) -> None:
        self.used = out.sent = self.passage.loop.time()
        if self._may_write(out):
            self._write(out)
        elif self.down:
            self._turn_away(out)
        else:
            if not self.waiting:
                self.passage.loop.call_later(HOLD_S, self._release)
            self.waiting.append(out)
            if self.coming is None and self.link is None:
                self._open()

    def _may_write(self, out: Out) -> bool:
        """What is effectful waits until it is known of whom it could be asked for."""
        up = self.proved and self.link is not None and self.link.up
        return up and (self.known or not out.call.effectful)

    def _open(self) -> None:
        self.opened = self.passage.loop.time()
        self.coming = self.passage.loop.create_task(self._come_up())

    def _turn_away(self, out: Out) -> None:
        """Nothing of it has left."""
        if out.on(Event.LINK_DOWN):
            out.ended(TurnedAway(Why.DOWN))

    def _release(self) -> None:
        """Whoever still waits for the first link waits no more."""
        if self.proved:
            return  # the link is up: who waits for its life goes with that, or after LIFE_S
        waiting, self.waiting = self.waiting, []
        if waiting:
            self._down()
        for out in waiting:
            self._turn_away(out)

    def _down(self) -> None:
        if not self.down:
            self.down = True
            self.passage.reached(self.node, False)

    def _write(self, out: Out) -> None:
        assert self.link is not None
        self.passage.count += 1  # over all links of this life, and never used again
        out.number, out.sent = self.passage.count, self.passage.loop.time()
        if not self.link.send(out.call.head(out.number), out.call.body):
            self._turn_away(out)
        else:
            out.state = AFTER_LINK_UP
            self._expect(out)

    def _expect(self, out: Out) -> None:
        assert self.link is not None
        self.out[out.number] = out
        self.link.expects += 1
        if len(self.out) == 1:
            self.link.heard_at = self.passage.loop.time()  # silence counts from here

    def _write_waiting(self) -> None:
        waiting, self.waiting = self.waiting, []
        for out in waiting:
            if self._may_write(out):
                out.call.wait((self.passage.loop.time() - out.sent) * 1000.0)
                self._write(out)
            elif self.link is not None and self.link.up:
                self.waiting.append(out)
            else:
                self._turn_away(out)

    async def _come_up(self) -> None:
        began = self.passage.loop.time()
        link = await connect(self.address, lambda: Link(lambda _: None, self._frame, self._lost))
        self.coming = None
        if self.left:
            if link is not None:
                link.close("its node has another address now, or is gone")
            return
        if link is None or not link.up:
            self._again()
            self._release()
            self._refused(self.passage.loop.time() - began)
            return
        self.link, self.known, self.refused = link, False, 0
        core = [f"{host}:{port}" for host, port in self.passage.core().values()]
        link.send(
            {
                "t": "hello",
                "node": self.passage.node,
                "for": "calls",
                "life": self.passage.life,
                "core": few(self.node, core, MOST_TOLD),
            }
        )
        if self.life is None:
            self.passage.loop.call_later(LIFE_S, self._no_life, link)
            self._ready()
        else:
            link.expects += 1  # its life: a process that stands still takes connections and answers nothing

    def _refused(self, took_s: float) -> None:
        """A link did not come up. Refused twice in a row: nobody listens, that life is over."""
        self.refused = self.refused + 1 if took_s < REFUSED_S else 0
        if self.refused == 1 and self.asking:
            self._open()
        elif self.refused > 1:
            for out in list(self.asking.values()):
                self.passage.in_turn(partial(self._unclear, out, "nobody is there"))

    def _no_life(self, link: Link) -> None:
        if self.link is link and not self.known:
            self.known = True
            self._write_waiting()

    def _ready(self) -> None:
        assert self.link is not None
        self.proved, self.pause = True, AGAIN_S
        self._write_waiting()
        if self.down:
            self.down = False
            self.passage.reached(self.node, True)

    def _again(self) -> None:
        """Calls go elsewhere; the link is tried again by itself, as long as the node is known."""
        self._down()
        self.not_before = self.passage.loop.time() + self.pause
        self.pause = min(2.0 * self.pause, AGAIN_MOST_S)

    def _frame(self, link: Link, head: Head, body: bytes) -> None:
        kind = head.get("t")
        if kind == "life":
            self._told(link, str(head.get("life")))
        if kind != "end" and kind != "passed":
            return
        try:
            number = head["n"]
            end = read_end(head, body) if kind == "end" else None
        except (KeyError, TypeError, ValueError, AttributeError) as fault:
            link.close(f"unreadable {kind}: {fault}")
            return
        if end is None:
            out = self.out.get(number)
            if out is not None and out.on(Event.PASSED):
                self._asked(out)
            return
        out = self.out.pop(number, None)
        if out is not None:
            link.expects -= 1
            if out.asking is not None:
                self._asked(out)
            state = FIRST.get((out.state, event_of(end)))
            if state is not None:
                out.state = state
                out.ended(end)

    # After a loss

    def _told(self, link: Link, life: str) -> None:
        """The second hop's life, once a link."""
        if self.link is not link:
            return
        self.life, self.unproved, self.known = life, 0, True
        if self.proved:
            self._write_waiting()
        else:
            link.expects -= 1
            self._ready()
        for out in list(self.asking.values()):
            self.passage.in_turn(partial(self._ask, out), question=True)

    def _ask(self, out: Out) -> None:
        link = self.link
        if link is None or not self.proved or out.number not in self.asking:
            return  # over the next link, or never
        if out.life != self.life:
            self._unclear(out, "another life is there")
        elif self.asking.pop(out.number, None) is not None:
            self._expect(out)
            link.send({"t": "ask", "n": out.number, "a": out.call.attempt})

    def _asked(self, out: Out) -> None:
        """What became of it is known, or where it is."""
        if out.asking is not None:
            out.asking.cancel()
            out.asking = None

    def _lost(self, link: Link, why: str) -> None:
        if self.link is not link:
            return
        if not self.proved:
            self.unproved += 1
            if self.unproved >= UNPROVED_MOST:
                self.life = None
        self.link, self.proved = None, False
        self._release()
        out, self.out = self.out, {}
        if why != IDLE and not self.left:
            self._again()
        for item in out.values():
            if item.on(Event.LINK_LOST):
                self._ask_back(item, why)
        if out:
            self.passage.event_log.tell(
                events.CALLS_CUT, peer=self.node, calls=len(out), asked=len(self.asking), why=why
            )
        if self.asking and self.coming is None and self.passage.loop.time() - self.opened > AGAIN_S:
            self._open()

    def _ask_back(self, out: Out, why: str) -> None:
        """A call whose link is lost: asked after over the next one where that can tell anything in time."""
        now, out.life = self.passage.loop.time(), self.life
        wait_ms = asked_for_ms(out.call, (now - out.sent) * 1000.0)
        if self.left or out.life is None or wait_ms <= 0.0:
            self._asked(out)
            self.passage.in_turn(partial(self._unclear, out, why))
            return
        self.asking[out.number] = out
        if out.asking is None:
            out.asking = self.passage.loop.call_later(wait_ms / 1000.0, self._unclear, out, why)

    def _unclear(self, out: Out, why: str) -> None:
        """Nothing more is done to learn what became of it."""
        self._asked(out)
        self.asking.pop(out.number, None)
        if self.out.pop(out.number, None) is not None and self.link is not None:
            self.link.expects -= 1
        if out.on(Event.TIME_OVER):
            out.ended(Unclear(why))

    def drop(self, out: Out) -> None:
        """Nobody waits for it any more."""
        if not out.on(Event.GIVEN_UP):
            return
        self._asked(out)
        self.asking.pop(out.number, None)
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
            self._turn_away(out)
        for out in list(self.asking.values()):
            self._unclear(out, "its node has another address now, or is gone")
        if self.link is not None:
            self.link.close("its node has another address now, or is gone")

    def tick(self, now: float) -> None:
        if self.link is not None:
            self.link.tick(now)
            if not self.out and not self.asking and now - self.used > IDLE_S and self.link is not None:
                self.link.close(IDLE)
        elif self.down and self.coming is None and now >= self.not_before:
            self._open()


class Passage:
    """All of them. ``local`` is the second hop of this process, ``node`` this one's name. ``reached`` is told
    when a node can no longer be reached, and when it can again. ``life`` is this process's own, unlike any
    other's: the calls of a life are numbered upwards, and no number is ever used again."""

    def __init__(
        self,
        node: str,
        local: UpstreamDispatch,
        event_log: EventLog,
        reached: Callable[[str, bool], None],
        life: str = "",
    ) -> None:
        self.node, self.local, self.event_log, self.reached, self.life = node, local, event_log, reached, life
        self.loop = asyncio.get_running_loop()
        self.count = 0
        self.core: Callable[[], Mapping[str, Address]] = dict  # control processes as they are known here
        self._links: dict[str, Outgoing] = {}
        self._leaving: set[str] = set()  # known no more, with calls still out
        self._turns: deque[Callable[[], None]] = deque()  # of calls of lost links, each its turn
        self._questions: deque[Callable[[], None]] = deque()  # before those: their time to ask in is short
        self._free = AT_ONCE  # turns before the next pause
        self._pausing = False

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

    def in_turn(self, work: Callable[[], None], question: bool = False) -> None:
        """Does it at once, or after those before it: when many links are lost in one moment, the further
        tries of all their calls, each within the budget, do not come in one moment too. A ``question`` waits
        behind other questions alone."""
        line = self._questions if question else self._turns
        if self._free and not (self._questions or (line is self._turns and self._turns)):
            self._free -= 1
            work()
        else:
            line.append(work)
        if not self._pausing:
            self._pausing = True
            self.loop.call_later(PACE_S, self._next_turns)

    def _next_turns(self) -> None:
        self._free = AT_ONCE
        while (line := self._questions or self._turns) and self._free:
            self._free -= 1
            line.popleft()()
        self._pausing = self._free < AT_ONCE
        if self._pausing:
            self.loop.call_later(PACE_S, self._next_turns)

    def warm(self, node: str, address: Address) -> None:
        """Opens a link that a call will soon want; nothing where there is one, or one is tried already."""
        if node != self.node and node not in self._links:
            link = self._links[node] = Outgoing(self, node, address)
            link.used = self.loop.time()
            link._open()

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
            if not self._links[node].out and not self._links[node].asking:
                self._leaving.discard(node)
                self._links.pop(node).leave()

    def tick(self, now: float) -> None:
        self._leave()
        for link in list(self._links.values()):
            link.tick(now)
