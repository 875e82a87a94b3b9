"""Forces a thread switch at a chosen bytecode: one thread stops before its Nth bytecode while others run.

With the interpreter's lock a thread can be preempted only before a bytecode, so all values of N together
cover every way in which one thread switch can interrupt a section.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Collection
from types import FrameType
from typing import Any, TypeVar

T = TypeVar("T")
NEVER = -1


class PreemptionPoints:
    """Counts the bytecodes of functions in some files, from 1, in the thread that calls ``run``."""

    def __init__(self, files: Collection[str], stop_at: int, meanwhile: Callable[[], None]) -> None:
        """The stopped thread calls ``meanwhile`` before bytecode ``stop_at`` (NEVER: it isn't stopped)."""
        self._files, self._stop_at, self._meanwhile = frozenset(files), stop_at, meanwhile
        self.count = 0
        self.stopped_in = ""  # the function and line at which the thread was stopped

    def run(self, work: Callable[[], T]) -> T:
        """Returns or raises what ``work`` does."""
        sys.settrace(self._enter)
        try:
            return work()
        finally:
            sys.settrace(None)

    def _enter(self, frame: FrameType, _event: str, _arg: Any) -> Any:
        if frame.f_code.co_filename not in self._files:
            return None
        frame.f_trace_opcodes, frame.f_trace_lines = True, False
        return self._step

    def _step(self, frame: FrameType, event: str, _arg: Any) -> Any:
        if event == "opcode":
            self.count += 1
            if self.count == self._stop_at:
                self.stopped_in = f"{frame.f_code.co_name}:{frame.f_lineno}"
                self._meanwhile()
        return self._step
