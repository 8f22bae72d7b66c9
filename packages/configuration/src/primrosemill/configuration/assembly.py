"""Assembles a checked document from an index and its parts."""

import typing

import expression
import msgspec

from primrosemill.configuration import checks
from primrosemill.configuration import document as documents
from primrosemill.configuration import faults
from primrosemill.configuration import values

VERSION_RANGE = checks.Range(1, 2**53)
ROUTE_FIELD = "routes"


class Assembled(typing.NamedTuple):
    """A checked document beside the published values it came from."""

    document: documents.Document
    values_by_key: dict[str, bytes]


def decode(
    key: str, value: bytes, form: typing.Any
) -> expression.Result[typing.Any, faults.Fault]:
    """Decode one JSON value of an expected form."""
    if len(value) > values.VALUE_SIZE_LIMIT:
        return expression.Error(
            faults.ValueTooLarge(key, len(value), values.VALUE_SIZE_LIMIT)
        )
    try:
        return expression.Ok(msgspec.json.decode(value, type=form))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return expression.Error(faults.Malformed(key, str(error)))


def decode_index(
    value: bytes,
) -> expression.Result[values.IndexValue, faults.Fault]:
    """Decode the index value."""
    return decode(values.INDEX_KEY, value, values.IndexValue)


class _Assembly:
    """Collects the parts of one version and the faults on the way."""

    def __init__(
        self,
        index: values.IndexValue,
        values_by_key: dict[str, bytes],
        previous: Assembled | None,
    ) -> None:
        self.faults: list[faults.Fault] = []
        self.services_by_name: dict[str, documents.Service] = {}
        self.limits_by_caller: dict[str, documents.Limit] = {}
        self._index = index
        self._values_by_key = values_by_key
        self._previous = previous

    def _decode_part(
        self, key: str, expected_digest: str, form: typing.Any
    ) -> typing.Any:
        value = self._values_by_key.get(key)
        if value is None:
            self.faults.append(faults.MissingPart(key))
            return None
        actual_digest = values.digest(value)
        if actual_digest != expected_digest:
            self.faults.append(
                faults.WrongDigest(key, expected_digest, actual_digest)
            )
            return None
        result = decode(key, value, form)
        if result.is_error():
            self.faults.append(result.error)
            return None
        return result.ok

    def _unchanged_service(
        self, name: str, key: str
    ) -> documents.Service | None:
        """Return the previous build of a service whose bytes are the same.

        The failure domains belong to the check, so they must be the same.
        """
        if self._previous is None:
            return None
        before = self._previous.document
        if before.domains != tuple(self._index["domains"]):
            return None
        if key not in self._previous.values_by_key:
            return None
        if self._previous.values_by_key[key] != self._values_by_key.get(key):
            return None
        return before.services_by_name.get(name)

    def add_service(self, name: str, reference: values.PartReference) -> None:
        """Add one service that the index names."""
        key = values.service_key(name, reference["revision"])
        unchanged = self._unchanged_service(name, key)
        if unchanged is not None:
            self.services_by_name[name] = unchanged
            return
        value = self._decode_part(
            key, reference["digest"], values.ServiceValue
        )
        if value is None:
            return
        found = checks.check_service(key, value, tuple(self._index["domains"]))
        found += self._check_identity(
            key, name, value["name"], reference, value["revision"]
        )
        if found:
            self.faults += found
            return
        self.services_by_name[name] = checks.build_service(value)

    def add_limits(self, shard: str, reference: values.PartReference) -> None:
        """Add one shard of limits that the index names."""
        key = values.limits_key(shard, reference["revision"])
        value = self._decode_part(key, reference["digest"], values.LimitsValue)
        if value is None:
            return
        self.faults += self._check_identity(
            key, shard, value["shard"], reference, value["revision"]
        )
        for caller, limit in value["limits_by_caller"].items():
            self.faults += checks.check_limit(key, caller, limit)
            self.limits_by_caller[caller] = checks.build_limit(limit)

    def _check_identity(
        self,
        key: str,
        expected_name: str,
        actual_name: str,
        reference: values.PartReference,
        actual_revision: int,
    ) -> list[faults.Fault]:
        found: list[faults.Fault] = []
        if expected_name != actual_name:
            found.append(
                faults.NameMismatch(key, "name", expected_name, actual_name)
            )
        if reference["revision"] != actual_revision:
            found.append(
                faults.NameMismatch(
                    key,
                    "revision",
                    str(reference["revision"]),
                    str(actual_revision),
                )
            )
        return found

    def check_across_services(self) -> None:
        """Check what must be unique over all services."""
        addresses = []
        routes = []
        for service in self.services_by_name.values():
            for instance in service.instances:
                addresses.append(f"{instance.ip}:{instance.port}")
            for route in service.routes:
                for method in route.methods or ("*",):
                    routes.append(f"{method} {route.host}{route.path_prefix}")
        key = values.INDEX_KEY
        self.faults += checks.check_unique(key, "instances.address", addresses)
        self.faults += checks.check_unique(key, ROUTE_FIELD, routes)


def assemble(
    index_value: bytes,
    values_by_key: dict[str, bytes],
    previous: Assembled | None = None,
) -> expression.Result[Assembled, tuple[faults.Fault, ...]]:
    """Check a whole version and build its document.

    Parts whose bytes did not change since ``previous`` are not checked
    again, so the cost of a change follows its size. Returns every fault
    found.
    """
    decoded = decode_index(index_value)
    if decoded.is_error():
        return expression.Error((decoded.error,))
    index = decoded.ok
    assembly = _Assembly(index, values_by_key, previous)
    key = values.INDEX_KEY
    assembly.faults += checks.check_name(key, "fleet", index["fleet"])
    assembly.faults += checks.check_range(
        key, "version", index["version"], VERSION_RANGE
    )
    assembly.faults += checks.check_unique(key, "domains", index["domains"])
    assembly.faults += checks.check_limit(
        key, "default_limit", index["default_limit"]
    )
    for name, reference in index["services_by_name"].items():
        assembly.add_service(name, reference)
    for shard, reference in index["limits_by_shard"].items():
        assembly.add_limits(shard, reference)
    assembly.check_across_services()
    if assembly.faults:
        return expression.Error(tuple(assembly.faults))
    document = documents.Document(
        index["fleet"],
        index["version"],
        values.digest(index_value),
        tuple(index["domains"]),
        checks.build_limit(index["default_limit"]),
        assembly.services_by_name,
        assembly.limits_by_caller,
    )
    kept = {key: values_by_key[key] for key in values.part_keys(index)}
    kept[values.INDEX_KEY] = index_value
    return expression.Ok(Assembled(document, kept))
