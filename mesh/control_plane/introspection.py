"""Answers of a control process to operators' questions: plain dicts built from its state. No I/O."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from msgspec import Struct

from mesh.control_plane.contact_probes import ContactProbes
from mesh.control_plane.key_assignment import KeyAssignment
from mesh.control_plane.leases import NodeReaper
from mesh.control_plane.member_changes import MemberChanges
from mesh.control_plane.member_set import MemberSet
from mesh.control_plane.proposals import ProposerHost
from mesh.control_plane.rollouts import MAX_NAMES, Rollouts
from mesh.control_plane.write_batches import DiskWriter
from mesh.data_plane.membership import CONTROLLER, Membership
from mesh.replication.membership_epochs import VIEW
from mesh.replication.store import Store
from mesh.runtime.introspection_calls import Handler, JsonObject, Refusal, common_status, item_page
from mesh.runtime.settings import Settings

MAX_SHOWN = 20  # rollouts, or canaries, in one answer


class IntrospectionSources(Struct):
    """The parts of a control process that are shown. ``monotonic``: its monotonic clock, in seconds."""

    settings: Settings
    config_store: Store
    membership_store: Store
    disk_writer: DiskWriter
    member_set: MemberSet
    membership: Membership
    rollouts: Rollouts
    node_reaper: NodeReaper
    member_changes: MemberChanges
    contact_probes: ContactProbes
    proposer_host: ProposerHost
    key_assignment: KeyAssignment
    control: str
    stopping: asyncio.Event
    monotonic: Callable[[], float]


def question_handlers(sources: IntrospectionSources, clock: Callable[[], float]) -> dict[str, Handler]:
    """The handlers of the questions to a control process, by name. ``clock`` gives seconds since 1970."""
    stores = {"charter": sources.config_store, "roll": sources.membership_store}
    return {
        "status": lambda head: status(sources, clock()),
        "items": lambda head: item_page(stores, head),
        "members": lambda head: sources.member_changes.show(),
        "members remove": sources.member_changes.remove,
        "ownership": lambda head: sources.key_assignment.status(),
        "rollouts": lambda head: rollouts(sources),
        "rollout": lambda head: rollout(sources, str(head["kind"]), str(head["name"])),
    }


def votes(sources: IntrospectionSources) -> JsonObject:
    """``open``: the number of undecided votes known here; ``rivalled``: slots for which this process
    recently refused an order because another order has them, newest first."""
    now, proposer_host = sources.monotonic(), sources.proposer_host
    conflicts = [
        {"ago_ms": round((now - at) * 1000.0), "kind": kind, "name": name, "version": version}
        for at, (kind, name, version) in reversed(proposer_host.conflicts)
    ]
    return {"open": len(proposer_host.acceptor_host.acceptor.votes), "rivalled": conflicts}


def rollouts(sources: IntrospectionSources) -> JsonObject:
    """The latest rollouts, newest first: the number of items, the number of sidecars that have not confirmed
    all of them, some of their names, and the verdict on the canaries; and the votes."""
    now, known = sources.monotonic(), sources.rollouts
    rows = []
    for rollout in list(known.rollouts)[: -MAX_SHOWN - 1 : -1]:
        names = sorted(f"{name} r{version}" for (_, name), version in rollout.versions.items())
        rows.append(
            {
                "ago_ms": round((now - rollout.known_at) * 1000.0),
                "items": len(names),
                "named": names[:MAX_NAMES],
                "missing": len(rollout.missing),
                "lack": sorted(rollout.missing)[:MAX_NAMES],
                "took_ms": round((rollout.done - rollout.known_at) * 1000.0)
                if rollout.done is not None
                else None,
                "worse": sorted(name for _, name in rollout.worse)[:MAX_NAMES],
                "sound": len(rollout.sound),
            }
        )
    return {
        "sidecars": len(sources.membership.canary_selection().nodes),
        "rollouts": rows,
        "votes": votes(sources),
    }


def rollout(sources: IntrospectionSources, kind: str, name: str) -> JsonObject | Refusal:
    """The rollout of one item: which sidecars have not confirmed it. ``word``: calls and failures of the
    canaries with the new version, and with the old one."""
    item = sources.config_store.items.get((kind, name))
    if item is None or kind == VIEW:
        return Refusal(f"{kind} {name[:80]!r}: no such item; config get shows all")
    lack, now = sources.rollouts.unconfirmed(item.key), sources.monotonic()
    reported_at = sources.rollouts.reported_at
    draw = sources.membership.canary_selection()
    new, old = sources.rollouts.canary_tallies(item.key)
    return {
        "version": item.version,
        "dropped": item.value is None,
        "sidecars": len(draw.nodes),
        "missing": len(lack),
        "lack": [
            [node, round((now - reported_at[node]) * 1000.0) if node in reported_at else None]
            for node in lack[:MAX_NAMES]
        ],
        "first": sorted(draw.canaries(kind, name, item.version))[:MAX_SHOWN],
        "word": [new.calls, new.failures, old.calls, old.failures],
    }


def status(sources: IntrospectionSources, clock: float) -> JsonObject:
    """The state of this process. ``members``: by address, with zone and region; ``refused``: why the disk
    refused the last batch, else ""; ``contact``: the level, for how long it has held, and who has answered
    recently; ``control``: the address for operator calls; ``duties``: holder and epoch of each lease, as
    known here, and whether this process holds it; ``borne``: how many more losses of each kind
    configuration writes survive, -1 if they are not decided now."""
    settings, disk_writer = sources.settings, sources.disk_writer
    tolerance, view = settings.tolerance, sources.member_set.view()
    return {
        **common_status(settings, sources.config_store, sources.membership_store, clock),
        "role": CONTROLLER,
        "ending": sources.stopping.is_set(),
        "control": sources.control,
        "counted": settings.counted,
        "whole": disk_writer.complete,
        "refused": disk_writer.last_refusal,
        "in_touch": sources.contact_probes.has_contact(),
        "contact": sources.contact_probes.status(),
        "votes": votes(sources),
        "duties": {**sources.node_reaper.status(), **sources.member_changes.status()},
        "epoch": view.epoch,
        "joint": view.joint,
        "borne": sources.member_changes.losses(),
        "tolerates": {"machines": tolerance.machines, "zones": tolerance.zones, "regions": tolerance.regions},
        "members": {
            address: [place.zone, place.region]
            for address, place in sorted(sources.member_set.members().items())
        },
    }
