"""Simulates the network between membership protocol objects in memory.

It delays, loses and cuts messages, and counts the traffic that each VM sends.
The time is simulated.
"""

import heapq
import random
import typing

from primrosemill.fleet import membership
from primrosemill.fleet import messages
from primrosemill.fleet import wire

TICK_INTERVAL = 0.05  # seconds
ONE_WAY_DELAY = 0.0015  # seconds
UDP_HEADER_SIZE = 28  # bytes of the IP and UDP headers


class Traffic(typing.NamedTuple):
    """The traffic that one VM has sent; it receives as much on average.

    ``size`` is in bytes, including the IP and UDP headers.
    """

    messages: int = 0
    size: int = 0


class Node(typing.NamedTuple):
    """The protocol object and the sealer of one VM."""

    membership: membership.Membership
    sealer: wire.Sealer


class _Arrival(typing.NamedTuple):
    time: float
    sequence: int
    target_id: str
    message: messages.Message


class Network:
    """A simulated network between VMs.

    ``loss`` is the share of lost messages. VMs in ``paused_ids`` neither tick
    nor receive; messages of a sender to a target in ``cut_pairs`` are lost.
    ``on_message`` is called with the receiver's id after each delivery.
    """

    def __init__(self, generator: random.Random, loss: float = 0.0) -> None:
        self.now = 0.0
        self.loss = loss
        self.nodes_by_id: dict[str, Node] = {}
        self.paused_ids: set[str] = set()
        self.cut_pairs: set[tuple[str, str]] = set()
        self.traffic_by_id: dict[str, Traffic] = {}
        self.on_message: (
            typing.Callable[[str, messages.Message], None] | None
        ) = None
        self._generator = generator
        self._ids_by_ip: dict[str, str] = {}
        self._arrivals: list[_Arrival] = []
        self._sequence = 0

    def add(
        self,
        vm_id: str,
        ip: str,
        domain: str,
        first_peers: tuple[membership.Peer, ...],
        incarnation: int = 1,
    ) -> membership.Membership:
        """Add a VM; it replaces an earlier VM at the same address."""
        own = messages.Entry(vm_id, ip, 7000, domain, incarnation, 0)
        generator = random.Random(self._generator.random())
        member = membership.Membership(own, first_peers, generator, self.now)
        sealer = wire.Sealer(
            wire.Sender("measured", vm_id, incarnation), wire.derive_key(b"")
        )
        self.nodes_by_id[vm_id] = Node(member, sealer)
        self._ids_by_ip[ip] = vm_id
        self.traffic_by_id.setdefault(vm_id, Traffic())
        return member

    def remove(self, vm_id: str) -> None:
        """Remove a VM without a notice to the others."""
        del self.nodes_by_id[vm_id]

    def send(
        self, sender_id: str, outgoing: list[membership.Outgoing]
    ) -> None:
        """Queue messages for delivery, unless they are lost."""
        for each in outgoing:
            sealed = self.nodes_by_id[sender_id].sealer.seal(each.message)
            previous = self.traffic_by_id[sender_id]
            self.traffic_by_id[sender_id] = Traffic(
                previous.messages + 1,
                previous.size + len(sealed) + UDP_HEADER_SIZE,
            )
            target_id = self._ids_by_ip.get(each.ip)
            if target_id is None or self._generator.random() < self.loss:
                continue
            if (sender_id, target_id) in self.cut_pairs:
                continue
            self._sequence += 1
            arrival = _Arrival(
                self.now + ONE_WAY_DELAY,
                self._sequence,
                target_id,
                each.message,
            )
            heapq.heappush(self._arrivals, arrival)

    def run(self, seconds: float) -> None:
        """Advance the simulated time."""
        end = self.now + seconds
        while self.now < end - TICK_INTERVAL / 2:
            self._tick()

    def _tick(self) -> None:
        tick_end = self.now + TICK_INTERVAL
        for vm_id in list(self.nodes_by_id):
            if vm_id not in self.paused_ids:
                member = self.nodes_by_id[vm_id].membership
                self.send(vm_id, member.tick(self.now))
        while self._arrivals and self._arrivals[0].time < tick_end:
            arrival = heapq.heappop(self._arrivals)
            self.now = max(self.now, arrival.time)
            self._deliver(arrival)
        self.now = tick_end

    def _deliver(self, arrival: _Arrival) -> None:
        vm_id = arrival.target_id
        if vm_id not in self.nodes_by_id or vm_id in self.paused_ids:
            return
        member = self.nodes_by_id[vm_id].membership
        self.send(vm_id, member.receive(arrival.message, self.now))
        if self.on_message is not None:
            self.on_message(vm_id, arrival.message)
