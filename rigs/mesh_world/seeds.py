"""Faults to be put into the programs, each of which the witness must see. ``patch`` is as pytest has it."""

from __future__ import annotations

from typing import Any, Protocol

from waterworks.aquifer import quorum
from waterworks.aquifer import store as aquifer_store
from waterworks.aquifer.store import Store
from waterworks.cistern.keeper import Refused
from waterworks.leat.exchange import Exchange
from waterworks.reservoir import clerk as clerk_module
from waterworks.reservoir import council as council_module
from waterworks.reservoir import ledger as ledger_module
from waterworks.reservoir.council import Council, Held
from waterworks.reservoir.ledger import Ledger
from waterworks.reservoir.program import Reservoir


class Patch(Protocol):
    def setattr(self, target: Any, name: Any, value: Any) -> None: ...


def ack_after_one_disk(patch: Patch) -> None:
    async def hold(self: Council, items: Any, within_s: float) -> Held:
        await self._ledger.kept()
        return Held()

    patch.setattr(Council, "hold", hold)


def ack_without_a_disk(patch: Patch) -> None:
    async def kept(self: Ledger) -> None:
        return None

    patch.setattr(Ledger, "kept", kept)


def own_counts_before_sync(patch: Patch) -> None:
    async def keep_own(self: Council, pending: Any) -> None:
        self._has(pending, self.me, self.views())

    patch.setattr(Council, "_keep_own", keep_own)


def reads_answered_without_asking(patch: Patch) -> None:
    async def gather(self: Council, within_s: float) -> bool:
        return True

    patch.setattr(Council, "gather", gather)


def wiped_counts_at_once(patch: Patch) -> None:
    begin = Ledger.__init__

    def init(self: Ledger, *args: Any) -> None:
        begin(self, *args)
        self.whole = True

    patch.setattr(Ledger, "__init__", init)


def whole_before_it_heard_all(patch: Patch) -> None:
    real = Reservoir._join

    async def join(self: Reservoir) -> None:
        self.ledger.whole = bool(self.charter.items)
        await self.ledger.become_whole()
        await real(self)

    patch.setattr(Reservoir, "_join", join)


def equal_version_overwrites(patch: Patch) -> None:
    patch.setattr(aquifer_store, "outranks", lambda a, b: a.version >= b.version and a.value != b.value)


def lower_version_overwrites(patch: Patch) -> None:
    patch.setattr(aquifer_store, "outranks", lambda a, b: a.version != b.version)


def unknown_service_is_taken(patch: Patch) -> None:
    patch.setattr(clerk_module, "check", lambda change, standing: None)


def tombstone_is_forgotten_at_once(patch: Patch) -> None:
    take_all = Store.take_all

    def takes(self: Store, writes: Any) -> Any:
        taken = take_all(self, writes)
        for item in list(self.items.values()):
            if item.value is None and item.kind == "route":
                self.forget(item.key)
        return taken

    patch.setattr(Store, "take_all", takes)


def half_is_enough(patch: Patch) -> None:
    patch.setattr(
        council_module, "durable_in_views", lambda have, views, _: len(have) * 2 > len(views[0]) - 2
    )


def views_of_answerers_are_ignored(patch: Patch) -> None:
    real = quorum.durable_in_views
    patch.setattr(council_module, "durable_in_views", lambda have, views, t: real(have, views[:1], t))


def refused_counts_as_kept(patch: Patch) -> None:
    patch.setattr(ledger_module, "Kept", (Refused, object))


def questions_are_not_asked_again(patch: Patch) -> None:
    real = Exchange.question

    def question(self: Exchange) -> Any:
        told = real(self)
        return told if not self.pulled else {"t": "pulled"}

    patch.setattr(Exchange, "question", question)


def a_gap_is_counted(patch: Patch) -> None:
    real = Council._merge

    def merges(self: Council, items: Any, vector: Any) -> bool:
        claimed = {item.source: item.number for item in items}
        return real(self, items, {**claimed, **vector})

    patch.setattr(Council, "_merge", merges)


def always_something_to_say(patch: Patch) -> None:
    patch.setattr(Store, "has_news", lambda self, vector: bool(self.items))
