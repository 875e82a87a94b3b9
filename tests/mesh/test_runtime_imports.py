"""The modules that both programs import when started as in the deploy file, and the placeholders of blocked
ones."""

from __future__ import annotations

import asyncio
import os
import shlex
import shutil
import subprocess
import sys
import sysconfig
import tomllib
from pathlib import Path

import pytest

from mesh.runtime.import_policy import LIBRARIES, OWN_PACKAGES, STANDARD_LIBRARY
from rigs.mesh_demo import FIRST_PROXY_HOST, Mesh
from rigs.mesh_peers import Upstream, poll_until

ROOT = Path(__file__).parent.parent.parent
START_S = 20.0
OTHER_VERSIONS = ("3.11", "3.12", "3.13", "3.14")
LIBRARIES_PATH = sysconfig.get_path("purelib")


def arguments(program: str, _: str) -> list[str]:
    """The arguments by which the deploy file starts it, with a report of each import."""
    roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"].values()
    runs = [shlex.split(role["run"]) for role in roles]
    (run,) = [run for run in runs if run[-1] == f"mesh.{program}"]
    return ["-X", "importtime", *run[1:]]


def loaded(log: str) -> set[str]:
    """The top-level names of all modules that were imported."""
    lines = [line for line in log.splitlines() if line.startswith("import time:") and "[us]" not in line]
    return {line.rpartition("|")[2].strip().partition(".")[0] for line in lines}


def test_programs_load_what_they_may_and_nothing_else(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("PYTHONPATH", LIBRARIES_PATH)

    async def start() -> dict[str, str]:
        mesh = Mesh.create(tmp_path, 1, 1)
        mesh.command = arguments
        try:
            await mesh.start_controller(0)
            upstream = Upstream("i-0", "red", lambda _: "ok")
            await upstream.start(f"{mesh.network}.{FIRST_PROXY_HOST}")
            await mesh.start_proxy(0, upstream)
            logs = {"control_plane": tmp_path / "controller-0.log", "data_plane": tmp_path / "proxy-0.log"}

            async def started() -> bool:
                return all("started" in log.read_text() for log in logs.values())

            await poll_until(started, START_S)
            return {program: log.read_text() for program, log in logs.items()}
        finally:
            await mesh.stop()

    for program, log in asyncio.run(start()).items():
        found = {name for name in loaded(log) if not name.startswith("_")}
        assert "asyncio" in found and "mesh" in found
        assert sorted(found - OWN_PACKAGES - LIBRARIES - STANDARD_LIBRARY[program]) == [], program


WITHOUT_TLS = """
import sys
from mesh.runtime.absent_modules import block_imports
block_imports()
import asyncio, hashlib
try:
    import uvloop
    loop_factory = uvloop.new_event_loop
except ImportError:
    loop_factory = None
async def echo(reader, writer):
    writer.write(await reader.readline())
    writer.close()
async def main():
    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    writer.write(b"line\\n")
    assert await reader.read() == b"line\\n"
    server.close()
    try:
        import ssl
        ssl.create_default_context()
    except ssl.AbsentError as fault:
        print(fault)
loop = loop_factory() if loop_factory else asyncio.new_event_loop()
loop.run_until_complete(asyncio.wait_for(main(), 20.0))
assert len(hashlib.blake2b(b"x", digest_size=8).digest()) == 8
print(sorted(name for name in ("_ssl", "_hashlib", "email") if sys.modules.get(name)))
"""


def interpreters() -> list[str]:
    """This interpreter, and those of the other versions that are installed and start."""
    found = [shutil.which(f"python{version}") for version in OTHER_VERSIONS]
    return [
        sys.executable,
        *(
            one
            for one in found
            if one and not subprocess.run([one, "-c", ""], capture_output=True).returncode
        ),
    ]


@pytest.mark.parametrize("python", interpreters())
def test_loops_and_digests_work_without_tls_on_each_interpreter_that_is_here(python: str) -> None:
    command = [python, "-S", "-c", WITHOUT_TLS]
    libraries = {"PYTHONPATH": LIBRARIES_PATH if python == sys.executable else ""}
    ended = subprocess.run(
        command, cwd=ROOT, env={**os.environ, **libraries}, capture_output=True, text=True, timeout=60
    )
    assert ended.returncode == 0, ended.stderr
    assert ended.stdout.splitlines() == [
        "ssl is left out of this program; see mesh/runtime/absent_ssl.py",
        "[]",
    ]
