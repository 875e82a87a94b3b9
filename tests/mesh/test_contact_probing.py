"""Questions and answers of contact, frame by frame, with a clock of the test's own."""

from __future__ import annotations

import io
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

import pytest

from mesh.control_plane.contact_probes import PROBE_DELAY_S, ContactProbes
from mesh.data_plane.membership import CONTROLLER, PROXY
from mesh.event_log.log import EventLog
from mesh.replication.membership_epochs import View
from mesh.replication.quorum import Place, Tolerance
from mesh.replication.quorum_contact import Proof


@dataclass(eq=False)
class Peer:
    """A link with news, as far as contact looks at one."""

    ip: str
    peer_source: str
    control: str = "10.0.0.9:8146"
    role: str = CONTROLLER
    sent: list[Any] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.extra = {"ip": self.ip, "role": self.role, "control": self.control}
        self.exchange = SimpleNamespace(pulled=True)
        self.link = SimpleNamespace(send=self.sent.append)


class Alone:
    def __init__(self, epoch: int = 4) -> None:
        self.now, self.whole, self.open = 0.0, True, 0.0
        self.view, self.taken, self.log = self.of(epoch), list[Any](), io.StringIO()
        self.soon: list[Any] = []

        def call_later(after_s: float, call: Any) -> object:
            assert after_s == PROBE_DELAY_S
            self.soon.append(call)
            return object()

        loop = SimpleNamespace(time=lambda: self.now, call_later=call_later)
        member_set: Any = SimpleNamespace(
            own_address="c0",
            tolerance=Tolerance(1, 0, 0),
            view=lambda: self.view,
            view_item=lambda: [["view", "members", self.view.epoch, {}, "s", 1]],
        )
        channels: Any = SimpleNamespace(loop=loop)
        disk_writer: Any = SimpleNamespace(complete=True)
        self.contact_probes = ContactProbes(
            3000.0,
            channels,
            member_set,
            disk_writer,
            lambda items, _: self.taken.extend(items),
            lambda: self.open,
            EventLog("c0", self.log),
        )

    def of(self, epoch: int) -> View:
        return View(epoch, {f"c{n}": Place("", "") for n in range(3)})

    def opens(self, peer: Any) -> Any:
        self.contact_probes.link_opened(peer)
        return peer

    def asks(self) -> int:
        self.contact_probes._send_probes()
        return self.contact_probes.contact._count

    def hears(self, peer: Any, number: int, **said: Any) -> bool:
        return self.contact_probes.handle_frame(
            peer, {"t": "probed", "n": number, "e": 4, "w": True, "c": True, **said}
        )


def test_links_that_come_up_are_asked_together_and_at_once() -> None:
    alone = Alone()
    one, two = alone.opens(Peer("c1", "c1.a")), alone.opens(Peer("c2", "c2.a"))
    again = alone.opens(Peer("c1", "c1.a"))  # the other of two links between the same processes
    assert len(alone.soon) == 1 and not one.sent
    alone.soon[0]()
    assert two.sent == [{"t": "probe", "n": 1, "e": 4}] and len(one.sent) + len(again.sent) == 1


def test_sidecars_and_the_process_itself_are_neither_asked_nor_heard() -> None:
    alone = Alone()
    side, me = alone.opens(Peer("10.9", "s", role=PROXY)), alone.opens(Peer("c0", "c0.b"))
    assert not alone.soon
    alone.asks()
    assert not side.sent and not me.sent
    assert not alone.contact_probes.handle_frame(side, {"t": "probed", "n": 1, "e": 4, "w": True})


def test_an_answer_of_a_life_that_ended_counts_for_nothing() -> None:
    alone = Alone()
    old = alone.opens(Peer("c1", "c1.a"))
    number = alone.asks()
    alone.hears(old, number)
    assert alone.contact_probes.proof() is Proof.ORDERS
    new = alone.opens(Peer("c1", "c1.b"))
    assert alone.contact_probes.proof() is Proof.NONE  # its disk may be another
    alone.hears(old, alone.asks())
    assert alone.contact_probes.proof() is Proof.NONE
    alone.hears(new, alone.asks())
    assert alone.contact_probes.proof() is Proof.ORDERS
    alone.contact_probes.link_closed(old)
    assert alone.contact_probes.proof() is Proof.ORDERS
    alone.contact_probes.link_closed(new)
    assert alone.contact_probes.proof() is Proof.NONE
    assert not alone.contact_probes.contact.valid_replies(0.0)  # nothing is kept of who is gone


def test_who_asks_under_an_older_view_is_told_the_newer_one_and_takes_it() -> None:
    alone = Alone()
    peer = alone.opens(Peer("c1", "c1.a"))
    alone.contact_probes.handle_frame(peer, {"t": "probe", "n": 7, "e": 3})
    told = peer.sent[-1]
    assert (told["t"], told["n"], told["e"], told["w"], told["c"]) == ("probed", 7, 4, True, False)
    assert told["view"] == [["view", "members", 4, {}, "s", 1]]
    alone.contact_probes.handle_frame(peer, {"t": "probe", "n": 8, "e": 4})
    assert "view" not in peer.sent[-1]
    alone.hears(peer, alone.asks(), e=5, view=told["view"])
    assert [item.version for item in alone.taken] == [4] and alone.contact_probes.proof() is Proof.NONE


def test_an_open_vote_is_told_and_heeded_in_what_sidecars_are_told() -> None:
    alone = Alone()
    peer = alone.opens(Peer("c1", "c1.a"))
    alone.hears(peer, alone.asks())
    assert alone.contact_probes.holds_all()
    alone.open = 0.6
    assert not alone.contact_probes.holds_all() and alone.contact_probes.has_contact()
    alone.contact_probes.handle_frame(peer, {"t": "probe", "n": 7, "e": 4})
    assert peer.sent[-1]["o"] is True
    alone.open = 0.4
    alone.hears(peer, alone.asks(), o=True)
    assert not alone.contact_probes.holds_all() and alone.contact_probes.proof() is Proof.ORDERS


@pytest.mark.parametrize(
    "control", ["", "x" * 65, "10.0.0.9:8146\r\nset-cookie: a", "10.0.0.9/", "evil.example@10.0.0.9"]
)
def test_a_caller_is_sent_to_no_address_that_is_none(control: str) -> None:
    alone = Alone()
    good, bad = alone.opens(Peer("c1", "c1.a")), alone.opens(Peer("c2", "c2.a", control=control))
    number = alone.asks()
    alone.hears(bad, number)
    assert alone.contact_probes.redirect_address() == ""
    alone.hears(good, number)
    assert alone.contact_probes.redirect_address() == "10.0.0.9:8146"
    alone.now = 1.1
    assert alone.contact_probes.redirect_address() == ""


def test_what_changed_is_told_once_and_shown() -> None:
    alone = Alone()
    peer = alone.opens(Peer("c1", "c1.a"))
    alone.hears(peer, alone.asks())
    for alone.now in (0.1, 0.2, 1.3, 1.4):
        alone.contact_probes.tick(alone.now, alone.now)
    lines = [line.split(" ", 1)[1] for line in alone.log.getvalue().splitlines()]
    assert lines == [
        "I221 contact with most members proven without_ms=100",
        "W220 contact with most members lost heard=0 of=3",
    ]
    shown = alone.contact_probes.status()
    assert (shown["proof"], shown["for_ms"], shown["heard"]) == ("none", 100, {})


def test_what_cannot_be_read_raises_for_its_link_to_end() -> None:
    alone = Alone()
    peer = alone.opens(Peer("c1", "c1.a"))
    for head in ({"t": "probe"}, {"t": "probe", "n": "x", "e": 4}, {"t": "probed", "n": 1}):
        with pytest.raises((KeyError, ValueError)):
            alone.contact_probes.handle_frame(peer, head)
    assert not alone.contact_probes.handle_frame(peer, {"t": "pull"})
