"""Finds fields of published values that are not part of their types.

VMs ignore such fields, so that older VMs can read the values of a newer
publisher. They are reported to operators, as most of them are misspelt.
"""

import functools
import typing

import msgspec

from primrosemill.configuration import faults
from primrosemill.configuration import values

TYPES_BY_PREFIX = {
    values.INDEX_KEY: values.IndexValue,
    values.SERVICE_PREFIX: values.ServiceValue,
    values.LIMITS_PREFIX: values.LimitsValue,
}


def find_unknown_fields(
    values_by_key: dict[str, bytes],
) -> list[faults.UnknownField]:
    """Return a fault for each unknown field of values that have been checked.

    Values whose key cannot be part of a version are skipped.
    """
    unknown_fields: list[faults.UnknownField] = []
    for key, value in values_by_key.items():
        value_type = TYPES_BY_PREFIX.get(key.partition("/")[0])
        if value_type is None:
            continue
        unknown_fields += _find_in_value(
            key, "", msgspec.json.decode(value), value_type
        )
    return unknown_fields


@functools.cache
def _field_types(value_type: typing.Any) -> dict[str, typing.Any]:
    return typing.get_type_hints(value_type)


def _find_in_value(
    key: str, path: str, value: typing.Any, value_type: typing.Any
) -> typing.Iterator[faults.UnknownField]:
    if typing.is_typeddict(value_type):
        yield from _find_in_object(key, path, value, value_type)
    elif typing.get_origin(value_type) is list:
        for item in value:
            yield from _find_in_value(
                key, path, item, typing.get_args(value_type)[0]
            )
    elif typing.get_origin(value_type) is dict:
        for item in value.values():
            yield from _find_in_value(
                key, path, item, typing.get_args(value_type)[1]
            )


def _find_in_object(
    key: str, path: str, value: dict[str, typing.Any], value_type: typing.Any
) -> typing.Iterator[faults.UnknownField]:
    types_by_field = _field_types(value_type)
    for name, item in value.items():
        inner_path = f"{path}.{name}" if path else name
        if name not in types_by_field:
            allowed = ", ".join(types_by_field)
            yield faults.UnknownField(key, inner_path, allowed)
            continue
        yield from _find_in_value(key, inner_path, item, types_by_field[name])
