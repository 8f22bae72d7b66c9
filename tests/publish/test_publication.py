import testtools

from primrosemill.configuration import faults as document_faults
from primrosemill.configuration import values
from primrosemill.publish import builders
from primrosemill.publish import faults
from primrosemill.publish import publication
from primrosemill.publish import shards
from tests.builders import plans


def prepare(*services, published=None, **changes):
    return publication.prepare(plans.plan(*services, **changes), published)


class PublicationTest(testtools.TestCase):
    def test_first_version_contains_all_parts_and_the_index_last(self):
        first = prepare(plans.service(), plans.service("compliance", 2)).ok
        self.assertEqual(1, first.version)
        self.assertEqual(
            ["service/reservations/1", "service/compliance/1", "index"],
            list(first.changed_by_key),
        )

    def test_only_changed_parts_are_published_again(self):
        other = plans.service("compliance", 2)
        first = prepare(plans.service(), other).ok
        second = prepare(
            plans.service(floor=3), other, published=first.assembled
        ).ok
        self.assertEqual(
            ["service/reservations/2", "index"], list(second.changed_by_key)
        )
        self.assertIn("service/compliance/1", second.values_by_key)
        self.assertNotIn("service/reservations/1", second.values_by_key)

    def test_unchanged_plan_makes_no_new_version(self):
        first = prepare().ok
        again = prepare(published=first.assembled).ok
        self.assertEqual(1, again.version)
        self.assertEqual({}, again.changed_by_key)

    def test_service_that_returns_gets_a_new_key(self):
        other = plans.service("compliance", 2)
        first = prepare(plans.service(), other).ok
        second = prepare(other, published=first.assembled).ok
        third = prepare(
            plans.service(floor=2), other, published=second.assembled
        ).ok
        self.assertIn("service/reservations/3", third.changed_by_key)

    def test_read_published_returns_the_published_version(self):
        first = prepare().ok
        read = publication.read_published(first.values_by_key).ok
        self.assertEqual(first.assembled, read)
        result = publication.read_published({})
        self.assertIsInstance(result.error[0], document_faults.MissingPart)

    def test_invalid_plan_is_a_fault(self):
        same_address = plans.service("compliance", 1)
        too_large = plans.service(
            routes=[
                builders.route(f"/{'x' * 100}{number}", idempotent=True)
                for number in range(6_000)
            ]
        )
        host_name, past_last_ip, without_domain = (
            plans.service(
                instances=builders.instances("a", ip, 6, 9000, domains)
            )
            for ip, domains in (
                ("backend.example", plans.DOMAINS),
                ("255.255.255.255", plans.DOMAINS),
                ("127.1.1.1", ()),
            )
        )
        cases = [
            (faults.DuplicateService, (plans.service(),) * 2, {}),
            (document_faults.Duplicate, (plans.service(), same_address), {}),
            (
                document_faults.FloorOverInstances,
                (plans.service(floor=7),),
                {},
            ),
            (document_faults.UnknownDomain, (), {"domains": ("hay-riad",)}),
            (document_faults.ValueTooLarge, (too_large,), {}),
            (document_faults.OutOfRange, (plans.service(slots=0),), {}),
            (
                document_faults.OutOfRange,
                (),
                {"limits_by_caller": {"a": builders.limit(-1.0, 1)}},
            ),
            (document_faults.BadName, (), {"fleet": "a b"}),
            (document_faults.BadAddress, (host_name,), {}),
            (document_faults.BadAddress, (past_last_ip,), {}),
            (document_faults.UnknownDomain, (without_domain,), {}),
            (document_faults.Malformed, (plans.service(demand="much"),), {}),
            (
                document_faults.Malformed,
                (plans.service(demand=float("nan")),),
                {},
            ),
        ]
        for fault_type, services, changes in cases:
            plan_faults = prepare(*services, **changes).error
            self.assertIn(fault_type, list(map(type, plan_faults)))

    def test_published_version_of_another_fleet_is_a_fault(self):
        first = prepare().ok
        result = prepare(published=first.assembled, fleet="guild")
        self.assertEqual((faults.OtherFleet("guild", "atlas"),), result.error)


class LimitsTest(testtools.TestCase):
    def limits(self, count):
        return {
            f"caller-{number:08d}": builders.limit(10.0, 20)
            for number in range(count)
        }

    def test_changed_limit_changes_one_shard(self):
        limits = self.limits(3_000)
        first = prepare(limits_by_caller=limits).ok
        limits["caller-00000007"] = builders.limit(1.0, 1)
        second = prepare(limits_by_caller=limits, published=first.assembled).ok
        self.assertEqual(2, len(second.changed_by_key))
        document = second.assembled.document
        self.assertEqual(3_000, len(document.limits_by_caller))
        self.assertEqual(
            1.0, document.limits_by_caller["caller-00000007"].rate
        )

    def test_shards_are_doubled_to_stay_under_the_value_size(self):
        limits = {
            f"{'x' * 1_000}{number}": builders.limit(10.0, 20)
            for number in range(20_000)
        }
        split = shards.split(limits, shards.MIN_SHARDS)
        self.assertGreater(len(split), shards.MIN_SHARDS)
        publishable = prepare(limits_by_caller=limits).ok
        largest = max(map(len, publishable.values_by_key.values()))
        self.assertLess(largest, values.VALUE_SIZE_LIMIT)

    def test_number_of_shards_does_not_decrease(self):
        split = shards.split(self.limits(10), 256)
        self.assertEqual({256}, set(map(shards.count_of, split)))
