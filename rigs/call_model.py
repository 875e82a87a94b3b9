"""A small model of effectful calls, for `statecheck`: first hops, second hops and the connections to their
upstreams. Links are lost at either end at any moment, and frames may still arrive after that; frames are
duplicated, processes crash, and clients disconnect. All decisions are made by the shipped code: the state
tables, the sessions, the matching of answers to calls, the rules for retries and for the client's result. The
model stands in for its host and the network.

There is no clock: whatever waits for time may happen at any moment, so frozen and slow processes are covered,
too. The state also records what upstreams have executed and what clients were told.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable, Iterator, Sequence
from typing import Any

from mesh.admission.call_sessions import END_RETENTION_S
from mesh.data_plane import call_messages
from mesh.data_plane import call_state as table
from mesh.data_plane.call_state import Event, State
from rigs.call_hosts import FULL, Attempt, Call, CallState, FaultBudget, Link, Scenario, SecondHop
from statecheck import Model, Violation, explore
from statecheck.model import State as ModelState


class CallModel(Model):
    state_type: type[CallState] = CallState

    def __init__(self, name: str, scenario: Scenario) -> None:
        self.name, self.scenario = name, scenario

    def initial(self) -> Iterable[ModelState]:
        scenario = self.scenario
        first_hops = max(scenario.first_hops) + 1
        yield (
            ((1, 0),) * first_hops,
            tuple(Call("new") for _ in scenario.first_hops),
            (),
            (SecondHop(),) * scenario.second_hops,
            (0,) * len(scenario.first_hops),
            scenario.budget,
            "",
            ((0,) * scenario.second_hops,) * first_hops,
        )

    def events(self, state: ModelState) -> Sequence[Any]:
        return list(self._events(CallState.from_state(self.scenario, state)))

    def _events(self, current: CallState) -> Iterator[Any]:
        scenario, budget = self.scenario, current.budget
        for call, record in enumerate(current.calls):
            first = scenario.first_hops[call]
            if record.result == "new":
                if call not in scenario.late or all(
                    other.result not in ("new", "open")
                    for index, other in enumerate(current.calls)
                    if index != call
                ):
                    yield ("receive request", call)
                continue
            if record.result == "open":
                if current.may_send(call):
                    for second in range(scenario.second_hops):
                        link = current.open_link(first, second)
                        if link is not None and (
                            link.verified or not current.known_incarnations[first][second]
                        ):
                            yield ("send", call, second)
                open_attempts = current.open_attempts(call)
                if open_attempts and budget["client_drops"] and scenario.may_end_early:
                    yield ("finish", call)
                if open_attempts and budget["client_drops"]:
                    yield ("client leaves", call)
                if not open_attempts and (record.attempts or not scenario.may_end_early):
                    yield ("finish", call)
            for index, attempt in enumerate(record.attempts):
                if attempt.state is State.UNCLEAR:
                    yield ("query times out", call, index)
                    link = current.open_link(first, attempt.second)
                    if link is not None and link.verified and not self._was_queried(link, attempt.number):
                        yield ("query", call, index)
        for first in range(len(current.first_hops)):
            for second in range(scenario.second_hops):
                if current.open_link(first, second) is None and self._needs_link(current, first, second):
                    yield ("open link", first, second)
        for link in current.links:
            if link.open_at_first and link.to_first:
                yield ("read at first", link.id)
            if link.open_at_second and link.to_second:
                yield ("read at second", link.id)
            if link.open_at_first and (budget["losses"] or not link.open_at_second):
                yield ("lose at first", link.id)
            if link.open_at_second and (budget["losses"] or not link.open_at_first):
                yield ("lose at second", link.id)
            if (
                budget["duplicate_frames"]
                and link.open_at_second
                and link.to_second
                and link.to_second[0][0] != "hello"
                and link.hello_received
            ):
                yield ("duplicate frame", link.id)
        for second, hop in enumerate(current.second_hops):
            for index, run in enumerate(hop.runs):
                if run.state is State.WAITING:
                    yield ("dispatch", second, index)
                    if budget["rejections"]:
                        yield ("reject", second, index)
                else:
                    yield ("answer", second, index)
                    if budget["losses"]:
                        yield ("upstream fails", second, index)
                    if budget["duplicate_answers"]:
                        yield ("duplicate answer", second, index, True)
                        yield ("duplicate answer", second, index, False)
            if hop.idle:
                yield ("close idle", second)
            if budget["second_crashes"]:
                yield ("crash second", second)
            if budget["expiries"] and any(entry[3] for session in hop.sessions for entry in session[3]):
                yield ("expire ends", second)
        if budget["crashes"]:
            for first in range(len(current.first_hops)):
                yield ("crash first", first)

    def _needs_link(self, current: CallState, first: int, second: int) -> bool:
        """Whether a call could use a new link between the two hops."""
        for call, record in enumerate(current.calls):
            if self.scenario.first_hops[call] == first and record.result == "open":
                if current.may_send(call):
                    return True
                if any(
                    attempt.state is State.UNCLEAR and attempt.second == second for attempt in record.attempts
                ):
                    return True
        return False

    @staticmethod
    def _was_queried(link: Link, number: int) -> bool:
        return number in link.queried

    def step(self, state: ModelState, event: Any) -> ModelState:
        current = self.state_type.from_state(self.scenario, state)
        kind, *arguments = event
        getattr(self, "_" + kind.replace(" ", "_"))(current, *arguments)
        return current.to_state()

    def _receive_request(self, current: CallState, call: int) -> None:
        current.set_result(call, "open")

    def _open_link(self, current: CallState, first: int, second: int) -> None:
        id, incarnation = 16 * (2 * first + second) + 1, current.first_hops[first][0]
        used = {run.link for hop in current.second_hops for run in hop.runs} | {
            link.id for link in current.links
        }
        while id in used:
            id += 1
        current.links.append(
            Link(id, first, incarnation, second, True, True, (("hello", incarnation),), (), False, False)
        )

    def _send(self, current: CallState, call: int, second: int) -> None:
        first = self.scenario.first_hops[call]
        incarnation, last_number = current.first_hops[first]
        current.first_hops[first] = (incarnation, last_number + 1)
        record = current.calls[call]
        state = table.FIRST_HOP_TABLE[State.CHOSEN, Event.LINK_UP]
        attempts = (*record.attempts, Attempt(last_number + 1, second, state, 0))
        current.calls[call] = record._replace(attempts=attempts)
        link = current.open_link(first, second)
        assert link is not None
        current.send_to_second(link, ("call", last_number + 1, call))

    def _finish(self, current: CallState, call: int) -> None:
        if current.open_attempts(call):
            current.budget["client_drops"] -= 1
        current.finish(call)

    def _client_leaves(self, current: CallState, call: int) -> None:
        current.budget["client_drops"] -= 1
        current.give_up_attempts(call)
        current.set_result(call, "left")

    def _query_times_out(self, current: CallState, call: int, index: int) -> None:
        current.end_unclear(call, index)

    def _query(self, current: CallState, call: int, index: int) -> None:
        attempt = current.calls[call].attempts[index]
        link = current.open_link(self.scenario.first_hops[call], attempt.second)
        assert link is not None
        if not current.same_incarnation(
            attempt.incarnation, current.known_incarnations[link.first][link.second]
        ):
            current.end_unclear(call, index)
            return
        current.send_to_second(link, ("query", attempt.number, call))
        at = current.link_index(link.id)
        current.links[at] = current.links[at]._replace(queried=(*current.links[at].queried, attempt.number))

    def _read_at_first(self, current: CallState, id: int) -> None:
        current.read_at_first(current.links[current.link_index(id)])

    def _read_at_second(self, current: CallState, id: int) -> None:
        current.read_at_second(current.links[current.link_index(id)])

    def _lose_at_first(self, current: CallState, id: int) -> None:
        link = current.links[current.link_index(id)]
        if link.open_at_second:
            current.budget["losses"] -= 1
        current.lose_at_first(link)

    def _lose_at_second(self, current: CallState, id: int) -> None:
        link = current.links[current.link_index(id)]
        if link.open_at_first:
            current.budget["losses"] -= 1
        current.lose_at_second(link)

    def _duplicate_frame(self, current: CallState, id: int) -> None:
        """The next frame is read, and delivered again after the frames under way on the newest link."""
        current.budget["duplicate_frames"] -= 1
        link = current.links[current.link_index(id)]
        frame = link.to_second[0]
        current.read_at_second(link)
        at = current.link_index(id)
        link = current.links[at]
        others = [
            other
            for other in current.links
            if other.id != id and other.open_at_second and other.hello_received
        ]
        same_hops = [other for other in others if (other.first, other.second) == (link.first, link.second)]
        target = same_hops[-1] if same_hops else link
        target_at = current.link_index(target.id)
        current.links[target_at] = target._replace(to_second=(*target.to_second, frame))

    def _dispatch(self, current: CallState, second: int, index: int) -> None:
        current.dispatch(second, index)

    def _reject(self, current: CallState, second: int, index: int) -> None:
        current.budget["rejections"] -= 1
        current.end_run(second, index, FULL)

    def _answer(self, current: CallState, second: int, index: int) -> None:
        current.on_upstream_answer(second, index, False, False)

    def _duplicate_answer(self, current: CallState, second: int, index: int, together: bool) -> None:
        current.budget["duplicate_answers"] -= 1
        current.on_upstream_answer(second, index, True, together)

    def _upstream_fails(self, current: CallState, second: int, index: int) -> None:
        current.budget["losses"] -= 1
        current.end_run(second, index, call_messages.Unclear("the connection ended"))

    def _close_idle(self, current: CallState, second: int) -> None:
        assert table.CONNECTION_TABLE[State.IDLE, Event.STRAY] is State.CLOSED
        current.second_hops[second] = current.second_hops[second]._replace(idle=None)

    def _expire_ends(self, current: CallState, second: int) -> None:
        current.budget["expiries"] -= 1
        sessions, calls = current.load_sessions(second), current.calls_by_number(second)
        sessions.sweep(END_RETENTION_S + 1.0)
        current.store_sessions(second, sessions, calls)

    def _crash_second(self, current: CallState, second: int) -> None:
        current.budget["second_crashes"] -= 1
        current.second_hops[second] = SecondHop(incarnation=current.second_hops[second].incarnation + 1)
        for at, link in enumerate(current.links):
            if link.second == second:
                current.links[at] = link._replace(open_at_second=False, to_second=())

    def _crash_first(self, current: CallState, first: int) -> None:
        current.budget["crashes"] -= 1
        incarnation, _ = current.first_hops[first]
        current.first_hops[first] = (incarnation + 1, 0)
        current.known_incarnations[first] = (0,) * self.scenario.second_hops
        for at, link in enumerate(current.links):
            if link.first == first:
                current.links[at] = link._replace(open_at_first=False, to_first=(), verified=False)
        for call, record in enumerate(current.calls):
            if self.scenario.first_hops[call] == first and record.result == "open":
                attempts = tuple(attempt._replace(state=State.WITHDRAWN) for attempt in record.attempts)
                current.calls[call] = Call("closed", attempts)

    def violations(self, before: ModelState | None, event: Any, after: ModelState) -> Iterable[Violation]:
        _, calls, links, second_hops, executions, _, violation, _ = after
        if violation:
            yield Violation(violation.split(":")[0], violation)
        for call, record in enumerate(calls):
            if executions[call] > 1:
                yield Violation("twice", f"call {call} was executed {executions[call]} times")
            if record.result == "503" and executions[call]:
                yield Violation(
                    "promise",
                    f"call {call} was answered with a promise that it does not run, and was executed",
                )
            if record.result.startswith("served"):
                if record.result != f"served {call}":
                    yield Violation("wrong answer", f"call {call} was {record.result}")
                if not executions[call]:
                    yield Violation("wrong answer", f"call {call} was served and never executed")
        for second, hop in enumerate(second_hops):
            for run in hop.runs:
                if run.state is State.WAITING and run.link == 0:
                    yield Violation("orphan", f"a call is queued at {second} and its link is lost")

    def obligations(self, state: ModelState) -> Iterable[Any]:
        """Every call that was received ends."""
        return [call for call, record in enumerate(state[1]) if record.result == "open"]

    def fairness_label(self, event: Any) -> Any:
        """Every event is fair except faults and ends by a deadline of the client or of the first hop."""
        if event[0] in (
            "lose at first",
            "lose at second",
            "query times out",
            "finish",
            "client leaves",
            "reject",
            "upstream fails",
        ):
            return None
        if event[0] in (
            "duplicate answer",
            "duplicate frame",
            "crash second",
            "crash first",
            "expire ends",
            "close idle",
        ):
            return None
        return event


SCENARIOS = {
    "one of each": Scenario((0, 0), 1, FaultBudget(losses=1, client_drops=1)),
    "two second hops": Scenario((0,), 2, FaultBudget(losses=1, duplicate_frames=1, rejections=1)),
    "two second hops, two losses": Scenario((0,), 2, FaultBudget(losses=2, duplicate_frames=1, rejections=1)),
    "two first hops, one id": Scenario((0, 1), 1, FaultBudget(losses=1, duplicate_answers=1), ("a", "a")),
    "one id twice": Scenario((0, 0), 1, FaultBudget(losses=1, duplicate_answers=1), ("a", "a"), late=(1,)),
    "two ids, answers twice": Scenario((0, 0), 1, FaultBudget(losses=1, duplicate_answers=2)),
    "first hops crash": Scenario((0, 0), 1, FaultBudget(losses=1, crashes=1), ("a", "a")),
    "second hops crash": Scenario((0,), 2, FaultBudget(losses=2, second_crashes=1)),
    "held no more": Scenario((0, 0), 1, FaultBudget(losses=1, expiries=1)),
    "an answer too large to hold": Scenario((0,), 1, FaultBudget(losses=2, client_drops=1), held_bytes=0),
    "many losses": Scenario((0,), 1, FaultBudget(losses=3, duplicate_frames=1)),
    "two of each": Scenario((0, 1), 2, FaultBudget(losses=1)),
}


def main() -> None:
    """Explores the named scenarios, or all of them, for at most so many seconds each (by default 60):
    `python -m rigs.call_model [SECONDS] [NAME ...]`. The last line is JSON."""
    seconds, *names = sys.argv[1:] or ["60"]
    rows = []
    for name in names or SCENARIOS:
        report = explore(CallModel(name, SCENARIOS[name]), seconds=float(seconds), memory_mb=2000.0)
        rows.append(
            {
                "size": name,
                "states": report.states,
                "complete": report.complete,
                "broken": report.violation.description if report.violation is not None else None,
                "seconds": round(report.seconds, 1),
            }
        )
        print(rows[-1], flush=True)
        for event in report.trace:
            print("   ", event)
    print(json.dumps(rows))


if __name__ == "__main__":
    main()
