"""Ignores signals while a process cannot handle them yet, or any more.

The default action of SIGHUP ends the process. Programs ignore it first of all: a change of the settings in
the meantime is found by the first poll of the file.
"""

import signal


def ignore_hangup() -> None:
    """Ignores SIGHUP until an event loop handles it."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def ignore_signals() -> None:
    """Ignores all signals that a platform sends, except SIGKILL. An interpreter that exits restores the
    default actions in place of handlers, but keeps ignored signals ignored."""
    for number in (signal.SIGHUP, signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.SIG_IGN)
