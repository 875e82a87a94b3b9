"""Runs a module as its program and writes down what each import costs and who asks for it.

    python -S -m rigs.import_trace FILE MODULE

A line of FILE for each import that has ended: module, who asked, then for all that it loaded and for itself
alone the kilobytes of anonymous memory and the milliseconds of processor time, between tabs. It uses nothing
that is not loaded already, so that what it adds stays small.
"""

import _frozen_importlib as importer
import sys
import time

PAGE_KB = 4


def anonymous_kb() -> int:
    """Of this process; counts whole pages, as whoever charges for them does."""
    with open("/proc/self/statm", "rb") as file:
        fields = file.read().split()
    return (int(fields[1]) - int(fields[2])) * PAGE_KB


def follow(path: str) -> None:
    """Every import from now on is written down."""
    load = importer._load_unlocked  # type: ignore[attr-defined]
    below = [[0, 0.0]]  # what the imports within each unfinished one took

    def traced(spec):  # type: ignore[no-untyped-def]
        frame = sys._getframe(1)
        while frame.f_back is not None and "importlib" in frame.f_code.co_filename:
            frame = frame.f_back
        began_kb, began = anonymous_kb(), time.process_time()
        below.append([0, 0.0])
        try:
            return load(spec)
        finally:
            took_kb, took_ms = anonymous_kb() - began_kb, (time.process_time() - began) * 1000.0
            inner_kb, inner_ms = below.pop()
            below[-1][0] += took_kb
            below[-1][1] += took_ms
            own = f"{took_kb - inner_kb}\t{took_ms - inner_ms:.2f}"
            with open(path, "a") as file:
                file.write(
                    f"{spec.name}\t{frame.f_globals.get('__name__')}\t{took_kb}\t{took_ms:.2f}\t{own}\n"
                )

    importer._load_unlocked = traced  # type: ignore[attr-defined]


def main() -> None:
    """Of this command."""
    path, module = sys.argv[1:3]
    follow(path)
    import runpy

    sys.argv = [module]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
