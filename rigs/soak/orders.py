"""The operators of a soak: they send writes as the protocol says, and read the configuration back."""

from __future__ import annotations

import asyncio
import json
import math
from collections.abc import Callable, Sequence
from typing import Any

from msgspec import Struct

from rigs.mesh_peers import Address, call, service
from rigs.soak.configuration_ledger import ConfigurationLedger, Order
from rigs.soak.plan import DropItem, Invalid, Item, RouteItem, Share, Write

SILENCE_S = 1.0  # after which another controller is called
SILENCE_BYTE_S = 2e-6
PAUSE_S, PAUSE_MOST_S = 0.05, 0.8
GIVEN_UP_S = 40.0
HOST = "h.example"
SETPOINT_MS, HORIZON_MS, TRIALS = 1000, 4000, 2
ENDS_AT_ONCE = frozenset({400, 409, 412, 413, 422})
TRIES_4XX = 3  # any other 4xx ends a call at the third


class Operators(Struct):
    """What the writes of a soak need. ``controllers`` gives the control addresses as the operators' list has
    them now; ``acknowledged`` is told of each controller that has just acknowledged a write."""

    ledger: ConfigurationLedger
    controllers: Callable[[], Sequence[Address]]
    acknowledged: Callable[[Address], None]
    now: Callable[[], float]
    took_s: list[float] = []

    async def write(self, write: Write) -> None:
        """One write with its rival, and sent again where it says so, each until it has its end."""
        valid = write.invalid is None
        rivalled = bool(write.rival)
        sends = [self._send(write.items, write.to, valid, rivalled, write.invalid)]
        if rivalled:
            sends.append(self._send(write.rival, write.to + 1, valid, rivalled, None))
        orders = await asyncio.gather(*sends)
        if write.again and orders[0].acknowledged < math.inf:
            await self._deliver(orders[0], body_of(write.items, write.invalid), write.to + 1, rivalled)

    async def _send(
        self, items: tuple[Item, ...], to: int, valid: bool, rivalled: bool, invalid: Invalid | None
    ) -> Order:
        order = self.ledger.sent(items, valid, self.now())
        await self._deliver(order, body_of(items, invalid), to, rivalled)
        if valid and order.acknowledged < math.inf:
            self.took_s.append(order.acknowledged - order.sent)
        return order

    async def _deliver(self, order: Order, body: bytes, to: int, rivalled: bool) -> None:
        """Sent on and on, exactly as it is, until it is answered clearly."""
        began, pause_s, refusals, turn = self.now(), PAUSE_S, 0, to
        while self.now() - began < GIVEN_UP_S:
            addresses = self.controllers()
            address = addresses[turn % len(addresses)]
            turn += 1
            status, _ = await call(
                address, b"PATCH", b"/configuration", body, SILENCE_S + SILENCE_BYTE_S * len(body)
            )
            if status == 200:
                self.ledger.acknowledged(order, self.now())
                self.acknowledged(address)
                return
            refusals += 400 <= status < 500 and status not in (408, 429)
            if status in ENDS_AT_ONCE or refusals >= TRIES_4XX:
                self.ledger.refused(order, self.now(), status, rivalled)
                return
            if order.valid and not rivalled and order.acknowledged == math.inf:
                self.ledger.unanswered(order, self.now())
            await asyncio.sleep(pause_s)
            pause_s = min(2.0 * pause_s, PAUSE_MOST_S)

    async def read(self, node: str, address: Address) -> bool:
        """One read at that controller, judged; False where it gave no answer."""
        asked = self.now()
        status, body = await call(address, b"GET", b"/configuration", within_s=SILENCE_S)
        if status != 200:
            return False
        self.ledger.read(routes_of(json.loads(body)), node, asked, self.now())
        return True


def body_of(items: Sequence[Item], invalid: Invalid | None) -> bytes:
    """The call as it is sent; what is wrong with an invalid one stands in its first route."""
    rules = [_rule(one) for one in items if isinstance(one, RouteItem)]
    fresh = sorted({share.service for one in items if isinstance(one, RouteItem) for share in one.shares})
    host = HOST
    if invalid is Invalid.UNKNOWN_SERVICE:
        rules[0]["response"]["plant"] = "nobody-knows"
    elif invalid is Invalid.NO_TIMEOUT:
        rules[0]["response"]["horizon_ms"] = 0
    elif invalid is Invalid.NO_TRIALS:
        rules[0]["response"]["trials"] = 0
    elif invalid is Invalid.EMPTY_HOST:
        host = ""
    body = json.dumps(
        {
            "apply": {
                "input_ports": [{"host": host, "control_law": rules}] if rules else [],
                "plant_groups": [service(name) for name in fresh],
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
    return body[:-7] if invalid is Invalid.CUT_SHORT else body


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
    """The routes of a configuration as it was read back, by name; one that differs from its form as it was
    sent has no shares."""
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
