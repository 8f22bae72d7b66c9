"""The JSON document that a VM serves to operators at ``/status``."""

import enum
import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import standings


class VmState(enum.StrEnum):
    """The state of a VM between its start and its stop."""

    STARTING = "starting"  # No configuration is in force yet.
    SERVING = "serving"
    LEAVING = "leaving"


class ConfigurationStatus(typing.TypedDict):
    """The version in force; version 0 with an empty digest means none."""

    version: int
    digest: str


class MemberStatus(typing.TypedDict):
    """Another VM in the view of this one, with the version it reports."""

    id: str
    ip: str
    domain: str
    state: str
    version: int


class InstanceStatus(typing.TypedDict):
    """An instance and its standing in the view of this VM.

    ``share`` is the fraction of its slots that this VM may use.
    """

    id: str
    address: str
    domain: str
    state: str
    score: float
    share: float
    reason: str


class ServiceStatus(typing.TypedDict):
    """A service with the ids of its home VMs, and its instances.

    The home VMs are those that callers should use for the service.
    """

    name: str
    revision: int
    floor: int
    waiting: int
    homes: list[str]
    instances: list[InstanceStatus]


class SuspectStatus(typing.TypedDict):
    """A request under which instances crashed; ages in seconds.

    ``target`` is empty if the request has not come to this VM.
    """

    fingerprint: str
    target: str
    state: str
    crashes: int
    probability: float
    last_crash_age: float
    last_arrival_age: float


class CapStatus(typing.TypedDict):
    """The cap of a customer as one VM applies it.

    ``rate`` is in requests per second, ``burst`` in requests. ``fraction`` is
    the part of the cap that this VM grants, 0 if another VM holds it.
    """

    customer: str
    rate: float
    burst: float
    holder: str
    fraction: float


class ReleaseFault(typing.TypedDict):
    """Why a request could not be released."""

    fault: str
    value: str


class Status(typing.TypedDict):
    """The state of a VM, its configuration, members and services.

    ``suspects`` are the requests that may crash instances, ``caps`` the caps
    of customers with recent requests.
    """

    vm_id: str
    fleet: str
    domain: str
    state: str
    requests_in_flight: int
    configuration: ConfigurationStatus
    members: list[MemberStatus]
    services: list[ServiceStatus]
    suspects: list[SuspectStatus]
    caps: list[CapStatus]


class StandingSource(typing.Protocol):
    """Provides the standings of instances."""

    def standing(
        self, service: str, instance: documents.Instance
    ) -> standings.Standing:
        """Return the standing of an instance in the view of this VM."""
        ...


def describe_service(
    service: documents.Service,
    waiting: int,
    homes: list[str],
    standing_source: StandingSource,
) -> ServiceStatus:
    """Return the status of one service."""
    instances = [
        _describe_instance(
            instance, standing_source.standing(service.name, instance)
        )
        for instance in service.instances
    ]
    return ServiceStatus(
        name=service.name,
        revision=service.revision,
        floor=service.floor,
        waiting=waiting,
        homes=homes,
        instances=instances,
    )


def _describe_instance(
    instance: documents.Instance, standing: standings.Standing
) -> InstanceStatus:
    return InstanceStatus(
        id=instance.id,
        address=f"{instance.ip}:{instance.port}",
        domain=instance.domain,
        state=standing.state.value,
        score=standing.score,
        share=standing.share,
        reason=standing.reason,
    )
