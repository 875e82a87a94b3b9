"""A counterexample as a file: saved, read back and stepped again."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from statecheck.model import Model, Violation

FORMAT = 1
MAX_BYTES = 16 * 1024 * 1024  # of a file that is read; a trace of some events is a few thousand bytes


class TraceError(Exception):
    """One line: file, field and what to do."""


@dataclass(frozen=True, slots=True)
class Trace:
    """The labels of a counterexample's events, with the model, and the bug seeded in it, that they belong
    to."""

    model: str
    bug: str
    violation: Violation
    events: tuple[str, ...]
    choices: tuple[int, ...] = ()  # in place of events that can be looked up, for a stateless run

    def save(self, path: Path) -> None:
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


def load(path: Path) -> Trace:
    """Raises TraceError for what is no trace."""
    try:
        if path.stat().st_size > MAX_BYTES:
            raise TraceError(f"{path}: larger than {MAX_BYTES} bytes: not a saved trace")
        data = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as fault:
        raise TraceError(f"{path}: cannot be read: {' '.join(str(fault).split())}") from None
    if not isinstance(data, dict) or data.get("format") != FORMAT:
        raise TraceError(f"{path}: format: not {FORMAT}: save the trace again with this version")
    for name in ("model", "bug", "property", "words"):
        if not isinstance(data.get(name), str):
            raise TraceError(f"{path}: {name}: missing or no text: save the trace again")
    for name, kind in (("events", str), ("choices", int)):
        items = data.get(name)
        if not isinstance(items, list) or not all(isinstance(item, kind) for item in items):
            raise TraceError(f"{path}: {name}: not a list of {kind.__name__}: save the trace again")
    violation = Violation(data["property"], data["words"])
    return Trace(data["model"], data["bug"], violation, tuple(data["events"]), tuple(data["choices"]))


def step_through(model: Model, events: tuple[str, ...]) -> Iterator[tuple[str, str, list[Violation]]]:
    """Play the labels again. Gives each with the state after it and the properties that it broke; raises
    TraceError where one is not enabled, since the model has changed then."""
    for start in model.initial():
        state: Any = start
        break
    for number, label in enumerate(events, 1):
        for event in model.events(state):
            if str(event) == label:
                break
        else:
            raise TraceError(f"event {number}: {label}: cannot happen here: the model is not the one it was")
        after = model.step(state, event)
        yield label, model.describe(after), list(model.violations(state, event, after))
        state = after
