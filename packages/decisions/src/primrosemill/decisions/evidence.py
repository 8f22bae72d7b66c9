"""Defines the evidence that the home VMs of a service send each other."""

import typing

from primrosemill.decisions import standings


class InstanceEvidence(typing.NamedTuple):
    """One VM's recent evidence on one instance.

    ``score`` is in nats and grows with the evidence that the instance is
    sick; ``requests`` counts the recent attempts it is based on. ``draining``
    is set from the first sign that the instance is leaving, and only by the
    VM that saw the sign itself. ``well`` tells that this VM's own requests
    have found the instance healthy since a peer began to suspect it.
    """

    instance_id: str
    score: float
    requests: int
    state: standings.State
    draining: bool = False
    well: bool = False


class Report(typing.NamedTuple):
    """The evidence of one VM on the instances of one service."""

    vm_id: str
    domain: str
    service: str
    instances: tuple[InstanceEvidence, ...]
