"""Seeded faults: disables safeguards of the shipped programs to show that the ledgers detect it."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from typing import Any

from mesh.control_plane import operator_api
from mesh.control_plane.operator_api import OperatorApi
from mesh.data_plane.shutdown import Shutdown
from mesh.data_plane.staged_routes import StagedRoutes
from mesh.replication.items import Item
from mesh.replication.proposer import Conflict, Decided
from mesh.storage.lmdb_store import DiskStore, Durable
from rigs.lost_links.hop import GUARDS
from rigs.relayed_process import patch_attribute

AFFECTED_VERSIONS = 9  # one version in this many is affected
REVERT_DELAY_S = 1.0
STALE_S = 8.0
HANG_S = 60.0
FAILURE_STATUS = 3


def _ignores_changes() -> None:
    """A proxy ignores some versions of routes."""
    receive_route = StagedRoutes.receive_route

    def receive_most(self: StagedRoutes, item: Item, late: bool = False) -> None:
        if item.version % AFFECTED_VERSIONS:
            receive_route(self, item, late)

    patch_attribute(StagedRoutes, "receive_route", receive_most)


def _reverts_versions() -> None:
    """A proxy reverts to an older version."""
    put_in_force = StagedRoutes._put_in_force

    def put_in_force_and_revert(self: StagedRoutes, now: float, one: Any) -> None:
        before = self._routes.get(one.key[1])
        put_in_force(self, now, one)
        if before is not None and one.version % AFFECTED_VERSIONS == 0:
            asyncio.get_running_loop().call_later(REVERT_DELAY_S, self._routes.put, before)

    patch_attribute(StagedRoutes, "_put_in_force", put_in_force_and_revert)


def _accepts_invalid_writes() -> None:
    patch_attribute(operator_api, "check_change", lambda *_: None)


def _acknowledges_conflicts() -> None:
    """The loser of a vote gets the result that it won."""
    patch_attribute(operator_api, "Decided", (Decided, Conflict))


def _returns_stale_reads() -> None:
    """A read returns the configuration of some seconds ago."""
    rendered = OperatorApi._rendered
    cached: dict[str, tuple[float, bytes]] = {}

    def stale(self: OperatorApi) -> bytes:
        now = asyncio.get_running_loop().time()
        if not cached or now - cached["last"][0] > STALE_S:
            cached["last"] = (now, rendered(self))
        return cached["last"][1]

    patch_attribute(OperatorApi, "_rendered", stale)


def _persists_nothing() -> None:
    """A write to disk reports success without writing."""
    patch_attribute(DiskStore, "write", lambda *_: Durable())


def _exits_at_once() -> None:
    """A proxy abandons its requests on SIGTERM."""

    async def return_at_once(self: Shutdown) -> None:
        del self

    patch_attribute(Shutdown, "run", return_at_once)


def _hangs_at_shutdown() -> None:
    async def hang(self: Shutdown) -> None:
        del self
        await asyncio.sleep(HANG_S)

    patch_attribute(Shutdown, "run", hang)


def _exits_with_failure() -> None:
    run = Shutdown.run

    async def run_and_fail(self: Shutdown) -> None:
        await run(self)
        sys.exit(FAILURE_STATUS)

    patch_attribute(Shutdown, "run", run_and_fail)


def _without_guard(name: str) -> Callable[[], None]:
    """Returns a function that disables a safeguard as the test rig for lost links does."""

    def disable() -> None:
        for replaced in GUARDS[name]():
            patch_attribute(*replaced)

    return disable


SEEDED_FAULTS: dict[str, Callable[[], None]] = {
    "ignores_changes": _ignores_changes,
    "goes_back": _reverts_versions,
    "takes_what_is_invalid": _accepts_invalid_writes,
    "acknowledges_rivals": _acknowledges_conflicts,
    "reads_what_is_old": _returns_stale_reads,
    "keeps_nothing": _persists_nothing,
    "ends_at_once": _exits_at_once,
    "hangs_at_its_end": _hangs_at_shutdown,
    "ends_badly": _exits_with_failure,
    "lost_calls_never_left": _without_guard("unclear"),
    "answers_as_they_come": _without_guard("order"),
    "answers_are_left_out": _without_guard("ends"),
}
