"""Removal of lost nodes in virtual time: machines that are lost for good are removed in time; those that are
only cut off stay members, or return and serve calls, whatever happens to the lease holder. The same checks
must detect seeded faults."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from msgspec.structs import replace

from mesh.control_plane import program as controller_program
from mesh.control_plane.contact_probes import ContactProbes
from mesh.data_plane import program as proxy_program
from mesh.data_plane.call_messages import Call, End, UpstreamResponse
from mesh.data_plane.upstream_registration import Registry
from mesh.event_log import events
from mesh.membership import failure_detection
from mesh.membership.failure_detection import RECONNECT_S, SilenceTracker, silence_thresholds
from mesh.membership.lease import REAPING, Lease, LeaseRecord, first_live
from mesh.rollout.report import REPORT
from simulation.mesh.drops import ReapingWorld
from simulation.mesh.world import Machine, Script

SPANS = silence_thresholds(3000.0, 1500.0)
GONE_S = SPANS.gone_s
REMOVAL_DELAY_S = 7.0  # periodic checks, the interval between rounds, and the propagation of the removal
Play = Callable[[ReapingWorld], Script]
ZONES = {"s1": "a", "s2": "a", "s3": "a", "s4": "b", "s5": "b"}


def lease_order(controllers: int = 3) -> list[str]:
    left, found = {f"c{n}" for n in range(1, controllers + 1)}, []
    while left:
        found.append(first_live(REAPING, left, left))
        left.discard(found[-1])
    return found


def after_boot(play: Play, controllers: int = 3, proxies: int = 5, settle: bool = True) -> Play:
    def script(world: ReapingWorld) -> Script:
        yield from world.boot(controllers, proxies)
        yield from world.wait_until_settled(20.0)
        assert world.agreed_lease()[1] == lease_order(controllers)[0]
        yield from play(world)
        if settle:
            world.heal()
            yield from world.wait_until_settled()

    return script


def run_play(script: Play, zones: dict[str, str] | None = None) -> list[str]:
    with ReapingWorld(ZONES if zones is None else zones) as world:
        return world.run(script)  # type: ignore[arg-type]


def isolate(world: ReapingWorld, *names: str) -> None:
    group = [world.machines[name] for name in names]
    world.partition(group, [machine for machine in world.machines.values() if machine not in group])


def removed_names(world: ReapingWorld) -> list[str]:
    return [name for _, _, name in world.removed_nodes]


# Rules


def test_a_lost_machine_is_removed_in_time_with_all_its_entries() -> None:
    def dies(world: ReapingWorld) -> Script:
        proxies = [world.machines[name] for name in ("s2", "s3", "s4", "s5")]
        for one in proxies:
            one.program.peer_links.open_early("s1", ("10.0.1.1", 7660))
            assert one.program.balancers.sidecars == 5
        yield world.env.timeout(1.0)
        world.power_off(world.machines["s1"])
        yield world.env.timeout(GONE_S - 1.0)
        assert world.machines_knowing("s1") == world.running_machines() and not world.removed_nodes
        yield world.env.timeout(REMOVAL_DELAY_S + 1.0)
        assert world.machines_knowing("s1") == set() and removed_names(world) == ["s1"]
        for one in proxies:
            program = one.program
            assert program.balancers.sidecars == 4 and "s1" not in program.peer_links._links
            assert program.membership.instances_at("s1") == [] and program.membership.address("s1") is None
            assert not program.peer_links._retiring
        for controller in world.controllers():
            assert controller.program.reports.items[REPORT, "s1"].value is None
        ((_, _, values),) = world.events_of(events.NODE_DROPPED)
        assert values["instances"] == 1 and values["silent_s"] >= GONE_S

    assert run_play(after_boot(dies)) == []


def test_a_lost_member_is_not_removed_and_a_lost_non_member_is() -> None:
    def dies(world: ReapingWorld) -> Script:
        world.start(world.add("c4", "10.0.0.4", counted=False))
        yield world.env.timeout(5.0)
        assert "10.0.0.4" in world.machines["s1"].program.membership.controllers()
        gone = [name for name in lease_order() if name != lease_order()[0]][0]
        for name in ("c4", gone):
            world.power_off(world.machines[name])
        yield world.env.timeout(GONE_S + REMOVAL_DELAY_S)
        assert removed_names(world) == ["c4"]
        for machine in (world.machines["s1"], world.machines[lease_order()[0]]):
            assert "10.0.0.4" not in machine.program.membership.controllers()
            assert world.machines[gone].ip in machine.program.membership.controllers()

    assert run_play(after_boot(dies)) == []


def test_a_partitioned_zone_is_kept_until_a_much_longer_silence(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(controller_program, "silence_thresholds", lambda *_: replace(SPANS, zone_gone_s=60.0))

    def partition(world: ReapingWorld) -> Script:
        isolate(world, "s1", "s2", "s3")
        yield world.env.timeout(GONE_S + REMOVAL_DELAY_S)
        world.heal()
        yield world.env.timeout(8.0)
        assert world.removed_nodes == [] and len(world.events_of(events.ZONE_KEPT)) == 1
        assert world.machines_knowing("s1") == world.running_machines()
        # Two of them return: the third alone is no partitioned zone.
        isolate(world, "s1", "s2", "s3")
        yield world.env.timeout(GONE_S + REMOVAL_DELAY_S)
        assert world.removed_nodes == []
        world.heal()
        isolate(world, "s3")
        yield world.env.timeout(6.0 + RECONNECT_S)
        assert removed_names(world) == ["s3"]
        world.heal()
        yield from world.wait_until_settled()
        world.power_off(world.machines["s4"])
        world.power_off(world.machines["s5"])
        yield world.env.timeout(55.0)
        assert removed_names(world) == ["s3"]
        yield world.env.timeout(5.0 + REMOVAL_DELAY_S)
        assert sorted(removed_names(world)) == ["s3", "s4", "s5"]
        # The check of the world also reports that most of a zone was removed, which is intended here.
        expected, world.checker.violations = world.checker.violations, []
        assert len(expected) == 1 and "most of zone b" in expected[0]

    assert run_play(after_boot(partition)) == []


def test_a_removed_node_that_was_only_cut_off_returns_and_serves_calls() -> None:
    def away(world: ReapingWorld) -> Script:
        one, other = world.machines["s1"], world.machines["s2"]
        incarnation = one.incarnation
        isolate(world, "s1")
        yield world.env.timeout(GONE_S + REMOVAL_DELAY_S)
        assert removed_names(world) == ["s1"] and other.program.balancers.sidecars == 4
        world.heal()
        yield world.env.timeout(3.0)
        assert one.incarnation is incarnation and world.machines_knowing("s1") == world.running_machines()
        assert other.program.balancers.sidecars == 5
        assert world.machines["c1"].program.reports.items[REPORT, "s1"].value is not None
        served = yield from serves(world, other, one)
        assert served

    assert run_play(after_boot(away)) == []


def serves(world: ReapingWorld, caller: Machine, other: Machine) -> Script:
    """Whether a call of one proxy reaches the other's second hop, and the answer the first hop."""
    ends: list[End] = []
    assert other.incarnation is not None and caller.incarnation is not None

    def accept(call: Call, ended: Callable[[End], None]) -> None:
        ended(UpstreamResponse(200, [], call.instance.encode(), True))

    other.program.upstream_dispatch.accept = accept
    instance = f"i-{other.name}"
    call = Call("a-1", b"GET", b"/x", [], b"", instance, "s", 900.0)
    membership = caller.program.membership
    node = membership.node_of(instance)
    caller.incarnation.context.run(
        caller.program.peer_links.send, call, node, membership.address(node), ends.append
    )
    yield world.env.timeout(0.5)
    return ends == [UpstreamResponse(200, [], instance.encode(), True)]


def test_a_node_that_returns_after_its_tombstone_was_collected_is_known_again() -> None:
    def away(world: ReapingWorld) -> Script:
        isolate(world, "s1")
        yield world.env.timeout(GONE_S + REMOVAL_DELAY_S)
        assert removed_names(world) == ["s1"]
        for machine in world.machines.values():
            if machine.name != "s1":  # as if its retention had ended
                for key in (("node", "s1"), ("instance", "i-s1")):
                    machine.program.membership_store.remove_tombstone(key)
                assert not any(key[1] == "s1" for key in machine.program.membership_store.items)
        yield world.env.timeout(proxy_program.RESYNC_AFTER_S)

    assert run_play(after_boot(away, proxies=2), {}) == []


def test_a_node_that_was_frozen_resynchronizes_although_its_links_look_open() -> None:
    def still(world: ReapingWorld) -> Script:
        incarnation = world.machines["s1"].incarnation
        world.freeze(world.machines["s1"], proxy_program.RESYNC_AFTER_S + 20.0)
        yield world.env.timeout(GONE_S + REMOVAL_DELAY_S)
        assert removed_names(world) == ["s1"]
        for machine in world.machines.values():
            if machine.name != "s1":
                for key in (("node", "s1"), ("instance", "i-s1")):
                    machine.program.membership_store.remove_tombstone(key)
        yield world.env.timeout(proxy_program.RESYNC_AFTER_S)
        assert world.machines["s1"].incarnation is incarnation

    assert run_play(after_boot(still, proxies=2), {}) == []


@pytest.mark.parametrize("how", ["killed", "cut", "frozen", "restarted"])
def test_after_a_fault_of_the_holder_the_next_one_acts_under_a_higher_epoch(how: str) -> None:
    def befalls(world: ReapingWorld) -> Script:
        holder, after = (world.machines[name] for name in lease_order()[:2])
        world.power_off(world.machines["s1"])
        yield world.env.timeout(GONE_S - 2.0)
        if how == "killed":
            world.power_off(holder)
        elif how == "cut":
            isolate(world, holder.name)
        elif how == "frozen":
            world.freeze(holder, 20.0)
        else:
            world.kill(holder)
            world.restart(holder)
        yield world.env.timeout(1.0 + SPANS.suspect_s + 2.0 + REMOVAL_DELAY_S)
        if (
            how == "restarted"
        ):  # the new incarnation must listen for as long, and claims a higher epoch than the old one
            assert world.agreed_lease() == (2, holder.name) and world.removed_nodes == []
            yield world.env.timeout(GONE_S)
            assert [by for _, by, _ in world.removed_nodes] == [holder.name]
            return
        assert [by for _, by, _ in world.removed_nodes] == [after.name]
        program = after.program
        assert program.node_reaper.lease.latest == LeaseRecord(2, after.name)
        if how == "killed":
            world.restart(holder, 0.0)
        world.heal()
        yield world.env.timeout(25.0)
        # The holder that comes first in the order has the lease again.
        assert world.agreed_lease()[1] == holder.name and world.agreed_lease()[0] > 2
        assert removed_names(world) == ["s1"]

    assert run_play(after_boot(befalls)) == []


def test_of_two_equal_halves_neither_holds_the_lease_and_neither_removes() -> None:
    def halves(world: ReapingWorld) -> Script:
        left = [world.machines[name] for name in (lease_order(4)[0], lease_order(4)[2])]
        right = [world.machines[name] for name in (lease_order(4)[1], lease_order(4)[3])]
        proxies = [machine for machine in world.machines.values() if not machine.is_controller]
        world.partition([*left, *proxies[:2]], [*right, *proxies[2:]])
        world.power_off(proxies[0])
        yield world.env.timeout(GONE_S + REMOVAL_DELAY_S + 10.0)
        assert world.lease_holders() == set()
        assert world.removed_nodes == []
        world.heal()
        yield world.env.timeout(GONE_S)
        assert len(world.lease_holders()) == 1 and removed_names(world) == [proxies[0].name]

    assert run_play(after_boot(halves, controllers=4), {}) == []


def test_two_controllers_that_do_not_hear_each_other_seldom_take_the_lease_from_each_other() -> None:
    def apart(world: ReapingWorld) -> Script:
        one, two = (world.machines[name] for name in lease_order()[:2])
        world.partition([one], [two])
        yield world.env.timeout(60.0)
        newest = max(
            program.node_reaper.lease.latest.epoch for _, program in world.programs(controllers=True)
        )
        assert 2 <= newest <= 1 + 60.0 / (4.0 * SPANS.suspect_s)
        assert world.removed_nodes == []

    assert run_play(after_boot(apart)) == []


def act_under_old_epoch(world: ReapingWorld) -> Script:
    """The holder was superseded and does not know it; with one node gone it continues to send requests."""
    holder, after = (world.machines[name] for name in lease_order()[:2])
    for machine in world.controllers():
        machine.program.node_reaper.lease.note(0.0, LeaseRecord(5, after.name))
    node_reaper = holder.program.node_reaper
    lease = node_reaper.lease = Lease(REAPING, holder.name, SPANS.suspect_s)
    now = float(world.env.now)
    lease.latest, lease._claimed, lease._first_since = LeaseRecord(1, holder.name), 1, now
    world.power_off(world.machines["s1"])
    yield world.env.timeout(GONE_S + 1.5)
    refused = [
        values for _, name, values in world.events_of(events.STALE_EPOCH_REFUSED) if name != holder.name
    ]
    assert refused and all((values["epoch"], values["newest"]) == (1, 5) for values in refused)
    yield world.env.timeout(1.0)
    left = [values for _, name, values in world.events_of(events.LEASE_RELEASED) if name == holder.name]
    assert left[0]["epoch"] == 1 and not world.removed_nodes
    yield world.env.timeout(20.0)
    assert removed_names(world) == ["s1"]


def test_requests_of_an_old_epoch_are_refused_and_their_sender_stops() -> None:
    assert run_play(after_boot(act_under_old_epoch)) == []


def test_late_answers_remove_nothing() -> None:
    def late(world: ReapingWorld) -> Script:
        holder, _, third = (world.machines[name] for name in lease_order())
        isolate(world, "s1")
        yield world.env.timeout(GONE_S - 3.0)
        while holder.program.node_reaper._round is None:
            yield world.env.timeout(0.0005)
        assert world.removed_nodes == []
        world.freeze(holder, 4.0)  # the answers wait for it, and meanwhile the node returns
        world.heal()
        yield world.env.timeout(12.0)
        assert world.removed_nodes == [] and third.program is not None

    assert run_play(after_boot(late)) == []


# Seeded faults


def isolate_holder(world: ReapingWorld) -> Script:
    """The holder is cut off from the other controllers and from one of three proxies of a zone."""
    holder = world.machines[lease_order()[0]]
    world.partition([holder], [*(m for m in world.controllers() if m is not holder), world.machines["s1"]])
    yield world.env.timeout(GONE_S + REMOVAL_DELAY_S)


def holder_cannot_hear_one(world: ReapingWorld) -> Script:
    world.partition([world.machines[lease_order()[0]]], [world.machines["s1"]])
    yield world.env.timeout(GONE_S + REMOVAL_DELAY_S)


def freeze_controllers(world: ReapingWorld) -> Script:
    """One proxy is cut off while all controllers are frozen for most of the time, so nobody listened for long
    enough."""
    isolate(world, "s1")
    yield world.env.timeout(4.0)
    for machine in world.controllers():
        world.freeze(machine, GONE_S)
    yield world.env.timeout(GONE_S + 6.0)
    assert world.removed_nodes == []


def isolate_zone(world: ReapingWorld) -> Script:
    isolate(world, "s1", "s2", "s3")
    yield world.env.timeout(GONE_S + REMOVAL_DELAY_S)


def isolate_one(world: ReapingWorld) -> Script:
    isolate(world, "s1")
    yield world.env.timeout(GONE_S + REMOVAL_DELAY_S)


def epoch_is_not_checked(patch: pytest.MonkeyPatch) -> None:
    real = Lease.note

    def note(self: Lease, now: float, standing: LeaseRecord) -> bool:
        real(self, now, standing)
        return True

    patch.setattr(Lease, "note", note)


def removes_without_majority(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(failure_detection, "is_majority", lambda heard, members: True)
    patch.setattr(ContactProbes, "may_act", lambda self: True)


def other_reports_are_ignored(patch: pytest.MonkeyPatch) -> None:
    real = failure_detection.assess_silence
    patch.setattr(
        failure_detection, "assess_silence", lambda nodes, silences, spans: real(nodes, silences[:1], spans)
    )


def zones_removed_like_nodes(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(controller_program, "silence_thresholds", lambda *_: replace(SPANS, zone_gone_s=GONE_S))


def freeze_counts_as_silence(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(SilenceTracker, "listening_s", lambda self, now: 1e9)


def returned_node_is_not_published(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(proxy_program, "was_dropped", lambda item: False)


def return_has_no_higher_version(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(proxy_program, "version_above", lambda item, version: version - 1)


def upstream_is_not_republished(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Registry, "republish", lambda self: None)
    patch.setattr(Registry, "reconcile", lambda self: None)


SEEDED: list[tuple[Callable[[pytest.MonkeyPatch], None], Play]] = [
    (epoch_is_not_checked, act_under_old_epoch),
    (removes_without_majority, isolate_holder),
    (other_reports_are_ignored, holder_cannot_hear_one),
    (zones_removed_like_nodes, isolate_zone),
    (freeze_counts_as_silence, freeze_controllers),
    (returned_node_is_not_published, isolate_one),
    (return_has_no_higher_version, isolate_one),
    (upstream_is_not_republished, isolate_one),
]


@pytest.mark.parametrize(
    ("seed_fault", "play"), SEEDED, ids=[seed_fault.__name__ for seed_fault, _ in SEEDED]
)
def test_a_seeded_fault_is_seen(
    seed_fault: Callable[[pytest.MonkeyPatch], None], play: Play, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert run_play(after_boot(play)) == []
    seed_fault(monkeypatch)
    try:
        violations = run_play(after_boot(play))
    except AssertionError:
        return  # an assertion of the script detected it
    assert violations
