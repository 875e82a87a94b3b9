"""Coordinates a sidecar that has an admin interface or shares its listening socket with another process:
readiness, share of descriptors and warm start."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

from anisestair.admin.readiness import Readiness, Stage, UpstreamStatus, may_serve
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

FIXED_DESCRIPTORS = 24  # for the log, the loop, signals, listeners, discovery and files
MIN_CONNECTIONS = 8  # connections to clients, and to upstreams, that a process may always have
READINESS_POLL_S = 0.02  # interval of readiness checks during the start


class ServingCoordinator:
    """Starts and stops the admin interface and the takeover, and applies this process's share."""

    def __init__(
        self, config: Config, offset_ms: float, sidecar: Sidecar, frontend: Frontend, spare: int
    ) -> None:
        self._config, self._sidecar, self._frontend = config, sidecar, frontend
        self._admin_descriptors = spare - SPARE_SOCKETS  # reserved for connections to the admin interface
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

    def _lists(self) -> UpstreamStatus:
        sidecar = self._sidecar
        return UpstreamStatus(sidecar.usable, sidecar.list_received, sidecar.discovery_failed)

    async def start(self) -> Address:
        """Listen for clients and open the admin interface; return the clients' address. Client connections
        wait in the backlog, where another process may accept them, until this process is ready.

        Raises ConfigError for an inherited descriptor that cannot be used."""
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
                log.error("%s: BALANCER_MGMT: %s: serving without the admin interface", config.name, fault)
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
            "%s: warm start: %d of %d upstreams restored from state that is %.0f ms old",
            *(self._config.name, len(kept.servers), len(learnt.servers), age),
        )

    def _check_readiness(self) -> None:
        """Check until this process can serve; in a takeover, older processes must make room as well."""
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

    # Exchange with the other processes of the same sidecar

    def _used_descriptors(self) -> int:
        """Return the descriptors that this process holds, or may need without accepting connections."""
        calls = self._admin.open_connections() if self._admin is not None else 0
        return FIXED_DESCRIPTORS + calls + self._frontend.held() + self._upstream_connections_needed()

    def _upstream_connections_needed(self) -> int:
        """Return the upstream connections needed for the current clients, which do not all send requests at
        once."""
        return max(self._busy_upstream_connections() + MIN_CONNECTIONS, self._frontend.held() // 2)

    def _busy_upstream_connections(self) -> int:
        """Return the number of upstream connections in use; idle ones can be closed at any time."""
        return len(self._sidecar.lives.connections) - len(self._sidecar.lives.idle)

    def _learnt(self) -> api.Learnt:
        return self._sidecar.balancer.learnt(self._sidecar.now())

    def _apply(self, share: int, accepts: bool, alone: bool, room: bool) -> None:
        """Apply this process's share of descriptors. No client connection is closed to make room for another
        process: a request may be in transit on any of them."""
        each = max(share - FIXED_DESCRIPTORS - self._admin_descriptors, 2 * MIN_CONNECTIONS) // 2
        if accepts:
            self._frontend.allow(max(each, self._frontend.held()), patient=not alone)
        most = each if accepts else self._upstream_connections_needed()
        if most != self._sidecar.lives.most:
            self._sidecar.feed(ev.Room(most))
        self._frontend.hold(not accepts)
        if room and self._readiness.stage is Stage.STARTING:
            self._mark_ready()
