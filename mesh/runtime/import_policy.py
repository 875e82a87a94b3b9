"""The modules that the daemons may import, for the test that enforces it. No daemon loads this module.

Most of a process's memory goes to imports: a module added here costs each process what ``benchmarks.memory``
shows for it. ``absent_modules`` lists the blocked ones.
"""


def _names(text: str) -> frozenset[str]:
    return frozenset(text.split())


OWN_PACKAGES = _names("anisestair hareloom mesh")
LIBRARIES = _names("httptools lmdb msgspec uvloop")

INTERPRETER = _names(
    """abc codecs copyreg encodings enum functools genericpath importlib io itertools keyword marshal operator
    os pkgutil posix posixpath re reprlib runpy stat types typing warnings zipimport"""
)
"""Loaded at the interpreter's start, or needed by everything else."""

EVENT_LOOP = _names(
    """array ast asyncio atexit collections concurrent contextlib contextvars dis errno fcntl gc heapq inspect
    linecache locale logging math opcode queue select selectors signal socket string struct subprocess
    textwrap threading time token tokenize traceback weakref"""
)
"""Needed by asyncio and uvloop."""

MESSAGES = _names("datetime decimal numbers platform uuid zlib")
"""Needed by msgspec, which supports their types."""

SERVING = _names("bisect copy dataclasses hashlib http json random tomllib")
"""Needed by this project's modules."""

STORE = _names("fnmatch ipaddress ntpath pathlib urllib")
"""Needed by the control plane's store for file paths."""

ABSENT = _names("java msvcrt nt org typing_extensions winreg")
"""Import attempts that fail: modules of other platforms, and blocked ones."""

STANDARD_LIBRARY = {
    "data_plane": INTERPRETER | EVENT_LOOP | MESSAGES | SERVING | ABSENT,
    "control_plane": INTERPRETER | EVENT_LOOP | MESSAGES | SERVING | ABSENT | STORE,
}
"""By program. Names with a leading underscore are private to the modules that load them."""
