"""Runs many Balancers in one process on the simulator's text protocol. The caller supplies the streams."""

from __future__ import annotations

import sys
from dataclasses import replace
from typing import TextIO

from hareloom import interface as api
from hareloom import rules, wire
from hareloom.rules import Balancer
from hareloom.wire import WireError

# Cost of an event with its lines read and written (`python -m benchmarks.event_kinds`), in the simulator's
# microseconds: those of its standard core, a twelfth of the interpreter's. Uncompiled code costs about twice
# as much.
_SCALE = (1.0 if rules.__file__.endswith(".so") else 2.1) / 12.0
COSTS = api.Costs(
    request=16.0 * _SCALE,
    pick=14.0 * _SCALE,
    look=0.3 * _SCALE,
    ended=14.0 * _SCALE,
    timer=10.0 * _SCALE,
    entry=3.0 * _SCALE,
    other=4.0 * _SCALE,
)


class Host:
    """The instances of one process, addressed by number; they share no state."""

    def __init__(self) -> None:
        self.instances: dict[int, Balancer] = {}
        self.lists: dict[int, tuple[api.ServerEntry, ...]] = {}
        self.now: float | None = None
        self.instance: int | None = None
        self.pending: list[str] = []  # ITEM lines of the list being read
        self.missing_entries = 0
        self.list_ref = 0
        self.replies: list[str] = []
        self.reply_instance: int | None = None

    def read_line(self, line: str) -> list[str] | None:
        """Reads one line; returns the reply's lines at the end of a batch. Raises WireError."""
        keyword = line.partition(" ")[0]
        if self.missing_entries:
            if keyword != "ITEM":
                raise WireError(f"list {self.list_ref} is short of {self.missing_entries} entries")
            self.pending.append(line)
            self.missing_entries -= 1
            if not self.missing_entries:
                self.store_list()
            return None
        if keyword == "FRAME":
            if self.now is not None:
                raise WireError("a batch begins inside a batch")
            self.now = wire.number(wire.required(wire.fields_of(line), "now-ms"), "now-ms")
            return None
        if self.now is None:
            raise WireError(f"{keyword!r} outside a batch")
        if keyword == "END":
            replies, self.replies = self.replies, []
            self.now = self.instance = self.reply_instance = None
            return [*replies, "READY"]
        if keyword == "FOR":
            self.instance = wire.integer(wire.required(wire.fields_of(line), "who"), "who")
        elif keyword == "MANIFEST":
            fields = wire.fields_of(line)
            self.list_ref = wire.integer(wire.required(fields, "ref"), "ref")
            self.missing_entries = wire.integer(wire.required(fields, "entries"), "entries")
            if self.missing_entries < 0:
                raise WireError(f"field 'entries' is below zero: {self.missing_entries}")
            self.pending = []
            if not self.missing_entries:
                self.store_list()
        else:
            self.handle_instance_line(keyword, line)
        return None

    def store_list(self) -> None:
        """Keeps the list whose entries have all been read."""
        self.lists[self.list_ref] = tuple(wire.parse_entry(item) for item in self.pending)
        self.pending = []

    def handle_instance_line(self, keyword: str, line: str) -> None:
        """Handles a line that is addressed to an instance."""
        if self.instance is None or self.now is None:
            raise WireError(f"{keyword!r} names no instance")
        if keyword == "DOWN":
            self.instances.pop(self.instance, None)
            return
        if keyword == "NEW_INSTANCE":
            fields = wire.fields_of(line, text_field="config")
            seed = wire.integer(wire.required(fields, "entropy"), "entropy")
            settings = replace(wire.parse_settings(wire.required(fields, "config")), costs=COSTS)
            self.instances[self.instance] = Balancer(settings, seed)
            return
        event = wire.parse_event(keyword, line, self.lists)
        balancer = self.instances.get(self.instance)
        if balancer is None:
            raise WireError(f"{keyword!r} for instance {self.instance}, which is not running")
        if event is None:
            return
        try:
            actions = balancer.handle(self.now, event)
        except Exception as error:  # a fault of the Balancer, not of the input: report it to the simulator
            self.reply(f"DIE words={type(error).__name__}: {' '.join(str(error).split())}")
            return
        for item in actions:
            self.reply(wire.format_action(item))

    def reply(self, line: str) -> None:
        """Adds a line to the reply, after a line that names the instance if that has changed."""
        if self.reply_instance != self.instance:
            self.reply_instance = self.instance
            self.replies.append(f"SOURCE who={self.instance}")
        self.replies.append(line)


def serve(source: TextIO, sink: TextIO) -> int:
    """Serves until the input ends; returns the exit status: 0, or 2 for bad input."""
    host = Host()
    line_number = 0
    try:
        for line in source:
            line_number += 1
            line = line.rstrip("\r\n")
            if not line:
                continue
            reply = host.read_line(line)
            if reply is not None:
                sink.write("\n".join(reply) + "\n")
                sink.flush()
        if host.now is not None:
            raise WireError("the input ends inside a batch")
    except (WireError, UnicodeDecodeError) as error:
        print(f"hareloom: bad input, line {line_number}: {error}", file=sys.stderr)
        return 2
    return 0
