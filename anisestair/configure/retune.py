"""Another file for a sidecar that runs: whether it is taken, and what of it binds when. No I/O."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from anisestair.configure.effective import Config, ConfigError, build_config
from hareloom import interface as api

KeyPaths = frozenset[tuple[str, ...]]

PREVIOUS_SUFFIX = "\0"  # behind the name of a class as it was before: no class of a file has that in its name
# What only a start can change, and what it is called in the file.
RESTART_ONLY_FIELDS = {
    "name": "name",
    "listen": "listen",
    "mgmt": "mgmt",
    "sockets": "limits.sockets",
    "memory_mb": "limits.memory_mb",
}
POSITIVE_FIELDS = ("give-up-ms", "promise-ms")


def key_paths(data: Any) -> KeyPaths:
    """The keys of a file, by place; of classes those that all of them have. What discovery told is not looked
    into: entries come and go."""
    found: set[tuple[str, ...]] = set()

    def walk(value: Any, place: tuple[str, ...]) -> None:
        for key, item in value.items():
            found.add((*place, key))
            if isinstance(item, dict) and key != "known":
                walk(item, (*place, key))

    if isinstance(data, dict):
        walk(data, ())
        classes = _classes(data)
        common = set.intersection(*map(set, classes)) if classes else set()
        found |= {("settings", "classes", key) for key in common}
    return frozenset(found)


def _classes(data: dict[str, Any]) -> list[dict[str, Any]]:
    settings = data.get("settings")
    classes = settings.get("classes") if isinstance(settings, dict) else None
    return [item for item in classes if isinstance(item, dict)] if isinstance(classes, list) else []


def check_reload(data: Any, before: KeyPaths, environ: Mapping[str, str], offset_ms: float) -> Config:
    """The configuration of a file that is to take the place of one with this shape. Raises ConfigError, which
    names the field and what to do."""
    if not isinstance(data, dict):
        raise ConfigError("not a JSON object; write the whole file anew")
    missing = sorted(before - key_paths(data))
    if missing:
        place = ".".join(missing[0])
        raise ConfigError(f"{place}: missing, and the file before had it; write it, or start anew without it")
    for item in _classes(data):
        for key in POSITIVE_FIELDS:
            _positive(item.get(key), f"settings.classes[{item.get('name')}].{key}", False)
    limits = data["settings"].get("limits") if isinstance(data.get("settings"), dict) else None
    if isinstance(limits, dict) and "max-attempts" in limits:
        _positive(limits["max-attempts"], "settings.limits.max-attempts", True)
    found = build_config(data, environ, offset_ms)
    for klass in found.settings.classes:
        if PREVIOUS_SUFFIX in str(klass.name):
            raise ConfigError(f"settings.classes[{klass.name!r}].name: has a NUL in it; write another name")
    return found


def _positive(value: Any, field: str, whole: bool) -> None:
    right = isinstance(value, int | float) and not isinstance(value, bool)
    if not right or not 0 < value < math.inf or whole and value != int(value):
        kind = "whole number" if whole else "number"
        raise ConfigError(f"{field}: {value!r} is no {kind} above 0; write one")


def previous_classes(old: api.Settings, new: api.Settings) -> dict[str, api.RequestClass]:
    """Classes as they were, by the names that clients use, of those that have changed or are there no
    more."""
    kept = {item.name: item for item in new.classes}
    return {
        item.name: replace(item, name=item.name + PREVIOUS_SUFFIX)
        for item in old.classes
        if kept.get(item.name) != item
    }


def transitional_settings(new: api.Settings, before: Mapping[str, api.RequestClass]) -> api.Settings:
    """The settings while some clients still use the old forms."""
    return replace(new, classes=(*new.classes, *before.values()))


def restart_only_changes(old: Config, new: Config) -> list[str]:
    """The fields that differ and bind at a start only."""
    return [name for field, name in RESTART_ONLY_FIELDS.items() if getattr(old, field) != getattr(new, field)]


def describe_changes(old: api.Settings, new: api.Settings) -> list[str]:
    """One line for each class that is added, dropped or changed."""
    was, now = ({item.name: item for item in settings.classes} for settings in (old, new))
    lines = [f"class {name} added: {now[name].effect.value}" for name in now.keys() - was.keys()]
    lines += [f"class {name} dropped: open requests keep it" for name in was.keys() - now.keys()]
    for name in was.keys() & now.keys():
        if was[name].effect is not now[name].effect:
            lines.append(f"class {name}: {was[name].effect.value} to {now[name].effect.value}, new requests")
        elif was[name] != now[name]:
            lines.append(f"class {name} changed, new requests")
    if old.limits.max_attempts != new.limits.max_attempts:
        lines.append(f"attempts: {old.limits.max_attempts} to {new.limits.max_attempts}, new requests")
    return sorted(lines)
