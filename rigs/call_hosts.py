"""The hosts and the network of the call model, as operations on one state, for `rigs/call_model.py`."""

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
from statecheck.model import State as ModelState

NOT_EXECUTED, UNCLEAR = call_messages.NotExecuted(RejectReason.LOST), call_messages.Unclear("lost")
FULL = call_messages.NotExecuted(RejectReason.FULL)
MAX_ATTEMPTS = 2
CLOSED_STATES = frozenset({State.ENDED, State.WITHDRAWN})


def upstream_response(call: int) -> call_messages.UpstreamResponse:
    """The response of the upstream to that call, which is named in the body."""
    return call_messages.UpstreamResponse(200, cast(Any, ()), b"%d" % call, True)


class Attempt(NamedTuple):
    number: int  # of the call, in the session of its first hop
    second: int  # the second hop that it is sent to
    state: State
    incarnation: int  # of the second hop; 0: unknown
    outcome: Outcome | None = None


class Call(NamedTuple):
    result: str  # "new", "open", then what the client got
    attempts: tuple[Attempt, ...] = ()


class Link(NamedTuple):
    """One connection between two hops. The frames under way in each direction are in order."""

    id: int
    first: int
    incarnation: int  # of the first hop
    second: int
    open_at_first: bool
    open_at_second: bool
    to_second: tuple[Any, ...]  # frames
    to_first: tuple[Any, ...]
    hello_received: bool  # by the second hop
    verified: bool  # the first hop has received the second hop's incarnation
    queried: tuple[Any, ...] = ()  # numbers of the calls that were queried over this link


class RunningCall(NamedTuple):
    """A call that is queued or executing at a second hop."""

    session: tuple[int, int]  # the first hop and its incarnation
    number: int
    call: int
    state: State
    link: int  # over which its end is sent; 0: none
    stray_answers: tuple[int, ...] = ()  # calls whose duplicate answers precede its own on the connection


class SecondHop(NamedTuple):
    incarnation: int = 1
    sessions: tuple[Any, ...] = ()
    runs: tuple[RunningCall, ...] = ()
    # The calls whose duplicate answers are under way on the idle connection; None: no connection is idle.
    idle: tuple[int, ...] | None = None
    ids: frozenset[str] = frozenset()  # attempt ids that were sent to the upstream recently


class FaultBudget(NamedTuple):
    """The faults that may still occur."""

    losses: int = 0
    crashes: int = 0  # of first hops
    second_crashes: int = 0  # of second hops
    duplicate_frames: int = 0  # frames that are delivered again, on the newest link
    duplicate_answers: int = 0  # of upstreams
    client_drops: int = 0  # clients that disconnect, or whose deadline passes, while an attempt is open
    expiries: int = 0  # of held ends
    rejections: int = 0  # calls that a second hop rejects as if its queue were full


@dataclass(frozen=True, slots=True)
class Scenario:
    first_hops: tuple[int, ...]  # the first hop of each call
    second_hops: int
    budget: FaultBudget
    ids: tuple[str, ...] = ("a", "b")  # the attempt id of each call
    held_bytes: int = 100
    late: tuple[int, ...] = ()  # calls that are sent only after the others have ended
    # Whether calls may end at any time, by their deadline; else only without an open attempt.
    may_end_early: bool = True


@dataclass(slots=True)
class CallState:
    """One state of the model in mutable form."""

    scenario: Scenario
    first_hops: list[tuple[int, int]]  # incarnation, last call number
    calls: list[Call]
    links: list[Link]
    second_hops: list[SecondHop]
    executions: list[int]  # begun at an upstream, by call
    budget: dict[str, int]
    violation: str = ""
    # Of the second hops, by first hop.
    known_incarnations: list[tuple[int, ...]] = field(default_factory=list)

    @classmethod
    def from_state(cls, scenario: Scenario, state: ModelState) -> CallState:
        first_hops, calls, links, second_hops, executions, budget, _, known_incarnations = state
        return cls(
            scenario,
            list(first_hops),
            list(calls),
            list(links),
            list(second_hops),
            list(executions),
            budget._asdict(),
            "",
            list(known_incarnations),
        )

    def to_state(self) -> ModelState:
        return (
            tuple(self.first_hops),
            tuple(call if call.result in ("new", "open") else Call(call.result) for call in self.calls),
            tuple(sorted(link for link in self.links if link.open_at_first or link.open_at_second)),
            tuple(self.second_hops),
            tuple(self.executions),
            FaultBudget(**self.budget),
            self.violation,
            tuple(self.known_incarnations),
        )

    def link_index(self, id: int) -> int:
        """The index of a link, -1 if it no longer exists."""
        return next((index for index, link in enumerate(self.links) if link.id == id), -1)

    def send_to_first(self, id: int, frame: Any) -> None:
        """Sends a frame over that link if it is open at the second hop."""
        index = self.link_index(id)
        if index >= 0 and self.links[index].open_at_second:
            link = self.links[index]
            if link.open_at_first:
                self.links[index] = link._replace(to_first=(*link.to_first, frame))

    # The first hop

    def open_link(self, first: int, second: int) -> Link | None:
        """The link between the two hops that is open at the first."""
        return next(
            (
                link
                for link in self.links
                if link.open_at_first and (link.first, link.second) == (first, second)
            ),
            None,
        )

    def send_to_second(self, link: Link, frame: Any) -> None:
        """Sends a frame, which is lost if the link is closed at the second hop."""
        index = self.link_index(link.id)
        current = self.links[index]
        if current.open_at_second:
            self.links[index] = current._replace(to_second=(*current.to_second, frame))

    def update_attempt(self, call: int, index: int, **fields: Any) -> Attempt:
        """Changes fields of an attempt and returns it."""
        current = self.calls[call]
        attempts = list(current.attempts)
        attempts[index] = attempts[index]._replace(**fields)
        self.calls[call] = current._replace(attempts=tuple(attempts))
        return attempts[index]

    def apply(self, call: int, index: int, event: Event) -> bool:
        """Applies an event to an attempt by the shipped table; returns whether the table has a transition."""
        state = table.FIRST_HOP_TABLE.get((self.calls[call].attempts[index].state, event))
        if state is not None:
            self.update_attempt(call, index, state=state)
        return state is not None

    def find_open_attempt(self, first: int, number: int) -> tuple[int, int] | None:
        """The call and the index of the open attempt with that number."""
        for call, record in enumerate(self.calls):
            if self.scenario.first_hops[call] == first:
                for index, attempt in enumerate(record.attempts):
                    if attempt.number == number and attempt.state in (State.SENT, State.UNCLEAR):
                        return call, index
        return None

    def on_end(self, call: int, index: int, end: call_messages.End) -> None:
        """Handles the end of an attempt as `ServiceBalancer._on_call_end` does."""
        if not self.apply(call, index, event_of(end) if end is not UNCLEAR else Event.NO_ANSWER):
            return
        outcome = outcome_of(end)
        self.update_attempt(call, index, outcome=outcome)
        if outcome is Outcome.OK and self.calls[call].result == "open":
            assert isinstance(end, call_messages.UpstreamResponse)
            self.set_result(call, "served " + end.body.decode())

    def set_result(self, call: int, result: str) -> None:
        """Records what the client got. Open attempts are given up by the caller."""
        self.calls[call] = self.calls[call]._replace(result=result)

    def open_attempts(self, call: int) -> list[int]:
        """The indexes of the open attempts of a call."""
        attempts = self.calls[call].attempts
        return [index for index, attempt in enumerate(attempts) if attempt.state not in CLOSED_STATES]

    def may_send(self, call: int) -> bool:
        """Whether the shipped rules permit another attempt."""
        record = self.calls[call]
        request = SimpleNamespace(
            open=record.result == "open" and not self.open_attempts(call),
            streaming=False,
            attempts=[
                SimpleNamespace(may_have_run=attempt.outcome not in NEVER_RAN, sent_at=0.0)
                for attempt in record.attempts
            ],
            max_attempts=MAX_ATTEMPTS,
            klass=SimpleNamespace(effect=Effect.UNSAFE),
        )
        settings = SimpleNamespace(limits=None)
        return bool(
            requests.may_send(cast(Any, settings), 0.0, cast(Any, request), cast(Any, SimpleNamespace()))
        )

    def finish(self, call: int) -> None:
        """Answers the client now and gives up any open attempts."""
        record = self.calls[call]
        nothing = cast(Any, None)
        request = ClientRequest("", nothing, "", nothing, [], "", "", 0.0, 0.0, lambda final: None)
        request.outgoing = [
            cast(Any, attempt) if attempt.state not in CLOSED_STATES else None for attempt in record.attempts
        ]
        request.unclear = any(
            attempt.outcome is not None
            and attempt.outcome not in NEVER_RAN
            and attempt.outcome is not Outcome.OK
            for attempt in record.attempts
        )
        final = request.client_result(False, 0.0)
        assert isinstance(final, Refused | Failed)
        self.give_up_attempts(call)
        self.set_result(call, "503" if isinstance(final, Refused) else "502")

    def give_up_attempts(self, call: int) -> None:
        """Gives up the open attempts of a call."""
        first = self.scenario.first_hops[call]
        for index in self.open_attempts(call):
            attempt = self.calls[call].attempts[index]
            if self.apply(call, index, Event.GIVEN_UP):
                link = self.open_link(first, attempt.second)
                if link is not None and attempt.state is State.SENT:
                    self.send_to_second(link, ("drop", attempt.number))

    def lose_at_first(self, link: Link) -> None:
        """The first hop loses the link: it closed it because of silence, or the connection was reset."""
        index = self.link_index(link.id)
        self.links[index] = link._replace(open_at_first=False, to_first=(), verified=False)
        known = self.known_incarnations[link.first][link.second]
        for call, record in enumerate(self.calls):
            if self.scenario.first_hops[call] != link.first:
                continue
            for at, attempt in enumerate(record.attempts):
                if attempt.second != link.second or attempt.state not in (State.SENT, State.UNCLEAR):
                    continue
                if self.apply(call, at, Event.LINK_LOST):
                    self.update_attempt(call, at, incarnation=attempt.incarnation or known)
                    if not known:
                        self.end_unclear(call, at)

    def same_incarnation(self, incarnation: int, current: int) -> bool:
        """Whether the second hop that received a call is the one running now, as `PeerLink._query` checks."""
        return incarnation == current

    def end_unclear(self, call: int, index: int) -> None:
        """Ends a lost attempt whose outcome was not learned in time."""
        if self.apply(call, index, Event.TIME_OVER):
            self.update_attempt(call, index, outcome=outcome_of(UNCLEAR))

    def read_at_first(self, link: Link) -> None:
        """The first hop reads the next frame."""
        index = self.link_index(link.id)
        frame, *rest = link.to_first
        self.links[index] = link = link._replace(to_first=tuple(rest))
        if frame[0] == "incarnation":
            known = list(self.known_incarnations[link.first])
            known[link.second] = frame[1]
            self.known_incarnations[link.first] = tuple(known)
            self.links[index] = link._replace(verified=True)
            return
        attempt = self.find_open_attempt(link.first, frame[1])
        if attempt is None:
            return
        if frame[0] == "passed":
            self.apply(*attempt, Event.PASSED)
        else:
            self.on_end(*attempt, frame[2])

    # The second hop

    def load_sessions(self, second: int) -> CallSessions[call_messages.End]:
        """The sessions of a second hop as the shipped class."""
        sessions: CallSessions[call_messages.End] = CallSessions(self.scenario.held_bytes)
        for key, highest, forgotten, entries in self.second_hops[second].sessions:
            session: Session[call_messages.End] = Session(key)
            session.highest, session.forgotten = highest, forgotten
            for number, call, waiting, done, end in entries:
                session.calls[number] = SessionCall(self.scenario.ids[call], call, waiting, end, done)
                if done:
                    size = len(end.body) if isinstance(end, call_messages.UpstreamResponse) else 0
                    sessions._ends.append((0.0, session, number, size))
                    sessions.held_bytes += size
            sessions.by_incarnation[key] = session
        return sessions

    def store_sessions(
        self, second: int, sessions: CallSessions[call_messages.End], calls: dict[tuple[Any, int], int]
    ) -> None:
        """Writes the sessions of a second hop back to the state."""
        kept = tuple(
            (
                key,
                session.highest,
                session.forgotten,
                tuple(
                    (
                        number,
                        calls[key, number],
                        held.waiting and not held.done,
                        held.done,
                        held.end,
                    )
                    for number, held in sorted(session.calls.items())
                ),
            )
            for key, session in sorted(sessions.by_incarnation.items())
        )
        self.second_hops[second] = self.second_hops[second]._replace(sessions=kept)

    def calls_by_number(self, second: int) -> dict[tuple[Any, int], int]:
        """The calls by session and number."""
        return {
            (key, number): call
            for key, _, _, entries in self.second_hops[second].sessions
            for number, call, *_ in entries
        }

    def update_run(self, second: int, index: int, **fields: Any) -> RunningCall:
        """Changes fields of a running call and returns it."""
        runs = list(self.second_hops[second].runs)
        runs[index] = runs[index]._replace(**fields)
        self.second_hops[second] = self.second_hops[second]._replace(runs=tuple(runs))
        return runs[index]

    def remove_run(self, second: int, index: int) -> RunningCall:
        """Removes a running call and returns it."""
        runs = list(self.second_hops[second].runs)
        removed = runs.pop(index)
        self.second_hops[second] = self.second_hops[second]._replace(runs=tuple(runs))
        return removed

    def run_index(self, second: int, session: Any, number: int) -> int:
        """The index of a running call, -1 if there is none."""
        return next(
            (
                index
                for index, run in enumerate(self.second_hops[second].runs)
                if (run.session, run.number) == (session, number)
            ),
            -1,
        )

    def session_key(self, link: Link) -> tuple[int, int]:
        """The key of the session of the first hop that opened the link."""
        return link.first, link.incarnation

    def read_at_second(self, link: Link) -> None:
        """The second hop reads the next frame."""
        index = self.link_index(link.id)
        frame, *rest = link.to_second
        self.links[index] = link = link._replace(to_second=tuple(rest))
        sessions, calls = self.load_sessions(link.second), self.calls_by_number(link.second)
        key = self.session_key(link)
        if frame[0] == "hello":
            sessions.open(cast(str, key))
            self.links[index] = link._replace(hello_received=True)
            self.store_sessions(link.second, sessions, calls)
            self.send_to_first(link.id, ("incarnation", self.second_hops[link.second].incarnation))
            return
        session = sessions.by_incarnation[cast(str, key)]
        number = frame[1]
        if frame[0] == "call":
            if session.accept(number):
                session.calls[number] = SessionCall(self.scenario.ids[frame[2]], frame[2])
                calls[key, number] = frame[2]
                waiting = table.SECOND_HOP_TABLE[State.READ, Event.NO_PLACE]
                run = RunningCall(key, number, frame[2], waiting, link.id)
                self.second_hops[link.second] = self.second_hops[link.second]._replace(
                    runs=(*self.second_hops[link.second].runs, run)
                )
        elif frame[0] == "drop":
            run_index = self.run_index(link.second, key, number)
            if run_index >= 0 and self.second_hops[link.second].runs[run_index].link == link.id:
                self.withdraw(link.second, run_index, Event.GIVEN_UP)
                sessions.record_end(session, number, None, 0, 0.0)
        else:
            self.on_query(link, sessions, session, number, self.scenario.ids[frame[2]])
        self.store_sessions(link.second, sessions, calls)

    def on_query(
        self, link: Link, sessions: Any, session: Session[call_messages.End], number: int, attempt: str
    ) -> None:
        """Handles a query as `IncomingCalls._on_query` does."""
        verdict, kept = session.ask(number, attempt)
        index = self.run_index(link.second, session.incarnation, number)
        if verdict is Verdict.PASSED:
            self.update_run(link.second, index, link=link.id)
            self.send_to_first(link.id, ("passed", number))
            return
        if kept is not None and index >= 0:
            self.withdraw(link.second, index, Event.ASKED_BACK)
        if verdict is Verdict.NO:
            self.send_to_first(link.id, ("end", number, NOT_EXECUTED))
        elif verdict is Verdict.DONE and kept is not None:
            self.send_to_first(link.id, ("end", number, kept.end))
        else:
            self.send_to_first(link.id, ("end", number, UNCLEAR))

    def withdraw(self, second: int, index: int, event: Event) -> None:
        """Removes a running call if the shipped table says that the event withdraws it."""
        run = self.second_hops[second].runs[index]
        if table.SECOND_HOP_TABLE.get((run.state, event)) is State.WITHDRAWN:
            self.remove_run(second, index)

    def lose_at_second(self, link: Link) -> None:
        """The second hop loses the link; handled as by `IncomingCalls.link_lost`."""
        link_index = self.link_index(link.id)
        self.links[link_index] = link._replace(open_at_second=False, to_second=())
        sessions, calls = self.load_sessions(link.second), self.calls_by_number(link.second)
        for run in self.second_hops[link.second].runs:
            if run.link != link.id:
                continue
            index = self.run_index(link.second, run.session, run.number)
            if sessions.by_incarnation[cast(str, run.session)].on_link_lost(run.number) is not None:
                self.withdraw(link.second, index, Event.LINK_LOST)
            else:
                self.update_run(link.second, index, link=0)
        self.store_sessions(link.second, sessions, calls)

    def end_run(self, second: int, index: int, end: call_messages.End) -> None:
        """Ends a running call at its second hop."""
        run = self.second_hops[second].runs[index]
        if (run.state, event_of(end)) not in table.SECOND_HOP_TABLE:
            return
        self.remove_run(second, index)
        sessions, calls = self.load_sessions(second), self.calls_by_number(second)
        session = sessions.by_incarnation[cast(str, run.session)]
        if run.number in session.calls:
            size = len(end.body) if isinstance(end, call_messages.UpstreamResponse) else 0
            sessions.record_end(session, run.number, end, size, 0.0)
        self.store_sessions(second, sessions, calls)
        if run.link:
            self.send_to_first(run.link, ("end", run.number, end))

    def dispatch(self, second: int, index: int) -> None:
        """Sends a queued call to the upstream, over the idle connection if that is permitted."""
        hop = self.second_hops[second]
        run = hop.runs[index]
        state = table.SECOND_HOP_TABLE.get((run.state, Event.PLACE))
        if state is None:
            return
        if run.link == 0:
            self.violation = "orphan: a call whose link was lost was dispatched"
        attempt = self.scenario.ids[run.call]
        stray_answers: tuple[int, ...] = ()
        idle = hop.idle
        if idle is not None and self.may_reuse_idle(hop, attempt):
            stray_answers, idle = idle, None
        self.second_hops[second] = hop._replace(idle=idle, ids=hop.ids | {attempt})
        self.update_run(second, index, state=state, stray_answers=stray_answers)
        sessions, calls = self.load_sessions(second), self.calls_by_number(second)
        kept = sessions.by_incarnation[cast(str, run.session)].calls.get(run.number)
        if kept is not None:
            kept.waiting = False
        self.store_sessions(second, sessions, calls)
        self.executions[run.call] += 1

    def may_reuse_idle(self, hop: SecondHop, attempt: str) -> bool:
        """Whether a call with that attempt id may use the idle connection: as `UpstreamConnectionPool`."""
        return attempt not in hop.ids

    def on_upstream_answer(self, second: int, index: int, twice: bool, together: bool) -> None:
        """The upstream's answers arrive in order on the connection of a running call."""
        hop = self.second_hops[second]
        run = hop.runs[index]
        order = [*run.stray_answers, run.call, *([run.call] if twice and together else [])]
        wanted = self.scenario.ids[run.call].encode()
        matching = (
            at
            for at, call in enumerate(order)
            if table.answers_call(wanted, self.scenario.ids[call].encode())
        )
        found = next(matching, None)
        if found is None:
            return
        last = found == len(order) - 1
        state = table.CONNECTION_TABLE[State.SENT, Event.ANSWER if last else Event.CROWDED]
        if state is State.IDLE and hop.idle is None:
            duplicates: tuple[int, ...] = (run.call,) if twice and not together else ()
            self.second_hops[second] = hop._replace(idle=duplicates)
        self.end_run(second, index, upstream_response(order[found]))
