"""Builds a document from what the feed publishes, and logs changes."""

from primrosemill.configuration import document as documents
from primrosemill.fleet import mirror
from primrosemill.telemetry import events


def build_document(
    fleet: str, feed_mirror: mirror.Mirror, now: float
) -> documents.Document:
    """Return a document of the current routes and known instances."""
    routing = feed_mirror.routing
    instances_by_service: dict[str, list[documents.Instance]] = {}
    for service, instance in feed_mirror.discovered(now):
        instances_by_service.setdefault(service, []).append(instance)
    services_by_name = {}
    for service in routing.services:
        instances = instances_by_service.get(service.name, [])
        services_by_name[service.name] = documents.Service(
            service.name,
            revision=feed_mirror.revision,
            instances=tuple(sorted(instances)),
            routes=(),
            slots=1,
            connections=service.connections,
            floor=0,
            detection_weight=1.0,
            demand=0.0,
            cold_start=0.0,
            probe_path=service.probe_path,
            probe_interval=0.0,
        )
    return documents.Document(
        fleet,
        routing.version,
        "",
        (),
        documents.Limit(0.0, 0),
        services_by_name,
        {},
        routing.routes,
        routing.customers,
    )


def log_changes(applied: mirror.AppliedChanges, source: str) -> None:
    """Log each instance that is new, changed or gone."""
    for item in applied.instances:
        if item.discovered is None:
            events.emit(
                events.INSTANCE_GONE,
                key=item.key,
                revision=item.revision,
                retain_seconds=round(item.retain, 2),
                source=source,
            )
            continue
        service, instance = item.discovered
        events.emit(
            events.INSTANCE_SEEN,
            service=service,
            instance_id=instance.id,
            boot=instance.boot,
            address=f"{instance.ip}:{instance.port}",
            domain=instance.domain,
            leaving=instance.leaving,
            cold_seconds=instance.warmup_left,
            revision=item.revision,
            source=source,
        )
