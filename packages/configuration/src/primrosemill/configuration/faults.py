"""Types of every fault that a configuration document can have."""

import typing


class Malformed(typing.NamedTuple):
    """A value is no JSON or lacks the expected form."""

    key: str
    detail: str


class ValueTooLarge(typing.NamedTuple):
    """A value is larger than the store holds; sizes are in bytes."""

    key: str
    size: int
    limit: int


class MissingPart(typing.NamedTuple):
    """The index names a part that is not there."""

    key: str


class WrongDigest(typing.NamedTuple):
    """A part is not the one that the index names."""

    key: str
    expected: str
    actual: str


class OutOfRange(typing.NamedTuple):
    """A number lies outside its allowed range, ends included."""

    key: str
    field: str
    value: float
    lowest: float
    highest: float


class BadAddress(typing.NamedTuple):
    """An address is no IP number with a port."""

    key: str
    instance_id: str
    address: str


class BadName(typing.NamedTuple):
    """A name is empty or holds characters that keys do not."""

    key: str
    field: str
    value: str


class Duplicate(typing.NamedTuple):
    """Something that must be unique stands twice."""

    key: str
    field: str
    value: str


class UnknownDomain(typing.NamedTuple):
    """An instance lies in a failure domain that the index does not name."""

    key: str
    instance_id: str
    domain: str


class FloorOverInstances(typing.NamedTuple):
    """The floor asks for more instances than are in service."""

    key: str
    floor: int
    instances: int


class UnknownState(typing.NamedTuple):
    """An instance's state is none that the fleet knows."""

    key: str
    instance_id: str
    state: str


class NameMismatch(typing.NamedTuple):
    """A value holds another name or revision than its key."""

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
    """Two contents were published under one version."""

    version: int
    digest_in_force: str
    digest_offered: str


class DuplicateCaller(typing.NamedTuple):
    """A caller has a limit in two shards; the key is the later one."""

    key: str
    caller: str
    other_key: str


class UnknownField(typing.NamedTuple):
    """A value has a field that its form lacks; VMs ignore it."""

    key: str
    field: str
    allowed: str


class MalformedLine(typing.NamedTuple):
    """A line of a document file has no tab after its key."""

    line: int


class DuplicateLine(typing.NamedTuple):
    """A key stands on two lines of a document file; this is the later."""

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
    """Return one line for an operator: the type and each field of a fault."""
    fields = ", ".join(
        f"{name}={value!r}"
        for name, value in zip(fault._fields, fault, strict=True)
    )
    return f"{type(fault).__name__}: {fields}"
