"""Builds a simulated fleet of VMs before one instance that names a limit.

The platform's rule for such an instance is here, too. Time is virtual and in
seconds. Each VM has its own view of the fleet, which the test sets, and learns
of the limit from its own answers and from what the VMs in touch with it
report.
"""

import itertools
import random

from primrosemill.decisions import allocation
from primrosemill.decisions import dispatch
from primrosemill.decisions import home_vms
from primrosemill.decisions import instance_limits
from primrosemill.decisions import limit_shares
from primrosemill.decisions import slot_pool
from tests.builders import load

STEP = 0.01  # seconds
SERVICE_TIME = 0.05  # seconds
REPORT_DELAY = 0.02  # seconds until a report reaches another VM
# The platform's rule: from this time after an instance first named its limit,
# no window has more than the limit allows, times a factor, and some requests.
STABLE_WINDOW = 3.0  # seconds
WINDOW = 4.0  # seconds
ALLOWED_FACTOR = 1.5
ALLOWED_REQUESTS = 5


def allowed(limit):
    """Return the requests that the rule allows in a window."""
    return ALLOWED_FACTOR * limit * WINDOW + ALLOWED_REQUESTS


def most_in_window(times, start=0.0):
    """Return the highest number of times in any window after the start."""
    counted = [time for time in times if time >= start]
    return max(
        (
            sum(first <= time < first + WINDOW for time in counted)
            for first in counted
        ),
        default=0,
    )


class Vm:
    """A VM with an allocation and a view of the fleet of its own."""

    def __init__(self, vm_id, generator):
        self.id = vm_id
        self.generator = generator
        self.start(-limit_shares.VIEW_SETTLE_TIME)

    def start(self, now):
        """Start the process anew, without what it knew."""
        self.shares = limit_shares.LimitShares(self.id)
        self.allocation = allocation.Allocation(
            load.DOMAIN, self.generator, now, shares=self.shares
        )
        self.running = True

    def see(self, present, now, lost=0):
        """Set the view of the fleet: the VMs there, all of them entry points.

        ``present`` are their ids, and ``lost`` is the number of those gone.
        """
        points = tuple(home_vms.Vm(each, load.DOMAIN) for each in present)
        self.shares.set_view(
            limit_shares.View({load.DOMAIN: points}, len(present), lost),
            now,
        )


class Fleet:
    """VMs that send to one limited instance as fast as they may.

    ``limit`` is what the instance names, None for no limit. ``are_in_touch``
    tells whether one VM hears the reports of another.
    """

    def __init__(self, count, limit, seed=1, slots=50):
        self.generator = random.Random(seed)
        self.limit = limit
        self.now = 0.0
        self.record = load.Instance(0, slots=slots).record
        self.vms_by_id = {
            f"vm-{number}": Vm(f"vm-{number}", self.generator)
            for number in range(count)
        }
        for vm in self.vms_by_id.values():
            vm.see(list(self.vms_by_id), -limit_shares.VIEW_SETTLE_TIME)
            vm.allocation.selector.set_instances([self.record], 0.0)
        self.are_in_touch = lambda first, second: True
        self.arrived_at = []
        self._pending = []
        self._number = itertools.count()

    def restart(self, vm_id):
        """Restart the process of a VM."""
        vm = self.vms_by_id[vm_id]
        vm.start(self.now)
        vm.allocation.selector.set_instances([self.record], self.now)

    def play(self, seconds, rate_per_vm=30.0):
        """Let callers send to every running VM for some seconds."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            for due_at, handler, args in sorted(
                self._pending, key=lambda each: each[0]
            ):
                if due_at <= self.now:
                    handler(*args)
            self._pending = [
                each for each in self._pending if each[0] > self.now
            ]
            for vm in self.vms_by_id.values():
                if vm.running and self.generator.random() < rate_per_vm * STEP:
                    self._send(vm)

    def _send(self, vm):
        """Send a request, by a hedge's or an ordinary choice."""
        number = next(self._number)
        request = dispatch.SlotRequest(
            "caller",
            self.now + 2.5,
            bool(number % 2),
            route=load.URGENT if number % 2 else load.PATIENT,
            arrived_at=self.now,
        )
        if number % 3 == 0:
            instance = vm.allocation.acquire_spare(request, self.now)
        else:
            decision = vm.allocation.request_slot(request, self.now)
            instance = getattr(decision, "instance", None)
            if isinstance(decision, allocation.Waiting):
                vm.allocation.cancel(decision.ticket)
        if instance is None:
            return
        self.arrived_at.append(self.now)
        self._pending.append(
            (
                self.now + SERVICE_TIME,
                self._answer,
                (vm, self.now, self.limit),
            )
        )

    def _answer(self, vm, sent_at, limit):
        selector = vm.allocation.selector
        vm.allocation.release(
            self.record.id,
            self.now - sent_at,
            slot_pool.SlotOutcome.ANSWERED,
            self.now,
        )
        statement = instance_limits.Statement(limit, sent_at, self.now)
        if selector.limits.record(self.record, statement) is None:
            return
        for other in self.vms_by_id.values():
            if other is not vm and self.are_in_touch(vm.id, other.id):
                self._pending.append(
                    (self.now + REPORT_DELAY, self._hear, (other, statement))
                )

    def _hear(self, vm, statement):
        vm.allocation.selector.limits.record(self.record, statement)
