"""Assignment of keys to instances: control processes tell proxies which key map is in force, and one of them
proposes the next map.

Each control process keeps what is needed to take over at once: since when a row is known to be leaving, the
reports of proxies, and the load. The proposer is the first live one in a rendezvous order that is the same
everywhere; if two processes consider themselves first, they propose the same version, and one proposal is
decided.
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

PROPOSER_RANKING = "keys"  # the name by which the proposer is chosen
CHECK_INTERVAL_S = 0.1  # between two checks for changes
FIRST_MAP_DELAY_S = 1.5  # after the first upstream is known: the others are known by then
REBALANCE_INTERVAL_S = 0.6  # between two versions that balance the load
MEMBERSHIP_RECOVERY_S = 3.0  # after a start the membership store is complete; nodes missing from it are gone
REPORT_TIMEOUT_S = 4.5  # a proxy without a report for longer soon cannot renew the holds of its upstream
MIN_REPORTING_SHARE = 0.6  # of a service's proxies; below it this process is considered cut off
FREEZE_S = 1.0  # between two ticks: this process was frozen, and messages are still unread
DECIDE_TIMEOUT_S = 1.0  # for one proposal
READ_TIMEOUT_S = 0.6
QUESTION_BATCH_S = 0.02  # questions that arrive within it share one read
MAX_QUESTIONS = 4096

RowKey = tuple[str, str, int, int, int]  # service, holder, first and last key, fence


class KeyAssignment:
    """The part of one control process in the assignment of keys."""

    def __init__(
        self,
        node: str,
        hold_max_ms: float,
        config_store: Store,
        membership: Membership,
        member_set: MemberSet,
        proposer_host: ProposerHost,
        may_act: Callable[[], bool],
        live_controllers: Callable[[float, float], set[str]],
        event_log: EventLog,
    ) -> None:
        """``may_act``: contact with enough members to decide; ``live_controllers``: the control processes
        that can act, by the time and for how long they must have been awake."""
        self._loop = asyncio.get_running_loop()
        self._node, self._terms = node, lease_terms_for(hold_max_ms)
        self._config_store, self._membership, self._member_set = config_store, membership, member_set
        self._proposer_host, self._may_act, self._live_controllers, self._event_log = (
            proposer_host,
            may_act,
            live_controllers,
            event_log,
        )
        self._sharded: dict[
            str, float
        ] = {}  # sharded services: when their first upstream was seen; 0: none yet
        self._maps: dict[str, KeyMap] = {}
        self._leaving: dict[RowKey, float] = {}  # since when a row is known to be leaving
        self._reports: dict[str, KeyReport] = {}  # by node
        self._reported_at: dict[str, float] = {}  # when the last report of each node arrived
        self._loads: dict[str, KeyLoad] = {}
        self._balanced_at: dict[str, float] = {}
        self._proposing: set[str] = set()
        self._questions: list[tuple[Channel, int]] = []
        self._answer_task: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._next_check_at = self._last_tick_at = self._awake_since = self._loop.time()

    # Updates

    def items_changed(self, items: Iterable[Item]) -> None:
        """Reads services and key maps from configuration items that have changed."""
        for item in items:
            if item.kind == PLANT:
                if item.value is not None and item.value.get("sharded") is True:
                    self._sharded.setdefault(item.name, 0.0)
                else:
                    self._sharded.pop(item.name, None)
            elif item.kind == OWNERSHIP:
                self._apply_map(item)

    def load_restored(self) -> None:
        """Reads what the disk held, once it is in the store."""
        self.items_changed(list(self._config_store.items.values()))

    def _apply_map(self, item: Item) -> None:
        if item.value is None:
            return
        try:
            key_map = read_map(item.version, item.value)
        except (KeyError, TypeError, ValueError) as fault:
            self._event_log.emit(events.INTERNAL_ERROR, where=f"keys of {item.name}", what=str(fault))
            return
        now = self._loop.time()
        self._maps[item.name] = key_map
        known = self._leaving
        leaving = {_key(item.name, row): row for row in key_map.rows if row.leaving}
        self._leaving = {key: at for key, at in known.items() if key[0] != item.name}
        self._leaving.update({key: known.get(key, now) for key in leaving})

    def reports_changed(self, items: Iterable[Item]) -> None:
        """Reads reports of proxies; an item without a value drops the report of a proxy that is gone."""
        now = self._loop.time()
        for item in items:
            try:
                report = read_report(item.value) if item.value is not None else None
            except (KeyError, TypeError, ValueError):
                report = None  # of a later release
            if report is None:
                self._reports.pop(item.name, None)
                self._reported_at.pop(item.name, None)
                continue
            self._reports[item.name], self._reported_at[item.name] = report, now
            for service, counts in report.counts.items():
                if service in self._sharded:
                    self._loads.setdefault(service, KeyLoad()).add(now, counts.items())

    # Questions of proxies

    def handle_frame(self, channel: Channel, head: Head) -> bool:
        """Whether it was a question of a proxy. Raises KeyError, TypeError or ValueError if it is
        malformed."""
        if head["t"] != "keys":
            return False
        if len(self._questions) < MAX_QUESTIONS:
            self._questions.append((channel, int(head["n"])))
        if self._answer_task is None:
            self._answer_task = self._loop.create_task(self._answer_questions())
        return True

    async def _answer_questions(self) -> None:
        """Answers by a read that starts after the questions arrived; later ones wait for the next read."""
        try:
            while self._questions:
                await asyncio.sleep(QUESTION_BATCH_S)
                asked, self._questions = self._questions, []
                if not await self._proposer_host.reads.wait_until_current(
                    OWNERSHIP, self._loop.time() + READ_TIMEOUT_S
                ):
                    continue  # the proxies ask another control process
                versions = {service: key_map.version for service, key_map in self._maps.items()}
                for channel, number in asked:
                    if channel.link.up:
                        channel.link.send({"t": "keys_at", "n": number, "v": versions})
        finally:
            self._answer_task = None

    # The next map

    def tick(self, now: float) -> None:
        """Proposes maps that are due; called several times a second."""
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
        names = {name for name, info in self._membership.nodes.items() if info.get("role") == CONTROLLER}
        return (
            first_live(PROPOSER_RANKING, names | {self._node}, self._live_controllers(now, 0.0)) == self._node
        )

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
            self._releases(),
            lambda row: self._waited(now, service, row),
            balanced,
        )
        if balanced:
            self._balanced_at[service] = now
        if found is not None:
            nodes = key_map.nodes | {
                name: str(info.get("node", ""))
                for name, info in self._membership.instances_of(service)
                if info is not None
            }
            self._propose(service, key_map.version + 1, write_map(*found, nodes))

    def _candidates(self, now: float, service: str) -> Mapping[str, Candidate]:
        silent = {report.silent_upstream for report in self._reports.values() if report.silent_upstream}
        known = {
            instance: info for instance, info in self._membership.instances_of(service) if info is not None
        }
        reporting = {
            name for name, info in known.items() if self._is_reporting(now, str(info.get("node", "")))
        }
        mostly_reporting = len(reporting) >= MIN_REPORTING_SHARE * len(known)
        nodes = {str(info.get("node", "")) for info in known.values()}
        return self._unknown_holders(now, service, known.keys(), nodes) | {
            name: Candidate(
                capacity=max(float(info.get("capacity", 1)), 1.0),
                eligible=info.get("state") == SETTLED
                and name not in silent
                and (name in reporting or not mostly_reporting),
            )
            for name, info in known.items()
        }

    def _unknown_holders(
        self, now: float, service: str, known: Collection[str], nodes: Collection[str]
    ) -> dict[str, Candidate]:
        """Holders missing from the membership store that keep their keys, since it arrives in parts after a
        start; not those on a node (``nodes``) where another instance is known by now."""
        key_map = self._maps.get(service)
        if key_map is None or now - self._awake_since >= MEMBERSHIP_RECOVERY_S:
            return {}
        holders = {row.holder for row in key_map.rows if row.holder and row.holder not in known}
        kept = [name for name in holders if key_map.nodes.get(name) not in nodes]
        return {name: Candidate(1.0, eligible=True) for name in kept}

    def _is_reporting(self, now: float, node: str) -> bool:
        """Whether that proxy has reported recently, or this process started too recently to know."""
        return now - max(self._reported_at.get(node, 0.0), self._awake_since) < REPORT_TIMEOUT_S

    def _releases(self) -> list[Release]:
        return [release for report in self._reports.values() for release in report.releases]

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
                self._event_log.emit(
                    events.KEYS_ASSIGNED, service=service, version=version, rows=len(value["rows"])
                )
        finally:
            self._proposing.discard(service)

    def status(self) -> dict[str, Any]:
        """For operators: the map of each sharded service, as this process has it. A row is first and last
        key, holder, fence, next holder, for how many seconds it is known to be leaving (null if it is not),
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
