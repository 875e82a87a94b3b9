"""Contact rests on replies to recent probes, and on nothing else."""

from __future__ import annotations

import pytest

from mesh.replication.membership_epochs import View
from mesh.replication.quorum import Place, Tolerance
from mesh.replication.quorum_contact import MAX_PROBES, ContactLevel, QuorumContact

ONE = Tolerance(1, 0, 0)
BOUND_S = 1.0


def view_of(count: int, epoch: int = 5) -> View:
    return View(epoch, {f"c{n}": Place(f"z{n}", "r") for n in range(count)})


class Prober:
    """The process c0 of a view, and the replies that it received."""

    def __init__(self, count: int = 3) -> None:
        self.contact, self.view = QuorumContact(BOUND_S), view_of(count)
        self.own: str | None = "c0"
        self.synced = set(self.view.members)

    def answers(
        self, at: float, *who: str, disk_complete: bool = True, epoch: int = 5, contact: bool = True
    ) -> None:
        number = self.contact.start_probe(at)
        for one in who:
            self.contact.record_reply(one, number, disk_complete, epoch, contact)

    def level(self, at: float, tolerance: Tolerance = ONE) -> ContactLevel:
        return self.contact.level(at, self.view, tolerance, self.own, self.synced)


def test_nothing_is_proven_before_anybody_answers_and_all_once_most_have() -> None:
    prober = Prober()
    assert prober.level(0.0) is ContactLevel.NONE
    prober.answers(0.0, "c1")
    assert prober.level(0.002) is ContactLevel.WRITES


def test_an_answer_counts_from_its_question_on_and_not_from_its_coming() -> None:
    prober = Prober()
    number = prober.contact.start_probe(0.0)
    assert prober.level(0.9) is ContactLevel.NONE
    prober.contact.record_reply("c1", number, True, 5, True)  # a slow reply
    assert prober.level(1.0) is ContactLevel.WRITES
    assert prober.level(1.001) is ContactLevel.NONE


def test_who_stood_still_and_reads_old_answers_has_none_until_it_is_answered_anew() -> None:
    prober = Prober()
    before = prober.contact.start_probe(0.0)
    prober.contact.record_reply("c1", before, True, 5, True)
    prober.contact.record_reply("c2", before, True, 5, True)  # read from a socket twenty seconds later
    assert prober.level(20.0) is ContactLevel.NONE
    prober.answers(20.0, "c2")
    assert prober.level(20.001) is ContactLevel.WRITES


def test_a_late_answer_does_not_make_a_newer_one_older() -> None:
    prober = Prober()
    first, second = prober.contact.start_probe(0.0), prober.contact.start_probe(0.8)
    prober.contact.record_reply("c1", second, True, 5, True)
    prober.contact.record_reply("c1", first, False, 4, False)
    assert prober.level(1.5) is ContactLevel.WRITES


def test_what_was_not_asked_proves_nothing_and_old_questions_are_forgotten() -> None:
    prober = Prober()
    prober.contact.record_reply("c1", 7, True, 5, True)
    assert prober.level(0.0) is ContactLevel.NONE
    first = prober.contact.start_probe(0.0)
    for _ in range(MAX_PROBES):
        prober.contact.start_probe(0.0)
    prober.contact.record_reply("c1", first, True, 5, True)
    assert prober.level(0.0) is ContactLevel.NONE


@pytest.mark.parametrize(
    "why", ["its disk is not complete", "its updates do not arrive here", "its link was lost"]
)
def test_who_answers_and_does_not_count(why: str) -> None:
    prober = Prober()
    prober.answers(0.0, "c1", disk_complete=why != "its disk is not complete")
    if why == "its updates do not arrive here":
        prober.synced.discard("c1")
    if why == "its link was lost":
        prober.contact.forget("c1")
    assert prober.level(0.0) is ContactLevel.NONE


def test_this_process_counts_only_with_a_whole_disk() -> None:
    prober = Prober()
    prober.own = None
    prober.answers(0.0, "c1")
    assert prober.level(0.0) is ContactLevel.NONE
    prober.answers(0.0, "c2")
    assert prober.level(0.0) is ContactLevel.WRITES


def test_answers_of_an_older_epoch_count_for_nothing() -> None:
    prober = Prober(5)
    prober.answers(0.0, "c1", "c2", "c3", "c4", epoch=4)
    assert prober.level(0.0) is ContactLevel.NONE
    prober.answers(0.1, "c1")
    assert prober.level(0.1) is ContactLevel.NONE
    prober.answers(0.1, "c2")
    assert prober.level(0.1) is ContactLevel.WRITES


def test_who_has_lately_heard_of_a_newer_epoch_has_no_contact_until_it_has_that_view() -> None:
    prober = Prober(5)
    prober.answers(0.0, "c1", "c2", "c3")
    prober.answers(0.1, "c4", epoch=6)
    assert prober.level(0.1) is ContactLevel.NONE
    prober.view = view_of(5, epoch=6)
    prober.answers(0.2, "c1", "c2", epoch=6)
    assert prober.level(0.2) is ContactLevel.WRITES


def test_half_of_an_even_view_may_read_and_takes_no_order() -> None:
    prober = Prober(4)
    prober.answers(0.0, "c1")
    assert prober.level(0.0) is ContactLevel.READS
    prober.answers(0.0, "c2")
    assert prober.level(0.0) is ContactLevel.WRITES
    alone = Prober(4)
    assert alone.level(0.0) is ContactLevel.NONE


def test_who_knows_of_a_vote_that_stays_open_proves_no_copy_whole() -> None:
    prober = Prober(4)
    number = prober.contact.start_probe(0.0)
    prober.contact.record_reply("c1", number, True, 5, True, no_open_votes=False)
    assert prober.level(0.0) is ContactLevel.READS  # it would be asked and report the vote
    assert (
        prober.contact.level(0.0, prober.view, ONE, "c0", prober.synced, no_open_votes=True)
        is ContactLevel.NONE
    )
    prober.answers(0.1, "c2")
    assert (
        prober.contact.level(0.1, prober.view, ONE, "c0", prober.synced, no_open_votes=True)
        is ContactLevel.READS
    )


def test_in_a_change_of_members_both_sides_are_asked_for() -> None:
    prober = Prober()
    old = {name: prober.view.members[name] for name in ("c0", "c1", "c2")}
    new = {f"d{n}": Place("", "") for n in range(3)}
    prober.view = View(5, new, old)
    prober.synced |= set(new)
    prober.answers(0.0, "c1", "c2")
    assert prober.level(0.0) is ContactLevel.NONE
    prober.answers(0.0, "d1", "d2")
    assert prober.level(0.0) is ContactLevel.WRITES


def test_zones_that_may_be_lost_are_asked_for_in_orders() -> None:
    prober = Prober(5)
    places = [Place("a", ""), Place("a", ""), Place("a", ""), Place("b", ""), Place("c", "")]
    prober.view = View(5, {f"c{n}": place for n, place in enumerate(places)})
    prober.answers(0.0, "c1", "c2")
    # All three are in a zone that may be lost
    assert prober.level(0.0, Tolerance(1, 1, 0)) is ContactLevel.READS
    prober.answers(0.0, "c3")
    assert prober.level(0.0, Tolerance(1, 1, 0)) is ContactLevel.WRITES


def test_nobody_is_no_contact() -> None:
    assert QuorumContact(BOUND_S).level(0.0, View(0, {}), ONE, "c0", ["c0"]) is ContactLevel.NONE


@pytest.mark.parametrize("stepped_s", [20.0, -20.0, 0.3])
def test_a_steady_clock_that_may_have_stopped_starts_anew(stepped_s: float) -> None:
    prober = Prober()
    assert not prober.contact.check_clocks(0.0, 1000.0)
    number = prober.contact.start_probe(0.0)
    prober.contact.record_reply("c1", number, True, 5, True)
    assert not prober.contact.check_clocks(0.1, 1000.1)
    assert prober.contact.check_clocks(0.2, 1000.2 + stepped_s)
    assert prober.level(0.2) is ContactLevel.NONE
    prober.contact.record_reply("c2", number, True, 5, True)  # probed before the step
    assert prober.level(0.2) is ContactLevel.NONE
    assert not prober.contact.check_clocks(0.3, 1000.3 + stepped_s)
    prober.answers(0.3, "c2")
    assert prober.level(0.3) is ContactLevel.WRITES


def test_clocks_that_part_slowly_cost_nothing() -> None:
    prober = Prober()
    for step in range(100):
        assert not prober.contact.check_clocks(step * 0.1, 1000.0 + step * 0.101)


def test_a_caller_is_sent_to_who_said_lately_that_it_has_contact_the_latest_first() -> None:
    prober = Prober(5)
    prober.answers(0.0, "c1")
    prober.answers(0.2, "c2")
    prober.answers(0.4, "c3", contact=False)
    assert prober.contact.members_with_contact(0.5) == ["c2", "c1"]
    assert prober.contact.members_with_contact(1.1) == ["c2"]
    assert prober.contact.members_with_contact(1.3) == []
