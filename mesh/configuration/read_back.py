"""The answer to ``GET /configuration``."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

from mesh.configuration.commands import INPUT_LIMITS, PLANT, ROUTE


def render(items: Iterable[tuple[str, str, int, dict[str, Any]]]) -> bytes:
    """Renders items, each a kind, name, version and stored value and none of them dropped, as JSON in the
    form of the ``apply`` of a call. The result does not depend on the order of the items; without
    ``input_limits`` among them that part is left out."""
    rendered: dict[str, Any] = {}
    ports: dict[str, list[dict[str, Any]]] = {}
    plants: list[dict[str, Any]] = []
    for kind, _, version, value in sorted(items, key=lambda item: item[:2]):
        sent = {**value, "epoch": f"r{version}"}
        if kind == INPUT_LIMITS:
            rendered["input_limits"] = sent
        elif kind == PLANT:
            plants.append(sent)
        elif kind == ROUTE:
            ports.setdefault(sent.pop("host"), []).append(sent)
    rendered["input_ports"] = [{"host": host, "control_law": ports[host]} for host in sorted(ports)]
    rendered["plant_groups"] = plants
    return msgspec.json.encode(rendered)
