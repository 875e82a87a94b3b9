"""`config generate`, `explain`, `diff`, `schema` and `try`, and which modules a starting sidecar loads."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
from pathlib import Path

import config_corpus as corpus
import pytest

from anisestair.configure import behaviour, command, folder, sizing
from anisestair.configure.behaviour import Impact
from anisestair.configure.derive import derive, derive_keeping_edits, to_toml
from anisestair.configure.description import parse_app, schema
from anisestair.configure.findings import RULES, Role, dotted
from anisestair.configure.judge_app import CheckResult, check_bundle
from anisestair.configure.source import read_json, read_toml

ROOT = Path(__file__).parent.parent
APPS = corpus.APPS


def files(path: Path) -> dict[str, bytes]:
    return {each.name: each.read_bytes() for each in sorted(path.iterdir())}


def test_the_same_description_gives_the_same_bytes_in_any_process(tmp_path: Path) -> None:
    generated = []
    for number in range(2):
        out = tmp_path / str(number)
        environ = os.environ | {
            "PYTHONHASHSEED": str(number),
            "BALANCER_NAME": f"n{number}",
            "TZ": f"X{number}",
        }
        command_line = [
            sys.executable,
            "-m",
            "anisestair",
            "config",
            "generate",
            str(APPS / "shop.toml"),
            "--out",
            str(out),
        ]
        subprocess.run(command_line, cwd=ROOT, env=environ, check=True, capture_output=True, timeout=60)
        generated.append(files(out))
    assert generated[0] == generated[1] and set(generated[0]) == {"app.toml", "config.json", "sidecar.toml"}


def test_generating_again_changes_nothing_and_leaves_no_other_file(tmp_path: Path) -> None:
    assert command.main(["generate", str(APPS / "stall.toml"), "--out", str(tmp_path)]) == 0
    once = files(tmp_path)
    assert command.main(["generate", str(tmp_path / "app.toml")]) == 0
    assert files(tmp_path) == once


def test_edits_by_hand_are_kept_if_they_are_valid_and_are_reported(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    stall = corpus.CaseMaker("stall")
    platform = stall.platform
    for path, value in (
        (("settings", "limits", "max-attempts"), 2),
        (("settings", "classes", 0, "idempotency"), "guarded"),
        (("settings", "classes", 1, "window-ms"), 3000.0),
        (("settings", "classes", 1, "key-scope"), "all"),
        (("settings", "rules", "cold-ms"), 100.0),
        (("settings", "limits", "may-cancel"), 1),
        (("seed",), "1"),
    ):
        platform = corpus.with_value(platform, path, value)
    corpus.config_files(platform, None, stall.app).write(tmp_path)
    assert command.main(["generate", str(tmp_path / "app.toml")]) == 0
    output = capsys.readouterr().out
    assert "kept: settings.limits.max-attempts = 2, edited; the derived value is 3" in output
    assert "kept: settings.classes[1].window-ms = 3000.0" in output
    for field, rule in (
        ("settings.classes[0].idempotency = 'guarded'", "sale-repeats"),
        ("settings.classes[1].key-scope = 'all'", "keyed-group"),
        ("settings.rules.cold-ms = 100.0", "cold-start"),
        ("settings.limits.may-cancel = 1", "wrong-type"),
    ):
        assert f"not kept: {field}: {rule}: " in output
    written = json.loads((tmp_path / "config.json").read_text())
    assert written["settings"]["limits"]["max-attempts"] == 2
    assert written["settings"]["classes"][0]["idempotency"] == "single_shot"
    assert written["seed"] == stall.platform["seed"]
    assert command.main(["check", str(tmp_path), "--strict"]) == 0
    assert command.main(["generate", str(tmp_path / "app.toml"), "--anew"]) == 0
    assert (tmp_path / "config.json").read_text() == corpus.to_json(stall.platform)


def test_two_edits_that_are_valid_only_separately_are_not_both_kept() -> None:
    # A promise of 1,100 fits the derived give-up of 1,200, and a give-up of 1,000 fits the derived promise of
    # 400, but not each other.
    stall = corpus.CaseMaker("stall")
    platform = corpus.with_value(stall.platform, ("settings", "classes", 0, "promise-ms"), 1100.0)
    platform = corpus.with_value(platform, ("settings", "classes", 0, "give-up-ms"), 1000.0)
    app = parse_app(read_toml("x", stall.app).data)
    found = derive_keeping_edits(app, stall.app, read_json("config.json", corpus.to_json(platform)), None)
    assert len(found.kept) == len(found.dropped) == 1
    assert "time-outs" in found.dropped[0]


def test_an_unreadable_existing_file_is_reported_and_replaced(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "config.json").write_text("{")
    assert command.main(["generate", str(APPS / "stall.toml"), "--out", str(tmp_path)]) == 0
    assert "not kept" in capsys.readouterr().out
    assert command.main(["check", str(tmp_path)]) == 0


def test_nothing_is_written_if_the_machine_is_too_small_for_the_description(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    app = tmp_path / "app.toml"
    app.write_text((APPS / "stall.toml").read_text() + "\n[machine]\ndescriptors = 128\n")
    assert command.main(["generate", str(app)]) == 1
    output = capsys.readouterr().err
    line = app.read_text().splitlines().index("descriptors = 128") + 1
    assert f"{app}:{line}:1: error: capacity: machine.descriptors" in output
    assert list(tmp_path.iterdir()) == [app]


@pytest.mark.parametrize("name", ["missing.toml", "config.json"])
def test_an_invalid_description_is_reported_in_one_line(
    name: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "config.json").write_text("{}")
    assert command.main(["generate", str(tmp_path / name)]) == 2
    output = capsys.readouterr().err
    assert output.count("\n") == 1 and name in output


def test_every_derived_value_has_its_reason_and_explain_prints_it(capsys: pytest.CaptureFixture[str]) -> None:
    for seed in range(10):
        app = parse_app(read_toml("x", corpus.random_app(seed)).data)
        derived = derive(app)
        explained = {dotted(item.path) for item in derived.reasons}
        roots = [(derived.platform, Role.PLATFORM)] + (
            [(derived.operator, Role.OPERATOR)] if derived.operator else []
        )
        for root, _ in roots:
            for path in leaves(root):
                # A list, such as the empty server list, is one value with one reason.
                assert any(dotted(path).startswith(name) for name in explained), path
        assert all(item.explanation for item in derived.reasons)
    assert command.main(["explain", "settings.limits.max-attempts", str(APPS / "stall.toml")]) == 0
    output = capsys.readouterr().out
    assert output.count("\n") == 1 and "1200" in output and "200" in output, "with the figures"
    assert command.main(["explain", "cold"]) == 0
    assert capsys.readouterr().out.count("\n") == 2
    assert command.main(["explain", "sale-repeats"]) == 0
    assert RULES["sale-repeats"] in capsys.readouterr().out
    assert command.main(["explain", "nothing-like-it"]) == 2


def leaves(value: object, base: tuple[str | int, ...] = ()) -> list[tuple[str | int, ...]]:
    if isinstance(value, dict):
        return [path for key, item in value.items() for path in leaves(item, (*base, key))]
    if isinstance(value, list) and value and isinstance(value[0], dict):
        return [path for number, item in enumerate(value) for path in leaves(item, (*base, number))]
    return [base]


def test_derived_capacity_is_the_least_that_passes_the_check() -> None:
    app = parse_app(read_toml("x", (APPS / "stall.toml").read_text()).data)
    required = sizing.requirements(app)
    # Calculated by hand: 4 + 12/s for 1.2 s, and 2 + 24/s for 4 s.
    assert required.calls == 4 + 15 + 2 + 96
    assert sizing.client_connections(required.descriptors, rpc=False) >= required.calls
    assert (
        required.descriptors - sizing.DESCRIPTOR_STEP
        < 2 * required.calls + sizing.RESERVED_DESCRIPTORS
        <= required.descriptors
    )


def test_encoded_toml_reads_back_equal() -> None:
    for seed in range(60):
        derived = derive(parse_app(read_toml("x", corpus.random_app(seed)).data))
        if derived.operator is not None:
            found = read_toml("x", derived.operator_text)
            assert found.failure is None and found.data == derived.operator
    odd = {"rpc": {"listen": 'a"\\\n\x7f\u2028é😀', "turned_away": [{"why": 'b"'}, 3, True, 1.5]}}
    assert read_toml("x", to_toml(odd)).data == odd


def test_the_published_schema_is_that_of_the_types() -> None:
    published = json.loads((ROOT / "deploy" / "app.schema.json").read_text())
    assert published == json.loads(json.dumps(schema())), (
        "python -m anisestair config schema > deploy/app.schema.json"
    )
    call = published["$defs"]["Call"]
    assert set(call["required"]) == {"name", "repeat", "wanted_ms", "given_up_ms", "rate"}
    assert call["properties"]["repeat"]["enum"] and call["additionalProperties"] is False


def test_the_pinned_versions_are_the_same_in_all_files() -> None:
    project = (ROOT / "pyproject.toml").read_text()
    pins = re.findall(
        r"^(?!#|-r)(\S+==\S+)$", (ROOT / "requirements-configure.txt").read_text(), re.MULTILINE
    )
    extras = re.search(r"^configure = (.*)$", project, re.MULTILINE)
    assert extras is not None and sorted(json.loads(extras[1])) == sorted(pins)


# Comparing configurations


def check_files(config: corpus.ConfigFiles) -> CheckResult:
    bundle = config.bundle()
    return check_bundle(bundle, folder.sidecar_environ(bundle, {}))


def described_changes(old: corpus.ConfigFiles, new: corpus.ConfigFiles) -> list[tuple[Impact, str]]:
    return [
        (item.impact, item.message) for item in behaviour.describe_changes(check_files(old), check_files(new))
    ]


@pytest.mark.parametrize(
    ("path", "value", "impact", "expected"),
    [
        (("settings", "classes", 0, "idempotency"), "free", Impact.RISK, "class 'sale' may now run twice"),
        (
            ("settings", "classes", 1, "key-scope"),
            "all",
            Impact.RISK,
            "no longer one cell; if servers do not know",
        ),
        (
            ("settings", "classes", 1, "window-ms"),
            9000.0,
            Impact.RISK,
            "for 9000 ms, not 8000; if servers forget",
        ),
        (
            ("settings", "classes", 1, "idempotency"),
            "single_shot",
            Impact.SAFER,
            "never retried once they may",
        ),
        (("settings", "classes", 1, "name"), "list", Impact.RISK, "'listing' are no longer accepted"),
        (("settings", "classes", 0, "give-up-ms"), 1000.0, Impact.RISK, "given up after 1000 ms, not 1200"),
        (
            ("settings", "classes", 0, "promise-ms"),
            300.0,
            Impact.OTHER,
            "promised an answer within 300 ms, not 400",
        ),
        (("settings", "classes", 0, "importance"), 1.0, Impact.OTHER, "a different worth"),
        (("settings", "rules", "drain-grace-ms"), 3000.0, Impact.RISK, "drain for 3000 ms, not 2000"),
        (("settings", "rules", "cold-ms"), 1000.0, Impact.RISK, "reduced share for 1000 ms, not 9000"),
        (("settings", "rules", "cold-from"), 0.1, Impact.SAFER, "0.1 of its share at first, not 0.3"),
        (("settings", "peers-total"), 10, Impact.RISK, "one of 10 sidecars, not 60"),
        (("settings", "limits", "max-attempts"), 1, Impact.RISK, "at most 1 attempts, not 3"),
        (("settings", "limits", "keepalive-ms"), 9000.0, Impact.RISK, "kept for 9000 ms, not 5000"),
        (("settings", "limits", "connect-timeout-ms"), 100.0, Impact.OTHER, "costs up to 100 ms, not 200"),
        (("settings", "limits", "retry-after"), False, Impact.RISK, "retry within 0 ms, not 2000"),
        (("settings", "limits", "may-cancel"), False, Impact.OTHER, "attempts are never cancelled"),
        (("settings", "discovery"), "push", Impact.OTHER, "an agent on this machine"),
        (("settings", "locality"), "selfoss", Impact.OTHER, "location is 'selfoss', not 'reykjavik'"),
        (("limits", "sockets"), 128, Impact.RISK, "connections of the application are accepted, not"),
        (("listen",), "127.0.0.1:5001", Impact.OTHER, "listens on 127.0.0.1:5001, not 127.0.0.1:5000"),
        (("seed",), "xyz", Impact.RISK, "a sidecar would not start with the new configuration"),
    ],
)
def test_a_change_is_described_by_its_effect_on_calls(
    path: tuple[str | int, ...], value: object, impact: Impact, expected: str
) -> None:
    stall = corpus.CaseMaker("stall")
    old = corpus.config_files(stall.platform)
    new = corpus.config_files(corpus.with_value(stall.platform, path, value))
    assert described_changes(old, old) == []
    found = described_changes(old, new)
    assert any(impact is kind and expected in message for kind, message in found), found


def test_methods_are_compared_by_their_class_not_by_their_patterns() -> None:
    shop = corpus.CaseMaker("shop")
    assert shop.operator is not None
    old = corpus.config_files(shop.platform, shop.operator)
    other_order = corpus.with_value(shop.operator, ("rpc", "methods"), shop.operator["rpc"]["methods"][::-1])
    assert described_changes(old, corpus.config_files(shop.platform, other_order)) == []
    twice = corpus.with_value(shop.operator, ("rpc", "methods", 0, "class"), "look")
    assert described_changes(old, corpus.config_files(shop.platform, twice))[0] == (
        Impact.RISK,
        "calls of 'order.sale' are of class 'look', not 'sale': they may now run twice",
    )
    assert (Impact.RISK, "MessagePack-RPC is no longer enabled") in described_changes(
        old, corpus.config_files(shop.platform)
    )
    away = corpus.with_value(shop.operator, ("rpc", "turned_away"), ["busy", "late"])
    assert (
        "'late' are treated as not run"
        in described_changes(old, corpus.config_files(shop.platform, away))[0][1]
    )


def test_diff_prints_risks_first_and_its_exit_code_tells_whether_there_are_any(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    stall = corpus.CaseMaker("stall")
    corpus.config_files(stall.platform, None, stall.app).write(tmp_path / "old")
    changed = corpus.with_value(stall.platform, ("settings", "classes", 0, "promise-ms"), 300.0)
    changed = corpus.with_value(changed, ("settings", "classes", 0, "idempotency"), "free")
    corpus.config_files(changed, None, stall.app).write(tmp_path / "new")
    old, new = str(tmp_path / "old"), str(tmp_path / "new" / "config.json")
    assert command.main(["diff", old, new]) == 1
    output = capsys.readouterr().out.splitlines()
    assert output[0].startswith("risk: calls of class 'sale' may now run twice") and output[1].startswith(
        "other: "
    )
    assert command.main(["diff", old, old]) == 0
    assert capsys.readouterr().out == "no change in behaviour\n"
    assert command.main(["diff", str(tmp_path), old]) == 2


# Trials


async def run_trial(
    *arguments: str, send: int = 0, sigint_ignored: bool = False
) -> tuple[int, str, str, list[int]]:
    """The command's exit code, its output, and the processes that it started. ``sigint_ignored``: it is
    started like a background process of a shell without job control."""
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "anisestair", "config", "try", *arguments),
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        preexec_fn=(lambda: signal.signal(signal.SIGINT, signal.SIG_IGN)) if sigint_ignored else None,
    )
    assert process.stderr is not None
    first = await asyncio.wait_for(
        process.stderr.readline(), 20.0
    )  # the first line of progress: the sidecar runs
    children = [
        int(pid) for pid in Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text().split()
    ]
    if send:
        process.send_signal(send)
    out, err = await asyncio.wait_for(process.communicate(), 60.0)
    assert process.returncode is not None
    return process.returncode, out.decode(), (first + err).decode(), children


async def is_gone(pid: int) -> bool:
    for _ in range(200):
        stat = Path(f"/proc/{pid}/stat")
        if not stat.exists() or stat.read_text().rpartition(")")[2].split()[0] == "Z":
            return True
        await asyncio.sleep(0.05)
    return False


def test_a_trial_prints_a_table_and_leaves_no_process_running() -> None:
    async def test() -> None:
        code, out, err, children = await run_trial(str(APPS / "stall.toml"), "--seconds", "3")
        assert code == 0 and "all four rules were kept" in out and "Traceback" not in err
        assert re.search(r"^sale +\d+ +\d+ +\d+ +\d+ +0 ", out, re.MULTILINE) and "shares: s-0" in out
        assert children and all([await is_gone(pid) for pid in children])

    asyncio.run(test())


@pytest.mark.parametrize("sigint_ignored", [False, True], ids=["", "in the background"])
@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_a_try_that_is_stopped_leaves_nothing_running(number: int, sigint_ignored: bool) -> None:
    async def test() -> None:
        code, out, _, children = await run_trial(
            str(APPS / "stall.toml"), "--seconds", "60", send=number, sigint_ignored=sigint_ignored
        )
        assert code != 0 and out.count("\n") == 0
        assert children and all([await is_gone(pid) for pid in children])

    asyncio.run(test())


def test_an_existing_configuration_is_tried_and_one_with_errors_only_with_unsafe(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    shop = corpus.CaseMaker("shop")
    assert shop.operator is not None
    unsafe = corpus.with_value(shop.operator, ("rpc", "methods", 0, "class"), "look")
    corpus.config_files(shop.platform, unsafe, shop.app).write(tmp_path)
    arguments = ["try", str(tmp_path / "app.toml"), "--seconds", "4"]
    assert command.main(arguments) == 1
    output = capsys.readouterr()
    assert "sale-repeats" in output.err and "not tried" in output.err and "shares" not in output.out
    assert command.main([*arguments, "--unsafe", "--seed", "3"]) in (0, 1)
    assert "unchanged" in capsys.readouterr().out
    assert command.main([*arguments, "--seconds", "1e9"]) == 2


# Modules of disabled features are not loaded


def test_the_check_at_the_start_loads_no_optional_libraries_for_http_only(tmp_path: Path) -> None:
    stall = corpus.CaseMaker("stall")
    corpus.config_files(corpus.with_value(stall.platform, ("settings", "rules", "cold-ms"), 0)).write(
        tmp_path
    )
    program = (
        "import sys, os; from anisestair.configure import startup; import anisestair.serving;"
        "found = startup.finding_lines(os.environ); assert len(found) == 1 and 'cold-start' in found[0];"
        "loaded = [n for n in ('msgspec', 'msgpack', 'anisestair.rpc', 'difflib',"
        " 'anisestair.configure.derive', 'anisestair.configure.judge_app', 'rigs') if n in sys.modules];"
        "assert not loaded, loaded"
    )
    environ = {"BALANCER_CONFIG": str(tmp_path / "config.json")}
    found = subprocess.run(
        [sys.executable, "-c", program], cwd=ROOT, env=environ, capture_output=True, text=True
    )
    assert found.returncode == 0, found.stderr
