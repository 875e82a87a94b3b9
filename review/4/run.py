"""A route is dropped while clients send one request behind another: what stands behind is never answered."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig2 import BOUNDS, OUTBOUND, TROUBLE, Fleet, Record, change, encode, main, read_answer, route

CONNECTIONS = 6
DROPPED, STANDING = 12, 12  # requests that one connection sends behind one another, by route
HEAD_BYTES = 1024  # of one request; the operators' header_bytes is 16,384
HORIZON_MS, TIME_REMAINING_MS = 2000, 6000
LATE_S = 0.5


class Asked:
    """One request on the route that stands, and when its answer came."""

    def __init__(self, attempt: str, sent: float) -> None:
        """It has no answer yet."""
        self.attempt, self.sent = attempt, sent
        self.answered: float | None = None

    def took(self) -> float:
        """Seconds until its answer; infinite while there is none."""
        return float("inf") if self.answered is None else self.answered - self.sent


def padded(path: str, attempt: str) -> bytes:
    """A request of HEAD_BYTES bytes, most of them in a header of its client's."""
    head = [("Host", "h.example"), ("Attempt-Id", attempt), ("Time-Remaining", str(TIME_REMAINING_MS))]
    bare = len(encode("GET", path, [*head, ("Cookie", "")]))
    return encode("GET", path, [*head, ("Cookie", "c" * (HEAD_BYTES - bare))])


async def client(fleet: Fleet, record: Record, number: int, asked: list[Asked]) -> None:
    """Sends all requests of one connection at once, and reads the answers in their order."""
    reader, writer = await asyncio.open_connection(*fleet.address(fleet.proxies[2], OUTBOUND))
    requests: list[Asked | None] = []
    payload = b""
    for at in range(DROPPED + STANDING):
        attempt = fleet.attempt()
        payload += padded("/dropped/x" if at < DROPPED else "/standing/x", attempt)
        one = Asked(attempt, time.monotonic()) if at >= DROPPED else None
        requests.append(one)
        if one is not None:
            asked.append(one)
    writer.write(payload)
    record(f"connection {number}: {DROPPED} requests on /dropped/, then {STANDING} on /standing/")
    try:
        async with asyncio.timeout(TIME_REMAINING_MS / 1000.0):
            for place, one in enumerate(requests):
                answer = await read_answer(reader)
                record(f"connection {number}: answer {place + 1} is {answer.status}")
                if one is not None:
                    one.answered = time.monotonic()
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        record(f"connection {number}: no further answer: {type(error).__name__}")
    writer.transport.abort()


async def case(record: Record) -> bool:
    """Whether requests on the route that stands have final answers half a second after its horizon_ms."""
    fleet = Fleet(record, 3, ["red", "red", "blue"])
    try:
        await fleet.begin(
            [
                route("r-dropped", "/dropped/", "red", horizon_ms=HORIZON_MS),
                route("r-standing", "/standing/", "red", horizon_ms=HORIZON_MS),
            ]
        )
        if TROUBLE:
            await fleet.order(change(remove=[{"name": "r-dropped", "epoch": "r2"}]))
            record("the operator has dropped r-dropped; r-standing stands", True)
        await asyncio.sleep((BOUNDS["contact_ms"] + BOUNDS["settle_ms"]) / 1000.0)
        asked: list[Asked] = []
        await asyncio.gather(*(client(fleet, record, at, asked) for at in range(CONNECTIONS)))
        at_horizon = [one for one in asked if one.took() > HORIZON_MS / 1000.0]
        late = [one for one in at_horizon if one.took() > HORIZON_MS / 1000.0 + LATE_S]
        never = [one for one in asked if one.answered is None]
        record(
            f"of {len(asked)} requests on r-standing {len(at_horizon)} have no answer at {HORIZON_MS} ms, "
            f"{len(late)} none half a second later, {len(never)} none within {TIME_REMAINING_MS} ms",
            True,
        )
        return not (len(late) >= 8 and len(late) > 0.25 * len(asked) and len(late) > 0.5 * len(at_horizon))
    finally:
        await fleet.end()


main(Path(__file__).resolve().parent, case)
