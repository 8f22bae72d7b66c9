"""Rate limits for the requests of each caller.

A limit is a token bucket, implemented with the generic cell rate algorithm
(ITU-T I.371): the only state is the time at which the caller's bucket is full
again. A caller whose bucket is full needs no entry.

A limit in the configuration document applies to one service over the whole
fleet. VMs don't exchange what they admitted; each grants a share of the
limit, as described in docs/design/caller-limits.md.
"""

import math
import typing

import xxhash

from primrosemill.configuration import document as documents
from primrosemill.decisions import addresses
from primrosemill.decisions import home_vms

MAX_CALLERS = 65_536  # callers with a bucket of their own on one VM
SHARED_BUCKETS = 256  # shared by the callers beyond that
MAX_RETRY_AFTER = 3_600.0  # seconds
SWEPT_PER_REQUEST = 4  # entries checked for a full bucket per request


class OverLimit(typing.NamedTuple):
    """The refusal of a request that exceeds its caller's limit.

    ``retry_after`` is in seconds, and infinite if the limit allows nothing.
    """

    retry_after: float


def vm_share(
    vm: home_vms.Vm,
    caller: str,
    homes: typing.Sequence[home_vms.Vm],
    vm_count: int,
) -> float:
    """Return the share of a caller's limit that a VM grants at a service.

    ``homes`` are the service's home VMs, to which its callers are directed.
    In each failure domain, the home that the caller is given first grants the
    whole limit. Other homes grant an equal share among the homes, and other
    VMs an equal share among all VMs.
    """
    if vm not in homes:
        return 1.0 / max(1, vm_count)
    local_homes = [each for each in homes if each.domain == vm.domain]
    if addresses.first_home(caller, local_homes) == vm:
        return 1.0
    return 1.0 / len(homes)


class CallerLimits:
    """The token buckets of the callers of one VM, in bounded memory."""

    def __init__(
        self,
        capacity: int = MAX_CALLERS,
        shared_buckets: int = SHARED_BUCKETS,
    ) -> None:
        self._capacity = capacity
        self._shared_buckets = shared_buckets
        self._full_at_by_key: dict[int, float] = {}
        self._sweep: typing.Iterator[int] = iter(())

    def __len__(self) -> int:
        return len(self._full_at_by_key)

    def take(
        self,
        service: str,
        caller: str,
        limit: documents.Limit,
        share: float,
        now: float,
    ) -> OverLimit | None:
        """Admit a request and return None, or return its refusal."""
        if limit.rate <= 0 or limit.burst <= 0:
            return OverLimit(math.inf)
        self._sweep_full(now)
        key = self._bucket_key(service, caller)
        interval = 1.0 / (limit.rate * share)
        allowance = interval * max(1.0, limit.burst * share)
        full_at = max(now, self._full_at_by_key.get(key, now)) + interval
        excess = full_at - now - allowance
        # One nanosecond of tolerance for the rounding of sums of intervals.
        if excess > 1e-9:
            return OverLimit(excess)
        self._full_at_by_key[key] = full_at
        return None

    def _bucket_key(self, service: str, caller: str) -> int:
        """Return the key of a caller's bucket.

        When the table is full, new callers share buckets. Replacing an old
        entry instead would let its caller evade the limit.
        """
        seed = xxhash.xxh3_64_intdigest(service.encode())
        key = xxhash.xxh3_64_intdigest(caller.encode(), seed)
        if key in self._full_at_by_key:
            return key
        if len(self._full_at_by_key) < self._capacity:
            return key
        return key % self._shared_buckets

    def _sweep_full(self, now: float) -> None:
        """Drop the entries of full buckets, a few at a time."""
        for _ in range(SWEPT_PER_REQUEST):
            key = next(self._sweep, None)
            if key is None:
                self._sweep = iter(list(self._full_at_by_key))
                return
            if self._full_at_by_key.get(key, math.inf) <= now:
                del self._full_at_by_key[key]


def limit_of(document: documents.Document, caller: str) -> documents.Limit:
    """Return a caller's limit, or the default if it has no entry."""
    return document.limits_by_caller.get(caller, document.default_limit)
