"""Links between the processes of a soak that are cut, late, narrow or reset, by the relays before them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from rigs.relay import Faults
from rigs.soak.contact import ContactRecord, Trouble
from rigs.soak.nodes import Node
from rigs.soak.plan import CutLinks, DegradeLinks, ResetLinks

Pair = tuple[str, str]  # who dials or sends, and who listens


class LinkTroubles:
    """What is wrong with the links now, and which machines that touches."""

    def __init__(
        self, contact: ContactRecord, node: Callable[[str], Node], controllers: Callable[[], list[str]]
    ) -> None:
        """``controllers``: the names of those that are there."""
        self._contact, self._node, self._controllers = contact, node, controllers
        self._cut: list[Pair] = []  # directions, as often as they are cut

    async def cut(self, event: CutLinks) -> None:
        """For as long as it says."""
        pairs = [(one, other) for one in event.sources for other in event.targets if one != other]
        if event.both:
            pairs += [(other, one) for one, other in pairs]
        troubles = self._touched(pairs)
        self._cut += pairs
        self._set(pairs)
        self.core_changed()
        await asyncio.sleep(event.for_s)
        for pair in pairs:
            if pair in self._cut:
                self._cut.remove(pair)
        self._set(pairs)
        self._over(pairs, troubles)

    def _touched(self, pairs: Iterable[Pair]) -> list[Trouble]:
        """Proxies whose links these are; the core, where it is cut in itself."""
        now, controllers = self._now(), set(self._controllers())
        troubles = [self._contact.links(now)]
        names = {name for pair in pairs for name in pair if name not in controllers}
        troubles += [self._contact.node(name, now) for name in sorted(names)]
        if any(one in controllers and other in controllers for one, other in pairs):
            self._contact.core(now)
        return troubles

    def _over(self, pairs: Iterable[Pair], troubles: list[Trouble]) -> None:
        now, controllers = self._now(), set(self._controllers())
        for trouble in troubles:
            trouble.ended = now
        if any(one in controllers and other in controllers for one, other in pairs):
            self._contact.core(now)
        self.core_changed()

    def _set(self, pairs: Iterable[Pair]) -> None:
        """Both ends of each link of these pairs, whoever dialled it."""
        for one, other in {tuple(sorted(pair)) for pair in pairs}:
            self._set_end(one, other)
            self._set_end(other, one)

    def _set_end(self, dials: str, listens: str) -> None:
        """Links that the one opens to the other."""
        relay = self._node(listens).relay
        if relay is None:
            return
        there, back = (dials, listens) in self._cut, (listens, dials) in self._cut
        faults = Faults(there=not there, back=not back) if there or back else None
        relay.set_from(self._node(dials).ip, faults)

    async def degrade(self, event: DegradeLinks) -> None:
        """For as long as it says; all that come to these nodes, and all that they open."""
        now = self._now()
        troubles = [self._contact.links(now)]
        troubles += [self._contact.node(name, now) for name in event.nodes]
        if set(event.nodes) & set(self._controllers()):
            troubles.append(self._contact.core(now, lasts=True))
        faults = Faults(delay_ms=event.delay_ms, bytes_s=event.bytes_s, reset=event.reset)
        for name in event.nodes:
            self._set_all(name, faults)
        await asyncio.sleep(event.for_s)
        for name in event.nodes:
            self._set_all(name, Faults())
        for trouble in troubles:
            trouble.ended = self._now()

    def _set_all(self, name: str, faults: Faults) -> None:
        relay = self._node(name).relay
        if relay is not None:
            relay.set(faults)

    def reset(self, event: ResetLinks) -> None:
        """All connections that stand to these nodes."""
        now = self._now()
        self._contact.links(now).ended = now
        for name in event.nodes:
            node = self._node(name)
            self._contact.node(name, now).ended = now
            if node.is_controller:
                self._contact.core(now)
            for pair in node.relay.open() if node.relay is not None else ():
                pair.reset()

    def heal(self) -> None:
        """All links carry everything from now on."""
        pairs = list(self._cut)
        self._cut.clear()
        self._set(pairs)

    def core_changed(self) -> None:
        """Whether more than half of the core runs and is connected may have changed."""
        names = self._controllers()
        running = [name for name in names if self._node(name).running]
        largest = max((len(self._reached(name, running)) for name in running), default=0)
        self._contact.minority(self._now(), lost=largest * 2 <= len(names))

    def _reached(self, name: str, running: list[str]) -> set[str]:
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
