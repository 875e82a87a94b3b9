"""Drawn plays of a departure: processes are killed or lose power around it, and late heartbeats arrive.

One proxy besides the upstream's is spared, so that what was acknowledged may be held in some memory. Calls
count only between machines in touch: as long after the last kill or start as the operators' pages say.
"""

from __future__ import annotations

import random

from mesh.membership.instance_commands import DECAYING, SETTLED
from simulation.mesh.departures import GONE, DepartureWorld
from simulation.mesh.world import Machine, Script

WATCHED_S = 14.0  # after the drain: beyond the last restart, contact and the silence that means an end
PAUSES_S = (0.0, 0.002, 0.01, 0.02, 0.3, 1.0)  # before a kill
PAUSE_SPREAD_S = 0.05
POWER_SHARE = 0.3  # of the losses that are losses of power
BEFORE_SHARE = 0.4  # of the plays with kills before the departure
SIGN_OFF_SHARE = 0.7  # of the drains that are followed by a sign-off
HEARTBEAT_S, RETRY_S, SIGN_OFF_TRIES = 1.5, 0.2, 8


class DeparturePlay:
    """One drawn play in a world with three controllers and three proxies that has booted."""

    def __init__(self, world: DepartureWorld, seed: int) -> None:
        """``seed`` decides all that is drawn."""
        self._world, self._random = world, random.Random(seed)
        self._side, self._core = world.machines["s2"], world.controllers()

    def run(self) -> Script:
        """Departs and watches; violations are in the checker."""
        world, drawn = self._world, self._random
        state = drawn.choice([DECAYING, GONE])
        before = drawn.random() < BEFORE_SHARE
        if before:
            world.env.process(self._losses())
        acknowledged_at = yield from world.depart(state)
        watch = world.env.process(world.check_departed(acknowledged_at, WATCHED_S, in_touch_only=True))
        if not before or drawn.random() < 0.5:
            world.env.process(self._losses())
        world.env.process(self._late_heartbeats())
        if state == DECAYING:
            world.env.process(self._drain())
        yield watch

    def _group(self) -> list[Machine]:
        leaver = self._world.leaver
        one_more = self._random.choice([self._side, *self._core])
        return self._random.choice(
            [
                [leaver],
                [leaver, one_more],
                self._core,
                [leaver, *self._core],
                [leaver, self._side, *self._core],
            ]
        )

    def _losses(self) -> Script:
        for _ in range(self._random.randint(1, 4)):
            pause_s = self._random.choice(PAUSES_S) + self._random.random() * PAUSE_SPREAD_S
            yield self._world.env.timeout(pause_s)
            group = self._group()
            if self._random.random() >= POWER_SHARE:
                self._world.kill_and_restart(group)
                continue
            for machine in group:
                self._world.power_off(machine)
                self._world.restart(machine, 0.5 + self._random.random())

    def _late_heartbeats(self) -> Script:
        for _ in range(self._random.randint(0, 5)):
            yield self._world.env.timeout(self._random.random() * HEARTBEAT_S)
            body = self._world.heartbeat_body(SETTLED, self._random.randint(0, 3))
            yield from self._world.send(b"PUT", body)

    def _drain(self) -> Script:
        for _ in range(self._random.randint(0, 4)):
            yield self._world.env.timeout(HEARTBEAT_S)
            yield from self._world.send(b"PUT", self._world.heartbeat_body(DECAYING))
        if self._random.random() >= SIGN_OFF_SHARE:
            return
        for _ in range(SIGN_OFF_TRIES):
            if (yield from self._world.send(b"DELETE")) == 200:
                return
            yield self._world.env.timeout(RETRY_S)
