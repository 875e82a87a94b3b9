"""Checks the fields of the platform's JSON: names, types, ranges and plausible sizes. No I/O.

The loader ignores unknown fields and accepts whatever Python's float() accepts: with a misspelt field the
default applies, "false" in quotes is true, and 0.4 is accepted as a timeout in milliseconds. These checks
examine the values as written.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from anisestair.configure.findings import FieldPath, Finding, Role, error, warning

ROLE = Role.PLATFORM


@dataclass(frozen=True, slots=True)
class Number:
    """A number from ``minimum`` to ``maximum``. ``plausible``: range that is likely for the unit; 0 is always
    plausible if it is in range."""

    minimum: float = 0.0
    maximum: float = math.inf
    plausible: tuple[float, float] | None = None
    integer: bool = False
    unit: str = "milliseconds"


@dataclass(frozen=True, slots=True)
class String:
    """A string; ``allowed``: the allowed values, empty for any."""

    allowed: tuple[str, ...] = ()


class Flag:
    """A boolean."""


class Unchecked:
    """A field that is checked elsewhere or not used by sidecars."""


Field = Number | String | Flag | Unchecked
UNCHECKED, FLAG = Unchecked(), Flag()


def milliseconds(low: float, high: float, minimum: float = 0.0) -> Number:
    """A duration that is plausible from ``low`` to ``high``."""
    return Number(minimum, plausible=(low, high))


SHARE = Number(0.0, 1.0, unit="a share")
UNITLESS = Number(unit="a plain number")
TOP_LEVEL: dict[str, Field] = {
    "name": String(),
    "listen": String(),
    "discovery": String(),
    "mgmt": String(),
    "seed": String(),
    "limits": UNCHECKED,
    "known": UNCHECKED,
    "settings": UNCHECKED,
}
MACHINE_LIMITS: dict[str, Field] = {
    "cores": Number(0.0, 1024.0, unit="cores"),
    "memory_mb": Number(1.0, plausible=(16, 1_048_576), unit="megabytes"),
    "sockets": Number(128, plausible=(128, 4_194_304), integer=True, unit="descriptors"),
}
# Plausible ranges are wide: they detect seconds or microseconds in place of milliseconds, not unsuitable
# values. A service that really promises an answer within 4 ms would be reported wrongly.
CLASS: dict[str, Field] = {
    "name": String(),
    "promise-ms": milliseconds(5, 600_000),
    "give-up-ms": milliseconds(10, 600_000),
    "importance": UNITLESS,
    "late-share": SHARE,
    "idempotency": String(("free", "guarded", "single_shot")),
    "key-scope": String(("all", "zone", "cell")),
    "window-ms": milliseconds(50, 86_400_000),
    "stream": FLAG,
}
SETTINGS: dict[str, Field] = {
    "classes": UNCHECKED,
    "limits": UNCHECKED,
    "rules": UNCHECKED,
    "discovery": String(("ask", "push")),
    "peers-total": Number(1, 1_000_000, integer=True, unit="sidecars"),
    "me": Number(0, 999_999, integer=True),
    "locality": String(),
    "tick-ms": milliseconds(0.05, 200),
    "weight-source": String(),
    "worth-by": String(),
}
for _name in (
    *("callers", "family-info", "kind-of-service", "kinds", "layer", "over-share-worth", "report"),
    *("scoring-mix", "tariffs", "tenants", "tiers", "zones"),
):
    SETTINGS[_name] = UNCHECKED
LIMITS: dict[str, Field] = {
    "connect-timeout-ms": milliseconds(3, 60_000),
    "keepalive-ms": milliseconds(50, 3_600_000),
    "max-attempts": Number(1, plausible=(1, 32), integer=True, unit="attempts"),
    "may-cancel": FLAG,
    "second-copies": FLAG,
    "probing": FLAG,
    "retry-after": FLAG,
    "max-retry-after-ms": milliseconds(10, 3_600_000),
}
for _name in ("cpu-us-per-request", "cpu-us-per-s", "most-held", "multiplex", "peers"):
    LIMITS[_name] = UNCHECKED
RULES: dict[str, Field] = {
    "answer-slack-ms": milliseconds(0.5, 60_000),
    "ask-within-ms": milliseconds(100, 3_600_000),
    "cold-from": Number(1e-9, 1.0, unit="a share"),
    "cold-ms": milliseconds(20, 3_600_000),
    "drain-grace-ms": milliseconds(20, 600_000),
    "overload-for-ms": milliseconds(10, 3_600_000),
    "tip-multiple": UNITLESS,
}
REQUIRED_CLASS_FIELDS = ("name", "promise-ms", "give-up-ms")

DEFAULT_APPLIES = "the field is ignored, and its default value applies"
START_REFUSED = "the sidecar refuses to start, with a line that names the field"


def check(data: dict[str, Any]) -> list[Finding]:
    """Findings about the fields as written."""
    findings = list(_check_table(data, TOP_LEVEL, ()))
    for path, fields in ((("limits",), MACHINE_LIMITS), (("settings",), SETTINGS)):
        findings += _check_object(data.get(path[0]), fields, path)
    settings = data.get("settings")
    if not isinstance(settings, dict):
        return findings
    for name, fields in (("limits", LIMITS), ("rules", RULES)):
        if name in settings:
            findings += _check_object(settings[name], fields, ("settings", name))
    classes = settings.get("classes")
    if not isinstance(classes, list) or not classes:
        message = "no request class" if "classes" in settings else "no field 'classes'"
        findings.append(
            error("refused-start", ROLE, ("settings", "classes"), message, START_REFUSED, "list the classes")
        )
        return findings
    for number, item in enumerate(classes):
        class_path: FieldPath = ("settings", "classes", number)
        findings += _check_object(item, CLASS, class_path)
        if isinstance(item, dict):
            for name in REQUIRED_CLASS_FIELDS:
                if name not in item:
                    remedy = f"add {name!r}"
                    findings.append(
                        error("refused-start", ROLE, class_path, f"no field {name!r}", START_REFUSED, remedy)
                    )
    return findings


def _check_object(value: Any, fields: dict[str, Field], path: FieldPath) -> Iterator[Finding]:
    if isinstance(value, dict):
        yield from _check_table(value, fields, path)
    else:
        message = "missing" if value is None else "not an object"
        yield error("wrong-type", ROLE, path, message, START_REFUSED, "write an object {...}")


def _check_table(table: dict[str, Any], fields: dict[str, Field], path: FieldPath) -> Iterator[Finding]:
    for name, value in table.items():
        field_path: FieldPath = (*path, name)
        if name not in fields:
            yield _unknown_field(name, table, fields, field_path)
        elif (finding := _check_value(fields[name], value, field_path)) is not None:
            yield finding


def nearest(name: str, known: list[str]) -> str:
    """The known name closest to a misspelt one, or an empty string if none is close."""
    import difflib  # not loaded if there is nothing to report

    name_by_plain = {item.replace("-", "").replace("_", "").lower(): item for item in known}
    plain_name = name.replace("-", "").replace("_", "").lower()
    matches = difflib.get_close_matches(plain_name, list(name_by_plain), 1, 0.75)
    return name_by_plain[matches[0]] if matches else ""


def _unknown_field(name: str, table: dict[str, Any], fields: dict[str, Field], path: FieldPath) -> Finding:
    nearest_name = nearest(name, list(fields))
    if nearest_name and nearest_name not in table:
        return error(
            "unknown-field",
            ROLE,
            path,
            f"unknown field; the nearest known one is {nearest_name!r}",
            DEFAULT_APPLIES,
            f"write {nearest_name!r}",
        )
    return warning(
        "unknown-field",
        ROLE,
        path,
        "unknown field",
        "the field is ignored",
        "remove it, or correct its name",
    )


def _check_value(field: Field, value: Any, path: FieldPath) -> Finding | None:
    if isinstance(field, Unchecked):
        return None
    if isinstance(field, Flag):
        if isinstance(value, bool):
            return None
        consequence = f"it is read as {'true' if value else 'false'}"
        return error(
            "wrong-type",
            ROLE,
            path,
            f"{value!r} is neither true nor false",
            consequence,
            "write true or false",
        )
    if isinstance(field, String):
        if not isinstance(value, str):
            return error(
                "wrong-type",
                ROLE,
                path,
                f"{_shortened(value)} is not a string",
                START_REFUSED,
                "write a string in quotes",
            )
        if field.allowed and value not in field.allowed:
            nearest_name = nearest(value, list(field.allowed)) or " or ".join(map(repr, field.allowed))
            message = f"unknown value {_shortened(value)}"
            consequence = "the sidecar uses a different value than intended, or refuses to start"
            return error("unknown-value", ROLE, path, message, consequence, f"write {nearest_name}")
        return None
    return _check_number(field, value, path)


def _check_number(field: Number, value: Any, path: FieldPath) -> Finding | None:
    if isinstance(value, bool) or not isinstance(value, int | float):
        remedy = (
            f"write {value.strip()}"
            if isinstance(value, str) and _is_finite_number(value)
            else "write a number"
        )
        message = f"{_shortened(value)} is not a number"
        consequence = "the sidecar may read a different value, or refuse to start"
        return error("wrong-type", ROLE, path, message, consequence, remedy)
    if not math.isfinite(value) or not field.minimum <= value <= field.maximum or abs(value) > 1e15:
        bounds = (
            f"{field.minimum:g} to {field.maximum:g}"
            if math.isfinite(field.maximum)
            else f"{field.minimum:g} or more"
        )
        return error(
            "out-of-range",
            ROLE,
            path,
            f"{_shortened(value)} is out of range",
            START_REFUSED,
            f"write {bounds}",
        )
    if field.integer and value != int(value):
        consequence = "the fraction is cut off, or the sidecar refuses to start"
        return error(
            "wrong-type", ROLE, path, f"{value:g} is not a whole number", consequence, "write a whole number"
        )
    if field.plausible is not None and value:
        minimum, maximum = field.plausible
        if value < minimum:
            # So few milliseconds are probably a number of seconds.
            remedy = (
                f"write {value * 1000:g} if the value is in seconds"
                if field.unit == "milliseconds"
                else f"write {minimum:g} or more"
            )
            consequence = "calls are refused or given up because too little time is left"
            return error("unit", ROLE, path, f"{value:g} is too small for {field.unit}", consequence, remedy)
        if value > maximum:
            remedy = f"write {value / 1000:g} if the value is in a unit a thousand times smaller"
            consequence = "it has no effect within the lifetime of a call"
            return error("unit", ROLE, path, f"{value:g} is too large for {field.unit}", consequence, remedy)
    return None


def _is_finite_number(text: str) -> bool:
    try:
        return math.isfinite(float(text))
    except ValueError:
        return False


def _shortened(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 40 else text[:37] + "..."
