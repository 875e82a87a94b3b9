"""What a sidecar shows to operators: plain dictionaries made from its state, which is not changed. No I/O."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any

from hareloom import Balancer
from hareloom.records import Server
from mesh.configuration.commands import ROUTE
from mesh.configuration.routes import Route
from mesh.data_plane.call_state import Failed, Refused
from mesh.data_plane.membership import PROXY
from mesh.data_plane.service_balancers import ServiceBalancer
from mesh.data_plane.traces import FirstHopEntry, SecondHopEntry
from mesh.rollout.staged_activation import RolloutCommand
from mesh.runtime.introspection_calls import Handler, JsonObject, Refusal, common_status, item_page

if TYPE_CHECKING:
    from mesh.data_plane.program import Proxy

MAX_SHOWN = 2000  # upstreams, services or routes in one answer


def operator_handlers(proxy: Proxy, clock: Callable[[], float]) -> dict[str, Handler]:
    """The handlers of operators' questions. ``clock`` returns seconds since 1970."""
    stores = {"charter": proxy.config_store, "roll": proxy.membership_store}
    return {
        "status": lambda head: status(proxy, clock()),
        "items": lambda head: item_page(stores, head),
        "route": lambda head: route(proxy, str(head["host"]), str(head["path"])),
        "upstreams": lambda head: upstreams(proxy, str(head["service"])),
        "trace": lambda head: trace(proxy, str(head["attempt"])),
        "answers": lambda head: answers(proxy),
        "rollout": lambda head: rollout(proxy, str(head["name"])),
        "order": lambda head: order(proxy, str(head["name"]), str(head["order"]), head.get("next") is True),
    }


def status(proxy: Proxy, clock: float) -> JsonObject:
    """The state of the sidecar. Times in milliseconds. ``whole_ms``: since a process with all acknowledged
    items last sent a frame, null if never. ``control``: see `ControlContact.status`."""
    settings, now = proxy.settings, proxy.loop.time()
    balancers = list(proxy.balancers.by_service.items())[:MAX_SHOWN]
    proxy.channels.complete_within(0.0)  # updates last_complete_at
    whole_at = proxy.channels.last_complete_at
    return {
        **common_status(settings, proxy.config_store, proxy.membership_store, clock),
        "role": PROXY,
        "ready": proxy.configured() and not proxy.ending,
        "ending": proxy.ending,
        "whole_ms": round((now - whole_at) * 1000.0) if whole_at > 0.0 else None,
        "control": proxy.control_contact.status(now),
        "routes": len(proxy.routes),
        "in_hand": proxy.request_dispatcher.open_requests,
        "memory": proxy.request_dispatcher.buffers.usage(),
        "retry_ratio": settings.bounds.retry_ratio,
        "beat_ms": settings.beat_period_ms,
        "upstream": _upstream(proxy),
        "services": {
            service: {
                "open": len(balancer.requests),
                "further": balancer.budget.spent,
                "denied": balancer.budget.denied,
            }
            for service, balancer in balancers
        },
    }


def _upstream(proxy: Proxy) -> JsonObject | None:
    """The upstream beside it; None before its first heartbeat."""
    upstream, heartbeat = proxy.upstream, proxy.upstream.heartbeat
    if heartbeat is None:
        return None
    return {
        "instance": heartbeat.instance,
        "service": heartbeat.plant,
        "state": heartbeat.state,
        "capacity": heartbeat.capacity,
        "gone": upstream.gone,
        "silent_ms": round(proxy.balancers.now() - upstream.heartbeat_at),
        "running": len(proxy.upstream_dispatch.running),
        "waiting": len(proxy.upstream_dispatch.queue),
    }


# Upstreams, as this sidecar picks among them


def upstreams(proxy: Proxy, service: str) -> JsonObject | Refusal:
    """All known upstreams of a service, and how the balancer here rates each."""
    balancer = proxy.balancers.by_service.get(service)
    known = dict(proxy.membership.instances_of(service)[:MAX_SHOWN])
    if balancer is None and not known:
        return Refusal(f"service {service[:80]!r}: no upstream of it is known, and none was asked for here")
    return {
        "service": service,
        "used": balancer is not None,
        "upstreams": _upstream_rows(proxy, balancer, known),
    }


def _upstream_rows(
    proxy: Proxy, service_balancer: ServiceBalancer | None, known: dict[str, Any]
) -> list[JsonObject]:
    balancer = service_balancer.balancer if service_balancer is not None else None
    servers = balancer.servers if isinstance(balancer, Balancer) else {}
    entries = []
    for instance in sorted({*known, *list(servers)[:MAX_SHOWN]}):
        value, server = known.get(instance) or {}, servers.get(instance)
        entry: JsonObject = {
            "instance": instance,
            "node": value.get("node", ""),
            "zone": value.get("zone", ""),
            "state": value.get("state", "gone"),
        }
        if service_balancer is not None and server is not None:
            assert isinstance(balancer, Balancer)
            entry |= _upstream_row(proxy, balancer, server)
            if value and not proxy.peer_links.reaches(str(value.get("node"))):
                entry["why"] = "its node cannot be reached from here"
        else:
            entry["why"] = "nothing was sent to this service from here yet"
        entries.append(entry)
    return entries


def _upstream_row(proxy: Proxy, balancer: Balancer, server: Server) -> JsonObject:
    return {
        "w": None if server.w is None else round(server.w, 3),
        "deficit": round(server.deficit, 3),
        "active": server.active,
        "held": server.inflight,
        "samples": server.samples,
        "why": why(proxy.balancers.now(), server, server in balancer.working.set),
    }


def why(now: float, server: Server, in_set: bool) -> str:
    """Why a server is picked or not. ``in_set``: it is in the working set, as last drawn."""
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
    wait = server.trial_at - now
    return f"{cause}: next trial " + (f"in {wait:.0f} ms" if 0.0 < wait < math.inf else "is due")


def route(proxy: Proxy, host: str, path: str) -> JsonObject:
    """Where a request would go. ``route`` is null if the response would be 404."""
    found = proxy.routes.find(host, path.partition("?")[0])
    if found is None:
        return {"route": None, "configured": proxy.configured(), "services": []}
    services = []
    for service, share in found.split[:MAX_SHOWN]:
        result = upstreams(proxy, service)
        known = [] if isinstance(result, Refusal) else result["upstreams"]
        services.append({"service": service, "share": round(share, 6), "upstreams": known})
    return {"route": _route(found), "configured": proxy.configured(), "services": services}


def _route(route: Route) -> JsonObject:
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


# Latest calls


def trace(proxy: Proxy, attempt: str) -> JsonObject:
    """The entries of calls with that id at either hop. ``ago_ms``: time since each began."""
    now = proxy.balancers.now()
    first, second = proxy.balancers.traces, proxy.upstream_dispatch.traces
    entries = [
        _first(now, entry)
        for ring in (first.ordinary, first.notable)
        for entry in ring
        if entry[0] == attempt
    ]
    entries += [
        _second(now, entry)
        for ring in (second.ordinary, second.notable)
        for entry in ring
        if entry[0] == attempt
    ]
    return {"node": proxy.settings.node, "entries": entries}


def _first(now: float, entry: FirstHopEntry) -> JsonObject:
    attempt, received_ms, ended_ms, name, version, aim, service, tries, count, result = entry
    if isinstance(result, int):
        end = f"{result}, the upstream's own answer"
    elif result is None:
        end = "its client left"
    elif isinstance(result, Refused):
        end = "refused: it has not run and never will"
    else:
        assert isinstance(result, Failed)
        end = "failed: it may have run" + ("; its time was over" if result.late else "")
    return {
        "hop": 1,
        "attempt": attempt,
        "ago_ms": round(now - received_ms, 1),
        "took_ms": round(ended_ms - received_ms, 1),
        "route": name,
        "version": version,
        "aim_ms": aim,
        "service": service,
        "tries": [{"instance": who, "end": how, "took_ms": round(took, 1)} for who, how, took in tries],
        "further": count - len(tries),
        "end": end,
    }


def _second(now: float, entry: SecondHopEntry) -> JsonObject:
    attempt, received_ms, started_ms, ended_ms, instance, caller, end = entry
    return {
        "hop": 2,
        "attempt": attempt,
        "ago_ms": round(now - received_ms, 1),
        "waited_ms": round((started_ms or ended_ms) - received_ms, 1),
        "ran_ms": round(ended_ms - started_ms, 1) if started_ms else None,
        "instance": instance,
        "caller": caller,
        "end": end,
    }


# Rollouts


def rollout(proxy: Proxy, name: str) -> JsonObject:
    """How the latest versions of a route came into force here, the oldest first. ``after_ms``: from receipt
    until in force or superseded, null while held. ``word``: the results of its first calls, if this sidecar
    is a canary."""
    now, stages = proxy.loop.time(), proxy.staged_routes
    current_route, watched = proxy.routes.get(name), stages.monitor.watched.get(name)
    passes = []
    for activation in stages.activation.history:
        if activation.key != (ROUTE, name):
            continue
        entry: JsonObject = {
            "version": activation.version,
            "kind": activation.kind.value,
            "first": activation.canary,
            "state": activation.state.value,
            "ago_ms": round((now - activation.known_at) * 1000.0),
            "after_ms": round((activation.finished_at - activation.known_at) * 1000.0, 1)
            if activation.finished_at
            else None,
            "latest_ms": round((activation.deadline - activation.known_at) * 1000.0),
            "why": activation.reason,
        }
        if watched is not None and watched.version == activation.version:
            entry["word"] = [watched.new.calls, watched.new.failures, watched.old.calls, watched.old.failures]
        passes.append(entry)
    return {
        "node": proxy.settings.node,
        "in_force": current_route.version if current_route is not None else None,
        "behind": stages.contact.is_behind(now),
        "dry": stages.unserved.get(name, ""),
        "passes": passes,
    }


def order(proxy: Proxy, name: str, command: str, at_next: bool) -> JsonObject:
    """Applies an operator's hold or go. ``obeyed``: the version held here, null if there was none."""
    activation = proxy.staged_routes.apply_command(name, RolloutCommand(command), at_next)
    current_route = proxy.routes.get(name)
    return {
        "node": proxy.settings.node,
        "obeyed": activation.version if activation is not None else None,
        "in_force": current_route.version if current_route is not None else None,
    }


def answers(proxy: Proxy) -> JsonObject:
    """How long recent upstream responses below 500 took, in milliseconds from the request's arrival, by route
    and by service: their number, the least and the median."""
    rings = proxy.balancers.traces
    kept = [
        e for ring in (rings.ordinary, rings.notable) for e in ring if isinstance(e[9], int) and e[9] < 500
    ]
    return {
        "by_route": _times((e[3], e[2] - e[1]) for e in kept),
        "by_service": _times((e[6], e[2] - e[1]) for e in kept),
    }


def _times(pairs: Iterable[tuple[str, float]]) -> JsonObject:
    from statistics import median  # 0.3 MB that only a queried process needs

    found: dict[str, list[float]] = {}
    for name, took in pairs:
        found.setdefault(name, []).append(took)
    return {
        name: {"count": len(times), "least_ms": round(min(times), 1), "median_ms": round(median(times), 1)}
        for name, times in found.items()
    }
