"""A sidecar that operators call, or that is one of two processes: its readiness, its share, its warm
start."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

from anisestair.admin.readiness import Lists, Readiness, Stage, may_serve
from anisestair.configure.effective import Config
from anisestair.endpoints import Address
from anisestair.http.frontend import Frontend
from anisestair.lifecycle import events as ev
from anisestair.recovery import beliefs
from anisestair.recovery.takeover import Takeover
from anisestair.sidecar import SPARE_SOCKETS, Sidecar
from hareloom import interface as api

if TYPE_CHECKING:
    from anisestair.admin.server import AdminServer

log = logging.getLogger(__name__)

FIXED_DESCRIPTORS = 24  # descriptors of the log, the loop, signals, listeners, discovery and files
MIN_CONNECTIONS = 8  # connections on either side that a process may always have
READINESS_POLL_S = 0.02  # while a start is not ready yet


class ServingCoordinator:
    def __init__(
        self, config: Config, offset_ms: float, sidecar: Sidecar, frontend: Frontend, spare: int
    ) -> None:
        self._config, self._sidecar, self._frontend = config, sidecar, frontend
        self._admin_descriptors = spare - SPARE_SOCKETS  # descriptors kept for operators' calls
        self._loop = asyncio.get_running_loop()
        self._readiness, self._started_ms = Readiness(), self._now()
        self._timer: asyncio.TimerHandle | None = None
        self._admin: AdminServer | None = None
        self._takeover: Takeover | None = None
        if config.inherited is not None:
            self._takeover = Takeover(
                config.sockets, offset_ms, self._used_descriptors, self._learnt, self._apply
            )

    @staticmethod
    def _now() -> float:
        return time.monotonic() * 1000.0

    def _lists(self) -> Lists:
        sidecar = self._sidecar
        return Lists(sidecar.usable, sidecar.heard, sidecar.unheard)

    async def start(self) -> Address:
        """Raises ConfigError for a descriptor that cannot be used. Operators can call from now on; clients'
        connections wait in the backlog until this process is ready, where another one may still take them."""
        config = self._config
        listener = None
        if config.inherited is not None:
            from anisestair.recovery import inherited

            listener = inherited.nonblocking_listener(
                inherited.duplicate_listener(config.inherited, config.listen)
            )
        where = self._frontend.listen(config.listen, listener)
        if config.mgmt is not None:
            from anisestair.admin import setup

            try:
                self._admin = setup.start(
                    config.mgmt, self._sidecar, lambda: (self._readiness.stage, self._lists())
                )
                log.info("%s: operators call %s:%d", config.name, *self._admin.address)
            except OSError as fault:
                log.error(
                    "%s: BALANCER_MGMT: %s: operators cannot call; serving all the same", config.name, fault
                )
        if self._takeover is not None:
            self._takeover.start()
            await self._warm_start(self._takeover)
        self._check_readiness()
        return where

    async def _warm_start(self, takeover: Takeover) -> None:
        found = await takeover.inherited_beliefs()
        if found is None:
            return
        learnt, age = found
        sidecar = self._sidecar
        born = {name: server.entry.started_at for name, server in sidecar.balancer.servers.items()}
        kept = beliefs.faded(learnt, age, sidecar.balancer.mean_aim, born)
        sidecar.balancer.believe(sidecar.now(), kept)
        log.info(
            "%s: warm start: %d of %d upstreams believed, learnt %.0f ms ago",
            *(self._config.name, len(kept.servers), len(learnt.servers), age),
        )

    def _check_readiness(self) -> None:
        """Until this process can serve; where another one is there, until that one has made room as well."""
        if not may_serve(self._now() - self._started_ms, self._lists()):
            self._timer = self._loop.call_later(READINESS_POLL_S, self._check_readiness)
        elif self._takeover is not None:
            self._takeover.set_stage(Stage.READY)
        else:
            self._mark_ready()

    def _mark_ready(self) -> None:
        self._readiness.ready()
        log.info("%s: ready", self._config.name)

    def begin_shutdown(self) -> None:
        self._readiness.end()
        if self._timer is not None:
            self._timer.cancel()
        if self._takeover is not None:
            self._takeover.set_stage(Stage.ENDING)

    def close(self) -> None:
        if self._takeover is not None:
            self._takeover.close()
        if self._admin is not None:
            self._admin.close()

    # What the other process of the same sidecar is told, and what it says

    def _used_descriptors(self) -> int:
        """What this process holds, or may come to hold without accepting."""
        calls = self._admin.held() if self._admin is not None else 0
        return FIXED_DESCRIPTORS + calls + self._frontend.held() + self._upstream_connections_needed()

    def _upstream_connections_needed(self) -> int:
        """Connections to upstreams that this process needs for the clients it has: not all of them ask at
        once."""
        return max(self._busy_upstream_connections() + MIN_CONNECTIONS, self._frontend.held() // 2)

    def _busy_upstream_connections(self) -> int:
        """Connections to upstreams that carry something; the idle ones can be let go at any time."""
        return len(self._sidecar.lives.connections) - len(self._sidecar.lives.idle)

    def _learnt(self) -> api.Learnt:
        return self._sidecar.balancer.learnt(self._sidecar.now())

    def _apply(self, share: int, accepts: bool, alone: bool, room: bool) -> None:
        """No client's connection is closed for the other process' sake: a request may be on its way on
        any."""
        each = max(share - FIXED_DESCRIPTORS - self._admin_descriptors, 2 * MIN_CONNECTIONS) // 2
        if accepts:
            self._frontend.allow(max(each, self._frontend.held()), patient=not alone)
        most = each if accepts else self._upstream_connections_needed()
        if most != self._sidecar.lives.most:
            self._sidecar.feed(ev.Room(most))
        self._frontend.hold(not accepts)
        if room and self._readiness.stage is Stage.STARTING:
            self._mark_ready()
