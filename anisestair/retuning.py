"""Reloads the configuration at SIGHUP, in a thread beside the event loop. Imported at the first SIGHUP."""

from __future__ import annotations

import asyncio
import logging
import os
from dataclasses import replace

from anisestair.configure import platform_file, retune
from anisestair.configure.effective import Config, ConfigError
from anisestair.sidecar import Sidecar

log = logging.getLogger("anisestair")


class Retuning:
    """Reloads one at a time; signals received during a reload cause a single further one."""

    def __init__(self, config: Config, before: retune.KeyPaths, offset_ms: float, sidecar: Sidecar) -> None:
        self._config, self._key_paths, self._offset_ms, self._sidecar = config, before, offset_ms, sidecar
        self._task: asyncio.Task[None] | None = None
        self._again = False

    def signalled(self) -> None:
        if self._task is not None and not self._task.done():
            self._again = True
        else:
            self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        while True:
            self._again = False
            try:
                config, key_paths = await asyncio.to_thread(self._read)
            except ConfigError as fault:
                self._sidecar.reloads[1] += 1
                log.error("%s: configuration not read again: %s", self._config.name, fault)
            else:
                self._take(config, key_paths)
            if not self._again:
                return

    def _read(self) -> tuple[Config, retune.KeyPaths]:
        # BALANCER_DISCOVERY was set when the process started; the file may be newer.
        environ = {key: value for key, value in os.environ.items() if key != "BALANCER_DISCOVERY"}
        data = platform_file.read(environ)
        return retune.check_reload(data, self._key_paths, environ, self._offset_ms), retune.key_paths(data)

    def _take(self, config: Config, key_paths: retune.KeyPaths) -> None:
        old = self._config
        self._sidecar.reloads[0] += 1
        for line in retune.describe_changes(old.settings, config.settings):
            log.info("%s: %s", old.name, line)
        for name in retune.restart_only_changes(old, config):
            log.warning("%s: %s differs: restart to apply it", old.name, name)
        log.info("%s: discovery is at %s:%d", old.name, *config.discovery)
        self._config = replace(old, settings=config.settings, discovery=config.discovery)
        self._key_paths = key_paths
        if config.settings != old.settings:
            self._sidecar.retune(config.settings)
        if config.discovery != old.discovery:
            self._sidecar.discovery.move(config.discovery)
