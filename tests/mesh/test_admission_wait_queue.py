"""The wait queue of the second hop compared with a list that is searched each time."""

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from mesh.admission.wait_queue import WaitQueue

OPS = st.lists(
    st.one_of(
        st.tuples(
            st.just("add"), st.sampled_from([0.0, 1.0, 1.0, 2.5]), st.integers(1, 30), st.integers(0, 5)
        ),
        st.tuples(st.just("next")),
        st.tuples(st.just("drop"), st.integers(0, 40)),
        st.tuples(st.just("over"), st.integers(0, 8)),
        st.tuples(st.just("clear")),
    ),
    max_size=60,
)


class Model:
    """Entries are (rank, number, end of wait); the number identifies the call."""

    def __init__(self) -> None:
        self.waiting: list[tuple[float, int, float]] = []
        self.count = 0

    def take(self, entries: list[tuple[float, int, float]]) -> list[int]:
        for entry in entries:
            self.waiting.remove(entry)
        return [number for _, number, _ in entries]

    def step(self, op: tuple[Any, ...], now: float) -> Any:
        match op:
            case ("add", rank, patience, most):
                self.count += 1
                self.waiting.append((rank, self.count, now + patience))
                return self.take([min(self.waiting)])[0] if len(self.waiting) > most else None
            case ("next",):
                return self.take([max(self.waiting)])[0] if self.waiting else None
            case ("drop", call):
                return bool(self.take([entry for entry in self.waiting if entry[1] == call]))
            case ("over", _):
                ended = [entry for entry in self.waiting if entry[2] <= now]
                return self.take(sorted(ended, key=lambda entry: (entry[2], entry[1])))
        return self.take(sorted(self.waiting, reverse=True))


@given(OPS)
@settings(max_examples=200)
def test_a_line_serves_worth_then_the_last_come_and_ends_patience_as_the_model_does(ops: list[Any]) -> None:
    queue, model, now = WaitQueue(), Model(), 0.0
    for op in ops:
        if op[0] == "over":
            now += op[1]
        expected = model.step(op, now)
        match op:
            case ("add", rank, patience, most):
                found: Any = queue.add(model.count, rank, now + patience, most)
            case ("next",):
                found = queue.pop_next()
            case ("drop", call):
                found = queue.remove(call)
            case ("over", _):
                found = queue.pop_expired(now)
            case _:
                found = queue.clear()
        assert found == expected, op
        assert len(queue) == len(model.waiting)
        assert queue.next_expiry() == min((until for _, _, until in model.waiting), default=None)


def test_the_line_has_its_bound_and_the_least_in_rank_that_waits_longest_makes_room() -> None:
    queue = WaitQueue()
    assert [queue.add(call, rank, 9.0, 2) for call, rank in (("a", 1.0), ("b", 1.0), ("c", 2.0))] == [
        None,
        None,
        "a",
    ]
    assert queue.add("d", 0.5, 9.0, 2) == "d"
    assert queue.add("e", 9.0, 9.0, 0) == "b"
    assert len(queue) == 2
