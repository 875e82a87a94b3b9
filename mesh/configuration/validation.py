"""A change judged against the items that stand: whether its routes lead anywhere."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

from mesh.configuration.commands import PLANT, ROUTE, ConfigurationWrite, Invalid, item_label, printable


def check_change(
    change: ConfigurationWrite, standing: Callable[[str, str], tuple[int, dict[str, Any] | None] | None]
) -> Invalid | None:
    """The first route of ``change`` that would come into force naming an unknown service, or None.

    ``standing(kind, name)`` gives the version and value of what stands, with None as the value of a dropped
    item, and None for a name never heard of.

    A service is known if the call sets it, whatever its version: a call that is whole in itself is taken
    wherever and whenever it arrives. Otherwise it is known if it stands once the call's drops are merged.
    A route whose version is no higher than the standing one changes nothing, and is not judged.
    """
    services = {write.name: write for write in change.writes if write.kind == PLANT}
    judged: dict[str, bool] = {}

    def known(service: str) -> bool:
        write = services.get(service)
        if write is not None and write.value is not None:
            return True
        stands = standing(PLANT, service)
        if stands is None or stands[1] is None:
            return False
        return write is None or write.version <= stands[0]

    for write in change.writes:
        if write.kind != ROUTE or write.value is None:
            continue
        stands = standing(ROUTE, write.name)
        if stands is not None and write.version <= stands[0]:
            continue
        for field, service in _services(write.value["response"]):
            if service not in judged:
                judged[service] = known(service)
            if not judged[service]:
                reason = f"names the unknown service {printable(service)}; set it in plant_groups"
                return Invalid(item_label(ROUTE, write.name), field, reason)
    return None


def _services(response: dict[str, Any]) -> Iterator[tuple[str, str]]:
    """Each service that a route names, those with a gain of 0 too, and the field that names it."""
    split = response.get("distribution")
    if split is None:
        yield "response.plant", response["plant"]
        return
    for index, part in enumerate(split):
        yield f"response.distribution[{index}].plant", part["plant"]
