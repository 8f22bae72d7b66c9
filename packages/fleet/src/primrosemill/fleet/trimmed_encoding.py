"""Encodes batches of the feed so that VMs of older builds can decode them.

Routings and routes are arrays on the wire, and a decoder refuses an array with
more elements than its type has fields. Trailing fields with default values are
left out, so a configuration that uses nothing new has the form that older
builds know. Decoders add the defaults of absent fields.
"""

import typing

import msgspec

from primrosemill.configuration import document as documents
from primrosemill.fleet import feed


def trim_batch(batch: feed.Batch) -> feed.Batch:
    """Return a batch whose routings are encoded without trailing defaults.

    The result is only meant to be encoded: its routings are plain tuples.
    """
    if all(item.routing is None for item in batch.items):
        return batch
    items = []
    for item in batch.items:
        if item.routing is not None:
            routing = item.routing._replace(
                routes=tuple(_trim(route) for route in item.routing.routes)
            )
            item = item._replace(routing=_trim(routing))
        items.append(item)
    return batch._replace(items=tuple(items))


def encode_batch(batch: feed.Batch) -> bytes:
    """Return the encoded form of a batch."""
    return msgspec.msgpack.encode(trim_batch(batch))


def reduce_batch(batch: feed.Batch) -> feed.Batch:
    """Return a batch as a build before customers would have read it.

    It has no customers, no public routes, and downloads as other idempotent
    requests. Routes of unknown kinds are left out.
    """
    items = []
    for item in batch.items:
        if item.routing is not None:
            item = item._replace(routing=_reduce(item.routing))
        items.append(item)
    return batch._replace(items=tuple(items))


def _reduce(routing: documents.Routing) -> documents.Routing:
    routes = tuple(
        route._replace(public=False, large_answers=False)
        for route in routing.routes
        if not route.unsupported_kind
    )
    return routing._replace(routes=routes, customers=None)


def _trim(value: typing.Any) -> tuple:
    """Return the fields of a named tuple without trailing defaults."""
    defaults_by_field = value._field_defaults
    fields = value._fields
    count = len(fields)
    while count and fields[count - 1] in defaults_by_field:
        if value[count - 1] != defaults_by_field[fields[count - 1]]:
            break
        count -= 1
    return tuple(value[:count])
