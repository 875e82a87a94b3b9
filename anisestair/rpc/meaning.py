"""Interprets RPC calls: class by method, idempotency key, outcome by error, and the proxy's own errors.

The protocol has no headers, so the operator's file maps methods to classes, and gives the paths in the params
of keys and ids. A method that no pattern matches is refused; its class is never guessed.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import msgpack

from anisestair.lifecycle.exchange import Final
from anisestair.rpc import codec
from hareloom import interface as api
from hareloom.interface import Effect, Outcome

Path = tuple[int | str, ...]

NIL = b"\xc0"
MAX_KEY = 128  # bytes; bound on a key or an id

# The codes of errors created by the proxy. Such an error is a map with "code", and with "retry_after_ms" if
# the client may retry.
CODES = {
    Final.REFUSED: "refused",
    Final.FAILED: "failed",
    Final.OVERDUE: "overdue",
    Final.FAULT: "fault",
}
UNKNOWN_METHOD, BAD_CALL = "unknown_method", "bad_call"


class BadCall(Exception):
    """A call that is not forwarded. ``code`` goes into the error response, the text only into the log."""

    def __init__(self, code: str, why: str) -> None:
        super().__init__(why)
        self.code = code


@dataclass(frozen=True, slots=True)
class Rule:
    """The operator's settings for the methods that a pattern matches: a name, or a prefix followed by
    ``*``."""

    pattern: str
    klass: str
    deadline_ms: float = 0.0  # 0: that of the class
    key: Path = ()  # path of the idempotency key in params
    id: Path = ()  # path of the application's id of the call, for the log; one open call per id
    deadline: Path = ()  # path at which the upstream gets the remaining time in ms


class CallRules:
    """Maps calls to requests by the rules. Raises ValueError, naming the pattern, where a rule contradicts
    the classes."""

    def __init__(
        self,
        rules: tuple[Rule, ...],
        turned_away: tuple[object, ...],
        classes: Mapping[str, api.RequestClass],
    ) -> None:
        # Read for each call, because a reload may change their content.
        self._classes, self._turned_away = classes, turned_away
        self._exact: dict[bytes, Rule] = {}
        self._prefixes: list[tuple[bytes, Rule]] = []
        for rule in rules:
            klass = classes.get(rule.klass)
            if klass is None:
                raise ValueError(f"{rule.pattern}: class: no class {rule.klass!r} in the settings")
            if (klass.effect is Effect.KEYED) != bool(rule.key):
                wants = "needs a key" if klass.effect is Effect.KEYED else "takes no key"
                raise ValueError(f"{rule.pattern}: key: the class {rule.klass} {wants}")
            if not 0.0 <= rule.deadline_ms <= klass.deadline_ms:
                raise ValueError(f"{rule.pattern}: deadline_ms: not within the class's {klass.deadline_ms:g}")
            name = rule.pattern.encode()
            if name.endswith(b"*"):
                self._prefixes.append((name[:-1], rule))
            elif name in self._exact:
                raise ValueError(f"{rule.pattern}: pattern: given twice")
            else:
                self._exact[name] = rule
        # The longest prefix wins, so that the order in the file does not affect how a call is classified.
        self._prefixes.sort(key=lambda item: -len(item[0]))
        starts = [start for start, _ in self._prefixes]
        if len(set(starts)) != len(starts):
            raise ValueError("pattern: the same start is given twice")

    def rule(self, name: bytes) -> Rule | None:
        found = self._exact.get(name)
        if found is None:
            found = next((rule for start, rule in self._prefixes if name.startswith(start)), None)
        return found

    def request(self, message: codec.Message, name: str, now: float) -> api.Request:
        """Returns the balancer's request for a call, under an id of the sidecar; raises BadCall."""
        rule = self.rule(message.name)
        if rule is None:
            raise BadCall(UNKNOWN_METHOD, "no pattern of the operator's file matches the method")
        klass = self._classes.get(rule.klass)
        if klass is None:
            raise BadCall(UNKNOWN_METHOD, f"the settings have no class {rule.klass!r} any more")
        if klass.effect is Effect.KEYED and not rule.key:
            raise BadCall(
                BAD_CALL, f"class {rule.klass!r} needs a key now, and the operator's file names none"
            )
        if rule.id:
            found = pick(message.params, rule.id)
            if not _is_key(found):
                raise BadCall(BAD_CALL, f"no id at {list(rule.id)} in params")
            name = f"{name.split()[0]} id {found.decode('latin-1') if isinstance(found, bytes) else found}"
        if rule.key and not _is_key(pick(message.params, rule.key)):
            raise BadCall(BAD_CALL, f"no key at {list(rule.key)} in params")
        if message.kind is codec.Kind.NOTIFICATION and klass.effect is Effect.UNSAFE:
            raise BadCall(BAD_CALL, "a notification of an unsafe class: its outcome could not be reported")
        return api.Request(name, klass.name, now + (rule.deadline_ms or klass.deadline_ms))

    def params(self, message: codec.Message, left_ms: int) -> bytes:
        """The params to forward: unchanged, except for the remaining time if a rule gives a path for it."""
        rule = self.rule(message.name)
        return (
            message.params
            if rule is None or not rule.deadline
            else put(message.params, rule.deadline, left_ms)
        )

    def outcome(self, error: bytes) -> Outcome:
        """The outcome of a response by its error. FULL means that the call was rejected without being run;
        after any other error but nil it may have run."""
        if error == NIL:
            return Outcome.OK
        decoded = _unpacked(error)
        return Outcome.FULL if any(_matches(decoded, item) for item in self._turned_away) else Outcome.ERROR


def error_of(final: Final, retry_after_ms: float) -> dict[str, object]:
    """The error object of a final outcome without a response of an upstream."""
    return own_error(CODES[final], retry_after_ms if final is Final.REFUSED else 0.0)


def own_error(code: str, retry_after_ms: float = 0.0) -> dict[str, object]:
    error: dict[str, object] = {"code": code}
    if retry_after_ms > 0:
        error["retry_after_ms"] = round(retry_after_ms)
    return error


def pick(params: bytes, path: Path) -> object:
    """The value at a path of indexes and names in encoded params; None if there is none."""
    found = _unpacked(params)
    for step in path:
        if isinstance(found, list) and isinstance(step, int):
            found = found[step] if 0 <= step < len(found) else None
        elif isinstance(found, dict):
            found = found.get(step.encode() if isinstance(step, str) else step)
        else:
            return None
    return found


def put(params: bytes, path: Path, value: int) -> bytes:
    """Returns encoded params with the value at the path replaced, and every other byte unchanged. A path that
    does not exist is not added, as the method may not accept such an argument."""
    walk = msgpack.Unpacker(raw=True, strict_map_key=False, object_pairs_hook=_dict)
    walk.feed(params)
    try:
        for step in path:
            if not _go_to(walk, params, step):
                return params
        start = walk.tell()
        walk.skip()
        return params[:start] + codec.packed(value) + params[walk.tell() :]
    except (ValueError, msgpack.UnpackException):
        return params


def _go_to(walk: Any, params: bytes, step: int | str) -> bool:
    """Advances from the start of a container to that of its element; False if there is no such element."""
    first = params[walk.tell()]
    if isinstance(step, int) and (0x90 <= first <= 0x9F or first in (0xDC, 0xDD)):
        length: int = walk.read_array_header()
        for _ in range(min(step, length)):
            walk.skip()
        return 0 <= step < length
    if 0x80 <= first <= 0x8F or first in (0xDE, 0xDF):
        name = step.encode() if isinstance(step, str) else step
        for _ in range(walk.read_map_header()):
            if walk.unpack() == name:
                return True
            walk.skip()
    return False


def _is_key(value: object) -> bool:
    if isinstance(value, bytes):
        return 0 < len(value) <= MAX_KEY
    return isinstance(value, int) and not isinstance(value, bool)


def _matches(error: object, pattern: object) -> bool:
    """Whether an error matches a pattern: a string if equal, a table if the map has all of its entries."""
    if isinstance(pattern, str):
        return error == pattern.encode()
    if isinstance(pattern, dict):
        return isinstance(error, dict) and all(
            name.encode() in error and _matches(error[name.encode()], value)
            for name, value in pattern.items()
        )
    return type(error) is type(pattern) and error == pattern


def _unpacked(data: bytes) -> Any:
    """Decodes a value, None if invalid. Maps keep only bytes and int keys, the last of repeated ones; strings
    are returned as bytes."""
    try:
        return msgpack.unpackb(data, raw=True, strict_map_key=False, object_pairs_hook=_dict)
    except (ValueError, msgpack.UnpackException):
        return None


def _dict(pairs: list[tuple[Any, Any]]) -> dict[Any, Any]:
    return {key: value for key, value in pairs if isinstance(key, bytes | int)}
