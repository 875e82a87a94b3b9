"""Configurations that are good and such that are not, made from good ones rule by rule, and some by hand.

A bad one says which rule it breaks, at which field and on which line. The line is found without the program's
own places: the texts are written with one value a line, and the mutated value is put there once as a mark.
"""

from __future__ import annotations

import copy
import json
import random
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from anisestair.configure.derive import derive, toml
from anisestair.configure.description import App, convert
from anisestair.configure.findings import Role
from anisestair.configure.judge_app import Bundle
from anisestair.configure.source import decode, read_toml

APPS = Path(__file__).parent.parent / "deploy" / "apps"
FILES = {Role.PLATFORM: "config.json", Role.OPERATOR: "sidecar.toml", Role.APP: "app.toml"}
FILES[Role.ENVIRONMENT] = "sidecar.env"
MARK = "@@here@@"
GONE = object()  # a mutation that takes the field out


@dataclass(frozen=True)
class Texts:
    """One application's files by role."""

    texts: dict[Role, bytes]

    def bundle(self) -> Bundle:
        def read(role: Role) -> Any:
            name = FILES[role]
            kind = name.rpartition(".")[2]
            return decode(name, kind, self.texts[role]) if role in self.texts else None

        return Bundle(
            "app", *(read(role) for role in (Role.PLATFORM, Role.OPERATOR, Role.APP, Role.ENVIRONMENT))
        )

    def write(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        for role, text in self.texts.items():
            (folder / FILES[role]).write_bytes(text)


@dataclass(frozen=True)
class Bad:
    name: str
    rule: str
    role: Role
    path: tuple[str | int, ...]
    line: int
    texts: Texts


def example(name: str) -> tuple[str, App]:
    text = (APPS / f"{name}.toml").read_text()
    return text, convert(read_toml("app.toml", text).data)


def good(app_text: str) -> tuple[dict[str, Any], dict[str, Any] | None, str]:
    """Platform's and operator's values as derived, and the description that they are from."""
    derived = derive(convert(read_toml("app.toml", app_text).data))
    return derived.platform, derived.operator, app_text


def dump(value: dict[str, Any]) -> str:
    return json.dumps(value, indent=2, ensure_ascii=False) + "\n"


def texts_of(
    platform: dict[str, Any] | str,
    operator: dict[str, Any] | str | None = None,
    app: str | None = None,
    env: str = "",
) -> Texts:
    found = {Role.PLATFORM: platform if isinstance(platform, str) else dump(platform)}
    if operator is not None:
        found[Role.OPERATOR] = operator if isinstance(operator, str) else toml(operator)
    if app is not None:
        found[Role.APP] = app
    if env:
        found[Role.ENVIRONMENT] = env
    return Texts({role: text.encode() for role, text in found.items()})


def line_of(text: str, mark: str = MARK) -> int:
    before, found, _ = text.partition(mark)
    assert found, mark
    return before.count("\n") + 1


def put(root: Any, path: tuple[str | int, ...], value: Any) -> Any:
    """A copy with another value at the path, or without it."""
    made = copy.deepcopy(root)
    table = made
    for step in path[:-1]:
        table = table[step]
    if value is GONE:
        del table[path[-1]]
    else:
        table[path[-1]] = value
    return made


def at(root: Any, path: tuple[str | int, ...]) -> Any:
    for step in path:
        root = root[step]
    return root


class Maker:
    """Bad configurations from one good one."""

    def __init__(self, base: str) -> None:
        self.base = base
        self.platform, self.operator, self.app = good((APPS / f"{base}.toml").read_text())

    def bad(
        self,
        name: str,
        rule: str,
        path: tuple[str | int, ...],
        value: Any,
        role: Role = Role.PLATFORM,
        with_app: bool = True,
        env: str = "",
        reported: tuple[str | int, ...] | None = None,
    ) -> Bad:
        """Another value at a path; ``reported``: where it is told, if not there."""
        root = self.platform if role is Role.PLATFORM else self.operator
        assert root is not None
        changed = put(root, path, value)
        shown = path if reported is None else reported
        where = shown
        while True:  # the mark stands at the field, or at what holds it where it is gone
            try:
                there = at(changed, where)
                break
            except (KeyError, IndexError):
                where = where[:-1]
        line = 1
        if role is Role.PLATFORM and where:
            line = line_of(dump(put(changed, where, MARK)))
        elif where:
            above = 0  # a table's own line stands above that of its first value
            if isinstance(there, list) and there and isinstance(there[0], dict):
                where, there = (*where, 0), there[0]
            if isinstance(there, dict) and "methods" in where:
                where, above = (*where, next(iter(there))), 1
            line = line_of(toml(put(changed, where, MARK))) - above
        texts = texts_of(
            changed if role is Role.PLATFORM else self.platform,
            changed if role is Role.OPERATOR else self.operator,
            self.app if with_app else None,
            env,
        )
        return Bad(f"{self.base}: {name}", rule, role, shown, line, texts)

    def renamed(self, path: tuple[str | int, ...], name: str) -> Bad:
        """A field under a misspelt name."""
        new = (*path[:-1], name)
        value = at(self.platform, path)
        table = {name if key == path[-1] else key: item for key, item in at(self.platform, path[:-1]).items()}
        changed = put(self.platform, path[:-1], table) if path[:-1] else table
        line = line_of(dump(put(changed, new, MARK)))
        assert value == at(changed, new)
        texts = texts_of(changed, self.operator, self.app)
        return Bad(f"{self.base}: {path[-1]} as {name}", "unknown-field", Role.PLATFORM, new, line, texts)

    def in_text(
        self,
        name: str,
        rule: str,
        role: Role,
        path: tuple[str | int, ...],
        old: str,
        new: str,
        shown: str = "",
    ) -> Bad:
        """A piece of a text in place of another; the line is that of ``shown``, or of the new piece."""
        found = {
            Role.PLATFORM: dump(self.platform),
            Role.OPERATOR: toml(self.operator) if self.operator else "",
            Role.APP: self.app,
        }
        assert old in found[role], old
        line = line_of(found[role].replace(old, MARK, 1))
        found[role] = found[role].replace(old, new, 1)
        line = line_of(found[role], shown) if shown else line
        operator = found[Role.OPERATOR] or None
        return Bad(
            f"{self.base}: {name}",
            rule,
            role,
            path,
            line,
            texts_of(found[Role.PLATFORM], operator, found[Role.APP]),
        )


CLASSES = ("settings", "classes")
LIMITS, RULES = ("settings", "limits"), ("settings", "rules")
MILLISECONDS = [
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
PLAIN = [
    (*CLASSES, 0, "importance"),
    (*CLASSES, 0, "late-share"),
    (*RULES, "cold-from"),
    (*LIMITS, "max-attempts"),
    ("settings", "peers-total"),
    ("limits", "memory_mb"),
    ("limits", "sockets"),
]
MISSPELT = [
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


def bad() -> Iterator[Bad]:
    stall, shop, window = Maker("stall"), Maker("shop"), Maker("window")
    yield from _numbers(stall)
    for path, name in MISSPELT:
        yield stall.renamed(path, name)
    yield from _types(stall)
    yield from _platform_rules(stall, window)
    yield from _rpc_rules(shop)
    yield from _environment(stall, shop)
    yield from _descriptions(stall, shop)
    yield from _unreadable(stall, shop)


def _numbers(stall: Maker) -> Iterator[Bad]:
    for path in MILLISECONDS + PLAIN:
        name = str(path[-1])
        value = at(stall.platform, path)
        yield stall.bad(f"{name} as text", "wrong-type", path, str(value))
        yield stall.bad(f"{name} NaN", "out-of-range", path, float("nan"))
        yield stall.bad(f"{name} negative", "out-of-range", path, -float(value) if value else -1.0)
        huge = stall.in_text(
            f"{name} 1e400", "out-of-range", Role.PLATFORM, path, _pair(stall, path), f'"{name}": 1e400'
        )
        yield huge
    for path in MILLISECONDS:
        yield stall.bad(f"{path[-1]} in seconds", "unit", path, 0.02 if path[-1] == "tick-ms" else 0.04)
        yield stall.bad(
            f"{path[-1]} in nanoseconds", "unit", path, 4.0e9 if path[-1] != "window-ms" else 9.0e10
        )


def _pair(maker: Maker, path: tuple[str | int, ...]) -> str:
    """The text of a field with its value, made unique by its line."""
    lines = dump(maker.platform).splitlines()
    line = lines[line_of(dump(put(maker.platform, path, MARK))) - 1].strip().rstrip(",")
    # The first such text in the file has to be the field's own.
    assert dump(maker.platform).index(line) >= 0
    return line


def _types(stall: Maker) -> Iterator[Bad]:
    for flag in ("may-cancel", "second-copies", "retry-after"):
        for value in ("false", 0, None):
            yield stall.bad(f"{flag} {value!r}", "wrong-type", (*LIMITS, flag), value)
    for path, value in (
        ((*CLASSES, 0, "idempotency"), "single-shot"),
        ((*CLASSES, 1, "idempotency"), "garded"),
        ((*CLASSES, 1, "key-scope"), "cel"),
        (("settings", "discovery"), "asks"),
    ):
        yield stall.bad(f"{path[-1]} {value}", "unknown-value", path, value)
    yield stall.bad("a part of an attempt", "wrong-type", (*LIMITS, "max-attempts"), 2.5)
    yield stall.bad("classes no list", "refused-start", CLASSES, {"sale": 1})
    yield stall.bad("no classes", "refused-start", CLASSES, [])
    yield stall.bad("limits no object", "wrong-type", LIMITS, [1])
    yield stall.bad("a class of text", "wrong-type", (*CLASSES, 0), "sale")
    yield stall.bad("a name of number", "wrong-type", (*CLASSES, 0, "name"), 7)
    for name in ("name", "promise-ms", "give-up-ms"):
        yield stall.bad(
            f"no {name} of a class", "refused-start", (*CLASSES, 0, name), GONE, reported=(*CLASSES, 0)
        )
    yield stall.bad("a seed of no number", "refused-start", ("seed",), "xyz")
    yield stall.bad("a listen address without a port", "refused-start", ("listen",), "127.0.0.1")
    yield stall.bad("discovery at port 0", "refused-start", ("discovery",), "127.0.0.1:0")
    yield stall.bad("no known list", "refused-start", ("known",), [])
    yield stall.bad("two classes of a name", "refused-start", (*CLASSES, 1, "name"), "sale", reported=CLASSES)
    for name in ("idempotency", "promise-ms"):
        old = _pair(stall, (*CLASSES, 0, name))
        twice = f'{old},\n      "{name}": {json.dumps(at(stall.platform, (*CLASSES, 0, name)))}'
        found = stall.in_text(
            f"{name} twice", "duplicate-key", Role.PLATFORM, (*CLASSES, 0, name), old, twice
        )
        yield Bad(found.name, found.rule, found.role, found.path, found.line + 1, found.texts)


def _platform_rules(stall: Maker, window: Maker) -> Iterator[Bad]:
    sale, listing = (*CLASSES, 0), (*CLASSES, 1)
    for with_app in (True, False):
        beside = "" if with_app else " alone"
        for effect in ("free", "guarded"):
            yield stall.bad(
                f"sale {effect}{beside}", "sale-repeats", (*sale, "idempotency"), effect, with_app=with_app
            )
        yield stall.bad(
            f"drains of 5 s{beside}", "drain", (*RULES, "drain-grace-ms"), 5000.0, with_app=with_app
        )
        yield stall.bad(
            f"no start-up limit{beside}", "cold-start", (*RULES, "cold-ms"), GONE, with_app=with_app
        )
        yield stall.bad(f"start-up limit 0{beside}", "cold-start", (*RULES, "cold-ms"), 0, with_app=with_app)
        yield stall.bad(
            f"start-up with all{beside}", "cold-start", (*RULES, "cold-from"), 1.0, with_app=with_app
        )
        yield stall.bad(
            f"asks itself{beside}", "drain", ("discovery",), stall.platform["listen"], with_app=with_app
        )
        yield stall.bad(
            f"promise over give-up{beside}", "time-outs", (*sale, "promise-ms"), 1300.0, with_app=with_app
        )
        yield stall.bad(
            f"a connect as long as a call{beside}",
            "time-outs",
            (*LIMITS, "connect-timeout-ms"),
            1200.0,
            with_app=with_app,
        )
        yield stall.bad(
            f"a tick of 150 ms{beside}", "time-outs", ("settings", "tick-ms"), 150.0, with_app=with_app
        )
    yield stall.bad("listing free", "keyed-window", (*listing, "idempotency"), "free")
    yield stall.bad("a window longer than memory", "keyed-window", (*listing, "window-ms"), 60_000.0)
    for scope in ("zone", "all"):
        yield stall.bad(f"a group of {scope}", "keyed-group", (*listing, "key-scope"), scope)
    yield window.bad("a group of all", "keyed-group", (*CLASSES, 0, "key-scope"), "all")
    yield stall.bad("a shorter warm-up", "cold-start", (*RULES, "cold-ms"), 900.0)
    yield stall.bad("a larger first share", "cold-start", (*RULES, "cold-from"), 0.9)
    yield stall.bad("a smaller fleet", "cold-start", ("settings", "peers-total"), 1)
    yield stall.bad("later than callers wait", "time-outs", (*sale, "give-up-ms"), 5000.0)
    yield stall.bad("idle longer than servers", "idle", (*LIMITS, "keepalive-ms"), 60_000.0)
    yield stall.bad("few descriptors", "capacity", ("limits", "sockets"), 128)
    yield stall.bad("more descriptors than there are", "capacity", ("limits", "sockets"), 65_536)
    yield stall.bad("little memory", "capacity", ("limits", "memory_mb"), 20.0)
    yield stall.bad("another port", "contradiction", ("listen",), "127.0.0.1:5999")
    yield stall.bad("another discovery", "drain", ("discovery",), "127.0.0.1:8599")
    yield stall.bad(
        "no class of the call", "uncovered-call", (*listing, "name"), "listings", reported=CLASSES
    )


def _rpc_rules(shop: Maker) -> Iterator[Bad]:
    operator = shop.operator
    assert operator is not None
    methods = ("rpc", "methods")
    role = Role.OPERATOR
    sale = put(operator, (*methods, 0, "class"), "look")
    yield shop.bad("a sale as a look", "sale-repeats", (*methods, 0, "class"), "look", role)
    yield shop.bad(
        "a sale as a look, alone", "sale-repeats", (*methods, 0, "class"), "look", role, with_app=False
    )
    keyed = {"pattern": "order.sale", "class": "listing", "key": [0, "key"]}
    found = shop.bad(
        "a sale as a listing", "sale-repeats", (*methods, 0), keyed, role, reported=(*methods, 0, "class")
    )
    yield found
    yield shop.bad("a sale's class free", "sale-repeats", (*CLASSES, 0, "idempotency"), "free")
    # The pattern of sales is narrowed away: a wider one of another class takes them.
    wide = copy.deepcopy(sale)
    wide["rpc"]["methods"][0] = {"pattern": "order.*", "class": "look"}
    line = line_of(toml(put(wide, (*methods, 0, "class"), MARK)))
    path: tuple[str | int, ...] = (*methods, 0, "class")
    yield Bad(
        "shop: a start takes sales", "sale-repeats", role, path, line, texts_of(shop.platform, wide, shop.app)
    )
    # A longer start wins over a shorter one, wherever it stands.
    within = copy.deepcopy(operator)
    within["rpc"]["methods"].append({"pattern": "listing.now.*", "class": "look"})
    path = (*methods, 3, "class")
    line = line_of(toml(put(within, path, MARK)))
    yield Bad(
        "shop: a longer start", "keyed-window", role, path, line, texts_of(shop.platform, within, shop.app)
    )
    yield shop.bad(
        "no pattern", "uncovered-call", (*methods, 0, "pattern"), "orders.other", role, reported=methods
    )
    yield shop.bad("an unknown class", "refused-start", (*methods, 0, "class"), "sell", role)
    yield shop.bad("a keyed class without a key", "refused-start", (*methods, 1, "key"), GONE, role)
    yield shop.bad("a sale with a key", "refused-start", (*methods, 0, "key"), [0], role)
    yield shop.bad(
        "a deadline beyond the class's", "refused-start", (*methods, 0, "deadline_ms"), 9000.0, role
    )
    yield shop.bad("a pattern twice", "refused-start", (*methods, 2, "pattern"), "order.sale", role)
    yield shop.bad("a key elsewhere", "contradiction", (*methods, 1, "key"), [1, "k"], role)
    yield shop.bad("a listener twice", "contradiction", ("rpc", "listen"), shop.platform["listen"], role)
    yield shop.bad("another listener", "contradiction", ("rpc", "listen"), "127.0.0.1:7999", role)
    listed: tuple[Any, ...]
    for listed in (["busy", "sold out"], [{"code": 7}]):
        place = (*("rpc", "turned_away"), len(listed) - 1)
        yield shop.bad(
            f"turned away by {listed}", "turned-away", ("rpc", "turned_away"), listed, role, reported=place
        )
    yield shop.bad("an unknown field", "unknown-field", ("rpc", "call_in_hand"), 5, role)
    yield shop.bad("a number as text", "wrong-type", ("rpc", "calls_in_hand"), "128", role)
    yield shop.bad(
        "no calls in hand",
        "contradiction",
        ("rpc", "calls_in_hand"),
        0,
        role,
        reported=("rpc", "calls_in_hand"),
    )
    yield shop.bad("an unknown field of a method", "unknown-field", (*methods, 1, "clas"), "x", role)
    texts = texts_of(shop.platform, None, shop.app)
    line = line_of(shop.app, 'methods = ["order.sale"]')
    yield Bad("shop: no operator's file", "uncovered-call", Role.APP, ("calls", 0, "methods"), line, texts)
    yield shop.bad("later than callers wait", "time-outs", (*CLASSES, 2, "give-up-ms"), 60_000.0)
    yield shop.bad("few descriptors", "capacity", ("limits", "sockets"), 256)


def _environment(stall: Maker, shop: Maker) -> Iterator[Bad]:
    role = Role.ENVIRONMENT
    for maker, name, rule, variable, value in (
        (stall, "listens elsewhere", "contradiction", "BALANCER_LISTEN", "127.0.0.1:5001"),
        (stall, "asks elsewhere", "drain", "BALANCER_DISCOVERY", "127.0.0.1:8501"),
        (stall, "listens nowhere", "refused-start", "BALANCER_LISTEN", "nowhere"),
        (stall, "another file", "environment", "BALANCER_CONFIG", "/etc/other.json"),
        (stall, "a misspelt variable", "environment", "BALANCER_DISCOVRY", "127.0.0.1:8500"),
        (
            shop,
            "listens where calls come",
            "contradiction",
            "BALANCER_LISTEN",
            shop.platform["listen"][:-4] + "7000",
        ),
    ):
        env = f"# of the service manager\nBALANCER_CONFIG=/run/app/config.json\n{variable}={value}\n"
        if variable == "BALANCER_CONFIG":
            env = f"# of the service manager\n\n{variable}={value}\n"
        texts = texts_of(maker.platform, maker.operator, maker.app, env)
        yield Bad(f"{maker.base}: {name}", rule, role, (variable,), 3, texts)
    env = "BALANCER_NAME=a\nwhat is this\n"
    yield Bad("stall: no variable", "unreadable", role, (), 2, texts_of(stall.platform, None, stall.app, env))
    env = "BALANCER_NAME=stall-wool\nBALANCER_NAME=other\n"
    texts = texts_of(stall.platform, None, stall.app, env)
    yield Bad("stall: a variable twice", "duplicate-key", role, ("BALANCER_NAME",), 2, texts)


def _descriptions(stall: Maker, shop: Maker) -> Iterator[Bad]:
    role = Role.APP
    calls = ("calls", 0)
    for name, rule, path, old, *new in (
        ("a sale keyed", "sale-repeats", (*calls, "repeat"), 'repeat = "never"', 'repeat = "keyed"'),
        ("a sale free", "sale-repeats", (*calls, "repeat"), 'repeat = "never"', 'repeat = "free"'),
        ("an unknown repeat", "unknown-value", (*calls, "repeat"), 'repeat = "never"', 'repeat = "once"'),
        ("a misspelt field", "unknown-field", (*calls, "wantedms"), "wanted_ms = 400", "wantedms = 400"),
        (
            "a number as text",
            "wrong-type",
            (*calls, "given_up_ms"),
            "given_up_ms = 1200",
            'given_up_ms = "1200"',
        ),
        ("NaN", "out-of-range", (*calls, "wanted_ms"), "wanted_ms = 400", "wanted_ms = nan"),
        ("infinite", "out-of-range", (*calls, "rate"), "rate = 12 ", "rate = inf "),
        ("negative", "out-of-range", (*calls, "rate"), "rate = 12 ", "rate = -12 "),
        (
            "wanted after given up",
            "contradiction",
            (*calls, "wanted_ms"),
            "wanted_ms = 400",
            "wanted_ms = 1300",
        ),
        ("no name", "refused-start", (), 'name = "stall-wool"', "# no name", "# A stall"),
        ("a name with a space", "wrong-type", ("member",), 'member = "gudrun"', 'member = "gu drun"'),
        (
            "two calls of a name",
            "contradiction",
            ("calls", 1),
            '[[calls]]\nname = "listing"',
            '[[calls]]\nname = "sale"',
        ),
        (
            "a cold share over 1",
            "out-of-range",
            ("fleet", "cold_share"),
            "cold_share = 0.3",
            "cold_share = 3",
        ),
    ):
        yield stall.in_text(name, rule, role, path, old, *new)
    methods = 'methods = ["order.sale"]\n'
    path: tuple[str | int, ...] = ("calls", 0)
    yield shop.in_text("no methods", "contradiction", role, path, methods, "", "[[calls]]")
    yield shop.in_text(
        "a key of no use", "contradiction", role, path, methods, methods + "key = [0]\n", "[[calls]]"
    )
    machine, path = "[machine]\nmemory_mb = 32\n[fleet]", ("machine", "memory_mb")
    yield stall.in_text("a small machine", "capacity", role, path, "[fleet]", machine, "memory_mb = 32")


def _unreadable(stall: Maker, shop: Maker) -> Iterator[Bad]:
    platform = dump(stall.platform)
    half = platform[: len(platform) // 2]
    last = half.count("\n") + 1
    made: list[tuple[str, Role, bytes, int | None]] = [
        ("half of it", Role.PLATFORM, half.encode(), None),
        ("nothing", Role.PLATFORM, b"", 1),
        ("a list", Role.PLATFORM, b"[]", 1),
        ("a number", Role.PLATFORM, b"7", 1),
        ("deep", Role.PLATFORM, b"[" * 100_000, 1),
        ("deep objects", Role.PLATFORM, b'{"a":' * 100_000, 1),
        ("UTF-16", Role.PLATFORM, platform.encode("utf-16"), 1),
        ("Latin-1", Role.PLATFORM, platform.replace("stall-wool", "stáll").encode("latin-1"), 2),
        ("a byte order mark", Role.PLATFORM, b"\xef\xbb\xbf" + platform.encode(), 1),
        ("a zero byte", Role.PLATFORM, b"\0" + platform.encode(), 1),
        ("a comment", Role.PLATFORM, b"// by hand\n" + platform.encode(), 1),
        ("a comma too many", Role.PLATFORM, platform.replace("],\n", "],,\n", 1).encode(), None),
        ("digits without end", Role.PLATFORM, b'{"seed": ' + b"9" * 6000 + b"}", 1),
        ("100 MB", Role.PLATFORM, b" " * (5 * 1024 * 1024), 1),  # the rest of it is never read
        ("a table twice", Role.OPERATOR, toml(shop.operator or {}).encode() + b"[rpc]\n", None),
        ("a key twice", Role.OPERATOR, b'[rpc]\nlisten = "a:1"\nlisten = "a:1"\n', 3),
        ("no value", Role.OPERATOR, b"[rpc]\nlisten =\n", 2),
        ("deep", Role.OPERATOR, b"a = " + b"[" * 100_000, 1),
        ("a key twice", Role.APP, b'name = "a"\nname = "b"\n', 2),
        ("Latin-1", Role.APP, 'name = "a"\nkind = "búð"\n'.encode("latin-1"), 2),
    ]
    assert last > 1
    for name, role, raw, line in made:
        maker = stall if role is not Role.OPERATOR else shop
        texts = dict(texts_of(maker.platform, maker.operator, maker.app).texts)
        texts[role] = raw
        yield Bad(f"unreadable: {FILES[role]} {name}", "unreadable", role, (), line or 0, Texts(texts))


# Good ones


def some_app(seed: int) -> str:
    """A description from over the whole range of the schema, as text."""
    chance = random.Random(seed)
    protocols = chance.choice([["http"], ["rpc"], ["http", "rpc"]])
    names = chance.sample(
        ["sale", "listing", "look", "bid", "reserve", "price", "sale-late"], chance.randint(1, 5)
    )
    lines = [
        f'name = "app-{seed}"',
        f'kind = "{chance.choice(["stall", "shop", "window", "office"])}"',
        f'member = "m{seed}"',
        f"protocols = {json.dumps(protocols)}",
    ]
    if chance.random() < 0.7:
        lines += [f'guild = "g{seed % 7}"', f'data_centre = "{chance.choice(["reykjavik", "selfoss", "a"])}"']
    for name in names:
        repeat = "never" if "sale" in name else chance.choice(["never", "keyed", "free"])
        wanted = round(chance.uniform(20, 3000), chance.choice([0, 1]))
        # Little by little up to the largest: rates and bursts have to fit a machine's descriptors.
        given_up = round(wanted * chance.uniform(1.0, 6.0) + 1.0)
        lines += [
            "",
            "[[calls]]",
            f'name = "{name}"',
            f'repeat = "{repeat}"',
            f"wanted_ms = {wanted}",
            f"given_up_ms = {given_up}",
            f"rate = {round(10 ** chance.uniform(-3, 1.7), 3)}",
            f"burst = {chance.choice([1, 1, 2, 5, 40])}",
            f"importance = {chance.choice([0, 0.5, 1, 10])}",
            f"late_worth = {chance.choice([0, 0.3, 1])}",
            f"request_bytes = {chance.choice([0, 100, 65536])}",
            f"answer_bytes = {chance.choice([0, 4000, 65536])}",
        ]
        if repeat == "keyed":
            lines += [
                f"remembers_ms = {chance.choice([300, 2000, 8000, 86400000])}",
                f'remembered_by = "{chance.choice(["cell", "zone", "all"])}"',
            ]
        if "rpc" in protocols:
            lines.append(f'methods = ["{name}.do", "x-{name}.*"]')
            if repeat == "keyed":
                lines.append(f"key = {json.dumps(chance.choice([[0, 'key'], [0], [1, 'k']]))}")
    lines += [
        "",
        "[fleet]",
        f"servers = {chance.choice([1, 3, 15, 400])}",
        f"sidecars = {chance.choice([1, 60, 5000])}",
        f"cold_share = {chance.choice([0.05, 0.3, 0.99, 1])}"
        if chance.random() < 0.5
        else "cold_share = 0.3",
        f"warm_up_ms = {chance.choice([0, 900, 9000, 120000])}",
        f"idle_ms = {chance.choice([100, 5000, 600000])}",
        f'discovery = "{chance.choice(["ask", "push"])}"',
    ]
    if chance.random() < 0.3:
        lines.append('turned_away = ["busy", {code = 7}, 3]')
    lines += ["", "[machine]", "descriptors = 16384", f"memory_mb = {chance.choice([512, 2048])}"]
    return "\n".join(lines) + "\n"


def hand_written() -> Iterator[tuple[str, Texts]]:
    """Good ones by hand: sparse, with other fields of the platform, listings only, without a description."""
    stall, shop, window = Maker("stall"), Maker("shop"), Maker("window")
    yield "the examples: stall", texts_of(stall.platform, None, stall.app)
    yield "the examples: shop", texts_of(shop.platform, shop.operator, shop.app)
    yield "the examples: window", texts_of(window.platform, None, window.app)
    for maker in (stall, shop, window):
        yield f"{maker.base} without a description", texts_of(maker.platform, maker.operator)
    yield "one line", texts_of(json.dumps(stall.platform), None, stall.app)
    fewer = put(stall.platform, (*LIMITS, "max-attempts"), 2)
    yield "fewer attempts", texts_of(fewer, None, stall.app)
    yield (
        "a shorter window",
        texts_of(put(stall.platform, (*CLASSES, 1, "window-ms"), 4000.0), None, stall.app),
    )
    yield "a longer warm-up", texts_of(put(stall.platform, (*RULES, "cold-ms"), 20_000.0), None, stall.app)
    yield "a smaller first share", texts_of(put(stall.platform, (*RULES, "cold-from"), 0.1), None, stall.app)
    yield "a shorter drain", texts_of(put(stall.platform, (*RULES, "drain-grace-ms"), 0), None, stall.app)
    yield "a larger fleet", texts_of(put(stall.platform, ("settings", "peers-total"), 200), None, stall.app)
    strict = put(stall.platform, (*CLASSES, 1, "idempotency"), "single_shot")
    yield "listings sent once", texts_of(strict, None, stall.app)
    listing = put(window.platform, (*CLASSES, 1, "idempotency"), "guarded")
    listing = put(listing, (*CLASSES, 1, "window-ms"), 1000.0)
    yield "looks under a key", texts_of(listing, None, window.app)
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
    yield "as little as starts, and no sales", texts_of(bare)
    more = put(bare, ("settings", "tenants"), [])
    yield "more of the platform's fields", texts_of(more | {"new": 1})
    env = "BALANCER_CONFIG=/run/stall/config.json\nexport BALANCER_NAME='stall-wool'\n\nPATH=/usr/bin\n"
    yield "with variables", texts_of(stall.platform, None, stall.app, env)
    env = "BALANCER_LISTEN=127.0.0.1:5000\nBALANCER_DISCOVERY=127.0.0.1:8500\n"
    bare_addresses = put(put(stall.platform, ("listen",), GONE), ("discovery",), GONE)
    yield "addresses by variables", texts_of(bare_addresses, None, stall.app, env)
    wholesale = put(bare, ("settings", "classes", 0, "name"), "wholesale")
    yield "a wholesale is no sale", texts_of(wholesale)
