"""Defines the types of the faults of a configuration document."""

import typing


class Malformed(typing.NamedTuple):
    """A value is not JSON or does not have the expected type."""

    key: str
    detail: str


class ValueTooLarge(typing.NamedTuple):
    """A value is larger than the store accepts; sizes are in bytes."""

    key: str
    size: int
    limit: int


class MissingPart(typing.NamedTuple):
    """The index refers to a part that does not exist."""

    key: str


class WrongDigest(typing.NamedTuple):
    """The bytes of a part do not have the digest given in the index."""

    key: str
    expected: str
    actual: str


class OutOfRange(typing.NamedTuple):
    """A number lies outside its allowed range, bounds inclusive."""

    key: str
    field: str
    value: float
    lowest: float
    highest: float


class BadAddress(typing.NamedTuple):
    """An address is not an IP address with a port."""

    key: str
    instance_id: str
    address: str


class BadName(typing.NamedTuple):
    """A name is empty or contains characters that keys may not contain."""

    key: str
    field: str
    value: str


class Duplicate(typing.NamedTuple):
    """A value that must be unique occurs more than once."""

    key: str
    field: str
    value: str


class UnknownDomain(typing.NamedTuple):
    """An instance's failure domain is not listed in the index."""

    key: str
    instance_id: str
    domain: str


class FloorOverInstances(typing.NamedTuple):
    """The floor is higher than the number of instances in service."""

    key: str
    floor: int
    instances: int


class UnknownState(typing.NamedTuple):
    """An instance's state is not known to the fleet."""

    key: str
    instance_id: str
    state: str


class NameMismatch(typing.NamedTuple):
    """A value contains another name or revision than its key."""

    key: str
    field: str
    expected: str
    actual: str


class WrongFleet(typing.NamedTuple):
    """The document belongs to another fleet."""

    expected: str
    actual: str


class OlderVersion(typing.NamedTuple):
    """The offered version is older than the one in force."""

    in_force: int
    offered: int


class ConflictingVersion(typing.NamedTuple):
    """Different contents were published under one version."""

    version: int
    digest_in_force: str
    digest_offered: str


class DuplicateCaller(typing.NamedTuple):
    """A caller has limits in two shards; ``key`` is the later one."""

    key: str
    caller: str
    other_key: str


class UnknownField(typing.NamedTuple):
    """A value has a field that its type does not have; VMs ignore it."""

    key: str
    field: str
    allowed: str


class MalformedLine(typing.NamedTuple):
    """A line of a document file has no tab after its key."""

    line: int


class DuplicateLine(typing.NamedTuple):
    """A key occurs on two lines of a file; ``line`` is the later one."""

    key: str
    line: int


Fault = (
    Malformed
    | ValueTooLarge
    | MissingPart
    | WrongDigest
    | OutOfRange
    | BadAddress
    | BadName
    | Duplicate
    | UnknownDomain
    | FloorOverInstances
    | UnknownState
    | NameMismatch
    | WrongFleet
    | OlderVersion
    | ConflictingVersion
    | DuplicateCaller
    | UnknownField
    | MalformedLine
    | DuplicateLine
)


def describe(fault: typing.NamedTuple) -> str:
    """Return a line for operators with the type and fields of a fault."""
    fields = ", ".join(
        f"{name}={value!r}"
        for name, value in zip(fault._fields, fault, strict=True)
    )
    return f"{type(fault).__name__}: {fields}"
