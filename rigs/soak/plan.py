"""What happens in a soak, and when: a list of typed events that is drawn from a seed and can be replayed.

Instants are seconds from the moment at which every process serves. Nodes are named ``controller-N`` and
``proxy-N``. Source of the vocabulary: the operators' protocol and rules.
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
    """The version of a route with which it is dropped."""

    name: str
    version: int


Item = RouteItem | DropItem


class Invalid(Enum):
    """What is wrong with a write that the control plane has to refuse."""

    UNKNOWN_SERVICE = "a route names an unknown service"
    NO_TIMEOUT = "a route's horizon_ms is 0"
    NO_TRIALS = "a route has 0 trials"
    EMPTY_HOST = "a host is empty"
    CUT_SHORT = "the body ends early"


class Write(Struct, frozen=True, tag="write"):
    """A configuration write. ``to``: the controller that is called first; ``rival``: other content for the
    same versions, sent at once to another one; ``again``: it is sent once more after its acknowledgement."""

    at: float
    to: int
    items: tuple[Item, ...]
    rival: tuple[Item, ...] = ()
    again: bool = False
    invalid: Invalid | None = None


class AddMany(Struct, frozen=True, tag="add_many"):
    """A write of ``count`` new routes to one service; their versions rise by one from ``version``."""

    at: float
    to: int
    count: int
    version: int
    service: str

    def write(self) -> Write:
        """As it is sent."""
        share = (Share(self.service),)
        numbers = range(self.version, self.version + self.count)
        items = tuple(RouteItem(f"many-{n}", n, f"/many-{n}/", share) for n in numbers)
        return Write(self.at, self.to, items)


class Kill(Struct, frozen=True, tag="kill"):
    """SIGKILL to all of these at one moment; each starts again ``down_s`` later, one whose disk is wiped
    with an empty one."""

    at: float
    nodes: tuple[str, ...]
    down_s: float
    wipe: tuple[str, ...] = ()


class KillTaker(Struct, frozen=True, tag="kill_taker"):
    """SIGKILL to the controller that gives the next acknowledgement, as it is given."""

    at: float
    down_s: float
    wipe: bool = False


class Terminate(Struct, frozen=True, tag="terminate"):
    """SIGTERM to each, ``gap_s`` apart; a second one ``again_s`` later where that is not 0, and a SIGHUP
    ``hangup_s`` later."""

    at: float
    nodes: tuple[str, ...]
    gap_s: float
    down_s: float
    again_s: float = 0.0
    hangup_s: float = 0.0


class Freeze(Struct, frozen=True, tag="freeze"):
    """SIGSTOP to each, SIGCONT ``for_s`` later."""

    at: float
    nodes: tuple[str, ...]
    for_s: float


class Setting(Enum):
    """What changes in a settings file."""

    SEED_ORDER = "the seeds in another order"
    RETRY_RATIO = "another retry ratio"
    SETTLE = "another settle_ms"
    CONTACT = "another contact_ms"
    UNREADABLE = "no TOML for a moment"


class Retune(Struct, frozen=True, tag="retune"):
    """The settings file of each changes, with a SIGHUP or silently, ``count`` times in a row."""

    at: float
    nodes: tuple[str, ...]
    setting: Setting
    signalled: bool
    count: int = 1


class CutLinks(Struct, frozen=True, tag="cut"):
    """Nothing passes from ``sources`` to ``targets``, and back where ``both``."""

    at: float
    for_s: float
    sources: tuple[str, ...]
    targets: tuple[str, ...]
    both: bool


class DegradeLinks(Struct, frozen=True, tag="degrade"):
    """All links of these are late, or narrow (``bytes_s``, 0: not), or reset now and then."""

    at: float
    for_s: float
    nodes: tuple[str, ...]
    delay_ms: float = 0.0
    bytes_s: float = 0.0
    reset: float = 0.0


class ResetLinks(Struct, frozen=True, tag="reset"):
    """All connections of these to other processes are reset at one moment."""

    at: float
    nodes: tuple[str, ...]


class EndUpstream(Struct, frozen=True, tag="upstream"):
    """The upstream beside a proxy ends, ``planned`` with its word first; another life of ``service`` comes
    ``down_s`` later at its address. ``late_s``: a beat of the former life is read so long after the first of
    the next one; 0: none is."""

    at: float
    node: str
    planned: bool
    down_s: float
    service: str
    late_s: float = 0.0


class ReplaceController(Struct, frozen=True, tag="replace"):
    """A controller's machine is gone for good; a new one starts at another address ``down_s`` later."""

    at: float
    node: str
    down_s: float


Event = (
    Write
    | AddMany
    | Kill
    | KillTaker
    | Terminate
    | Freeze
    | Retune
    | CutLinks
    | DegradeLinks
    | ResetLinks
    | EndUpstream
    | ReplaceController
)


_EVENTS: msgspec.json.Decoder[Event] = msgspec.json.Decoder(Event)


class Plan(Struct, frozen=True):
    """One soak. ``services``: of the upstreams, by proxy; ``relays``: links between processes go through
    relays, which the link faults need; ``routes``: that stand before the first event."""

    seed: int
    seconds: float
    controllers: int
    services: tuple[str, ...]
    relays: bool
    routes: tuple[RouteItem, ...]
    events: tuple[Event, ...]
    clients: int = 4  # at each proxy

    def without(self, dropped: frozenset[int]) -> Plan:
        """The plan less the events of these indices."""
        kept = tuple(one for index, one in enumerate(self.events) if index not in dropped)
        return msgspec.structs.replace(self, events=kept)

    def lines(self) -> str:
        """As text, an event a line."""
        head = msgspec.structs.replace(self, events=())
        rows = [msgspec.json.encode(head), *map(msgspec.json.encode, self.events)]
        return "\n".join(row.decode() for row in rows)


def read(text: str) -> Plan:
    """A plan as `Plan.lines` wrote it. Raises msgspec.DecodeError."""
    head, *rows = text.strip().splitlines()
    plan: Plan = msgspec.json.decode(head, type=Plan)
    events: tuple[Event, ...] = tuple(_EVENTS.decode(row) for row in rows)
    return msgspec.structs.replace(plan, events=events)
