"""Defines the faults of a plan that are found before it is assembled."""

import typing

from primrosemill.configuration import faults


class DuplicateService(typing.NamedTuple):
    """Two services of a plan have the same name."""

    name: str


class OtherFleet(typing.NamedTuple):
    """The published version belongs to another fleet."""

    planned: str
    published: str


PublishFault = faults.Fault | DuplicateService | OtherFleet
