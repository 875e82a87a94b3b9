"""The log of a program that starts and is terminated, and its handling of signals."""

import asyncio
import io
import multiprocessing
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
import tomli_w

from mesh.event_log.log import EventLog
from mesh.runtime import startup
from mesh.runtime.settings import Settings, parse_settings
from tests.mesh.test_runtime_settings import example

ROOT = Path(__file__).resolve().parent.parent.parent


class Program:
    """Sends itself SIGTERM as soon as it runs."""

    def __init__(self) -> None:
        self.stopped = False

    async def start(self) -> None:
        asyncio.get_running_loop().call_soon(os.kill, os.getpid(), signal.SIGTERM)

    def apply_settings(self, settings: Settings) -> None:
        raise AssertionError(f"settings that have not changed: {settings}")

    async def stop(self) -> None:
        self.stopped = True

    def open_calls(self) -> int:
        return 3


def test_unknown_settings_and_the_word_to_end_are_told(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    file, log, program = tmp_path / "boot.toml", io.StringIO(), Program()
    file.write_text(tomli_w.dumps(example() | {f"field_{at:02}": 1 for at in range(30)}))
    monkeypatch.setenv(startup.SETTINGS_VARIABLE, str(file))
    settings = parse_settings(file.read_text())
    assert isinstance(settings, Settings)
    asyncio.run(
        startup._serve(settings, startup.file_stamp(os.environ), EventLog("n", log), lambda *_: program)
    )
    unknown, stopping = log.getvalue().splitlines()
    assert "I102 unknown settings ignored" in unknown and "field_19" in unknown and "field_20" not in unknown
    assert stopping.endswith("I103 asked to end open_calls=3") and program.stopped


class ChangedWhileStarting(Program):
    """Its settings change, with a SIGHUP, while it starts; another SIGHUP follows its end."""

    def __init__(self, file: Path) -> None:
        super().__init__()
        self.file = file
        self.applied: list[float] = []

    async def start(self) -> None:
        self.file.write_text(tomli_w.dumps(example() | {"envelope": {"grace_s": 77}}))
        os.kill(os.getpid(), signal.SIGHUP)
        await super().start()

    def apply_settings(self, settings: Settings) -> None:
        self.applied.append(settings.bounds.grace_s)


def started_under_hangups(file: str) -> int:
    """Runs in a process of its own. Returns the exit status of a program that receives SIGHUP while it starts
    and after its end."""
    os.environ[startup.SETTINGS_VARIABLE] = file
    Path(file).write_text(tomli_w.dumps(example()))
    program = ChangedWhileStarting(Path(file))
    status = startup.run(lambda *_: program)
    os.kill(os.getpid(), signal.SIGHUP)
    return status if program.stopped and program.applied == [77] else 9


def test_a_change_with_sighup_while_a_program_starts_is_taken_and_ends_nothing(tmp_path: Path) -> None:
    with multiprocessing.get_context("spawn").Pool(1) as pool:
        ended = pool.apply_async(started_under_hangups, (str(tmp_path / "boot.toml"),))
        assert ended.get(timeout=20.0) == 0  # a process that the signal killed returns no result
        # The worker ignores SIGTERM by now, so leaving the pool, which sends it, could wait for ever.
        pool.close()
        pool.join()


ENDS_UNDER_SIGNALS = """
import os, signal, sys
from tests.mesh.test_runtime_startup import Program
from mesh.runtime import startup

class SignalsAtExit:
    def __del__(self, kill=os.kill, me=os.getpid(), numbers=(signal.SIGTERM, signal.SIGINT, signal.SIGHUP)):
        for number in numbers:
            kill(me, number)

last = SignalsAtExit()  # deleted with its module, after the default actions are restored
sys.exit(startup.run(lambda *_: Program()))
"""


def test_signals_behind_an_orderly_end_do_not_turn_its_status_into_a_kill(tmp_path: Path) -> None:
    """Guards against exit status -15 after a graceful shutdown, seen in four of the first 40 soak seeds: a
    second SIGTERM arrived half a second after the first, while the interpreter exited. An exiting interpreter
    restores the default actions, which end the process; only SIGHUP was ignored for good."""
    file = tmp_path / "boot.toml"
    file.write_text(tomli_w.dumps(example()))
    environment = {**os.environ, startup.SETTINGS_VARIABLE: str(file)}
    done = subprocess.run([sys.executable, "-c", ENDS_UNDER_SIGNALS], env=environment, cwd=ROOT, timeout=20.0)
    assert done.returncode == 0
