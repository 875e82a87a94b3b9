"""Counterexamples in files: saving, loading and replaying them."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from statecheck.model import Model, Violation

FORMAT = 1
MAX_BYTES = 16 * 1024 * 1024  # of a file; a usual trace takes a few kilobytes


class TraceError(Exception):
    """An unusable trace. The message is one line: file, field and remedy."""


@dataclass(frozen=True, slots=True)
class Trace:
    """A counterexample: the labels of its events, the name of its model and of the bug seeded in it, if
    any."""

    model: str
    bug: str
    violation: Violation
    events: tuple[str, ...]
    choices: tuple[int, ...] = ()  # of a stateless run, which is replayed by these and not by events

    def save(self, path: Path) -> None:
        """Write the trace to a JSON file."""
        data = {
            "format": FORMAT,
            "model": self.model,
            "bug": self.bug,
            "property": self.violation.name,
            "words": self.violation.description,
            "events": list(self.events),
            "choices": list(self.choices),
        }
        path.write_text(json.dumps(data, indent=1) + "\n", encoding="utf-8")


def load_trace(path: Path) -> Trace:
    """Load a saved trace. Raises TraceError if the file does not contain one."""
    try:
        if path.stat().st_size > MAX_BYTES:
            raise TraceError(f"{path}: larger than {MAX_BYTES} bytes: not a saved trace")
        data = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        raise TraceError(f"{path}: cannot be read: {' '.join(str(error).split())}") from None
    if not isinstance(data, dict) or data.get("format") != FORMAT:
        raise TraceError(f"{path}: format: is not {FORMAT}: save the trace again with this version")
    for name in ("model", "bug", "property", "words"):
        if not isinstance(data.get(name), str):
            raise TraceError(f"{path}: {name}: missing or not a string: save the trace again")
    for name, kind in (("events", str), ("choices", int)):
        items = data.get(name)
        if not isinstance(items, list) or not all(isinstance(item, kind) for item in items):
            raise TraceError(f"{path}: {name}: not a list of {kind.__name__}: save the trace again")
    violation = Violation(data["property"], data["words"])
    return Trace(data["model"], data["bug"], violation, tuple(data["events"]), tuple(data["choices"]))


def step_through(model: Model, events: tuple[str, ...]) -> Iterator[tuple[str, str, list[Violation]]]:
    """Replay a trace. Yields each label with the state after it and the properties that it violated. Raises
    TraceError if an event is not enabled, which means that the model has changed."""
    for start in model.initial():
        state: Any = start
        break
    for number, label in enumerate(events, 1):
        for event in model.events(state):
            if str(event) == label:
                break
        else:
            raise TraceError(
                f"event {number}: {label}: not enabled here: the model has changed since the trace was saved"
            )
        after = model.step(state, event)
        yield label, model.describe(after), list(model.violations(state, event, after))
        state = after
