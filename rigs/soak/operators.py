"""The operators of a soak: they write the configuration as the protocol says, and read it back."""

from __future__ import annotations

import asyncio
import json
import math
from collections.abc import Callable, Sequence
from typing import Any

from msgspec import Struct

from rigs.mesh_peers import Address, call, service
from rigs.soak.configuration_ledger import ConfigurationLedger, WriteRecord
from rigs.soak.plan import DropItem, InvalidWrite, Item, RouteItem, Share, Write

TIMEOUT_S = 1.0  # of one call; then another controller is tried
TIMEOUT_S_PER_BYTE = 2e-6
RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.05, 0.8
MAX_RETRIES_S = 40.0
HOST = "h.example"
SETPOINT_MS, HORIZON_MS, TRIALS = 1000, 4000, 2
FINAL_STATUSES = frozenset({400, 409, 412, 413, 422})  # these end a write at once
MAX_4XX = 3  # with any other 4xx, the third one ends it


class Operators(Struct):
    """Sends the writes of a soak. ``controllers`` returns the control addresses currently in the operators'
    list; ``on_acknowledged`` is called with the address of each controller that has just acknowledged a
    write."""

    ledger: ConfigurationLedger
    controllers: Callable[[], Sequence[Address]]
    on_acknowledged: Callable[[Address], None]
    now: Callable[[], float]
    ack_times_s: list[float] = []

    async def write(self, write: Write) -> None:
        """Sends a write and its conflicting one, each until it has ended, and sends it again if the plan says
        so."""
        valid = write.invalid is None
        conflicting = bool(write.rival)
        sends = [self._send(write.items, write.to, valid, conflicting, write.invalid)]
        if conflicting:
            sends.append(self._send(write.rival, write.to + 1, valid, conflicting, None))
        records = await asyncio.gather(*sends)
        if write.again and records[0].acknowledged_at < math.inf:
            await self._deliver(records[0], body_of(write.items, write.invalid), write.to + 1, conflicting)

    async def _send(
        self,
        items: tuple[Item, ...],
        to: int,
        valid: bool,
        conflicting: bool,
        invalid: InvalidWrite | None,
    ) -> WriteRecord:
        record = self.ledger.record_sent(items, valid, self.now())
        await self._deliver(record, body_of(items, invalid), to, conflicting)
        if valid and record.acknowledged_at < math.inf:
            self.ack_times_s.append(record.acknowledged_at - record.sent_at)
        return record

    async def _deliver(self, record: WriteRecord, body: bytes, to: int, conflicting: bool) -> None:
        """Sends the same bytes repeatedly until the response is conclusive."""
        began, delay_s, rejections, turn = self.now(), RETRY_DELAY_S, 0, to
        while self.now() - began < MAX_RETRIES_S:
            addresses = self.controllers()
            address = addresses[turn % len(addresses)]
            turn += 1
            status, _ = await call(
                address, b"PATCH", b"/configuration", body, TIMEOUT_S + TIMEOUT_S_PER_BYTE * len(body)
            )
            if status == 200:
                self.ledger.record_acknowledged(record, self.now())
                self.on_acknowledged(address)
                return
            rejections += 400 <= status < 500 and status not in (408, 429)
            if status in FINAL_STATUSES or rejections >= MAX_4XX:
                self.ledger.record_rejected(record, self.now(), status, conflicting)
                return
            if record.valid and not conflicting and record.acknowledged_at == math.inf:
                self.ledger.check_unanswered(record, self.now())
            await asyncio.sleep(delay_s)
            delay_s = min(2.0 * delay_s, MAX_RETRY_DELAY_S)

    async def read(self, node: str, address: Address) -> bool:
        """Reads the configuration at that controller and checks it; returns False without a response."""
        asked_at = self.now()
        status, body = await call(address, b"GET", b"/configuration", timeout_s=TIMEOUT_S)
        if status != 200:
            return False
        self.ledger.check_read(routes_of(json.loads(body)), node, asked_at, self.now())
        return True


def body_of(items: Sequence[Item], invalid: InvalidWrite | None) -> bytes:
    """Encodes the body of a write; the defect of an invalid one is in its first route."""
    rules = [_rule(one) for one in items if isinstance(one, RouteItem)]
    services = sorted({share.service for one in items if isinstance(one, RouteItem) for share in one.shares})
    host = HOST
    if invalid is InvalidWrite.UNKNOWN_SERVICE:
        rules[0]["response"]["plant"] = "nobody-knows"
    elif invalid is InvalidWrite.ZERO_TIMEOUT:
        rules[0]["response"]["horizon_ms"] = 0
    elif invalid is InvalidWrite.ZERO_TRIALS:
        rules[0]["response"]["trials"] = 0
    elif invalid is InvalidWrite.EMPTY_HOST:
        host = ""
    body = json.dumps(
        {
            "apply": {
                "input_ports": [{"host": host, "control_law": rules}] if rules else [],
                "plant_groups": [service(name) for name in services],
            },
            "remove": {
                "routes": [
                    {"name": one.name, "epoch": f"r{one.version}"}
                    for one in items
                    if isinstance(one, DropItem)
                ]
            },
        }
    ).encode()
    return body[:-7] if invalid is InvalidWrite.TRUNCATED_BODY else body


def _rule(item: RouteItem) -> dict[str, Any]:
    response: dict[str, Any] = {"horizon_ms": HORIZON_MS, "trials": TRIALS}
    if len(item.shares) == 1:
        response["plant"] = item.shares[0].service
    else:
        response["distribution"] = [{"plant": one.service, "gain": one.weight} for one in item.shares]
    return {
        "name": item.name,
        "kind": "effectful" if item.effectful else "idempotent",
        "setpoint_ms": SETPOINT_MS,
        "priority": 1,
        "epoch": f"r{item.version}",
        "predicate": {"prefix": item.prefix},
        "response": response,
    }


def routes_of(configuration: dict[str, Any]) -> dict[str, RouteItem]:
    """Returns the routes of a configuration that was read back, by name. A route that differs from the form
    in which it was sent has no shares."""
    found = {}
    for port in configuration["input_ports"]:
        for rule in port["control_law"]:
            response = rule["response"]
            if "distribution" in response:
                shares = tuple(Share(one["plant"], one["gain"]) for one in response["distribution"])
            else:
                shares = (Share(response["plant"]),)
            item = RouteItem(
                rule["name"],
                int(rule["epoch"][1:]),
                rule["predicate"]["prefix"],
                shares,
                rule["kind"] == "effectful",
            )
            as_sent = _rule(item) == rule and port["host"] == HOST
            found[item.name] = item if as_sent else RouteItem(item.name, item.version, item.prefix, ())
    return found
