"""All links of the first hop, by node."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping

from mesh.admission.final_check import RejectReason
from mesh.data_plane.call_messages import Call, End, NotExecuted
from mesh.data_plane.call_state import OutgoingCall
from mesh.data_plane.paced_turns import PacedTurns
from mesh.data_plane.peer_calls import PeerLink
from mesh.data_plane.upstream_dispatch import UpstreamDispatch
from mesh.event_log.log import EventLog
from mesh.transport.link import Address


class PeerLinks:
    """Sends calls to the nodes of their upstreams. ``local`` is the second hop of this process, ``node`` its
    name. ``on_reachable`` is called when a node becomes unreachable or reachable again. ``incarnation`` is
    unique to this process; its calls have increasing numbers that are never reused."""

    def __init__(
        self,
        node: str,
        local: UpstreamDispatch,
        event_log: EventLog,
        on_reachable: Callable[[str, bool], None],
        incarnation: str = "",
    ) -> None:
        """Starts without links."""
        self.node, self.local, self.event_log, self.on_reachable, self.incarnation = (
            node,
            local,
            event_log,
            on_reachable,
            incarnation,
        )
        self.loop = asyncio.get_running_loop()
        self.last_number = 0
        self.known_controllers: Callable[[], Mapping[str, Address]] = dict
        self._links: dict[str, PeerLink] = {}
        self._retiring: set[str] = set()  # nodes that are no longer known but have open calls
        self.turns = PacedTurns(self.loop)  # for the calls of lost links, over all links

    def send(
        self, call: Call, node: str, address: Address | None, on_end: Callable[[End], None]
    ) -> OutgoingCall:
        """Sends a call to a node. ``on_end`` is called once, possibly before this returns, unless the call is
        dropped."""
        outgoing = OutgoingCall(call, on_end)
        if node == self.node:
            outgoing.local = self.local.accept(call, on_end)
            return outgoing
        link = self._links.get(node)
        if address is None:
            on_end(NotExecuted(RejectReason.DOWN))
            return outgoing
        self._retiring.discard(node)
        if link is None or link.address != address:
            if link is not None:
                link.retire()
            known_down = link is not None and link.down
            link = self._links[node] = PeerLink(self, node, address)
            if known_down:
                self.on_reachable(node, True)
        outgoing.link = link
        link.send(outgoing)
        return outgoing

    def drop(self, outgoing: OutgoingCall) -> None:
        """Cancels a call."""
        if outgoing.local is not None:
            self.local.drop(outgoing.local)
        elif outgoing.link is not None:
            outgoing.link.drop(outgoing)

    def open_early(self, node: str, address: Address) -> None:
        """Opens a link for calls that are expected soon, unless there is one already."""
        if node != self.node and node not in self._links:
            link = self._links[node] = PeerLink(self, node, address)
            link.used_at = self.loop.time()
            link.open()

    def links(self) -> Iterable[PeerLink]:
        """The links to all nodes that were called or will be soon."""
        return self._links.values()

    def reaches(self, node: str) -> bool:
        """Whether a node can be reached, as far as is known."""
        link = self._links.get(node)
        return link is None or not link.down

    def forget(self, node: str) -> None:
        """Retires the link to a node that is no longer known, after its open calls: the node may only be
        unreachable from others, and its calls may still get their responses."""
        if node in self._links:
            self._retiring.add(node)
            self._retire_finished()

    def _retire_finished(self) -> None:
        for node in sorted(self._retiring):
            if not self._links[node].open_calls and not self._links[node].to_query:
                self._retiring.discard(node)
                self._links.pop(node).retire()

    def tick(self, now: float) -> None:
        """Called periodically."""
        self._retire_finished()
        for link in list(self._links.values()):
            link.tick(now)
