"""The ledger of the configuration in a soak: what may be in force, told from what was sent and acknowledged,
and each clause of the rule that it has to see."""

from __future__ import annotations

import math
from collections.abc import Sequence

import pytest

from rigs.soak.configuration_ledger import ConfigurationLedger, Order, Request
from rigs.soak.contact import Bounds, ContactRecord
from rigs.soak.orders import body_of, routes_of
from rigs.soak.plan import DropItem, Invalid, Item, RouteItem, Share

NODE, LIFE = "proxy-0", 1
SETTLE_S = Bounds().settle_s


def item(version: int, *services: str, name: str = "read", prefix: str = "/read/") -> RouteItem:
    return RouteItem(name, version, prefix, tuple(Share(one) for one in services))


class Played:
    """A ledger with its contact record; instants are seconds."""

    def __init__(self) -> None:
        self.contact = ContactRecord(Bounds())
        self.ledger = ConfigurationLedger(self.contact, [item(1, "red")])

    def write(
        self, items: Sequence[Item], sent: float, acknowledged: float = math.inf, valid: bool = True
    ) -> Order:
        order = self.ledger.sent(items, valid, sent)
        if acknowledged < math.inf:
            self.ledger.acknowledged(order, acknowledged)
        return order

    def request(self, sent: float, path: str = "/read/ok/a", life: int = LIFE) -> Request:
        return Request("a", path, NODE, life, sent)

    def found(self) -> list[str]:
        return [one.rule for one in self.ledger.findings]


def test_an_older_version_is_seen_once_the_bound_of_the_newer_one_has_passed() -> None:
    played = Played()
    played.write([item(2, "blue")], 10.0, 10.1)
    for sent, service in (10.05, "red"), (10.05, "blue"), (12.0, "red"), (12.2, "blue"):
        played.ledger.ran(played.request(sent, life=int(sent * 10)), service, sent)
    assert played.found() == []
    played.ledger.ran(played.request(12.2, life=7), "red", 12.2)
    assert played.found() == ["CONFIG"]


def test_a_version_that_was_not_acknowledged_may_be_in_force_or_not() -> None:
    played = Played()
    played.write([item(2, "blue")], 10.0)
    played.ledger.ran(played.request(30.0), "red", 30.0)
    played.ledger.ran(played.request(31.0), "blue", 31.0)
    assert played.found() == []
    played.ledger.ran(played.request(31.5), "red", 31.5)  # within one life it does not go back
    assert played.found() == ["CONFIG"]


def test_a_life_that_goes_back_is_seen_after_the_slack_and_another_life_may() -> None:
    played = Played()
    played.write([item(2, "blue")], 10.0, 10.1)
    played.ledger.ran(played.request(10.2), "blue", 10.2)
    played.ledger.ran(played.request(10.4), "red", 10.41)
    played.ledger.ran(played.request(10.9, life=2), "red", 10.9)
    assert played.found() == []
    played.ledger.ran(played.request(10.9), "red", 10.9)
    assert played.found() == ["CONFIG"]


@pytest.mark.parametrize(("dropped", "status_404", "found"), [(False, True, True), (True, True, False)])
def test_404_is_judged_by_whether_the_route_may_be_gone(dropped: bool, status_404: bool, found: bool) -> None:
    played = Played()
    if dropped:
        played.write([DropItem("read", 2)], 10.0)
    if status_404:
        played.ledger.not_found(played.request(10.5), 10.5)
    assert bool(played.found()) is found


def test_a_dropped_route_that_is_still_run_is_seen_and_falls_to_the_shorter_prefix() -> None:
    played = Played()
    played.write([item(2, "blue", name="deep", prefix="/read/deep/")], 10.0, 10.1)
    played.ledger.ran(played.request(13.0, "/read/deep/ok/a"), "blue", 13.0)
    played.write([DropItem("deep", 3)], 14.0, 14.1)
    played.ledger.ran(played.request(14.2, "/read/deep/ok/a"), "blue", 14.2)
    played.ledger.ran(played.request(16.5, "/read/deep/ok/a"), "red", 16.5)
    assert played.found() == []
    played.ledger.ran(played.request(17.0, "/read/deep/ok/a"), "blue", 17.0)
    assert played.found() == ["CONFIG"]


def test_a_route_that_gives_its_prefix_to_another_name_is_never_absent_after_both_are_due() -> None:
    played = Played()
    played.write([item(2, "blue", name="a", prefix="/a/")], 10.0, 10.1)
    played.write([DropItem("a", 3), item(4, "green", name="b", prefix="/a/")], 20.0, 20.1)
    played.ledger.not_found(played.request(20.2, "/a/ok/x"), 20.2)  # each item stands alone meanwhile
    played.ledger.ran(played.request(22.5, "/a/ok/x"), "green", 22.5)
    assert played.found() == []
    played.ledger.not_found(played.request(23.0, "/a/ok/x"), 23.0)
    assert played.found() == ["CONFIG"]


def test_of_rivals_only_the_one_that_was_acknowledged_may_be_in_force() -> None:
    played = Played()
    lost = played.write([item(2, "green")], 10.0)
    played.write([item(2, "blue")], 10.0, 10.1)
    played.ledger.refused(lost, 10.2, 409, rivalled=True)
    played.ledger.ran(played.request(10.3), "blue", 10.3)
    assert played.found() == []
    played.ledger.ran(played.request(10.3, life=2), "green", 10.3)
    assert played.found() == ["CONFIG"]


def test_two_rivals_that_were_both_acknowledged_are_seen() -> None:
    played = Played()
    played.write([item(2, "green")], 10.0, 10.1)
    played.write([item(2, "blue")], 10.0, 10.2)
    assert played.found() == ["CONFIG"]


def test_what_is_invalid_is_neither_acknowledged_nor_in_force() -> None:
    played = Played()
    order = played.write([item(2, "blue")], 10.0, valid=False)
    played.ledger.refused(order, 10.1, 400, rivalled=False)
    played.ledger.ran(played.request(10.5), "blue", 10.5)
    assert played.found() == ["CONFIG"]
    played.write([item(3, "blue")], 11.0, 11.1, valid=False)
    assert played.found() == ["CONFIG", "CONFIG"]


def test_a_valid_write_that_is_refused_is_seen_before_and_after_its_acknowledgement() -> None:
    played = Played()
    played.ledger.refused(played.write([item(2, "blue")], 10.0), 10.1, 400, rivalled=False)
    played.ledger.refused(played.write([item(3, "blue")], 10.0, 10.1), 12.0, 409, rivalled=True)
    assert played.found() == ["Duty", "CONFIG"]


def test_no_bound_holds_for_a_node_in_trouble_and_a_longer_one_beside_an_unsettled_core() -> None:
    played = Played()
    played.write([item(2, "blue")], 10.0, 10.1)
    played.contact.node(NODE, 11.0).ended = 11.5
    played.ledger.ran(played.request(14.4, life=2), "red", 14.4)
    assert played.found() == []
    played.ledger.ran(played.request(14.6, life=2), "red", 14.6)
    assert played.found() == ["CONFIG"]
    played.contact.core(14.0)
    played.ledger.ran(played.request(16.9, life=3), "red", 16.9)
    assert played.found() == ["CONFIG"]
    played.ledger.ran(played.request(17.2, life=3), "red", 17.2)
    assert played.found() == ["CONFIG", "CONFIG"]


def test_without_most_of_the_core_no_bound_holds_until_it_is_back() -> None:
    played = Played()
    played.write([item(2, "blue")], 10.0, 10.1)
    played.contact.minority(10.2, lost=True)
    played.contact.minority(30.0, lost=False)
    played.ledger.ran(played.request(32.9), "red", 32.9)
    assert played.found() == []
    played.ledger.ran(played.request(33.1), "red", 33.1)
    assert played.found() == ["CONFIG"]


@pytest.mark.parametrize(
    ("told", "asked", "found"),
    [
        (item(1, "red"), 12.0, False),
        (item(1, "red"), 12.2, True),
        (item(2, "blue"), 12.2, False),
        (item(2, "green"), 10.2, True),
        (None, 12.2, True),
    ],
)
def test_a_read_is_judged_by_what_was_acknowledged_before_it(
    told: RouteItem | None, asked: float, found: bool
) -> None:
    played = Played()
    played.write([item(2, "blue")], 10.0, 10.1)
    played.ledger.read({told.name: told} if told is not None else {}, "controller-0", asked, asked)
    assert bool(played.found()) is found


def test_a_write_without_an_answer_in_settled_times_is_seen_after_its_bound() -> None:
    played = Played()
    order = played.write([item(2, "blue")], 10.0)
    played.ledger.unanswered(order, 13.9)
    assert played.found() == []
    played.ledger.unanswered(order, 14.1)
    assert played.found() == ["Acks"]
    played.contact.core(20.0)
    played.ledger.unanswered(order, 26.0)
    assert played.found() == ["Acks"]


@pytest.mark.parametrize("invalid", list(Invalid))
def test_each_invalid_write_differs_from_the_proper_one(invalid: Invalid) -> None:
    items = (item(2, "blue"), item(3, "red", name="list", prefix="/list/"))
    assert body_of(items, invalid) != body_of(items, None)


def test_a_configuration_that_is_read_back_gives_the_items_as_they_were_sent() -> None:
    import json

    items = (item(2, "blue"), RouteItem("split", 3, "/split/", (Share("red", 10), Share("blue", 90)), True))
    sent = json.loads(body_of(items, None))["apply"]
    assert routes_of(sent) == {one.name: one for one in items}
    sent["input_ports"][0]["control_law"][0]["response"]["trials"] += 1
    assert routes_of(sent)["read"].shares == ()


def test_no_bound_holds_where_no_majority_of_the_core_ran_all_the_while() -> None:
    """Seen in seed 243: each controller was killed in turn as it acknowledged, so at each moment two of
    three ran, and for nine seconds none could hand anything on. The rule asks for more than half of the core
    that has run all the while."""
    played = Played()
    names = ["controller-0", "controller-1", "controller-2"]
    played.contact.core_names = lambda: names
    played.write([item(2, "blue")], 10.0, 10.1)
    for at, name in enumerate(names[:2]):
        played.contact.node(name, 11.0 + at).ended = 11.5 + at
        played.contact.core(11.5 + at)
    played.contact.core(20.0)
    played.ledger.ran(played.request(21.0), "red", 21.0)
    assert played.found() == []
    played.contact = played.ledger._contact = ContactRecord(Bounds())
    played.contact.core_names = lambda: names
    played.contact.node(names[0], 11.0).ended = 11.5
    played.contact.core(20.0)
    played.ledger.ran(played.request(21.0), "red", 21.0)
    assert played.found() == ["CONFIG"]
