"""Builds the admin interface of one sidecar."""

from __future__ import annotations

import json
from collections.abc import Callable
from http import HTTPStatus

from anisestair.admin.figures import report
from anisestair.admin.readiness import Stage, UpstreamStatus, why
from anisestair.admin.server import MAX_CONNECTIONS, AdminServer
from anisestair.endpoints import Address
from anisestair.sidecar import Sidecar

ADMIN_DESCRIPTORS = MAX_CONNECTIONS + 8  # for its connections, listener, selector and wake-up sockets


def start(
    address: Address, sidecar: Sidecar, stage: Callable[[], tuple[Stage, UpstreamStatus]]
) -> AdminServer:
    """Starts the admin interface. Raises OSError if the address cannot be bound."""

    def health() -> tuple[HTTPStatus, bytes]:
        at, upstreams = stage()
        status = HTTPStatus.OK if at is Stage.READY else HTTPStatus.SERVICE_UNAVAILABLE
        return status, json.dumps({"stage": at.value, "why": why(at, upstreams)}).encode()

    def stats() -> tuple[HTTPStatus, bytes]:
        return HTTPStatus.OK, json.dumps(report(sidecar)).encode()

    return AdminServer(address, {b"/admin/health": health, b"/admin/stats": stats})
