"""Contact, carried out: what is asked of the other control processes, what they are answered, and what it all
proves here. Decided in `mesh.replication.quorum_contact`.

A question and its answer go over one of the links with news that stand anyway, and in place of a sign of life
there: some 40 bytes each, every eighth of contact_ms, to and from each other control process.
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
from mesh.replication.quorum_contact import BOUND_SHARE, EVERY_SHARE, OPEN_SHARE, Contact, Proof
from mesh.transport.frames import Head

PROBE_DELAY_S = 0.005  # links that come up within it are asked together
ADDRESS_PATTERN = re.compile(
    r"[0-9A-Za-z.:\[\]-]{3,64}"
)  # of a peer's control port, as it says; it goes into a header


def _ignore_behind(_node: str, _names: Any) -> None:
    return


class ContactProbes:
    def __init__(
        self,
        contact_ms: float,
        channels: Channels,
        member_set: MemberSet,
        disk_writer: DiskWriter,
        take: Callable[[list[Item], Mapping[str, int]], object],
        oldest_open_vote_s: Callable[[], float],
        event_log: EventLog,
    ) -> None:
        """``take`` receives a newer view that an answer carries; ``oldest_open_vote_s`` returns the age in
        seconds of the oldest open vote here."""
        self._channels, self._member_set, self._disk_writer = channels, member_set, disk_writer
        self._take, self._oldest_open_vote_s, self._event_log = take, oldest_open_vote_s, event_log
        self._loop = channels.loop
        self._interval_s = EVERY_SHARE * contact_ms / 1000.0
        self.contact = Contact(BOUND_SHARE * contact_ms / 1000.0)
        self._next_probe_at = self._contact_changed_at = self._loop.time()
        self._had_contact = False  # contact, as last told
        self.find_behind: Callable[[], list[str]] = list  # proxies that are heard here and lack an order
        self.on_behind: Callable[[str, Any], None] = _ignore_behind  # those that a peer hears
        self._probe_timer: asyncio.TimerHandle | None = None
        self._links: dict[Channel, None] = {}  # to other control processes, the oldest first
        self._incarnations: dict[str, str] = {}  # by address: the source that its newest link names

    def update_bounds(self, contact_ms: float) -> None:
        """The settings file has changed."""
        self._interval_s = EVERY_SHARE * contact_ms / 1000.0
        self.contact.bound_s = BOUND_SHARE * contact_ms / 1000.0

    # What it proves

    def proof(self, settled: bool = False) -> Proof:
        flowing = {address_of(channel) for channel in self._links if channel.exchange.pulled}
        own = (
            self._member_set.own_address
            if self._disk_writer.whole and not (settled and self._has_stale_vote())
            else None
        )
        view, tolerance = self._member_set.view(), self._member_set.tolerance
        return self.contact.proof(self._loop.time(), view, tolerance, own, flowing, settled)

    def _has_stale_vote(self) -> bool:
        """Whether a vote has been open here for so long that others may have its decision."""
        return self._oldest_open_vote_s() > OPEN_SHARE * self.contact.bound_s

    def has_contact(self) -> bool:
        """Whether those heard, asked now, would know of all that was acknowledged."""
        return self.proof() >= Proof.READS

    def holds_all(self) -> bool:
        """Whether what is held here, or is being told, can miss nothing that was acknowledged."""
        return self.proof(settled=True) >= Proof.READS

    def may_act(self) -> bool:
        """Whether those heard could agree on a change by themselves: so at most one side of a cut acts."""
        return self.proof() is Proof.ORDERS

    def redirect_address(self) -> str:
        """Where a caller may be sent: the control address of one that has said within the bound that it has
        contact; "" where there is none."""
        said = {address_of(channel): str(channel.extra.get("control", "")) for channel in self._links}
        for who in self.contact.with_contact(self._loop.time()):
            if ADDRESS_PATTERN.fullmatch(said.get(who, "")):
                return said[who]
        return ""

    def status(self) -> dict[str, Any]:
        """For operators: what is proven, since when, and who has answered lately."""
        now, proof = self._loop.time(), self.proof()
        lately = self.contact.lately(now)
        return {
            "proof": proof.name.lower(),
            "for_ms": round((now - self._contact_changed_at) * 1000.0),
            "heard": {
                who: {"ago_ms": round((now - one.asked_at) * 1000.0), "whole": one.whole, "epoch": one.epoch}
                for who, one in sorted(lately.items())
            },
        }

    # Asking

    def _peers(self) -> list[Channel]:
        """One link to each other control process: one by which its news comes, where there is one."""
        found: dict[str, Channel] = {}
        for channel in self._links:
            known = found.get(address_of(channel))
            if known is None or (channel.exchange.pulled and not known.exchange.pulled):
                found[address_of(channel)] = channel
        return list(found.values())

    def tick(self, now: float, day: float) -> None:
        """Called several times a second; ``day``: the time of day in seconds."""
        if self.contact.look(now, day) or now >= self._next_probe_at:
            self._send_probes()
        if self.has_contact() is not self._had_contact:
            self._had_contact = not self._had_contact
            for_ms, self._contact_changed_at = round((now - self._contact_changed_at) * 1000.0), now
            if self._had_contact:
                self._event_log.tell(events.CONTACT_PROVEN, without_ms=for_ms)
            else:
                heard = len(self.contact.lately(now))
                self._event_log.tell(events.CONTACT_LOST, heard=heard, of=len(self._member_set.view().names))

    def _send_probes(self) -> None:
        now = self._loop.time()
        self._next_probe_at = now + self._interval_s
        question = {"t": "probe", "n": self.contact.ask(now), "e": self._member_set.view().epoch}
        for channel in self._peers():
            channel.link.send(question)

    def _send_delayed_probes(self) -> None:
        self._probe_timer = None
        self._send_probes()

    def view_changed(self) -> None:
        """Another view is in force, and answers under the one before prove nothing: asked at once, and again
        once the others have heard of it, too."""
        self._send_probes()
        if self._probe_timer is None:
            self._probe_timer = self._loop.call_later(PROBE_DELAY_S, self._send_delayed_probes)

    def link_opened(self, channel: Channel) -> None:
        """A link is up: contact need not wait for the next question's time. Behind it may be another life
        than before, whose disk is another."""
        address = address_of(channel)
        if channel.extra.get("role") != CONTROLLER or address == self._member_set.own_address:
            return
        self._links[channel] = None
        if self._incarnations.get(address) != channel.peer_source:
            self._incarnations[address] = channel.peer_source
            self.contact.forget(address)
        if self._probe_timer is None:
            self._probe_timer = self._loop.call_later(PROBE_DELAY_S, self._send_delayed_probes)

    def link_closed(self, channel: Channel) -> None:
        address = address_of(channel)
        self._links.pop(channel, None)
        if not any(address_of(one) == address for one in self._links):
            self._incarnations.pop(address, None)
            self.contact.forget(address)

    def handle_frame(self, channel: Channel, head: Head) -> bool:
        """Whether it was one of contact. Raises KeyError, TypeError or ValueError for what cannot be read."""
        kind = head["t"]
        if kind not in ("probe", "probed") or channel.extra.get("role") != CONTROLLER:
            return False
        if kind == "probe":
            epoch = self._member_set.view().epoch
            told = {
                "t": "probed",
                "n": int(head["n"]),
                "e": epoch,
                "w": self._disk_writer.whole,
                "c": self.may_act(),
            }
            if self._has_stale_vote():
                told["o"] = True
            if behind := self.find_behind():
                told["b"] = behind
            if int(head["e"]) < epoch:
                told["view"] = self._member_set.view_item()
            channel.link.send(told)
            return True
        if "view" in head:
            self._take([unpack(fields) for fields in head["view"]], {})
        address = address_of(channel)
        if self._incarnations.get(address) == channel.peer_source:
            self.on_behind(address, head.get("b", ()))
            self.contact.answered(
                address,
                int(head["n"]),
                head["w"] is True,
                int(head["e"]),
                head.get("c") is True,
                head.get("o") is not True,
            )
        return True
