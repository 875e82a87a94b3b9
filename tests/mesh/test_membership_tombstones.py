"""How long dropped items of the membership are kept."""

from mesh.membership.tombstones import MAX_TOMBSTONES, RETENTION_S, Tombstones
from mesh.replication.items import Item


def dropped(name: str) -> Item:
    return Item("instance", name, 1, None)


def test_a_tombstone_is_due_once_after_its_time_and_the_first_to_be_told_of_counts() -> None:
    tombs = Tombstones()
    tombs.note(0.0, [dropped("a")])
    tombs.note(30.0, [dropped("a"), dropped("b")])
    assert tombs.pop_expired(RETENTION_S - 0.1) == []
    assert tombs.pop_expired(RETENTION_S) == [("instance", "a")]
    assert tombs.pop_expired(RETENTION_S) == []
    assert tombs.pop_expired(RETENTION_S + 30.0) == [("instance", "b")]


def test_one_that_is_set_again_is_no_tombstone_and_a_new_drop_begins_anew() -> None:
    tombs = Tombstones()
    tombs.note(0.0, [dropped("a"), dropped("b")])
    tombs.note(10.0, [Item("instance", "a", 2, {})])
    tombs.note(20.0, [dropped("a")])
    assert tombs.pop_expired(RETENTION_S) == [("instance", "b")]
    assert tombs.pop_expired(RETENTION_S + 20.0) == [("instance", "a")]


def test_beyond_the_bound_the_oldest_go_before_their_time() -> None:
    tombs = Tombstones()
    tombs.note(0.0, [dropped(f"{number:05}") for number in range(MAX_TOMBSTONES + 3)])
    assert tombs.pop_expired(1.0) == [("instance", f"{number:05}") for number in range(3)]
    assert tombs.pop_expired(1.0) == []
