"""A machine stands still while an upstream signs off, and all other processes are killed: it is undone."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig2 import BOUNDS, TROUBLE, Fleet, NotRunnableError, Record, main, poll, route

FROZEN_S = 0.7  # before the sign-off; in all the machine stands still for 1 to 2 s
DOWN_S = 0.3  # from the kill to the start; the core is back within a second
SERVES_ON_S = 9.0  # after the sign-off: "at times many seconds"


async def case(record: Record) -> bool:
    """Whether nothing reached an upstream from machines in touch later than drain_ms after its sign-off."""
    fleet = Fleet(record, 3, ["red", "red", "blue", "blue"])
    try:
        await fleet.begin([route("read", "/read/", "red")])
        leaver, caller = fleet.servers[0], fleet.proxies[2]

        async def served_by_leaver() -> bool:
            await fleet.ask(caller, "/read/a")
            return bool(leaver.arrivals)

        await poll(served_by_leaver, 15.0, "the upstream gets requests")
        if TROUBLE:
            fleet.signal(caller, signal.SIGSTOP)
            await asyncio.sleep(FROZEN_S)
        leaver.cease()
        if await leaver.sign_off() != 200:
            raise NotRunnableError("the sign-off is not acknowledged")
        signed_off = back = record.now()
        record(f"{leaver.name} has signed off: DELETE is answered 200", True)
        if TROUBLE:
            others = [at for at in (*fleet.controllers, *fleet.proxies) if at != caller]
            await fleet.kill(others)
            record("all processes but that of the machine that stands still are killed", True)
            await asyncio.sleep(DOWN_S)
            await asyncio.gather(*(fleet.start(at) for at in others))
            fleet.signal(caller, signal.SIGCONT)
            back = record.now()
            record("they have started again, and the machine goes on", True)
        while record.now() < signed_off + SERVES_ON_S:
            await fleet.ask(caller, "/read/b")
            await asyncio.sleep(0.02)
        since = max(signed_off + BOUNDS["drain_ms"] / 1000.0, back + BOUNDS["contact_ms"] / 1000.0)
        late = [at for at, *_ in leaver.arrivals if at > since]
        record(
            f"{len(late)} requests reach {leaver.name} over {since - signed_off:.1f} s after its sign-off"
            + (f", the last {late[-1] - signed_off:.1f} s after it" if late else ""),
            True,
        )
        return not late
    finally:
        await fleet.end()


main(Path(__file__).resolve().parent, case)
