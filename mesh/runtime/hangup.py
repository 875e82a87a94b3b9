"""SIGHUP while a process cannot act on it yet, or no more.

The system's default is to end the process. Programs set it aside before all else: what changed in the
settings meanwhile is found by the first look at the file.
"""

import signal


def ignore_hangup() -> None:
    """From now on SIGHUP does nothing, until a loop handles it."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
