"""Estimates whether a service loses more requests than by sporadic errors.

A VM that serves all its own requests does not see that others lose theirs. So
VMs that lose requests tell the others how many, and each adds that up. Times
are in seconds, rates in requests per second.
"""

import math
import typing

from primrosemill.decisions import request_losses

# Time in which the weight of an outcome falls to 1/e.
OUTCOME_DECAY_TIME = 1.5  # seconds
# A VM that loses more than this loses more than by sporadic errors.
MIN_LOST_SHARE = 0.05
# The operator measures the floor while more than this share of the requests of
# a window is not served. A service is degraded while its loss is so high that
# chance alone may lift a window above it: by this many standard deviations.
MAX_UNSERVED_SHARE = 0.1
UNSERVED_WINDOW = 2.0  # seconds
DEVIATIONS = 2.0
# The earliest sign of a degraded service, which is often a wrong one.
EARLY_DEVIATIONS = 4.0
MEAN_TIME = 6.0  # seconds over which the rates of the fleet are averaged
LATE_WEIGHT = 0.01  # of the latest answer in the share that counts falsely
NEGLIGIBLE_LOSS = 0.01  # requests, or requests per second
MIN_LOST_REQUESTS = 2.0  # fewer don't indicate a degraded service
# A single loss is reported, as it may be one of many over the fleet. A weight
# below 1 allows for its decay.
MIN_REPORTED_LOSSES = 0.8
# A VM without losses reports its requests while others report losses, if it
# has any: a share needs both. They change slowly.
MIN_REPORTED_REQUESTS = 0.1
TOTAL_INTERVAL = 2.0  # seconds between two reports of a VM that loses none
TOTAL_LIFETIME = 5.0  # seconds that a reported rate of requests is valid
REPORT_INTERVAL = 0.5  # seconds between two reports of a VM that loses some
CHECK_INTERVAL = 0.1  # seconds between checks for something to report
# A report is valid for two intervals, and for what a busy VM is late.
REPORT_LIFETIME = 1.5  # seconds
MAX_REPORTERS = 1_000  # VMs whose reports are kept


class Report(typing.NamedTuple):
    """The rates at which a VM gets requests for a service and loses them."""

    lost_rate: float
    total_rate: float


class _PeerRate(typing.NamedTuple):
    rate: float
    received_at: float


class _PeerRates:
    """The latest rate that each peer reported, and their sum."""

    def __init__(self, lifetime: float) -> None:
        self._lifetime = lifetime
        # In the order of their times.
        self._rates_by_id: dict[str, _PeerRate] = {}
        self.sum = 0.0

    def __len__(self) -> int:
        return len(self._rates_by_id)

    def __contains__(self, vm_id: str) -> bool:
        return vm_id in self._rates_by_id

    def record(self, vm_id: str, rate: float, now: float) -> None:
        """Record what a peer reports now."""
        self.forget(vm_id)
        self._rates_by_id[vm_id] = _PeerRate(rate, now)
        self.sum += rate

    def forget(self, vm_id: str) -> None:
        """Drop what a peer has reported, if anything."""
        known = self._rates_by_id.pop(vm_id, None)
        if known is not None:
            self.sum -= known.rate
        if not self._rates_by_id:
            self.sum = 0.0

    def drop_expired(self, now: float) -> None:
        """Drop the rates that have expired; the oldest one comes first."""
        while self._rates_by_id:
            vm_id = next(iter(self._rates_by_id))
            received_at = self._rates_by_id[vm_id].received_at
            if now - received_at < self._lifetime:
                return
            self.forget(vm_id)


class ServiceLosses:
    """One VM's estimate for one service.

    ``vm_count`` is the number of VMs that callers of the fleet are sent to.
    """

    def __init__(self) -> None:
        self.vm_count = 1
        self._served = 0.0
        self._lost = 0.0
        self._decayed_at = -math.inf
        self._peer_losses = _PeerRates(REPORT_LIFETIME)
        self._peer_totals = _PeerRates(TOTAL_LIFETIME)
        self._reported_at = -math.inf
        self._retracted_at = -math.inf
        self._suspected_at = -math.inf
        # The mean part of a served request that counts as lost, as its answer
        # is overdue at first.
        self._late_share = 0.0
        self._mean_rates: Report | None = None
        self._updated_at = -math.inf

    def record_end(
        self, request: request_losses.RequestLoss, served: bool, now: float
    ) -> None:
        """Record whether a request that has ended was served."""
        late = 0.0
        if request.counted_at is None:
            self._count(served, request.weight, now)
        elif served:
            late = self._retract(request.counted_at, request.weight, now)
        if served:
            self._late_share += LATE_WEIGHT * (late - self._late_share)

    def record_overdue(
        self, request: request_losses.RequestLoss, now: float
    ) -> None:
        """Count a request as lost if its answer is overdue."""
        if request.counted_at is None and request.is_overdue(now):
            request.counted_at = now
            self._count(False, request.weight, now)

    def _count(self, served: bool, loss_weight: float, now: float) -> None:
        self._decay(now)
        lost = 0.0 if served else loss_weight
        self._lost += lost
        self._served += 1.0 - lost

    def _retract(
        self, counted_at: float, loss_weight: float, now: float
    ) -> float:
        """Count a request as served that was counted as lost before.

        Returns how much of a loss it has counted as, until now.
        """
        self._decay(now)
        decay = math.exp((counted_at - now) / OUTCOME_DECAY_TIME)
        self._lost = max(0.0, self._lost - loss_weight * decay)
        self._served += 1.0 - (1.0 - loss_weight) * decay
        self._retracted_at = now
        return loss_weight * (1.0 - decay)

    def record_peer(self, vm_id: str, report: Report, now: float) -> None:
        """Record what another VM reports."""
        known = vm_id in self._peer_totals
        if not known and len(self._peer_totals) >= MAX_REPORTERS:
            self._drop_expired(now)
            if len(self._peer_totals) >= MAX_REPORTERS:
                return
        self._peer_totals.record(vm_id, report.total_rate, now)
        self._peer_losses.forget(vm_id)
        if report.lost_rate * OUTCOME_DECAY_TIME >= MIN_REPORTED_LOSSES:
            self._peer_losses.record(vm_id, report.lost_rate, now)

    def take_report(self, now: float) -> Report | None:
        """Return what is to be reported to other VMs now, or None.

        Called at regular intervals, as it also updates the mean rates.
        """
        self._update_mean_rates(now)
        if now - self._reported_at < REPORT_INTERVAL:
            return None
        if (
            not self._has_losses_to_report(now)
            and not self._is_correction_due(now)
            and not self._is_total_due(now)
        ):
            return None
        self._reported_at = now
        return self.own_rates()

    def _is_correction_due(self, now: float) -> bool:
        """Return whether peers still count what was served after all."""
        return (
            self._retracted_at >= self._reported_at
            and now - self._reported_at < REPORT_LIFETIME
        )

    def _is_total_due(self, now: float) -> bool:
        """Return whether this VM's requests count for the losses of others.

        They do while others report losses that may be too many.
        """
        if now - self._reported_at < TOTAL_INTERVAL:
            return False
        if self._served + self._lost < MIN_REPORTED_REQUESTS:
            return False
        self._drop_expired(now)
        if not self._peer_losses:
            return False
        rates = self.fleet_rates(now)
        tolerated = tolerated_share(rates.total_rate)
        return rates.lost_rate > tolerated * rates.total_rate / 2.0

    def may_be_failing(self, now: float) -> bool:
        """Return whether the losses of the fleet begin to be too many.

        It holds for a while, as losses show some time after they are caused.
        """
        if self._is_suspect(now):
            self._suspected_at = now
        return now - self._suspected_at < UNSERVED_WINDOW

    def _is_suspect(self, now: float) -> bool:
        # Most services have no losses, and a VM checks all of them often.
        if not self._peer_losses and self._lost < NEGLIGIBLE_LOSS:
            return False
        rates = self.fleet_rates(now)
        if rates.lost_rate * OUTCOME_DECAY_TIME < MIN_LOST_REQUESTS:
            return False
        tolerated = tolerated_share(rates.total_rate, EARLY_DEVIATIONS)
        return rates.lost_rate > tolerated * rates.total_rate

    def is_failing(self, now: float) -> bool:
        """Return whether the fleet loses so much that the floor applies.

        A high loss is noticed at once. One that is only likely to rise to the
        operator's limit by chance has to last, as the estimate of a short
        time varies as much as the loss of a window.
        """
        rates = self.fleet_rates(now)
        if rates.lost_rate * OUTCOME_DECAY_TIME < MIN_LOST_REQUESTS:
            return False
        lost_share = rates.lost_rate / rates.total_rate
        tolerated = tolerated_share(rates.total_rate)
        if lost_share > (tolerated + MAX_UNSERVED_SHARE) / 2.0:
            return True
        if lost_share < tolerated / 2.0:
            return False
        mean = self._mean_rates
        return mean is not None and (
            mean.lost_rate > tolerated * mean.total_rate
        )

    def _update_mean_rates(self, now: float) -> None:
        """Update the mean rates of the fleet.

        They are not kept while nobody loses requests, as a VM has many
        services.
        """
        if self._is_without_losses(now):
            self._mean_rates = None
            return
        rates = self.fleet_rates(now)
        mean = self._mean_rates
        if mean is None:
            mean = Report(0.0, rates.total_rate)
            self._updated_at = now
        weight = -math.expm1((self._updated_at - now) / MEAN_TIME)
        self._updated_at = now
        self._mean_rates = Report(
            mean.lost_rate + weight * (rates.lost_rate - mean.lost_rate),
            mean.total_rate + weight * (rates.total_rate - mean.total_rate),
        )

    def _is_without_losses(self, now: float) -> bool:
        if self._peer_losses:
            return False
        if self._lost:
            self._decay(now)
        if self._lost > NEGLIGIBLE_LOSS:
            return False
        mean = self._mean_rates
        return mean is None or mean.lost_rate < NEGLIGIBLE_LOSS

    def fleet_rates(self, now: float) -> Report:
        """Return the estimated rates of the fleet.

        VMs that have not reported yet are taken to get as many requests as
        those that have, on average, and to lose none.
        """
        self._decay(now)
        self._drop_expired(now)
        own = self.own_rates()
        known_count = 1 + len(self._peer_totals)
        vm_count = max(known_count, self.vm_count)
        known_rate = own.total_rate + self._peer_totals.sum
        lost_rate = own.lost_rate + self._peer_losses.sum
        total_rate = known_rate * vm_count / known_count
        # A peer's report may be invalid: more losses than requests.
        total_rate = max(lost_rate, total_rate)
        expected = self._late_share * total_rate
        return Report(max(0.0, lost_rate - expected), total_rate)

    @property
    def reporter_count(self) -> int:
        """Return the number of other VMs that report their rates."""
        return len(self._peer_totals)

    def own_rates(self) -> Report:
        """Return this VM's own rates, as of the latest record or query."""
        return Report(
            self._lost / OUTCOME_DECAY_TIME,
            (self._served + self._lost) / OUTCOME_DECAY_TIME,
        )

    def _has_losses_to_report(self, now: float) -> bool:
        """Return whether this VM loses more than by sporadic errors."""
        self._decay(now)
        total = self._served + self._lost
        return (
            self._lost >= MIN_REPORTED_LOSSES
            and self._lost > MIN_LOST_SHARE * total
        )

    def _decay(self, now: float) -> None:
        decay = math.exp((self._decayed_at - now) / OUTCOME_DECAY_TIME)
        self._served *= decay
        self._lost *= decay
        self._decayed_at = now

    def _drop_expired(self, now: float) -> None:
        self._peer_losses.drop_expired(now)
        self._peer_totals.drop_expired(now)


def tolerated_share(
    total_rate: float, deviations: float = DEVIATIONS
) -> float:
    """Return the lost share above which a service is degraded.

    It is the share p at which some standard deviations, sqrt(p / n), of the
    share that is lost in a window of n requests lead to the maximum.
    """
    deviation = deviations / math.sqrt(max(1.0, total_rate * UNSERVED_WINDOW))
    root = math.sqrt(deviation * deviation + 4.0 * MAX_UNSERVED_SHARE)
    return ((root - deviation) / 2.0) ** 2
