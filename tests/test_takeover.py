"""Replacement of a sidecar process: learned state, records, and real processes on one listening socket."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import threading
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from sockets import PATIENCE_S, FakeDiscovery, Upstream, host
from test_process import ROOT, config, connect

from anisestair.admin.readiness import Stage
from anisestair.configure.effective import ConfigError
from anisestair.recovery import beliefs, inherited, records, shares
from anisestair.recovery.meeting import RecordExchange
from anisestair.recovery.records import InvalidRecord, ProcessFiles
from anisestair.recovery.takeover import Takeover
from hareloom import Balancer
from hareloom import interface as api
from rigs.versions import Platform, call

# Learned state

COST = st.floats(0.0, 1e6)
SERVER = st.builds(
    api.LearntServer,
    st.sampled_from("abc"), st.none() | st.floats(-1e9, 1e9), st.booleans(), st.none() | COST,
    COST, COST, COST, COST,
)  # fmt: skip
CLASS = st.builds(
    api.LearntClass,
    st.sampled_from(["sale", "list"]), st.dictionaries(st.sampled_from(["", "m"]), COST), COST,
    COST, st.integers(0, 1000), COST,
)  # fmt: skip
LEARNT = st.builds(
    api.Learnt, st.lists(SERVER).map(tuple), st.lists(CLASS).map(tuple), COST, COST, st.floats(0.0, 1.0),
    st.booleans(),
)  # fmt: skip


@given(LEARNT)
def test_what_is_learnt_comes_back_from_json_as_it_was(learnt: api.Learnt) -> None:
    assert beliefs.unpack(json.loads(json.dumps(beliefs.pack(learnt)))) == learnt


@given(LEARNT, st.recursive(st.none() | st.booleans() | st.floats() | st.text(), st.lists), st.data())
def test_a_record_with_anything_in_it_is_read_or_refused(
    learnt: api.Learnt, junk: Any, data: st.DataObject
) -> None:
    record = beliefs.pack(learnt)
    name = data.draw(st.sampled_from(list(record)))
    if isinstance(record[name], list) and record[name] and data.draw(st.booleans()):
        row = data.draw(st.sampled_from(record[name]))
        row[data.draw(st.integers(0, len(row) - 1))] = junk
    else:
        record[name] = junk
    try:
        found = beliefs.unpack(record)
    except beliefs.InvalidBeliefs:
        return
    settings = api.Settings((api.RequestClass("sale", 400.0, 1200.0),))
    balancer = Balancer(settings, 1)
    balancer.handle(0.0, api.ServerList(api.ListKind.FULL, 1, (api.ServerEntry("a"), api.ServerEntry("b"))))
    balancer.believe(0.0, beliefs.faded(found, 10.0, 400.0, {"a": None, "b": None}))
    actions = balancer.handle(1.0, api.Request("r", "sale", 1001.0))
    assert any(isinstance(item, api.Send) for item in actions)


@given(LEARNT, st.floats(0.0, 1e7))
def test_beliefs_fade_with_age_and_end(learnt: api.Learnt, age: float) -> None:
    born = {"a": 5.0, "b": None}
    kept = beliefs.faded(learnt, age, 400.0, born)
    assert all(
        item.server in born and (item.started_at is None) == (born[item.server] is None)
        for item in kept.servers
    )
    assert kept.limit <= learnt.limit and kept.done <= learnt.done
    if age > beliefs.MAX_AGE_TIME_CONSTANTS * beliefs.CLASS_TIME_CONSTANT_AIMS * 400.0:
        assert kept == api.Learnt()


def test_a_server_that_began_anew_is_not_believed_of() -> None:
    item = api.LearntServer("a", 1000.0, True, 50.0, 20.0, 0.0, 300.0, 0.0)
    learnt = api.Learnt((item, replace(item, server="b"), replace(item, server="c")))
    kept = beliefs.faded(learnt, 100.0, 400.0, {"a": 1001.0, "b": 9000.0})
    assert [found.server for found in kept.servers] == ["a"]


def test_a_warm_start_goes_on_as_the_old_one_would() -> None:
    """A slow server that was taken out of use stays out; the quick one is used from the first request."""
    settings = api.Settings((api.RequestClass("sale", 400.0, 1200.0),), peers=1)
    entries = tuple(api.ServerEntry(name) for name in ("quick", "fair", "slow"))
    old = Balancer(settings, 1)
    old.handle(0.0, api.ServerList(api.ListKind.FULL, 1, entries))
    now = 0.0
    for number in range(200):
        now += 20.0
        for action in old.handle(now, api.Request(f"r{number}", "sale", now + 1200.0)):
            if isinstance(action, api.Send):
                took = {"quick": 10.0, "fair": 20.0, "slow": 900.0}[action.server]
                old.handle(now, api.AttemptEnded(action.request, 0, api.Outcome.OK, took, True))
    new = Balancer(settings, 2)
    new.handle(now, api.ServerList(api.ListKind.FULL, 1, entries))
    assert not any(server.active for server in new.servers.values())
    new.believe(now, beliefs.faded(old.learnt(now), 50.0, 400.0, dict.fromkeys(("quick", "fair", "slow"))))
    assert [name for name, server in new.servers.items() if server.active] == ["quick", "fair"]
    assert new.limits.limit > 1.0


# Records

HEAD = b"anisestair %d 00000000\n" % records.VERSION


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"\n",
        HEAD,
        HEAD + b"{}",
        b"anisestair 99 a3a6fbd1\n{}",
        b"\x00" * 100,
        b"x" * (records.MAX_RECORD_BYTES + 1),
    ],
)
def test_a_record_that_is_not_whole_is_refused(tmp_path: Path, text: bytes) -> None:
    (tmp_path / "a.state").write_bytes(text)
    with pytest.raises(InvalidRecord):
        records.read(tmp_path / "a.state")


def test_every_cut_of_a_record_is_refused(tmp_path: Path) -> None:
    path = tmp_path / "a.state"
    records.write(path, {"stage": "ready", "keeps": 7})
    text = path.read_bytes()
    assert records.read(path) == {"stage": "ready", "keeps": 7}
    for end in range(len(text)):
        path.write_bytes(text[:end])
        with pytest.raises(InvalidRecord):
            records.read(path)


def test_links_pipes_and_folders_are_no_records(tmp_path: Path) -> None:
    records.write(tmp_path / "real.state", {})
    (tmp_path / "link.state").symlink_to(tmp_path / "real.state")
    os.mkfifo(tmp_path / "pipe.state")
    (tmp_path / "folder.state").mkdir()
    for name in ("link", "pipe", "folder"):
        with pytest.raises(InvalidRecord):
            records.read(tmp_path / f"{name}.state")
    with pytest.raises(FileNotFoundError):
        records.read(tmp_path / "missing.state")


def test_what_is_told_again_takes_no_other_file(tmp_path: Path) -> None:
    """Replacing a file frees its block within the rename, which is slow on disks with online discard."""
    first, second = ProcessFiles(tmp_path, 100), ProcessFiles(tmp_path, 200)
    state = next(iter(first.others().values()))
    second.write_record({"stage": "starting", "keeps": 100_000})
    before = state.stat().st_ino
    second.write_record({"stage": "ready", "keeps": 7})  # shorter: the bytes that follow it are ignored
    assert records.read(state) == {"stage": "ready", "keeps": 7} and state.stat().st_ino == before
    second.write_for(100, {"limit": 5})
    assert first.read_from(state) == {"limit": 5} and second.read_from(state) is None
    first.remove()
    second.remove()
    assert not list(tmp_path.iterdir())


def test_a_disk_that_stands_still_holds_up_no_call(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The write of a record never returns; the event loop and the updates of the share go on."""
    stuck, entered = threading.Event(), threading.Event()
    monkeypatch.setenv("TMPDIR", str(tmp_path))

    def hang(files: ProcessFiles, data: Any) -> None:
        entered.set()
        stuck.wait()

    async def run() -> None:
        monkeypatch.setattr(ProcessFiles, "write_record", hang)
        applied: list[tuple[int, bool, bool, bool]] = []
        one = Takeover(384, 0.0, lambda: 30, api.Learnt, lambda *values: applied.append(values))
        one.start()
        one.set_stage(Stage.READY)
        async with asyncio.timeout(PATIENCE_S):
            await asyncio.to_thread(entered.wait)
            before = len(applied)
            while len(applied) < before + 3:  # updates on the event loop while the write is blocked
                await asyncio.sleep(0.01)
        assert applied[-1] == (384 - shares.RESERVED_DESCRIPTORS, True, True, True)
        stuck.set()
        one.close()

    asyncio.run(run())


def test_half_a_record_leaves_what_was_heard_before(tmp_path: Path) -> None:
    async def run() -> None:
        mine, theirs = ProcessFiles(tmp_path, 200), ProcessFiles(tmp_path, 100)
        theirs.write_record({"stage": "ready", "keeps": 300, "seen": 0, "asked": 0})
        changes: asyncio.Queue[Any] = asyncio.Queue()
        exchange = RecordExchange(mine, changes.put_nowait, asyncio.get_running_loop())
        exchange.start()
        assert exchange.known()[100]["keeps"] == 300
        path = next(iter(mine.others().values()))
        whole = path.read_bytes()
        path.write_bytes(whole[:-3])
        theirs.write_for(200, {"limit": 5})
        await asyncio.sleep(0.0)
        path.write_bytes(whole)
        theirs.write_record({"stage": "ready", "keeps": 40, "seen": 200, "asked": 200})
        async with asyncio.timeout(PATIENCE_S):
            members = await changes.get()
        assert members[100] == {
            "stage": "ready",
            "keeps": 40,
            "seen": 200,
            "asked": 200,
            "learnt": {"limit": 5},
        }
        theirs.remove()
        async with asyncio.timeout(PATIENCE_S):
            assert await changes.get() == {}
        exchange.close()

    asyncio.run(run())


def test_a_folder_full_of_what_others_left_costs_no_start(tmp_path: Path) -> None:
    for name in ("anisestair-5-1.lock", "anisestair-x-1.lock", "anisestair-6-2.state", "else.lock"):
        (tmp_path / name).write_bytes(b"?")
    (tmp_path / "anisestair-7-3.lock").mkdir()
    (tmp_path / "anisestair-8-4.lock").symlink_to("/dev/null")
    first, second = ProcessFiles(tmp_path, 100), ProcessFiles(tmp_path, 200)
    try:
        assert list(second.others()) == [100] and list(first.others()) == [200]
        assert not (tmp_path / "anisestair-5-1.lock").exists()  # the process that held it has ended
    finally:
        second.remove()
        assert first.others() == {}
        first.remove()
    assert not list(tmp_path.glob("*-100-*")) and not list(tmp_path.glob("*-200-*"))


# The inherited socket


def test_a_descriptor_that_is_not_the_clients_socket_is_named(tmp_path: Path) -> None:
    with (
        socket.create_server(("127.0.0.1", 0)) as right,
        socket.socket() as silent,
        (tmp_path / "f").open("w") as file,
    ):
        here = right.getsockname()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp, socket.socket(socket.AF_UNIX) as unix:
            for number, says in (
                (file.fileno(), "is no socket"), (10_000, "is no socket"), (udp.fileno(), "is no TCP socket"),
                (unix.fileno(), "is no TCP socket"), (silent.fileno(), "does not listen"),
            ):  # fmt: skip
                with pytest.raises(ConfigError, match=f"BALANCER_INHERITED_FD: descriptor {number} {says}"):
                    inherited.duplicate_listener(number, here)
        with pytest.raises(ConfigError, match="listens on"):
            inherited.duplicate_listener(right.fileno(), ("127.0.0.1", here[1] % 65535 + 1))
        flags = os.get_blocking(right.fileno())
        inherited.duplicate_listener(right.fileno(), here).close()
        assert os.get_blocking(right.fileno()) == flags
        with socket.create_connection(here):
            right.accept()[0].close()  # the socket still listens


@asynccontextmanager
async def platform(folder: Path, blocking: bool) -> AsyncIterator[tuple[Platform, Upstream]]:
    upstream, discovery = Upstream(), FakeDiscovery()
    await upstream.start()
    await discovery.start()
    there = Platform(ROOT, folder, config(discovery.dial, host("s-1", upstream.dial)), blocking)
    try:
        yield there, upstream
    finally:
        await there.close()
        upstream.close()
        discovery.close()


@pytest.mark.parametrize("blocking", [True, False], ids=["blocking", "not blocking"])
def test_an_upgrade_under_load_loses_no_request(tmp_path: Path, blocking: bool) -> None:
    """Requests go on over kept and new connections during the upgrade. Then a third process becomes ready
    and is killed, and the second one serves again."""

    async def run() -> None:
        async with platform(tmp_path, blocking) as (there, upstream):
            old, _ = await there.start()
            await there.wait_for_log(old, "ready")
            statuses: list[int] = []
            count, over = 0, False

            async def load(kept: bool) -> None:
                nonlocal count
                client = await connect(there.port)
                while not over:
                    count += 1
                    answer = await client.ask(f"r{count}")
                    statuses.append(answer.status)
                    if not (kept and answer.keep_alive):
                        client.writer.close()
                        client = await connect(there.port)
                client.writer.close()

            loads = [asyncio.create_task(load(number % 2 == 0)) for number in range(4)]
            new, port = await there.start()
            await there.wait_for_log(new, "warm start: 1 of 1")
            await there.wait_for_log(new, "ready")
            assert (await call(port, "/admin/health"))[0] == 200
            old.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(old.wait(), PATIENCE_S) == 0
            before = len(upstream.requests)
            while len(upstream.requests) < before + 20:
                await asyncio.sleep(0.01)
            over = True
            await asyncio.gather(*loads)
            assert set(statuses) == {200} and len(statuses) == len(upstream.requests)
            # A newer process is killed once it accepts: the previous one goes on.
            third, _ = await there.start()
            await there.wait_for_log(third, "ready")
            third.kill()
            await third.wait()
            client = await connect(there.port)
            assert (await client.ask("last")).status == 200

    asyncio.run(run())


def test_sigterm_before_it_is_ready_ends_a_start(tmp_path: Path) -> None:
    async def run() -> None:
        discovery = FakeDiscovery()
        await discovery.start()
        there = Platform(ROOT, tmp_path, config(discovery.dial))  # without upstreams it never becomes ready
        process, port = await there.start()
        assert (await call(port, "/admin/health"))[0] == 503
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(process.wait(), PATIENCE_S) == 0
        assert not list(tmp_path.glob("anisestair-*"))
        await there.close()
        discovery.close()

    asyncio.run(run())


def test_a_foreign_descriptor_ends_a_start_with_one_line(tmp_path: Path) -> None:
    async def run() -> None:
        there = Platform(ROOT, tmp_path, config("127.0.0.1:1"))
        there.listener.close()
        there.listener = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        with pytest.raises(EOFError):
            await there.start()
        (process,) = there.processes
        assert await process.wait() == 2
        await there.close()

    asyncio.run(run())
