"""Which processes lead when an operator restores the mesh after more losses than are tolerated. No I/O.

State that only lost processes held cannot be recovered. What is prevented is that an older state leads while
a quorum is present, while a member may still return, or while a disk still counts.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from mesh.replication.membership_epochs import MAX_EPOCH, View
from mesh.replication.quorum import Place, Tolerance

EPOCH_STEP = 16  # epochs above the newest known one; later changes that only lost members knew lie below


def restored_view(
    me: str,
    view: View,
    reached: Mapping[str, bool],
    lost: Collection[str],
    copy: View | None,
    tolerance: Tolerance,
) -> View | str:
    """The view to begin with again at the process ``me``, or in one line why it is refused.

    ``view``: the newest that is known here; ``reached``: by address, whether the disk counts of each control
    process that answers, including this one; ``lost``: addresses that an operator gives up; ``copy``: the
    view of the backup to restore, epoch 0 if it has none, or None without a backup.
    """
    complete = {address for address, disk_counts in reached.items() if disk_counts}
    if view.overlaps(complete & view.names, tolerance):
        return "enough of those who count are here: nothing is to be restored; wait, or look at status"
    for address in sorted(lost):
        if address in reached:
            return f"--lost: {address} answers; it may hold newer, so let it count again instead"
    newest = view if copy is None or view.epoch >= copy.epoch else copy
    names = view.names | (copy.names if copy is not None else frozenset())
    missing = sorted(names - reached.keys() - set(lost))
    if missing:
        return (
            f"{', '.join(missing)}: counts, is not reached, and may hold newer; bring it back, or give it up "
            "for good with --lost"
        )
    if copy is not None and complete:
        return (
            f"{', '.join(sorted(complete))}: its disk counts and is newer than any copy; restore without a "
            "copy, there"
        )
    if copy is None and not reached.get(me, False):
        where = ", ".join(sorted(complete))
        return f"this disk does not count; ask {where}" if where else "no disk counts any more; name a copy"
    if newest.epoch + EPOCH_STEP >= MAX_EPOCH:
        return "the epoch cannot go higher"
    places = {**(newest.previous_members or {}), **newest.members}
    leading = complete if copy is None else {me}
    return View(
        newest.epoch + EPOCH_STEP,
        {address: places.get(address, Place("", "")) for address in sorted(leading)},
    )
