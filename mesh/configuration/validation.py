"""Validates a change against the current items: whether the services of its routes exist."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

from mesh.configuration.commands import PLANT, ROUTE, ConfigurationWrite, Invalid, item_label, printable


def check_change(
    change: ConfigurationWrite, current: Callable[[str, str], tuple[int, dict[str, Any] | None] | None]
) -> Invalid | None:
    """The first route of ``change`` that would come into force with an unknown service, or None.

    ``current(kind, name)`` gives the version and value of an item, with None as the value of a dropped item,
    and None for an unknown name.

    A service is known if the call sets it, whatever its version: a call that is complete in itself is
    accepted wherever and whenever it arrives. Otherwise it is known if it exists after the drops of the call.
    A route whose version is not higher than the current one changes nothing and is not checked.
    """
    services = {write.name: write for write in change.writes if write.kind == PLANT}
    checked: dict[str, bool] = {}

    def known(service: str) -> bool:
        write = services.get(service)
        if write is not None and write.value is not None:
            return True
        existing = current(PLANT, service)
        if existing is None or existing[1] is None:
            return False
        return write is None or write.version <= existing[0]

    for write in change.writes:
        if write.kind != ROUTE or write.value is None:
            continue
        existing = current(ROUTE, write.name)
        if existing is not None and write.version <= existing[0]:
            continue
        for field, service in _services(write.value["response"]):
            if service not in checked:
                checked[service] = known(service)
            if not checked[service]:
                reason = f"names the unknown service {printable(service)}; set it in plant_groups"
                return Invalid(item_label(ROUTE, write.name), field, reason)
    return None


def _services(response: dict[str, Any]) -> Iterator[tuple[str, str]]:
    """Yields each service that a route names, also with a gain of 0, and the field that names it."""
    split = response.get("distribution")
    if split is None:
        yield "response.plant", response["plant"]
        return
    for index, part in enumerate(split):
        yield f"response.distribution[{index}].plant", part["plant"]
