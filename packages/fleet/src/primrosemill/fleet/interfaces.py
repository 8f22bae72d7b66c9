"""Declares what the fleet reads from the platform.

Another wire form is an adapter that offers these two protocols.
"""

import typing

import expression


class Unreachable(typing.NamedTuple):
    """The platform took no connection, or closed it without an answer."""

    target: str
    detail: str


class TimedOut(typing.NamedTuple):
    """The platform's whole answer did not come within the limit."""

    target: str
    seconds: float


class TooLarge(typing.NamedTuple):
    """The platform's answer is larger than a value can be."""

    target: str
    limit: int


class Refused(typing.NamedTuple):
    """The platform answered with an error status."""

    target: str
    status: int


class BadAnswer(typing.NamedTuple):
    """The platform's answer has not the agreed form."""

    target: str
    detail: str


class AbsentKey(typing.NamedTuple):
    """The store holds no value under the key."""

    key: str


PlatformFault = (
    Unreachable | TimedOut | TooLarge | Refused | BadAnswer | AbsentKey
)


class ListedVm(typing.NamedTuple):
    """One line of the VM list, which lags."""

    id: str
    ip: str
    domain: str
    leaving: bool


class Store(typing.Protocol):
    """The configuration service: it can be read and watched only.

    Each call of a method is one call of the platform's budget, however long
    a watch waits. A store may serve a stale view, so a value other than the
    known one may well be an older one.
    """

    async def read(self, key: str) -> expression.Result[bytes, PlatformFault]:
        """Return the value of a key."""
        ...

    async def watch(
        self, key: str, known: str, wait: float
    ) -> expression.Result[bytes | None, PlatformFault]:
        """Wait up to ``wait`` seconds for a value other than the known one.

        ``known`` is the digest of the value that the reader holds; None
        means that nothing changed.
        """
        ...


class VmList(typing.Protocol):
    """The list of live and leaving VMs."""

    async def read(
        self,
    ) -> expression.Result[tuple[ListedVm, ...], PlatformFault]:
        """Return the VMs listed now."""
        ...
