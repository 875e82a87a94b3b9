"""The acceptor and the proposer of one slot: refusals, kept votes, and outcomes."""

from __future__ import annotations

import pytest

from mesh.replication import acceptor as acceptor_module
from mesh.replication.acceptor import (
    MAX_PAST_DIGESTS,
    ROUND_BLOCK,
    Acceptor,
    Ballot,
    Decision,
    Forgotten,
    Promised,
    Refusal,
    Slot,
    Value,
    Vote,
    digest_of,
)
from mesh.replication.membership_epochs import View
from mesh.replication.proposer import Accept, Chosen, Conflict, Decided, Proposer, Retry, Unresolved
from mesh.replication.quorum import Place, Tolerance

ONE: Slot = ("route", "a", 5)
TWO: Slot = ("route", "b", 1)
X: Value = {"x": 1}
Y: Value = {"y": 1}
LOSS = Tolerance(1, 0, 0)


def view(*names: str) -> View:
    return View(1, {name: Place("z", "r") for name in names})


def acceptor(name: str = "a", floor: int = 0) -> Acceptor:
    found = Acceptor(name, floor)
    found.set_ceiling(found.required_ceiling(floor + 1))
    return found


def cores(count: int) -> dict[str, Acceptor]:
    return {name: acceptor(name) for name in "abcde"[:count]}


def play(proposer: Proposer, acceptors: dict[str, Acceptor], members: View, round: int = 1) -> object:
    """Runs ballots until there is an outcome; chosen values are learned by all that accepted them."""
    for number in range(round, round + 4):
        step: object = None
        request = proposer.prepare(number, members)
        for name, one in acceptors.items():
            answer = one.promise(request.ballot, request.slots)
            step = (
                proposer.refused(name, request.ballot, answer)
                if isinstance(answer, Refusal)
                else proposer.promised(name, request.epoch, request.ballot, answer)
            )
            if step is not None:
                break
        if isinstance(step, Accept):
            accepted = [
                name
                for name, one in acceptors.items()
                if not isinstance(one.accept(step.ballot, step.generations, step.writes, step.tags), Refusal)
            ]
            if any([proposer.accepted(name, step.epoch, step.ballot) for name in accepted]):
                for learner in acceptors.values():
                    for slot, value in learner.votes_under(step.ballot).items():
                        learner.learn(slot, value)
            step = proposer.outcome()
        if step is not None and not isinstance(step, Retry):
            return step
    return None


# The acceptor


def test_a_promise_refuses_lower_ballots_of_that_number_alone() -> None:
    one = acceptor()
    assert isinstance(one.promise(Ballot(7, "p"), [ONE]), Promised)
    assert one.promise(Ballot(6, "q"), [ONE]) == Refusal(7, "overtaken by a higher ballot")
    assert isinstance(one.accept(Ballot(7, "o"), {}, {ONE: X}), Refusal)
    assert one.accept(Ballot(6, "q"), {}, {TWO: X}) == [TWO]
    assert one.accept(Ballot(7, "p"), {}, {ONE: X}) == [ONE]
    assert one.promise(Ballot(8, "q"), [ONE]) == Promised({ONE: Vote(Ballot(7, "p"), X)}, 0)
    assert isinstance(one.accept(Ballot(7, "p"), {}, {ONE: X}), Refusal)


def test_all_of_an_order_is_accepted_or_none_of_it() -> None:
    one = acceptor()
    one.promise(Ballot(9, "q"), [TWO])
    assert isinstance(one.accept(Ballot(7, "p"), {}, {ONE: X, TWO: X}), Refusal)
    assert not one.votes
    one.learn(TWO, Y)
    assert one.accept(Ballot(9, "q"), {}, {ONE: X, TWO: X}) == Refusal(0, "decided otherwise")
    assert not one.votes
    assert one.accept(Ballot(9, "q"), {}, {ONE: X, TWO: Y}) == [ONE]  # an equal decision needs no vote


def test_a_round_above_the_ceiling_is_not_promised_and_the_next_life_refuses_all_up_to_it() -> None:
    one = Acceptor("a")
    assert one.promise(Ballot(1, "p"), [ONE]) == Refusal(0, "the ceiling on disk is lower")
    one.set_ceiling(one.required_ceiling(1))
    assert (
        one.ceiling == ROUND_BLOCK
        and one.required_ceiling(ROUND_BLOCK) == 0
        and one.required_ceiling(ROUND_BLOCK + 1) == 2 * ROUND_BLOCK
    )
    assert isinstance(one.promise(Ballot(5, "p"), [ONE]), Promised)
    after = Acceptor("a", one.ceiling)
    after.votes = dict(one.votes)
    assert after.accept(Ballot(4, "o"), {}, {ONE: X}) == Refusal(ROUND_BLOCK, "below the floor", False)
    assert after.highest_round() == ROUND_BLOCK


def test_a_full_table_of_promises_raises_the_floor(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(acceptor_module, "MAX_PROMISES", 3)
    one = acceptor()
    for round in range(1, 6):
        one.promise(Ballot(round, "p"), [("route", f"r{round}", 1)])
    assert len(one.promises) == 3 and one.floor == 2
    assert isinstance(one.accept(Ballot(1, "p"), {}, {("route", "r1", 1): X}), Refusal)
    assert one.accept(Ballot(3, "p"), {}, {("route", "r3", 1): X}) == [("route", "r3", 1)]


def test_a_full_table_of_votes_takes_no_more_until_one_is_decided(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(acceptor_module, "MAX_VOTES", 1)
    one = acceptor()
    one.accept(Ballot(1, "p"), {}, {ONE: X})
    assert one.accept(Ballot(2, "p"), {}, {TWO: X}) == Refusal(0, "1 votes are open")
    assert one.accept(Ballot(2, "p"), {}, {ONE: X}) == [ONE]
    assert one.learn(ONE, X)
    assert one.accept(Ballot(2, "p"), {}, {TWO: X}) == [TWO]


def test_overtaken_versions_are_known_by_their_digests_up_to_a_bound() -> None:
    one = acceptor()
    for version in range(MAX_PAST_DIGESTS + 2):
        one.learn(("route", "a", version), {"v": version})
    assert len(one.past_digests["route", "a"]) == MAX_PAST_DIGESTS
    assert one.state(("route", "a", MAX_PAST_DIGESTS)) == Decision(digest_of({"v": MAX_PAST_DIGESTS}))
    assert one.state(("route", "a", 1)) == Decision(digest_of({"v": 1}))
    assert one.state(("route", "a", 0)) == Forgotten()
    assert isinstance(one.accept(Ballot(1, "p"), {}, {("route", "a", 0): X}), Refusal)


def test_a_late_version_is_voted_on_and_enters_the_past() -> None:
    one = acceptor()
    one.learn(("route", "a", 7), X)
    assert one.state(ONE) is None
    assert one.accept(Ballot(1, "p"), {}, {ONE: Y}) == [ONE]
    assert one.learn(ONE, Y) and one.decided["route", "a"] == (7, X)
    assert one.state(ONE) == Decision(digest_of(Y))


def test_what_others_know_ends_a_vote_that_came_to_nothing() -> None:
    one = acceptor()
    one.accept(Ballot(1, "p"), {}, {ONE: Y, TWO: Y})
    assert not one.learn_state(ONE, Decision("d"))  # its item has not arrived yet
    one.learn(("route", "a", 7), X)
    assert one.learn_state(ONE, Decision("d")) and one.state(ONE) == Decision("d")
    assert one.learn_state(TWO, Forgotten()) and one.state(TWO) == Forgotten()
    assert not one.votes and not one.learn_state(ONE, Decision("d"))


def test_a_forgotten_drop_is_known_to_be_older() -> None:
    one = Acceptor("a", 0, lambda key: 6)
    assert one.state(ONE) == Forgotten()
    one.learn(("route", "a", 7), X)
    one.forget(("route", "a"))
    assert one.state(("route", "a", 7)) is None and not one.decided


def test_a_fence_refuses_rounds_and_promises_of_the_disk_that_was_lost() -> None:
    one = acceptor()
    one.promise(Ballot(3, "p"), [ONE])
    one.fence(9, "b", 1)
    assert one.ceiling == ROUND_BLOCK and one.floor == 9
    assert isinstance(one.accept(Ballot(9, "p"), {}, {ONE: X}), Refusal)
    assert one.accept(Ballot(10, "p"), {"b": 0}, {ONE: X}) == Refusal(0, "a disk was lost since its promise")
    assert one.accept(Ballot(10, "p"), {"b": 1, "c": 0}, {ONE: X}) == [ONE]
    one.fence(2 * ROUND_BLOCK, "a", 1)
    assert one.ceiling == one.floor == 2 * ROUND_BLOCK
    assert one.generations == {"a": 1, "b": 1}


# The proposer


def test_an_order_without_a_rival_is_decided_by_a_quorum() -> None:
    acceptors = cores(3)
    del acceptors["c"]
    assert play(Proposer("p", {ONE: X, TWO: None}, LOSS), acceptors, view("a", "b", "c")) == Decided()
    assert all(one.decided["route", "b"] == (1, None) and not one.votes for one in acceptors.values())


def test_the_same_order_sent_again_is_decided_and_another_content_is_rivalled() -> None:
    acceptors, members = cores(3), view("a", "b", "c")
    assert play(Proposer("p", {ONE: X}, LOSS), acceptors, members) == Decided()
    assert play(Proposer("q", {ONE: X}, LOSS), acceptors, members, 2) == Decided()
    assert play(Proposer("q", {ONE: Y}, LOSS), acceptors, members, 3) == Conflict(ONE)
    assert play(Proposer("q", {ONE: None}, LOSS), acceptors, members, 4) == Conflict(ONE)
    assert play(Proposer("q", {("route", "a", 6): Y}, LOSS), acceptors, members, 5) == Decided()
    assert (
        play(Proposer("q", {ONE: X}, LOSS), acceptors, members, 6) == Decided()
    )  # superseded after it was decided
    assert play(Proposer("q", {ONE: Y}, LOSS), acceptors, members, 7) == Conflict(ONE)


def test_a_proposer_takes_up_the_content_of_the_highest_ballot() -> None:
    acceptors, members = cores(3), view("a", "b", "c")
    acceptors["a"].accept(Ballot(3, "o"), {}, {ONE: X})
    acceptors["b"].accept(Ballot(2, "o"), {}, {ONE: Y})
    assert play(Proposer("p", {ONE: Y}, LOSS), acceptors, members, 4) == Conflict(ONE)
    assert all(one.decided["route", "a"] == (5, X) for one in acceptors.values())


def test_a_rival_that_is_open_is_decided_alone() -> None:
    acceptors, members = cores(3), view("a", "b", "c")
    acceptors["a"].accept(Ballot(1, "o"), {}, {ONE: X})
    proposer = Proposer("p", {ONE: Y, TWO: Y}, LOSS)
    assert play(proposer, acceptors, members, 2) == Conflict(ONE)
    assert all(("route", "b") not in one.decided and not one.votes for one in acceptors.values())


def test_an_order_of_several_is_rivalled_only_once_all_say_that_they_hold_none_of_it() -> None:
    acceptors, members = cores(3), view("a", "b", "c")
    for one in acceptors.values():
        one.learn(ONE, X)
    some = {name: acceptors[name] for name in "ab"}
    proposer = Proposer("p", {ONE: Y, TWO: Y}, LOSS)
    assert play(proposer, some, members) is None
    assert isinstance(proposer.timed_out(), Unresolved)
    assert play(Proposer("p", {ONE: Y, TWO: Y}, LOSS), acceptors, members, 9) == Conflict(ONE)
    tag = Proposer("o", {ONE: Y, TWO: Y}, LOSS)._tag
    acceptors["c"].accept(Ballot(20, "o"), {}, {TWO: Y})  # in another batch
    assert play(Proposer("p", {ONE: Y, TWO: Y}, LOSS), acceptors, members, 30) == Conflict(ONE)
    acceptors["c"].accept(Ballot(40, "o"), {}, {TWO: Y}, {TWO: tag})
    outcome = play(Proposer("p", {ONE: Y, TWO: Y}, LOSS), acceptors, members, 50)
    assert isinstance(outcome, Unresolved) and "route 'a' r5" in outcome.reason


def test_a_part_that_was_decided_with_an_order_stays_known_and_one_of_another_order_does_not_count() -> None:
    acceptors, members = cores(3), view("a", "b", "c")
    batch = {ONE: Y, TWO: Y}
    tag = Proposer("o", batch, LOSS)._tag
    acceptors["a"].accept(Ballot(1, "o"), {}, batch, dict.fromkeys(batch, tag))
    for one in acceptors.values():
        one.learn(ONE, X)
    assert play(Proposer("a", {TWO: None}, LOSS, adopts=True), acceptors, members, 2) == Decided()
    assert isinstance(play(Proposer("p", batch, LOSS), acceptors, members, 3), Unresolved)
    for one in acceptors.values():
        one.learn(("route", "b", 2), X)  # superseded and still known
    assert isinstance(play(Proposer("p", batch, LOSS), acceptors, members, 5), Unresolved)
    other = {ONE: Y, ("route", "b", 2): X}
    assert play(Proposer("p", other, LOSS), acceptors, members, 7) == Conflict(ONE)


def test_an_order_that_lost_all_its_numbers_is_rivalled() -> None:
    acceptors, members = cores(3), view("a", "b", "c")
    for one in acceptors.values():
        one.learn(ONE, X)
        one.learn(TWO, X)
    assert play(Proposer("p", {ONE: Y, TWO: Y}, LOSS), acceptors, members) == Conflict(ONE)


def test_a_forgotten_version_is_left_without_a_clear_answer() -> None:
    acceptors, members = cores(3), view("a", "b", "c")
    acceptors["a"].unknown_up_to["route", "a"] = 5
    assert isinstance(play(Proposer("p", {ONE: Y}, LOSS), acceptors, members), Unresolved)


def test_open_votes_are_brought_to_their_decision_whatever_it_is() -> None:
    acceptors, members = cores(3), view("a", "b", "c")
    acceptors["a"].accept(Ballot(2, "o"), {}, {ONE: X, TWO: X})
    acceptors["b"].accept(Ballot(3, "q"), {}, {ONE: Y})
    opened = dict.fromkeys([*acceptors["a"].votes, ("route", "c", 9)])  # nothing is known of the last
    assert play(Proposer("a", opened, LOSS, adopts=True), acceptors, members, 4) == Decided()
    for one in acceptors.values():
        assert one.decided == {("route", "a"): (5, Y), ("route", "b"): (1, X)} and not one.votes


def test_answers_of_another_epoch_or_ballot_count_for_nothing() -> None:
    members = view("a", "b", "c")
    proposer = Proposer("p", {ONE: X}, LOSS)
    request = proposer.prepare(3, members)
    assert proposer.promised("a", 1, Ballot(2, "p"), Promised({}, 0)) is None
    assert proposer.promised("b", 0, request.ballot, Promised({}, 0)) is None
    assert proposer.promised("d", 1, request.ballot, Promised({}, 0)) is None  # not a member
    assert proposer.promised("a", 1, request.ballot, Promised({}, 0)) is None
    step = proposer.promised("b", 1, request.ballot, Promised({}, 2))
    assert isinstance(step, Accept) and step.generations == {"d": 0, "a": 0, "b": 2}
    assert proposer.accepted("a", 1, request.ballot) is None
    assert proposer.accepted("a", 1, request.ballot) is None
    assert proposer.accepted("b", 0, request.ballot) is None
    assert proposer.accepted("c", 1, request.ballot) == Chosen(request.ballot, {ONE: X}, True)


def test_a_ballot_ends_once_too_many_refuse_and_the_next_goes_above() -> None:
    proposer = Proposer("p", {ONE: X}, LOSS)
    request = proposer.prepare(3, view("a", "b", "c"))
    assert proposer.refused("a", request.ballot, Refusal(70, "")) is None
    assert proposer.refused("b", request.ballot, Refusal(50, "why")) == Retry(70, "why", False)


def test_half_of_an_even_view_may_prepare_and_not_accept() -> None:
    acceptors, members = cores(4), view("a", "b", "c", "d")
    half = {name: acceptors[name] for name in "ab"}
    proposer = Proposer("p", {ONE: X}, LOSS)
    assert play(proposer, half, members) is None
    assert all(one.votes for one in half.values())
    assert play(Proposer("p", {ONE: X}, LOSS), acceptors, members, 9) == Decided()


def test_a_joint_view_wants_quorums_of_both() -> None:
    places = {name: Place("z", "r") for name in "abcde"}
    joint = View(2, {n: places[n] for n in "cde"}, {n: places[n] for n in "abc"})
    acceptors = cores(5)
    assert play(Proposer("p", {ONE: X}, LOSS), {n: acceptors[n] for n in "cde"}, joint) is None
    assert play(Proposer("p", {ONE: X}, LOSS), {n: acceptors[n] for n in "bcd"}, joint, 9) == Decided()
