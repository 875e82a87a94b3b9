"""What an upstream says of itself, decoded into commands. No I/O."""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct

from mesh.ownership.server_holds import HeldRow, ReleasedRow
from mesh.transport.link import Address

MAX_INSTANCE_ID_LENGTH = 128  # characters of an instance's id at the most
SETTLED, DECAYING = "settled", "decaying"
MAX_KEY_ROWS = 1024  # of keys in one beat


class Heartbeat(Struct, frozen=True):
    instance: str
    plant: str
    address: Address
    zone: str
    epoch: str
    capacity: int
    state: str
    warmup_left_ms: float
    sample_count: int
    holds: tuple[HeldRow, ...] = ()  # keys that it holds or still works on
    released: tuple[ReleasedRow, ...] = ()  # and those that it let go since its last acknowledged beat


class Leave(Struct, frozen=True):
    instance: str


class InvalidCommand(Struct, frozen=True):
    field: str
    remedy: str

    def line(self) -> str:
        return f"beat: {self.field}: {self.remedy}"


def read_address(text: Any) -> Address | None:
    if not isinstance(text, str):
        return None
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        return None
    return host, int(port)


def _is_number(value: Any) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool) and 0 <= value < 2**53


def read_heartbeat(instance: str, body: bytes) -> Heartbeat | InvalidCommand:
    if not 0 < len(instance) <= MAX_INSTANCE_ID_LENGTH:
        return InvalidCommand("path", f"an id has 1 to {MAX_INSTANCE_ID_LENGTH} characters")
    try:
        told = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError):
        return InvalidCommand("body", "send a JSON object")
    if not isinstance(told, dict):
        return InvalidCommand("body", "send a JSON object")
    address = read_address(told.get("address"))
    if address is None:
        return InvalidCommand("address", "give HOST:PORT")
    if told.get("state") not in (SETTLED, DECAYING):
        return InvalidCommand("state", f"give {SETTLED} or {DECAYING}")
    for field in ("capacity", "sample_count"):
        if not _is_number(told.get(field)) or int(told[field]) != told[field]:
            return InvalidCommand(field, "give a whole number from 0")
    if not _is_number(told.get("warmup_left_ms", 0)):
        return InvalidCommand("warmup_left_ms", "give a number from 0")
    for field in ("plant", "zone", "epoch"):
        if not isinstance(told.get(field, ""), str) or len(told.get(field, "")) > 256:
            return InvalidCommand(field, "give text of 256 characters at the most")
    if not told.get("plant"):
        return InvalidCommand("plant", "give the service's name")
    try:
        holds = msgspec.convert(told.get("holds") or [], tuple[HeldRow, ...])
        released = msgspec.convert(told.get("released") or [], tuple[ReleasedRow, ...])
    except msgspec.ValidationError as fault:
        return InvalidCommand("holds, released", f"give rows of keys: {fault}")
    if len(holds) > MAX_KEY_ROWS or len(released) > MAX_KEY_ROWS:
        return InvalidCommand("holds, released", f"give {MAX_KEY_ROWS} rows at the most")
    return Heartbeat(
        instance=instance,
        plant=told["plant"],
        address=address,
        zone=told.get("zone", ""),
        epoch=told.get("epoch", ""),
        capacity=max(int(told["capacity"]), 1),
        state=told["state"],
        warmup_left_ms=float(told.get("warmup_left_ms", 0.0)),
        sample_count=int(told["sample_count"]),
        holds=holds,
        released=released,
    )
