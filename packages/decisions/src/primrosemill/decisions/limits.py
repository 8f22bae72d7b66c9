"""Limits the requests of each caller with one number of state for each.

The limit is a token bucket in the form of the generic cell rate algorithm
(ITU-T I.371): the state is the time at which the caller's bucket is full
again. A caller whose bucket is full needs no entry.

A document's limit is an allowance at one service over the whole fleet, and
no VM tells another what it let in. See docs/design/caller-limits.md for the
share of it that each VM grants.
"""

import math
import typing

import xxhash

from primrosemill.configuration import document as documents
from primrosemill.decisions import addresses
from primrosemill.decisions import homes as home_vms

CAPACITY = 65_536  # callers with an entry on one VM
SHARED_BUCKETS = 256  # for callers beyond the capacity
MOST_RETRY_AFTER = 3_600.0  # seconds
SWEEP_STEPS = 4  # entries looked at for each request


class OverLimit(typing.NamedTuple):
    """A request is over its caller's limit.

    ``retry_after`` is in seconds, and infinite where nothing is allowed.
    """

    retry_after: float


def share_of(
    vm: home_vms.Vm,
    caller: str,
    homes: typing.Sequence[home_vms.Vm],
    vm_count: int,
) -> float:
    """Return the share of a caller's limit that a VM grants at a service.

    The home that callers of its failure domain are told first grants all of
    it, another home an equal share among homes, and a VM that is no home an
    equal share among all VMs.
    """
    if vm not in homes:
        return 1.0 / max(1, vm_count)
    neighbours = [each for each in homes if each.domain == vm.domain]
    if addresses.first_home(caller, neighbours) == vm:
        return 1.0
    return 1.0 / len(homes)


class CallerLimits:
    """Keeps the buckets of callers on one VM, in bounded memory."""

    def __init__(
        self,
        capacity: int = CAPACITY,
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
        """Count a request and return None, or return that it is too much."""
        if limit.rate <= 0 or limit.burst <= 0:
            return OverLimit(math.inf)
        self._forget_full(now)
        key = self._find_key(service, caller)
        interval = 1.0 / (limit.rate * share)
        allowance = interval * max(1.0, limit.burst * share)
        full_at = max(now, self._full_at_by_key.get(key, now)) + interval
        excess = full_at - now - allowance
        # A nanosecond forgives the rounding of sums of intervals.
        if excess > 1e-9:
            return OverLimit(excess)
        self._full_at_by_key[key] = full_at
        return None

    def _find_key(self, service: str, caller: str) -> int:
        """Return the bucket's key; late callers share some when it is full.

        A new bucket in place of an old one would be a way around the limit.
        """
        seed = xxhash.xxh3_64_intdigest(service.encode())
        key = xxhash.xxh3_64_intdigest(caller.encode(), seed)
        if key in self._full_at_by_key:
            return key
        if len(self._full_at_by_key) < self._capacity:
            return key
        return key % self._shared_buckets

    def _forget_full(self, now: float) -> None:
        """Drop entries that say nothing any more, a few at a time."""
        for _ in range(SWEEP_STEPS):
            key = next(self._sweep, None)
            if key is None:
                self._sweep = iter(list(self._full_at_by_key))
                return
            if self._full_at_by_key.get(key, math.inf) <= now:
                del self._full_at_by_key[key]


def limit_of(document: documents.Document, caller: str) -> documents.Limit:
    """Return a caller's limit; one without an entry gets the default."""
    return document.limits_by_caller.get(caller, document.default_limit)
