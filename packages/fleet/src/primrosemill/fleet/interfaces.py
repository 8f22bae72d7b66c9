"""Declares what the fleet reads from the platform, and the faults of reading.

An adapter for another protocol of the platform implements ``Store`` and
``VmList``.
"""

import typing

import expression


class Unreachable(typing.NamedTuple):
    """The platform refused the connection or closed it without an answer."""

    target: str
    detail: str


class TimedOut(typing.NamedTuple):
    """The platform's answer was not complete within the time limit."""

    target: str
    seconds: float


class TooLarge(typing.NamedTuple):
    """The platform's answer is larger than the limit of a value."""

    target: str
    limit: int


class Refused(typing.NamedTuple):
    """The platform answered with an error status."""

    target: str
    status: int


class BadAnswer(typing.NamedTuple):
    """The platform's answer does not have the documented form."""

    target: str
    detail: str


class AbsentKey(typing.NamedTuple):
    """The store holds no value under the key."""

    key: str


PlatformFault = (
    Unreachable | TimedOut | TooLarge | Refused | BadAnswer | AbsentKey
)


class ListedVm(typing.NamedTuple):
    """One entry of the VM list, which may be out of date."""

    id: str
    ip: str
    domain: str
    leaving: bool


class Store(typing.Protocol):
    """The configuration service, which can only be read and watched.

    Each method call counts as one call against the platform's budget, however
    long a watch waits. A store may serve stale data, so a value other than
    the known one may also be an older one.
    """

    async def read(self, key: str) -> expression.Result[bytes, PlatformFault]:
        """Return the value of a key."""
        ...

    async def watch(
        self, key: str, known: str, wait: float
    ) -> expression.Result[bytes | None, PlatformFault]:
        """Wait up to ``wait`` seconds for a value other than the known one.

        ``known`` is the digest of the value that the reader holds. Returns
        None if nothing changed.
        """
        ...


class VmList(typing.Protocol):
    """The list of live and leaving VMs."""

    async def read(
        self,
    ) -> expression.Result[tuple[ListedVm, ...], PlatformFault]:
        """Return the VMs that are listed now."""
        ...
