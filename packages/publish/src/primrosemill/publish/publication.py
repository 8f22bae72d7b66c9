"""Converts a plan to the values to publish: parts first, the index last.

A part keeps its key while its content is unchanged. The revision of a changed
part is the version that changes it, so a key never gets a second content,
even when a service is removed and added again.
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
    """The configuration that an operator wants to be in force."""

    fleet: str
    domains: tuple[str, ...]
    services: tuple[values.ServiceValue, ...]
    default_limit: values.LimitValue
    limits_by_caller: shards.LimitsByCaller


class Publication(typing.NamedTuple):
    """A checked version and the values that it adds to the store.

    ``changed_by_key`` is in the order of publishing. It is empty if the plan
    does not differ from the published version.
    """

    assembled: assembly.AssembledVersion
    changed_by_key: dict[str, bytes]

    @property
    def version(self) -> int:
        """Return the version to publish."""
        return self.assembled.document.version

    @property
    def values_by_key(self) -> dict[str, bytes]:
        """Return all values of the version, the index last."""
        return self.assembled.values_by_key


Result = expression.Result[Publication, tuple[faults.PublishFault, ...]]


class _Draft:
    """Collects the parts of the next version."""

    def __init__(self, published: assembly.AssembledVersion | None) -> None:
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
        """Return the part references in a field of the published index."""
        if self._published_index is None:
            return {}
        return self._published_index[field]

    def add(
        self,
        part: typing.Any,
        name: str,
        make_key: typing.Callable[[str, int], str],
        published: values.PartReference | None,
    ) -> values.PartReference:
        """Add a part under its published revision, or a new one if changed."""
        if published is not None:
            part["revision"] = published["revision"]
            encoded = msgspec.json.encode(part)
            if values.digest(encoded) == published["digest"]:
                self.values_by_key[make_key(name, published["revision"])] = (
                    encoded
                )
                return published
        part["revision"] = self.version
        encoded = msgspec.json.encode(part)
        self.values_by_key[make_key(name, self.version)] = encoded
        return {"revision": self.version, "digest": values.digest(encoded)}

    def has_changes(self, index: values.IndexValue) -> bool:
        """Tell whether more than the version number has changed."""
        if self._published_index is None:
            return True
        return index | {"version": 0} != self._published_index | {"version": 0}


def prepare(
    plan: Plan, published: assembly.AssembledVersion | None = None
) -> Result:
    """Return the next version for a plan, or all faults of the plan.

    ``published`` is the version in the store, from :func:`read_published`.
    Without it the plan becomes version 1.
    """
    plan_faults = _check_plan(plan, published)
    if plan_faults:
        return expression.Error(tuple(plan_faults))
    draft = _Draft(published)
    index = _add_parts(plan, draft)
    if not draft.has_changes(index):
        return expression.Ok(Publication(published, {}))
    index_value = msgspec.json.encode(index)
    result = assembly.assemble(index_value, draft.values_by_key, published)
    if result.is_error():
        return expression.Error(result.error)
    published_by_key = {} if published is None else published.values_by_key
    changed_by_key = {
        key: value
        for key, value in draft.values_by_key.items()
        if key not in published_by_key
    }
    changed_by_key[values.INDEX_KEY] = index_value
    return expression.Ok(Publication(result.ok, changed_by_key))


def read_published(
    values_by_key: dict[str, bytes],
) -> expression.Result[
    assembly.AssembledVersion, tuple[document_faults.Fault, ...]
]:
    """Check and assemble the values of the published version."""
    index_value = values_by_key.get(values.INDEX_KEY)
    if index_value is None:
        return expression.Error(
            (document_faults.MissingPart(values.INDEX_KEY),)
        )
    return assembly.assemble(index_value, values_by_key)


def _check_plan(
    plan: Plan, published: assembly.AssembledVersion | None
) -> list[faults.PublishFault]:
    plan_faults: list[faults.PublishFault] = []
    names: set[str] = set()
    for service in plan.services:
        if service["name"] in names:
            plan_faults.append(faults.DuplicateService(service["name"]))
        names.add(service["name"])
    if published is not None and published.document.fleet != plan.fleet:
        plan_faults.append(
            faults.OtherFleet(plan.fleet, published.document.fleet)
        )
    return plan_faults


def _add_parts(plan: Plan, draft: _Draft) -> values.IndexValue:
    published_by_name = draft.published_references("services_by_name")
    references_by_name = {}
    for service in plan.services:
        name = service["name"]
        references_by_name[name] = draft.add(
            service.copy(),
            name,
            values.service_key,
            published_by_name.get(name),
        )
    published_by_shard = draft.published_references("limits_by_shard")
    counts = [shards.count_of(shard) for shard in published_by_shard]
    min_count = max([shards.MIN_SHARDS, *counts])
    references_by_shard = {}
    for shard, limits in shards.split(
        plan.limits_by_caller, min_count
    ).items():
        references_by_shard[shard] = draft.add(
            {"shard": shard, "revision": 0, "limits_by_caller": limits},
            shard,
            values.limits_key,
            published_by_shard.get(shard),
        )
    return {
        "fleet": plan.fleet,
        "version": draft.version,
        "domains": list(plan.domains),
        "default_limit": plan.default_limit,
        "services_by_name": references_by_name,
        "limits_by_shard": references_by_shard,
    }
