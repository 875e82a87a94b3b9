"""Modules that the daemons keep out of their memory. Called before anything else is imported.

Each of them is imported by a library that has no use for it here:

- ``ssl``, by asyncio and uvloop, is replaced by a placeholder (``absent_ssl``), since uvloop binds its names.
- ``_hashlib``, by hashlib, loads libcrypto, too; without it hashlib takes the interpreter's own functions,
  as on interpreters that are built without OpenSSL. The daemons use blake2b alone, which is never OpenSSL's.
- ``typing_extensions``, by msgspec, which falls back to ``typing``.

None in ``sys.modules`` makes an import of that name raise ImportError.
"""

import sys

BLOCKED = ("_hashlib", "typing_extensions")


def block_imports() -> None:
    """Leaves alone what is imported already: tests and tools share a process with other users of it."""
    for name in BLOCKED:
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]
    if "ssl" not in sys.modules:
        from mesh.runtime import absent_ssl

        sys.modules["ssl"] = absent_ssl
