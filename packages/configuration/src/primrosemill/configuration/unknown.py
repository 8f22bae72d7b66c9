"""Finds fields of published values that no form knows.

VMs ignore such fields, so that a newer publisher can serve older VMs. For
an operator they are most likely misspelt ones.
"""

import functools
import typing

import msgspec

from primrosemill.configuration import faults
from primrosemill.configuration import values

FORMS_BY_PREFIX = {
    values.INDEX_KEY: values.IndexValue,
    values.SERVICE_PREFIX: values.ServiceValue,
    values.LIMITS_PREFIX: values.LimitsValue,
}


def find_unknown_fields(
    values_by_key: dict[str, bytes],
) -> list[faults.UnknownField]:
    """Return a fault for each unknown field of values that have been checked.

    Keys that no version can name are left out.
    """
    found: list[faults.UnknownField] = []
    for key, value in values_by_key.items():
        form = FORMS_BY_PREFIX.get(key.partition("/")[0])
        if form is None:
            continue
        found += _find(key, "", msgspec.json.decode(value), form)
    return found


@functools.cache
def _fields_of(form: typing.Any) -> dict[str, typing.Any]:
    return typing.get_type_hints(form)


def _find(
    key: str, path: str, value: typing.Any, form: typing.Any
) -> typing.Iterator[faults.UnknownField]:
    if typing.is_typeddict(form):
        yield from _find_in_object(key, path, value, form)
    elif typing.get_origin(form) is list:
        for item in value:
            yield from _find(key, path, item, typing.get_args(form)[0])
    elif typing.get_origin(form) is dict:
        for item in value.values():
            yield from _find(key, path, item, typing.get_args(form)[1])


def _find_in_object(
    key: str, path: str, value: dict[str, typing.Any], form: typing.Any
) -> typing.Iterator[faults.UnknownField]:
    fields = _fields_of(form)
    for name, item in value.items():
        inner_path = f"{path}.{name}" if path else name
        if name not in fields:
            allowed = ", ".join(fields)
            yield faults.UnknownField(key, inner_path, allowed)
            continue
        yield from _find(key, inner_path, item, fields[name])
