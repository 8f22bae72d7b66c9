"""Queues the messages of one request between connection and application."""

import collections

import trio

from primrosemill.proxy import asgi


class Inbox:
    """A bounded queue with one reader that costs no pass while it moves."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._messages: collections.deque[asgi.Message] = collections.deque()
        self._reader = trio.lowlevel.ParkingLot()
        self._writers = trio.lowlevel.ParkingLot()

    async def put(self, message: asgi.Message) -> None:
        """Add a message; a piece of an upload waits for space.

        The news that the caller left is never held up, as its reader may
        not read on.
        """
        bounded = message["type"] == "http.request"
        while bounded and len(self._messages) >= self._limit:
            await self._writers.park()
        self._messages.append(message)
        self._reader.unpark()

    async def get(self) -> asgi.Message:
        """Take the oldest message, waiting for one."""
        while not self._messages:
            await self._reader.park()
        message = self._messages.popleft()
        self._writers.unpark()
        return message

    def stop(self) -> None:
        """Drop all messages, now and later; nobody reads any more."""
        self._messages.clear()
        self._limit = 2**62
        self._writers.unpark_all()
