"""State that the second hop keeps about effectful calls of a first hop beyond the loss of their link. No I/O;
times in seconds.

A session belongs to one incarnation of a first hop. Its calls have ascending numbers and are sent once each,
so one number describes which calls have arrived: a call at or below it is a duplicate, or was rejected in
advance, and is never accepted. Raising the number rejects a call in advance, however late the copy that is
still in some buffer arrives. Rejecting single calls until their deadlines would not suffice: a frame carries
the remaining time as of its writing, so a frame that was buffered looks as recent as ever.

Ends of calls are retained for a while, since they may have been lost in transit. Discarding one raises a
second number, below which "never arrived" can no longer be distinguished from "has run".
"""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import Any, Generic, TypeVar

from msgspec import Struct

END_RETENTION_S = 3.0  # for the end of a call, after it was sent
MAX_HELD_ENDS = 4096  # of all sessions
MAX_SESSIONS = 4096  # calls of further first hops cannot be queried after a lost link
# For a session without a link. Longer than the longest deadline that an operator may set (ten minutes),
# within which a first hop must send its query, and longer than a kernel retransmits the last bytes of a
# closed connection.
SESSION_RETENTION_S = 900.0
SWEEP_PERIOD_S = 30.0  # between two searches for expired sessions

End = TypeVar("End")


class Verdict(Enum):
    """Answer to a status query about a call."""

    NO = "it has not run and never will"
    PASSED = "the upstream has it"
    DONE = "its end is held"
    UNKNOWN = "it may have run; nothing more is known here"


class SessionCall(Struct, Generic[End], eq=False):
    """One effectful call. ``run`` belongs to the host; ``waiting`` holds until the call is dispatched."""

    attempt: str
    run: Any = None
    waiting: bool = True
    end: End | None = None
    done: bool = False  # ended; without ``end``, that was not retained


class Session(Generic[End]):
    """The calls of one incarnation of a first hop."""

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.highest = 0  # calls at or below this number are not accepted any more
        self.forgotten = 0  # an unknown call at or below this number may have run
        self.calls: dict[int, SessionCall[End]] = {}
        self.links = 0
        self.unlinked_at = 0.0  # when its last link was closed

    def accept(self, number: int) -> bool:
        """Whether a call that has arrived may begin."""
        if number <= self.highest:
            return False
        self.highest = number
        return True

    def ask(self, number: int, attempt: str) -> tuple[Verdict, SessionCall[End] | None]:
        """Answers a status query about a call whose link the first hop has lost. A waiting call is removed
        here and must be withdrawn by its host. After Verdict.NO the call is never accepted."""
        self.highest = max(self.highest, number)
        call = self.calls.get(number)
        if call is None:
            return (Verdict.UNKNOWN if number <= self.forgotten else Verdict.NO), None
        if call.attempt != attempt:
            return Verdict.UNKNOWN, None
        if call.done:
            return (Verdict.UNKNOWN if call.end is None else Verdict.DONE), call
        if call.waiting:
            del self.calls[number]
            return Verdict.NO, call
        return Verdict.PASSED, call

    def on_link_lost(self, number: int) -> SessionCall[End] | None:
        """Handles the loss of a call's link. Returns a waiting call, which must be withdrawn; None if the
        call continues."""
        call = self.calls.get(number)
        if call is None or call.done or not call.waiting:
            return None
        del self.calls[number]
        return call


class CallSessions(Generic[End]):
    """The sessions of all first hops; ``max_bytes`` bounds the retained ends together."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self.held_bytes = 0
        self.by_incarnation: dict[str, Session[End]] = {}
        self._ends: deque[tuple[float, Session[End], int, int]] = deque()  # time, session, number, bytes
        self._swept_at = 0.0  # of expired sessions

    def __len__(self) -> int:
        return len(self._ends)

    def open(self, incarnation: str) -> Session[End] | None:
        """Handles a new link of an incarnation. None if there are too many sessions: its calls cannot be
        queried."""
        session = self.by_incarnation.get(incarnation)
        if session is None:
            if len(self.by_incarnation) >= MAX_SESSIONS:
                return None
            session = self.by_incarnation[incarnation] = Session(incarnation)
        session.links += 1
        return session

    def close(self, session: Session[End], now: float) -> None:
        """Handles the loss of a link of the session."""
        session.links -= 1
        session.unlinked_at = now

    def record_end(self, session: Session[End], number: int, end: End | None, size: int, now: float) -> None:
        """Records the end of a call, and retains it if there is room for its bytes."""
        call = session.calls[number]
        call.done, call.run = True, None
        if self.held_bytes + size <= self._max_bytes:
            call.end = end
        else:
            size = 0
        self.held_bytes += size
        self._ends.append((now, session, number, size))
        if len(self._ends) > MAX_HELD_ENDS:
            self._forget_oldest()

    def _forget_oldest(self) -> None:
        _, session, number, size = self._ends.popleft()
        self.held_bytes -= size
        session.calls.pop(number, None)
        session.forgotten = max(session.forgotten, number)

    def sweep(self, now: float) -> None:
        """Discards expired ends and, every SWEEP_PERIOD_S, expired sessions."""
        while self._ends and now - self._ends[0][0] > END_RETENTION_S:
            self._forget_oldest()
        if now - self._swept_at < SWEEP_PERIOD_S:
            return
        self._swept_at = now
        for session in [one for one in self.by_incarnation.values() if not one.links and not one.calls]:
            if now - session.unlinked_at > SESSION_RETENTION_S:
                del self.by_incarnation[session.incarnation]
