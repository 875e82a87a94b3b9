"""What the second hop keeps of a first hop's effectful calls over the loss of their link. No I/O; seconds.

A session is one life of a first hop. Its calls are numbered upwards and sent once each, so one number says
which have come: a call at or below it is a second copy, or was barred, and is never taken. To bar a call is
to raise that number: the copy that is still in some buffer finds it raised, whenever it comes. A bar for each
call that went with the call's deadline would not do: a frame tells how long the client still waited when it
was written, so one that stood in a buffer looks as young as ever.

Ends are held for a while, since they may have been lost on their way. What is forgotten moves a second number
up: below it "it never came" can no longer be told from "it has run".
"""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import Any, Generic, TypeVar

from msgspec import Struct

END_RETENTION_S = 3.0  # an end, after it was given
MAX_HELD_ENDS = 4096  # ends, of all sessions
MAX_SESSIONS = 4096  # lives of first hops; those beyond it cannot ask back
# A session without a link. Longer than the longest deadline that an operator may set (ten minutes), within
# which whoever asks must ask; and no kernel sends the last bytes of a closed connection for so long.
SESSION_RETENTION_S = 900.0
SWEEP_PERIOD_S = 30.0  # between two looks for such

End = TypeVar("End")


class Verdict(Enum):
    """On a call that is asked back."""

    NO = "it has not run and never will"
    PASSED = "the upstream has it"
    DONE = "its end is held"
    UNKNOWN = "it may have run; nothing more is known here"


class SessionCall(Struct, Generic[End], eq=False):
    """One effectful call. ``run`` is its host's own; ``waits`` until it is passed on."""

    attempt: str
    run: Any = None
    waiting: bool = True
    end: End | None = None
    done: bool = False  # without an end: it is not held


class Session(Generic[End]):
    """One life of a first hop."""

    def __init__(self, life: str) -> None:
        self.incarnation = life
        self.highest = 0  # no call at or below it is taken any more
        self.forgotten = 0  # what is not known at or below it may have run
        self.calls: dict[int, SessionCall[End]] = {}
        self.links = 0
        self.unlinked_at = 0.0  # when it had a link last

    def accept(self, number: int) -> bool:
        """Whether a call that has come may be begun."""
        if number <= self.highest:
            return False
        self.highest = number
        return True

    def ask(self, number: int, attempt: str) -> tuple[Verdict, SessionCall[End] | None]:
        """A call whose link the first hop has lost. What waits is withdrawn by whoever has it: it is here no
        more. After "no" it is never taken."""
        self.highest = max(self.highest, number)
        kept = self.calls.get(number)
        if kept is None:
            return (Verdict.UNKNOWN if number <= self.forgotten else Verdict.NO), None
        if kept.attempt != attempt:
            return Verdict.UNKNOWN, None
        if kept.done:
            return (Verdict.UNKNOWN if kept.end is None else Verdict.DONE), kept
        if kept.waiting:
            del self.calls[number]
            return Verdict.NO, kept
        return Verdict.PASSED, kept

    def on_link_lost(self, number: int) -> SessionCall[End] | None:
        """Its link is lost. Gives the call where it waits, and must be withdrawn; None where it goes on."""
        kept = self.calls.get(number)
        if kept is None or kept.done or not kept.waiting:
            return None
        del self.calls[number]
        return kept


class CallSessions(Generic[End]):
    """All of them; ``most_bytes`` bounds the ends that are held together."""

    def __init__(self, most_bytes: int) -> None:
        self._max_bytes = most_bytes
        self.held_bytes = 0
        self.by_incarnation: dict[str, Session[End]] = {}
        self._ends: deque[tuple[float, Session[End], int, int]] = deque()  # when, whose, number, bytes
        self._swept_at = 0.0  # at sessions that are over

    def __len__(self) -> int:
        return len(self._ends)

    def open(self, life: str) -> Session[End] | None:
        """A link of that life is up. None where there is no room: its calls cannot be asked back."""
        session = self.by_incarnation.get(life)
        if session is None:
            if len(self.by_incarnation) >= MAX_SESSIONS:
                return None
            session = self.by_incarnation[life] = Session(life)
        session.links += 1
        return session

    def close(self, session: Session[End], now: float) -> None:
        session.links -= 1
        session.unlinked_at = now

    def record_end(self, session: Session[End], number: int, end: End | None, size: int, now: float) -> None:
        """A call has ended; the end is held while there is room for its bytes."""
        kept = session.calls[number]
        kept.done, kept.run = True, None
        if self.held_bytes + size <= self._max_bytes:
            kept.end = end
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
        """Lets go what has been held for as long as it may be."""
        while self._ends and now - self._ends[0][0] > END_RETENTION_S:
            self._forget_oldest()
        if now - self._swept_at < SWEEP_PERIOD_S:
            return
        self._swept_at = now
        for session in [one for one in self.by_incarnation.values() if not one.links and not one.calls]:
            if now - session.unlinked_at > SESSION_RETENTION_S:
                del self.by_incarnation[session.incarnation]
