"""Machines that are replaced one after the other, in one zone and in three, with what befalls their zone:
each predecessor is out when the next loss is allowed, and a zone that is cut off is not thrown out."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from mesh.control_plane import member_silence
from mesh.control_plane.member_silence import MemberSilence
from mesh.membership import failure_detection
from mesh.replication import reconfiguration
from mesh.replication.quorum import Tolerance
from simulation.mesh import replacements
from simulation.mesh.replacements import Layout, ZonedPlay, one_by_one, played
from simulation.mesh.seeds import Patch, most_of_the_store_is_silent

ZONES = Tolerance(1, 1, 0)


@pytest.mark.parametrize("zones", [1, 3])
@pytest.mark.parametrize("count", [3, 5, 8])
def test_each_of_those_replaced_one_by_one_is_out_before_the_next_loss(count: int, zones: int) -> None:
    broken, took = played(Layout(zones), one_by_one(count))
    assert broken == [] and len(took) == count


@pytest.mark.parametrize(
    ("layout", "play"),
    [
        (Layout(1), one_by_one(5, wipes=True)),
        (Layout(3), one_by_one(5, wipes=True)),
        (Layout(3, sidecars=0, tolerance=ZONES), one_by_one(5)),
        (Layout(3, cores=5, tolerance=ZONES), one_by_one(5)),
        (Layout(1, sidecars=100), one_by_one(2, scale_in=84)),
        (Layout(3, sidecars=100), one_by_one(2, scale_in=40)),
        (Layout(3, sidecars=100), one_by_one(2, scale_in=84)),
        (Layout(1), replacements.two_at_once),
        (Layout(3, cores=5, tolerance=Tolerance(2, 1, 0)), replacements.two_at_once),
        (Layout(3, cores=4), replacements.holder_is_replaced),
        (Layout(3), replacements.holder_is_replaced),
        (Layout(3), replacements.comes_back_after_its_successor),
        (Layout(3, tolerance=ZONES), replacements.zone_goes_with_its_sidecars),
        (Layout(3, cores=6, sidecars=6, tolerance=ZONES), replacements.zone_is_cut),
        (Layout(3, cores=6, sidecars=6), replacements.zone_is_cut),
        (Layout(3, cores=6, sidecars=6, tolerance=ZONES), replacements.zone_is_cut_one_way),
        (Layout(3, tolerance=ZONES), replacements.zone_is_cut_after_its_replacement),
        (Layout(3, cores=6, sidecars=6, tolerance=ZONES), replacements.zone_is_cut_after_its_replacement),
    ],
)
def test_whatever_befalls_the_zone_of_the_replaced_one(layout: Layout, play: ZonedPlay) -> None:
    assert played(layout, play)[0] == []


# Seeded faults


def dead_nodes_count_for_their_zone(patch: Patch) -> None:
    patch.setattr(member_silence, "assess_silence", most_of_the_store_is_silent)
    patch.setattr(failure_detection, "assess_silence", most_of_the_store_is_silent)


def a_cut_zone_goes_like_machines(patch: Patch) -> None:
    patch.setattr(failure_detection, "PARTITION_WINDOW_SHARE", -1e6)


def a_successor_counts_beside_the_dead_one(patch: Patch) -> None:
    patch.setattr(reconfiguration, "_tolerates_losing_joiners", lambda *_: True)


def reasons_are_not_told(patch: Patch) -> None:
    patch.setattr(MemberSilence, "describe_wait", lambda *_: "")


SEEDED: list[tuple[Callable[[Patch], None], Layout, ZonedPlay]] = [
    (dead_nodes_count_for_their_zone, Layout(1, sidecars=1), one_by_one(5)),
    (dead_nodes_count_for_their_zone, Layout(3, sidecars=30), one_by_one(2, scale_in=25)),
    (a_cut_zone_goes_like_machines, Layout(3, cores=6, sidecars=6), replacements.zone_is_cut),
    (
        a_successor_counts_beside_the_dead_one,
        Layout(3, tolerance=ZONES),
        replacements.zone_is_cut_after_its_replacement,
    ),
    (reasons_are_not_told, Layout(3, cores=6, sidecars=6), replacements.zone_is_cut),
]


@pytest.mark.parametrize(("seed", "layout", "play"), SEEDED)
def test_a_seeded_fault_is_seen(
    seed: Callable[[Patch], None], layout: Layout, play: ZonedPlay, monkeypatch: pytest.MonkeyPatch
) -> None:
    seed(monkeypatch)
    assert played(layout, play)[0]
