"""The smallest share of the core machines that tolerates a loss."""

import pytest

from benchmarks.core_share import core_share, tolerates_loss, used_machines
from mesh.replication.quorum import Tolerance


@pytest.mark.parametrize(
    ("layout", "tolerance", "needed", "share"),
    [
        ((1, 1, 1), Tolerance(1, 0, 0), 3, 1.0),
        ((2, 2, 1), Tolerance(1, 0, 0), 3, 0.5),
        ((2, 2, 1), Tolerance(2, 0, 0), 5, 1.0),
        ((2, 2, 1), Tolerance(0, 1, 0), 3, 0.5),
        ((3,), Tolerance(1, 0, 0), 3, 0.67),
        ((5,), Tolerance(1, 0, 0), 3, 0.6),
        ((2, 1), Tolerance(1, 0, 0), 3, 1.0),
        ((3,), Tolerance(2, 0, 0), None, None),
        ((5, 5), Tolerance(0, 1, 0), None, None),
    ],
)
def test_the_smallest_share_that_tolerates_a_loss(
    layout: tuple[int, ...], tolerance: Tolerance, needed: int | None, share: float | None
) -> None:
    found = core_share(layout, tolerance)
    assert (found.needed, found.share) == (needed, share)


def test_one_machine_less_in_a_single_zone_tolerates_no_loss() -> None:
    assert not tolerates_loss(used_machines((3,), 0.5), Tolerance(1, 0, 0))
    assert tolerates_loss(used_machines((3,), 1.0), Tolerance(1, 0, 0))
