"""Probes the health endpoint of an instance for drain signs and failures."""

import typing

import httpcore
import trio

from primrosemill.configuration import document as documents
from primrosemill.decisions import outcomes
from primrosemill.proxy import headers

TIMEOUT = 2.0  # seconds


class Result(typing.NamedTuple):
    """The result of a probe.

    A healthy result is weak evidence that the instance works.
    """

    healthy: bool
    draining: bool


async def probe(instance: documents.Instance, path: str) -> Result:
    """Probe an instance on a separate connection."""
    url = f"http://{instance.ip}:{instance.port}{path}"
    with trio.move_on_after(TIMEOUT):
        try:
            async with httpcore.AsyncConnectionPool(
                max_keepalive_connections=0
            ) as pool:
                response = await pool.request("GET", url)
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return Result(False, False)
        state = headers.find(response.headers, headers.INSTANCE_STATE)
        healthy = response.status < outcomes.FIRST_SERVER_ERROR
        return Result(healthy, state == headers.DRAINING)
    return Result(False, False)
