"""Injects faults into the links between processes: their relays cut, delay, throttle or reset them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from rigs.relay import Faults
from rigs.soak.disturbances import Disturbance, DisturbanceRecord
from rigs.soak.nodes import Node
from rigs.soak.plan import CutLinks, DegradeLinks, ResetLinks

Direction = tuple[str, str]  # the node that connects or sends, and the one that listens


class LinkFaults:
    """The current faults of links, and the machines that they disturb."""

    def __init__(
        self,
        record: DisturbanceRecord,
        node: Callable[[str], Node],
        controllers: Callable[[], list[str]],
    ) -> None:
        """``controllers``: returns the names of the current controllers."""
        self._record, self._node, self._controllers = record, node, controllers
        self._cut: list[Direction] = []  # each direction as often as it is cut

    async def cut(self, event: CutLinks) -> None:
        """Cuts the event's links for its duration."""
        directions = [(one, other) for one in event.sources for other in event.targets if one != other]
        if event.both:
            directions += [(other, one) for one, other in directions]
        disturbances = self._begin_disturbances(directions)
        self._cut += directions
        self._update_relays(directions)
        self.update_quorum()
        await asyncio.sleep(event.for_s)
        for direction in directions:
            if direction in self._cut:
                self._cut.remove(direction)
        self._update_relays(directions)
        self._end_disturbances(directions, disturbances)

    def _begin_disturbances(self, directions: Iterable[Direction]) -> list[Disturbance]:
        """Records disturbances of the proxies of these links, and of the core if links within it are cut."""
        now, controllers = self._now(), set(self._controllers())
        disturbances = [self._record.disturb_links(now)]
        names = {name for direction in directions for name in direction if name not in controllers}
        disturbances += [self._record.disturb_node(name, now) for name in sorted(names)]
        if any(one in controllers and other in controllers for one, other in directions):
            self._record.disturb_core(now)
        return disturbances

    def _end_disturbances(self, directions: Iterable[Direction], disturbances: list[Disturbance]) -> None:
        now, controllers = self._now(), set(self._controllers())
        for disturbance in disturbances:
            disturbance.ended = now
        if any(one in controllers and other in controllers for one, other in directions):
            self._record.disturb_core(now)
        self.update_quorum()

    def _update_relays(self, directions: Iterable[Direction]) -> None:
        """Updates the relays of both nodes of each link, whichever of them connected."""
        for one, other in {tuple(sorted(direction)) for direction in directions}:
            self._update_relay(one, other)
            self._update_relay(other, one)

    def _update_relay(self, connecting: str, listening: str) -> None:
        """Updates the relay of the listening node for links from the connecting one."""
        relay = self._node(listening).relay
        if relay is None:
            return
        there, back = (connecting, listening) in self._cut, (listening, connecting) in self._cut
        faults = Faults(to_target=not there, to_client=not back) if there or back else None
        relay.set_faults_from(self._node(connecting).ip, faults)

    async def degrade(self, event: DegradeLinks) -> None:
        """Degrades all links that other processes open to these nodes, for the event's duration."""
        now = self._now()
        disturbances = [self._record.disturb_links(now)]
        disturbances += [self._record.disturb_node(name, now) for name in event.nodes]
        if set(event.nodes) & set(self._controllers()):
            disturbances.append(self._record.disturb_core(now, lasts=True))
        faults = Faults(delay_ms=event.delay_ms, bytes_s=event.bytes_s, reset=event.reset)
        for name in event.nodes:
            self._set_default(name, faults)
        await asyncio.sleep(event.for_s)
        for name in event.nodes:
            self._set_default(name, Faults())
        for disturbance in disturbances:
            disturbance.ended = self._now()

    def _set_default(self, name: str, faults: Faults) -> None:
        relay = self._node(name).relay
        if relay is not None:
            relay.set_faults(faults)

    def reset(self, event: ResetLinks) -> None:
        """Resets all open connections to these nodes."""
        now = self._now()
        self._record.disturb_links(now).ended = now
        for name in event.nodes:
            node = self._node(name)
            self._record.disturb_node(name, now).ended = now
            if node.is_controller:
                self._record.disturb_core(now)
            for pair in node.relay.open() if node.relay is not None else ():
                pair.reset()

    def heal(self) -> None:
        """Ends all cuts."""
        directions = list(self._cut)
        self._cut.clear()
        self._update_relays(directions)

    def update_quorum(self) -> None:
        """Records whether more than half of the core runs and is connected."""
        names = self._controllers()
        running = [name for name in names if self._node(name).running]
        largest = max((len(self._reachable_from(name, running)) for name in running), default=0)
        self._record.set_quorum_lost(self._now(), lost=largest * 2 <= len(names))

    def _reachable_from(self, name: str, running: list[str]) -> set[str]:
        found, new = {name}, [name]
        while new:
            one = new.pop()
            for other in running:
                if other not in found and (one, other) not in self._cut and (other, one) not in self._cut:
                    found.add(other)
                    new.append(other)
        return found

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
