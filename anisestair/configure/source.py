"""Texts as values with places: JSON, TOML and the lines of an environment file. No I/O.

Values come from the standard library's parsers, the same that the loaders use, so that what is judged is what
a sidecar would use. Those parsers do not say where a value stood. A second walk over the text, which they
have found to be sound, finds that; it runs only where there is something to tell, and a test holds its paths
against the parsers' values.
"""

from __future__ import annotations

import json
import re
from bisect import bisect_right
from dataclasses import dataclass, field
from functools import cached_property
from typing import Any

Path = tuple[str | int, ...]

MAX_BYTES = 4 * 1024 * 1024  # a list of some ten thousand servers; more is not a configuration
MAX_DEPTH = 64  # ours have six levels; the parsers recurse, and fail somewhere beyond nine hundred


@dataclass(frozen=True, slots=True)
class Flaw:
    """Why a text cannot be read: one line of words, and where."""

    line: int
    column: int
    says: str


@dataclass
class Document:
    """One text: its value where it can be read (else ``flaw``), and the places of what is in it."""

    file: str
    kind: str  # "json", "toml" or "env"
    text: str
    data: Any = None
    flaw: Flaw | None = None
    repeated: bool = False  # a key stands twice in one object; the last one counts
    _starts: list[int] = field(default_factory=list)

    @cached_property
    def spots(self) -> tuple[dict[Path, int], list[tuple[Path, int]]]:
        """Offsets by path, and the path and offset of each repeated key."""
        if self.flaw is not None:
            return {}, []
        if self.kind == "json":
            return _walk_json(self.text)
        if self.kind == "toml":
            return _TomlWalk(self.text).walk(), []
        return _walk_env(self.text)

    def line_column(self, offset: int) -> tuple[int, int]:
        """Both from 1; the column counts characters."""
        if not self._starts:
            self._starts = [0] + [found.end() for found in re.finditer("\n", self.text)]
        line = bisect_right(self._starts, offset)
        return line, offset - self._starts[line - 1] + 1

    def place(self, path: Path) -> tuple[int, int]:
        """Line and column of what stands at a path; of what holds it where nothing stands there."""
        if self.flaw is not None:
            return self.flaw.line, self.flaw.column
        spots = self.spots[0]
        for length in range(len(path), 0, -1):
            if path[:length] in spots:
                return self.line_column(spots[path[:length]])
        return 1, 1


def unreadable(file: str, kind: str, says: str) -> Document:
    return Document(file, kind, "", flaw=Flaw(1, 1, " ".join(says.split())))


def decode(file: str, kind: str, raw: bytes) -> Document:
    """A file's bytes as a document, whatever they are: it never raises."""
    if len(raw) > MAX_BYTES:
        return unreadable(file, kind, f"larger than {MAX_BYTES} bytes: not a configuration")
    if raw.startswith((b"\xff\xfe", b"\xfe\xff")):
        return unreadable(file, kind, "UTF-16: save it as UTF-8")
    if raw.startswith(b"\xef\xbb\xbf"):
        return unreadable(file, kind, "begins with a byte order mark: save it as UTF-8 without one")
    try:
        text = raw.decode("utf-8")
    except UnicodeDecodeError as fault:
        line = raw.count(b"\n", 0, fault.start) + 1
        column = fault.start - raw.rfind(b"\n", 0, fault.start)
        says = f"not UTF-8 (byte {raw[fault.start]:#04x}): save it as UTF-8"
        return Document(file, kind, "", flaw=Flaw(line, column, says))
    return {"json": read_json, "toml": read_toml, "env": read_env}[kind](file, text)


def read_json(file: str, text: str) -> Document:
    found = Document(file, "json", text)

    def pairs(items: list[tuple[str, Any]]) -> dict[str, Any]:
        made = dict(items)
        found.repeated = found.repeated or len(made) < len(items)
        return made

    depth = _depth(text)
    if depth > MAX_DEPTH:
        found.flaw = Flaw(1, 1, f"nested {depth} deep: {MAX_DEPTH} at most")
        return found
    try:
        found.data = json.loads(text, object_pairs_hook=pairs)
    except json.JSONDecodeError as fault:
        found.flaw = Flaw(fault.lineno, fault.colno, f"not JSON: {fault.msg}")
    except (ValueError, RecursionError) as fault:  # a whole number of thousands of digits
        found.flaw = Flaw(1, 1, f"not JSON that can be used: {' '.join(str(fault).split())}")
    if found.flaw is None and not isinstance(found.data, dict):
        found.flaw = Flaw(1, 1, "not a JSON object")
    return found


TOML_PLACE = re.compile(r" \(at line (\d+), column (\d+)\)$")


def read_toml(file: str, text: str) -> Document:
    found = Document(file, "toml", text)
    depth = _depth(text)
    if depth > MAX_DEPTH:
        found.flaw = Flaw(1, 1, f"nested {depth} deep: {MAX_DEPTH} at most")
        return found
    import tomllib  # a sidecar that starts reads JSON alone

    try:
        found.data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as fault:
        said = str(fault)
        if place := TOML_PLACE.search(said):
            found.flaw = Flaw(int(place[1]), int(place[2]), f"not TOML: {said[: place.start()]}")
        else:
            found.flaw = Flaw(text.count("\n") + 1, 1, f"not TOML: {said}")
    except (ValueError, RecursionError) as fault:
        found.flaw = Flaw(1, 1, f"not TOML that can be used: {' '.join(str(fault).split())}")
    return found


ENV_LINE = re.compile(r"(?:export[ \t]+)?([A-Za-z_][A-Za-z0-9_]*)=(.*)")


def read_env(file: str, text: str) -> Document:
    """Lines NAME=value, as of a service manager's environment file; a value may stand in quotes."""
    found = Document(file, "env", text, data={})
    for number, line in enumerate(text.splitlines(), 1):
        line = line.strip()
        if not line or line.startswith(("#", ";")):
            continue
        match = ENV_LINE.fullmatch(line)
        if match is None:
            found.flaw = Flaw(number, 1, "neither NAME=value nor a comment")
            return found
        value = match[2].strip()
        if len(value) >= 2 and value[0] == value[-1] and value[0] in "'\"":
            value = value[1:-1]
        found.repeated = found.repeated or match[1] in found.data
        found.data[match[1]] = value
    return found


def _walk_env(text: str) -> tuple[dict[Path, int], list[tuple[Path, int]]]:
    spots: dict[Path, int] = {}
    repeats: list[tuple[Path, int]] = []
    offset = 0
    for line in text.splitlines(keepends=True):
        if match := ENV_LINE.match(line.strip()):
            if (match[1],) in spots:
                repeats.append(((match[1],), offset))
            spots[(match[1],)] = offset
        offset += len(line)
    return spots, repeats


def _depth(text: str) -> int:
    """How deep brackets nest outside of strings, without recursion; exact for JSON, never less for TOML that
    can be read."""
    depth = most = 0
    for token in re.finditer(r'"(?:[^"\\\n]|\\.)*"|[\[{]|[\]}]', text):
        first = token[0][0]
        if first in "[{":
            depth += 1
            most = max(most, depth)
        elif first in "]}":
            depth -= 1
    return most


JSON_TOKEN = re.compile(r'[ \t\r\n]*(?:("(?:[^"\\]|\\.)*")|([{}\[\],:])|([^\s{}\[\],:"]+))')


def _walk_json(text: str) -> tuple[dict[Path, int], list[tuple[Path, int]]]:
    spots: dict[Path, int] = {}
    repeats: list[tuple[Path, int]] = []
    base: list[Path] = []  # the path of each open container
    names: list[set[str] | None] = []  # the keys of each open object; None for an array
    step: list[str | int] = []  # where in each open container the next value stands
    want_key = False
    for token in JSON_TOKEN.finditer(text):
        string, sign, _ = token.groups()
        here = token.start(token.lastindex or 0)
        if string is not None and want_key:
            key: str = json.loads(string)
            path: Path = (*base[-1], key)
            seen = names[-1]
            assert seen is not None
            if key in seen:
                repeats.append((path, here))
                for other in [other for other in spots if other[: len(path)] == path]:
                    del spots[other]  # what the last one does not hold does not count
            seen.add(key)
            spots[path], step[-1], want_key = here, key, False
        elif sign in ("}", "]"):
            base.pop()
            names.pop()
            step.pop()
            want_key = False
        elif sign == ",":
            last = step[-1]
            if isinstance(last, int):
                step[-1] = last + 1
            else:
                want_key = True
        elif sign != ":":
            path = (*base[-1], step[-1]) if base else ()
            if base and names[-1] is None:
                spots[path] = here
            if sign in ("{", "["):
                base.append(path)
                names.append(set() if sign == "{" else None)
                step.append("" if sign == "{" else 0)
                want_key = sign == "{"
    return spots, repeats


class _TomlWalk:
    """The places of keys and elements in a text that tomllib has read."""

    SPACE = re.compile(r"(?:[ \t\r\n]|#[^\n]*)*")
    KEY = re.compile(r"""[ \t]*("(?:[^"\\]|\\.)*"|'[^']*'|[A-Za-z0-9_-]+)[ \t]*(\.?)""")
    STRING = re.compile(
        r'"""(?:[^\\]|\\.)*?"""+|\'\'\'.*?\'\'\'+|"(?:[^"\\]|\\.)*"|\'[^\']*\'',
        re.DOTALL,
    )
    PLAIN = re.compile(r"\d{4}-\d\d-\d\d[ Tt][0-9:.+Zz-]+|[^\s,\]}#]+")

    def __init__(self, text: str) -> None:
        self.text, self.at = text, 0
        self.spots: dict[Path, int] = {}
        self.counts: dict[Path, int] = {}  # elements of arrays of tables so far

    def walk(self) -> dict[Path, int]:
        table: Path = ()
        while True:
            self._space()
            if self.at >= len(self.text):
                return self.spots
            start = self.at
            if self.text.startswith("[", self.at):
                many = self.text.startswith("[[", self.at)
                self.at += 2 if many else 1
                table = self._header(self._key(), many, start)
                self.spots.setdefault(table, start)
                self.at = self.text.index("]", self.at) + (2 if many else 1)
            else:
                self._pair(table)

    def _header(self, key: Path, many: bool, start: int) -> Path:
        path: Path = ()
        for place, name in enumerate(key):
            path = (*path, name)
            self.spots.setdefault(path, start)
            if many and place == len(key) - 1:
                self.counts[path] = self.counts.get(path, -1) + 1
            if path in self.counts:
                path = (*path, self.counts[path])
        return path

    def _space(self) -> None:
        found = self.SPACE.match(self.text, self.at)
        assert found is not None
        self.at = found.end()

    def _key(self) -> Path:
        names: list[str] = []
        while (found := self.KEY.match(self.text, self.at)) is not None:
            self.at = found.end()
            word = found[1]
            if word[0] in "\"'":
                import tomllib

                word = str(tomllib.loads(f"a={word}")["a"])
            names.append(word)
            if not found[2]:
                break
        return tuple(names)

    def _pair(self, table: Path) -> None:
        start, key = self.at, self._key()
        for length in range(1, len(key) + 1):
            self.spots.setdefault((*table, *key[:length]), start)
        self.at = self.text.index("=", self.at) + 1
        self._value((*table, *key))

    def _value(self, path: Path) -> None:
        self._space()
        first = self.text[self.at]
        if first in "[{":
            self.at += 1
            self._space()
            number = 0
            while self.text[self.at] not in "]}":
                if first == "{":
                    self._pair(path)
                else:
                    self.spots[(*path, number)] = self.at
                    self._value((*path, number))
                    number += 1
                self._space()
                if self.text[self.at] == ",":
                    self.at += 1
                    self._space()
            self.at += 1
            return
        found = (self.STRING if first in "\"'" else self.PLAIN).match(self.text, self.at)
        assert found is not None
        self.at = found.end()
