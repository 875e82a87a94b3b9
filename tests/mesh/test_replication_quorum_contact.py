"""Contact is what was answered of what was asked lately, and nothing else."""

from __future__ import annotations

import pytest

from mesh.replication.membership_epochs import View
from mesh.replication.quorum import Place, Tolerance
from mesh.replication.quorum_contact import MAX_PROBES, Proof, QuorumContact

ONE = Tolerance(1, 0, 0)
BOUND_S = 1.0


def view_of(count: int, epoch: int = 5) -> View:
    return View(epoch, {f"c{n}": Place(f"z{n}", "r") for n in range(count)})


class Seen:
    """One process, c0, of a view, and who has answered it."""

    def __init__(self, count: int = 3) -> None:
        self.contact, self.view = QuorumContact(BOUND_S), view_of(count)
        self.own: str | None = "c0"
        self.flowing = set(self.view.members)

    def answers(self, at: float, *who: str, whole: bool = True, epoch: int = 5, contact: bool = True) -> None:
        number = self.contact.start_probe(at)
        for one in who:
            self.contact.record_reply(one, number, whole, epoch, contact)

    def proof(self, at: float, tolerance: Tolerance = ONE) -> Proof:
        return self.contact.proof(at, self.view, tolerance, self.own, self.flowing)


def test_nothing_is_proven_before_anybody_answers_and_all_once_most_have() -> None:
    seen = Seen()
    assert seen.proof(0.0) is Proof.NONE
    seen.answers(0.0, "c1")
    assert seen.proof(0.002) is Proof.ORDERS


def test_an_answer_counts_from_its_question_on_and_not_from_its_coming() -> None:
    seen = Seen()
    number = seen.contact.start_probe(0.0)
    assert seen.proof(0.9) is Proof.NONE
    seen.contact.record_reply("c1", number, True, 5, True)  # it was slow on its way
    assert seen.proof(1.0) is Proof.ORDERS
    assert seen.proof(1.001) is Proof.NONE


def test_who_stood_still_and_reads_old_answers_has_none_until_it_is_answered_anew() -> None:
    seen = Seen()
    before = seen.contact.start_probe(0.0)
    seen.contact.record_reply("c1", before, True, 5, True)
    seen.contact.record_reply("c2", before, True, 5, True)  # read from a socket, twenty seconds later
    assert seen.proof(20.0) is Proof.NONE
    seen.answers(20.0, "c2")
    assert seen.proof(20.001) is Proof.ORDERS


def test_a_late_answer_does_not_make_a_newer_one_older() -> None:
    seen = Seen()
    first, second = seen.contact.start_probe(0.0), seen.contact.start_probe(0.8)
    seen.contact.record_reply("c1", second, True, 5, True)
    seen.contact.record_reply("c1", first, False, 4, False)
    assert seen.proof(1.5) is Proof.ORDERS


def test_what_was_not_asked_proves_nothing_and_old_questions_are_forgotten() -> None:
    seen = Seen()
    seen.contact.record_reply("c1", 7, True, 5, True)
    assert seen.proof(0.0) is Proof.NONE
    first = seen.contact.start_probe(0.0)
    for _ in range(MAX_PROBES):
        seen.contact.start_probe(0.0)
    seen.contact.record_reply("c1", first, True, 5, True)
    assert seen.proof(0.0) is Proof.NONE


@pytest.mark.parametrize("why", ["its disk is not whole", "its news does not come here", "its link was lost"])
def test_who_answers_and_does_not_count(why: str) -> None:
    seen = Seen()
    seen.answers(0.0, "c1", whole=why != "its disk is not whole")
    if why == "its news does not come here":
        seen.flowing.discard("c1")
    if why == "its link was lost":
        seen.contact.forget("c1")
    assert seen.proof(0.0) is Proof.NONE


def test_this_process_counts_only_with_a_whole_disk() -> None:
    seen = Seen()
    seen.own = None
    seen.answers(0.0, "c1")
    assert seen.proof(0.0) is Proof.NONE
    seen.answers(0.0, "c2")
    assert seen.proof(0.0) is Proof.ORDERS


def test_answers_of_an_older_epoch_count_for_nothing() -> None:
    seen = Seen(5)
    seen.answers(0.0, "c1", "c2", "c3", "c4", epoch=4)
    assert seen.proof(0.0) is Proof.NONE
    seen.answers(0.1, "c1")
    assert seen.proof(0.1) is Proof.NONE
    seen.answers(0.1, "c2")
    assert seen.proof(0.1) is Proof.ORDERS


def test_who_has_lately_heard_of_a_newer_epoch_has_no_contact_until_it_has_that_view() -> None:
    seen = Seen(5)
    seen.answers(0.0, "c1", "c2", "c3")
    seen.answers(0.1, "c4", epoch=6)
    assert seen.proof(0.1) is Proof.NONE
    seen.view = view_of(5, epoch=6)
    seen.answers(0.2, "c1", "c2", epoch=6)
    assert seen.proof(0.2) is Proof.ORDERS


def test_half_of_an_even_view_may_read_and_takes_no_order() -> None:
    seen = Seen(4)
    seen.answers(0.0, "c1")
    assert seen.proof(0.0) is Proof.READS
    seen.answers(0.0, "c2")
    assert seen.proof(0.0) is Proof.ORDERS
    less = Seen(4)
    assert less.proof(0.0) is Proof.NONE


def test_who_knows_of_a_vote_that_stays_open_proves_no_copy_whole() -> None:
    seen = Seen(4)
    number = seen.contact.start_probe(0.0)
    seen.contact.record_reply("c1", number, True, 5, True, no_open_votes=False)
    assert seen.proof(0.0) is Proof.READS  # it would be asked, and tell of the vote
    assert seen.contact.proof(0.0, seen.view, ONE, "c0", seen.flowing, no_open_votes=True) is Proof.NONE
    seen.answers(0.1, "c2")
    assert seen.contact.proof(0.1, seen.view, ONE, "c0", seen.flowing, no_open_votes=True) is Proof.READS


def test_in_a_change_of_members_both_sides_are_asked_for() -> None:
    seen = Seen()
    old = {name: seen.view.members[name] for name in ("c0", "c1", "c2")}
    new = {f"d{n}": Place("", "") for n in range(3)}
    seen.view = View(5, new, old)
    seen.flowing |= set(new)
    seen.answers(0.0, "c1", "c2")
    assert seen.proof(0.0) is Proof.NONE
    seen.answers(0.0, "d1", "d2")
    assert seen.proof(0.0) is Proof.ORDERS


def test_zones_that_may_be_lost_are_asked_for_in_orders() -> None:
    seen = Seen(5)
    places = [Place("a", ""), Place("a", ""), Place("a", ""), Place("b", ""), Place("c", "")]
    seen.view = View(5, {f"c{n}": place for n, place in enumerate(places)})
    seen.answers(0.0, "c1", "c2")
    assert seen.proof(0.0, Tolerance(1, 1, 0)) is Proof.READS  # all three in the zone that may go
    seen.answers(0.0, "c3")
    assert seen.proof(0.0, Tolerance(1, 1, 0)) is Proof.ORDERS


def test_nobody_is_no_contact() -> None:
    assert QuorumContact(BOUND_S).proof(0.0, View(0, {}), ONE, "c0", ["c0"]) is Proof.NONE


@pytest.mark.parametrize("stepped_s", [20.0, -20.0, 0.3])
def test_a_steady_clock_that_may_have_stopped_starts_anew(stepped_s: float) -> None:
    seen = Seen()
    assert not seen.contact.check_clocks(0.0, 1000.0)
    number = seen.contact.start_probe(0.0)
    seen.contact.record_reply("c1", number, True, 5, True)
    assert not seen.contact.check_clocks(0.1, 1000.1)
    assert seen.contact.check_clocks(0.2, 1000.2 + stepped_s)
    assert seen.proof(0.2) is Proof.NONE
    seen.contact.record_reply("c2", number, True, 5, True)  # asked before it
    assert seen.proof(0.2) is Proof.NONE
    assert not seen.contact.check_clocks(0.3, 1000.3 + stepped_s)
    seen.answers(0.3, "c2")
    assert seen.proof(0.3) is Proof.ORDERS


def test_clocks_that_part_slowly_cost_nothing() -> None:
    seen = Seen()
    for step in range(100):
        assert not seen.contact.check_clocks(step * 0.1, 1000.0 + step * 0.101)


def test_a_caller_is_sent_to_who_said_lately_that_it_has_contact_the_latest_first() -> None:
    seen = Seen(5)
    seen.answers(0.0, "c1")
    seen.answers(0.2, "c2")
    seen.answers(0.4, "c3", contact=False)
    assert seen.contact.members_with_contact(0.5) == ["c2", "c1"]
    assert seen.contact.members_with_contact(1.1) == ["c2"]
    assert seen.contact.members_with_contact(1.3) == []
