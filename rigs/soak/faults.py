"""Guards of the shipped programs that can be taken out, so that the ledgers are shown to see each fault."""

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
from rigs.relayed_process import replace

SELDOM = 9  # one version in so many is treated otherwise
BACK_S = 1.0
STALE_S = 8.0
HANGS_S = 60.0
BROKEN_STATUS = 3


def _ignores_changes() -> None:
    """A proxy lets some versions of routes pass by."""
    route = StagedRoutes.receive_route

    def seldom_not(self: StagedRoutes, item: Item, late: bool = False) -> None:
        if item.version % SELDOM:
            route(self, item, late)

    replace(StagedRoutes, "receive_route", seldom_not)


def _goes_back() -> None:
    """A proxy puts an older version into force again."""
    use = StagedRoutes._put_in_force

    def use_and_go_back(self: StagedRoutes, now: float, one: Any) -> None:
        before = self._routes.get(one.key[1])
        use(self, now, one)
        if before is not None and one.version % SELDOM == 0:
            asyncio.get_running_loop().call_later(BACK_S, self._routes.put, before)

    replace(StagedRoutes, "_put_in_force", use_and_go_back)


def _takes_what_is_invalid() -> None:
    replace(operator_api, "check_change", lambda *_: None)


def _acknowledges_rivals() -> None:
    """Who lost a vote is told that he won it."""
    replace(operator_api, "Decided", (Decided, Conflict))


def _reads_what_is_old() -> None:
    """A read is answered with what stood some seconds ago."""
    rendered = OperatorApi._rendered
    kept: dict[str, tuple[float, bytes]] = {}

    def old(self: OperatorApi) -> bytes:
        now = asyncio.get_running_loop().time()
        if not kept or now - kept["last"][0] > STALE_S:
            kept["last"] = (now, rendered(self))
        return kept["last"][1]

    replace(OperatorApi, "_rendered", old)


def _keeps_nothing() -> None:
    """The disk is said to have what it has not."""
    replace(DiskStore, "write", lambda *_: Durable())


def _ends_at_once() -> None:
    """A proxy that is told to end leaves its requests."""

    async def at_once(self: Shutdown) -> None:
        del self

    replace(Shutdown, "run", at_once)


def _hangs_at_its_end() -> None:
    async def hang(self: Shutdown) -> None:
        del self
        await asyncio.sleep(HANGS_S)

    replace(Shutdown, "run", hang)


def _ends_badly() -> None:
    run = Shutdown.run

    async def run_and_fail(self: Shutdown) -> None:
        await run(self)
        sys.exit(BROKEN_STATUS)

    replace(Shutdown, "run", run_and_fail)


def _guard(name: str) -> Callable[[], None]:
    """One that the rig of lost links takes out."""

    def take_out() -> None:
        for replaced in GUARDS[name]():
            replace(*replaced)

    return take_out


FAULTS: dict[str, Callable[[], None]] = {
    "ignores_changes": _ignores_changes,
    "goes_back": _goes_back,
    "takes_what_is_invalid": _takes_what_is_invalid,
    "acknowledges_rivals": _acknowledges_rivals,
    "reads_what_is_old": _reads_what_is_old,
    "keeps_nothing": _keeps_nothing,
    "ends_at_once": _ends_at_once,
    "hangs_at_its_end": _hangs_at_its_end,
    "ends_badly": _ends_badly,
    "lost_calls_never_left": _guard("unclear"),
    "answers_as_they_come": _guard("order"),
    "answers_are_left_out": _guard("ends"),
}
