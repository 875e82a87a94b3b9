"""A simulated mesh with an upstream whose heartbeats and sign-off are sent by the script, also late ones, and
the check that nothing is sent to it once its departure was acknowledged."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from anisestair.http import codec as http
from mesh.admission.final_check import Admitted, check_admission
from mesh.membership.instance_commands import DECAYING, SETTLED
from simulation.mesh.world import RESTART_S, Incarnation, Machine, Script, World

ANSWER_TIMEOUT_S = 1.0  # an upstream takes a later answer for none
REPEAT_S = 0.2  # pause before an unanswered or refused call is repeated
CHECK_INTERVAL_S = 0.02
ATTEMPTS = 20
GONE = "gone"  # the departure of an upstream that signs off without a drain


class DepartureWorld(World):
    """A mesh whose machine `LEAVER` has an upstream that sends only what the script makes it send."""

    LEAVER = "s1"

    def _run_upstream(self, incarnation: Incarnation) -> Script:
        if incarnation.machine.name == self.LEAVER:
            yield self.env.timeout(0.0)
        else:
            yield from super()._run_upstream(incarnation)

    @property
    def leaver(self) -> Machine:
        """The machine of the upstream that leaves."""
        return self.machines[self.LEAVER]

    @property
    def instance(self) -> str:
        """The id of the upstream that leaves."""
        return f"i-{self.LEAVER}"

    def heartbeat_body(self, state: str = SETTLED, count: int | None = None) -> bytes:
        """The body of the next heartbeat, or of the one with that count."""
        if count is None:
            self.leaver.heartbeats += 1
            count = self.leaver.heartbeats
        fields = {
            "plant": "p",
            "address": f"{self.leaver.ip}:8147",
            "zone": "z0",
            "epoch": "v1",
            "capacity": 4,
        }
        return msgspec.json.encode({**fields, "state": state, "warmup_left_ms": 0, "sample_count": count})

    def send(self, method: bytes, body: bytes = b"") -> Script:
        """One call of the upstream; returns the status, None without an answer in time."""
        incarnation = self.leaver.incarnation
        if incarnation is None or not incarnation.alive or incarnation.program is None:
            yield self.env.timeout(0.01)
            return None
        message = http.Message(method=method, target=f"/instances/{self.instance}".encode(), body=body)
        event = self.send_request(incarnation, incarnation.program.registry.handle, message)
        yield event | self.env.timeout(ANSWER_TIMEOUT_S)
        return event.value.status if event.triggered and event.value is not None else None

    def depart(self, state: str) -> Script:
        """Sends the first draining heartbeat, or for GONE the sign-off, until it is acknowledged; returns
        the time of that."""
        for _ in range(ATTEMPTS):
            if state == DECAYING:
                status = yield from self.send(b"PUT", self.heartbeat_body(DECAYING))
            else:
                status = yield from self.send(b"DELETE")
            if status == 200:
                return float(self.env.now)
            yield self.env.timeout(REPEAT_S)
        raise AssertionError("the departure was never acknowledged")

    def kill_and_restart(self, machines: Sequence[Machine]) -> None:
        """Kills the processes of these machines at one moment; each is restarted."""
        for number, machine in enumerate(machines):
            self.kill(machine)
            self.restart(machine, RESTART_S + 0.01 * number)

    def is_exposed(self) -> bool:
        """Whether a proxy would send a call to the upstream, and the proxy beside it would let it pass."""
        program = self.leaver.program
        if program is None:
            return False
        verdict = check_admission(program.balancers.now(), program.upstream, self.instance, 1000.0)
        # A proxy without a configuration sends nothing: it answers its clients 503.
        senders = [proxy for _, proxy in self.programs(controllers=False) if proxy.configured()]
        known = [proxy.membership.instances.get(self.instance) for proxy in senders]
        sent = any(value is not None and value["state"] == SETTLED for value in known)
        return sent and isinstance(verdict, Admitted)

    def check_departed(self, acknowledged_at: float, for_s: float, in_touch_only: bool = False) -> Script:
        """Reports the first time at which a call could reach the upstream later than its drain allows.
        ``in_touch_only``: while no process has been killed or started for the bound on contact."""
        bounds = self.settings(self.leaver, cold=False).bounds
        drain_s, contact_s = bounds.drain_ms / 1000.0, bounds.contact_ms / 1000.0
        yield self.env.timeout(max(acknowledged_at + drain_s - self.env.now, 0.0))
        until = self.env.now + for_s
        while self.env.now < until:
            in_touch = self.env.now - self.last_disturbance_at >= contact_s
            if (in_touch or not in_touch_only) and self.is_exposed():
                self.checker.violations.append(f"{self.env.now:.2f} DRAIN: a call can reach {self.instance}")
                return
            yield self.env.timeout(CHECK_INTERVAL_S)
