"""Members explored whole in the small: nothing acknowledged is missed in any order of events, and seeded
faults are found."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import pytest

from mesh.replication import quorum, reconfiguration
from mesh.replication.membership_epochs import View
from mesh.replication.quorum import Place
from rigs.member_model import CHAIN, SIZES, Members
from simulation.mesh.seeds import Patch
from statecheck import explore


@pytest.mark.parametrize("size", SIZES)
def test_every_order_of_events_is_sound(size: str) -> None:
    report = explore(Members(size, SIZES[size]))
    assert report.complete and report.violation is None, (report.violation, report.trace)
    assert report.states > 30


# Seeded faults, each with the size in which it shows and the property that it breaks


def counted_before_whole(patch: Patch) -> None:
    patch.setattr(Members, "_answers", lambda self, one, epoch: one.up and one.epoch == epoch)


def a_wiped_one_counts_at_once(patch: Patch) -> None:
    patch.setattr(Members, "_forgets", lambda self: False)


def whole_after_hearing_one(patch: Patch) -> None:
    patch.setattr(Members, "_whole_enough", lambda self, view, got: True)


def fence_left_out(patch: Patch) -> None:
    patch.setattr(Members, "_floor", lambda self, one: 0)


def left_before_the_copies_were(patch: Patch) -> None:
    patch.setattr(Members, "_may_vote", lambda self, one, name, wanted: True)
    finish = reconfiguration._plan_final_epoch

    def unlevelled(
        view: View, known: Mapping[str, Any], tolerance: quorum.Tolerance
    ) -> reconfiguration.ChangePlan:
        level = {
            name: reconfiguration.MemberStatus(one.place, one.responding, one.disk_complete, 99)
            for name, one in known.items()
        }
        return finish(view, level, tolerance)

    patch.setattr(reconfiguration, "_plan_final_epoch", unlevelled)


def one_that_is_not_level_votes_for_the_end(patch: Patch) -> None:
    """The proposer's own look alone: who is level then need not be who accepts."""
    left_before_the_copies_were(patch)
    patch.setattr(Members, "_may_vote", lambda self, one, name, wanted: name != "d" or one.level >= one.epoch)


def old_epoch_counted(patch: Patch) -> None:
    """A proposer that has not heard of the newer view counts answers of those that know it."""
    patch.setattr(Members, "_answers", lambda self, one, epoch: one.up and one.whole and one.epoch >= epoch)
    patch.setattr(Members, "_hears", lambda self, one, epoch: one.up and one.whole and one.epoch == epoch)


def read_by_an_old_view(patch: Patch) -> None:
    patch.setattr(Members, "_hears", lambda self, one, epoch: one.up and one.whole and one.epoch >= epoch)


def level_by_one_that_does_not_know_the_epoch(patch: Patch) -> None:
    patch.setattr(Members, "_level_from", lambda self, one, epoch: one.up and one.whole)


def level_claimed_from_too_few(patch: Patch) -> None:
    patch.setattr(Members, "_enough_to_be_level", lambda self, before, got: bool(got))


def single_step_replacement(patch: Patch) -> None:
    patch.setattr(Members, "_may_vote", lambda self, one, name, wanted: True)
    begin = reconfiguration._plan_joint_epoch

    def at_once(
        view: View, known: Mapping[str, Any], tolerance: quorum.Tolerance
    ) -> reconfiguration.ChangePlan:
        found = begin(view, known, tolerance)
        return reconfiguration.ChangePlan(
            found.view and View(found.view.epoch, found.view.members), found.retained
        )

    patch.setattr(reconfiguration, "_plan_joint_epoch", at_once)


def two_changes_at_once(patch: Patch) -> None:
    """The next change begins while the one before is not over, and forgets what came before it."""

    def begin(
        view: View, known: Mapping[str, Any], tolerance: quorum.Tolerance
    ) -> reconfiguration.ChangePlan:
        return reconfiguration._plan_joint_epoch(View(view.epoch, view.members), known, tolerance)

    patch.setattr(reconfiguration, "_plan_final_epoch", begin)


def only_the_new_view_counts(patch: Patch) -> None:
    patch.setattr(View, "_member_sets", lambda self: [self.members])


def only_the_view_before_counts(patch: Patch) -> None:
    patch.setattr(View, "_member_sets", lambda self: [self.previous_members or self.members])


def half_is_enough(patch: Patch) -> None:
    def durable(have: Any, members: Mapping[str, Place], tolerance: Any, **_: bool) -> bool:
        return 3 * len(members.keys() & set(have)) >= len(members)

    patch.setattr(quorum, "_durable", durable)


def shrinks_below_what_is_asked(patch: Patch) -> None:
    patch.setattr(reconfiguration, "_unsafe_reason", lambda view, wanted, statuses, tolerance: "")


SEEDED: list[tuple[Callable[[Patch], None], str, str]] = [
    (counted_before_whole, "two wipes", "missed"),
    (a_wiped_one_counts_at_once, "two wipes", "missed"),
    (whole_after_hearing_one, "two wipes", "missed"),
    (fence_left_out, "two rivals, a wipe", "missed"),
    (left_before_the_copies_were, "a replacement, what left goes", "missed"),
    (one_that_is_not_level_votes_for_the_end, "a replacement, what left goes", "missed"),
    (old_epoch_counted, "a replacement, what left goes", "missed"),
    (read_by_an_old_view, "a replacement, what left goes", "missed"),
    (level_by_one_that_does_not_know_the_epoch, "a replacement, what left goes", "missed"),
    (level_claimed_from_too_few, "a replacement, what left goes", "missed"),
    (single_step_replacement, "a replacement, what left goes", "missed"),
    (two_changes_at_once, "two replacements", "missed"),
    (only_the_new_view_counts, "a replacement, what left goes", "missed"),
    (only_the_view_before_counts, "a replacement, what left goes", "missed"),
    (half_is_enough, "two wipes", "missed"),
    (shrinks_below_what_is_asked, "one leaves", "too few"),
]


@pytest.mark.parametrize(("seed", "size", "broken"), SEEDED, ids=[seed.__name__ for seed, _, _ in SEEDED])
def test_a_seeded_fault_is_found(
    seed: Callable[[Patch], None], size: str, broken: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    seed(monkeypatch)
    report = explore(Members(size, {**SIZES, "two replacements": CHAIN}[size]), seconds=60.0)
    assert report.violation is not None and report.violation.name == broken, (report.states, report.violation)
