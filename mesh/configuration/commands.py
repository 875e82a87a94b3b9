"""Decodes a configuration call of an operator and validates it without regard to the current items.

A ``PATCH /configuration`` becomes a ``ConfigurationWrite``, with one item write for each name in it, or the
first error found. Unknown fields are kept, since an item must read back exactly as it was sent.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Any

import msgspec
from msgspec import Struct

from mesh.configuration.routes import fold_host

ROUTE = "route"
PLANT = "plant"
INPUT_LIMITS = "input_limits"  # the kind, and the name of the only item of that kind

MAX_ITEMS = 20_000
MAX_NAME_LENGTH = 256
MAX_HOST_LENGTH = 255
MAX_PATH_LENGTH = 4096
MAX_SPLIT_ENTRIES = 1000
MAX_DEPTH = 64  # far below the depth at which rendering or comparing a value would overflow the stack
MAX_NUMBER = 2**53  # programs that read numbers as floats would not agree on greater ones
MAX_HORIZON_MS = 600_000
MAX_SETPOINT_EXCESS_MS = 60_000

_EPOCH = re.compile(r"r[0-9]{1,18}")
_HEALTH_PATH = re.compile(r"/[!-~]*")
_MAX_SHOWN_LENGTH = 60
_LIMIT_FIELDS = ("header_bytes", "body_bytes", "header_lag_ms", "quiescent_ms")
# Names of the kinds in `remove`; services have two, that of `apply` and that of the reference text.
_REMOVABLE = (("routes", ROUTE), ("plants", PLANT), ("plant_groups", PLANT))


class ItemWrite(Struct, frozen=True):
    """Sets or drops one item. ``value`` is the item as sent, for a route with its ``host`` added; None drops
    the item."""

    kind: str
    name: str
    version: int
    value: dict[str, Any] | None


class ConfigurationWrite(Struct, frozen=True):
    """A valid call: at most one write for each kind and name, at most MAX_ITEMS in all."""

    writes: tuple[ItemWrite, ...]


class Invalid(Struct, frozen=True):
    """Why a call is refused as a whole: the item, its field, and how to correct it."""

    item: str
    field: str
    reason: str

    def line(self) -> str:
        """The error as one line of printable text, for the body of the answer and the log."""
        return f"{self.item}: {self.field} {self.reason}"


def decode_change(body: bytes) -> ConfigurationWrite | Invalid:
    """Decodes ``body`` into a change or the first error in it. Never raises, whatever the bytes.

    If a name occurs twice, the higher version holds; the same version with different content is an error.
    """
    try:
        call = msgspec.json.decode(body)
    except msgspec.DecodeError as error:
        return Invalid("call", "body", f"is not valid JSON: {error}; send the complete document")
    except RecursionError:
        return Invalid("call", "body", f"is nested too deep; give at most {MAX_DEPTH} levels")
    if not isinstance(call, dict):
        return Invalid("call", "body", "is not a JSON object; give an object with apply and remove")
    if _too_deep(call):
        return Invalid("call", "body", f"is nested too deep; give at most {MAX_DEPTH} levels")
    collector = _WriteCollector()
    invalid = _read_apply(call.get("apply"), collector) or _read_remove(call.get("remove"), collector)
    return invalid or ConfigurationWrite(tuple(collector.writes.values()))


def printable(value: object) -> str:
    """Any value of a call as short printable text."""
    text = value if isinstance(value, str) and value.isprintable() and value else ascii(value)
    return text if len(text) <= _MAX_SHOWN_LENGTH else text[:_MAX_SHOWN_LENGTH] + "..."


def item_label(kind: str, name: str) -> str:
    """The name of an item in an error."""
    return INPUT_LIMITS if kind == INPUT_LIMITS else f"{kind} {printable(name)}"


class _WriteCollector:
    """Collects the writes of one call, the higher version of each name."""

    def __init__(self) -> None:
        self.writes: dict[tuple[str, str], ItemWrite] = {}
        self.item_count = 0

    def add(self, kind: str, name: str, sent: dict[str, Any], value: dict[str, Any] | None) -> Invalid | None:
        """Adds a write of ``value`` for the item ``sent``, whose ``epoch`` is parsed here."""
        self.item_count += 1
        if self.item_count > MAX_ITEMS:
            return Invalid("call", "body", f"has over {MAX_ITEMS} items; send them in several calls")
        item = item_label(kind, name)
        epoch = sent.get("epoch")
        if not isinstance(epoch, str) or not _EPOCH.fullmatch(epoch):
            return Invalid(item, "epoch", _correction(epoch, "r and a number, such as r12"))
        write = ItemWrite(kind, name, int(epoch[1:]), value)
        other = self.writes.get((kind, name))
        if other is None or write.version > other.version:
            self.writes[kind, name] = write
        elif write.version == other.version and write.value != other.value:
            return Invalid(
                item, "epoch", f"is {epoch} twice with different content; give each its own version"
            )
        return None


def _read_apply(apply: object, collector: _WriteCollector) -> Invalid | None:
    if apply is None:
        return None
    if not isinstance(apply, dict):
        return Invalid("call", "apply", _correction(apply, "an object"))
    limits = apply.get("input_limits")
    if limits is not None:
        invalid = _limits_error(limits) or collector.add(INPUT_LIMITS, INPUT_LIMITS, limits, limits)
        if invalid:
            return invalid
    for where, entry in _entries(apply.get("input_ports"), "input_ports"):
        invalid = _read_host(where, entry, collector)
        if invalid:
            return invalid
    for where, plant in _entries(apply.get("plant_groups"), "plant_groups"):
        invalid = _name_error(where, plant) or _plant_error(item_label(PLANT, plant["name"]), plant)
        invalid = invalid or collector.add(PLANT, plant["name"], plant, plant)
        if invalid:
            return invalid
    return None


def _read_host(where: str, entry: object, collector: _WriteCollector) -> Invalid | None:
    if not isinstance(entry, dict):
        return Invalid(where, "entry", _correction(entry, "a list of objects with host and control_law"))
    host = entry.get("host")
    if not isinstance(host, str) or len(host) > MAX_HOST_LENGTH or not fold_host(host):
        return Invalid(where, "host", _correction(host, f"a host of 1 to {MAX_HOST_LENGTH} characters"))
    for at, rule in _entries(entry.get("control_law"), f"{where}.control_law"):
        invalid = _name_error(at, rule) or _route_error(item_label(ROUTE, rule["name"]), rule)
        invalid = invalid or collector.add(ROUTE, rule["name"], rule, {**rule, "host": host})
        if invalid:
            return invalid
    return None


def _read_remove(remove: object, collector: _WriteCollector) -> Invalid | None:
    if remove is None:
        return None
    if not isinstance(remove, dict):
        return Invalid("call", "remove", _correction(remove, "an object"))
    for part, kind in _REMOVABLE:
        for where, named in _entries(remove.get(part), f"remove.{part}"):
            invalid = _name_error(where, named) or collector.add(kind, named["name"], named, None)
            if invalid:
                return invalid
    for where, limits in _entries(remove.get(INPUT_LIMITS), f"remove.{INPUT_LIMITS}"):
        # There is only one, so it needs no name.
        if not isinstance(limits, dict):
            return Invalid(where, "entry", _correction(limits, "a list of objects with epoch"))
        invalid = collector.add(INPUT_LIMITS, INPUT_LIMITS, limits, None)
        if invalid:
            return invalid
    return None


def _entries(part: object, where: str) -> Iterator[tuple[str, Any]]:
    """Yields each entry of a list with its location. A missing or null part has none; a part that is not a
    list is yielded as an entry, which the parser of entries refuses."""
    if part is None:
        return
    if not isinstance(part, list):
        yield where, [part]  # a list is never a valid entry, whatever the part was
        return
    for index, entry in enumerate(part):
        yield f"{where}[{index}]", entry


def _name_error(where: str, entry: object) -> Invalid | None:
    if not isinstance(entry, dict):
        return Invalid(where, "entry", _correction(entry, "a list of objects with name and epoch"))
    name = entry.get("name")
    if not _is_name(name):
        return Invalid(where, "name", _correction(name, f"a name of 1 to {MAX_NAME_LENGTH} characters"))
    return None


def _limits_error(limits: object) -> Invalid | None:
    if not isinstance(limits, dict):
        return Invalid(INPUT_LIMITS, "entry", _correction(limits, "an object with epoch"))
    for field in _LIMIT_FIELDS:
        if limits.get(field) is not None and not _is_number(limits[field], above=0):
            return Invalid(INPUT_LIMITS, field, _correction(limits[field], "a number above 0"))
    return None


def _plant_error(item: str, plant: dict[str, Any]) -> Invalid | None:
    saturation = plant.get("conn_saturation")
    if saturation is not None and not _is_number(saturation, above=0):
        return Invalid(item, "conn_saturation", _correction(saturation, "a number above 0"))
    path = plant.get("health_path")
    if path is not None:
        # It is sent in a request line, where a space or a line break would change the request.
        if not isinstance(path, str) or len(path) > MAX_PATH_LENGTH or not _HEALTH_PATH.fullmatch(path):
            return Invalid(
                item, "health_path", _correction(path, "a path that begins with /, without spaces")
            )
    return None


def _route_error(item: str, rule: dict[str, Any]) -> Invalid | None:
    if "host" in rule:
        # The stored value has the host of the entry in this field, so this one could not be read back.
        return Invalid(item, "host", "is not allowed in the rule; give it only in the entry of input_ports")
    if rule.get("kind") not in ("idempotent", "effectful"):
        return Invalid(item, "kind", _correction(rule.get("kind"), "idempotent or effectful"))
    priority = rule.get("priority")
    if priority is not None and not _is_whole(priority, least=0):
        return Invalid(item, "priority", _correction(priority, "an integer of at least 0"))
    predicate = rule.get("predicate")
    if not isinstance(predicate, dict):
        return Invalid(item, "predicate", _correction(predicate, "an object with prefix"))
    prefix = predicate.get("prefix")
    if not isinstance(prefix, str) or not (prefix.startswith("/") and prefix.endswith("/")):
        return Invalid(item, "predicate.prefix", _correction(prefix, "a path that begins and ends with /"))
    if len(prefix) > MAX_PATH_LENGTH:
        return Invalid(item, "predicate.prefix", f"is too long; give at most {MAX_PATH_LENGTH} characters")
    response = rule.get("response")
    if not isinstance(response, dict):
        return Invalid(item, "response", _correction(response, "an object with plant or distribution"))
    return _target_error(item, response) or _bounds_error(item, response, rule.get("setpoint_ms"))


def _bounds_error(item: str, response: dict[str, Any], setpoint: Any) -> Invalid | None:
    horizon: Any = response.get("horizon_ms")
    if not _is_number(horizon, above=0) or horizon > MAX_HORIZON_MS:
        return Invalid(item, "response.horizon_ms", _correction(horizon, f"1 to {MAX_HORIZON_MS}"))
    trials = response.get("trials")
    if trials is not None and not _is_whole(trials, least=1):
        return Invalid(item, "response.trials", _correction(trials, "an integer of at least 1"))
    if setpoint is not None:
        if not _is_number(setpoint) or setpoint >= horizon + MAX_SETPOINT_EXCESS_MS:
            wanted = f"0 to less than horizon_ms + {MAX_SETPOINT_EXCESS_MS}"
            return Invalid(item, "setpoint_ms", _correction(setpoint, wanted))
    return None


def _target_error(item: str, response: dict[str, Any]) -> Invalid | None:
    plant, split = response.get("plant"), response.get("distribution")
    if split is None:
        if not _is_name(plant):
            return Invalid(item, "response.plant", _correction(plant, "a service's name, or a distribution"))
        return None
    field = "response.distribution"
    if plant is not None:
        return Invalid(item, field, "is given together with response.plant; give only one of them")
    if not isinstance(split, list) or not 0 < len(split) <= MAX_SPLIT_ENTRIES:
        return Invalid(
            item, field, f"is not a list of 1 to {MAX_SPLIT_ENTRIES} entries; give plant and gain in each"
        )
    for index, part in enumerate(split):
        if not isinstance(part, dict):
            return Invalid(item, f"{field}[{index}]", _correction(part, "an object with plant and gain"))
        if not _is_name(part.get("plant")):
            return Invalid(
                item, f"{field}[{index}].plant", _correction(part.get("plant"), "a service's name")
            )
        if not _is_number(part.get("gain")):
            return Invalid(
                item, f"{field}[{index}].gain", _correction(part.get("gain"), "a number of at least 0")
            )
    if not any(part["gain"] for part in split):
        return Invalid(item, field, "has no gain above 0; give one to a service")
    return None


def _correction(value: object, wanted: str) -> str:
    return f"is missing; give {wanted}" if value is None else f"is {printable(value)}; give {wanted}"


def _is_name(value: object) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MAX_NAME_LENGTH


def _is_number(value: Any, above: float | None = None) -> bool:
    """Whether ``value`` is a number from 0 on, or above ``above``. JSON has no infinities, and the decoder
    refuses numbers that would overflow to one."""
    if type(value) not in (int, float):  # excludes bool, a subclass of int
        return False
    return bool((value >= 0 if above is None else value > above) and value <= MAX_NUMBER)


def _is_whole(value: Any, least: int) -> bool:
    return _is_number(value) and value >= least and value == int(value)


def _too_deep(call: dict[str, Any]) -> bool:
    """Whether values are nested over MAX_DEPTH levels; checked by level, without recursion."""
    level: list[Any] = [call]
    for _ in range(MAX_DEPTH):
        nested: list[Any] = []
        for value in level:
            nested += value.values() if isinstance(value, dict) else value
        level = [value for value in nested if isinstance(value, (dict, list))]
        if not level:
            return False
    return True
