"""Activation of changed items at one sidecar: which come into force at once, which are held back, and until
when. No I/O; times are seconds of the caller's monotonic clock.

An item is known, prepared, in force, confirmed; a higher version overtakes it at any moment. Invariants:

- an item is in force at most ``hold_s`` after it was received, whatever else happens;
- a version that overtakes a held one inherits its deadline, so quick successions of versions delay nothing;
- a version in force is never followed by a lower one.
"""

from __future__ import annotations

from collections import deque
from enum import Enum

from msgspec import Struct

from mesh.replication.items import Key
from mesh.rollout.change_kinds import STAGED, ChangeKind

MAX_HELD = 1024  # items held back together; any further one is activated at once
MAX_HISTORY = 256  # activations kept for operators
MAX_PENDING_COMMANDS, PENDING_COMMAND_S = 64, 60.0  # commands for next versions, and their validity


class State(str, Enum):
    """State of one version of an item at this sidecar."""

    KNOWN = "known"
    PREPARED = "prepared"
    IN_FORCE = "in force"
    CONFIRMED = "confirmed"
    OVERTAKEN = "overtaken"


class RolloutCommand(str, Enum):
    """A command of an operator for an item that is held back."""

    HOLD = "hold"  # until the deadline, whatever the canaries report
    GO = "go"  # activate at once


class ItemActivation(Struct, eq=False):
    """The activation of one version of an item. ``canary``: this sidecar is one of its canaries;
    ``deadline``: it is in force then at the latest; ``finished_at``: when it came into force or was
    overtaken; ``reason``: of its latest transition."""

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
    """Holds changed items back at one sidecar; ``hold_s`` is the longest hold in seconds."""

    def __init__(self, hold_s: float) -> None:
        self.hold_s = hold_s
        self.held: dict[Key, ItemActivation] = {}
        self.history: deque[ItemActivation] = deque(maxlen=MAX_HISTORY)  # the oldest first
        self._pending_commands: dict[Key, tuple[RolloutCommand, float]] = {}

    def receive(
        self, now: float, key: Key, version: int, kind: ChangeKind, canary: bool, behind: bool
    ) -> ItemActivation:
        """Handles a version that is higher than all before. ``canary``: this sidecar is one of its canaries;
        ``behind``: other processes may have received it long ago. The result is IN_FORCE if it is to be
        activated now, else KNOWN."""
        command = self._pending_command(now, key)
        if kind not in STAGED:
            wait, reason = 0.0, f"{kind.value}: taken at once"
        elif behind:
            wait, reason = 0.0, "this sidecar was behind: taken at once"
        elif canary:
            wait, reason = 0.0, "first part: taken at once"
        elif command is RolloutCommand.GO:
            wait, reason = 0.0, "an operator's go: taken at once"
        elif len(self.held) >= MAX_HELD:
            wait, reason = 0.0, f"{MAX_HELD} items are held already: taken at once"
        else:
            wait, reason = self.hold_s, "waits for the first part"
        one = ItemActivation(key, version, kind, canary, now, now + wait, reason, command=command)
        before = self.held.pop(key, None)
        if before is not None:
            before.state, before.finished_at, before.reason = State.OVERTAKEN, now, f"overtaken by r{version}"
            one.deadline = min(one.deadline, before.deadline)
            one.command = command or before.command
        self.history.append(one)
        if one.deadline <= now:
            self._activate(now, one, one.reason)
        else:
            self.held[key] = one
        return one

    def mark_prepared(self, one: ItemActivation) -> None:
        """Notes that connections for the item are prepared."""
        if one.state is State.KNOWN:
            one.state = State.PREPARED

    def activate_due(self, now: float) -> list[ItemActivation]:
        """Activates and returns the items whose deadline has come."""
        found = [one for one in self.held.values() if one.deadline <= now]
        for one in found:
            self._activate(now, one, "its latest instant")
        return found

    def next_due(self) -> float | None:
        """The earliest deadline of the held items."""
        return min((one.deadline for one in self.held.values()), default=None)

    def approve(self, now: float, key: Key, version: int) -> ItemActivation | None:
        """Handles a good verdict of the canaries. Returns the item to activate now; None if it is not held
        back, or an operator holds it."""
        one = self.held.get(key)
        if one is None or one.version != version or one.command is RolloutCommand.HOLD:
            return None
        return self._activate(now, one, "the first part's word is good")

    def apply_command(self, now: float, key: Key, command: RolloutCommand) -> ItemActivation | None:
        """Applies an operator's command to a held item and returns it, IN_FORCE if it is to be activated now.
        None if it is not held back: it is in force already, and only a higher version changes that."""
        one = self.held.get(key)
        if one is None:
            return None
        one.command = command
        return self._activate(now, one, "an operator's go") if command is RolloutCommand.GO else one

    def apply_command_to_next(self, now: float, key: Key, command: RolloutCommand) -> None:
        """Applies a command to the next version of an item, if it comes within PENDING_COMMAND_S."""
        self._pending_commands.pop(key, None)
        self._pending_commands[key] = (command, now + PENDING_COMMAND_S)
        if len(self._pending_commands) > MAX_PENDING_COMMANDS:
            del self._pending_commands[next(iter(self._pending_commands))]

    def confirm(self, before: float) -> None:
        """Confirms what came into force by ``before``: a control process has received a report of it."""
        for one in self.history:
            if one.state is State.IN_FORCE and one.finished_at <= before:
                one.state = State.CONFIRMED

    def _pending_command(self, now: float, key: Key) -> RolloutCommand | None:
        command, until = self._pending_commands.pop(key, (None, 0.0))
        return command if now < until else None

    def _activate(self, now: float, one: ItemActivation, reason: str) -> ItemActivation:
        self.held.pop(one.key, None)
        one.state, one.finished_at, one.reason = State.IN_FORCE, now, reason
        return one
