"""Exchanges contact probes with the other control processes; `mesh.replication.quorum_contact` decides what
the answers prove.

A probe and its answer use one of the established links between two control processes and replace a keep-alive
there: some 40 bytes each, every eighth of contact_ms, in both directions.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable, Mapping
from typing import Any

from mesh.control_plane.member_set import MemberSet, address_of
from mesh.control_plane.write_batches import DiskWriter
from mesh.data_plane.membership import CONTROLLER
from mesh.dissemination.peers import Channel, Channels
from mesh.dissemination.pull_exchange import unpack
from mesh.event_log import events
from mesh.event_log.log import EventLog
from mesh.replication.items import Item
from mesh.replication.quorum_contact import (
    OPEN_VOTE_SHARE,
    PROBE_INTERVAL_SHARE,
    REPLY_VALID_SHARE,
    ContactLevel,
    QuorumContact,
)
from mesh.transport.frames import Head

PROBE_DELAY_S = 0.005  # links that open within it are probed together
# The control address that a peer claims; it is copied into a response header.
ADDRESS_PATTERN = re.compile(r"[0-9A-Za-z.:\[\]-]{3,64}")


def _ignore_behind(_node: str, _names: Any) -> None:
    return


class ContactProbes:
    """Probes the other control processes, answers their probes, and reports what the answers prove."""

    def __init__(
        self,
        contact_ms: float,
        channels: Channels,
        member_set: MemberSet,
        disk_writer: DiskWriter,
        apply: Callable[[list[Item], Mapping[str, int]], object],
        oldest_open_vote_s: Callable[[], float],
        event_log: EventLog,
    ) -> None:
        """``apply`` receives a newer view that an answer carries; ``oldest_open_vote_s`` returns the age in
        seconds of the oldest open vote here."""
        self._channels, self._member_set, self._disk_writer = channels, member_set, disk_writer
        self._apply, self._oldest_open_vote_s, self._event_log = apply, oldest_open_vote_s, event_log
        self._loop = channels.loop
        self._interval_s = PROBE_INTERVAL_SHARE * contact_ms / 1000.0
        self.contact = QuorumContact(REPLY_VALID_SHARE * contact_ms / 1000.0)
        self._next_probe_at = self._contact_changed_at = self._loop.time()
        self._had_contact = False  # as last logged
        self.find_behind: Callable[[], list[str]] = list  # live proxies that lack a write
        self.on_behind: Callable[[str, Any], None] = _ignore_behind  # receives those of a peer
        self._probe_timer: asyncio.TimerHandle | None = None
        self._links: dict[Channel, None] = {}  # to other control processes, oldest first
        self._incarnations: dict[str, str] = {}  # by address: the source named by its newest link

    def update_bounds(self, contact_ms: float) -> None:
        """Applies a changed settings file."""
        self._interval_s = PROBE_INTERVAL_SHARE * contact_ms / 1000.0
        self.contact.reply_valid_s = REPLY_VALID_SHARE * contact_ms / 1000.0

    # Proofs

    def level(self, settled: bool = False) -> ContactLevel:
        """What recent answers prove; ``settled``: only answers of members without a stale open vote count."""
        pulled = {address_of(channel) for channel in self._links if channel.exchange.pull_complete}
        own = (
            self._member_set.own_address
            if self._disk_writer.complete and not (settled and self._has_stale_vote())
            else None
        )
        view, tolerance = self._member_set.view(), self._member_set.tolerance
        return self.contact.level(self._loop.time(), view, tolerance, own, pulled, settled)

    def _has_stale_vote(self) -> bool:
        """Whether a vote has been open here for so long that others may know its decision."""
        return self._oldest_open_vote_s() > OPEN_VOTE_SHARE * self.contact.reply_valid_s

    def has_contact(self) -> bool:
        """Whether the members that answered hold, together, all that was acknowledged."""
        return self.level() >= ContactLevel.READS

    def holds_all(self) -> bool:
        """Whether the store here, with updates on their way to it, lacks nothing that was acknowledged."""
        return self.level(settled=True) >= ContactLevel.READS

    def may_act(self) -> bool:
        """Whether the members that answered can decide a write; true on at most one side of a partition."""
        return self.level() is ContactLevel.WRITES

    def redirect_address(self) -> str:
        """The control address of a member that reported contact within the bound, for redirects; "" if there
        is none."""
        addresses = {
            address_of(channel): str(channel.peer_hello.get("control", "")) for channel in self._links
        }
        for member in self.contact.members_with_contact(self._loop.time()):
            if ADDRESS_PATTERN.fullmatch(addresses.get(member, "")):
                return addresses[member]
        return ""

    def status(self) -> dict[str, Any]:
        """For operators: the level, for how long it has held, and who has answered recently."""
        now, level = self._loop.time(), self.level()
        recent = self.contact.valid_replies(now)
        return {
            "proof": level.status_name,
            "for_ms": round((now - self._contact_changed_at) * 1000.0),
            "heard": {
                member: {
                    "ago_ms": round((now - answer.sent_at) * 1000.0),
                    "whole": answer.disk_complete,
                    "epoch": answer.epoch,
                }
                for member, answer in sorted(recent.items())
            },
        }

    # Probes

    def _best_links(self) -> list[Channel]:
        """One link to each other control process, preferably one over which its updates arrive."""
        links: dict[str, Channel] = {}
        for channel in self._links:
            link = links.get(address_of(channel))
            if link is None or (channel.exchange.pull_complete and not link.exchange.pull_complete):
                links[address_of(channel)] = channel
        return list(links.values())

    def tick(self, now: float, wall_clock: float) -> None:
        """Sends probes that are due; called several times a second. ``wall_clock``: the time of day in
        seconds."""
        if self.contact.check_clocks(now, wall_clock) or now >= self._next_probe_at:
            self._send_probes()
        if self.has_contact() is not self._had_contact:
            self._had_contact = not self._had_contact
            for_ms, self._contact_changed_at = round((now - self._contact_changed_at) * 1000.0), now
            if self._had_contact:
                self._event_log.emit(events.CONTACT_ESTABLISHED, without_ms=for_ms)
            else:
                heard = len(self.contact.valid_replies(now))
                self._event_log.emit(events.CONTACT_LOST, heard=heard, of=len(self._member_set.view().names))

    def _send_probes(self) -> None:
        now = self._loop.time()
        self._next_probe_at = now + self._interval_s
        probe = {"t": "probe", "n": self.contact.start_probe(now), "e": self._member_set.view().epoch}
        for channel in self._best_links():
            channel.link.send(probe)

    def _send_delayed_probes(self) -> None:
        self._probe_timer = None
        self._send_probes()

    def view_changed(self) -> None:
        """A new view voids earlier answers: probes at once, and again when the others have received it,
        too."""
        self._send_probes()
        if self._probe_timer is None:
            self._probe_timer = self._loop.call_later(PROBE_DELAY_S, self._send_delayed_probes)

    def link_opened(self, channel: Channel) -> None:
        """Probes a new link soon. Its peer may be another incarnation than before, with another disk, so
        answers of the earlier one are dropped."""
        address = address_of(channel)
        if channel.peer_hello.get("role") != CONTROLLER or address == self._member_set.own_address:
            return
        self._links[channel] = None
        if self._incarnations.get(address) != channel.peer_source:
            self._incarnations[address] = channel.peer_source
            self.contact.forget(address)
        if self._probe_timer is None:
            self._probe_timer = self._loop.call_later(PROBE_DELAY_S, self._send_delayed_probes)

    def link_closed(self, channel: Channel) -> None:
        """Drops the answers of a member whose last link closed."""
        address = address_of(channel)
        self._links.pop(channel, None)
        if not any(address_of(one) == address for one in self._links):
            self._incarnations.pop(address, None)
            self.contact.forget(address)

    def handle_frame(self, channel: Channel, head: Head) -> bool:
        """Whether it was a probe or its answer. Raises KeyError, TypeError or ValueError if it is
        malformed."""
        kind = head["t"]
        if kind not in ("probe", "probed") or channel.peer_hello.get("role") != CONTROLLER:
            return False
        if kind == "probe":
            epoch = self._member_set.view().epoch
            answer = {
                "t": "probed",
                "n": int(head["n"]),
                "e": epoch,
                "w": self._disk_writer.complete,
                "c": self.may_act(),
            }
            if self._has_stale_vote():
                answer["o"] = True
            if behind := self.find_behind():
                answer["b"] = behind
            if int(head["e"]) < epoch:
                answer["view"] = self._member_set.view_item()
            channel.link.send(answer)
            return True
        if "view" in head:
            self._apply([unpack(fields) for fields in head["view"]], {})
        address = address_of(channel)
        if self._incarnations.get(address) == channel.peer_source:
            self.on_behind(address, head.get("b", ()))
            self.contact.record_reply(
                address,
                int(head["n"]),
                head["w"] is True,
                int(head["e"]),
                head.get("c") is True,
                head.get("o") is not True,
            )
        return True
