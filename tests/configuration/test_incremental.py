import random

import msgspec
import testtools

from primrosemill.configuration import assembly
from primrosemill.configuration import faults
from primrosemill.configuration import values
from tests.builders import configuration as builders

SEED = 20_261_204
HISTORIES = 40
VERSIONS = 12
SERVICES = 6
SHARDS = 4


def assemble(values_by_key, previous=None):
    index_value = values_by_key[values.INDEX_KEY]
    return assembly.assemble(index_value, values_by_key, previous)


class History:
    """Publishes versions with random changes, some of them conflicting."""

    def __init__(self, generator):
        self.generator = generator
        self.version = 0
        self.services_by_name = {}
        self.shards_by_name = {}

    def publish(self):
        self.version += 1
        name = f"service-{self.generator.randrange(SERVICES)}"
        if self.generator.random() < 0.2:
            self.services_by_name.pop(name, None)
        else:
            self.services_by_name[name] = self._service(name)
        shard = f"{self.generator.randrange(SHARDS)}"
        if self.generator.random() < 0.5:
            self.shards_by_name[shard] = self._shard(shard)
        domains = list(builders.DOMAINS)
        if self.generator.random() < 0.2:
            domains = domains[: self.generator.randrange(1, 3)] + ["new"]
        return builders.published(
            *self.services_by_name.values(),
            shards=tuple(self.shards_by_name.values()),
            version=self.version,
            domains=domains,
        )

    def save(self):
        """Make the current version the one that undo restores."""
        self._saved = (
            self.services_by_name.copy(),
            self.shards_by_name.copy(),
        )

    def undo(self):
        """Restore the saved version, as an operator does after a refusal."""
        services_by_name, shards_by_name = self._saved
        self.services_by_name = services_by_name.copy()
        self.shards_by_name = shards_by_name.copy()

    def _service(self, name):
        # The range is small so that addresses and routes sometimes conflict.
        number = self.generator.randrange(30)
        return builders.service_value(
            1,
            name=name,
            revision=self.version,
            floor=self.generator.randrange(3),
            instances=[builders.instance_value(number)],
            routes=[{"path_prefix": f"/{number}", "idempotent": True}],
        )

    def _shard(self, shard):
        callers = self.generator.sample(range(20), 2)
        rate = self.generator.choice([1.0, 2.0, -1.0])
        return {
            "shard": shard,
            "revision": self.version,
            "limits_by_caller": {
                f"caller-{caller}": {"rate": rate, "burst": 1}
                for caller in callers
            },
        }


def comparable_faults(result):
    """Return the faults without keys that depend on the order of checks."""
    return {
        (type(fault), *fault)
        for fault in result.error
        if not isinstance(fault, faults.Duplicate | faults.DuplicateCaller)
    } | {
        (type(fault), fault[2])
        for fault in result.error
        if isinstance(fault, faults.Duplicate)
    }


class IncrementalTest(testtools.TestCase):
    def test_incremental_check_has_the_result_of_a_full_check(self):
        generator = random.Random(SEED)
        accepted = refused = 0
        for _ in range(HISTORIES):
            history = History(generator)
            history.save()
            in_force = None
            for _ in range(VERSIONS):
                published = history.publish()
                full = assemble(published)
                incremental = assemble(published, in_force)
                self.assertEqual(full.is_ok(), incremental.is_ok())
                if full.is_error():
                    self.assertEqual(
                        comparable_faults(full), comparable_faults(incremental)
                    )
                    refused += 1
                    history.undo()
                    continue
                self.assertEqual(full.ok.document, incremental.ok.document)
                self.assertEqual(full.ok.claims, incremental.ok.claims)
                in_force = incremental.ok
                history.save()
                accepted += 1
        self.assertGreater(accepted, 100)
        self.assertGreater(refused, 100)

    def test_unchanged_shard_is_reused(self):
        shard = {
            "shard": "0",
            "revision": 1,
            "limits_by_caller": {"a": {"rate": 1.0, "burst": 1}},
        }
        first = assemble(builders.published(shards=(shard,))).ok
        second = assemble(
            builders.published(shards=(shard,), version=2), first
        ).ok
        self.assertIs(
            first.document.limits_by_caller, second.document.limits_by_caller
        )
        self.assertIs(first.claims, second.claims)

    def test_caller_in_two_shards_is_a_fault(self):
        limits = {"a": {"rate": 1.0, "burst": 1}}
        shards = tuple(
            {"shard": name, "revision": 1, "limits_by_caller": limits}
            for name in "01"
        )
        result = assemble(builders.published(shards=shards))
        self.assertEqual(
            (faults.DuplicateCaller("limits/1/1", "a", "limits/0/1"),),
            result.error,
        )

    def test_unchanged_bytes_with_another_digest_are_a_fault(self):
        first = builders.assembled()
        published = builders.published(version=2)
        index = msgspec.json.decode(published[values.INDEX_KEY])
        index["services_by_name"]["reservations"]["digest"] = "0" * 32
        published[values.INDEX_KEY] = msgspec.json.encode(index)
        result = assemble(published, first)
        self.assertIsInstance(result.error[0], faults.WrongDigest)

    def test_steps_pause_only_after_checked_parts(self):
        published = builders.published()
        steps = list(
            assembly.assemble_in_steps(published[values.INDEX_KEY], published)
        )
        self.assertEqual([None, None], steps[:-1])
        later = builders.published(version=2)
        steps = list(
            assembly.assemble_in_steps(
                later[values.INDEX_KEY], later, steps[-1].ok
            )
        )
        self.assertEqual(1, len(steps))
