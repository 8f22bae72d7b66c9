"""Decides which VMs are live, from probes, gossip, the VM list and settings.

Each VM probes one other in each interval, asks others to probe it where no
answer came, and passes on what changed with every message, as SWIM (Das,
Gupta and Motivala, 2002) does; docs/design/membership.md gives the reasons.
The object is pure: messages, facts and the time in seconds go in, and
messages to send come out.
"""

import random
import typing

from primrosemill.fleet import dissemination
from primrosemill.fleet import members
from primrosemill.fleet import messages
from primrosemill.fleet import probe_targets

PROBE_INTERVAL = 0.2  # seconds
DIRECT_TIMEOUT = 0.2  # seconds
PROBE_TIMEOUT = 0.6  # seconds, the probes by other VMs included
SUSPICION_TIMEOUT = 1.0  # seconds
REJOIN_INTERVAL = 1.0  # seconds
PAUSE = 1.0  # seconds without a tick after which this VM doubts itself
# Seconds without a message after which it does, too; below the timeout of a
# probe, so that the doubt comes before the suspicion of others.
SILENCE = 0.5
LONGEST_SILENCE = 3.0  # seconds after which silence is believed
# Bytes of entries in one message: the rest of a datagram holds the envelope,
# the sender's entry and the one that the target should refute.
ENTRIES_SIZE = 1_150
# The same for live VMs in messages to other failure domains, whose bytes are
# dear: news of them is not urgent there. Of losses all that fits is told.
FAR_LIVE_SIZE = 150
NEW_TIME = 1.0  # seconds in which a VM that started is told of others
JOIN_PEERS = 4  # addresses that a VM which knows nobody pings at once


class Outgoing(typing.NamedTuple):
    """A message and the address it goes to."""

    ip: str
    port: int
    message: messages.Message


class Peer(typing.NamedTuple):
    """An address where a VM of the fleet may answer."""

    ip: str
    port: int


class ListedPeer(typing.NamedTuple):
    """A VM as the VM list gives it."""

    vm_id: str
    peer: Peer
    leaving: bool


class _Probe(typing.NamedTuple):
    target: messages.Entry
    sent: float
    helped: bool


class _Relay(typing.NamedTuple):
    requester: messages.Entry
    nonce: int
    sent: float


class Membership:
    """The view that one VM has of its fleet."""

    def __init__(
        self,
        own: messages.Entry,
        first_peers: tuple[Peer, ...],
        generator: random.Random,
        now: float,
    ) -> None:
        self.own = own
        self.version = messages.VersionInForce(0, b"")
        self.table = members.MemberTable()
        self._targets = probe_targets.ProbeTargets(
            own.domain, self.table, generator, now
        )
        self._first_peers = first_peers
        self._listed_by_id: dict[str, ListedPeer] = {}
        self._generator = generator
        self._changes = dissemination.Dissemination()
        self._nonce = generator.getrandbits(32)
        self._probes_by_nonce: dict[int, _Probe] = {}
        self._relays_by_nonce: dict[int, _Relay] = {}
        self._next_probe = now
        self._new_until_by_id: dict[str, float] = {}
        self._next_rejoin = now
        self._last_tick = now
        self._last_heard = now
        self._awake_since = now
        self._changes.add(own)

    def state_of(self, vm_id: str) -> members.State:
        """Return the state of a VM; one never heard of is gone."""
        if vm_id == self.own.vm_id:
            leaving = self.own.leaving
            return members.State.LEAVING if leaving else members.State.LIVE
        member = self.table.members_by_id.get(vm_id)
        return members.State.GONE if member is None else member.state

    def entries(self) -> list[messages.Entry]:
        """Return this VM's entry and those of all VMs that are not gone."""
        return [self.own, *self.table.present_by_id.values()]

    def usable_ids(self) -> list[str]:
        """Return the VMs that new work and address answers may name."""
        usable = (members.State.LIVE, members.State.SUSPECT)
        ids = [] if self.own.leaving else [self.own.vm_id]
        for vm_id, member in self.table.members_by_id.items():
            if member.state in usable:
                ids.append(vm_id)
        return sorted(ids)

    def announce_leaving(self) -> list[Outgoing]:
        """Tell the fleet that this VM leaves; some VMs hear it at once."""
        self._update_own(leaving=True)
        return self._ping_some(2 * probe_targets.HELPERS)

    def set_leaving(self, leaving: bool) -> None:
        """Say from the next message on whether this VM takes callers."""
        if leaving != self.own.leaving:
            self._update_own(leaving=leaving)

    def announce_serving(self) -> list[Outgoing]:
        """Tell the fleet that this VM takes callers from now on."""
        self._update_own(leaving=False)
        return self._ping_some(2 * probe_targets.HELPERS)

    def set_first_peers(self, peers: tuple[Peer, ...]) -> None:
        """Take other addresses at which VMs of the fleet may answer."""
        self._first_peers = peers

    def announce_gone(self) -> list[Outgoing]:
        """Tell the fleet that this process ends now."""
        self._update_own(liveness=messages.Liveness.GONE)
        return self._ping_some(2 * probe_targets.HELPERS)

    def announce_version(self, count: int) -> list[Outgoing]:
        """Tell some VMs, chosen at random, of the version in force."""
        return self._ping_some(count)

    def set_watching(self, watching: bool) -> None:
        """Tell the fleet whether this VM holds a working watch."""
        if watching != self.own.watching:
            self._update_own(watching=watching)

    def set_listed(self, listed: typing.Iterable[ListedPeer]) -> None:
        """Take a new reading of the VM list, which lags.

        Its word that a VM is leaving counts against the process that runs
        at the time of the change only, so that a late list does not take
        out the next process of that VM.
        """
        before = self._listed_by_id
        self._listed_by_id = {each.vm_id: each for each in listed}
        for vm_id, each in self._listed_by_id.items():
            was_leaving = vm_id in before and before[vm_id].leaving
            if each.leaving and not was_leaving:
                self.table.set_listed_leaving(vm_id)

    def merge(
        self, entries: typing.Iterable[messages.Entry], now: float
    ) -> None:
        """Take entries from a message and pass on those that are news."""
        for entry in self._take_news(entries, now):
            self._changes.add(entry)

    def merge_table(
        self, entries: typing.Iterable[messages.Entry], now: float
    ) -> None:
        """Take another VM's table, which the fleet knows already."""
        self._take_news(entries, now)

    def _take_news(
        self, entries: typing.Iterable[messages.Entry], now: float
    ) -> list[messages.Entry]:
        """Keep the entries that are newer than what is known."""
        news = []
        for entry in entries:
            if entry.vm_id == self.own.vm_id:
                self._defend(entry)
                continue
            known = self.table.members_by_id.get(entry.vm_id)
            if self.table.merge(entry, now):
                news.append(entry)
                if known is None or (
                    known.entry.incarnation < entry.incarnation
                ):
                    self._new_until_by_id[entry.vm_id] = now + NEW_TIME
                if entry.liveness is not messages.Liveness.LIVE:
                    self._targets.doubt(entry, now)
        return news

    def tick(self, now: float) -> list[Outgoing]:
        """Send the probes that are due and judge those without answer."""
        self._note_pause(now)
        outgoing: list[Outgoing] = []
        self._expire_suspects(now)
        self._check_probes(now, outgoing)
        if now >= self._next_probe:
            self._next_probe = now + PROBE_INTERVAL
            self._probe_next(now, outgoing)
        if now >= self._next_rejoin:
            self._next_rejoin = now + REJOIN_INTERVAL
            self.table.forget_old(now)
            self._forget_new(now)
            self._ping_absent(outgoing)
        return outgoing

    def _forget_new(self, now: float) -> None:
        """Forget who started a while ago."""
        for vm_id, until in list(self._new_until_by_id.items()):
            if until <= now:
                del self._new_until_by_id[vm_id]

    def receive(self, message: messages.Message, now: float) -> list[Outgoing]:
        """Handle one message of the membership kinds."""
        self._last_heard = now
        if isinstance(message, messages.Ping):
            return self._receive_ping(message, now)
        if isinstance(message, messages.Ack):
            return self._receive_ack(message, now)
        if isinstance(message, messages.ProbeRequest):
            return self._receive_request(message, now)
        if isinstance(message, messages.ProbeResult):
            self._probes_by_nonce.pop(message.nonce, None)
        return []

    def _receive_ping(self, ping: messages.Ping, now: float) -> list[Outgoing]:
        if ping.target_id == self.own.vm_id and (
            ping.believed_incarnation > self.own.incarnation
        ):
            self._update_own(incarnation=ping.believed_incarnation + 1)
        self.merge((ping.sender, *ping.entries), now)
        self._drop_probes_of(ping.sender)
        changes = self._take_changes(ping.sender.domain)
        if now < self._new_until_by_id.get(ping.sender.vm_id, now):
            changes = self._introduce(changes)
        doubted = self.table.members_by_id.get(ping.sender.vm_id)
        if doubted is not None and doubted.entry != ping.sender:
            # The sender is held suspect or gone; it can refute that now.
            changes = (doubted.entry, *changes)
        ack = messages.Ack(ping.nonce, self.own, self.version, changes)
        return [Outgoing(ping.sender.ip, ping.sender.port, ack)]

    def _introduce(
        self, changes: tuple[messages.Entry, ...]
    ) -> tuple[messages.Entry, ...]:
        """Add VMs for a sender that has just started, as many as fit."""
        named = {entry.vm_id for entry in changes}
        others = [
            entry
            for vm_id, entry in self.table.present_by_id.items()
            if vm_id not in named
        ]
        self._generator.shuffle(others)
        room = ENTRIES_SIZE - 3 * dissemination.entry_size(self.own)
        room -= sum(dissemination.entry_size(entry) for entry in changes)
        found = list(changes)
        for entry in others:
            room -= dissemination.entry_size(entry)
            if room < 0 or len(found) == dissemination.ENTRIES_PER_MESSAGE:
                break
            found.append(entry)
        return tuple(found)

    def _drop_probes_of(self, sender: messages.Entry) -> None:
        """Take a VM's own message for the answer to a probe of it."""
        for nonce, probe in list(self._probes_by_nonce.items()):
            target = probe.target
            if target.vm_id != sender.vm_id:
                continue
            if target.incarnation == sender.incarnation:
                del self._probes_by_nonce[nonce]

    def _receive_ack(self, ack: messages.Ack, now: float) -> list[Outgoing]:
        self.merge((ack.sender, *ack.entries), now)
        probe = self._probes_by_nonce.pop(ack.nonce, None)
        if probe is not None and probe.target.vm_id != ack.sender.vm_id:
            self._pass_on(self.table.mark_gone(probe.target.vm_id, now))
        relay = self._relays_by_nonce.pop(ack.nonce, None)
        if relay is None:
            return []
        result = messages.ProbeResult(
            relay.nonce, ack.sender.vm_id, ack.sender.incarnation
        )
        requester = relay.requester
        return [Outgoing(requester.ip, requester.port, result)]

    def _receive_request(
        self, request: messages.ProbeRequest, now: float
    ) -> list[Outgoing]:
        self.merge((request.sender,), now)
        nonce = self._new_nonce()
        self._relays_by_nonce[nonce] = _Relay(
            request.sender, request.nonce, now
        )
        return [self._ping(request.target, nonce)]

    def _update_own(self, **changes: typing.Any) -> None:
        counter = self.own.counter + 1
        self.own = self.own._replace(counter=counter, **changes)
        self._changes.add(self.own)

    def _defend(self, heard: messages.Entry) -> None:
        """Refute what others say of this VM where it is wrong.

        A newer incarnation under this id can only come from a clock that
        was set back, as no two processes of one VM run at once.
        """
        if self.own.liveness is messages.Liveness.GONE:
            return
        if heard.incarnation > self.own.incarnation:
            self._update_own(incarnation=heard.incarnation + 1)
            return
        if heard.incarnation < self.own.incarnation:
            return
        if heard.counter > self.own.counter:
            self.own = self.own._replace(counter=heard.counter)
            self._update_own()
        elif heard.counter == self.own.counter and heard != self.own:
            self._update_own()

    def _note_pause(self, now: float) -> None:
        """Drop what was measured across a pause of this process."""
        if now - self._last_tick > PAUSE:
            self._probes_by_nonce.clear()
            self._relays_by_nonce.clear()
            self.table.restart_clocks(now)
            self._awake_since = now
            self._last_heard = now
        self._last_tick = now

    def _doubts_itself(self, now: float) -> bool:
        if now - self._awake_since < PROBE_TIMEOUT:
            return True
        if len(self.table.present_by_id) < 2:
            return False
        return SILENCE < now - self._last_heard < LONGEST_SILENCE

    def _expire_suspects(self, now: float) -> None:
        if self._doubts_itself(now):
            return
        for vm_id in sorted(self.table.suspect_ids):
            member = self.table.members_by_id[vm_id]
            if now - member.since >= SUSPICION_TIMEOUT:
                self._pass_on(self.table.mark_gone(vm_id, now))

    def _check_probes(self, now: float, outgoing: list[Outgoing]) -> None:
        for nonce, probe in list(self._probes_by_nonce.items()):
            waited = now - probe.sent
            if waited >= PROBE_TIMEOUT:
                del self._probes_by_nonce[nonce]
                self._suspect(probe.target, now, outgoing)
            elif waited >= DIRECT_TIMEOUT and not probe.helped:
                self._probes_by_nonce[nonce] = probe._replace(helped=True)
                self._targets.doubt(probe.target, now)
                outgoing.append(self._ping(probe.target, nonce))
                self._ask_helpers(nonce, probe.target, outgoing)
        for nonce, relay in list(self._relays_by_nonce.items()):
            if now - relay.sent >= PROBE_TIMEOUT:
                del self._relays_by_nonce[nonce]

    def _suspect(
        self, target: messages.Entry, now: float, outgoing: list[Outgoing]
    ) -> None:
        if self._doubts_itself(now):
            return
        member = self.table.members_by_id.get(target.vm_id)
        if member is None or member.entry.incarnation != target.incarnation:
            return
        suspect = self.table.mark_suspect(target.vm_id, now)
        if suspect is None:
            return
        self._targets.doubt(suspect, now)
        self._pass_on(suspect)
        # It may refute that at once, before others hear of it.
        outgoing.append(self._ping(suspect, self._new_nonce()))

    def _pass_on(self, entry: messages.Entry | None) -> None:
        if entry is not None:
            self._changes.add(entry)

    def _ask_helpers(
        self, nonce: int, target: messages.Entry, outgoing: list[Outgoing]
    ) -> None:
        request = messages.ProbeRequest(nonce, target, self.own)
        for helper in self._targets.choose_helpers(target):
            outgoing.append(Outgoing(helper.ip, helper.port, request))

    def _probe_next(self, now: float, outgoing: list[Outgoing]) -> None:
        probed_ids = {
            probe.target.vm_id for probe in self._probes_by_nonce.values()
        }
        for entry in self._targets.choose(probed_ids, now):
            self._probe(entry, now, outgoing)

    def _probe(
        self, entry: messages.Entry, now: float, outgoing: list[Outgoing]
    ) -> None:
        nonce = self._new_nonce()
        self._probes_by_nonce[nonce] = _Probe(entry, now, False)
        outgoing.append(self._ping(entry, nonce))

    def _ping_absent(self, outgoing: list[Outgoing]) -> None:
        """Ping one address that should answer but is not in the view.

        This is how a VM joins, and how two parts of a fleet find each
        other when a partition ends.
        """
        absent = {
            Peer(entry.ip, entry.port): entry
            for entry in self.table.gone_entries()
        }
        known = [each.peer for each in self._listed_by_id.values()]
        candidates = sorted(
            peer
            for peer in {*absent, *self._first_peers, *known}
            if not self.table.is_present_at(peer.ip, peer.port)
            and peer != Peer(self.own.ip, self.own.port)
        )
        if not candidates:
            return
        count = 1 if self.table.present_by_id else JOIN_PEERS
        count = min(count, len(candidates))
        for peer in self._generator.sample(candidates, count):
            if peer in absent:
                outgoing.append(self._ping(absent[peer], self._new_nonce()))
                continue
            message = self._ping_message(
                "", 0, self.own.domain, self._new_nonce()
            )
            outgoing.append(Outgoing(peer.ip, peer.port, message))

    def _ping_some(self, count: int) -> list[Outgoing]:
        present = list(self.table.present_by_id.values())
        count = min(count, len(present))
        return [
            self._ping(entry, self._new_nonce())
            for entry in self._generator.sample(present, count)
        ]

    def _ping(self, target: messages.Entry, nonce: int) -> Outgoing:
        message = self._ping_message(
            target.vm_id, target.incarnation, target.domain, nonce
        )
        if target.liveness is not messages.Liveness.LIVE:
            # The target can only refute what it hears.
            others = [
                each for each in message.entries if each.vm_id != target.vm_id
            ]
            message = message._replace(entries=(target, *others))
        return Outgoing(target.ip, target.port, message)

    def _ping_message(
        self, target_id: str, incarnation: int, domain: str, nonce: int
    ) -> messages.Ping:
        return messages.Ping(
            nonce,
            target_id,
            incarnation,
            self.own,
            self.version,
            self._take_changes(domain),
        )

    def _take_changes(self, domain: str) -> tuple[messages.Entry, ...]:
        """Return the changes to send to a VM of a failure domain."""
        room = ENTRIES_SIZE - 3 * dissemination.entry_size(self.own)
        live_room = room if domain == self.own.domain else FAR_LIVE_SIZE
        return self._changes.take(
            len(self.table.members_by_id) + 1, room, live_room
        )

    def _new_nonce(self) -> int:
        self._nonce += 1
        return self._nonce
