"""`packages` of deploy/system.toml holds what the build command calls and what the installed extension
modules are linked against: no more, no less."""

import ast
import re
import shlex
import sys
import tomllib
from collections.abc import Iterator
from importlib import metadata
from pathlib import Path

import pytest
from elftools.common.exceptions import ELFError
from elftools.elf.elffile import ELFFile

ROOT = Path(__file__).parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy/system.toml").read_text())
PACKAGES = frozenset(DEPLOY["packages"])

# As Debian's packages have them: docs/operate/packages.md says how this was checked.
COMMANDS = {"cmp": "diffutils", "cp": "coreutils", "rm": "coreutils", "python3": "python3"}
MODULES = {"pip": "python3-pip"}
LIBRARIES = {
    "ld-linux-aarch64.so.1": "libc6",
    "ld-linux-x86-64.so.2": "libc6",
    "libc.so.6": "libc6",
    "libdl.so.2": "libc6",
    "libgcc_s.so.1": "libgcc-s1",
    "libm.so.6": "libc6",
    "libpthread.so.0": "libc6",
    "librt.so.1": "libc6",
}
SHELL = "dash"  # runs the build command
TRUST = "ca-certificates"  # pip reaches its index over TLS
SPLIT_OFF = frozenset({"distutils", "ensurepip", "idlelib", "lib2to3", "tkinter", "venv"})
"""Modules of the standard library that Debian's python3 leaves to packages of their own."""


def commands(build: str) -> tuple[set[str], set[str]]:
    """Programs that a shell line calls, and modules that it has an interpreter run."""
    words = list(shlex.shlex(build, posix=True, punctuation_chars=True))
    programs, modules, first = set(), set(), True
    for at, word in enumerate(words):
        if re.fullmatch(r"[;&|()]+", word):
            first = True
        elif first:
            programs.add(word)
            first = False
        elif word == "-m":
            modules.add(words[at + 1])
    return programs, modules


def distributions(requirements: Path) -> Iterator[metadata.Distribution]:
    """What a file of requirements installs, with all that these need."""
    lines = [line.split("#")[0].strip() for line in requirements.read_text().splitlines()]
    wanted = [line for line in lines if line and not line.startswith("-r ")]
    for line in lines:
        if line.startswith("-r "):
            yield from distributions(requirements.parent / line.removeprefix("-r "))
    for line in wanted:
        name = re.split(r"[=<>~! ]", line)[0]
        yield metadata.distribution(name)


def linked(path: Path) -> set[str]:
    """Names of the shared libraries that an ELF file is linked against."""
    with path.open("rb") as file:
        dynamic = ELFFile(file).get_section_by_name(".dynamic")
        assert dynamic is not None, path
        return {tag.needed for tag in dynamic.iter_tags() if tag.entry.d_tag == "DT_NEEDED"}


def test_the_list_is_what_the_build_calls_and_what_the_wheels_are_linked_against() -> None:
    programs, modules = commands(DEPLOY["build"])
    assert programs and modules
    needed = {SHELL, TRUST}
    needed |= {COMMANDS[program] for program in programs}
    needed |= {MODULES[module] for module in modules}
    needed |= {COMMANDS[role["run"].split()[0]] for role in DEPLOY["roles"].values()}
    extensions = []
    for distribution in distributions(ROOT / "requirements-mesh.txt"):
        files = [Path(str(distribution.locate_file(file))) for file in distribution.files or ()]
        extensions += [file for file in files if ".so" in file.suffixes]
    assert len(extensions) >= 5
    bundled = {file.name for file in extensions}
    for extension in extensions:
        needed |= {LIBRARIES[name] for name in linked(extension) - bundled}
    assert needed == PACKAGES


def test_the_programs_import_nothing_that_debian_splits_off_its_python() -> None:
    files = [
        *(ROOT / "mesh").rglob("*.py"),
        *(ROOT / "hareloom").glob("*.py"),
        *(ROOT / "anisestair").rglob("*.py"),
    ]
    for file in files:
        for node in ast.walk(ast.parse(file.read_text())):
            names = [alias.name for alias in node.names] if isinstance(node, ast.Import) else []
            names += [node.module] if isinstance(node, ast.ImportFrom) and node.module else []
            assert SPLIT_OFF.isdisjoint(name.split(".")[0] for name in names), file


def test_a_command_that_no_listed_package_brings_is_seen() -> None:
    programs, modules = commands("[ a -nt b ] || (make -s all && python3 -m venv target; curl x | tar -x)")
    assert programs == {"[", "make", "python3", "curl", "tar"}
    assert modules == {"venv"}


def test_what_is_read_of_a_file_is_what_the_loader_would_look_for(tmp_path: Path) -> None:
    assert "libc.so.6" in linked(Path(sys.executable).resolve())
    (tmp_path / "none.so").write_bytes(b"no ELF file")
    with pytest.raises(ELFError):
        linked(tmp_path / "none.so")
