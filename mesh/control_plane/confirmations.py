"""What is acknowledged is bound to what is in force: an order that takes long to spread is acknowledged when
the proxies that are in touch have it, or at its bound.

Most orders spread faster than they are confirmed, and are acknowledged at once. One waits where it is large,
or where proxies that are heard have not confirmed an earlier one for some time: then it would stand behind
that in the same links. Waited for are the proxies that this process hears over links of its own and that
have run for so long that the rules hold for them, those that other control processes hear and tell as behind,
and for a short time all that have ever confirmed anything; who cannot be heard holds nothing up for long.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Collection, Mapping, Sequence

from msgspec import Struct

from mesh.data_plane.membership import PROXY
from mesh.dissemination.peers import Channels
from mesh.event_log import events
from mesh.event_log.log import EventLog
from mesh.replication.items import Item
from mesh.rollout.report import RolloutReport, needs_of

LARGE_ORDER_ITEMS = 64  # items, from which an order waits
OVERDUE_S = 0.5  # an order that is not confirmed for so long holds up what comes behind it
BOUND_SHARE = 0.5  # of the time that the operators give an acknowledgement
EXTRA_S_PER_ITEM = 0.003  # that they give more for each route
LINK_ALIVE_S = 0.6  # a link on which nothing came for longer does not show that its proxy runs
UNLINKED_WAIT_S = 1.0  # for so long at the most a proxy is waited for that has no link to this process
PEER_REPORT_VALID_S = 1.2  # what another control process told of proxies that are behind holds for so long
MAX_BEHIND_NAMES = 16  # that are told
POLL_S = 0.02
MAX_ORDERS_KEPT = 64  # orders that may be jammed

Needs = Mapping[str, int]  # by source, the number to which a vector that holds all of an order has risen


class DecidedOrder(Struct, frozen=True):
    """An order that was decided: what confirms it, and since when it is known here."""

    needs: Needs
    known_at: float


class Confirmations:
    """Of one control process; ``reports`` by node are kept up by their owner."""

    def __init__(
        self,
        ack_ms: float,
        contact_ms: float,
        reports: Mapping[str, RolloutReport],
        channels: Channels,
        event_log: EventLog,
    ) -> None:
        """Nothing was decided yet."""
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()
        self.update_bounds(ack_ms, contact_ms)
        self._reports, self._channels, self._event_log = reports, channels, event_log
        self._orders: deque[DecidedOrder] = deque(maxlen=MAX_ORDERS_KEPT)
        self._peer_reports: dict[
            str, tuple[float, frozenset[str]]
        ] = {}  # by control process: when, who is behind
        self._incarnations: dict[
            str, tuple[str, float]
        ] = {}  # of proxies by node: the life, and since when it is known

    def update_bounds(self, ack_ms: float, contact_ms: float) -> None:
        """Other bounds, for what comes from now on."""
        self._ack_s, self._contact_s = ack_ms / 1000.0, contact_ms / 1000.0

    def bound_s(self, count: int) -> float:
        """From its decision an order of so many items is acknowledged within this, whoever has it."""
        return BOUND_SHARE * (self._ack_s + EXTRA_S_PER_ITEM * count)

    def items_changed(self, items: Sequence[Item]) -> None:
        """Items of the configuration have come."""
        self._orders.append(DecidedOrder(needs_of(items), self._loop.time()))

    def tick(self, now: float) -> None:
        """Called several times a second: which lives of proxies are linked."""
        for channel in self._channels.open:
            if channel.extra.get("role") != PROXY:
                continue
            incarnation = self._incarnations.get(channel.node)
            if incarnation is None or incarnation[0] != channel.peer_source:
                self._incarnations[channel.node] = (channel.peer_source, now)

    def _in_touch(self, now: float) -> set[str]:
        """Proxies for which the rules hold, as far as this process hears itself or is told."""
        reported = [
            names
            for reported_at, names in self._peer_reports.values()
            if now - reported_at <= PEER_REPORT_VALID_S
        ]
        return self._live_proxies(now).union(*reported)

    def _live_proxies(self, now: float) -> set[str]:
        return {
            channel.node
            for channel in self._channels.open
            if channel.extra.get("role") == PROXY
            and channel.link.up
            and now - channel.link.heard_at <= LINK_ALIVE_S
            and now - self._incarnations.get(channel.node, ("", now))[1] >= self._contact_s
        }

    def _lacking(self, nodes: Collection[str], needs: Needs) -> set[str]:
        return {
            node
            for node in nodes
            if (report := self._reports.get(node)) is None
            or any(report.vector.get(source, 0) < number for source, number in needs.items())
        }

    def _waited_for(self, now: float, decided_at: float) -> set[str]:
        """Whose confirmation an order that was decided then waits for."""
        if now - decided_at >= UNLINKED_WAIT_S:
            return self._in_touch(now)
        linked = {channel.node for channel in self._channels.open}
        return self._in_touch(now) | (self._reports.keys() - linked)

    def find_behind(self) -> list[str]:
        """Proxies that this process hears itself and that have not confirmed an order of some time ago."""
        now = self._loop.time()
        live = self._live_proxies(now)
        overdue = [order for order in self._orders if OVERDUE_S < now - order.known_at < 2.0 * self._ack_s]
        return sorted(set().union(*(self._lacking(live, order.needs) for order in overdue)))[
            :MAX_BEHIND_NAMES
        ]

    def peer_reported_behind(self, address: str, names: object) -> None:
        """The control process there has answered, and says who is behind. Raises TypeError for what is no
        list."""
        if not isinstance(names, list | tuple):
            raise TypeError("those that are behind are a list of names")
        self._peer_reports[address] = (
            self._loop.time(),
            frozenset(str(name) for name in names[:MAX_BEHIND_NAMES]),
        )

    def has_overdue(self, now: float) -> bool:
        """Whether a proxy in touch has not confirmed an order of some time ago."""
        return any(
            now - order.known_at > OVERDUE_S and self._lacking(self._in_touch(now), order.needs)
            for order in self._orders
            if now - order.known_at < 2.0 * self._ack_s
        )

    def _decided_at(self, items: Sequence[Item]) -> float:
        """Since when all of these are known here. An order may name what stood long before, and its parts may
        have come one after the other, so each is looked up by itself."""
        return max((self._known_at(item) for item in items), default=self._started_at)

    def _known_at(self, item: Item) -> float:
        """Since when that one is known here; at the latest since the oldest that is kept."""
        for order in self._orders:
            if order.needs.get(item.source, 0) >= item.number:
                return order.known_at
        return self._orders[0].known_at if len(self._orders) == MAX_ORDERS_KEPT else self._started_at

    async def wait_confirmed(self, items: Sequence[Item], within_s: float) -> bool:
        """Until the order of these items may be acknowledged; False where that takes longer."""
        started_at = now = self._loop.time()
        if len(items) < LARGE_ORDER_ITEMS and not self.has_overdue(now):
            return True
        needs, decided_at = needs_of(items), self._decided_at(items)
        while lacking := self._lacking(self._waited_for(now, decided_at), needs):
            if now - decided_at >= self.bound_s(len(items)):
                waited_ms = round((now - decided_at) * 1000.0)
                self._event_log.tell(
                    events.ACKNOWLEDGED_EARLY, items=len(items), sidecars=len(lacking), waited_ms=waited_ms
                )
                return True
            if now - started_at >= within_s:
                return False
            await asyncio.sleep(POLL_S)
            now = self._loop.time()
        return True
