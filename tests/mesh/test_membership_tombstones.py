"""Retention of tombstones of the membership store."""

from mesh.membership.tombstones import MAX_TOMBSTONES, RETENTION_S, Tombstones
from mesh.replication.items import Item


def dropped(name: str) -> Item:
    return Item("instance", name, 1, None)


def test_a_tombstone_is_due_once_after_its_time_and_the_first_to_be_told_of_counts() -> None:
    tombstones = Tombstones()
    tombstones.note(0.0, [dropped("a")])
    tombstones.note(30.0, [dropped("a"), dropped("b")])
    assert tombstones.pop_expired(RETENTION_S - 0.1) == []
    assert tombstones.pop_expired(RETENTION_S) == [("instance", "a")]
    assert tombstones.pop_expired(RETENTION_S) == []
    assert tombstones.pop_expired(RETENTION_S + 30.0) == [("instance", "b")]


def test_one_that_is_set_again_is_no_tombstone_and_a_new_drop_begins_anew() -> None:
    tombstones = Tombstones()
    tombstones.note(0.0, [dropped("a"), dropped("b")])
    tombstones.note(10.0, [Item("instance", "a", 2, {})])
    tombstones.note(20.0, [dropped("a")])
    assert tombstones.pop_expired(RETENTION_S) == [("instance", "b")]
    assert tombstones.pop_expired(RETENTION_S + 20.0) == [("instance", "a")]


def test_beyond_the_bound_the_oldest_go_before_their_time() -> None:
    tombstones = Tombstones()
    tombstones.note(0.0, [dropped(f"{number:05}") for number in range(MAX_TOMBSTONES + 3)])
    assert tombstones.pop_expired(1.0) == [("instance", f"{number:05}") for number in range(3)]
    assert tombstones.pop_expired(1.0) == []
