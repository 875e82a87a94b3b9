"""A control process's part in keys: it answers proxies which map holds, and one of all proposes the next.

Each control process keeps what is needed to go on at once where another stops: since when a row is known to
leave, the proxies' words, and the load. Who proposes is the first live one in an order that all work out
alike; two that both find themselves first propose for one version, and one of the two is voted for.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Any

from mesh.configuration.commands import PLANT
from mesh.control_plane.member_set import MemberSet
from mesh.control_plane.proposals import ProposerHost
from mesh.data_plane.membership import CONTROLLER, Membership
from mesh.dissemination.peers import Channel
from mesh.event_log import events
from mesh.event_log.log import EventLog
from mesh.membership.instance_commands import SETTLED
from mesh.membership.lease import first_live
from mesh.ownership.assignment import Candidate, Release, empty_map, next_map
from mesh.ownership.key_load import KeyLoad
from mesh.ownership.key_map import BUCKET, OWNERSHIP, KeyMap, Row, read_map, write_map
from mesh.ownership.key_report import KeyReport, read_report
from mesh.ownership.lease_terms import lease_terms_for
from mesh.replication.items import Item
from mesh.replication.proposer import Decided
from mesh.replication.store import Store
from mesh.transport.frames import Head

PROPOSER_DUTY = "keys"  # in whose order the proposer is found
CHECK_INTERVAL_S = 0.1  # between two looks at what is to change
FIRST_MAP_DELAY_S = 1.5  # after the first upstream is known: the others have come by then
REBALANCE_INTERVAL_S = 0.6  # between two versions for the load's sake
ROLL_RECOVERY_S = 3.0  # after a start the roll comes within this; who is not in it then is gone
REPORT_TIMEOUT_S = 4.5  # a proxy without a report for so long cannot renew its upstream's holds much longer
MIN_REPORTING_SHARE = (
    0.6  # of a service's proxies; where fewer are heard, it is this process that does not hear
)
FREEZE_S = 1.0  # between two looks: this process stood still, and what came meanwhile is still unread
DECIDE_TIMEOUT_S = 1.0  # a proposal is waited for so long
READ_TIMEOUT_S = 0.6
QUESTION_BATCH_S = 0.02  # questions that come within it are answered by one read
MAX_QUESTIONS = 4096

RowKey = tuple[str, str, int, int, int]  # service, holder, first and last key, fence


class KeyAssignment:
    """Of one control process."""

    def __init__(
        self,
        node: str,
        hold_max_ms: float,
        charter: Store,
        membership: Membership,
        member_set: MemberSet,
        proposer_host: ProposerHost,
        acts: Callable[[], bool],
        live: Callable[[float, float], set[str]],
        event_log: EventLog,
    ) -> None:
        """``acts``: contact with enough members to decide; ``live``: control processes that can act, by the
        time and how long they must have been awake."""
        self._loop = asyncio.get_running_loop()
        self._node, self._terms = node, lease_terms_for(hold_max_ms)
        self._charter, self._membership, self._member_set = charter, membership, member_set
        self._proposer_host, self._may_act, self._live_controllers, self._event_log = (
            proposer_host,
            acts,
            live,
            event_log,
        )
        self._sharded: dict[str, float] = {}  # services, by when their first upstream was seen; 0: none yet
        self._maps: dict[str, KeyMap] = {}
        self._leaving: dict[RowKey, float] = {}  # since when a row is known to leave
        self._reports: dict[str, KeyReport] = {}  # by node
        self._reported_at: dict[str, float] = {}  # when each last came
        self._loads: dict[str, KeyLoad] = {}
        self._balanced_at: dict[str, float] = {}
        self._proposing: set[str] = set()
        self._questions: list[tuple[Channel, int]] = []
        self._answer_task: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._next_check_at = self._last_tick_at = self._awake_since = self._loop.time()

    # What comes in

    def items_changed(self, items: Iterable[Item]) -> None:
        """Items of the configuration have come."""
        for item in items:
            if item.kind == PLANT:
                if item.value is not None and item.value.get("sharded") is True:
                    self._sharded.setdefault(item.name, 0.0)
                else:
                    self._sharded.pop(item.name, None)
            elif item.kind == OWNERSHIP:
                self._apply_map(item)

    def load_restored(self) -> None:
        """What the disk held is in the store."""
        self.items_changed(list(self._charter.items.values()))

    def _apply_map(self, item: Item) -> None:
        if item.value is None:
            return
        try:
            key_map = read_map(item.version, item.value)
        except (KeyError, TypeError, ValueError) as fault:
            self._event_log.tell(events.FAULT, where=f"keys of {item.name}", what=str(fault))
            return
        now = self._loop.time()
        self._maps[item.name] = key_map
        known = self._leaving
        leaving = {_key(item.name, row): row for row in key_map.rows if row.leaving}
        self._leaving = {key: at for key, at in known.items() if key[0] != item.name}
        self._leaving.update({key: known.get(key, now) for key in leaving})

    def reports_changed(self, items: Iterable[Item]) -> None:
        """Proxies' reports have come, or (without a value) those of proxies that are gone."""
        now = self._loop.time()
        for item in items:
            try:
                report = read_report(item.value) if item.value is not None else None
            except (KeyError, TypeError, ValueError):
                report = None  # of a newer program
            if report is None:
                self._reports.pop(item.name, None)
                self._reported_at.pop(item.name, None)
                continue
            self._reports[item.name], self._reported_at[item.name] = report, now
            for service, counts in report.counts.items():
                if service in self._sharded:
                    self._loads.setdefault(service, KeyLoad()).add(now, counts.items())

    # Which map holds

    def handle_frame(self, channel: Channel, head: Head) -> bool:
        """Whether it was a proxy's question. Raises KeyError, TypeError or ValueError."""
        if head["t"] != "keys":
            return False
        if len(self._questions) < MAX_QUESTIONS:
            self._questions.append((channel, int(head["n"])))
        if self._answer_task is None:
            self._answer_task = self._loop.create_task(self._answer_questions())
        return True

    async def _answer_questions(self) -> None:
        """By a read that begins after the questions came; what comes meanwhile waits for the next."""
        try:
            while self._questions:
                await asyncio.sleep(QUESTION_BATCH_S)
                asked, self._questions = self._questions, []
                if not await self._proposer_host.reads.wait_until_current(
                    OWNERSHIP, self._loop.time() + READ_TIMEOUT_S
                ):
                    continue  # who asked asks again, elsewhere
                versions = {service: key_map.version for service, key_map in self._maps.items()}
                for channel, number in asked:
                    if channel.link.up:
                        channel.link.send({"t": "keys_at", "n": number, "v": versions})
        finally:
            self._answer_task = None

    # The next map

    def tick(self, now: float) -> None:
        """Called several times a second."""
        if now - self._last_tick_at > FREEZE_S:
            self._awake_since = now
        self._last_tick_at = now
        if not self._sharded or now < self._next_check_at:
            return
        self._next_check_at = now + CHECK_INTERVAL_S
        if not self._may_act() or not self._is_proposer(now):
            return
        for service in sorted(self._sharded):
            if service not in self._proposing:
                self._update_map(now, service)

    def _is_proposer(self, now: float) -> bool:
        names = {name for name, told in self._membership.nodes.items() if told.get("role") == CONTROLLER}
        return first_live(PROPOSER_DUTY, names | {self._node}, self._live_controllers(now, 0.0)) == self._node

    def _update_map(self, now: float, service: str) -> None:
        candidates = self._candidates(now, service)
        key_map = self._maps.get(service)
        if key_map is None:
            if not candidates:
                return
            seen = self._sharded[service] = self._sharded[service] or now
            if now - seen < FIRST_MAP_DELAY_S:
                return
            key_map = empty_map()
        load = self._loads.setdefault(service, KeyLoad())
        balanced = (
            load.has_enough_requests() and now - self._balanced_at.get(service, -1e9) >= REBALANCE_INTERVAL_S
        )
        found = next_map(
            key_map,
            candidates,
            load.cumulative_shares(),
            self._words(),
            lambda row: self._waited(now, service, row),
            balanced,
        )
        if balanced:
            self._balanced_at[service] = now
        if found is not None:
            nodes = key_map.nodes | {
                name: str(told.get("node", ""))
                for name, told in self._membership.of(service)
                if told is not None
            }
            self._propose(service, key_map.version + 1, write_map(*found, nodes))

    def _candidates(self, now: float, service: str) -> Mapping[str, Candidate]:
        silent = {report.silent_upstream for report in self._reports.values() if report.silent_upstream}
        known = {instance: told for instance, told in self._membership.of(service) if told is not None}
        heard = {name for name, told in known.items() if self._is_reporting(now, str(told.get("node", "")))}
        hears = len(heard) >= MIN_REPORTING_SHARE * len(known)
        followed = {str(told.get("node", "")) for told in known.values()}
        return self._unknown_holders(now, service, known.keys(), followed) | {
            name: Candidate(
                capacity=max(float(told.get("capacity", 1)), 1.0),
                eligible=told.get("state") == SETTLED and name not in silent and (name in heard or not hears),
            )
            for name, told in known.items()
        }

    def _unknown_holders(
        self, now: float, service: str, known: Collection[str], followed: Collection[str]
    ) -> dict[str, Candidate]:
        """Holders that are not in the roll and keep their keys: after a start it comes bit by bit. Not those
        at whose machine (``followed``) another one is known by now."""
        key_map = self._maps.get(service)
        if key_map is None or now - self._awake_since >= ROLL_RECOVERY_S:
            return {}
        holders = {row.holder for row in key_map.rows if row.holder and row.holder not in known}
        kept = [name for name in holders if key_map.nodes.get(name) not in followed]
        return {name: Candidate(1.0, eligible=True) for name in kept}

    def _is_reporting(self, now: float, node: str) -> bool:
        """Whether that proxy has reported lately, or could not have been heard."""
        return now - max(self._reported_at.get(node, 0.0), self._awake_since) < REPORT_TIMEOUT_S

    def _words(self) -> list[Release]:
        return [word for report in self._reports.values() for word in report.releases]

    def _waited(self, now: float, service: str, row: Row) -> bool:
        since = self._leaving.get(_key(service, row))
        return since is not None and now - since > self._terms.wait_s

    def _propose(self, service: str, version: int, value: dict[str, Any]) -> None:
        self._proposing.add(service)
        task = self._loop.create_task(self._decide(service, version, value))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _decide(self, service: str, version: int, value: dict[str, Any]) -> None:
        try:
            outcome = await self._proposer_host.decide(
                {(OWNERSHIP, service, version): value}, DECIDE_TIMEOUT_S
            )
            if isinstance(outcome, Decided):
                self._event_log.tell(
                    events.KEYS_ASSIGNED, service=service, version=version, rows=len(value["rows"])
                )
        finally:
            self._proposing.discard(service)

    def status(self) -> dict[str, Any]:
        """For operators: of each divided service its map, as this process has it. A row is first and last
        key, holder, fence, next holder, for how many seconds it is known to leave (null where it does not),
        and its share of the traffic. ``proposer``: whether this process proposes the next map."""
        now = self._loop.time()
        services = {}
        for service, key_map in sorted(self._maps.items()):
            sums = self._loads.setdefault(service, KeyLoad()).cumulative_shares()
            rows = []
            for row in key_map.rows:
                since = self._leaving.get(_key(service, row))
                for_s = round(now - since, 1) if since is not None else None
                share = sums[(row.last + 1) // BUCKET] - sums[row.first // BUCKET]
                rows.append(
                    [row.first, row.last, row.holder, row.fence, row.next_holder, for_s, round(share, 4)]
                )
            services[service] = {"version": key_map.version, "rows": rows}
        return {"proposer": self._may_act() and self._is_proposer(now), "services": services}


def _key(service: str, row: Row) -> RowKey:
    return service, row.holder, row.first, row.last, row.fence
