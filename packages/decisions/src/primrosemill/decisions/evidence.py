"""Types of the evidence that home VMs of a service tell each other."""

import typing

from primrosemill.decisions import standings


class InstanceEvidence(typing.NamedTuple):
    """What one VM met at one instance lately.

    ``score`` is in nats, ``requests`` counts the recent attempts behind it.
    ``draining`` is set by the first sign that the instance is leaving, and
    only by the VM that saw the sign itself. ``well`` tells that this VM's
    own requests speak for the instance since a peer began to suspect it.
    """

    instance_id: str
    score: float
    requests: int
    state: standings.State
    draining: bool = False
    well: bool = False


class Report(typing.NamedTuple):
    """The evidence of one VM about the instances of one service."""

    vm_id: str
    domain: str
    service: str
    instances: tuple[InstanceEvidence, ...]
