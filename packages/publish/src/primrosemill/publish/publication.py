"""Turns a plan into the values to publish: parts first, the index last.

A part keeps its key while its content stays. A changed part's revision is
the version that changes it, so a key never holds two contents, even when a
service goes and comes back.
"""

import typing

import expression
import msgspec

from primrosemill.configuration import assembly
from primrosemill.configuration import faults as document_faults
from primrosemill.configuration import values
from primrosemill.publish import faults
from primrosemill.publish import shards

FIRST_VERSION = 1


class Plan(typing.NamedTuple):
    """What an operator wants in force."""

    fleet: str
    domains: tuple[str, ...]
    services: tuple[values.ServiceValue, ...]
    default_limit: values.LimitValue
    limits_by_caller: shards.LimitsByCaller


class Publication(typing.NamedTuple):
    """A checked version, and the values that it adds to the store.

    ``changed_by_key`` stands in the order of publishing. It is empty where
    the plan is what the published version already says.
    """

    assembled: assembly.Assembled
    changed_by_key: dict[str, bytes]

    @property
    def version(self) -> int:
        """Return the version to publish."""
        return self.assembled.document.version

    @property
    def values_by_key(self) -> dict[str, bytes]:
        """Return every value of the version, the index last."""
        return self.assembled.values_by_key


Result = expression.Result[Publication, tuple[faults.PublishFault, ...]]


class _Draft:
    """Collects the parts of the next version."""

    def __init__(self, published: assembly.Assembled | None) -> None:
        self._published = published
        self.version = FIRST_VERSION
        self.values_by_key: dict[str, bytes] = {}
        self._published_index: values.IndexValue | None = None
        if published is not None:
            self.version = published.document.version + 1
            index_value = published.values_by_key[values.INDEX_KEY]
            self._published_index = assembly.decode_index(index_value).ok

    def published_references(
        self, field: str
    ) -> dict[str, values.PartReference]:
        """Return the parts that the published index names in a field."""
        if self._published_index is None:
            return {}
        return self._published_index[field]

    def add(
        self,
        part: typing.Any,
        name: str,
        key_of: typing.Callable[[str, int], str],
        before: values.PartReference | None,
    ) -> values.PartReference:
        """Add a part under its old revision if unchanged, else a new one."""
        if before is not None:
            part["revision"] = before["revision"]
            encoded = msgspec.json.encode(part)
            if values.digest(encoded) == before["digest"]:
                self.values_by_key[key_of(name, before["revision"])] = encoded
                return before
        part["revision"] = self.version
        encoded = msgspec.json.encode(part)
        self.values_by_key[key_of(name, self.version)] = encoded
        return {"revision": self.version, "digest": values.digest(encoded)}

    def has_changes(self, index: values.IndexValue) -> bool:
        """Tell whether anything but the version differs from before."""
        if self._published_index is None:
            return True
        return index | {"version": 0} != self._published_index | {"version": 0}


def prepare(plan: Plan, published: assembly.Assembled | None = None) -> Result:
    """Return the next version of a plan, or every fault that it has.

    ``published`` is the version in the store, from :func:`read_published`;
    without one the plan becomes version 1.
    """
    found = _check_plan(plan, published)
    if found:
        return expression.Error(tuple(found))
    draft = _Draft(published)
    index = _add_parts(plan, draft)
    if not draft.has_changes(index):
        return expression.Ok(Publication(published, {}))
    index_value = msgspec.json.encode(index)
    result = assembly.assemble(index_value, draft.values_by_key, published)
    if result.is_error():
        return expression.Error(result.error)
    before = {} if published is None else published.values_by_key
    changed_by_key = {
        key: value
        for key, value in draft.values_by_key.items()
        if key not in before
    }
    changed_by_key[values.INDEX_KEY] = index_value
    return expression.Ok(Publication(result.ok, changed_by_key))


def read_published(
    values_by_key: dict[str, bytes],
) -> expression.Result[assembly.Assembled, tuple[document_faults.Fault, ...]]:
    """Check the values of the published version, index included."""
    index_value = values_by_key.get(values.INDEX_KEY)
    if index_value is None:
        return expression.Error(
            (document_faults.MissingPart(values.INDEX_KEY),)
        )
    return assembly.assemble(index_value, values_by_key)


def _check_plan(
    plan: Plan, published: assembly.Assembled | None
) -> list[faults.PublishFault]:
    found: list[faults.PublishFault] = []
    names: set[str] = set()
    for service in plan.services:
        if service["name"] in names:
            found.append(faults.DuplicateService(service["name"]))
        names.add(service["name"])
    if published is not None and published.document.fleet != plan.fleet:
        found.append(faults.OtherFleet(plan.fleet, published.document.fleet))
    return found


def _add_parts(plan: Plan, draft: _Draft) -> values.IndexValue:
    before = draft.published_references("services_by_name")
    references_by_name = {}
    for service in plan.services:
        name = service["name"]
        references_by_name[name] = draft.add(
            service.copy(), name, values.service_key, before.get(name)
        )
    before = draft.published_references("limits_by_shard")
    counts = [shards.count_of(shard) for shard in before]
    fewest = max([shards.MIN_SHARDS, *counts])
    references_by_shard = {}
    for shard, limits in shards.split(plan.limits_by_caller, fewest).items():
        references_by_shard[shard] = draft.add(
            {"shard": shard, "revision": 0, "limits_by_caller": limits},
            shard,
            values.limits_key,
            before.get(shard),
        )
    return {
        "fleet": plan.fleet,
        "version": draft.version,
        "domains": list(plan.domains),
        "default_limit": plan.default_limit,
        "services_by_name": references_by_name,
        "limits_by_shard": references_by_shard,
    }
