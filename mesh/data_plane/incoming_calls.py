"""The second hop's end of a link: calls that come from a first hop, and its questions after those that were
out on a link before."""

from __future__ import annotations

import asyncio

from mesh.admission.call_sessions import Kept, Session, Sessions, Verdict
from mesh.admission.final_check import Why
from mesh.data_plane.call_messages import End, Returned, TurnedAway, Unclear, end_head, read_call
from mesh.data_plane.call_state import Event, State
from mesh.data_plane.upstream_dispatch import OVER, Running, UpstreamDispatch
from mesh.transport.frames import Head
from mesh.transport.link import Link


class Incoming:
    """The other end: calls that come from a first hop over one link. ``session`` has what outlasts the link,
    where the first hop tells its life."""

    MOST = 4096  # calls in hand over one link; more are turned away

    def __init__(
        self,
        link: Link,
        upstream_dispatch: UpstreamDispatch,
        sessions: Sessions[End] | None = None,
        session: Session[End] | None = None,
    ) -> None:
        self._link, self._upstream_dispatch = link, upstream_dispatch
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
        if len(self._running) >= self.MOST or not self._upstream_dispatch.bodies.take(size):
            self._end(number, TurnedAway(Why.FULL))
            return
        if session is None or not call.effectful:
            running = self._upstream_dispatch.take(call, lambda end: self._ended(number, end, size))
            if running is not None and running.state not in OVER:
                self._running[number] = running
            return
        kept: Kept[End] = Kept(call.attempt)
        session.calls[number] = kept
        running = self._upstream_dispatch.take(call, lambda end: self._over(session, number, kept, end, size))
        if running is not None and running.state not in OVER:
            self._running[number] = running
            kept.run, running.kept = (running, self), kept
            kept.waits = running.state is State.WAITING

    def _ended(self, number: int, end: End, held: int) -> None:
        """A call with a body of ``held`` bytes has its end."""
        self._upstream_dispatch.bodies.give(held)
        self._end(number, end)

    def _over(self, session: Session[End], number: int, kept: Kept[End], end: End, held: int) -> None:
        """So has one that can be asked for: to the link on which it is waited for, if there is one, and held
        besides."""
        self._upstream_dispatch.bodies.give(held)
        here: Incoming | None = self if kept.run is None else kept.run[1]
        if self._sessions is not None:
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
        self._upstream_dispatch.drop(running, event)
        if not done:  # else its end has given its body's room back
            self._upstream_dispatch.bodies.give(len(running.call.body))
