"""The final check of the second hop."""

from typing import Any

import pytest

from mesh.admission.final_check import (
    DEFAULT_SLOTS,
    DRAIN_SHARE,
    MIN_OVERCOMMIT,
    QUEUE_FACTOR,
    Admitted,
    Rejected,
    RejectReason,
    call_limits,
    check_admission,
)
from mesh.membership.instance_commands import DECAYING, SETTLED, Heartbeat
from mesh.membership.instance_lifecycle import SIGNED_OFF_VERSION, PublishedInstance, Upstream

BEAT_MS, DRAIN_MS = 1500.0, 2000.0


def heartbeat(instance: str = "i-1", count: int = 1, state: str = SETTLED, capacity: int = 10) -> Heartbeat:
    return Heartbeat(instance, "p", ("10.0.0.1", 8147), "z", "v1", capacity, state, 0.0, count)


def upstream(*heartbeats: Heartbeat) -> Upstream:
    found = Upstream("n", "z", BEAT_MS, DRAIN_MS)
    for one in heartbeats:
        found.on_heartbeat(0.0, one)
    return found


def test_what_is_for_the_one_here_and_in_time_passes() -> None:
    assert check_admission(0.0, upstream(heartbeat()), "i-1", 100.0) == Admitted()
    assert check_admission(0.0, upstream(), "i-1", 100.0) == Admitted()


def test_a_drain_that_an_earlier_life_of_this_sidecar_acknowledged_is_over_at_once() -> None:
    found = upstream()
    found.find_published = {"i-1": PublishedInstance(1000, DECAYING)}.get
    assert check_admission(0.0, found, "i-1", 100.0) == Rejected(RejectReason.LEAVING)
    assert check_admission(0.0, found, "i-2", 100.0) == Admitted()
    found.on_heartbeat(0.0, heartbeat(state=DECAYING))
    assert check_admission(0.0, found, "i-1", 100.0) == Rejected(RejectReason.LEAVING)
    found.on_heartbeat(1.0, heartbeat("i-2", state=DECAYING))  # its drain starts with its own heartbeat
    assert check_admission(1.0, found, "i-2", 100.0) == Admitted()


def test_nothing_passes_to_one_that_signed_off_before_the_first_heartbeat_to_this_sidecar() -> None:
    """A restarted sidecar let calls pass to an upstream whose sign-off was acknowledged (review/1)."""
    told, restarted = upstream(), upstream()
    told.leave("i-1")
    restarted.find_published = {"i-1": PublishedInstance(SIGNED_OFF_VERSION, "")}.get
    for one in told, restarted:
        assert check_admission(0.0, one, "i-1", 100.0) == Rejected(RejectReason.DOWN)
        assert check_admission(0.0, one, "i-2", 100.0) == Admitted()


@pytest.mark.parametrize("remaining_ms", [0.0, -5.0])
def test_nothing_passes_without_time(remaining_ms: float) -> None:
    assert check_admission(0.0, upstream(heartbeat()), "i-1", remaining_ms) == Rejected(RejectReason.LATE)
    assert check_admission(0.0, upstream(), "i-1", remaining_ms) == Rejected(RejectReason.LATE)


def test_another_life_at_the_same_address_is_another() -> None:
    assert check_admission(0.0, upstream(heartbeat(), heartbeat("i-2")), "i-1", 100.0) == Rejected(
        RejectReason.OTHER
    )
    assert check_admission(0.0, upstream(heartbeat(), heartbeat("i-2")), "i-2", 100.0) == Admitted()


def test_nothing_passes_to_one_that_signed_off_or_ended_without_a_word() -> None:
    left, silent = upstream(heartbeat()), upstream(heartbeat())
    left.leave("i-1")
    silent.on_connection_refused(4 * BEAT_MS)
    assert check_admission(1.0, left, "i-1", 100.0) == Rejected(RejectReason.DOWN)
    assert check_admission(4 * BEAT_MS, silent, "i-1", 100.0) == Rejected(RejectReason.DOWN)
    silent.on_heartbeat(4 * BEAT_MS, heartbeat(count=2))
    assert check_admission(4 * BEAT_MS, silent, "i-1", 100.0) == Admitted()


def drained() -> Any:
    found = upstream(heartbeat())
    found.on_heartbeat(1000.0, heartbeat(count=2, state=DECAYING))
    return found


def ended() -> Any:
    found = upstream(heartbeat())
    found.shut_down(1000.0)
    return found


@pytest.mark.parametrize("make", [drained, ended])
def test_a_drain_passes_for_its_share_of_drain_ms_and_then_no_more_whatever_comes(make: Any) -> None:
    one, last = make(), 1000.0 + DRAIN_SHARE * DRAIN_MS
    assert DRAIN_SHARE < 1.0  # an admitted call still has to reach the upstream in time
    assert check_admission(last, one, "i-1", 100.0) == Admitted()
    one.on_heartbeat(last, heartbeat(count=3, state=DECAYING))
    one.shut_down(last)
    assert check_admission(last + 1.0, one, "i-1", 100.0) == Rejected(RejectReason.LEAVING)


def test_places_grow_with_the_slots_and_both_have_a_bound() -> None:
    assert call_limits(upstream()) == (DEFAULT_SLOTS + MIN_OVERCOMMIT, QUEUE_FACTOR * DEFAULT_SLOTS)
    sizes = [call_limits(upstream(heartbeat(capacity=slots))) for slots in (1, 10, 100)]
    assert all(slots < at_once for (at_once, _), slots in zip(sizes, (1, 10, 100), strict=True))
    assert [waiting for _, waiting in sizes] == [QUEUE_FACTOR * slots for slots in (1, 10, 100)]
