"""`config generate`, `explain`, `diff`, `schema`, `try`; and what a starting sidecar loads of the checks."""

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
from anisestair.configure.behaviour import Turn
from anisestair.configure.derive import derive, keeping, toml
from anisestair.configure.description import convert, schema
from anisestair.configure.findings import RULES, Role, dotted
from anisestair.configure.judge_app import Judged, judge_bundle
from anisestair.configure.source import read_json, read_toml

ROOT = Path(__file__).parent.parent
APPS = corpus.APPS


def files(path: Path) -> dict[str, bytes]:
    return {each.name: each.read_bytes() for each in sorted(path.iterdir())}


def test_the_same_description_gives_the_same_bytes_in_any_process(tmp_path: Path) -> None:
    made = []
    for number in range(2):
        out = tmp_path / str(number)
        environ = os.environ | {
            "PYTHONHASHSEED": str(number),
            "BALANCER_NAME": f"n{number}",
            "TZ": f"X{number}",
        }
        words = [
            sys.executable,
            "-m",
            "anisestair",
            "config",
            "generate",
            str(APPS / "shop.toml"),
            "--out",
            str(out),
        ]
        subprocess.run(words, cwd=ROOT, env=environ, check=True, capture_output=True, timeout=60)
        made.append(files(out))
    assert made[0] == made[1] and set(made[0]) == {"app.toml", "config.json", "sidecar.toml"}


def test_generating_again_changes_nothing_and_leaves_no_other_file(tmp_path: Path) -> None:
    assert command.main(["generate", str(APPS / "stall.toml"), "--out", str(tmp_path)]) == 0
    once = files(tmp_path)
    assert command.main(["generate", str(tmp_path / "app.toml")]) == 0
    assert files(tmp_path) == once


def test_hand_made_values_are_kept_where_they_are_safe_and_named(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    stall = corpus.Maker("stall")
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
        platform = corpus.put(platform, path, value)
    corpus.texts_of(platform, None, stall.app).write(tmp_path)
    assert command.main(["generate", str(tmp_path / "app.toml")]) == 0
    said = capsys.readouterr().out
    assert "kept: settings.limits.max-attempts = 2, by hand; derived is 3" in said
    assert "kept: settings.classes[1].window-ms = 3000.0" in said
    for field, rule in (
        ("settings.classes[0].idempotency = 'guarded'", "sale-repeats"),
        ("settings.classes[1].key-scope = 'all'", "keyed-group"),
        ("settings.rules.cold-ms = 100.0", "cold-start"),
        ("settings.limits.may-cancel = 1", "wrong-type"),
    ):
        assert f"not kept: {field}: {rule}: " in said
    written = json.loads((tmp_path / "config.json").read_text())
    assert written["settings"]["limits"]["max-attempts"] == 2
    assert written["settings"]["classes"][0]["idempotency"] == "single_shot"
    assert written["seed"] == stall.platform["seed"]
    assert command.main(["check", str(tmp_path), "--strict"]) == 0
    assert command.main(["generate", str(tmp_path / "app.toml"), "--anew"]) == 0
    assert (tmp_path / "config.json").read_text() == corpus.dump(stall.platform)


def test_two_values_that_are_safe_only_apart_are_not_both_kept() -> None:
    # A promise of 1,100 fits the give-up of 1,200, and a give-up of 1,000 the promise of 400; both do not.
    stall = corpus.Maker("stall")
    platform = corpus.put(stall.platform, ("settings", "classes", 0, "promise-ms"), 1100.0)
    platform = corpus.put(platform, ("settings", "classes", 0, "give-up-ms"), 1000.0)
    app = convert(read_toml("x", stall.app).data)
    found = keeping(app, stall.app, read_json("config.json", corpus.dump(platform)), None)
    assert len(found.kept) == len(found.dropped) == 1
    assert "time-outs" in found.dropped[0]


def test_an_unreadable_older_file_is_named_and_replaced(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "config.json").write_text("{")
    assert command.main(["generate", str(APPS / "stall.toml"), "--out", str(tmp_path)]) == 0
    assert "not kept" in capsys.readouterr().out
    assert command.main(["check", str(tmp_path)]) == 0


def test_a_description_that_its_machine_cannot_carry_writes_nothing(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    app = tmp_path / "app.toml"
    app.write_text((APPS / "stall.toml").read_text() + "\n[machine]\ndescriptors = 128\n")
    assert command.main(["generate", str(app)]) == 1
    said = capsys.readouterr().err
    line = app.read_text().splitlines().index("descriptors = 128") + 1
    assert f"{app}:{line}:1: error: capacity: machine.descriptors" in said
    assert list(tmp_path.iterdir()) == [app]


@pytest.mark.parametrize("name", ["missing.toml", "config.json"])
def test_a_description_that_cannot_be_used_is_one_line(
    name: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "config.json").write_text("{}")
    assert command.main(["generate", str(tmp_path / name)]) == 2
    said = capsys.readouterr().err
    assert said.count("\n") == 1 and name in said


def test_every_derived_value_has_its_reason_and_explain_prints_it(capsys: pytest.CaptureFixture[str]) -> None:
    for seed in range(10):
        app = convert(read_toml("x", corpus.some_app(seed)).data)
        derived = derive(app)
        explained = {dotted(item.path) for item in derived.reasons}
        roots = [(derived.platform, Role.PLATFORM)] + (
            [(derived.operator, Role.OPERATOR)] if derived.operator else []
        )
        for root, _ in roots:
            for path in leaves(root):
                # A list or the empty list of servers is one value, with one reason.
                assert any(dotted(path).startswith(name) for name in explained), path
        assert all(item.figures for item in derived.reasons)
    assert command.main(["explain", "settings.limits.max-attempts", str(APPS / "stall.toml")]) == 0
    said = capsys.readouterr().out
    assert said.count("\n") == 1 and "1200" in said and "200" in said, "with the figures"
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


def test_what_is_derived_is_what_is_checked_by() -> None:
    app = convert(read_toml("x", (APPS / "stall.toml").read_text()).data)
    need = sizing.need(app)
    # 4 + 12/s for 1.2 s, and 2 + 24/s for 4 s: by hand.
    assert need.calls == 4 + 15 + 2 + 96
    assert sizing.holds(need.descriptors, rpc=False) >= need.calls
    assert need.descriptors - sizing.STEP_DESCRIPTORS < 2 * need.calls + sizing.SPARE <= need.descriptors


def test_what_the_writer_of_toml_writes_is_what_is_read() -> None:
    for seed in range(60):
        derived = derive(convert(read_toml("x", corpus.some_app(seed)).data))
        if derived.operator is not None:
            found = read_toml("x", derived.operator_text)
            assert found.flaw is None and found.data == derived.operator
    odd = {"rpc": {"listen": 'a"\\\n\x7f\u2028é😀', "turned_away": [{"why": 'b"'}, 3, True, 1.5]}}
    assert read_toml("x", toml(odd)).data == odd


def test_the_published_schema_is_that_of_the_types() -> None:
    published = json.loads((ROOT / "deploy" / "app.schema.json").read_text())
    assert published == json.loads(json.dumps(schema())), (
        "python -m anisestair config schema > deploy/app.schema.json"
    )
    call = published["$defs"]["Call"]
    assert set(call["required"]) == {"name", "repeat", "wanted_ms", "given_up_ms", "rate"}
    assert call["properties"]["repeat"]["enum"] and call["additionalProperties"] is False


def test_the_pins_are_the_same_wherever_they_stand() -> None:
    project = (ROOT / "pyproject.toml").read_text()
    pins = re.findall(
        r"^(?!#|-r)(\S+==\S+)$", (ROOT / "requirements-configure.txt").read_text(), re.MULTILINE
    )
    extras = re.search(r"^configure = (.*)$", project, re.MULTILINE)
    assert extras is not None and sorted(json.loads(extras[1])) == sorted(pins)


# Differences


def judged(texts: corpus.Texts) -> Judged:
    bundle = texts.bundle()
    return judge_bundle(bundle, folder.environ_of(bundle, {}))


def told(old: corpus.Texts, new: corpus.Texts) -> list[tuple[Turn, str]]:
    return [(item.turn, item.says) for item in behaviour.changes(judged(old), judged(new))]


@pytest.mark.parametrize(
    ("path", "value", "turn", "words"),
    [
        (("settings", "classes", 0, "idempotency"), "free", Turn.RISK, "class 'sale' may now run twice"),
        (
            ("settings", "classes", 1, "key-scope"),
            "all",
            Turn.RISK,
            "no longer one cell; where servers do not know",
        ),
        (
            ("settings", "classes", 1, "window-ms"),
            9000.0,
            Turn.RISK,
            "for 9000 ms, not 8000; where servers remember",
        ),
        (
            ("settings", "classes", 1, "idempotency"),
            "single_shot",
            Turn.SAFER,
            "never sent again once they may",
        ),
        (("settings", "classes", 1, "name"), "list", Turn.RISK, "'listing' are no longer taken"),
        (("settings", "classes", 0, "give-up-ms"), 1000.0, Turn.RISK, "given up after 1000 ms, not 1200"),
        (("settings", "classes", 0, "promise-ms"), 300.0, Turn.OTHER, "promised within 300 ms, not 400"),
        (("settings", "classes", 0, "importance"), 1.0, Turn.OTHER, "another worth"),
        (("settings", "rules", "drain-grace-ms"), 3000.0, Turn.RISK, "drain for 3000 ms, not 2000"),
        (("settings", "rules", "cold-ms"), 1000.0, Turn.RISK, "warmed share for 1000 ms, not 9000"),
        (("settings", "rules", "cold-from"), 0.1, Turn.SAFER, "0.1 of its share at first, not 0.3"),
        (("settings", "peers-total"), 10, Turn.RISK, "that of 10 sidecars, not 60"),
        (("settings", "limits", "max-attempts"), 1, Turn.RISK, "1 attempts at the most, not 3"),
        (("settings", "limits", "keepalive-ms"), 9000.0, Turn.RISK, "kept for 9000 ms, not 5000"),
        (("settings", "limits", "connect-timeout-ms"), 100.0, Turn.OTHER, "costs 100 ms, not 200"),
        (("settings", "limits", "retry-after"), False, Turn.RISK, "come back within 0 ms, not 2000"),
        (("settings", "limits", "may-cancel"), False, Turn.OTHER, "attempts run to their end"),
        (("settings", "discovery"), "push", Turn.OTHER, "an agent on this machine"),
        (("settings", "locality"), "selfoss", Turn.OTHER, "in 'selfoss', not 'reykjavik'"),
        (("limits", "sockets"), 128, Turn.RISK, "connections of the application are held, not"),
        (("listen",), "127.0.0.1:5001", Turn.OTHER, "listens on 127.0.0.1:5001, not 127.0.0.1:5000"),
        (("seed",), "xyz", Turn.RISK, "the new configuration is not one that a sidecar starts with"),
    ],
)
def test_a_change_is_told_by_what_calls_will_meet(
    path: tuple[str | int, ...], value: object, turn: Turn, words: str
) -> None:
    stall = corpus.Maker("stall")
    old = corpus.texts_of(stall.platform)
    new = corpus.texts_of(corpus.put(stall.platform, path, value))
    assert told(old, old) == []
    found = told(old, new)
    assert any(turn is kind and words in says for kind, says in found), found


def test_methods_are_compared_by_the_class_that_takes_them_not_by_their_patterns() -> None:
    shop = corpus.Maker("shop")
    assert shop.operator is not None
    old = corpus.texts_of(shop.platform, shop.operator)
    other_order = corpus.put(shop.operator, ("rpc", "methods"), shop.operator["rpc"]["methods"][::-1])
    assert told(old, corpus.texts_of(shop.platform, other_order)) == []
    twice = corpus.put(shop.operator, ("rpc", "methods", 0, "class"), "look")
    assert told(old, corpus.texts_of(shop.platform, twice))[0] == (
        Turn.RISK,
        "calls of 'order.sale' are of class 'look', not 'sale': they may now run twice",
    )
    assert (Turn.RISK, "MessagePack-RPC is no longer listened for") in told(
        old, corpus.texts_of(shop.platform)
    )
    away = corpus.put(shop.operator, ("rpc", "turned_away"), ["busy", "late"])
    assert "'late' count as never run" in told(old, corpus.texts_of(shop.platform, away))[0][1]


def test_the_command_says_the_risks_first_and_by_its_exit(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    stall = corpus.Maker("stall")
    corpus.texts_of(stall.platform, None, stall.app).write(tmp_path / "old")
    changed = corpus.put(stall.platform, ("settings", "classes", 0, "promise-ms"), 300.0)
    changed = corpus.put(changed, ("settings", "classes", 0, "idempotency"), "free")
    corpus.texts_of(changed, None, stall.app).write(tmp_path / "new")
    old, new = str(tmp_path / "old"), str(tmp_path / "new" / "config.json")
    assert command.main(["diff", old, new]) == 1
    said = capsys.readouterr().out.splitlines()
    assert said[0].startswith("risk: calls of class 'sale' may now run twice") and said[1].startswith(
        "other: "
    )
    assert command.main(["diff", old, old]) == 0
    assert capsys.readouterr().out == "nothing changes in behaviour\n"
    assert command.main(["diff", str(tmp_path), old]) == 2


# Tries


async def tried(*arguments: str, send: int = 0, ignored: bool = False) -> tuple[int, str, str, list[int]]:
    """The command's exit, what it said, and the processes that it had started; ``ignored``: it was started
    as a shell without job control starts what runs in the background."""
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "anisestair", "config", "try", *arguments),
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        preexec_fn=(lambda: signal.signal(signal.SIGINT, signal.SIG_IGN)) if ignored else None,
    )
    assert process.stderr is not None
    first = await asyncio.wait_for(
        process.stderr.readline(), 20.0
    )  # the first of its progress: the sidecar runs
    children = [
        int(pid) for pid in Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text().split()
    ]
    if send:
        process.send_signal(send)
    out, err = await asyncio.wait_for(process.communicate(), 60.0)
    assert process.returncode is not None
    return process.returncode, out.decode(), (first + err).decode(), children


async def gone(pid: int) -> bool:
    for _ in range(200):
        stat = Path(f"/proc/{pid}/stat")
        if not stat.exists() or stat.read_text().rpartition(")")[2].split()[0] == "Z":
            return True
        await asyncio.sleep(0.05)
    return False


def test_a_try_shows_a_table_and_ends_with_nothing_running() -> None:
    async def test() -> None:
        code, out, err, children = await tried(str(APPS / "stall.toml"), "--seconds", "3")
        assert code == 0 and "all four rules were kept" in out and "Traceback" not in err
        assert re.search(r"^sale +\d+ +\d+ +\d+ +\d+ +0 ", out, re.MULTILINE) and "shares: s-0" in out
        assert children and all([await gone(pid) for pid in children])

    asyncio.run(test())


@pytest.mark.parametrize("ignored", [False, True], ids=["", "in the background"])
@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_a_try_that_is_stopped_leaves_nothing_running(number: int, ignored: bool) -> None:
    async def test() -> None:
        code, out, _, children = await tried(
            str(APPS / "stall.toml"), "--seconds", "60", send=number, ignored=ignored
        )
        assert code != 0 and out.count("\n") == 0
        assert children and all([await gone(pid) for pid in children])

    asyncio.run(test())


def test_what_stands_beside_the_description_is_tried_and_errors_only_when_asked_to(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    shop = corpus.Maker("shop")
    assert shop.operator is not None
    unsafe = corpus.put(shop.operator, ("rpc", "methods", 0, "class"), "look")
    corpus.texts_of(shop.platform, unsafe, shop.app).write(tmp_path)
    arguments = ["try", str(tmp_path / "app.toml"), "--seconds", "4"]
    assert command.main(arguments) == 1
    said = capsys.readouterr()
    assert "sale-repeats" in said.err and "not tried" in said.err and "shares" not in said.out
    assert command.main([*arguments, "--unsafe", "--seed", "3"]) in (0, 1)
    assert "as it stands" in capsys.readouterr().out
    assert command.main([*arguments, "--seconds", "1e9"]) == 2


# Off means not loaded


def test_a_start_over_http_judges_without_the_libraries_of_the_rest(tmp_path: Path) -> None:
    stall = corpus.Maker("stall")
    corpus.texts_of(corpus.put(stall.platform, ("settings", "rules", "cold-ms"), 0)).write(tmp_path)
    program = (
        "import sys, os; from anisestair.configure import startup; import anisestair.serving;"
        "said = startup.finding_lines(os.environ); assert len(said) == 1 and 'cold-start' in said[0], said;"
        "loaded = [n for n in ('msgspec', 'msgpack', 'anisestair.rpc', 'difflib',"
        " 'anisestair.configure.derive', 'anisestair.configure.judge_app', 'rigs') if n in sys.modules];"
        "assert not loaded, loaded"
    )
    environ = {"BALANCER_CONFIG": str(tmp_path / "config.json")}
    found = subprocess.run(
        [sys.executable, "-c", program], cwd=ROOT, env=environ, capture_output=True, text=True
    )
    assert found.returncode == 0, found.stderr
