"""How few machines of the core bear what is to be borne."""

import pytest

from benchmarks.core_share import bears, core_share, used
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
def test_the_least_share_that_bears_a_loss(
    layout: tuple[int, ...], tolerance: Tolerance, needed: int | None, share: float | None
) -> None:
    found = core_share(layout, tolerance)
    assert (found.needed, found.share) == (needed, share)


def test_one_machine_less_in_a_single_zone_bears_nothing() -> None:
    assert not bears(used((3,), 0.5), Tolerance(1, 0, 0))
    assert bears(used((3,), 1.0), Tolerance(1, 0, 0))
