"""Types of every fault that a settings file can have.

``file`` and ``line`` say where; ``allowed`` says what may stand there.
"""

import typing


class UnreadableFile(typing.NamedTuple):
    """The file can not be opened or is no UTF-8 text."""

    file: str
    detail: str


class MalformedLine(typing.NamedTuple):
    """A line is neither a section, a key with a value nor a comment."""

    file: str
    line: int
    text: str


class MissingSection(typing.NamedTuple):
    """A section with required keys is not there."""

    file: str
    section: str
    allowed: str


class UnknownSection(typing.NamedTuple):
    """A section is none that the program knows."""

    file: str
    line: int
    section: str
    allowed: str


class MissingKey(typing.NamedTuple):
    """A required key is not there; the line is its section's."""

    file: str
    line: int
    section: str
    key: str
    allowed: str


class UnknownKey(typing.NamedTuple):
    """A key is none that its section has."""

    file: str
    line: int
    section: str
    key: str
    value: str
    allowed: str


class DuplicateKey(typing.NamedTuple):
    """A key stands twice in its section; the line is the later one."""

    file: str
    line: int
    section: str
    key: str
    value: str
    first_line: int


class WrongType(typing.NamedTuple):
    """A value does not have its key's form."""

    file: str
    line: int
    section: str
    key: str
    value: str
    allowed: str


class OutOfRange(typing.NamedTuple):
    """A number lies outside its key's range, ends included."""

    file: str
    line: int
    section: str
    key: str
    value: str
    allowed: str


class SharedPort(typing.NamedTuple):
    """Two of the VM's ports are the same; the line is the later one."""

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
    """Return one line for an operator: the place, the type, each field."""
    fields = fault._asdict()
    place = fields.pop("file")
    if "line" in fields:
        place += f":{fields.pop('line')}"
    detail = ", ".join(f"{name}={value!r}" for name, value in fields.items())
    return f"{place}: {type(fault).__name__}: {detail}"
