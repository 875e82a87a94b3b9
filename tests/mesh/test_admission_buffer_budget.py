"""The memory budget of messages: reserved shares, one pool for all kinds, and memory that is released."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from mesh.admission.buffer_budget import (
    BODY_COPIES,
    LONG_BODY_SHARE,
    RESERVED_ANSWERS,
    RESERVED_BODIES,
    SHORT_BODY_BYTES,
    BufferBudget,
    BufferQuota,
    Reservation,
)

CAPACITY = 100 * 1024 * 1024


def fill(quota: BufferQuota, size: int = SHORT_BODY_BYTES) -> int:
    """Acquires until there is no room; returns the bytes of memory taken."""
    before = quota.memory
    while quota.acquire(size):
        pass
    return quota.memory - before


def test_what_is_kept_for_answers_is_there_when_bodies_have_taken_all_they_can() -> None:
    budget = BufferBudget(CAPACITY)
    bodies = fill(budget.bodies)
    free = 1.0 - 0.8
    assert abs(bodies - (RESERVED_BODIES + free) * CAPACITY) <= BODY_COPIES * SHORT_BODY_BYTES
    answers = fill(budget.answers)
    assert abs(answers - RESERVED_ANSWERS * CAPACITY) <= BODY_COPIES * SHORT_BODY_BYTES
    fill(budget.heads)
    fill(budget.frames)
    kinds = budget.bodies, budget.answers, budget.heads, budget.frames
    assert CAPACITY * 0.99 < sum(kind.memory for kind in kinds) <= CAPACITY
    budget.bodies.release(budget.bodies.held_bytes)
    assert fill(budget.answers) > 0.15 * CAPACITY


def test_a_long_body_leaves_its_quarter_to_short_ones_of_its_kind() -> None:
    budget = BufferBudget(CAPACITY)
    most = int(budget.bodies.max_bytes * LONG_BODY_SHARE)
    assert (
        budget.bodies.acquire(most)
        and not budget.bodies.acquire(2 * SHORT_BODY_BYTES)
        and budget.bodies.acquire(SHORT_BODY_BYTES)
    )


@settings(max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 3), st.integers(1, 1 << 20), st.booleans()), max_size=200))
def test_all_together_never_have_more_than_there_is(steps: list[tuple[int, int, bool]]) -> None:
    budget = BufferBudget(8 << 20)
    kinds = budget.bodies, budget.answers, budget.heads, budget.frames
    taken: list[tuple[BufferQuota, int]] = []
    for at, size, releases in steps:
        if releases and taken:
            kind, size = taken.pop(0)
            kind.release(size)
        elif kinds[at].acquire(size):
            taken.append((kinds[at], size))
        assert sum(kind.memory for kind in kinds) <= 8 << 20
    assert [one["held_bytes"] for one in budget.usage().values()] == [kind.memory for kind in kinds]


def test_a_reservation_grows_with_its_message_and_is_given_back_once() -> None:
    quota = BufferQuota(BODY_COPIES * 1000, 900)
    reservation = Reservation(quota)
    assert reservation.grow(600) and reservation.grow(300) and not reservation.grow(1)
    assert not Reservation(quota).grow(200)
    reservation.release()
    reservation.release()
    assert quota.held_bytes == 0 and reservation.grow(100)
    del reservation  # the last reference
    assert quota.held_bytes == 0
