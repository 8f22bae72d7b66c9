"""Builds what the users' platform publishes for one service."""

import typing

HOST = "bookings.example"
SERVICE = "reservations"
DOMAIN = "ain-sebaa"
READINESS_PATH = "/-/readiness"
CONFIGURATION_KEY = "op/config"
FIRST_BIRTH = 1_000  # Unix time in milliseconds
MILLISECONDS_PER_SECOND = 1_000
MAX_HEAD_SIZE = 16_384  # bytes
MAX_BODY_SIZE = 67_108_864  # bytes
KINDS_BY_PREFIX = {
    "/slots/": "idempotent",
    "/certificates/": "upload",
    "/files/": "download",
}
MAX_TIMEOUT = 10.0  # seconds that a route leaves to its callers


def configuration() -> dict[str, typing.Any]:
    """Return the configuration of a service with a route of each kind."""
    return {
        "version": 3,
        "routes": [
            {
                "name": f"route {prefix}",
                "host": HOST,
                "prefix": prefix,
                "route_type": kind,
                "timeout_ms": int(MAX_TIMEOUT * MILLISECONDS_PER_SECOND),
                "target_latency_ms": 600,
                "priority": 1,
                "max_attempts": 2,
                "service": SERVICE,
            }
            for prefix, kind in KINDS_BY_PREFIX.items()
        ],
        "services": [
            {
                "name": SERVICE,
                "health_path": "/health",
                "max_connections": 330,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "max_header_bytes": MAX_HEAD_SIZE,
            "max_body_bytes": MAX_BODY_SIZE,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def instance_entry(
    address: str, number: int, slots: int
) -> dict[str, typing.Any]:
    """Return the entry of an instance with a number."""
    return {
        "service": SERVICE,
        "address": address,
        "zone": DOMAIN,
        "version": "v1",
        "slots": slots,
        "state": "ready",
        "warmup_left_ms": 0,
        "sequence": 4,
        "born": FIRST_BIRTH + number,
    }


def request_headers(request_id: str, time_left: float) -> dict[str, str]:
    """Return the headers of a caller that waits ``time_left`` seconds."""
    milliseconds = int(time_left * MILLISECONDS_PER_SECOND)
    return {
        "host": HOST,
        "primrosemill-request-id": request_id,
        "primrosemill-request-deadline": str(milliseconds),
    }
