"""Threads that change at a numbered point: one is stopped before its Nth bytecode, others run, it goes on.

With the interpreter's lock a thread may lose its turn before any bytecode and nowhere else, so all numbers
together are all ways in which one change of threads can befall a section.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Collection
from types import FrameType
from typing import Any, TypeVar

T = TypeVar("T")
NEVER = -1


class Points:
    """The bytecodes of functions of some files, counted from 1 in the thread that is in ``run``."""

    def __init__(self, files: Collection[str], stop_at: int, meanwhile: Callable[[], None]) -> None:
        """``meanwhile`` is called before bytecode ``stop_at`` (NEVER: at none), by the stopped thread."""
        self._files, self._stop_at, self._meanwhile = frozenset(files), stop_at, meanwhile
        self.count = 0
        self.where = ""  # file's line at which it was stopped

    def run(self, work: Callable[[], T]) -> T:
        """What ``work`` returns or raises."""
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
                self.where = f"{frame.f_code.co_name}:{frame.f_lineno}"
                self._meanwhile()
        return self._step
