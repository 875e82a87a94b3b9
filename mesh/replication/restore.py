"""After more losses than are borne: whose word leads when an operator has the rest begin anew. No I/O.

Nothing here can bring back what only the lost ones held. What can be seen to is that no older state leads:
not against a quorum that is there, not against a member that may yet come back, not against a disk that still
counts.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from mesh.replication.membership_epochs import MAX_EPOCH, View
from mesh.replication.quorum import Place, Tolerance

EPOCH_STEP = 16  # epochs above the newest known: changes that only the lost ones had come to know lie below


def restored_view(
    me: str,
    view: View,
    reached: Mapping[str, bool],
    lost: Collection[str],
    copy: View | None,
    tolerance: Tolerance,
) -> View | str:
    """The view to begin anew with, at the process ``me``, or why not, in one line.

    ``view``: the newest that is known here; ``reached``: by address, whether the disk counts of each control
    process that answers, this one with them; ``lost``: addresses that an operator gives up; ``copy``: the
    view of the copy that is to be put back, epoch 0 where it has none, or None where there is no copy.
    """
    complete = {address for address, whole in reached.items() if whole}
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
