"""Provides in-memory stores for measurements of the propagation."""

import typing

import expression
import msgspec
import trio

from primrosemill.configuration import values
from primrosemill.fleet import interfaces

FLEET = "measured"


class MemoryStore:
    """A store in this process that counts the calls."""

    def __init__(self) -> None:
        self.calls = 0
        self._values_by_key: dict[str, bytes] = {}
        self._changed = trio.Event()

    def publish_version(self, version: int) -> None:
        """Publish a version without services."""
        index = {
            "fleet": FLEET,
            "version": version,
            "domains": ["domain-0"],
            "default_limit": {"rate": 1.0, "burst": 1},
            "services_by_name": {},
            "limits_by_shard": {},
        }
        self.publish({values.INDEX_KEY: msgspec.json.encode(index)})

    def publish(self, values_by_key: dict[str, bytes]) -> None:
        """Store values and wake all watches."""
        self._values_by_key.update(values_by_key)
        self._changed.set()
        self._changed = trio.Event()

    async def read(
        self, key: str
    ) -> expression.Result[bytes, interfaces.PlatformFault]:
        """Return the value of a key."""
        self.calls += 1
        await trio.lowlevel.checkpoint()
        if key not in self._values_by_key:
            return expression.Error(interfaces.AbsentKey(key))
        return expression.Ok(self._values_by_key[key])

    async def watch(
        self, key: str, known: str, wait: float
    ) -> expression.Result[typing.Any, interfaces.PlatformFault]:
        """Wait until the digest of a value differs from the known one.

        Returns None after ``wait`` seconds without a change.
        """
        self.calls += 1
        with trio.move_on_after(wait):
            while values.digest(self._values_by_key[key]) == known:
                await self._changed.wait()
            return expression.Ok(self._values_by_key[key])
        return expression.Ok(None)


class UnreachableStore:
    """A store that a VM cannot reach."""

    async def read(
        self, key: str
    ) -> expression.Result[bytes, interfaces.PlatformFault]:
        """Return an error, as for a lost connection."""
        await trio.lowlevel.checkpoint()
        return expression.Error(interfaces.Unreachable(key, "cut"))

    async def watch(
        self, key: str, known: str, wait: float
    ) -> expression.Result[typing.Any, interfaces.PlatformFault]:
        """Return an error, as for a lost connection."""
        return await self.read(key)
