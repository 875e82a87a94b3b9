"""Builds a sidecar with MessagePack-RPC enabled, from the operator's table."""

from __future__ import annotations

from anisestair.configure.effective import Config, ConfigError
from anisestair.configure.operator_tables import RpcTable
from anisestair.rpc.frontend import Lane, RpcFrontend
from anisestair.rpc.meaning import CallRules, Rule
from anisestair.sidecar import Sidecar, StormObserver


def start(
    config: Config,
    offset_ms: float,
    most_upstream: int,
    table: RpcTable,
    most_clients: int,
    storms: StormObserver | None = None,
) -> tuple[Sidecar, RpcFrontend]:
    """Raises ConfigError, which names the field, for a table that contradicts the settings."""
    rules = tuple(
        Rule(item.pattern, item.klass, item.deadline_ms, item.key, item.id, item.deadline)
        for item in table.methods
    )
    classes = {item.name: item for item in config.settings.classes}
    try:
        call_rules = CallRules(rules, table.turned_away, classes)
    except ValueError as fault:
        raise ConfigError(f"[[rpc.methods]] {fault}") from None
    lane = Lane(call_rules, table.calls_per_connection)
    sidecar = Sidecar(config, offset_ms, most_upstream, lane, storms)
    sidecar.classes = classes  # one table, which a reload changes for both frontends
    return sidecar, RpcFrontend(sidecar, call_rules, most_clients, table.calls_in_hand)
