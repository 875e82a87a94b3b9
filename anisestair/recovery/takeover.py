"""Takeover between processes of one sidecar, which exchange records ten times a second."""

from __future__ import annotations

import asyncio
import logging
import os
import time
from collections.abc import Callable, Mapping
from dataclasses import replace
from pathlib import Path
from typing import Any

from anisestair.admin.readiness import Stage
from anisestair.recovery import beliefs, records, shares
from anisestair.recovery.meeting import POLL_INTERVAL_S, RecordExchange
from anisestair.recovery.shares import Member
from hareloom import interface as api

log = logging.getLogger(__name__)

INHERITANCE_TIMEOUT_MS = 600.0  # wait at startup for the learned state of an older process


class Takeover:
    """Determines this process's share of descriptors and whether it accepts connections.

    ``apply`` gets the number of descriptors that this process may hold, whether it accepts, whether it is
    alone, and whether the older processes have made room for it. ``used`` returns the number of descriptors
    held, ``learnt`` the balancer's learned state."""

    def __init__(
        self,
        total: int,
        offset_ms: float,
        used: Callable[[], int],
        learnt: Callable[[], api.Learnt],
        apply: Callable[[int, bool, bool, bool], None],
    ) -> None:
        self._total, self._offset_ms = total, offset_ms
        self._used, self._learnt, self._apply = used, learnt, apply
        self._born = time.monotonic_ns()
        self._exchange: RecordExchange | None = None
        self._stage = Stage.STARTING
        self._known: Mapping[int, Mapping[str, Any]] = {}  # records of the other live ones, by start time
        self._published: Any = None
        self._sent_to: set[int] = set()  # processes that were sent the learned state, by start time
        self._timer: asyncio.TimerHandle | None = None
        self._ready_at = 0.0
        self.accepts = False
        self.share = shares.NEWCOMER_DESCRIPTORS

    def start(self) -> None:
        """Join the exchange in $TMPDIR. If that is unset or unusable, this process assumes to be alone."""
        folder = os.environ.get("TMPDIR", "")
        try:
            if folder:
                files = records.ProcessFiles(Path(folder), self._born)
                self._exchange = RecordExchange(files, self._on_change, asyncio.get_running_loop())
                self._exchange.start()
                self._known = self._exchange.known()
        except OSError as fault:
            log.warning(
                "takeover: %s cannot be used (%s): this process assumes to be the only one", folder, fault
            )
        self._update()

    def set_stage(self, stage: Stage) -> None:
        self._stage = stage
        if stage is Stage.READY:
            self._ready_at = time.monotonic() * 1000.0
        self._update()

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._exchange is not None:
            self._exchange.close()
            self._exchange = None

    def _on_change(self, members: Mapping[int, Mapping[str, Any]]) -> None:
        self._known = members
        if self._exchange is not None:
            self._update()

    async def inherited_beliefs(self) -> tuple[api.Learnt, float] | None:
        """Return the learned state of the youngest older process and its age in ms; None if there is no
        older process, or its state is invalid or does not arrive in time."""
        until = time.monotonic() + INHERITANCE_TIMEOUT_MS / 1000.0
        while time.monotonic() < until:
            older = [born for born in self._known if born < self._born]
            if not older:
                return None
            data = self._known[max(older)].get("learnt")
            if isinstance(data, dict):
                try:
                    found = beliefs.unpack(data)
                    age = time.monotonic() * 1000.0 - float(data["at"])
                except (beliefs.InvalidBeliefs, KeyError, TypeError, ValueError) as fault:
                    log.warning(
                        "takeover: the learned state of process %d cannot be used: %s", max(older), fault
                    )
                    return None
                return _shifted(found, self._offset_ms), age
            await asyncio.sleep(POLL_INTERVAL_S / 4)
        return None

    def _update(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(POLL_INTERVAL_S, self._update)
        members, now = [_member(born, data) for born, data in self._known.items()], time.monotonic() * 1000.0
        waited = now - self._ready_at if self._ready_at else 0.0
        ready = self._stage is Stage.READY
        self.accepts = shares.accepts(self._born, members, ready)
        self.share = shares.share(self._born, self._total, members, self._used(), self.accepts)
        room = self.accepts and shares.has_room(self._born, members, waited)
        self._apply(self.share, self.accepts, not members, room)
        self._publish(members, self.share)

    def _publish(self, members: list[Member], keeps: int) -> None:
        """Publish this process's record if it has changed, and send the learned state to a new process."""
        if self._exchange is None:
            return
        younger = [item for item in members if item.born > self._born]
        youngest = max((item.born for item in younger), default=0)
        seen = max((item.born for item in younger if item.stage == shares.READY), default=0)
        record: dict[str, Any] = {"stage": self._stage.value, "keeps": keeps, "seen": seen, "asked": youngest}
        if record == self._published:
            return
        if youngest and youngest not in self._sent_to:
            self._sent_to.add(youngest)
            learnt = _shifted(self._learnt(), -self._offset_ms)
            self._exchange.send(youngest, beliefs.pack(learnt) | {"at": time.monotonic() * 1000.0})
        self._exchange.publish(record)
        self._published = record


def _member(born: int, data: Any) -> Member:
    """Convert a record; a malformed one gives the member without any reported values."""
    keeps, seen, stage = data.get("keeps"), data.get("seen"), data.get("stage")
    if not isinstance(keeps, int) or not isinstance(seen, int) or not isinstance(stage, str):
        return Member(born, 0, 0)
    return Member(born, max(keeps, 0), seen, stage)


def _shifted(learnt: api.Learnt, offset_ms: float) -> api.Learnt:
    """Return the learned state with start times shifted by ``offset_ms`` to another clock."""
    return replace(
        learnt,
        servers=tuple(
            replace(item, started_at=None if item.started_at is None else item.started_at + offset_ms)
            for item in learnt.servers
        ),
    )
