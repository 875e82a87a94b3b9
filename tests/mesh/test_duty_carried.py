"""The duty as one process carries it out, frame by frame, with a clock of the test's own."""

from __future__ import annotations

import asyncio
import io
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest

from mesh.cli import shape
from mesh.cli.mesh_snapshot import MeshSnapshot, Process
from mesh.control_plane.leases import ANSWER_TIMEOUT_S, LINK_ALIVE_S, MAX_DROPPED_NODES, NodeReaper
from mesh.data_plane.membership import CONTROLLER, INSTANCE, NODE, PROXY, Membership
from mesh.data_plane.peer_links import PeerLinks
from mesh.event_log.log import EventLog
from mesh.membership.failure_detection import MAX_QUERIED_NODES, silence_thresholds
from mesh.membership.lease import LEASE, REAPING, LeaseRecord, first_live
from mesh.replication.items import Item
from mesh.replication.store import Store

SPANS = silence_thresholds(3000.0, 1500.0)
CORES = [f"c{n}" for n in (1, 2, 3)]
ME = first_live(REAPING, CORES, CORES)
OTHERS = [name for name in CORES if name != ME]


class Alone:
    """One process's duties; ``sent`` has what it told each other control process."""

    def __init__(self, sides: int = 1) -> None:
        self.now = 0.0
        self.sent: dict[str, list[Any]] = {name: [] for name in OTHERS}
        self.membership_store, self.membership, self.log = Store("me", 20_000), Membership(), io.StringIO()
        self.channels = SimpleNamespace(open=[self.channel(name, CONTROLLER) for name in OTHERS])
        members = {f"ip-{name}": None for name in CORES}
        self.touch = True
        self.view = 3
        member_set: Any = SimpleNamespace(
            members=lambda: members, view=lambda: SimpleNamespace(epoch=self.view, names=frozenset(members))
        )
        channels: Any = self.channels
        self.node_reaper = NodeReaper(
            ME,
            f"ip-{ME}",
            SPANS,
            self.membership_store,
            self.membership,
            channels,
            member_set,
            lambda: self.touch,
            EventLog(ME, self.log),
            self.took,
        )
        loop: Any = SimpleNamespace(time=lambda: self.now)
        self.node_reaper._loop = loop
        self.node_reaper._next_check_at = self.node_reaper._started_at = 0.0
        self.node_reaper.tracker = type(self.node_reaper.tracker)(0.0)
        for name in CORES:
            self.node(name, CONTROLLER, f"ip-{name}")
        for at in range(sides):
            self.node(f"s{at}", PROXY, "10.0.1.1")

    def channel(self, node: str, role: str) -> Any:
        sent = self.sent.setdefault(node, [])
        link = SimpleNamespace(last_received_at=0.0, up_since=0.0, send=sent.append)
        return SimpleNamespace(
            node=node, peer_hello={"role": role, "ip": f"ip-{node}"}, peer_complete=True, link=link
        )

    def node(self, name: str, role: str, host: str, version: int = 1) -> None:
        value = {"address": f"{host}:7660", "role": role, "zone": "z"}
        self.took_all([(NODE, name, version, value)])

    def took_all(self, writes: list[Any]) -> None:
        taken = self.membership_store.write_all(writes)
        assert isinstance(taken, list)
        self.took(taken)

    def took(self, items: list[Item]) -> None:
        self.membership.apply(items)
        self.node_reaper.items_changed(items)

    def go_on(self, until: float, hear: Callable[[], None] = lambda: None) -> None:
        while self.now < until:
            self.now = round(self.now + 0.5, 3)
            for channel in self.channels.open:
                channel.link.last_received_at = self.now
            hear()
            self.node_reaper.tick(self.now)

    def hear(self, name: str, head: dict[str, Any]) -> bool:
        (channel,) = [one for one in self.channels.open if one.node == name]
        return self.node_reaper.handle_frame(channel, head)

    def answer(self, name: str, silent_s: float) -> None:
        question = questions(self, name)[-1]
        told = [silent_s] * len(question["nodes"])
        self.hear(name, {"t": "hears", "n": question["n"], "silent": told})

    @property
    def dropped(self) -> list[str]:
        return [i.name for i in self.membership_store.items.values() if i.kind == NODE and i.value is None]


def run(test: Callable[[], None]) -> None:
    async def inside() -> None:
        test()

    asyncio.run(inside())


def questions(alone: Alone, name: str) -> list[Any]:
    return [head for head in alone.sent[name] if head["t"] == "heard"]


def holder_with_query(sides: int = 1) -> Alone:
    """It has the duty and has asked for its silent nodes."""
    alone = Alone(sides)
    keep = [f"s{at}" for at in range(sides, 3 * sides)]
    for name in keep:
        alone.node(name, PROXY, "10.0.1.2")

    def hear() -> None:
        for name in keep:
            alone.node_reaper.tracker.note_contact(alone.now, name)

    alone.go_on(SPANS.gone_s + 1.0, hear)
    for name in OTHERS:
        assert alone.sent[name][-1]["nodes"] == sorted(f"s{at}" for at in range(sides))
        assert (alone.sent[name][-1]["epoch"], alone.sent[name][-1]["holder"]) == (1, ME)
    return alone


def test_nothing_is_dropped_before_all_that_were_asked_have_answered() -> None:
    def test() -> None:
        alone = holder_with_query()
        alone.answer(OTHERS[0], 60.0)
        alone.answer(OTHERS[0], 60.0)  # once more counts for nobody else
        assert alone.dropped == []
        alone.answer(OTHERS[1], SPANS.gone_s - 0.1)
        assert alone.dropped == []
        alone = holder_with_query()
        alone.took_all([(INSTANCE, "i", 7, {"plant": "p", "node": "s0", "zone": "z"})])
        for name in OTHERS:
            alone.answer(name, 60.0)
        assert alone.dropped == ["s0"] and alone.membership_store.items[INSTANCE, "i"].version == 8
        assert "I212 node given up peer=s0 silent_s=22 instances=1" in alone.log.getvalue()

    run(test)


def test_an_answer_that_is_late_out_of_place_or_unreadable_changes_nothing() -> None:
    def test() -> None:
        alone = holder_with_query()
        alone.answer(OTHERS[0], 60.0)
        alone.now += ANSWER_TIMEOUT_S + 0.1
        alone.answer(OTHERS[1], 60.0)
        assert alone.dropped == []
        alone = holder_with_query()
        number = alone.sent[OTHERS[0]][-1]["n"]
        for bad in ([60.0, 60.0], [], ["x"], None):
            with pytest.raises((ValueError, TypeError)):
                alone.hear(OTHERS[0], {"t": "hears", "n": number, "silent": bad})
        alone.hear(OTHERS[0], {"t": "hears", "n": number - 1, "silent": [60.0]})
        alone.answer(OTHERS[1], 60.0)
        assert alone.dropped == []

    run(test)


@pytest.mark.parametrize("overtaken", ["by a claim", "by an order", "by a refusal", "out of touch"])
def test_who_is_overtaken_or_out_of_touch_while_it_waits_drops_nothing(overtaken: str) -> None:
    def test() -> None:
        alone = holder_with_query()
        alone.answer(OTHERS[0], 60.0)
        if overtaken == "by a claim":
            alone.took_all([(LEASE, REAPING, 2, {"holder": OTHERS[1]})])
        elif overtaken == "by an order":
            order = {"n": 1, "duty": REAPING, "epoch": 2, "holder": OTHERS[1], "nodes": []}
            alone.hear(OTHERS[1], {"t": "heard", **order})
        elif overtaken == "by a refusal":
            alone.hear(OTHERS[0], {"t": "overtaken", "epoch": 2, "holder": OTHERS[1]})
        else:
            alone.touch = False
        alone.answer(OTHERS[1], 60.0)
        assert alone.dropped == []
        alone.go_on(alone.now + 1.0)
        assert "I602 duty left duty=reaping epoch=1" in alone.log.getvalue()
        assert alone.node_reaper.status() == {
            REAPING: {
                "epoch": 1 if overtaken == "out of touch" else 2,
                "holder": ME if overtaken == "out of touch" else OTHERS[1],
                "here": False,
            }
        }

    run(test)


def test_an_order_of_an_old_epoch_is_refused_with_the_newest() -> None:
    def test() -> None:
        alone = Alone()
        alone.go_on(5.0)
        alone.node_reaper.lease.note(5.0, LeaseRecord(6, OTHERS[1]))
        order = {"t": "heard", "n": 3, "duty": REAPING, "holder": OTHERS[0], "nodes": ["s0", "?"]}
        alone.hear(OTHERS[0], {**order, "epoch": 5})
        assert alone.sent[OTHERS[0]][-1] == {"t": "overtaken", "epoch": 6, "holder": OTHERS[1]}
        assert "W603 order of an old epoch refused duty=reaping epoch=5 newest=6" in alone.log.getvalue()
        alone.hear(OTHERS[0], {**order, "epoch": 7})
        assert alone.sent[OTHERS[0]][-1] == {
            "t": "hears",
            "n": 3,
            "silent": [4.5, 0.0],
            "linked": [None, None],
        }
        assert alone.node_reaper.lease.latest == LeaseRecord(7, OTHERS[0])
        for bad in (
            {"epoch": 0},
            {"duty": "other"},
            {"nodes": ["x"] * (MAX_QUERIED_NODES + 1)},
            {"holder": ""},
        ):
            with pytest.raises(ValueError):
                alone.hear(OTHERS[0], {**order, "epoch": 8, **bad})
        assert alone.node_reaper.lease.latest.epoch <= 8

    run(test)


def test_an_order_under_an_older_view_is_refused_and_drops_nothing() -> None:
    def test() -> None:
        alone = Alone()
        order = {"t": "heard", "n": 3, "duty": REAPING, "epoch": 1, "holder": OTHERS[0], "nodes": ["s0"]}
        alone.hear(OTHERS[0], {**order, "e": 2})
        assert alone.sent[OTHERS[0]][-1] == {"t": "overtaken", "epoch": 1, "holder": OTHERS[0]}
        for told in ({"e": 3}, {"e": 4}, {}):  # of this view, a newer one, a program that names none
            alone.hear(OTHERS[0], {**order, **told})
            assert alone.sent[OTHERS[0]][-1]["t"] == "hears"
        holder = holder_with_query()
        assert questions(holder, OTHERS[0])[-1]["e"] == 3
        holder.answer(OTHERS[0], 60.0)
        holder.hear(OTHERS[1], {"t": "overtaken", "epoch": 1, "holder": ME})  # it refused: nobody else has it
        assert holder.dropped == []

    run(test)


def test_what_another_heard_is_not_asked_for_again_until_its_silence_is_over() -> None:
    def test() -> None:
        alone = holder_with_query()
        before = len(questions(alone, OTHERS[0]))
        alone.answer(OTHERS[0], 0.0)
        alone.answer(OTHERS[1], 60.0)
        alone.go_on(alone.now + SPANS.gone_s - 1.0)
        assert len(questions(alone, OTHERS[0])) == before and alone.dropped == []
        alone.go_on(alone.now + 2.0)
        assert len(questions(alone, OTHERS[0])) == before + 1

    run(test)


def test_a_node_that_says_itself_anew_and_a_link_that_was_short_count_as_heard() -> None:
    def test() -> None:
        alone = Alone(2)
        alone.go_on(SPANS.gone_s - 0.5)
        alone.node("s0", PROXY, "10.0.1.1", version=2)
        gone: Any = alone.channel("s1", PROXY)
        gone.link.last_received_at = alone.now
        alone.node_reaper.link_closed(gone)
        alone.go_on(alone.now + SPANS.gone_s - 1.0)
        assert not questions(alone, OTHERS[0])
        alone.go_on(alone.now + 2.0)
        assert questions(alone, OTHERS[0])[0]["nodes"] == ["s0", "s1"]

    run(test)


@pytest.mark.parametrize("why", ["silent", "not whole"])
def test_one_that_is_silent_or_not_in_touch_itself_is_passed_over(why: str) -> None:
    def test() -> None:
        alone = Alone()
        alone.node_reaper.node = second = OTHERS[0]
        alone.node_reaper.lease._node = second
        alone.channels.open = [alone.channel(ME, CONTROLLER)]
        if why == "not whole":
            alone.channels.open[0].peer_complete = False
            alone.go_on(8.0)
        else:
            while alone.now < 8.0:
                alone.now += 0.5
                alone.channels.open[0].link.last_received_at = alone.now - LINK_ALIVE_S - 0.1
                alone.node_reaper.tick(alone.now)
        assert alone.membership_store.items[LEASE, REAPING].value == {"holder": second}

    run(test)


def test_so_many_are_dropped_at_once_and_the_rest_later() -> None:
    def test() -> None:
        alone = holder_with_query(MAX_DROPPED_NODES + 50)
        for name in OTHERS:
            alone.answer(name, 60.0)
        assert len(alone.dropped) == MAX_DROPPED_NODES
        keep = [name for name in alone.membership.nodes if int(name[1:]) >= MAX_DROPPED_NODES + 50]

        def hear() -> None:
            for name in keep:
                alone.node_reaper.tracker.note_contact(alone.now, name)

        alone.go_on(alone.now + 3.0, hear)
        for name in OTHERS:
            alone.answer(name, 60.0)
        assert len(alone.dropped) == MAX_DROPPED_NODES + 50

    run(test)


def test_a_node_that_is_forgotten_keeps_its_link_till_its_calls_are_answered() -> None:
    def test() -> None:
        none: Any = None
        peer_links = PeerLinks("me", none, none, none)
        left: list[str] = []
        link: Any = SimpleNamespace(
            open_calls={1: "call"},
            to_query={2: "call"},  # to be asked after over its next link
            address=("h", 1),
            retire=lambda: left.append("n"),
            tick=lambda now: None,
        )
        peer_links._links["n"] = link
        peer_links.forget("n")
        peer_links.forget("unknown")
        peer_links.tick(0.0)
        assert left == [] and "n" in peer_links._links
        link.open_calls.clear()
        peer_links.tick(0.05)
        assert left == [] and "n" in peer_links._links
        link.to_query.clear()
        peer_links.tick(0.1)
        assert left == ["n"] and not peer_links._links and not peer_links._retiring
        peer_links._links["n"] = link
        peer_links.forget("n")
        assert left == ["n", "n"] and not peer_links._links

    run(test)


def test_status_shows_the_highest_claim_that_any_control_process_knows() -> None:
    def core(name: str, **told: Any) -> Process:
        return Process(name, (name, 1), {"node": name, "role": CONTROLLER, **told})

    old, new = ({REAPING: {"epoch": epoch, "holder": f"c{epoch}", "here": True}} for epoch in (3, 12))
    view = MeshSnapshot(
        (core("c1", duties=new), core("c2", duties=old), core("c3"), core("c4", duties={REAPING: 7}))
    )
    assert shape.lease_lines(view) == ["leases      reaping by c12, epoch 12"]
    assert shape.lease_lines(view)[0] in shape.status_lines(view, [])
    nobody = {REAPING: {"epoch": 0, "holder": "", "here": False}}
    assert shape.lease_lines(MeshSnapshot((core("c1", duties=nobody),))) == []
