"""Upstreams of a soak: they tell the ledgers what they begin, and do with a request what its path says."""

from __future__ import annotations

import asyncio

from anisestair.http import codec as http
from rigs.mesh_peers import Upstream
from rigs.soak.configuration_ledger import ConfigurationLedger
from rigs.soak.request_ledger import RequestLedger

SLOW_S = {"slow": 0.4, "long": 2.0}
BREAKS = frozenset({"cut", "reset"})
NOT_BEGUN = frozenset({"full"})
CAPACITY = 16


def way_of(message: http.Message) -> str:
    """The part of the path before the last: what the upstream does."""
    return message.target.split(b"/")[-2].decode()


class SoakUpstream(Upstream):
    """One life of an upstream. A request's path ends with ``/WAY/ATTEMPT``."""

    def __init__(
        self, instance: str, service: str, requests: RequestLedger, configuration: ConfigurationLedger
    ) -> None:
        """Not started."""
        super().__init__(instance, service, self._plain_way, capacity=CAPACITY, keep_alive="timeout=5")
        self._requests, self._configuration = requests, configuration
        self.acknowledged = False  # one of its beats
        self._closed = False

    @staticmethod
    def _plain_way(message: http.Message) -> str:
        way = way_of(message)
        return "ok" if way in SLOW_S else way

    def came(self, message: http.Message) -> None:
        """Nothing is kept: a soak is long."""

    async def _serve(
        self, message: http.Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        way, attempt = way_of(message), message.get(b"attempt-id") or ""
        if way in NOT_BEGUN or message.get(b"target-instance") not in (None, self.instance):
            return await super()._serve(message, reader, writer)
        now = asyncio.get_running_loop().time
        run = self._requests.began(attempt, self.service, self.instance, now())
        sent = self._requests.sent.get(attempt)
        if sent is not None:
            self._configuration.ran(sent.request, self.service, now())
        try:
            await asyncio.sleep(SLOW_S.get(way, 0.0))
            return await super()._serve(message, reader, writer)
        finally:
            run.ended, run.broke = now(), self._closed or way in BREAKS

    def close(self) -> None:
        """Its life is over, with all that it was at work on."""
        self._closed = True
        super().close()
