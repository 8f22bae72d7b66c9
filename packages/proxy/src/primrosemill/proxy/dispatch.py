"""Makes requests wait for a slot of their service, first come first served."""

import collections

import trio

from primrosemill.configuration import document as documents
from primrosemill.decisions import outcomes
from primrosemill.proxy import plugs

QUEUE_LIMIT = 1000  # requests


class _Waiter:
    """A request in the queue, and the instance it was granted."""

    def __init__(self, excluded: frozenset[str]) -> None:
        self.excluded = excluded
        self.granted = trio.Event()
        self.instance: documents.Instance | None = None


class Dispatcher:
    """Grants the slots of one service and queues who finds none."""

    def __init__(
        self, table: plugs.SlotTable, queue_limit: int = QUEUE_LIMIT
    ) -> None:
        self._table = table
        self._queue_limit = queue_limit
        self._waiters: collections.deque[_Waiter] = collections.deque()

    @property
    def waiting(self) -> int:
        """Return the number of requests in the queue."""
        return len(self._waiters)

    def set_service(self, service: documents.Service) -> None:
        """Take a new revision."""
        self._table.set_service(service)
        self.wake()

    def wake(self) -> None:
        """Grant what slots are free to those who wait, in their order.

        Call it when a slot may have become free other than by a release,
        for instance as the share of a cold instance grows.
        """
        while self._waiters:
            waiter = self._waiters[0]
            waiter.instance = self._try(waiter.excluded)
            if waiter.instance is None:
                return
            self._waiters.popleft()
            waiter.granted.set()

    async def acquire(
        self, excluded: frozenset[str]
    ) -> documents.Instance | plugs.Refused:
        """Take a slot, waiting until one is free or the task is cancelled."""
        if not self._waiters:
            instance = self._try(excluded)
            if instance is not None:
                return instance
        if len(self._waiters) >= self._queue_limit:
            return plugs.Refused(outcomes.RefusalReason.QUEUE_FULL)
        waiter = _Waiter(excluded)
        self._waiters.append(waiter)
        try:
            await waiter.granted.wait()
        except trio.Cancelled:
            self._leave(waiter)
            raise
        return waiter.instance

    def try_acquire(
        self, excluded: frozenset[str]
    ) -> documents.Instance | None:
        """Take a slot if one is free now that nobody waits for."""
        return None if self._waiters else self._table.acquire(excluded)

    def release(self, instance_id: str) -> None:
        """Give a slot back and grant it to the request that waits longest."""
        self._table.release(instance_id)
        self.wake()

    def _try(self, excluded: frozenset[str]) -> documents.Instance | None:
        instance = self._table.acquire(excluded)
        if instance is None and excluded:
            # What a request avoids is a wish: a slot of the instance that
            # it avoids is better than none.
            instance = self._table.acquire(frozenset())
        return instance

    def _leave(self, waiter: _Waiter) -> None:
        if waiter.instance is not None:
            self.release(waiter.instance.id)
            return
        self._waiters.remove(waiter)
