"""The memory of messages: shares that are kept, one pool for all, and room that comes back."""

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

ROOM = 100 * 1024 * 1024


def fill(holding: BufferQuota, size: int = SHORT_BODY_BYTES) -> int:
    """Takes until there is no room; gives the bytes of memory."""
    before = holding.memory
    while holding.acquire(size):
        pass
    return holding.memory - before


def test_what_is_kept_for_answers_is_there_when_bodies_have_taken_all_they_can() -> None:
    budget = BufferBudget(ROOM)
    bodies = fill(budget.bodies)
    free = 1.0 - 0.8
    assert abs(bodies - (RESERVED_BODIES + free) * ROOM) <= BODY_COPIES * SHORT_BODY_BYTES
    answers = fill(budget.answers)
    assert abs(answers - RESERVED_ANSWERS * ROOM) <= BODY_COPIES * SHORT_BODY_BYTES
    fill(budget.heads)
    fill(budget.frames)
    kinds = budget.bodies, budget.answers, budget.heads, budget.frames
    assert ROOM * 0.99 < sum(kind.memory for kind in kinds) <= ROOM
    budget.bodies.release(budget.bodies.held_bytes)
    assert fill(budget.answers) > 0.15 * ROOM


def test_a_long_body_leaves_its_quarter_to_short_ones_of_its_kind() -> None:
    budget = BufferBudget(ROOM)
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
    for at, size, gives in steps:
        if gives and taken:
            kind, size = taken.pop(0)
            kind.release(size)
        elif kinds[at].acquire(size):
            taken.append((kinds[at], size))
        assert sum(kind.memory for kind in kinds) <= 8 << 20
    assert [one["held_bytes"] for one in budget.usage().values()] == [kind.memory for kind in kinds]


def test_a_reservation_grows_with_its_message_and_is_given_back_once() -> None:
    holding = BufferQuota(BODY_COPIES * 1000, 900)
    hold = Reservation(holding)
    assert hold.grow(600) and hold.grow(300) and not hold.grow(1)
    assert not Reservation(holding).grow(200)
    hold.release()
    hold.release()
    assert holding.held_bytes == 0 and hold.grow(100)
    del hold  # nobody refers to it any more
    assert holding.held_bytes == 0
