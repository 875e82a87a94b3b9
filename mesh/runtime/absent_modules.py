"""Keeps modules out of the daemons' memory. Must run before anything else is imported.

Each of these modules is imported by a library that does not need it here:

- ``ssl``, by asyncio and uvloop, is replaced by a placeholder (``absent_ssl``), since uvloop binds its names.
- ``_hashlib``, by hashlib, also loads libcrypto; without it hashlib uses the interpreter's own functions, as
  in builds without OpenSSL. The daemons use only blake2b, which OpenSSL never provides.
- ``typing_extensions``, by msgspec, which falls back to ``typing``.

None in ``sys.modules`` makes an import of that name raise ImportError.
"""

import sys

BLOCKED = ("_hashlib", "typing_extensions")


def block_imports() -> None:
    """Blocks or replaces the modules, except those already imported: tests and tools share the process
    with other users of them."""
    for name in BLOCKED:
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]
    if "ssl" not in sys.modules:
        from mesh.runtime import absent_ssl

        sys.modules["ssl"] = absent_ssl
