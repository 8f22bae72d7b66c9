"""Checks an index and its parts and assembles a document from them."""

import typing

import expression
import msgspec

from primrosemill.configuration import checks
from primrosemill.configuration import claims
from primrosemill.configuration import document as documents
from primrosemill.configuration import faults
from primrosemill.configuration import values

VERSION_RANGE = checks.Range(1, 2**53)
LimitsByCaller = dict[str, documents.Limit]


class AssembledVersion(typing.NamedTuple):
    """A checked document and the published values that it was built from.

    The digests, limits and claims allow checking only the changed parts of
    the next version.
    """

    document: documents.Document
    values_by_key: dict[str, bytes]
    digests_by_key: dict[str, str]
    limits_by_key: dict[str, LimitsByCaller]
    claims: claims.Claims


AssemblyResult = expression.Result[AssembledVersion, tuple[faults.Fault, ...]]


def decode(
    key: str, value: bytes, value_type: typing.Any
) -> expression.Result[typing.Any, faults.Fault]:
    """Decode one JSON value of an expected type."""
    if len(value) > values.VALUE_SIZE_LIMIT:
        return expression.Error(
            faults.ValueTooLarge(key, len(value), values.VALUE_SIZE_LIMIT)
        )
    try:
        return expression.Ok(msgspec.json.decode(value, type=value_type))
    except (
        msgspec.DecodeError,
        UnicodeDecodeError,
        RecursionError,
    ) as error:
        return expression.Error(faults.Malformed(key, str(error)))


def decode_index(
    value: bytes,
) -> expression.Result[values.IndexValue, faults.Fault]:
    """Decode the index value."""
    return decode(values.INDEX_KEY, value, values.IndexValue)


class _Assembly:
    """Collects the checked parts of one version and their faults."""

    def __init__(
        self,
        index: values.IndexValue,
        values_by_key: dict[str, bytes],
        previous: AssembledVersion | None,
    ) -> None:
        self.faults: list[faults.Fault] = []
        self.services_by_name: dict[str, documents.Service] = {}
        self.limits_by_key: dict[str, LimitsByCaller] = {}
        self.limits_by_caller: LimitsByCaller = {}
        self.claims = claims.empty_claims()
        self._domains = tuple(index["domains"])
        self._values_by_key = values_by_key
        self._previous = previous
        self._retains_domains = previous is not None and set(
            previous.document.domains
        ).issubset(self._domains)

    def _decode_part(
        self, key: str, expected_digest: str, value_type: typing.Any
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
        result = decode(key, value, value_type)
        if result.is_error():
            self.faults.append(result.error)
            return None
        return result.ok

    def _is_unchanged(self, key: str, expected_digest: str) -> bool:
        """Tell whether the previous version contains the same bytes."""
        previous = self._previous
        if previous is None:
            return False
        if previous.digests_by_key.get(key) != expected_digest:
            return False
        return previous.values_by_key[key] == self._values_by_key.get(key)

    def _find_unchanged_service(
        self, name: str, key: str, expected_digest: str
    ) -> documents.Service | None:
        """Return the service of the previous version if it is still valid.

        Its bytes must be unchanged. As its check depends on the failure
        domains, none of them may have been removed.
        """
        if not self._is_unchanged(key, expected_digest):
            return None
        if not self._retains_domains:
            return None
        return self._previous.document.services_by_name.get(name)

    def add_service(self, name: str, reference: values.PartReference) -> bool:
        """Add one service of the index; return whether it was checked."""
        key = values.service_key(name, reference["revision"])
        unchanged = self._find_unchanged_service(
            name, key, reference["digest"]
        )
        if unchanged is not None:
            self.services_by_name[name] = unchanged
            return False
        value = self._decode_part(
            key, reference["digest"], values.ServiceValue
        )
        if value is None:
            return True
        service_faults = checks.check_service(key, value, self._domains)
        service_faults += self._check_identity(
            key, name, value["name"], reference, value["revision"]
        )
        if service_faults:
            self.faults += service_faults
            return True
        self.services_by_name[name] = checks.build_service(value)
        return True

    def add_limits(self, shard: str, reference: values.PartReference) -> bool:
        """Add one shard of limits; return whether it was checked."""
        key = values.limits_key(shard, reference["revision"])
        if self._is_unchanged(key, reference["digest"]):
            self.limits_by_key[key] = self._previous.limits_by_key[key]
            return False
        value = self._decode_part(key, reference["digest"], values.LimitsValue)
        if value is None:
            return True
        self.faults += self._check_identity(
            key, shard, value["shard"], reference, value["revision"]
        )
        limits_by_caller = {}
        for caller, limit in value["limits_by_caller"].items():
            self.faults += checks.check_limit(key, caller, limit)
            limits_by_caller[caller] = checks.build_limit(limit)
        self.limits_by_key[key] = limits_by_caller
        return True

    def merge_limits(self) -> typing.Iterator[None]:
        """Merge the limits of all shards; yield after each new shard."""
        previous_by_key: dict[str, LimitsByCaller] = {}
        if self._previous is not None:
            previous_by_key = self._previous.limits_by_key
            self.limits_by_caller = self._previous.document.limits_by_caller
        if previous_by_key == self.limits_by_key:
            return
        self.limits_by_caller = self.limits_by_caller.copy()
        for key, limits_by_caller in previous_by_key.items():
            if key in self.limits_by_key:
                continue
            for caller in limits_by_caller:
                del self.limits_by_caller[caller]
        for key, limits_by_caller in self.limits_by_key.items():
            if key in previous_by_key:
                continue
            self.limits_by_caller.update(limits_by_caller)
            yield None
        expected_size = sum(map(len, self.limits_by_key.values()))
        if len(self.limits_by_caller) != expected_size:
            self._find_duplicate_callers()

    def _find_duplicate_callers(self) -> None:
        keys_by_caller: dict[str, str] = {}
        for key, limits_by_caller in self.limits_by_key.items():
            for caller in limits_by_caller:
                other_key = keys_by_caller.setdefault(caller, key)
                if other_key != key:
                    self.faults.append(
                        faults.DuplicateCaller(key, caller, other_key)
                    )

    def _check_identity(
        self,
        key: str,
        expected_name: str,
        actual_name: str,
        reference: values.PartReference,
        actual_revision: int,
    ) -> list[faults.Fault]:
        mismatches: list[faults.Fault] = []
        if expected_name != actual_name:
            mismatches.append(
                faults.NameMismatch(key, "name", expected_name, actual_name)
            )
        if reference["revision"] != actual_revision:
            mismatches.append(
                faults.NameMismatch(
                    key,
                    "revision",
                    str(reference["revision"]),
                    str(actual_revision),
                )
            )
        return mismatches

    def check_across_services(self) -> typing.Iterator[None]:
        """Check uniqueness across services; yield after each changed one."""
        previous_by_name: dict[str, documents.Service] = {}
        if self._previous is not None:
            previous_by_name = self._previous.document.services_by_name
            self.claims = self._previous.claims
        removed = _services_not_in(previous_by_name, self.services_by_name)
        added = _services_not_in(self.services_by_name, previous_by_name)
        if not removed and not added:
            return
        self.claims = claims.release(self.claims, removed)
        for service in added:
            key = values.service_key(service.name, service.revision)
            self.faults += claims.add(self.claims, service, key)
            yield None


def _services_not_in(
    services_by_name: dict[str, documents.Service],
    others_by_name: dict[str, documents.Service],
) -> list[documents.Service]:
    return [
        service
        for name, service in services_by_name.items()
        if others_by_name.get(name) is not service
    ]


def assemble(
    index_value: bytes,
    values_by_key: dict[str, bytes],
    previous: AssembledVersion | None = None,
) -> AssemblyResult:
    """Check all parts of a version and build its document.

    Parts whose bytes have not changed since ``previous`` are not checked
    again, so the cost is proportional to the size of the change. If there are
    faults, all of them are returned.
    """
    steps = assemble_in_steps(index_value, values_by_key, previous)
    return next(result for result in steps if result is not None)


def assemble_in_steps(
    index_value: bytes,
    values_by_key: dict[str, bytes],
    previous: AssembledVersion | None = None,
) -> typing.Iterator[AssemblyResult | None]:
    """Do the same as :func:`assemble`, but pause after each checked part.

    Yields None at each pause and finally the result. Checking a large version
    takes long enough to delay requests, so a process that serves requests
    lets them run during the pauses.
    """
    result = decode_index(index_value)
    if result.is_error():
        yield expression.Error((result.error,))
        return
    index = result.ok
    assembly = _Assembly(index, values_by_key, previous)
    assembly.faults += _check_index(index)
    for name, reference in index["services_by_name"].items():
        if assembly.add_service(name, reference):
            yield None
    for shard, reference in index["limits_by_shard"].items():
        if assembly.add_limits(shard, reference):
            yield None
    yield from assembly.check_across_services()
    yield from assembly.merge_limits()
    if assembly.faults:
        yield expression.Error(tuple(assembly.faults))
        return
    document = documents.Document(
        index["fleet"],
        index["version"],
        values.digest(index_value),
        tuple(index["domains"]),
        checks.build_limit(index["default_limit"]),
        assembly.services_by_name,
        assembly.limits_by_caller,
    )
    digests_by_key = values.part_digests(index)
    version_values = {key: values_by_key[key] for key in digests_by_key}
    version_values[values.INDEX_KEY] = index_value
    yield expression.Ok(
        AssembledVersion(
            document,
            version_values,
            digests_by_key,
            assembly.limits_by_key,
            assembly.claims,
        )
    )


def _check_index(index: values.IndexValue) -> list[faults.Fault]:
    key = values.INDEX_KEY
    index_faults = checks.check_name(key, "fleet", index["fleet"])
    index_faults += checks.check_range(
        key, "version", index["version"], VERSION_RANGE
    )
    index_faults += checks.check_unique(key, "domains", index["domains"])
    for domain in index["domains"]:
        index_faults += checks.check_name(key, "domains", domain)
    index_faults += checks.check_limit(
        key, "default_limit", index["default_limit"]
    )
    return index_faults
