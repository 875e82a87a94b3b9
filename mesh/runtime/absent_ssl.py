"""A placeholder for the standard module ``ssl``.

Neither program speaks TLS, yet asyncio and uvloop import ``ssl``, and with it libssl and libcrypto: 1.3 MB of
each process. They bind some of its names (exception and context classes, error codes) and use none of them
unless a connection asks for TLS.

Each class is an exception class that raises when instantiated, and each constant is 0. A version of either
library that binds further names still imports, and any use of TLS fails with an explanation.
"""


class AbsentError(Exception):
    """TLS was requested in a program without TLS support."""

    def __init__(self, *_: object, **__: object) -> None:
        """Accepts the arguments of any class that it replaces."""
        super().__init__("ssl is left out of this program; see mesh/runtime/absent_ssl.py")


def create_default_context(*_: object, **__: object) -> None:
    """Always raises AbsentError."""
    raise AbsentError


def __getattr__(name: str) -> object:
    """Returns a placeholder: 0 for a name in capitals (a constant), else an exception class."""
    if name.startswith("__"):
        raise AttributeError(name)
    value: object = 0 if name.isupper() else type(name, (AbsentError,), {})
    globals()[name] = value
    return value
