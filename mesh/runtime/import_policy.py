"""What the daemons may import, for the test that holds it. No daemon loads this module.

Memory is charged for every process all day, and most of it is imports: a module that comes here costs each
process what ``benchmarks.memory`` shows for it. What is kept out, and how, is in ``absent_modules``.
"""


def _names(text: str) -> frozenset[str]:
    return frozenset(text.split())


OWN_PACKAGES = _names("anisestair hareloom mesh")
LIBRARIES = _names("httptools lmdb msgspec uvloop")

INTERPRETER = _names(
    """abc codecs copyreg encodings enum functools genericpath importlib io itertools keyword marshal operator
    os pkgutil posix posixpath re reprlib runpy stat types typing warnings zipimport"""
)
"""What starts it, and what everything else stands on."""

EVENT_LOOP = _names(
    """array ast asyncio atexit collections concurrent contextlib contextvars dis errno fcntl gc heapq inspect
    linecache locale logging math opcode queue select selectors signal socket string struct subprocess
    textwrap threading time token tokenize traceback weakref"""
)
"""asyncio and uvloop."""

MESSAGES = _names("datetime decimal numbers platform uuid zlib")
"""msgspec, which knows types of these."""

SERVING = _names("bisect copy dataclasses hashlib http json random tomllib")
"""Our own modules."""

STORE = _names("fnmatch ipaddress ntpath pathlib urllib")
"""The control plane's store: paths of its files."""

ABSENT = _names("java msvcrt nt org typing_extensions winreg")
"""Looked for by others and not found: another system's, or kept out."""

STANDARD_LIBRARY = {
    "data_plane": INTERPRETER | EVENT_LOOP | MESSAGES | SERVING | ABSENT,
    "control_plane": INTERPRETER | EVENT_LOOP | MESSAGES | SERVING | ABSENT | STORE,
}
"""By program. Names that begin with an underscore belong to those that load them."""
