"""Detects drift: applications of one kind whose configurations differ without a reason in their descriptions.
No I/O."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Sequence
from typing import Any

from anisestair.configure.derive import derive
from anisestair.configure.findings import FieldPath, Finding, Role, dotted, warning
from anisestair.configure.judge_app import CheckResult

MIN_GROUP_SIZE = 3  # applications of one kind, before their majority defines the usual value
MIN_MAJORITY_SHARE = 0.5  # more than this share must have the same value, otherwise none is usual

DERIVED = "as derived"


def drift(results: Sequence[CheckResult]) -> dict[str, list[Finding]]:
    """Warnings by bundle name. All values that are as derived from their own descriptions count as equal;
    other values are compared as they are."""
    groups: dict[str, list[CheckResult]] = defaultdict(list)
    for item in results:
        if item.config is not None:
            classes = ", ".join(sorted(request_class.name for request_class in item.config.settings.classes))
            groups[item.app.kind if item.app is not None else f"with the classes {classes}"].append(item)
    findings: dict[str, list[Finding]] = defaultdict(list)
    for kind, members in sorted(groups.items()):
        if len(members) < MIN_GROUP_SIZE:
            continue
        all_values = [_set_values(item) for item in members]
        for path in sorted({path for values in all_values for path in values}, key=dotted):
            counts = Counter(repr(values.get(path)) for values in all_values)
            usual_value, count = counts.most_common(1)[0]
            if count <= MIN_MAJORITY_SHARE * len(members):
                continue
            for item, values in zip(members, all_values, strict=True):
                if repr(values.get(path)) != usual_value and values.get(path) != DERIVED:
                    actual = f"is {values[path]!r}" if path in values else "is not set"
                    majority = (
                        f"{count} of {len(members)} of kind {kind!r} have it {usual_value.strip(chr(39))}"
                    )
                    message = f"{actual}; {majority}"
                    consequence = "this application behaves differently from others of its kind"
                    remedy = "generate it again, or give the reason in its description"
                    findings[item.bundle.name].append(
                        warning("drift", Role.PLATFORM, path, message, consequence, remedy)
                    )
    return findings


def _set_values(item: CheckResult) -> dict[FieldPath, Any]:
    """The settings as written, by path; classes by their position."""
    assert item.bundle.platform is not None
    derived = _flatten(derive(item.app).platform) if item.app is not None else {}
    return {
        path: DERIVED if path in derived and derived[path] == value else value
        for path, value in _flatten(item.bundle.platform.data).items()
    }


def _flatten(platform: dict[str, Any]) -> dict[FieldPath, Any]:
    settings = platform.get("settings", {})
    values: dict[FieldPath, Any] = {}
    for name in ("limits", "rules"):
        table = settings.get(name)
        if isinstance(table, dict):
            values |= {("settings", name, key): value for key, value in table.items()}
    for number, request_class in enumerate(settings.get("classes", [])):
        values |= {
            ("settings", "classes", number, key): value
            for key, value in request_class.items()
            if key != "name"
        }
    for key in ("discovery", "peers-total", "tick-ms", "weight-source"):
        if key in settings:
            values[("settings", key)] = settings[key]
    return values
