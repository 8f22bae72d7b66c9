"""Asks a running VM, for the commands that show what it knows."""

import typing

import click
import msgspec
import trio

from primrosemill.cli import exits
from primrosemill.configuration import checks
from primrosemill.configuration import faults
from primrosemill.fleet import interfaces
from primrosemill.published import bounded

TIMEOUT = 5.0  # seconds
# A status names up to 10,000 instances with some 250 bytes each.
ANSWER_SIZE_LIMIT = 16_000_000  # bytes
STATUS_OK = 200


class AddressType(click.ParamType):
    """Takes an IP number with a port."""

    name = "address"

    def convert(
        self,
        value: str,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> str:
        """Return the address as it stands, or fail."""
        if checks.split_address(value) is None:
            self.fail(f"{value!r} is no IP number with a port", param, ctx)
        return value


ADDRESS = AddressType()


def ask(address: str, path: str) -> bounded.Answer:
    """Return a VM's answer of any status, or end the command with 1."""
    result = trio.run(_get, address, path)
    if result.is_error():
        stop(address, result.error)
    return result.ok


def ask_for(address: str, path: str, form: typing.Any) -> typing.Any:
    """Return a VM's answer in an expected form, or end the command with 1."""
    return expect(address, path, ask(address, path), form)


def expect(
    address: str, path: str, answer: bounded.Answer, form: typing.Any
) -> typing.Any:
    """Return the content of a good answer, or end the command with 1."""
    if answer.status != STATUS_OK:
        stop(address, interfaces.Refused(path, answer.status))
    return decode(address, path, answer, form)


def decode(
    address: str, path: str, answer: bounded.Answer, form: typing.Any
) -> typing.Any:
    """Return the content of an answer, or end the command with 1."""
    try:
        return msgspec.json.decode(answer.content, type=form)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        stop(address, interfaces.BadAnswer(path, str(error)))


async def _get(address: str, path: str) -> bounded.AnswerResult:
    client = bounded.Client(address, ANSWER_SIZE_LIMIT)
    try:
        return await client.get(path, TIMEOUT)
    finally:
        await client.aclose()


def stop(address: str, fault: interfaces.PlatformFault) -> typing.NoReturn:
    """End the command with 1 for a VM that did not answer as agreed."""
    exits.stop(exits.Status.FAILURE, [f"{address}: {faults.describe(fault)}"])
