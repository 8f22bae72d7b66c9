"""Types of the faults that a settings file can have.

``file`` and ``line`` give the place, ``allowed`` describes what is allowed
there.
"""

import typing


class UnreadableFile(typing.NamedTuple):
    """The file can't be opened or isn't UTF-8 text."""

    file: str
    detail: str


class MalformedLine(typing.NamedTuple):
    """A line is neither a section, a key with a value nor a comment."""

    file: str
    line: int
    text: str


class MissingSection(typing.NamedTuple):
    """A section with required keys is missing."""

    file: str
    section: str
    allowed: str


class UnknownSection(typing.NamedTuple):
    """A section has an unknown name."""

    file: str
    line: int
    section: str
    allowed: str


class MissingKey(typing.NamedTuple):
    """A required key is missing; ``line`` is that of its section."""

    file: str
    line: int
    section: str
    key: str
    allowed: str


class UnknownKey(typing.NamedTuple):
    """A key is unknown in its section."""

    file: str
    line: int
    section: str
    key: str
    value: str
    allowed: str


class DuplicateKey(typing.NamedTuple):
    """A key occurs twice in its section; ``line`` is the later one."""

    file: str
    line: int
    section: str
    key: str
    value: str
    first_line: int


class WrongType(typing.NamedTuple):
    """A value does not have the form of its key."""

    file: str
    line: int
    section: str
    key: str
    value: str
    allowed: str


class OutOfRange(typing.NamedTuple):
    """A number is outside its key's range, which includes both ends."""

    file: str
    line: int
    section: str
    key: str
    value: str
    allowed: str


class SharedPort(typing.NamedTuple):
    """Two of the VM's ports are the same; ``line`` is the later one."""

    file: str
    line: int
    section: str
    key: str
    value: str
    other_key: str


Fault = (
    UnreadableFile
    | MalformedLine
    | MissingSection
    | UnknownSection
    | MissingKey
    | UnknownKey
    | DuplicateKey
    | WrongType
    | OutOfRange
    | SharedPort
)


def describe(fault: Fault) -> str:
    """Return a line for operators with the place, type and fields."""
    fields = fault._asdict()
    place = fields.pop("file")
    if "line" in fields:
        place += f":{fields.pop('line')}"
    detail = ", ".join(f"{name}={value!r}" for name, value in fields.items())
    return f"{place}: {type(fault).__name__}: {detail}"
