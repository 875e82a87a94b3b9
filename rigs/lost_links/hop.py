"""One shipped program whose port for other sidecars is behind a relay: it says its own address and listens at
another port.

    python -m rigs.lost_links.hop PROGRAM PORT FOLDER [GUARD ...]

It writes the calls that were out on a lost link into the folder, a line each. With guards named, it runs
without them: the judge outside has to see that.
"""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from waterworks.headworks.starting import run
from waterworks.penstock import link
from waterworks.reservoir.program import Reservoir
from waterworks.sluice import outlet, passage, program, tailrace, tap
from waterworks.sluice.hop import TurnedAway
from waterworks.sluice.program import Sluice
from waterworks.valve.passing import Why
from waterworks.valve.sessions import Session

Replaced = list[tuple[Any, str, Any]]  # whose, its name, what stands there instead


def replace(whose: Any, name: str, value: Any) -> None:
    """Raises AttributeError where it is not there: without it the run would be an ordinary one."""
    getattr(whose, name)
    setattr(whose, name, value)


def behind(port: int) -> None:
    """The relay has the address that is told; this process listens beside it."""
    listen = link.listen

    async def listen_beside(address: tuple[str, int], *rest: Any) -> Any:
        return await listen((address[0], port), *rest)

    replace(program, "listen", listen_beside)


def tell_lost(folder: Path) -> None:
    """Writes the key, the other hop, the time, whether it is asked after, and why the link was lost."""
    ask_back = passage.Outgoing._ask_back
    file = (folder / f"lost-{os.getpid()}.txt").open("w", buffering=1)

    def told(self: passage.Outgoing, out: Any, why: str) -> None:
        ask_back(self, out, why)
        key = out.call.target.rpartition(b"/")[2].decode()
        file.write(f"{key} {self.node} {time.monotonic()} {int(out.number in self.asking)} {why}\n")

    replace(passage.Outgoing, "_ask_back", told)


def _without_bar() -> Replaced:
    """A call that was asked back is taken all the same when it comes."""
    return [(Session, "take", lambda self, number: True)]


def _without_ids() -> Replaced:
    """Whatever comes on a connection is the answer to the call on it."""
    return [(tap, "own", lambda wanted, told: True), *_without_seal()]


def _without_seal() -> Replaced:
    return [(tailrace.Tailrace, "_sealed", lambda self, running, message: True)]


def _without_unclear() -> Replaced:
    """A lost call counts as one that never left."""
    return [(passage, "Unclear", lambda why: TurnedAway(Why.LOST)), *_without_ask_back()]


def _without_ask_back() -> Replaced:
    return [(passage, "asked_for_ms", lambda call, since_ms: 0.0)]


def _without_order() -> Replaced:
    """Answers go out as they come."""
    flush = outlet.Outlet._flush

    def as_they_come(self: outlet.Outlet) -> None:
        self._slots = type(self._slots)(sorted(self._slots, key=lambda slot: slot.payload is None))
        flush(self)

    return [(outlet.Outlet, "_flush", as_they_come)]


def _without_ends() -> Replaced:
    """Now and then an answer is not given."""
    say = outlet.Outlet._say
    count = 0

    def seldom_not(self: outlet.Outlet, *said: Any) -> None:
        nonlocal count
        count += 1
        if count % 50:
            say(self, *said)

    return [(outlet.Outlet, "_say", seldom_not)]


GUARDS: dict[str, Callable[[], Replaced]] = {
    "bar": _without_bar,
    "ids": _without_ids,
    "seal": _without_seal,
    "unclear": _without_unclear,
    "ask_back": _without_ask_back,
    "order": _without_order,
    "ends": _without_ends,
}


def main(arguments: list[str]) -> int:
    name, port, folder, *without = arguments
    if name == "reservoir":
        return run(Reservoir)
    behind(int(port))
    tell_lost(Path(folder))
    for guard in without:
        for replaced in GUARDS[guard]():
            replace(*replaced)
    return run(Sluice)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
