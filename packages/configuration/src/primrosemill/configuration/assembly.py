"""Assembles a checked document from an index and its parts."""

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


class Assembled(typing.NamedTuple):
    """A checked document beside the published values it came from.

    The digests, limits and claims let the next version be checked by its
    changes alone.
    """

    document: documents.Document
    values_by_key: dict[str, bytes]
    digests_by_key: dict[str, str]
    limits_by_key: dict[str, LimitsByCaller]
    claims: claims.Claims


Outcome = expression.Result[Assembled, tuple[faults.Fault, ...]]


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
    """Collects the parts of one version and the faults on the way."""

    def __init__(
        self,
        index: values.IndexValue,
        values_by_key: dict[str, bytes],
        previous: Assembled | None,
    ) -> None:
        self.faults: list[faults.Fault] = []
        self.services_by_name: dict[str, documents.Service] = {}
        self.limits_by_key: dict[str, LimitsByCaller] = {}
        self.limits_by_caller: LimitsByCaller = {}
        self.claims = claims.no_claims()
        self._domains = tuple(index["domains"])
        self._values_by_key = values_by_key
        self._previous = previous
        self._keeps_domains = previous is not None and set(
            previous.document.domains
        ).issubset(self._domains)

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

    def _is_unchanged(self, key: str, expected_digest: str) -> bool:
        """Tell whether the previous version has a part byte for byte."""
        previous = self._previous
        if previous is None:
            return False
        if previous.digests_by_key.get(key) != expected_digest:
            return False
        return previous.values_by_key[key] == self._values_by_key.get(key)

    def _unchanged_service(
        self, name: str, key: str, expected_digest: str
    ) -> documents.Service | None:
        """Return the previous build of a service whose bytes are the same.

        The failure domains belong to the check, so none may have gone.
        """
        if not self._is_unchanged(key, expected_digest):
            return None
        if not self._keeps_domains:
            return None
        return self._previous.document.services_by_name.get(name)

    def add_service(self, name: str, reference: values.PartReference) -> bool:
        """Add one service that the index names; tell if it was checked."""
        key = values.service_key(name, reference["revision"])
        unchanged = self._unchanged_service(name, key, reference["digest"])
        if unchanged is not None:
            self.services_by_name[name] = unchanged
            return False
        value = self._decode_part(
            key, reference["digest"], values.ServiceValue
        )
        if value is None:
            return True
        found = checks.check_service(key, value, self._domains)
        found += self._check_identity(
            key, name, value["name"], reference, value["revision"]
        )
        if found:
            self.faults += found
            return True
        self.services_by_name[name] = checks.build_service(value)
        return True

    def add_limits(self, shard: str, reference: values.PartReference) -> bool:
        """Add one shard of limits; tell if it was checked."""
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
        """Merge the limits of all shards, one shard after another."""
        before: dict[str, LimitsByCaller] = {}
        if self._previous is not None:
            before = self._previous.limits_by_key
            self.limits_by_caller = self._previous.document.limits_by_caller
        if before == self.limits_by_key:
            return
        self.limits_by_caller = self.limits_by_caller.copy()
        for key, limits_by_caller in before.items():
            if key in self.limits_by_key:
                continue
            for caller in limits_by_caller:
                del self.limits_by_caller[caller]
        for key, limits_by_caller in self.limits_by_key.items():
            if key in before:
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

    def check_across_services(self) -> typing.Iterator[None]:
        """Check what must be unique over all services, one after another."""
        before: dict[str, documents.Service] = {}
        if self._previous is not None:
            before = self._previous.document.services_by_name
            self.claims = self._previous.claims
        old = _services_not_in(before, self.services_by_name)
        new = _services_not_in(self.services_by_name, before)
        if not old and not new:
            return
        self.claims = claims.release(self.claims, old)
        for service in new:
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
    previous: Assembled | None = None,
) -> Outcome:
    """Check a whole version and build its document.

    Parts whose bytes did not change since ``previous`` are not checked
    again, so the cost of a change follows its size. Returns every fault
    found.
    """
    steps = assemble_in_steps(index_value, values_by_key, previous)
    return next(outcome for outcome in steps if outcome is not None)


def assemble_in_steps(
    index_value: bytes,
    values_by_key: dict[str, bytes],
    previous: Assembled | None = None,
) -> typing.Iterator[Outcome | None]:
    """Do what :func:`assemble` does, with a pause after each checked part.

    Yields None at each pause and the outcome at last. A large version takes
    long enough for requests to notice, so a process that serves them lets
    them run at the pauses.
    """
    decoded = decode_index(index_value)
    if decoded.is_error():
        yield expression.Error((decoded.error,))
        return
    index = decoded.ok
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
    digests_by_key = values.part_keys(index)
    kept = {key: values_by_key[key] for key in digests_by_key}
    kept[values.INDEX_KEY] = index_value
    yield expression.Ok(
        Assembled(
            document,
            kept,
            digests_by_key,
            assembly.limits_by_key,
            assembly.claims,
        )
    )


def _check_index(index: values.IndexValue) -> list[faults.Fault]:
    key = values.INDEX_KEY
    found = checks.check_name(key, "fleet", index["fleet"])
    found += checks.check_range(
        key, "version", index["version"], VERSION_RANGE
    )
    found += checks.check_unique(key, "domains", index["domains"])
    for domain in index["domains"]:
        found += checks.check_name(key, "domains", domain)
    found += checks.check_limit(key, "default_limit", index["default_limit"])
    return found
