"""Decodes and runs the calls of operators: reads of the configuration, and changes, which are voted on."""

from __future__ import annotations

import asyncio
from collections.abc import Collection

import msgspec
from msgspec import Struct

from anisestair.http import codec as http
from mesh.configuration.commands import ConfigurationWrite, Invalid, decode_change, item_label
from mesh.configuration.read_back import render
from mesh.configuration.validation import check_change
from mesh.control_plane.confirmations import Confirmations
from mesh.control_plane.contact_probes import ContactProbes
from mesh.control_plane.proposals import ProposerHost
from mesh.control_plane.rollouts import Rollouts
from mesh.event_log import events
from mesh.event_log.log import EventLog
from mesh.replication.acceptor import Acceptor, Slot, Vote
from mesh.replication.membership_epochs import VIEW
from mesh.replication.proposer import Conflict, Decided
from mesh.replication.quorum_contact import ContactLevel
from mesh.replication.store import Store
from mesh.transport.http_calls import Answer

RESPONSE_TIMEOUT_S = 0.85  # below 1 s: a caller without an answer tries another process by then
RESPONSE_TIMEOUT_PER_BYTE_S = 2e-6  # added for each byte of the request body
READ_TIMEOUT_S = 0.4
RETRY_AFTER_S = 0.2
PATH = b"/configuration"


class ReadConfiguration(Struct, frozen=True):
    """A read of the whole, newest configuration."""


class UnknownEndpoint(Struct, frozen=True):
    """A call with a path or method that is not served here."""

    status: int


Command = ConfigurationWrite | ReadConfiguration | Invalid | UnknownEndpoint


def decode_command(message: http.Message) -> Command:
    """Decodes a request; anything that is not valid gives `Invalid` or `UnknownEndpoint`."""
    if message.target.partition(b"?")[0] != PATH:
        return UnknownEndpoint(404)
    if message.method == b"GET":
        return ReadConfiguration()
    if message.method == b"PATCH":
        return decode_change(message.body)
    return UnknownEndpoint(405)


def error_body(message: str) -> bytes:
    """The body of an answer that reports an error."""
    return msgspec.json.encode({"error": message})


def unresolved_answer(reason: str) -> Answer:
    """Answers that the change may be in force now or later; the caller is to send it again."""
    return Answer(503, error_body(reason), retry_after_s=RETRY_AFTER_S)


class OperatorApi:
    """The HTTP endpoint for the configuration: GET and PATCH of /configuration."""

    def __init__(
        self,
        config_store: Store,
        proposer_host: ProposerHost,
        acceptor: Acceptor,
        event_log: EventLog,
        rollouts: Rollouts,
        contact_probes: ContactProbes,
        confirmations: Confirmations,
    ) -> None:
        self._confirmations = confirmations
        self._config_store, self._proposer_host, self._contact_probes = (
            config_store,
            proposer_host,
            contact_probes,
        )
        self._acceptor, self._event_log, self._rollouts = acceptor, event_log, rollouts
        self._loop = asyncio.get_running_loop()

    async def handle(self, message: http.Message) -> Answer:
        """Answers one request; without contact to a quorum it redirects the caller or answers 503."""
        command = decode_command(message)
        if isinstance(command, UnknownEndpoint):
            return Answer(
                command.status, error_body("path: this address serves GET and PATCH of /configuration")
            )
        required = ContactLevel.READS if isinstance(command, ReadConfiguration) else ContactLevel.WRITES
        if self._contact_probes.level() < required:
            return self._answer_without_contact()
        if isinstance(command, Invalid):
            return self._answer_refused(command)
        if isinstance(command, ReadConfiguration):
            return await self._read()
        return await self._change(
            command, RESPONSE_TIMEOUT_S + RESPONSE_TIMEOUT_PER_BYTE_S * len(message.body)
        )

    def _answer_without_contact(self) -> Answer:
        """A process without contact knows neither what is in force nor what other processes refuse, so it
        must answer neither 200 nor 4xx. It answers at once."""
        address = self._contact_probes.redirect_address()
        if address:
            return Answer(307, location=f"http://{address}{PATH.decode()}")
        return unresolved_answer("this control process has no contact with a quorum; another one may have it")

    async def _read(self) -> Answer:
        if not await self._proposer_host.read(READ_TIMEOUT_S):
            return unresolved_answer("too few control processes answer to determine the newest configuration")
        return Answer(200, self._rendered())

    def _rendered(self) -> bytes:
        return render(
            (item.kind, item.name, item.version, dict(item.value))
            for item in self._config_store.items.values()
            if item.value is not None and item.kind != VIEW
        )

    async def _change(self, change: ConfigurationWrite, within_s: float) -> Answer:
        until = self._loop.time() + within_s
        writes = {(w.kind, w.name, w.version): w.value for w in change.writes}
        invalid = check_change(change, self._current)
        if invalid is not None:
            # This copy may be out of date, so a valid change must not be refused because of it: read first.
            if not await self._proposer_host.read(READ_TIMEOUT_S):
                return self._answer_unresolved("too few control processes answer")
            invalid = check_change(change, self._current)
            if invalid is not None and any(isinstance(self._acceptor.state(slot), Vote) for slot in writes):
                return self._answer_unresolved("a part of the change is still being decided")
        if invalid is not None:
            return self._answer_refused(invalid)
        if not writes:
            return Answer(200, b"{}")
        staged = self._rollouts.staged_writes(change.writes, self._current)
        outcome = await self._proposer_host.decide(writes, until - self._loop.time())
        if isinstance(outcome, Decided):
            self._event_log.emit(events.CHANGE_DECIDED, items=len(writes))
            if staged:
                await self._rollouts.wait_for_canaries(staged, until - self._loop.time())
            return await self._acknowledge(writes, until - self._loop.time())
        if isinstance(outcome, Conflict):
            kind, name, version = outcome.slot
            message = f"{item_label(kind, name)}: another change has r{version}; send a higher version"
            self._event_log.emit(events.CHANGE_CONFLICT, kind=kind, name=name, version=version)
            return Answer(409, error_body(message))
        return self._answer_unresolved(outcome.reason)

    async def _acknowledge(self, slots: Collection[Slot], within_s: float) -> Answer:
        """Acknowledges a decided write once it is in force at all proxies that are waited for."""
        items = [self._config_store.items.get((kind, name)) for kind, name, _ in slots]
        if await self._confirmations.wait_confirmed([item for item in items if item is not None], within_s):
            return Answer(200, b"{}")
        return self._answer_unresolved("the change is decided, but not yet in force at all sidecars")

    def _answer_unresolved(self, reason: str) -> Answer:
        self._event_log.emit(events.CHANGE_NOT_ACKNOWLEDGED, reason=reason)
        return unresolved_answer(reason)

    def _answer_refused(self, invalid: Invalid) -> Answer:
        self._event_log.emit(events.CHANGE_REFUSED, reason=invalid.line())
        return Answer(400, error_body(invalid.line()))

    def _current(self, kind: str, name: str) -> tuple[int, dict[str, object] | None] | None:
        item = self._config_store.items.get((kind, name))
        if item is None:
            return None
        return item.version, dict(item.value) if item.value is not None else None
