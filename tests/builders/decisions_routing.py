"""Builds services and VMs for tests of routing decisions."""

from primrosemill.configuration import document as documents
from primrosemill.decisions import home_vms

DOMAINS = ("ain-sebaa", "hay-riad", "sidi-maarouf")


def instance(number: int, **changes) -> documents.Instance:
    """Build an instance, whose number determines its failure domain."""
    built = documents.Instance(
        f"res-{number}",
        f"127.0.1.{number % 250 + 1}",
        9000 + number // 250,
        DOMAINS[number % len(DOMAINS)],
    )
    return built._replace(**changes)


def service(count: int = 20, **changes) -> documents.Service:
    """Build the reservations service."""
    built = documents.Service(
        name="reservations",
        revision=1,
        instances=tuple(instance(number) for number in range(count)),
        routes=(),
        slots=3,
        connections=300,
        floor=14,
        detection_weight=0.8,
        demand=600.0,
        cold_start=10.0,
        probe_path="/health",
        probe_interval=10.0,
    )
    return built._replace(**changes)


def vms(count: int = 36, domains: tuple[str, ...] = DOMAINS):
    """Build VMs that are distributed over the failure domains."""
    return tuple(
        home_vms.Vm(f"vm-{number}", domains[number % len(domains)])
        for number in range(count)
    )


def services(count: int) -> dict[str, documents.Service]:
    """Build services with different names, keyed by name."""
    return {
        f"service-{number}": service(3, name=f"service-{number}")
        for number in range(count)
    }
