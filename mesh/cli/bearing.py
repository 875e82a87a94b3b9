"""Checks a change of the configuration against the current one and the state of the mesh. No I/O."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from mesh.cli.mesh_snapshot import JsonObject, number_field, object_field
from mesh.configuration.commands import PLANT, ROUTE, ConfigurationWrite, ItemWrite, item_label
from mesh.configuration.routes import Route, read_route
from mesh.configuration.validation import check_change
from mesh.replication.items import Item, Key, same_content

MIN_ANSWERS = 5  # with fewer samples an aim is not judged
MAX_FIELDS = 200  # in the differences of one item


@dataclass(frozen=True, slots=True)
class ChangeFinding:
    """A problem with one field of one item."""

    item: str
    field: str
    what: str
    mend: str

    def line(self) -> str:
        return f"{self.item}: {self.field} {self.what}; {self.mend}"


@dataclass(frozen=True, slots=True)
class MeshFacts:
    """The state of the mesh: the number of settled upstreams by service, statistics of recent answers as each
    sidecar reports them, and the sidecars' retry ratios."""

    settled_by_service: Mapping[str, int]
    recent_answers: tuple[JsonObject, ...] = ()
    retry_ratios: tuple[float, ...] = field(default=())


def review_change(
    change: ConfigurationWrite, configuration: Mapping[Key, Item], facts: MeshFacts
) -> list[ChangeFinding]:
    """All objections to sending ``change`` now; what the mesh would refuse is first."""

    def current_item(kind: str, name: str) -> tuple[int, dict[str, Any] | None] | None:
        item = configuration.get((kind, name))
        if item is None:
            return None
        return item.version, dict(item.value) if item.value is not None else None

    found = []
    refused = check_change(change, current_item)
    if refused is not None:
        what, _, mend = refused.reason.partition("; ")
        found.append(ChangeFinding(refused.item, refused.field, what, mend))
    found += _versions(change, configuration)
    routes = [read_route(w.name, w.version, w.value) for w in change.writes if w.kind == ROUTE and w.value]
    found += _shadowed(change, configuration)
    for route in routes:
        found += _services(route, facts)
        found += _aim(route, facts)
        found += _trials(route, facts)
    if refused is not None:  # reported once
        found[1:] = [one for one in found[1:] if (one.item, one.field) != (refused.item, refused.field)]
    return found


def _versions(change: ConfigurationWrite, configuration: Mapping[Key, Item]) -> Iterator[ChangeFinding]:
    for write in change.writes:
        item = configuration.get((write.kind, write.name))
        if item is None or write.version > item.version:
            continue
        name = item_label(write.kind, write.name)
        if write.version < item.version:
            what = f"is r{write.version}, older than the current r{item.version}: it changes nothing"
        elif not same_content(_as_item(write), item):
            what = f"is r{write.version}, which already exists with other content"
        else:
            continue
        yield ChangeFinding(name, "epoch", what, f"give r{item.version + 1} or higher")


def _as_item(write: ItemWrite) -> Item:
    return Item(write.kind, write.name, write.version, write.value)


def apply_change(change: ConfigurationWrite, configuration: Mapping[Key, Item]) -> dict[Key, Item]:
    """The configuration after the change."""
    found = dict(configuration)
    for write in change.writes:
        current = found.get((write.kind, write.name))
        if current is None or write.version > current.version:
            found[write.kind, write.name] = _as_item(write)
    return found


def _shadowed(change: ConfigurationWrite, configuration: Mapping[Key, Item]) -> Iterator[ChangeFinding]:
    """Routes that no request can reach, where the change is involved."""
    named = {write.name for write in change.writes if write.kind == ROUTE}
    same_match: dict[tuple[str, str], list[Route]] = {}
    for item in apply_change(change, configuration).values():
        if item.kind == ROUTE and item.value is not None:
            route = read_route(item.name, item.version, dict(item.value))
            same_match.setdefault((route.host, route.prefix), []).append(route)
    for (host, prefix), routes in sorted(same_match.items()):
        *outranked, winner = sorted(routes, key=lambda route: (route.version, route.name))
        for route in outranked:
            if route.name in named or winner.name in named:
                what = (
                    f"{prefix} at {host} is never matched: {winner.name} r{winner.version} takes precedence"
                )
                yield ChangeFinding(
                    item_label(ROUTE, route.name), "predicate.prefix", what, "drop one of the two"
                )


def _services(route: Route, facts: MeshFacts) -> Iterator[ChangeFinding]:
    for service, share in route.split:
        if not facts.settled_by_service.get(service):
            split = f"gives {share:.0%} to" if len(route.split) > 1 else "goes to"
            where = "response.distribution" if len(route.split) > 1 else "response.plant"
            what = f"{split} {service}, which has no upstream that accepts calls"
            yield ChangeFinding(
                item_label(ROUTE, route.name), where, what, "start an upstream first, or name another service"
            )


def _aim(route: Route, facts: MeshFacts) -> Iterator[ChangeFinding]:
    """Compares the route's target response time with recent answers of the route or, if these are few, of its
    services."""
    count, least = _least_ms(facts, "by_route", {route.name})
    source = "this route's"
    if count < MIN_ANSWERS:
        count, least = _least_ms(facts, "by_service", {service for service, _ in route.split})
        source = "its services'"
    if count >= MIN_ANSWERS and least > route.aim_ms:
        what = (
            f"is {route.aim_ms:g}: none of {source} last {count} answers met it; the best took {least:g} ms"
        )
        mend = "set a higher setpoint_ms, or add more or faster upstreams"
        yield ChangeFinding(item_label(ROUTE, route.name), "setpoint_ms", what, mend)


def _least_ms(facts: MeshFacts, part_of: str, names: set[str]) -> tuple[int, float]:
    figures = [
        object_field(object_field(answers, part_of), name)
        for answers in facts.recent_answers
        for name in sorted(names)
    ]
    times = [number_field(one, "least_ms") for one in figures if number_field(one, "count") > 0]
    return int(sum(number_field(one, "count") for one in figures)), min(times, default=0.0)


def _trials(route: Route, facts: MeshFacts) -> Iterator[ChangeFinding]:
    if route.trials > 1 and facts.retry_ratios and min(facts.retry_ratios) <= 0.0:
        what = f"is {route.trials}, but a sidecar allows no retries (retry_ratio 0)"
        yield ChangeFinding(
            item_label(ROUTE, route.name), "response.trials", what, "set 1, or a retry_ratio above 0"
        )


# Comparison with the current configuration


@dataclass(frozen=True, slots=True)
class Difference:
    """The effect of sending one item. ``sign``: + new, ~ changed, - dropped, = unchanged, < older than the
    current version; ``fields``: one line for each that differs."""

    sign: str
    item: str
    version: int
    stands: int | None
    fields: tuple[str, ...]


def differences(change: ConfigurationWrite, configuration: Mapping[Key, Item]) -> list[Difference]:
    """The difference of each item of the change, sorted by kind and name."""
    found = []
    for write in sorted(change.writes, key=lambda write: (write.kind, write.name)):
        name, item = item_label(write.kind, write.name), configuration.get((write.kind, write.name))
        fields: tuple[str, ...] = ()
        current_version = item.version if item is not None else None
        if item is not None and write.version < item.version:
            sign = "<"
        elif item is not None and write.version == item.version:
            same = same_content(_as_item(write), item)
            sign, fields = ("=", ()) if same else ("<", ("the same version exists with other content",))
        elif write.value is None:
            sign = "=" if item is None or item.value is None else "-"
        elif item is None or item.value is None:
            sign = "+"
        else:
            sign, fields = "~", tuple(_fields(dict(item.value), write.value))[:MAX_FIELDS]
        found.append(Difference(sign, name, write.version, current_version, fields))
    return found


def _fields(old: Any, new: Any, path: str = "") -> Iterator[str]:
    if isinstance(old, dict) and isinstance(new, dict):
        for name in sorted({*old, *new}):
            if path or name != "epoch":
                yield from _fields(old.get(name), new.get(name), f"{path}.{name}" if path else name)
    elif isinstance(old, list) and isinstance(new, list) and len(old) == len(new):
        for at, (one, other) in enumerate(zip(old, new, strict=True)):
            yield from _fields(one, other, f"{path}[{at}]")
    elif old != new or type(old) is not type(new):
        yield f"{path}: {_shorten(old)} -> {_shorten(new)}"


def _shorten(value: Any) -> str:
    text = "-" if value is None else str(value)
    return text if len(text) <= 40 else text[:37] + "..."


def count_settled(instances: Mapping[str, JsonObject]) -> dict[str, int]:
    """The number of settled upstreams by service."""
    found: dict[str, int] = {}
    for value in instances.values():
        if value.get("state") == "settled":
            found[str(value.get("plant"))] = found.get(str(value.get("plant")), 0) + 1
    return found


def is_configuration(key: Key) -> bool:
    """Whether an item belongs to the operator; the store also has items of the control plane."""
    return key[0] in (ROUTE, PLANT, "input_limits")
