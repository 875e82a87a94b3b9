"""The plan of a soak: a list of typed events that is generated from a seed and can be replayed.

Times are seconds since the moment at which every process serves. Nodes are named ``controller-N`` and
``proxy-N``. The kinds of events follow the operators' protocol and rules. The fields and tags of these
structs are the format of stored plans.
"""

from __future__ import annotations

from enum import Enum

import msgspec
from msgspec import Struct


class Share(Struct, frozen=True):
    """A part of a route's requests: the service that serves it, and its weight."""

    service: str
    weight: int = 1


class RouteItem(Struct, frozen=True, tag="route"):
    """One version of a route. ``prefix`` begins and ends with a slash."""

    name: str
    version: int
    prefix: str
    shares: tuple[Share, ...]
    effectful: bool = False


class DropItem(Struct, frozen=True, tag="drop"):
    """The version of a route that removes it."""

    name: str
    version: int


Item = RouteItem | DropItem


class InvalidWrite(Enum):
    """The defect of a write that the control plane has to reject."""

    UNKNOWN_SERVICE = "a route names an unknown service"
    ZERO_TIMEOUT = "a route's horizon_ms is 0"
    ZERO_TRIALS = "a route has 0 trials"
    EMPTY_HOST = "a host is empty"
    TRUNCATED_BODY = "the body ends early"


class Write(Struct, frozen=True, tag="write"):
    """A configuration write. ``to``: index of the controller that is called first; ``rival``: conflicting
    content for the same versions, sent at the same time to another controller; ``again``: the write is sent
    once more after its acknowledgement."""

    at: float
    to: int
    items: tuple[Item, ...]
    rival: tuple[Item, ...] = ()
    again: bool = False
    invalid: InvalidWrite | None = None


class AddManyRoutes(Struct, frozen=True, tag="add_many"):
    """A write of ``count`` new routes to one service; their versions are consecutive, from ``version`` on."""

    at: float
    to: int
    count: int
    version: int
    service: str

    def as_write(self) -> Write:
        """Expands the event to the write that is sent."""
        share = (Share(self.service),)
        numbers = range(self.version, self.version + self.count)
        items = tuple(RouteItem(f"many-{n}", n, f"/many-{n}/", share) for n in numbers)
        return Write(self.at, self.to, items)


class Kill(Struct, frozen=True, tag="kill"):
    """SIGKILL to all of these nodes at the same time. Each restarts ``down_s`` later, those in ``wipe`` with
    an empty disk."""

    at: float
    nodes: tuple[str, ...]
    down_s: float
    wipe: tuple[str, ...] = ()


class KillAcknowledger(Struct, frozen=True, tag="kill_taker"):
    """SIGKILL to the controller that sends the next acknowledgement, as soon as it is received."""

    at: float
    down_s: float
    wipe: bool = False


class Terminate(Struct, frozen=True, tag="terminate"):
    """SIGTERM to each node, ``gap_s`` apart. A second SIGTERM follows after ``again_s`` and a SIGHUP after
    ``hangup_s``, unless these are 0."""

    at: float
    nodes: tuple[str, ...]
    gap_s: float
    down_s: float
    again_s: float = 0.0
    hangup_s: float = 0.0


class Freeze(Struct, frozen=True, tag="freeze"):
    """SIGSTOP to each node, SIGCONT after ``for_s``."""

    at: float
    nodes: tuple[str, ...]
    for_s: float


class SettingsChange(Enum):
    """What changes in a settings file."""

    SEED_ORDER = "the seeds in another order"
    RETRY_RATIO = "another retry ratio"
    SETTLE = "another settle_ms"
    CONTACT = "another contact_ms"
    INVALID_TOML = "no TOML for a moment"


class ChangeSettings(Struct, frozen=True, tag="retune"):
    """The settings file of each node changes ``count`` times in a row, each time followed by SIGHUP if
    ``signalled``."""

    at: float
    nodes: tuple[str, ...]
    setting: SettingsChange
    signalled: bool
    count: int = 1


class CutLinks(Struct, frozen=True, tag="cut"):
    """A network partition: no data passes from ``sources`` to ``targets``, nor back if ``both``."""

    at: float
    for_s: float
    sources: tuple[str, ...]
    targets: tuple[str, ...]
    both: bool


class DegradeLinks(Struct, frozen=True, tag="degrade"):
    """All links to these nodes are delayed, limited to ``bytes_s`` (0: unlimited), or reset at random with
    probability ``reset``."""

    at: float
    for_s: float
    nodes: tuple[str, ...]
    delay_ms: float = 0.0
    bytes_s: float = 0.0
    reset: float = 0.0


class ResetLinks(Struct, frozen=True, tag="reset"):
    """All connections of these nodes to other processes are reset at the same time."""

    at: float
    nodes: tuple[str, ...]


class ReplaceUpstream(Struct, frozen=True, tag="upstream"):
    """The upstream beside a proxy ends; if ``planned``, it drains and deregisters first. The next
    incarnation, of ``service``, starts at the same address ``down_s`` later. ``late_s``: how long after its
    first heartbeat a late one of the former incarnation arrives; 0: none does."""

    at: float
    node: str
    planned: bool
    down_s: float
    service: str
    late_s: float = 0.0


class ReplaceController(Struct, frozen=True, tag="replace"):
    """A controller's machine is lost for good; a new one starts at another address ``down_s`` later."""

    at: float
    node: str
    down_s: float


Event = (
    Write
    | AddManyRoutes
    | Kill
    | KillAcknowledger
    | Terminate
    | Freeze
    | ChangeSettings
    | CutLinks
    | DegradeLinks
    | ResetLinks
    | ReplaceUpstream
    | ReplaceController
)


_EVENT_DECODER: msgspec.json.Decoder[Event] = msgspec.json.Decoder(Event)


class Plan(Struct, frozen=True):
    """One soak. ``services``: the service of each proxy's upstream; ``relays``: whether links between
    processes go through relays, which link faults need; ``routes``: the routes before the first event."""

    seed: int
    seconds: float
    controllers: int
    services: tuple[str, ...]
    relays: bool
    routes: tuple[RouteItem, ...]
    events: tuple[Event, ...]
    clients: int = 4  # per proxy

    def without(self, dropped: frozenset[int]) -> Plan:
        """Returns the plan without the events at these indices."""
        kept = tuple(one for index, one in enumerate(self.events) if index not in dropped)
        return msgspec.structs.replace(self, events=kept)

    def encode(self) -> str:
        """Encodes the plan as JSON lines: a header, then one event per line."""
        head = msgspec.structs.replace(self, events=())
        rows = [msgspec.json.encode(head), *map(msgspec.json.encode, self.events)]
        return "\n".join(row.decode() for row in rows)


def decode_plan(text: str) -> Plan:
    """Decodes the text of `Plan.encode`. Raises msgspec.DecodeError."""
    head, *rows = text.strip().splitlines()
    plan: Plan = msgspec.json.decode(head, type=Plan)
    events: tuple[Event, ...] = tuple(_EVENT_DECODER.decode(row) for row in rows)
    return msgspec.structs.replace(plan, events=events)
