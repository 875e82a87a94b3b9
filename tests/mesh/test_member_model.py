"""Exhaustive exploration of a small model of membership changes: no order of events loses a chosen value, and
seeded faults are found."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import pytest

from mesh.replication import quorum, reconfiguration
from mesh.replication.membership_epochs import View
from mesh.replication.quorum import Place
from rigs.member_model import CHAIN, SCENARIOS, MembershipModel
from simulation.mesh.seeds import Patch
from statecheck import explore


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_every_order_of_events_is_sound(scenario: str) -> None:
    report = explore(MembershipModel(scenario, SCENARIOS[scenario]))
    assert report.complete and report.violation is None, (report.violation, report.trace)
    assert report.states > 30


# Seeded faults, each with the scenario in which it shows and the property that it breaks


def counts_machines_with_incomplete_disks(patch: Patch) -> None:
    patch.setattr(
        MembershipModel, "_answer_counts", lambda self, machine, epoch: machine.up and machine.epoch == epoch
    )


def wiped_disks_count_at_once(patch: Patch) -> None:
    patch.setattr(MembershipModel, "_wipe_is_noticed", lambda self: False)


def fence_complete_after_one_answer(patch: Patch) -> None:
    patch.setattr(MembershipModel, "_fence_is_complete", lambda self, view_names, read_from: True)


def fence_refuses_nothing(patch: Patch) -> None:
    patch.setattr(MembershipModel, "_fence_floor", lambda self, machine: 0)


def finishes_before_the_new_members_are_synced(patch: Patch) -> None:
    patch.setattr(MembershipModel, "_may_vote", lambda self, machine, name, wanted: True)
    plan_final_epoch = reconfiguration._plan_final_epoch

    def finish_unsynced(
        view: View, statuses: Mapping[str, Any], tolerance: quorum.Tolerance
    ) -> reconfiguration.ChangePlan:
        all_synced = {
            name: reconfiguration.MemberStatus(machine.place, machine.responding, machine.disk_complete, 99)
            for name, machine in statuses.items()
        }
        return plan_final_epoch(view, all_synced, tolerance)

    patch.setattr(reconfiguration, "_plan_final_epoch", finish_unsynced)


def unsynced_members_vote_for_the_final_epoch(patch: Patch) -> None:
    """Only the proposer checks that members are synced, but those that accept may be others."""
    finishes_before_the_new_members_are_synced(patch)
    patch.setattr(
        MembershipModel,
        "_may_vote",
        lambda self, machine, name, wanted: name != "d" or machine.synced_epoch >= machine.epoch,
    )


def counts_answers_of_newer_epochs(patch: Patch) -> None:
    """A proposer with an old view counts answers of machines that know a newer one."""
    patch.setattr(
        MembershipModel,
        "_answer_counts",
        lambda self, machine, epoch: machine.up and machine.disk_complete and machine.epoch >= epoch,
    )
    patch.setattr(
        MembershipModel,
        "_read_counts",
        lambda self, machine, epoch: machine.up and machine.disk_complete and machine.epoch == epoch,
    )


def reads_with_an_old_view(patch: Patch) -> None:
    patch.setattr(
        MembershipModel,
        "_read_counts",
        lambda self, machine, epoch: machine.up and machine.disk_complete and machine.epoch >= epoch,
    )


def syncs_from_machines_of_older_epochs(patch: Patch) -> None:
    patch.setattr(
        MembershipModel, "_can_sync_from", lambda self, machine, epoch: machine.up and machine.disk_complete
    )


def synced_after_one_copy(patch: Patch) -> None:
    patch.setattr(MembershipModel, "_sync_is_complete", lambda self, before, read_from: bool(read_from))


def replaces_in_a_single_step(patch: Patch) -> None:
    patch.setattr(MembershipModel, "_may_vote", lambda self, machine, name, wanted: True)
    plan_joint_epoch = reconfiguration._plan_joint_epoch

    def skip_joint_epoch(
        view: View, statuses: Mapping[str, Any], tolerance: quorum.Tolerance
    ) -> reconfiguration.ChangePlan:
        plan = plan_joint_epoch(view, statuses, tolerance)
        return reconfiguration.ChangePlan(
            plan.view and View(plan.view.epoch, plan.view.members), plan.retained
        )

    patch.setattr(reconfiguration, "_plan_joint_epoch", skip_joint_epoch)


def starts_a_change_during_another(patch: Patch) -> None:
    """The next change starts before the last one is finished, and drops the previous members."""

    def plan_joint_epoch(
        view: View, statuses: Mapping[str, Any], tolerance: quorum.Tolerance
    ) -> reconfiguration.ChangePlan:
        return reconfiguration._plan_joint_epoch(View(view.epoch, view.members), statuses, tolerance)

    patch.setattr(reconfiguration, "_plan_final_epoch", plan_joint_epoch)


def requires_only_the_new_members(patch: Patch) -> None:
    patch.setattr(View, "_member_sets", lambda self: [self.members])


def requires_only_the_previous_members(patch: Patch) -> None:
    patch.setattr(View, "_member_sets", lambda self: [self.previous_members or self.members])


def accepts_a_third_as_a_quorum(patch: Patch) -> None:
    def durable(holders: Any, members: Mapping[str, Place], tolerance: Any, **_: bool) -> bool:
        return 3 * len(members.keys() & set(holders)) >= len(members)

    patch.setattr(quorum, "_durable", durable)


def shrinks_below_the_tolerance(patch: Patch) -> None:
    patch.setattr(reconfiguration, "_unsafe_reason", lambda view, wanted, statuses, tolerance: "")


SEEDED_FAULTS: list[tuple[Callable[[Patch], None], str, str]] = [
    (counts_machines_with_incomplete_disks, "two wipes", "missed"),
    (wiped_disks_count_at_once, "two wipes", "missed"),
    (fence_complete_after_one_answer, "two wipes", "missed"),
    (fence_refuses_nothing, "two values, a wipe", "missed"),
    (finishes_before_the_new_members_are_synced, "a replacement, then a removal", "missed"),
    (unsynced_members_vote_for_the_final_epoch, "a replacement, then a removal", "missed"),
    (counts_answers_of_newer_epochs, "a replacement, then a removal", "missed"),
    (reads_with_an_old_view, "a replacement, then a removal", "missed"),
    (syncs_from_machines_of_older_epochs, "a replacement, then a removal", "missed"),
    (synced_after_one_copy, "a replacement, then a removal", "missed"),
    (replaces_in_a_single_step, "a replacement, then a removal", "missed"),
    (starts_a_change_during_another, "two replacements", "missed"),
    (requires_only_the_new_members, "a replacement, then a removal", "missed"),
    (requires_only_the_previous_members, "a replacement, then a removal", "missed"),
    (accepts_a_third_as_a_quorum, "two wipes", "missed"),
    (shrinks_below_the_tolerance, "one leaves", "too few"),
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
    report = explore(
        MembershipModel(scenario, {**SCENARIOS, "two replacements": CHAIN}[scenario]), seconds=60.0
    )
    assert report.violation is not None and report.violation.name == property_name, (
        report.states,
        report.violation,
    )
