"""Upstreams of a soak. They record in the ledgers what they process, and behave as a request's path says."""

from __future__ import annotations

import asyncio

from anisestair.http import codec as http
from rigs.mesh_peers import Upstream
from rigs.soak.configuration_ledger import ConfigurationLedger
from rigs.soak.request_ledger import RequestLedger

PROCESSING_S = {"slow": 0.4, "long": 2.0}
ABORTING = frozenset({"cut", "reset"})
NOT_PROCESSED = frozenset({"full"})
CAPACITY = 16


def behavior_of(message: http.Message) -> str:
    """Returns the part of the path before the last: how the upstream is to behave."""
    return message.target.split(b"/")[-2].decode()


class SoakUpstream(Upstream):
    """One incarnation of an upstream. A request's path ends with ``/BEHAVIOR/ATTEMPT``."""

    def __init__(
        self, instance: str, service: str, requests: RequestLedger, configuration: ConfigurationLedger
    ) -> None:
        """Creates an upstream that is not started."""
        super().__init__(instance, service, self._base_behavior, capacity=CAPACITY, keep_alive="timeout=5")
        self._requests, self._configuration = requests, configuration
        self.heartbeat_acknowledged = False  # at least one
        self._closed = False

    @staticmethod
    def _base_behavior(message: http.Message) -> str:
        behavior = behavior_of(message)
        return "ok" if behavior in PROCESSING_S else behavior

    def on_request(self, message: http.Message) -> None:
        """Keeps no messages, since a soak is long."""

    async def _handle(
        self, message: http.Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        behavior, attempt = behavior_of(message), message.get(b"attempt-id") or ""
        if behavior in NOT_PROCESSED or message.get(b"target-instance") not in (None, self.instance):
            return await super()._handle(message, reader, writer)
        now = asyncio.get_running_loop().time
        run = self._requests.record_run(attempt, self.service, self.instance, now())
        sent = self._requests.sent.get(attempt)
        if sent is not None:
            self._configuration.check_run(sent.request, self.service, now())
        try:
            await asyncio.sleep(PROCESSING_S.get(behavior, 0.0))
            return await super()._handle(message, reader, writer)
        finally:
            run.ended_at, run.aborted = now(), self._closed or behavior in ABORTING

    def close(self) -> None:
        """Ends this incarnation; requests in progress are aborted."""
        self._closed = True
        super().close()
