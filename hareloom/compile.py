"""Compiles the package with mypyc for `hareloom.ahead`. Needs mypy, setuptools and a C compiler.

python -m hareloom.compile
"""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

from hareloom import ahead
from hareloom.ahead import COMPILED, folder

HERE = Path(ahead.HERE)


def build(into: Path, level: str = "3") -> Path:
    """Builds into a folder, which appears complete or not at all. Raises CalledProcessError on failure."""
    with tempfile.TemporaryDirectory() as scratch:
        package = Path(scratch) / HERE.name
        shutil.copytree(HERE, package, ignore=shutil.ignore_patterns("__pycache__"))
        command = [sys.executable, "-m", "mypyc", "--strict", *(f"{HERE.name}/{name}" for name in COMPILED)]
        env = os.environ | {"MYPYC_OPT_LEVEL": level, "MYPYC_DEBUG_LEVEL": "0", "HARELOOM_PLAIN": "1"}
        subprocess.run(command, cwd=scratch, env=env, check=True, stdout=subprocess.DEVNULL)
        into.parent.mkdir(parents=True, exist_ok=True)
        unfinished = Path(tempfile.mkdtemp(dir=into.parent))
        unfinished.chmod(0o755)  # another user may run it
        (unfinished / HERE.name).mkdir()
        for library in package.glob("*.so"):
            shutil.copy2(library, unfinished / HERE.name)
        for library in Path(scratch).glob("*.so"):
            shutil.copy2(library, unfinished)
        shutil.rmtree(into, ignore_errors=True)
        unfinished.rename(into)
    return into


if __name__ == "__main__":
    print(build(folder()))
