"""The checker on machines small enough to know what it must find."""

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
from statecheck.trace import Trace, TraceError, load, step_through

TOO_FAR = Violation("too far", "a counter stays below its bound")


class Counters(Model):
    """Some counters, alike but for their place; each goes up to ``top``, one at a time."""

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
        return [TOO_FAR] if max(after) >= self.bound else []

    def canonical(self, state: State) -> State:
        return tuple(sorted(state))

    def ample(self, state: State, events: Sequence[str]) -> Sequence[str]:
        return events[:1]  # the counters know nothing of each other

    def describe(self, state: State) -> str:
        return str(state)


def test_every_state_is_visited_once() -> None:
    report = explore(Counters(3, 4), symmetry=False, partial_order=False)
    # (top + 1) ** count states, each with an event for every counter that is not at its top; 12 ups in all.
    assert (report.states, report.transitions, report.depth, report.complete) == (125, 3 * 4 * 25, 12, True)


def test_alike_states_are_one_and_independent_events_need_one_order() -> None:
    alike = explore(Counters(3, 4), partial_order=False)
    assert (alike.states, alike.complete) == (35, True)  # multisets of 3 out of 5
    ordered = explore(Counters(3, 4), symmetry=False)
    assert (ordered.states, ordered.complete) == (13, True)


@pytest.mark.parametrize("symmetry", [True, False])
def test_the_counterexample_is_a_shortest_one_and_can_be_played(symmetry: bool) -> None:
    model = Counters(3, 9, bound=4)
    report = explore(model, symmetry=symmetry, partial_order=False)
    assert (report.violation, len(report.trace), report.complete) == (TOO_FAR, 4, False)
    assert max(final_state(model, report.trace)) == 4
    steps = list(step_through(model, tuple(report.trace)))
    assert [bool(violations) for _, _, violations in steps] == [False, False, False, True]


def test_an_initial_state_may_be_a_counterexample_by_itself() -> None:
    report = explore(Counters(1, 1, bound=0))
    assert (report.violation, report.trace) == (TOO_FAR, [])


def test_equal_hashes_do_not_make_states_equal() -> None:
    class Odd(int):
        def __hash__(self) -> int:
            return 1

    class Colliding(Counters):
        def initial(self) -> Iterable[State]:
            yield (Odd(0),)

        def step(self, state: State, event: str) -> State:
            return (Odd(state[0] + 1),)

    assert explore(Colliding(1, 50)).states == 51


def test_at_a_bound_it_says_so() -> None:
    small = explore(Counters(4, 20), symmetry=False, partial_order=False, memory_mb=0.5)
    assert not small.complete and "memory bound" in small.stopped
    short = explore(Counters(4, 20), symmetry=False, partial_order=False, seconds=0.0)
    assert not short.complete and "time bound" in short.stopped


def test_a_canonical_form_that_relates_different_states_is_noticed() -> None:
    class Wrong(Counters):
        def canonical(self, state: State) -> State:
            return (5,) if state == (2,) else state

    with pytest.raises(RuntimeError, match="do not act alike"):
        explore(Wrong(1, 9, bound=7))


class Lamp(Model):
    """A request is owed an answer; a lamp may go on and off for ever, and a timer ends it if it is fair."""

    name = "lamp"

    def __init__(self, timer: str = "fair", lamp: bool = True) -> None:
        self.timer, self.lamp = timer, lamp

    def initial(self) -> Iterable[State]:
        yield ("owed", "off")

    def events(self, state: State) -> Sequence[str]:
        found = ["on" if state[1] == "off" else "off"] if self.lamp else []
        if state[0] == "owed" and (self.timer != "while off" or state[1] == "off") and self.timer != "none":
            found.append("timer")
        return found

    def step(self, state: State, event: str) -> State:
        return ("over", state[1]) if event == "timer" else (state[0], event)

    def obligations(self, state: State) -> Iterable[Hashable]:
        return ["an answer"] if state[0] == "owed" else []

    def fairness_label(self, event: str) -> Hashable | None:
        return "timer" if event == "timer" and self.timer != "unfair" else None


def test_a_fair_timer_ends_every_cycle() -> None:
    assert check_liveness(Lamp()).violation is None


@pytest.mark.parametrize("timer", ["unfair", "none", "while off"])
def test_a_cycle_in_which_it_is_owed_for_ever_is_found(timer: str) -> None:
    # Weak fairness promises nothing of an event that is disabled again and again.
    found = check_liveness(Lamp(timer))
    assert found.violation is not None and set(found.cycle) == {"on", "off"}


def test_a_dead_end_in_which_it_is_owed_is_found() -> None:
    found = check_liveness(Lamp("none", lamp=False))
    assert found.violation is not None and not found.cycle


def test_every_sequence_of_choices_is_played_once() -> None:
    seen: list[tuple[int, ...]] = []

    def run(choices: Choices) -> None:
        first = choices.pick(["a", "b"])
        seen.append((first, choices.pick(["x", "y", "z"])) if first else (first,))

    report = explore_choices(run)
    assert seen == [(0,), (1, 0), (1, 1), (1, 2)]
    assert (report.runs, report.choices, report.depth, report.complete) == (4, 7, 2, True)


def test_a_broken_run_gives_the_choices_that_lead_to_it() -> None:
    def run(choices: Choices) -> None:
        if choices.pick(["a", "b"]) and choices.pick(["x", "y"]):
            choices.note("falls")
            raise ViolationError(TOO_FAR)

    report = explore_choices(run)
    assert (report.violation, report.given, report.trace) == (TOO_FAR, [1, 1], ["b", "y", "falls"])
    assert not report.complete
    with pytest.raises(ViolationError):
        run(Choices(report.given))


def test_a_program_that_does_not_repeat_itself_is_noticed_and_a_bound_on_runs_is_kept() -> None:
    wide = iter([3, 1])

    def shrinks(choices: Choices) -> None:
        choices.pick(["a"] * next(wide))

    with pytest.raises(ValueError, match="did not repeat itself"):
        explore_choices(shrinks)

    def nine(choices: Choices) -> None:
        choices.pick(["a"] * 9)

    report = explore_choices(nine, most_runs=4)
    assert (report.runs, report.complete) == (4, False)


def test_a_trace_comes_back_from_its_file(tmp_path: Path) -> None:
    trace = Trace("counters", "", TOO_FAR, ("up 0", "up 0"), (1, 2))
    trace.save(tmp_path / "t.json")
    assert load(tmp_path / "t.json") == trace


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
def test_what_is_no_trace_is_named_in_one_line(text: str, field: str, tmp_path: Path) -> None:
    path = tmp_path / "t.json"
    path.write_text(text)
    with pytest.raises(TraceError, match=field) as fault:
        load(path)
    assert "\n" not in str(fault.value) and str(path) in str(fault.value)


def test_a_file_too_large_for_a_trace_is_not_read(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("statecheck.trace.MAX_BYTES", 10)
    (tmp_path / "t.json").write_text(json.dumps({"format": 1}) + " " * 10)
    with pytest.raises(TraceError, match="larger than"):
        load(tmp_path / "t.json")


def test_a_trace_of_another_model_cannot_be_stepped() -> None:
    with pytest.raises(TraceError, match="event 2: up 7"):
        list(step_through(Counters(2, 3), ("up 0", "up 7")))
