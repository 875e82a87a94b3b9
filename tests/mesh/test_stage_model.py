"""Exhaustive exploration of a small model of staged rollouts: no order of events breaks a property, and
seeded faults are found."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from mesh.rollout import staged_activation as activation_module
from mesh.rollout.change_kinds import ChangeKind
from mesh.rollout.contact import UpdateContact
from mesh.rollout.report import RolloutReport
from mesh.rollout.staged_activation import ItemActivation, StagedActivation
from mesh.rollout.version_check import VersionCheck
from rigs import stage_model
from rigs.stage_model import HOLD, PROPAGATION, SCENARIOS, Proxy, RolloutModel
from simulation.mesh.seeds import Patch
from statecheck import explore

RECEIVE = StagedActivation.receive


def test_every_order_of_events_is_sound_with_a_disconnected_sidecar() -> None:
    report = explore(RolloutModel("a cut", SCENARIOS["a cut"]))
    assert report.complete and report.violation is None, (report.violation, report.trace)
    assert report.states > 10_000


# Seeded faults, each with the scenario in which it shows and the property that it breaks


def holds_too_long(patch: Patch) -> None:
    patch.setattr(
        StagedActivation,
        "__init__",
        lambda self, hold_s, init=StagedActivation.__init__: init(self, hold_s + PROPAGATION),
    )


def restarts_the_hold_when_overtaken(patch: Patch) -> None:
    def receive(self: StagedActivation, now: float, key: Any, *args: Any) -> ItemActivation:
        self.held.pop(key, None)
        return RECEIVE(self, now, key, *args)

    patch.setattr(StagedActivation, "receive", receive)


def keeps_the_overtaken_version(patch: Patch) -> None:
    def receive(self: StagedActivation, now: float, key: Any, *args: Any) -> ItemActivation:
        before = self.held.get(key)
        one = RECEIVE(self, now, key, *args)
        if before is not None:
            self.held[key] = before
        return one

    patch.setattr(StagedActivation, "receive", receive)


def activates_held_versions_twice(patch: Patch) -> None:
    real = StagedActivation._activate

    def activate(self: StagedActivation, now: float, one: ItemActivation, reason: str) -> ItemActivation:
        held = dict(self.held)
        real(self, now, one, reason)
        self.held = held
        return one

    patch.setattr(StagedActivation, "_activate", activate)


def approval_of_any_version_counts(patch: Patch) -> None:
    real = StagedActivation.approve

    def approve(self: StagedActivation, now: float, key: Any, version: int) -> ItemActivation | None:
        return real(self, now, key, self.held[key].version)

    patch.setattr(StagedActivation, "approve", approve)


def is_never_behind(patch: Patch) -> None:
    patch.setattr(UpdateContact, "is_behind", lambda self, now: False)


def is_always_behind(patch: Patch) -> None:
    patch.setattr(UpdateContact, "is_behind", lambda self, now: True)


def confirms_held_versions(patch: Patch) -> None:
    patch.setattr(
        RolloutReport, "confirms", lambda self, item: self.vector.get(item.source, 0) >= item.number
    )


def reports_omit_held_versions(patch: Patch) -> None:
    def report(self: RolloutModel, proxy: Proxy) -> tuple[Any, ...]:
        return (proxy.incarnation, proxy.known, ())

    patch.setattr(RolloutModel, "_report", report)


def rejects_old_versions_at_once(patch: Patch) -> None:
    patch.setattr(VersionCheck, "__init__", lambda self, grace_s, init=VersionCheck.__init__: init(self, 0.0))


def rejects_old_versions_after_the_propagation_time(patch: Patch) -> None:
    patch.setattr(
        VersionCheck,
        "__init__",
        lambda self, grace_s, init=VersionCheck.__init__: init(self, float(PROPAGATION)),
    )


def stages_drops(patch: Patch) -> None:
    patch.setattr(activation_module, "STAGED", frozenset(ChangeKind))
    patch.setattr(stage_model, "STAGED", frozenset({ChangeKind.MOVED, ChangeKind.BOUNDED}))


def timers_do_not_fire(patch: Patch) -> None:
    patch.setattr(StagedActivation, "activate_due", lambda self, now: [])
    patch.setattr(RolloutModel, "_may_tick", lambda self, state: state[0] <= HOLD + 1)


SEEDED_FAULTS: list[tuple[Callable[[Patch], None], str, str]] = [
    (holds_too_long, "a cut", "hold"),
    (restarts_the_hold_when_overtaken, "two operators", "hold"),
    (keeps_the_overtaken_version, "two operators", "back"),
    (activates_held_versions_twice, "a cut", "back"),
    (approval_of_any_version_counts, "two operators", "word"),
    (is_never_behind, "a cut", "held"),
    (is_always_behind, "a cut", "stage skipped"),
    (confirms_held_versions, "a cut", "confirms"),
    (reports_omit_held_versions, "a stand-still", "confirms"),
    (rejects_old_versions_at_once, "two items", "turned away"),
    (rejects_old_versions_after_the_propagation_time, "two operators", "turned away"),
    (stages_drops, "a change and its drop", "held"),
    (timers_do_not_fire, "a cut", "hold"),
]


@pytest.mark.parametrize(
    ("fault", "scenario", "property_name"),
    SEEDED_FAULTS,
    ids=[fault.__name__ for fault, _, _ in SEEDED_FAULTS],
)
def test_a_seeded_fault_is_found(
    fault: Callable[[Patch], None], scenario: str, property_name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    fault(monkeypatch)
    report = explore(RolloutModel(scenario, SCENARIOS[scenario]), seconds=30.0)
    assert report.violation is not None and report.violation.name == property_name, (
        report.violation,
        report.trace,
    )
