"""Runs a module as a program and records the cost and the importer of each import.

    python -S -m rigs.import_trace FILE MODULE

FILE gets a line for each finished import, separated by tabs: the module, its importer, then the kilobytes of
anonymous memory and the milliseconds of CPU time, first with and then without nested imports. This module
imports only what is already loaded, so that it adds little itself.
"""

import _frozen_importlib as importer
import sys
import time

PAGE_KB = 4


def anonymous_kb() -> int:
    """Returns the anonymous memory of this process in whole pages, as it is charged."""
    with open("/proc/self/statm", "rb") as file:
        fields = file.read().split()
    return (int(fields[1]) - int(fields[2])) * PAGE_KB


def trace_imports(path: str) -> None:
    """Records every import from now on."""
    load = importer._load_unlocked  # type: ignore[attr-defined]
    nested = [[0, 0.0]]  # kilobytes and milliseconds of the nested imports of each unfinished import

    def traced(spec):  # type: ignore[no-untyped-def]
        frame = sys._getframe(1)
        while frame.f_back is not None and "importlib" in frame.f_code.co_filename:
            frame = frame.f_back
        start_kb, start_s = anonymous_kb(), time.process_time()
        nested.append([0, 0.0])
        try:
            return load(spec)
        finally:
            total_kb, total_ms = anonymous_kb() - start_kb, (time.process_time() - start_s) * 1000.0
            nested_kb, nested_ms = nested.pop()
            nested[-1][0] += total_kb
            nested[-1][1] += total_ms
            own = f"{total_kb - nested_kb}\t{total_ms - nested_ms:.2f}"
            with open(path, "a") as file:
                file.write(
                    f"{spec.name}\t{frame.f_globals.get('__name__')}\t{total_kb}\t{total_ms:.2f}\t{own}\n"
                )

    importer._load_unlocked = traced  # type: ignore[attr-defined]


def main() -> None:
    """Runs the command."""
    path, module = sys.argv[1:3]
    trace_imports(path)
    import runpy

    sys.argv = [module]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
