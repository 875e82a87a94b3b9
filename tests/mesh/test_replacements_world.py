"""Controllers that are replaced one after the other, in one zone or three, with faults of their zone. Each
predecessor is removed before the next loss is allowed, and no partitioned zone is removed."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from mesh.control_plane import member_silence
from mesh.control_plane.member_silence import MemberSilence
from mesh.membership import failure_detection
from mesh.replication import reconfiguration
from mesh.replication.quorum import Tolerance
from simulation.mesh import replacements
from simulation.mesh.replacements import Layout, ZonedPlay, replace_one_by_one, run_play
from simulation.mesh.seeds import Patch, assess_silence_by_store_majority

ZONES = Tolerance(1, 1, 0)


@pytest.mark.parametrize("zones", [1, 3])
@pytest.mark.parametrize("count", [3, 5, 8])
def test_each_of_those_replaced_one_by_one_is_out_before_the_next_loss(count: int, zones: int) -> None:
    violations, removal_times_s = run_play(Layout(zones), replace_one_by_one(count))
    assert violations == [] and len(removal_times_s) == count


@pytest.mark.parametrize(
    ("layout", "play"),
    [
        (Layout(1), replace_one_by_one(5, wipe_disks=True)),
        (Layout(3), replace_one_by_one(5, wipe_disks=True)),
        (Layout(3, proxies=0, tolerance=ZONES), replace_one_by_one(5)),
        (Layout(3, controllers=5, tolerance=ZONES), replace_one_by_one(5)),
        (Layout(1, proxies=100), replace_one_by_one(2, scale_in=84)),
        (Layout(3, proxies=100), replace_one_by_one(2, scale_in=40)),
        (Layout(3, proxies=100), replace_one_by_one(2, scale_in=84)),
        (Layout(1), replacements.replace_two_at_once),
        (Layout(3, controllers=5, tolerance=Tolerance(2, 1, 0)), replacements.replace_two_at_once),
        (Layout(3, controllers=4), replacements.replace_lease_holder),
        (Layout(3), replacements.replace_lease_holder),
        (Layout(3), replacements.return_after_replacement),
        (Layout(3, tolerance=ZONES), replacements.lose_zone_with_proxies),
        (Layout(3, controllers=6, proxies=6, tolerance=ZONES), replacements.partition_zone),
        (Layout(3, controllers=6, proxies=6), replacements.partition_zone),
        (Layout(3, controllers=6, proxies=6, tolerance=ZONES), replacements.partition_zone_one_way),
        (Layout(3, tolerance=ZONES), replacements.partition_zone_after_replacement),
        (Layout(3, controllers=6, proxies=6, tolerance=ZONES), replacements.partition_zone_after_replacement),
    ],
)
def test_faults_in_the_zone_of_a_replaced_machine_violate_nothing(layout: Layout, play: ZonedPlay) -> None:
    assert run_play(layout, play)[0] == []


# Seeded faults


def dead_nodes_count_for_their_zone(patch: Patch) -> None:
    patch.setattr(member_silence, "assess_silence", assess_silence_by_store_majority)
    patch.setattr(failure_detection, "assess_silence", assess_silence_by_store_majority)


def partitioned_zone_is_removed(patch: Patch) -> None:
    patch.setattr(failure_detection, "PARTITION_WINDOW_SHARE", -1e6)


def successor_joins_beside_lost_member(patch: Patch) -> None:
    patch.setattr(reconfiguration, "_tolerates_losing_joiners", lambda *_: True)


def reasons_are_not_given(patch: Patch) -> None:
    patch.setattr(MemberSilence, "describe_wait", lambda *_: "")


SEEDED: list[tuple[Callable[[Patch], None], Layout, ZonedPlay]] = [
    (dead_nodes_count_for_their_zone, Layout(1, proxies=1), replace_one_by_one(5)),
    (dead_nodes_count_for_their_zone, Layout(3, proxies=30), replace_one_by_one(2, scale_in=25)),
    (partitioned_zone_is_removed, Layout(3, controllers=6, proxies=6), replacements.partition_zone),
    (
        successor_joins_beside_lost_member,
        Layout(3, tolerance=ZONES),
        replacements.partition_zone_after_replacement,
    ),
    (reasons_are_not_given, Layout(3, controllers=6, proxies=6), replacements.partition_zone),
]


@pytest.mark.parametrize(("seed_fault", "layout", "play"), SEEDED)
def test_a_seeded_fault_is_seen(
    seed_fault: Callable[[Patch], None], layout: Layout, play: ZonedPlay, monkeypatch: pytest.MonkeyPatch
) -> None:
    seed_fault(monkeypatch)
    assert run_play(layout, play)[0]
