"""Stages explored whole in the small: nothing breaks in any order of events, and seeded faults are found."""

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
from rigs.stage_model import HOLD, NEWS, SIZES, Side, Stages
from simulation.mesh.seeds import Patch
from statecheck import explore

RECEIVE = StagedActivation.receive


def test_every_order_of_events_is_sound_where_a_sidecar_is_cut_off() -> None:
    report = explore(Stages("a cut", SIZES["a cut"]))
    assert report.complete and report.violation is None, (report.violation, report.trace)
    assert report.states > 10_000


# Seeded faults, each with the size in which it shows and the property that it breaks


def holds_too_long(patch: Patch) -> None:
    patch.setattr(
        StagedActivation,
        "__init__",
        lambda self, hold, init=StagedActivation.__init__: init(self, hold + NEWS),
    )


def begins_anew_when_overtaken(patch: Patch) -> None:
    def receive(self: StagedActivation, now: float, key: Any, *args: Any) -> ItemActivation:
        self.held.pop(key, None)
        return RECEIVE(self, now, key, *args)

    patch.setattr(StagedActivation, "receive", receive)


def keeps_what_was_overtaken(patch: Patch) -> None:
    def receive(self: StagedActivation, now: float, key: Any, *args: Any) -> ItemActivation:
        before = self.held.get(key)
        one = RECEIVE(self, now, key, *args)
        if before is not None:
            self.held[key] = before
        return one

    patch.setattr(StagedActivation, "receive", receive)


def takes_what_is_held_twice(patch: Patch) -> None:
    real = StagedActivation._activate

    def activate(self: StagedActivation, now: float, one: ItemActivation, why: str) -> ItemActivation:
        held = dict(self.held)
        real(self, now, one, why)
        self.held = held
        return one

    patch.setattr(StagedActivation, "_activate", activate)


def any_versions_word_will_do(patch: Patch) -> None:
    real = StagedActivation.approve

    def approve(self: StagedActivation, now: float, key: Any, version: int) -> ItemActivation | None:
        return real(self, now, key, self.held[key].version)

    patch.setattr(StagedActivation, "approve", approve)


def never_behind(patch: Patch) -> None:
    patch.setattr(UpdateContact, "is_behind", lambda self, now: False)


def always_behind(patch: Patch) -> None:
    patch.setattr(UpdateContact, "is_behind", lambda self, now: True)


def confirms_what_is_held(patch: Patch) -> None:
    patch.setattr(
        RolloutReport, "confirms", lambda self, item: self.vector.get(item.source, 0) >= item.number
    )


def reports_leave_out_what_is_held(patch: Patch) -> None:
    def report(self: Stages, side: Side) -> tuple[Any, ...]:
        return (side.life, side.known, ())

    patch.setattr(Stages, "_report", report)


def turns_away_at_once(patch: Patch) -> None:
    patch.setattr(VersionCheck, "__init__", lambda self, bound, init=VersionCheck.__init__: init(self, 0.0))


def turns_away_after_the_settling_time_alone(patch: Patch) -> None:
    patch.setattr(
        VersionCheck, "__init__", lambda self, bound, init=VersionCheck.__init__: init(self, float(NEWS))
    )


def drops_wait(patch: Patch) -> None:
    patch.setattr(activation_module, "STAGED", frozenset(ChangeKind))
    patch.setattr(stage_model, "STAGED", frozenset({ChangeKind.MOVED, ChangeKind.BOUNDED}))


def timers_do_not_fire(patch: Patch) -> None:
    patch.setattr(StagedActivation, "activate_due", lambda self, now: [])
    patch.setattr(Stages, "_may_tick", lambda self, state: state[0] <= HOLD + 1)


SEEDED: list[tuple[Callable[[Patch], None], str, str]] = [
    (holds_too_long, "a cut", "hold"),
    (begins_anew_when_overtaken, "two operators", "hold"),
    (keeps_what_was_overtaken, "two operators", "back"),
    (takes_what_is_held_twice, "a cut", "back"),
    (any_versions_word_will_do, "two operators", "word"),
    (never_behind, "a cut", "held"),
    (always_behind, "a cut", "stage skipped"),
    (confirms_what_is_held, "a cut", "confirms"),
    (reports_leave_out_what_is_held, "a stand-still", "confirms"),
    (turns_away_at_once, "two items", "turned away"),
    (turns_away_after_the_settling_time_alone, "two operators", "turned away"),
    (drops_wait, "a change and its drop", "held"),
    (timers_do_not_fire, "a cut", "hold"),
]


@pytest.mark.parametrize(("seed", "size", "broken"), SEEDED, ids=[seed.__name__ for seed, _, _ in SEEDED])
def test_a_seeded_fault_is_found(
    seed: Callable[[Patch], None], size: str, broken: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    seed(monkeypatch)
    report = explore(Stages(size, SIZES[size]), seconds=30.0)
    assert report.violation is not None and report.violation.name == broken, (report.violation, report.trace)
