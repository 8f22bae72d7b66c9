"""Carries messages between pure protocol objects in memory, for figures.

It knows delays, losses and cuts, and counts what each VM sends and receives;
time is a number that it moves on.
"""

import heapq
import random
import typing

from primrosemill.fleet import membership
from primrosemill.fleet import messages
from primrosemill.fleet import wire

TICK = 0.05  # seconds
DELAY = 0.0015  # seconds one way
UDP_HEADER_SIZE = 28  # bytes of the IP and UDP headers


class Traffic(typing.NamedTuple):
    """What one VM has sent; it receives as much on average."""

    messages: int = 0
    size: int = 0


class Node(typing.NamedTuple):
    """One VM: its protocol object and its seal."""

    membership: membership.Membership
    sealer: wire.Sealer


class _Arrival(typing.NamedTuple):
    time: float
    order: int
    target_id: str
    message: messages.Message


class Network:
    """Moves messages between the VMs that it was given."""

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
        self._order = 0

    def add(
        self,
        vm_id: str,
        ip: str,
        domain: str,
        first_peers: tuple[membership.Peer, ...],
        incarnation: int = 1,
    ) -> membership.Membership:
        """Start a VM, in place of any earlier one at its address."""
        own = messages.Entry(vm_id, ip, 7000, domain, incarnation, 0)
        generator = random.Random(self._generator.random())
        view = membership.Membership(own, first_peers, generator, self.now)
        sealer = wire.Sealer(
            wire.Sender("measured", vm_id, incarnation), wire.derive_key(b"")
        )
        self.nodes_by_id[vm_id] = Node(view, sealer)
        self._ids_by_ip[ip] = vm_id
        self.traffic_by_id.setdefault(vm_id, Traffic())
        return view

    def remove(self, vm_id: str) -> None:
        """Stop a VM without a word."""
        del self.nodes_by_id[vm_id]

    def send(
        self, sender_id: str, outgoing: list[membership.Outgoing]
    ) -> None:
        """Put messages on their way."""
        for each in outgoing:
            sealed = self.nodes_by_id[sender_id].sealer.seal(each.message)
            before = self.traffic_by_id[sender_id]
            self.traffic_by_id[sender_id] = Traffic(
                before.messages + 1,
                before.size + len(sealed) + UDP_HEADER_SIZE,
            )
            target_id = self._ids_by_ip.get(each.ip)
            if target_id is None or self._generator.random() < self.loss:
                continue
            if (sender_id, target_id) in self.cut_pairs:
                continue
            self._order += 1
            arrival = _Arrival(
                self.now + DELAY, self._order, target_id, each.message
            )
            heapq.heappush(self._arrivals, arrival)

    def run(self, seconds: float) -> None:
        """Move time on."""
        end = self.now + seconds
        while self.now < end - TICK / 2:
            self._tick()

    def _tick(self) -> None:
        tick_end = self.now + TICK
        for vm_id in list(self.nodes_by_id):
            if vm_id not in self.paused_ids:
                view = self.nodes_by_id[vm_id].membership
                self.send(vm_id, view.tick(self.now))
        while self._arrivals and self._arrivals[0].time < tick_end:
            arrival = heapq.heappop(self._arrivals)
            self.now = max(self.now, arrival.time)
            self._deliver(arrival)
        self.now = tick_end

    def _deliver(self, arrival: _Arrival) -> None:
        vm_id = arrival.target_id
        if vm_id not in self.nodes_by_id or vm_id in self.paused_ids:
            return
        view = self.nodes_by_id[vm_id].membership
        self.send(vm_id, view.receive(arrival.message, self.now))
        if self.on_message is not None:
            self.on_message(vm_id, arrival.message)
