"""What a sidecar shows of itself to operators: plain dicts out of its state, which stays as it is. No I/O."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from statistics import median
from typing import TYPE_CHECKING, Any

from hareloom.records import Server
from waterworks.headworks.questions import Handler, Refusal, Told, common, items
from waterworks.lock.chamber import Order
from waterworks.manifold.decode import ROUTE
from waterworks.manifold.routes import Route
from waterworks.sluice.calls import Failed, Refused
from waterworks.sluice.membership import SLUICE
from waterworks.sluice.tables import Table
from waterworks.sluice.traces import First, Second

if TYPE_CHECKING:
    from waterworks.sluice.program import Sluice

MOST_SHOWN = 2000  # upstreams, services or routes of one answer


def answers_of(sluice: Sluice, clock: Callable[[], float]) -> dict[str, Handler]:
    """The questions that a sidecar answers. ``clock`` gives seconds since 1970."""
    stores = {"charter": sluice.charter, "roll": sluice.roll}
    return {
        "status": lambda head: status(sluice, clock()),
        "items": lambda head: items(stores, head),
        "route": lambda head: route(sluice, str(head["host"]), str(head["path"])),
        "upstreams": lambda head: upstreams(sluice, str(head["service"])),
        "trace": lambda head: trace(sluice, str(head["attempt"])),
        "answers": lambda head: answers(sluice),
        "rollout": lambda head: rollout(sluice, str(head["name"])),
        "order": lambda head: order(sluice, str(head["name"]), str(head["order"]), head.get("next") is True),
    }


def status(sluice: Sluice, clock: float) -> Told:
    """How it stands. Times in milliseconds; ``whole_ms``: since one that holds all that was acknowledged was
    last heard, null where none has been; ``control``: as `Reach.told`."""
    settings, now = sluice.settings, sluice.loop.time()
    tables = list(sluice.tables.by_service.items())[:MOST_SHOWN]
    sluice.channels.fresh(0.0)  # brings whole_at up to now
    whole_at = sluice.channels.whole_at
    return {
        **common(settings, sluice.charter, sluice.roll, clock),
        "role": SLUICE,
        "ready": sluice.configured() and not sluice.ending,
        "ending": sluice.ending,
        "whole_ms": round((now - whole_at) * 1000.0) if whole_at > 0.0 else None,
        "control": sluice.reach.told(now),
        "routes": len(sluice.routes),
        "in_hand": sluice.intake.in_hand,
        "retry_ratio": settings.bounds.retry_ratio,
        "beat_ms": settings.beat_period_ms,
        "upstream": _upstream(sluice),
        "services": {
            service: {"open": len(table.asks), "further": table.budget.spent, "denied": table.budget.denied}
            for service, table in tables
        },
    }


def _upstream(sluice: Sluice) -> Told | None:
    """The upstream beside it; None before its first beat."""
    upstream, beat = sluice.upstream, sluice.upstream.beat
    if beat is None:
        return None
    return {
        "instance": beat.instance,
        "service": beat.plant,
        "state": beat.state,
        "capacity": beat.capacity,
        "gone": upstream.gone,
        "silent_ms": round(sluice.tables.now() - upstream.heard),
        "running": len(sluice.tailrace.running),
        "waiting": len(sluice.tailrace.line),
    }


# Upstreams, as this sidecar picks among them


def upstreams(sluice: Sluice, service: str) -> Told | Refusal:
    """All of one service that it knows, and how each stands in its own picks."""
    table = sluice.tables.by_service.get(service)
    known = dict(sluice.membership.of(service)[:MOST_SHOWN])
    if table is None and not known:
        return Refusal(f"service {service[:80]!r}: no upstream of it is known, and none was asked for here")
    return {"service": service, "used": table is not None, "upstreams": _standings(sluice, table, known)}


def _standings(sluice: Sluice, table: Table | None, known: dict[str, Any]) -> list[Told]:
    servers = table.balancer.servers if table is not None else {}
    told = []
    for instance in sorted({*known, *list(servers)[:MOST_SHOWN]}):
        value, server = known.get(instance) or {}, servers.get(instance)
        one: Told = {
            "instance": instance,
            "node": value.get("node", ""),
            "zone": value.get("zone", ""),
            "state": value.get("state", "gone"),
        }
        if table is not None and server is not None:
            one |= _standing(sluice, table, server)
            if value and not sluice.passage.reaches(str(value.get("node"))):
                one["why"] = "its node cannot be reached from here"
        else:
            one["why"] = "nothing was sent to this service from here yet"
        told.append(one)
    return told


def _standing(sluice: Sluice, table: Table, server: Server) -> Told:
    return {
        "w": None if server.w is None else round(server.w, 3),
        "deficit": round(server.deficit, 3),
        "active": server.active,
        "held": server.held,
        "samples": server.samples,
        "why": why(sluice.tables.now(), server, server in table.balancer.working.set),
    }


def why(now: float, server: Server, in_set: bool) -> str:
    """Why it is sent to, or not. ``in_set``: it is in the working set, as that was last drawn."""
    if not server.listed:
        return f"takes nothing new: {server.entry.state.value}"
    if not in_set:
        return "outside the working set: others are enough for this sidecar's traffic"
    if now < server.full_until:
        return f"was full: nothing for {server.full_until - now:.0f} ms more"
    if server.cold_since is not None:
        return "warms up: it gets its turn by its warmth"
    if server.active:
        return "in turn: the lowest deficit is next"
    if server.trial:
        return "a trial is out"
    if not server.samples:
        return "not tried yet: its first trial is due"
    cause = f"{server.breaks} connections failed in a row" if server.breaks else "far slower than the best"
    wait = server.due - now
    return f"{cause}: next trial " + (f"in {wait:.0f} ms" if 0.0 < wait < math.inf else "is due")


def route(sluice: Sluice, host: str, path: str) -> Told:
    """Where a request would go. ``route`` is null where it would be answered 404."""
    found = sluice.routes.find(host, path.partition("?")[0])
    if found is None:
        return {"route": None, "configured": sluice.configured(), "services": []}
    services = []
    for service, share in found.split[:MOST_SHOWN]:
        told = upstreams(sluice, service)
        known = [] if isinstance(told, Refusal) else told["upstreams"]
        services.append({"service": service, "share": round(share, 6), "upstreams": known})
    return {"route": _route(found), "configured": sluice.configured(), "services": services}


def _route(route: Route) -> Told:
    return {
        "name": route.name,
        "version": route.version,
        "host": route.host,
        "prefix": route.prefix,
        "kind": "effectful" if route.effectful else "idempotent",
        "horizon_ms": route.horizon_ms,
        "aim_ms": route.aim_ms,
        "trials": route.trials,
        "priority": route.priority,
    }


# Calls of late


def trace(sluice: Sluice, attempt: str) -> Told:
    """What is kept of calls with that id, on either hop; ``ago_ms`` tells when each began, from now."""
    now = sluice.tables.now()
    first, second = sluice.tables.traces, sluice.tailrace.traces
    told = [_first(now, one) for ring in (first.plain, first.odd) for one in ring if one[0] == attempt]
    told += [_second(now, one) for ring in (second.plain, second.odd) for one in ring if one[0] == attempt]
    return {"node": sluice.settings.node, "entries": told}


def _first(now: float, entry: First) -> Told:
    attempt, taken, over, name, version, aim, service, tried, count, told = entry
    if isinstance(told, int):
        end = f"{told}, the upstream's own answer"
    elif told is None:
        end = "its client left"
    elif isinstance(told, Refused):
        end = "refused: it has not run and never will"
    else:
        assert isinstance(told, Failed)
        end = "failed: it may have run" + ("; its time was over" if told.late else "")
    return {
        "hop": 1,
        "attempt": attempt,
        "ago_ms": round(now - taken, 1),
        "took_ms": round(over - taken, 1),
        "route": name,
        "version": version,
        "aim_ms": aim,
        "service": service,
        "tries": [{"instance": who, "end": how, "took_ms": round(took, 1)} for who, how, took in tried],
        "further": count - len(tried),
        "end": end,
    }


def _second(now: float, entry: Second) -> Told:
    attempt, came, began, over, instance, caller, end = entry
    return {
        "hop": 2,
        "attempt": attempt,
        "ago_ms": round(now - came, 1),
        "waited_ms": round((began or over) - came, 1),
        "ran_ms": round(over - began, 1) if began else None,
        "instance": instance,
        "caller": caller,
        "end": end,
    }


# Stages


def rollout(sluice: Sluice, name: str) -> Told:
    """How the versions of a route of late went here, the oldest first; ``after_ms``: from the news until it
    was in force or overtaken, null while it is held back; ``word``: what its first calls came to, if this
    sidecar is of its first part."""
    now, stages = sluice.loop.time(), sluice.stages
    standing, watched = sluice.routes.named(name), stages.watch.watched.get(name)
    told = []
    for one in stages.chamber.passes:
        if one.key != (ROUTE, name):
            continue
        entry: Told = {
            "version": one.version,
            "kind": one.kind.value,
            "first": one.first,
            "state": one.state.value,
            "ago_ms": round((now - one.known) * 1000.0),
            "after_ms": round((one.taken - one.known) * 1000.0, 1) if one.taken else None,
            "latest_ms": round((one.latest - one.known) * 1000.0),
            "why": one.why,
        }
        if watched is not None and watched.version == one.version:
            entry["word"] = [watched.new.n, watched.new.bad, watched.old.n, watched.old.bad]
        told.append(entry)
    return {
        "node": sluice.settings.node,
        "in_force": standing.version if standing is not None else None,
        "behind": stages.contact.behind(now),
        "dry": stages.dry.get(name, ""),
        "passes": told,
    }


def order(sluice: Sluice, name: str, word: str, at_next: bool) -> Told:
    """An operator's hold or go. ``obeyed``: that version was held back here; null where nothing was."""
    one = sluice.stages.order(name, Order(word), at_next)
    standing = sluice.routes.named(name)
    return {
        "node": sluice.settings.node,
        "obeyed": one.version if one is not None else None,
        "in_force": standing.version if standing is not None else None,
    }


def answers(sluice: Sluice) -> Told:
    """How long upstreams' own answers below 500 took of late, in milliseconds from the request's arrival, by
    route and by service: how many are kept, the least and the median."""
    rings = sluice.tables.traces
    kept = [e for ring in (rings.plain, rings.odd) for e in ring if isinstance(e[9], int) and e[9] < 500]
    return {
        "by_route": _times((e[3], e[2] - e[1]) for e in kept),
        "by_service": _times((e[6], e[2] - e[1]) for e in kept),
    }


def _times(pairs: Iterable[tuple[str, float]]) -> Told:
    found: dict[str, list[float]] = {}
    for name, took in pairs:
        found.setdefault(name, []).append(took)
    return {
        name: {"count": len(times), "least_ms": round(min(times), 1), "median_ms": round(median(times), 1)}
        for name, times in found.items()
    }
