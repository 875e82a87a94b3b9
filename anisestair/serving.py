"""Runs a serving sidecar: startup, signals and graceful shutdown."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

import uvloop

from anisestair.configure import platform_file, retune, startup
from anisestair.configure.effective import Config, ConfigError, build_config
from anisestair.discovery import unix_offset_ms
from anisestair.http.frontend import Frontend
from anisestair.sidecar import SPARE_SOCKETS, Sidecar

if TYPE_CHECKING:
    from anisestair.configure.operator_tables import OperatorConfig

log = logging.getLogger("anisestair")


async def serve(
    config: Config,
    key_paths: retune.KeyPaths,
    offset_ms: float,
    operator: OperatorConfig | None = None,
    file: Path | None = None,
) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    spare = SPARE_SOCKETS
    if config.mgmt is not None:
        from anisestair.admin import setup as admin  # loaded only if the admin interface is enabled

        spare += admin.ADMIN_DESCRIPTORS
    each = (config.sockets - spare) // 2
    table, listener = operator.rpc if operator is not None else None, None
    storms = None
    if operator is not None and operator.storms is not None:
        from anisestair.storms import report  # loaded only if enabled

        storms = report.StormReporter(config, operator.storms.show)
    if table is None:
        sidecar, clients = Sidecar(config, offset_ms, each, storms=storms), each
    else:
        from anisestair.rpc import setup  # loaded only if enabled

        clients = each // 2  # limit of client connections of both protocols together
        sidecar, listener = setup.start(config, offset_ms, each, table, each - clients, storms)

    retuning = None

    def reread() -> None:
        nonlocal retuning
        if retuning is None:
            from anisestair.retuning import Retuning  # loaded at the first SIGHUP

            retuning = Retuning(config, key_paths, offset_ms, sidecar)
        retuning.signalled()

    loop.add_signal_handler(signal.SIGHUP, reread)
    frontend = Frontend(sidecar, clients)
    coordinator = None
    if config.mgmt is not None or config.inherited is not None:
        from anisestair.recovery import duty as recovery_duty

        coordinator = recovery_duty.ServingCoordinator(config, offset_ms, sidecar, frontend, spare)
        host, port = await coordinator.start()
    else:
        host, port = frontend.listen(config.listen)
    log.info("%s: listening on %s:%d", config.name, host, port)
    if table is not None and listener is not None:
        log.info("%s: listening for MessagePack-RPC on %s", config.name, await listener.listen(table.listen))
    if storms is not None:
        await storms.listen()
    # Checks run after listen(), so that connections wait in the backlog and are not refused. The findings are
    # only printed and do not stop the program (see startup).
    for line in startup.finding_lines(os.environ, file):
        print(f"anisestair: {line}", file=sys.stderr)
    await stop.wait()
    log.info("%s: ending", config.name)
    if coordinator is not None:
        coordinator.begin_shutdown()
    await asyncio.gather(frontend.stop(), *([listener.stop()] if listener is not None else []))
    await sidecar.close()
    if listener is not None:
        listener.close()
    if storms is not None:
        storms.close()
    if coordinator is not None:
        coordinator.close()
    log.info("%s: ended", config.name)


def run_with(files: list[str]) -> int:
    """Serve with the features that an operator's file enables."""
    from anisestair.configure import operator_file  # loaded only if a file is given

    try:
        if len(files) != 1:
            raise operator_file.OperatorError("--operator: takes one file")
        return run_sidecar(operator_file.load(Path(files[0])), Path(files[0]))
    except operator_file.OperatorError as fault:
        print(f"anisestair: {fault}", file=sys.stderr)
        return 2


def run_sidecar(operator: OperatorConfig | None = None, file: Path | None = None) -> int:
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    offset_ms = unix_offset_ms(time.monotonic() * 1000.0)  # the event loop uses the monotonic clock
    try:
        data = platform_file.read(os.environ)
        config, key_paths = build_config(data, os.environ, offset_ms), retune.key_paths(data)
        del data
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(config, key_paths, offset_ms, operator, file))
    except ConfigError as fault:
        print(f"anisestair: {fault}", file=sys.stderr)
        return 2
    except OSError as fault:
        print(f"anisestair: BALANCER_LISTEN: {fault}", file=sys.stderr)
        return 1
    return 0
