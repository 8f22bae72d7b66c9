"""The share of a VM in the request limits that instances name.

A limit holds for all VMs together, and VMs don't exchange what they sent. So
it is divided: the entry points of the instance's failure domain, to which its
callers are directed, hold equal parts. A part is at least one request per
second if the limit allows it, so that the VMs' first requests together are at
most what the instance accepts in a second.

VMs compute the parts from their own views of the fleet, which differ for some
seconds after a change and for as long as a cut lasts. Two rules keep the sum
within the limit: a part that grows is used only once it has held for
``VIEW_SETTLE_TIME``, and a VM that has lost others grants only the fraction of
VMs that it still sees, as the others may go on behind a cut. No I/O; times are
in seconds, rates in requests per second. See docs/design/instance-limits.md.
"""

import math
import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import home_vms

# A VM that is cut off from all others notices it this much later than they
# do: it first takes their silence for a fault of its own.
VIEW_SETTLE_TIME = 3.0  # seconds
MIN_PART = 1.0  # requests per second of one VM, if the limit allows it
# Time per VM over which the trials of an unconfirmed limit are spread.
TRIAL_SPACING = 1.0  # seconds
MAX_CACHED_SHARES = 10_000
_HASH_RANGE = 2.0**64


class View(typing.NamedTuple):
    """What a VM knows of its fleet.

    ``points_by_domain`` are the entry points for callers in each failure
    domain with instances. ``present_count`` and ``lost_count`` are the VMs
    that are there, this one included, and those that vanished without leaving
    the fleet.
    """

    points_by_domain: dict[str, tuple[home_vms.Vm, ...]]
    present_count: int = 1
    lost_count: int = 0

    @property
    def seen_fraction(self) -> float:
        """Return the fraction of the fleet's VMs that are there."""
        return self.present_count / (self.present_count + self.lost_count)


# The view of a process that has just started, in which it has no share.
_UNKNOWN_FLEET = View({})


def rank_holders(
    instance: documents.Instance,
    points: typing.Sequence[home_vms.Vm],
    rate: float,
) -> tuple[str, ...]:
    """Return the ids of the VMs that hold parts of an instance's limit."""
    seed = home_vms.hash_seed(instance.id)
    ranked = sorted(
        points,
        key=lambda vm: (home_vms.rendezvous_weight(seed, vm.id), vm.id),
        reverse=True,
    )
    count = max(1, int(rate / MIN_PART))
    return tuple(vm.id for vm in ranked[:count])


class WholeLimit:
    """The shares of a VM that is alone: it has the whole of each limit."""

    def share(
        self, instance: documents.Instance, rate: float, now: float
    ) -> float:
        """Return the share of an instance's limit, from 0 to 1."""
        return 1.0

    def is_first_holder(self, instance: documents.Instance) -> bool:
        """Return whether this VM keeps the others informed of a limit."""
        return True

    def trial_delay(self, instance: documents.Instance) -> float:
        """Return how long to leave a due trial to other VMs, in seconds."""
        return 0.0


class LimitShares:
    """The shares of one VM of a fleet."""

    def __init__(self, vm_id: str) -> None:
        self._vm_id = vm_id
        # The latest view and those that it replaced in the settle time, each
        # with the time at which it began.
        self._views: list[tuple[float, View]] = [(-math.inf, _UNKNOWN_FLEET)]
        self._share_by_key: dict[tuple[str, str, float], float] = {}

    @property
    def view(self) -> View:
        """Return the latest view."""
        return self._views[-1][1]

    def set_view(self, view: View, now: float) -> None:
        """Set the view of the fleet."""
        if view == self.view:
            return
        self._views.append((now, view))
        self._share_by_key.clear()

    def share(
        self, instance: documents.Instance, rate: float, now: float
    ) -> float:
        """Return this VM's share of an instance's limit, from 0 to 1.

        It is the smallest share of any view in the settle time.
        """
        self._drop_settled(now)
        key = (instance.id, instance.domain, rate)
        cached = self._share_by_key.get(key)
        if cached is not None:
            return cached
        if len(self._share_by_key) >= MAX_CACHED_SHARES:
            self._share_by_key.clear()
        share = min(
            self._share_in(view, instance, rate) for _, view in self._views
        )
        self._share_by_key[key] = share
        return share

    def is_first_holder(self, instance: documents.Instance) -> bool:
        """Return whether this VM ranks first among the holders now."""
        points = self.view.points_by_domain.get(instance.domain, ())
        return rank_holders(instance, points, MIN_PART) == (self._vm_id,)

    def trial_delay(self, instance: documents.Instance) -> float:
        """Return how long to leave a due trial to other VMs, in seconds.

        The delays of the VMs are spread, so that few of them send a trial
        before the first answer is known to all.
        """
        weight = home_vms.rendezvous_weight(
            home_vms.hash_seed(instance.id), self._vm_id
        )
        return TRIAL_SPACING * self.view.present_count * weight / _HASH_RANGE

    def _drop_settled(self, now: float) -> None:
        """Drop the views that were replaced before the settle time."""
        while (
            len(self._views) > 1
            and self._views[1][0] <= now - VIEW_SETTLE_TIME
        ):
            del self._views[0]
            self._share_by_key.clear()

    def _share_in(
        self, view: View, instance: documents.Instance, rate: float
    ) -> float:
        points = view.points_by_domain.get(instance.domain, ())
        holder_ids = rank_holders(instance, points, rate)
        if self._vm_id not in holder_ids:
            return 0.0
        return view.seen_fraction / len(holder_ids)
