"""Declares every key of the settings file, with its form and range.

Each form of value is a separate type on which :func:`parse` and
:func:`describe` dispatch: a new form needs a type and two functions.
"""

import binascii
import functools
import math
import re
import typing

import expression

from primrosemill.configuration import checks

MAX_PORT = 65_535
PEER_KEY_SIZES = range(16, 65)  # bytes


class InvalidForm(typing.NamedTuple):
    """A value does not have the form of its key."""


class NotInRange(typing.NamedTuple):
    """A number is outside the range of its key."""


Problem = InvalidForm | NotInRange


class Name(typing.NamedTuple):
    """A name that follows the rules of the configuration document."""


class IpNumber(typing.NamedTuple):
    """The IPv4 or IPv6 address of a host."""


class Address(typing.NamedTuple):
    """An IP address with a port."""


class AddressList(typing.NamedTuple):
    """A comma-separated list of addresses, which may be empty."""


class WholeNumber(typing.NamedTuple):
    """A whole number in a range that includes both ends."""

    lowest: int
    highest: int


class Seconds(typing.NamedTuple):
    """A duration in seconds, in a range that includes both ends."""

    lowest: float
    highest: float


class SecretKey(typing.NamedTuple):
    """A shared key of the VMs in hexadecimal digits, which may be empty."""


class Number(typing.NamedTuple):
    """A number of any unit, in a range that includes both ends."""

    lowest: float
    highest: float


Form = (
    Name
    | IpNumber
    | Address
    | AddressList
    | WholeNumber
    | Number
    | Seconds
    | SecretKey
)
Parsed = expression.Result[typing.Any, Problem]


class Key(typing.NamedTuple):
    """A key of the settings file, which is required if it has no default.

    ``field`` is the field for it in the settings class, for instance
    :class:`primrosemill.proxy.settings.Settings`.
    """

    section: str
    name: str
    field: str
    form: Form
    default: str | None
    meaning: str


@functools.singledispatch
def parse(form: Form, text: str) -> Parsed:
    """Return the value of a text, or the problem with it."""
    raise NotImplementedError(type(form))


@functools.singledispatch
def describe(form: Form) -> str:
    """Return a description of the allowed values, for operators."""
    raise NotImplementedError(type(form))


@parse.register
def _parse_name(form: Name, text: str) -> Parsed:
    if checks.NAME_PATTERN.fullmatch(text):
        return expression.Ok(text)
    return expression.Error(InvalidForm())


@describe.register
def _describe_name(form: Name) -> str:
    return "letters, digits, '.', '_' and '-', at most 63"


@parse.register
def _parse_ip_number(form: IpNumber, text: str) -> Parsed:
    ip = checks.normalize_ip(text)
    if ip is None:
        return expression.Error(InvalidForm())
    return expression.Ok(ip)


@describe.register
def _describe_ip_number(form: IpNumber) -> str:
    return "the IP number of one host"


@parse.register
def _parse_address(form: Address, text: str) -> Parsed:
    if checks.split_address(text) is None:
        return expression.Error(InvalidForm())
    return expression.Ok(text)


@describe.register
def _describe_address(form: Address) -> str:
    return f"an IP number, ':' and a port from 1 to {MAX_PORT}"


@parse.register
def _parse_address_list(form: AddressList, text: str) -> Parsed:
    addresses = []
    for item in text.split(",") if text else ():
        address = item.strip()
        if checks.split_address(address) is None:
            return expression.Error(InvalidForm())
        addresses.append(address)
    return expression.Ok(tuple(addresses))


@describe.register
def _describe_address_list(form: AddressList) -> str:
    return f"addresses with commas between: {describe(Address())}"


@parse.register
def _parse_whole_number(form: WholeNumber, text: str) -> Parsed:
    if not re.fullmatch(r"-?[0-9]+", text):
        return expression.Error(InvalidForm())
    # int() refuses very long numbers, which are out of range anyway.
    if len(text) > len(str(form.highest)) + 1:
        return expression.Error(NotInRange())
    return _in_range(int(text), form.lowest, form.highest)


@describe.register
def _describe_whole_number(form: WholeNumber) -> str:
    return f"a whole number from {form.lowest} to {form.highest}"


@parse.register(Number)
@parse.register(Seconds)
def _parse_number(form: Number | Seconds, text: str) -> Parsed:
    try:
        value = float(text)
    except ValueError:
        return expression.Error(InvalidForm())
    if not math.isfinite(value):
        return expression.Error(InvalidForm())
    return _in_range(value, form.lowest, form.highest)


@describe.register
def _describe_number(form: Number) -> str:
    return f"a number from {form.lowest:g} to {form.highest:g}"


@describe.register
def _describe_seconds(form: Seconds) -> str:
    return f"seconds from {form.lowest:g} to {form.highest:g}"


@parse.register
def _parse_secret_key(form: SecretKey, text: str) -> Parsed:
    try:
        key = binascii.unhexlify(text)
    except (binascii.Error, ValueError):
        return expression.Error(InvalidForm())
    if key and len(key) not in PEER_KEY_SIZES:
        return expression.Error(NotInRange())
    return expression.Ok(key)


@describe.register
def _describe_secret_key(form: SecretKey) -> str:
    return (
        f"{2 * PEER_KEY_SIZES.start} to {2 * (PEER_KEY_SIZES.stop - 1)} "
        "hexadecimal digits, an even number of them"
    )


def _in_range(value: float, lowest: float, highest: float) -> Parsed:
    if lowest <= value <= highest:
        return expression.Ok(value)
    return expression.Error(NotInRange())


PORT = WholeNumber(0, MAX_PORT)
KEYS = (
    Key(
        "vm",
        "fleet",
        "fleet",
        Name(),
        None,
        "The fleet that the VM belongs to.",
    ),
    Key("vm", "id", "vm_id", Name(), None, "The VM's id in the VM list."),
    Key("vm", "ip", "ip", IpNumber(), None, "The VM's own IP number."),
    Key("vm", "domain", "domain", Name(), None, "The VM's failure domain."),
    Key(
        "platform",
        "address",
        "platform_address",
        Address(),
        None,
        "Where the configuration service and the VM list answer.",
    ),
    Key(
        "ports",
        "caller",
        "caller_port",
        PORT,
        None,
        "Callers' requests and the address question; 0 takes a free port.",
    ),
    Key(
        "ports",
        "admin",
        "admin_port",
        PORT,
        None,
        "Health, readiness, metrics and status; 0 takes a free port.",
    ),
    Key(
        "ports",
        "peer",
        "peer_port",
        PORT,
        None,
        "Messages between VMs; 0 takes a free port.",
    ),
    Key(
        "peers",
        "first",
        "first_peers",
        AddressList(),
        "",
        "Peers to ask before the VM list is known.",
    ),
    Key(
        "peers",
        "key",
        "peer_key",
        SecretKey(),
        "",
        "What VMs of the fleet sign their messages with; empty: no signing.",
    ),
    Key(
        "limits",
        "waiting_requests",
        "waiting_requests",
        WholeNumber(1, 100_000),
        "1000",
        "Requests that may wait for a slot on this VM.",
    ),
    Key(
        "limits",
        "stop_seconds",
        "stop_seconds",
        Seconds(0.0, 3_600.0),
        "60",
        "How long a graceful stop lets requests in flight finish.",
    ),
)
