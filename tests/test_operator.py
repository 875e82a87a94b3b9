"""The operator's file: valid files, error messages for invalid ones, and the program with such a file."""

from __future__ import annotations

import asyncio
import json
import re
import subprocess
import sys
from collections import Counter
from pathlib import Path

import pytest
from pynvim.msgpack_rpc import tcp_session
from sockets import PATIENCE_S, FakeDiscovery, Upstream, host
from test_process import ROOT, config, connect

from anisestair.configure.operator_file import OperatorError, load
from anisestair.configure.operator_tables import MethodTable
from rigs.rpc_peer import RpcCaller, RpcServer

VALID = """
[rpc]
listen = "127.0.0.1:0"
turned_away = ["busy", {code = 7}]
[[rpc.methods]]
pattern = "order.sale"
class = "sale"
[[rpc.methods]]
pattern = "listing.*"
class = "listing"
key = [0, "key"]
"""


def test_a_valid_file_is_read(tmp_path: Path) -> None:
    file = tmp_path / "sidecar.toml"
    file.write_text(VALID)
    table = load(file).rpc
    assert table is not None and table.methods[1] == MethodTable("listing.*", "listing", key=(0, "key"))
    assert (table.calls_per_connection, table.turned_away) == (32, ("busy", {"code": 7}))


def test_the_deployed_file_enables_no_feature() -> None:
    assert load(ROOT / "deploy" / "sidecar.toml").rpc is None


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (("[rpc]", "[rcp]"), "rcp"),
        (("listen =", "listens ="), "listens"),
        (('"127.0.0.1:0"', "7"), r"\$\.rpc\.listen"),
        (('class = "sale"', "class = 3"), r"\$\.rpc\.methods\[0\]\.class"),
        (('pattern = "order.sale"', ""), "pattern"),
        (('key = [0, "key"]', "key = [0.5]"), r"\$\.rpc\.methods\[1\]\.key"),
        (("[rpc]", "[rpc]\ncalls_in_hand = 0"), "calls_in_hand"),
        (("[rpc]", "[rpc]\ncalls_per_connection = nan"), "calls_per_connection"),
        (("[rpc]", "[rpc"), "line 2"),
        (('"127.0.0.1:0"', '"x"'), "not an address with a port"),
        (("[rpc]", "[rpc]\ncalls_in_hand = 1\ncalls_in_hand = 2"), "line 4"),
        ((VALID, '[rpc]\nlisten = "127.0.0.1:0"\nmethods = []'), "methods"),
        ((VALID, "\udcff"), "utf-8"),
        ((VALID, "a = " + "[" * 5000), "recursion|nest|Invalid|array"),
    ],
)
def test_an_invalid_file_is_reported_in_one_line(
    change: tuple[str, str], expected: str, tmp_path: Path
) -> None:
    file = tmp_path / "sidecar.toml"
    file.write_bytes(VALID.replace(*change).encode("utf-8", "surrogateescape"))
    with pytest.raises(OperatorError, match=expected) as error:
        load(file)
    assert str(file) in str(error.value) and "\n" not in str(error.value)


def test_a_file_too_large_or_missing_is_not_read(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("anisestair.configure.operator_file.MAX_BYTES", 10)
    (tmp_path / "sidecar.toml").write_text(VALID)
    with pytest.raises(OperatorError, match="larger than"):
        load(tmp_path / "sidecar.toml")
    with pytest.raises(OperatorError, match="No such file"):
        load(tmp_path / "none.toml")


def test_the_program_reports_an_invalid_file(tmp_path: Path) -> None:
    file = tmp_path / "sidecar.toml"
    file.write_text("[rcp]")
    command = [sys.executable, "-m", "anisestair", "--operator"]
    done = subprocess.run([*command, str(file)], cwd=ROOT, env={}, capture_output=True, text=True)
    assert (done.returncode, done.stderr.count("\n")) == (2, 1) and "rcp" in done.stderr
    done = subprocess.run(command, cwd=ROOT, env={}, capture_output=True, text=True)
    assert (done.returncode, done.stderr.count("\n")) == (2, 1) and "takes one file" in done.stderr


def test_the_program_serves_both_protocols_and_a_third_party_client(tmp_path: Path) -> None:
    """The third-party client is that of pynvim, which uses MessagePack-RPC to control an editor."""

    async def test() -> None:
        upstream, discovery = Upstream(), FakeDiscovery()
        run_counts: Counter[str] = Counter()
        order = RpcServer(lambda call: "ok", run_counts, set())
        await upstream.start()
        await discovery.start()
        await order.start()
        known = host("s-1", upstream.dial) | {"dial_rpc": order.dial}
        (tmp_path / "config.json").write_text(json.dumps(config(discovery.dial, known)))
        (tmp_path / "sidecar.toml").write_text(VALID)
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "anisestair", "--operator", str(tmp_path / "sidecar.toml")),
            cwd=ROOT,
            env={"BALANCER_CONFIG": str(tmp_path / "config.json")},
            stderr=asyncio.subprocess.PIPE,
        )
        assert process.stderr is not None
        ports = []
        while len(ports) < 2:
            line = (await asyncio.wait_for(process.stderr.readline(), PATIENCE_S)).decode()
            assert line, "the program ended"
            ports += [int(found[1]) for found in re.finditer(r"listening .*:(\d+)$", line.strip())]
        try:
            assert (await (await connect(ports[0])).ask("r1")).status == 200
            caller = await RpcCaller.connect(ports[1])
            assert await asyncio.wait_for(caller.send("order.sale", {"id": "a"}), PATIENCE_S) == (
                None,
                ["a", []],
            )
            caller.close()

            def call_with_pynvim() -> object:
                asyncio.set_event_loop(asyncio.new_event_loop())
                session = tcp_session("127.0.0.1", ports[1])
                return session.request("order.sale", {"id": "theirs"}, 7)

            assert await asyncio.wait_for(asyncio.to_thread(call_with_pynvim), PATIENCE_S) == ["theirs", [7]]
            process.terminate()
            assert await asyncio.wait_for(process.wait(), PATIENCE_S) == 0
        finally:
            if process.returncode is None:
                process.kill()
            await process.communicate()
        assert run_counts == Counter(a=1, theirs=1)
        for item in (upstream, discovery, order):
            item.close()

    asyncio.run(test())
