"""Signals while a process cannot act on them yet, or no more.

The system's default for SIGHUP is to end the process. Programs set it aside before all else: what changed in
the settings meanwhile is found by the first look at the file.
"""

import signal


def ignore_hangup() -> None:
    """From now on SIGHUP does nothing, until a loop handles it."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def ignore_signals() -> None:
    """From now on nothing that a platform sends but SIGKILL does anything: an interpreter that ends puts the
    system's default back in place of handlers, and keeps what is ignored."""
    for number in (signal.SIGHUP, signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.SIG_IGN)
