"""Types of the evidence that home VMs of a service tell each other."""

import typing

from primrosemill.decisions import standings


class InstanceEvidence(typing.NamedTuple):
    """What one VM met at one instance lately.

    ``requests`` counts the attempts behind the score, ``draining`` is set
    by the first sign that the instance is leaving.
    """

    instance_id: str
    score: float
    requests: int
    state: standings.State
    draining: bool = False


class Report(typing.NamedTuple):
    """The evidence of one VM about the instances of one service."""

    vm_id: str
    domain: str
    service: str
    instances: tuple[InstanceEvidence, ...]
