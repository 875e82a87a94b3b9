"""An upstream signs off, all processes are killed at once, and one beat of it comes late."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig2 import BOUNDS, TROUBLE, Fleet, NotRunnableError, Record, main, poll, route

LATE_S = 3.0  # from the sign-off until the late beat arrives: "seconds late"
SERVES_ON_S = 15.0  # after the sign-off: "at times many seconds"
IN_TOUCH_S = 2 * BOUNDS["contact_ms"] / 1000.0  # after a loss of most of the core


async def case(record: Record) -> bool:
    """Whether nothing reached the upstream later than drain_ms after its sign-off was acknowledged."""
    fleet = Fleet(record, 3, ["red", "red", "red", "blue"])
    try:
        await fleet.begin([route("read", "/read/", "red")])
        leaver, caller = fleet.servers[0], fleet.proxies[3]

        async def served_by_leaver() -> bool:
            await fleet.ask(caller, "/read/a")
            return bool(leaver.arrivals)

        await poll(served_by_leaver, 15.0, "the upstream gets requests")
        leaver.cease()
        late = leaver.beat_body()  # on its way; it still says settled
        if await leaver.sign_off() != 200:
            raise NotRunnableError("the sign-off is not acknowledged")
        signed_off = back = record.now()
        record(f"{leaver.name} has signed off: DELETE is answered 200", True)
        if TROUBLE:
            everyone = [*fleet.controllers, *fleet.proxies]
            await fleet.kill(everyone)
            record("all processes of the system are killed", True)
            await asyncio.sleep(0.5)
            await asyncio.gather(*(fleet.start(at) for at in everyone))
            back = record.now()
        await asyncio.sleep(max(signed_off + LATE_S - record.now(), 0.0))
        record(
            f"a late beat of {leaver.name}, sent before its DELETE, is answered {await leaver.send(late)}",
            True,
        )
        await fleet.all_ready()
        while record.now() < back + IN_TOUCH_S + 0.5:
            await asyncio.sleep(0.1)
        begin = record.now()
        while record.now() < signed_off + SERVES_ON_S:
            await fleet.ask(caller, "/read/b")
            await asyncio.sleep(0.05)
        after = [
            one for one in leaver.arrivals if one[0] > max(begin, signed_off + BOUNDS["drain_ms"] / 1000.0)
        ]
        record(
            f"{len(after)} requests reached {leaver.name} over {begin - signed_off:.1f} s after its sign-off",
            True,
        )
        return not after
    finally:
        await fleet.end()


main(Path(__file__).resolve().parent, case)
