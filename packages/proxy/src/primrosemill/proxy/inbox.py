"""Queues ASGI messages of one request from connection to application."""

import collections

import trio

from primrosemill.proxy import asgi
from primrosemill.proxy import memory


class Inbox:
    """A bounded queue for one reader.

    It runs a scheduler pass only when a task has to wait. The bytes of an
    upload are charged to ``holding`` until the reader releases them.
    """

    def __init__(self, limit: int, holding: memory.account.Holding) -> None:
        self._limit = limit
        self._holding = holding
        self._held = 0
        self._messages: collections.deque[asgi.Message] = collections.deque()
        self._reader = trio.lowlevel.ParkingLot()
        self._writers = trio.lowlevel.ParkingLot()

    async def put(self, message: asgi.Message) -> None:
        """Add a message; a chunk of an upload waits for space.

        A disconnect message never waits, as the reader may have stopped
        reading the upload.
        """
        bounded = message["type"] == "http.request"
        if bounded:
            self._hold(len(message.get("body", b"")))
        while bounded and len(self._messages) >= self._limit:
            await self._writers.park()
        self._messages.append(message)
        self._reader.unpark()

    async def get(self) -> asgi.Message:
        """Remove and return the oldest message, waiting if there is none."""
        while not self._messages:
            await self._reader.park()
        message = self._messages.popleft()
        self._writers.unpark()
        return message

    def _hold(self, size: int) -> None:
        if size and not self._held:
            # The kernel fills its buffer while the upload is not read.
            size += memory.sizes.RECEIVE_BUFFER
        self._held += size
        self._holding.charge(memory.account.Kind.BODY, size)

    def release(self, size: int) -> None:
        """Count bytes of the upload that the reader holds no longer."""
        self._held -= size
        self._holding.release(memory.account.Kind.BODY, size)

    def close(self) -> None:
        """Drop all queued messages and never block a writer again."""
        self.release(self._held)
        self._messages.clear()
        self._limit = 2**62
        self._writers.unpark_all()
