"""Records which nodes were disturbed and when, hence which time bounds of the operators' rules apply.

A node is in contact at a moment if nothing disturbed it, or the core, during the ``contact_s`` before. Only
what the soak itself did, or the stalls of this machine that it measured, counts as a disturbance. No I/O.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable, Sequence

from msgspec import Struct

ALL_NODES = "*"  # in place of a node's name: the whole machine stalled


class Bounds(Struct, frozen=True):
    """The time bounds of the operators' rules, in seconds."""

    settle_s: float = 2.0
    contact_s: float = 3.0
    stretch_s: float = 5.0
    revert_slack_s: float = 0.25
    ack_s: float = 4.0
    ack_item_s: float = 0.003
    grace_s: float = 6.0


class Disturbance(Struct):
    """A time span; ``ended`` is inf while it lasts."""

    began: float
    ended: float = math.inf
    planned: bool = False  # a SIGTERM and the restart after it

    def overlaps(self, since: float, until: float) -> bool:
        """Whether any part of it lies in that span."""
        return self.began <= until and self.ended >= since


class DisturbanceRecord:
    """All disturbances of a soak, by what they affect."""

    def __init__(self, bounds: Bounds) -> None:
        """Creates an empty record."""
        self.bounds = bounds
        self._nodes: dict[str, list[Disturbance]] = defaultdict(list)
        self._core: list[Disturbance] = []
        self._quorum_losses: list[Disturbance] = []
        self._links: list[Disturbance] = []
        self.controller_names: Callable[[], Sequence[str]] = tuple  # of the current core

    def disturb_node(self, node: str, now: float, planned: bool = False) -> Disturbance:
        """Begins a disturbance of that node; the caller sets its end."""
        disturbance = Disturbance(now, planned=planned)
        self._nodes[node].append(disturbance)
        return disturbance

    def disturb_core(self, now: float, lasts: bool = False, planned: bool = False) -> Disturbance:
        """Records a disturbance of the core: at this moment only, or, if it ``lasts``, until the caller sets
        its end."""
        disturbance = Disturbance(now, math.inf if lasts else now, planned)
        self._core.append(disturbance)
        return disturbance

    def disturb_links(self, now: float) -> Disturbance:
        """Begins a disturbance of links, of any nodes; the caller sets its end."""
        disturbance = Disturbance(now)
        self._links.append(disturbance)
        return disturbance

    def set_quorum_lost(self, now: float, lost: bool) -> None:
        """Records whether, from now on, half of the core or more is unavailable."""
        ongoing = bool(self._quorum_losses) and math.isinf(self._quorum_losses[-1].ended)
        if lost and not ongoing:
            self._quorum_losses.append(Disturbance(now))
        elif ongoing and not lost:
            self._quorum_losses[-1].ended = now

    def node_undisturbed(self, node: str, since: float, until: float) -> bool:
        """Whether nothing disturbed that node itself in the span."""
        of_node = (*self._nodes[node], *self._nodes[ALL_NODES])
        return not any(one.overlaps(since, until) for one in of_node)

    def all_undisturbed(self, since: float, until: float, planned: bool = False) -> bool:
        """Whether nothing disturbed any node, any link or the core in the span. Planned restarts count only
        if ``planned``."""
        of_nodes = (one for disturbances in self._nodes.values() for one in disturbances)
        disturbances = (*self._core, *self._quorum_losses, *self._links, *of_nodes)
        return not any(one.overlaps(since, until) for one in disturbances if planned or not one.planned)

    def core_undisturbed(self, since: float, until: float) -> bool:
        """Whether nothing disturbed the core in the span."""
        disturbances = (*self._core, *self._quorum_losses, *self._nodes[ALL_NODES])
        return not any(one.overlaps(since, until) for one in disturbances)

    def links_undisturbed(self, since: float, until: float) -> bool:
        """Whether nothing disturbed any link in the span."""
        return not any(one.overlaps(since, until) for one in self._links)

    def activation_bound_s(self, node: str, acknowledged_at: float, sent_at: float) -> float:
        """How long after its acknowledgement a version has to be in force at that node for a request sent
        at that time; inf if no bound applies."""
        bounds = self.bounds
        if not self.node_undisturbed(node, sent_at - bounds.contact_s, sent_at):
            return math.inf
        if self.core_undisturbed(sent_at - bounds.contact_s, sent_at):
            return bounds.settle_s
        since = min(acknowledged_at, sent_at - bounds.contact_s)
        if self._majority_undisturbed(since, sent_at):
            return bounds.settle_s + bounds.stretch_s
        return math.inf

    def _majority_undisturbed(self, since: float, until: float) -> bool:
        """Whether the same majority of the core ran, connected, for the whole span: a majority at each moment
        that consists of changing members isn't enough."""
        names = self.controller_names()
        undisturbed = [name for name in names if self.node_undisturbed(name, since, until)]
        if names and len(undisturbed) * 2 <= len(names):
            return False
        return not any(one.overlaps(since, until) for one in self._quorum_losses)
