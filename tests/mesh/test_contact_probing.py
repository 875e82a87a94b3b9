"""Contact probes and their answers, frame by frame, with a simulated clock."""

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
from mesh.replication.quorum_contact import ContactLevel


@dataclass(eq=False)
class Peer:
    """A fake peer link with what `ContactProbes` uses of one."""

    ip: str
    peer_source: str
    control: str = "10.0.0.9:8146"
    role: str = CONTROLLER
    sent: list[Any] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.peer_hello = {"ip": self.ip, "role": self.role, "control": self.control}
        self.exchange = SimpleNamespace(pull_complete=True)
        self.link = SimpleNamespace(send=self.sent.append)


class ProbesRig:
    """`ContactProbes` of one control process with fake collaborators."""

    def __init__(self, epoch: int = 4) -> None:
        self.now, self.whole, self.open_vote_s = 0.0, True, 0.0
        self.view, self.applied, self.log = self.view_of(epoch), list[Any](), io.StringIO()
        self.scheduled: list[Any] = []

        def call_later(after_s: float, call: Any) -> object:
            assert after_s == PROBE_DELAY_S
            self.scheduled.append(call)
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
            lambda items, _: self.applied.extend(items),
            lambda: self.open_vote_s,
            EventLog("c0", self.log),
        )

    def view_of(self, epoch: int) -> View:
        return View(epoch, {f"c{n}": Place("", "") for n in range(3)})

    def open_link(self, peer: Any) -> Any:
        self.contact_probes.link_opened(peer)
        return peer

    def send_probes(self) -> int:
        self.contact_probes._send_probes()
        return self.contact_probes.contact._count

    def receive_answer(self, peer: Any, number: int, **fields: Any) -> bool:
        return self.contact_probes.handle_frame(
            peer, {"t": "probed", "n": number, "e": 4, "w": True, "c": True, **fields}
        )


def test_links_that_come_up_are_asked_together_and_at_once() -> None:
    rig = ProbesRig()
    one, two = rig.open_link(Peer("c1", "c1.a")), rig.open_link(Peer("c2", "c2.a"))
    again = rig.open_link(Peer("c1", "c1.a"))  # a second link between the same processes
    assert len(rig.scheduled) == 1 and not one.sent
    rig.scheduled[0]()
    assert two.sent == [{"t": "probe", "n": 1, "e": 4}] and len(one.sent) + len(again.sent) == 1


def test_sidecars_and_the_process_itself_are_neither_asked_nor_heard() -> None:
    rig = ProbesRig()
    side, me = rig.open_link(Peer("10.9", "s", role=PROXY)), rig.open_link(Peer("c0", "c0.b"))
    assert not rig.scheduled
    rig.send_probes()
    assert not side.sent and not me.sent
    assert not rig.contact_probes.handle_frame(side, {"t": "probed", "n": 1, "e": 4, "w": True})


def test_an_answer_of_a_life_that_ended_counts_for_nothing() -> None:
    rig = ProbesRig()
    old = rig.open_link(Peer("c1", "c1.a"))
    number = rig.send_probes()
    rig.receive_answer(old, number)
    assert rig.contact_probes.level() is ContactLevel.WRITES
    new = rig.open_link(Peer("c1", "c1.b"))
    assert rig.contact_probes.level() is ContactLevel.NONE  # it may have another disk
    rig.receive_answer(old, rig.send_probes())
    assert rig.contact_probes.level() is ContactLevel.NONE
    rig.receive_answer(new, rig.send_probes())
    assert rig.contact_probes.level() is ContactLevel.WRITES
    rig.contact_probes.link_closed(old)
    assert rig.contact_probes.level() is ContactLevel.WRITES
    rig.contact_probes.link_closed(new)
    assert rig.contact_probes.level() is ContactLevel.NONE
    assert not rig.contact_probes.contact.valid_replies(0.0)  # nothing is kept of peers that are gone


def test_who_asks_under_an_older_view_is_told_the_newer_one_and_takes_it() -> None:
    rig = ProbesRig()
    peer = rig.open_link(Peer("c1", "c1.a"))
    rig.contact_probes.handle_frame(peer, {"t": "probe", "n": 7, "e": 3})
    answer = peer.sent[-1]
    assert (answer["t"], answer["n"], answer["e"], answer["w"], answer["c"]) == ("probed", 7, 4, True, False)
    assert answer["view"] == [["view", "members", 4, {}, "s", 1]]
    rig.contact_probes.handle_frame(peer, {"t": "probe", "n": 8, "e": 4})
    assert "view" not in peer.sent[-1]
    rig.receive_answer(peer, rig.send_probes(), e=5, view=answer["view"])
    assert [item.version for item in rig.applied] == [4] and rig.contact_probes.level() is ContactLevel.NONE


def test_an_open_vote_is_told_and_heeded_in_what_sidecars_are_told() -> None:
    rig = ProbesRig()
    peer = rig.open_link(Peer("c1", "c1.a"))
    rig.receive_answer(peer, rig.send_probes())
    assert rig.contact_probes.holds_all()
    rig.open_vote_s = 0.6
    assert not rig.contact_probes.holds_all() and rig.contact_probes.has_contact()
    rig.contact_probes.handle_frame(peer, {"t": "probe", "n": 7, "e": 4})
    assert peer.sent[-1]["o"] is True
    rig.open_vote_s = 0.4
    rig.receive_answer(peer, rig.send_probes(), o=True)
    assert not rig.contact_probes.holds_all() and rig.contact_probes.level() is ContactLevel.WRITES


@pytest.mark.parametrize(
    "control", ["", "x" * 65, "10.0.0.9:8146\r\nset-cookie: a", "10.0.0.9/", "evil.example@10.0.0.9"]
)
def test_a_caller_is_sent_to_no_address_that_is_none(control: str) -> None:
    rig = ProbesRig()
    good, bad = rig.open_link(Peer("c1", "c1.a")), rig.open_link(Peer("c2", "c2.a", control=control))
    number = rig.send_probes()
    rig.receive_answer(bad, number)
    assert rig.contact_probes.redirect_address() == ""
    rig.receive_answer(good, number)
    assert rig.contact_probes.redirect_address() == "10.0.0.9:8146"
    rig.now = 1.1
    assert rig.contact_probes.redirect_address() == ""


def test_what_changed_is_told_once_and_shown() -> None:
    rig = ProbesRig()
    peer = rig.open_link(Peer("c1", "c1.a"))
    rig.receive_answer(peer, rig.send_probes())
    for rig.now in (0.1, 0.2, 1.3, 1.4):
        rig.contact_probes.tick(rig.now, rig.now)
    lines = [line.split(" ", 1)[1] for line in rig.log.getvalue().splitlines()]
    assert lines == [
        "I221 contact with most members proven without_ms=100",
        "W220 contact with most members lost heard=0 of=3",
    ]
    status = rig.contact_probes.status()
    assert (status["proof"], status["for_ms"], status["heard"]) == ("none", 100, {})


def test_what_cannot_be_read_raises_for_its_link_to_end() -> None:
    rig = ProbesRig()
    peer = rig.open_link(Peer("c1", "c1.a"))
    for head in ({"t": "probe"}, {"t": "probe", "n": "x", "e": 4}, {"t": "probed", "n": 1}):
        with pytest.raises((KeyError, ValueError)):
            rig.contact_probes.handle_frame(peer, head)
    assert not rig.contact_probes.handle_frame(peer, {"t": "pull"})
