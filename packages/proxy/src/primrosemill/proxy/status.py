"""Describes what a VM tells operators at ``/status``, as JSON."""

import enum
import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import standings


class VmState(enum.StrEnum):
    """Where a VM is between its start and its stop."""

    STARTING = "starting"  # No configuration is in force yet.
    SERVING = "serving"
    LEAVING = "leaving"


class ConfigurationStatus(typing.TypedDict):
    """The version in force; version 0 with an empty digest means none."""

    version: int
    digest: str


class MemberStatus(typing.TypedDict):
    """Another VM as this one sees it; the version is the one it reports."""

    id: str
    ip: str
    domain: str
    state: str
    version: int


class InstanceStatus(typing.TypedDict):
    """An instance: its standing with this VM and why.

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
    """A service: its home VMs by id, and its instances."""

    name: str
    revision: int
    floor: int
    waiting: int
    homes: list[str]
    instances: list[InstanceStatus]


class Status(typing.TypedDict):
    """What a VM knows."""

    vm_id: str
    fleet: str
    domain: str
    state: str
    requests_in_flight: int
    configuration: ConfigurationStatus
    members: list[MemberStatus]
    services: list[ServiceStatus]


class Sources(typing.Protocol):
    """Where the parts of a status come from that others decide."""

    def standing(
        self, service: str, instance: documents.Instance
    ) -> standings.Standing:
        """Return what this VM thinks of an instance."""
        ...


def describe_service(
    service: documents.Service,
    waiting: int,
    homes: list[str],
    sources: Sources,
) -> ServiceStatus:
    """Return the status of one service."""
    instances = [
        _describe_instance(instance, sources.standing(service.name, instance))
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
