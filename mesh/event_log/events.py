"""The numbered events of the mesh's log. docs/operate/log_events.md explains each and how to respond to it.

Numbers are never reused. The hundreds digit gives the subject: 1 start and settings, 2
membership, 3 configuration, 4 disk, 5 calls, 6 duties, 7 repair.
"""

from enum import IntEnum

from msgspec import Struct


class Level(IntEnum):
    """The severity of an event; a log line shows its initial."""

    DEBUG = 1
    INFO = 2
    WARNING = 3
    ERROR = 4


class Event(Struct, frozen=True):
    """A kind of event: its number, level and text, and the names of the values that are logged with it."""

    number: int
    level: Level
    text: str
    fields: tuple[str, ...] = ()
    limited: bool = True
    """Whether the log's rate limit applies; False for events that are written only with --debug."""

    @property
    def code(self) -> str:
        """The level's initial and the number, as in a log line: W202."""
        return f"{self.level.name[0]}{self.number}"


CATALOGUE: dict[int, Event] = {}
"""All events, by number."""

RETIRED = frozenset({207, 208, 209, 304, 306, 307, 501})
"""Numbers of events that no longer exist; they are not reused."""


def _define_event(number: int, level: Level, text: str, *fields: str, limited: bool = True) -> Event:
    event = Event(number, level, text, fields, limited)
    if number in RETIRED or CATALOGUE.setdefault(number, event) is not event:
        raise ValueError(f"event number {number} is already used or retired; choose a free one")
    return event


STARTED = _define_event(101, Level.INFO, "started", "role")
SETTINGS_UNKNOWN = _define_event(102, Level.INFO, "unknown settings ignored", "names")
STOPPING = _define_event(103, Level.INFO, "asked to end", "open_calls")
ENDED = _define_event(104, Level.INFO, "ended")
SETTINGS_APPLIED = _define_event(106, Level.INFO, "changed settings applied")
SETTINGS_REFUSED = _define_event(107, Level.WARNING, "changed settings refused", "findings")
INTERNAL_ERROR = _define_event(105, Level.ERROR, "internal error", "where", "what")

LINK_UP = _define_event(201, Level.INFO, "link up", "peer")
PEER_REACHABLE = _define_event(210, Level.INFO, "peer reachable again", "peer")
PEER_UNREACHABLE = _define_event(211, Level.WARNING, "peer unreachable", "peer")
LINK_LOST = _define_event(202, Level.WARNING, "link lost", "peer", "why")
INSTANCE_NEW = _define_event(203, Level.INFO, "instance new", "service", "instance", "address")
INSTANCE_SETTLED = _define_event(204, Level.INFO, "instance settled", "service", "instance")
INSTANCE_DECAYING = _define_event(205, Level.INFO, "instance decaying", "service", "instance")
INSTANCE_GONE = _define_event(206, Level.INFO, "instance gone", "service", "instance", "why")
NODE_DROPPED = _define_event(212, Level.INFO, "node given up", "peer", "silent_s", "instances")
ZONE_KEPT = _define_event(213, Level.WARNING, "most of a zone is silent, its nodes are kept", "zone")
DEPARTURE_PUBLISHED = _define_event(
    214, Level.INFO, "departure published", "instance", "state", "version", "heard"
)
DEPARTURE_CONFIRMED = _define_event(
    215, Level.INFO, "departure held by control processes", "instance", "holders", "waited_ms"
)
DEPARTURE_NOT_CONFIRMED = _define_event(
    *(216, Level.WARNING, "departure not held by enough control processes"),
    *("instance", "holders", "linked", "waited_ms"),
)
CONTACT_LOST = _define_event(220, Level.WARNING, "contact with most members lost", "heard", "of")
CONTACT_ESTABLISHED = _define_event(221, Level.INFO, "contact with most members proven", "without_ms")
CONTROL_LOST = _define_event(
    222, Level.WARNING, "no control process with contact in reach", "links", "behind_ms"
)
CONTROL_REGAINED = _define_event(223, Level.INFO, "control process with contact in reach again", "without_ms")
MEMBERS_CHANGED = _define_event(224, Level.INFO, "member set decided", "epoch", "count", "before")
MEMBER_REMOVAL_BLOCKED = _define_event(225, Level.WARNING, "removal of a member blocked", "member", "why")
TOLERANCE_REDUCED = _define_event(
    226, Level.WARNING, "fewer losses tolerable than configured", "machines", "zones", "regions"
)
TOLERANCE_RESTORED = _define_event(
    227, Level.INFO, "losses tolerable as configured", "machines", "zones", "regions"
)
FIRST_START_REPEATED = _define_event(228, Level.WARNING, "first start repeated", "founders")

CHANGE_DECIDED = _define_event(301, Level.INFO, "change decided", "items")
CHANGE_REFUSED = _define_event(302, Level.WARNING, "change refused", "reason")
CHANGE_NOT_ACKNOWLEDGED = _define_event(303, Level.WARNING, "change not acknowledged in time", "reason")
CONFIGURATION_IN_FORCE = _define_event(305, Level.INFO, "configuration in force", "items", "version")
STATE_FULL = _define_event(308, Level.ERROR, "control state full", "reason")
ROUTE_DEGRADED = _define_event(
    309, Level.ERROR, "route degraded by its new version", "route", "version", "failed", "before"
)
ROUTE_WITHOUT_UPSTREAM = _define_event(
    310, Level.WARNING, "route has no live upstream", "route", "version", "service"
)
ROLLOUT_ORDERED = _define_event(311, Level.INFO, "rollout ordered", "order", "route", "version")
CHANGE_NOT_CONFIRMED = _define_event(
    312, Level.WARNING, "change not confirmed by all", "items", "sidecars", "names"
)
CHANGE_CONFLICT = _define_event(
    313, Level.WARNING, "change refused, another one has its version", "kind", "name", "version"
)
CHANGE_ACKNOWLEDGED_EARLY = _define_event(
    316,
    Level.WARNING,
    "acknowledged before all confirmed it",
    "items",
    "sidecars",
    "waited_ms",
)
KEYS_ASSIGNED = _define_event(315, Level.INFO, "keys assigned", "service", "version", "rows")
VOTES_COMPLETED = _define_event(314, Level.INFO, "open votes completed", "items")

DISK_OPENED = _define_event(401, Level.INFO, "store opened", "items", "whole")
DISK_EMPTY = _define_event(402, Level.WARNING, "store begun on an empty disk", "first")
DISK_SET_ASIDE = _define_event(403, Level.ERROR, "damaged store set aside", "moved_to", "reason")
DISK_SLOW = _define_event(404, Level.WARNING, "disk slow", "took_ms", "rows")
DISK_WRITE_REFUSED = _define_event(405, Level.ERROR, "disk refused a write", "reason")
DISK_COMPLETE = _define_event(406, Level.INFO, "store complete again", "items")
DISK_OPEN_FAILED = _define_event(407, Level.ERROR, "store cannot be opened", "reason")
DISK_OUTDATED = _define_event(
    409, Level.WARNING, "outdated store discarded, state fetched again", "reason", "items"
)
DISK_COMPACTED = _define_event(410, Level.INFO, "store compacted", "before", "used")
STATE_RESTORED = _define_event(412, Level.WARNING, "state restored by an operator", "epoch", "items", "lost")
TOMBSTONES_COLLECTED = _define_event(411, Level.INFO, "tombstones collected that all members hold", "items")
DISK_MIGRATED = _define_event(408, Level.INFO, "store layout migrated", "note")

RETRY_BUDGET_SPENT = _define_event(502, Level.WARNING, "retry budget spent", "service", "refused")
CALLS_INTERRUPTED = _define_event(
    503, Level.WARNING, "link lost with calls in flight", "peer", "calls", "asked", "why"
)
ANSWER_MISMATCHED = _define_event(504, Level.ERROR, "mismatched answer dropped", "wanted", "got")
CALL_OUTCOME_UNKNOWN = _define_event(
    505, Level.WARNING, "outcome of an effectful call unknown", "attempt", "why"
)
CALLS_ABANDONED = _define_event(506, Level.WARNING, "calls abandoned at shutdown", "requests", "calls")
CALL_AT_FIRST_HOP = _define_event(
    *(510, Level.DEBUG, "call over at its first hop", "attempt", "route", "service", "aim_ms", "took_ms"),
    *("end", "tries"),
    limited=False,
)
CALL_AT_SECOND_HOP = _define_event(
    *(511, Level.DEBUG, "call over at its second hop", "attempt", "instance", "caller", "waited_ms"),
    *("ran_ms", "end"),
    limited=False,
)
BYTES_SENT = _define_event(
    512, Level.DEBUG, "bytes sent to other zones", "calls", "answers", "updates", limited=False
)
ANSWER_DELAYED = _define_event(
    513, Level.DEBUG, "answer waited for those before it", "attempt", "waited_ms", limited=False
)

LEASE_ACQUIRED = _define_event(601, Level.INFO, "duty taken", "duty", "epoch")
LEASE_RELEASED = _define_event(602, Level.INFO, "duty left", "duty", "epoch", "why")
STALE_EPOCH_REFUSED = _define_event(
    603, Level.WARNING, "order of an old epoch refused", "duty", "epoch", "newest"
)

REPAIR_STARTED = _define_event(701, Level.INFO, "repair started", "peer", "buckets")
REPAIR_DONE = _define_event(702, Level.INFO, "repair done", "peer", "items")
REPAIR_INCOMPLETE = _define_event(703, Level.WARNING, "digests differ after repair", "peer", "buckets")
COPIES_DIFFERED = _define_event(
    704, Level.WARNING, "copies of one version differed", "peer", "kind", "name", "version"
)
DISK_REPAIRED = _define_event(705, Level.WARNING, "damaged store written anew", "items", "findings", "first")
