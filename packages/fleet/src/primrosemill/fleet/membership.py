"""Tracks which VMs are live, from probes, gossip, the VM list and settings.

Implements SWIM (Das, Gupta and Motivala, 2002): each VM probes another VM in
every interval, asks other VMs to probe a target that does not answer, and
piggybacks membership updates on every message. docs/design/membership.md
gives the reasons. The module does no I/O: messages, facts and the time in
seconds go in, and messages to send come out.
"""

import random
import typing

from primrosemill.fleet import dissemination
from primrosemill.fleet import members
from primrosemill.fleet import messages
from primrosemill.fleet import probe_targets

PROBE_INTERVAL = 0.2  # seconds
DIRECT_TIMEOUT = 0.2  # seconds
PROBE_TIMEOUT = 0.6  # seconds, including the probes by helpers
SUSPICION_TIMEOUT = 1.0  # seconds within which a suspect can refute
REJOIN_INTERVAL = 1.0  # seconds between pings of absent VMs
# Seconds between two ticks after which this process counts as having been
# paused; it then discards its measurements.
PAUSE_THRESHOLD = 1.0
# Seconds without a message after which this VM suspects its own network and
# no other VM. Below PROBE_TIMEOUT, so that this takes effect before the VM
# suspects other VMs.
SILENCE_THRESHOLD = 0.5
# Seconds without a message after which this VM considers the other VMs lost.
SELF_SUSPICION_TIMEOUT = 3.0
# Bytes of entries in one message. The rest of a datagram holds the envelope,
# the sender's entry and the entry that the target should refute.
ENTRIES_SIZE_LIMIT = 1_150
# Bytes of entries of live VMs in one message to another failure domain.
# Traffic between domains is expensive, and an update on a live VM is not
# urgent there. Entries of lost VMs are limited by ENTRIES_SIZE_LIMIT only.
CROSS_DOMAIN_LIVE_SIZE_LIMIT = 150
NEWCOMER_PERIOD = 1.0  # seconds in which a started VM is sent other members
JOIN_PING_COUNT = 4  # addresses pinged at once while no other VM is known


class Outgoing(typing.NamedTuple):
    """A message and its destination address."""

    ip: str
    port: int
    message: messages.Message


class Peer(typing.NamedTuple):
    """An address where a VM of the fleet may answer."""

    ip: str
    port: int


class ListedPeer(typing.NamedTuple):
    """A VM as the platform's VM list describes it."""

    vm_id: str
    peer: Peer
    leaving: bool


class _Probe(typing.NamedTuple):
    target: messages.Entry
    sent_at: float
    indirect: bool


class _Relay(typing.NamedTuple):
    requester: messages.Entry
    nonce: int
    sent_at: float


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
        self._targets = probe_targets.ProbeTargetSelector(
            own.domain, self.table, generator, now
        )
        self._first_peers = first_peers
        self._listed_by_id: dict[str, ListedPeer] = {}
        self._generator = generator
        self._pending_entries = dissemination.DisseminationQueue()
        self._nonce = generator.getrandbits(32)
        self._probes_by_nonce: dict[int, _Probe] = {}
        self._relays_by_nonce: dict[int, _Relay] = {}
        self._next_probe_at = now
        self._newcomer_until_by_id: dict[str, float] = {}
        self._next_rejoin_at = now
        self._last_tick_at = now
        self._last_received_at = now
        self._resumed_at = now
        self._has_met_others = False
        self._pending_entries.add(own)

    @property
    def knows_fleet(self) -> bool:
        """Return whether this process can know how many VMs there are.

        A VM that has met no other one, and is none of the first peers, may be
        one of any number that know just the first peers.
        """
        if self._has_met_others or not self._first_peers:
            return True
        return Peer(self.own.ip, self.own.port) in self._first_peers

    def state_of(self, vm_id: str) -> members.State:
        """Return the state of a VM; GONE if the VM is unknown."""
        if vm_id == self.own.vm_id:
            leaving = self.own.leaving
            return members.State.LEAVING if leaving else members.State.LIVE
        member = self.table.members_by_id.get(vm_id)
        return members.State.GONE if member is None else member.state

    def entries(self) -> list[messages.Entry]:
        """Return the entries of this VM and of all VMs that are not gone."""
        return [self.own, *self.table.present_by_id.values()]

    def usable_ids(self) -> list[str]:
        """Return the ids of the VMs that may be given new work.

        Answers to callers that ask for addresses name these VMs as well.
        """
        usable = (members.State.LIVE, members.State.SUSPECT)
        ids = [] if self.own.leaving else [self.own.vm_id]
        for vm_id, member in self.table.members_by_id.items():
            if member.state in usable:
                ids.append(vm_id)
        return sorted(ids)

    def announce_leaving(self) -> list[Outgoing]:
        """Mark this VM as leaving and return pings that announce it."""
        self._update_own(leaving=True)
        return self._ping_random(2 * probe_targets.HELPER_COUNT)

    def set_leaving(self, leaving: bool) -> None:
        """Mark this VM as leaving or not, without sending a message."""
        if leaving != self.own.leaving:
            self._update_own(leaving=leaving)

    def announce_serving(self) -> list[Outgoing]:
        """Mark this VM as serving and return pings that announce it."""
        self._update_own(leaving=False)
        return self._ping_random(2 * probe_targets.HELPER_COUNT)

    def set_first_peers(self, peers: tuple[Peer, ...]) -> None:
        """Replace the configured addresses of VMs to join the fleet by."""
        self._first_peers = peers

    def announce_gone(self) -> list[Outgoing]:
        """Mark this process as ended and return pings that announce it."""
        self._update_own(liveness=messages.Liveness.GONE)
        return self._ping_random(2 * probe_targets.HELPER_COUNT)

    def announce_version(self, count: int) -> list[Outgoing]:
        """Return pings to random VMs that carry the version in force."""
        return self._ping_random(count)

    def set_watching(self, watching: bool) -> None:
        """Set whether this VM holds a working watch on the store or feed."""
        if watching != self.own.watching:
            self._update_own(watching=watching)

    def set_listed(self, listed: typing.Iterable[ListedPeer]) -> None:
        """Replace the VM list, which may be out of date.

        When the list starts to show a VM as leaving, only the current
        incarnation of that VM is marked, so that a late list does not remove
        the VM's next process.
        """
        previous = self._listed_by_id
        self._listed_by_id = {each.vm_id: each for each in listed}
        for vm_id, each in self._listed_by_id.items():
            was_leaving = vm_id in previous and previous[vm_id].leaving
            if each.leaving and not was_leaving:
                self.table.set_listed_leaving(vm_id)

    def merge(
        self, entries: typing.Iterable[messages.Entry], now: float
    ) -> None:
        """Merge entries from a message and disseminate the newer ones."""
        for entry in self._merge_newer(entries, now):
            self._pending_entries.add(entry)

    def merge_table(
        self, entries: typing.Iterable[messages.Entry], now: float
    ) -> None:
        """Merge another VM's table, whose entries the fleet knows already.

        They are not disseminated.
        """
        self._merge_newer(entries, now)

    def _merge_newer(
        self, entries: typing.Iterable[messages.Entry], now: float
    ) -> list[messages.Entry]:
        """Merge entries and return those newer than the known ones."""
        newer = []
        for entry in entries:
            if entry.vm_id == self.own.vm_id:
                self._refute(entry)
                continue
            known = self.table.members_by_id.get(entry.vm_id)
            if self.table.merge(entry, now):
                self._has_met_others = True
                newer.append(entry)
                if known is None or (
                    known.entry.incarnation < entry.incarnation
                ):
                    self._newcomer_until_by_id[entry.vm_id] = (
                        now + NEWCOMER_PERIOD
                    )
                if entry.liveness is not messages.Liveness.LIVE:
                    self._targets.suspect_domain_of(entry, now)
        return newer

    def tick(self, now: float, paused: float = 0.0) -> list[Outgoing]:
        """Return the messages that are due and time out unanswered probes.

        ``paused`` is the time since the last tick that ``now`` leaves out,
        in seconds.
        """
        self._detect_pause(now, paused)
        outgoing: list[Outgoing] = []
        self._expire_suspects(now)
        self._check_probes(now, outgoing)
        if now >= self._next_probe_at:
            self._next_probe_at = now + PROBE_INTERVAL
            self._probe_next(now, outgoing)
        if now >= self._next_rejoin_at:
            self._next_rejoin_at = now + REJOIN_INTERVAL
            self.table.forget_expired(now)
            self._forget_newcomers(now)
            self._ping_absent(outgoing)
        return outgoing

    def _forget_newcomers(self, now: float) -> None:
        """Drop the VMs whose newcomer period has ended."""
        for vm_id, until in list(self._newcomer_until_by_id.items()):
            if until <= now:
                del self._newcomer_until_by_id[vm_id]

    def receive(self, message: messages.Message, now: float) -> list[Outgoing]:
        """Handle a membership message and return the replies to send."""
        self._last_received_at = now
        if isinstance(message, messages.Ping):
            return self._receive_ping(message, now)
        if isinstance(message, messages.Ack):
            return self._receive_ack(message, now)
        if isinstance(message, messages.ProbeRequest):
            return self._receive_probe_request(message, now)
        if isinstance(message, messages.ProbeResult):
            self._probes_by_nonce.pop(message.nonce, None)
        return []

    def _receive_ping(self, ping: messages.Ping, now: float) -> list[Outgoing]:
        if ping.target_id == self.own.vm_id and (
            ping.believed_incarnation > self.own.incarnation
        ):
            self._update_own(incarnation=ping.believed_incarnation + 1)
        self.merge((ping.sender, *ping.entries), now)
        self._complete_probes_of(ping.sender)
        entries = self._take_entries_for(ping.sender.domain)
        if now < self._newcomer_until_by_id.get(ping.sender.vm_id, now):
            entries = self._add_random_members(entries)
        known = self.table.members_by_id.get(ping.sender.vm_id)
        if known is not None and known.entry != ping.sender:
            # The sender counts as suspect or gone here. Sending it that entry
            # lets it refute the entry.
            entries = (known.entry, *entries)
        ack = messages.Ack(ping.nonce, self.own, self.version, entries)
        return [Outgoing(ping.sender.ip, ping.sender.port, ack)]

    def _add_random_members(
        self, entries: tuple[messages.Entry, ...]
    ) -> tuple[messages.Entry, ...]:
        """Fill up a message to a newcomer with members chosen at random."""
        included_ids = {entry.vm_id for entry in entries}
        others = [
            entry
            for vm_id, entry in self.table.present_by_id.items()
            if vm_id not in included_ids
        ]
        self._generator.shuffle(others)
        size_left = ENTRIES_SIZE_LIMIT - 3 * dissemination.estimate_entry_size(
            self.own
        )
        size_left -= sum(
            dissemination.estimate_entry_size(entry) for entry in entries
        )
        filled = list(entries)
        for entry in others:
            size_left -= dissemination.estimate_entry_size(entry)
            if (
                size_left < 0
                or len(filled) == dissemination.MAX_ENTRIES_PER_MESSAGE
            ):
                break
            filled.append(entry)
        return tuple(filled)

    def _complete_probes_of(self, sender: messages.Entry) -> None:
        """Count a message from a VM as the answer to any probe of that VM."""
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
            # Another VM has answered at the target's address.
            self._disseminate(self.table.mark_gone(probe.target.vm_id, now))
        relay = self._relays_by_nonce.pop(ack.nonce, None)
        if relay is None:
            return []
        result = messages.ProbeResult(
            relay.nonce, ack.sender.vm_id, ack.sender.incarnation
        )
        requester = relay.requester
        return [Outgoing(requester.ip, requester.port, result)]

    def _receive_probe_request(
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
        self._pending_entries.add(self.own)

    def _refute(self, received: messages.Entry) -> None:
        """Refute a wrong entry of this VM that another VM has sent.

        Two processes of one VM never run at once, so a newer incarnation
        under this VM's id means that the clock was set back before this
        process started.
        """
        if self.own.liveness is messages.Liveness.GONE:
            return
        if received.incarnation > self.own.incarnation:
            self._update_own(incarnation=received.incarnation + 1)
            return
        if received.incarnation < self.own.incarnation:
            return
        if received.counter > self.own.counter:
            self.own = self.own._replace(counter=received.counter)
            self._update_own()
        elif received.counter == self.own.counter and received != self.own:
            self._update_own()

    def _detect_pause(self, now: float, paused: float) -> None:
        """Discard pending probes and timers if this process was paused."""
        if now - self._last_tick_at + paused > PAUSE_THRESHOLD:
            self._probes_by_nonce.clear()
            self._relays_by_nonce.clear()
            self.table.restart_suspicions(now)
            self._resumed_at = now
            self._last_received_at = now
        self._last_tick_at = now

    def _suspects_itself(self, now: float) -> bool:
        """Return whether a missing answer may be this VM's own fault.

        True shortly after a pause, and while no message has arrived for a
        time between SILENCE_THRESHOLD and SELF_SUSPICION_TIMEOUT. Silence
        means nothing while fewer than two other VMs are known.
        """
        if now - self._resumed_at < PROBE_TIMEOUT:
            return True
        if len(self.table.present_by_id) < 2:
            return False
        return (
            SILENCE_THRESHOLD
            < now - self._last_received_at
            < SELF_SUSPICION_TIMEOUT
        )

    def _expire_suspects(self, now: float) -> None:
        """Mark the suspects as gone that have not refuted in time."""
        if self._suspects_itself(now):
            return
        for vm_id in sorted(self.table.suspect_ids):
            member = self.table.members_by_id[vm_id]
            if now - member.since >= SUSPICION_TIMEOUT:
                self._disseminate(self.table.mark_gone(vm_id, now))

    def _check_probes(self, now: float, outgoing: list[Outgoing]) -> None:
        """Ask helpers to probe late targets and suspect those timed out."""
        for nonce, probe in list(self._probes_by_nonce.items()):
            waited = now - probe.sent_at
            if waited >= PROBE_TIMEOUT:
                del self._probes_by_nonce[nonce]
                self._suspect(probe.target, now, outgoing)
            elif waited >= DIRECT_TIMEOUT and not probe.indirect:
                self._probes_by_nonce[nonce] = probe._replace(indirect=True)
                self._targets.suspect_domain_of(probe.target, now)
                outgoing.append(self._ping(probe.target, nonce))
                self._send_probe_requests(nonce, probe.target, outgoing)
        for nonce, relay in list(self._relays_by_nonce.items()):
            if now - relay.sent_at >= PROBE_TIMEOUT:
                del self._relays_by_nonce[nonce]

    def _suspect(
        self, target: messages.Entry, now: float, outgoing: list[Outgoing]
    ) -> None:
        if self._suspects_itself(now):
            return
        member = self.table.members_by_id.get(target.vm_id)
        if member is None or member.entry.incarnation != target.incarnation:
            return
        suspect = self.table.mark_suspect(target.vm_id, now)
        if suspect is None:
            return
        self._targets.suspect_domain_of(suspect, now)
        self._disseminate(suspect)
        # Lets the suspect refute before other VMs learn of the suspicion.
        outgoing.append(self._ping(suspect, self._new_nonce()))

    def _disseminate(self, entry: messages.Entry | None) -> None:
        if entry is not None:
            self._pending_entries.add(entry)

    def _send_probe_requests(
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
        """Ping an expected address at which no VM is known to be present.

        This is how a VM joins the fleet, and how two parts of a fleet find
        each other after a partition. While no other VM is known, up to
        JOIN_PING_COUNT addresses are pinged.
        """
        absent = {
            Peer(entry.ip, entry.port): entry
            for entry in self.table.gone_entries()
        }
        listed = [each.peer for each in self._listed_by_id.values()]
        candidates = sorted(
            peer
            for peer in {*absent, *self._first_peers, *listed}
            if not self.table.is_present_at(peer.ip, peer.port)
            and peer != Peer(self.own.ip, self.own.port)
        )
        if not candidates:
            return
        count = 1 if self.table.present_by_id else JOIN_PING_COUNT
        count = min(count, len(candidates))
        for peer in self._generator.sample(candidates, count):
            if peer in absent:
                outgoing.append(self._ping(absent[peer], self._new_nonce()))
                continue
            message = self._build_ping(
                "", 0, self.own.domain, self._new_nonce()
            )
            outgoing.append(Outgoing(peer.ip, peer.port, message))

    def _ping_random(self, count: int) -> list[Outgoing]:
        present = list(self.table.present_by_id.values())
        count = min(count, len(present))
        return [
            self._ping(entry, self._new_nonce())
            for entry in self._generator.sample(present, count)
        ]

    def _ping(self, target: messages.Entry, nonce: int) -> Outgoing:
        message = self._build_ping(
            target.vm_id, target.incarnation, target.domain, nonce
        )
        if target.liveness is not messages.Liveness.LIVE:
            # The target can refute an entry only if it receives that entry.
            others = [
                each for each in message.entries if each.vm_id != target.vm_id
            ]
            message = message._replace(entries=(target, *others))
        return Outgoing(target.ip, target.port, message)

    def _build_ping(
        self, target_id: str, incarnation: int, domain: str, nonce: int
    ) -> messages.Ping:
        return messages.Ping(
            nonce,
            target_id,
            incarnation,
            self.own,
            self.version,
            self._take_entries_for(domain),
        )

    def _take_entries_for(self, domain: str) -> tuple[messages.Entry, ...]:
        """Return pending entries for a message to a VM of ``domain``."""
        size_limit = (
            ENTRIES_SIZE_LIMIT
            - 3 * dissemination.estimate_entry_size(self.own)
        )
        live_size_limit = (
            size_limit
            if domain == self.own.domain
            else CROSS_DOMAIN_LIVE_SIZE_LIMIT
        )
        return self._pending_entries.take(
            len(self.table.members_by_id) + 1, size_limit, live_size_limit
        )

    def _new_nonce(self) -> int:
        self._nonce += 1
        return self._nonce
