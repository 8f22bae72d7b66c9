"""Defines how many bytes and connections a VM may hold for its callers.

The figures were measured with ``python -m primrosemill.measure clients``; see
docs/design/memory.md.
"""

import typing

MEGABYTE = 1_000_000  # bytes
# What the account may hold if the VM's memory is unknown. Ordinary load holds
# a few megabytes, so this only bounds what would end any process.
DEFAULT_LIMIT = 512 * MEGABYTE
MIN_LIMIT = 6 * MEGABYTE
# The part of the memory beyond the process's size at its start that callers
# may fill by the account. The rest is for what a held byte costs besides:
# copies while it is passed on, gaps between allocations, other growth.
HELD_FRACTION = 0.35
# Above the first fraction of the memory the limit falls, to MIN_LIMIT at the
# second.
SQUEEZE_START = 0.78
SQUEEZE_END = 0.9
FILE_DESCRIPTORS = 200  # of the VM's descriptors, for files
# The part of the other descriptors that callers' connections may use. The
# rest is for instances, peers and the store.
CALLERS_FRACTION = 0.8
MIN_CONNECTIONS = 64
DEFAULT_CONNECTIONS = 16_000
# What a connection at rest holds in the process and in the kernel.
CONNECTION_COST = 20_000  # bytes
# What a request costs besides its fields and its body.
REQUEST_COST = 20_000  # bytes
# Each field is held by the HTTP libraries of both sides and by the proxy.
FIELD_COST = 500  # bytes
# Connections may use at most this part of the limit while they are at rest.
RESTING_FRACTION = 0.6
# The kernel holds about this much that the process has not read or the caller
# has not received. Without a bound it grows to tens of megabytes each.
RECEIVE_BUFFER = 32_768  # bytes
SEND_BUFFER = 131_072  # bytes


class Bounds(typing.NamedTuple):
    """What a VM may hold; ``memory`` is 0 if it is unknown.

    ``limit`` is in bytes by the account, ``memory`` in bytes as the system
    counts them.
    """

    limit: int = DEFAULT_LIMIT
    connections: int = DEFAULT_CONNECTIONS
    memory: int = 0


def plan(memory: int, resident: int, descriptors: int) -> Bounds:
    """Return the bounds of a VM.

    ``memory`` and ``resident`` are what the process may use and uses at its
    start, in bytes; ``memory`` is 0 if unknown.
    """
    limit = DEFAULT_LIMIT
    if memory:
        limit = max(MIN_LIMIT, int((memory - resident) * HELD_FRACTION))
    connections = min(
        int((descriptors - FILE_DESCRIPTORS) * CALLERS_FRACTION),
        int(limit * RESTING_FRACTION / CONNECTION_COST),
    )
    return Bounds(limit, max(MIN_CONNECTIONS, connections), memory)


def squeeze(bounds: Bounds, resident: int) -> int:
    """Return the limit while the process uses ``resident`` bytes.

    The account counts what it knows of. As the process nears its memory for
    any other reason, the limit falls.
    """
    if not bounds.memory:
        return bounds.limit
    used = resident / bounds.memory
    if used <= SQUEEZE_START:
        return bounds.limit
    left = max(0.0, SQUEEZE_END - used) / (SQUEEZE_END - SQUEEZE_START)
    return max(min(MIN_LIMIT, bounds.limit), int(bounds.limit * left))


def head_cost(field_count: int) -> int:
    """Return what a request costs in bytes, without its body."""
    return REQUEST_COST + FIELD_COST * field_count
