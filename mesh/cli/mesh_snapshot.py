"""What was heard of the mesh, as the command line judges and prints it. No I/O.

What a process told is kept as it came: one of another version may leave fields out or bring others, so every
field is read with a stand-in.
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
    """One process that was asked for its status. ``told`` is None where it did not answer, ``why`` says why;
    ``ahead_s`` is by how much its clock is ahead of this one's, known to ``within_s``."""

    name: str  # as the roll or --at has it
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
        """Of the charter that it holds; "" where that is not known."""
        return text_field(object_field(self.status, "charter"), "digest")


@dataclass(frozen=True, slots=True)
class MeshSnapshot:
    """``processes``: those of the roll and those of ``--at``, by name; ``nodes`` and ``instances``: what
    stands in the roll, by name."""

    processes: tuple[Process, ...]
    nodes: Mapping[str, JsonObject] = field(default_factory=dict)
    instances: Mapping[str, JsonObject] = field(default_factory=dict)

    def role_of(self, process: Process) -> str:
        """As the process says itself, else as the membership has it; "" where neither is known."""
        return process.role or text_field(self.nodes.get(process.name), "role")

    def answering(self, role: str = "") -> list[Process]:
        """Those that answered, of one role or (for "") of any."""
        return [p for p in self.processes if p.status is not None and role in ("", p.role)]

    def instances_by_service(self) -> dict[str, list[tuple[str, JsonObject]]]:
        """Instances by service, both in the order of their names."""
        found: dict[str, list[tuple[str, JsonObject]]] = {}
        for name, value in sorted(self.instances.items()):
            found.setdefault(text_field(value, "plant"), []).append((name, value))
        return dict(sorted(found.items()))

    def processes_by_digest(self) -> dict[str, list[Process]]:
        """Processes by the digest of the charter that they hold; the one that counts is first: held by most
        of the control processes that hear enough others, then by most of all."""
        found: dict[str, list[Process]] = {}
        for process in self.answering():
            if process.digest:
                found.setdefault(process.digest, []).append(process)

        def standing(entry: tuple[str, list[Process]]) -> tuple[int, int, str]:
            sound = sum(bool(p.status and p.status.get("in_touch")) for p in entry[1])
            return sound, len(entry[1]), entry[0]

        return dict(sorted(found.items(), key=standing, reverse=True))


def object_field(told: JsonObject | None, name: str) -> JsonObject:
    """A field that is an object; an empty one where it is not."""
    value = told.get(name) if told is not None else None
    return value if isinstance(value, Mapping) else {}


def text_field(told: JsonObject | None, name: str) -> str:
    """A field that is text; "" where it is not."""
    value = told.get(name) if told is not None else None
    return value if isinstance(value, str) else ""


def number_field(told: JsonObject | None, name: str, default: float = 0.0) -> float:
    """A field that is a number; ``instead`` where it is not."""
    value = told.get(name) if told is not None else None
    return value if isinstance(value, int | float) and not isinstance(value, bool) else default


def read_items(page: object) -> list[Item]:
    """Items of an answer, without stamps; what is none is passed over."""
    found = []
    for one in page if isinstance(page, Sequence) and not isinstance(page, str) else ():
        if (
            isinstance(one, Sequence)
            and len(one) == 4
            and isinstance(one[0], str)
            and isinstance(one[1], str)
        ):
            if isinstance(one[2], int) and (one[3] is None or isinstance(one[3], dict)):
                found.append(Item(one[0], one[1], one[2], one[3]))
    return found


def newest_items(copies: Iterable[Iterable[Item]]) -> dict[Key, Item]:
    """Of several copies the item that rules under each key, dropped ones too."""
    found: dict[Key, Item] = {}
    for copy in copies:
        for item in copy:
            held = found.get(item.key)
            if held is None or outranks(item, held):
                found[item.key] = item
    return found
