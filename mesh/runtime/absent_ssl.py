"""A placeholder for the standard module ``ssl``.

Neither program speaks TLS, yet asyncio and uvloop import ``ssl``, and with it libssl and libcrypto: 1.3 MB of
each process. They bind some of its names (exception and context classes, error codes) and use none of them
unless a connection asks for TLS.

Each class is given as an exception class that raises when it is made, each constant as 0. So a version of
either library that binds further names still imports, and whoever uses TLS is told why it fails.
"""


class AbsentError(Exception):
    """TLS was asked for in a program that has none."""

    def __init__(self, *_: object, **__: object) -> None:
        """Takes whatever the class that it stands for would take."""
        super().__init__("ssl is left out of this program; see mesh/runtime/absent_ssl.py")


def create_default_context(*_: object, **__: object) -> None:
    """Raises AbsentError."""
    raise AbsentError


def __getattr__(name: str) -> object:
    """Classes are named in capitals and small letters, constants in capitals alone."""
    if name.startswith("__"):
        raise AttributeError(name)
    value: object = 0 if name.isupper() else type(name, (AbsentError,), {})
    globals()[name] = value
    return value
