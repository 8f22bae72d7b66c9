"""Probes the health endpoint of an instance for drain signs and failures."""

import contextlib
import typing

from primrosemill.configuration import document as documents
from primrosemill.decisions import outcomes
from primrosemill.proxy import headers
from primrosemill.published import bounded_client

TIMEOUT = 2.0  # seconds
MAX_ANSWER_SIZE = 65_536  # bytes


class Result(typing.NamedTuple):
    """The result of a probe.

    A healthy result is weak evidence that the instance works.
    """

    healthy: bool
    draining: bool


async def probe(instance: documents.Instance, path: str) -> Result:
    """Probe an instance on a separate connection."""
    address = f"{instance.ip}:{instance.port}"
    client = bounded_client.Client(address, MAX_ANSWER_SIZE)
    async with contextlib.aclosing(client):
        result = await client.get(path, TIMEOUT)
    if result.is_error():
        return Result(False, False)
    answer = result.ok
    state = headers.find(answer.headers, headers.INSTANCE_STATE)
    healthy = answer.status < outcomes.FIRST_SERVER_ERROR
    return Result(healthy, state == headers.DRAINING)
