"""Builds the plans that operators publish."""

from primrosemill.configuration import values
from primrosemill.publish import builders
from primrosemill.publish import publication

DOMAINS = ("ain-sebaa", "hay-riad", "sidi-maarouf")


def service(
    name: str = "reservations", network: int = 1, **changes
) -> values.ServiceValue:
    """Build a service with six instances and one route."""
    built = builders.service(
        name,
        builders.instances(name, f"127.1.{network}.1", 6, 9000, DOMAINS),
        [builders.route(f"/{name}", idempotent=True)],
        floor=4,
        demand=60.0,
    )
    return built | changes


def plan(*services: values.ServiceValue, **changes) -> publication.Plan:
    """Build a plan with the given services, or with one by default."""
    built = publication.Plan(
        "atlas",
        DOMAINS,
        services or (service(),),
        builders.limit(20.0, 40),
        {},
    )
    return built._replace(**changes)
