"""Bodies in pieces: round-robin and windows hold in any order of events; pieces join to the same body."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mesh.transport.body_pieces import (
    LINK_WINDOW_BYTES,
    PIECE_BYTES,
    WINDOW_BYTES,
    IncomingBody,
    OutgoingBodies,
    PieceError,
)

LONG = 3 * LINK_WINDOW_BYTES + 5


def test_bodies_take_turns_a_piece_each_and_stop_at_the_window_of_the_link() -> None:
    bodies = OutgoingBodies(WINDOW_BYTES)
    for number in (1, 2, 3):
        bodies.add(number, bytes(LONG))
    sent = []
    while (part := bodies.next()) is not None:
        sent.append(part.number)
    assert sent == ([1, 2, 3] * PIECE_BYTES)[: LINK_WINDOW_BYTES // PIECE_BYTES]
    bodies.confirm(3, PIECE_BYTES)
    following = bodies.next()
    assert following is not None and following.number == (sent[-1] % 3) + 1 and bodies.next() is None


def test_a_body_whose_window_is_full_holds_up_no_other() -> None:
    bodies = OutgoingBodies(PIECE_BYTES)
    bodies.add(1, bytes(LONG))
    first = bodies.next()
    assert first is not None and bodies.next() is None
    bodies.add(2, b"x" * 10)
    second = bodies.next()
    assert second is not None and (second.number, second.last) == (2, True) and bodies.next() is None
    bodies.confirm(1, PIECE_BYTES)
    third = bodies.next()
    assert third is not None and third.number == 1


def test_what_is_cancelled_gives_its_part_of_the_window_back() -> None:
    bodies = OutgoingBodies(2 * LINK_WINDOW_BYTES)
    bodies.add(1, bytes(LONG))
    while bodies.next() is not None:
        pass
    bodies.add(2, bytes(10))
    assert bodies.next() is None and bodies.cancel(1) and not bodies.cancel(1)
    part = bodies.next()
    assert part is not None and part.number == 2
    bodies.confirm(1, 10)  # a late confirmation has no effect
    bodies.confirm(2, 10)
    assert len(bodies) == 0


def test_a_confirmation_of_what_was_not_sent_is_a_fault() -> None:
    bodies = OutgoingBodies(WINDOW_BYTES)
    bodies.add(1, bytes(LONG))
    assert bodies.next() is not None
    with pytest.raises(PieceError):
        bodies.confirm(1, PIECE_BYTES + 1)


@pytest.mark.parametrize("parts", [[b"x" * 11], [b"x" * 6, b"x" * 5], [b""]])
def test_more_than_its_length_or_nothing_at_all_is_a_fault(parts: list[bytes]) -> None:
    body = IncomingBody(10)
    with pytest.raises(PieceError):
        for part in parts:
            body.add(part)


def test_more_than_the_window_is_a_fault() -> None:
    body = IncomingBody(10 * WINDOW_BYTES)
    body.add(bytes(WINDOW_BYTES))
    with pytest.raises(PieceError):
        body.add(b"x")
    assert body.confirm() == WINDOW_BYTES
    body.add(b"x")


@settings(max_examples=60, deadline=None)
@given(st.lists(st.integers(1, LONG), min_size=1, max_size=5), st.integers(1, WINDOW_BYTES // PIECE_BYTES))
def test_all_arrives_as_it_was_and_the_windows_are_kept(sizes: list[int], pieces: int) -> None:
    bodies = OutgoingBodies(pieces * PIECE_BYTES)
    sent_bodies = {number: bytes([number]) * size for number, size in enumerate(sizes)}
    received = {number: IncomingBody(len(data)) for number, data in sent_bodies.items()}
    for number, data in sent_bodies.items():
        bodies.add(number, data)
    in_flight: list[tuple[int, bytes]] = []
    while len(bodies):
        while (part := bodies.next()) is not None:
            in_flight.append((part.number, bytes(part.data)))
        unconfirmed = sum(len(data) for _, data in in_flight)
        assert 0 < unconfirmed <= LINK_WINDOW_BYTES + PIECE_BYTES
        for number, data in in_flight:
            body = received[number]
            assert not body.complete
            body.add(data)
            bodies.confirm(number, body.confirm())
        in_flight.clear()
    assert {number: bytes(body.data) for number, body in received.items()} == sent_bodies
    assert all(body.complete for body in received.values())
