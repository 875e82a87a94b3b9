"""The configuration ledger of the soak: which configuration may be in force, derived from what was sent and
acknowledged, and each violation of the rules that it has to detect."""

from __future__ import annotations

import math
from collections.abc import Sequence

import pytest

from rigs.soak.configuration_ledger import ConfigurationLedger, Request, WriteRecord
from rigs.soak.disturbances import Bounds, DisturbanceRecord
from rigs.soak.operators import body_of, routes_of
from rigs.soak.plan import DropItem, InvalidWrite, Item, RouteItem, Share

NODE, INCARNATION = "proxy-0", 1
SETTLE_S = Bounds().settle_s


def item(version: int, *services: str, name: str = "read", prefix: str = "/read/") -> RouteItem:
    return RouteItem(name, version, prefix, tuple(Share(one) for one in services))


class LedgerFixture:
    """A ledger with its record of disturbances; times are in seconds."""

    def __init__(self) -> None:
        self.disturbances = DisturbanceRecord(Bounds())
        self.ledger = ConfigurationLedger(self.disturbances, [item(1, "red")])

    def write(
        self, items: Sequence[Item], sent_at: float, acknowledged_at: float = math.inf, valid: bool = True
    ) -> WriteRecord:
        record = self.ledger.record_sent(items, valid, sent_at)
        if acknowledged_at < math.inf:
            self.ledger.record_acknowledged(record, acknowledged_at)
        return record

    def request(self, sent_at: float, path: str = "/read/ok/a", incarnation: int = INCARNATION) -> Request:
        return Request("a", path, NODE, incarnation, sent_at)

    def broken_rules(self) -> list[str]:
        return [one.rule for one in self.ledger.findings]


def test_an_older_version_is_found_once_the_bound_of_the_newer_one_has_passed() -> None:
    fixture = LedgerFixture()
    fixture.write([item(2, "blue")], 10.0, 10.1)
    for sent, service in (10.05, "red"), (10.05, "blue"), (12.0, "red"), (12.2, "blue"):
        fixture.ledger.check_run(fixture.request(sent, incarnation=int(sent * 10)), service, sent)
    assert fixture.broken_rules() == []
    fixture.ledger.check_run(fixture.request(12.2, incarnation=7), "red", 12.2)
    assert fixture.broken_rules() == ["CONFIG"]


def test_a_version_that_was_not_acknowledged_may_be_in_force_or_not() -> None:
    fixture = LedgerFixture()
    fixture.write([item(2, "blue")], 10.0)
    fixture.ledger.check_run(fixture.request(30.0), "red", 30.0)
    fixture.ledger.check_run(fixture.request(31.0), "blue", 31.0)
    assert fixture.broken_rules() == []
    fixture.ledger.check_run(fixture.request(31.5), "red", 31.5)  # one incarnation never reverts
    assert fixture.broken_rules() == ["CONFIG"]


def test_an_incarnation_that_reverts_is_found_after_the_slack_and_another_incarnation_may_revert() -> None:
    fixture = LedgerFixture()
    fixture.write([item(2, "blue")], 10.0, 10.1)
    fixture.ledger.check_run(fixture.request(10.2), "blue", 10.2)
    fixture.ledger.check_run(fixture.request(10.4), "red", 10.41)
    fixture.ledger.check_run(fixture.request(10.9, incarnation=2), "red", 10.9)
    assert fixture.broken_rules() == []
    fixture.ledger.check_run(fixture.request(10.9), "red", 10.9)
    assert fixture.broken_rules() == ["CONFIG"]


@pytest.mark.parametrize(("dropped", "status_404", "found"), [(False, True, True), (True, True, False)])
def test_a_404_is_checked_against_whether_the_route_may_be_absent(
    dropped: bool, status_404: bool, found: bool
) -> None:
    fixture = LedgerFixture()
    if dropped:
        fixture.write([DropItem("read", 2)], 10.0)
    if status_404:
        fixture.ledger.check_not_found(fixture.request(10.5), 10.5)
    assert bool(fixture.broken_rules()) is found


def test_a_dropped_route_that_is_still_used_is_found_and_the_shorter_prefix_takes_over() -> None:
    fixture = LedgerFixture()
    fixture.write([item(2, "blue", name="deep", prefix="/read/deep/")], 10.0, 10.1)
    fixture.ledger.check_run(fixture.request(13.0, "/read/deep/ok/a"), "blue", 13.0)
    fixture.write([DropItem("deep", 3)], 14.0, 14.1)
    fixture.ledger.check_run(fixture.request(14.2, "/read/deep/ok/a"), "blue", 14.2)
    fixture.ledger.check_run(fixture.request(16.5, "/read/deep/ok/a"), "red", 16.5)
    assert fixture.broken_rules() == []
    fixture.ledger.check_run(fixture.request(17.0, "/read/deep/ok/a"), "blue", 17.0)
    assert fixture.broken_rules() == ["CONFIG"]


def test_a_route_that_gives_its_prefix_to_another_name_is_never_absent_after_both_are_due() -> None:
    fixture = LedgerFixture()
    fixture.write([item(2, "blue", name="a", prefix="/a/")], 10.0, 10.1)
    fixture.write([DropItem("a", 3), item(4, "green", name="b", prefix="/a/")], 20.0, 20.1)
    # Until both are due, each item applies on its own.
    fixture.ledger.check_not_found(fixture.request(20.2, "/a/ok/x"), 20.2)
    fixture.ledger.check_run(fixture.request(22.5, "/a/ok/x"), "green", 22.5)
    assert fixture.broken_rules() == []
    fixture.ledger.check_not_found(fixture.request(23.0, "/a/ok/x"), 23.0)
    assert fixture.broken_rules() == ["CONFIG"]


def test_of_conflicting_writes_only_the_acknowledged_one_may_be_in_force() -> None:
    fixture = LedgerFixture()
    lost = fixture.write([item(2, "green")], 10.0)
    fixture.write([item(2, "blue")], 10.0, 10.1)
    fixture.ledger.record_rejected(lost, 10.2, 409, conflicting=True)
    fixture.ledger.check_run(fixture.request(10.3), "blue", 10.3)
    assert fixture.broken_rules() == []
    fixture.ledger.check_run(fixture.request(10.3, incarnation=2), "green", 10.3)
    assert fixture.broken_rules() == ["CONFIG"]


def test_two_conflicting_writes_that_were_both_acknowledged_are_found() -> None:
    fixture = LedgerFixture()
    fixture.write([item(2, "green")], 10.0, 10.1)
    fixture.write([item(2, "blue")], 10.0, 10.2)
    assert fixture.broken_rules() == ["CONFIG"]


def test_an_invalid_write_is_neither_acknowledged_nor_in_force() -> None:
    fixture = LedgerFixture()
    record = fixture.write([item(2, "blue")], 10.0, valid=False)
    fixture.ledger.record_rejected(record, 10.1, 400, conflicting=False)
    fixture.ledger.check_run(fixture.request(10.5), "blue", 10.5)
    assert fixture.broken_rules() == ["CONFIG"]
    fixture.write([item(3, "blue")], 11.0, 11.1, valid=False)
    assert fixture.broken_rules() == ["CONFIG", "CONFIG"]


def test_a_valid_write_that_is_rejected_is_found_before_and_after_its_acknowledgement() -> None:
    fixture = LedgerFixture()
    fixture.ledger.record_rejected(fixture.write([item(2, "blue")], 10.0), 10.1, 400, conflicting=False)
    fixture.ledger.record_rejected(fixture.write([item(3, "blue")], 10.0, 10.1), 12.0, 409, conflicting=True)
    assert fixture.broken_rules() == ["Duty", "CONFIG"]


def test_no_bound_holds_for_a_disturbed_node_and_a_longer_one_with_a_disturbed_core() -> None:
    fixture = LedgerFixture()
    fixture.write([item(2, "blue")], 10.0, 10.1)
    fixture.disturbances.disturb_node(NODE, 11.0).ended = 11.5
    fixture.ledger.check_run(fixture.request(14.4, incarnation=2), "red", 14.4)
    assert fixture.broken_rules() == []
    fixture.ledger.check_run(fixture.request(14.6, incarnation=2), "red", 14.6)
    assert fixture.broken_rules() == ["CONFIG"]
    fixture.disturbances.disturb_core(14.0)
    fixture.ledger.check_run(fixture.request(16.9, incarnation=3), "red", 16.9)
    assert fixture.broken_rules() == ["CONFIG"]
    fixture.ledger.check_run(fixture.request(17.2, incarnation=3), "red", 17.2)
    assert fixture.broken_rules() == ["CONFIG", "CONFIG"]


def test_without_a_majority_of_the_core_no_bound_holds_until_it_is_back() -> None:
    fixture = LedgerFixture()
    fixture.write([item(2, "blue")], 10.0, 10.1)
    fixture.disturbances.set_quorum_lost(10.2, lost=True)
    fixture.disturbances.set_quorum_lost(30.0, lost=False)
    fixture.ledger.check_run(fixture.request(32.9), "red", 32.9)
    assert fixture.broken_rules() == []
    fixture.ledger.check_run(fixture.request(33.1), "red", 33.1)
    assert fixture.broken_rules() == ["CONFIG"]


@pytest.mark.parametrize(
    ("returned", "asked_at", "found"),
    [
        (item(1, "red"), 12.0, False),
        (item(1, "red"), 12.2, True),
        (item(2, "blue"), 12.2, False),
        (item(2, "green"), 10.2, True),
        (None, 12.2, True),
    ],
)
def test_a_read_is_checked_against_what_was_acknowledged_before_it(
    returned: RouteItem | None, asked_at: float, found: bool
) -> None:
    fixture = LedgerFixture()
    fixture.write([item(2, "blue")], 10.0, 10.1)
    fixture.ledger.check_read(
        {returned.name: returned} if returned is not None else {}, "controller-0", asked_at, asked_at
    )
    assert bool(fixture.broken_rules()) is found


def test_a_write_without_a_response_from_an_undisturbed_core_is_found_after_its_bound() -> None:
    fixture = LedgerFixture()
    record = fixture.write([item(2, "blue")], 10.0)
    fixture.ledger.check_unanswered(record, 13.9)
    assert fixture.broken_rules() == []
    fixture.ledger.check_unanswered(record, 14.1)
    assert fixture.broken_rules() == ["Acks"]
    fixture.disturbances.disturb_core(20.0)
    fixture.ledger.check_unanswered(record, 26.0)
    assert fixture.broken_rules() == ["Acks"]


@pytest.mark.parametrize("invalid", list(InvalidWrite))
def test_each_invalid_write_differs_from_the_valid_one(invalid: InvalidWrite) -> None:
    items = (item(2, "blue"), item(3, "red", name="list", prefix="/list/"))
    assert body_of(items, invalid) != body_of(items, None)


def test_a_configuration_that_is_read_back_gives_the_items_as_they_were_sent() -> None:
    import json

    items = (item(2, "blue"), RouteItem("split", 3, "/split/", (Share("red", 10), Share("blue", 90)), True))
    sent = json.loads(body_of(items, None))["apply"]
    assert routes_of(sent) == {one.name: one for one in items}
    sent["input_ports"][0]["control_law"][0]["response"]["trials"] += 1
    assert routes_of(sent)["read"].shares == ()


def test_no_bound_holds_if_no_majority_of_the_core_ran_for_the_whole_time() -> None:
    """Seen with seed 243: each controller was killed in turn as it acknowledged a write. At each moment two
    of three ran, yet for nine seconds none could disseminate anything. The rule requires a majority of the
    core that ran for the whole time."""
    fixture = LedgerFixture()
    names = ["controller-0", "controller-1", "controller-2"]
    fixture.disturbances.controller_names = lambda: names
    fixture.write([item(2, "blue")], 10.0, 10.1)
    for at, name in enumerate(names[:2]):
        fixture.disturbances.disturb_node(name, 11.0 + at).ended = 11.5 + at
        fixture.disturbances.disturb_core(11.5 + at)
    fixture.disturbances.disturb_core(20.0)
    fixture.ledger.check_run(fixture.request(21.0), "red", 21.0)
    assert fixture.broken_rules() == []
    fixture.disturbances = fixture.ledger._disturbances = DisturbanceRecord(Bounds())
    fixture.disturbances.controller_names = lambda: names
    fixture.disturbances.disturb_node(names[0], 11.0).ended = 11.5
    fixture.disturbances.disturb_core(20.0)
    fixture.ledger.check_run(fixture.request(21.0), "red", 21.0)
    assert fixture.broken_rules() == ["CONFIG"]
