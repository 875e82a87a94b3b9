"""Exchange of records between the processes of one sidecar through a shared folder, in a separate thread.

A file system operation may block for hundreds of milliseconds: a file system with online discard frees the
blocks within the rename that replaces a file, and listings of the folder wait for it. On the event loop such
waits would stall both processes in turn for as long as both run; here only the thread waits.
"""

from __future__ import annotations

import asyncio
import logging
import threading
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from anisestair.recovery import records
from anisestair.recovery.records import InvalidRecord, ProcessFiles

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.1
CLOSE_TIMEOUT_S = 0.5  # wait for the thread when closing; the next start removes files that remain

MembersChanged = Callable[[Mapping[int, Mapping[str, Any]]], None]


class RecordExchange:
    """Publishes this process's record and reads those of the others. ``on_change`` is called on the event
    loop with the records of the other live processes, by start time, whenever they have changed."""

    def __init__(
        self, files: ProcessFiles, on_change: MembersChanged, loop: asyncio.AbstractEventLoop
    ) -> None:
        self._files, self._on_change, self._loop = files, on_change, loop
        self._lock = threading.Lock()
        self._pending_record: dict[str, Any] | None = None  # this process's record, if not written yet
        self._outgoing: dict[int, Any] = {}  # data for one other process, by its start time
        self._sent_to: set[int] = set()
        self._known: dict[int, dict[str, Any]] = {}  # records of the other live processes, by start time
        self._reported_invalid: set[int] = set()  # start times of processes whose invalid record was logged
        self._received: dict[int, Any] = {}  # data from other processes for this one, by its start time
        self._changed = -1
        self._wake, self._closed = threading.Event(), False
        self._thread = threading.Thread(target=self._run, name="meeting", daemon=True)

    def start(self) -> None:
        """Read the records once, so that the caller knows the other processes, then start the thread."""
        self._synchronize()
        self._thread.start()

    def known(self) -> dict[int, dict[str, Any]]:
        """Return the records of the other live processes as last read."""
        with self._lock:
            return dict(self._known)

    def publish(self, record: dict[str, Any]) -> None:
        """Schedule this process's record for writing; a later record replaces an unwritten one."""
        with self._lock:
            self._pending_record = record
        self._wake.set()

    def send(self, born: int, data: Any) -> None:
        """Schedule data for one other process; only the first call for each process counts."""
        with self._lock:
            if born not in self._sent_to:
                self._sent_to.add(born)
                self._outgoing[born] = data
        self._wake.set()

    def close(self) -> None:
        self._closed = True
        self._wake.set()
        if self._thread.is_alive():
            self._thread.join(CLOSE_TIMEOUT_S)
        else:
            self._files.remove()

    def _run(self) -> None:
        while not self._closed:
            self._wake.wait(POLL_INTERVAL_S)
            self._wake.clear()
            try:
                self._synchronize()
            except Exception:  # unexpected content of the folder must not end the thread
                log.exception("takeover: reading %s failed", self._files.folder)
        self._files.remove()

    def _synchronize(self) -> None:
        with self._lock:
            record, self._pending_record = self._pending_record, None
            outgoing, self._outgoing = self._outgoing, {}
        try:
            for born, data in outgoing.items():
                self._files.write_for(born, data)
            if record is not None:
                self._files.write_record(record)
        except OSError as fault:
            log.warning("takeover: %s", fault)
        self._read()

    def _read(self) -> None:
        """List the folder only if it has changed, or if a known process may have ended."""
        try:
            changed = self._files.folder.stat().st_mtime_ns
            if changed == self._changed and not self._known:
                return
            self._changed = changed
            found = self._files.others()
        except OSError as fault:
            log.warning("takeover: %s", fault)
            found = {}
        known = {born: self._record(born, path) for born, path in found.items()}
        if known != self._known:
            with self._lock:
                self._known = known
            if self._thread.is_alive() and not self._closed:
                self._loop.call_soon_threadsafe(self._on_change, known)

    def _record(self, born: int, path: Path) -> dict[str, Any]:
        """Return a process's record; its previous one if the file is missing, incomplete or invalid."""
        try:
            data = records.read(path)
        except FileNotFoundError:
            return self._known.get(born, {})
        except (OSError, InvalidRecord) as fault:
            if born not in self._reported_invalid:
                self._reported_invalid.add(born)
                log.warning("takeover: the record of process %d cannot be used: %s", born, fault)
            return self._known.get(born, {})
        fields = dict(data) if isinstance(data, dict) else {}
        if born not in self._received and fields.get("asked") == self._files.born:
            self._received[born] = self._files.read_from(path)
        if self._received.get(born) is not None:
            fields["learnt"] = self._received[born]
        return fields
