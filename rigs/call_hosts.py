"""Hosts and surroundings of calls in the small, a state at a time; `rigs/call_model.py` explores them."""

from __future__ import annotations

from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any, NamedTuple, cast

from hareloom import requests
from hareloom.interface import NEVER_RAN, Effect, Outcome
from mesh.admission.call_sessions import CallSessions, Session, SessionCall, Verdict
from mesh.admission.final_check import RejectReason
from mesh.data_plane import call_messages
from mesh.data_plane import call_state as table
from mesh.data_plane.call_state import ClientRequest, Event, Failed, Refused, State, event_of, outcome_of
from statecheck.model import State as Whole

NO, UNCLEAR = call_messages.NotExecuted(RejectReason.LOST), call_messages.Unclear("lost")
FULL = call_messages.NotExecuted(RejectReason.FULL)
TRIES = 2
OVER = frozenset({State.ENDED, State.WITHDRAWN})


def answer(call: int) -> call_messages.UpstreamResponse:
    """Of the upstream to that call; its body says whose it is."""
    return call_messages.UpstreamResponse(200, cast(Any, ()), b"%d" % call, True)


class Attempt(NamedTuple):
    number: int
    second: int
    state: State
    life: int  # of the second hop, as far as it is known
    outcome: Outcome | None = None


class Call(NamedTuple):
    told: str  # new, open; then what its client got
    tries: tuple[Attempt, ...] = ()


class Link(NamedTuple):
    """One connection. ``near`` and ``far``: as its ends have it. Frames on their way stand in order."""

    id: int
    first: int
    life: int  # of the first hop
    second: int
    near: bool
    far: bool
    there: tuple[Any, ...]
    back: tuple[Any, ...]
    met: bool  # the second has its hello
    proved: bool  # the first has the second's life
    doubled: tuple[Any, ...] = ()  # a frame that comes once more on a later link


class Run(NamedTuple):
    life: tuple[int, int]  # of whose session
    number: int
    call: int
    state: State
    link: int  # where its end is waited for; 0: nowhere
    strays: tuple[int, ...] = ()  # calls whose second answers come before its own on its connection


class Second(NamedTuple):
    life: int = 1
    sessions: tuple[Any, ...] = ()
    runs: tuple[Run, ...] = ()
    idle: tuple[int, ...] | None = (
        None  # a connection that stands idle, and second answers on their way on it
    )
    ids: frozenset[str] = frozenset()  # that were here of late


class Left(NamedTuple):
    """Troubles that may still come."""

    losses: int = 0
    crashes: int = 0  # of first hops
    falls: int = 0  # of second hops
    doubles: int = 0  # frames that come once more on the next link
    strays: int = 0  # answers that come twice
    drops: int = 0  # clients that leave, or whose time is over, while something is out
    forgets: int = 0  # of ends that were held
    turns: int = 0  # calls that a second hop turns away though it could take them


@dataclass(frozen=True, slots=True)
class Size:
    homes: tuple[int, ...]  # the first hop of each call
    seconds: int
    left: Left
    ids: tuple[str, ...] = ("a", "b")
    held_bytes: int = 100
    late: tuple[int, ...] = ()  # calls that are sent only after others have ended
    ends: bool = True  # calls may end at any time, as their deadline says; else only when nothing is out


@dataclass(slots=True)
class World:
    """One state, open for a step."""

    size: Size
    firsts: list[tuple[int, int]]  # life, last number
    calls: list[Call]
    links: list[Link]
    seconds: list[Second]
    begun: list[int]
    left: dict[str, int]
    broken: str = ""
    lives: list[tuple[int, ...]] = field(default_factory=list)  # of seconds, as each first knows them

    @classmethod
    def of(cls, size: Size, state: Whole) -> World:
        firsts, calls, links, seconds, begun, left, _, lives = state
        return cls(
            size,
            list(firsts),
            list(calls),
            list(links),
            list(seconds),
            list(begun),
            left._asdict(),
            "",
            list(lives),
        )

    def state(self) -> Whole:
        return (
            tuple(self.firsts),
            tuple(one if one.told in ("new", "open") else Call(one.told) for one in self.calls),
            tuple(sorted(one for one in self.links if one.near or one.far)),
            tuple(self.seconds),
            tuple(self.begun),
            Left(**self.left),
            self.broken,
            tuple(self.lives),
        )

    def at(self, id: int) -> int:
        """Where a link stands, -1 where it is over."""
        return next((at for at, one in enumerate(self.links) if one.id == id), -1)

    def say(self, id: int, frame: Any) -> None:
        """From the second hop over a link, if that is up there."""
        at = self.at(id)
        if at >= 0 and self.links[at].far:
            one = self.links[at]
            if one.near:
                self.links[at] = one._replace(back=(*one.back, frame))

    # The first hop

    def up(self, first: int, second: int) -> Link | None:
        return next(
            (one for one in self.links if one.near and (one.first, one.second) == (first, second)), None
        )

    def put(self, link: Link, frame: Any) -> None:
        at = self.at(link.id)
        one = self.links[at]
        if one.far:
            self.links[at] = one._replace(there=(*one.there, frame))

    def attempt(self, call: int, at: int, **fields: Any) -> Attempt:
        one = self.calls[call]
        tries = list(one.tries)
        tries[at] = tries[at]._replace(**fields)
        self.calls[call] = one._replace(tries=tuple(tries))
        return tries[at]

    def on(self, call: int, at: int, event: Event) -> bool:
        state = table.FIRST_HOP_TABLE.get((self.calls[call].tries[at].state, event))
        if state is not None:
            self.attempt(call, at, state=state)
        return state is not None

    def found(self, first: int, number: int) -> tuple[int, int] | None:
        """The call and try of a number that is out."""
        for call, one in enumerate(self.calls):
            if self.size.homes[call] == first:
                for at, item in enumerate(one.tries):
                    if item.number == number and item.state in (State.SENT, State.UNCLEAR):
                        return call, at
        return None

    def ended(self, call: int, at: int, end: call_messages.End) -> None:
        """As `ServiceBalancer._on_call_end`."""
        if not self.on(call, at, event_of(end) if end is not UNCLEAR else Event.NO_ANSWER):
            return
        outcome = outcome_of(end)
        self.attempt(call, at, outcome=outcome)
        if outcome is Outcome.OK and self.calls[call].told == "open":
            assert isinstance(end, call_messages.UpstreamResponse)
            self.tell(call, "served " + end.body.decode())

    def tell(self, call: int, words: str) -> None:
        """Its client has that end. What is still out has been cut, or is by whoever calls."""
        self.calls[call] = self.calls[call]._replace(told=words)

    def open_tries(self, call: int) -> list[int]:
        tries = self.calls[call].tries
        return [at for at, item in enumerate(tries) if item.state not in OVER]

    def may_send(self, call: int) -> bool:
        """By the shipped rule of the decisions."""
        one = self.calls[call]
        held = SimpleNamespace(
            open=one.told == "open" and not self.open_tries(call),
            streaming=False,
            attempts=[
                SimpleNamespace(may_have_run=item.outcome not in NEVER_RAN, sent_at=0.0) for item in one.tries
            ],
            max_attempts=TRIES,
            klass=SimpleNamespace(effect=Effect.UNSAFE),
        )
        settings = SimpleNamespace(limits=None)
        return bool(
            requests.may_send(cast(Any, settings), 0.0, cast(Any, held), cast(Any, SimpleNamespace()))
        )

    def finish(self, call: int) -> None:
        """Its client is answered now, whatever is out."""
        one = self.calls[call]
        nothing = cast(Any, None)
        ask = ClientRequest("", nothing, "", nothing, [], "", "", 0.0, 0.0, lambda final: None)
        ask.outgoing = [cast(Any, item) if item.state not in OVER else None for item in one.tries]
        ask.unclear = any(
            item.outcome is not None and item.outcome not in NEVER_RAN and item.outcome is not Outcome.OK
            for item in one.tries
        )
        final = ask.client_result(False, 0.0)
        assert isinstance(final, Refused | Failed)
        self.cut(call)
        self.tell(call, "503" if isinstance(final, Refused) else "502")

    def cut(self, call: int) -> None:
        first = self.size.homes[call]
        for at in self.open_tries(call):
            item = self.calls[call].tries[at]
            if self.on(call, at, Event.GIVEN_UP):
                link = self.up(first, item.second)
                if link is not None and item.state is State.SENT:
                    self.put(link, ("drop", item.number))

    def lose(self, link: Link) -> None:
        """The first hop's end of it is gone: closed for silence, or reset."""
        at = self.at(link.id)
        self.links[at] = link._replace(near=False, back=(), proved=False)
        life = self.lives[link.first][link.second]
        for call, one in enumerate(self.calls):
            if self.size.homes[call] != link.first:
                continue
            for turn, item in enumerate(one.tries):
                if item.second != link.second or item.state not in (State.SENT, State.UNCLEAR):
                    continue
                if self.on(call, turn, Event.LINK_LOST):
                    self.attempt(call, turn, life=item.life or life)
                    if not life:
                        self.unclear(call, turn)

    def same(self, life: int, told: int) -> bool:
        """Whether the second hop that had a call is the one that is there now; as `PeerLink._query`."""
        return life == told

    def unclear(self, call: int, at: int) -> None:
        if self.on(call, at, Event.TIME_OVER):
            self.attempt(call, at, outcome=outcome_of(UNCLEAR))

    def hear(self, link: Link) -> None:
        """The first hop reads the next frame."""
        at = self.at(link.id)
        frame, *rest = link.back
        self.links[at] = link = link._replace(back=tuple(rest))
        if frame[0] == "life":
            lives = list(self.lives[link.first])
            lives[link.second] = frame[1]
            self.lives[link.first] = tuple(lives)
            self.links[at] = link._replace(proved=True)
            return
        found = self.found(link.first, frame[1])
        if found is None:
            return
        if frame[0] == "passed":
            self.on(*found, Event.PASSED)
        else:
            self.ended(*found, frame[2])

    # The second hop

    def book(self, second: int) -> CallSessions[call_messages.End]:
        """Its sessions, as the shipped code has them."""
        book: CallSessions[call_messages.End] = CallSessions(self.size.held_bytes)
        for life, highest, forgotten, entries in self.seconds[second].sessions:
            session: Session[call_messages.End] = Session(life)
            session.highest, session.forgotten = highest, forgotten
            for number, call, waits, done, end in entries:
                session.calls[number] = SessionCall(self.size.ids[call], call, waits, end, done)
                if done:
                    size = len(end.body) if isinstance(end, call_messages.UpstreamResponse) else 0
                    book._ends.append((0.0, session, number, size))
                    book.held_bytes += size
            book.by_incarnation[life] = session
        return book

    def shelve(
        self, second: int, book: CallSessions[call_messages.End], calls: dict[tuple[Any, int], int]
    ) -> None:
        kept = tuple(
            (
                life,
                session.highest,
                session.forgotten,
                tuple(
                    (number, calls[life, number], item.waiting and not item.done, item.done, item.end)
                    for number, item in sorted(session.calls.items())
                ),
            )
            for life, session in sorted(book.by_incarnation.items())
        )
        self.seconds[second] = self.seconds[second]._replace(sessions=kept)

    def owners(self, second: int) -> dict[tuple[Any, int], int]:
        """Which call stands behind a number of a session."""
        return {
            (life, number): call
            for life, _, _, entries in self.seconds[second].sessions
            for number, call, *_ in entries
        }

    def run(self, second: int, at: int, **fields: Any) -> Run:
        runs = list(self.seconds[second].runs)
        runs[at] = runs[at]._replace(**fields)
        self.seconds[second] = self.seconds[second]._replace(runs=tuple(runs))
        return runs[at]

    def end_run(self, second: int, at: int) -> Run:
        runs = list(self.seconds[second].runs)
        gone = runs.pop(at)
        self.seconds[second] = self.seconds[second]._replace(runs=tuple(runs))
        return gone

    def run_at(self, second: int, life: Any, number: int) -> int:
        return next(
            (
                at
                for at, one in enumerate(self.seconds[second].runs)
                if (one.life, one.number) == (life, number)
            ),
            -1,
        )

    def key(self, link: Link) -> tuple[int, int]:
        """Of the session of whoever opened it."""
        return link.first, link.life

    def read(self, link: Link) -> None:
        """The second hop reads the next frame."""
        at = self.at(link.id)
        frame, *rest = link.there
        self.links[at] = link = link._replace(there=tuple(rest))
        book, calls = self.book(link.second), self.owners(link.second)
        life = self.key(link)
        if frame[0] == "hello":
            book.open(cast(str, life))
            self.links[at] = link._replace(met=True)
            self.shelve(link.second, book, calls)
            self.say(link.id, ("life", self.seconds[link.second].life))
            return
        session = book.by_incarnation[cast(str, life)]
        number = frame[1]
        if frame[0] == "call":
            if session.accept(number):
                session.calls[number] = SessionCall(self.size.ids[frame[2]], frame[2])
                calls[life, number] = frame[2]
                waiting = table.SECOND_HOP_TABLE[State.READ, Event.NO_PLACE]
                run = Run(life, number, frame[2], waiting, link.id)
                self.seconds[link.second] = self.seconds[link.second]._replace(
                    runs=(*self.seconds[link.second].runs, run)
                )
        elif frame[0] == "drop":
            turn = self.run_at(link.second, life, number)
            if turn >= 0 and self.seconds[link.second].runs[turn].link == link.id:
                self.withdraw(link.second, turn, Event.GIVEN_UP)
                book.record_end(session, number, None, 0, 0.0)
        else:
            self.asked(link, book, session, number, self.size.ids[frame[2]])
        self.shelve(link.second, book, calls)

    def asked(
        self, link: Link, book: Any, session: Session[call_messages.End], number: int, attempt: str
    ) -> None:
        """As `IncomingCalls._on_query`."""
        verdict, kept = session.ask(number, attempt)
        turn = self.run_at(link.second, session.incarnation, number)
        if verdict is Verdict.PASSED:
            self.run(link.second, turn, link=link.id)
            self.say(link.id, ("passed", number))
            return
        if kept is not None and turn >= 0:
            self.withdraw(link.second, turn, Event.ASKED_BACK)
        if verdict is Verdict.NO:
            self.say(link.id, ("end", number, NO))
        elif verdict is Verdict.DONE and kept is not None:
            self.say(link.id, ("end", number, kept.end))
        else:
            self.say(link.id, ("end", number, UNCLEAR))

    def withdraw(self, second: int, at: int, event: Event) -> None:
        run = self.seconds[second].runs[at]
        if table.SECOND_HOP_TABLE.get((run.state, event)) is State.WITHDRAWN:
            self.end_run(second, at)

    def unmet(self, link: Link) -> None:
        """The second hop's end of it is gone. As `IncomingCalls.link_lost`."""
        at = self.at(link.id)
        self.links[at] = link._replace(far=False, there=())
        book, calls = self.book(link.second), self.owners(link.second)
        for run in self.seconds[link.second].runs:
            if run.link != link.id:
                continue
            turn = self.run_at(link.second, run.life, run.number)
            if book.by_incarnation[cast(str, run.life)].on_link_lost(run.number) is not None:
                self.withdraw(link.second, turn, Event.LINK_LOST)
            else:
                self.run(link.second, turn, link=0)
        self.shelve(link.second, book, calls)

    def over(self, second: int, at: int, end: call_messages.End) -> None:
        """A run has its end there."""
        run = self.seconds[second].runs[at]
        if (run.state, event_of(end)) not in table.SECOND_HOP_TABLE:
            return
        self.end_run(second, at)
        book, calls = self.book(second), self.owners(second)
        session = book.by_incarnation[cast(str, run.life)]
        if run.number in session.calls:
            size = len(end.body) if isinstance(end, call_messages.UpstreamResponse) else 0
            book.record_end(session, run.number, end, size, 0.0)
        self.shelve(second, book, calls)
        if run.link:
            self.say(run.link, ("end", run.number, end))

    def place(self, second: int, at: int) -> None:
        """It goes on to the upstream, on the idle connection where that may be."""
        there = self.seconds[second]
        run = there.runs[at]
        state = table.SECOND_HOP_TABLE.get((run.state, Event.PLACE))
        if state is None:
            return
        if run.link == 0:
            self.broken = "nobody's: a call whose first hop is gone was passed on"
        attempt = self.size.ids[run.call]
        strays: tuple[int, ...] = ()
        idle = there.idle
        if idle is not None and self.may_use(there, attempt):
            strays, idle = idle, None
        self.seconds[second] = there._replace(idle=idle, ids=there.ids | {attempt})
        self.run(second, at, state=state, strays=strays)
        book, calls = self.book(second), self.owners(second)
        kept = book.by_incarnation[cast(str, run.life)].calls.get(run.number)
        if kept is not None:
            kept.waiting = False
        self.shelve(second, book, calls)
        self.begun[run.call] += 1

    def may_use(self, there: Second, attempt: str) -> bool:
        """An idle connection, for a call of that id; as `UpstreamConnectionPool.send`."""
        return attempt not in there.ids

    def answered(self, second: int, at: int, twice: bool, together: bool) -> None:
        """The upstream's answers come on the run's connection, in their order."""
        there = self.seconds[second]
        run = there.runs[at]
        order = [*run.strays, run.call, *([run.call] if twice and together else [])]
        wanted = self.size.ids[run.call].encode()
        mine = (at for at, one in enumerate(order) if table.answers_call(wanted, self.size.ids[one].encode()))
        found = next(mine, None)
        if found is None:
            return
        alone = found == len(order) - 1
        state = table.CONNECTION_TABLE[State.SENT, Event.ANSWER if alone else Event.CROWDED]
        if state is State.IDLE and there.idle is None:
            rest: tuple[int, ...] = (run.call,) if twice and not together else ()
            self.seconds[second] = there._replace(idle=rest)
        self.over(second, at, answer(order[found]))
