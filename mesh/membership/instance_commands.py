"""What an upstream says of itself, decoded into commands. No I/O."""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct

from mesh.ownership.server_holds import HeldRow, ReleasedRow
from mesh.transport.link import Address

NAME = 128  # characters of an instance's id at the most
SETTLED, DECAYING = "settled", "decaying"
ROWS_MOST = 1024  # of keys in one beat


class Beat(Struct, frozen=True):
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


class Unreadable(Struct, frozen=True):
    field: str
    mend: str

    def line(self) -> str:
        return f"beat: {self.field}: {self.mend}"


def read_address(text: Any) -> Address | None:
    if not isinstance(text, str):
        return None
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        return None
    return host, int(port)


def _number(value: Any) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool) and 0 <= value < 2**53


def read_beat(instance: str, body: bytes) -> Beat | Unreadable:
    if not 0 < len(instance) <= NAME:
        return Unreadable("path", f"an id has 1 to {NAME} characters")
    try:
        told = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError):
        return Unreadable("body", "send a JSON object")
    if not isinstance(told, dict):
        return Unreadable("body", "send a JSON object")
    address = read_address(told.get("address"))
    if address is None:
        return Unreadable("address", "give HOST:PORT")
    if told.get("state") not in (SETTLED, DECAYING):
        return Unreadable("state", f"give {SETTLED} or {DECAYING}")
    for field in ("capacity", "sample_count"):
        if not _number(told.get(field)) or int(told[field]) != told[field]:
            return Unreadable(field, "give a whole number from 0")
    if not _number(told.get("warmup_left_ms", 0)):
        return Unreadable("warmup_left_ms", "give a number from 0")
    for field in ("plant", "zone", "epoch"):
        if not isinstance(told.get(field, ""), str) or len(told.get(field, "")) > 256:
            return Unreadable(field, "give text of 256 characters at the most")
    if not told.get("plant"):
        return Unreadable("plant", "give the service's name")
    try:
        holds = msgspec.convert(told.get("holds") or [], tuple[HeldRow, ...])
        released = msgspec.convert(told.get("released") or [], tuple[ReleasedRow, ...])
    except msgspec.ValidationError as fault:
        return Unreadable("holds, released", f"give rows of keys: {fault}")
    if len(holds) > ROWS_MOST or len(released) > ROWS_MOST:
        return Unreadable("holds, released", f"give {ROWS_MOST} rows at the most")
    return Beat(
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
