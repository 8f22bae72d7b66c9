"""Types of the faults that a plan can have before it becomes a document."""

import typing

from primrosemill.configuration import faults


class DuplicateService(typing.NamedTuple):
    """Two services of a plan have one name."""

    name: str


class OtherFleet(typing.NamedTuple):
    """The published version belongs to another fleet."""

    planned: str
    published: str


PublishFault = faults.Fault | DuplicateService | OtherFleet
