"""After more losses than are borne: whose word leads when an operator has the rest begin anew. No I/O.

Nothing here can bring back what only the lost ones held. What can be seen to is that no older state leads:
not against a quorum that is there, not against a member that may yet come back, not against a disk that still
counts.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from mesh.replication.membership_epochs import MOST_EPOCH, View
from mesh.replication.quorum import Place, Tolerance

STEP = 16  # epochs above the newest known: changes that only the lost ones had come to know lie below


def restored(
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
    counting = {who for who, whole in reached.items() if whole}
    if view.overlaps(counting & view.names, tolerance):
        return "enough of those who count are here: nothing is to be restored; wait, or look at status"
    for who in sorted(lost):
        if who in reached:
            return f"--lost: {who} answers; it may hold newer, so let it count again instead"
    known = view if copy is None or view.epoch >= copy.epoch else copy
    names = view.names | (copy.names if copy is not None else frozenset())
    away = sorted(names - reached.keys() - set(lost))
    if away:
        return (
            f"{', '.join(away)}: counts, is not reached, and may hold newer; bring it back, or give it up "
            "for good with --lost"
        )
    if copy is not None and counting:
        return (
            f"{', '.join(sorted(counting))}: its disk counts and is newer than any copy; restore without a "
            "copy, there"
        )
    if copy is None and not reached.get(me, False):
        where = ", ".join(sorted(counting))
        return f"this disk does not count; ask {where}" if where else "no disk counts any more; name a copy"
    if known.epoch + STEP >= MOST_EPOCH:
        return "the epoch cannot go higher"
    places = {**(known.before or {}), **known.now}
    leading = counting if copy is None else {me}
    return View(known.epoch + STEP, {who: places.get(who, Place("", "")) for who in sorted(leading)})
