"""Holds published versions in memory for measurements of their spread."""

import typing

import expression
import msgspec
import trio

from primrosemill.configuration import values
from primrosemill.fleet import interfaces

FLEET = "measured"


class MemoryStore:
    """A store in this process; counts its calls."""

    def __init__(self) -> None:
        self.calls = 0
        self._values_by_key: dict[str, bytes] = {}
        self._changed = trio.Event()

    def publish_version(self, version: int) -> None:
        """Publish a small document."""
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
        """Put values, and wake the watches."""
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
        """Wait for another value; None means that nothing changed."""
        self.calls += 1
        with trio.move_on_after(wait):
            while values.digest(self._values_by_key[key]) == known:
                await self._changed.wait()
            return expression.Ok(self._values_by_key[key])
        return expression.Ok(None)


class AbsentStore:
    """A store that this VM can not reach."""

    async def read(
        self, key: str
    ) -> expression.Result[bytes, interfaces.PlatformFault]:
        """Fail."""
        await trio.lowlevel.checkpoint()
        return expression.Error(interfaces.Unreachable(key, "cut"))

    async def watch(
        self, key: str, known: str, wait: float
    ) -> expression.Result[typing.Any, interfaces.PlatformFault]:
        """Fail."""
        return await self.read(key)
