"""One sidecar's way with changed items: which it takes at once, which it holds back, and until when. No I/O;
instants in seconds of the caller's steady clock.

An item is known, prepared, in force, confirmed; a higher version overtakes it at any moment. What holds:

- an item is in force at most ``hold_s`` after it was known, whatever comes or does not come;
- one that overtakes a held one inherits its latest instant: versions in quick succession put nothing off;
- none that was in force is ever followed by a lower one.
"""

from __future__ import annotations

from collections import deque
from enum import Enum

from msgspec import Struct

from mesh.replication.items import Key
from mesh.rollout.change_kinds import STAGED, ChangeKind

MAX_HELD = 1024  # items held back at once; one more is taken at once
MAX_HISTORY = 256  # passes kept to be explained
MAX_PENDING_COMMANDS, PENDING_COMMAND_S = (
    64,
    60.0,
)  # operators' words for the next version of an item, and how long they stand


class State(str, Enum):
    KNOWN = "known"
    PREPARED = "prepared"
    IN_FORCE = "in force"
    CONFIRMED = "confirmed"
    OVERTAKEN = "overtaken"


class RolloutCommand(str, Enum):
    """An operator's word."""

    HOLD = "hold"  # until the latest instant, whatever the first part says
    GO = "go"  # at once


class ItemActivation(Struct, eq=False):
    """One version of one item on its way here. ``latest``: in force then at the latest; ``taken``: when it
    came into force, or was overtaken before; ``why`` it went when it did."""

    key: Key
    version: int
    kind: ChangeKind
    canary: bool
    known_at: float
    deadline: float
    reason: str
    state: State = State.KNOWN
    finished_at: float = 0.0
    command: RolloutCommand | None = None


class StagedActivation:
    def __init__(self, hold_s: float) -> None:
        self.hold_s = hold_s
        self.held: dict[Key, ItemActivation] = {}
        self.history: deque[ItemActivation] = deque(maxlen=MAX_HISTORY)  # the oldest first
        self._pending_commands: dict[Key, tuple[RolloutCommand, float]] = {}

    def receive(
        self, now: float, key: Key, version: int, kind: ChangeKind, first: bool, behind: bool
    ) -> ItemActivation:
        """A version has come that is higher than all before. ``first``: this sidecar is of its first part;
        ``behind``: it may have been known elsewhere for long. The pass is IN_FORCE where it is to be taken
        now, else KNOWN."""
        ordered = self._pending_command(now, key)
        if kind not in STAGED:
            wait, why = 0.0, f"{kind.value}: taken at once"
        elif behind:
            wait, why = 0.0, "this sidecar was behind: taken at once"
        elif first:
            wait, why = 0.0, "first part: taken at once"
        elif ordered is RolloutCommand.GO:
            wait, why = 0.0, "an operator's go: taken at once"
        elif len(self.held) >= MAX_HELD:
            wait, why = 0.0, f"{MAX_HELD} items are held already: taken at once"
        else:
            wait, why = self.hold_s, "waits for the first part"
        one = ItemActivation(key, version, kind, first, now, now + wait, why, command=ordered)
        before = self.held.pop(key, None)
        if before is not None:
            before.state, before.finished_at, before.reason = State.OVERTAKEN, now, f"overtaken by r{version}"
            one.deadline = min(one.deadline, before.deadline)
            one.command = ordered or before.command
        self.history.append(one)
        if one.deadline <= now:
            self._activate(now, one, one.reason)
        else:
            self.held[key] = one
        return one

    def mark_prepared(self, one: ItemActivation) -> None:
        if one.state is State.KNOWN:
            one.state = State.PREPARED

    def activate_due(self, now: float) -> list[ItemActivation]:
        """Those whose latest instant has come; they are to be taken now."""
        found = [one for one in self.held.values() if one.deadline <= now]
        for one in found:
            self._activate(now, one, "its latest instant")
        return found

    def next_due(self) -> float | None:
        return min((one.deadline for one in self.held.values()), default=None)

    def approve(self, now: float, key: Key, version: int) -> ItemActivation | None:
        """The first part's word is good. Gives what is to be taken now; None where there is nothing, or an
        operator holds it."""
        one = self.held.get(key)
        if one is None or one.version != version or one.command is RolloutCommand.HOLD:
            return None
        return self._activate(now, one, "the first part's word is good")

    def apply_command(self, now: float, key: Key, order: RolloutCommand) -> ItemActivation | None:
        """An operator's word for what is held back; gives it, IN_FORCE where it is to be taken now. None
        where nothing is held: it is in force already, and only a higher version changes that."""
        one = self.held.get(key)
        if one is None:
            return None
        one.command = order
        return self._activate(now, one, "an operator's go") if order is RolloutCommand.GO else one

    def apply_command_to_next(self, now: float, key: Key, order: RolloutCommand) -> None:
        """For the next version of that item, within ORDER_S."""
        self._pending_commands.pop(key, None)
        self._pending_commands[key] = (order, now + PENDING_COMMAND_S)
        if len(self._pending_commands) > MAX_PENDING_COMMANDS:
            del self._pending_commands[next(iter(self._pending_commands))]

    def confirm(self, before: float) -> None:
        """All that came into force before that instant has been told to a control process."""
        for one in self.history:
            if one.state is State.IN_FORCE and one.finished_at <= before:
                one.state = State.CONFIRMED

    def _pending_command(self, now: float, key: Key) -> RolloutCommand | None:
        order, until = self._pending_commands.pop(key, (None, 0.0))
        return order if now < until else None

    def _activate(self, now: float, one: ItemActivation, why: str) -> ItemActivation:
        self.held.pop(one.key, None)
        one.state, one.finished_at, one.reason = State.IN_FORCE, now, why
        return one
