"""Links between zones, and what may befall them, as the simulation's models see it.

A link leads from the sidecars of one zone to the servers of another, or of the same. Over sockets a relay
does the same to real connections (rigs/relay.py).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from lab.scenario_tables import LINK_KINDS, Trouble

if TYPE_CHECKING:
    from lab.streams import Stream

RETRANSMIT_MS = 200.0  # what is lost on a connection is sent again after so long, then twice that
ZonePair = tuple[str, str]  # zone of the sidecars, zone of the servers


@dataclass(frozen=True, slots=True)
class Link:
    """``there``: requests arrive; ``back``: answers do."""

    requests_arrive: bool = True
    answers_arrive: bool = True
    delay_ms: float = 0.0  # each way
    loss_share: float = 0.0  # of messages, which then come late
    reset_share: float = 0.0  # of requests, whose connection is reset
    half_open_before: float = -1.0  # connections opened before are open at this end alone

    def message_delay_ms(self, rng: Stream) -> float:
        """How much later a message arrives, ms."""
        delay, retransmit = self.delay_ms, RETRANSMIT_MS
        while self.loss_share and retransmit < 10_000.0 and rng.random() < self.loss_share:
            delay, retransmit = delay + retransmit, 2.0 * retransmit
        return delay


HEALTHY = Link()


class Links:
    """The state of all links; those that are sound are not kept."""

    def __init__(self, now: Callable[[], float], rng: Stream) -> None:
        self._now, self.rng = now, rng
        self._degraded: dict[ZonePair, Link] = {}
        self.on_change: Callable[[ZonePair, Link], None] = lambda zones, link: None

    def of(self, sidecar_zone: str, server_zone: str) -> Link:
        return self._degraded.get((sidecar_zone, server_zone), HEALTHY) if self._degraded else HEALTHY

    def begin(self, zones: ZonePair, trouble: Trouble, requests_pass: bool) -> None:
        """``there``: the direction that a cut one way takes."""
        link, size = self._degraded.get(zones, HEALTHY), min(trouble.size, 1.0)
        if trouble.kind == "cut":
            link = replace(link, requests_arrive=False, answers_arrive=False)
        elif trouble.kind == "one_way":
            link = replace(link, requests_arrive=not requests_pass, answers_arrive=requests_pass)
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
        """Sound again; what was half open stays so."""
        self._set(zones, Link(half_open_before=self.of(*zones).half_open_before))

    def _set(self, zones: ZonePair, link: Link) -> None:
        self._degraded[zones] = link
        self.on_change(zones, link)


def affected_links(zones: tuple[str, ...], trouble: Trouble, rng: Stream) -> list[ZonePair]:
    """The links that a trouble is about: a share of those between zones, or of all where there is one
    zone."""
    places = [(a, b) for a in zones for b in zones if a != b or len(zones) == 1]
    count = min(max(round(trouble.share * len(places)), 1), len(places))
    return [places[at] for at in sorted(rng.permutation(len(places))[:count])]


def has_link_troubles(troubles: tuple[Trouble, ...]) -> bool:
    """Whether a play has troubles of links at all."""
    return any(item.kind in LINK_KINDS for item in troubles)
