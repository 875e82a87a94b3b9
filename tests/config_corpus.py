"""A corpus of valid and invalid configurations. Invalid ones are made from valid ones, for each rule.

An invalid case states the violated rule, the field and the line. The line is found independently of the
checked code: files are written with one value per line, and a marker is written in place of the changed
value.
"""

from __future__ import annotations

import copy
import json
import random
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from anisestair.configure.derive import derive, to_toml
from anisestair.configure.description import App, parse_app
from anisestair.configure.findings import Role
from anisestair.configure.judge_app import Bundle
from anisestair.configure.source import decode, read_toml

APPS = Path(__file__).parent.parent / "deploy" / "apps"
FILES = {Role.PLATFORM: "config.json", Role.OPERATOR: "sidecar.toml", Role.APP: "app.toml"}
FILES[Role.ENVIRONMENT] = "sidecar.env"
MARK = "@@here@@"
REMOVED = object()  # in place of a value: removes the field


@dataclass(frozen=True)
class ConfigFiles:
    """One application's files by role."""

    contents: dict[Role, bytes]

    def bundle(self) -> Bundle:
        def read(role: Role) -> Any:
            name = FILES[role]
            kind = name.rpartition(".")[2]
            return decode(name, kind, self.contents[role]) if role in self.contents else None

        return Bundle(
            "app", *(read(role) for role in (Role.PLATFORM, Role.OPERATOR, Role.APP, Role.ENVIRONMENT))
        )

    def write(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        for role, text in self.contents.items():
            (folder / FILES[role]).write_bytes(text)


@dataclass(frozen=True)
class Case:
    """A configuration that violates ``rule`` at ``path``. ``line``: the expected line; 0: not checked."""

    name: str
    rule: str
    role: Role
    path: tuple[str | int, ...]
    line: int
    files: ConfigFiles


def load_example(name: str) -> tuple[str, App]:
    text = (APPS / f"{name}.toml").read_text()
    return text, parse_app(read_toml("app.toml", text).data)


def derived_files(app_text: str) -> tuple[dict[str, Any], dict[str, Any] | None, str]:
    """The derived values of the platform's and the operator's file, and the description."""
    derived = derive(parse_app(read_toml("app.toml", app_text).data))
    return derived.platform, derived.operator, app_text


def to_json(value: dict[str, Any]) -> str:
    return json.dumps(value, indent=2, ensure_ascii=False) + "\n"


def config_files(
    platform: dict[str, Any] | str,
    operator: dict[str, Any] | str | None = None,
    app: str | None = None,
    env: str = "",
) -> ConfigFiles:
    found = {Role.PLATFORM: platform if isinstance(platform, str) else to_json(platform)}
    if operator is not None:
        found[Role.OPERATOR] = operator if isinstance(operator, str) else to_toml(operator)
    if app is not None:
        found[Role.APP] = app
    if env:
        found[Role.ENVIRONMENT] = env
    return ConfigFiles({role: text.encode() for role, text in found.items()})


def line_of(text: str, mark: str = MARK) -> int:
    before, found, _ = text.partition(mark)
    assert found, mark
    return before.count("\n") + 1


def with_value(root: Any, path: tuple[str | int, ...], value: Any) -> Any:
    """A copy with a different value at the path, or without the field."""
    changed_root = copy.deepcopy(root)
    table = changed_root
    for step in path[:-1]:
        table = table[step]
    if value is REMOVED:
        del table[path[-1]]
    else:
        table[path[-1]] = value
    return changed_root


def value_at(root: Any, path: tuple[str | int, ...]) -> Any:
    for step in path:
        root = root[step]
    return root


class CaseMaker:
    """Makes invalid configurations from a valid one."""

    def __init__(self, base: str) -> None:
        self.base = base
        self.platform, self.operator, self.app = derived_files((APPS / f"{base}.toml").read_text())

    def invalid(
        self,
        name: str,
        rule: str,
        path: tuple[str | int, ...],
        value: Any,
        role: Role = Role.PLATFORM,
        with_app: bool = True,
        env: str = "",
        reported: tuple[str | int, ...] | None = None,
    ) -> Case:
        """A different value at a path. ``reported``: the path of the expected finding, if it differs."""
        root = self.platform if role is Role.PLATFORM else self.operator
        assert root is not None
        changed = with_value(root, path, value)
        reported_path = path if reported is None else reported
        marked_path = reported_path
        while True:  # mark the field, or its innermost parent if the field was removed
            try:
                target = value_at(changed, marked_path)
                break
            except (KeyError, IndexError):
                marked_path = marked_path[:-1]
        line = 1
        if role is Role.PLATFORM and marked_path:
            line = line_of(to_json(with_value(changed, marked_path, MARK)))
        elif marked_path:
            above = 0  # the header of a table is one line above its first value
            if isinstance(target, list) and target and isinstance(target[0], dict):
                marked_path, target = (*marked_path, 0), target[0]
            if isinstance(target, dict) and "methods" in marked_path:
                marked_path, above = (*marked_path, next(iter(target))), 1
            line = line_of(to_toml(with_value(changed, marked_path, MARK))) - above
        files = config_files(
            changed if role is Role.PLATFORM else self.platform,
            changed if role is Role.OPERATOR else self.operator,
            self.app if with_app else None,
            env,
        )
        return Case(f"{self.base}: {name}", rule, role, reported_path, line, files)

    def misspelt(self, path: tuple[str | int, ...], name: str) -> Case:
        """A field with a misspelt name."""
        new = (*path[:-1], name)
        value = value_at(self.platform, path)
        table = {
            name if key == path[-1] else key: item for key, item in value_at(self.platform, path[:-1]).items()
        }
        changed = with_value(self.platform, path[:-1], table) if path[:-1] else table
        line = line_of(to_json(with_value(changed, new, MARK)))
        assert value == value_at(changed, new)
        files = config_files(changed, self.operator, self.app)
        return Case(f"{self.base}: {path[-1]} as {name}", "unknown-field", Role.PLATFORM, new, line, files)

    def with_text(
        self,
        name: str,
        rule: str,
        role: Role,
        path: tuple[str | int, ...],
        old: str,
        new: str,
        reported_text: str = "",
    ) -> Case:
        """A piece of text replaced by another. The line is that of ``reported_text``, or of the new text."""
        found = {
            Role.PLATFORM: to_json(self.platform),
            Role.OPERATOR: to_toml(self.operator) if self.operator else "",
            Role.APP: self.app,
        }
        assert old in found[role], old
        line = line_of(found[role].replace(old, MARK, 1))
        found[role] = found[role].replace(old, new, 1)
        line = line_of(found[role], reported_text) if reported_text else line
        operator = found[Role.OPERATOR] or None
        return Case(
            f"{self.base}: {name}",
            rule,
            role,
            path,
            line,
            config_files(found[Role.PLATFORM], operator, found[Role.APP]),
        )


CLASSES = ("settings", "classes")
LIMITS, RULES = ("settings", "limits"), ("settings", "rules")
MILLISECOND_FIELDS = [
    (*CLASSES, 0, "promise-ms"),
    (*CLASSES, 0, "give-up-ms"),
    (*CLASSES, 1, "window-ms"),
    (*LIMITS, "connect-timeout-ms"),
    (*LIMITS, "keepalive-ms"),
    (*LIMITS, "max-retry-after-ms"),
    (*RULES, "answer-slack-ms"),
    (*RULES, "cold-ms"),
    (*RULES, "drain-grace-ms"),
    (*RULES, "ask-within-ms"),
    ("settings", "tick-ms"),
]
UNITLESS_FIELDS = [
    (*CLASSES, 0, "importance"),
    (*CLASSES, 0, "late-share"),
    (*RULES, "cold-from"),
    (*LIMITS, "max-attempts"),
    ("settings", "peers-total"),
    ("limits", "memory_mb"),
    ("limits", "sockets"),
]
MISSPELT_FIELDS = [
    ((*CLASSES, 0, "idempotency"), "idempotancy"),
    ((*CLASSES, 1, "key-scope"), "key_scope"),
    ((*CLASSES, 1, "window-ms"), "windows-ms"),
    ((*CLASSES, 0, "late-share"), "lateshare"),
    ((*CLASSES, 0, "importance"), "importence"),
    ((*LIMITS, "max-attempts"), "max-atempts"),
    ((*LIMITS, "connect-timeout-ms"), "connect-time-out-ms"),
    ((*LIMITS, "keepalive-ms"), "keep-alive-ms"),
    ((*LIMITS, "may-cancel"), "may_cancel"),
    ((*LIMITS, "second-copies"), "second-copys"),
    ((*LIMITS, "retry-after"), "retry-after-"),
    ((*LIMITS, "max-retry-after-ms"), "max-retryafter"),
    ((*RULES, "cold-ms"), "cold_ms"),
    ((*RULES, "cold-from"), "cold-form"),
    ((*RULES, "drain-grace-ms"), "drain-grace"),
    ((*RULES, "answer-slack-ms"), "anwser-slack-ms"),
    (("settings", "peers-total"), "peers-totl"),
    (("settings", "discovery"), "discovry"),
    (("settings", "tick-ms"), "Tick-ms"),
    (("settings", "rules"), "rule"),
    (("limits", "memory_mb"), "memory-mb"),
]


def invalid_cases() -> Iterator[Case]:
    stall, shop, window = CaseMaker("stall"), CaseMaker("shop"), CaseMaker("window")
    yield from _number_cases(stall)
    for path, name in MISSPELT_FIELDS:
        yield stall.misspelt(path, name)
    yield from _type_cases(stall)
    yield from _platform_rule_cases(stall, window)
    yield from _rpc_rule_cases(shop)
    yield from _environment_cases(stall, shop)
    yield from _description_cases(stall, shop)
    yield from _unreadable_cases(stall, shop)


def _number_cases(stall: CaseMaker) -> Iterator[Case]:
    for path in MILLISECOND_FIELDS + UNITLESS_FIELDS:
        name = str(path[-1])
        value = value_at(stall.platform, path)
        yield stall.invalid(f"{name} as text", "wrong-type", path, str(value))
        yield stall.invalid(f"{name} NaN", "out-of-range", path, float("nan"))
        yield stall.invalid(f"{name} negative", "out-of-range", path, -float(value) if value else -1.0)
        too_large = stall.with_text(
            f"{name} 1e400", "out-of-range", Role.PLATFORM, path, _field_text(stall, path), f'"{name}": 1e400'
        )
        yield too_large
    for path in MILLISECOND_FIELDS:
        yield stall.invalid(f"{path[-1]} in seconds", "unit", path, 0.02 if path[-1] == "tick-ms" else 0.04)
        yield stall.invalid(
            f"{path[-1]} in nanoseconds", "unit", path, 4.0e9 if path[-1] != "window-ms" else 9.0e10
        )


def _field_text(maker: CaseMaker, path: tuple[str | int, ...]) -> str:
    """The line of a field with its value."""
    lines = to_json(maker.platform).splitlines()
    line = lines[line_of(to_json(with_value(maker.platform, path, MARK))) - 1].strip().rstrip(",")
    # The first occurrence of this text in the file must be the field itself.
    assert to_json(maker.platform).index(line) >= 0
    return line


def _type_cases(stall: CaseMaker) -> Iterator[Case]:
    for flag in ("may-cancel", "second-copies", "retry-after"):
        for value in ("false", 0, None):
            yield stall.invalid(f"{flag} {value!r}", "wrong-type", (*LIMITS, flag), value)
    for path, value in (
        ((*CLASSES, 0, "idempotency"), "single-shot"),
        ((*CLASSES, 1, "idempotency"), "garded"),
        ((*CLASSES, 1, "key-scope"), "cel"),
        (("settings", "discovery"), "asks"),
    ):
        yield stall.invalid(f"{path[-1]} {value}", "unknown-value", path, value)
    yield stall.invalid("max-attempts with a fraction", "wrong-type", (*LIMITS, "max-attempts"), 2.5)
    yield stall.invalid("classes not a list", "refused-start", CLASSES, {"sale": 1})
    yield stall.invalid("no classes", "refused-start", CLASSES, [])
    yield stall.invalid("limits not an object", "wrong-type", LIMITS, [1])
    yield stall.invalid("class that is a string", "wrong-type", (*CLASSES, 0), "sale")
    yield stall.invalid("number as class name", "wrong-type", (*CLASSES, 0, "name"), 7)
    for name in ("name", "promise-ms", "give-up-ms"):
        yield stall.invalid(
            f"class without {name}", "refused-start", (*CLASSES, 0, name), REMOVED, reported=(*CLASSES, 0)
        )
    yield stall.invalid("seed not a number", "refused-start", ("seed",), "xyz")
    yield stall.invalid("listen address without a port", "refused-start", ("listen",), "127.0.0.1")
    yield stall.invalid("discovery at port 0", "refused-start", ("discovery",), "127.0.0.1:0")
    yield stall.invalid("known not an object", "refused-start", ("known",), [])
    yield stall.invalid(
        "duplicate class name", "refused-start", (*CLASSES, 1, "name"), "sale", reported=CLASSES
    )
    for name in ("idempotency", "promise-ms"):
        old = _field_text(stall, (*CLASSES, 0, name))
        twice = f'{old},\n      "{name}": {json.dumps(value_at(stall.platform, (*CLASSES, 0, name)))}'
        found = stall.with_text(
            f"duplicate {name}", "duplicate-key", Role.PLATFORM, (*CLASSES, 0, name), old, twice
        )
        yield Case(found.name, found.rule, found.role, found.path, found.line + 1, found.files)


def _platform_rule_cases(stall: CaseMaker, window: CaseMaker) -> Iterator[Case]:
    sale, listing = (*CLASSES, 0), (*CLASSES, 1)
    for with_app in (True, False):
        suffix = "" if with_app else ", no description"
        for effect in ("free", "guarded"):
            yield stall.invalid(
                f"sale {effect}{suffix}", "sale-repeats", (*sale, "idempotency"), effect, with_app=with_app
            )
        yield stall.invalid(
            f"drain grace of 5 s{suffix}", "drain", (*RULES, "drain-grace-ms"), 5000.0, with_app=with_app
        )
        yield stall.invalid(
            f"no start-up limit{suffix}", "cold-start", (*RULES, "cold-ms"), REMOVED, with_app=with_app
        )
        yield stall.invalid(
            f"start-up limit 0{suffix}", "cold-start", (*RULES, "cold-ms"), 0, with_app=with_app
        )
        yield stall.invalid(
            f"start with the full share{suffix}", "cold-start", (*RULES, "cold-from"), 1.0, with_app=with_app
        )
        yield stall.invalid(
            f"queries itself{suffix}", "drain", ("discovery",), stall.platform["listen"], with_app=with_app
        )
        yield stall.invalid(
            f"promise after give-up{suffix}", "time-outs", (*sale, "promise-ms"), 1300.0, with_app=with_app
        )
        yield stall.invalid(
            f"connect timeout as long as a call{suffix}",
            "time-outs",
            (*LIMITS, "connect-timeout-ms"),
            1200.0,
            with_app=with_app,
        )
        yield stall.invalid(
            f"tick of 150 ms{suffix}", "time-outs", ("settings", "tick-ms"), 150.0, with_app=with_app
        )
    yield stall.invalid("listing free", "keyed-window", (*listing, "idempotency"), "free")
    yield stall.invalid("window longer than key memory", "keyed-window", (*listing, "window-ms"), 60_000.0)
    for scope in ("zone", "all"):
        yield stall.invalid(f"key-scope {scope}", "keyed-group", (*listing, "key-scope"), scope)
    yield window.invalid("key-scope all", "keyed-group", (*CLASSES, 0, "key-scope"), "all")
    yield stall.invalid("warm-up too short", "cold-start", (*RULES, "cold-ms"), 900.0)
    yield stall.invalid("first share too large", "cold-start", (*RULES, "cold-from"), 0.9)
    yield stall.invalid("fleet too small", "cold-start", ("settings", "peers-total"), 1)
    yield stall.invalid("deadline longer than callers wait", "time-outs", (*sale, "give-up-ms"), 5000.0)
    yield stall.invalid("idle time longer than servers allow", "idle", (*LIMITS, "keepalive-ms"), 60_000.0)
    yield stall.invalid("too few descriptors", "capacity", ("limits", "sockets"), 128)
    yield stall.invalid("more descriptors than the machine has", "capacity", ("limits", "sockets"), 65_536)
    yield stall.invalid("too little memory", "capacity", ("limits", "memory_mb"), 20.0)
    yield stall.invalid("different port", "contradiction", ("listen",), "127.0.0.1:5999")
    yield stall.invalid("different discovery address", "drain", ("discovery",), "127.0.0.1:8599")
    yield stall.invalid(
        "call without a class", "uncovered-call", (*listing, "name"), "listings", reported=CLASSES
    )


def _rpc_rule_cases(shop: CaseMaker) -> Iterator[Case]:
    operator = shop.operator
    assert operator is not None
    methods = ("rpc", "methods")
    role = Role.OPERATOR
    sale = with_value(operator, (*methods, 0, "class"), "look")
    yield shop.invalid("sale with class look", "sale-repeats", (*methods, 0, "class"), "look", role)
    yield shop.invalid(
        "sale with class look, no description",
        "sale-repeats",
        (*methods, 0, "class"),
        "look",
        role,
        with_app=False,
    )
    keyed = {"pattern": "order.sale", "class": "listing", "key": [0, "key"]}
    found = shop.invalid(
        "sale with class listing", "sale-repeats", (*methods, 0), keyed, role, reported=(*methods, 0, "class")
    )
    yield found
    yield shop.invalid("class sale free", "sale-repeats", (*CLASSES, 0, "idempotency"), "free")
    # The exact pattern of sales is replaced by a wider one of a different class.
    wide = copy.deepcopy(sale)
    wide["rpc"]["methods"][0] = {"pattern": "order.*", "class": "look"}
    line = line_of(to_toml(with_value(wide, (*methods, 0, "class"), MARK)))
    path: tuple[str | int, ...] = (*methods, 0, "class")
    yield Case(
        "shop: prefix matches sales",
        "sale-repeats",
        role,
        path,
        line,
        config_files(shop.platform, wide, shop.app),
    )
    # A longer prefix wins over a shorter one, whatever their order.
    within = copy.deepcopy(operator)
    within["rpc"]["methods"].append({"pattern": "listing.now.*", "class": "look"})
    path = (*methods, 3, "class")
    line = line_of(to_toml(with_value(within, path, MARK)))
    yield Case(
        "shop: longer prefix of another class",
        "keyed-window",
        role,
        path,
        line,
        config_files(shop.platform, within, shop.app),
    )
    yield shop.invalid(
        "method without a pattern",
        "uncovered-call",
        (*methods, 0, "pattern"),
        "orders.other",
        role,
        reported=methods,
    )
    yield shop.invalid("unknown class", "refused-start", (*methods, 0, "class"), "sell", role)
    yield shop.invalid("keyed class without a key", "refused-start", (*methods, 1, "key"), REMOVED, role)
    yield shop.invalid("sale with a key", "refused-start", (*methods, 0, "key"), [0], role)
    yield shop.invalid(
        "deadline longer than the class's", "refused-start", (*methods, 0, "deadline_ms"), 9000.0, role
    )
    yield shop.invalid("duplicate pattern", "refused-start", (*methods, 2, "pattern"), "order.sale", role)
    yield shop.invalid("key at a different path", "contradiction", (*methods, 1, "key"), [1, "k"], role)
    yield shop.invalid(
        "two listeners on one address", "contradiction", ("rpc", "listen"), shop.platform["listen"], role
    )
    yield shop.invalid(
        "different listener address", "contradiction", ("rpc", "listen"), "127.0.0.1:7999", role
    )
    listed: tuple[Any, ...]
    for listed in (["busy", "sold out"], [{"code": 7}]):
        place = (*("rpc", "turned_away"), len(listed) - 1)
        yield shop.invalid(
            f"turned away by {listed}", "turned-away", ("rpc", "turned_away"), listed, role, reported=place
        )
    yield shop.invalid("unknown field", "unknown-field", ("rpc", "call_in_hand"), 5, role)
    yield shop.invalid("number as string", "wrong-type", ("rpc", "calls_in_hand"), "128", role)
    yield shop.invalid(
        "calls_in_hand 0",
        "contradiction",
        ("rpc", "calls_in_hand"),
        0,
        role,
        reported=("rpc", "calls_in_hand"),
    )
    yield shop.invalid("unknown field of a method", "unknown-field", (*methods, 1, "clas"), "x", role)
    files = config_files(shop.platform, None, shop.app)
    line = line_of(shop.app, 'methods = ["order.sale"]')
    yield Case("shop: no operator's file", "uncovered-call", Role.APP, ("calls", 0, "methods"), line, files)
    yield shop.invalid(
        "deadline longer than callers wait", "time-outs", (*CLASSES, 2, "give-up-ms"), 60_000.0
    )
    yield shop.invalid("too few descriptors", "capacity", ("limits", "sockets"), 256)


def _environment_cases(stall: CaseMaker, shop: CaseMaker) -> Iterator[Case]:
    role = Role.ENVIRONMENT
    for maker, name, rule, variable, value in (
        (stall, "different listen variable", "contradiction", "BALANCER_LISTEN", "127.0.0.1:5001"),
        (stall, "different discovery variable", "drain", "BALANCER_DISCOVERY", "127.0.0.1:8501"),
        (stall, "invalid listen variable", "refused-start", "BALANCER_LISTEN", "nowhere"),
        (stall, "different file", "environment", "BALANCER_CONFIG", "/etc/other.json"),
        (stall, "misspelt variable", "environment", "BALANCER_DISCOVRY", "127.0.0.1:8500"),
        (
            shop,
            "HTTP listens on the RPC address",
            "contradiction",
            "BALANCER_LISTEN",
            shop.platform["listen"][:-4] + "7000",
        ),
    ):
        env = f"# of the service manager\nBALANCER_CONFIG=/run/app/config.json\n{variable}={value}\n"
        if variable == "BALANCER_CONFIG":
            env = f"# of the service manager\n\n{variable}={value}\n"
        files = config_files(maker.platform, maker.operator, maker.app, env)
        yield Case(f"{maker.base}: {name}", rule, role, (variable,), 3, files)
    env = "BALANCER_NAME=a\nwhat is this\n"
    yield Case(
        "stall: line without a variable",
        "unreadable",
        role,
        (),
        2,
        config_files(stall.platform, None, stall.app, env),
    )
    env = "BALANCER_NAME=stall-wool\nBALANCER_NAME=other\n"
    files = config_files(stall.platform, None, stall.app, env)
    yield Case("stall: duplicate variable", "duplicate-key", role, ("BALANCER_NAME",), 2, files)


def _description_cases(stall: CaseMaker, shop: CaseMaker) -> Iterator[Case]:
    role = Role.APP
    calls = ("calls", 0)
    for name, rule, path, old, *new in (
        (
            "sale with repeat keyed",
            "sale-repeats",
            (*calls, "repeat"),
            'repeat = "never"',
            'repeat = "keyed"',
        ),
        ("sale with repeat free", "sale-repeats", (*calls, "repeat"), 'repeat = "never"', 'repeat = "free"'),
        ("unknown repeat", "unknown-value", (*calls, "repeat"), 'repeat = "never"', 'repeat = "once"'),
        ("misspelt field", "unknown-field", (*calls, "wantedms"), "wanted_ms = 400", "wantedms = 400"),
        (
            "number as string",
            "wrong-type",
            (*calls, "given_up_ms"),
            "given_up_ms = 1200",
            'given_up_ms = "1200"',
        ),
        ("NaN", "out-of-range", (*calls, "wanted_ms"), "wanted_ms = 400", "wanted_ms = nan"),
        ("infinite", "out-of-range", (*calls, "rate"), "rate = 12 ", "rate = inf "),
        ("negative", "out-of-range", (*calls, "rate"), "rate = 12 ", "rate = -12 "),
        (
            "wanted_ms after given_up_ms",
            "contradiction",
            (*calls, "wanted_ms"),
            "wanted_ms = 400",
            "wanted_ms = 1300",
        ),
        ("no name", "refused-start", (), 'name = "stall-wool"', "# no name", "# A stall"),
        ("name with a space", "wrong-type", ("member",), 'member = "gudrun"', 'member = "gu drun"'),
        (
            "duplicate call name",
            "contradiction",
            ("calls", 1),
            '[[calls]]\nname = "listing"',
            '[[calls]]\nname = "sale"',
        ),
        (
            "cold_share above 1",
            "out-of-range",
            ("fleet", "cold_share"),
            "cold_share = 0.3",
            "cold_share = 3",
        ),
    ):
        yield stall.with_text(name, rule, role, path, old, *new)
    methods = 'methods = ["order.sale"]\n'
    path: tuple[str | int, ...] = ("calls", 0)
    yield shop.with_text("no methods", "contradiction", role, path, methods, "", "[[calls]]")
    yield shop.with_text(
        "key of a call that needs none",
        "contradiction",
        role,
        path,
        methods,
        methods + "key = [0]\n",
        "[[calls]]",
    )
    machine, path = "[machine]\nmemory_mb = 32\n[fleet]", ("machine", "memory_mb")
    yield stall.with_text("machine too small", "capacity", role, path, "[fleet]", machine, "memory_mb = 32")


def _unreadable_cases(stall: CaseMaker, shop: CaseMaker) -> Iterator[Case]:
    platform = to_json(stall.platform)
    half = platform[: len(platform) // 2]
    last = half.count("\n") + 1
    changed_root: list[tuple[str, Role, bytes, int | None]] = [
        ("truncated", Role.PLATFORM, half.encode(), None),
        ("empty", Role.PLATFORM, b"", 1),
        ("a list", Role.PLATFORM, b"[]", 1),
        ("a number", Role.PLATFORM, b"7", 1),
        ("deeply nested", Role.PLATFORM, b"[" * 100_000, 1),
        ("deeply nested objects", Role.PLATFORM, b'{"a":' * 100_000, 1),
        ("UTF-16", Role.PLATFORM, platform.encode("utf-16"), 1),
        ("Latin-1", Role.PLATFORM, platform.replace("stall-wool", "stáll").encode("latin-1"), 2),
        ("byte order mark", Role.PLATFORM, b"\xef\xbb\xbf" + platform.encode(), 1),
        ("zero byte", Role.PLATFORM, b"\0" + platform.encode(), 1),
        ("a comment", Role.PLATFORM, b"// by hand\n" + platform.encode(), 1),
        ("extra comma", Role.PLATFORM, platform.replace("],\n", "],,\n", 1).encode(), None),
        ("too many digits", Role.PLATFORM, b'{"seed": ' + b"9" * 6000 + b"}", 1),
        ("100 MB", Role.PLATFORM, b" " * (5 * 1024 * 1024), 1),  # the rest would never be read
        ("duplicate table", Role.OPERATOR, to_toml(shop.operator or {}).encode() + b"[rpc]\n", None),
        ("duplicate key", Role.OPERATOR, b'[rpc]\nlisten = "a:1"\nlisten = "a:1"\n', 3),
        ("key without a value", Role.OPERATOR, b"[rpc]\nlisten =\n", 2),
        ("deeply nested", Role.OPERATOR, b"a = " + b"[" * 100_000, 1),
        ("duplicate key", Role.APP, b'name = "a"\nname = "b"\n', 2),
        ("Latin-1", Role.APP, 'name = "a"\nkind = "búð"\n'.encode("latin-1"), 2),
    ]
    assert last > 1
    for name, role, raw, line in changed_root:
        maker = stall if role is not Role.OPERATOR else shop
        files = dict(config_files(maker.platform, maker.operator, maker.app).contents)
        files[role] = raw
        yield Case(f"unreadable: {FILES[role]} {name}", "unreadable", role, (), line or 0, ConfigFiles(files))


# Valid configurations


def random_app(seed: int) -> str:
    """A random description from the full range of the schema, as text."""
    rng = random.Random(seed)
    protocols = rng.choice([["http"], ["rpc"], ["http", "rpc"]])
    names = rng.sample(["sale", "listing", "look", "bid", "reserve", "price", "sale-late"], rng.randint(1, 5))
    lines = [
        f'name = "app-{seed}"',
        f'kind = "{rng.choice(["stall", "shop", "window", "office"])}"',
        f'member = "m{seed}"',
        f"protocols = {json.dumps(protocols)}",
    ]
    if rng.random() < 0.7:
        lines += [f'guild = "g{seed % 7}"', f'data_centre = "{rng.choice(["reykjavik", "selfoss", "a"])}"']
    for name in names:
        repeat = "never" if "sale" in name else rng.choice(["never", "keyed", "free"])
        wanted = round(rng.uniform(20, 3000), rng.choice([0, 1]))
        # Waits, rates and bursts are limited so that they fit a machine's descriptors.
        given_up = round(wanted * rng.uniform(1.0, 6.0) + 1.0)
        lines += [
            "",
            "[[calls]]",
            f'name = "{name}"',
            f'repeat = "{repeat}"',
            f"wanted_ms = {wanted}",
            f"given_up_ms = {given_up}",
            f"rate = {round(10 ** rng.uniform(-3, 1.7), 3)}",
            f"burst = {rng.choice([1, 1, 2, 5, 40])}",
            f"importance = {rng.choice([0, 0.5, 1, 10])}",
            f"late_worth = {rng.choice([0, 0.3, 1])}",
            f"request_bytes = {rng.choice([0, 100, 65536])}",
            f"answer_bytes = {rng.choice([0, 4000, 65536])}",
        ]
        if repeat == "keyed":
            lines += [
                f"remembers_ms = {rng.choice([300, 2000, 8000, 86400000])}",
                f'remembered_by = "{rng.choice(["cell", "zone", "all"])}"',
            ]
        if "rpc" in protocols:
            lines.append(f'methods = ["{name}.do", "x-{name}.*"]')
            if repeat == "keyed":
                lines.append(f"key = {json.dumps(rng.choice([[0, 'key'], [0], [1, 'k']]))}")
    lines += [
        "",
        "[fleet]",
        f"servers = {rng.choice([1, 3, 15, 400])}",
        f"sidecars = {rng.choice([1, 60, 5000])}",
        f"cold_share = {rng.choice([0.05, 0.3, 0.99, 1])}" if rng.random() < 0.5 else "cold_share = 0.3",
        f"warm_up_ms = {rng.choice([0, 900, 9000, 120000])}",
        f"idle_ms = {rng.choice([100, 5000, 600000])}",
        f'discovery = "{rng.choice(["ask", "push"])}"',
    ]
    if rng.random() < 0.3:
        lines.append('turned_away = ["busy", {code = 7}, 3]')
    lines += ["", "[machine]", "descriptors = 16384", f"memory_mb = {rng.choice([512, 2048])}"]
    return "\n".join(lines) + "\n"


def valid_by_hand() -> Iterator[tuple[str, ConfigFiles]]:
    """Valid configurations written by hand: sparse, with other fields of the platform, without sales, without
    a description."""
    stall, shop, window = CaseMaker("stall"), CaseMaker("shop"), CaseMaker("window")
    yield "example stall", config_files(stall.platform, None, stall.app)
    yield "example shop", config_files(shop.platform, shop.operator, shop.app)
    yield "example window", config_files(window.platform, None, window.app)
    for maker in (stall, shop, window):
        yield f"{maker.base} without a description", config_files(maker.platform, maker.operator)
    yield "JSON on one line", config_files(json.dumps(stall.platform), None, stall.app)
    fewer = with_value(stall.platform, (*LIMITS, "max-attempts"), 2)
    yield "fewer attempts", config_files(fewer, None, stall.app)
    yield (
        "shorter window",
        config_files(with_value(stall.platform, (*CLASSES, 1, "window-ms"), 4000.0), None, stall.app),
    )
    yield (
        "longer warm-up",
        config_files(with_value(stall.platform, (*RULES, "cold-ms"), 20_000.0), None, stall.app),
    )
    yield (
        "smaller first share",
        config_files(with_value(stall.platform, (*RULES, "cold-from"), 0.1), None, stall.app),
    )
    yield (
        "shorter drain grace",
        config_files(with_value(stall.platform, (*RULES, "drain-grace-ms"), 0), None, stall.app),
    )
    yield (
        "larger fleet",
        config_files(with_value(stall.platform, ("settings", "peers-total"), 200), None, stall.app),
    )
    strict = with_value(stall.platform, (*CLASSES, 1, "idempotency"), "single_shot")
    yield "listings not retried", config_files(strict, None, stall.app)
    listing = with_value(window.platform, (*CLASSES, 1, "idempotency"), "guarded")
    listing = with_value(listing, (*CLASSES, 1, "window-ms"), 1000.0)
    yield "looks with a key", config_files(listing, None, window.app)
    bare = {
        "name": "n",
        "listen": "127.0.0.1:5000",
        "discovery": "127.0.0.1:8500",
        "seed": "1f",
        "limits": {"sockets": 128},
        "known": {"seq": 0, "whole": True, "hosts": []},
        "settings": {
            "classes": [{"name": "look", "promise-ms": 100, "give-up-ms": 1000, "idempotency": "free"}]
        },
    }
    yield "minimal without sales", config_files(bare)
    more = with_value(bare, ("settings", "tenants"), [])
    yield "more platform fields", config_files(more | {"new": 1})
    env = "BALANCER_CONFIG=/run/stall/config.json\nexport BALANCER_NAME='stall-wool'\n\nPATH=/usr/bin\n"
    yield "with environment variables", config_files(stall.platform, None, stall.app, env)
    env = "BALANCER_LISTEN=127.0.0.1:5000\nBALANCER_DISCOVERY=127.0.0.1:8500\n"
    bare_addresses = with_value(with_value(stall.platform, ("listen",), REMOVED), ("discovery",), REMOVED)
    yield "addresses from environment variables", config_files(bare_addresses, None, stall.app, env)
    wholesale = with_value(bare, ("settings", "classes", 0, "name"), "wholesale")
    yield "wholesale is not a sale", config_files(wholesale)
