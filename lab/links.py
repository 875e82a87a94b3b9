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

    there: bool = True
    back: bool = True
    late_ms: float = 0.0  # each way
    loss: float = 0.0  # of messages, which then come late
    reset: float = 0.0  # of requests, whose connection is reset
    dead_before: float = -1.0  # connections opened before are open at this end alone

    def message_delay_ms(self, chance: Stream) -> float:
        """How much later a message arrives, ms."""
        late, again = self.late_ms, RETRANSMIT_MS
        while self.loss and again < 10_000.0 and chance.random() < self.loss:
            late, again = late + again, 2.0 * again
        return late


HEALTHY = Link()


class Links:
    """The state of all links; those that are sound are not kept."""

    def __init__(self, now: Callable[[], float], chance: Stream) -> None:
        self._now, self.chance = now, chance
        self._degraded: dict[ZonePair, Link] = {}
        self.on_change: Callable[[ZonePair, Link], None] = lambda place, link: None

    def of(self, sidecar_zone: str, server_zone: str) -> Link:
        return self._degraded.get((sidecar_zone, server_zone), HEALTHY) if self._degraded else HEALTHY

    def begin(self, place: ZonePair, made: Trouble, there: bool) -> None:
        """``there``: the direction that a cut one way takes."""
        link, size = self._degraded.get(place, HEALTHY), min(made.size, 1.0)
        if made.kind == "cut":
            link = replace(link, there=False, back=False)
        elif made.kind == "one_way":
            link = replace(link, there=not there, back=there)
        elif made.kind == "far":
            link = replace(link, late_ms=made.size)
        elif made.kind == "lossy":
            link = replace(link, loss=size)
        elif made.kind == "resets":
            link = replace(link, reset=size)
        else:
            link = replace(link, dead_before=self._now())
        self._set(place, link)

    def end(self, place: ZonePair) -> None:
        """Sound again; what was half open stays so."""
        self._set(place, Link(dead_before=self.of(*place).dead_before))

    def _set(self, place: ZonePair, link: Link) -> None:
        self._degraded[place] = link
        self.on_change(place, link)


def affected_links(zones: tuple[str, ...], made: Trouble, chance: Stream) -> list[ZonePair]:
    """The links that a trouble is about: a share of those between zones, or of all where there is one
    zone."""
    places = [(a, b) for a in zones for b in zones if a != b or len(zones) == 1]
    count = min(max(round(made.share * len(places)), 1), len(places))
    return [places[at] for at in sorted(chance.shuffled(len(places))[:count])]


def has_link_troubles(troubles: tuple[Trouble, ...]) -> bool:
    """Whether a play has troubles of links at all."""
    return any(item.kind in LINK_KINDS for item in troubles)
