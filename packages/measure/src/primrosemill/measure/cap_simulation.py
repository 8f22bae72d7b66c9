"""A fleet that keeps customers' caps, in virtual time.

Each VM runs the decisions of :mod:`primrosemill.decisions.customers`. The
network delays, loses and repeats messages; the membership is modelled by the
times at which each VM notices that another one is lost or back. Times are in
seconds.
"""

import heapq
import itertools
import random
import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import home_vms
from primrosemill.fleet import messages
from primrosemill.fleet import wire

from primrosemill.decisions.customers import cap_agent
from primrosemill.decisions.customers import cap_authority
from primrosemill.decisions.customers import cap_messages
from primrosemill.decisions.customers import caps

VIEW_INTERVAL = 0.25  # seconds between updates of a VM's view
# When VMs notice that another one is lost, or is there again.
LOST_NOTICE = (1.2, 2.9)
BACK_NOTICE = (0.1, 1.0)
UDP_HEADER_SIZE = 28  # bytes with the IP header
_SECRET = b"k" * 32


class Network(typing.NamedTuple):
    """How messages travel; times in seconds.

    ``lag`` is the longest time until a VM's event loop reads a message, and
    ``loss`` and ``repeat`` the fractions lost and delivered twice, the second
    time up to ``repeat_delay`` later.
    """

    domain_delay: float = 0.0014
    local_delay: float = 0.0003
    lag: float = 0.02
    loss: float = 0.0
    repeat: float = 0.0
    repeat_delay: float = 2.0


CALM_NETWORK = Network()
DEFAULT_BOUND = caps.Bound()


class Results:
    """What became of the requests, and what the messages cost."""

    def __init__(self) -> None:
        self.run_at: list[float] = []
        self.arrived_at: list[float] = []
        self.refused_at: list[float] = []
        self.unavailable_at: list[float] = []
        self.waits: list[float] = []
        self.count_by_source = dict.fromkeys(cap_agent.Source, 0)
        self.message_count = 0
        self.byte_count = 0


class SimulatedVm:
    """One VM, or the process that replaced it."""

    def __init__(
        self, vm: home_vms.Vm, agent: cap_agent.CapAgent, incarnation: int
    ) -> None:
        self.vm = vm
        self.agent = agent
        self.alive = True
        self.leaving = False
        self.frozen_until = 0.0
        self.waiting_since_by_number: dict[int, float] = {}
        self.wake_at = float("inf")
        self.sealer = wire.Sealer(
            wire.Sender("target", vm.id, incarnation), _SECRET
        )
        # The VMs that this one takes for lost, and those that left.
        self.lost_ids: set[str] = set()
        self.left_ids: set[str] = set()
        self.leaving_ids: set[str] = set()
        self.view_changed = True


class CapFleet:
    """A fleet of VMs with one customer whose requests are counted."""

    def __init__(
        self,
        vms: typing.Iterable[home_vms.Vm],
        customer: documents.Customer,
        generator: random.Random,
        network: Network = CALM_NETWORK,
        bound: caps.Bound = DEFAULT_BOUND,
        holder_ids: typing.Container[str] | None = None,
    ) -> None:
        self.now = 0.0
        self.customer = customer
        self.results = Results()
        self._generator = generator
        self._network = network
        self._bound = bound
        self._holder_ids = holder_ids
        self._queue: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._group_by_id: dict[str, int] = {}
        self.vms_by_id: dict[str, SimulatedVm] = {}
        self.old_ids: set[str] = set()
        for vm in vms:
            self.vms_by_id[vm.id] = self._start(vm)
        for vm_id in self.vms_by_id:
            self._refresh(vm_id)

    def at(self, time: float, action: typing.Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self._queue, (time, next(self._sequence), action))

    def play(self, until: float) -> None:
        """Run everything that is scheduled before a time."""
        while self._queue and self._queue[0][0] < until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = until

    def request(self, vm_id: str) -> None:
        """Let a request arrive at a VM now, or when it runs again."""
        simulated = self.vms_by_id[vm_id]
        if not simulated.alive:
            return
        if self.now < simulated.frozen_until:
            self.at(simulated.frozen_until, lambda: self.request(vm_id))
            return
        self.results.arrived_at.append(self.now)
        if vm_id in self.old_ids:
            return
        verdict = simulated.agent.acquire(self.customer, self.now)
        if isinstance(verdict, cap_agent.Waiting):
            simulated.waiting_since_by_number[verdict.number] = self.now
        else:
            self._record(verdict, 0.0)
        self._schedule_wake(simulated)

    def set_customer(self, customer: documents.Customer) -> None:
        """Apply a new cap on all VMs at once."""
        self.customer = customer
        for simulated in self.vms_by_id.values():
            simulated.agent.set_customers([customer])

    def cut(self, groups: typing.Iterable[typing.Iterable[str]]) -> None:
        """Let only VMs of the same group reach each other from now on."""
        before = dict(self._group_by_id)
        self._group_by_id = {
            vm_id: number
            for number, group in enumerate(groups)
            for vm_id in group
        }
        for first, second in itertools.permutations(self.vms_by_id, 2):
            reached = before.get(first, 0) == before.get(second, 0)
            if reached != self._connects(first, second):
                self._notice(first, second)

    def kill(self, vm_id: str) -> None:
        """End a VM's process without notice."""
        simulated = self.vms_by_id[vm_id]
        simulated.alive = False
        for other_id in self.vms_by_id:
            self._notice(other_id, vm_id)

    def restart(self, vm_id: str) -> None:
        """Replace a VM's process, which forgets all."""
        simulated = self.vms_by_id[vm_id]
        simulated.alive = False
        replaced = self._start(simulated.vm)
        self.vms_by_id[vm_id] = replaced
        # It meets the others one after the other. Until then they are first
        # peers that it has not met, which count as lost.
        replaced.lost_ids = set(self.vms_by_id) - {vm_id}
        self._refresh(vm_id)
        for other_id in self.vms_by_id:
            self._notice(other_id, vm_id)
            self._notice(vm_id, other_id)

    def freeze(self, vm_id: str, seconds: float) -> None:
        """Stop a VM's process for some time."""
        simulated = self.vms_by_id[vm_id]
        simulated.frozen_until = max(
            simulated.frozen_until, self.now + seconds
        )
        for other_id in self.vms_by_id:
            self._notice(other_id, vm_id)
        end = simulated.frozen_until
        self.at(end, lambda: self._thaw(vm_id))

    def leave(self, vm_id: str, seconds: float) -> None:
        """Stop a VM as planned: it ends after some time."""
        self.vms_by_id[vm_id].leaving = True
        for other_id in self.vms_by_id:
            delay = self._generator.uniform(*BACK_NOTICE)
            if other_id == vm_id:
                delay = 0.0
            self.at(
                self.now + delay,
                lambda other_id=other_id: self._note_leaving(other_id, vm_id),
            )
        self.at(self.now + seconds, lambda: self._end(vm_id))

    def _start(self, vm: home_vms.Vm) -> SimulatedVm:
        agent = cap_agent.CapAgent(
            vm.id,
            self._bound,
            random.Random(self._generator.random()),
            self.now,
        )
        agent.set_customers([self.customer])
        simulated = SimulatedVm(vm, agent, int(self.now * 1_000) + 1)
        self.at(
            self.now + self._generator.uniform(0.0, VIEW_INTERVAL),
            lambda: self._tick(simulated),
        )
        return simulated

    def _tick(self, simulated: SimulatedVm) -> None:
        if not simulated.alive:
            return
        if self.now >= simulated.frozen_until:
            if simulated.view_changed:
                self._refresh(simulated.vm.id)
            simulated.agent.step(self.now)
        self.at(self.now + VIEW_INTERVAL, lambda: self._tick(simulated))

    def _end(self, vm_id: str) -> None:
        self.vms_by_id[vm_id].alive = False
        for other_id, other in self.vms_by_id.items():
            if other_id != vm_id and self._connects(other_id, vm_id):
                other.left_ids.add(vm_id)
                other.view_changed = True
            elif other_id != vm_id:
                self._notice(other_id, vm_id)

    def _note_leaving(self, other_id: str, vm_id: str) -> None:
        if self._connects(other_id, vm_id):
            self.vms_by_id[other_id].view_changed = True
            self.vms_by_id[other_id].leaving_ids.add(vm_id)

    def _thaw(self, vm_id: str) -> None:
        """Let a VM go on; it takes the others for lost by their silence."""
        for other_id in self.vms_by_id:
            self._notice(other_id, vm_id)

    def _connects(self, first_id: str, second_id: str) -> bool:
        groups = self._group_by_id
        return groups.get(first_id, 0) == groups.get(second_id, 0)

    def _is_reached(self, vm_id: str, other_id: str) -> bool:
        other = self.vms_by_id[other_id]
        return (
            other.alive
            and self.now >= other.frozen_until
            and self._connects(vm_id, other_id)
        )

    def _notice(self, vm_id: str, other_id: str) -> None:
        """Let a VM notice later whether it reaches another one."""
        if vm_id == other_id:
            return
        window = LOST_NOTICE
        if self._is_reached(vm_id, other_id):
            window = BACK_NOTICE
        self.at(
            self.now + self._generator.uniform(*window),
            lambda: self._check(vm_id, other_id),
        )

    def _check(self, vm_id: str, other_id: str) -> None:
        simulated = self.vms_by_id[vm_id]
        if self.now < simulated.frozen_until:
            return
        simulated.view_changed = True
        if not self._is_reached(vm_id, other_id):
            if other_id not in simulated.left_ids:
                simulated.lost_ids.add(other_id)
            return
        simulated.lost_ids.discard(other_id)
        if not self.vms_by_id[other_id].leaving:
            simulated.left_ids.discard(other_id)
            simulated.leaving_ids.discard(other_id)

    def _refresh(self, vm_id: str) -> None:
        """Set a VM's view from what it has noticed."""
        simulated = self.vms_by_id[vm_id]
        simulated.view_changed = False
        fleet_ids = sorted(set(self.vms_by_id) - simulated.left_ids)
        leaving_ids = simulated.leaving_ids
        absent_ids = simulated.lost_ids | simulated.left_ids
        holders = tuple(
            self.vms_by_id[other_id].vm
            for other_id in fleet_ids
            if other_id not in absent_ids
            and other_id not in leaving_ids
            and other_id not in self.old_ids
            and (self._holder_ids is None or other_id in self._holder_ids)
        )
        present = [
            other_id
            for other_id in fleet_ids
            if other_id not in absent_ids and other_id not in self.old_ids
        ]
        simulated.agent.set_view(
            cap_authority.View(
                holders,
                len(present),
                len(fleet_ids),
                fleet_ids.index(vm_id),
            ),
            self.now,
        )

    def _record(self, verdict: cap_agent.Verdict, waited: float) -> None:
        results = self.results
        if isinstance(verdict, cap_agent.Admitted):
            results.run_at.append(self.now)
            results.count_by_source[verdict.source] += 1
            results.waits.append(waited)
        elif isinstance(verdict, cap_agent.CapReached):
            results.refused_at.append(self.now)
        else:
            results.unavailable_at.append(self.now)

    def _schedule_wake(self, simulated: SimulatedVm) -> None:
        due = max(simulated.agent.next_due(), self.now)
        if due >= simulated.wake_at or due == float("inf"):
            return
        simulated.wake_at = due
        self.at(due, lambda: self._wake(simulated, due))

    def _wake(self, simulated: SimulatedVm, due: float) -> None:
        if not simulated.alive or due != simulated.wake_at:
            return
        if self.now < simulated.frozen_until:
            later = simulated.frozen_until
            simulated.wake_at = later
            self.at(later, lambda: self._wake(simulated, later))
            return
        simulated.wake_at = float("inf")
        for each in simulated.agent.take_requests(self.now):
            self._send(
                simulated, each.vm_id, messages.CapRequest(*each.request)
            )
        self._settle(simulated)

    def _settle(self, simulated: SimulatedVm) -> None:
        for number, verdict in simulated.agent.take_settled():
            arrived_at = simulated.waiting_since_by_number.pop(number)
            self._record(verdict, self.now - arrived_at)
        self._schedule_wake(simulated)

    def _send(
        self,
        sender: SimulatedVm,
        vm_id: str,
        message: messages.CapRequest | messages.CapGrant,
    ) -> None:
        network = self._network
        self.results.message_count += 1
        self.results.byte_count += (
            len(sender.sealer.seal(message)) + UDP_HEADER_SIZE
        )
        receiver = self.vms_by_id.get(vm_id)
        if receiver is None or not self._connects(sender.vm.id, vm_id):
            return
        if vm_id in sender.lost_ids | sender.left_ids:
            return
        if self._generator.random() < network.loss:
            return
        delay = network.local_delay
        if sender.vm.domain != receiver.vm.domain:
            delay = network.domain_delay
        delay += self._generator.uniform(0.0, network.lag)
        arrivals = [self.now + delay]
        if self._generator.random() < network.repeat:
            arrivals.append(
                arrivals[0]
                + self._generator.uniform(0.0, network.repeat_delay)
            )
        for arrival in arrivals:
            self.at(
                arrival,
                lambda: self._receive(sender.vm.id, vm_id, message),
            )

    def _receive(
        self,
        sender_id: str,
        vm_id: str,
        message: messages.CapRequest | messages.CapGrant,
    ) -> None:
        simulated = self.vms_by_id[vm_id]
        if not simulated.alive or vm_id in self.old_ids:
            return
        if self.now < simulated.frozen_until:
            self.at(
                simulated.frozen_until,
                lambda: self._receive(sender_id, vm_id, message),
            )
            return
        if isinstance(message, messages.CapRequest):
            answer = simulated.agent.answer_request(
                sender_id, cap_messages.Request(*message), self.now
            )
            self._send(simulated, sender_id, messages.CapGrant(*answer))
            self._schedule_wake(simulated)
            return
        simulated.agent.apply_answer(
            sender_id, cap_messages.Answer(*message), self.now
        )
        self._settle(simulated)


def most_in_window(times: typing.Iterable[float], window: float) -> int:
    """Return the largest number of times in any window of a length."""
    ordered = sorted(times)
    most = first = 0
    for last, time in enumerate(ordered):
        while ordered[first] <= time - window:
            first += 1
        most = max(most, last - first + 1)
    return most


def served_by_one_bucket(
    customer: documents.Customer, arrived_at: typing.Iterable[float]
) -> list[float]:
    """Return which arrivals one bucket for the whole fleet would admit."""
    level, filled_at = float("inf"), 0.0
    depth = max(1.0, customer.burst)
    served = []
    for time in sorted(arrived_at):
        level = min(depth, level + (time - filled_at) * customer.rate)
        filled_at = time
        if level >= 1.0:
            level -= 1.0
            served.append(time)
    return served
