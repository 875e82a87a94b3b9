"""Faults seeded into rollout stages, each of which a `RolloutWorld` must detect. ``patch`` is pytest's
monkeypatch."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from mesh.admission.final_check import RejectReason
from mesh.configuration.routes import read_route
from mesh.data_plane.call_messages import Call, End, NotExecuted
from mesh.data_plane.staged_routes import StagedRoutes
from mesh.data_plane.upstream_dispatch import DispatchedCall, UpstreamDispatch
from mesh.rollout import bounds as rollout_bounds
from mesh.rollout.canary_selection import CanarySelection
from mesh.rollout.change_kinds import ChangeKind
from mesh.rollout.contact import UpdateContact
from mesh.rollout.report import RolloutReport
from mesh.rollout.staged_activation import ItemActivation, StagedActivation
from mesh.rollout.version_check import VersionCheck
from simulation.mesh.seeds import Patch


def hold_exceeds_bound(patch: Patch) -> None:
    patch.setattr(rollout_bounds, "HOLD_SHARE", 0.5)
    patch.setattr(
        StagedRoutes, "handle_frame", lambda self, head: None
    )  # an approval would end the hold sooner
    patch.setattr(
        StagedActivation,
        "next_due",
        lambda self: min((p.deadline + 1.6 for p in self.held.values()), default=None),
    )


def each_version_restarts_hold(patch: Patch) -> None:
    original = StagedActivation.receive

    def receive(self: StagedActivation, *args: Any) -> ItemActivation:
        self.held.pop(args[1], None)
        return original(self, *args)

    patch.setattr(StagedActivation, "receive", receive)


def reverts_when_superseded(patch: Patch) -> None:
    original = StagedActivation.receive

    def receive(self: StagedActivation, *args: Any) -> ItemActivation:
        before = self.held.get(args[1])
        one = original(self, *args)
        if before is not None:
            self.held.setdefault((args[1][0], args[1][1]), before)
        return one

    def use(self: StagedRoutes, now: float, one: ItemActivation) -> None:
        item = self._config_store.items[one.key]
        assert item.value is not None
        self._routes.put(read_route(item.name, one.version, dict(item.value)))

    patch.setattr(StagedActivation, "receive", receive)
    patch.setattr(StagedRoutes, "_put_in_force", use)


def no_canaries(patch: Patch) -> None:
    patch.setattr(CanarySelection, "canaries", lambda self, kind, name, version: frozenset())


def all_are_canaries(patch: Patch) -> None:
    patch.setattr(CanarySelection, "canaries", lambda self, kind, name, version: self.nodes)


def confirms_held_versions(patch: Patch) -> None:
    patch.setattr(
        RolloutReport, "confirms", lambda self, item: self.vector.get(item.source, 0) >= item.number
    )


def reports_only_eight_held(patch: Patch) -> None:
    original = StagedRoutes._report

    def say(self: StagedRoutes) -> None:
        held, self.activation.held = self.activation.held, dict(list(self.activation.held.items())[:8])
        original(self)
        self.activation.held = held

    patch.setattr(StagedRoutes, "_report", say)


def second_hop_rejects_too_early(patch: Patch) -> None:
    patch.setattr(
        VersionCheck,
        "outdated",
        lambda self, now, name, version, age_s: self._versions.get(name, (0, 0.0))[0] > version,
    )


def rejected_after_execution(patch: Patch) -> None:
    original = UpstreamDispatch.accept

    def accept(self: UpstreamDispatch, call: Call, ended: Callable[[End], None]) -> DispatchedCall | None:
        if call.accept_stale_route:
            return original(self, call, ended)
        return original(self, call, lambda end: ended(NotExecuted(RejectReason.OLD)))

    patch.setattr(UpstreamDispatch, "accept", accept)


def removals_are_held(patch: Patch) -> None:
    original = StagedActivation.receive

    def receive(
        self: StagedActivation, now: float, key: Any, version: int, kind: Any, first: bool, behind: bool
    ) -> ItemActivation:
        return original(self, now, key, version, ChangeKind.MOVED, first, behind)

    patch.setattr(StagedActivation, "receive", receive)


def lag_is_not_detected(patch: Patch) -> None:
    patch.setattr(UpdateContact, "is_behind", lambda self, now: False)
