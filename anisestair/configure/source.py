"""Parses JSON, TOML and environment files, and finds the positions of their values. No I/O.

Values come from the parsers of the standard library. The loaders use the same ones, so the values that are
checked are those that a sidecar would use. These parsers report no positions: a second pass over the text,
after it has been parsed successfully, finds them. It runs only if there is a finding to locate. A test
compares its paths with the parsers' values.
"""

from __future__ import annotations

import json
import re
from bisect import bisect_right
from dataclasses import dataclass, field
from functools import cached_property
from typing import Any

FieldPath = tuple[str | int, ...]

MAX_BYTES = 4 * 1024 * 1024  # enough for a list of about ten thousand servers
MAX_DEPTH = 64  # configurations have six levels; the recursive parsers fail beyond about nine hundred


@dataclass(frozen=True, slots=True)
class ParseFailure:
    """Why a file cannot be parsed, in one line, and where."""

    line: int
    column: int
    message: str


@dataclass
class Document:
    """A parsed file: its value, or ``failure`` if it cannot be parsed, and the positions of its fields."""

    file: str
    kind: str  # "json", "toml" or "env"
    text: str
    data: Any = None
    failure: ParseFailure | None = None
    has_duplicates: bool = False  # an object has a duplicate key; its last value is used
    _starts: list[int] = field(default_factory=list)

    @cached_property
    def positions(self) -> tuple[dict[FieldPath, int], list[tuple[FieldPath, int]]]:
        """Offsets by path, and the path and offset of each duplicate key."""
        if self.failure is not None:
            return {}, []
        if self.kind == "json":
            return _json_positions(self.text)
        if self.kind == "toml":
            return _TomlPositions(self.text).walk(), []
        return _env_positions(self.text)

    def line_column(self, offset: int) -> tuple[int, int]:
        """Line and column of an offset, both from 1; the column counts characters."""
        if not self._starts:
            self._starts = [0] + [found.end() for found in re.finditer("\n", self.text)]
        line = bisect_right(self._starts, offset)
        return line, offset - self._starts[line - 1] + 1

    def locate(self, path: FieldPath) -> tuple[int, int]:
        """Line and column of the value at a path, or of its innermost parent that exists."""
        if self.failure is not None:
            return self.failure.line, self.failure.column
        positions = self.positions[0]
        for length in range(len(path), 0, -1):
            if path[:length] in positions:
                return self.line_column(positions[path[:length]])
        return 1, 1


def unreadable_document(file: str, kind: str, message: str) -> Document:
    """A document that could not be read, with the reason."""
    return Document(file, kind, "", failure=ParseFailure(1, 1, " ".join(message.split())))


def decode(file: str, kind: str, raw: bytes) -> Document:
    """Parses a file's content. Never raises: a failure is recorded in the document."""
    if len(raw) > MAX_BYTES:
        return unreadable_document(file, kind, f"larger than {MAX_BYTES} bytes: not a configuration file")
    if raw.startswith((b"\xff\xfe", b"\xfe\xff")):
        return unreadable_document(file, kind, "UTF-16: save it as UTF-8")
    if raw.startswith(b"\xef\xbb\xbf"):
        return unreadable_document(file, kind, "starts with a byte order mark: save it as UTF-8 without one")
    try:
        text = raw.decode("utf-8")
    except UnicodeDecodeError as fault:
        line = raw.count(b"\n", 0, fault.start) + 1
        column = fault.start - raw.rfind(b"\n", 0, fault.start)
        message = f"not UTF-8 (byte {raw[fault.start]:#04x}): save it as UTF-8"
        return Document(file, kind, "", failure=ParseFailure(line, column, message))
    return {"json": read_json, "toml": read_toml, "env": read_env}[kind](file, text)


def read_json(file: str, text: str) -> Document:
    """Parses JSON; the value must be an object."""
    document = Document(file, "json", text)

    def build_object(items: list[tuple[str, Any]]) -> dict[str, Any]:
        value = dict(items)
        document.has_duplicates = document.has_duplicates or len(value) < len(items)
        return value

    depth = _nesting_depth(text)
    if depth > MAX_DEPTH:
        document.failure = ParseFailure(1, 1, f"nested {depth} levels deep; the limit is {MAX_DEPTH}")
        return document
    try:
        document.data = json.loads(text, object_pairs_hook=build_object)
    except json.JSONDecodeError as fault:
        document.failure = ParseFailure(fault.lineno, fault.colno, f"not JSON: {fault.msg}")
    except (ValueError, RecursionError) as fault:  # such as an integer of thousands of digits
        document.failure = ParseFailure(1, 1, f"unsupported JSON: {' '.join(str(fault).split())}")
    if document.failure is None and not isinstance(document.data, dict):
        document.failure = ParseFailure(1, 1, "not a JSON object")
    return document


TOML_POSITION = re.compile(r" \(at line (\d+), column (\d+)\)$")


def read_toml(file: str, text: str) -> Document:
    """Parses TOML."""
    document = Document(file, "toml", text)
    depth = _nesting_depth(text)
    if depth > MAX_DEPTH:
        document.failure = ParseFailure(1, 1, f"nested {depth} levels deep; the limit is {MAX_DEPTH}")
        return document
    import tomllib  # not loaded by a sidecar that reads only JSON

    try:
        document.data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as fault:
        error_text = str(fault)
        if position := TOML_POSITION.search(error_text):
            document.failure = ParseFailure(
                int(position[1]), int(position[2]), f"not TOML: {error_text[: position.start()]}"
            )
        else:
            document.failure = ParseFailure(text.count("\n") + 1, 1, f"not TOML: {error_text}")
    except (ValueError, RecursionError) as fault:
        document.failure = ParseFailure(1, 1, f"unsupported TOML: {' '.join(str(fault).split())}")
    return document


ENV_LINE = re.compile(r"(?:export[ \t]+)?([A-Za-z_][A-Za-z0-9_]*)=(.*)")


def read_env(file: str, text: str) -> Document:
    """Parses NAME=value lines, as in a service manager's environment file; values may be quoted."""
    document = Document(file, "env", text, data={})
    for number, line in enumerate(text.splitlines(), 1):
        line = line.strip()
        if not line or line.startswith(("#", ";")):
            continue
        match = ENV_LINE.fullmatch(line)
        if match is None:
            document.failure = ParseFailure(number, 1, "neither NAME=value nor a comment")
            return document
        value = match[2].strip()
        if len(value) >= 2 and value[0] == value[-1] and value[0] in "'\"":
            value = value[1:-1]
        document.has_duplicates = document.has_duplicates or match[1] in document.data
        document.data[match[1]] = value
    return document


def _env_positions(text: str) -> tuple[dict[FieldPath, int], list[tuple[FieldPath, int]]]:
    positions: dict[FieldPath, int] = {}
    duplicates: list[tuple[FieldPath, int]] = []
    offset = 0
    for line in text.splitlines(keepends=True):
        if match := ENV_LINE.match(line.strip()):
            if (match[1],) in positions:
                duplicates.append(((match[1],), offset))
            positions[(match[1],)] = offset
        offset += len(line)
    return positions, duplicates


def _nesting_depth(text: str) -> int:
    """Nesting depth of brackets outside strings, without recursion. Exact for JSON; for valid TOML it is
    never too low."""
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


def _json_positions(text: str) -> tuple[dict[FieldPath, int], list[tuple[FieldPath, int]]]:
    positions: dict[FieldPath, int] = {}
    duplicates: list[tuple[FieldPath, int]] = []
    container_paths: list[FieldPath] = []  # path of each open container
    container_keys: list[set[str] | None] = []  # keys read so far in each open object; None for an array
    next_keys: list[str | int] = []  # key or index of the next value in each open container
    expects_key = False
    for token in JSON_TOKEN.finditer(text):
        string, punctuation, _ = token.groups()
        offset = token.start(token.lastindex or 0)
        if string is not None and expects_key:
            key: str = json.loads(string)
            path: FieldPath = (*container_paths[-1], key)
            seen = container_keys[-1]
            assert seen is not None
            if key in seen:
                duplicates.append((path, offset))
                for other in [other for other in positions if other[: len(path)] == path]:
                    del positions[other]  # fields of the overridden value are not used
            seen.add(key)
            positions[path], next_keys[-1], expects_key = offset, key, False
        elif punctuation in ("}", "]"):
            container_paths.pop()
            container_keys.pop()
            next_keys.pop()
            expects_key = False
        elif punctuation == ",":
            last = next_keys[-1]
            if isinstance(last, int):
                next_keys[-1] = last + 1
            else:
                expects_key = True
        elif punctuation != ":":
            path = (*container_paths[-1], next_keys[-1]) if container_paths else ()
            if container_paths and container_keys[-1] is None:
                positions[path] = offset
            if punctuation in ("{", "["):
                container_paths.append(path)
                container_keys.append(set() if punctuation == "{" else None)
                next_keys.append("" if punctuation == "{" else 0)
                expects_key = punctuation == "{"
    return positions, duplicates


class _TomlPositions:
    """Finds the positions of keys and elements in a text that tomllib accepts."""

    SPACE = re.compile(r"(?:[ \t\r\n]|#[^\n]*)*")
    KEY = re.compile(r"""[ \t]*("(?:[^"\\]|\\.)*"|'[^']*'|[A-Za-z0-9_-]+)[ \t]*(\.?)""")
    STRING = re.compile(
        r'"""(?:[^\\]|\\.)*?"""+|\'\'\'.*?\'\'\'+|"(?:[^"\\]|\\.)*"|\'[^\']*\'',
        re.DOTALL,
    )
    PLAIN = re.compile(r"\d{4}-\d\d-\d\d[ Tt][0-9:.+Zz-]+|[^\s,\]}#]+")

    def __init__(self, text: str) -> None:
        self.text, self.offset = text, 0
        self.positions: dict[FieldPath, int] = {}
        self.counts: dict[FieldPath, int] = {}  # index of the last element of each array of tables

    def walk(self) -> dict[FieldPath, int]:
        table: FieldPath = ()
        while True:
            self._skip_space()
            if self.offset >= len(self.text):
                return self.positions
            start = self.offset
            if self.text.startswith("[", self.offset):
                is_array = self.text.startswith("[[", self.offset)
                self.offset += 2 if is_array else 1
                table = self._enter_table(self._read_key(), is_array, start)
                self.positions.setdefault(table, start)
                self.offset = self.text.index("]", self.offset) + (2 if is_array else 1)
            else:
                self._visit_pair(table)

    def _enter_table(self, key: FieldPath, is_array: bool, start: int) -> FieldPath:
        path: FieldPath = ()
        for index, name in enumerate(key):
            path = (*path, name)
            self.positions.setdefault(path, start)
            if is_array and index == len(key) - 1:
                self.counts[path] = self.counts.get(path, -1) + 1
            if path in self.counts:
                path = (*path, self.counts[path])
        return path

    def _skip_space(self) -> None:
        found = self.SPACE.match(self.text, self.offset)
        assert found is not None
        self.offset = found.end()

    def _read_key(self) -> FieldPath:
        names: list[str] = []
        while (found := self.KEY.match(self.text, self.offset)) is not None:
            self.offset = found.end()
            name_text = found[1]
            if name_text[0] in "\"'":
                import tomllib

                name_text = str(tomllib.loads(f"a={name_text}")["a"])
            names.append(name_text)
            if not found[2]:
                break
        return tuple(names)

    def _visit_pair(self, table: FieldPath) -> None:
        start, key = self.offset, self._read_key()
        for length in range(1, len(key) + 1):
            self.positions.setdefault((*table, *key[:length]), start)
        self.offset = self.text.index("=", self.offset) + 1
        self._visit_value((*table, *key))

    def _visit_value(self, path: FieldPath) -> None:
        self._skip_space()
        first = self.text[self.offset]
        if first in "[{":
            self.offset += 1
            self._skip_space()
            number = 0
            while self.text[self.offset] not in "]}":
                if first == "{":
                    self._visit_pair(path)
                else:
                    self.positions[(*path, number)] = self.offset
                    self._visit_value((*path, number))
                    number += 1
                self._skip_space()
                if self.text[self.offset] == ",":
                    self.offset += 1
                    self._skip_space()
            self.offset += 1
            return
        found = (self.STRING if first in "\"'" else self.PLAIN).match(self.text, self.offset)
        assert found is not None
        self.offset = found.end()
