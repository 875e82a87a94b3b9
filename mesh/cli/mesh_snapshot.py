"""The state of the mesh as the processes report it, for the commands to evaluate and print. No I/O.

Answers are kept unchanged: a process of another version may omit or add fields, so every field is read with a
default.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from mesh.replication.items import Item, Key, outranks
from mesh.transport.link import Address

JsonObject = Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Process:
    """A process that was asked for its status. ``status`` is None if it did not answer, for the reason
    ``why``; its clock is ``clock_offset_s`` ahead of the local one, give or take ``clock_error_s``."""

    name: str  # from the membership store or --at
    address: Address
    status: JsonObject | None
    why: str = ""
    clock_offset_s: float = 0.0
    clock_error_s: float = 0.0

    @property
    def node(self) -> str:
        return text_field(self.status, "node") or self.name

    @property
    def role(self) -> str:
        return text_field(self.status, "role")

    @property
    def digest(self) -> str:
        """The digest of the configuration that it holds; "" if not known."""
        return text_field(object_field(self.status, "charter"), "digest")


@dataclass(frozen=True, slots=True)
class MeshSnapshot:
    """``processes``: those in the membership store and those given with ``--at``, by name; ``nodes`` and
    ``instances``: the store's entries by name."""

    processes: tuple[Process, ...]
    nodes: Mapping[str, JsonObject] = field(default_factory=dict)
    instances: Mapping[str, JsonObject] = field(default_factory=dict)

    def role_of(self, process: Process) -> str:
        """The role that the process reports, else the one in the membership store; "" if neither is known."""
        return process.role or text_field(self.nodes.get(process.name), "role")

    def answering(self, role: str = "") -> list[Process]:
        """The processes that answered, of one role or (for "") of any."""
        return [p for p in self.processes if p.status is not None and role in ("", p.role)]

    def instances_by_service(self) -> dict[str, list[tuple[str, JsonObject]]]:
        """Instances by service, both sorted by name."""
        found: dict[str, list[tuple[str, JsonObject]]] = {}
        for name, value in sorted(self.instances.items()):
            found.setdefault(text_field(value, "plant"), []).append((name, value))
        return dict(sorted(found.items()))

    def processes_by_digest(self) -> dict[str, list[Process]]:
        """Processes by the digest of the configuration they hold. The reference is first: held by the most
        control processes with contact, then by the most processes."""
        found: dict[str, list[Process]] = {}
        for process in self.answering():
            if process.digest:
                found.setdefault(process.digest, []).append(process)

        def rank(entry: tuple[str, list[Process]]) -> tuple[int, int, str]:
            in_contact = sum(bool(p.status and p.status.get("in_touch")) for p in entry[1])
            return in_contact, len(entry[1]), entry[0]

        return dict(sorted(found.items(), key=rank, reverse=True))


def object_field(fields: JsonObject | None, name: str) -> JsonObject:
    """The field if it is an object, else an empty one."""
    value = fields.get(name) if fields is not None else None
    return value if isinstance(value, Mapping) else {}


def text_field(fields: JsonObject | None, name: str) -> str:
    """The field if it is a string, else ""."""
    value = fields.get(name) if fields is not None else None
    return value if isinstance(value, str) else ""


def number_field(fields: JsonObject | None, name: str, default: float = 0.0) -> float:
    """The field if it is a number, else ``default``."""
    value = fields.get(name) if fields is not None else None
    return value if isinstance(value, int | float) and not isinstance(value, bool) else default


def read_items(page: object) -> list[Item]:
    """The items of an answer, without stamps; malformed ones are skipped."""
    found = []
    for row in page if isinstance(page, Sequence) and not isinstance(page, str) else ():
        if (
            isinstance(row, Sequence)
            and len(row) == 4
            and isinstance(row[0], str)
            and isinstance(row[1], str)
        ):
            if isinstance(row[2], int) and (row[3] is None or isinstance(row[3], dict)):
                found.append(Item(row[0], row[1], row[2], row[3]))
    return found


def newest_items(copies: Iterable[Iterable[Item]]) -> dict[Key, Item]:
    """The item of the highest rank under each key among several copies, dropped ones included."""
    found: dict[Key, Item] = {}
    for copy in copies:
        for item in copy:
            current = found.get(item.key)
            if current is None or outranks(item, current):
                found[item.key] = item
    return found
