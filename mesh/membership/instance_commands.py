"""Decodes the registration calls of an upstream into commands. No I/O."""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct

from mesh.ownership.server_holds import HeldRow, ReleasedRow
from mesh.transport.link import Address

MAX_INSTANCE_ID_LENGTH = 128  # characters
SETTLED, DECAYING = "settled", "decaying"
MAX_KEY_ROWS = 1024  # in one heartbeat


class Heartbeat(Struct, frozen=True):
    """The state that an instance reports periodically."""

    instance: str
    plant: str
    address: Address
    zone: str
    epoch: str
    capacity: int
    state: str
    warmup_left_ms: float
    sample_count: int
    holds: tuple[HeldRow, ...] = ()  # keys that it holds or still processes
    released: tuple[ReleasedRow, ...] = ()  # since its last acknowledged heartbeat


class Leave(Struct, frozen=True):
    """An instance deregisters."""

    instance: str


class InvalidCommand(Struct, frozen=True):
    """A call that cannot be decoded: the invalid field and how to correct it."""

    field: str
    remedy: str

    def line(self) -> str:
        """The error text of the answer."""
        return f"beat: {self.field}: {self.remedy}"


def read_address(text: Any) -> Address | None:
    """Parses HOST:PORT; None if the text is not of that form."""
    if not isinstance(text, str):
        return None
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        return None
    return host, int(port)


def _is_number(value: Any) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool) and 0 <= value < 2**53


def check_instance_id(instance: str) -> InvalidCommand | None:
    """What is wrong with the id in a call's path, if anything."""
    if 0 < len(instance) <= MAX_INSTANCE_ID_LENGTH:
        return None
    return InvalidCommand("path", f"an id has 1 to {MAX_INSTANCE_ID_LENGTH} characters")


def read_heartbeat(instance: str, body: bytes) -> Heartbeat | InvalidCommand:
    """Decodes the body of a heartbeat call."""
    if (invalid := check_instance_id(instance)) is not None:
        return invalid
    try:
        fields = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError):
        return InvalidCommand("body", "send a JSON object")
    if not isinstance(fields, dict):
        return InvalidCommand("body", "send a JSON object")
    address = read_address(fields.get("address"))
    if address is None:
        return InvalidCommand("address", "give HOST:PORT")
    if fields.get("state") not in (SETTLED, DECAYING):
        return InvalidCommand("state", f"give {SETTLED} or {DECAYING}")
    for field in ("capacity", "sample_count"):
        if not _is_number(fields.get(field)) or int(fields[field]) != fields[field]:
            return InvalidCommand(field, "give a whole number from 0")
    if not _is_number(fields.get("warmup_left_ms", 0)):
        return InvalidCommand("warmup_left_ms", "give a number from 0")
    for field in ("plant", "zone", "epoch"):
        if not isinstance(fields.get(field, ""), str) or len(fields.get(field, "")) > 256:
            return InvalidCommand(field, "give text of 256 characters at the most")
    if not fields.get("plant"):
        return InvalidCommand("plant", "give the service's name")
    try:
        holds = msgspec.convert(fields.get("holds") or [], tuple[HeldRow, ...])
        released = msgspec.convert(fields.get("released") or [], tuple[ReleasedRow, ...])
    except msgspec.ValidationError as error:
        return InvalidCommand("holds, released", f"give rows of keys: {error}")
    if len(holds) > MAX_KEY_ROWS or len(released) > MAX_KEY_ROWS:
        return InvalidCommand("holds, released", f"give {MAX_KEY_ROWS} rows at the most")
    return Heartbeat(
        instance=instance,
        plant=fields["plant"],
        address=address,
        zone=fields.get("zone", ""),
        epoch=fields.get("epoch", ""),
        capacity=max(int(fields["capacity"]), 1),
        state=fields["state"],
        warmup_left_ms=float(fields.get("warmup_left_ms", 0.0)),
        sample_count=int(fields["sample_count"]),
        holds=holds,
        released=released,
    )
