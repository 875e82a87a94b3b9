"""Drift: applications of one kind whose configurations differ, and their descriptions do not say why. No
I/O."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Sequence
from typing import Any

from anisestair.configure.derive import derive
from anisestair.configure.findings import Finding, Path, Role, dotted, warning
from anisestair.configure.judge_app import Judged

LEAST = 3  # of one kind, before most of them say what is usual
MOST_SHARE = 0.5  # of a kind that have one value: more than this, or there is no usual one

DERIVED = "as derived"


def drift(judged: Sequence[Judged]) -> dict[str, list[Finding]]:
    """Warnings by bundle name. A value counts as alike where it is the one derived from its own description,
    whatever that is; else by itself."""
    groups: dict[str, list[Judged]] = defaultdict(list)
    for item in judged:
        if item.config is not None:
            classes = ", ".join(sorted(klass.name for klass in item.config.settings.classes))
            groups[item.app.kind if item.app is not None else f"with the classes {classes}"].append(item)
    found: dict[str, list[Finding]] = defaultdict(list)
    for kind, members in sorted(groups.items()):
        if len(members) < LEAST:
            continue
        values = [_values(item) for item in members]
        for path in sorted({path for each in values for path in each}, key=dotted):
            counted = Counter(repr(each.get(path)) for each in values)
            usual, many = counted.most_common(1)[0]
            if many <= MOST_SHARE * len(members):
                continue
            for item, each in zip(members, values, strict=True):
                if repr(each.get(path)) != usual and each.get(path) != DERIVED:
                    is_now = f"is {each[path]!r}" if path in each else "is not set"
                    rest = f"{many} of {len(members)} of kind {kind!r} have it {usual.strip(chr(39))}"
                    says = f"{is_now}; {rest}"
                    would = "one application behaves as none of its kind does"
                    mend = "generate it anew, or say why in its description"
                    found[item.bundle.name].append(warning("drift", Role.PLATFORM, path, says, would, mend))
    return found


def _values(item: Judged) -> dict[Path, Any]:
    """The settings as set, by path; classes by name, so that their order does not count."""
    assert item.bundle.platform is not None
    derived = _flat(derive(item.app).platform) if item.app is not None else {}
    return {
        path: DERIVED if path in derived and derived[path] == value else value
        for path, value in _flat(item.bundle.platform.data).items()
    }


def _flat(platform: dict[str, Any]) -> dict[Path, Any]:
    settings = platform.get("settings", {})
    found: dict[Path, Any] = {}
    for name in ("limits", "rules"):
        table = settings.get(name)
        if isinstance(table, dict):
            found |= {("settings", name, key): value for key, value in table.items()}
    for number, klass in enumerate(settings.get("classes", [])):
        found |= {
            ("settings", "classes", number, key): value for key, value in klass.items() if key != "name"
        }
    for key in ("discovery", "peers-total", "tick-ms", "weight-source"):
        if key in settings:
            found[("settings", key)] = settings[key]
    return found
