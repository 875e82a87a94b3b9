"""What a control process shows of itself to operators: plain dicts out of its state, which stays as it is. No
I/O."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from msgspec import Struct

from mesh.control_plane.contact_probes import ContactProbes
from mesh.control_plane.key_assignment import KeyAssignment
from mesh.control_plane.leases import ReapingDuty
from mesh.control_plane.member_changes import MemberChanges
from mesh.control_plane.member_set import MemberSet
from mesh.control_plane.proposals import ProposerHost
from mesh.control_plane.rollouts import MAX_NAMES, Rollouts
from mesh.control_plane.write_batches import DiskWriter
from mesh.data_plane.membership import CONTROLLER, Membership
from mesh.replication.membership_epochs import VIEW
from mesh.replication.store import Store
from mesh.runtime.introspection_calls import Handler, Refusal, Told, common, items
from mesh.runtime.settings import Settings

MAX_SHOWN = 20  # changes, or sidecars of a first part, of one answer


class IntrospectionSources(Struct):
    """The parts of a control process that are shown. ``steady``: the clock of its loop, in seconds."""

    settings: Settings
    charter: Store
    roll: Store
    disk_writer: DiskWriter
    member_set: MemberSet
    membership: Membership
    rollouts: Rollouts
    reaping: ReapingDuty
    member_changes: MemberChanges
    contact_probes: ContactProbes
    proposer_host: ProposerHost
    key_assignment: KeyAssignment
    control: str
    stopping: asyncio.Event
    steady: Callable[[], float]


def question_handlers(shown: IntrospectionSources, clock: Callable[[], float]) -> dict[str, Handler]:
    """The questions that a control process answers. ``clock`` gives seconds since 1970."""
    stores = {"charter": shown.charter, "roll": shown.roll}
    return {
        "status": lambda head: status(shown, clock()),
        "items": lambda head: items(stores, head),
        "members": lambda head: shown.member_changes.show(),
        "members remove": shown.member_changes.remove,
        "ownership": lambda head: shown.key_assignment.status(),
        "rollouts": lambda head: rollouts(shown),
        "rollout": lambda head: rollout(shown, str(head["kind"]), str(head["name"])),
    }


def votes(shown: IntrospectionSources) -> Told:
    """``open``: votes that are not decided, as known here; ``rivalled``: numbers for which this process
    refused an order of late since another one has them, the newest first."""
    now, proposer_host = shown.steady(), shown.proposer_host
    rivalled = [
        {"ago_ms": round((now - at) * 1000.0), "kind": kind, "name": name, "version": version}
        for at, (kind, name, version) in reversed(proposer_host.rivalled)
    ]
    return {"open": len(proposer_host.acceptor_host.acceptor.votes), "rivalled": rivalled}


def rollouts(shown: IntrospectionSources) -> Told:
    """The changes of late, the newest first: how many items, how many sidecars have not confirmed all of
    them, the first of these, and what the first part said; and the votes."""
    now, known = shown.steady(), shown.rollouts
    told = []
    for one in list(known.rollouts)[: -MAX_SHOWN - 1 : -1]:
        names = sorted(f"{name} r{version}" for (_, name), version in one.versions.items())
        told.append(
            {
                "ago_ms": round((now - one.known) * 1000.0),
                "items": len(names),
                "named": names[:MAX_NAMES],
                "missing": len(one.missing),
                "lack": sorted(one.missing)[:MAX_NAMES],
                "took_ms": round((one.done - one.known) * 1000.0) if one.done is not None else None,
                "worse": sorted(name for _, name in one.worse)[:MAX_NAMES],
                "sound": len(one.sound),
            }
        )
    return {"sidecars": len(shown.membership.draw().nodes), "rollouts": told, "votes": votes(shown)}


def rollout(shown: IntrospectionSources, kind: str, name: str) -> Told | Refusal:
    """One item as it stands: who goes by it, and who has not said so. ``word``: calls and failures by the new
    way of the first part, and by its old one."""
    item = shown.charter.items.get((kind, name))
    if item is None or kind == VIEW:
        return Refusal(f"{kind} {name[:80]!r}: no such item; config get shows all")
    lack, now = shown.rollouts.unconfirmed(item.key), shown.steady()
    heard = shown.rollouts.reported_at
    draw = shown.membership.draw()
    new, old = shown.rollouts.canary_tallies(item.key)
    return {
        "version": item.version,
        "dropped": item.value is None,
        "sidecars": len(draw.nodes),
        "missing": len(lack),
        "lack": [
            [node, round((now - heard[node]) * 1000.0) if node in heard else None]
            for node in lack[:MAX_NAMES]
        ],
        "first": sorted(draw.canaries(kind, name, item.version))[:MAX_SHOWN],
        "word": [new.calls, new.failures, old.calls, old.failures],
    }


def status(shown: IntrospectionSources, clock: float) -> Told:
    """How it stands. ``members``: whose disks count, by address, with zone and region; ``refused``: the
    disk's last word where that was no, else ""; ``contact``: what is proven of it, for how long it has been
    so, and who has answered lately; ``control``: where it takes the operator's calls; ``duties``:
    who has which, under which epoch, as known here, and whether this process acts on it; ``borne``: how many
    more losses of each kind orders would go on after, -1 where they do not now."""
    settings, disk_writer = shown.settings, shown.disk_writer
    tolerance, view = settings.tolerance, shown.member_set.view()
    return {
        **common(settings, shown.charter, shown.roll, clock),
        "role": CONTROLLER,
        "ending": shown.stopping.is_set(),
        "control": shown.control,
        "counted": settings.counted,
        "whole": disk_writer.whole,
        "refused": disk_writer.last_refusal,
        "in_touch": shown.contact_probes.has_contact(),
        "contact": shown.contact_probes.status(),
        "votes": votes(shown),
        "duties": {**shown.reaping.status(), **shown.member_changes.status()},
        "epoch": view.epoch,
        "joint": view.joint,
        "borne": shown.member_changes.losses(),
        "tolerates": {"machines": tolerance.machines, "zones": tolerance.zones, "regions": tolerance.regions},
        "members": {
            address: [place.zone, place.region]
            for address, place in sorted(shown.member_set.members().items())
        },
    }
