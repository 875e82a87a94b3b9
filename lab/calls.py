"""A call of a client and its tries, as all parts of a simulation pass them on."""

from __future__ import annotations

from typing import Protocol

from lab.scenario_tables import Class


class TrySidecar(Protocol):
    """What a try needs of the sidecar that it was sent to. ``incarnation`` counts that sidecar's starts."""

    number: int
    incarnation: int
    up: bool
    paused: bool
    resumed_at: float

    def client_gone(self, client_try: Try) -> None:
        """The client waits no longer for this try."""


class Call:
    """What a client wants, over all its tries; ``worth`` is what its answer in time earns."""

    __slots__ = (
        "klass",
        "member",
        "started_at",
        "worth",
        "work",
        "key",
        "draw",
        "tries",
        "ignores_retry_after",
        "impatient",
        "earned",
        "cpu_delayed",
    )

    def __init__(
        self, klass: Class, member: int, started_at: float, worth: float, work: float, key: int
    ) -> None:
        """``started_at`` in ms; ``work`` in ms of a worker of speed 1; ``key``: -1 where it has none."""
        self.klass, self.member, self.started_at, self.worth = klass, member, started_at, worth
        self.work, self.key, self.tries = work, key, 0
        self.draw, self.ignores_retry_after, self.impatient = 0.0, False, False
        self.earned, self.cpu_delayed = (
            0.0,
            False,
        )  # worth that its answer earned; its sidecar lacked the CPU for it


class Try:
    """One request of a call, to one sidecar."""

    __slots__ = ("name", "call", "sidecar", "incarnation", "open", "marked")

    def __init__(self, name: str, call: Call, sidecar: TrySidecar, marked: bool) -> None:
        """``marked``: it tells the sidecar that it is not the call's first."""
        self.name, self.call, self.sidecar, self.marked = name, call, sidecar, marked
        self.incarnation, self.open = sidecar.incarnation, True
