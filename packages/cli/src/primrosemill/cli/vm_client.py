"""HTTP client of the commands that query a running VM."""

import typing

import click
import msgspec
import trio

from primrosemill.cli import exits
from primrosemill.configuration import checks
from primrosemill.configuration import faults
from primrosemill.fleet import interfaces
from primrosemill.published import bounded_client

REQUEST_TIMEOUT = 5.0  # seconds
# A status document lists up to 10,000 instances of about 250 bytes each.
RESPONSE_SIZE_LIMIT = 16_000_000  # bytes
STATUS_OK = 200


class AddressType(click.ParamType):
    """Command-line parameter that is an IP address with a port."""

    name = "address"

    def convert(
        self,
        value: str,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> str:
        """Return the address unchanged, or report a usage error."""
        if checks.split_address(value) is None:
            self.fail(
                f"{value!r} is not an IP address with a port", param, ctx
            )
        return value


ADDRESS = AddressType()


def fetch(address: str, path: str) -> bounded_client.Answer:
    """Return a VM's response of any status, or exit with 1 on a failure."""
    result = trio.run(_send, address, path)
    if result.is_error():
        fail_request(address, result.error)
    return result.ok


def post(address: str, path: str) -> bounded_client.Answer:
    """Return a VM's response to a POST, or exit with 1 on a failure."""
    result = trio.run(_send, address, path, True)
    if result.is_error():
        fail_request(address, result.error)
    return result.ok


def fetch_decoded(
    address: str, path: str, expected_type: typing.Any
) -> typing.Any:
    """Return a VM's decoded response, or exit with 1 on any error."""
    return decode_ok(address, path, fetch(address, path), expected_type)


def decode_ok(
    address: str,
    path: str,
    response: bounded_client.Answer,
    expected_type: typing.Any,
) -> typing.Any:
    """Return the decoded body of a successful response, or exit with 1."""
    if response.status != STATUS_OK:
        fail_request(address, interfaces.Refused(path, response.status))
    return decode(address, path, response, expected_type)


def decode(
    address: str,
    path: str,
    response: bounded_client.Answer,
    expected_type: typing.Any,
) -> typing.Any:
    """Return the decoded body of a response, or exit with 1."""
    try:
        return msgspec.json.decode(response.content, type=expected_type)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        fail_request(address, interfaces.BadAnswer(path, str(error)))


async def _send(
    address: str, path: str, is_post: bool = False
) -> bounded_client.AnswerResult:
    client = bounded_client.Client(address, RESPONSE_SIZE_LIMIT)
    try:
        if is_post:
            return await client.post(path, REQUEST_TIMEOUT)
        return await client.get(path, REQUEST_TIMEOUT)
    finally:
        await client.aclose()


def fail_request(
    address: str, fault: interfaces.PlatformFault
) -> typing.NoReturn:
    """Report a failed request to a VM and exit with 1."""
    exits.fail(exits.Status.FAILURE, [f"{address}: {faults.describe(fault)}"])
