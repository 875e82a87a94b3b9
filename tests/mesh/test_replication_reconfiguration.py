"""The next change of members, the members that may not leave, and the losses still tolerated."""

from __future__ import annotations

from itertools import combinations

from hypothesis import given, settings
from hypothesis import strategies as st

from mesh.replication.membership_epochs import MAX_MEMBERS, View
from mesh.replication.quorum import Place, Tolerance
from mesh.replication.reconfiguration import (
    LossMargin,
    MemberStatus,
    loss_margin,
    plan_change,
    responding_complete,
)

ONE = Tolerance(1, 0, 0)


def at(zone: str = "z", region: str = "r") -> Place:
    return Place(zone, region)


def view(names: str, epoch: int = 1, before: str | None = None) -> View:
    return View(epoch, {n: at() for n in names}, None if before is None else {n: at() for n in before})


def responding(names: str, **others: MemberStatus) -> dict[str, MemberStatus]:
    return {name: MemberStatus(at()) for name in names} | others


def away(**more: bool) -> MemberStatus:
    return MemberStatus(at(), responding=False, **more)


def member_names(found: View | None) -> str:
    assert found is not None
    return "".join(sorted(found.members))


def test_all_joiners_come_with_one_change_and_only_those_that_caught_up() -> None:
    statuses = responding(
        "abcdefghijk",
        x=MemberStatus(at(), eligible=False),
        y=MemberStatus(at(), disk_complete=False),
        w=away(),
    )
    found = plan_change(view("abc"), statuses, ONE).view
    assert found == View(2, {n: at() for n in "abcdefghijk"}, {n: at() for n in "abc"})
    assert plan_change(view("abc"), responding("abc"), ONE).view is None


def test_a_change_ends_once_a_durable_set_of_the_new_members_is_level() -> None:
    joint = view("abd", 5, before="abc")
    for synced in ("", "a", "b"):
        statuses = {n: MemberStatus(at(), synced_epoch=5 if n in synced else 4) for n in "abcd"}
        assert plan_change(joint, statuses, ONE).view is None
    statuses = {n: MemberStatus(at(), synced_epoch=5 if n in "ad" else 4) for n in "abcd"}
    assert plan_change(joint, statuses, ONE).view is not None  # a is in both, c leaves and need not catch up
    statuses["c"] = away(silent=True)
    assert plan_change(joint, statuses, ONE).blocked_by  # of the previous view only a could accept, b lags
    statuses["b"] = MemberStatus(at(), synced_epoch=5)
    assert plan_change(joint, statuses, ONE).view == View(6, {n: at() for n in "abd"})


def test_nobody_leaves_below_what_is_asked_until_a_successor_comes_with_the_same_change() -> None:
    for leaver in (MemberStatus(at(), leaving=True), away(gone=True), away(leaving=True), away(removed=True)):
        statuses = responding("ab", c=leaver)
        found = plan_change(view("abc"), statuses, ONE)
        assert found.view is None and "3 are needed" in found.retained["c"]
        assert member_names(plan_change(view("abc"), statuses | responding("d"), ONE).view) == "abd"


def test_two_that_leave_at_once_go_as_far_as_is_safe() -> None:
    leaving = MemberStatus(at(), leaving=True)
    found = plan_change(view("abcde"), responding("abc", d=leaving, e=leaving), ONE)
    assert member_names(found.view) == "abc" and not found.retained
    found = plan_change(view("abcd"), responding("ab", c=leaving, d=leaving), ONE)
    assert member_names(found.view) == "abd" and "only a, b would respond and stay" in found.retained["d"]


def test_silence_takes_nobody_out_of_less_than_a_majority_of_the_view_before() -> None:
    statuses = responding("ab", c=away(gone=True), d=away(gone=True), e=away(gone=True))
    found = plan_change(view("abcde"), statuses | responding("xyz"), ONE)
    assert found.view is None and "would respond and stay" in found.blocked_by


def test_one_that_is_silent_for_the_shorter_bound_goes_only_where_more_is_borne_without_it() -> None:
    silent = away(silent=True)
    found = plan_change(view("abcd"), responding("abc", d=silent), ONE)
    assert member_names(found.view) == "abc"  # a quorum of four needs all three; of three, one may be lost
    found = plan_change(view("abcde"), responding("abcd", e=silent), ONE)
    assert found.view is None and "shorter bound" in found.retained["e"]
    assert member_names(plan_change(view("abcde"), responding("abcd", e=away(gone=True)), ONE).view) == "abcd"
    assert member_names(plan_change(view("abc"), responding("abd", c=silent), ONE).view) == "abd"


def test_the_last_of_a_zone_that_is_asked_for_stays_until_its_successor_comes() -> None:
    members = {"a": at("1"), "b": at("2"), "c": at("3"), "d": at("1")}
    statuses = {n: MemberStatus(p) for n, p in members.items()} | {"c": MemberStatus(at("3"), leaving=True)}
    found = plan_change(View(1, members), statuses, Tolerance(0, 1, 0))
    assert found.view is None and "2 zones would be left, 3 are needed" in found.retained["c"]
    statuses["e"] = MemberStatus(at("3"))
    assert member_names(plan_change(View(1, members), statuses, Tolerance(0, 1, 0)).view) == "abde"


def test_places_that_become_known_are_a_change_and_members_are_bounded() -> None:
    unknown = View(1, {n: Place("", "") for n in "abc"})
    found = plan_change(unknown, responding("abc"), ONE).view
    assert found is not None and found.members == {n: at() for n in "abc"} and found.joint
    many = {f"m{n}": MemberStatus(at()) for n in range(MAX_MEMBERS + 9)}
    grown = plan_change(View(1, {f"m{n}": at() for n in range(3)}), many, ONE).view
    assert grown is not None and len(grown.members) == MAX_MEMBERS


def test_losses_borne_by_hand() -> None:
    assert loss_margin(view("abc"), "abc", ONE).machines == 1
    assert loss_margin(view("abcde"), "abcde", ONE).machines == 2
    assert loss_margin(view("abcd"), "abcd", ONE).machines == 1
    assert loss_margin(view("abc"), "ab", ONE).machines == 0
    assert loss_margin(view("abc"), "a", ONE) == LossMargin(-1, -1, -1)
    assert loss_margin(view("a"), "a", ONE).machines == 0
    assert loss_margin(view("a"), "a", ONE).below(ONE) == ("machines",)
    zones = View(1, {"a": at("1"), "b": at("2"), "c": at("3", "q")})
    assert loss_margin(zones, "abc", ONE) == LossMargin(1, 1, 0)
    assert loss_margin(view("abd", 2, before="abc"), "abcd", ONE).machines == 1
    assert loss_margin(view("abd", 2, before="abc"), "abd", ONE).machines == 0


FLAGS = ("responding", "disk_complete", "eligible", "leaving", "silent", "gone", "removed")
AREAS = {"a": "r", "b": "r", "c": "q"}
SPREAD = st.text("abc ", min_size=1, max_size=5).map(
    lambda zones: {str(n): Place(zone.strip(), AREAS.get(zone, "")) for n, zone in enumerate(zones)}
)
TOLERANCE = st.builds(Tolerance, st.integers(0, 2), st.integers(0, 1), st.integers(0, 1))


@settings(max_examples=300, deadline=None)
@given(SPREAD, TOLERANCE, st.data())
def test_losses_borne_are_those_of_every_set_that_may_be_lost(
    members: dict[str, Place], tolerance: Tolerance, data: st.DataObject
) -> None:
    up = data.draw(st.frozensets(st.sampled_from(sorted(members)), min_size=1))
    now, found = View(1, members), loss_margin(View(1, members), up, tolerance)

    def tolerates(lost: list[frozenset[str]]) -> bool:
        return all(now.durable(up - one, tolerance) for one in lost)

    most = -1
    for count in range(len(up) + 1):
        if not tolerates([frozenset(some) for some in combinations(sorted(up), count)]):
            break
        most = count
    assert found.machines == most
    for kind in ("zone", "region"):
        areas = sorted({getattr(members[n], kind) for n in up} - {""})
        unknown = {n for n in up if not getattr(members[n], kind)}
        most = -1
        for count in range(max(len(areas), 1) + 1):
            lost = [
                frozenset(n for n in up if getattr(members[n], kind) in some) | (unknown if count else set())
                for some in combinations(areas or [""], count)
            ]
            if not tolerates(lost):
                break
            most = count
        assert getattr(found, f"{kind}s") == most


@settings(max_examples=300, deadline=None)
@given(SPREAD, TOLERANCE, st.data())
def test_whatever_is_planned_can_be_decided_and_keeps_what_is_asked(
    members: dict[str, Place], tolerance: Tolerance, data: st.DataObject
) -> None:
    flag = st.booleans()
    names = [*sorted(members), "x", "y"]
    statuses = {
        name: MemberStatus(members.get(name, at("a")), **{field: data.draw(flag) for field in FLAGS})
        for name in names
    }
    found = plan_change(View(3, members), statuses, tolerance)
    if found.view is None:
        return
    present = responding_complete(statuses, found.view.names)
    assert found.view.epoch == 4 and found.view.previous_members == members
    assert found.view.durable(present & found.view.members.keys(), tolerance)
    assert len(found.view.members) >= min(len(members), 2 * tolerance.machines + 1)
    for name in found.view.members.keys() - members.keys():
        assert statuses[name].eligible and statuses[name].responding and statuses[name].disk_complete
    for name in members.keys() - found.view.members.keys():
        one = statuses[name]
        assert one.removed or one.leaving or ((one.gone or one.silent) and not one.responding)
