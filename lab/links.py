"""Model of the network links between zones and of their faults.

A link leads from the sidecars of one zone to the servers of a zone. In runs over sockets, a relay applies the
same faults to real connections (rigs/relay.py).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from lab.scenario_tables import LINK_KINDS, Trouble

if TYPE_CHECKING:
    from lab.streams import Stream

RETRANSMIT_MS = 200.0  # first retransmission timeout of a lost message; it doubles each time
ZonePair = tuple[str, str]  # of the sidecars and of the servers


@dataclass(frozen=True, slots=True)
class Link:
    """The state of a link."""

    requests_arrive: bool = True
    answers_arrive: bool = True
    delay_ms: float = 0.0  # added delay in each direction
    loss_share: float = 0.0  # share of messages that are lost and retransmitted, so they arrive late
    reset_share: float = 0.0  # share of requests whose connection is reset
    half_open_before: float = -1.0  # connections opened before this instant are half-open

    def message_delay_ms(self, rng: Stream) -> float:
        """Draws the added delay of a message in ms."""
        delay, retransmit = self.delay_ms, RETRANSMIT_MS
        while self.loss_share and retransmit < 10_000.0 and rng.random() < self.loss_share:
            delay, retransmit = delay + retransmit, 2.0 * retransmit
        return delay


HEALTHY = Link()


class Links:
    """The state of all links. Links without an entry are healthy."""

    def __init__(self, now: Callable[[], float], rng: Stream) -> None:
        self._now, self.rng = now, rng
        self._degraded: dict[ZonePair, Link] = {}
        self.on_change: Callable[[ZonePair, Link], None] = lambda zones, link: None

    def of(self, sidecar_zone: str, server_zone: str) -> Link:
        """Returns the present state of a link."""
        return self._degraded.get((sidecar_zone, server_zone), HEALTHY) if self._degraded else HEALTHY

    def begin(self, zones: ZonePair, trouble: Trouble, cuts_requests: bool) -> None:
        """Starts a fault. A one-way cut drops requests if ``cuts_requests``, and answers otherwise."""
        link, size = self._degraded.get(zones, HEALTHY), min(trouble.size, 1.0)
        if trouble.kind == "cut":
            link = replace(link, requests_arrive=False, answers_arrive=False)
        elif trouble.kind == "one_way":
            link = replace(link, requests_arrive=not cuts_requests, answers_arrive=cuts_requests)
        elif trouble.kind == "far":
            link = replace(link, delay_ms=trouble.size)
        elif trouble.kind == "lossy":
            link = replace(link, loss_share=size)
        elif trouble.kind == "resets":
            link = replace(link, reset_share=size)
        else:
            link = replace(link, half_open_before=self._now())
        self._set(zones, link)

    def end(self, zones: ZonePair) -> None:
        """Ends the fault of a link; half-open connections stay half-open."""
        self._set(zones, Link(half_open_before=self.of(*zones).half_open_before))

    def _set(self, zones: ZonePair, link: Link) -> None:
        self._degraded[zones] = link
        self.on_change(zones, link)


def affected_links(zones: tuple[str, ...], trouble: Trouble, rng: Stream) -> list[ZonePair]:
    """Draws the links that a trouble affects: a share of those between zones, or of the only zone's own."""
    links = [
        (client_zone, server_zone)
        for client_zone in zones
        for server_zone in zones
        if client_zone != server_zone or len(zones) == 1
    ]
    count = min(max(round(trouble.share * len(links)), 1), len(links))
    return [links[index] for index in sorted(rng.permutation(len(links))[:count])]


def has_link_troubles(troubles: tuple[Trouble, ...]) -> bool:
    """Whether any of the troubles affects links."""
    return any(item.kind in LINK_KINDS for item in troubles)
