"""Reload of the configuration in a running sidecar: validation, and when each change takes effect. No I/O."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from anisestair.configure.effective import Config, ConfigError, build_config
from hareloom import interface as api

KeyPaths = frozenset[tuple[str, ...]]

PREVIOUS_SUFFIX = "\0"  # marks the name of a class's previous version; names in a file may not contain it
# Fields that change only with a restart, and their names in the file.
RESTART_ONLY_FIELDS = {
    "name": "name",
    "listen": "listen",
    "mgmt": "mgmt",
    "sockets": "limits.sockets",
    "memory_mb": "limits.memory_mb",
}
POSITIVE_FIELDS = ("give-up-ms", "promise-ms")


def key_paths(data: Any) -> KeyPaths:
    """The paths of all keys in a file. For classes only keys that all of them have. The server list is
    skipped, since its entries come and go."""
    found: set[tuple[str, ...]] = set()

    def walk(value: Any, path: tuple[str, ...]) -> None:
        for key, item in value.items():
            found.add((*path, key))
            if isinstance(item, dict) and key != "known":
                walk(item, (*path, key))

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


def check_reload(data: Any, previous: KeyPaths, environ: Mapping[str, str], offset_ms: float) -> Config:
    """The configuration in ``data``, which replaces a file with these key paths. Raises ConfigError, which
    names the field and the remedy."""
    if not isinstance(data, dict):
        raise ConfigError("not a JSON object; write the complete file again")
    missing = sorted(previous - key_paths(data))
    if missing:
        path = ".".join(missing[0])
        raise ConfigError(f"{path}: missing, but the previous file has it; add it, or restart without it")
    for item in _classes(data):
        for key in POSITIVE_FIELDS:
            _require_positive(item.get(key), f"settings.classes[{item.get('name')}].{key}", False)
    limits = data["settings"].get("limits") if isinstance(data.get("settings"), dict) else None
    if isinstance(limits, dict) and "max-attempts" in limits:
        _require_positive(limits["max-attempts"], "settings.limits.max-attempts", True)
    config = build_config(data, environ, offset_ms)
    for request_class in config.settings.classes:
        if PREVIOUS_SUFFIX in str(request_class.name):
            raise ConfigError(
                f"settings.classes[{request_class.name!r}].name: contains a NUL character; write another name"
            )
    return config


def _require_positive(value: Any, field: str, integer: bool) -> None:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0 < value < math.inf or integer and value != int(value):
        kind = "whole number" if integer else "number"
        raise ConfigError(f"{field}: {value!r} is not a {kind} above 0; write one")


def previous_classes(old: api.Settings, new: api.Settings) -> dict[str, api.RequestClass]:
    """Previous versions of classes that were changed or removed, by the name that clients use."""
    kept = {item.name: item for item in new.classes}
    return {
        item.name: replace(item, name=item.name + PREVIOUS_SUFFIX)
        for item in old.classes
        if kept.get(item.name) != item
    }


def transitional_settings(new: api.Settings, previous: Mapping[str, api.RequestClass]) -> api.Settings:
    """The new settings with the previous classes, for the time in which some clients still use those."""
    return replace(new, classes=(*new.classes, *previous.values()))


def restart_only_changes(old: Config, new: Config) -> list[str]:
    """The fields that differ and take effect only after a restart."""
    return [name for field, name in RESTART_ONLY_FIELDS.items() if getattr(old, field) != getattr(new, field)]


def describe_changes(old: api.Settings, new: api.Settings) -> list[str]:
    """One line for each class that is added, removed or changed, and for the number of attempts."""
    old_classes, new_classes = ({item.name: item for item in settings.classes} for settings in (old, new))
    lines = [
        f"class {name} added: {new_classes[name].effect.value}"
        for name in new_classes.keys() - old_classes.keys()
    ]
    lines += [
        f"class {name} removed: open requests keep it" for name in old_classes.keys() - new_classes.keys()
    ]
    for name in old_classes.keys() & new_classes.keys():
        if old_classes[name].effect is not new_classes[name].effect:
            lines.append(
                f"class {name}: {old_classes[name].effect.value} to {new_classes[name].effect.value},"
                " for new requests"
            )
        elif old_classes[name] != new_classes[name]:
            lines.append(f"class {name} changed, for new requests")
    if old.limits.max_attempts != new.limits.max_attempts:
        lines.append(f"attempts: {old.limits.max_attempts} to {new.limits.max_attempts}, for new requests")
    return sorted(lines)
