"""The model checker on models small enough that the correct result is known."""

from __future__ import annotations

import json
from collections.abc import Hashable, Iterable, Sequence
from pathlib import Path
from typing import Any

import pytest

from statecheck import Choices, Model, Violation, check_liveness, explore, explore_choices
from statecheck.model import State
from statecheck.orders import ViolationError
from statecheck.search import final_state
from statecheck.trace import Trace, TraceError, load_trace, step_through

BOUND_REACHED = Violation("bound reached", "a counter stays below its bound")


class Counters(Model):
    """Identical counters, each of which is incremented up to ``top``, one event at a time."""

    name = "counters"

    def __init__(self, count: int, top: int, bound: int = 99) -> None:
        self.count, self.top, self.bound = count, top, bound

    def initial(self) -> Iterable[State]:
        yield (0,) * self.count

    def events(self, state: State) -> Sequence[str]:
        return [f"up {place}" for place in range(self.count) if state[place] < self.top]

    def step(self, state: State, event: str) -> State:
        place = int(event.split()[1])
        return (*state[:place], state[place] + 1, *state[place + 1 :])

    def violations(self, before: State | None, event: Any, after: State) -> Iterable[Violation]:
        return [BOUND_REACHED] if max(after) >= self.bound else []

    def canonical(self, state: State) -> State:
        return tuple(sorted(state))

    def ample(self, state: State, events: Sequence[str]) -> Sequence[str]:
        return events[:1]  # the counters are independent of each other

    def describe(self, state: State) -> str:
        return str(state)


def test_each_reachable_state_is_visited_once() -> None:
    report = explore(Counters(3, 4), symmetry=False, partial_order=False)
    # (top + 1) ** count states, with one event for each counter below its top; depth is count * top.
    assert (report.states, report.transitions, report.depth, report.complete) == (125, 3 * 4 * 25, 12, True)


def test_reductions_merge_symmetric_states_and_explore_one_order_of_independent_events() -> None:
    symmetric = explore(Counters(3, 4), partial_order=False)
    assert (symmetric.states, symmetric.complete) == (35, True)  # multisets of 3 out of 5
    partial_order = explore(Counters(3, 4), symmetry=False)
    assert (partial_order.states, partial_order.complete) == (13, True)


@pytest.mark.parametrize("symmetry", [True, False])
def test_the_counterexample_is_shortest_and_can_be_replayed(symmetry: bool) -> None:
    model = Counters(3, 9, bound=4)
    report = explore(model, symmetry=symmetry, partial_order=False)
    assert (report.violation, len(report.trace), report.complete) == (BOUND_REACHED, 4, False)
    assert max(final_state(model, report.trace)) == 4
    steps = list(step_through(model, tuple(report.trace)))
    assert [bool(violations) for _, _, violations in steps] == [False, False, False, True]


def test_a_violation_in_an_initial_state_has_an_empty_trace() -> None:
    report = explore(Counters(1, 1, bound=0))
    assert (report.violation, report.trace) == (BOUND_REACHED, [])


def test_states_with_equal_hashes_stay_distinct() -> None:
    class SameHash(int):
        def __hash__(self) -> int:
            return 1

    class Colliding(Counters):
        def initial(self) -> Iterable[State]:
            yield (SameHash(0),)

        def step(self, state: State, event: str) -> State:
            return (SameHash(state[0] + 1),)

    assert explore(Colliding(1, 50)).states == 51


def test_a_search_stopped_by_a_limit_is_incomplete_and_names_the_limit() -> None:
    small = explore(Counters(4, 20), symmetry=False, partial_order=False, memory_mb=0.5)
    assert not small.complete and "memory limit" in small.stopped
    short = explore(Counters(4, 20), symmetry=False, partial_order=False, seconds=0.0)
    assert not short.complete and "time limit" in short.stopped


def test_a_canonical_form_that_merges_different_states_is_detected() -> None:
    class Wrong(Counters):
        def canonical(self, state: State) -> State:
            return (5,) if state == (2,) else state

    with pytest.raises(RuntimeError, match="behave differently"):
        explore(Wrong(1, 9, bound=7))


class Lamp(Model):
    """A pending request that only a timer can answer, and a lamp that may be switched on and off forever."""

    name = "lamp"

    def __init__(self, timer: str = "fair", lamp: bool = True) -> None:
        self.timer, self.lamp = timer, lamp

    def initial(self) -> Iterable[State]:
        yield ("pending", "off")

    def events(self, state: State) -> Sequence[str]:
        found = ["on" if state[1] == "off" else "off"] if self.lamp else []
        if (
            state[0] == "pending"
            and (self.timer != "while off" or state[1] == "off")
            and self.timer != "none"
        ):
            found.append("timer")
        return found

    def step(self, state: State, event: str) -> State:
        return ("answered", state[1]) if event == "timer" else (state[0], event)

    def obligations(self, state: State) -> Iterable[Hashable]:
        return ["an answer"] if state[0] == "pending" else []

    def fairness_label(self, event: str) -> Hashable | None:
        return "timer" if event == "timer" and self.timer != "unfair" else None


def test_a_fair_timer_leaves_every_cycle() -> None:
    assert check_liveness(Lamp()).violation is None


@pytest.mark.parametrize("timer", ["unfair", "none", "while off"])
def test_a_fair_cycle_without_the_answer_is_found(timer: str) -> None:
    # Weak fairness does not apply to an event that is repeatedly disabled.
    found = check_liveness(Lamp(timer))
    assert found.violation is not None and set(found.cycle) == {"on", "off"}


def test_a_deadlock_without_the_answer_is_found() -> None:
    found = check_liveness(Lamp("none", lamp=False))
    assert found.violation is not None and not found.cycle


def test_each_sequence_of_choices_is_run_once() -> None:
    seen: list[tuple[int, ...]] = []

    def run(choices: Choices) -> None:
        first = choices.pick(["a", "b"])
        seen.append((first, choices.pick(["x", "y", "z"])) if first else (first,))

    report = explore_choices(run)
    assert seen == [(0,), (1, 0), (1, 1), (1, 2)]
    assert (report.runs, report.choices, report.depth, report.complete) == (4, 7, 2, True)


def test_a_violation_is_reported_with_the_choices_that_lead_to_it() -> None:
    def run(choices: Choices) -> None:
        if choices.pick(["a", "b"]) and choices.pick(["x", "y"]):
            choices.note("fails")
            raise ViolationError(BOUND_REACHED)

    report = explore_choices(run)
    assert (report.violation, report.violating_choices, report.trace) == (
        BOUND_REACHED,
        [1, 1],
        ["b", "y", "fails"],
    )
    assert not report.complete
    with pytest.raises(ViolationError):
        run(Choices(report.violating_choices))


def test_a_nondeterministic_program_is_detected_and_the_limit_on_runs_is_kept() -> None:
    alternatives = iter([3, 1])

    def nondeterministic(choices: Choices) -> None:
        choices.pick(["a"] * next(alternatives))

    with pytest.raises(ValueError, match="not deterministic"):
        explore_choices(nondeterministic)

    def nine_alternatives(choices: Choices) -> None:
        choices.pick(["a"] * 9)

    report = explore_choices(nine_alternatives, max_runs=4)
    assert (report.runs, report.complete) == (4, False)


def test_a_saved_trace_is_loaded_unchanged(tmp_path: Path) -> None:
    trace = Trace("counters", "", BOUND_REACHED, ("up 0", "up 0"), (1, 2))
    trace.save(tmp_path / "t.json")
    assert load_trace(tmp_path / "t.json") == trace


@pytest.mark.parametrize(
    ("text", "field"),
    [
        ("{", "cannot be read"),
        ("[" * 100_000, "cannot be read"),
        ("[]", "format"),
        ('{"format": 2}', "format"),
        ('{"format": 1}', "model"),
        ('{"format": 1, "model": "m", "bug": "", "property": "p", "words": 3}', "words"),
        ('{"format": 1, "model": "m", "bug": "", "property": "p", "words": "w", "events": [1]}', "events"),
    ],
)
def test_an_invalid_trace_file_is_reported_in_one_line(text: str, field: str, tmp_path: Path) -> None:
    path = tmp_path / "t.json"
    path.write_text(text)
    with pytest.raises(TraceError, match=field) as error:
        load_trace(path)
    assert "\n" not in str(error.value) and str(path) in str(error.value)


def test_an_oversized_file_is_not_read(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("statecheck.trace.MAX_BYTES", 10)
    (tmp_path / "t.json").write_text(json.dumps({"format": 1}) + " " * 10)
    with pytest.raises(TraceError, match="larger than"):
        load_trace(tmp_path / "t.json")


def test_a_trace_of_another_model_cannot_be_replayed() -> None:
    with pytest.raises(TraceError, match="event 2: up 7"):
        list(step_through(Counters(2, 3), ("up 0", "up 7")))
