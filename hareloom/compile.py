"""Compiles the decisions with mypyc, for `hareloom.ahead` to find. Needs mypy, setuptools and a C compiler.

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
    """Raises CalledProcessError where that does not work; the folder is there whole, or not at all."""
    with tempfile.TemporaryDirectory() as scratch:
        place = Path(scratch) / HERE.name
        shutil.copytree(HERE, place, ignore=shutil.ignore_patterns("__pycache__"))
        words = [sys.executable, "-m", "mypyc", "--strict", *(f"{HERE.name}/{name}" for name in COMPILED)]
        env = os.environ | {"MYPYC_OPT_LEVEL": level, "MYPYC_DEBUG_LEVEL": "0", "HARELOOM_PLAIN": "1"}
        subprocess.run(words, cwd=scratch, env=env, check=True, stdout=subprocess.DEVNULL)
        into.parent.mkdir(parents=True, exist_ok=True)
        unfinished = Path(tempfile.mkdtemp(dir=into.parent))
        unfinished.chmod(0o755)  # whoever runs it may be another than who built it
        (unfinished / HERE.name).mkdir()
        for item in place.glob("*.so"):
            shutil.copy2(item, unfinished / HERE.name)
        for item in Path(scratch).glob("*.so"):
            shutil.copy2(item, unfinished)
        shutil.rmtree(into, ignore_errors=True)
        unfinished.rename(into)
    return into


if __name__ == "__main__":
    print(build(folder()))
