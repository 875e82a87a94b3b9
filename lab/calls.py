"""A client's call and its tries, as the parts of a simulation exchange them."""

from __future__ import annotations

from typing import Protocol

from lab.scenario_tables import Class


class TrySidecar(Protocol):
    """The parts of the receiving sidecar that a try uses. ``incarnation`` counts the sidecar's starts."""

    number: int
    incarnation: int
    up: bool
    paused: bool
    resumed_at: float

    def client_gone(self, client_try: Try) -> None:
        """Called when the client gives up this try."""


class Call:
    """A client's call, over all its tries. ``worth`` is what an answer in time earns."""

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
        """``started_at`` in ms; ``work`` in ms of a worker of speed 1; ``key``: -1 if it has none."""
        self.klass, self.member, self.started_at, self.worth = klass, member, started_at, worth
        self.work, self.key, self.tries = work, key, 0
        self.draw, self.ignores_retry_after, self.impatient = 0.0, False, False
        # The worth that its answer earned; whether its sidecar accepted it while over its CPU budget.
        self.earned, self.cpu_delayed = 0.0, False


class Try:
    """One request of a call to one sidecar."""

    __slots__ = ("name", "call", "sidecar", "incarnation", "open", "marked")

    def __init__(self, name: str, call: Call, sidecar: TrySidecar, marked: bool) -> None:
        """``marked``: the request tells the sidecar that it is a retry."""
        self.name, self.call, self.sidecar, self.marked = name, call, sidecar, marked
        self.incarnation, self.open = sidecar.incarnation, True
