"""Types of an application's description (app.toml), written by the application's owner. No I/O.

Configurations are generated from a description and checked against it. `schema` returns its JSON Schema.
Docstrings and descriptions of the types are part of the schema, which is published as deploy/app.schema.json.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]
Milliseconds = Annotated[float, Meta(ge=1, le=600_000, description="milliseconds")]
Rate = Annotated[float, Meta(ge=0, le=100_000, description="calls a second, at this one sidecar")]
Bytes = Annotated[int, Meta(ge=0, le=65_536, description="bytes; a body holds 64 KiB at most")]
Count = Annotated[int, Meta(ge=1, le=100_000)]
PathStep = int | str
ShortText = Annotated[str, Meta(min_length=1, max_length=128)]

DEFAULT_REMEMBERS_MS = 8000.0  # how long the market's order servers remember keys today


class Call(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One kind of call that the application makes."""

    name: Annotated[Name, Meta(description="the service class, X-Service-Class over HTTP")]
    repeat: Annotated[
        Literal["never", "keyed", "free"],
        Meta(
            description="never: may run once (a sale); keyed: servers drop repeats by its key; free: harmless"
        ),
    ]
    wanted_ms: Annotated[Milliseconds, Meta(description="an answer within this time is worth all")]
    given_up_ms: Annotated[Milliseconds, Meta(description="the caller waits so long, then goes away")]
    rate: Annotated[Rate, Meta(description="calls a second on an ordinary day")]
    burst: Annotated[int, Meta(ge=1, le=10_000, description="most calls that begin at once")] = 1
    importance: Annotated[float, Meta(ge=0, le=1000)] = 1.0
    late_worth: Annotated[float, Meta(ge=0, le=1, description="worth of an answer after wanted_ms")] = 0.5
    request_bytes: Bytes = 1024
    answer_bytes: Bytes = 4096
    remembers_ms: Annotated[float, Meta(ge=0, le=86_400_000, description="how long servers know a key")] = (
        DEFAULT_REMEMBERS_MS
    )
    remembered_by: Annotated[
        Literal["cell", "zone", "all"], Meta(description="which servers know a key that one of them has seen")
    ] = "cell"
    methods: Annotated[
        tuple[ShortText, ...], Meta(max_length=256, description="MessagePack-RPC: names, or starts*")
    ] = ()
    key: Annotated[
        tuple[PathStep, ...], Meta(max_length=8, description="where in params the key stands")
    ] = ()
    id: Annotated[tuple[PathStep, ...], Meta(max_length=8, description="where in params an id stands")] = ()

    def __post_init__(self) -> None:
        if self.wanted_ms > self.given_up_ms:
            raise ValueError(f"wanted_ms: {self.wanted_ms:g} is more than given_up_ms, {self.given_up_ms:g}")


class Fleet(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The order servers, and the sidecars that share them."""

    servers: Count = 15
    sidecars: Annotated[Count, Meta(description="all that ask the same servers, this one counted")] = 1
    cold_share: Annotated[
        float, Meta(gt=0, le=1, description="share of its capacity that a server starts with")
    ] = 0.3
    warm_up_ms: Annotated[
        float, Meta(ge=0, le=600_000, description="until it can do all; 0: servers start warm")
    ] = 9000.0
    idle_ms: Annotated[Milliseconds, Meta(description="servers close a connection that is idle so long")] = (
        5000.0
    )
    discovery: Annotated[
        Literal["ask", "push"], Meta(description="one service for all, or an agent on this machine")
    ] = "ask"
    turned_away: Annotated[
        tuple[Any, ...],
        Meta(max_length=32, description="MessagePack-RPC: errors sent only before a call runs"),
    ] = ()


class Listen(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Addresses: where the application connects, and where discovery is."""

    http: ShortText = "127.0.0.1:5000"
    rpc: ShortText = "127.0.0.1:7000"
    discovery: ShortText = "127.0.0.1:8500"


class Machine(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What the sidecar's machine gives it at the most."""

    descriptors: Annotated[int, Meta(ge=128, le=1_048_576)] = 1024
    memory_mb: Annotated[float, Meta(ge=32, le=65_536)] = 192.0
    cores: Annotated[float, Meta(gt=0, le=64)] = 1.0


class App(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """An application, as its owner describes it (app.toml)."""

    name: Name
    kind: Annotated[Name, Meta(description="applications of one kind are held against each other")]
    member: Annotated[Name, Meta(description="whose it is")]
    calls: Annotated[tuple[Call, ...], Meta(min_length=1, max_length=64)]
    guild: Annotated[str, Meta(max_length=64)] = ""
    data_centre: Annotated[str, Meta(max_length=64, description="as discovery names it (site)")] = ""
    protocols: Annotated[tuple[Literal["http", "rpc"], ...], Meta(min_length=1, max_length=2)] = ("http",)
    fleet: Fleet = Fleet()
    listen: Listen = Listen()
    machine: Machine = Machine()

    def __post_init__(self) -> None:
        names = [call.name for call in self.calls]
        if len(set(names)) != len(names):
            raise ValueError("calls: two calls share a name")
        if "rpc" in self.protocols:
            for call in self.calls:
                if not call.methods:
                    raise ValueError(f"calls: {call.name} has no methods, but protocols contains rpc")
                if (call.repeat == "keyed") != bool(call.key):
                    problem = "needs a key" if call.repeat == "keyed" else "must not have a key"
                    raise ValueError(f"calls: {call.name} {problem}: repeat is {call.repeat!r}")

    @property
    def has_unrepeatable_calls(self) -> bool:
        """Whether any call must not run more than once."""
        return any(call.repeat == "never" for call in self.calls)

    @property
    def speaks_rpc(self) -> bool:
        """Whether the application calls over MessagePack-RPC."""
        return "rpc" in self.protocols


def parse_app(data: Any) -> App:
    """Validates a parsed app.toml. Raises msgspec.ValidationError, whose text ends with the invalid path."""
    return msgspec.convert(data, App)


def schema() -> dict[str, Any]:
    """JSON Schema (draft 2020-12) of app.toml, for editors."""
    found = msgspec.json.schema(App)
    return {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "An application beside an anisestair sidecar",
        **found,
    }
