"""Grants tokens of the caps that this VM holds."""

import typing

from primrosemill.configuration import document as documents

from primrosemill.decisions.customers import cap_authority
from primrosemill.decisions.customers import cap_bucket
from primrosemill.decisions.customers import cap_messages
from primrosemill.decisions.customers import caps


class CapHolder:
    """The buckets of the customers whose caps one VM holds."""

    def __init__(
        self, authority: cap_authority.Authority, bound: caps.Bound
    ) -> None:
        self._authority = authority
        self._bound = bound
        self._buckets_by_id: dict[int, cap_bucket.Bucket] = {}

    def clear(self) -> None:
        """Drop all buckets, as others may have granted meanwhile."""
        self._buckets_by_id.clear()

    def drop_lost(self, vm_id: str) -> None:
        """Drop the buckets of slots that another VM holds now."""
        for identifier in list(self._buckets_by_id):
            if self._authority.holder(caps.slot_of(identifier)) != vm_id:
                del self._buckets_by_id[identifier]

    def drop_slot(self, slot: int) -> None:
        """Drop the buckets of a slot that was given to another VM."""
        for identifier in list(self._buckets_by_id):
            if caps.slot_of(identifier) == slot:
                del self._buckets_by_id[identifier]

    def drop_others(self, identifiers: typing.Container[int]) -> None:
        """Drop the buckets of customers that have no cap any more."""
        for identifier in list(self._buckets_by_id):
            if identifier not in identifiers:
                del self._buckets_by_id[identifier]

    @property
    def bucket_count(self) -> int:
        """Return the number of customers with a bucket."""
        return len(self._buckets_by_id)

    def identifiers(self) -> list[int]:
        """Return the ids of the customers with a bucket."""
        return list(self._buckets_by_id)

    def grant(
        self,
        customer: documents.Customer,
        ask: cap_messages.Ask,
        now: float,
        from_peer: bool = True,
    ) -> cap_messages.Grant:
        """Grant what the customer's bucket has, if this VM holds its cap."""
        identifier = ask.customer_id
        slot = caps.slot_of(identifier)
        fraction = self._authority.fraction(slot, now)
        if fraction <= 0.0:
            return cap_messages.Grant(identifier, 0, 0, 0)
        bucket = self._buckets_by_id.get(identifier)
        if bucket is None:
            since = self._authority.since(slot, now)
            bucket = cap_bucket.Bucket(since)
            self._buckets_by_id[identifier] = bucket
        part = caps.divide(customer, self._bound)
        bucket.set_rate(
            customer.rate * part.rate_factor * fraction,
            caps.bucket_depth(customer, fraction, now - bucket.since),
            part.pool * fraction,
            now,
        )
        if from_peer:
            bucket.count_request(now)
        bucket.end_loans(ask.used_loans)
        granted = bucket.take(ask.wanted, now)
        if granted >= ask.wanted:
            lent = bucket.lend(ask.loans, now)
            return cap_messages.Grant(identifier, granted, 1, 0, lent)
        turn = bucket.next_turn(ask.wanted - granted, now)
        return cap_messages.Grant(
            identifier,
            granted,
            max(1, round(bucket.pause() * cap_messages.MILLI)),
            round(turn * cap_messages.MILLI),
        )
