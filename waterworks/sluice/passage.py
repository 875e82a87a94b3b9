"""The first hop's links to the sidecars beside other upstreams, and the calls that are out on them; and the
other end of such links.

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

from waterworks.gauge import events
from waterworks.gauge.log import Gauge
from waterworks.penstock.frames import Head
from waterworks.penstock.link import Address, Link, connect
from waterworks.sluice.calls import Event, Out, State, asked_for_ms, event_of
from waterworks.sluice.hop import Call, End, Returned, TurnedAway, Unclear, end_head, read_call, read_end
from waterworks.sluice.tailrace import Running, Tailrace
from waterworks.valve.passing import Why
from waterworks.valve.sessions import Kept, Session, Sessions, Verdict
from waterworks.weir.rendezvous import few

AGAIN_S, AGAIN_MOST_S = 0.1, 1.0  # pauses after a link that did not come up
HOLD_S = 0.2  # calls wait so long for a first link; a connection to a dark machine hangs
MOST_TOLD = 8  # control processes that the other end is told of
IDLE = "idle"
IDLE_S = 20.0  # a link that carried nothing for so long is closed
# Links that come up and say nothing, one after another: then it is taken for a program that tells no life.
UNPROVED_MOST = 3
# Calls of lost links that go on at once, and after each pause, over all links: second tries are no herd.
AT_ONCE, PACE_S = 8, 0.01


class Outgoing:
    """One node's link, as the first hop has it."""

    def __init__(self, passage: Passage, node: str, address: Address) -> None:
        self.passage, self.node, self.address = passage, node, address
        self.link: Link | None = None
        self.proved = False  # the link is up, and its other end is at work as far as can be known
        self.life: str | None = None  # of the second hop, as it told last
        self.unproved = 0  # links in a row that said nothing
        self.out: dict[int, Out] = {}  # on the link
        self.asking: dict[int, Out] = {}  # to be asked after over the next link
        self.waiting: list[Out] = []  # while it comes up
        self.coming: asyncio.Task[None] | None = None
        self.not_before, self.pause = 0.0, AGAIN_S
        self.used = self.opened = 0.0
        self.down = False  # the last link was lost, or did not come up
        self.left = False  # the node is elsewhere now, or gone

    def send(self, out: Out) -> None:
        self.used = self.passage.loop.time()
        if self.proved and self.link is not None and self.link.up:
            self._write(out)
        elif self.down:
            self._turn_away(out)
        else:
            if not self.waiting:
                self.passage.loop.call_later(HOLD_S, self._release)
            self.waiting.append(out)
            if self.coming is None and self.link is None:
                self._open()

    def _open(self) -> None:
        self.opened = self.passage.loop.time()
        self.coming = self.passage.loop.create_task(self._come_up())

    def _turn_away(self, out: Out) -> None:
        """Nothing of it has left."""
        if out.on(Event.LINK_DOWN):
            out.ended(TurnedAway(Why.DOWN))

    def _release(self) -> None:
        """Whoever still waits for the first link waits no more."""
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
        elif out.on(Event.LINK_UP):
            self._expect(out)

    def _expect(self, out: Out) -> None:
        assert self.link is not None
        self.out[out.number] = out
        self.link.expects += 1
        if len(self.out) == 1:
            self.link.heard_at = self.passage.loop.time()  # silence counts from here

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
        self.link = link
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
            self._ready()
        else:
            link.expects += 1  # its life: a process that stands still takes connections and answers nothing

    def _ready(self) -> None:
        assert self.link is not None
        self.proved, self.pause = True, AGAIN_S
        waiting, self.waiting = self.waiting, []
        for out in waiting:
            if self.link is not None and self.link.up:
                self._write(out)
            else:
                self._turn_away(out)
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
            self._asked(out)
            if out.on(event_of(end)):
                out.ended(end)

    # After a loss

    def _told(self, link: Link, life: str) -> None:
        """The second hop's life, once a link."""
        if self.link is not link:
            return
        self.life, self.unproved = life, 0
        if not self.proved:
            link.expects -= 1
            self._ready()
        for out in list(self.asking.values()):
            self.passage.in_turn(partial(self._ask, out))

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
        out, self.out = self.out, {}
        if why != IDLE and not self.left:
            self._again()
        for item in out.values():
            if item.on(Event.LINK_LOST):
                self._ask_back(item, why)
        if out:
            self.passage.gauge.tell(
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
        self, node: str, local: Tailrace, gauge: Gauge, reached: Callable[[str, bool], None], life: str = ""
    ) -> None:
        self.node, self.local, self.gauge, self.reached, self.life = node, local, gauge, reached, life
        self.loop = asyncio.get_running_loop()
        self.count = 0
        self.core: Callable[[], Mapping[str, Address]] = dict  # control processes as they are known here
        self._links: dict[str, Outgoing] = {}
        self._leaving: set[str] = set()  # known no more, with calls still out
        self._turns: deque[Callable[[], None]] = deque()  # of calls of lost links, each its turn
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

    def in_turn(self, work: Callable[[], None]) -> None:
        """Does it at once, or after those before it: when many links are lost in one moment, the further
        tries of all their calls, each within the budget, do not come in one moment too."""
        if self._free and not self._turns:
            self._free -= 1
            work()
        else:
            self._turns.append(work)
        if not self._pausing:
            self._pausing = True
            self.loop.call_later(PACE_S, self._next_turns)

    def _next_turns(self) -> None:
        self._free = AT_ONCE
        while self._turns and self._free:
            self._free -= 1
            self._turns.popleft()()
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


class Incoming:
    """The other end: calls that come from a first hop over one link. ``session`` has what outlasts the link,
    where the first hop tells its life."""

    MOST = 4096  # calls in hand over one link; more are turned away

    def __init__(
        self,
        link: Link,
        tailrace: Tailrace,
        sessions: Sessions[End] | None = None,
        session: Session[End] | None = None,
    ) -> None:
        self._link, self._tailrace = link, tailrace
        self._sessions, self._session = sessions, session
        self._running: dict[int, Running] = {}
        self._loop = asyncio.get_running_loop()

    def frame(self, head: Head, body: bytes) -> None:
        """A call, the word that nobody waits for one, or a question after one whose link was lost. Raises
        KeyError, TypeError, ValueError."""
        number = int(head["n"])
        if head["t"] == "drop":
            self._dropped(number)
            return
        session = self._session
        if head["t"] == "ask":
            if session is not None:
                self._asked(session, number, str(head["a"]))
            return
        call = read_call(head, body)
        if session is not None and not session.take(number):
            return  # a second copy, or barred: whoever sent it waits for no answer over this link
        self._link.owes += 1
        size = len(call.body)
        if len(self._running) >= self.MOST or not self._tailrace.bodies.take(size):
            self._end(number, TurnedAway(Why.FULL))
            return
        kept: Kept[End] | None = None
        if session is not None and call.effectful:
            kept = session.calls[number] = Kept(call.attempt)
        running = self._tailrace.take(call, lambda end: self._over(session, number, kept, end, size))
        if running is not None and not running.done:
            self._running[number] = running
            if kept is not None:
                kept.run, running.kept = (running, self), kept
                kept.waits = running.state is State.WAITING

    def _over(
        self, session: Session[End] | None, number: int, kept: Kept[End] | None, end: End, held: int
    ) -> None:
        """A call, with a body of ``held`` bytes, has its end: to the link on which it is waited for, if there
        is one, and held besides."""
        self._tailrace.bodies.give(held)
        here: Incoming | None = self
        if kept is not None and session is not None and self._sessions is not None:
            if kept.run is not None:
                here = kept.run[1]
            size = len(end.body) if isinstance(end, Returned) else 0
            self._sessions.end(session, number, end, size, self._loop.time())
        if here is not None:
            here._end(number, end)

    def _end(self, number: int, end: End) -> None:
        self._running.pop(number, None)
        self._link.owes -= 1
        head, body = end_head(number, end)
        self._link.send(head, body)

    def _dropped(self, number: int) -> None:
        running = self._running.pop(number, None)
        if running is None:
            return
        self._link.owes -= 1
        self._drop(running)
        if running.kept is not None and self._session is not None and self._sessions is not None:
            self._sessions.end(self._session, number, None, 0, self._loop.time())

    def _asked(self, session: Session[End], number: int, attempt: str) -> None:
        self._link.owes += 1
        verdict, kept = session.ask(number, attempt)
        if verdict is Verdict.PASSED and kept is not None:
            running, before = kept.run
            if before is not None and before is not self:
                before._leave(number)
            kept.run, self._running[number] = (running, self), running
            running.on(Event.ASKED_BACK)
            self._link.send({"t": "passed", "n": number})
            return
        if kept is not None and kept.run is not None:  # it waits
            running, before = kept.run
            if before is not None:
                before._leave(number)
            self._drop(running, Event.ASKED_BACK)
        if verdict is Verdict.NO:
            self._end(number, TurnedAway(Why.LOST))
        elif verdict is Verdict.DONE and kept is not None and kept.end is not None:
            self._end(number, kept.end)
        else:
            self._end(number, Unclear("it was here; its end is held no more"))

    def _leave(self, number: int) -> None:
        """Its first hop waits for it over another link now."""
        if self._running.pop(number, None) is not None:
            self._link.owes -= 1

    def lost(self) -> None:
        """The link is down. What may be repeated its first hop has given up, and may have sent elsewhere;
        what waits does not run any more. What is effectful and runs may be asked after."""
        running, self._running = self._running, {}
        session = self._session
        for number, item in running.items():
            kept = item.kept
            if session is None or kept is None:
                self._drop(item)
            elif session.lost(number) is not None:
                self._drop(item, Event.LINK_LOST)
            else:
                item.on(Event.LINK_LOST)
                kept.run = (item, None)
        if session is not None and self._sessions is not None:
            self._sessions.closed(session, self._loop.time())

    def _drop(self, running: Running, event: Event = Event.GIVEN_UP) -> None:
        done = running.done
        self._tailrace.drop(running, event)
        if not done:  # else its end has given its body's room back
            self._tailrace.bodies.give(len(running.call.body))
